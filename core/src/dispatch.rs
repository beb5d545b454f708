//! Sends waiting requests to back ends that have room, in the order of the queue.

use std::time::Duration;

use crate::attempt::{Destination, Resume, Send};
use crate::code::Code;
use crate::effect::Effect;
use crate::end::End;
use crate::flow::{self, OpenAttempt, Stage};
use crate::id;
use crate::name::Name;
use crate::route::{Choice, Index, Query, Work};
use crate::spill::{self, Peer};
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// Time allowed for each token of a non-streamed answer, as a multiple of the target time between two
/// tokens.
const TOKEN_GAPS: u32 = 2;

/// Destination of an attempt.
#[derive(Debug)]
enum Target {
    /// A back end that this entry VM sends to directly.
    Site(Index),
    /// An entry VM of another availability zone.
    Peer(Peer),
}

/// Adds a request to its queue and sends the waiting requests for which there is room.
pub(crate) fn enqueue(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    let Some(work) = state.flow.flows.get(&id).map(|flow| flow.work.clone()) else {
        return;
    };
    state.flow.enqueue(id);
    lane(state, now, &work, out);
}

/// Queues a request again after its backoff.
pub(crate) fn retry_due(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    let paused = state.flow.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Paused(_)));
    if paused {
        enqueue(state, now, id, out);
    }
}

/// Sends waiting requests for all models and services.
pub(crate) fn all(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    for work in state.flow.queued_work() {
        lane(state, now, &work, out);
    }
}

/// Sends waiting requests for the models and services of one back end, the most urgent first.
pub(crate) fn to_backend(state: &mut State, now: Time, backend: &Name, out: &mut Vec<Effect>) {
    if state.flow.queued() == 0 {
        return;
    }
    let Some(description) = state.routes.index(backend).and_then(|index| state.routes.description(index))
    else {
        return;
    };
    let mut wanted: Vec<_> = description
        .works
        .iter()
        .filter_map(|work| Some((state.flow.lanes.get(work)?.queue.urgency()?, work.clone())))
        .collect();
    wanted.sort_unstable();
    for (_, work) in wanted {
        lane(state, now, &work, out);
    }
}

/// Sends waiting requests for one model or service in queue order while there is room.
pub(crate) fn lane(state: &mut State, now: Time, work: &Work, out: &mut Vec<Effect>) {
    mark_overdue(state, now, work, out);
    while let Some(id) = state.flow.lanes.get(work).and_then(|lane| lane.queue.peek()) {
        match target(state, now, id) {
            Ok(target) => {
                state.flow.dequeue(id);
                send(state, now, id, &target, out);
            }
            Err(Some(code)) => refuse(state, now, id, code, out),
            Err(None) => return,
        }
    }
}

/// Moves requests that miss the first-token target behind the others, or ends those that could not be
/// answered before their deadline.
fn mark_overdue(state: &mut State, now: Time, work: &Work, out: &mut Vec<Effect>) {
    let overdue = state.flow.lanes.get(work).map(|lane| lane.queue.overdue(now)).unwrap_or_default();
    for id in overdue {
        let Some(lane) = state.flow.lanes.get_mut(work) else {
            return;
        };
        let Some(flow) = state.flow.flows.get(&id) else {
            continue;
        };
        if flow.attempts == 0 && lane.misses_deadline(now, &flow.ticket) {
            refuse(state, now, id, Code::DeadlineUnreachable, out);
        } else {
            lane.queue.mark_late(&flow.ticket);
        }
    }
}

/// Destination of a request. The error is the code to end it with, or `None` if it has to wait.
fn target(state: &mut State, now: Time, id: id::Request) -> Result<Target, Option<Code>> {
    let Some(flow) = state.flow.flows.get(&id) else {
        return Err(None);
    };
    let Some(lane) = state.flow.lanes.get(&flow.work) else {
        return Err(None);
    };
    if flow.attempts == 0 && now + lane.latency.lower_bound() >= flow.ticket.deadline {
        return Err(Some(Code::DeadlineUnreachable));
    }
    if now >= flow.ticket.deadline {
        return Err(Some(Code::DeadlinePassed));
    }
    let wanted =
        Query { work: &flow.work, prefix: &flow.prefix, avoid: &flow.avoid, priority: flow.ticket.priority };
    let choice = state.routes.pick(&mut state.rng, now, &wanted);
    match (choice, &flow.work) {
        (Choice::Backend(index), _) => Ok(Target::Site(index)),
        (Choice::Full | Choice::NoBackend, Work::Artifact(_)) => {
            let absent = choice == Choice::NoBackend;
            spill::peer(state, now, flow, absent).map(Target::Peer).ok_or(None)
        }
        (Choice::Full, Work::Service(_)) => Err(None),
        (Choice::NoBackend, Work::Service(_)) => Err(Some(Code::NoBackend)),
    }
}

