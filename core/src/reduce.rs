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
use crate::lease;
use crate::ledger;
use crate::member;
use crate::place;
use crate::retry::{self, Fault};
use crate::route_sync;
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
        state.member.last_input = now;
    }
    if state.timers.has_stalled(now) {
        state.resumed_at = now;
    }
    handle_event(state, now, event, &mut out);
    while let Some(timer) = state.timers.pop(now) {
        handle_timer(state, now, timer, &mut out);
    }
    if let Some(at) = state.timers.next_wake(now) {
        out.push(Effect::WakeAt(at));
    }
    out
}

fn handle_event(state: &mut State, now: Time, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Arrive(arrival) => flow::arrive(state, now, *arrival, out),
        Event::CallerGone(request) => flow::caller_gone(state, now, request, out),
        Event::Head { attempt, echo } => stream::head_received(state, now, attempt, echo, out),
        Event::Chunk { attempt, offset } => stream::chunk_received(state, now, attempt, offset, out),
        Event::Progress(attempt) => stream::progressed(state, now, attempt),
        Event::Finished { attempt, length } => stream::finished(state, now, attempt, length, out),
        Event::BufferExceeded(attempt) => stream::buffer_exceeded(state, attempt, out),
        Event::Failed { attempt, failure } => {
            retry::failed(state, now, attempt, Fault::Failed(failure), out);
        }
        Event::VmsListed(vms) => fleet::vm_list_received(state, now, vms, out),
        Event::ReportReceived(report) => collect::poll_answered(state, now, &report, out),
        Event::OrderAnswered { order, engine, receipt } => {
            ledger::order_answered(state, order, &engine, receipt.as_ref());
        }
        Event::TableAnswered { op, reply } => answered(state, now, op, reply, out),
        Event::FrameFailed { peer } => member::delivery_failed(state, now, &peer),
        Event::FrameReceived(frame) => member::frame_received(state, now, *frame, out),
        Event::QueryReceived { ask, query } => status::query_received(state, now, ask, *query, out),
        Event::Stop => drain::stop(state, now, out),
        Event::CacheChanged(update) => route_sync::cache_updated(state, &update),
        Event::VmListFailed | Event::ReportFailed(_) | Event::Wake => {}
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
    match state.take_purpose(op) {
        Some(Purpose::Claim(step)) => claim::answered(state, now, step, reply, out),
        Some(Purpose::Config(wait)) => config::table_answered(state, now, &wait, reply, out),
        Some(Purpose::Lease(step)) => lease::table_answered(state, now, &step, reply, out),
        Some(Purpose::Ledger(step)) => ledger::table_answered(state, now, step, reply, out),
        None => state.counters.stale += 1,
    }
}

fn handle_timer(state: &mut State, now: Time, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(request) => flow::deadline_passed(state, now, request, out),
        Timer::Retry(request) => dispatch::retry_due(state, now, request, out),
        Timer::Claims => claim::due(state, now, out),
        Timer::Silence(attempt) => stream::check_silence(state, now, attempt, out),
        Timer::ListVms => {
            state.timers.set(now + state.settings.list_every, Timer::ListVms);
            out.push(Effect::ListVms);
        }
        Timer::Config => config::poll(state, now, out),
        Timer::Settle(op) => config::settle_due(state, now, op, out),
        Timer::Poll(engine) => collect::poll(state, now, engine, out),
        Timer::Heartbeat => member::heartbeat_due(state, now, out),
        Timer::Lease => lease::check_due(state, now, out),
        Timer::Plan => place::plan_due(state, now, out),
        Timer::BalancerGrace => drain::grace_ended(state, now, out),
    }
}
