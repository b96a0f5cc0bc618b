//! How long what callers may return to is kept, over changes of the manifest.

use std::time::Duration;

use camphorwalk_core::entry::Routing;
use camphorwalk_core::time::Instant;

/// How long a program may pause between turns if no route says so.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// The longest retention of all routes.
///
/// A program that ran while a route had a long retention may return within it, although a newer
/// manifest has a shorter one or has removed the route.
#[derive(Clone, Debug, Default)]
pub struct Retention {
    /// The longest retention of the manifest in force.
    in_force: Option<Duration>,
    /// Those of earlier manifests, and when they were replaced.
    former: Vec<(Instant, Duration)>,
}

impl Retention {
    /// Records that a manifest is in force.
    ///
    /// Routes that store no turns count, too: their programs have budgets that must not be granted
    /// again.
    pub fn adopt(&mut self, now: Instant, routing: &Routing) {
        let longest = routing.routes.iter().filter_map(|route| route.retention).max();
        if longest == self.in_force {
            return;
        }

        self.former.retain(|(ended, retention)| now.since(*ended) < *retention);
        self.former.extend(self.in_force.map(|retention| (now, retention)));
        self.in_force = longest;
    }

    /// Returns within which time after a turn a program may return.
    ///
    /// ```
    /// use camphorwalk_core::time::Instant;
    /// use camphorwalk_policy::entry::retention::Retention;
    /// assert_eq!(Retention::default().longest(Instant(0)).as_secs(), 60);
    /// ```
    pub fn longest(&self, now: Instant) -> Duration {
        let former = self.former.iter().filter(|(ended, retention)| now.since(*ended) < *retention);
        let former = former.map(|(_, retention)| *retention).max();

        self.in_force.max(former).unwrap_or(DEFAULT_RETENTION)
    }
}
