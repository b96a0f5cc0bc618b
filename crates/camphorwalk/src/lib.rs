//! Front door.
