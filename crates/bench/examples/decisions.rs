//! Prints how many scheduling decisions per second the queues make: `cargo run --release -p
//! camphorwalk-bench --example decisions`.

use camphorwalk_bench::decisions::measure;

fn main() {
    for (targets, tenants) in [(3, 8), (75, 8), (75, 310)] {
        for rate in measure(targets, tenants) {
            println!(
                "targets {targets}, tenants {tenants}, waiting {}: {:.0} events/s, {:.1} us a call",
                rate.waiting, rate.events_per_second, rate.micros_per_call
            );
        }
    }
}
