//! A client of the operator API of hosts, used by the commands.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use camphorwalk_core::config::Config;
use camphorwalk_core::units::ConfigVersion;
use camphorwalk_declare::Fault;
use camphorwalk_policy::scheduler::Status;
use http::StatusCode;
use hyper_util::client::legacy::Error as HttpError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use thiserror::Error;

use crate::client::{Answer, Client};
use crate::exit::Exit;

/// Errors of the operators' commands.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The file with the operators' key could not be read.
    #[error("cannot read the operators' key: {0}")]
    KeyFile(#[source] std::io::Error),
    /// The declarations are invalid.
    #[error("the declarations have {} faults", .0.len())]
    Faults(Vec<Fault>),
    /// The host refused the request.
    #[error("refused: {0}")]
    Refused(Box<str>),
    /// The configuration in force is not the version that the change is based on.
    #[error("another change came first: version {} is in force", .0.version.0)]
    Conflict(Box<InForce>),
    /// The host, or the platform that it depends on, could not be reached. Nothing was changed.
    #[error("could not reach: {0}")]
    Unreachable(Box<str>),
    /// The request may or may not have taken effect.
    #[error("not known whether it was done: {0}")]
    Unknown(Box<str>),
}

/// The result of a request to the operator API, or of a whole command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code for this error.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::KeyFile(_) => Exit::Usage,
            Self::Faults(_) | Self::Refused(_) | Self::Conflict(_) => Exit::Refused,
            Self::Unreachable(_) | Self::Unknown(_) => Exit::Unreachable,
        }
    }
}

/// The configuration that a host has in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// The version, or 0 if no configuration has been published yet.
    pub version: ConfigVersion,
    /// The configuration, if one has been published.
    pub config: Option<Config>,
}

/// The configuration version of one host, as seen by the host that was asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The host's name.
    pub name: Box<str>,
    /// The availability zone of the host.
    pub zone: Box<str>,
    /// The version that the host last reported to have in force.
    pub version: ConfigVersion,
    /// Whether a heartbeat of the host arrived recently.
    pub reachable: bool,
}

/// The response to a published configuration.
#[derive(Deserialize)]
struct PublishedBody {
    version: ConfigVersion,
}

/// The response to a publication whose base version is not in force.
#[derive(Deserialize)]
struct ConflictBody {
    current: Option<InForce>,
}

/// The response to a publication of an invalid configuration.
#[derive(Deserialize)]
struct FaultsBody {
    faults: Vec<Fault>,
}

/// The response to a query for confirmations.
#[derive(Deserialize)]
struct ConfirmationsBody {
    hosts: Vec<Confirmation>,
}

/// A client of the operator API of one host.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The address of the operator API.
    host: SocketAddr,
    /// The HTTP client, which sends the operators' key.
    client: Client,
}

impl Operator {
    /// Creates a client for the operator API at `host`, with the key stored in `key_file`.
    pub fn new(host: SocketAddr, key_file: &Path) -> Result<Self> {
        let key = fs::read_to_string(key_file).map_err(Error::KeyFile)?;

        Ok(Self { host, client: Client::new(key.trim()) })
    }

    /// Fetches the configuration in force.
    pub async fn config(&self) -> Result<InForce> {
        parse_response(self.get("/v1/config").await?)
    }

    /// Publishes a configuration that replaces version `base`, and returns its version. Fails with
    /// [`Error::Conflict`] if another version is in force.
    pub async fn publish(&self, base: ConfigVersion, config: &Config) -> Result<ConfigVersion> {
        let body = json!({ "base": base, "config": config });
        let answer = self.post("/v1/config", &body).await?;

        match answer.status {
            StatusCode::CONFLICT => {
                let conflict: ConflictBody = parse_body(answer)?;
                Err(Error::Conflict(Box::new(conflict.current.unwrap_or_default())))
            }
            StatusCode::BAD_REQUEST if answer.body["faults"].is_array() => {
                let refused: FaultsBody = parse_body(answer)?;
                Err(Error::Faults(refused.faults))
            }
            _ => parse_response(answer).map(|published: PublishedBody| published.version),
        }
    }

    /// Fetches the configuration version of each host, to see which ones confirmed `version`.
    pub async fn confirmations(&self, version: ConfigVersion) -> Result<Vec<Confirmation>> {
        let path = format!("/v1/config/confirmations?version={}", version.0);
        let body: ConfirmationsBody = parse_response(self.get(&path).await?)?;

        Ok(body.hosts)
    }

    /// Withdraws a caller's key permanently.
    pub async fn withdraw(&self, key: &str) -> Result<()> {
        parse_response::<Value>(self.post("/v1/keys/withdraw", &json!({ "key": key })).await?)
            .map(drop)
    }

    /// Asks a host to shut down gracefully.
    pub async fn drain(&self, host: &str) -> Result<()> {
        parse_response::<Value>(self.post("/v1/drain", &json!({ "host": host })).await?).map(drop)
    }

    /// Fetches the status of the fleet as the host sees it.
    pub async fn status(&self) -> Result<Status> {
        parse_response(self.get("/v1/status").await?)
    }

    /// Sends a GET request. It changes nothing, so every failure to reach the host is
    /// [`Error::Unreachable`].
    async fn get(&self, path: &str) -> Result<Answer> {
        let response = self.client.get(self.host, path).await;

        response.map_err(|error| Error::Unreachable(self.describe_error(&error)))
    }

    /// Sends a request that changes something.
    async fn post(&self, path: &str, body: &Value) -> Result<Answer> {
        let response = self.client.post(self.host, path, body).await;

        // Once connected, the request may have been sent, so a missing response does not tell
        // whether the change was made.
        response.map_err(|error| match error.downcast_ref::<HttpError>() {
            Some(http) if http.is_connect() => Error::Unreachable(self.describe_error(&error)),
            _ => Error::Unknown(self.describe_error(&error)),
        })
    }

    /// Returns the text of a connection error, with the address of the host.
    fn describe_error(&self, error: &anyhow::Error) -> Box<str> {
        format!("{}: {error:#}", self.host).into()
    }
}

/// Parses the body of a successful response, or converts an error status into an error.
fn parse_response<T: DeserializeOwned>(answer: Answer) -> Result<T> {
    if answer.status.is_success() {
        return parse_body(answer);
    }

    let message = error_message(&answer);
    Err(match answer.status {
        StatusCode::SERVICE_UNAVAILABLE => Error::Unreachable(message),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Error::Unknown(message),
        _ => Error::Refused(message),
    })
}

/// Parses the body of a response.
fn parse_body<T: DeserializeOwned>(answer: Answer) -> Result<T> {
    serde_json::from_value(answer.body)
        .map_err(|error| Error::Unknown(format!("the answer cannot be read: {error}").into()))
}

/// Returns the error message in the body of a response, or its status if there is none.
fn error_message(answer: &Answer) -> Box<str> {
    let text = answer.body["error"].as_str().or(answer.body["message"].as_str());

    match text {
        Some(text) => text.into(),
        None => format!("status {}", answer.status).into(),
    }
}
