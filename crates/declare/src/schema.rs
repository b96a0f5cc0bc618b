//! The JSON shapes of all declarations. They must list the same fields as the types in
//! `camphorwalk_core::config`.

use crate::shapes::Shape::{self, Address, Bool, List, Number, Object, OneOf, Text, Unsigned};
use crate::shapes::{Field, optional, required};

const U8: Shape = Unsigned(u8::MAX as u64);
const U16: Shape = Unsigned(u16::MAX as u64);
const U32: Shape = Unsigned(u32::MAX as u64);
const U64: Shape = Unsigned(u64::MAX);

const ZONE: Shape = Object(&[required("name", Text), required("region", Text)]);

const CLASS: Shape = Object(&[required("name", Text), required("rank", U8)]);

/// The shape of `fleet.json`.
pub(crate) const FLEET: Shape = Object(&[
    required("name", Text),
    required("zones", List(&ZONE)),
    required("classes", List(&CLASS)),
    optional("partitions", U16),
    optional("slices", U16),
]);

/// The shape of one entry of `targets.json`.
pub(crate) const TARGET: Shape = Object(&[
    required("name", Text),
    required("pool", Text),
    required("kind", OneOf(&["engine", "service"])),
    required("zone", Text),
    required("address", Address),
    required("window", U32),
    optional("cache_tokens", U64),
    optional("checks_fencing", Bool),
    optional("leaving", Bool),
]);

/// The shape of `targets.json`.
pub(crate) const TARGETS: Shape = Object(&[required("targets", List(&TARGET))]);

const TEMPLATE_TARGET: Shape = Object(&[
    required("name", Text),
    required("pool", Text),
    optional("operation", Text),
    optional("idempotent", Bool),
]);

/// The shape of a file in `templates`.
pub(crate) const TEMPLATE: Shape = Object(&[
    required("name", Text),
    required("targets", List(&TEMPLATE_TARGET)),
    required("max_calls", U32),
    optional("max_depth", U8),
    required("max_output_tokens", U32),
    required("max_deadline_ms", U64),
    optional("withdrawn", Bool),
]);

const ASSISTANT: Shape = Object(&[required("template", Text), required("class", Text)]);

const KEY: Shape = Object(&[required("id", Text), required("sha256", Text)]);

/// The shape of a file in `tenants`.
pub(crate) const TENANT: Shape = Object(TENANT_FIELDS);

const TENANT_FIELDS: &[Field] = &[
    required("name", Text),
    required("assistants", List(&ASSISTANT)),
    required("rate_per_second", Number),
    required("burst", U32),
    required("budget_tokens", U64),
    optional("weight", U32),
    required("keys", List(&KEY)),
    optional("serve_when_cut_off", Bool),
];

/// The shape of a whole configuration, as in a bundle.
pub(crate) const CONFIG: Shape = Object(&[
    optional("version", U64),
    required("fleet", FLEET),
    required("targets", List(&TARGET)),
    required("templates", List(&TEMPLATE)),
    required("tenants", List(&TENANT)),
]);
