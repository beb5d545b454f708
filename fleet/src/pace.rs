//! When prompts are sent: spread over time, so that engines read them one after another.
//!
//! The load that this answers: many prompts at once for models whose engines stream to many callers. While an
//! engine reads a prompt, all its streams stand still, and one event spans several of the engine's steps. Six
//! prompts of 700 tokens within one event make a pause of over 150 ms, which operators count as late, though
//! the engine is busy for a third of the time only. The first event has 500 ms or more.
//!
//! Entry VMs therefore take turns at each engine. The hub tells each its place and the common time. A turn is
//! longer than a prompt of the usual size takes to be read, so that what follows can be made up for. An entry VM's
//! turns at the engines are spread evenly over the round, so that the wait for one of several is a fraction of it,
//! and none of them is the next one more often than the others.
//!
//! Where there are so many entry VMs that a round would take long, there are no turns: each sends a small part of
//! what an engine reads.
//!
//! With nine entry VMs and five engines that read for two fifths of the time, in one simulation of 60 s by a script: without
//! turns 23% of prompts begin a span of 150 ms with over 100 ms of reading; turns as long as a prompt, one engine
//! after another, 32%; spread evenly 15%; spread evenly and of 30 ms, 3%, for a mean wait of 53 ms.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::settings::Settings;

/// Weight of a sample that is faster than what is known of a model: the rest waited for something.
const FASTER: f64 = 0.3;
/// Weight of a sample that is slower.
const SLOWER: f64 = 0.01;
/// The least that a model can take, as a part of the slowest.
const SLOWNESS_MIN: f64 = 0.05;
/// Time between two machines and for the first step, which is not reading, in ms.
const OVERHEAD_MS: f64 = 7.0;

/// The place of an entry VM among all, and the time that all share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Its number, from 0.
    pub index: u32,
    /// Entry VMs in all.
    pub nodes: u32,
    /// The hub's clock when it answered.
    pub hub_time: Time,
}

/// A place with the difference between the hub's clock and the own.
#[derive(Clone, Copy, Debug)]
pub struct Round {
    index: u64,
    nodes: u64,
    /// What to add to the own clock, in us; the hub's clock may be behind.
    ahead_us: i128,
}

impl Round {
    /// Learns its place from an answer of the hub to a frame that took `took`.
    #[must_use]
    pub fn new(place: Place, now: Time, took: Duration) -> Self {
        let hub_now = place.hub_time + took / 2;
        Self {
            index: place.index.into(),
            nodes: place.nodes.max(1).into(),
            ahead_us: i128::from(hub_now.0) - i128::from(now.0),
        }
    }

    /// The first turn at an engine that ends after `from`: the time at which to send.
    #[must_use]
    pub fn next(&self, engine: Seat, from: Time, length: Duration) -> Time {
        let length = i128::from(length.as_micros().max(1) as u64);
        let round = length * i128::from(self.nodes);
        let spread = round * i128::from(engine.number) / i128::from(engine.of.max(1));
        let start = (length * i128::from(self.index) + spread) % round;
        let shared = i128::from(from.0) + self.ahead_us;
        let within = (shared - start).rem_euclid(round);
        let wait = if within < length { 0 } else { round - within };
        Time((i128::from(from.0) + wait) as u64)
    }

    /// How long it takes until every entry VM has had its turn.
    #[must_use]
    pub fn length(&self, turn: Duration) -> Duration {
        turn.mul_f64(self.nodes as f64)
    }

    /// Whether a turn comes soon enough to be waited for.
    fn is_short(&self, settings: &Settings) -> bool {
        self.length(settings.turn) <= settings.round_max
    }
}

/// An engine's number among those of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// Its number, from 0.
    pub number: u64,
    /// How many there are.
    pub of: u64,
}

/// What an entry VM has taken of its turns at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// When it may send again.
    free_at: Time,
}

impl Turn {
    /// When a prompt can be sent, at the latest after the settings' longest wait.
    #[must_use]
    pub fn at(&self, round: Option<&Round>, engine: Seat, now: Time, settings: &Settings) -> Time {
        let latest = now + settings.turn_wait;
        let Some(round) = round.filter(|round| round.is_short(settings)) else {
            return now;
        };
        let free = self.free_at.max(now);
        if free >= latest {
            return latest;
        }
        round.next(engine, free, settings.turn).min(latest)
    }

    /// Takes what a prompt needs that is sent at `at` and takes `work` to be read.
    pub fn take(&mut self, round: Option<&Round>, at: Time, work: Duration, settings: &Settings) {
        if let Some(round) = round.filter(|round| round.is_short(settings)) {
            let rounds = work.as_secs_f64() / settings.turn.as_secs_f64();
            self.free_at = self.free_at.max(at) + round.length(settings.turn).mul_f64(rounds);
        }
    }
}

/// How slowly models read, as a part of the slowest that the settings know of.
#[derive(Debug, Default)]
pub struct Slowness {
    by_model: rustc_hash::FxHashMap<Name, f64>,
}

impl Slowness {
    /// How slowly a model reads; one that was not seen yet counts as slow.
    #[must_use]
    pub fn of(&self, model: &str) -> f64 {
        self.by_model.get(model).copied().unwrap_or(1.0)
    }

    /// The time to read a prompt.
    #[must_use]
    pub fn work(&self, model: &str, tokens: u32, settings: &Settings) -> Duration {
        let ms = f64::from(tokens) / settings.read_per_ms * self.of(model);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// A prompt's first event came this long after it was sent.
    pub fn learn(&mut self, model: &Name, tokens: u32, took: Duration, settings: &Settings) {
        let read_ms = f64::from(tokens) / settings.read_per_ms;
        if read_ms < 1.0 {
            return;
        }
        let took_ms = took.as_secs_f64() * 1_000.0;
        let sample = ((took_ms - OVERHEAD_MS) / read_ms).clamp(SLOWNESS_MIN, 1.0);
        let known = self.by_model.entry(model.clone()).or_insert(1.0);
        let weight = if sample < *known { FASTER } else { SLOWER };
        *known += weight * (sample - *known);
    }
}
