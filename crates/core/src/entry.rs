//! What an entry host knows of the deployment that it forwards calls for: routes, tenants,
//! targets and the head of a call.

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
