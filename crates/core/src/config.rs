//! The declarations of a deployment, as operators write them and hosts run them.
//!
//! The types here say what a declaration is; `camphorwalk-declare` reads them from files,
//! checks them against each other and publishes them. Unknown fields are errors.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::units::{ConfigVersion, Tokens};

/// The partitions of a deployment that does not say.
pub const DEFAULT_PARTITIONS: u16 = 64;

/// The slices of each tenant's rate in a deployment that does not say.
pub const DEFAULT_SLICES: u16 = 16;

/// A whole configuration: what one version in force everywhere says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its version, set when it is published.
    #[serde(default)]
    pub version: ConfigVersion,
    /// What holds for the whole deployment.
    pub fleet: Fleet,
    /// The targets.
    pub targets: Vec<Target>,
    /// The templates.
    pub templates: Vec<Template>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

/// What holds for the whole deployment (`fleet.json`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The deployment's name.
    pub name: Box<str>,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The classes of work.
    pub classes: Vec<Class>,
    /// The number of partitions. Fixed for the life of a deployment.
    #[serde(default = "default_partitions")]
    pub partitions: u16,
    /// The number of slices that each tenant's rate is cut into, in each region. Fixed for
    /// the life of a deployment.
    #[serde(default = "default_slices")]
    pub slices: u16,
}

fn default_partitions() -> u16 {
    DEFAULT_PARTITIONS
}

fn default_slices() -> u16 {
    DEFAULT_SLICES
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: Box<str>,
    /// The region it lies in.
    pub region: Box<str>,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: Box<str>,
    /// Its place in the order: lower ranks are answered first.
    pub rank: u8,
}

/// What kind of target something is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine: batches, caches prefixes, streams.
    Engine,
    /// A plain service.
    Service,
}

/// A target (one entry of `targets.json`).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Its name.
    pub name: Box<str>,
    /// The pool it belongs to: the targets that serve the same model or service.
    pub pool: Box<str>,
    /// Its kind; the same in the whole pool.
    pub kind: TargetKind,
    /// The availability zone it stands in.
    pub zone: Box<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The most requests that are in flight at it.
    pub window: u32,
    /// How many tokens its prefix cache holds; engines only.
    #[serde(default)]
    pub cache_tokens: Tokens,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is leaving, and gets nothing new.
    #[serde(default)]
    pub leaving: bool,
}

/// A template (`templates/*.json`).
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Its name.
    pub name: Box<str>,
    /// The targets that its calls may name.
    pub targets: Vec<TemplateTarget>,
    /// The most calls of a program.
    pub max_calls: u32,
    /// The most sub-agents above one another; 0 allows none.
    #[serde(default)]
    pub max_depth: u8,
    /// The most tokens that one call generates.
    pub max_output_tokens: u32,
    /// The longest deadline that a caller may ask for.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_deadline_ms")]
    pub max_deadline: Duration,
    /// Whether it is withdrawn: programs that run are finished, none is opened.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A target as a template's calls name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateTarget {
    /// The name that calls give.
    pub name: Box<str>,
    /// The pool that serves it.
    pub pool: Box<str>,
    /// The operation of a plain service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Box<str>>,
    /// Whether a call may be run again after a failure. Model turns are; a plain service's
    /// operation is not unless its declaration says so.
    #[serde(default)]
    pub idempotent: bool,
}

/// A tenant (`tenants/*.json`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: Box<str>,
    /// The templates that it may open, with the class of each.
    pub assistants: Vec<Assistant>,
    /// Its rate in calls a second, over all hosts together.
    pub rate_per_second: f64,
    /// Its burst in calls, over all hosts together.
    pub burst: u32,
    /// What each of its programs may spend, sub-agents included.
    pub budget_tokens: Tokens,
    /// Its weight in fair shares.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Its callers' keys.
    pub keys: Vec<Key>,
    /// Whether a zone that is cut off from everyone, and so cannot hear of a withdrawn key,
    /// goes on serving it.
    #[serde(default = "default_true")]
    pub serve_when_cut_off: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_true() -> bool {
    true
}

/// A template that a tenant may open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assistant {
    /// The template's name.
    pub template: Box<str>,
    /// The class of its programs.
    pub class: Box<str>,
}

/// A caller's key, kept as a digest only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its public name, for operators.
    pub id: Box<str>,
    /// The SHA-256 digest of the secret, in hexadecimal.
    pub sha256: Box<str>,
}
