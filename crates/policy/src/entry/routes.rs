//! Selects the route of a call and the service within the route.

use std::sync::Arc;

use camphorwalk_core::entry::{Route, Routing};
use camphorwalk_core::hash::{Map, stable_hash};

/// The manifest in force, indexed by host name.
#[derive(Clone, Debug)]
pub struct RouteTable {
    routing: Arc<Routing>,
    /// The indices of each host name's routes, the longest prefix first.
    by_hostname: Map<Box<str>, Vec<usize>>,
}

/// Whether a manifest replaces the one in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is newer and replaces the one in force.
    Adopt,
    /// It is the one in force or an older one. Routes and keys never revert to an older version.
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
    /// Builds the index of a manifest.
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

    /// Returns the manifest that was indexed.
    pub fn routing(&self) -> &Arc<Routing> {
        &self.routing
    }

    /// Returns the index of a call's route: among the routes of the host name, the one with the
    /// longest prefix of the path.
    pub fn find(&self, hostname: &str, path: &str) -> Option<usize> {
        let bare = hostname.rsplit_once(':').map_or(hostname, |(name, _)| name);
        let indices = self.by_hostname.get(bare.to_ascii_lowercase().as_str())?;

        indices.iter().copied().find(|i| path.starts_with(&*self.routing.routes[*i].prefix))
    }
}

/// Chooses the service of a call among those of its route, by their weights. All calls with the
/// same `conversation` get the same service, so that a conversation keeps its cached prompt when a
/// route is split.
///
/// Returns `None` if no service of the route has a weight.
pub fn choose_service<'a>(route: &'a Route, conversation: &str) -> Option<&'a str> {
    let total: u64 = route.services.iter().map(|s| u64::from(s.weight)).sum();

    if total == 0 {
        return None;
    }

    let mut point = stable_hash(&[conversation.as_bytes()]) % total;

    for candidate in &route.services {
        let weight = u64::from(candidate.weight);
        if point < weight {
            return Some(&candidate.service);
        }
        point -= weight;
    }

    None
}
