//! Full snapshots that the hub sends to an entry VM without data: all rows of the engine table, and the residencies
//! of all engines, packed.
//!
//! When all entry VMs are killed at once, or a new one leads, hundreds of them ask for all of it within a second. So
//! a snapshot is packed once for all who ask within a short time. Later changes follow with the next frame of each.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::time::Time;
use bytes::Bytes;
use serde::Serialize;

use super::message::Position;
use crate::pack;
use crate::revision::Revision;
use crate::state::State;

/// Number of engines from which on a snapshot is packed. Fewer fit into a few KB.
const PACKED_ENGINES_MIN: usize = 64;
/// How long a snapshot that is older than the current data is sent.
const REUSE_MAX: Duration = Duration::from_millis(500);
/// How long a snapshot that equals the current data is sent. It also contains remaining waiting times, which go out
/// of date.
const REUSE_UNCHANGED_MAX: Duration = Duration::from_secs(5);

/// Packed data, and its version.
#[derive(Clone, Debug)]
struct Snapshot<V> {
    made: Time,
    version: V,
    bytes: Bytes,
}

/// Why a full snapshot is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Rows, to an entry VM without any.
    RowsAtStart,
    /// Rows, to an entry VM that may lack removals.
    RowsGap,
    /// Residencies, to an entry VM without any hub's data.
    ResidenciesAtStart,
    /// Residencies, to an entry VM with the data of another hub.
    ResidenciesNewTerm,
}

impl Reason {
    /// The reason's name in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::RowsAtStart => "rows_at_start",
            Self::RowsGap => "rows_gap",
            Self::ResidenciesAtStart => "held_at_start",
            Self::ResidenciesNewTerm => "held_term",
        }
    }
}

/// Number and size of the snapshots sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Replies that contained a snapshot.
    pub answers: u64,
    /// Bytes of these snapshots.
    pub bytes: u64,
}

/// The last snapshots, and counts of those sent.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    rows: Option<Snapshot<Revision>>,
    residencies: Option<Snapshot<Position>>,
    pub(crate) sent: BTreeMap<Reason, Count>,
}

impl Snapshots {
    fn count_sent(&mut self, reason: Reason, bytes: usize) {
        let counts = self.sent.entry(reason).or_default();
        counts.answers += 1;
        counts.bytes += bytes as u64;
    }
}

impl<V: Copy + PartialEq> Snapshot<V> {
    /// The current snapshot, or a new one; `None` if there is too little data to pack.
    fn of<T: Serialize>(
        current: &mut Option<Self>,
        now: Time,
        version: V,
        content: impl FnOnce() -> Vec<T>,
    ) -> Option<(V, Bytes)> {
        if let Some(last) = current {
            let max_age = if last.version == version { REUSE_UNCHANGED_MAX } else { REUSE_MAX };
            if now.since(last.made) < max_age {
                return Some((last.version, last.bytes.clone()));
            }
        }
        let content = content();
        if content.len() < PACKED_ENGINES_MIN {
            return None;
        }
        // Data that can't be packed is sent as it is.
        let bytes = pack::pack(&content).ok()?;
        *current = Some(Self { made: now, version, bytes: bytes.clone() });
        Some((version, bytes))
    }
}

/// All rows of the engine table and their revision, for an entry VM that has the table up to `known`.
pub(super) fn rows(state: &mut State, now: Time, known: Revision) -> Option<(Revision, Bytes)> {
    let mut last =
        state.hub.snapshots.rows.take().filter(|last| last.version.era == state.engines_revision.era);
    let snapshot =
        Snapshot::of(&mut last, now, state.engines_revision, || state.rows_after(now, Revision::default()));
    state.hub.snapshots.rows = last;
    let reason = if known.is_known() { Reason::RowsGap } else { Reason::RowsAtStart };
    if let Some((_, bytes)) = &snapshot {
        state.hub.snapshots.count_sent(reason, bytes.len());
    }
    snapshot
}

/// The residencies of all engines and their version, for an entry VM with those of another term or none.
pub(super) fn residencies(state: &mut State, now: Time, known: Position) -> Option<(Position, Bytes)> {
    let version = state.residency_version();
    let mut last = state.hub.snapshots.residencies.take().filter(|last| last.version.term == version.term);
    let snapshot = Snapshot::of(&mut last, now, version, || state.ledger.changed_after(0));
    state.hub.snapshots.residencies = last;
    let reason = if known.term == 0 { Reason::ResidenciesAtStart } else { Reason::ResidenciesNewTerm };
    if let Some((_, bytes)) = &snapshot {
        state.hub.snapshots.count_sent(reason, bytes.len());
    }
    snapshot
}
