//! Placeholder crate page.
