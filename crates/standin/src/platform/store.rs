//! The in-memory store of the platform stand-in. Performs no I/O.

use std::collections::BTreeMap;
use std::ops::Bound;

use bytes::Bytes;
use camphorwalk_core::hash::Map;
use camphorwalk_core::platform::{
    ObjectName, PlatformOp, PlatformReply, Row, RowKey, RowVersion, Transaction,
};

/// Versioned rows, and objects that are named by the hash of their content.
#[derive(Debug, Default)]
pub struct Store {
    /// The version and value of each row.
    rows: BTreeMap<RowKey, (RowVersion, Box<str>)>,
    /// The number of the last commit, over all tables.
    last_commit: u64,
    /// The contents of the objects, by name.
    objects: Map<ObjectName, Bytes>,
}

impl Store {
    /// Runs an operation as a platform without faults would. Snapshots and change feeds are not
    /// supported and return [`PlatformReply::Unavailable`].
    ///
    /// ```
    /// use camphorwalk_core::platform::{PlatformOp, PlatformReply, RowKey};
    /// use camphorwalk_standin::Store;
    /// let reply = Store::default().run(PlatformOp::Read(vec![RowKey::new("t", "k")]));
    /// assert_eq!(reply, PlatformReply::Rows(Vec::new()));
    /// ```
    pub fn run(&mut self, op: PlatformOp) -> PlatformReply {
        match op {
            PlatformOp::Commit(tx) => match self.commit(tx) {
                Ok(version) => PlatformReply::Committed(version),
                Err(rows) => PlatformReply::Conflict(rows),
            },
            PlatformOp::Read(keys) => PlatformReply::Rows(self.read(&keys)),
            PlatformOp::Scan { table, prefix, after, limit } => {
                PlatformReply::Rows(self.scan(&table, &prefix, &after, limit as usize))
            }
            // The stand-in does not support change feeds. Hosts that use it poll instead.
            PlatformOp::Snapshot { .. } | PlatformOp::Changes { .. } => PlatformReply::Unavailable,
            PlatformOp::PutObject(content) => {
                let name = ObjectName::of(&content);
                self.put_object(name.clone(), Bytes::from(content));
                PlatformReply::Stored(name)
            }
            PlatformOp::GetObject(name) => {
                PlatformReply::Object(self.get_object(&name).map(|content| (*content).into()))
            }
        }
    }

    /// Runs a transaction. If a check fails, changes nothing and returns those of the rows with
    /// failed checks that exist.
    pub fn commit(&mut self, tx: Transaction) -> Result<RowVersion, Vec<Row>> {
        let failed: Vec<_> =
            tx.checks.iter().filter(|check| self.version(&check.key) != check.version).collect();

        if !failed.is_empty() {
            return Err(failed.into_iter().filter_map(|check| self.get(&check.key)).collect());
        }

        // One counter for all tables ensures that a key never gets the same version twice, even if
        // its row is deleted and created again.
        self.last_commit += 1;
        let version = RowVersion(self.last_commit);

        for write in tx.writes {
            match write.value {
                Some(value) => {
                    self.rows.insert(write.key, (version, value));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }

        Ok(version)
    }

    /// Returns those of the rows that exist, in key order.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Row> {
        let mut keys: Vec<_> = keys.iter().collect();
        keys.sort();
        keys.dedup();

        keys.into_iter().filter_map(|key| self.get(key)).collect()
    }

    /// Returns the first `limit` rows of `table` whose keys begin with `prefix` and come after
    /// `after`, in key order.
    pub fn scan(&self, table: &str, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let start = if after >= prefix && !after.is_empty() {
            Bound::Excluded(RowKey::new(table, after))
        } else {
            Bound::Included(RowKey::new(table, prefix))
        };

        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| &*key.table == table && key.key.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect()
    }

    /// Stores an object. If the name is not the hash of the content, stores nothing and returns
    /// false.
    pub fn put_object(&mut self, name: ObjectName, content: Bytes) -> bool {
        if ObjectName::of(&content) != name {
            return false;
        }

        self.objects.insert(name, content);
        true
    }

    /// Stores an object without checking its name, as a faulty store might.
    pub fn put_corrupt_object(&mut self, name: ObjectName, content: Bytes) {
        self.objects.insert(name, content);
    }

    /// Returns the content of an object, if it exists.
    pub fn get_object(&self, name: &ObjectName) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    /// Returns the version of a row, or [`RowVersion::ABSENT`] if it does not exist.
    fn version(&self, key: &RowKey) -> RowVersion {
        self.rows.get(key).map_or(RowVersion::ABSENT, |(version, _)| *version)
    }

    /// Returns a row, if it exists.
    fn get(&self, key: &RowKey) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;

        Some(Row { key: key.clone(), version: *version, value: value.clone() })
    }
}
