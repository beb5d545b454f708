//! Computes which copies of models to load and drop for a given demand. The result depends on the input of the
//! plan alone.

mod utility;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::config::{Model, Pool};
use crate::demand::Trend;
use crate::engine::{Cached, Phase};
use crate::ledger;
use crate::record::{Placement, Record};
use crate::settings::Mechanism;
use crate::tally::Tally;

use utility::Utility;

/// Minimum ratio of the utility of a new copy to the utility of the copy that it replaces.
const MIN_GAIN: f64 = 1.5;
/// Cost of placing a copy at an engine for each request under way there, in copies needed.
const OPEN_COST: f64 = 0.03;
/// Cost of placing a copy for each other copy of the model in the same availability zone, in copies needed: a
/// zone that is cut off serves only the models that it holds.
const ZONE_COST: f64 = 0.8;
/// Lower bound for the maximum number of changes in one plan.
const MOVES_MIN: usize = 4;
/// Time without a request after which a model counts as unused; demand must have been observed for at least as
/// long.
const UNUSED: Duration = Duration::from_secs(2);
/// Waiting time after which a model without any copy may replace the last copy of an unused model. This applies
/// where all models would have room, but further copies of other models have taken it; the waiting callers are
/// being refused meanwhile.
const OVERDUE: Duration = Duration::from_secs(2);
/// Maximum number of models in one log record.
const MODELS_LOGGED: usize = 8;

/// Input of a plan.
#[derive(Clone, Debug)]
pub struct Input<'a> {
    /// Configuration of the pool: sizes, load times and limits of its models and engines.
    pub pool: &'a Pool,
    /// Engines of the pool.
    pub engines: Vec<Candidate>,
    /// Smoothed demand by model.
    pub demand: BTreeMap<Name, Trend>,
    /// Number of loads from the weight store that may begin now.
    pub cold_loads_left: usize,
    /// Number of loads from the weight store under way.
    pub cold_loads_running: usize,
    /// Time for which demand has been observed.
    pub observed_for: Duration,
    /// Time from one plan to the next.
    pub interval: Duration,
    /// Current time.
    pub now: Time,
    /// Mechanisms that are disabled.
    pub disabled: &'a [Mechanism],
}

/// State of an engine at the time of a plan.
#[derive(Clone, Debug, Default)]
pub struct Candidate {
    /// Id of the engine.
    pub engine: Name,
    /// Whether it serves requests and is expected to continue.
    pub usable: bool,
    /// Whether it has announced a limit of requests per second. Its copies serve few requests, and it gets no
    /// further copies.
    pub rate_limited: bool,
    /// Whether it can accept an order now.
    pub idle: bool,
    /// Copies at the engine, present or expected, with their phases.
    pub copies: Vec<(Name, Phase)>,
    /// Models whose copies have been ready for less than their minimum residence time.
    pub recently_loaded: Vec<Name>,
    /// Free memory, in MB.
    pub free_mb: f64,
    /// Weights that it can load without the weight store.
    pub cached: Cached,
    /// Number of requests under way at the engine.
    pub open_requests: u32,
    /// Availability zone of the engine.
    pub zone: Name,
}

impl Candidate {
    /// Whether it holds a model or is expected to.
    fn holds(&self, model: &Name) -> bool {
        self.copies.iter().any(|(held, _)| held == model)
    }
}

/// A change of the copies at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Id of the engine.
    pub engine: Name,
    /// Model to drop.
    pub drop: Option<Name>,
    /// Model to load.
    pub load: Option<Name>,
}

/// Returns the changes to make now, the most useful first.
#[must_use]
pub fn plan_moves(input: Input<'_>) -> Vec<Move> {
    let most = input.moves_max();
    let mut planner = Planner::new(input);
    let mut out = Vec::new();
    while out.len() < most {
        let Some(step) = planner.next().or_else(|| planner.unused_copy()) else {
            break;
        };
        planner.apply(&step);
        out.push(step);
    }
    out
}

/// The input of a plan with counted copies; each decided change is applied to both.
#[derive(Debug)]
struct Planner<'a> {
    input: Input<'a>,
    tally: Tally,
    utility: Utility,
    /// Whether the engines lack room for all models.
    lacks_room: bool,
}

/// An engine that can accept an order.
#[derive(Debug)]
struct IdleEngine<'a> {
    candidate: &'a Candidate,
    /// Copies that may be dropped there, by increasing utility.
    victims: Vec<Victim<'a>>,
}

/// A copy that may be dropped.
#[derive(Debug)]
struct Victim<'a> {
    model: &'a Name,
    memory_mb: f64,
    /// Utility lost when the copy is dropped.
    utility_lost: f64,
    /// Whether it may be dropped only for a model whose callers have waited for at least `OVERDUE`.
    only_overdue: bool,
}

