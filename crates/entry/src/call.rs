//! A caller's call, from its head to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use camphorwalk_adapter::head::{self, LogIds};
use camphorwalk_core::entry::{CallHead, Route, Routing};
use camphorwalk_core::hash::stable_hash;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::attempts::Attempts;
use camphorwalk_policy::entry::crashes::Fingerprint;
use camphorwalk_policy::entry::placement::PlacementRequest;
use camphorwalk_policy::entry::rates::Admission;
use camphorwalk_policy::entry::routes;
use camphorwalk_policy::entry::waiting::Urgency;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;

use crate::answer::{Answer, Refusal, close_after};
use crate::budget::{self, Hold};
use crate::host::{OpenRequest, Shared};
use crate::turns::{self, Continuation};
use crate::{callers, clock, places, plain, stream};

/// How long a call may take where neither the caller nor the route says.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// When a caller is told to come back while no manifest is known yet.
const NO_MANIFEST_RETRY: Duration = Duration::from_millis(400);

/// When a caller is told to come back who came to a host that is about to end: another host takes
/// the new connection, if any is left.
const LEAVING_RETRY: Duration = Duration::from_millis(200);

/// How a call was answered by a target, for the logs.
#[derive(Clone, Copy)]
pub(crate) struct Answered<'a> {
    /// The target's id.
    pub(crate) target: &'a str,
    /// What all hosts had in flight there, this call included, as this host knew.
    pub(crate) load: u32,
    pub(crate) status: StatusCode,
    /// To how many targets it was offered.
    pub(crate) offers: u32,
    /// The events passed on, of a stream.
    pub(crate) events: Option<u64>,
}

/// A call on its way to a target.
pub(crate) struct Call {
    pub(crate) shared: Rc<Shared>,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    /// The path and query as sent.
    pub(crate) path: Box<str>,
    /// The caller's headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    routing: Arc<Routing>,
    route: usize,
    pub(crate) tenant: Option<Box<str>>,
    pub(crate) service: Box<str>,
    /// When its head was read.
    pub(crate) began: Instant,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
    /// What is known of its attempts.
    pub(crate) attempts: Cell<Attempts>,
    fingerprint: Fingerprint,
    /// Whether it begins a program.
    is_new: Cell<bool>,
    /// Held until the answer is whole.
    _open: OpenRequest,
}

impl Call {
    /// Returns its route.
    pub(crate) fn route(&self) -> &Route {
        &self.routing.routes[self.route]
    }

    /// Returns the tokens that each event of its stream stands for.
    pub(crate) fn tokens_per_event(&self) -> u64 {
        let engine = self.routing.services.get(&self.service).and_then(|s| s.engine.as_ref());

        engine.map_or(1, |engine| u64::from(engine.tokens_per_event))
    }

    /// Returns the name of the line of calls that are best served by one target.
    fn line(head: &CallHead) -> &str {
        let named = head.session.as_deref().or(head.affinity_key.as_deref());

        named.unwrap_or(&head.request_id)
    }

    /// Returns what placement is told of it.
    pub(crate) fn shape(&self) -> PlacementRequest {
        let parts: Vec<_> = self.head.prefix.iter().map(|p| (p.id, p.tokens)).collect();
        let named = self.head.affinity_key.as_deref().filter(|_| self.route().sticky);
        let object = named.filter(|_| parts.is_empty()).map(|o| stable_hash(&[o.as_bytes()]));
        let new_program_rank = self.is_new.get().then_some(self.route().rank);

        let seed = stable_hash(&[self.head.request_id.as_bytes()]);

        PlacementRequest { new_program_rank, parts, object, avoid: Vec::new(), seed }
    }

    /// Returns how urgent it is.
    pub(crate) fn urgency(&self) -> Urgency {
        let should_end = self.head.program_deadline.map(|left| self.began + left);
        let is_late = should_end.is_some_and(|at| at <= clock::now());
        let deadline = match should_end {
            Some(at) if !is_late => self.deadline.min(at),
            _ => self.deadline,
        };

        Urgency { is_late, is_new: self.is_new.get(), rank: self.route().rank, deadline }
    }

    /// Returns whether it may be the first turn of its program by its head alone: it continues
    /// nothing, and its prompt has no part of a parent's line between the shared part and its
    /// own.
    pub(crate) fn may_be_first(&self) -> bool {
        self.head.starts_conversation() && self.has_no_parent()
    }

    fn has_no_parent(&self) -> bool {
        /// The part that calls of a kind share, and the line's own.
        const FIRST_TURN_PARTS: usize = 2;

        self.head.prefix.len() <= FIRST_TURN_PARTS
    }

    /// Returns whether it begins a program, as far as this host can tell.
    fn begins_program(&self) -> bool {
        self.route().retry_policy.is_stream()
            && self.may_be_first()
            && !self.shared.places.is_under_way(self.head.program.as_deref())
    }

