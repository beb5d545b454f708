//! Requests under way: from arrival through their tries to their one end.

use std::collections::{BTreeMap, VecDeque};

use rustc_hash::FxHashMap;

use crate::attempt::{Destination, Failure, Refusal, Resume, Send};
use crate::code::Code;
use crate::count::Reason;
use crate::effect::Effect;
use crate::end::{End, Exposure};
use crate::id;
use crate::name::Name;
use crate::request::{Arrival, Subject};
use crate::route::{self, Work};
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// A request that has not ended.
#[derive(Debug)]
struct Flow {
    arrival: Arrival,
    work: Work,
    idempotent: bool,
    exposure: Exposure,
    tries: u16,
    current: Option<Try>,
    delivered: u64,
    avoid: Vec<Name>,
}

/// The try that is open.
#[derive(Debug)]
struct Try {
    attempt: id::Attempt,
    backend: Name,
    progress: Time,
    headed: bool,
}

/// All requests under way at this entry VM.
#[derive(Debug, Default)]
pub(crate) struct Part {
    flows: FxHashMap<id::Request, Flow>,
    queues: BTreeMap<Work, VecDeque<id::Request>>,
}

impl Part {
    /// Requests open.
    pub(crate) fn open(&self) -> usize {
        self.flows.len()
    }

    /// Requests that wait for a back end.
    pub(crate) fn queued(&self) -> usize {
        self.queues.values().map(VecDeque::len).sum()
    }

    /// Requests that wait for one back end's work.
    pub(crate) fn waiting(&self, work: &Work) -> usize {
        self.queues.get(work).map_or(0, VecDeque::len)
    }
}

/// Takes a request, or refuses it at once.
pub(crate) fn arrive(state: &mut State, now: Time, arrival: Arrival, out: &mut Vec<Effect>) {
    let id = arrival.id;
    match admit(state, &arrival) {
        Ok((work, idempotent)) => {
            state.timers.set(arrival.deadline, Timer::Deadline(id));
            let flow = Flow {
                arrival,
                work: work.clone(),
                idempotent,
                exposure: Exposure::default(),
                tries: 0,
                current: None,
                delivered: 0,
                avoid: Vec::new(),
            };
            state.flow.flows.insert(id, flow);
            state.flow.queues.entry(work.clone()).or_default().push_back(id);
            dispatch(state, now, &work, out);
        }
        Err(code) => {
            state.counters.end(code);
            out.push(Effect::End {
                request: id,
                end: End::failed(Exposure::default(), code, retry_after(code)),
            });
        }
    }
}

fn admit(state: &State, arrival: &Arrival) -> Result<(Work, bool), Code> {
    if state.drain.stopping() {
        return Err(Code::Stopping);
    }
    if state.config.version == 0 {
        return Err(Code::NotReady);
    }
    if state.flow.open() >= state.settings.open_max as usize {
        return Err(Code::EntryFull);
    }
    let catalog = &state.config.catalog;
    let caller = arrival.token_sha256.as_deref().and_then(|token| catalog.caller(token));
    if caller.is_none() && !catalog.is_open() {
        return Err(Code::Unauthenticated);
    }
    let may_reach =
        |name: &Name| caller.is_none_or(|caller| caller.reach.is_empty() || caller.reach.contains(name));
    let (name, work, idempotent) = match &arrival.subject {
        Subject::Model(target) => {
            let entry = catalog.resolve(target).ok_or(Code::UnknownModel)?;
            (&target.model, Work::Artifact(entry.artifact.clone()), true)
        }
        Subject::Service(name) => {
            let service = catalog.services.get(name).ok_or(Code::UnknownService)?;
            (name, Work::Service(name.clone()), service.idempotent)
        }
    };
    if !may_reach(name) {
        return Err(Code::Forbidden);
    }
    if state.flow.waiting(&work) >= state.settings.queue_max as usize {
        return Err(Code::QueueFull);
    }
    Ok((work, arrival.idempotent.unwrap_or(idempotent)))
}

fn retry_after(code: Code) -> Option<u64> {
    const RETRY_AFTER_MS: u64 = 1_000;
    (code.retry() == crate::code::Retry::Later).then_some(RETRY_AFTER_MS)
}

