//! Decisions of an entry host about the calls that it forwards: the route and target, the tenant's
//! rate, the program's budget, the order of waiting calls, and which turns are stored.

pub mod admission;
pub mod attempts;
pub mod budgets;
pub mod call_stats;
pub mod cold_targets;
pub mod crashes;
pub mod evacuations;
pub mod grant_leases;
pub mod held_bytes;
pub mod host_rows;
pub mod isolation;
pub mod load_notices;
pub mod manifests;
pub mod outage;
pub mod placement;
pub mod preferred_targets;
pub mod prompts;
pub mod rates;
pub mod recent;
pub mod resumption;
pub mod retention;
pub mod routes;
pub mod shares;
pub mod shutdown;
pub mod status_exchange;
pub mod stream_origins;
pub mod target_profiles;
pub mod target_table;
pub mod transfers;
pub mod turn_writes;
pub mod turns;
pub mod waiting;
pub mod write_back;
pub mod write_throttle;
pub mod zone_contact;
