//! Numbered changes of what this process knows, by which the hub and each entry VM are told only those that they lack.

use crate::frame::View;

/// Which changes there are, and which the hub and this process know of each other's.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Exchange {
    /// Changes here.
    changes: u64,
    /// Those of which the hub was told.
    told: u64,
    /// What is known of the hub's changes.
    known: View,
}

impl Exchange {
    /// The number of a new change.
    pub(crate) const fn next(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// The number of the last change.
    pub(crate) const fn changes(&self) -> u64 {
        self.changes
    }

    /// Whether the hub has not been told of a change.
    pub(crate) const fn is_untold(&self, number: u64) -> bool {
        number > self.told
    }

    /// A hub of this term has answered a frame that told of changes up to this one. Returns whether it is another hub than before, which has
    /// been told nothing.
    pub(crate) fn answered(&mut self, term: u64, changes: u64) -> bool {
        if term == self.known.term {
            self.told = self.told.max(changes);
            return false;
        }
        self.known = View { term, version: 0 };
        self.told = 0;
        true
    }

    /// What is known of the hub's changes.
    pub(crate) const fn known(&self) -> View {
        self.known
    }

    /// As the hub of this term: the last change that whoever knows these was told of.
    pub(crate) const fn last_known(term: u64, known: View) -> u64 {
        if known.term == term { known.version } else { 0 }
    }

    /// The hub told all of its changes up to this one.
    pub(crate) const fn learn(&mut self, version: u64) {
        self.known.version = version;
    }
}
