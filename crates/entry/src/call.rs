//! A caller's call, from the request head to the answer.

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
use camphorwalk_policy::entry::crashes::{CallContent, Fingerprint};
use camphorwalk_policy::entry::placement::{PlacementRequest, TargetKey};
use camphorwalk_policy::entry::rates::Admission;
use camphorwalk_policy::entry::routes;
use camphorwalk_policy::entry::stream_origins::{Origin, StreamKey, StreamKeys};
use camphorwalk_policy::entry::waiting::Urgency;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;
use tracing::info;

use crate::answer::{Answer, Refusal, close_after};
use crate::budget::{self, TokenReservation};
use crate::crash_watch::LostCall;
use crate::held_bytes::{self, CollectError, Hold};
use crate::host::{OpenRequest, Shared};
use crate::places::PlaceTarget;
use crate::turns::{self, Continuation};
use crate::{admission, callers, clock, crash_watch, places, stream, stream_origins, unary};

/// The time-out of a call whose route sets none. A caller can only shorten it.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a caller may take to send the body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry-After of a call that arrives before the first manifest is known, or whose route has no
/// service.
const NO_MANIFEST_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Retry-After of a call that arrives at a host which is about to shut down. Another host accepts
/// the new connection, if any is left.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// How a target answered a call, for the logs.
#[derive(Clone, Copy)]
pub(crate) struct TargetAnswer<'a> {
    pub(crate) target: &'a PlaceTarget,
    pub(crate) status: StatusCode,
    /// How many targets were tried, plus the number of attempts to resume a stream.
    pub(crate) offers: u32,
    /// The number of events that were forwarded, for a stream.
    pub(crate) events: Option<u64>,
}

/// A call on its way to a target.
pub(crate) struct Call {
    pub(crate) shared: Rc<Shared>,
    pub(crate) head: CallHead,
    pub(crate) method: Method,
    /// The path and query as received.
    pub(crate) path: Box<str>,
    /// The caller's headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The reservation of the body, if the host has a bound.
    pub(crate) held: Option<Hold>,
    routing: Arc<Routing>,
    route: usize,
    pub(crate) tenant: Option<Box<str>>,
    pub(crate) service: Box<str>,
    /// When the request head was read.
    pub(crate) received_at: Instant,
    /// The end of the route's time-out, or the caller's deadline if that is earlier.
    pub(crate) deadline: Instant,
    /// Whether an attempt may have run at a target.
    pub(crate) attempts: Cell<Attempts>,
    fingerprint: Fingerprint,
    /// Where the stream began that the call resumes, if it does. The call may be sent to no other
    /// service or version.
    origin: Option<Origin>,
    /// Whether the call begins a program, as far as this host can tell.
    is_new: Cell<bool>,
    /// Counts the request as open until the answer is complete.
    _open: OpenRequest,
}

impl Call {
    /// Returns the call's route.
    pub(crate) fn route(&self) -> &Route {
        &self.routing.routes[self.route]
    }

    /// Returns how many tokens each event of the call's stream represents.
    pub(crate) fn tokens_per_event(&self) -> u64 {
        let engine = self.routing.services.get(&self.service).and_then(|s| s.engine.as_ref());

        engine.map_or(1, |engine| u64::from(engine.tokens_per_event))
    }

    /// Returns the key that selects the service of a call among those of its route: the session,
    /// without one the affinity key, and without both the request id.
    fn routing_key(head: &CallHead) -> &str {
        let named = head.session.as_deref().or(head.affinity_key.as_deref());

        named.unwrap_or(&head.request_id)
    }