impl IdleEngine<'_> {
    /// The copy with the lowest utility whose removal frees enough memory, and that utility.
    fn victim(&self, memory_mb: f64, overdue: bool) -> Option<(Option<&Name>, f64)> {
        let enough = |victim: &&Victim<'_>| {
            (overdue || !victim.only_overdue) && self.candidate.free_mb + victim.memory_mb >= memory_mb
        };
        self.victims.iter().find(enough).map(|victim| (Some(victim.model), victim.utility_lost))
    }
}

impl Input<'_> {
    fn concurrency(&self, model: &Name) -> f64 {
        self.demand.get(model).map_or(0.0, |trend| trend.concurrency)
    }

    /// Maximum number of changes in this plan: the number of loads that the weight store serves until the next
    /// plan.
    fn moves_max(&self) -> usize {
        let served = self.pool.loads_per_s * self.interval.as_secs_f64();
        (served.ceil() as usize).max(MOVES_MIN)
    }

    /// Whether demand has been observed for too short a time to drop a copy for a model that nobody waits for:
    /// a new hub would mistake the busiest models for unused ones. Before the first request this does not
    /// matter.
    fn lacks_demand_history(&self) -> bool {
        let observed = !self.observed_for.is_zero() && self.observed_for < UNUSED;
        observed && !self.disabled.contains(&Mechanism::ObservedDrops)
    }

    /// Whether another load from the weight store would finish within its declared time. The number of loads
    /// that the store serves at once is the product of its rate and the time of one load (Little's law). Each
    /// load beyond that slows down all others, so that the model that is needed most arrives later. With six
    /// loads at once where two are served, the three copies of the busiest model were ready after 2 to 4.5 s
    /// instead of 1.2 s, as seen in a log with one record per second.
    fn store_has_capacity(&self, model: &Name) -> bool {
        if self.disabled.contains(&Mechanism::BoundedLoads) {
            return true;
        }
        let load_s = self.pool.model(model).map_or(0.0, |model| model.cold.as_secs_f64());
        (self.cold_loads_running as f64) < (self.pool.loads_per_s * load_s).max(1.0)
    }

    /// Whether a model has had no request for a while although demand was observed.
    fn unused(&self, model: &Name) -> bool {
        let asked = self.demand.get(model).and_then(|trend| trend.last_requested);
        self.observed_for >= UNUSED && asked.is_none_or(|at| self.now.since(at) >= UNUSED)
    }

    /// Log record of the placement.
    pub(crate) fn record(&self, service: &Name) -> Record {
        let tally = Tally::of(&self.engines);
        let placed = |model: &Model| Placement {
            model: model.name.clone(),
            busy: (self.concurrency(&model.name) * 10.0).round() / 10.0,
            ready: tally.ready(&model.name),
            loading: tally.loading(&model.name),
            closing: tally.closing(&model.name),
        };
        let mut models: Vec<Placement> = self.pool.models.iter().map(placed).collect();
        models.sort_by(|a, b| b.busy.total_cmp(&a.busy));
        models.truncate(MODELS_LOGGED);
        Record::Placement {
            service: service.clone(),
            models,
            cold_left: self.cold_loads_left,
            idle: self.engines.iter().filter(|candidate| candidate.idle).count(),
            usable: self.engines.iter().filter(|candidate| candidate.usable).count(),
        }
    }
}

impl<'a> Planner<'a> {
    fn new(input: Input<'a>) -> Self {
        let utility = Utility::of(&input);
        let mean_mb = utility.mean_mb().max(1.0);
        let places =
            |candidate: &Candidate| candidate.copies.len() + (candidate.free_mb / mean_mb).max(0.0) as usize;
        let room: usize = input.engines.iter().filter(|candidate| candidate.usable).map(places).sum();
        let lacks_room = input.pool.models.len() > room;
        Self { tally: Tally::of(&input.engines), utility, lacks_room, input }
    }

    /// The change with the highest utility.
    fn next(&self) -> Option<Move> {
        let mut wanted: Vec<(&Name, f64)> = Vec::new();
        for model in &self.input.pool.models {
            let utility = if self.tally.expected(&model.name) == 0 {
                self.utility.first(&model.name)
            } else {
                self.utility.further(&model.name, self.tally.expected_unlimited(&model.name))
            };
            wanted.push((&model.name, utility));
        }
        wanted.retain(|(_, utility)| *utility > 1.0);
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
        let idle_engines = self.idle_engines();
        wanted.iter().find_map(|(model, utility)| self.best_placement(&idle_engines, model, *utility))
    }

