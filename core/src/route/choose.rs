//! Chooses the back end of an attempt. The cost of a back end grows with its expected load and falls with
//! the part of the prompt that it has probably cached.

use super::{Index, Routes, Work};
use crate::health::Standing;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// Up to this number of back ends all are examined; of more, a random sample.
const SCAN_MAX: usize = 8;
/// Size of the first sample.
const SAMPLE: usize = 2;
/// Number of further back ends sampled while none with room was found that is neither suspected nor
/// avoided.
const SAMPLE_MORE: usize = 14;
/// Number of back ends with a cached prefix that are examined in addition to the sample.
const HINTS: usize = 2;
/// Load that an engine is given beyond its slots, as a fraction of the slots. With a value above zero, a
/// slot that becomes free need not wait for the transfer of the next attempt.
const HEADROOM: f32 = 0.0;
/// Fraction of an engine's slots up to which deferrable requests are sent to it.
const DEFERRABLE_PART: f32 = 0.75;
/// Reduction of the cost for a completely cached prompt, as a fraction of full load.
const PREFIX_GAIN: f32 = 0.25;
/// Additional cost of a back end in another availability zone, as a fraction of full load.
const ZONE_COST: f32 = 1.0;
/// An attempt for which a back end is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The model or service requested.
    pub work: &'a Work,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: &'a [u64],
    /// Back ends at which the request failed before; chosen only if no other has room.
    pub avoid: &'a [Name],
    /// Priority of the request.
    pub priority: Priority,
}

/// Result of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// A back end with room.
    Backend(Index),
    /// There are back ends, but none of those examined has room.
    Full,
    /// No back end that accepts requests serves the model or service.
    NoBackend,
}

impl Routes {
    /// Chooses the back end with the lowest rank among those examined.
    pub fn pick(&self, rng: &mut fastrand::Rng, now: Time, wanted: &Query<'_>) -> Choice {
        let Some(holders) = self.holders.get(wanted.work) else {
            return Choice::NoBackend;
        };
        let mut best = Best::default();
        if holders.len() <= SCAN_MAX {
            for site in holders {
                self.consider(now, wanted, *site, &mut best);
            }
            return best.choice();
        }
        for (site, _) in self.sketch.best::<HINTS>(wanted.prefix).into_iter().flatten() {
            if self.backends[usize::from(site)]
                .as_ref()
                .is_some_and(|place| place.description.works.binary_search(wanted.work).is_ok())
            {
                self.consider(now, wanted, site, &mut best);
            }
        }
        for looked in 0..SAMPLE + SAMPLE_MORE {
            if looked >= SAMPLE && best.is_good() {
                break;
            }
            let site = holders[rng.usize(..holders.len())];
            self.consider(now, wanted, site, &mut best);
        }
        best.choice()
    }

    fn consider(&self, now: Time, wanted: &Query<'_>, site: u16, best: &mut Best) {
        let Some(place) = self.place(Index(site)).filter(|place| place.description.accepts_work) else {
            return;
        };
        let standing = place.health.standing(now, place.open);
        best.known = true;
        best.sound |= standing != Standing::Suspected;
        // A suspected back end gets one attempt at a time, and none while another one is not suspected.
        if standing == Standing::Suspected && place.open > 0 {
            return;
        }
        let slots = place.description.slots.max(1) as f32 * place.health.slot_share(now);
        let room = match wanted.priority {
            Priority::Deferrable => (slots * DEFERRABLE_PART).max(1.0),
            _ => slots * (1.0 + HEADROOM),
        };
        let load = place.load() as f32;
        if load >= room {
            return;
        }
        let avoided = wanted.avoid.contains(&place.description.name);
        let mut cost = (load + 1.0) / slots;
        if !place.description.local {
            cost += ZONE_COST;
        }
        if !wanted.prefix.is_empty() {
            let matched = self.sketch.matched(wanted.prefix, site);
            cost -= PREFIX_GAIN * matched as f32 / wanted.prefix.len() as f32;
        }
        best.offer(Rank { doubtful: standing == Standing::Suspected, avoided, cost }, site);
    }
}

/// Rank of a candidate; the lowest is best.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    doubtful: bool,
    avoided: bool,
    cost: f32,
}

/// The best candidate so far.
#[derive(Debug, Default)]
struct Best {
    found: Option<(Rank, u16)>,
    known: bool,
    sound: bool,
}

impl Best {
    fn offer(&mut self, rank: Rank, site: u16) {
        if self.found.is_none_or(|(best, _)| rank < best) {
            self.found = Some((rank, site));
        }
    }

    fn is_good(&self) -> bool {
        self.found.is_some_and(|(rank, _)| !rank.doubtful && !rank.avoided)
    }

    fn choice(&self) -> Choice {
        match self.found {
            Some((rank, _)) if rank.doubtful && self.sound => Choice::Full,
            Some((_, site)) => Choice::Backend(Index(site)),
            None if self.known => Choice::Full,
            None => Choice::NoBackend,
        }
    }
}