    /// Logs that a target answered it, and on what it was sent there.
    pub(crate) fn log_answer(&self, answered: &Answered<'_>) {
        if !self.shared.stories.keeps(&self.head.request_id) {
            return;
        }

        let Answered { target, load, status, offers, events } = *answered;
        info!(
            request = %self.head.request_id, program = self.head.program.as_deref(),
            route = %self.route().name, manifest = self.routing.version,
            tenant = self.tenant.as_deref(), is_new = self.is_new.get(), target_id = target, load,
            offers, events, status = status.as_u16(),
            took_ms = clock::now().since(self.began).as_millis() as u64, "call: answered"
        );
    }

    /// Returns whether a target may have run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.get().may_have_run()
    }

    /// Takes in that it is sent to a target.
    pub(crate) fn sent(&self) {
        let mut attempts = self.attempts.get();
        attempts.sent();
        self.attempts.set(attempts);
    }

    /// Takes in that the target that it was sent to last has certainly not run it.
    pub(crate) fn not_run(&self) {
        let mut attempts = self.attempts.get();
        attempts.not_run();
        self.attempts.set(attempts);
    }

    /// Returns the refusal as this call may be given it: one that a target may have run cannot be
    /// told that it has not.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run() {
            true => Refusal::lost(refusal.reason),
            false => refusal,
        }
    }

    /// Returns what it is known by when it comes again.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }
}

/// What came to be known of a call, for the logs of a refusal.
struct Known {
    route: Box<str>,
    tenant: Box<str>,
}

impl Default for Known {
    fn default() -> Self {
        Self { route: "none".into(), tenant: Box::default() }
    }
}

/// Serves a request.
pub(crate) async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Answer {
    let began = clock::now();
    let open = shared.open();
    let was_chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let LogIds { request: request_id, program } = head::read_ids(req.headers());
    let mut known = Known::default();

    let result = attempt(&shared, req, began, open, &mut known).await;
    let Known { route, tenant } = known;
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            let after = refusal.retry_after.map(|after| after.as_millis() as u64);
            info!(
                request = %request_id, program = %program, route = %route, tenant = %tenant,
                status = refusal.status.as_u16(), reason = refusal.reason, retry_after_ms = after,
                took_ms = clock::now().since(began).as_millis() as u64, "call: refused"
            );
            shared.metrics.refusals.with_label_values(&[refusal.reason]).inc();
            refusal.answer(&request_id)
        }
    };

    let status = answer.status();
    shared.metrics.answers.with_label_values(&[&route, status.as_str()]).inc();
    let took = clock::now().since(began).as_secs_f64();
    shared.metrics.latency.with_label_values(&[&route]).observe(took);
    if !tenant.is_empty() {
        shared.metrics.tenant_latency.with_label_values(&[&tenant]).observe(took);
    }

    // After a chunked body the library may have dropped a second length of the request, and
    // what follows could be a request hidden in the body. Closing leaves it unread.
    let rejected = matches!(
        status,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT
    );
    if was_chunked || rejected || shared.sends_callers_away() {
        close_after(&mut answer);
    }

    answer
}

async fn attempt(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    began: Instant,
    open: OpenRequest,
    known: &mut Known,
) -> Result<Answer, Refusal> {
    if shared.takes_no_more() {
        return Err(Refusal::later_spread("the host is leaving", LEAVING_RETRY));
    }
    let call = read(shared, req, began, open).await?;
    known.route = call.route().name.clone();
    known.tenant = call.tenant.clone().unwrap_or_default();
    admit(&call).await?;

    let call = Rc::new(call);
    let left = clock::until(call.deadline);
    let result = match timeout(left, forward(Rc::clone(&call))).await {
        Ok(result) => result,
        Err(_) => Err(Refusal::late(call.may_have_run())),
    };

    // Only calls that run count towards a tenant's rate.
    if let (Err(_), false, Some(tenant)) = (&result, call.may_have_run(), &call.tenant) {
        call.shared.rates.borrow_mut().refund(tenant);
    }
    result
}

/// Reads a request, and finds its route and tenant.
async fn read(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    began: Instant,
    open: OpenRequest,
) -> Result<Call, Refusal> {
    let (parts, body) = req.into_parts();

    if parts.headers.contains_key(header::TRANSFER_ENCODING)
        && parts.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Refusal::wrong(StatusCode::BAD_REQUEST, "two lengths of one body"));
    }

    let head = head::read_call(&parts.headers)
        .map_err(|_| Refusal::wrong(StatusCode::BAD_REQUEST, "a header makes no sense"))?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let hostname = hostname(&parts.headers, &parts.uri);
    let (routing, route) = find_route(shared, hostname, parts.uri.path())?;
    let tenant = find_tenant(&routing, &routing.routes[route], &head)?;
    let service = routes::service(&routing.routes[route], Call::line(&head))
        .ok_or_else(|| Refusal::later("the route has no service", NO_MANIFEST_RETRY))?
        .into();
    let timeout = routing.routes[route].timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = began + head.deadline.unwrap_or(timeout).min(timeout);
    let limits = callers::limits(shared);
    let body = read_body(body, limits.body_bytes, clock::until(deadline)).await?;
    let fingerprint = Fingerprint(stable_hash(&[
        parts.method.as_str().as_bytes(),
        path.as_bytes(),
        tenant.as_deref().unwrap_or_default().as_bytes(),
        &body,
    ]));

    let call = Call {
        is_new: Cell::new(false),
        shared: Rc::clone(shared),
        method: parts.method,
        path: path.into(),
        headers: parts.headers,
        body,
        routing,
        route,
        tenant,
        service,
        began,
        deadline,
        attempts: Cell::default(),
        fingerprint,
        _open: open,
        head,
    };
    call.is_new.set(call.begins_program());

    Ok(call)
}

