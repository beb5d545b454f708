//! Handles answers of back ends: the head, the events of a stream without gaps or duplicates, the explicit
//! end, and the detection of silent connections.

use crate::attempt::{Destination, Failure};
use crate::effect::Effect;
use crate::end::End;
use crate::flow::{self, OpenAttempt, Stage};
use crate::id;
use crate::retry::{self, Fault};
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

fn open(state: &mut State, attempt: id::Attempt) -> Option<&mut OpenAttempt> {
    let found = state.flow.flows.get_mut(&attempt.request).and_then(|flow| match &mut flow.stage {
        Stage::Open(current) if current.attempt == attempt => Some(current),
        _ => None,
    });
    if found.is_none() {
        state.counters.stale += 1;
    }
    found
}

/// Handles the head of an answer.
pub(crate) fn head_received(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    echo: Option<id::Attempt>,
    out: &mut Vec<Effect>,
) {
    let Some(current) = open(state, attempt) else {
        return;
    };
    let silent_is_fine = matches!(current.destination, Destination::Service(_));
    if echo != Some(attempt) && !(echo.is_none() && silent_is_fine) {
        foreign(state, now, attempt, out);
        return;
    }
    let elapsed = now.since(current.sent_at);
    let first = !std::mem::replace(&mut current.head_received, true);
    current.last_progress = now;
    let (backend, watch) = (current.backend.clone(), current.silence_timer);
    state.timers.cancel(watch);
    check_silence(state, now, attempt, out);
    if let Some(flow) = state.flow.flows.get(&attempt.request)
        && let Some(lane) = state.flow.lanes.get_mut(&flow.work).filter(|_| first && flow.stream)
    {
        lane.head_latency.record(elapsed);
    }
    if let Some(health) = state.routes.index(&backend).and_then(|site| state.routes.health(site)) {
        health.clear_suspicion();
    }
}

fn foreign(state: &mut State, now: Time, attempt: id::Attempt, out: &mut Vec<Effect>) {
    state.counters.foreign += 1;
    retry::failed(state, now, attempt, Fault::Failed(Failure::Foreign), out);
}

/// Handles one event of a streamed answer.
pub(crate) fn chunk_received(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    offset: u64,
    out: &mut Vec<Effect>,
) {
    let Some(current) = open(state, attempt) else {
        return;
    };
    if !current.head_received {
        foreign(state, now, attempt, out);
        return;
    }
    current.last_progress = now;
    let Some(flow) = state.flow.flows.get_mut(&attempt.request) else {
        return;
    };
    if offset < flow.delivered {
        state.counters.duplicate_events += 1;
        return;
    }
    if offset > flow.delivered {
        retry::failed(state, now, attempt, Fault::Gap, out);
        return;
    }
    flow.delivered += 1;
    flow.failures = 0;
    out.push(Effect::Deliver { attempt, offset });
}

/// Records progress without an event to deliver: data was received, or the answer is held back because the
/// caller reads slowly. In both cases the back end is not silent.
pub(crate) fn progressed(state: &mut State, now: Time, attempt: id::Attempt) {
    if let Some(current) = open(state, attempt) {
        current.last_progress = now;
    }
}

/// Handles the explicit end of an answer.
pub(crate) fn finished(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    length: u64,
    out: &mut Vec<Effect>,
) {
    let Some(current) = open(state, attempt) else {
        return;
    };
    if !current.head_received {
        foreign(state, now, attempt, out);
        return;
    }
    let (elapsed, backend) = (now.since(current.sent_at), current.backend.clone());
    let Some(flow) = state.flow.flows.get(&attempt.request) else {
        return;
    };
    if flow.stream && flow.delivered != length {
        retry::failed(state, now, attempt, Fault::Gap, out);
        return;
    }
    if let Some(lane) = state.flow.lanes.get_mut(&flow.work) {
        lane.latency.record(elapsed);
    }
    state.budget.earn(&state.settings);
    if let Some(health) = state.routes.index(&backend).and_then(|site| state.routes.health(site)) {
        health.record_success();
    }
    flow::end(state, now, attempt.request, End::answered(attempt), out);
}

/// Handles a non-streamed answer that exceeds the edge's buffer. It is passed on from now on, so that the
/// request can no longer be retried.
pub(crate) fn buffer_exceeded(state: &mut State, attempt: id::Attempt, out: &mut Vec<Effect>) {
    let head_received = open(state, attempt).is_some_and(|current| current.head_received);
    if let Some(flow) = state.flow.flows.get_mut(&attempt.request).filter(|_| head_received) {
        flow.committed = true;
        out.push(Effect::Commit(attempt));
    }
}

/// Checks whether an attempt has gone silent, and sets the timer of the next check if not.
pub(crate) fn check_silence(state: &mut State, now: Time, attempt: id::Attempt, out: &mut Vec<Effect>) {
    let idle = state.settings.idle;
    let (first_byte, resumed) = (state.settings.first_byte, state.resumed_at);
    let Some(flow) = state.flow.flows.get_mut(&attempt.request) else {
        return;
    };
    let (streams, committed) = (flow.stream, flow.committed);
    let Stage::Open(current) = &mut flow.stage else {
        return;
    };
    // A non-streamed answer may pause between its head and its body for up to `first_byte`. Once it is
    // passed on, the limit is that of a stream.
    let limit = match (current.head_received, streams || committed) {
        (false, _) => current.head_timeout,
        (true, true) => idle,
        (true, false) => first_byte,
    };
    // Data that arrived while this process was stalled has not been read yet.
    let due = current.last_progress.max(resumed) + limit;
    if current.attempt != attempt {
        return;
    }
    if due > now {
        current.silence_timer = state.timers.set(due, Timer::Silence(attempt));
        return;
    }
    retry::failed(state, now, attempt, Fault::Silent, out);
}
