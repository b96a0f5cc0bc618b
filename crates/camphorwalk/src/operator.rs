//! A host's operator API, as the commands use it.

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

/// Why an operator's command did not do what was asked.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// The file with the operators' key cannot be read.
    #[error("cannot read the operators' key: {0}")]
    KeyFile(#[source] std::io::Error),
    /// The declarations have faults.
    #[error("the declarations have {} faults", .0.len())]
    Faults(Vec<Fault>),
    /// The host refused.
    #[error("refused: {0}")]
    Refused(Box<str>),
    /// Another change came first.
    #[error("another change came first: version {} is in force", .0.version.0)]
    Conflict(Box<InForce>),
    /// The host, or what it needs, could not be reached; nothing was done.
    #[error("could not reach: {0}")]
    Unreachable(Box<str>),
    /// Whether it was done is not known.
    #[error("not known whether it was done: {0}")]
    Unknown(Box<str>),
}

/// The result of an operator's command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns how the command ends.
    pub const fn exit(&self) -> Exit {
        match self {
            Self::KeyFile(_) => Exit::Usage,
            Self::Faults(_) | Self::Refused(_) | Self::Conflict(_) => Exit::Refused,
            Self::Unreachable(_) | Self::Unknown(_) => Exit::Unreachable,
        }
    }
}

/// The configuration in force at a host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// Its version; 0 if there is none yet.
    pub version: ConfigVersion,
    /// The configuration.
    pub config: Option<Config>,
}

/// Whether a host has a version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// The host's name.
    pub name: Box<str>,
    /// Its availability zone.
    pub zone: Box<str>,
    /// The version that it was last heard to have in force.
    pub version: ConfigVersion,
    /// Whether it was heard of lately.
    pub reachable: bool,
}

/// The answer to a publication.
#[derive(Deserialize)]
struct PublishedBody {
    version: ConfigVersion,
}

/// The answer to a publication that came too late.
#[derive(Deserialize)]
struct ConflictBody {
    current: Option<InForce>,
}

/// The answer to a publication with faults.
#[derive(Deserialize)]
struct FaultsBody {
    faults: Vec<Fault>,
}

/// The answer about confirmations.
#[derive(Deserialize)]
struct ConfirmationsBody {
    hosts: Vec<Confirmation>,
}

/// A host's operator API.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Where it listens.
    host: SocketAddr,
    /// The client, with the operators' key.
    client: Client,
}

impl Operator {
    /// Makes the client of a host's operator API with the key in this file.
    pub fn new(host: SocketAddr, key_file: &Path) -> Result<Self> {
        let key = fs::read_to_string(key_file).map_err(Error::KeyFile)?;

        Ok(Self { host, client: Client::new(key.trim()) })
    }

    /// Gets the configuration in force.
    pub async fn config(&self) -> Result<InForce> {
        read(self.get("/v1/config").await?)
    }

    /// Publishes a configuration in place of version `base`.
    pub async fn publish(&self, base: ConfigVersion, config: &Config) -> Result<ConfigVersion> {
        let body = json!({ "base": base, "config": config });
        let answer = self.post("/v1/config", &body).await?;

        match answer.status {
            StatusCode::CONFLICT => {
                let conflict: ConflictBody = read_body(answer)?;
                Err(Error::Conflict(Box::new(conflict.current.unwrap_or_default())))
            }
            StatusCode::BAD_REQUEST if answer.body["faults"].is_array() => {
                let refused: FaultsBody = read_body(answer)?;
                Err(Error::Faults(refused.faults))
            }
            _ => read(answer).map(|published: PublishedBody| published.version),
        }
    }

    /// Gets which hosts have a version in force.
    pub async fn confirmations(&self, version: ConfigVersion) -> Result<Vec<Confirmation>> {
        let path = format!("/v1/config/confirmations?version={}", version.0);
        let body: ConfirmationsBody = read(self.get(&path).await?)?;

        Ok(body.hosts)
    }

    /// Withdraws a key.
    pub async fn withdraw(&self, key: &str) -> Result<()> {
        read::<Value>(self.post("/v1/keys/withdraw", &json!({ "key": key })).await?).map(drop)
    }

    /// Has a host leave.
    pub async fn drain(&self, host: &str) -> Result<()> {
        read::<Value>(self.post("/v1/drain", &json!({ "host": host })).await?).map(drop)
    }

    /// Gets how the fleet looks from the host.
    pub async fn status(&self) -> Result<Status> {
        read(self.get("/v1/status").await?)
    }

    /// Asks without changing anything.
    async fn get(&self, path: &str) -> Result<Answer> {
        let sent = self.client.get(self.host, path).await;

        sent.map_err(|error| Error::Unreachable(self.explain(&error)))
    }

    /// Asks for a change.
    async fn post(&self, path: &str, body: &Value) -> Result<Answer> {
        let sent = self.client.post(self.host, path, body).await;

        // Once connected, the request may have been sent, and silence tells nothing.
        sent.map_err(|error| match error.downcast_ref::<HttpError>() {
            Some(http) if http.is_connect() => Error::Unreachable(self.explain(&error)),
            _ => Error::Unknown(self.explain(&error)),
        })
    }

    /// Returns an error of the connection as a text.
    fn explain(&self, error: &anyhow::Error) -> Box<str> {
        format!("{}: {error:#}", self.host).into()
    }
}

/// Reads the body of a good answer, or turns a bad one into an error.
fn read<T: DeserializeOwned>(answer: Answer) -> Result<T> {
    if answer.status.is_success() {
        return read_body(answer);
    }

    let message = message(&answer);
    Err(match answer.status {
        StatusCode::SERVICE_UNAVAILABLE => Error::Unreachable(message),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Error::Unknown(message),
        _ => Error::Refused(message),
    })
}

/// Reads the body of an answer.
fn read_body<T: DeserializeOwned>(answer: Answer) -> Result<T> {
    serde_json::from_value(answer.body)
        .map_err(|error| Error::Unknown(format!("the answer cannot be read: {error}").into()))
}

/// Returns what a bad answer says.
fn message(answer: &Answer) -> Box<str> {
    let said = answer.body["error"].as_str().or(answer.body["message"].as_str());

    match said {
        Some(text) => text.into(),
        None => format!("status {}", answer.status).into(),
    }
}
