//! Request bodies, paths and queries of the API for callers.

use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::value::RawValue;

/// The body that opens a program.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct OpenBody {
    /// The template's name.
    pub template: String,
    /// How long the caller waits for the whole program, in milliseconds.
    pub deadline_ms: u64,
    /// The program that this one is a sub-agent of.
    #[serde(default)]
    pub parent: Option<String>,
}

/// The body of a call.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// The last call that the caller has seen; 0 at first.
    pub after: u32,
    /// The target's name in the template.
    pub target: String,
    /// The input: any JSON value.
    #[schemars(with = "serde_json::Value")]
    pub input: Box<RawValue>,
    /// The most tokens to generate.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// The sealed turns that the last answer gave, if it did.
    #[serde(default)]
    pub tail: Option<String>,
}

/// The path of a program.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct ProgramPath {
    /// The program.
    pub program: String,
}

/// The path of a call.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct CallPath {
    /// The program.
    pub program: String,
    /// The call's idempotency key.
    pub key: String,
}

/// Which part of a history is asked for.
#[derive(Debug, Deserialize, JsonSchema)]
pub struct HistoryQuery {
    /// The first call to return; 1 if left out.
    #[serde(default)]
    pub from: Option<u32>,
}
