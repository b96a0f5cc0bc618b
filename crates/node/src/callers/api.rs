//! The endpoints of the API for callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use camphorwalk_core::calls::{CallRequest, Code, OpenRequest, Refusal, Reply, Request};
use camphorwalk_core::hash::digest;
use camphorwalk_core::ids::{ProgramId, RequestId};
use camphorwalk_policy::scheduler::Event;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, Body, Path, Query, RequestContext, TypedBody,
    endpoint,
};
use http::{Response, header};

use super::answers::{Malformed, refused, response};
use super::bodies::{CallBody, CallPath, HistoryQuery, OpenBody, ProgramPath};
use super::stream;
use crate::auth::Caller;
use crate::host::{Shared, read};
use crate::streams::ReplyReceiver;

/// The header with a caller's idempotency key.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The tenant label in metrics for a request that was refused before its tenant was known.
const UNKNOWN_TENANT: &str = "";

/// The longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// `Retry-After` for a caller refused because the host has as many requests open as it may.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

type Context = RequestContext<Arc<Shared>>;
type Answer = Result<Response<Body>, Malformed>;
type Checked<T> = Result<T, Box<Refusal>>;

/// Registers all endpoints for callers.
pub fn register(
    description: &mut ApiDescription<Arc<Shared>>,
) -> Result<(), ApiDescriptionRegisterError> {
    description.register(open_program)?;
    description.register(make_call)?;
    description.register(view_program)?;
    description.register(call_outcome)?;
    description.register(program_history)?;
    description.register(end_program)
}

/// A request that was sent to the control thread and has no reply yet.
///
/// If it is dropped before `finished` is set, which happens when its caller disconnects, it cancels
/// the request, since nobody would read the answer.
pub struct PendingReply {
    shared: Arc<Shared>,
    request: RequestId,
    /// The tenant and key that the request came with.
    pub caller: Caller,
    kind: &'static str,
    began: Instant,
    /// Receives the streamed parts and the final reply.
    pub receiver: ReplyReceiver,
    finished: bool,
}

impl PendingReply {
    fn start(shared: &Arc<Shared>, caller: Caller, kind: &'static str, body: Request) -> Self {
        let request = RequestId(shared.next_request_number());
        let receiver = shared.streams.open(request);
        shared.metrics.open_requests.inc();
        let (tenant, key) = (caller.tenant, caller.key);
        shared.control.send(Event::Request { request, tenant, key, body });

        let shared = shared.clone();
        Self { shared, request, caller, kind, began: Instant::now(), receiver, finished: false }
    }

    /// Marks the request as finished, and counts its duration and any refusal in the metrics.
    pub fn record_reply(&mut self, reply: &Reply) {
        self.finished = true;
        let tenant = &*self.caller.tenant_name;
        let metrics = &self.shared.metrics;

        let seconds = metrics.request_seconds.with_label_values(&[tenant, self.kind]);
        seconds.observe(self.began.elapsed().as_secs_f64());
        if let Reply::Refused(refusal) = reply {
            metrics.refusals.with_label_values(&[tenant, code_label(refusal.code)]).inc();
        }
    }

    /// Waits for the final reply and returns it as one response, without streaming.
    async fn wait(mut self) -> Response<Body> {
        let reply = match (&mut self.receiver.reply).await {
            Ok(last) => last.reply,
            Err(_) => Reply::Refused(stream::reply_lost()),
        };
        self.record_reply(&reply);

        response(&reply)
    }
}

impl Drop for PendingReply {
    fn drop(&mut self) {
        self.shared.metrics.open_requests.dec();
        if !self.finished {
            self.shared.streams.close(self.request);
            self.shared.control.send(Event::CallerGone(self.request));
        }
    }
}

/// Opens a program.
#[endpoint { method = POST, path = "/v1/programs" }]
async fn open_program(cx: Context, body: TypedBody<OpenBody>) -> Answer {
    let body = body.into_inner();

    respond(&cx, "open", |caller| {
        let parent = body.parent.as_deref().map(parse_program).transpose()?;
        let key = idempotency_key(&cx)?;
        let program = match &key {
            Some(key) => ProgramId::from_open_key(caller.tenant, key),
            None => ProgramId(0),
        };

        Ok(Request::Open(OpenRequest {
            program,
            template: body.template.into(),
            deadline: Duration::from_millis(body.deadline_ms),
            parent,
            repeatable: key.is_some(),
        }))
    })
    .await
}

/// Makes one call of a program.
#[endpoint { method = POST, path = "/v1/programs/{program}/calls" }]
async fn make_call(cx: Context, path: Path<ProgramPath>, body: TypedBody<CallBody>) -> Answer {
    let began = Instant::now();
    let body = body.into_inner();
    let streams = body.stream;
    let caller = match admit(&cx) {
        Ok(caller) => caller,
        Err(refusal) => return Ok(refused_early(&cx, &refusal)),
    };
    let request = match call_request(&cx, &path.into_inner().program, body) {
        Ok(request) => Request::Call(request),
        Err(refusal) => return Ok(refused_early(&cx, &refusal)),
    };

    let shared = cx.context();
    let pending = PendingReply::start(shared, caller, "call", request);
    if streams {
        return Ok(stream::answer(shared.clone(), pending, began).await);
    }

    Ok(pending.wait().await)
}

/// Gets a program's state.
#[endpoint { method = GET, path = "/v1/programs/{program}" }]
async fn view_program(cx: Context, path: Path<ProgramPath>) -> Answer {
    let path = path.into_inner();

    respond(&cx, "view", |_| Ok(Request::View { program: parse_program(&path.program)? })).await
}

