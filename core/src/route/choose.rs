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
    pub fn pick(&self, rng: &mut fastrand::Rng, now: Time, query: &Query<'_>) -> Choice {
        let Some(holders) = self.holders.get(query.work) else {
            return Choice::NoBackend;
        };
        let mut best = Best::default();
        if holders.len() <= SCAN_MAX {
            for index in holders {
                self.consider(now, query, *index, &mut best);
            }
            return best.choice();
        }
        for (index, _) in self.sketch.best::<HINTS>(query.prefix).into_iter().flatten() {
            if self.backends[usize::from(index)]
                .as_ref()
                .is_some_and(|backend| backend.description.works.binary_search(query.work).is_ok())
            {
                self.consider(now, query, index, &mut best);
            }
        }
        for examined in 0..SAMPLE + SAMPLE_MORE {
            if examined >= SAMPLE && best.is_good() {
                break;
            }
            let index = holders[rng.usize(..holders.len())];
            self.consider(now, query, index, &mut best);
        }
        best.choice()
    }

    fn consider(&self, now: Time, query: &Query<'_>, index: u16, best: &mut Best) {
        let Some(backend) = self.backend(Index(index)).filter(|backend| backend.description.accepts_work)
        else {
            return;
        };
        let standing = backend.health.standing(now, backend.open);
        best.any_accepting = true;
        best.any_unsuspected |= standing != Standing::Suspected;
        // A suspected back end gets one attempt at a time, and none while another one is not suspected.
        if standing == Standing::Suspected && backend.open > 0 {
            return;
        }
        let slots = backend.description.slots.max(1) as f32 * backend.health.slot_share(now);
        let room = match query.priority {
            Priority::Deferrable => (slots * DEFERRABLE_PART).max(1.0),
            _ => slots * (1.0 + HEADROOM),
        };
        let load = backend.load() as f32;
        if load >= room {
            return;
        }
        let avoided = query.avoid.contains(&backend.description.name);
        let mut cost = (load + 1.0) / slots;
        if !backend.description.local {
            cost += ZONE_COST;
        }
        if !query.prefix.is_empty() {
            let matched = self.sketch.matched(query.prefix, index);
            cost -= PREFIX_GAIN * matched as f32 / query.prefix.len() as f32;
        }
        best.offer(Rank { suspected: standing == Standing::Suspected, avoided, cost }, index);
    }
}

/// Rank of a candidate; the lowest is best.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    suspected: bool,
    avoided: bool,
    cost: f32,
}

/// The best candidate so far.
#[derive(Debug, Default)]
struct Best {
    found: Option<(Rank, u16)>,
    any_accepting: bool,
    any_unsuspected: bool,
}

impl Best {
    fn offer(&mut self, rank: Rank, index: u16) {
        if self.found.is_none_or(|(best, _)| rank < best) {
            self.found = Some((rank, index));
        }
    }

    fn is_good(&self) -> bool {
        self.found.is_some_and(|(rank, _)| !rank.suspected && !rank.avoided)
    }

    fn choice(&self) -> Choice {
        match self.found {
            Some((rank, _)) if rank.suspected && self.any_unsuspected => Choice::Full,
            Some((_, index)) => Choice::Backend(Index(index)),
            None if self.any_accepting => Choice::Full,
            None => Choice::NoBackend,
        }
    }
}
