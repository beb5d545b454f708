//! The known engines as rows of the engine table, for entry VMs with an older table.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::State;
use crate::engine::{Incarnation, Row};
use crate::revision::Revision;

/// The removal of an engine's entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tombstone {
    /// The store's revision of the removal.
    pub(crate) version: Revision,
    /// The start of the engine that the entry belonged to; none if unknown.
    pub(crate) incarnation: Option<Incarnation>,
}

impl Tombstone {
    /// The removal as a row of the engine table.
    fn row(&self, id: &Name) -> Row {
        Row { id: id.clone(), version: self.version, ..Row::default() }
    }
}

/// Revisions of the engine table between which engines may have come and gone unseen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gap {
    /// The revision up to which the table had been known.
    pub(crate) after: Revision,
    /// The revision as of which the whole table was read.
    pub(crate) until: Revision,
}

impl State {
    /// Whether an entry VM whose table is at this revision needs the whole table, because not all removals since are
    /// known here.
    pub(crate) fn needs_full_table(&self, version: Revision) -> bool {
        let missed = self.gap.is_some_and(|gap| gap.after < version && version < gap.until);
        version < self.tombstones_since || missed
    }

    /// The rows that an entry VM whose table is at this revision lacks: the changed ones, or the whole table.
    pub(crate) fn missing_rows(&self, now: Time, version: Revision) -> Vec<Row> {
        match (self.needs_full_table(version), self.newest_row > version) {
            (true, _) => self.rows_after(now, Revision::default()),
            (false, true) => self.rows_after(now, version),
            (false, false) => Vec::new(),
        }
    }

    pub(crate) fn rows_after(&self, now: Time, version: Revision) -> Vec<Row> {
        let present = self.engines.values().filter(|engine| engine.changed > version);
        let present = present.map(|engine| engine.row(now));
        let resurrected = self.resurrected.values().filter(|row| row.version > version);
        let removed = self.tombstones.iter().filter(|(_, removed)| removed.version > version);
        let removed = removed.map(|(id, removed)| removed.row(id));
        present.chain(resurrected.cloned()).chain(removed).collect()
    }

    /// The rows changed after this revision whose engines are leaving or gone.
    pub(crate) fn departed_rows_after(&self, now: Time, version: Revision) -> Vec<Row> {
        let mut rows = self.rows_after(now, version);
        rows.retain(|row| row.entry.as_ref().is_none_or(|entry| entry.leaving));
        rows
    }

    /// An engine as a row of the engine table; none if it is unknown.
    pub(crate) fn row_of(&self, now: Time, id: &Name) -> Option<Row> {
        let listed = self.engines.get(id).map(|engine| engine.row(now));
        listed.or_else(|| self.tombstones.get(id).map(|removed| removed.row(id)))
    }
}