    /// Returns what placement needs to know of the call.
    pub(crate) fn placement_request(&self) -> PlacementRequest {
        let parts: Vec<_> = self.head.prefix.iter().map(|p| (p.id, p.tokens)).collect();
        let named = self.head.affinity_key.as_deref().filter(|_| self.route().sticky);
        let object = named.filter(|_| parts.is_empty()).map(|o| stable_hash(&[o.as_bytes()]));
        let new_program_rank = self.new_program_rank();

        let seed = stable_hash(&[self.head.request_id.as_bytes()]);
        let version = self.origin.as_ref().map(|origin| origin.version.clone());

        PlacementRequest {
            new_program_rank,
            start_limits: admission::start_limits(self),
            parts,
            object,
            avoid: Vec::new(),
            version,
            seed,
        }
    }

    /// Returns the rank of the call if it starts a program.
    pub(crate) fn new_program_rank(&self) -> Option<u32> {
        self.is_new.get().then_some(self.route().rank)
    }

    /// Returns the call's urgency in the queue for a place.
    pub(crate) fn urgency(&self) -> Urgency {
        let should_end = self.head.program_deadline.map(|left| self.received_at + left);
        let is_late = should_end.is_some_and(|at| at <= clock::now());
        let deadline = match should_end {
            Some(at) if !is_late => self.deadline.min(at),
            _ => self.deadline,
        };

        let (is_new, rank) = (self.is_new.get(), self.route().rank);

        admission::urgency(self, Urgency { is_late, is_new, rank, deadline })
    }

    /// Returns whether the call may be the first turn of its program, judging by its head alone: it
    /// continues no earlier turn, and its prompt has no part of a parent's conversation between the
    /// shared part and its own.
    pub(crate) fn may_begin_program(&self) -> bool {
        self.head.starts_conversation() && self.has_no_parent()
    }

    fn has_no_parent(&self) -> bool {
        /// The part that all calls of a kind share, and the part of the conversation itself.
        const FIRST_TURN_PARTS: usize = 2;

        self.head.prefix.len() <= FIRST_TURN_PARTS
    }

    /// Returns whether the call begins a program, as far as this host can tell.
    fn begins_program(&self) -> bool {
        self.route().retry_policy.is_stream()
            && self.may_begin_program()
            && !self.shared.places.has_run_recently(self.head.program.as_deref())
    }

    /// Logs that a target answered the call, with the target's load at the end of the answer,
    /// unless the log sampler skips the call.
    pub(crate) fn log_answer(&self, answered: &TargetAnswer<'_>) {
        if !self.shared.log_sampler.count_and_select(&self.head.request_id) {
            return;
        }

        let TargetAnswer { target, status, offers, events } = *answered;
        let PlaceTarget { id, version, load, .. } = target;
        info!(
            request = %self.head.request_id, program = self.head.program.as_deref(),
            route = %self.route().name, manifest = self.routing.version,
            tenant = self.tenant.as_deref(), is_new = self.is_new.get(), target_id = %id, version,
            load, offers, events, status = status.as_u16(),
            resumes = self.head.resumes.as_deref(), last_event = self.head.last_event,
            took_ms = clock::now().since(self.received_at).as_millis() as u64, "call: answered"
        );
    }

