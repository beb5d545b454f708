//! Availability zones whose engines are to get nothing until operators take that back.
//!
//! Operators write a row for each such zone and remove it again. Whoever reads that tells the others as with the configuration: the
//! hub down a tree of them and in its answers to frames, everybody else in frames to a hub that may not have heard of it. A row
//! counts by its revision, so that news may come late, twice and by several ways.

use std::collections::BTreeMap;
use std::hash::Hasher;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::effect::Effect;
use crate::era;
use crate::flow;
use crate::intake;
use crate::push;
use crate::record::Record;
use crate::revision::Revision;
use crate::state::State;
use crate::timer::Timer;

/// What operators say of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The zone.
    pub zone: Name,
    /// The store's version of the row, or of its removal.
    pub revision: Revision,
    /// Whether the zone's engines are to get nothing.
    pub evacuated: bool,
}

/// What was read of operators' words.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The words.
    pub words: Vec<Word>,
    /// The store's version up to which they hold.
    pub version: Revision,
    /// Whether they are all that there are.
    pub whole: bool,
}

/// What is known of a zone.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    revision: Revision,
    evacuated: bool,
    /// Until when a row that a copy of the store lacks may be written again, and counts.
    lacking_until: Option<Time>,
}

/// What operators have said of availability zones.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    by_zone: BTreeMap<Name, Standing>,
    /// The digest that the hub named last.
    hub: u64,
}

impl Evacuations {
    /// Whether a zone's engines are to get nothing.
    pub(crate) fn has(&self, zone: &Name) -> bool {
        self.by_zone.get(zone).is_some_and(|standing| standing.evacuated)
    }

    /// The zones whose engines are to get nothing.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Name> {
        self.by_zone.iter().filter(|(_, standing)| standing.evacuated).map(|(zone, _)| zone)
    }

    /// All that is known.
    pub(crate) fn words(&self) -> Vec<Word> {
        let word = |(zone, standing): (&Name, &Standing)| Word {
            zone: zone.clone(),
            revision: standing.revision,
            evacuated: standing.evacuated,
        };
        self.by_zone.iter().map(word).collect()
    }

    /// A number that differs for different words; 0 for none.
    pub(crate) fn digest(&self) -> u64 {
        if self.by_zone.is_empty() {
            return 0;
        }
        let mut hash = Xxh3::new();
        for Word { zone, revision, evacuated } in self.words() {
            hash.update(zone.as_bytes());
            hash.update(&[0, u8::from(evacuated)]);
            hash.update(&revision.era.to_le_bytes());
            hash.update(&revision.version.to_le_bytes());
        }
        hash.finish()
    }

    /// All that is known, if whoever named this digest may not know it.
    pub(crate) fn words_beyond(&self, digest: u64) -> Vec<Word> {
        if digest == self.digest() { Vec::new() } else { self.words() }
    }

    /// The same for the hub.
    pub(crate) fn words_for_hub(&self) -> Vec<Word> {
        self.words_beyond(self.hub)
    }

    /// The hub named its digest.
    pub(crate) const fn hear_digest(&mut self, digest: u64) {
        self.hub = digest;
    }
}

/// The operators' table, or what changed in it, was read.
pub(crate) fn listed(state: &mut State, now: Time, listing: Listing, out: &mut Vec<Effect>) {
    era::heard(state, now, listing.version.era, out);
    if era::is_past(state, listing.version.era) {
        return;
    }
    let mut words = listing.words;
    if listing.whole {
        words.extend(lacking(state, now, listing.version, &words));
    }
    told(state, now, &words, out);
}

/// Zones that a whole reading does not name any more. Where a copy of the store does not, they may be written again.
fn lacking(state: &mut State, now: Time, version: Revision, words: &[Word]) -> Vec<Word> {
    let rewrites = state.era.rewrites(now, &state.settings);
    let mut over = Vec::new();
    for (zone, standing) in &mut state.evacuations.by_zone {
        let named = words.iter().any(|word| word.zone == *zone);
        if named || !standing.evacuated || standing.revision >= version {
            continue;
        }
        match rewrites.filter(|_| standing.revision.era < version.era) {
            Some(rewrites) => {
                standing.lacking_until = Some(now + rewrites);
                state.timers.set(now + rewrites, Timer::Evacuations);
            }
            None => over.push(Word { zone: zone.clone(), revision: version, evacuated: false }),
        }
    }
    over
}

/// Rows that a copy of the store lacked have not been written again in time: they were taken back.
pub(crate) fn lapse(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let era = state.era.number();
    let lapsed = |standing: &Standing| standing.lacking_until.is_some_and(|until| until <= now);
    let lapsed = state.evacuations.by_zone.iter().filter(|(_, standing)| lapsed(standing));
    let over = |(zone, _): (&Name, &Standing)| Word {
        zone: zone.clone(),
        revision: Revision::new(era, 0),
        evacuated: false,
    };
    let words: Vec<Word> = lapsed.map(over).collect();
    told(state, now, &words, out);
}

/// Somebody read this. Whoever leads tells the others what of it is new.
pub(crate) fn told(state: &mut State, now: Time, words: &[Word], out: &mut Vec<Effect>) {
    let mut news = Vec::new();
    for word in words {
        if take(state, now, word, out) {
            news.push(word.clone());
        }
    }
    if !news.is_empty() {
        push::tell_evacuations(state, now, news, out);
    }
}

/// Takes over a word. Returns whether it is newer than what was known.
fn take(state: &mut State, now: Time, word: &Word, out: &mut Vec<Effect>) -> bool {
    let Word { zone, revision, evacuated } = word;
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

/// Sends a zone's engines nothing more, or work again, which they take as after a start.
fn apply(state: &mut State, now: Time, zone: &Name, evacuated: bool, out: &mut Vec<Effect>) {
    let engines = state.engines.values_mut().filter(|engine| engine.entry.zone == *zone);
    let mut changed = Vec::new();
    for engine in engines {
        engine.evacuated = evacuated;
        changed.push(engine.entry.id.clone());
    }
    for engine in changed {
        if evacuated {
            flow::withdraw(state, now, &engine, out);
        } else {
            intake::started(state, now, &engine);
        }
    }
    flow::stir_later(state);
}
