//! Tells other hosts where streams began, and finds out where a stream began that a caller resumes.

use std::time::Duration;

use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::ids::HostId;
use camphorwalk_policy::entry::stream_origins::{
    Candidate, KnownOrigin, Origin, ResumeRefusal, StreamCall, StreamKey, StreamKeys, StreamStart,
    hosts_to_ask, hosts_to_tell, resume_at, stream_start,
};
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tracing::info;

use crate::answer::Refusal;
use crate::call::Call;
use crate::clock;
use crate::host::Shared;
use crate::places::PlaceTarget;
use crate::queries::{self, Query, QueryReply};

/// How long the hosts that were probably told may take to answer where a stream began.
const TOLD_HOSTS_TIMEOUT: Duration = Duration::from_millis(60);

/// How long all others may take. The host that forwarded the stream's first events is among them, if
/// it is still there.
const ALL_HOSTS_TIMEOUT: Duration = Duration::from_millis(100);

/// Who knew where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This host.
    Own,
    /// A host that is told by the hash of the call.
    Told,
    /// Any other host.
    Other,
    /// None.
    Nobody,
}

impl Source {
    /// Returns the label of its metric.
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Told => "told",
            Self::Other => "other",
            Self::Nobody => "nobody",
        }
    }
}

/// Finds out whether a call resumes a stream, and if so, binds the call to the service and version
/// at which the stream began.
///
/// # Errors
///
/// Returns a refusal if the stream cannot go on, or if it is not known where it began.
pub(crate) async fn resolve(call: &mut Call) -> Result<(), Refusal> {
    if !call.route().retry_policy.is_stream() {
        return Ok(());
    }
    let stream = StreamCall {
        tenant: call.tenant.as_deref().unwrap_or_default(),
        last_event: call.head.last_event,
        resumes: call.head.resumes.as_deref(),
        content: call.content_key(),
    };
    let key = match stream_start(call.route(), stream) {
        StreamStart::Begin => return Ok(()),
        StreamStart::Refuse(refusal) => return Err(refuse(refusal)),
        StreamStart::LookUp(key) => key,
    };

    let (known, source) = look_up(&call.shared, key, stream.content).await;
    call.shared.metrics.stream_lookups.with_label_values(&[source.label()]).inc();
    info!(
        request = %call.head.request_id, resumes = call.head.resumes.as_deref(),
        last_event = call.head.last_event, ?source, origin = ?known,
        took_ms = clock::now().since(call.received_at).as_millis() as u64,
        "call: origin of a stream looked up"
    );
    let origin = resume_at(&call.route().services, known).map_err(refuse)?;
    call.bind_to_origin(origin);

    Ok(())
}

fn refuse(refusal: ResumeRefusal) -> Refusal {
    Refusal::begin_anew(refusal.reason())
}

/// Looks a stream up here, then at the hosts that were probably told, then at all others.
async fn look_up(shared: &Shared, stream: StreamKey, content: StreamKey) -> (KnownOrigin, Source) {
    let own = known_origin(shared, stream);
    if own != KnownOrigin::Unknown {
        return (own, Source::Own);
    }

    let all = shared.fleet.hosts_not_silent();
    let told = hosts_to_ask(content, &shared.settings.zone, &candidates(&all));
    let known = ask(shared, stream, &told, TOLD_HOSTS_TIMEOUT).await;
    if known != KnownOrigin::Unknown {
        return (known, Source::Told);
    }
    let others: Vec<_> =
        all.iter().map(|(host, _)| *host).filter(|host| !told.contains(host)).collect();

    match ask(shared, stream, &others, ALL_HOSTS_TIMEOUT).await {
        KnownOrigin::Unknown => (KnownOrigin::Unknown, Source::Nobody),
        known => (known, Source::Other),
    }
}

/// Asks hosts where a stream began, until one knows.
async fn ask(shared: &Shared, stream: StreamKey, hosts: &[HostId], limit: Duration) -> KnownOrigin {
    let query = Query::StreamOrigin(stream);
    let mut replies: FuturesUnordered<_> =
        hosts.iter().map(|host| queries::send(shared, *host, &query, limit)).collect();

    while let Some(reply) = replies.next().await {
        match reply {
            Some(QueryReply::StreamOrigin(KnownOrigin::Unknown)) | None => {}
            Some(QueryReply::StreamOrigin(known)) => return known,
            // A host of an older build does not know of origins.
            Some(_) => {}
        }
    }

    KnownOrigin::Unknown
}

/// Returns what this host knows of where a stream began.
pub(crate) fn known_origin(shared: &Shared, stream: StreamKey) -> KnownOrigin {
    shared.stream_origins.borrow().get(stream)
}

/// Records the target that began a stream, or the part of it that a call resumes, here and at other
/// hosts. Must be called before events of the answer are forwarded: its caller may come back to
/// another host as soon as it has received one.
pub(crate) fn record(call: &Call, began_at: &PlaceTarget) {
    let Some(version) = &began_at.version else { return };
    if !call.route().retry_policy.is_resumable() {
        return;
    }
    let shared = &call.shared;
    let origin = Origin { service: call.service.clone(), version: version.clone() };
    let stream = call.stream_keys();
    shared.stream_origins.borrow_mut().record_begun(clock::now(), &began_at.id, stream, &origin);

    tell(shared, stream, origin);
}

/// Handles that another process has the id of a target. Streams that lately began there may have
/// begun at the new process, although the former one's entry was known then. If its version is
/// another one, their origin becomes ambiguous, here and at the hosts that were told.
pub(crate) fn on_target_replaced(shared: &Shared, entry: &TargetEntry) {
    let version = entry.version.clone().unwrap_or_default();
    let origin = Origin { service: entry.service.clone(), version };
    let streams = shared.stream_origins.borrow_mut().begun_lately_at(clock::now(), &entry.id);

    for stream in streams {
        record_told(shared, stream, &origin);
        tell(shared, stream, origin.clone());
    }
}

/// Tells other hosts where a stream began.
fn tell(shared: &Shared, stream: StreamKeys, origin: Origin) {
    let all = shared.fleet.hosts_not_silent();
    let told = hosts_to_tell(stream.content, &shared.settings.zone, &candidates(&all));
    let query = Query::StreamBegan(stream, origin);

    told.into_iter().for_each(|host| queries::notify(shared, host, &query));
}

/// Records where a stream began, as another host tells.
pub(crate) fn record_told(shared: &Shared, stream: StreamKeys, origin: &Origin) {
    shared.stream_origins.borrow_mut().record(stream, origin);
}

fn candidates(hosts: &[(HostId, Box<str>)]) -> Vec<Candidate<'_>> {
    hosts.iter().map(|(host, zone)| Candidate { host: *host, zone }).collect()
}
