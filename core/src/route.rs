//! Back ends by what they answer requests for, with their load and health.
//!
//! An index from each model or service to the back ends that hold it keeps the cost of a choice apart from
//! the size of the fleet.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::health::Health;
use crate::id::Incarnation;
use crate::name::Name;
use crate::prefix::Sketch;
use crate::time::Time;

mod choose;

pub use choose::{Choice, Wanted};

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
}
