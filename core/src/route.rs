//! Back ends by the models and services they serve, with their load and health.
//!
//! An index from each model or service to the back ends that serve it makes the cost of a choice
//! independent of the size of the fleet.

use std::net::SocketAddr;

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::health::Health;
use crate::id::Incarnation;
use crate::name::Name;
use crate::prefix::Sketch;
use crate::time::Time;

mod choose;

pub use choose::{Choice, Query};

/// At most one in this many back ends that serve the same model or service is ejected as an outlier at the
/// same time.
const EJECTED_PART: usize = 3;

/// The model or service that a request needs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// A completion on an engine that holds the artifact.
    Artifact(Artifact),
    /// A call of a plain service.
    Service(Name),
}

/// Index of a back end in `Routes`, valid until the back end is removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Index(pub(crate) u16);

/// Properties of a back end other than its load and health.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Description {
    /// VM name.
    pub name: Name,
    /// Address at which it listens.
    pub address: SocketAddr,
    /// Whether it is in this entry VM's availability zone.
    pub local: bool,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether new requests may be sent to it.
    pub accepts_work: bool,
    /// Incarnation of its process, once it has reported.
    pub incarnation: Option<Incarnation>,
    /// Models and services it serves, sorted.
    pub works: Vec<Work>,
}

/// A back end with its load and health.
#[derive(Debug)]
struct Backend {
    description: Description,
    health: Health,
    /// Open attempts of this entry VM, in total and by model or service.
    open: u32,
    open_by: Vec<(Work, u32)>,
    /// Requests in its last report, and attempts of this entry VM opened and closed since.
    reported: u32,
    opened: u32,
    closed: u32,
}

impl Backend {
    fn load(&self) -> u32 {
        (self.reported + self.opened).saturating_sub(self.closed).max(self.open)
    }
}

/// All known back ends and an index by the models and services they serve.
#[derive(Debug)]
pub struct Routes {
    backends: Vec<Option<Backend>>,
    indices: FxHashMap<Name, u16>,
    holders: FxHashMap<Work, Vec<u16>>,
    sketch: Sketch,
}

impl Routes {
    /// Creates an empty table with room for hints on `blocks` cached prompt blocks.
    #[must_use]
    pub fn new(blocks: usize) -> Self {
        Self {
            backends: Vec::new(),
            indices: FxHashMap::default(),
            holders: FxHashMap::default(),
            sketch: Sketch::new(blocks),
        }
    }

    /// Adds or updates a back end. One that is `fresh` or has restarted gets its full share of requests
    /// only gradually.
    pub fn set(&mut self, now: Time, facts: Description, fresh: bool) {
        let site = self.indices.get(&facts.name).copied().unwrap_or_else(|| self.add(now, &facts, fresh));
        let Some(place) = self.backends[usize::from(site)].as_mut() else {
            return;
        };
        let restarted =
            place.description.incarnation.is_some() && place.description.incarnation != facts.incarnation;
        if restarted {
            place.health = Health::starting(now);
            self.sketch.clear(site);
        }
        if place.description.works != facts.works {
            let lost: Vec<Work> =
                place.description.works.iter().filter(|work| !facts.works.contains(work)).cloned().collect();
            let won: Vec<Work> =
                facts.works.iter().filter(|work| !place.description.works.contains(work)).cloned().collect();
            self.unhold(&lost, site);
            for work in won {
                self.holders.entry(work).or_default().push(site);
            }
        }
        if let Some(place) = self.backends[usize::from(site)].as_mut() {
            place.description = facts;
        }
    }

    fn add(&mut self, now: Time, facts: &Description, fresh: bool) -> u16 {
        let free = self.backends.iter().position(Option::is_none).unwrap_or(self.backends.len());
        let place = Backend {
            description: Description { works: Vec::new(), ..facts.clone() },
            health: if fresh { Health::starting(now) } else { Health::default() },
            open: 0,
            open_by: Vec::new(),
            reported: 0,
            opened: 0,
            closed: 0,
        };
        if free == self.backends.len() {
            self.backends.push(Some(place));
        } else {
            self.backends[free] = Some(place);
        }
        let site = free as u16;
        self.indices.insert(facts.name.clone(), site);
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

    /// Removes all back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        let gone: Vec<Name> = self.indices.keys().filter(|name| !keep(name)).cloned().collect();
        for name in gone {
            let Some(site) = self.indices.remove(&name) else {
                continue;
            };
            if let Some(place) = self.backends[usize::from(site)].take() {
                self.unhold(&place.description.works, site);
            }
            self.sketch.clear(site);
        }
    }

