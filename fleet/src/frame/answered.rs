//! Processing of the hub's reply to a frame.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::de::DeserializeOwned;

use super::loads;
use super::message::{Reply, Resident, View};
use super::{Asking, START_DOUBLINGS, follow, knows, many, send, tell_again, version};
use crate::crash::{self, News};
use crate::departure::{self, Answer, Road};
use crate::effect::Effect;
use crate::entries;
use crate::era;
use crate::evacuation;
use crate::event::Listing;
use crate::flow;
use crate::freshness::{self, Word};
use crate::intake;
use crate::pack;
use crate::pin;
use crate::proof;
use crate::quota;
use crate::record::Record;
use crate::rollout;
use crate::state::State;
use crate::timer::Timer;
use crate::trust;

/// Maximum number of engines whose residency is kept until their row arrives.
const EARLY_MAX: usize = 1_000;

/// The hub has replied, or could not be reached (`None`).
pub(crate) fn replied(state: &mut State, now: Time, reply: Option<Reply>, out: &mut Vec<Effect>) {
    let asked = state.hub.asking.take();
    if !knows(state) {
        ask_again(state, now, reply.as_ref().is_some_and(|reply| reply.leads));
    }
    state.hub.unanswered = reply.is_none();
    let Some(mut reply) = reply else {
        return unanswered(state, now, asked, out);
    };
    era::heard(state, now, reply.era, out);
    if state.lease.holds(now).is_some() {
        return;
    }
    if reply.leads != state.hub.leads {
        let found = if reply.leads { "found" } else { "lapsed" };
        out.push(Effect::Record(Record::Hub { state: found, nodes: reply.nodes }));
    }
    state.hub.leads = reply.leads;
    state.hub.nodes = reply.nodes;
    state.hub.answered = Some(now);
    if let Some(members) = reply.members.take() {
        state.members.replace(now, members);
        state.hub.reads = state.members.is_reader(&state.me.vm);
    }
    if let Some(update) = reply.config.take() {
        rollout::take(state, now, update, "hub", out);
    }
    state.evacuations.hear_digest(reply.evacuations_known);
    evacuation::told(state, now, &reply.evacuations, out);
    // The operator table is known up to that revision now.
    if reply.declared.config == version(state) {
        state.declared = state.declared.max(reply.declared.store);
    }
    // A reply to an earlier frame would be dated too late.
    let sent = asked.as_ref().filter(|asked| asked.number == reply.number).map(|asked| asked.at);
    let told = sent.and(asked.as_ref()).map_or(0, |asked| asked.limits);
    if let Some((sent, membership)) = sent.zip(reply.membership.take()) {
        state.members.confirm(now, sent, membership);
    }
    if let Some((sent, allotments)) = sent.zip(reply.quota.take()) {
        quota::hold(state, now, sent, allotments);
    }
    if let Some((sent, age)) = sent.zip(reply.declared.age)
        && reply.declared.config <= version(state)
    {
        proof::renew(state, now, sent - age, out);
    }
    state.hub.known_there = (reply.declared.config, reply.listed);
    let fresh = |age: Duration| age < state.settings.hub_store_age;
    // Entry VMs that read the store for the hub continue while the store rejects it.
    let read = !state.hub.reads && reply.read_age.is_some_and(fresh);
    state.hub.fresh = reply.leads && (fresh(reply.store_age) || read);
    learn_engines(state, now, &mut reply, sent, out);
    if let Some((sent, builds)) = sent.zip(reply.builds.take()) {
        let settling = pin::settling(state);
        state.history.inherit(now, &builds, now.since(sent), settling);
    }
    for id in &reply.suspects {
        trust::look(state, now, id, out);
    }
    if reply.leads {
        let answer = Answer {
            term: reply.view.term,
            told: sent.and(asked.as_ref()).map_or(0, |asked| asked.departures),
            words: reply.departures,
            version: reply.departures_version,
        };
        departure::answered(state, now, &answer, out);
        state.intakes.answered(reply.view.term, told);
        for limit in &reply.limits {
            intake::told(state, now, limit);
        }
        state.intakes.learnt(reply.limits_version);
    } else {
        departure::tell_without_hub(state, out);
    }
    state.crashes.hear_digest(reply.digest);
    crash::told(state, now, News::of(reply.crashing), out);
    if reply.leads
        && let Some(residencies) = unpacked(reply.residencies, &reply.residencies_packed, "residencies", out)
    {
        learn(state, reply.view, residencies);
    }
    freshness::replied(state, now, sent, out);
    follow(state, now, out);
    let waited = state.waiting.len();
    flow::stir(state, now, out);
    // A reply that brought something wasn't held until the remaining adapters were ready.
    let more = asked.is_some_and(|asked| asked.unsaid) || state.waiting.len() < waited;
    if (more && !state.waiting.is_empty()) || (reply.leads && state.departures.is_any_untold()) {
        send(state, now, out);
    }
}

