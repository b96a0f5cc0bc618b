//! The configuration of a deployment, which operators write and hosts apply.
//!
//! `camphorwalk-declare` reads these types from files, validates them and publishes them. Unknown
//! fields are errors.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::units::{ConfigVersion, Tokens};

/// The default number of partitions of a deployment.
pub const DEFAULT_PARTITIONS: u16 = 64;

/// The default number of slices of each tenant's rate.
pub const DEFAULT_SLICES: u16 = 16;

/// One version of the complete configuration of a deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Its version, assigned on publication.
    #[serde(default)]
    pub version: ConfigVersion,
    /// Settings of the whole deployment.
    pub fleet: Fleet,
    /// The targets.
    pub targets: Vec<Target>,
    /// The templates.
    pub templates: Vec<Template>,
    /// The tenants.
    pub tenants: Vec<Tenant>,
}

/// Settings of the whole deployment (`fleet.json`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The deployment's name.
    pub name: Box<str>,
    /// The availability zones.
    pub zones: Vec<Zone>,
    /// The classes of work.
    pub classes: Vec<Class>,
    /// The number of partitions into which programs are divided. Cannot be changed later.
    #[serde(default = "default_partitions")]
    pub partitions: u16,
    /// The number of slices into which each tenant's rate is divided, in each region. Cannot be
    /// changed later.
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
    /// Its region.
    pub region: Box<str>,
}

/// A class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: Box<str>,
    /// Its priority. Lower ranks are served first.
    pub rank: u8,
}

/// The kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine, which batches calls, caches prompt prefixes and streams output.
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
    /// Its pool, which consists of the targets that serve the same model or service.
    pub pool: Box<str>,
    /// Its kind, which must be the same for the whole pool.
    pub kind: TargetKind,
    /// Its availability zone.
    pub zone: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The maximum number of requests in flight.
    pub window: u32,
    /// The capacity of its prefix cache in tokens, for engines only.
    #[serde(default)]
    pub cache_tokens: Tokens,
    /// Whether it rejects commands with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it is being drained and gets no new calls.
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
    /// The targets that its calls may use.
    pub targets: Vec<TemplateTarget>,
    /// The maximum number of calls of a program.
    pub max_calls: u32,
    /// The maximum nesting depth of sub-agents; 0 allows none.
    #[serde(default)]
    pub max_depth: u8,
    /// The maximum number of tokens that one call may generate.
    pub max_output_tokens: u32,
    /// The longest deadline that a caller may request.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_deadline_ms")]
    pub max_deadline: Duration,
    /// Whether it is withdrawn: running programs may finish, but no new ones can be opened.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A target under the name that a template's calls use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateTarget {
    /// The name that calls use.
    pub name: Box<str>,
    /// The pool that serves it.
    pub pool: Box<str>,
    /// The operation to call, for plain services only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<Box<str>>,
    /// Whether a call may be retried after a failure. Model turns always may; operations of plain
    /// services only if this is set.
    #[serde(default)]
    pub idempotent: bool,
}

/// A tenant (`tenants/*.json`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: Box<str>,
    /// The templates that it may use, with the class of each.
    pub assistants: Vec<Assistant>,
    /// Its rate in calls per second, over all hosts together.
    pub rate_per_second: f64,
    /// Its burst in calls, over all hosts together.
    pub burst: u32,
    /// The tokens that each of its programs may spend, including sub-agents.
    pub budget_tokens: Tokens,
    /// Its weight in fair sharing of capacity.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The keys of its callers.
    pub keys: Vec<Key>,
    /// Whether an isolated zone, which does not learn of withdrawn keys, continues to serve it.
    #[serde(default = "default_true")]
    pub serve_when_cut_off: bool,
}

fn default_weight() -> u32 {
    1
}

fn default_true() -> bool {
    true
}

/// A template that a tenant may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assistant {
    /// The template's name.
    pub template: Box<str>,
    /// The class of its programs.
    pub class: Box<str>,
}

/// A caller's key, of which only a digest is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Its public name, which operators use.
    pub id: Box<str>,
    /// The SHA-256 digest of the secret, in hexadecimal.
    pub sha256: Box<str>,
}
