//! A scheduler of its own for tests of single events.

use camphorwalk_policy::scheduler::{Scheduler, SchedulerOptions, SchedulerTimes};

/// Makes the host `a1`, which reads configurations without checking them.
pub fn scheduler() -> Scheduler {
    Scheduler::new(SchedulerOptions {
        host: "a1".into(),
        zone: "a".into(),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        session: 1,
        seal_key: [0; 32],
        times: SchedulerTimes::default(),
        read_config: |bytes| serde_json::from_slice(bytes).map_err(|e| e.to_string().into()),
        write_config: |config| serde_json::to_vec(config).expect("plain data").into(),
    })
}
