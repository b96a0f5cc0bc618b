//! Queries for ended programs, so that engines can free the memory that they hold for them.
//!
//! The home of a program is the host that holds the lease of the program's partition.

/// Asks the home of programs which of them have ended.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedQuery {
    /// The target that holds memory for the programs.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The ids of the programs, each as 16 bytes.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub programs: Vec<Vec<u8>>,
}

/// Programs that have ended, whose memory the target may free.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedPrograms {
    /// The target that holds memory for the programs.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The ids of the programs, each as 16 bytes.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub programs: Vec<Vec<u8>>,
}
