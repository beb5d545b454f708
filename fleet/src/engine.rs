//! Engines: their entries in the platform's store, and this process's view of their state.

mod health;

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::path::Path;
use crate::revision::Revision;
use crate::schedule::Schedule;
use crate::throttle::Throttle;
pub use health::Health;

/// Fraction of an engine's slots in use above which a new request may have to wait for one. It is below 1 because loads are known with a delay.
const CROWDED_FRACTION: f64 = 0.7;

/// An engine's entry in the store, which it writes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The engine's id. A restarted engine may keep its id.
    pub id: Name,
    /// The start of the engine that wrote the entry.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: Name,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and takes no more work.
    pub leaving: bool,
    /// Maximum time until it stops, if it is leaving at short notice.
    pub remaining: Option<Duration>,
    /// How long, from the time of this entry, it can only take a limited rate of requests because it has just started.
    pub cold_left: Duration,
    /// The models that it held when it wrote the entry.
    pub held: Vec<Held>,
    /// Models whose weights are cached in its memory or on its disk.
    pub cached: Cached,
    /// The version of its software; none if the entry has none.
    #[serde(default)]
    pub build: Option<Name>,
}

/// Identifies a start of an engine by its time, in ms since the Unix epoch by the engine's clock; none if the engine does not report it. A
/// later start of the same id has a larger value, holds none of the models loaded before and numbers its orders from the beginning.
#[derive(
    Clone, std::marker::Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub Option<u64>);

/// A model that an engine held at the time of its entry or report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The model.
    pub model: Name,
    /// The adapters of the model that the engine held.
    pub adapters: Vec<Name>,
}

/// Models that an engine can load without the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// Models cached in its memory.
    pub memory: Vec<Name>,
    /// Models cached on its disk.
    pub disk: Vec<Name>,
}

/// One row of the engines' table: an entry, or its removal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The engine's id.
    pub id: Name,
    /// The store's revision of the row.
    pub version: Revision,
    /// The entry; none if the engine was removed.
    pub entry: Option<Entry>,
    /// For a removed engine, how much longer the sender waits for it to come back; none if the receiver decides that itself.
    pub grace_left: Option<Duration>,
}

/// The models that an engine holds according to the orders sent to it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The engine's copies of models.
    pub copies: Vec<Copy>,
}

/// An engine's copy of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The model.
    pub model: Name,
    /// Whether it is being loaded, ready or being dropped.
    pub phase: Phase,
    /// Adapters that are ready.
    pub adapters: Vec<Name>,
}

/// The phase of a model copy.
#[derive(Clone, std::marker::Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The copy is being loaded.
    Loading,
    /// The copy serves requests.
    Ready,
    /// The copy is being dropped and takes no new requests.
    Closing,
}

impl Residency {
    /// Creates the residency from the list of an entry or a report, in which all models are ready.
    #[must_use]
    pub fn from_held(held: &[Held]) -> Self {
        let ready = |held: &Held| Copy {
            model: held.model.clone(),
            phase: Phase::Ready,
            adapters: held.adapters.clone(),
        };
        Self { copies: held.iter().map(ready).collect() }
    }

    /// Returns the copy of a model.
    #[must_use]
    pub fn copy(&self, model: &str) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.model == *model)
    }

    /// Whether the engine can run requests for a model, with an adapter if one is given.
    #[must_use]
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.copy(model).is_some_and(|copy| {
            copy.phase == Phase::Ready
                && adapter.is_none_or(|name| copy.adapters.iter().any(|held| *held == *name))
        })
    }
}

/// The load of an engine: requests in flight there.
#[derive(Clone, std::marker::Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests in flight.
    pub open: u32,
    /// Time that the engine needs for the prefill of the requests whose responses have not begun, in microseconds.
    pub reading_us: u64,
}

impl Load {
    /// The sum of two loads.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { open: self.open + other.open, reading_us: self.reading_us + other.reading_us }
    }

    /// The difference of two loads, at least 0.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_sub(other.open),
            reading_us: self.reading_us.saturating_sub(other.reading_us),
        }
    }

    /// The larger of two loads, number by number.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self { open: self.open.max(other.open), reading_us: self.reading_us.max(other.reading_us) }
    }
}

/// The limit on requests to an engine for some time after its start.
#[derive(Clone, std::marker::Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests per second from all entry VMs together.
    pub per_s: f64,
    /// When this process learned of the limit.
    pub since: Time,
    /// When the limit ends.
    pub until: Time,
}

