//! Utility of copies of models, in copies needed: one measure for first, further and last copies.
//!
//! A model needs enough copies to keep the time that each engine spends on reading its prompts, and the slots
//! in use, within bounds. Requests that find no slot at all have a higher weight, whether their model has no
//! copy or too few. Where the engines lack room for all models, a copy is loaded if its utility is higher than
//! that of the copy it replaces.

use std::time::Duration;

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;

use crate::place::Input;

/// Maximum fraction of its time that an engine should spend on reading the prompts of one model: its streams
/// stall meanwhile.
const READING_PER_COPY: f64 = 0.08;
/// Maximum fraction of an engine's slots that one copy should use.
const SLOTS_PER_COPY: f64 = 0.3;
/// Weight of a request that finds no slot, relative to one that finds a busy engine.
const UNSERVED_WEIGHT: f64 = 10.0;
/// Copies needed by a model that has no copy and no demand.
const IDLE_NEED: f64 = 0.3;
/// Waiting time after which the callers of a model without any copy have twice their weight.
const WAIT_PER_WEIGHT: Duration = Duration::from_secs(1);
/// Utility of the last copy of an unused model where the engines lack room for all models, in copies needed:
/// less than that of a copy for one waiting caller of a model without any, more than that of a further copy for
/// a model that has enough.
const UNUSED_UTILITY: f64 = 1.0;

/// Utility of the copies of each model of a pool.
#[derive(Debug)]
pub(crate) struct Utility {
    by_model: FxHashMap<Name, Model>,
    /// Slots per engine.
    slots: f64,
    /// Memory of the largest model, in MB.
    pub(crate) largest_mb: f64,
    /// Memory assumed for a model that the pool does not list, in MB: the whole memory of an engine.
    unlisted_mb: f64,
}

/// Size of a model, and the demand for it.
#[derive(Clone, Copy, Debug, Default)]
struct Model {
    memory_mb: f64,
    /// Requests under way or waiting.
    concurrency: f64,
    /// Number of copies that it should have.
    need: f64,
    /// Time for which requests have waited while none was served.
    starved: Duration,
    /// Whether there has been no request for a while.
    unused: bool,
}

impl Utility {
    /// Computes the utilities of the models in the input of a plan.
    pub(crate) fn of(input: &Input<'_>) -> Self {
        let slots = f64::from(input.pool.slots.max(1));
        let model = |model: &crate::config::Model| {
            let trend = input.demand.get(&model.name).copied().unwrap_or_default();
            let need =
                (trend.reading_load / READING_PER_COPY).max(trend.concurrency / (slots * SLOTS_PER_COPY));
            let unused = input.unused(&model.name);
            let starved = trend.starved_for;
            let known =
                Model { memory_mb: model.memory_mb, concurrency: trend.concurrency, need, starved, unused };
            (model.name.clone(), known)
        };
        let by_model: FxHashMap<Name, Model> = input.pool.models.iter().map(model).collect();
        let largest_mb = by_model.values().map(|model| model.memory_mb).fold(0.0, f64::max);
        Self { by_model, slots, largest_mb, unlisted_mb: input.pool.memory_mb }
    }

    fn model(&self, model: &Name) -> Model {
        self.by_model.get(model).copied().unwrap_or_default()
    }

    /// Whether the pool lists a model.
    pub(crate) fn lists(&self, model: &Name) -> bool {
        self.by_model.contains_key(model)
    }

    /// Memory of a copy, in MB.
    pub(crate) fn memory_mb(&self, model: &Name) -> f64 {
        self.by_model.get(model).map_or(self.unlisted_mb, |model| model.memory_mb)
    }

    /// Mean memory of a copy, in MB.
    pub(crate) fn mean_mb(&self) -> f64 {
        let sum: f64 = self.by_model.values().map(|model| model.memory_mb).sum();
        sum / self.by_model.len().max(1) as f64
    }

    /// Utility of one more copy beside `copies` others at engines without a rate limit: the requests that find
    /// no slot without it, and the load of the others. If all other copies are at engines with a rate limit, it
    /// counts like a first copy of a requested model.
    pub(crate) fn further(&self, model: &Name, copies: usize) -> f64 {
        let model = self.model(model);
        if copies == 0 {
            return UNSERVED_WEIGHT * model.need;
        }
        let unserved = |copies: usize| (model.concurrency - copies as f64 * self.slots).max(0.0);
        let served = unserved(copies) - unserved(copies + 1);
        UNSERVED_WEIGHT.mul_add(served / (self.slots * SLOTS_PER_COPY), model.need / copies as f64)
    }

    /// Utility of the first copy. It grows with the time for which callers have waited, so that each requested
    /// model gets a copy eventually.
    pub(crate) fn first(&self, model: &Name) -> f64 {
        let model = self.model(model);
        let wait_weight = 1.0 + model.starved.as_secs_f64() / WAIT_PER_WEIGHT.as_secs_f64();
        UNSERVED_WEIGHT * model.need.max(IDLE_NEED) * wait_weight
    }

    /// Utility of the last copy where the engines lack room for all models.
    pub(crate) fn last(&self, model: &Name) -> f64 {
        let model = self.model(model);
        let least = if model.unused { UNUSED_UTILITY } else { 0.0 };
        (UNSERVED_WEIGHT * model.need).max(least)
    }

    /// Time for which the callers of a model have waited while none was served.
    pub(crate) fn starved(&self, model: &Name) -> Duration {
        self.model(model).starved
    }

    /// Whether a model has had no request for a while although demand was observed.
    pub(crate) fn unused(&self, model: &Name) -> bool {
        self.model(model).unused
    }
}
