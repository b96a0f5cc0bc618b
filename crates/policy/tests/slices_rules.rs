//! Single rules of lending, by hand: one lender, one pool host, one slice.

use std::sync::Arc;
use std::time::Duration;

use camphorwalk_bench::limits::config;
use camphorwalk_core::config::Config;
use camphorwalk_core::hash::rendezvous;
use camphorwalk_core::ids::{HostId, TenantId, ZoneId};
use camphorwalk_core::messages::slices::{
    LoanGrant, LoanOffer, LoanRequest, SliceBody, SliceMessage,
};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::shared_types::Verdict;
use camphorwalk_policy::slices::{
    ColumnId, SliceAction, SliceEvent, SliceHost, SliceOptions, SliceTimes, Slices, TakeId, split,
};

const RATE: f64 = 2.0;
const BURST: u32 = 4;

/// When the lender may lend: fresh columns wait for a loan's lifetime. The slice is full.
const READY: u64 = 3_100 + 2_000;

fn tenant() -> TenantId {
    TenantId::from_name("ramps")
}

fn cfg(rate: f64, burst: u32) -> Arc<Config> {
    config(&["a"], 1, &[("ramps", rate, burst)])
}

/// The lender, and the host that pools the tenant.
fn ids() -> (HostId, HostId) {
    let [x, y] = ["x", "y"].map(HostId::from_name);
    let pool = rendezvous(tenant().0, [x.0, y.0]);

    if pool == Some(x.0) { (y, x) } else { (x, y) }
}

/// A host that knows of both, and of the configuration.
fn host(host: HostId, session: u64) -> Slices {
    let zone = ZoneId::from_name("a");
    let times = SliceTimes::default();
    let mut slices = Slices::new(SliceOptions { host, zone, session, times });
    step(&mut slices, 0, SliceEvent::Config(cfg(RATE, BURST)));
    see(&mut slices, 0, &[ids().0, ids().1]);
    slices
}

fn see(slices: &mut Slices, at: u64, hosts: &[HostId]) {
    let zone = ZoneId::from_name("a");
    let hosts = hosts.iter().map(|host| SliceHost { host: *host, zone }).collect();
    step(slices, at, SliceEvent::Hosts(hosts));
}

fn owned(until: u64, fresh: bool) -> SliceEvent {
    SliceEvent::Owned { column: ColumnId(0), until: Instant::from_millis(until), fresh }
}

fn lender(session: u64) -> Slices {
    let mut lender = host(ids().0, session);
    step(&mut lender, 0, owned(100_000, true));
    lender
}

fn step(slices: &mut Slices, at: u64, event: SliceEvent) -> Vec<SliceAction> {
    let mut out = Vec::new();
    slices.step(Instant::from_millis(at), event, &mut out);
    out
}

fn bodies(out: Vec<SliceAction>) -> Vec<SliceBody> {
    let body = |next| match next {
        SliceAction::Send { message, .. } => message.body,
        SliceAction::Verdict { .. } => None,
    };
    out.into_iter().filter_map(body).collect()
}

fn deliver(to: &mut Slices, at: u64, from: HostId, body: SliceBody) -> Vec<SliceBody> {
    let message = SliceMessage::from(body);
    bodies(step(to, at, SliceEvent::Message { from, message }))
}

/// Delivers an offer; returns the pool host's request.
fn ask(pool: &mut Slices, at: u64) -> LoanRequest {
    ask_from(pool, at, ids().0, &[])
}

/// Delivers an offer of a host that came to own these columns.
fn ask_from(pool: &mut Slices, at: u64, lender: HostId, columns: &[u32]) -> LoanRequest {
    let offer = SliceBody::Offer(LoanOffer { columns: columns.to_vec() });
    let sent = deliver(pool, at, lender, offer);
    let request = sent.into_iter().find_map(|body| match body {
        SliceBody::Request(req) => Some(req),
        _ => None,
    });
    request.expect("a request")
}

