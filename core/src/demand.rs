//! Demand per artifact. Each entry VM counts the requests that arrive there, and the lease holder of the zone
//! adds the counts up and forecasts demand from its level and trend.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::effect::Effect;
use crate::member;
use crate::name::Name;
use crate::peer::{self, Item};
use crate::route::Work;
use crate::state::State;
use crate::time::Time;

/// Length of the windows in which arrivals are counted for the forecast.
const WINDOW: Duration = Duration::from_secs(10);
/// Weight of the latest window in the smoothed request rate.
const LEVEL_WEIGHT: f64 = 0.25;
/// Weight of the latest window in the smoothed trend.
const TREND_WEIGHT: f64 = 0.08;
/// How far ahead placement forecasts demand: the time of several loads, one after the other.
pub(crate) const HORIZON: Duration = Duration::from_mins(2);
/// Largest factor by which the trend may multiply or divide the request rate within [`HORIZON`].
const TREND_FACTOR_MAX: f64 = 2.0;
/// Time that a request is assumed to occupy a slot before it can be estimated, in seconds.
const SERVICE_TIME_DEFAULT: f64 = 2.0;
/// Weight of the latest sample in the smoothed number of running requests.
const RUNNING_WEIGHT: f64 = 0.05;
/// Request rate per second at or below which an artifact is forgotten.
const IDLE_RATE_MAX: f64 = 1e-6;

/// Estimated demand for one artifact in this zone.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Estimate {
    arrivals: u32,
    level: f64,
    trend: f64,
    running: f64,
    windows: u32,
    /// Requests that wait for a copy, over all entry VMs of the zone.
    pub waiting: u32,
}

impl Estimate {
    /// Returns the smoothed request rate per second.
    pub(crate) fn rate(&self) -> f64 {
        self.level
    }

    /// Returns the request rate per second that is forecast for [`HORIZON`] from now.
    pub(crate) fn forecast(&self) -> f64 {
        let ahead = self.level + self.trend * HORIZON.as_secs_f64();
        ahead.clamp(self.level / TREND_FACTOR_MAX, self.level * TREND_FACTOR_MAX).max(0.0)
    }

    /// Returns the time that a request occupies a slot, in seconds: running requests divided by the request
    /// rate.
    pub(crate) fn service_time(&self) -> f64 {
        if self.level < 0.01 || self.running < 0.01 {
            return SERVICE_TIME_DEFAULT;
        }
        (self.running / self.level).clamp(0.05, 60.0)
    }

    /// Returns the number of slots that the forecast demand occupies, with one for each waiting request.
    pub(crate) fn load(&self) -> f64 {
        self.forecast() * self.service_time() + f64::from(self.waiting)
    }

    fn end_window(&mut self, seconds: f64) {
        let observed = f64::from(self.arrivals) / seconds;
        self.arrivals = 0;
        self.windows = self.windows.saturating_add(1);
        // The first windows are averaged with equal weights. Otherwise the rise from zero after a start would
        // be taken for growth.
        let weight = LEVEL_WEIGHT.max(1.0 / f64::from(self.windows));
        let previous = self.level;
        let expected = previous + self.trend * seconds;
        self.level = (weight * observed + (1.0 - weight) * expected).max(0.0);
        if f64::from(self.windows) * LEVEL_WEIGHT > 1.0 {
            let slope = (self.level - previous) / seconds;
            self.trend = TREND_WEIGHT * slope + (1.0 - TREND_WEIGHT) * self.trend;
        }
    }
}

/// Demand counted by this entry VM and, at the lease holder, demand of the whole zone.
#[derive(Debug, Default)]
pub(crate) struct Part {
    counted: BTreeMap<Artifact, u32>,
    estimates: FxHashMap<Artifact, Estimate>,
    waiting: BTreeMap<Name, Vec<(Artifact, u32)>>,
    window_began: Time,
}

impl Part {
    /// Counts a request for an artifact that was admitted here.
    pub(crate) fn record_arrival(&mut self, artifact: &Artifact) {
        match self.counted.get_mut(artifact) {
            Some(arrivals) => *arrivals += 1,
            None => {
                self.counted.insert(artifact.clone(), 1);
            }
        }
    }