    /// Returns whether a target may have run the call.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.get().may_have_run()
    }

    /// Records that the call is being sent to a target.
    pub(crate) fn record_sent(&self) {
        let mut attempts = self.attempts.get();
        attempts.sent();
        self.attempts.set(attempts);
    }

    /// Records that the last target to which the call was sent has certainly not run it.
    pub(crate) fn record_not_run(&self) {
        let mut attempts = self.attempts.get();
        attempts.not_run();
        self.attempts.set(attempts);
    }

    /// Replaces a refusal by one that does not promise that the call has not run, if a target may
    /// have run it.
    pub(crate) fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run() {
            true => Refusal::answer_lost(refusal.reason),
            false => refusal,
        }
    }

    /// Returns whether the call continues a stored turn, so that its body is only a part of its
    /// prompt.
    pub(crate) fn continues_turn(&self) -> bool {
        self.head.previous_turn.is_some() && self.route().stores_turns
    }

    /// Returns what identifies the call if it is sent again. `prompt` is what targets get of it.
    pub(crate) fn content(&self, prompt: &[u8]) -> CallContent {
        match self.continues_turn() {
            true => CallContent::continuing(self.fingerprint, prompt),
            false => CallContent::new(self.fingerprint),
        }
    }

    /// Returns whether the call has crashed so many targets that it must not be sent to another
    /// one.
    pub(crate) fn is_blocked(&self, prompt: &[u8]) -> bool {
        let crashes = self.shared.crashes.borrow();

        crashes.has_suspects() && crashes.is_blocked(clock::now(), self.content(prompt))
    }

    /// Checks in the background whether a target crashed while it ran the call.
    pub(crate) fn check_for_crash(&self, target: TargetKey, prompt: &[u8]) {
        let (request, content) = (self.head.request_id.clone(), self.content(prompt));

        crash_watch::check_later(&self.shared, target, LostCall { request, content });
    }

    /// Records that a target ran the call to its end.
    pub(crate) fn record_completed(&self, prompt: &[u8]) {
        let mut crashes = self.shared.crashes.borrow_mut();
        // A conversation is long, and rarely continued twice with the same input.
        if self.continues_turn() && !crashes.has_suspects() {
            return;
        }
        if crashes.record_completed(clock::now(), self.content(prompt)) {
            info!(request = %self.head.request_id, "crash: suspect completed, cleared");
        }
    }

    /// Returns the key of the streams that the call brings, however often it is sent.
    pub(crate) fn content_key(&self) -> StreamKey {
        let program = self.head.program.as_deref().unwrap_or_default();
        let session = self.head.session.as_deref().unwrap_or_default();

        StreamKey::of_content(self.fingerprint, program, session)
    }

    /// Returns the keys by which a caller may resume the call's stream. If the call itself resumes
    /// a stream, these are that stream's keys.
    pub(crate) fn stream_keys(&self) -> StreamKeys {
        let tenant = self.tenant.as_deref().unwrap_or_default();
        let first_attempt = match self.head.last_event {
            Some(_) => self.head.resumes.as_deref(),
            None => Some(&*self.head.request_id),
        };
        let attempt = first_attempt.map(|id| StreamKey::of_attempt(tenant, id));

        StreamKeys { attempt, content: self.content_key() }
    }

    /// Sends the call, which resumes a stream, only to the service and version that began it.
    pub(crate) fn bind_to_origin(&mut self, origin: Origin) {
        self.service = origin.service.clone();
        self.origin = Some(origin);
    }
}

/// The route and tenant of a request, as far as they are known: labels of its metrics, and fields
/// of the log line if it is refused.
struct RequestLabels {
    route: Box<str>,
    tenant: Box<str>,
}

impl Default for RequestLabels {
    fn default() -> Self {
        Self { route: "none".into(), tenant: Box::default() }
    }
}

/// Serves a request.
pub(crate) async fn serve(shared: Rc<Shared>, req: Request<Incoming>) -> Answer {
    let received_at = clock::now();
    let open = shared.track_request();
    let was_chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let LogIds { request: request_id, program } = head::read_ids(req.headers());
    let mut labels = RequestLabels::default();

    let result = handle(&shared, req, received_at, open, &mut labels).await;
    let RequestLabels { route, tenant } = labels;
    let mut answer = match result {
        Ok(answer) => answer,
        Err(refusal) => {
            let after = refusal.retry_after.map(|after| after.as_millis() as u64);
            info!(
                request = %request_id, program = %program, route = %route, tenant = %tenant,
                status = refusal.status.as_u16(), reason = refusal.reason, retry_after_ms = after,
                took_ms = clock::now().since(received_at).as_millis() as u64, "call: refused"
            );
            shared.metrics.refusals.with_label_values(&[refusal.reason]).inc();
            refusal.to_answer(&request_id)
        }
    };

    let status = answer.status();
    shared.metrics.answers.with_label_values(&[&route, status.as_str()]).inc();
    let took = clock::now().since(received_at).as_secs_f64();
    shared.metrics.latency.with_label_values(&[&route]).observe(took);
    if !tenant.is_empty() {
        shared.metrics.tenant_latency.with_label_values(&[&tenant]).observe(took);
    }

    // After a chunked body the HTTP library may have dropped a conflicting Content-Length header,
    // so the following bytes could be a smuggled request. Closing the connection leaves them
    // unread.
    let rejected = matches!(
        status,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE | StatusCode::REQUEST_TIMEOUT
    );
    if was_chunked || rejected || shared.closes_connections() {
        close_after(&mut answer);
    }

    answer
}

