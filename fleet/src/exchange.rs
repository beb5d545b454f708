//! Numbered changes, by which the hub and an entry VM send each other only the changes that the other one lacks.

use crate::frame::View;

/// Tracks the number of local changes, how many of them the hub has, and which of the hub's changes this process has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Exchange {
    /// Number of local changes.
    changes: u64,
    /// The last local change that the hub has.
    told: u64,
    /// The last of the hub's changes that this process has.
    known: View,
}

impl Exchange {
    /// Returns the number of a new change.
    pub(crate) const fn next(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// The number of the last change.
    pub(crate) const fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether the hub lacks a change.
    pub(crate) const fn is_untold(&self, number: u64) -> bool {
        number > self.told
    }

    /// Handles a reply by the hub of this term to a frame that reported the changes up to `changes`. Returns whether this is another hub than
    /// before, which has none of the changes yet.
    pub(crate) fn answered(&mut self, term: u64, changes: u64) -> bool {
        if term == self.known.term {
            self.told = self.told.max(changes);
            return false;
        }
        self.known = View { term, version: 0 };
        self.told = 0;
        true
    }

    /// The last of the hub's changes that this process has.
    pub(crate) const fn known(&self) -> View {
        self.known
    }

    /// As the hub of this term, returns the last of its changes that an entry VM with the view `known` has.
    pub(crate) const fn last_known(term: u64, known: View) -> u64 {
        if known.term == term { known.version } else { 0 }
    }

    /// Records that this process has all of the hub's changes up to this one.
    pub(crate) const fn learn(&mut self, version: u64) {
        self.known.version = version;
    }
}
