//! The simulated store of targets' rows: a version counter and the ordered history of changes.

use std::collections::BTreeMap;

use camphorwalk_core::entry::TargetEntry;
use camphorwalk_core::platform::RowVersion;
use camphorwalk_policy::entry::target_table::{EntryChange, EntryRow};

/// The number of rows in a page of a full read: so few that most reads take several pages.
const PAGE_ROWS: usize = 3;

/// A request of a host.
#[derive(Clone, Debug)]
pub enum Op {
    Changes(RowVersion),
    /// The rows whose keys come after this one.
    Page(Box<str>),
}

#[derive(Clone, Debug)]
pub enum Answer {
    Changes(Vec<EntryChange>, RowVersion),
    HistoryGone,
    Page { rows: Vec<EntryRow>, version: RowVersion, is_last: bool },
}

#[derive(Default)]
pub struct Store {
    version: u64,
    rows: BTreeMap<Box<str>, EntryRow>,
    history: Vec<(RowVersion, EntryChange)>,
    /// The version after which the history of changes is complete.
    history_start: RowVersion,
}

impl Store {
    pub fn row(&self, id: &str) -> Option<&EntryRow> {
        self.rows.get(id)
    }

    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> Vec<EntryRow> {
        self.rows.values().cloned().collect()
    }

    /// Writes a row; `None` stands for an unreadable one.
    pub fn write(&mut self, id: &str, entry: Option<TargetEntry>) {
        let row = EntryRow { id: id.into(), version: self.next_version(), entry };
        self.history.push((row.version, EntryChange::Written(row.clone())));
        self.rows.insert(id.into(), row);
    }

    pub fn remove(&mut self, id: &str) {
        if self.rows.remove(id).is_some() {
            let version = self.next_version();
            self.history.push((version, EntryChange::Removed(id.into())));
        }
    }

    /// Writes to another table, which advances the store's version.
    pub fn write_elsewhere(&mut self) {
        self.next_version();
    }

    pub fn drop_history(&mut self) {
        self.history_start = RowVersion(self.version);
        self.history.clear();
    }

    pub fn run(&self, op: &Op) -> Answer {
        match op {
            Op::Changes(after) if *after < self.history_start => Answer::HistoryGone,
            Op::Changes(after) => self.changes(*after),
            Op::Page(after) => self.page(after),
        }
    }

    fn changes(&self, after: RowVersion) -> Answer {
        let later = self.history.iter().filter(|(version, _)| *version > after);

        Answer::Changes(later.map(|(_, c)| c.clone()).collect(), RowVersion(self.version))
    }

    fn page(&self, after: &str) -> Answer {
        let later = self.rows.iter().filter(|(id, _)| &***id > after);
        let rows: Vec<_> = later.map(|(_, row)| row.clone()).take(PAGE_ROWS).collect();
        let is_last = rows.len() < PAGE_ROWS;

        Answer::Page { rows, version: RowVersion(self.version), is_last }
    }

    fn next_version(&mut self) -> RowVersion {
        self.version += 1;

        RowVersion(self.version)
    }
}
