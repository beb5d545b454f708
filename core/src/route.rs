//! Routing: which back end gets the next try.
//!
//! An index from each model or service to the back ends that hold it keeps a decision's cost apart from
//! the size of the fleet. The choice weighs the load expected at a back end against the part of the
//! prompt that it is thought to have cached.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::health::{Health, Standing};
use crate::id::Incarnation;
use crate::name::Name;
use crate::prefix::Sketch;
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
/// At most one in this many back ends of a kind is ejected as an outlier at the same time.
const EJECTED_PART: usize = 3;

/// What a try is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// A completion on an engine that holds the artifact.
    Artifact(Artifact),
    /// A call of a plain service.
    Service(Name),
}

/// A back end's number while it is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Site(pub(crate) u16);

/// What is known of a back end besides its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Facts {
    /// Its VM name.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is in this entry VM's availability zone.
    pub local: bool,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether new work may go to it.
    pub takes_work: bool,
    /// The life of its process, once it has reported.
    pub incarnation: Option<Incarnation>,
    /// What it answers requests for, sorted.
    pub works: Vec<Work>,
}

/// A back end as the choice sees it.
#[derive(Debug)]
struct Place {
    facts: Facts,
    health: Health,
    /// Own tries open, and those by what they are for.
    open: u32,
    open_by: Vec<(Work, u32)>,
    /// Requests there by its last report, and own tries opened and closed since.
    reported: u32,
    opened: u32,
    closed: u32,
}

impl Place {
    fn load(&self) -> u32 {
        (self.reported + self.opened).saturating_sub(self.closed).max(self.open)
    }
}

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

/// All back ends, by what they answer requests for.
#[derive(Debug)]
pub struct Routes {
    places: Vec<Option<Place>>,
    sites: FxHashMap<Name, u16>,
    holders: FxHashMap<Work, Vec<u16>>,
    sketch: Sketch,
}

impl Routes {
    /// No back ends, and room for hints on `blocks` cached prompt blocks.
    #[must_use]
    pub fn new(blocks: usize) -> Self {
        Self {
            places: Vec::new(),
            sites: FxHashMap::default(),
            holders: FxHashMap::default(),
            sketch: Sketch::new(blocks),
        }
    }

    /// Adds a back end or renews what is known of it. One that is `fresh` gets its share slowly, as does one
    /// that has restarted.
    pub fn set(&mut self, now: Time, facts: Facts, fresh: bool) {
        let site = self.sites.get(&facts.name).copied().unwrap_or_else(|| self.add(now, &facts, fresh));
        let Some(place) = self.places[usize::from(site)].as_mut() else {
            return;
        };
        let restarted = place.facts.incarnation.is_some() && place.facts.incarnation != facts.incarnation;
        if restarted {
            place.health = Health::fresh(now);
            self.sketch.clear(site);
        }
        if place.facts.works != facts.works {
            let lost: Vec<Work> =
                place.facts.works.iter().filter(|work| !facts.works.contains(work)).cloned().collect();
            let won: Vec<Work> =
                facts.works.iter().filter(|work| !place.facts.works.contains(work)).cloned().collect();
            self.unhold(&lost, site);
            for work in won {
                self.holders.entry(work).or_default().push(site);
            }
        }
        if let Some(place) = self.places[usize::from(site)].as_mut() {
            place.facts = facts;
        }
    }

    fn add(&mut self, now: Time, facts: &Facts, fresh: bool) -> u16 {
        let free = self.places.iter().position(Option::is_none).unwrap_or(self.places.len());
        let place = Place {
            facts: Facts { works: Vec::new(), ..facts.clone() },
            health: if fresh { Health::fresh(now) } else { Health::default() },
            open: 0,
            open_by: Vec::new(),
            reported: 0,
            opened: 0,
            closed: 0,
        };
        if free == self.places.len() {
            self.places.push(Some(place));
        } else {
            self.places[free] = Some(place);
        }
        let site = free as u16;
        self.sites.insert(facts.name.clone(), site);
        site
    }

    fn unhold(&mut self, works: &[Work], site: u16) {
        for work in works {
            if let Some(holders) = self.holders.get_mut(work) {
                holders.retain(|holder| *holder != site);
                if holders.is_empty() {
                    self.holders.remove(work);
                }
            }
        }
    }

