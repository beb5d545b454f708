//! Engines: what the platform's store says of each, and what this process believes beyond that.

mod health;

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::path::Path;
use crate::revision::Revision;
use crate::schedule::Schedule;
use crate::share::Share;
pub use health::Health;

/// Part of its slots that is taken at an engine where a new request may wait for one: loads are known late.
const CROWDED: f64 = 0.7;

/// An engine as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The engine's id. It may start again under the one that it had.
    pub id: Name,
    /// Which start of the engine this is.
    pub incarnation: Incarnation,
    /// The service it belongs to.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no more work.
    pub leaving: bool,
    /// How long it stays at most, if it is leaving at short notice.
    pub remaining: Option<Duration>,
    /// How long it is cold from when it wrote this, and bears few requests.
    pub cold_left: Duration,
    /// What it held.
    pub held: Vec<Held>,
    /// Models whose weights it keeps in its own memory or on its disk.
    pub cached: Cached,
    /// The version of its software; none if it does not say.
    #[serde(default)]
    pub build: Option<Name>,
}

/// A start of an engine: when it was, in ms since the Unix epoch by the engine's clock; none if the engine does not
/// say. A later one of the same id has a larger number, holds nothing of before and counts its orders anew.
#[derive(
    Clone, std::marker::Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Incarnation(pub Option<u64>);

/// A model that an engine held when it said so.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The model.
    pub model: Name,
    /// Its adapters there.
    pub adapters: Vec<Name>,
}

/// Copies of weights that an engine can load without the weight store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// In its memory.
    pub memory: Vec<Name>,
    /// On its disk.
    pub disk: Vec<Name>,
}

/// One row of the engines' table: an entry, or the word that it was removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The engine's id.
    pub id: Name,
    /// The store's version of the row.
    pub version: Revision,
    /// The entry; none if it was removed.
    pub entry: Option<Entry>,
    /// How much longer whoever tells of a removed one waits for it to come back; none if that is to be judged by whoever is told.
    pub lapses: Option<Duration>,
}

/// What an engine holds, as far as orders sent by this deployment tell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residency {
    /// The models.
    pub copies: Vec<Copy>,
}

/// A model's copy at an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The model.
    pub model: Name,
    /// How far it is.
    pub phase: Phase,
    /// Its adapters that can be used.
    pub adapters: Vec<Name>,
}

/// How far a copy is.
#[derive(Clone, std::marker::Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It is being loaded.
    Loading,
    /// It serves requests.
    Ready,
    /// It is being dropped, and takes no new requests.
    Closing,
}

impl Residency {
    /// What an entry or a report says; everything in it is ready.
    #[must_use]
    pub fn of(held: &[Held]) -> Self {
        let ready = |held: &Held| Copy {
            model: held.model.clone(),
            phase: Phase::Ready,
            adapters: held.adapters.clone(),
        };
        Self { copies: held.iter().map(ready).collect() }
    }

    /// The copy of a model.
    #[must_use]
    pub fn copy(&self, model: &str) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.model == *model)
    }

    /// Whether requests for the model, with the adapter if one is named, can run.
    #[must_use]
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        self.copy(model).is_some_and(|copy| {
            copy.phase == Phase::Ready
                && adapter.is_none_or(|name| copy.adapters.iter().any(|held| *held == *name))
        })
    }
}

/// Requests under way at an engine.
#[derive(Clone, std::marker::Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests sent that have not ended.
    pub open: u32,
    /// Time that it takes the engine to read the prompts of those that have not begun to answer, in us.
    pub reading_us: u64,
}

impl Load {
    /// Both together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { open: self.open + other.open, reading_us: self.reading_us + other.reading_us }
    }

    /// This without the other; nothing below zero.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            open: self.open.saturating_sub(other.open),
            reading_us: self.reading_us.saturating_sub(other.reading_us),
        }
    }
}

/// What an engine bears for some time after a start.
#[derive(Clone, std::marker::Copy, Debug, PartialEq)]
pub struct Cold {
    /// Requests a second from all entry VMs together.
    pub per_s: f64,
    /// Since when it is known.
    pub since: Time,
    /// Until when it is cold.
    pub until: Time,
}

