//! Processing of the hub's reply to a frame.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::de::DeserializeOwned;

use super::loads;
use super::message::{Position, Reply, Resident};
use super::{
    PendingFrame, START_DOUBLINGS, can_serve, config_version, follow, requeue_refusals, send, size_factor,
};
use crate::crash::{self, Report};
use crate::departure::{self, Answer, Source};
use crate::effect::Effect;
use crate::era;
use crate::evacuation;
use crate::event::Listing;
use crate::flow;
use crate::freshness::{self, Confirmation};
use crate::pack;
use crate::pin;
use crate::proof;
use crate::quota;
use crate::rate_limit;
use crate::record::Record;
use crate::rollout;
use crate::state::State;
use crate::suspicion;
use crate::tables;
use crate::timer::Timer;

/// Maximum number of engines whose residency is kept until their row arrives.
const EARLY_MAX: usize = 1_000;

/// The hub has replied, or could not be reached (`None`).
pub(crate) fn reply_received(state: &mut State, now: Time, reply: Option<Reply>, out: &mut Vec<Effect>) {
    let pending = state.hub.pending.take();
    if !can_serve(state) {
        schedule_lookup(state, now, reply.as_ref().is_some_and(|reply| reply.leads));
    }
    state.hub.last_unanswered = reply.is_none();
    let Some(mut reply) = reply else {
        return reply_missing(state, now, pending, out);
    };
    era::observe(state, now, reply.era, out);
    if state.lease.held_term(now).is_some() {
        return;
    }
    if reply.leads != state.hub.leads {
        let label = if reply.leads { "found" } else { "lapsed" };
        out.push(Effect::Record(Record::Hub { state: label, nodes: reply.nodes }));
    }
    state.hub.leads = reply.leads;
    state.hub.nodes = reply.nodes;
    state.hub.replied_at = Some(now);
    if let Some(members) = reply.members.take() {
        state.members.replace(now, members);
        state.hub.is_reader = state.members.is_reader(&state.me.vm);
    }
    if let Some(update) = reply.config.take() {
        rollout::receive(state, now, update, "hub", out);
    }
    state.evacuations.set_hub_digest(reply.evacuations_digest);
    evacuation::receive(state, now, &reply.evacuations, out);
    // The operator table is known up to that revision now.
    if reply.declaration.config == config_version(state) {
        state.config_revision = state.config_revision.max(reply.declaration.store);
    }
    // A reply to an earlier frame would be dated too late.
    let sent_at = pending.as_ref().filter(|pending| pending.number == reply.number).map(|pending| pending.at);
    let limits_reported = sent_at.and(pending.as_ref()).map_or(0, |pending| pending.limits);
    if let Some((sent_at, membership)) = sent_at.zip(reply.membership.take()) {
        state.members.confirm(now, sent_at, membership);
    }
    if let Some((sent_at, allotments)) = sent_at.zip(reply.quota.take()) {
        quota::apply_allotments(state, now, sent_at, allotments);
    }
    if let Some((sent_at, age)) = sent_at.zip(reply.declaration.age)
        && reply.declaration.config <= config_version(state)
    {
        proof::renew(state, now, sent_at - age, out);
    }
    state.hub.reported_versions = (reply.declaration.config, reply.engines_revision);
    let is_fresh = |age: Duration| age < state.settings.hub_store_age;
    // Entry VMs that read the store for the hub continue while the store rejects it.
    let reader_fresh = !state.hub.is_reader && reply.reader_age.is_some_and(is_fresh);
    state.hub.store_fresh = reply.leads && (is_fresh(reply.store_age) || reader_fresh);
    apply_engines(state, now, &mut reply, sent_at, out);
    if let Some((sent_at, builds)) = sent_at.zip(reply.builds.take()) {
        let settling_time = pin::settling_time(state);
        state.history.inherit(now, &builds, now.since(sent_at), settling_time);
    }
    for id in &reply.suspects {
        suspicion::check_if_used(state, now, id, out);
    }
    if reply.leads {
        let answer = Answer {
            term: reply.residency_version.term,
            reported_up_to: sent_at.and(pending.as_ref()).map_or(0, |pending| pending.departures),
            departing: reply.departures,
            version: reply.departures_version,
        };
        departure::hub_replied(state, now, &answer, out);
        state.rate_limits.hub_replied(reply.residency_version.term, limits_reported);
        for limit in &reply.limits {
            rate_limit::report_received(state, now, limit);
        }
        state.rate_limits.set_hub_version(reply.limits_version);
    } else {
        departure::notify_without_hub(state, out);
    }
    state.crashes.set_hub_digest(reply.crash_digest);
    crash::report_received(state, now, Report::of(reply.crash_entries), out);
    if reply.leads
        && let Some(residencies) =
            unpack_items(reply.residencies, &reply.residencies_packed, "residencies", out)
    {
        apply_residencies(state, reply.residency_version, residencies);
    }
    freshness::hub_replied(state, now, sent_at, out);
    follow(state, now, out);
    let waiting_before = state.waiting.len();
    flow::rescan_waiting(state, now, out);
    // A reply that brought something wasn't held until the remaining adapters were ready.
    let has_more_to_report =
        pending.is_some_and(|pending| pending.has_unreported_waits) || state.waiting.len() < waiting_before;
    if (has_more_to_report && !state.waiting.is_empty()) || (reply.leads && state.departures.has_unreported())
    {
        send(state, now, out);
    }
}

