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
const GAIN: f64 = 1.5;
/// Cost of placing a copy at an engine for each request under way there, in copies needed.
const OPEN_COST: f64 = 0.03;
/// Cost of placing a copy for each other copy of the model in the same availability zone, in copies needed: a
/// zone that is cut off serves only the models that it holds.
const ZONE_COST: f64 = 0.8;
/// Lower bound for the maximum number of changes in one plan.
const MOVES: usize = 4;
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
pub fn plan_moves(view: Input<'_>) -> Vec<Move> {
    let most = view.moves_max();
    let mut placer = Placer::new(view);
    let mut out = Vec::new();
    while out.len() < most {
        let Some(step) = placer.next().or_else(|| placer.spare()) else {
            break;
        };
        placer.carry(&step);
        out.push(step);
    }
    out
}

/// The input of a plan with counted copies; each decided change is applied to both.
#[derive(Debug)]
struct Placer<'a> {
    view: Input<'a>,
    tally: Tally,
    worths: Utility,
    /// Whether the engines lack room for all models.
    short: bool,
}

/// An engine that can accept an order.
#[derive(Debug)]
struct Offer<'a> {
    spot: &'a Candidate,
    /// Copies that may be dropped there, by increasing utility.
    victims: Vec<Victim<'a>>,
}

/// A copy that may be dropped.
#[derive(Debug)]
struct Victim<'a> {
    model: &'a Name,
    memory_mb: f64,
    /// Utility lost when the copy is dropped.
    lost: f64,
    /// Whether it may be dropped only for a model whose callers have waited for at least `OVERDUE`.
    only_overdue: bool,
}

impl Offer<'_> {
    /// The copy with the lowest utility whose removal frees enough memory, and that utility.
    fn victim(&self, memory_mb: f64, overdue: bool) -> Option<(Option<&Name>, f64)> {
        let enough = |victim: &&Victim<'_>| {
            (overdue || !victim.only_overdue) && self.spot.free_mb + victim.memory_mb >= memory_mb
        };
        self.victims.iter().find(enough).map(|victim| (Some(victim.model), victim.lost))
    }
}

impl Input<'_> {
    fn busy(&self, model: &Name) -> f64 {
        self.demand.get(model).map_or(0.0, |trend| trend.concurrency)
    }

    /// Maximum number of changes in this plan: the number of loads that the weight store serves until the next
    /// plan.
    fn moves_max(&self) -> usize {
        let served = self.pool.loads_per_s * self.interval.as_secs_f64();
        (served.ceil() as usize).max(MOVES)
    }

    /// Whether demand has been observed for too short a time to drop a copy for a model that nobody waits for:
    /// an entry VM that has just begun to plan would mistake the busiest models for unused ones. Before the
    /// first request this does not matter.
    fn is_new_to_demand(&self) -> bool {
        let watched = !self.observed_for.is_zero() && self.observed_for < UNUSED;
        watched && !self.disabled.contains(&Mechanism::ObservedDrops)
    }

    /// Whether another load from the weight store would finish within its declared time. The number of loads
    /// that the store serves at once is the product of its rate and the time of one load (Little's law). Each
    /// load beyond that slows down all others, so that the model that is needed most arrives later. With six
    /// loads at once where two are served, the three copies of the busiest model were ready after 2 to 4.5 s
    /// instead of 1.2 s, as seen in a log with one record per second.
    fn cold_is_fast(&self, model: &Name) -> bool {
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
            busy: (self.busy(&model.name) * 10.0).round() / 10.0,
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
            idle: self.engines.iter().filter(|spot| spot.idle).count(),
            usable: self.engines.iter().filter(|spot| spot.usable).count(),
        }
    }
}

impl<'a> Placer<'a> {
    fn new(view: Input<'a>) -> Self {
        let worths = Utility::of(&view);
        let mean_mb = worths.mean_mb().max(1.0);
        let places = |spot: &Candidate| spot.copies.len() + (spot.free_mb / mean_mb).max(0.0) as usize;
        let room: usize = view.engines.iter().filter(|spot| spot.usable).map(places).sum();
        let short = view.pool.models.len() > room;
        Self { tally: Tally::of(&view.engines), worths, short, view }
    }

    /// The change with the highest utility.
    fn next(&self) -> Option<Move> {
        let mut wanted: Vec<(&Name, f64)> = Vec::new();
        for model in &self.view.pool.models {
            let worth = if self.tally.expected(&model.name) == 0 {
                self.worths.first(&model.name)
            } else {
                self.worths.further(&model.name, self.tally.expected_unlimited(&model.name))
            };
            wanted.push((&model.name, worth));
        }
        wanted.retain(|(_, worth)| *worth > 1.0);
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
        let offers = self.offers();
        wanted.iter().find_map(|(model, worth)| self.place(&offers, model, *worth))
    }

