//! The transactions that take and release leases and end expired sessions.

use camphorwalk_core::hash::{Map, rendezvous};
use camphorwalk_core::ids::Epoch;
use camphorwalk_core::platform::{Check, RowKey, RowVersion, Transaction, Write};
use camphorwalk_core::time::Instant;

use super::observer::Candidate;
use super::rows::{self, LeaseRow};
use super::{GRANT_RELEASE_DELAY, LeaseAction, LeaseName, Leases, RequiredLease};

/// The maximum number of leases that one transaction takes or releases.
const LEASES_PER_TRANSACTION: usize = 64;

impl Leases {
    /// Builds the transaction that ends one session that was not renewed in time, if there is one.
    ///
    /// The check on the row's version decides between this transaction and a concurrent renewal by
    /// the session's owner: only one of them can take effect.
    pub(super) fn end_expired(&self, now: Instant) -> Option<Transaction> {
        if now < self.promised_until {
            return None;
        }
        let (key, version) = self.observer.expired(now, &self.session.key())?;
        let row = RowKey::new(rows::SESSION_TABLE, key);

        Some(Transaction {
            checks: vec![Check { key: row.clone(), version }],
            writes: vec![Write { key: row, value: None }],
        })
    }

    /// Builds the transaction that takes the free leases that this host should hold.
    pub(super) fn take_free(
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

        for required in self.required.iter().filter(|w| free(w.name) && self.should_hold(w)) {
            let row = rows.get(&required.name);
            self.add_take(&mut transaction, required.name, row);
            if transaction.writes.len() >= LEASES_PER_TRANSACTION {
                break;
            }
        }

        (!transaction.writes.is_empty()).then_some(transaction)
    }

    fn add_take(
        &self,
        transaction: &mut Transaction,
        name: LeaseName,
        row: Option<&(LeaseRow, RowVersion)>,
    ) {
        let version = row.map_or(RowVersion::ABSENT, |(_, version)| *version);
        let epoch = row.map_or(Epoch(0), |(row, _)| row.epoch);
        transaction.checks.push(Check { key: name.row_key(), version });

        // The session of the previous holder must still not exist when the lease is written. The
        // scan of the sessions alone may miss a session that was created after the scan.
        if let Some((row, _)) = row.filter(|(row, _)| !row.session.is_empty()) {
            let key = RowKey::new(rows::SESSION_TABLE, row.session.clone());
            let check = Check { key, version: RowVersion::ABSENT };
            if !transaction.checks.contains(&check) {
                transaction.checks.push(check);
            }
        }

        let row = LeaseRow { epoch: Epoch(epoch.0 + 1), session: self.session.key() };
        transaction.writes.push(Write { key: name.row_key(), value: Some(row.to_json()) });
    }

    /// Builds the transaction that releases leases that other hosts should hold and that are not in
    /// use.
    ///
    /// The programs of a partition first release the unused part of their budget grants. Otherwise
    /// a program would lose up to one eighth of its budget with each planned change of its home,
    /// and would be refused for a budget that it never spent.
    pub(super) fn release(
        &mut self,
        now: Instant,
        rows: &Map<LeaseName, (LeaseRow, RowVersion)>,
        out: &mut Vec<LeaseAction>,
    ) -> Option<Transaction> {
        let mut transaction = Transaction::default();

        for name in self.leases_to_release(rows).into_iter().take(LEASES_PER_TRANSACTION) {
            if let LeaseName::Partition(partition) = name
                && self.releasing_grants.insert(partition)
            {
                out.push(LeaseAction::ReleaseGrants { partition });
                self.next_poll = now + GRANT_RELEASE_DELAY;
                continue;
            }

            let held = self.held[&name];
            let row = LeaseRow { epoch: held.epoch, session: "".into() };
            transaction.checks.push(Check { key: name.row_key(), version: held.version });
            transaction.writes.push(Write { key: name.row_key(), value: Some(row.to_json()) });

            // As soon as the row is written, another host may own the column. This host must stop
            // lending and using the column's slices now, not at the next read of the tables:
            // otherwise a slice would have two users and its tenant could exceed its rate. If the
            // write fails, the next read adds the column to the held leases again.
            if let LeaseName::Column(_) = name {
                self.held.remove(&name);
                out.push(LeaseAction::Lost { name });
            }
        }

        (!transaction.writes.is_empty()).then_some(transaction)
    }

    /// Returns the held leases that are not in use and that other hosts should hold, sorted. While
    /// this host is leaving, other hosts should hold all leases.
    fn leases_to_release(&self, rows: &Map<LeaseName, (LeaseRow, RowVersion)>) -> Vec<LeaseName> {
        let is_busy = |name: &LeaseName| match name {
            LeaseName::Partition(p) => self.busy.partitions.contains(p),
            LeaseName::Column(_) => false,
        };
        let should_keep = |name: &LeaseName| {
            let required = self.required.iter().find(|w| w.name == *name);
            self.leaving_since.is_none() && required.is_none_or(|w| self.should_hold(w))
        };

        let mut names: Vec<_> = self.held.keys().copied().collect();
        names.retain(|name| !is_busy(name) && !should_keep(name) && rows.contains_key(name));
        names.sort_unstable();

        names
    }

    /// Returns whether rendezvous hashing assigns the lease to this host, among the hosts of the
    /// lease's zone that have a session and are not leaving.
    fn should_hold(&self, required: &RequiredLease) -> bool {
        let may = |c: &&Candidate| required.zone.is_none_or(|zone| zone == c.zone);
        let hosts = self.candidates.iter().filter(may).map(|c| c.host.0);

        rendezvous(required.name.rendezvous_item(), hosts) == Some(self.this_host.0)
    }
}
