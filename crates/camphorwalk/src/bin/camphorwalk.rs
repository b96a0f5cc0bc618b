//! Program.
fn main() {}
