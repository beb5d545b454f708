//! Demand for models and adapters: counted by each entry VM, aggregated by the hub.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Half-life of past demand in the smoothed values: demand moves to other models within seconds, and a load
/// takes one to four seconds.
const HALF_LIFE: Duration = Duration::from_millis(1_200);

/// Maximum waiting time that one update adds: a new hub has not observed the waiting requests before its first
/// update.
const UPDATE_MAX: Duration = Duration::from_secs(1);

/// Minimum time between two log records on placement.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// A model of a service, or one of its adapters.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: Name,
    /// Name of the model.
    pub model: Name,
    /// Name of the adapter; none for the model without an adapter.
    pub adapter: Option<Name>,
}

/// Demand of one entry VM's callers for one target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requested model or adapter.
    pub target: Target,
    /// Requests that arrived since the last frame.
    pub arrived: u32,
    /// Time that engines take to read the prompts of these requests, in us.
    pub work_us: u64,
    /// Requests under way at engines.
    pub open: u32,
    /// Requests that wait for the target to be loaded.
    pub waiting: u32,
}

/// Demand counters of this entry VM.
#[derive(Debug, Default)]
pub struct Counters {
    by_target: BTreeMap<Target, Demand>,
}

impl Counters {
    fn entry(&mut self, target: &Target) -> &mut Demand {
        let new = || Demand { target: target.clone(), ..Demand::default() };
        self.by_target.entry(target.clone()).or_insert_with(new)
    }

    pub(crate) fn record_arrival(&mut self, target: &Target, work: Duration) {
        let demand = self.entry(target);
        demand.arrived += 1;
        demand.work_us += work.as_micros() as u64;
    }

    pub(crate) fn begin_wait(&mut self, target: &Target) {
        self.entry(target).waiting += 1;
    }

    pub(crate) fn end_wait(&mut self, target: &Target) {
        let demand = self.entry(target);
        demand.waiting = demand.waiting.saturating_sub(1);
    }

    pub(crate) fn record_sent(&mut self, target: &Target) {
        self.entry(target).open += 1;
    }

    pub(crate) fn record_ended(&mut self, target: &Target) {
        let demand = self.entry(target);
        demand.open = demand.open.saturating_sub(1);
    }

    /// Counters of one target.
    pub(crate) fn get(&self, target: &Target) -> Option<&Demand> {
        self.by_target.get(target)
    }

    /// All counters, without resetting them.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Demand> {
        self.by_target.values()
    }

    /// Returns all counters for a frame and resets the counts of arrivals.
    pub(crate) fn take(&mut self) -> Vec<Demand> {
        let taken = self.by_target.values().cloned().collect();
        self.by_target.retain(|_, demand| demand.open + demand.waiting > 0);
        for demand in self.by_target.values_mut() {
            demand.arrived = 0;
            demand.work_us = 0;
        }
        taken
    }
}

/// Smoothed demand of all entry VMs, as seen by the hub.
#[derive(Debug, Default)]
pub struct Aggregate {
    models: BTreeMap<Target, Trend>,
    /// Time at which each adapter was last requested.
    adapters: FxHashMap<Target, Time>,
    arrived: FxHashMap<Target, Arrived>,
    at: Time,
    /// Time of the first request.
    first: Option<Time>,
    /// Time at which placement was last logged.
    logged: Time,
}

/// Arrivals since the last update.
#[derive(Clone, Copy, Debug, Default)]
struct Arrived {
    requests: u32,
    work_us: u64,
}

/// Current demand for a model, summed over all entry VMs.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    open: u32,
    waiting: u32,
    arrived: Arrived,
}

/// Smoothed demand for a model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trend {
    /// Requests under way or waiting, smoothed.
    pub concurrency: f64,
    /// Number of requests that wait now.
    pub waiting: u32,
    /// Time for which requests have waited while none was served.
    pub starved_for: Duration,
    /// Number of engines that reading its prompts keeps busy, smoothed.
    pub reading_load: f64,
    /// Time of the last request; none if there was none.
    pub last_requested: Option<Time>,
}

