//! Small fakes of what camphorwalk meets: the platform, model engines and plain services.
//!
//! They are test side only. `docs/STANDINS.md` gives the calls that each one answers.

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
