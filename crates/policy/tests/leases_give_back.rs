//! Giving leases back.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorwalk_core::platform::{PlatformOp, PlatformReply, Row, RowKey, RowVersion};
use camphorwalk_core::time::Instant;
use camphorwalk_policy::leases::{
    LeaseAction, LeaseEvent, LeaseName, LeaseOptions, Leases, Wanted,
};
use camphorwalk_policy::slices::ColumnId;

const COLUMN: LeaseName = LeaseName::Column(ColumnId(0));

/// A row's table and key.
type Place = (Box<str>, Box<str>);

/// The platform's tables, without checks: one host alone writes.
#[derive(Default)]
struct Tables {
    rows: BTreeMap<Place, (RowVersion, Box<str>)>,
    version: u64,
}

impl Tables {
    fn run(&mut self, op: PlatformOp) -> PlatformReply {
        match op {
            PlatformOp::Commit(transaction) => {
                self.version += 1;
                for write in transaction.writes {
                    let key = (write.key.table, write.key.key);
                    match write.value {
                        Some(value) => self.rows.insert(key, (RowVersion(self.version), value)),
                        None => self.rows.remove(&key),
                    };
                }
                PlatformReply::Committed(RowVersion(self.version))
            }
            PlatformOp::Scan { table, prefix, after, .. } => {
                let rows = self.rows.iter().filter(|((t, key), _)| {
                    *t == table && key.starts_with(&*prefix) && **key > *after
                });
                let row = |((table, key), (version, value)): (&Place, &(_, _))| Row {
                    key: RowKey { table: table.clone(), key: key.clone() },
                    version: *version,
                    value: Box::clone(value),
                };
                PlatformReply::Rows(rows.map(row).collect())
            }
            _ => PlatformReply::Unavailable,
        }
    }
}

/// Runs a host and its platform for a second from an event on; returns all that it did, in
/// order.
fn run(leases: &mut Leases, tables: &mut Tables, from: u64, event: LeaseEvent) -> Vec<LeaseAction> {
    let mut all = Vec::new();
    let mut event = Some(event);

    for at in (from..from + 1_000).step_by(10) {
        let now = Instant::from_millis(at);
        let mut out = Vec::new();
        leases.step(now, event.take().unwrap_or(LeaseEvent::Wake), &mut out);

        while !out.is_empty() {
            let next = out.remove(0);
            all.push(next.clone());
            if let LeaseAction::Platform { op, request } = next {
                let reply = tables.run(request);
                leases.step(now, LeaseEvent::Platform { op, reply }, &mut out);
            }
        }
    }

    all
}

/// Callers of a tenant could get more than its rate: a leaving host gives its column back,
/// another takes it at once, and the first goes on lending its slices until it next looks at
/// the tables. So the column is lost before the platform hears that it is free.
#[test]
fn a_column_is_lost_before_it_is_given_back() {
    let mut leases = Leases::new(LeaseOptions {
        host: "a1".into(),
        zone: "a".into(),
        peer_address: "127.0.0.1:1".parse().expect("an address"),
        session: 7,
        lifetime: Duration::from_secs(4),
        renewal: Duration::from_secs(1),
        poll: Duration::from_millis(100),
    });
    let mut tables = Tables::default();
    let wanted = vec![Wanted { name: COLUMN, zone: None }];
    let before = run(&mut leases, &mut tables, 10, LeaseEvent::Wanted(wanted));

    let after = run(&mut leases, &mut tables, 1_010, LeaseEvent::Leave);

    let is_taken = |next: &LeaseAction| matches!(next, LeaseAction::Acquired { name: COLUMN, .. });
    let frees = |next: &LeaseAction| match next {
        LeaseAction::Platform { request: PlatformOp::Commit(transaction), .. } => {
            transaction.writes.iter().any(|write| write.key == COLUMN.row())
        }
        _ => false,
    };
    let lost = after.iter().position(|next| *next == LeaseAction::Lost { name: COLUMN });
    let freed = after.iter().position(frees);
    assert!(before.iter().any(is_taken) && freed.is_some());
    assert!(lost.is_some() && lost < freed, "lost {lost:?}, freed {freed:?}");
}