async fn handle(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    received_at: Instant,
    open: OpenRequest,
    labels: &mut RequestLabels,
) -> Result<Answer, Refusal> {
    if shared.refuses_new_calls() {
        return Err(Refusal::retry_later_jittered("the host is leaving", SHUTDOWN_RETRY_AFTER));
    }
    let mut call = read_request(shared, req, received_at, open).await?;
    labels.route = call.route().name.clone();
    labels.tenant = call.tenant.clone().unwrap_or_default();
    if shared.refuses_call_until(call.deadline) {
        return Err(Refusal::retry_later_jittered("the host is leaving", SHUTDOWN_RETRY_AFTER));
    }
    admit(&call).await?;

    let resolved = stream_origins::resolve(&mut call).await;
    let call = Rc::new(call);
    let left = clock::until(call.deadline);
    let result = match resolved {
        Err(refusal) => Err(refusal),
        Ok(()) => timeout(left, forward(Rc::clone(&call)))
            .await
            .unwrap_or_else(|_| Err(Refusal::timed_out(call.may_have_run()))),
    };

    // A refused call that no target may have run does not count towards its tenant's rate.
    if let (Err(_), false, Some(tenant)) = (&result, call.may_have_run(), &call.tenant) {
        let mut rates = call.shared.rates.borrow_mut();
        rates.refund(tenant);
        if call.is_new.get() {
            rates.withdraw_program(tenant);
        }
    }
    result
}

/// Reads a request, and determines its route and tenant.
async fn read_request(
    shared: &Rc<Shared>,
    req: Request<Incoming>,
    received_at: Instant,
    open: OpenRequest,
) -> Result<Call, Refusal> {
    let (parts, body) = req.into_parts();

    if parts.headers.contains_key(header::TRANSFER_ENCODING)
        && parts.headers.contains_key(header::CONTENT_LENGTH)
    {
        return Err(Refusal::permanent(StatusCode::BAD_REQUEST, "two lengths of one body"));
    }

    let head = head::read_call(&parts.headers)
        .map_err(|_| Refusal::permanent(StatusCode::BAD_REQUEST, "a header makes no sense"))?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
    let hostname = hostname(&parts.headers, &parts.uri);
    let (routing, route) = find_route(shared, hostname, parts.uri.path())?;
    let tenant = find_tenant(&routing, &routing.routes[route], &head)?;
    let service = routes::choose_service(&routing.routes[route], Call::routing_key(&head))
        .ok_or_else(|| Refusal::retry_later("the route has no service", NO_MANIFEST_RETRY_AFTER))?
        .into();
    let timeout = routing.routes[route].timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = received_at + head.deadline.unwrap_or(timeout).min(timeout);
    let limits = callers::limits(shared);
    let held = Hold::for_request(
        shared,
        tenant.as_deref(),
        &parts.headers,
        &parts.extensions,
        limits.body_bytes,
    )?;
    let body = read_body(body, limits.body_bytes, clock::until(deadline), held.as_ref()).await?;
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
        held,
        routing,
        route,
        tenant,
        service,
        received_at,
        deadline,
        attempts: Cell::default(),
        fingerprint,
        origin: None,
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
        .ok_or_else(|| Refusal::retry_later("no manifest is known yet", NO_MANIFEST_RETRY_AFTER))?;
    let route = table
        .find(hostname, path)
        .ok_or_else(|| Refusal::permanent(StatusCode::NOT_FOUND, "no route for this path"))?;

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
    let unknown = || Refusal::permanent(StatusCode::UNAUTHORIZED, "the key is not known");

    index.map(|i| Some(routing.tenants[*i].name.clone())).ok_or_else(unknown)
}

