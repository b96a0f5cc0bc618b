//! The orders that an engine stand-in takes, and their fencing.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::{Shared, lock};
use crate::server::{Answer, fault, json};

/// An order.
#[derive(Debug, Deserialize)]
pub(crate) struct OrderRequest {
    /// What to do.
    order: OrderKind,
    /// The program to free.
    program: Option<Box<str>>,
    /// The model to load.
    model: Option<Box<str>>,
    /// The role to take.
    role: Option<Box<str>>,
    /// The fencing number of the sender's lease.
    fence: u64,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    /// Free what the cache holds of a program.
    Free,
    /// Load a model; that empties the cache.
    Load,
    /// Take a role.
    Role,
}

/// What orders have set.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The highest fencing number seen.
    fence: u64,
    /// The model.
    model: Option<Box<str>>,
    /// The role.
    role: Option<Box<str>>,
}

/// The answer to an order.
#[derive(Debug, Serialize)]
struct OrderAnswer {
    /// Whether things stand as ordered.
    done: bool,
}

/// Obeys an order, or refuses it for its fence.
pub(crate) fn obey(state: &Shared, order: OrderRequest) -> Answer {
    let mut engine = lock(state);

    if engine.options.checks_fencing && order.fence < engine.orders.fence {
        return fault(StatusCode::CONFLICT, "the fence is old");
    }

    engine.orders.fence = engine.orders.fence.max(order.fence);

    let changes = match (order.order, order.program, order.model, order.role) {
        (OrderKind::Free, Some(program), _, _) => engine.cache.free(&program),
        (OrderKind::Load, _, Some(model), _) if engine.orders.model.as_ref() == Some(&model) => {
            Some(Vec::new())
        }
        (OrderKind::Load, _, Some(model), _) => {
            engine.orders.model = Some(model);
            Some(engine.cache.clear())
        }
        (OrderKind::Role, _, _, Some(role)) => {
            engine.orders.role = Some(role);
            Some(Vec::new())
        }
        _ => return fault(StatusCode::BAD_REQUEST, "the order lacks its object"),
    };

    // A program that a request runs on stays; its order has to be repeated.
    let done = changes.is_some();
    engine.record_changes(changes.unwrap_or_default());

    json(StatusCode::OK, &OrderAnswer { done })
}