impl Aggregate {
    /// Adds the arrivals that an entry VM has reported.
    pub(crate) fn add_arrivals(&mut self, demand: &Demand) {
        if demand.arrived > 0 {
            let arrived = self.arrived.entry(demand.target.clone()).or_default();
            arrived.requests += demand.arrived;
            arrived.work_us += demand.work_us;
        }
    }

    /// Updates the smoothed values from the current demand of all entry VMs.
    pub fn update<'a>(&mut self, now: Time, demands: impl Iterator<Item = &'a Demand>) {
        let before = std::mem::replace(&mut self.at, now);
        let elapsed = now.since(before).as_secs_f64();
        let keep = (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        let mut sums: FxHashMap<Target, Sum> = FxHashMap::default();
        for demand in demands {
            if demand.target.adapter.is_some() && demand.open + demand.waiting > 0 {
                self.adapters.insert(demand.target.clone(), now);
            }
            let sum = sums.entry(demand.target.of_model()).or_default();
            sum.open += demand.open;
            sum.waiting += demand.waiting;
        }
        for (target, arrived) in std::mem::take(&mut self.arrived) {
            let sum = &mut sums.entry(target.of_model()).or_default().arrived;
            sum.requests += arrived.requests;
            sum.work_us += arrived.work_us;
            if target.adapter.is_some() {
                self.adapters.insert(target, now);
            }
        }
        for target in sums.keys() {
            self.models.entry(target.clone()).or_default();
        }
        for (target, trend) in &mut self.models {
            let Sum { open, waiting, arrived } = sums.get(target).copied().unwrap_or_default();
            let smooth = |old: f64, new: f64| keep.mul_add(old - new, new);
            trend.concurrency = smooth(trend.concurrency, f64::from(open + waiting));
            trend.waiting = waiting;
            trend.starved_for = match (waiting, open) {
                (_, 1..) => Duration::ZERO,
                (1.., 0) => trend.starved_for + now.since(before).min(UPDATE_MAX),
                (0, 0) => trend.starved_for,
            };
            if open + waiting + arrived.requests > 0 {
                trend.last_requested = Some(now);
                self.first.get_or_insert(now);
            }
            trend.reading_load =
                smooth(trend.reading_load, arrived.work_us as f64 / 1_000_000.0 / elapsed.max(0.001));
        }
    }

    /// Smoothed demand for a model.
    #[must_use]
    pub fn trend(&self, service: &Name, model: &Name) -> Trend {
        let target = Target { service: service.clone(), model: model.clone(), adapter: None };
        self.models.get(&target).copied().unwrap_or_default()
    }

    /// Records which adapters are in use.
    pub(crate) fn mark_used<'a>(&mut self, now: Time, demands: impl IntoIterator<Item = &'a Demand>) {
        for demand in demands {
            if demand.target.adapter.is_some() && demand.open + demand.waiting + demand.arrived > 0 {
                self.adapters.insert(demand.target.clone(), now);
            }
        }
    }

    /// Whether placement is to be logged now.
    pub(crate) fn log_due(&mut self, now: Time) -> bool {
        let due = now.since(self.logged) >= LOG_EVERY;
        if due {
            self.logged = now;
        }
        due
    }

    /// Time since the first request.
    #[must_use]
    pub fn observed_for(&self, now: Time) -> Duration {
        self.first.map_or(Duration::ZERO, |first| now.since(first))
    }

    /// Time at which an adapter was last requested.
    #[must_use]
    pub fn last_used(&self, target: &Target) -> Option<Time> {
        self.adapters.get(target).copied()
    }
}

impl Target {
    /// The target's model without the adapter.
    #[must_use]
    pub fn of_model(&self) -> Self {
        Self { adapter: None, ..self.clone() }
    }
}