/// Sends waiting requests while there are back ends with room.
pub(crate) fn dispatch(state: &mut State, now: Time, work: &Work, out: &mut Vec<Effect>) {
    while let Some(id) = state.flow.queues.get(work).and_then(|queue| queue.front().copied()) {
        let Some(flow) = state.flow.flows.get(&id) else {
            pop(state, work);
            continue;
        };
        let Some(backend) = route::pick(state, work, &flow.avoid).or_else(|| route::pick(state, work, &[]))
        else {
            return;
        };
        pop(state, work);
        send(state, now, id, &backend, out);
    }
}

fn pop(state: &mut State, work: &Work) {
    if let Some(queue) = state.flow.queues.get_mut(work) {
        queue.pop_front();
        if queue.is_empty() {
            state.flow.queues.remove(work);
        }
    }
}

/// Sends waiting requests of all kinds while there are back ends with room.
pub(crate) fn dispatch_all(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let works: Vec<Work> = state.flow.queues.keys().cloned().collect();
    for work in works {
        dispatch(state, now, &work, out);
    }
}

fn send(state: &mut State, now: Time, id: id::Request, backend: &Name, out: &mut Vec<Effect>) {
    let (Some(flow), Some(backend)) = (state.flow.flows.get_mut(&id), state.fleet.backends.get_mut(backend))
    else {
        return;
    };
    flow.tries += 1;
    flow.exposure.send();
    backend.own += 1;
    let attempt = id::Attempt { request: id, n: flow.tries };
    let resume =
        if flow.delivered == 0 { Resume::Start } else { Resume::Continue { offset: flow.delivered } };
    let to = match &flow.work {
        Work::Artifact(artifact) => Destination::Engine(artifact.clone()),
        Work::Service(name) => Destination::Service(name.clone()),
    };
    flow.current = Some(Try { attempt, backend: backend.name.clone(), progress: now, headed: false });
    state.timers.set(now + state.settings.first_byte, Timer::Silence(attempt));
    out.push(Effect::Send(Box::new(Send {
        attempt,
        backend: backend.name.clone(),
        address: backend.address,
        to,
        resume,
        deadline: flow.arrival.deadline,
        fresh: false,
    })));
}

/// The head of an answer came.
pub(crate) fn head(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    echo: Option<id::Attempt>,
    out: &mut Vec<Effect>,
) {
    if echo != Some(attempt) {
        state.counters.foreign += 1;
        out.push(Effect::Cancel(attempt));
        failed(state, now, attempt, Failure::Foreign, out);
        return;
    }
    if let Some(current) = current(state, attempt) {
        current.headed = true;
        current.progress = now;
    }
}

fn current(state: &mut State, attempt: id::Attempt) -> Option<&mut Try> {
    let found = state
        .flow
        .flows
        .get_mut(&attempt.request)
        .and_then(|flow| flow.current.as_mut())
        .filter(|current| current.attempt == attempt);
    if found.is_none() {
        state.counters.stale += 1;
    }
    found
}

/// One event of a streamed answer came.
pub(crate) fn chunk(state: &mut State, now: Time, attempt: id::Attempt, offset: u64, out: &mut Vec<Effect>) {
    let Some(current) = current(state, attempt) else {
        return;
    };
    current.progress = now;
    let Some(flow) = state.flow.flows.get_mut(&attempt.request) else {
        return;
    };
    if offset < flow.delivered {
        state.counters.repeated += 1;
        return;
    }
    if offset > flow.delivered {
        out.push(Effect::Cancel(attempt));
        failed(state, now, attempt, Failure::Broken, out);
        return;
    }
    flow.delivered += 1;
    out.push(Effect::Deliver { attempt, offset });
}

/// An answer came to its explicit end.
pub(crate) fn finished(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    length: u64,
    out: &mut Vec<Effect>,
) {
    if current(state, attempt).is_none() {
        return;
    }
    let missing = state
        .flow
        .flows
        .get(&attempt.request)
        .is_some_and(|flow| flow.arrival.stream && flow.delivered != length);
    if missing {
        failed(state, now, attempt, Failure::Broken, out);
        return;
    }
    end(state, now, attempt.request, End::answered(attempt), out);
}