fn refuse(state: &mut State, now: Time, id: id::Request, code: Code, out: &mut Vec<Effect>) {
    let Some(flow) = state.flow.flows.get(&id) else {
        return;
    };
    let mean = state.flow.lanes.get(&flow.work).and_then(|lane| lane.latency.mean());
    let wait = mean.filter(|_| code == Code::DeadlineUnreachable).unwrap_or(crate::admit::RETRY_AFTER);
    let end = End::failed(flow.execution, code, Some(wait));
    flow::end(state, now, id, end, out);
}

/// Resumes an answer at the back end that holds it, without queueing. Queues the request if that back end
/// is no longer known.
pub(crate) fn resume(state: &mut State, now: Time, id: id::Request, backend: &Name, out: &mut Vec<Effect>) {
    if let Some(index) = state.routes.index(backend) {
        send(state, now, id, &Target::Site(index), out);
        return;
    }
    if let Some(flow) = state.flow.flows.get_mut(&id) {
        flow.resume = resume_point(flow.delivered);
    }
    enqueue(state, now, id, out);
}

/// Position at which an attempt at another back end begins.
pub(crate) const fn resume_point(delivered: u64) -> Resume {
    if delivered == 0 { Resume::Start } else { Resume::Continue { offset: delivered } }
}

fn send(state: &mut State, now: Time, id: id::Request, target: &Target, out: &mut Vec<Effect>) {
    let Some(flow) = state.flow.flows.get_mut(&id) else {
        return;
    };
    let (backend, address, to) = match target {
        Target::Site(index) => {
            let Some(description) = state.routes.description(*index) else {
                return;
            };
            let to = match &flow.work {
                Work::Artifact(artifact) => Destination::Engine(artifact.clone()),
                Work::Service(name) => Destination::Service(name.clone()),
            };
            (description.name.clone(), description.address, to)
        }
        Target::Peer(peer) => (peer.name.clone(), peer.address, Destination::Peer),
    };
    let lane = state.flow.lanes.entry(flow.work.clone()).or_default();
    lane.open += 1;
    let mut timeout = state.settings.first_byte;
    if let Target::Site(index) = target {
        timeout += lane.latency.mean().unwrap_or_default().mul_f32(state.routes.excess(*index));
        state.routes.attempt_sent(*index, &flow.work, &flow.prefix);
    }
    if !flow.stream && !matches!(to, Destination::Service(_)) {
        let gap_ms = state.config.document.rules.weights.token_gap_ms;
        timeout += Duration::from_millis(u64::from(gap_ms)) * TOKEN_GAPS * flow.max_tokens;
    }
    flow.attempts += 1;
    flow.execution.attempt_sent();
    let attempt = id::Attempt { request: id, n: flow.attempts };
    let resumed_attempt = match flow.resume {
        Resume::Same { of, .. } => Some(of),
        Resume::Start | Resume::Continue { .. } => None,
    };
    flow.stage = Stage::Open(OpenAttempt {
        attempt,
        backend: backend.clone(),
        destination: to.clone(),
        sent_at: now,
        last_progress: now,
        head_received: false,
        resumes: resumed_attempt,
        start_offset: flow.delivered,
        head_timeout: timeout,
        silence_timer: state.timers.set(now + timeout, Timer::Silence(attempt)),
    });
    out.push(Effect::Send(Box::new(Send {
        attempt,
        backend,
        address,
        destination: to,
        resume: flow.resume,
        deadline: flow.ticket.deadline,
        priority: flow.ticket.priority,
        new_connection: resumed_attempt.is_some(),
    })));
}