/// Delivers a request; returns the lender's grant.
fn answer(lender: &mut Slices, at: u64, from: HostId, req: &LoanRequest) -> Option<LoanGrant> {
    let sent = deliver(lender, at, from, SliceBody::Request(req.clone()));
    sent.into_iter().find_map(|body| match body {
        SliceBody::Grant(grant) => Some(grant),
        _ => None,
    })
}

/// Takes a request and its grant there and back.
fn renew(lender: &mut Slices, pool: &mut Slices, at: u64) {
    let req = ask(pool, at);
    let grant = answer(lender, at, ids().1, &req).expect("a grant");
    deliver(pool, at, ids().0, SliceBody::Grant(grant));
}

/// Lends the slice to the pool host at [`READY`].
fn lend(lender: &mut Slices, pool: &mut Slices) {
    renew(lender, pool, READY);
    assert_eq!(pool.usable_slices(Instant::from_millis(READY)).len(), 1);
}

fn takes(slices: &mut Slices, at: u64, calls: u64) -> Vec<Verdict> {
    let take = |number| SliceEvent::Take { take: TakeId(number), tenant: tenant() };
    let out = (0..calls).flat_map(|number| step(slices, at, take(number)));
    let verdict = |next| match next {
        SliceAction::Verdict { verdict, .. } => Some(verdict),
        SliceAction::Send { .. } => None,
    };
    out.filter_map(verdict).collect()
}

#[test]
fn shares_add_up_and_never_shrink_when_the_total_grows() {
    for (total, slices) in [(0, 1), (5_000_000, 16), (333_333, 7), (1, 16), (99, 10)] {
        let shares = |total| (0..slices).map(move |c| split(total, slices, ColumnId(c)));

        assert_eq!(shares(total).sum::<u64>(), total);
        assert!(shares(total).zip(shares(total + 1)).all(|(old, new)| old <= new));
    }
}

#[test]
fn a_late_grant_counts_from_its_request() {
    // The pool host hangs, shorter than a pause is noticed, and takes in the grant 2.4 s after
    // its request. The lender counts from its own sending: counted from receipt, the loan
    // would outlast what the lender waits, and the slice would have two users.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    let req = ask(&mut pool, READY);
    let grant = answer(&mut lender, READY, ids().1, &req).expect("a grant");

    deliver(&mut pool, READY + 2_400, ids().0, SliceBody::Grant(grant));

    assert_eq!(pool.usable_slices(Instant::from_millis(READY + 2_999)).len(), 1);
    assert!(pool.usable_slices(Instant::from_millis(READY + 3_000)).is_empty());
}

#[test]
fn loans_are_over_after_a_pause() {
    // The process stands still for 2.6 s, less than a loan lasts. Its clock may have stood
    // still for longer than it shows: it gives its loans up, and tells the lender.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);

    let after = READY + 2_600;
    let sent = bodies(step(&mut pool, after, SliceEvent::Wake));

    assert!(pool.usable_slices(Instant::from_millis(after)).is_empty());
    assert!(matches!(&sent[..], [SliceBody::Request(req)] if req.returns[0].level == 0));
}

#[test]
fn a_lost_grant_leaves_the_slice_with_its_lender() {
    // The lender is a new run of its process, and the pool host acknowledges grants of the
    // former one with higher numbers. The first grant is lost. Taken for acknowledged, its
    // loan would be renewed for good with a host that does not know of it.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    renew(&mut lender, &mut pool, READY + 500);
    renew(&mut lender, &mut pool, READY + 800);
    let mut lender = self::lender(3);
    let req = ask(&mut pool, READY + 1_000);
    let lost = answer(&mut lender, READY + 1_000, ids().1, &req).expect("a grant");

    let req = ask(&mut pool, READY + 2_000);
    let grant = answer(&mut lender, READY + 2_000, ids().1, &req).expect("a grant");

    assert!(req.lender != 3 && lost.loans[0].loan <= req.acknowledged);
    assert_eq!(grant.loans.len(), 1);
}

