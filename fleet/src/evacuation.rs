//! Evacuated availability zones: their engines get no work until operators revoke the evacuation.
//!
//! Operators write one row for each such zone and remove it again. Changes spread like the configuration: the hub pushes them down a tree of
//! entry VMs and includes them in its replies to frames; other entry VMs include them in their frames if the hub may lack them. The row
//! with the highest revision wins, so that changes may arrive late, repeatedly and from several sources.

use std::collections::BTreeMap;
use std::hash::Hasher;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::effect::Effect;
use crate::era;
use crate::flow;
use crate::push;
use crate::rate_limit;
use crate::record::Record;
use crate::revision::Revision;
use crate::state::State;
use crate::timer::Timer;

/// Whether operators have evacuated an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The availability zone.
    pub zone: Name,
    /// The store's revision of the row, or of its removal.
    pub revision: Revision,
    /// Whether the zone's engines get no work.
    pub evacuated: bool,
}

/// A read of the operators' rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The zones that have a row, or whose row was removed.
    pub zones: Vec<Status>,
    /// The store's revision as of which they were read.
    pub version: Revision,
    /// Whether these are all rows, rather than the changes since an earlier read.
    pub whole: bool,
}

/// The state of one zone.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    revision: Revision,
    evacuated: bool,
    /// Until when a row that a restored copy of the store lacks may still be written again; it counts until then.
    lacking_until: Option<Time>,
}

/// The evacuation state of all availability zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    by_zone: BTreeMap<Name, Standing>,
    /// The hub's digest, as of its last reply.
    hub: u64,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &Name) -> bool {
        self.by_zone.get(zone).is_some_and(|standing| standing.evacuated)
    }

    /// The evacuated zones.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Name> {
        self.by_zone.iter().filter(|(_, standing)| standing.evacuated).map(|(zone, _)| zone)
    }

    /// The state of all zones that have or had a row.
    pub(crate) fn all(&self) -> Vec<Status> {
        let word = |(zone, standing): (&Name, &Standing)| Status {
            zone: zone.clone(),
            revision: standing.revision,
            evacuated: standing.evacuated,
        };
        self.by_zone.iter().map(word).collect()
    }

    /// A hash of the state of all zones; 0 if there are none.
    pub(crate) fn digest(&self) -> u64 {
        if self.by_zone.is_empty() {
            return 0;
        }
        let mut hash = Xxh3::new();
        for Status { zone, revision, evacuated } in self.all() {
            hash.update(zone.as_bytes());
            hash.update(&[0, u8::from(evacuated)]);
            hash.update(&revision.era.to_le_bytes());
            hash.update(&revision.version.to_le_bytes());
        }
        hash.finish()
    }

    /// The state of all zones, if it differs from the one with this digest; otherwise nothing.
    pub(crate) fn all_unless(&self, digest: u64) -> Vec<Status> {
        if digest == self.digest() { Vec::new() } else { self.all() }
    }

    /// The state of all zones, if the hub's differs; otherwise nothing.
    pub(crate) fn unreported(&self) -> Vec<Status> {
        self.all_unless(self.hub)
    }

    /// Stores the digest from the hub's reply.
    pub(crate) const fn set_hub_digest(&mut self, digest: u64) {
        self.hub = digest;
    }
}

/// Handles a read of the operators' table, or of its changes.
pub(crate) fn apply_listing(state: &mut State, now: Time, listing: Listing, out: &mut Vec<Effect>) {
    era::observe(state, now, listing.version.era, out);
    if era::is_outdated(state, listing.version.era) {
        return;
    }
    let mut words = listing.zones;
    if listing.whole {
        words.extend(lacking(state, now, listing.version, &words));
    }
    receive(state, now, &words, out);
}

/// Returns the zones that a complete read no longer lists. If that read is the first of a new era, a restored copy of the store may lack
/// their rows, which may be written again: such zones stay evacuated for the time being.
fn lacking(state: &mut State, now: Time, version: Revision, words: &[Status]) -> Vec<Status> {
    let rewrites = state.era.rewrite_time_left(now, &state.settings);
    let mut over = Vec::new();
    for (zone, standing) in &mut state.evacuations.by_zone {
        let named = words.iter().any(|word| word.zone == *zone);
        if named || !standing.evacuated || standing.revision >= version {
            continue;
        }
        match rewrites.filter(|_| standing.revision.era < version.era) {
            Some(rewrites) => {
                standing.lacking_until = Some(now + rewrites);
                state.timers.set(now + rewrites, Timer::EvacuationExpiry);
            }
            None => over.push(Status { zone: zone.clone(), revision: version, evacuated: false }),
        }
    }
    over
}

/// Ends evacuations whose rows a restored copy of the store lacked and that were not written again in time.
pub(crate) fn expire_missing(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let era = state.era.number();
    let lapsed = |standing: &Standing| standing.lacking_until.is_some_and(|until| until <= now);
    let lapsed = state.evacuations.by_zone.iter().filter(|(_, standing)| lapsed(standing));
    let over = |(zone, _): (&Name, &Standing)| Status {
        zone: zone.clone(),
        revision: Revision::new(era, 0),
        evacuated: false,
    };
    let words: Vec<Status> = lapsed.map(over).collect();
    receive(state, now, &words, out);
}

/// Takes over zone states from any source and notifies the others of those that are new.
pub(crate) fn receive(state: &mut State, now: Time, words: &[Status], out: &mut Vec<Effect>) {
    let mut news = Vec::new();
    for word in words {
        if take(state, now, word, out) {
            news.push(word.clone());
        }
    }
    if !news.is_empty() {
        push::notify_evacuations(state, now, news, out);
    }
}

/// Takes over the state of a zone. Returns whether it is newer than the one known before.
fn take(state: &mut State, now: Time, word: &Status, out: &mut Vec<Effect>) -> bool {
    let Status { zone, revision, evacuated } = word;
    let standing = state.evacuations.by_zone.entry(zone.clone()).or_default();
    if standing.revision >= *revision {
        return false;
    }
    let before = *standing;
    *standing = Standing { revision: *revision, evacuated: *evacuated, lacking_until: None };
    if before.evacuated != *evacuated {
        out.push(Effect::Record(Record::Evacuation {
            zone: zone.clone(),
            evacuated: *evacuated,
            version: revision.version,
        }));
        apply(state, now, zone, *evacuated, out);
    }
    true
}

/// Withdraws the work of a zone's engines, or sends them work again, at first at the limited rate that applies after a start.
fn apply(state: &mut State, now: Time, zone: &Name, evacuated: bool, out: &mut Vec<Effect>) {
    let engines = state.engines.values_mut().filter(|engine| engine.entry.zone == *zone);
    let mut changed = Vec::new();
    for engine in engines {
        engine.evacuated = evacuated;
        changed.push(engine.entry.id.clone());
    }
    for engine in changed {
        if evacuated {
            flow::cancel_reservations(state, now, &engine, out);
        } else {
            rate_limit::engine_started(state, now, &engine);
        }
    }
    flow::request_rescan(state);
}