/// An engine, as this process believes it to be.
#[derive(Clone, Debug)]
pub struct Engine {
    /// As it registered itself: what the table says, and nothing that is known beside it.
    pub entry: Entry,
    /// Whether this start of it has said in an answer that it leaves.
    pub said_leaving: bool,
    /// Whether another engine has answered this process at its address since its row was read.
    pub replaced: bool,
    /// The store's version of its row.
    pub version: Revision,
    /// The store's version in which its row last said something else than before.
    pub changed: Revision,
    /// When its entry is to be taken as gone, if it went missing around an outage of the store.
    pub missing_until: Option<Time>,
    /// Whether operators want nothing to be sent to its availability zone.
    pub evacuated: bool,
    /// How long it is cold, and what it takes meanwhile.
    pub cold: Option<Cold>,
    /// What this process has sent there.
    pub own: Load,
    /// What the other entry VMs have sent there.
    pub others: Load,
    /// When prompts can be sent there, as far as is known here; exact at the owner of the schedule.
    pub schedule: Schedule,
    /// The share of calls of a plain service that it is offered.
    pub share: Share,
    /// How far it is trusted.
    pub health: Health,
    /// How it is reached from here.
    pub path: Path,
    /// What it holds, as the process that orders it says; none until that is known.
    pub ordered: Option<Residency>,
    /// Models that it refused as absent, and until when that is believed.
    pub absent: Vec<(Name, Option<Name>, Time)>,
}

impl Engine {
    /// An engine that was just registered.
    #[must_use]
    pub fn new(entry: Entry, version: Revision) -> Self {
        Self {
            entry,
            said_leaving: false,
            replaced: false,
            version,
            changed: version,
            missing_until: None,
            evacuated: false,
            cold: None,
            own: Load::default(),
            others: Load::default(),
            share: Share::default(),
            schedule: Schedule::default(),
            health: Health::default(),
            path: Path::default(),
            ordered: None,
            absent: Vec::new(),
        }
    }

    /// What is known of it as a row of the table.
    pub(crate) fn row(&self, now: Time) -> Row {
        Row {
            id: self.entry.id.clone(),
            version: self.version,
            entry: self.missing_until.is_none().then(|| self.entry.clone()),
            lapses: self.missing_until.map(|until| until.since(now)),
        }
    }

    /// Requests of all entry VMs under way there.
    #[must_use]
    pub const fn load(&self) -> Load {
        self.own.plus(self.others)
    }

    /// Whether so many requests are under way there that a new one may wait for a slot.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        f64::from(self.load().open) > CROWDED * f64::from(self.entry.slots)
    }

    /// Whether it leaves or is gone, by its row, by its own word, or by that of another engine in its place.
    #[must_use]
    pub const fn leaves(&self) -> bool {
        self.entry.leaving || self.said_leaving || self.replaced
    }

    /// Whether it may be sent work at all.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        !self.leaves() && !self.evacuated
    }

    /// The engine started anew: nothing that was believed of what it holds, or held against it, is true any more.
    /// Requests that were sent to its earlier start end by their broken connections.
    pub(crate) fn restart(&mut self) {
        self.said_leaving = false;
        self.replaced = false;
        self.health = Health::default();
        self.path = Path::default();
        self.schedule = Schedule::default();
        self.cold = None;
        self.ordered = None;
        self.absent.clear();
    }

    /// Learns what it holds from whoever orders it, unless that is another start's. What it got since is no longer
    /// absent.
    pub fn learn(&mut self, incarnation: Incarnation, residency: Residency) {
        if incarnation != self.entry.incarnation {
            return;
        }
        let before = self.ordered.take().unwrap_or_default();
        self.absent.retain(|(model, adapter, _)| {
            let adapter = adapter.as_deref();
            before.serves(model, adapter) || !residency.serves(model, adapter)
        });
        self.ordered = Some(residency);
    }

    /// Whether it can run requests for a model, as far as is known.
    #[must_use]
    pub fn serves(&self, model: &str, adapter: Option<&str>, now: Time) -> bool {
        let refused = self.absent.iter().any(|(name, with, until)| {
            *until > now && *name == *model && (with.is_none() || with.as_deref() == adapter)
        });
        if refused {
            return false;
        }
        match &self.ordered {
            Some(residency) => residency.serves(model, adapter),
            None => self.entry.held.iter().any(|held| {
                held.model == *model
                    && adapter.is_none_or(|adapter| held.adapters.iter().any(|name| *name == *adapter))
            }),
        }
    }
}

/// How the port of an engine answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// A connection can be opened.
    Open,
    /// The connection is refused: the engine's process has ended, or something on the way refuses in its place.
    Closed,
    /// Nothing comes back, as across a partition.
    Silent,
}