/// A try failed: try again where that is safe, else end the request.
pub(crate) fn failed(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    failure: Failure,
    out: &mut Vec<Effect>,
) {
    if current(state, attempt).is_none() {
        return;
    }
    let (reason, harmless, code) = judge(failure);
    release(state, attempt.request);
    let attempts_max = state.settings.attempts_max;
    let Some(flow) = state.flow.flows.get_mut(&attempt.request) else {
        return;
    };
    if harmless {
        flow.exposure.disprove();
    }
    let may_repeat = harmless || flow.idempotent;
    if !may_repeat || flow.tries >= attempts_max {
        let code = if harmless { Code::RetriesSpent } else { code };
        let end_with = End::failed(flow.exposure, code, retry_after(code));
        end(state, now, attempt.request, end_with, out);
        return;
    }
    state.counters.retry(reason);
    let wait = state.settings.backoff_base * u32::from(flow.tries);
    state.timers.set(now + wait.mul_f64(state.rng.f64()), Timer::Retry(attempt.request));
}

fn judge(failure: Failure) -> (Reason, bool, Code) {
    match failure {
        Failure::Connect => (Reason::Connect, true, Code::RetriesSpent),
        Failure::Refused(Refusal::Busy) => (Reason::Busy, true, Code::BackendRefused),
        Failure::Refused(Refusal::Leaving) => (Reason::Leaving, true, Code::BackendRefused),
        Failure::Refused(Refusal::NotLoaded) => (Reason::NotLoaded, true, Code::BackendRefused),
        Failure::Refused(Refusal::Late) => (Reason::Late, true, Code::BackendRefused),
        Failure::Broken => (Reason::Broken, false, Code::Interrupted),
        Failure::Error => (Reason::Error, false, Code::BackendFailed),
        Failure::Foreign => (Reason::Foreign, false, Code::BackendFailed),
        Failure::Forgotten => (Reason::Forgotten, false, Code::Interrupted),
    }
}

fn release(state: &mut State, id: id::Request) {
    let Some(closed) = state.flow.flows.get_mut(&id).and_then(|flow| {
        let closed = flow.current.take()?;
        flow.avoid.push(closed.backend.clone());
        Some(closed)
    }) else {
        return;
    };
    if let Some(backend) = state.fleet.backends.get_mut(&closed.backend) {
        backend.own = backend.own.saturating_sub(1);
    }
}

/// A request's next try is due.
pub(crate) fn retry(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    let Some(work) =
        state.flow.flows.get(&id).filter(|flow| flow.current.is_none()).map(|flow| flow.work.clone())
    else {
        return;
    };
    state.flow.queues.entry(work.clone()).or_default().push_front(id);
    dispatch(state, now, &work, out);
}

/// A look at whether an attempt has gone silent.
pub(crate) fn silence(state: &mut State, now: Time, attempt: id::Attempt, out: &mut Vec<Effect>) {
    let Some(open) = state
        .flow
        .flows
        .get(&attempt.request)
        .and_then(|flow| flow.current.as_ref())
        .filter(|current| current.attempt == attempt)
    else {
        return;
    };
    let limit = if open.headed { state.settings.idle } else { state.settings.first_byte };
    let due = open.progress + limit;
    if due > now {
        state.timers.set(due, Timer::Silence(attempt));
        return;
    }
    if let Some(backend) = state.fleet.backends.get(&open.backend) {
        out.push(Effect::Retire(backend.address));
    }
    out.push(Effect::Cancel(attempt));
    failed(state, now, attempt, Failure::Broken, out);
}

/// A request's deadline passed.
pub(crate) fn deadline(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    give_up(state, now, id, Code::DeadlinePassed, out);
}

/// A request's caller is gone.
pub(crate) fn gone(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    give_up(state, now, id, Code::CallerGone, out);
}

fn give_up(state: &mut State, now: Time, id: id::Request, code: Code, out: &mut Vec<Effect>) {
    let Some(flow) = state.flow.flows.get(&id) else {
        return;
    };
    if let Some(current) = &flow.current {
        out.push(Effect::Cancel(current.attempt));
    }
    let end_with = End::failed(flow.exposure, code, None);
    end(state, now, id, end_with, out);
}

fn end(state: &mut State, now: Time, id: id::Request, end: End, out: &mut Vec<Effect>) {
    release(state, id);
    let Some(flow) = state.flow.flows.remove(&id) else {
        return;
    };
    if let Some(queue) = state.flow.queues.get_mut(&flow.work) {
        queue.retain(|each| *each != id);
    }
    state.counters.end(end.code());
    out.push(Effect::End { request: id, end });
    dispatch(state, now, &flow.work, out);
    crate::drain::settle(state, now, out);
}