#[test]
fn returns_are_for_the_run_that_lent() {
    // A loan of the lender's former run ends while the pool host waits for the first grant of
    // the new run, whose loan has the same number. Told to the new run, the return of the
    // former loan would end the new one, which is in use.
    let (mut former, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut former, &mut pool);
    step(&mut pool, READY + 1_500, SliceEvent::Wake);
    let mut lender = lender(3);
    let req = ask(&mut pool, READY + 2_999);
    let grant = answer(&mut lender, READY + 2_999, ids().1, &req).expect("a grant");
    deliver(&mut pool, READY + 3_001, ids().0, SliceBody::Grant(grant));

    let next = ask(&mut pool, READY + 3_300);
    let grant = answer(&mut lender, READY + 3_300, ids().1, &next).expect("a grant");

    assert!(req.lender == 1 && req.returns.is_empty() && next.lender == 3);
    assert!(grant.loans.is_empty());
    assert!(lender.usable_slices(Instant::from_millis(READY + 3_300)).is_empty());
}

#[test]
fn a_repeated_return_does_not_end_a_later_loan() {
    // The slice is recalled and returned, and the grant that answers is lost. It is lent to
    // another host meanwhile; then the return comes again, in the next request.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    let other = HostId::from_name("z");
    lend(&mut lender, &mut pool);
    see(&mut lender, READY + 100, &[ids().0, other]);
    see(&mut lender, READY + 100, &[other]);
    let req = ask(&mut pool, READY + 100);
    let recall = answer(&mut lender, READY + 100, ids().1, &req).expect("a grant");
    let sent = deliver(&mut pool, READY + 100, ids().0, SliceBody::Grant(recall));
    let [SliceBody::Request(back)] = &sent[..] else { panic!("no return in {sent:?}") };
    answer(&mut lender, READY + 100, ids().1, back);
    let others = LoanRequest { session: 9, number: 1, ..LoanRequest::default() };
    let loan = answer(&mut lender, READY + 110, other, &others).expect("a grant").loans[0];

    let again = ask(&mut pool, READY + 400);
    answer(&mut lender, READY + 400, ids().1, &again);

    assert_eq!(again.returns, back.returns);
    assert!(lender.usable_slices(Instant::from_millis(READY + 400)).is_empty(), "{loan:?} is out");
}

#[test]
fn a_new_burst_holds_from_the_next_renewal() {
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    step(&mut lender, READY, SliceEvent::Config(cfg(RATE, 1)));
    let req = ask(&mut pool, READY + 300);
    let lost = answer(&mut lender, READY + 300, ids().1, &req).expect("a grant");

    let req = ask(&mut pool, READY + 600);
    let grant = answer(&mut lender, READY + 600, ids().1, &req).expect("a grant");
    deliver(&mut pool, READY + 600, ids().0, SliceBody::Grant(grant.clone()));
    let verdicts = takes(&mut pool, READY + 600, 3);

    // The first grant was lost, so the change is told again.
    assert_eq!((lost.changes.len(), grant.changes.len()), (1, 1));
    let admitted = verdicts.iter().filter(|verdict| **verdict == Verdict::Admitted).count();
    assert_eq!(admitted, 1);
}

#[test]
fn a_refusal_says_when_a_token_will_be_there() {
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);

    let verdicts = takes(&mut pool, READY, 5);

    let retry_after = Duration::from_millis(500);
    assert_eq!(verdicts[3..], [Verdict::Admitted, Verdict::Refused { retry_after }]);
}

#[test]
fn a_repeated_question_takes_one_token() {
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    let take = SliceEvent::Take { take: TakeId(1), tenant: tenant() };
    let asked = bodies(step(&mut lender, READY, take)).remove(0);

    let first = deliver(&mut pool, READY, ids().0, asked.clone());
    let second = deliver(&mut pool, READY, ids().0, asked);

    assert_eq!(first, second);
    let left = takes(&mut pool, READY, 4);
    assert_eq!(left.iter().filter(|verdict| **verdict == Verdict::Admitted).count(), 3);
}

