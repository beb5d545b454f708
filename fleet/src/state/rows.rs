//! What is known of engines as rows of their table, for those who know less.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::State;
use crate::engine::{Incarnation, Row};
use crate::revision::Revision;

/// An engine's entry was removed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Removed {
    /// The store's version of that.
    pub(crate) version: Revision,
    /// The start of the engine that the entry was of; none if it was not known.
    pub(crate) incarnation: Option<Incarnation>,
}

impl Removed {
    /// The removal as a row of the table.
    fn row(&self, id: &Name) -> Row {
        Row { id: id.clone(), version: self.version, ..Row::default() }
    }
}

/// Versions of the engines' table between which engines may have come and gone unseen.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gap {
    /// Up to here the table was known.
    pub(crate) after: Revision,
    /// As of here it was read whole.
    pub(crate) until: Revision,
}

impl State {
    /// Whether someone who knows the engines' table up to a version lacks all of it: not all removals since are known here.
    pub(crate) fn needs_all_rows(&self, version: Revision) -> bool {
        let missed = self.gap.is_some_and(|gap| gap.after < version && version < gap.until);
        version < self.removals_from || missed
    }

    /// What someone lacks who knows the engines' table up to a version: what has changed, or all of it.
    pub(crate) fn rows_for(&self, now: Time, version: Revision) -> Vec<Row> {
        match (self.needs_all_rows(version), self.newest_row > version) {
            (true, _) => self.rows_after(now, Revision::default()),
            (false, true) => self.rows_after(now, version),
            (false, false) => Vec::new(),
        }
    }

    pub(crate) fn rows_after(&self, now: Time, version: Revision) -> Vec<Row> {
        let put = self.engines.values().filter(|engine| engine.changed > version);
        let put = put.map(|engine| engine.row(now));
        let returned = self.returned.values().filter(|row| row.version > version);
        let removed = self.removed.iter().filter(|(_, removed)| removed.version > version);
        let removed = removed.map(|(id, removed)| removed.row(id));
        put.chain(returned.cloned()).chain(removed).collect()
    }

    /// The same of engines that leave or are gone.
    pub(crate) fn departed_after(&self, now: Time, version: Revision) -> Vec<Row> {
        let mut rows = self.rows_after(now, version);
        rows.retain(|row| row.entry.as_ref().is_none_or(|entry| entry.leaving));
        rows
    }

    /// What is known of an engine as a row of the table; none if nothing is.
    pub(crate) fn row_of(&self, now: Time, id: &Name) -> Option<Row> {
        let listed = self.engines.get(id).map(|engine| engine.row(now));
        listed.or_else(|| self.removed.get(id).map(|removed| removed.row(id)))
    }
}
