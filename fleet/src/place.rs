//! Which models are to be moved where, for a given demand. It decides on one view and knows nothing else.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::config::{Model, Pool};
use crate::demand::Trend;
use crate::engine::{Cached, Phase};
use crate::ledger;
use crate::record::{Placed, Record};
use crate::settings::Mechanism;
use crate::tally::Tally;

/// Part of its time for which a copy's engine should read the model's prompts at most: streams stand still
/// meanwhile.
const READING_PER_COPY: f64 = 0.08;
/// Part of its slots that a copy should take at most.
const SLOTS_PER_COPY: f64 = 0.3;
/// How much more a request counts that finds no copy at all than one that finds a busy one.
const MISSING: f64 = 10.0;
/// What a model without any copy counts for if nobody asks for it.
const MISSING_MIN: f64 = 0.3;
/// How much busier the receiving model's copies must be than the giving model's would become.
const GAIN: f64 = 1.5;
/// What a request under way speaks against an engine, in copies needed.
const OPEN_COST: f64 = 0.03;
/// What a copy in the same availability zone speaks against a place, in copies needed: a zone that is cut off
/// serves only what it holds.
const ZONE_COST: f64 = 0.8;
/// Changes decided on in one plan.
const MOVES_MAX: usize = 4;
/// Time without a request after which a model counts as unused, and for which demand must have been watched.
const UNUSED: Duration = Duration::from_secs(2);
/// One engine in this many may be loading a model ahead of demand: a load keeps it from other orders.
const AHEAD_PART: usize = 4;
/// Models in one line of the log.
const MODELS_LOGGED: usize = 8;
/// Loads from the weight store that must be left, beyond the reserve, for one ahead of demand.
const COLD_FOR_AHEAD: usize = 3;
/// Engines that a model's weights are brought to ahead of demand, as a part of all.
const AHEAD_SPREAD: f64 = 0.7;

/// What a plan is made from.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The sizes.
    pub pool: &'a Pool,
    /// The engines.
    pub spots: Vec<Spot>,
    /// How much each model is asked for.
    pub demand: BTreeMap<Name, Trend>,
    /// Loads from the weight store that may begin now.
    pub cold_left: usize,
    /// Loads from the weight store under way.
    pub cold_running: usize,
    /// How long demand has been watched.
    pub watched: Duration,
    /// Now.
    pub now: Time,
    /// Mechanisms that are switched off.
    pub without: &'a [Mechanism],
}

/// An engine, as a plan sees it.
#[derive(Clone, Debug, Default)]
pub struct Spot {
    /// Its id.
    pub engine: Name,
    /// Whether it serves and will go on to.
    pub usable: bool,
    /// Whether it can be given an order.
    pub idle: bool,
    /// What it holds.
    pub copies: Vec<(Name, Phase)>,
    /// Memory that nothing takes, in MB.
    pub free_mb: f64,
    /// Copies of weights that it can load without the weight store.
    pub cached: Cached,
    /// Requests under way there.
    pub open: u32,
    /// Its availability zone.
    pub zone: Name,
}

/// A change at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub engine: Name,
    /// The model that makes way.
    pub drop: Option<Name>,
    /// The model that comes.
    pub load: Option<Name>,
}

/// What is to be changed now.
#[must_use]
pub fn moves(view: View<'_>) -> Vec<Move> {
    let mut placer = Placer { tally: Tally::of(&view.spots), view };
    let mut out = Vec::new();
    while out.len() < MOVES_MAX {
        let Some(step) = placer.next().or_else(|| placer.spare()).or_else(|| placer.ahead()) else {
            break;
        };
        placer.carry(&step);
        out.push(step);
    }
    out
}

/// A view, with the copies in it counted, to which decided changes are added.
#[derive(Debug)]
struct Placer<'a> {
    view: View<'a>,
    tally: Tally,
}

