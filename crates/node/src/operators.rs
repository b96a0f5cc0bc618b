//! The API for operators, health and metrics.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use camphorwalk_core::config::Config;
use camphorwalk_core::units::ConfigVersion;
use camphorwalk_policy::configs::{OperatorRequestId, Published};
use camphorwalk_policy::scheduler::{Event, OperatorReply, OperatorRequest, Status};
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, ConfigDropshot, ErrorStatusCode, HttpError,
    HttpServer, Query, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use http::{Response, StatusCode, header};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq as _;
use tokio::sync::oneshot;

use crate::errors::cannot_start;
use crate::host::{Phase, Shared};
use crate::responses::json;

/// The largest body of an operator's request, in bytes. A configuration of hundreds of tenants is
/// well below this.
const MAX_BODY_BYTES: usize = 8 << 20;

/// How long the control thread may take to reply to an operator. Publishing a configuration waits
/// for the platform.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

type Context = RequestContext<Arc<Shared>>;
type Answer = Result<Response<Body>, HttpError>;

/// The listener for operators.
pub struct OperatorServer {
    server: HttpServer<Arc<Shared>>,
}

impl OperatorServer {
    /// Binds the address and starts to serve operators.
    pub fn start(listen: SocketAddr, shared: Arc<Shared>) -> crate::Result<Self> {
        let config = ConfigDropshot {
            bind_address: listen,
            default_request_body_max_bytes: MAX_BODY_BYTES,
            ..ConfigDropshot::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let server = ServerBuilder::new(description(), shared, log)
            .config(config)
            .start()
            .map_err(|e| cannot_start("operators", e))?;

        Ok(Self { server })
    }

    /// Returns the address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

fn description() -> ApiDescription<Arc<Shared>> {
    let mut description = ApiDescription::new();

    register(&mut description).expect("the endpoints have distinct paths");

    description
}

/// Returns the OpenAPI document of the API, as JSON.
pub fn openapi() -> serde_json::Value {
    let version = semver::Version::new(1, 0, 0);

    description()
        .openapi("camphorwalk operators", version)
        .json()
        .expect("the endpoints make a valid OpenAPI document")
}

fn register(
    description: &mut ApiDescription<Arc<Shared>>,
) -> Result<(), ApiDescriptionRegisterError> {
    description.register(health_live)?;
    description.register(health_ready)?;
    description.register(metrics_text)?;
    description.register(fleet_status)?;
    description.register(config_in_force)?;
    description.register(publish_config)?;
    description.register(config_confirmations)?;
    description.register(withdraw_key)?;
    description.register(drain_host)
}

/// A publication.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    /// The version that the operator read; 0 for the first.
    base: u64,
    /// The new configuration.
    config: serde_json::Value,
}

/// A withdrawal.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct WithdrawBody {
    /// The key's public name.
    key: String,
}

/// An order to leave.
#[derive(Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    /// The host's name.
    host: String,
}

/// Which version is asked about.
#[derive(Deserialize, JsonSchema)]
struct VersionQuery {
    /// The version.
    version: u64,
}

/// A host, its version, and whether that is the requested version or a later one.
#[derive(Serialize)]
struct Confirmation {
    name: Box<str>,
    zone: Box<str>,
    version: ConfigVersion,
    reachable: bool,
    confirmed: bool,
}

/// Says that the process runs.
#[endpoint { method = GET, path = "/health/live" }]
async fn health_live(_cx: Context) -> Answer {
    Ok(json(StatusCode::OK, &serde_json::json!({ "live": true })))
}

/// Says whether the balancer should send callers here.
#[endpoint { method = GET, path = "/health/ready" }]
async fn health_ready(cx: Context) -> Answer {
    let ready = *cx.context().phase.borrow() == Phase::Serving;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };

    Ok(json(status, &serde_json::json!({ "ready": ready })))
}

/// Gets the metrics in the text format of Prometheus.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics_text(cx: Context) -> Answer {
    let text = cx.context().metrics.text();

    Ok(Response::builder()
        .header(header::CONTENT_TYPE, "text/plain; version=0.0.4")
        .body(text.into())
        .expect("a response with a fixed header is valid"))
}

/// Gets how the fleet looks from this host.
#[endpoint { method = GET, path = "/v1/status" }]
async fn fleet_status(cx: Context) -> Answer {
    match request_control(&cx, OperatorRequest::Status).await? {
        OperatorReply::Status(status) => Ok(json(StatusCode::OK, &status)),
        _ => Err(unexpected_reply()),
    }
}

/// Gets the configuration in force here.
#[endpoint { method = GET, path = "/v1/config" }]
async fn config_in_force(cx: Context) -> Answer {
    match request_control(&cx, OperatorRequest::Config).await? {
        OperatorReply::Config(Some(config)) => Ok(json(StatusCode::OK, &config_json(&config))),
        OperatorReply::Config(None) => {
            Ok(json(StatusCode::OK, &serde_json::json!({ "version": 0, "config": null })))
        }
        _ => Err(unexpected_reply()),
    }
}

/// Publishes a configuration.
#[endpoint { method = POST, path = "/v1/config" }]
async fn publish_config(cx: Context, body: TypedBody<PublishBody>) -> Answer {
    authorize(&cx)?;
    let body = body.into_inner();
    let config = match camphorwalk_declare::unbundle(body.config.to_string().as_bytes()) {
        Ok(config) => Box::new(config),
        Err(faults) => return Ok(invalid_config(faults.as_slice())),
    };
    if let OperatorReply::Config(Some(old)) = request_control(&cx, OperatorRequest::Config).await? {
        let faults = camphorwalk_declare::check_change(&old, &config);
        if !faults.is_empty() {
            return Ok(invalid_config(&faults));
        }
    }

    let base = ConfigVersion(body.base);
    match request_control(&cx, OperatorRequest::Publish { base, config }).await? {
        OperatorReply::Published(answer) => Ok(publish_response(&answer)),
        _ => Err(unexpected_reply()),
    }
}

