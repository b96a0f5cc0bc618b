//! What an entry host knows of the deployment that it forwards calls for: routes, tenants,
//! targets and the head of a call.

mod call;
mod routing;
mod settings;
mod target;

pub use call::{CallHead, PromptPart, TokenCount};
pub use routing::{
    CallLimits, EngineSpec, RetryPolicy, Route, Routing, ServiceSpec, TenantSpec, TurnRetention,
    WeightedService,
};
pub use settings::{EntrySettings, StoreLimits};
pub use target::{TargetEntry, TargetState};