impl View<'_> {
    fn busy(&self, model: &Name) -> f64 {
        self.demand.get(model).map_or(0.0, |trend| trend.busy)
    }

    /// Copies that a model should have, by what it is asked for.
    fn need(&self, model: &Name) -> f64 {
        let slots = f64::from(self.pool.slots.max(1)) * SLOTS_PER_COPY;
        self.demand.get(model).map_or(0.0, |trend| (trend.reading / READING_PER_COPY).max(trend.busy / slots))
    }

    /// Whether so little is known of demand that no copy should make way for a model that nobody waits for: one that has
    /// just begun to plan takes the busiest models for quiet ones. Before there is any demand, nothing else matters.
    fn is_new_to_demand(&self) -> bool {
        let watched = !self.watched.is_zero() && self.watched < UNUSED;
        watched && !self.without.contains(&Mechanism::WatchedDrops)
    }

    /// Whether another load from the weight store would take as long as is declared. The store serves as many at once as
    /// its rate and the time of a load come to (Little's law); each beyond them makes all slower, so that the model
    /// that is needed most comes later. With six at once where two are served, the busiest model's three copies were there
    /// after 2 to 4.5 s and not after 1.2 s, by a log with a line a second.
    fn cold_is_fast(&self, model: &Name) -> bool {
        if self.without.contains(&Mechanism::BoundedLoads) {
            return true;
        }
        let load_s = self.pool.model(model).map_or(0.0, |model| model.cold.as_secs_f64());
        (self.cold_running as f64) < (self.pool.loads_per_s * load_s).max(1.0)
    }

    /// Whether nobody has asked for a model for a while, though others were asked for.
    fn unused(&self, model: &Name) -> bool {
        let asked = self.demand.get(model).and_then(|trend| trend.asked);
        self.watched >= UNUSED && asked.is_none_or(|at| self.now.since(at) >= UNUSED)
    }

    /// What is logged of it.
    pub(crate) fn record(&self, service: &Name) -> Record {
        let tally = Tally::of(&self.spots);
        let placed = |model: &Model| Placed {
            model: model.name.clone(),
            busy: (self.busy(&model.name) * 10.0).round() / 10.0,
            ready: tally.ready(&model.name),
            loading: tally.loading(&model.name),
            closing: tally.closing(&model.name),
        };
        let mut models: Vec<Placed> = self.pool.models.iter().map(placed).collect();
        models.sort_by(|a, b| b.busy.total_cmp(&a.busy));
        models.truncate(MODELS_LOGGED);
        Record::Placement {
            service: service.clone(),
            models,
            cold_left: self.cold_left,
            idle: self.spots.iter().filter(|spot| spot.idle).count(),
            usable: self.spots.iter().filter(|spot| spot.usable).count(),
        }
    }
}