/// This process's view of an engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its entry in the engines' table, without information from other sources.
    pub entry: Entry,
    /// Whether this start of it has announced in a response that it is leaving.
    pub announced_leaving: bool,
    /// Whether another engine has responded at its address since its row was read.
    pub replaced: bool,
    /// When this process learned of this start of it; the zero time if another process had known it for long.
    pub learned: Time,
    /// The store's revision of its row.
    pub version: Revision,
    /// The store's revision in which the content of its row last changed.
    pub changed: Revision,
    /// When the engine counts as gone, if its entry expired around an outage of the store.
    pub missing_until: Option<Time>,
    /// Whether operators have evacuated its availability zone.
    pub evacuated: bool,
    /// Its request limit after a start, if it applies.
    pub cold: Option<Cold>,
    /// Load sent by this process.
    pub own_load: Load,
    /// Load sent by the other entry VMs: as the hub reported it, or, at the hub, the sum of what they report.
    pub others_load: Load,
    /// At a new hub, load sent by the other entry VMs as the previous hub reported it, until all of them report to this one.
    pub inherited_load: Load,
    /// The schedule of prompts for it. It is exact at the entry VM that owns the schedule, and an estimate elsewhere.
    pub schedule: Schedule,
    /// Its share of the requests of a service that does not run models.
    pub throttle: Throttle,
    /// Its health as observed by this process.
    pub health: Health,
    /// The network path to it.
    pub path: Path,
    /// The models that it holds, according to the process that sends it orders; none until that is known.
    pub residency: Option<Residency>,
    /// Models and adapters that it rejected as absent, and until when they count as absent.
    pub absent: Vec<(Name, Option<Name>, Time)>,
}

impl Engine {
    /// Creates the view of a newly registered engine.
    #[must_use]
    pub fn new(entry: Entry, version: Revision, now: Time) -> Self {
        Self {
            entry,
            learned: now,
            announced_leaving: false,
            replaced: false,
            version,
            changed: version,
            missing_until: None,
            evacuated: false,
            cold: None,
            own_load: Load::default(),
            others_load: Load::default(),
            inherited_load: Load::default(),
            throttle: Throttle::default(),
            schedule: Schedule::default(),
            health: Health::default(),
            path: Path::default(),
            residency: None,
            absent: Vec::new(),
        }
    }

    /// Returns its state as a row of the engines' table.
    pub(crate) fn row(&self, now: Time) -> Row {
        Row {
            id: self.entry.id.clone(),
            version: self.version,
            entry: self.missing_until.is_none().then(|| self.entry.clone()),
            grace_left: self.missing_until.map(|until| until.since(now)),
        }
    }

    /// The load from all entry VMs.
    #[must_use]
    pub fn load(&self) -> Load {
        self.own_load.plus(self.load_of_others())
    }

    /// The load from the other entry VMs. What the previous hub reported of them and what they report to a new one overlap.
    #[must_use]
    pub fn load_of_others(&self) -> Load {
        self.others_load.max(self.inherited_load)
    }

    /// Takes the load from the other entry VMs as the hub reports it.
    pub(crate) fn set_load_of_others(&mut self, load: Load) {
        (self.others_load, self.inherited_load) = (load, Load::default());
    }

    /// Whether so many requests are in flight there that a new one may have to wait for a slot.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        f64::from(self.load().open) > CROWDED_FRACTION * f64::from(self.entry.slots)
    }

    /// Whether it is leaving or gone: according to its row, to its own announcement, or because another engine responds at its address.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.entry.leaving || self.announced_leaving || self.replaced
    }

    /// Whether it may be sent work.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.evacuated
    }

    /// Resets the state that belongs to the previous start of the engine, such as its models, its health and its path. Requests sent to the
    /// previous start end when their connections break.
    pub(crate) fn restart(&mut self, now: Time) {
        self.learned = now;
        self.announced_leaving = false;
        self.replaced = false;
        self.health = Health::default();
        self.path = Path::default();
        self.schedule = Schedule::default();
        self.cold = None;
        self.residency = None;
        self.absent.clear();
    }

    /// Takes over the models that it holds from the process that sends it orders, unless they are those of another start. Models that it has
    /// got since no longer count as absent.
    pub fn set_residency(&mut self, incarnation: Incarnation, residency: Residency) {
        if incarnation != self.entry.incarnation {
            return;
        }
        let before = self.residency.take().unwrap_or_default();
        self.absent.retain(|(model, adapter, _)| {
            let adapter = adapter.as_deref();
            before.serves(model, adapter) || !residency.serves(model, adapter)
        });
        self.residency = Some(residency);
    }

    /// Whether it can run requests for a model, as far as this process knows.
    #[must_use]
    pub fn serves(&self, model: &str, adapter: Option<&str>, now: Time) -> bool {
        let refused = self.absent.iter().any(|(name, with, until)| {
            *until > now && *name == *model && (with.is_none() || with.as_deref() == adapter)
        });
        if refused {
            return false;
        }
        match &self.residency {
            Some(residency) => residency.serves(model, adapter),
            None => self.entry.held.iter().any(|held| {
                held.model == *model
                    && adapter.is_none_or(|adapter| held.adapters.iter().any(|name| *name == *adapter))
            }),
        }
    }
}

/// How the port of an engine responds to a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Port {
    /// A connection can be opened.
    Open,
    /// The connection is refused: the engine's process has ended, or a device on the path rejects connections to it.
    Closed,
    /// There is no response, as during a network partition.
    Silent,
}
