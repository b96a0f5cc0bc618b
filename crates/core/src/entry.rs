//! Types of an entry host's configuration and input: settings, routes, services, tenants,
//! registered targets, and the headers of a call.

mod call;
mod routing;
mod settings;
mod target;

pub use call::{CallHead, PromptPart, TokenCount};
pub use routing::{
    CallLimits, ColdSpec, EngineSpec, RetryPolicy, Route, Routing, ServiceSpec, TenantSpec,
    WeightedService,
};
pub use settings::{ColdBounds, EntrySettings, Features, StoreLimits};
pub use target::{TargetEntry, TargetState};
