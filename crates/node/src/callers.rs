//! The API for callers.

mod answers;
mod api;
mod bodies;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;

use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use crate::errors::{Result, cannot_start};
use crate::host::Shared;

/// The listener for callers.
pub struct CallerServer {
    server: HttpServer<Arc<Shared>>,
}

impl CallerServer {
    /// Binds the address and starts to serve callers.
    pub fn start(listen: SocketAddr, shared: Arc<Shared>) -> Result<Self> {
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: shared.limits.body_bytes,
            // The handler is dropped when its caller disconnects, which cancels the request.
            default_handler_task_mode: HandlerTaskMode::CancelOnDisconnect,
            log_headers: Vec::new(),
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(description(), shared, log)
            .config(config)
            .start()
            .map_err(|e| cannot_start("callers", e))?;

        Ok(Self { server })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// Returns the dropshot description of all endpoints for callers.
fn description() -> ApiDescription<Arc<Shared>> {
    let mut description = ApiDescription::new();

    api::register(&mut description).expect("the endpoints have distinct paths");

    description
}

/// Returns the OpenAPI document of the API, as JSON.
pub fn openapi() -> serde_json::Value {
    let version = semver::Version::new(1, 0, 0);

    description()
        .openapi("camphorwalk callers", version)
        .json()
        .expect("the endpoints make a valid OpenAPI document")
}
