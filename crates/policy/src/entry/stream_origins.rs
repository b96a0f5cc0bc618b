//! Which targets began the streams that callers may resume, and where such a stream may go on.
//!
//! What targets of two software versions write does not fit together. A caller that resumes a
//! stream may reach another host than the one that forwarded its first events, so a host tells
//! others the service and version at which a stream began. A host that does not know them refuses
//! the call: even if all its targets have one version, the stream may have begun at another.

use std::collections::VecDeque;
use std::time::Duration;

use camphorwalk_core::entry::{Route, WeightedService};
use camphorwalk_core::hash::{rendezvous_weight, stable_hash};
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use serde::{Deserialize, Serialize};

use crate::entry::crashes::Fingerprint;
use crate::entry::recent::RecentMap;

/// A host remembers the origins of at least this many of the streams that it last heard of. Each
/// stream has up to two keys.
const STREAMS_KEPT: usize = 8_192;

/// The most origins that are remembered at a time, one for each version of a service.
const MAX_ORIGINS: usize = 1_024;

/// How long after its beginning a stream may turn out to have begun at another process than the one
/// whose entry the host knew: longer than a change of an entry takes to reach all hosts, and than
/// callers wait for a stream.
const REPLACEMENT_WINDOW: Duration = Duration::from_secs(5);

/// How many hosts of the own availability zone are told where a stream began, and of all other
/// zones together.
const NEAR_COPIES: usize = 2;
const FAR_COPIES: usize = 2;

/// Identifies a stream of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream whose first event was brought by the call `request_id` of a
    /// tenant.
    ///
    /// ```
    /// use camphorwalk_policy::entry::stream_origins::StreamKey;
    /// assert_ne!(StreamKey::of_attempt("easel", "r-1"), StreamKey::of_attempt("ramp", "r-1"));
    /// ```
    pub fn of_attempt(tenant: &str, request_id: &str) -> Self {
        Self(stable_hash(&[b"stream", tenant.as_bytes(), request_id.as_bytes()]))
    }

    /// Returns the key of the streams that the same call of a program brings, however often it is
    /// sent.
    pub fn of_content(fingerprint: Fingerprint, program: &str, session: &str) -> Self {
        let call = fingerprint.0.to_be_bytes();

        Self(stable_hash(&[b"content", &call, program.as_bytes(), session.as_bytes()]))
    }
}

/// The keys by which a caller may resume a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamKeys {
    /// The key of the attempt that brought the first event, if that attempt is known.
    pub attempt: Option<StreamKey>,
    /// The key of the call's content.
    pub content: StreamKey,
}

/// The service and software version of the target that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: Box<str>,
    /// The version of the target's software.
    pub version: Box<str>,
}

/// What a host knows of where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KnownOrigin {
    /// Nothing.
    Unknown,
    /// It began here.
    BeganAt(Origin),
    /// Streams with the same key began at different origins.
    Ambiguous,
}

/// Index of an origin in the list of a [`StreamOrigins`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OriginKey(usize);

/// A [`KnownOrigin`] as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Known {
    BeganAt(OriginKey),
    Ambiguous,
}

/// A stream that this host forwards, or lately forwarded.
#[derive(Clone, Debug)]
struct Beginning {
    at: Instant,
    /// The id of the target that began it.
    target: Box<str>,
    stream: StreamKeys,
}

/// The origins of streams, as far as a host remembers them.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    origins: Vec<Origin>,
    streams: RecentMap<StreamKey, Known>,
    /// The streams that began at this host within [`REPLACEMENT_WINDOW`], oldest first.
    begun_here: VecDeque<Beginning>,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            origins: Vec::new(),
            streams: RecentMap::new(STREAMS_KEPT),
            begun_here: VecDeque::new(),
        }
    }
}

impl StreamOrigins {
    /// Records where a stream began.
    ///
    /// ```
    /// use camphorwalk_policy::entry::stream_origins::{
    ///     KnownOrigin, Origin, StreamKey, StreamKeys, StreamOrigins,
    /// };
    /// let at = |version: &str| Origin { service: "engines".into(), version: version.into() };
    /// let content = StreamKey(7);
    /// let mut origins = StreamOrigins::default();
    /// origins.record(StreamKeys { attempt: None, content }, &at("v1"));
    /// assert_eq!(origins.get(content), KnownOrigin::BeganAt(at("v1")));
    /// origins.record(StreamKeys { attempt: None, content }, &at("v2"));
    /// assert_eq!(origins.get(content), KnownOrigin::Ambiguous);
    /// ```
    pub fn record(&mut self, stream: StreamKeys, origin: &Origin) {
        let began_at = Known::BeganAt(self.intern(origin));

        for key in stream.attempt.into_iter().chain([stream.content]) {
            let known = match self.streams.get(&key) {
                Some(known) if known != began_at => Known::Ambiguous,
                _ => began_at,
            };
            self.streams.put(key, known);
        }
    }

    /// Records where a stream began that this host forwards: at the target with this id.
    pub fn record_begun(
        &mut self,
        now: Instant,
        target: &str,
        stream: StreamKeys,
        origin: &Origin,
    ) {
        self.forget_old_beginnings(now);
        self.begun_here.push_back(Beginning { at: now, target: target.into(), stream });
        self.record(stream, origin);
    }

    /// Returns the streams that lately began at this host and at the target with this id. If
    /// another process has the id now, it may have begun them.
    pub fn begun_lately_at(&mut self, now: Instant, target: &str) -> Vec<StreamKeys> {
        self.forget_old_beginnings(now);
        let there = self.begun_here.iter().filter(|beginning| *beginning.target == *target);

        there.map(|beginning| beginning.stream).collect()
    }

