//! Reads, checks, compares and bundles the declarations of a deployment.
//!
//! A deployment is declared in a folder under version control:
//!
//! ```text
//! fleet.json          zones, classes, partitions, slices
//! targets.json        {"targets": [...]}
//! templates/*.json    one template each
//! tenants/*.json      one tenant each
//! ```
//!
//! [`load`] reads the folder and reports all faults at once. [`check`] checks a configuration that
//! did not come from a folder. [`bundle`] returns the bytes that are published, and [`diff`] lists
//! the differences between two configurations.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod bundles;
mod changes;
mod checks;
mod declarations;
mod documents;
mod errors;
mod folder;
mod schema;
mod shapes;
mod values;

pub use bundles::{MAX_BUNDLE_BYTES, bundle, unbundle};
pub use changes::{Change, diff};
pub use checks::{check, check_change};
pub use errors::{Fault, Faults, Result};
pub use folder::{MAX_FILE_BYTES, load};
