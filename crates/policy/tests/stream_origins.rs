//! Which hosts are told and asked where streams began, and which calls may resume a stream.

use std::time::Duration;

use camphorwalk_core::entry::{RetryPolicy, Route, WeightedService};
use camphorwalk_core::hash::Set;
use camphorwalk_core::ids::HostId;
use camphorwalk_core::time::Instant;
use camphorwalk_policy::entry::crashes::Fingerprint;
use camphorwalk_policy::entry::stream_origins::{
    Candidate, KnownOrigin, Origin, ResumeRefusal, StreamCall, StreamKey, StreamKeys,
    StreamOrigins, StreamStart, hosts_to_ask, hosts_to_tell, resume_at, stream_start,
};
use rand::rngs::StdRng;
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};

const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// The streams of each fleet that is simulated.
const STREAMS: u64 = 2_000;

/// Returns a fleet whose hosts are spread over the first `zones` zones.
fn fleet(hosts: usize, zones: usize) -> Vec<Candidate<'static>> {
    let host = |i| HostId::from_name(&format!("host-{i}"));

    (0..hosts).map(|i| Candidate { host: host(i), zone: ZONES[i % zones] }).collect()
}

/// Returns the hosts of a fleet other than `own` that are not in `gone`.
fn others<'a>(
    fleet: &[Candidate<'a>],
    own: Candidate<'a>,
    gone: &Set<HostId>,
) -> Vec<Candidate<'a>> {
    let others = fleet.iter().filter(|c| c.host != own.host && !gone.contains(&c.host));

    others.copied().collect()
}

