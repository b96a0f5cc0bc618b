//! Placeholder crate page.

pub mod limits;
