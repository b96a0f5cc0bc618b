//! The transactions that take, give back and end what the tables of leases show.

use camphorwalk_core::hash::{Map, rendezvous};
use camphorwalk_core::ids::Epoch;
use camphorwalk_core::platform::{Check, RowKey, RowVersion, Transaction, Write};
use camphorwalk_core::time::Instant;

use super::observer::Candidate;
use super::rows::{self, LeaseRow};
use super::{LeaseAction, LeaseName, Leases, SETTLE_TIME, Wanted};

/// The most leases that one transaction takes or gives back.
const LEASES_PER_TRANSACTION: usize = 64;

impl Leases {
    /// Makes the transaction that ends one session which was not renewed in time.
    ///
    /// The check on its version is what fences its owner: if that one renews at the same
    /// time, only one of the two takes effect.
    pub(super) fn end_overdue(&self, now: Instant) -> Option<Transaction> {
        if now < self.promised {
            return None;
        }
        let (key, version) = self.observer.overdue(now, &self.session.key())?;
        let row = RowKey::new(rows::SESSIONS, key);

        Some(Transaction {
            checks: vec![Check { key: row.clone(), version }],
            writes: vec![Write { key: row, value: None }],
        })
    }

    /// Makes the transaction that takes the free leases which this host should hold.
    pub(super) fn take(
        &self,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
    ) -> Option<Transaction> {
        if self.leaving_since.is_some() {
            return None;
        }

        let mut transaction = Transaction::default();
        let free = |name: LeaseName| match rows.get(&name) {
            None => true,
            Some((row, _)) => self.observer.session(&row.session).is_none(),
        };

        for wanted in self.wanted.iter().filter(|w| free(w.name) && self.should_hold(w)) {
            let row = rows.get(&wanted.name);
            self.add_taking(&mut transaction, wanted.name, row);
            if transaction.writes.len() >= LEASES_PER_TRANSACTION {
                break;
            }
        }

        (!transaction.writes.is_empty()).then_some(transaction)
    }

    fn add_taking(
        &self,
        transaction: &mut Transaction,
        name: LeaseName,
        row: Option<&(LeaseRow, RowVersion)>,
    ) {
        let version = row.map_or(RowVersion::ABSENT, |(_, version)| *version);
        let epoch = row.map_or(Epoch(0), |(row, _)| row.epoch);
        transaction.checks.push(Check { key: name.row(), version });

        // The former holder's session must still be gone when the lease is written. A scan
        // alone may miss a session that was created after it.
        if let Some((row, _)) = row.filter(|(row, _)| !row.session.is_empty()) {
            let key = RowKey::new(rows::SESSIONS, row.session.clone());
            let check = Check { key, version: RowVersion::ABSENT };
            if !transaction.checks.contains(&check) {
                transaction.checks.push(check);
            }
        }

        let row = LeaseRow { epoch: Epoch(epoch.0 + 1), session: self.session.key() };
        transaction.writes.push(Write { key: name.row(), value: Some(row.to_json()) });
    }

    /// Makes the transaction that gives back what others should hold, unless it is busy.
    ///
    /// A partition is settled first: its programs give up the unspent part of what they were
    /// granted. Without that a program loses up to an eighth of its budget with each planned
    /// change of home, and is refused for a budget that it never spent.
    pub(super) fn give_back(
        &mut self,
        now: Instant,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
        out: &mut Vec<LeaseAction>,
    ) -> Option<Transaction> {
        let mut transaction = Transaction::default();

        for name in self.unwanted(rows).into_iter().take(LEASES_PER_TRANSACTION) {
            if let LeaseName::Partition(partition) = name
                && self.settling.insert(partition)
            {
                out.push(LeaseAction::Settle { partition });
                self.next_poll = now + SETTLE_TIME;
                continue;
            }

            let held = self.held[&name];
            let row = LeaseRow { epoch: held.epoch, session: "".into() };
            transaction.checks.push(Check { key: name.row(), version: held.version });
            transaction.writes.push(Write { key: name.row(), value: Some(row.to_json()) });

            // From the write on another host may own the column. This one must not lend or
            // use its slices until the next look at the tables: a slice would have two users,
            // and a tenant more than its rate. If the write fails, that look brings it back.
            if let LeaseName::Column(_) = name {
                self.held.remove(&name);
                out.push(LeaseAction::Lost { name });
            }
        }

        (!transaction.writes.is_empty()).then_some(transaction)
    }

    /// Returns what is held, is not busy and should be held by others, in order.
    fn unwanted(&self, rows: &Map<LeaseName, (LeaseRow, RowVersion)>) -> Vec<LeaseName> {
        let is_busy = |name: &LeaseName| match name {
            LeaseName::Partition(p) => self.busy.partitions.contains(p),
            LeaseName::Column(_) => false,
        };
        let keep = |name: &LeaseName| {
            let wanted = self.wanted.iter().find(|w| w.name == *name);
            self.leaving_since.is_none() && wanted.is_none_or(|w| self.should_hold(w))
        };

        let mut names: Vec<_> = self.held.keys().copied().collect();
        names.retain(|name| !is_busy(name) && !keep(name) && rows.contains_key(name));
        names.sort_unstable();

        names
    }

    /// Returns whether the rendezvous hash over the live sessions picks this host.
    fn should_hold(&self, wanted: &Wanted) -> bool {
        let may = |c: &&Candidate| wanted.zone.is_none_or(|zone| zone == c.zone);
        let hosts = self.candidates.iter().filter(may).map(|c| c.host.0);

        rendezvous(wanted.name.item(), hosts) == Some(self.me.0)
    }
}
