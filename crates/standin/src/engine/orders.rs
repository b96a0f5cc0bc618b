//! Orders that control an engine stand-in, and the fencing of outdated ones.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::{Shared, lock};
use crate::server::{Answer, error_response, json_response};

/// A request that carries an order.
#[derive(Debug, Deserialize)]
pub(crate) struct OrderRequest {
    /// The kind of order.
    order: OrderKind,
    /// The program to free, for [`OrderKind::Free`].
    program: Option<Box<str>>,
    /// The model to load, for [`OrderKind::Load`].
    model: Option<Box<str>>,
    /// The role to take, for [`OrderKind::Role`].
    role: Option<Box<str>>,
    /// The fencing number of the sender's lease, which grows with each new holder.
    fence: u64,
}

/// The kind of an order.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    /// Removes a program's prefix from the cache.
    Free,
    /// Loads a model, which empties the cache.
    Load,
    /// Takes a role.
    Role,
}

/// The state that orders have set.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    /// The highest fencing number among the orders so far.
    fence: u64,
    /// The loaded model.
    model: Option<Box<str>>,
    /// The current role.
    role: Option<Box<str>>,
}

/// The response to an order.
#[derive(Debug, Serialize)]
struct OrderAnswer {
    /// Whether the order was carried out. If not, the sender must repeat it.
    done: bool,
}

/// Carries out an order, unless its fencing number is outdated.
pub(crate) fn execute(state: &Shared, order: OrderRequest) -> Answer {
    let mut engine = lock(state);

    if engine.options.checks_fencing && order.fence < engine.orders.fence {
        return error_response(StatusCode::CONFLICT, "the fence is old");
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
        _ => return error_response(StatusCode::BAD_REQUEST, "the order lacks its object"),
    };

    // The cache does not free a program while one of its requests runs. The sender then has to
    // repeat the order later.
    let done = changes.is_some();
    engine.record_changes(changes.unwrap_or_default());

    json_response(StatusCode::OK, &OrderAnswer { done })
}