#[test]
fn a_silent_pool_host_leaves_the_slices_that_are_here() {
    // The pool host is dead, and nobody has noticed. The caller gets its answer after the
    // timeout, from the slice that the lender still has.
    let mut lender = lender(1);
    step(&mut lender, READY, SliceEvent::Wake);
    let open = takes(&mut lender, READY, 1);

    let ended = step(&mut lender, READY + 250, SliceEvent::Wake);

    let verdict = SliceAction::Verdict { take: TakeId(0), verdict: Verdict::Admitted };
    assert!(open.is_empty() && ended.contains(&verdict));
}

#[test]
fn an_owner_past_its_lease_neither_lends_nor_uses() {
    let mut lender = host(ids().0, 1);
    step(&mut lender, 0, owned(READY, true));
    let before = [READY - 1, READY].map(|at| lender.usable_slices(Instant::from_millis(at)).len());
    let req = LoanRequest { session: 2, number: 1, ..LoanRequest::default() };

    let grant = answer(&mut lender, READY, ids().1, &req).expect("a grant");

    assert_eq!((before, grant.loans.len(), grant.columns.len()), ([1, 0], 0, 0));
    assert!(lender.usable_slices(Instant::from_millis(READY)).is_empty());
}

#[test]
fn a_withdrawn_tenant_is_recalled_and_forgotten() {
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    step(&mut lender, READY, SliceEvent::Config(config(&["a"], 1, &[])));
    renew(&mut lender, &mut pool, READY + 300);

    let after = ask(&mut pool, READY + 600);
    let grant = answer(&mut lender, READY + 600, ids().1, &after).expect("a grant");

    let at = Instant::from_millis(READY + 600);
    assert_eq!((pool.usable_slices(at).len(), lender.usable_slices(at).len()), (0, 0));
    assert!(grant.loans.is_empty());
}

#[test]
fn a_large_fleet_has_few_pool_hosts() {
    // An owner renews its loans with each pool host: with 390 of them its bytes run out.
    let mut slices = host(ids().0, 1);
    let all: Vec<HostId> = (0..390).map(|i| HostId::from_name(&format!("h{i}"))).collect();
    see(&mut slices, 0, &all);

    let take = |i| SliceEvent::Take { take: TakeId(i), tenant: TenantId(i * 7_919) };
    let asked: Vec<SliceAction> = (0..600).flat_map(|i| step(&mut slices, 0, take(i))).collect();

    let mut pools: Vec<HostId> = asked
        .iter()
        .filter_map(|next| match next {
            SliceAction::Send { to, .. } => Some(*to),
            SliceAction::Verdict { .. } => None,
        })
        .collect();
    pools.sort_unstable();
    pools.dedup();
    assert!((32..=64).contains(&pools.len()), "{} pool hosts", pools.len());
}

#[test]
fn a_running_loan_goes_on_with_a_new_owner() {
    // A host is shut down in good order, and its column moves. The pool host's loan goes on
    // without a gap, with what is in it; the former owner's end of the loan is past.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    let owner = HostId::from_name("z");
    let mut next = host(owner, 3);
    step(&mut next, 0, owned(100_000, true));

    let req = ask_from(&mut pool, READY + 1_000, owner, &[0]);
    let grant = answer(&mut next, 100, ids().1, &req).expect("a grant");
    let others = LoanRequest { session: 9, number: 1, ..req };
    let again = answer(&mut next, 110, HostId::from_name("w"), &others).expect("a grant");
    deliver(&mut pool, READY + 1_000, owner, SliceBody::Grant(grant));

    // What is lent is not lent again, whoever claims it.
    assert!(again.adoptions.is_empty());
    assert_eq!(takes(&mut pool, READY + 1_000, 4), [Verdict::Admitted; 4]);
    assert_eq!(pool.usable_slices(Instant::from_millis(READY + 3_500)).len(), 1);
}

