//! Tests single rules of lending with one lender, one admission host and one slice.

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

/// When the lender may lend, in ms: a new column is usable after 3.1 s, and two seconds later the
/// slice is full.
const READY: u64 = 3_100 + 2_000;

fn tenant() -> TenantId {
    TenantId::from_name("ramps")
}

fn config_with(rate: f64, burst: u32) -> Arc<Config> {
    config(&["a"], 1, &[("ramps", rate, burst)])
}

/// The ids of the lender and of the tenant's admission host.
fn host_ids() -> (HostId, HostId) {
    let [x, y] = ["x", "y"].map(HostId::from_name);
    let admission_host = rendezvous(tenant().0, [x.0, y.0]);

    if admission_host == Some(x.0) { (y, x) } else { (x, y) }
}

/// A host that knows both hosts and the configuration.
fn new_host(host: HostId, session: u64) -> Slices {
    let zone = ZoneId::from_name("a");
    let times = SliceTimes::default();
    let mut slices = Slices::new(SliceOptions { host, zone, session, times });
    step(&mut slices, 0, SliceEvent::Config(config_with(RATE, BURST)));
    set_hosts(&mut slices, 0, &[host_ids().0, host_ids().1]);
    slices
}

fn set_hosts(slices: &mut Slices, at: u64, hosts: &[HostId]) {
    let zone = ZoneId::from_name("a");
    let hosts = hosts.iter().map(|host| SliceHost { host: *host, zone }).collect();
    step(slices, at, SliceEvent::Hosts(hosts));
}

fn owned(until: u64, fresh: bool) -> SliceEvent {
    SliceEvent::Owned { column: ColumnId(0), until: Instant::from_millis(until), fresh }
}

