//! What the hub tells whoever knows nothing of it yet: all rows of the engines' table, and what all engines hold, packed.
//!
//! The load that this answers: all entry VMs are killed at once, or a new one leads, and hundreds of them ask for all of it within a second.
//! So it is packed once for all who ask within a moment; what has changed since follows with each one's next frame.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::time::Time;
use bytes::Bytes;
use serde::Serialize;

use super::message::View;
use crate::pack;
use crate::revision::Revision;
use crate::state::State;

/// From so many engines on it is packed: fewer fit into some KB.
const PACKED_FROM: usize = 64;
/// For how long a packed form is told that is older than what is known.
const KEPT: Duration = Duration::from_millis(500);
/// For how long one is told that is as new as what is known: it also says how much longer some are waited for.
const KEPT_UNCHANGED: Duration = Duration::from_secs(5);

/// A packed form, and of which version it is.
#[derive(Clone, Debug)]
struct Snapshot<V> {
    made: Time,
    version: V,
    bytes: Bytes,
}

/// Why all of something is told, packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Rows, to one that knows none.
    RowsAtStart,
    /// Rows, to one that may lack removals.
    RowsGap,
    /// What engines hold, to one that knows no leader's word.
    HeldAtStart,
    /// What engines hold, to one that knows another leader's word.
    HeldTerm,
}

impl Reason {
    /// Its name in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::RowsAtStart => "rows_at_start",
            Self::RowsGap => "rows_gap",
            Self::HeldAtStart => "held_at_start",
            Self::HeldTerm => "held_term",
        }
    }
}

/// How often all of something was told, and in how many bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Answers.
    pub answers: u64,
    /// Bytes.
    pub bytes: u64,
}

/// What was packed last, and what was told of it.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    rows: Option<Snapshot<Revision>>,
    residencies: Option<Snapshot<View>>,
    pub(crate) told: BTreeMap<Reason, Told>,
}

impl Snapshots {
    fn count(&mut self, reason: Reason, bytes: usize) {
        let told = self.told.entry(reason).or_default();
        told.answers += 1;
        told.bytes += bytes as u64;
    }
}

impl<V: Copy + PartialEq> Snapshot<V> {
    /// The one that there is, or a new one; none if there is too little to pack.
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
        // What cannot be packed is told as it is.
        let bytes = pack::pack(&content).ok()?;
        *kept = Some(Self { made: now, version, bytes: bytes.clone() });
        Some((version, bytes))
    }
}

/// All rows of the engines' table, and up to which version of the store they hold, for one that knows them up to `known`.
pub(super) fn rows(state: &mut State, now: Time, known: Revision) -> Option<(Revision, Bytes)> {
    let mut kept = state.hub.snapshots.rows.take().filter(|kept| kept.version.era == state.listed.era);
    let told = Snapshot::of(&mut kept, now, state.listed, || state.rows_after(now, Revision::default()));
    state.hub.snapshots.rows = kept;
    let reason = if known.is_known() { Reason::RowsGap } else { Reason::RowsAtStart };
    if let Some((_, bytes)) = &told {
        state.hub.snapshots.count(reason, bytes.len());
    }
    told
}

/// What all engines hold, and of which version of the hub's word that is, for one that knows the word of another term or none.
pub(super) fn residencies(state: &mut State, now: Time, known: View) -> Option<(View, Bytes)> {
    let view = state.view();
    let mut kept = state.hub.snapshots.residencies.take().filter(|kept| kept.version.term == view.term);
    let told = Snapshot::of(&mut kept, now, view, || state.ledger.changed_after(0));
    state.hub.snapshots.residencies = kept;
    let reason = if known.term == 0 { Reason::HeldAtStart } else { Reason::HeldTerm };
    if let Some((_, bytes)) = &told {
        state.hub.snapshots.count(reason, bytes.len());
    }
    told
}
