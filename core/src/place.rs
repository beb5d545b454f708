//! Placement: which engine holds what, planned by the zone's lease holder.

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

/// How long this zone waits, for each zone that comes before it, before it loads what is nowhere.
const TURN: Duration = Duration::from_secs(20);
/// How long this zone waits before it loads what another zone held a moment ago.
const GRACE: Duration = Duration::from_secs(15);
/// How long other zones must have held an artifact before a copy here goes for their sake: a copy that
/// was lost there shows late, by the settings' defaults within some 5 s: an engine is offered for 3 s after its last
/// report, and zones tell each other what they hold every second or two. Each change of the lease begins the wait anew.
const STABLE_AFTER: Duration = Duration::from_secs(15);
/// How long what becomes free at an engine is kept for one artifact.
const KEPT: Duration = Duration::from_mins(1);
/// How long a copy is not dropped for the sake of demand after it was loaded.
const YOUNG: Duration = Duration::from_mins(5);

/// What placement remembers from plan to plan.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// What the memory that becomes free at an engine is for.
    kept: BTreeMap<Name, Kept>,
    /// Since when an artifact has been nowhere.
    absent: FxHashMap<Artifact, Time>,
    /// Since when other zones have been seen to hold an artifact.
    elsewhere_since: FxHashMap<Artifact, Time>,
    /// When copies were ordered.
    ordered: BTreeMap<(Name, Artifact), Time>,
    /// Loads that may begin, by the weight store's rate.
    tokens: f64,
    refilled: Time,
}

#[derive(Debug)]
struct Kept {
    artifact: Artifact,
    cause: Cause,
    since: Time,
}

/// A plan is due.
pub(crate) fn plan_due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.timers.set(now + state.settings.plan_every, Timer::Plan);
    demand::tick(state, now, out);
    close::tick(state, now, out);
    let Some(fence) = state.lease.fence(now) else {
        close::abandon(state);
        state.place.kept.clear();
        cut_off(state, now, out);
        return;
    };
    ledger::tick(state, now, out);
    let closed = close::due(state, now, out);
    let mut view = Input::new(state, now, fence);
    let mut orders: BTreeMap<Name, Vec<(Action, Cause)>> = BTreeMap::new();
    for (engine, artifact, cause) in closed {
        if view.may_unload(state, now, &engine, &artifact) {
            orders.entry(engine).or_default().push((Action::Unload { artifact }, cause));
        }
    }
    for step in make(state, now, &mut view) {
        match step {
            Step::Load { host, item, cause } => {
                let engine = view.engines[host].name.clone();
                let action = begin_load(state, now, &engine, &view.items[item]);
                orders.entry(engine).or_default().push((action, cause));
            }
            Step::Drop { host, artifact, cause } => {
                close::begin(state, now, &view.engines[host].name, &artifact, cause, out);
            }
            Step::Earmark { host, item, cause } => {
                let kept = Kept { artifact: view.items[item].artifact.clone(), cause, since: now };
                state.place.kept.insert(view.engines[host].name.clone(), kept);
            }
        }
    }
    ledger::record(state, fence, orders, out);
}

/// While the table is down nothing can be recorded. Engines that check fences may still be given what is
/// nowhere, into memory that is free, under the fence this process held last: the next holder raises
/// the number there and plans from a report made after that. Nothing is dropped.
fn cut_off(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let Some(fence) = state.lease.lapsed_fence(now).filter(|_| !state.table_up) else {
        return;
    };
    let mut view = Input::new(state, now, fence);
    for host in &mut view.engines {
        let backend = state.fleet.backends.get(&host.name);
        let checks = state.config.catalog.groups.get(&host.group).is_some_and(|group| group.checks_fences);
        let report = backend.and_then(|backend| backend.report.as_ref());
        if !checks || report.is_none_or(|report| report.fence != fence) {
            host.order_capacity = 0;
        }
    }
    for step in make(state, now, &mut view) {
        if let Step::Load { host, item, cause: Cause::Unreachable } = step {
            let engine = view.engines[host].name.clone();
            let action = begin_load(state, now, &engine, &view.items[item]);
            ledger::send_unrecorded(state, now, &engine, fence, action, Cause::Unreachable, out);
        }
    }
}

