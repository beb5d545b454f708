//! Placement: the lease holder of a zone plans which artifacts its engines hold.

mod explain;
mod input;
mod load;
mod plan;

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::artifact::Artifact;
use crate::audit::Cause;
use crate::close;
use crate::demand;
use crate::effect::Effect;
use crate::engine::Action;
use crate::ledger;
use crate::name::Name;
use crate::state::State;
use crate::summary;
use crate::time::Time;
use crate::timer::Timer;

pub(crate) use explain::describe;
use input::{Input, Item};
use plan::{Bounds, Plan, Step};

/// How long this zone waits, for each zone that ranks before it, before it loads an artifact without copies.
const ZONE_TURN: Duration = Duration::from_secs(20);
/// Additional wait before this zone loads an artifact of which another zone was just seen to hold copies: that
/// zone may only be unreachable for a moment.
const RECENT_COPY_WAIT: Duration = Duration::from_secs(15);
/// How long other zones must have held an artifact before a copy here is dropped because of theirs. The loss
/// of a copy in another zone is noticed late, with the default settings within about 5 s: an engine is used
/// for 3 s after its last report, and zones exchange what they hold every second or two. The wait restarts
/// with each change of the lease.
const STABLE_AFTER: Duration = Duration::from_secs(15);
/// How long memory that becomes free at an engine is earmarked for one artifact.
const EARMARK_TTL: Duration = Duration::from_mins(1);
/// Time after a load was ordered during which the copy is not dropped to meet the demand for another artifact.
const MIN_RESIDENCE: Duration = Duration::from_mins(5);

/// State that placement keeps from one plan to the next.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// The artifact for which memory that becomes free is earmarked, by engine.
    earmarks: BTreeMap<Name, Earmark>,
    /// Since when an artifact has had fewer copies than it needs. May lie in the future, by the additional
    /// wait.
    missing_since: FxHashMap<Artifact, Time>,
    /// Since when other zones have been seen to hold an artifact.
    elsewhere_since: FxHashMap<Artifact, Time>,
    /// When the load of a copy was ordered, by engine and artifact.
    load_ordered_at: BTreeMap<(Name, Artifact), Time>,
    /// Loads that may begin by the rate of the weight store (token bucket).
    load_tokens: f64,
    refilled: Time,
}

#[derive(Debug)]
struct Earmark {
    artifact: Artifact,
    cause: Cause,
    since: Time,
}

/// Makes a plan and orders its first steps, if this process holds the lease.
pub(crate) fn plan_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.plan_every, Timer::Plan);
    demand::tick(state, now, out);
    close::tick(state, now, out);
    let Some(fence) = state.lease.fence(now) else {
        close::abandon(state);
        state.place.earmarks.clear();
        load_without_table(state, now, out);
        return;
    };
    ledger::tick(state, now, out);
    let closed = close::due(state, now, out);
    let mut plan_input = Input::new(state, now, fence);
    let mut orders: BTreeMap<Name, Vec<(Action, Cause)>> = BTreeMap::new();
    for (engine, artifact, cause) in closed {
        if plan_input.may_unload(state, now, &engine, &artifact) {
            orders.entry(engine).or_default().push((Action::Unload { artifact }, cause));
        }
    }
    for step in compute_plan(state, now, &mut plan_input) {
        match step {
            Step::Load { engine, item, cause } => {
                let name = plan_input.engines[engine].name.clone();
                let action = begin_load(state, now, &name, &plan_input.items[item]);
                orders.entry(name).or_default().push((action, cause));
            }
            Step::Drop { engine, artifact, cause } => {
                close::begin(state, now, &plan_input.engines[engine].name, &artifact, cause, out);
            }
            Step::Earmark { engine, item, cause } => {
                let earmark =
                    Earmark { artifact: plan_input.items[item].artifact.clone(), cause, since: now };
                state.place.earmarks.insert(plan_input.engines[engine].name.clone(), earmark);
            }
        }
    }
    ledger::record(state, fence, orders, out);
}

/// Orders loads while the table is down, so that no order can be recorded. Only artifacts without a copy are
/// loaded, only into free memory, and only on engines that check fences, under the fence that this process
/// held last: the next holder raises the fence there and plans from a report made after that. Nothing is
/// dropped.
fn load_without_table(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let Some(fence) = state.lease.lapsed_fence(now).filter(|_| !state.table_up) else {
        return;
    };
    let mut plan_input = Input::new(state, now, fence);
    for candidate in &mut plan_input.engines {
        let backend = state.fleet.backends.get(&candidate.name);
        let checks =
            state.config.catalog.groups.get(&candidate.group).is_some_and(|group| group.checks_fences);
        let report = backend.and_then(|backend| backend.report.as_ref());
        if !checks || report.is_none_or(|report| report.fence != fence) {
            candidate.order_capacity = 0;
        }
    }
    for step in compute_plan(state, now, &mut plan_input) {
        if let Step::Load { engine, item, cause: Cause::Unreachable } = step {
            let name = plan_input.engines[engine].name.clone();
            let action = begin_load(state, now, &name, &plan_input.items[item]);
            ledger::send_unrecorded(state, now, &name, fence, action, Cause::Unreachable, out);
        }
    }
}