impl Placer<'_> {
    /// The change that helps most.
    fn next(&self) -> Option<Move> {
        let mut wanted: Vec<(&Name, f64)> = Vec::new();
        for model in &self.view.pool.models {
            let copies = self.tally.expected(&model.name);
            let need = self.view.need(&model.name);
            if copies == 0 {
                wanted.push((&model.name, MISSING * need.max(MISSING_MIN)));
            } else if need / copies as f64 > 1.0 {
                wanted.push((&model.name, need / copies as f64));
            }
        }
        wanted.sort_by(|a, b| b.1.total_cmp(&a.1));
        wanted.iter().find_map(|(model, pressure)| self.place(model, *pressure))
    }

    /// The best place for another copy of a model.
    fn place(&self, model: &Name, pressure: f64) -> Option<Move> {
        let memory_mb = self.view.pool.model(model)?.memory_mb;
        let missing = self.tally.expected(model) == 0;
        let cold_left =
            if missing { self.view.cold_left } else { ledger::beyond_reserve(self.view.cold_left) };
        let waited_for = self.view.demand.get(model).is_some_and(|trend| trend.waiting > 0);
        let spared = missing && !waited_for && self.view.is_new_to_demand();
        let mut best: Option<(f64, Move)> = None;
        for spot in self.view.spots.iter().filter(|spot| spot.usable && spot.idle) {
            if spot.copies.iter().any(|(held, _)| held == model) {
                continue;
            }
            let source = source(spot, model);
            if source == Source::Store && (cold_left == 0 || !self.view.cold_is_fast(model)) {
                continue;
            }
            let (drop, lost) = if memory_mb <= spot.free_mb {
                (None, 0.0)
            } else if spared {
                continue;
            } else {
                let Some((victim, lost)) = self.victim(spot, memory_mb) else {
                    continue;
                };
                (Some(victim), lost)
            };
            if lost * GAIN > pressure {
                continue;
            }
            let beside = self.tally.in_zone(model, &spot.zone) as f64 * ZONE_COST;
            let cost = lost + f64::from(spot.open) * OPEN_COST + source.cost() + beside;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, Move { engine: spot.engine.clone(), drop, load: Some(model.clone()) }));
            }
        }
        best.map(|(_, step)| step)
    }

    /// The model that can best be spared at an engine, and how busy its other copies would become.
    fn victim(&self, spot: &Spot, memory_mb: f64) -> Option<(Name, f64)> {
        let mut best: Option<(Name, f64)> = None;
        for (model, phase) in &spot.copies {
            let size = self.view.pool.model(model).map_or(self.view.pool.memory_mb, |model| model.memory_mb);
            if *phase != Phase::Ready || spot.free_mb + size < memory_mb {
                continue;
            }
            let declared = self.view.pool.model(model).is_some();
            let ready = self.tally.ready(model);
            if declared && ready < 2 {
                continue;
            }
            let lost = self.view.need(model) / (ready.max(2) - 1) as f64;
            if best.as_ref().is_none_or(|(_, least)| lost < *least) {
                best = Some((model.clone(), lost));
            }
        }
        best
    }

    /// A copy that nobody uses, at an engine without room for any other model.
    fn spare(&self) -> Option<Move> {
        if self.view.without.contains(&Mechanism::EarlyDrop) {
            return None;
        }
        let largest = self.view.pool.models.iter().map(|model| model.memory_mb).fold(0.0, f64::max);
        for spot in self.view.spots.iter().filter(|spot| spot.usable && spot.idle && spot.free_mb < largest) {
            let unused = spot.copies.iter().find(|(model, phase)| {
                *phase == Phase::Ready && self.view.unused(model) && self.tally.ready(model) >= 2
            });
            if let Some((model, _)) = unused {
                return Some(Move { engine: spot.engine.clone(), drop: Some(model.clone()), load: None });
            }
        }
        None
    }

    /// A model to load where it never was, into a room that is free.
    fn ahead(&self) -> Option<Move> {
        if self.view.without.contains(&Mechanism::LoadsAhead) {
            return None;
        }
        if ledger::beyond_reserve(self.view.cold_left) < COLD_FOR_AHEAD {
            return None;
        }
        let loading = |spot: &&Spot| spot.copies.iter().any(|(_, phase)| *phase == Phase::Loading);
        let in_use = !self.view.watched.is_zero();
        let limit = if in_use { self.view.spots.len() / AHEAD_PART } else { self.view.spots.len() };
        if self.view.spots.iter().filter(loading).count() >= limit {
            return None;
        }
        let enough = self.view.spots.len() as f64 * AHEAD_SPREAD;
        let near = |model: &Name| self.view.spots.iter().filter(|spot| keeps(spot, model)).count();
        let mut models: Vec<(usize, &Name, f64)> = Vec::new();
        for model in &self.view.pool.models {
            let count = near(&model.name);
            if (count as f64) < enough {
                models.push((count, &model.name, model.memory_mb));
            }
        }
        models.sort_by_key(|(count, ..)| *count);
        models.iter().filter(|(_, model, _)| self.view.cold_is_fast(model)).find_map(
            |(_, model, memory_mb)| {
                let fits = |spot: &&Spot| {
                    spot.usable && spot.idle && spot.free_mb >= *memory_mb && !keeps(spot, model)
                };
                let spot = self
                    .view
                    .spots
                    .iter()
                    .filter(fits)
                    .min_by_key(|spot| (spot.open, spot.cached.disk.len()))?;
                Some(Move { engine: spot.engine.clone(), drop: None, load: Some((*model).clone()) })
            },
        )
    }

    /// Takes a change as done.
    fn carry(&mut self, step: &Move) {
        let Self { view, tally } = self;
        let Some(spot) = view.spots.iter_mut().find(|spot| spot.engine == step.engine) else {
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
            view.cold_left = view.cold_left.saturating_sub(1);
            view.cold_running += 1;
        }
    }
}

/// Where an engine gets a model's weights from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Memory,
    Disk,
    Store,
}

impl Source {
    /// How much it speaks against a place, in copies needed.
    const fn cost(self) -> f64 {
        match self {
            Self::Memory => 0.0,
            Self::Disk => 0.1,
            Self::Store => 1.0,
        }
    }
}

/// Whether an engine holds a model or keeps its weights.
fn keeps(spot: &Spot, model: &Name) -> bool {
    source(spot, model) != Source::Store || spot.copies.iter().any(|(held, _)| held == model)
}

fn source(spot: &Spot, model: &Name) -> Source {
    if spot.cached.memory.contains(model) {
        Source::Memory
    } else if spot.cached.disk.contains(model) {
        Source::Disk
    } else {
        Source::Store
    }
}