    fn forget_old_beginnings(&mut self, now: Instant) {
        let is_old = |beginning: &Beginning| now.since(beginning.at) > REPLACEMENT_WINDOW;

        while self.begun_here.front().is_some_and(is_old) {
            self.begun_here.pop_front();
        }
    }

    /// Returns what is known of where a stream began.
    pub fn get(&self, stream: StreamKey) -> KnownOrigin {
        match self.streams.get(&stream) {
            None => KnownOrigin::Unknown,
            Some(Known::BeganAt(OriginKey(index))) => {
                KnownOrigin::BeganAt(self.origins[index].clone())
            }
            Some(Known::Ambiguous) => KnownOrigin::Ambiguous,
        }
    }

    fn intern(&mut self, origin: &Origin) -> OriginKey {
        if let Some(index) = self.origins.iter().position(|known| known == origin) {
            return OriginKey(index);
        }
        if self.origins.len() >= MAX_ORIGINS {
            *self = Self::default();
        }
        self.origins.push(origin.clone());

        OriginKey(self.origins.len() - 1)
    }
}

/// Why a call that resumes a stream is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeRefusal {
    /// The route does not allow it.
    NotResumable,
    /// The route stores turns. The host that resumes a turn lacks its earlier events, so that it
    /// could store only a part of it.
    TurnIncomplete,
    /// Neither this host nor any that it reaches knows at which version the stream began, or it is
    /// ambiguous.
    OriginUnknown,
    /// The route no longer leads to the service at which the stream began.
    ServiceGone,
}

impl ResumeRefusal {
    /// Returns the reason for the caller and the logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NotResumable => "streams of this route cannot be resumed",
            Self::TurnIncomplete => "the earlier part of a stored turn is not known here",
            Self::OriginUnknown => "it is not known at which version the stream began",
            Self::ServiceGone => "the route no longer leads to the service of the stream",
        }
    }
}

/// What to do about a call on a streaming route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamStart {
    /// The call begins a stream, at any target.
    Begin,
    /// The call resumes a stream: find out where that began.
    LookUp(StreamKey),
    /// Refuse the call.
    Refuse(ResumeRefusal),
}

/// The properties of a call that decide whether it resumes a stream.
#[derive(Clone, Copy, Debug)]
pub struct StreamCall<'a> {
    /// The call's tenant.
    pub tenant: &'a str,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// The attempt that brought the first event, if the caller names it.
    pub resumes: Option<&'a str>,
    /// The key of the call's content, by which the stream is found if the caller names no attempt.
    pub content: StreamKey,
}

/// Returns whether a call begins a stream or resumes one.
///
/// Without a last event nothing is joined to what the caller has, so the call begins a stream, even
/// if it names an earlier one.
pub fn stream_start(route: &Route, call: StreamCall<'_>) -> StreamStart {
    if call.last_event.is_none() {
        return StreamStart::Begin;
    }
    if !route.retry_policy.is_resumable() {
        return StreamStart::Refuse(ResumeRefusal::NotResumable);
    }
    if route.stores_turns {
        return StreamStart::Refuse(ResumeRefusal::TurnIncomplete);
    }

    match call.resumes {
        Some(attempt) => StreamStart::LookUp(StreamKey::of_attempt(call.tenant, attempt)),
        None => StreamStart::LookUp(call.content),
    }
}

/// Returns where a stream that was looked up may go on.
///
/// # Errors
///
/// Returns why the call must be refused.
pub fn resume_at(
    services: &[WeightedService],
    known: KnownOrigin,
) -> std::result::Result<Origin, ResumeRefusal> {
    let KnownOrigin::BeganAt(origin) = known else { return Err(ResumeRefusal::OriginUnknown) };

    match services.iter().any(|candidate| candidate.service == origin.service) {
        true => Ok(origin),
        false => Err(ResumeRefusal::ServiceGone),
    }
}

/// Another host that may be told or asked where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: &'a str,
}

/// Returns the hosts to tell where a stream began: some of this host's zone, where its caller comes
/// back to, and some of other zones, in case this one is lost or its hosts are not ready.
pub fn hosts_to_tell(content: StreamKey, zone: &str, hosts: &[Candidate<'_>]) -> Vec<HostId> {
    let (near, far): (Vec<_>, Vec<_>) =
        in_order(content, hosts).into_iter().partition(|candidate| candidate.zone == zone);
    let told = near.into_iter().take(NEAR_COPIES).chain(far.into_iter().take(FAR_COPIES));

    told.map(|candidate| candidate.host).collect()
}

/// Returns the hosts to ask first where a stream began. Whatever zone the host is in that forwarded
/// its first events, one of these was told, as long as both hosts hear the same others.
pub fn hosts_to_ask(content: StreamKey, zone: &str, hosts: &[Candidate<'_>]) -> Vec<HostId> {
    let mut asked: Vec<Candidate<'_>> = Vec::new();

    for candidate in in_order(content, hosts) {
        let copies = if candidate.zone == zone { NEAR_COPIES } else { FAR_COPIES };
        if asked.iter().filter(|other| other.zone == candidate.zone).count() < copies {
            asked.push(candidate);
        }
    }

    asked.into_iter().map(|candidate| candidate.host).collect()
}

/// Returns hosts in an order that is the same at all hosts that know them.
fn in_order<'a>(stream: StreamKey, hosts: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    let mut hosts = hosts.to_vec();
    hosts.sort_unstable_by_key(|candidate| {
        std::cmp::Reverse(rendezvous_weight(stream.0, candidate.host.0))
    });

    hosts
}