fn lender(session: u64) -> Slices {
    let mut lender = new_host(host_ids().0, session);
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

/// Delivers an offer and returns the admission host's request.
fn request_after_offer(borrower: &mut Slices, at: u64) -> LoanRequest {
    request_after_offer_from(borrower, at, host_ids().0, &[])
}

/// Delivers an offer of a host that took over these columns.
fn request_after_offer_from(
    borrower: &mut Slices,
    at: u64,
    lender: HostId,
    columns: &[u32],
) -> LoanRequest {
    let offer = SliceBody::Offer(LoanOffer { columns: columns.to_vec() });
    let sent = deliver(borrower, at, lender, offer);
    let request = sent.into_iter().find_map(|body| match body {
        SliceBody::Request(req) => Some(req),
        _ => None,
    });
    request.expect("a request")
}

/// Delivers a request and returns the lender's grant.
fn grant_for(lender: &mut Slices, at: u64, from: HostId, req: &LoanRequest) -> Option<LoanGrant> {
    let sent = deliver(lender, at, from, SliceBody::Request(req.clone()));
    sent.into_iter().find_map(|body| match body {
        SliceBody::Grant(grant) => Some(grant),
        _ => None,
    })
}

/// Delivers a request and the grant that answers it.
fn renew_loans(lender: &mut Slices, borrower: &mut Slices, at: u64) {
    let req = request_after_offer(borrower, at);
    let grant = grant_for(lender, at, host_ids().1, &req).expect("a grant");
    deliver(borrower, at, host_ids().0, SliceBody::Grant(grant));
}

/// Lends the slice to the admission host at [`READY`].
fn lend_slice(lender: &mut Slices, borrower: &mut Slices) {
    renew_loans(lender, borrower, READY);
    assert_eq!(borrower.usable_slices(Instant::from_millis(READY)).len(), 1);
}

fn take_tokens(slices: &mut Slices, at: u64, calls: u64) -> Vec<Verdict> {
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
fn the_lifetime_of_a_loan_counts_from_its_request() {
    // The admission host hangs for less time than is detected as a pause, and applies the grant
    // 2.4 s after its request. The lender counts the loan from when it sent the grant. If the
    // borrower counted from receipt, the loan would outlast the time that the lender waits, and
    // the slice would have two users.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    let req = request_after_offer(&mut borrower, READY);
    let grant = grant_for(&mut lender, READY, host_ids().1, &req).expect("a grant");

    deliver(&mut borrower, READY + 2_400, host_ids().0, SliceBody::Grant(grant));

    assert_eq!(borrower.usable_slices(Instant::from_millis(READY + 2_999)).len(), 1);
    assert!(borrower.usable_slices(Instant::from_millis(READY + 3_000)).is_empty());
}

#[test]
fn loans_end_after_a_pause() {
    // The process is paused for 2.6 s, less than a loan lasts. Its clock may have stood still for
    // longer than it shows. The process must end its loans and return them to the lender.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);

    let after = READY + 2_600;
    let sent = bodies(step(&mut borrower, after, SliceEvent::Wake));

    assert!(borrower.usable_slices(Instant::from_millis(after)).is_empty());
    assert!(matches!(&sent[..], [SliceBody::Request(req)] if req.returns[0].level == 0));
}

#[test]
fn a_lost_grant_leaves_the_slice_with_its_lender() {
    // The lender's process has restarted, and the admission host acknowledges grants of the
    // earlier run, which have higher numbers. The first grant of the new run is lost. If it
    // counted as acknowledged, its loan would be renewed forever for a host that does not know
    // about it.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    renew_loans(&mut lender, &mut borrower, READY + 500);
    renew_loans(&mut lender, &mut borrower, READY + 800);
    let mut lender = self::lender(3);
    let req = request_after_offer(&mut borrower, READY + 1_000);
    let lost = grant_for(&mut lender, READY + 1_000, host_ids().1, &req).expect("a grant");

    let req = request_after_offer(&mut borrower, READY + 2_000);
    let grant = grant_for(&mut lender, READY + 2_000, host_ids().1, &req).expect("a grant");

    assert!(req.lender != 3 && lost.loans[0].loan <= req.acknowledged);
    assert_eq!(grant.loans.len(), 1);
}

#[test]
fn returns_are_sent_only_to_the_run_that_lent() {
    // A loan from the lender's earlier run ends while the admission host waits for the first
    // grant of the new run, whose loan has the same number. If the return of the earlier loan
    // were sent to the new run, it would end the new loan while that is in use.
    let (mut former, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut former, &mut borrower);
    step(&mut borrower, READY + 1_500, SliceEvent::Wake);
    let mut lender = lender(3);
    let req = request_after_offer(&mut borrower, READY + 2_999);
    let grant = grant_for(&mut lender, READY + 2_999, host_ids().1, &req).expect("a grant");
    deliver(&mut borrower, READY + 3_001, host_ids().0, SliceBody::Grant(grant));

    let next = request_after_offer(&mut borrower, READY + 3_300);
    let grant = grant_for(&mut lender, READY + 3_300, host_ids().1, &next).expect("a grant");

    assert!(req.lender == 1 && req.returns.is_empty() && next.lender == 3);
    assert!(grant.loans.is_empty());
    assert!(lender.usable_slices(Instant::from_millis(READY + 3_300)).is_empty());
}

#[test]
fn a_repeated_return_does_not_end_a_later_loan() {
    // The slice is recalled and returned, and the grant that answers the return is lost. The
    // slice is then lent to another host. The return is repeated in the next request, and must
    // not end the new loan.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    let other = HostId::from_name("z");
    lend_slice(&mut lender, &mut borrower);
    set_hosts(&mut lender, READY + 100, &[host_ids().0, other]);
    set_hosts(&mut lender, READY + 100, &[other]);
    let req = request_after_offer(&mut borrower, READY + 100);
    let recall = grant_for(&mut lender, READY + 100, host_ids().1, &req).expect("a grant");
    let sent = deliver(&mut borrower, READY + 100, host_ids().0, SliceBody::Grant(recall));
    let [SliceBody::Request(return_request)] = &sent[..] else { panic!("no return in {sent:?}") };
    grant_for(&mut lender, READY + 100, host_ids().1, return_request);
    let other_request = LoanRequest { session: 9, number: 1, ..LoanRequest::default() };
    let loan =
        grant_for(&mut lender, READY + 110, other, &other_request).expect("a grant").loans[0];

    let again = request_after_offer(&mut borrower, READY + 400);
    grant_for(&mut lender, READY + 400, host_ids().1, &again);

    assert_eq!(again.returns, return_request.returns);
    assert!(lender.usable_slices(Instant::from_millis(READY + 400)).is_empty(), "{loan:?} is out");
}

#[test]
fn a_new_burst_applies_from_the_next_renewal() {
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    step(&mut lender, READY, SliceEvent::Config(config_with(RATE, 1)));
    let req = request_after_offer(&mut borrower, READY + 300);
    let lost = grant_for(&mut lender, READY + 300, host_ids().1, &req).expect("a grant");

    let req = request_after_offer(&mut borrower, READY + 600);
    let grant = grant_for(&mut lender, READY + 600, host_ids().1, &req).expect("a grant");
    deliver(&mut borrower, READY + 600, host_ids().0, SliceBody::Grant(grant.clone()));
    let verdicts = take_tokens(&mut borrower, READY + 600, 3);

    // The first grant was lost, so the change is sent again.
    assert_eq!((lost.changes.len(), grant.changes.len()), (1, 1));
    let admitted = verdicts.iter().filter(|verdict| **verdict == Verdict::Admitted).count();
    assert_eq!(admitted, 1);
}

#[test]
fn a_refusal_contains_the_time_until_the_next_token() {
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);

    let verdicts = take_tokens(&mut borrower, READY, 5);

    let retry_after = Duration::from_millis(500);
    assert_eq!(verdicts[3..], [Verdict::Admitted, Verdict::Refused { retry_after }]);
}

#[test]
fn a_repeated_take_request_takes_one_token() {
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    let take = SliceEvent::Take { take: TakeId(1), tenant: tenant() };
    let sent = bodies(step(&mut lender, READY, take)).remove(0);

    let first = deliver(&mut borrower, READY, host_ids().0, sent.clone());
    let second = deliver(&mut borrower, READY, host_ids().0, sent);

    assert_eq!(first, second);
    let left = take_tokens(&mut borrower, READY, 4);
    assert_eq!(left.iter().filter(|verdict| **verdict == Verdict::Admitted).count(), 3);
}

#[test]
fn local_slices_are_used_if_the_admission_host_is_silent() {
    // The admission host is dead, and no host has noticed. The caller must get its answer after
    // the timeout, from the slice that the lender still holds.
    let mut lender = lender(1);
    step(&mut lender, READY, SliceEvent::Wake);
    let open = take_tokens(&mut lender, READY, 1);

    let ended = step(&mut lender, READY + 250, SliceEvent::Wake);

    let verdict = SliceAction::Verdict { take: TakeId(0), verdict: Verdict::Admitted };
    assert!(open.is_empty() && ended.contains(&verdict));
}

#[test]
fn an_owner_with_an_expired_lease_neither_lends_nor_uses_slices() {
    let mut lender = new_host(host_ids().0, 1);
    step(&mut lender, 0, owned(READY, true));
    let before = [READY - 1, READY].map(|at| lender.usable_slices(Instant::from_millis(at)).len());
    let req = LoanRequest { session: 2, number: 1, ..LoanRequest::default() };

    let grant = grant_for(&mut lender, READY, host_ids().1, &req).expect("a grant");

    assert_eq!((before, grant.loans.len(), grant.columns.len()), ([1, 0], 0, 0));
    assert!(lender.usable_slices(Instant::from_millis(READY)).is_empty());
}

#[test]
fn slices_of_a_withdrawn_tenant_are_recalled_and_removed() {
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    step(&mut lender, READY, SliceEvent::Config(config(&["a"], 1, &[])));
    renew_loans(&mut lender, &mut borrower, READY + 300);

    let after = request_after_offer(&mut borrower, READY + 600);
    let grant = grant_for(&mut lender, READY + 600, host_ids().1, &after).expect("a grant");

    let at = Instant::from_millis(READY + 600);
    assert_eq!((borrower.usable_slices(at).len(), lender.usable_slices(at).len()), (0, 0));
    assert!(grant.loans.is_empty());
}

#[test]
fn a_large_fleet_has_few_admission_hosts() {
    // An owner renews its loans with each admission host. With all 390 hosts, renewals would use
    // up its bandwidth.
    let mut slices = new_host(host_ids().0, 1);
    let all: Vec<HostId> = (0..390).map(|i| HostId::from_name(&format!("h{i}"))).collect();
    set_hosts(&mut slices, 0, &all);

    let take = |i| SliceEvent::Take { take: TakeId(i), tenant: TenantId(i * 7_919) };
    let sent: Vec<SliceAction> = (0..600).flat_map(|i| step(&mut slices, 0, take(i))).collect();

    let mut admission_hosts: Vec<HostId> = sent
        .iter()
        .filter_map(|next| match next {
            SliceAction::Send { to, .. } => Some(*to),
            SliceAction::Verdict { .. } => None,
        })
        .collect();
    admission_hosts.sort_unstable();
    admission_hosts.dedup();
    assert!(
        (32..=64).contains(&admission_hosts.len()),
        "{} admission hosts",
        admission_hosts.len()
    );
}

#[test]
fn a_running_loan_continues_with_a_new_owner() {
    // A host is shut down gracefully, and its column moves to another owner. The admission host's
    // loan must continue without a gap and keep its level, past the time at which the former
    // owner's loan would have ended.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    let owner = HostId::from_name("z");
    let mut next = new_host(owner, 3);
    step(&mut next, 0, owned(100_000, true));

    let req = request_after_offer_from(&mut borrower, READY + 1_000, owner, &[0]);
    let grant = grant_for(&mut next, 100, host_ids().1, &req).expect("a grant");
    let other_request = LoanRequest { session: 9, number: 1, ..req };
    let again = grant_for(&mut next, 110, HostId::from_name("w"), &other_request).expect("a grant");
    deliver(&mut borrower, READY + 1_000, owner, SliceBody::Grant(grant));

    // A slice that is on loan is not lent again to another host that claims it.
    assert!(again.adoptions.is_empty());
    assert_eq!(take_tokens(&mut borrower, READY + 1_000, 4), [Verdict::Admitted; 4]);
    assert_eq!(borrower.usable_slices(Instant::from_millis(READY + 3_500)).len(), 1);
}

#[test]
fn an_outdated_claim_is_returned() {
    // Two hosts become owner of the column shortly after one another, and both grant the claim of
    // the admission host's loan. It applies the later owner's grant first. If it then moved the
    // loan to the earlier owner, the later one would not know when the loan ends.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);
    let owners = ["z1", "z2"].map(HostId::from_name);
    let mut next = owners.map(|owner| new_host(owner, owner.0));
    let [first, second] = [0, 1].map(|i| {
        step(&mut next[i], 0, owned(100_000, true));
        let req = request_after_offer_from(&mut borrower, READY + 100, owners[i], &[0]);
        SliceBody::Grant(grant_for(&mut next[i], 100, host_ids().1, &req).expect("a grant"))
    });

    deliver(&mut borrower, READY + 200, owners[1], second);
    let sent = deliver(&mut borrower, READY + 200, owners[0], first);
    let [SliceBody::Request(req)] = &sent[..] else { panic!("no return in {sent:?}") };
    let grant = grant_for(&mut next[0], 300, host_ids().1, req).expect("a grant");

    assert_eq!(borrower.usable_slices(Instant::from_millis(READY + 200)).len(), 1);
    assert_eq!((req.returns[0].level, grant.loans.len()), (0, 0));
    assert!(next[0].usable_slices(Instant::from_millis(3_000)).is_empty());
}

#[test]
fn loans_of_a_former_ownership_are_not_renewed() {
    // A host loses its column, removes its loans, and gets the column again at once. One of two
    // tenants is withdrawn in the meantime. If its loan were renewed with the column, it would
    // continue forever although the lender does not know about it.
    let both = config(&["a"], 1, &[("ramps", RATE, BURST), ("weddings", RATE, BURST)]);
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    set_hosts(&mut lender, 0, &[host_ids().1]);
    step(&mut lender, 0, SliceEvent::Config(both));
    step(&mut lender, 2_000, SliceEvent::Wake);
    renew_loans(&mut lender, &mut borrower, READY);
    let before = borrower.usable_slices(Instant::from_millis(READY)).len();
    step(&mut lender, READY, SliceEvent::Config(config_with(RATE, BURST)));
    step(&mut lender, READY, owned(100_000, true));

    let req = request_after_offer_from(&mut borrower, READY + 300, host_ids().0, &[0]);
    let grant = grant_for(&mut lender, READY + 300, host_ids().1, &req).expect("a grant");
    deliver(&mut borrower, READY + 300, host_ids().0, SliceBody::Grant(grant));

    let after = borrower.usable_slices(Instant::from_millis(READY + 300));
    assert_eq!((before, after), (2, vec![(tenant(), ColumnId(0))]));
}

#[test]
fn an_admission_host_that_becomes_the_owner_keeps_its_slices() {
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    lend_slice(&mut lender, &mut borrower);

    step(&mut borrower, READY + 100, owned(100_000, true));

    assert_eq!(take_tokens(&mut borrower, READY + 100, 4), [Verdict::Admitted; 4]);
    assert_eq!(borrower.usable_slices(Instant::from_millis(READY + 3_050)).len(), 1);
}

#[test]
fn a_grant_for_an_earlier_request_is_ignored() {
    // The first grant is delayed. The second request does not acknowledge it, so the lender takes
    // the loan back. If the grant were applied after that, the slice would have two users.
    let (mut lender, mut borrower) = (lender(1), new_host(host_ids().1, 2));
    let first = request_after_offer(&mut borrower, READY);
    let late = grant_for(&mut lender, READY, host_ids().1, &first).expect("a grant");
    request_after_offer(&mut borrower, READY + 300);

    deliver(&mut borrower, READY + 310, host_ids().0, SliceBody::Grant(late));

    assert!(borrower.usable_slices(Instant::from_millis(READY + 310)).is_empty());
}

#[test]
fn loans_in_a_lost_column_are_not_renewed() {
    // The owner has two columns, and its lease of one ends. The loans in the other column are
    // renewed. Those in the first one must expire in time for its next owner.
    let two = config(&["a"], 2, &[("ramps", RATE, BURST)]);
    let (mut lender, mut borrower) = (new_host(host_ids().0, 1), new_host(host_ids().1, 2));
    step(&mut lender, 0, SliceEvent::Config(two));
    step(&mut lender, 0, owned(100_000, true));
    let (column, until) = (ColumnId(1), Instant::from_millis(READY + 900));
    step(&mut lender, 0, SliceEvent::Owned { column, until, fresh: true });
    renew_loans(&mut lender, &mut borrower, READY);

    renew_loans(&mut lender, &mut borrower, READY + 900);

    let lasts = |at| borrower.usable_slices(Instant::from_millis(READY + at)).len();
    assert_eq!([2_900, 3_000, 3_300].map(lasts), [2, 1, 1]);
}
