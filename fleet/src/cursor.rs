//! Numbered changes, by which the hub and an entry VM send each other only the changes that the other one lacks.

use crate::frame::Position;

/// Tracks the number of local changes, how many of them the hub has, and which of the hub's changes this process has.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cursor {
    /// Number of local changes.
    changes: u64,
    /// The last local change that the hub has.
    reported: u64,
    /// The last of the hub's changes that this process has.
    hub_position: Position,
}

impl Cursor {
    /// Returns the number of a new change.
    pub(crate) const fn next(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// The number of the last change.
    pub(crate) const fn last_change(&self) -> u64 {
        self.changes
    }

    /// Whether the hub lacks a change.
    pub(crate) const fn is_unreported(&self, number: u64) -> bool {
        number > self.reported
    }

    /// Handles a reply by the hub of this term to a frame that reported the changes up to `changes`. Returns whether this is another hub than
    /// before, which has none of the changes yet.
    pub(crate) fn hub_replied(&mut self, term: u64, changes: u64) -> bool {
        if term == self.hub_position.term {
            self.reported = self.reported.max(changes);
            return false;
        }
        self.hub_position = Position { term, version: 0 };
        self.reported = 0;
        true
    }

    /// The last of the hub's changes that this process has.
    pub(crate) const fn hub_position(&self) -> Position {
        self.hub_position
    }

    /// As the hub of this term, returns the last of its changes that an entry VM at `position` has.
    pub(crate) const fn acknowledged(term: u64, position: Position) -> u64 {
        if position.term == term { position.version } else { 0 }
    }

    /// Records that this process has all of the hub's changes up to this one.
    pub(crate) const fn set_hub_version(&mut self, version: u64) {
        self.hub_position.version = version;
    }
}