/// Gets which hosts have a version in force.
#[endpoint { method = GET, path = "/v1/config/confirmations" }]
async fn config_confirmations(cx: Context, query: Query<VersionQuery>) -> Answer {
    let version = ConfigVersion(query.into_inner().version);

    match request_control(&cx, OperatorRequest::Status).await? {
        OperatorReply::Status(status) => {
            let hosts = confirmations(status, version);
            Ok(json(StatusCode::OK, &serde_json::json!({ "hosts": hosts })))
        }
        _ => Err(unexpected_reply()),
    }
}

/// Withdraws a key.
#[endpoint { method = POST, path = "/v1/keys/withdraw" }]
async fn withdraw_key(cx: Context, body: TypedBody<WithdrawBody>) -> Answer {
    let key = body.into_inner().key.into();

    accepted(request_control(&cx, OperatorRequest::Withdraw { key }).await?, "there is no such key")
}

/// Has a host leave.
#[endpoint { method = POST, path = "/v1/drain" }]
async fn drain_host(cx: Context, body: TypedBody<DrainBody>) -> Answer {
    let host: Box<str> = body.into_inner().host.into();
    if host == cx.context().name {
        authorize(&cx)?;
        cx.context().begin_leaving();
        return accepted(OperatorReply::Accepted, "");
    }

    accepted(
        request_control(&cx, OperatorRequest::Drain { host }).await?,
        "there is no such host in reach",
    )
}

fn accepted(reply: OperatorReply, unknown: &str) -> Answer {
    match reply {
        OperatorReply::Accepted => {
            Ok(json(StatusCode::OK, &serde_json::json!({ "accepted": true })))
        }
        OperatorReply::Unknown => {
            Ok(json(StatusCode::NOT_FOUND, &serde_json::json!({ "error": unknown })))
        }
        _ => Err(unexpected_reply()),
    }
}

fn publish_response(answer: &Published) -> Response<Body> {
    match answer {
        Published::Done(version) => {
            json(StatusCode::OK, &serde_json::json!({ "version": version }))
        }
        Published::Conflict(config) => {
            let current = config.as_deref().map(config_json);
            let error = "another change came first";
            json(StatusCode::CONFLICT, &serde_json::json!({ "error": error, "current": current }))
        }
        Published::Unavailable => {
            let error = "the platform is away; nothing was published";
            json(StatusCode::SERVICE_UNAVAILABLE, &serde_json::json!({ "error": error }))
        }
        Published::Unknown => {
            let error = "the platform's answer was lost; see `status` for the version in force";
            json(StatusCode::BAD_GATEWAY, &serde_json::json!({ "error": error }))
        }
    }
}

fn invalid_config(faults: &[camphorwalk_declare::Fault]) -> Response<Body> {
    let error = "the configuration is refused";

    json(StatusCode::BAD_REQUEST, &serde_json::json!({ "error": error, "faults": faults }))
}

fn config_json(config: &Config) -> serde_json::Value {
    serde_json::json!({ "version": config.version, "config": config })
}

fn confirmations(status: Status, version: ConfigVersion) -> Vec<Confirmation> {
    let confirmation = |host: camphorwalk_policy::scheduler::HostStatus| Confirmation {
        confirmed: host.version >= version,
        name: host.name,
        zone: host.zone,
        version: host.version,
        reachable: host.reachable,
    };

    status.hosts.into_iter().map(confirmation).collect()
}

/// Sends an operator's request to the control thread and waits for its reply.
async fn request_control(
    cx: &Context,
    request: OperatorRequest,
) -> Result<OperatorReply, HttpError> {
    authorize(cx)?;
    let shared = cx.context();
    let request_id = OperatorRequestId(shared.next_request_number());
    let (tx, rx) = oneshot::channel();
    shared.operator_requests.lock().unwrap_or_else(PoisonError::into_inner).insert(request_id, tx);
    shared.control.send(Event::Operator { request_id, request });

    match tokio::time::timeout(REPLY_TIMEOUT, rx).await {
        Ok(Ok(reply)) => Ok(reply),
        _ => {
            shared
                .operator_requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .remove(&request_id);
            Err(reply_timeout())
        }
    }
}

/// Checks the operators' key. The endpoints for health and metrics do not call this.
fn authorize(cx: &Context) -> Result<(), HttpError> {
    let given = cx
        .request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .unwrap_or_default();
    let digest: [u8; 32] = Sha256::digest(given.as_bytes()).into();

    // Comparing digests in constant time reveals nothing about the key through timing.
    if bool::from(digest.ct_eq(&cx.context().operator_key)) {
        return Ok(());
    }

    Err(HttpError::for_client_error(
        None,
        dropshot::ClientErrorStatusCode::UNAUTHORIZED,
        "the operators' key is needed: Authorization: Bearer KEY".into(),
    ))
}

/// Returns 504, which leaves open whether the request took effect. 503 would wrongly say that it
/// did not.
fn reply_timeout() -> HttpError {
    let message = "no answer in time; it may still take effect".to_owned();

    HttpError {
        status_code: ErrorStatusCode::GATEWAY_TIMEOUT,
        error_code: None,
        external_message: message.clone(),
        internal_message: message,
        headers: None,
    }
}

fn unexpected_reply() -> HttpError {
    HttpError::for_internal_error("the control thread sent a reply of the wrong kind".into())
}
