//! Routing: which back end gets the next try. The choice weighs the load expected at a back end against the
//! part of the prompt that it is thought to have cached.

use super::{Routes, Site, Work};
use crate::health::Standing;
use crate::name::Name;
use crate::rules::Priority;
use crate::time::Time;

/// Holders up to which all are looked at; of more, some are sampled.
const SCAN_MAX: usize = 8;
/// Holders that are sampled at first.
const SAMPLE: usize = 2;
/// Holders that are sampled after that, while none had room.
const SAMPLE_MORE: usize = 14;
/// Back ends with a cached prefix that are looked at.
const HINTS: usize = 2;
/// Load beyond an engine's slots that is still sent to it, as a part of the slots, so that a slot which
/// comes free does not wait for the next try to travel.
const HEADROOM: f32 = 0.0;
/// The part of an engine's slots up to which deferrable work is sent to it.
const DEFERRABLE_PART: f32 = 0.75;
/// What a wholly cached prompt is worth, in slots' worth of load.
const PREFIX_GAIN: f32 = 0.25;
/// What another availability zone costs, in slots' worth of load.
const ZONE_COST: f32 = 1.0;
/// A try that looks for a back end.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// What it is for.
    pub work: &'a Work,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: &'a [u64],
    /// Back ends that failed it before.
    pub avoid: &'a [Name],
    /// How urgent it is.
    pub priority: Priority,
}

/// What came of looking for a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This one has room.
    Site(Site),
    /// There are some, but none that was looked at has room.
    Full,
    /// None answers requests for this.
    Absent,
}

impl Routes {
    /// Looks for the back end that is best for a try.
    pub fn pick(&self, rng: &mut fastrand::Rng, now: Time, wanted: &Wanted<'_>) -> Choice {
        let Some(holders) = self.holders.get(wanted.work) else {
            return Choice::Absent;
        };
        let mut best = Best::default();
        if holders.len() <= SCAN_MAX {
            for site in holders {
                self.consider(now, wanted, *site, &mut best);
            }
            return best.choice();
        }
        for (site, _) in self.sketch.best::<HINTS>(wanted.prefix).into_iter().flatten() {
            if self.places[usize::from(site)]
                .as_ref()
                .is_some_and(|place| place.facts.works.binary_search(wanted.work).is_ok())
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

    fn consider(&self, now: Time, wanted: &Wanted<'_>, site: u16, best: &mut Best) {
        let Some(place) = self.place(Site(site)).filter(|place| place.facts.takes_work) else {
            return;
        };
        let standing = place.health.standing(now, place.open);
        best.known = true;
        best.sound |= standing != Standing::Doubtful;
        // A back end in doubt gets one try at a time, and none while there is one that is not in doubt.
        if standing == Standing::Doubtful && place.open > 0 {
            return;
        }
        let slots = place.facts.slots.max(1) as f32 * place.health.share(now);
        let room = match wanted.priority {
            Priority::Deferrable => (slots * DEFERRABLE_PART).max(1.0),
            _ => slots * (1.0 + HEADROOM),
        };
        let load = place.load() as f32;
        if load >= room {
            return;
        }
        let avoided = wanted.avoid.contains(&place.facts.name);
        let mut cost = (load + 1.0) / slots;
        if !place.facts.local {
            cost += ZONE_COST;
        }
        if !wanted.prefix.is_empty() {
            let matched = self.sketch.matched(wanted.prefix, site);
            cost -= PREFIX_GAIN * matched as f32 / wanted.prefix.len() as f32;
        }
        best.offer(Rank { doubtful: standing == Standing::Doubtful, avoided, cost }, site);
    }
}

/// How good a candidate is; less is better.
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
            Some((_, site)) => Choice::Site(Site(site)),
            None if self.known => Choice::Full,
            None => Choice::Absent,
        }
    }
}
