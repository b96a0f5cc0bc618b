//! The decisions about calls that an entry host forwards: which route and target, whose rate,
//! which budget, who waits, and what is kept of a turn.

pub mod attempts;
pub mod budgets;
pub mod crashes;
pub mod host_rows;
pub mod isolation;
pub mod manifests;
pub mod outage;
pub mod placement;
pub mod prompts;
pub mod rates;
pub mod recent;
pub mod routes;
pub mod shares;
pub mod target_table;
pub mod transfers;
pub mod turn_writes;
pub mod turns;
pub mod waiting;
pub mod work;
pub mod write_back;
