//! Declarations: read from a folder, checked, compared and bundled.
//!
//! A deployment is a folder that is kept in version control:
//!
//! ```text
//! fleet.json          zones, classes, partitions
//! targets.json        {"targets": [...]}
//! templates/*.json    one template each
//! tenants/*.json      one tenant each
//! ```
//!
//! [`load`] reads it and finds all faults at once; [`check`] does the same for a
//! configuration that came by another way. [`bundle`] gives the bytes that are published,
//! [`diff`] what a change of configuration changes.

#![warn(rust_2018_idioms)]
#![forbid(unsafe_code)]

mod bundles;
mod changes;
mod checks;
mod documents;
mod errors;
mod folder;
mod parts;
mod schema;
mod shapes;
mod values;

pub use bundles::{MAX_BUNDLE_BYTES, bundle, unbundle};
pub use changes::{Change, diff};
pub use checks::{check, check_change};
pub use errors::{Fault, Faults, Result};
pub use folder::{MAX_FILE_BYTES, load};