#[test]
fn an_overtaken_claim_is_returned() {
    // Two hosts come to own the column shortly after one another, and both grant the claim
    // of the pool host's loan. It takes in the later owner's first. Moved once more, the loan
    // would be the former owner's, and the later one would not know when it ends.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);
    let owners = ["z1", "z2"].map(HostId::from_name);
    let mut next = owners.map(|owner| host(owner, owner.0));
    let [first, second] = [0, 1].map(|i| {
        step(&mut next[i], 0, owned(100_000, true));
        let req = ask_from(&mut pool, READY + 100, owners[i], &[0]);
        SliceBody::Grant(answer(&mut next[i], 100, ids().1, &req).expect("a grant"))
    });

    deliver(&mut pool, READY + 200, owners[1], second);
    let sent = deliver(&mut pool, READY + 200, owners[0], first);
    let [SliceBody::Request(req)] = &sent[..] else { panic!("no return in {sent:?}") };
    let grant = answer(&mut next[0], 300, ids().1, req).expect("a grant");

    assert_eq!(pool.usable_slices(Instant::from_millis(READY + 200)).len(), 1);
    assert_eq!((req.returns[0].level, grant.loans.len()), (0, 0));
    assert!(next[0].usable_slices(Instant::from_millis(3_000)).is_empty());
}

#[test]
fn loans_of_a_former_ownership_are_not_renewed() {
    // A host loses its column, forgets its loans, and gets the column again at once. One of
    // two tenants is withdrawn meanwhile. Renewed with the column, its loan would run on for
    // good, though its lender does not know of it.
    let both = config(&["a"], 1, &[("ramps", RATE, BURST), ("weddings", RATE, BURST)]);
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    see(&mut lender, 0, &[ids().1]);
    step(&mut lender, 0, SliceEvent::Config(both));
    step(&mut lender, 2_000, SliceEvent::Wake);
    renew(&mut lender, &mut pool, READY);
    let before = pool.usable_slices(Instant::from_millis(READY)).len();
    step(&mut lender, READY, SliceEvent::Config(cfg(RATE, BURST)));
    step(&mut lender, READY, owned(100_000, true));

    let req = ask_from(&mut pool, READY + 300, ids().0, &[0]);
    let grant = answer(&mut lender, READY + 300, ids().1, &req).expect("a grant");
    deliver(&mut pool, READY + 300, ids().0, SliceBody::Grant(grant));

    let after = pool.usable_slices(Instant::from_millis(READY + 300));
    assert_eq!((before, after), (2, vec![(tenant(), ColumnId(0))]));
}

#[test]
fn a_pool_host_that_becomes_the_owner_goes_on() {
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    lend(&mut lender, &mut pool);

    step(&mut pool, READY + 100, owned(100_000, true));

    assert_eq!(takes(&mut pool, READY + 100, 4), [Verdict::Admitted; 4]);
    assert_eq!(pool.usable_slices(Instant::from_millis(READY + 3_050)).len(), 1);
}

#[test]
fn a_grant_for_an_earlier_request_is_ignored() {
    // The first grant is late. The second request does not acknowledge it, so the lender takes
    // the loan back; taken in after that, the loan would have two users.
    let (mut lender, mut pool) = (lender(1), host(ids().1, 2));
    let first = ask(&mut pool, READY);
    let late = answer(&mut lender, READY, ids().1, &first).expect("a grant");
    ask(&mut pool, READY + 300);

    deliver(&mut pool, READY + 310, ids().0, SliceBody::Grant(late));

    assert!(pool.usable_slices(Instant::from_millis(READY + 310)).is_empty());
}

#[test]
fn a_column_that_its_owner_lost_is_renewed_no_more() {
    // The owner has two columns, and the lease of one ends. The loans of the other are
    // renewed; those of the first must end in time for its next owner.
    let two = config(&["a"], 2, &[("ramps", RATE, BURST)]);
    let (mut lender, mut pool) = (host(ids().0, 1), host(ids().1, 2));
    step(&mut lender, 0, SliceEvent::Config(two));
    step(&mut lender, 0, owned(100_000, true));
    let (column, until) = (ColumnId(1), Instant::from_millis(READY + 900));
    step(&mut lender, 0, SliceEvent::Owned { column, until, fresh: true });
    renew(&mut lender, &mut pool, READY);

    renew(&mut lender, &mut pool, READY + 900);

    let lasts = |at| pool.usable_slices(Instant::from_millis(READY + at)).len();
    assert_eq!([2_900, 3_000, 3_300].map(lasts), [2, 1, 1]);
}