fn hostname<'a>(headers: &'a HeaderMap, uri: &'a http::Uri) -> &'a str {
    let header = headers.get(header::HOST).and_then(|value| value.to_str().ok());

    header.or(uri.host()).unwrap_or_default()
}

fn find_route(
    shared: &Shared,
    hostname: &str,
    path: &str,
) -> Result<(Arc<Routing>, usize), Refusal> {
    let table = shared.routes.borrow();
    let table = table
        .as_ref()
        .ok_or_else(|| Refusal::later("no manifest is known yet", NO_MANIFEST_RETRY))?;
    let route = table
        .find(hostname, path)
        .ok_or_else(|| Refusal::wrong(StatusCode::NOT_FOUND, "no route for this path"))?;

    Ok((Arc::clone(table.routing()), route))
}

fn find_tenant(
    routing: &Routing,
    route: &Route,
    head: &CallHead,
) -> Result<Option<Box<str>>, Refusal> {
    if route.public || routing.tenants.is_empty() {
        return Ok(None);
    }

    let index = head.api_key.as_ref().and_then(|key| routing.keys.get(key));
    let unknown = || Refusal::wrong(StatusCode::UNAUTHORIZED, "the key is not known");

    index.map(|i| Some(routing.tenants[*i].name.clone())).ok_or_else(unknown)
}

async fn read_body(body: Incoming, most: usize, left: Duration) -> Result<Bytes, Refusal> {
    let collected = timeout(left.min(BODY_TIMEOUT), Limited::new(body, most).collect()).await;

    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            Err(Refusal::wrong(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(_)) => Err(Refusal::wrong(StatusCode::BAD_REQUEST, "the body cannot be read")),
        Err(_) => Err(Refusal::wrong(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}

/// Refuses what must not run: calls that bring targets down, and those over the tenant's rate.
async fn admit(call: &Call) -> Result<(), Refusal> {
    if call.shared.crashes.borrow().is_blocked(call.fingerprint) {
        return Err(Refusal::wrong(
            StatusCode::SERVICE_UNAVAILABLE,
            "targets went down under this call",
        ));
    }

    let Some(tenant) = &call.tenant else { return Ok(()) };
    let asked = clock::now();
    let is_new = call.is_new.get();
    loop {
        let now = clock::now();
        let waited = now.since(asked);
        let admission = call.shared.rates.borrow_mut().admit(now, tenant, is_new, waited);

        match admission {
            Admission::Admitted => {
                if !waited.is_zero() {
                    call.shared.metrics.rate_wait.observe(waited.as_secs_f64());
                }
                return Ok(());
            }
            Admission::Wait(after) => tokio::time::sleep(after).await,
            Admission::Refused(after) => {
                log_over_rate(call, tenant, waited);
                return Err(Refusal::over_rate(after));
            }
        }
    }
}

fn log_over_rate(call: &Call, tenant: &str, waited: Duration) {
    let Some(state) = call.shared.rates.borrow().explain(tenant) else { return };

    info!(
        request = %call.head.request_id, tenant = %tenant, is_new = call.is_new.get(),
        waited_ms = waited.as_millis() as u64, level = state.level, rate = state.rate,
        demand = state.demand, others_demand = state.others_demand,
        withheld = state.reserved, "rate: over"
    );
}

async fn forward(call: Rc<Call>) -> Result<Answer, Refusal> {
    if !call.route().retry_policy.is_stream() {
        return plain::forward(&call).await;
    }

    turns::may_be_kept(&call)?;

    // A new program that is refused after its budget was granted would come back as one under
    // way, and take the places of those that are.
    if call.is_new.get() {
        places::may_begin(&call.shared, &call.service, &call.shape())?;
    }

    // The store is asked for the budget and for earlier turns at the same time.
    let (hold, continuation) = tokio::join!(budget::hold(&call), turns::continuation(&call));
    let hold: Option<Hold> = hold?;
    let continuation: Continuation = continuation?;
    if hold.as_ref().is_some_and(|hold| !hold.is_first) {
        call.is_new.set(false);
    }
    let answer = stream::forward(Rc::clone(&call), hold, continuation).await?;
    call.shared.places.began(call.head.program.as_deref());

    Ok(answer)
}