/// The hub didn't reply.
fn reply_missing(state: &mut State, now: Time, pending: Option<PendingFrame>, out: &mut Vec<Effect>) {
    requeue_refusals(state, pending);
    departure::notify_without_hub(state, out);
    if state.hub.leads && !state.hub.is_alive(now, &state.settings) {
        state.hub.leads = false;
        out.push(Effect::Record(Record::Hub { state: "lost", nodes: state.hub.nodes }));
    }
    follow(state, now, out);
}

/// Applies the hub's engine table and the loads of engines. `sent` is the time of the request.
fn apply_engines(
    state: &mut State,
    now: Time,
    reply: &mut Reply,
    sent_at: Option<Time>,
    out: &mut Vec<Effect>,
) {
    let by_name = reply.loads_by_position.is_empty();
    if !by_name {
        // Positions refer to the engines known before the new rows.
        loads::apply_by_position(state, reply.engines_digest, &reply.loads_by_position);
    }
    let confirmed = sent_at.zip(reply.engines_age);
    let is_complete = apply_rows(state, now, reply, confirmed.map(|(sent_at, age)| sent_at - age), out);
    if let Some((sent_at, age)) = confirmed.filter(|_| is_complete) {
        freshness::renew(state, now, Confirmation { asked: sent_at, age, source: "leader" }, out);
    }
    if by_name {
        loads::apply_by_name(state, std::mem::take(&mut reply.loads_by_name));
    }
}

/// Applies the hub's engine table, which contains all that the store had taken by `as_of`, if that time is known.
/// Returns whether all of it could be decoded.
fn apply_rows(
    state: &mut State,
    now: Time,
    reply: &mut Reply,
    as_of: Option<Time>,
    out: &mut Vec<Effect>,
) -> bool {
    let rows = std::mem::take(&mut reply.rows);
    if reply.engines_revision > state.engines_revision {
        let Some(rows) = unpack_items(rows, &reply.rows_packed, "engines", out) else {
            return false;
        };
        let listing = Listing { rows, version: reply.engines_revision, whole: reply.whole, as_of };
        tables::apply_listing(state, now, listing, Source::Reply, out);
        return true;
    }
    // The hub may have received some rows after its last reading of the table.
    tables::receive_rows(state, now, rows, Source::Reply, out);
    departure::drop_pending(state, out);
    if let Some(as_of) = as_of.filter(|_| state.hub.store_fresh && reply.era == state.era.number()) {
        tables::confirm_resurrected(state, now, as_of, out);
    }
    true
}

/// The packed and the plain items of a reply; `None` if the packed ones can't be decoded.
fn unpack_items<T: DeserializeOwned>(
    plain: Vec<T>,
    packed: &[u8],
    what: &'static str,
    out: &mut Vec<Effect>,
) -> Option<Vec<T>> {
    if packed.is_empty() {
        return Some(plain);
    }
    match pack::unpack::<Vec<T>>(packed) {
        Ok(mut all) => {
            all.extend(plain);
            Some(all)
        }
        Err(error) => {
            out.push(Effect::Record(Record::Unusable { what, error: error.to_string() }));
            None
        }
    }
}

/// This process doesn't have the data yet that it needs to serve. If the hub has no data either, it is asked again.
/// If the process asked is not the hub or doesn't answer, the hub is looked up again: after a restart of all entry
/// VMs the next one is there within 30 ms. The interval doubles each time, since all entry VMs may be asking, and
/// there may be no data yet.
fn schedule_lookup(state: &mut State, now: Time, leads: bool) {
    let wait =
        state.settings.start_lookup_interval.mul_f64(size_factor(state)) * (1 << state.hub.start_attempts);
    state.hub.start_attempts = (state.hub.start_attempts + 1).min(START_DOUBLINGS);
    state.timers.set(now + wait, if leads { Timer::FrameToNewHub } else { Timer::LeaseLookup });
}

/// Applies the residencies reported by the hub. Those reported by an earlier hub remain valid for all other engines:
/// no orders are given to them until the new hub has asked them what they hold.
fn apply_residencies(state: &mut State, version: Position, residencies: Vec<Resident>) {
    state.hub.residency_version = version;
    for resident in residencies {
        let known = state.engines.get_mut(&resident.engine);
        match known.filter(|known| known.entry.incarnation >= resident.incarnation) {
            Some(engine) => engine.set_residency(resident.incarnation, resident.residency),
            // The row is still to come, and the hub reports the residency only once.
            None if state.hub.early.len() < EARLY_MAX => {
                state.hub.early.insert(resident.engine.clone(), resident);
            }
            None => {}
        }
    }
}

/// Applies the residency that the hub reported for this start of an engine before the engine's row arrived.
pub(crate) fn apply_early_residency(state: &mut State, engine: &Name) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let incarnation = known.entry.incarnation;
    let Some(Resident { residency, .. }) =
        state.hub.early.remove(engine).filter(|early| early.incarnation == incarnation)
    else {
        return;
    };
    known.set_residency(incarnation, residency);
}