fn begin_load(state: &mut State, now: Time, engine: &Name, item: &Item) -> Action {
    let part = &mut state.place;
    part.load_tokens -= 1.0;
    part.earmarks.remove(engine);
    part.load_ordered_at.retain(|_, at| now.since(*at) < MIN_RESIDENCE);
    part.load_ordered_at.insert((engine.clone(), item.artifact.clone()), now);
    Action::Load { artifact: item.artifact.clone(), memory_mb: item.memory_mb }
}

/// Computes the steps of a plan.
fn compute_plan(state: &mut State, now: Time, plan_input: &mut Input) -> Vec<Step> {
    plan_input.distribute_load();
    update_missing(state, now, plan_input);
    let loads = loads_allowed(state, now, plan_input);
    state.place.earmarks.retain(|_, earmark| now.since(earmark.since) < EARMARK_TTL);
    let names: Vec<Name> = plan_input.engines.iter().map(|candidate| candidate.name.clone()).collect();
    let ranks: Vec<u32> = plan_input.items.iter().map(|item| item.zone_rank as u32).collect();
    let known = plan_input.known_zones;
    let mut earmarks = Vec::new();
    for (owner, earmark) in &state.place.earmarks {
        let engine = names.iter().position(|name| name == owner);
        let item = state.config.catalog.position(&earmark.artifact);
        earmarks.extend(engine.zip(item).map(|(engine, item)| (engine, item, earmark.cause)));
    }
    let state = &*state;
    let entries = &state.config.catalog.entries;
    let report =
        |engine: usize| state.fleet.backends.get(&names[engine]).and_then(|backend| backend.report.as_ref());
    let bounds = Bounds {
        weights: state.config.document.rules.weights,
        loads,
        earmarks: &earmarks,
        recently_loaded: &|engine, artifact| {
            state.place.load_ordered_at.contains_key(&(names[engine].clone(), artifact.clone()))
        },
        turn_reached: &|item| {
            let since = state.place.missing_since.get(&entries[item].artifact).copied().unwrap_or(now);
            since <= now && now.since(since) >= ZONE_TURN * ranks[item]
        },
        no_zone_has_room: &|item| no_zone_has_room(state, now, known, &entries[item].artifact),
        free_mb: &|engine, item| {
            let artifact = &entries[item].artifact;
            report(engine).map_or(0, |report| state.ledger.free_mb_for(report, artifact))
        },
    };
    let mut plan = Plan { input: plan_input, bounds, steps: Vec::new() };
    plan.compute();
    plan.steps
}

/// Returns whether an artifact has had too few copies for so long that each of the known zones has had its
/// turn, so that none of them seems to have memory for it.
fn no_zone_has_room(state: &State, now: Time, known_zones: u32, artifact: &Artifact) -> bool {
    let since = state.place.missing_since.get(artifact).copied().unwrap_or(now);
    known_zones == 1 || (since <= now && now.since(since) >= ZONE_TURN * known_zones)
}

/// Records since when artifacts have had too few copies. One that another zone held until now gets additional
/// time, since that zone may only be unreachable for a moment.
fn update_missing(state: &mut State, now: Time, plan_input: &Input) {
    update_old_versions(state, now, plan_input);
    let part = &mut state.place;
    for item in &plan_input.items {
        if item.copies_elsewhere > 0 {
            part.elsewhere_since.entry(item.artifact.clone()).or_insert(now);
        }
        let recently = item.copies_elsewhere == 0 && part.elsewhere_since.remove(&item.artifact).is_some();
        if item.holders.len() as u32 + item.copies_elsewhere >= item.copies_min {
            part.missing_since.remove(&item.artifact);
            continue;
        }
        let since = if recently { now + RECENT_COPY_WAIT } else { now };
        part.missing_since.entry(item.artifact.clone()).or_insert(since);
    }
}

/// Records since when other zones hold versions that are held here and no longer declared.
fn update_old_versions(state: &mut State, now: Time, plan_input: &Input) {
    let copies = plan_input.engines.iter().flat_map(|candidate| &candidate.copies);
    for old in copies.filter(|copy| copy.item.is_none()) {
        if summary::zones_holding(state, now, &old.artifact).is_empty() {
            state.place.elsewhere_since.remove(&old.artifact);
        } else {
            state.place.elsewhere_since.entry(old.artifact.clone()).or_insert(now);
        }
    }
}

/// Returns how many loads may begin now: the share of this zone in the rate and slots of the weight store.
fn loads_allowed(state: &mut State, now: Time, plan_input: &Input) -> usize {
    let zones = plan_input.live_zones as f64;
    let rate = state.settings.store_rate / zones;
    let slots = (state.settings.store_slots as usize / plan_input.live_zones).max(1);
    let part = &mut state.place;
    let burst = rate.max(1.0);
    part.load_tokens = (part.load_tokens + rate * now.since(part.refilled).as_secs_f64()).clamp(0.0, burst);
    part.refilled = now;
    slots.saturating_sub(plan_input.loads_running).min(part.load_tokens as usize)
}
