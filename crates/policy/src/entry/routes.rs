//! Which route a call takes, and which of its services.

use std::sync::Arc;

use camphorwalk_core::entry::{Route, Routing};
use camphorwalk_core::hash::{Map, stable_hash};

/// The manifest in force, indexed.
#[derive(Clone, Debug)]
pub struct RouteTable {
    routing: Arc<Routing>,
    /// The routes of each host name, the longest prefix first.
    by_hostname: Map<Box<str>, Vec<usize>>,
}

/// Whether a manifest replaces the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is newer.
    Adopt,
    /// It is the one in force or an older one: routes and keys never go back.
    Ignore,
}

/// Decides whether a manifest of version `offered` replaces one of version `in_force`.
///
/// ```
/// use camphorwalk_policy::entry::routes::{Adoption, adoption};
/// assert_eq!(adoption(Some(7), 9), Adoption::Adopt);
/// assert_eq!(adoption(Some(9), 7), Adoption::Ignore);
/// ```
pub fn adoption(in_force: Option<u64>, offered: u64) -> Adoption {
    match in_force {
        Some(version) if offered <= version => Adoption::Ignore,
        _ => Adoption::Adopt,
    }
}

impl RouteTable {
    /// Indexes a manifest.
    pub fn new(routing: Arc<Routing>) -> Self {
        let mut by_hostname: Map<Box<str>, Vec<usize>> = Map::default();

        for (index, route) in routing.routes.iter().enumerate() {
            let hostname = route.hostname.to_ascii_lowercase().into();
            by_hostname.entry(hostname).or_default().push(index);
        }
        for indices in by_hostname.values_mut() {
            indices.sort_by_key(|i| std::cmp::Reverse(routing.routes[*i].prefix.len()));
        }

        Self { routing, by_hostname }
    }

    /// Returns the manifest.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }

    /// Returns the index of the route of a call: of its host name's routes, the one with the
    /// longest prefix that begins the path.
    pub fn find(&self, hostname: &str, path: &str) -> Option<usize> {
        let bare = hostname.rsplit_once(':').map_or(hostname, |(name, _)| name);
        let indices = self.by_hostname.get(bare.to_ascii_lowercase().as_str())?;

        indices.iter().copied().find(|i| path.starts_with(&*self.routing.routes[*i].prefix))
    }
}

/// Returns the service of a call: by weight, and the same one for all calls with one `line`,
/// so that a line of turns keeps its cached prompt when a route is split.
///
/// Returns `None` if the route names no service with a weight.
pub fn service<'a>(route: &'a Route, line: &str) -> Option<&'a str> {
    let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();

    if total == 0 {
        return None;
    }

    let mut point = stable_hash(&[line.as_bytes()]) % total;

    for share in &route.services {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(&share.service);
        }
        point -= weight;
    }

    None
}