    /// Forgets the back ends that are not among those to `keep`.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        let gone: Vec<Name> = self.sites.keys().filter(|name| !keep(name)).cloned().collect();
        for name in gone {
            let Some(site) = self.sites.remove(&name) else {
                continue;
            };
            if let Some(place) = self.places[usize::from(site)].take() {
                self.unhold(&place.facts.works, site);
            }
            self.sketch.clear(site);
        }
    }

    /// Whether no back end is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sites.is_empty()
    }

    /// A back end turned out not to hold what it was thought to; the next report puts that right or brings
    /// it back.
    pub fn unload(&mut self, site: Site, work: &Work) {
        if let Some(place) = self.place_mut(site) {
            place.facts.works.retain(|each| each != work);
        }
        self.unhold(std::slice::from_ref(work), site.0);
    }

    /// The number of a back end.
    #[must_use]
    pub fn site(&self, name: &Name) -> Option<Site> {
        self.sites.get(name).copied().map(Site)
    }

    fn place(&self, site: Site) -> Option<&Place> {
        self.places.get(usize::from(site.0))?.as_ref()
    }

    fn place_mut(&mut self, site: Site) -> Option<&mut Place> {
        self.places.get_mut(usize::from(site.0))?.as_mut()
    }

    /// What is known of a back end.
    #[must_use]
    pub fn facts(&self, site: Site) -> Option<&Facts> {
        self.place(site).map(|place| &place.facts)
    }

    /// A back end's health, to change it.
    pub fn health(&mut self, site: Site) -> Option<&mut Health> {
        self.place_mut(site).map(|place| &mut place.health)
    }

    /// Whether a back end is suspected to have failed.
    #[must_use]
    pub fn is_doubted(&self, name: &Name) -> bool {
        self.site(name).and_then(|site| self.place(site)).is_some_and(|place| place.health.is_doubted())
    }

    /// Requests a back end works on beyond its slots, as a part of the slots.
    #[must_use]
    pub fn excess(&self, site: Site) -> f32 {
        self.place(site).map_or(0.0, |place| {
            let slots = place.facts.slots.max(1);
            place.load().saturating_sub(slots) as f32 / slots as f32
        })
    }

    /// Back ends that answer requests for `work`, known or suspected to have failed.
    #[must_use]
    pub fn holders(&self, work: &Work) -> usize {
        self.holders.get(work).map_or(0, Vec::len)
    }

    /// Own tries open at a back end for `work`.
    #[must_use]
    pub fn open(&self, name: &Name, work: &Work) -> u32 {
        let place = self.site(name).and_then(|site| self.place(site));
        place.map_or(0, |place| {
            place.open_by.iter().find(|(each, _)| each == work).map_or(0, |(_, open)| *open)
        })
    }

    /// Own tries open at all back ends.
    #[must_use]
    pub fn tries(&self) -> usize {
        self.places.iter().flatten().map(|place| place.open as usize).sum()
    }

    /// A back end reported its load.
    pub fn report(&mut self, name: &Name, load: u32) {
        if let Some(place) = self.site(name).and_then(|site| self.place_mut(site)) {
            place.reported = load;
            place.opened = 0;
            place.closed = 0;
        }
    }

    /// A try is being sent.
    pub fn open_try(&mut self, site: Site, work: &Work, prefix: &[u64]) {
        for hash in prefix {
            self.sketch.store(*hash, site.0);
        }
        let Some(place) = self.place_mut(site) else {
            return;
        };
        place.open += 1;
        place.opened += 1;
        match place.open_by.iter_mut().find(|(each, _)| each == work) {
            Some((_, open)) => *open += 1,
            None => place.open_by.push((work.clone(), 1)),
        }
    }

    /// A try is over.
    pub fn close_try(&mut self, site: Site, work: &Work) {
        let Some(place) = self.place_mut(site) else {
            return;
        };
        place.open = place.open.saturating_sub(1);
        place.closed += 1;
        if let Some(at) = place.open_by.iter().position(|(each, _)| each == work) {
            place.open_by[at].1 -= 1;
            if place.open_by[at].1 == 0 {
                place.open_by.swap_remove(at);
            }
        }
    }

    /// A back end failed after taking a request: it is ejected when it has done so several times in a row
    /// and not too many of its kind are ejected already.
    pub fn fault(&mut self, now: Time, site: Site) {
        let Some(place) = self.place_mut(site) else {
            return;
        };
        if !place.health.fault() {
            return;
        }
        let work = place.facts.works.first().cloned();
        let kin = work.and_then(|work| self.holders.get(&work)).map_or(&[][..], Vec::as_slice);
        let doubted = kin
            .iter()
            .filter_map(|site| self.place(Site(*site)))
            .filter(|place| place.health.is_doubted())
            .count();
        if (doubted + 1) * EJECTED_PART <= kin.len()
            && let Some(health) = self.health(site)
        {
            health.eject(now);
        }
    }

    /// Prompt blocks were cached at a back end, or dropped.
    pub fn cached(&mut self, name: &Name, stored: &[u64], evicted: &[u64], cleared: bool) {
        let Some(Site(site)) = self.site(name) else {
            return;
        };
        if cleared {
            self.sketch.clear(site);
        }
        for hash in stored {
            self.sketch.store(*hash, site);
        }
        for hash in evicted {
            self.sketch.evict(*hash, site);
        }
    }

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
        if standing == Standing::Leaving {
            return;
        }
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