fn begin_load(state: &mut State, now: Time, engine: &Name, item: &Item) -> Action {
    let part = &mut state.place;
    part.tokens -= 1.0;
    part.kept.remove(engine);
    part.ordered.retain(|_, at| now.since(*at) < YOUNG);
    part.ordered.insert((engine.clone(), item.artifact.clone()), now);
    Action::Load { artifact: item.artifact.clone(), memory_mb: item.memory_mb }
}

/// Makes a plan.
fn make(state: &mut State, now: Time, view: &mut Input) -> Vec<Step> {
    view.distribute_load();
    note_absent(state, now, view);
    let loads = allowance(state, now, view);
    state.place.kept.retain(|_, kept| now.since(kept.since) < KEPT);
    let names: Vec<Name> = view.engines.iter().map(|host| host.name.clone()).collect();
    let ranks: Vec<u32> = view.items.iter().map(|item| item.zone_rank as u32).collect();
    let known = view.known_zones;
    let mut kept = Vec::new();
    for (engine, each) in &state.place.kept {
        let host = names.iter().position(|name| name == engine);
        let item = state.config.catalog.position(&each.artifact);
        kept.extend(host.zip(item).map(|(host, item)| (host, item, each.cause)));
    }
    let state = &*state;
    let entries = &state.config.catalog.entries;
    let report =
        |host: usize| state.fleet.backends.get(&names[host]).and_then(|backend| backend.report.as_ref());
    let bounds = Bounds {
        weights: state.config.document.rules.weights,
        loads,
        earmarks: &kept,
        recently_loaded: &|host, artifact| {
            state.place.ordered.contains_key(&(names[host].clone(), artifact.clone()))
        },
        turn_reached: &|item| {
            let since = state.place.absent.get(&entries[item].artifact).copied().unwrap_or(now);
            since <= now && now.since(since) >= TURN * ranks[item]
        },
        no_zone_has_room: &|item| no_zone_has_room(state, now, known, &entries[item].artifact),
        free_mb: &|host, item| {
            let artifact = &entries[item].artifact;
            report(host).map_or(0, |report| state.ledger.free_mb_for(report, artifact))
        },
    };
    let mut plan = Plan { input: view, bounds, steps: Vec::new() };
    plan.compute();
    plan.steps
}

/// Whether an artifact has been nowhere for so long that none of so many zones seems to have memory for it.
fn no_zone_has_room(state: &State, now: Time, known_zones: u32, artifact: &Artifact) -> bool {
    let since = state.place.absent.get(artifact).copied().unwrap_or(now);
    known_zones == 1 || (since <= now && now.since(since) >= TURN * known_zones)
}

/// Notes since when artifacts have had too few copies. One that another zone held until now is given
/// time: that zone may only be out of touch for a moment.
fn note_absent(state: &mut State, now: Time, view: &Input) {
    note_old_versions(state, now, view);
    let part = &mut state.place;
    for item in &view.items {
        if item.copies_elsewhere > 0 {
            part.elsewhere_since.entry(item.artifact.clone()).or_insert(now);
        }
        let lately = item.copies_elsewhere == 0 && part.elsewhere_since.remove(&item.artifact).is_some();
        if item.holders.len() as u32 + item.copies_elsewhere >= item.copies_min {
            part.absent.remove(&item.artifact);
            continue;
        }
        let since = if lately { now + GRACE } else { now };
        part.absent.entry(item.artifact.clone()).or_insert(since);
    }
}

/// Notes since when other zones hold versions too that are not declared any more.
fn note_old_versions(state: &mut State, now: Time, view: &Input) {
    let held = view.engines.iter().flat_map(|host| &host.copies);
    for old in held.filter(|held| held.item.is_none()) {
        if summary::zones_holding(state, now, &old.artifact).is_empty() {
            state.place.elsewhere_since.remove(&old.artifact);
        } else {
            state.place.elsewhere_since.entry(old.artifact.clone()).or_insert(now);
        }
    }
}

/// Loads that may begin now: this zone's part of what the weight store allows.
fn allowance(state: &mut State, now: Time, view: &Input) -> usize {
    let zones = view.live_zones as f64;
    let rate = state.settings.store_rate / zones;
    let slots = (state.settings.store_slots as usize / view.live_zones).max(1);
    let part = &mut state.place;
    let most = rate.max(1.0);
    part.tokens = (part.tokens + rate * now.since(part.refilled).as_secs_f64()).clamp(0.0, most);
    part.refilled = now;
    slots.saturating_sub(view.loads_running).min(part.tokens as usize)
}
