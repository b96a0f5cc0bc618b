//! Asking the home of programs whether they are still open, for engines' memory.

/// Which of these programs, held at a target, are over?
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedQuery {
    /// The target that holds them.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The programs, each as sixteen bytes.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub programs: Vec<Vec<u8>>,
}

/// These programs are over: the target may free what it holds for them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct EndedPrograms {
    /// The target that holds them.
    #[prost(fixed64, tag = "1")]
    pub target: u64,
    /// The programs, each as sixteen bytes.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub programs: Vec<Vec<u8>>,
}
