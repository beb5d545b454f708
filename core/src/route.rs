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
    pub fn set(&mut self, now: Time, description: Description, fresh: bool) {
        let index = self
            .indices
            .get(&description.name)
            .copied()
            .unwrap_or_else(|| self.add(now, &description, fresh));
        let Some(backend) = self.backends[usize::from(index)].as_mut() else {
            return;
        };
        let restarted = backend.description.incarnation.is_some()
            && backend.description.incarnation != description.incarnation;
        if restarted {
            backend.health = Health::starting(now);
            self.sketch.clear(index);
        }
        if backend.description.works != description.works {
            let lost: Vec<Work> = backend
                .description
                .works
                .iter()
                .filter(|work| !description.works.contains(work))
                .cloned()
                .collect();
            let won: Vec<Work> = description
                .works
                .iter()
                .filter(|work| !backend.description.works.contains(work))
                .cloned()
                .collect();
            self.remove_holder(&lost, index);
            for work in won {
                self.holders.entry(work).or_default().push(index);
            }
        }
        if let Some(backend) = self.backends[usize::from(index)].as_mut() {
            backend.description = description;
        }
    }

    fn add(&mut self, now: Time, description: &Description, fresh: bool) -> u16 {
        let free = self.backends.iter().position(Option::is_none).unwrap_or(self.backends.len());
        let backend = Backend {
            description: Description { works: Vec::new(), ..description.clone() },
            health: if fresh { Health::starting(now) } else { Health::default() },
            open: 0,
            open_by: Vec::new(),
            reported: 0,
            opened: 0,
            closed: 0,
        };
        if free == self.backends.len() {
            self.backends.push(Some(backend));
        } else {
            self.backends[free] = Some(backend);
        }
        let index = free as u16;
        self.indices.insert(description.name.clone(), index);
        index
    }

    fn remove_holder(&mut self, works: &[Work], index: u16) {
        for work in works {
            if let Some(holders) = self.holders.get_mut(work) {
                holders.retain(|holder| *holder != index);
                if holders.is_empty() {
                    self.holders.remove(work);
                }
            }
        }
    }

    /// Removes all back ends for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        let removed: Vec<Name> = self.indices.keys().filter(|name| !keep(name)).cloned().collect();
        for name in removed {
            let Some(index) = self.indices.remove(&name) else {
                continue;
            };
            if let Some(backend) = self.backends[usize::from(index)].take() {
                self.remove_holder(&backend.description.works, index);
            }
            self.sketch.clear(index);
        }
    }

    /// Returns whether no back end is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Removes `work` from a back end that refused a request because it does not hold it. The next report
    /// of the back end confirms or restores it.
    pub fn unload(&mut self, index: Index, work: &Work) {
        if let Some(backend) = self.backend_mut(index) {
            backend.description.works.retain(|each| each != work);
        }
        self.remove_holder(std::slice::from_ref(work), index.0);
    }

    /// Returns the index of a back end.
    #[must_use]
    pub fn index(&self, name: &Name) -> Option<Index> {
        self.indices.get(name).copied().map(Index)
    }

    fn backend(&self, index: Index) -> Option<&Backend> {
        self.backends.get(usize::from(index.0))?.as_ref()
    }

    fn backend_mut(&mut self, index: Index) -> Option<&mut Backend> {
        self.backends.get_mut(usize::from(index.0))?.as_mut()
    }

    /// Returns the properties of a back end.
    #[must_use]
    pub fn description(&self, index: Index) -> Option<&Description> {
        self.backend(index).map(|backend| &backend.description)
    }

    /// Returns the health of a back end for modification.
    pub fn health(&mut self, index: Index) -> Option<&mut Health> {
        self.backend_mut(index).map(|backend| &mut backend.health)
    }

    /// Returns whether a back end is suspected to have failed.
    #[must_use]
    pub fn is_suspected(&self, name: &Name) -> bool {
        self.index(name)
            .and_then(|index| self.backend(index))
            .is_some_and(|backend| backend.health.is_suspected())
    }

    /// Returns the number of requests at a back end beyond its slots, as a fraction of the slots.
    #[must_use]
    pub fn excess(&self, index: Index) -> f32 {
        self.backend(index).map_or(0.0, |backend| {
            let slots = backend.description.slots.max(1);
            backend.load().saturating_sub(slots) as f32 / slots as f32
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
        let backend = self.index(name).and_then(|index| self.backend(index));
        backend.map_or(0, |backend| {
            backend.open_by.iter().find(|(each, _)| each == work).map_or(0, |(_, open)| *open)
        })
    }

    /// Returns the number of open attempts of this entry VM at all back ends.
    #[must_use]
    pub fn open_attempts(&self) -> usize {
        self.backends.iter().flatten().map(|backend| backend.open as usize).sum()
    }

    /// Records the load reported by a back end.
    pub fn record_load(&mut self, name: &Name, load: u32) {
        if let Some(backend) = self.index(name).and_then(|index| self.backend_mut(index)) {
            backend.reported = load;
            backend.opened = 0;
            backend.closed = 0;
        }
    }

    /// Records that an attempt is sent, and that the back end will cache the prompt.
    pub fn attempt_sent(&mut self, index: Index, work: &Work, prefix: &[u64]) {
        for hash in prefix {
            self.sketch.store(*hash, index.0);
        }
        let Some(backend) = self.backend_mut(index) else {
            return;
        };
        backend.open += 1;
        backend.opened += 1;
        match backend.open_by.iter_mut().find(|(each, _)| each == work) {
            Some((_, open)) => *open += 1,
            None => backend.open_by.push((work.clone(), 1)),
        }
    }

    /// Records that an attempt is closed.
    pub fn attempt_closed(&mut self, index: Index, work: &Work) {
        let Some(backend) = self.backend_mut(index) else {
            return;
        };
        backend.open = backend.open.saturating_sub(1);
        backend.closed += 1;
        if let Some(at) = backend.open_by.iter().position(|(each, _)| each == work) {
            backend.open_by[at].1 -= 1;
            if backend.open_by[at].1 == 0 {
                backend.open_by.swap_remove(at);
            }
        }
    }

    /// Records that a back end failed after accepting a request. It is ejected after several consecutive
    /// failures unless too many back ends of its kind are suspected already.
    pub fn record_failure(&mut self, now: Time, index: Index) {
        let Some(backend) = self.backend_mut(index) else {
            return;
        };
        if !backend.health.record_failure() {
            return;
        }
        let work = backend.description.works.first().cloned();
        let holders = work.and_then(|work| self.holders.get(&work)).map_or(&[][..], Vec::as_slice);
        let suspected = holders
            .iter()
            .filter_map(|index| self.backend(Index(*index)))
            .filter(|backend| backend.health.is_suspected())
            .count();
        if (suspected + 1) * EJECTED_PART <= holders.len()
            && let Some(health) = self.health(index)
        {
            health.eject(now);
        }
    }

    /// Records the prompt blocks that a back end has cached or evicted.
    pub fn cache_changed(&mut self, name: &Name, stored: &[u64], evicted: &[u64], cleared: bool) {
        let Some(Index(index)) = self.index(name) else {
            return;
        };
        if cleared {
            self.sketch.clear(index);
        }
        for hash in stored {
            self.sketch.store(*hash, index);
        }
        for hash in evicted {
            self.sketch.evict(*hash, index);
        }
    }
}
