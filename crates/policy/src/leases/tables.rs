//! The transactions that take, give back and end what the tables of leases show.

use camphorwalk_core::hash::{Map, rendezvous};
use camphorwalk_core::ids::Epoch;
use camphorwalk_core::platform::{Check, RowKey, RowVersion, Transaction, Write};
use camphorwalk_core::time::Instant;

use super::observer::Candidate;
use super::rows::{self, LeaseRow};
use super::{LeaseName, Leases, Wanted};

/// The most leases that one transaction takes or gives back.
const LEASES_PER_TRANSACTION: usize = 64;

impl Leases {
    /// Makes the transaction that ends one session which was not renewed in time.
    ///
    /// The check on its version is what fences its owner: if that one renews at the same
    /// time, only one of the two takes effect.
    pub(super) fn end_overdue(&self, now: Instant) -> Option<Transaction> {
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
        if self.leaving {
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
    pub(super) fn give_back(
        &self,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
    ) -> Option<Transaction> {
        let mut transaction = Transaction::default();
        let is_busy = |name: LeaseName| match name {
            LeaseName::Partition(p) => self.busy.contains(&p),
            LeaseName::Column(_) => false,
        };

        let mut names: Vec<_> = self.held.keys().copied().collect();
        names.sort_unstable();
        for name in names {
            let wanted = self.wanted.iter().find(|w| w.name == name);
            let keep = !self.leaving && wanted.is_none_or(|w| self.should_hold(w));
            if keep || is_busy(name) || !rows.contains_key(&name) {
                continue;
            }

            let held = self.held[&name];
            let row = LeaseRow { epoch: held.epoch, session: "".into() };
            transaction.checks.push(Check { key: name.row(), version: held.version });
            transaction.writes.push(Write { key: name.row(), value: Some(row.to_json()) });
            if transaction.writes.len() >= LEASES_PER_TRANSACTION {
                break;
            }
        }

        (!transaction.writes.is_empty()).then_some(transaction)
    }

    /// Returns whether the rendezvous hash over the live sessions picks this host.
    fn should_hold(&self, wanted: &Wanted) -> bool {
        let may = |c: &&Candidate| wanted.zone.is_none_or(|zone| zone == c.zone);
        let hosts = self.candidates.iter().filter(may).map(|c| c.host.0);

        rendezvous(wanted.name.item(), hosts) == Some(self.me.0)
    }
}
