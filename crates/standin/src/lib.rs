//! Stand-ins for the systems that camphorwalk depends on: the platform, model engines and plain
//! services.
//!
//! They are used only by tests, the demo and measurements. `docs/STANDINS.md` describes their HTTP
//! APIs.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod platform;
pub mod program;
mod requests;
mod server;
pub mod service;

pub use engine::{Engine, EngineOptions};
pub use platform::{Platform, PlatformOptions, Store};
pub use service::{Service, ServiceOptions};
