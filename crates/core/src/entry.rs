//! Types of an entry host's configuration and input: settings, routes, services, tenants,
//! registered targets, and the headers of a call.

mod call;
mod routing;
mod settings;
mod target;

pub use call::{CallHead, PromptPart, TokenCount};
pub use routing::{
    CallLimits, EngineSpec, Repeat, Route, Routing, ServiceShare, ServiceSpec, TenantSpec,
    TurnKeeping,
};
pub use settings::{EntrySettings, StoreLimits};
pub use target::{TargetEntry, TargetState};