async fn read_body(
    body: Incoming,
    max_bytes: usize,
    left: Duration,
    held: Option<&Hold>,
) -> Result<Bytes, Refusal> {
    let body = held_bytes::collect_request(Limited::new(body, max_bytes), held);
    let collected = timeout(left.min(BODY_TIMEOUT), body).await;

    match collected {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::Full)) => Err(held_bytes::refuse_request(held)),
        Ok(Err(CollectError::Body(e))) if e.is::<LengthLimitError>() => {
            Err(Refusal::permanent(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"))
        }
        Ok(Err(CollectError::Body(_))) => {
            Err(Refusal::permanent(StatusCode::BAD_REQUEST, "the body cannot be read"))
        }
        Err(_) => Err(Refusal::permanent(StatusCode::REQUEST_TIMEOUT, "the body came too slowly")),
    }
}

/// Returns the refusal of a call that has crashed too many targets.
pub(crate) fn refuse_blocked() -> Refusal {
    Refusal::permanent(StatusCode::SERVICE_UNAVAILABLE, "targets went down under this call")
}

/// Refuses calls that have repeatedly crashed targets, and calls over the tenant's rate.
async fn admit(call: &Call) -> Result<(), Refusal> {
    // Of a call that continues a turn the prompt is not known yet.
    if !call.continues_turn() && call.is_blocked(&call.body) {
        return Err(refuse_blocked());
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
                let program = if is_new { "new" } else { "running" };
                call.shared.metrics.rate_refusals.with_label_values(&[program]).inc();
                log_over_rate(call, tenant, waited);
                return Err(Refusal::over_rate(after));
            }
        }
    }
}

fn log_over_rate(call: &Call, tenant: &str, waited: Duration) {
    let Some(state) = call.shared.rates.borrow().explain(tenant) else { return };
    let projected = state.projection;

    info!(
        request = %call.head.request_id, tenant = %tenant, is_new = call.is_new.get(),
        waited_ms = waited.as_millis() as u64, level = state.level, rate = state.rate,
        demand = state.demand, others_demand = state.others_demand,
        withheld = state.reserved, programs_demand = projected.map(|p| p.demand),
        program_pace = projected.map(|p| p.pace), horizon_s = projected.map(|p| p.horizon),
        needed_after = projected.map(|p| p.reserve), "rate: over"
    );
}

async fn forward(call: Rc<Call>) -> Result<Answer, Refusal> {
    if !call.route().retry_policy.is_stream() {
        return unary::forward(&call).await;
    }

    admission::record_turn(&call);
    let result = forward_turn(Rc::clone(&call)).await;
    admission::handle_outcome(&call, result)
}

/// Forwards a turn.
async fn forward_turn(call: Rc<Call>) -> Result<Answer, Refusal> {
    turns::check_can_store(&call)?;

    // A new program that is refused after its budget was granted would retry as a running program,
    // and take places from programs that really are running.
    if call.is_new.get() {
        places::check_room_for_new(&call.shared, &call.service, &call.placement_request())?;
    }

    // The budget and the earlier turns are requested concurrently.
    let (reservation, continuation) =
        tokio::join!(budget::reserve(&call), turns::load_continuation(&call));
    let reservation: Option<TokenReservation> = reservation?;
    let continuation: Continuation = continuation?;
    if reservation.as_ref().is_some_and(|reservation| !reservation.is_first) {
        call.is_new.set(false);
        let mut rates = call.shared.rates.borrow_mut();
        call.tenant.iter().for_each(|tenant| rates.withdraw_program(tenant));
    }
    let answer = stream::forward(Rc::clone(&call), reservation, continuation).await?;
    call.shared.places.record_running(call.head.program.as_deref());

    Ok(answer)
}
