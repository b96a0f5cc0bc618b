//! Lending, returning and drawing on slices of a tenant's rate.

/// A message between the parts of two hosts that keep slices.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SliceMessage {}
