//! Collection of engines' reports, and their distribution within the zone.
//!
//! Each engine has one collector among the live entry VMs of its zone, which polls its reports. If more than
//! the load changed, the collector sends the full report to its zone immediately; otherwise it sends only the
//! load, with the next frame to each peer.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::effect::Effect;
use crate::engine::Report;
use crate::fleet;
use crate::inventory::Kind;
use crate::member;
use crate::name::Name;
use crate::peer::{Item, Load};
use crate::rendezvous;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// State of this module: the reports that this entry VM collects.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Engines whose collector is this entry VM.
    collected: BTreeSet<Name>,
    /// Engines with a timer set for their next poll.
    scheduled: BTreeSet<Name>,
    /// Reports as last sent to the zone, by engine.
    announced: BTreeMap<Name, Report>,
    /// Engines of the zone by the digest of their name; none where two engines have the same digest.
    digests: BTreeMap<u32, Option<Name>>,
    /// Time at which each peer was last asked for full reports.
    requested_at: BTreeMap<Name, Time>,
}

/// Short digest of an engine's name, used in frames within a zone.
fn name_digest(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Digest of everything in a report but the load.
fn report_digest(report: &Report) -> u32 {
    let mut bytes = Vec::with_capacity(256);
    let mut number = |number: u64| bytes.extend_from_slice(&number.to_le_bytes());
    number(report.incarnation.0);
    number(report.fence.0);
    number(report.role as u64);
    number(report.memory_mb);
    number(u64::from(report.draining));
    for ended in &report.ended {
        number(ended.order.by.0);
        number(ended.order.seq);
        number(u64::from(ended.done));
    }
    for copy in &report.copies {
        number(copy.memory_mb);
        number(copy.stage as u64);
    }
    for copy in &report.copies {
        bytes.extend_from_slice(copy.artifact.to_string().as_bytes());
        bytes.push(0);
    }
    xxh3_64(&bytes) as u32
}

/// Recomputes which engines this entry VM collects, after engines or entry VMs were added or removed.
pub(crate) fn assign_collectors(state: &mut State, now: Time) {
    let members: Vec<&str> = member::available_in_zone(state).collect();
    let groups = &state.config.catalog.groups;
    let engines = state.fleet.backends.values().filter(|backend| {
        backend.zone == state.me.zone
            && groups.get(&backend.group).is_some_and(|group| group.kind == Kind::Engine)
    });
    let mut digests = BTreeMap::new();
    let mut collected = BTreeSet::new();
    for engine in engines {
        digests
            .entry(name_digest(&engine.name))
            .and_modify(|same| *same = None)
            .or_insert_with(|| Some(engine.name.clone()));
        if rendezvous::pick(members.iter().copied(), &engine.name) == Some(state.me.vm.as_str()) {
            collected.insert(engine.name.clone());
        }
    }
    let interval = state.settings.poll_every;
    for engine in collected.iter().filter(|engine| !state.collect.scheduled.contains(*engine)) {
        let fraction = if state.collect.announced.is_empty() { 0.0 } else { state.rng.f64() };
        state.timers.set(now + interval.mul_f64(fraction), Timer::Poll(engine.clone()));
    }
    state.collect.scheduled.extend(collected.iter().cloned());
    state.collect.announced.retain(|engine, _| collected.contains(engine));
    state.collect.collected = collected;
    state.collect.digests = digests;
}

/// Polls an engine's report and schedules the next poll.
pub(crate) fn poll(state: &mut State, now: Time, engine: Name, out: &mut Vec<Effect>) {
    let backend = state.fleet.backends.get(&engine).filter(|_| state.collect.collected.contains(&engine));
    let Some(backend) = backend else {
        state.collect.scheduled.remove(&engine);
        return;
    };
    let (address, cache_from) = (backend.address, backend.cache_seq);
    out.push(Effect::Poll { engine: engine.clone(), address, cache_from });
    state.timers.set(now + state.settings.poll_every, Timer::Poll(engine));
}

/// Handles the report of an engine that this entry VM polled.
pub(crate) fn poll_answered(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    fleet::report_received(state, now, report, out);
    if !state.collect.collected.contains(&report.engine) {
        return;
    }
    let announced = state.collect.announced.get(&report.engine);
    if announced.is_some_and(|announced| report_digest(announced) == report_digest(report)) {
        return;
    }
    state.collect.announced.insert(report.engine.clone(), report.clone());
    member::send_to_zone(state, &[Item::Report(Box::new(report.clone()))], out);
}

/// Loads reported since the last frame. Unchanged loads are included, since they tell receivers that the
/// report is recent.
pub(crate) fn take_load_updates(state: &mut State) -> Option<Item> {
    let mut loads = Vec::new();
    for (engine, announced) in &mut state.collect.announced {
        let report = state.fleet.backends.get(engine).and_then(|backend| backend.report.as_ref());
        let Some(report) = report.filter(|report| report.seq > announced.seq) else {
            continue;
        };
        loads.push(Load {
            engine: name_digest(engine),
            report_digest: report_digest(report),
            seq: report.seq,
            running: report.running,
            waiting: report.waiting,
            tokens_per_second: report.tokens_per_second,
            requests: report.copies.iter().map(|copy| copy.requests).collect(),
        });
        announced.clone_from(report);
    }
    (!loads.is_empty()).then_some(Item::Loads(loads))
}

/// All reports as last sent to the zone, for a peer that has none.
pub(crate) fn all_reports(state: &State) -> Vec<Item> {
    state.collect.announced.values().map(|report| Item::Report(Box::new(report.clone()))).collect()
}

/// Handles loads from a collector. Asks it for full reports if one does not match the known report.
pub(crate) fn loads_received(
    state: &mut State,
    now: Time,
    from: &Name,
    loads: &[Load],
    out: &mut Vec<Effect>,
) {
    let mut has_mismatch = false;
    for load in loads {
        match apply_load(state, load) {
            Some(report) => fleet::report_received(state, now, &report, out),
            None => has_mismatch = true,
        }
    }
    let interval = member::frame_interval(state);
    let recently_requested = state.collect.requested_at.get(from).is_some_and(|at| now.since(*at) < interval);
    if has_mismatch && !recently_requested {
        state.collect.requested_at.insert(from.clone(), now);
        member::send(state, from, vec![Item::WantReports], out);
    }
}

/// The known report with the new load; none if the load belongs to another report.
fn apply_load(state: &State, load: &Load) -> Option<Report> {
    let name = state.collect.digests.get(&load.engine)?.as_ref()?;
    let known = state.fleet.backends.get(name)?.report.as_ref()?;
    if report_digest(known) != load.report_digest || known.copies.len() != load.requests.len() {
        return None;
    }
    let mut report = known.clone();
    report.seq = load.seq;
    report.running = load.running;
    report.waiting = load.waiting;
    report.tokens_per_second = load.tokens_per_second;
    for (copy, requests) in report.copies.iter_mut().zip(&load.requests) {
        copy.requests = *requests;
    }
    Some(report)
}