/// Gets the recorded outcome of a call.
#[endpoint { method = GET, path = "/v1/programs/{program}/calls/{key}" }]
async fn call_outcome(cx: Context, path: Path<CallPath>) -> Answer {
    let path = path.into_inner();

    respond(&cx, "outcome", |_| {
        Ok(Request::Outcome { program: parse_program(&path.program)?, key: path.key.into() })
    })
    .await
}

/// Gets the calls of a program in order.
#[endpoint { method = GET, path = "/v1/programs/{program}/history" }]
async fn program_history(
    cx: Context,
    path: Path<ProgramPath>,
    query: Query<HistoryQuery>,
) -> Answer {
    let (path, query) = (path.into_inner(), query.into_inner());

    respond(&cx, "history", |_| {
        let from = query.from.unwrap_or(1);
        Ok(Request::History { program: parse_program(&path.program)?, from })
    })
    .await
}

/// Ends a program and frees what engines hold for it.
#[endpoint { method = DELETE, path = "/v1/programs/{program}" }]
async fn end_program(cx: Context, path: Path<ProgramPath>) -> Answer {
    let path = path.into_inner();

    respond(&cx, "end", |_| Ok(Request::End { program: parse_program(&path.program)? })).await
}

/// Admits a caller, builds its request with `make` and waits for the reply.
async fn respond(
    cx: &Context,
    kind: &'static str,
    make: impl FnOnce(&Caller) -> Checked<Request>,
) -> Answer {
    let made = admit(cx).and_then(|caller| Ok((make(&caller)?, caller)));

    match made {
        Ok((request, caller)) => {
            Ok(PendingReply::start(cx.context(), caller, kind, request).wait().await)
        }
        Err(refusal) => Ok(refused_early(cx, &refusal)),
    }
}

/// Returns the response for a request that is refused before it is sent to the control thread. It
/// is counted without a tenant, which may not be known yet.
fn refused_early(cx: &Context, refusal: &Refusal) -> Response<Body> {
    let labels = [UNKNOWN_TENANT, code_label(refusal.code)];
    cx.context().metrics.refusals.with_label_values(&labels).inc();

    refused(refusal)
}

/// Finds the caller by its key and checks that the host may open one more request.
fn admit(cx: &Context) -> Checked<Caller> {
    let shared = cx.context();
    let secret = cx
        .request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));

    // Unknown, withdrawn and missing keys get the same refusal, so that it does not reveal which
    // keys exist.
    let caller = secret.and_then(|secret| read(&shared.keys).find(secret));
    let Some(caller) = caller else {
        let message = "a key in force is needed: Authorization: Bearer KEY";
        return Err(Refusal::not_run(Code::Unauthorized, message).into());
    };

    if shared.streams.count() >= shared.limits.open_requests {
        let message = "this host has as many requests open as it may";
        return Err(Refusal::not_run(Code::Overloaded, message)
            .retry_after(FULL_RETRY_AFTER)
            .into());
    }

    Ok(caller)
}

fn call_request(cx: &Context, program: &str, body: CallBody) -> Checked<CallRequest> {
    let program = parse_program(program)?;
    let Some(key) = idempotency_key(cx)? else {
        let message = "a call needs the header Idempotency-Key";
        return Err(Refusal::not_run(Code::BadRequest, message).into());
    };

    // The digest covers what must be equal when a call is repeated with the same key. The sealed
    // tail and the choice of streaming may differ.
    let max_tokens = body.max_tokens.unwrap_or(0).to_be_bytes();
    let parts: [&[u8]; 4] = [
        &body.after.to_be_bytes(),
        body.target.as_bytes(),
        body.input.get().as_bytes(),
        &max_tokens,
    ];

    Ok(CallRequest {
        program,
        key,
        after: body.after,
        body: digest(&parts),
        target: body.target.into(),
        input: body.input.get().into(),
        max_tokens: body.max_tokens,
        stream: body.stream,
        tail: body.tail.map(Into::into),
    })
}

/// Returns the idempotency key from the request's header, if there is one.
fn idempotency_key(cx: &Context) -> Checked<Option<Box<str>>> {
    let Some(value) = cx.request.headers().get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };

    match value.to_str() {
        Ok(key) if (1..=MAX_KEY_BYTES).contains(&key.len()) => Ok(Some(key.into())),
        _ => {
            let message = "an Idempotency-Key has 1 to 200 visible ASCII characters";
            Err(Refusal::not_run(Code::BadRequest, message).into())
        }
    }
}

fn parse_program(text: &str) -> Checked<ProgramId> {
    text.parse().map_err(|e: camphorwalk_core::errors::Error| {
        Box::new(Refusal::not_run(Code::BadRequest, e.to_string()))
    })
}

fn code_label(code: Code) -> &'static str {
    match code {
        Code::BadRequest => "bad_request",
        Code::TooLarge => "too_large",
        Code::Unauthorized => "unauthorized",
        Code::NotFound => "not_found",
        Code::OutOfOrder => "out_of_order",
        Code::KeyReused => "key_reused",
        Code::BudgetExhausted => "budget_exhausted",
        Code::Quarantined => "quarantined",
        Code::OverRate => "over_rate",
        Code::Overloaded => "overloaded",
        Code::PlatformUnavailable => "platform_unavailable",
        Code::Leaving => "leaving",
        Code::Deadline => "deadline",
        Code::OutcomeUnknown => "outcome_unknown",
    }
}