    /// Returns the estimated demand for an artifact in this zone.
    pub(crate) fn estimate(&self, artifact: &Artifact) -> Estimate {
        self.estimates.get(artifact).copied().unwrap_or_default()
    }
}

/// Sends the counts of this entry VM to the lease holder, or adds them to the estimates if it holds the lease.
pub(crate) fn tick(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let waiting = state.flow.queued_work().into_iter().filter_map(|work| match &work {
        Work::Artifact(artifact) => Some((artifact.clone(), state.flow.waiting(&work) as u32)),
        Work::Service(_) => None,
    });
    let waiting: Vec<(Artifact, u32)> = waiting.collect();
    let holder = state.lease.holder().cloned();
    let Some(holder) = holder else {
        return;
    };
    let arrivals = std::mem::take(&mut state.demand.counted);
    let me = state.me.vm.clone();
    let mut items: BTreeMap<Artifact, peer::Demand> = BTreeMap::new();
    for (artifact, arrivals) in arrivals {
        items.insert(artifact.clone(), peer::Demand { artifact, arrivals, waiting: 0 });
    }
    for (artifact, waiting) in waiting {
        let empty = || peer::Demand { artifact: artifact.clone(), arrivals: 0, waiting: 0 };
        items.entry(artifact.clone()).or_insert_with(empty).waiting = waiting;
    }
    let items: Vec<peer::Demand> = items.into_values().collect();
    if holder == me {
        receive(state, &me, items);
        update_estimates(state, now);
    } else if !items.is_empty() {
        member::send(state, &holder, vec![Item::Demand(items)], out);
    }
}

/// Adds the demand that an entry VM of the zone counted.
pub(crate) fn receive(state: &mut State, from: &Name, items: Vec<peer::Demand>) {
    let mut waiting = Vec::new();
    for item in items {
        if state.config.catalog.entry(&item.artifact).is_none() {
            continue;
        }
        if item.waiting > 0 {
            waiting.push((item.artifact.clone(), item.waiting));
        }
        state.demand.estimates.entry(item.artifact).or_default().arrivals += item.arrivals;
    }
    state.demand.waiting.insert(from.clone(), waiting);
}

/// Updates the estimates with the waiting and running requests, and at the end of a window with its arrivals.
fn update_estimates(state: &mut State, now: Time) {
    let part = &mut state.demand;
    let members = &state.member.peers;
    part.waiting.retain(|vm, _| *vm == state.me.vm || members.contains_key(vm));
    for estimate in part.estimates.values_mut() {
        estimate.waiting = 0;
    }
    for (artifact, waiting) in part.waiting.values().flatten() {
        part.estimates.entry(artifact.clone()).or_default().waiting += waiting;
    }
    let mut running: FxHashMap<&Artifact, u32> = FxHashMap::default();
    let zone = state.fleet.backends.values().filter(|backend| backend.zone == state.me.zone);
    for copy in zone.filter_map(|backend| backend.report.as_ref()).flat_map(|report| &report.copies) {
        *running.entry(&copy.artifact).or_default() += copy.requests;
    }
    for (artifact, estimate) in &mut part.estimates {
        let sample = f64::from(running.get(artifact).copied().unwrap_or_default());
        estimate.running += RUNNING_WEIGHT * (sample - estimate.running);
    }
    let elapsed = now.since(part.window_began);
    if elapsed < WINDOW {
        return;
    }
    part.window_began = now;
    // After a pause, or when this process has just taken the lease, it is not known how long the arrivals
    // were counted, so they give no rate.
    if elapsed > WINDOW * 3 {
        for estimate in part.estimates.values_mut() {
            estimate.arrivals = 0;
        }
        return;
    }
    for estimate in part.estimates.values_mut() {
        estimate.end_window(elapsed.as_secs_f64());
    }
    part.estimates.retain(|_, estimate| {
        estimate.level > IDLE_RATE_MAX || estimate.waiting > 0 || estimate.arrivals > 0
    });
}