/// Returns the fraction of streams of lost hosts whose origin a host that is left finds out by
/// asking the hosts that it asks first. Nobody had noticed the loss when the streams began.
fn found_after_loss(fleet: &[Candidate<'_>], lost: &Set<HostId>, rng: &mut StdRng) -> f64 {
    let (gone, left): (Vec<Candidate<'_>>, Vec<Candidate<'_>>) =
        fleet.iter().copied().partition(|c| lost.contains(&c.host));
    let mut found = 0;

    for stream in 0..STREAMS {
        let key = StreamKey::of_attempt("easel", &stream.to_string());
        let began = gone[rng.random_range(0..gone.len())];
        let told = hosts_to_tell(key, began.zone, &others(fleet, began, &Set::default()));
        let near: Vec<_> = left.iter().filter(|c| c.zone == began.zone).copied().collect();
        let asking = if near.is_empty() { &left } else { &near };
        let asking = asking[rng.random_range(0..asking.len())];
        let asked = hosts_to_ask(key, asking.zone, &others(fleet, asking, lost));
        let knows = |host: &HostId| told.contains(host) && !lost.contains(host);
        found += u32::from(knows(&asking.host) || asked.iter().any(knows));
    }

    f64::from(found) / STREAMS as f64
}

#[test]
fn a_host_that_was_told_is_asked_from_any_zone() {
    // Guards against asking all hosts for each stream, as none of those that were told is asked.
    for (hosts, zones) in [(2, 1), (3, 3), (11, 3), (59, 3), (195, 5)] {
        let fleet = fleet(hosts, zones);
        for stream in 0..200 {
            let key = StreamKey(stream);
            let (began, asking) = (fleet[0], fleet[1]);
            let told = hosts_to_tell(key, began.zone, &others(&fleet, began, &Set::default()));
            let asked = hosts_to_ask(key, asking.zone, &others(&fleet, asking, &Set::default()));

            let knows = |host: &HostId| told.contains(host);
            assert!(knows(&asking.host) || asked.iter().any(knows), "{hosts} hosts");
            assert!(told.len() <= 4 && asked.len() <= zones * 2);
        }
    }
}

#[test]
fn most_streams_go_on_after_many_hosts_are_killed_at_once() {
    // Guards against a caller that begins anew for most streams of killed hosts. At least half of the
    // streams must go on.
    let mut rng = StdRng::seed_from_u64(46);
    for (hosts, zones) in [(10, 4), (11, 3), (59, 3), (195, 5)] {
        let fleet = fleet(hosts, zones);
        let mut shuffled = fleet.clone();
        shuffled.shuffle(&mut rng);
        let killed = shuffled.iter().take(hosts * 6 / 10).map(|c| c.host).collect();

        let found = found_after_loss(&fleet, &killed, &mut rng);

        assert!(found >= 0.5, "{found} of the streams with {hosts} hosts");
    }
}

#[test]
fn all_streams_go_on_after_a_zone_is_lost() {
    // Guards against copies in one zone only, which are lost with it.
    let mut rng = StdRng::seed_from_u64(46);
    for (hosts, zones) in [(10, 4), (11, 3), (59, 3), (195, 5)] {
        let fleet = fleet(hosts, zones);
        let zone = fleet.iter().filter(|c| c.zone == "a").map(|c| c.host).collect();

        assert_eq!(found_after_loss(&fleet, &zone, &mut rng), 1.0, "{hosts} hosts");
    }
}

fn route(resumable: bool, stores_turns: bool) -> Route {
    Route {
        name: "r-1".into(),
        hostname: "h.example".into(),
        prefix: "/a/".into(),
        services: [WeightedService { service: "engines".into(), weight: 1 }].into(),
        retry_policy: RetryPolicy::Stream { resumable },
        max_targets: 1,
        timeout: None,
        latency_objective: Duration::from_millis(200),
        rank: 0,
        public: false,
        sticky: true,
        stores_turns,
        retention: Some(Duration::from_secs(60)),
    }
}

fn origin(service: &str, version: &str) -> Origin {
    Origin { service: service.into(), version: version.into() }
}

#[test]
fn a_call_with_a_last_event_resumes_a_stream() {
    let content = StreamKey::of_content(Fingerprint(7), "p", "s");
    let call = StreamCall { tenant: "easel", last_event: Some(2), resumes: Some("r-1"), content };
    let named = StreamKey::of_attempt("easel", "r-1");
    let refuse = StreamStart::Refuse;

    let resumable = route(true, false);
    assert_eq!(stream_start(&resumable, call), StreamStart::LookUp(named));
    let not_named = StreamCall { resumes: None, ..call };
    assert_eq!(stream_start(&resumable, not_named), StreamStart::LookUp(content));
    let anew = StreamCall { last_event: None, ..call };
    assert_eq!(stream_start(&resumable, anew), StreamStart::Begin);
    assert_eq!(stream_start(&route(false, false), anew), StreamStart::Begin);
    assert_eq!(stream_start(&route(false, false), call), refuse(ResumeRefusal::NotResumable));
    assert_eq!(stream_start(&route(true, true), call), refuse(ResumeRefusal::TurnIncomplete));
}

#[test]
fn a_stream_goes_on_only_where_it_began() {
    // Guards against guessing an origin, and against a service that the route no longer leads to.
    let services = route(true, false).services;

    let here = KnownOrigin::BeganAt(origin("engines", "v1"));
    assert_eq!(resume_at(&services, here), Ok(origin("engines", "v1")));
    for unknown in [KnownOrigin::Unknown, KnownOrigin::Ambiguous] {
        assert_eq!(resume_at(&services, unknown), Err(ResumeRefusal::OriginUnknown));
    }
    let moved = resume_at(&services, KnownOrigin::BeganAt(origin("other", "v1")));
    assert_eq!(moved, Err(ResumeRefusal::ServiceGone));
}

#[test]
fn origins_are_remembered_for_a_bounded_number_of_streams() {
    // Guards against memory that grows with each stream.
    let mut origins = StreamOrigins::default();

    for stream in 0..100_000 {
        let stream = StreamKeys { attempt: None, content: StreamKey(stream) };
        origins.record(stream, &origin("engines", "v1"));
    }

    assert_eq!(origins.get(StreamKey(0)), KnownOrigin::Unknown);
    let is_known = |stream: &u64| origins.get(StreamKey(*stream)) != KnownOrigin::Unknown;
    let kept = (0..100_000).filter(is_known).count();
    assert!((8_192..16_384).contains(&kept), "{kept}");
}

#[test]
fn streams_that_lately_began_at_a_replaced_target_are_known() {
    // Guards against the version of a former process for streams that the new one began.
    let mut origins = StreamOrigins::default();
    let stream = |key| StreamKeys { attempt: None, content: StreamKey(key) };
    let at = |ms| Instant::from_millis(ms);
    origins.record_begun(at(0), "replaced", stream(1), &origin("engines", "v1"));
    origins.record_begun(at(6_000), "other", stream(2), &origin("engines", "v1"));
    origins.record_begun(at(7_000), "replaced", stream(3), &origin("engines", "v1"));

    let begun = origins.begun_lately_at(at(8_000), "replaced");
    begun.iter().for_each(|stream| origins.record(*stream, &origin("engines", "v2")));

    assert_eq!(begun, [stream(3)]);
    assert_eq!(origins.get(StreamKey(3)), KnownOrigin::Ambiguous);
    assert_eq!(origins.get(StreamKey(2)), KnownOrigin::BeganAt(origin("engines", "v1")));
}
