//! The declared things, each with the place that faults in it are reported at.

use camphorwalk_core::config::{Config, Fleet, Target, TargetKind, Template, Tenant};

use crate::documents::{ROOT, fault};
use crate::errors::Fault;

/// The file that faults name for a configuration that came as a whole.
pub(crate) const WHOLE: &str = "config";

/// A declared thing and its place.
#[derive(Clone, Debug)]
pub(crate) struct Placed<T> {
    /// The file.
    pub(crate) file: Box<str>,
    /// The JSON path within it.
    pub(crate) path: Box<str>,
    /// The thing.
    pub(crate) item: T,
}

impl<T> Placed<T> {
    /// Makes a thing at its place.
    pub(crate) fn new(file: &str, path: &str, item: T) -> Self {
        Self { file: file.into(), path: path.into(), item }
    }

    /// Makes a fault of this thing; `below` is the path within it, such as `.name`.
    pub(crate) fn fault(&self, below: &str, reason: impl Into<Box<str>>) -> Fault {
        fault(&self.file, &format!("{}{below}", self.path), reason)
    }
}

/// All declared things that could be read, and what is known of those that could not.
#[derive(Clone, Debug, Default)]
pub(crate) struct Parts {
    /// The fleet.
    pub(crate) fleet: Option<Placed<Fleet>>,
    /// The targets.
    pub(crate) targets: Vec<Placed<Target>>,
    /// The templates.
    pub(crate) templates: Vec<Placed<Template>>,
    /// The tenants.
    pub(crate) tenants: Vec<Placed<Tenant>>,
    /// Where names could not be read, so that references to them are no faults.
    pub(crate) unread: Unread,
}

/// Of which things some names could not be read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unread {
    /// Availability zones.
    pub(crate) zones: bool,
    /// Classes.
    pub(crate) classes: bool,
    /// Pools, or their kinds.
    pub(crate) pools: bool,
    /// Templates.
    pub(crate) templates: bool,
}

impl Parts {
    /// Takes a whole configuration apart.
    pub(crate) fn of_config(config: &Config) -> Self {
        Self {
            fleet: Some(Placed::new(WHOLE, &format!("{ROOT}.fleet"), config.fleet.clone())),
            targets: place_all("targets", &config.targets),
            templates: place_all("templates", &config.templates),
            tenants: place_all("tenants", &config.tenants),
            unread: Unread::default(),
        }
    }

    /// Returns whether there is, or may be, an availability zone with this name.
    pub(crate) fn has_zone(&self, name: &str) -> bool {
        let declared = |fleet: &Fleet| fleet.zones.iter().any(|zone| &*zone.name == name);

        self.fleet.as_ref().is_some_and(|fleet| declared(&fleet.item)) || self.unread.zones
    }

    /// Returns whether there is, or may be, a class with this name.
    pub(crate) fn has_class(&self, name: &str) -> bool {
        let declared = |fleet: &Fleet| fleet.classes.iter().any(|class| &*class.name == name);

        self.fleet.as_ref().is_some_and(|fleet| declared(&fleet.item)) || self.unread.classes
    }

    /// Returns whether there is, or may be, a template with this name.
    pub(crate) fn has_template(&self, name: &str) -> bool {
        self.templates.iter().any(|template| &*template.item.name == name) || self.unread.templates
    }

    /// Returns whether there is, or may be, a pool with this name.
    pub(crate) fn has_pool(&self, name: &str) -> bool {
        self.first_of_pool(name).is_some() || self.unread.pools
    }

    /// Returns the kind of a pool, as its first target says; none if that is not known.
    pub(crate) fn pool_kind(&self, name: &str) -> Option<TargetKind> {
        let first = self.first_of_pool(name).filter(|_| !self.unread.pools)?;

        Some(first.kind)
    }

    /// Returns the first target of a pool.
    fn first_of_pool(&self, name: &str) -> Option<&Target> {
        self.targets.iter().map(|target| &target.item).find(|target| &*target.pool == name)
    }
}

/// Places the entries of a list of a whole configuration.
fn place_all<T: Clone>(list: &str, items: &[T]) -> Vec<Placed<T>> {
    let place = |(index, item): (usize, &T)| {
        Placed::new(WHOLE, &format!("{ROOT}.{list}[{index}]"), item.clone())
    };

    items.iter().enumerate().map(place).collect()
}