    /// Engines that can accept an order, each with the copies that may be dropped there.
    fn idle_engines(&self) -> Vec<IdleEngine<'_>> {
        let candidates = self
            .input
            .engines
            .iter()
            .filter(|candidate| candidate.usable && candidate.idle && !candidate.rate_limited);
        candidates.map(|candidate| IdleEngine { candidate, victims: self.victims(candidate) }).collect()
    }

    /// The best engine for another copy of a model, if there is one.
    fn best_placement(&self, idle_engines: &[IdleEngine<'_>], model: &Name, utility: f64) -> Option<Move> {
        let memory_mb = self.utility.memory_mb(model);
        let missing = self.tally.expected(model) == 0;
        let cold_left = if missing {
            self.input.cold_loads_left
        } else {
            ledger::cold_loads_beyond_reserve(self.input.cold_loads_left)
        };
        let from_store = cold_left > 0 && self.input.store_has_capacity(model);
        let waited_for = self.input.demand.get(model).is_some_and(|trend| trend.waiting > 0);
        // If the engines lack room for all models, a model that nobody waits for does not replace another.
        let must_not_replace =
            missing && !waited_for && (self.lacks_room || self.input.lacks_demand_history());
        let overdue = missing && waited_for && self.utility.starved(model) >= OVERDUE;
        let mut best: Option<(f64, &IdleEngine<'_>, Option<&Name>)> = None;
        for idle_engine in idle_engines {
            let candidate = idle_engine.candidate;
            let victim = if memory_mb <= candidate.free_mb {
                Some((None, 0.0))
            } else {
                idle_engine.victim(memory_mb, overdue)
            };
            let Some((drop, utility_lost)) = victim.filter(|(drop, utility_lost)| {
                utility_lost * MIN_GAIN <= utility
                    && !(must_not_replace && drop.is_some())
                    && !candidate.holds(model)
            }) else {
                continue;
            };
            let source = source(candidate, model);
            if source == Source::Store && !from_store {
                continue;
            }
            let zone_cost = self.tally.in_zone(model, &candidate.zone) as f64 * ZONE_COST;
            let cost =
                utility_lost + f64::from(candidate.open_requests) * OPEN_COST + source.cost() + zone_cost;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, idle_engine, drop));
            }
        }
        best.map(|(_, idle_engine, drop)| Move {
            engine: idle_engine.candidate.engine.clone(),
            drop: drop.cloned(),
            load: Some(model.clone()),
        })
    }

    /// The copies at an engine that may be dropped, by increasing utility.
    fn victims<'b>(&self, candidate: &'b Candidate) -> Vec<Victim<'b>> {
        let mut victims = Vec::with_capacity(candidate.copies.len());
        for (model, phase) in &candidate.copies {
            if *phase != Phase::Ready {
                continue;
            }
            let (utility_lost, only_overdue) = match self.tally.ready(model) {
                2.. => {
                    (self.utility.further(model, self.tally.ready_unlimited(model).saturating_sub(1)), false)
                }
                _ if !self.utility.lists(model) => (0.0, false),
                _ if candidate.recently_loaded.contains(model) => continue,
                _ if self.lacks_room => (self.utility.last(model), false),
                _ if self.utility.unused(model) => (self.utility.last(model), true),
                _ => continue,
            };
            victims.push(Victim {
                model,
                memory_mb: self.utility.memory_mb(model),
                utility_lost,
                only_overdue,
            });
        }
        victims.sort_by(|a, b| a.utility_lost.total_cmp(&b.utility_lost));
        victims
    }

    /// The removal of an unused copy at an engine that lacks room for the largest model.
    fn unused_copy(&self) -> Option<Move> {
        if self.input.disabled.contains(&Mechanism::EarlyDrop) {
            return None;
        }
        let largest_mb = self.utility.largest_mb;
        for candidate in self
            .input
            .engines
            .iter()
            .filter(|candidate| candidate.usable && candidate.idle && candidate.free_mb < largest_mb)
        {
            let unused = candidate.copies.iter().find(|(model, phase)| {
                *phase == Phase::Ready && self.utility.unused(model) && self.tally.ready_unlimited(model) >= 2
            });
            if let Some((model, _)) = unused {
                return Some(Move {
                    engine: candidate.engine.clone(),
                    drop: Some(model.clone()),
                    load: None,
                });
            }
        }
        None
    }

    /// Applies a change to the input and the counts.
    fn apply(&mut self, step: &Move) {
        let Self { input, tally, .. } = self;
        let Some(candidate) = input.engines.iter_mut().find(|candidate| candidate.engine == step.engine)
        else {
            return;
        };
        candidate.idle = false;
        if let Some(at) = candidate.copies.iter().position(|(model, _)| Some(model) == step.drop.as_ref()) {
            let (model, phase) = candidate.copies.swap_remove(at);
            tally.remove(&model, phase, &candidate.zone);
        }
        let Some(model) = &step.load else {
            return;
        };
        candidate.copies.push((model.clone(), Phase::Loading));
        tally.add(model, Phase::Loading, &candidate.zone);
        if source(candidate, model) == Source::Store {
            input.cold_loads_left = input.cold_loads_left.saturating_sub(1);
            input.cold_loads_running += 1;
        }
    }
}

/// The source from which an engine loads a model's weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Memory,
    Disk,
    Store,
}

impl Source {
    /// Cost of placing a copy that is loaded from this source, in copies needed.
    const fn cost(self) -> f64 {
        match self {
            Self::Memory => 0.0,
            Self::Disk => 0.1,
            Self::Store => 1.0,
        }
    }
}

fn source(candidate: &Candidate, model: &Name) -> Source {
    if candidate.cached.memory.contains(model) {
        Source::Memory
    } else if candidate.cached.disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}