    /// Returns whether no back end is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Removes `work` from a back end that refused a request because it does not hold it. The next report
    /// of the back end confirms or restores it.
    pub fn unload(&mut self, site: Index, work: &Work) {
        if let Some(place) = self.place_mut(site) {
            place.description.works.retain(|each| each != work);
        }
        self.unhold(std::slice::from_ref(work), site.0);
    }

    /// Returns the index of a back end.
    #[must_use]
    pub fn index(&self, name: &Name) -> Option<Index> {
        self.indices.get(name).copied().map(Index)
    }

    fn place(&self, site: Index) -> Option<&Backend> {
        self.backends.get(usize::from(site.0))?.as_ref()
    }

    fn place_mut(&mut self, site: Index) -> Option<&mut Backend> {
        self.backends.get_mut(usize::from(site.0))?.as_mut()
    }

    /// Returns the properties of a back end.
    #[must_use]
    pub fn description(&self, site: Index) -> Option<&Description> {
        self.place(site).map(|place| &place.description)
    }

    /// Returns the health of a back end for modification.
    pub fn health(&mut self, site: Index) -> Option<&mut Health> {
        self.place_mut(site).map(|place| &mut place.health)
    }

    /// Returns whether a back end is suspected to have failed.
    #[must_use]
    pub fn is_suspected(&self, name: &Name) -> bool {
        self.index(name).and_then(|site| self.place(site)).is_some_and(|place| place.health.is_suspected())
    }

    /// Returns the number of requests at a back end beyond its slots, as a fraction of the slots.
    #[must_use]
    pub fn excess(&self, site: Index) -> f32 {
        self.place(site).map_or(0.0, |place| {
            let slots = place.description.slots.max(1);
            place.load().saturating_sub(slots) as f32 / slots as f32
        })
    }

    /// Returns the number of back ends that serve `work`, including suspected ones.
    #[must_use]
    pub fn holders(&self, work: &Work) -> usize {
        self.holders.get(work).map_or(0, Vec::len)
    }

    /// Returns the number of open attempts of this entry VM at a back end for `work`.
    #[must_use]
    pub fn open_attempts_for(&self, name: &Name, work: &Work) -> u32 {
        let place = self.index(name).and_then(|site| self.place(site));
        place.map_or(0, |place| {
            place.open_by.iter().find(|(each, _)| each == work).map_or(0, |(_, open)| *open)
        })
    }

    /// Returns the number of open attempts of this entry VM at all back ends.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.backends.iter().flatten().map(|place| place.open as usize).sum()
    }

    /// Records the load reported by a back end.
    pub fn record_load(&mut self, name: &Name, load: u32) {
        if let Some(place) = self.index(name).and_then(|site| self.place_mut(site)) {
            place.reported = load;
            place.opened = 0;
            place.closed = 0;
        }
    }

    /// Records that an attempt is sent, and that the back end will cache the prompt.
    pub fn attempt_sent(&mut self, site: Index, work: &Work, prefix: &[u64]) {
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

    /// Records that an attempt is closed.
    pub fn attempt_closed(&mut self, site: Index, work: &Work) {
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

    /// Records that a back end failed after accepting a request. It is ejected after several consecutive
    /// failures unless too many back ends of its kind are suspected already.
    pub fn record_failure(&mut self, now: Time, site: Index) {
        let Some(place) = self.place_mut(site) else {
            return;
        };
        if !place.health.record_failure() {
            return;
        }
        let work = place.description.works.first().cloned();
        let kin = work.and_then(|work| self.holders.get(&work)).map_or(&[][..], Vec::as_slice);
        let doubted = kin
            .iter()
            .filter_map(|site| self.place(Index(*site)))
            .filter(|place| place.health.is_suspected())
            .count();
        if (doubted + 1) * EJECTED_PART <= kin.len()
            && let Some(health) = self.health(site)
        {
            health.eject(now);
        }
    }

    /// Records the prompt blocks that a back end has cached or evicted.
    pub fn cache_changed(&mut self, name: &Name, stored: &[u64], evicted: &[u64], cleared: bool) {
        let Some(Index(site)) = self.index(name) else {
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
