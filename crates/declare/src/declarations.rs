//! Declarations together with their locations, which faults refer to.

use camphorwalk_core::config::{Config, Fleet, Target, TargetKind, Template, Tenant};

use crate::documents::{ROOT, fault};
use crate::errors::Fault;

/// The file name in the faults of a configuration that was not read from a folder.
pub(crate) const WHOLE_CONFIG: &str = "config";

/// A declaration and its location.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    /// The file's name, as faults show it.
    pub(crate) file: Box<str>,
    /// The JSON path within the file.
    pub(crate) path: Box<str>,
    /// The declaration itself.
    pub(crate) item: T,
}

impl<T> Located<T> {
    /// Combines a declaration with its location.
    pub(crate) fn new(file: &str, path: &str, item: T) -> Self {
        Self { file: file.into(), path: path.into(), item }
    }

    /// Returns a fault of this declaration; `subpath` is the path within it, such as `.name`.
    pub(crate) fn fault(&self, subpath: &str, reason: impl Into<Box<str>>) -> Fault {
        fault(&self.file, &format!("{}{subpath}", self.path), reason)
    }
}

/// All declarations that could be read, and which names could not be read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Declarations {
    /// The fleet, if it could be read.
    pub(crate) fleet: Option<Located<Fleet>>,
    /// The targets that could be read.
    pub(crate) targets: Vec<Located<Target>>,
    /// The templates that could be read.
    pub(crate) templates: Vec<Located<Template>>,
    /// The tenants that could be read.
    pub(crate) tenants: Vec<Located<Tenant>>,
    /// The kinds of which some names could not be read. An unknown name of such a kind is not
    /// reported as a fault.
    pub(crate) unread_names: UnreadNames,
}

/// For each kind of name, whether some of its names could not be read.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UnreadNames {
    /// Names of availability zones.
    pub(crate) zones: bool,
    /// Names of classes.
    pub(crate) classes: bool,
    /// Names of pools, or the kinds of their targets.
    pub(crate) pools: bool,
    /// Names of templates.
    pub(crate) templates: bool,
}

impl Declarations {
    /// Locates all declarations of a configuration that was not read from a folder.
    pub(crate) fn from_config(config: &Config) -> Self {
        Self {
            fleet: Some(Located::new(WHOLE_CONFIG, &format!("{ROOT}.fleet"), config.fleet.clone())),
            targets: locate_all("targets", &config.targets),
            templates: locate_all("templates", &config.templates),
            tenants: locate_all("tenants", &config.tenants),
            unread_names: UnreadNames::default(),
        }
    }

    /// Returns whether an availability zone with this name is declared, or may be among the unread
    /// ones.
    pub(crate) fn has_zone(&self, name: &str) -> bool {
        let declared = |fleet: &Fleet| fleet.zones.iter().any(|zone| &*zone.name == name);

        self.fleet.as_ref().is_some_and(|fleet| declared(&fleet.item)) || self.unread_names.zones
    }

    /// Returns whether a class with this name is declared, or may be among the unread ones.
    pub(crate) fn has_class(&self, name: &str) -> bool {
        let declared = |fleet: &Fleet| fleet.classes.iter().any(|class| &*class.name == name);

        self.fleet.as_ref().is_some_and(|fleet| declared(&fleet.item)) || self.unread_names.classes
    }

    /// Returns whether a template with this name is declared, or may be among the unread ones.
    pub(crate) fn has_template(&self, name: &str) -> bool {
        self.templates.iter().any(|template| &*template.item.name == name)
            || self.unread_names.templates
    }

    /// Returns whether a target is in a pool with this name, or may be among the unread ones.
    pub(crate) fn has_pool(&self, name: &str) -> bool {
        self.first_target_of_pool(name).is_some() || self.unread_names.pools
    }

    /// Returns the kind of a pool's first target, or `None` if the pool is unknown or some targets
    /// could not be read.
    pub(crate) fn pool_kind(&self, name: &str) -> Option<TargetKind> {
        let first = self.first_target_of_pool(name).filter(|_| !self.unread_names.pools)?;

        Some(first.kind)
    }

    /// Returns the first target of a pool.
    fn first_target_of_pool(&self, name: &str) -> Option<&Target> {
        self.targets.iter().map(|target| &target.item).find(|target| &*target.pool == name)
    }
}

/// Locates the entries of a list in a configuration that was not read from a folder.
fn locate_all<T: Clone>(list: &str, items: &[T]) -> Vec<Located<T>> {
    let locate = |(index, item): (usize, &T)| {
        Located::new(WHOLE_CONFIG, &format!("{ROOT}.{list}[{index}]"), item.clone())
    };

    items.iter().enumerate().map(locate).collect()
}
