//! The reducer. It passes each event and each due timer to the module that handles it.

use crate::claim;
use crate::collect;
use crate::config;
use crate::dispatch;
use crate::drain;
use crate::effect::Effect;
use crate::event::Event;
use crate::fleet;
use crate::flow;
use crate::id;
use crate::index;
use crate::lease;
use crate::ledger;
use crate::member;
use crate::place;
use crate::retry::{self, Trouble};
use crate::state::{Purpose, State};
use crate::status;
use crate::stream;
use crate::table;
use crate::time::Time;
use crate::timer::Timer;

/// Applies an event to the state and returns the effects to carry out.
///
/// The same state, times and events give the same effects. `now` must not run backwards.
#[must_use]
pub fn apply(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    if event.is_evidence() {
        state.member.evidence = now;
    }
    if state.timers.overslept(now) {
        state.resumed = now;
    }
    hand(state, now, event, &mut out);
    while let Some(timer) = state.timers.pop(now) {
        fire(state, now, timer, &mut out);
    }
    if let Some(at) = state.timers.announce(now) {
        out.push(Effect::WakeAt(at));
    }
    out
}

fn hand(state: &mut State, now: Time, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Arrive(arrival) => flow::arrive(state, now, *arrival, out),
        Event::Gone(request) => flow::gone(state, now, request, out),
        Event::Head { attempt, echo } => stream::head(state, now, attempt, echo, out),
        Event::Chunk { attempt, offset } => stream::chunk(state, now, attempt, offset, out),
        Event::Alive(attempt) => stream::alive(state, now, attempt),
        Event::Finished { attempt, length } => stream::finished(state, now, attempt, length, out),
        Event::Overflow(attempt) => stream::overflow(state, attempt, out),
        Event::Failed { attempt, failure } => {
            retry::failed(state, now, attempt, Trouble::Failed(failure), out);
        }
        Event::Listed(vms) => fleet::listed(state, now, vms, out),
        Event::Reported(report) => collect::polled(state, now, &report, out),
        Event::Ordered { order, engine, receipt } => {
            ledger::ordered(state, order, &engine, receipt.as_ref());
        }
        Event::Table { op, reply } => answered(state, now, op, reply, out),
        Event::Unheard { peer } => member::unheard(state, now, &peer),
        Event::Heard(frame) => member::heard(state, now, *frame, out),
        Event::Asked { ask, query } => status::asked(state, now, ask, *query, out),
        Event::Stop => drain::stop(state, now, out),
        Event::Cached(update) => index::cached(state, &update),
        Event::Unlisted | Event::Unreported(_) | Event::Wake => {}
    }
}

fn answered(
    state: &mut State,
    now: Time,
    op: id::Op,
    reply: Result<table::Reply, table::Failure>,
    out: &mut Vec<Effect>,
) {
    state.table_up = reply.is_ok();
    match state.settle(op) {
        Some(Purpose::Claim(step)) => claim::answered(state, now, step, reply, out),
        Some(Purpose::Config(wait)) => config::answered(state, now, &wait, reply, out),
        Some(Purpose::Lease(step)) => lease::answered(state, now, &step, reply, out),
        Some(Purpose::Ledger(step)) => ledger::answered(state, now, step, reply, out),
        None => state.counters.stale += 1,
    }
}

fn fire(state: &mut State, now: Time, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(request) => flow::deadline(state, now, request, out),
        Timer::Retry(request) => dispatch::retry(state, now, request, out),
        Timer::Claims => claim::due(state, now, out),
        Timer::Silence(attempt) => stream::silence(state, now, attempt, out),
        Timer::List => {
            state.timers.set(now + state.settings.list_every, Timer::List);
            out.push(Effect::List);
        }
        Timer::Config => config::poll(state, now, out),
        Timer::Settle(op) => config::settle(state, now, op, out),
        Timer::Poll(engine) => collect::poll(state, now, engine, out),
        Timer::Heartbeat => member::due(state, now, out),
        Timer::Lease => lease::due(state, now, out),
        Timer::Plan => place::due(state, now, out),
        Timer::Grace => drain::grace(state, now, out),
    }
}