    /// Engines that can accept an order, each with the copies that may be dropped there.
    fn offers(&self) -> Vec<Offer<'_>> {
        let spots = self.view.engines.iter().filter(|spot| spot.usable && spot.idle && !spot.rate_limited);
        spots.map(|spot| Offer { spot, victims: self.victims(spot) }).collect()
    }

    /// The best engine for another copy of a model, if there is one.
    fn place(&self, offers: &[Offer<'_>], model: &Name, worth: f64) -> Option<Move> {
        let memory_mb = self.worths.memory_mb(model);
        let missing = self.tally.expected(model) == 0;
        let cold_left = if missing {
            self.view.cold_loads_left
        } else {
            ledger::cold_loads_beyond_reserve(self.view.cold_loads_left)
        };
        let from_store = cold_left > 0 && self.view.cold_is_fast(model);
        let waited_for = self.view.demand.get(model).is_some_and(|trend| trend.waiting > 0);
        // If the engines lack room for all models, a model that nobody waits for does not replace another.
        let spared = missing && !waited_for && (self.short || self.view.is_new_to_demand());
        let overdue = missing && waited_for && self.worths.starved(model) >= OVERDUE;
        let mut best: Option<(f64, &Offer<'_>, Option<&Name>)> = None;
        for offer in offers {
            let spot = offer.spot;
            let victim =
                if memory_mb <= spot.free_mb { Some((None, 0.0)) } else { offer.victim(memory_mb, overdue) };
            let Some((drop, lost)) = victim.filter(|(drop, lost)| {
                lost * GAIN <= worth && !(spared && drop.is_some()) && !spot.holds(model)
            }) else {
                continue;
            };
            let source = source(spot, model);
            if source == Source::Store && !from_store {
                continue;
            }
            let beside = self.tally.in_zone(model, &spot.zone) as f64 * ZONE_COST;
            let cost = lost + f64::from(spot.open_requests) * OPEN_COST + source.cost() + beside;
            if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, offer, drop));
            }
        }
        best.map(|(_, offer, drop)| Move {
            engine: offer.spot.engine.clone(),
            drop: drop.cloned(),
            load: Some(model.clone()),
        })
    }

    /// The copies at an engine that may be dropped, by increasing utility.
    fn victims<'b>(&self, spot: &'b Candidate) -> Vec<Victim<'b>> {
        let mut victims = Vec::with_capacity(spot.copies.len());
        for (model, phase) in &spot.copies {
            if *phase != Phase::Ready {
                continue;
            }
            let (lost, only_overdue) = match self.tally.ready(model) {
                2.. => {
                    (self.worths.further(model, self.tally.ready_unlimited(model).saturating_sub(1)), false)
                }
                _ if !self.worths.names(model) => (0.0, false),
                _ if spot.recently_loaded.contains(model) => continue,
                _ if self.short => (self.worths.last(model), false),
                _ if self.worths.unused(model) => (self.worths.last(model), true),
                _ => continue,
            };
            victims.push(Victim { model, memory_mb: self.worths.memory_mb(model), lost, only_overdue });
        }
        victims.sort_by(|a, b| a.lost.total_cmp(&b.lost));
        victims
    }

    /// The removal of an unused copy at an engine that lacks room for the largest model.
    fn spare(&self) -> Option<Move> {
        if self.view.disabled.contains(&Mechanism::EarlyDrop) {
            return None;
        }
        let largest_mb = self.worths.largest_mb;
        for spot in
            self.view.engines.iter().filter(|spot| spot.usable && spot.idle && spot.free_mb < largest_mb)
        {
            let unused = spot.copies.iter().find(|(model, phase)| {
                *phase == Phase::Ready && self.worths.unused(model) && self.tally.ready_unlimited(model) >= 2
            });
            if let Some((model, _)) = unused {
                return Some(Move { engine: spot.engine.clone(), drop: Some(model.clone()), load: None });
            }
        }
        None
    }

    /// Applies a change to the input and the counts.
    fn carry(&mut self, step: &Move) {
        let Self { view, tally, .. } = self;
        let Some(spot) = view.engines.iter_mut().find(|spot| spot.engine == step.engine) else {
            return;
        };
        spot.idle = false;
        if let Some(at) = spot.copies.iter().position(|(model, _)| Some(model) == step.drop.as_ref()) {
            let (model, phase) = spot.copies.swap_remove(at);
            tally.remove(&model, phase, &spot.zone);
        }
        let Some(model) = &step.load else {
            return;
        };
        spot.copies.push((model.clone(), Phase::Loading));
        tally.add(model, Phase::Loading, &spot.zone);
        if source(spot, model) == Source::Store {
            view.cold_loads_left = view.cold_loads_left.saturating_sub(1);
            view.cold_loads_running += 1;
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

fn source(spot: &Candidate, model: &Name) -> Source {
    if spot.cached.memory.contains(model) {
        Source::Memory
    } else if spot.cached.disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}
