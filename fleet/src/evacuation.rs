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
struct ZoneState {
    revision: Revision,
    evacuated: bool,
    /// Until when a row that a restored copy of the store lacks may still be written again; it counts until then.
    missing_until: Option<Time>,
}

/// The evacuation state of all availability zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    by_zone: BTreeMap<Name, ZoneState>,
    /// The hub's digest, as of its last reply.
    hub: u64,
}

impl Evacuations {
    /// Whether a zone is evacuated.
    pub(crate) fn is_evacuated(&self, zone: &Name) -> bool {
        self.by_zone.get(zone).is_some_and(|zone_state| zone_state.evacuated)
    }

    /// The evacuated zones.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Name> {
        self.by_zone.iter().filter(|(_, zone_state)| zone_state.evacuated).map(|(zone, _)| zone)
    }

    /// The state of all zones that have or had a row.
    pub(crate) fn all(&self) -> Vec<Status> {
        let status = |(zone, zone_state): (&Name, &ZoneState)| Status {
            zone: zone.clone(),
            revision: zone_state.revision,
            evacuated: zone_state.evacuated,
        };
        self.by_zone.iter().map(status).collect()
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
    let mut statuses = listing.zones;
    if listing.whole {
        statuses.extend(missing_zones(state, now, listing.version, &statuses));
    }
    receive(state, now, &statuses, out);
}

/// Returns the zones that a complete read no longer lists. If that read is the first of a new era, a restored copy of the store may lack
/// their rows, which may be written again: such zones stay evacuated for the time being.
fn missing_zones(state: &mut State, now: Time, version: Revision, statuses: &[Status]) -> Vec<Status> {
    let time_left = state.era.rewrite_time_left(now, &state.settings);
    let mut ended = Vec::new();
    for (zone, zone_state) in &mut state.evacuations.by_zone {
        let named = statuses.iter().any(|status| status.zone == *zone);
        if named || !zone_state.evacuated || zone_state.revision >= version {
            continue;
        }
        match time_left.filter(|_| zone_state.revision.era < version.era) {
            Some(time_left) => {
                zone_state.missing_until = Some(now + time_left);
                state.timers.set(now + time_left, Timer::EvacuationExpiry);
            }
            None => ended.push(Status { zone: zone.clone(), revision: version, evacuated: false }),
        }
    }
    ended
}

/// Ends evacuations whose rows a restored copy of the store lacked and that were not written again in time.
pub(crate) fn expire_missing(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let era = state.era.number();
    let expired = |zone_state: &ZoneState| zone_state.missing_until.is_some_and(|until| until <= now);
    let expired = state.evacuations.by_zone.iter().filter(|(_, zone_state)| expired(zone_state));
    let ended = |(zone, _): (&Name, &ZoneState)| Status {
        zone: zone.clone(),
        revision: Revision::new(era, 0),
        evacuated: false,
    };
    let statuses: Vec<Status> = expired.map(ended).collect();
    receive(state, now, &statuses, out);
}

/// Takes over zone states from any source and notifies the others of those that are new.
pub(crate) fn receive(state: &mut State, now: Time, statuses: &[Status], out: &mut Vec<Effect>) {
    let mut new = Vec::new();
    for status in statuses {
        if take(state, now, status, out) {
            new.push(status.clone());
        }
    }
    if !new.is_empty() {
        push::notify_evacuations(state, now, new, out);
    }
}

/// Takes over the state of a zone. Returns whether it is newer than the one known before.
fn take(state: &mut State, now: Time, status: &Status, out: &mut Vec<Effect>) -> bool {
    let Status { zone, revision, evacuated } = status;
    let zone_state = state.evacuations.by_zone.entry(zone.clone()).or_default();
    if zone_state.revision >= *revision {
        return false;
    }
    let before = *zone_state;
    *zone_state = ZoneState { revision: *revision, evacuated: *evacuated, missing_until: None };
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

/// Cancels the reservations at a zone's engines, or sends them work again, at first at the limited rate that applies after a start.
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