/// The hub didn't reply.
fn unanswered(state: &mut State, now: Time, asked: Option<Asking>, out: &mut Vec<Effect>) {
    tell_again(state, asked);
    departure::tell_without_hub(state, out);
    if state.hub.leads && !state.hub.alive(now, &state.settings) {
        state.hub.leads = false;
        out.push(Effect::Record(Record::Hub { state: "lost", nodes: state.hub.nodes }));
    }
    follow(state, now, out);
}

/// Applies the hub's engine table and the loads of engines. `sent` is the time of the request.
fn learn_engines(state: &mut State, now: Time, reply: &mut Reply, sent: Option<Time>, out: &mut Vec<Effect>) {
    let by_name = reply.placed.is_empty();
    if !by_name {
        // Positions refer to the engines known before the new rows.
        loads::take_placed(state, reply.engines, &reply.placed);
    }
    let word = sent.zip(reply.listed_age);
    let read = take_rows(state, now, reply, word.map(|(sent, age)| sent - age), out);
    if let Some((sent, age)) = word.filter(|_| read) {
        freshness::renew(state, now, Word { asked: sent, age, source: "leader" }, out);
    }
    if by_name {
        loads::take_named(state, std::mem::take(&mut reply.loads));
    }
}

/// Applies the hub's engine table, which contains all that the store had taken by `as_of`, if that time is known.
/// Returns whether all of it could be decoded.
fn take_rows(
    state: &mut State,
    now: Time,
    reply: &mut Reply,
    as_of: Option<Time>,
    out: &mut Vec<Effect>,
) -> bool {
    let rows = std::mem::take(&mut reply.rows);
    if reply.listed > state.listed {
        let Some(rows) = unpacked(rows, &reply.rows_packed, "engines", out) else {
            return false;
        };
        let listing = Listing { rows, version: reply.listed, whole: reply.whole, as_of };
        entries::listed(state, now, listing, Road::Reply, out);
        return true;
    }
    // The hub may have received some rows after its last reading of the table.
    entries::told(state, now, rows, Road::Reply, out);
    departure::leave_to_others(state, out);
    if let Some(as_of) = as_of.filter(|_| state.hub.fresh && reply.era == state.era.number()) {
        entries::confirmed(state, now, as_of, out);
    }
    true
}

/// The packed and the plain items of a reply; `None` if the packed ones can't be decoded.
fn unpacked<T: DeserializeOwned>(
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
fn ask_again(state: &mut State, now: Time, leads: bool) {
    let wait = state.settings.start_look.mul_f64(many(state)) * (1 << state.hub.start_asks);
    state.hub.start_asks = (state.hub.start_asks + 1).min(START_DOUBLINGS);
    state.timers.set(now + wait, if leads { Timer::Greet } else { Timer::Look });
}

/// Applies the residencies reported by the hub. Those reported by an earlier hub remain valid for all other engines:
/// no orders are given to them until the new hub has asked them what they hold.
fn learn(state: &mut State, view: View, residencies: Vec<Resident>) {
    state.hub.view = view;
    for resident in residencies {
        let known = state.engines.get_mut(&resident.engine);
        match known.filter(|known| known.entry.incarnation >= resident.incarnation) {
            Some(engine) => engine.learn(resident.incarnation, resident.residency),
            // The row is still to come, and the hub reports the residency only once.
            None if state.hub.early.len() < EARLY_MAX => {
                state.hub.early.insert(resident.engine.clone(), resident);
            }
            None => {}
        }
    }
}

/// Applies the residency that the hub reported for this start of an engine before the engine's row arrived.
pub(crate) fn learn_early(state: &mut State, engine: &Name) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let incarnation = known.entry.incarnation;
    let Some(Resident { residency, .. }) =
        state.hub.early.remove(engine).filter(|early| early.incarnation == incarnation)
    else {
        return;
    };
    known.learn(incarnation, residency);
}
