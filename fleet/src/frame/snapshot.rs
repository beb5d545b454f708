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
const PACKED_FROM: usize = 64;
/// How long a snapshot that is older than the current data is sent.
const KEPT: Duration = Duration::from_millis(500);
/// How long a snapshot that equals the current data is sent. It also contains remaining waiting times, which go out
/// of date.
const KEPT_UNCHANGED: Duration = Duration::from_secs(5);

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
    /// Residencies, to an entry VM without any leader's data.
    ResidenciesAtStart,
    /// Residencies, to an entry VM with the data of another leader.
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
    pub(crate) told: BTreeMap<Reason, Count>,
}

impl Snapshots {
    fn count(&mut self, reason: Reason, bytes: usize) {
        let told = self.told.entry(reason).or_default();
        told.answers += 1;
        told.bytes += bytes as u64;
    }
}

impl<V: Copy + PartialEq> Snapshot<V> {
    /// The current snapshot, or a new one; `None` if there is too little data to pack.
    fn of<T: Serialize>(
        kept: &mut Option<Self>,
        now: Time,
        version: V,
        content: impl FnOnce() -> Vec<T>,
    ) -> Option<(V, Bytes)> {
        if let Some(known) = kept {
            let longest = if known.version == version { KEPT_UNCHANGED } else { KEPT };
            if now.since(known.made) < longest {
                return Some((known.version, known.bytes.clone()));
            }
        }
        let content = content();
        if content.len() < PACKED_FROM {
            return None;
        }
        // Data that can't be packed is sent as it is.
        let bytes = pack::pack(&content).ok()?;
        *kept = Some(Self { made: now, version, bytes: bytes.clone() });
        Some((version, bytes))
    }
}

/// All rows of the engine table and their revision, for an entry VM that has the table up to `known`.
pub(super) fn rows(state: &mut State, now: Time, known: Revision) -> Option<(Revision, Bytes)> {
    let mut kept =
        state.hub.snapshots.rows.take().filter(|kept| kept.version.era == state.engines_revision.era);
    let told =
        Snapshot::of(&mut kept, now, state.engines_revision, || state.rows_after(now, Revision::default()));
    state.hub.snapshots.rows = kept;
    let reason = if known.is_known() { Reason::RowsGap } else { Reason::RowsAtStart };
    if let Some((_, bytes)) = &told {
        state.hub.snapshots.count(reason, bytes.len());
    }
    told
}

/// The residencies of all engines and their version, for an entry VM with those of another term or none.
pub(super) fn residencies(state: &mut State, now: Time, known: Position) -> Option<(Position, Bytes)> {
    let view = state.residency_version();
    let mut kept = state.hub.snapshots.residencies.take().filter(|kept| kept.version.term == view.term);
    let told = Snapshot::of(&mut kept, now, view, || state.ledger.changed_after(0));
    state.hub.snapshots.residencies = kept;
    let reason = if known.term == 0 { Reason::ResidenciesAtStart } else { Reason::ResidenciesNewTerm };
    if let Some((_, bytes)) = &told {
        state.hub.snapshots.count(reason, bytes.len());
    }
    told
}
