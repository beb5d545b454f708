//! Open requests, from their arrival through their attempts to their end.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::admit::{self, Admitted, Refused};
use crate::attempt::{Destination, Resume};
use crate::claim::{self, Claim};
use crate::code::Code;
use crate::dispatch;
use crate::effect::Effect;
use crate::end::{End, Execution};
use crate::id;
use crate::latency::Latency;
use crate::name::Name;
use crate::queue::{LATE_TURN, Queue, Ticket};
use crate::request::Arrival;
use crate::route::Work;
use crate::state::State;
use crate::time::Time;
use crate::timer::{Handle, Timer};

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flow {
    /// Key of the request in the queue.
    pub ticket: Ticket,
    /// The model or service requested.
    pub work: Work,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the answer is streamed to the caller.
    pub stream: bool,
    /// Number of entry VMs that forwarded the request before this one.
    pub hops: u8,
    /// Chained hashes of the prompt's leading blocks, see `request::prefix_hashes`.
    pub prefix: Box<[u64]>,
    /// Maximum number of tokens requested.
    pub max_tokens: u32,
    /// Attempts sent, and how many of them are proven not to have run.
    pub execution: Execution,
    /// Number of attempts sent.
    pub attempts: u16,
    /// Consecutive failed attempts without progress.
    pub failures: u16,
    /// Number of times it was queued again for a retry.
    pub requeued: u16,
    /// Events of the stream delivered to the caller.
    pub delivered: u64,
    /// Whether a part of a non-streamed answer has been sent to the caller already. Such a request cannot
    /// be retried.
    pub committed: bool,
    /// Position in the answer at which the next attempt begins.
    pub resume: Resume,
    /// Back ends at which an attempt failed.
    pub avoid: Vec<Name>,
    /// Claim on the request's idempotency key, if it has one.
    pub claim: Option<Box<Claim>>,
    /// Current stage.
    pub stage: Stage,
    expiry: Handle,
}

/// Stage of an open request.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Waits until its idempotency key is claimed.
    Claiming,
    /// Waits in the queue for a back end.
    Waiting,
    /// Waits for the backoff before the next attempt.
    Paused(Handle),
    /// An attempt is open at a back end.
    Open(OpenAttempt),
}

/// An open attempt.
#[derive(Debug)]
pub(crate) struct OpenAttempt {
    /// Id of the attempt.
    pub attempt: id::Attempt,
    /// VM name of the back end, or of the entry VM in another zone.
    pub backend: Name,
    /// Kind of back end.
    pub destination: Destination,
    /// Time at which it was sent.
    pub sent_at: Time,
    /// Time at which data was last received.
    pub last_progress: Time,
    /// Whether the head of the answer was received, with the id of this attempt.
    pub head_received: bool,
    /// The earlier attempt whose answer it resumes, if any.
    pub resumes: Option<id::Attempt>,
    /// Events delivered before this attempt.
    pub start_offset: u64,
    /// Maximum time from sending to the head of the answer.
    pub head_timeout: Duration,
    /// Timer of the next check for silence.
    pub silence_timer: Handle,
}

/// Requests for one model or service.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    /// Waiting requests.
    pub queue: Queue,
    /// Number of open attempts.
    pub open: u32,
    /// Time from sending an attempt to the end of its answer.
    pub latency: Latency,
    /// Time from sending an attempt to the head of its answer.
    pub head_latency: Latency,
}

impl Lane {
    /// Expected wait of a request with `ahead` others before it, from the mean duration of an attempt and
    /// the number of open attempts. `None` while no attempt is open or none has been measured.
    pub(crate) fn expected_wait(&self, ahead: usize) -> Option<Duration> {
        if self.queue.is_empty() {
            return Some(Duration::ZERO);
        }
        let mean = self.latency.mean()?;
        (self.open > 0).then(|| mean.mul_f64((ahead + 1) as f64 / f64::from(self.open)))
    }

    /// Whether a request that misses the first-token target also misses its deadline. Late requests are
    /// served only once in `LATE_TURN` turns.
    pub(crate) fn misses_deadline(&self, now: Time, ticket: &Ticket) -> bool {
        let (late, before) = self.queue.late_and_ahead(ticket.priority);
        let wait = self.expected_wait(before + late * LATE_TURN as usize);
        wait.is_some_and(|wait| now + wait + self.latency.lower_bound() > ticket.deadline)
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.open == 0
    }
}

/// All open requests of this entry VM.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Open requests by id.
    pub flows: FxHashMap<id::Request, Flow>,
    /// Queue and measurements of each model or service.
    pub lanes: FxHashMap<Work, Lane>,
    callers: FxHashMap<Name, u32>,
    waiting: usize,
}

impl Part {
    /// Number of open requests.
    pub(crate) fn open(&self) -> usize {
        self.flows.len()
    }

    /// Number of open requests of a caller.
    pub(crate) fn open_by_caller(&self, caller: &Name) -> u32 {
        self.callers.get(caller).copied().unwrap_or(0)
    }

    /// Number of requests that wait for a back end.
    pub(crate) const fn queued(&self) -> usize {
        self.waiting
    }

    /// Number of requests that wait for a model or service.
    pub(crate) fn waiting(&self, work: &Work) -> usize {
        self.lanes.get(work).map_or(0, |lane| lane.queue.len())
    }

    /// Models and services for which requests wait, sorted.
    pub(crate) fn queued_work(&self) -> Vec<Work> {
        if self.waiting == 0 {
            return Vec::new();
        }
        let mut wanted: Vec<Work> = self
            .lanes
            .iter()
            .filter(|(_, lane)| !lane.queue.is_empty())
            .map(|(work, _)| work.clone())
            .collect();
        wanted.sort_unstable();
        wanted
    }

    /// Adds a request to the queue of its model or service.
    pub(crate) fn enqueue(&mut self, id: id::Request) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        flow.stage = Stage::Waiting;
        self.lanes.entry(flow.work.clone()).or_default().queue.push(&flow.ticket);
        self.waiting += 1;
    }

    /// Removes a request from its queue to send it.
    pub(crate) fn dequeue(&mut self, id: id::Request) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&flow.work) {
            lane.queue.serve(&flow.ticket);
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Removes models and services that have no open requests and are no longer `declared`.
    pub(crate) fn prune(&mut self, declared: impl Fn(&Work) -> bool) {
        self.lanes.retain(|work, lane| !lane.is_idle() || declared(work));
    }

    fn close_lane(&mut self, work: &Work) {
        if let Some(lane) = self.lanes.get_mut(work) {
            lane.open = lane.open.saturating_sub(1);
        }
    }

    fn leave(&mut self, flow: &Flow) {
        if let Some(lane) = self.lanes.get_mut(&flow.work)
            && lane.queue.remove(&flow.ticket)
        {
            self.waiting = self.waiting.saturating_sub(1);
        }
        if let Some(open) = self.callers.get_mut(&flow.ticket.caller) {
            *open -= 1;
            if *open == 0 {
                self.callers.remove(&flow.ticket.caller);
            }
        }
    }
}

/// Admits a new request or refuses it.
pub(crate) fn arrive(state: &mut State, now: Time, arrival: Arrival, out: &mut Vec<Effect>) {
    let id = arrival.id;
    let admitted = admit::admit(state, now, &arrival)
        .and_then(|admitted| make_room(state, now, &admitted, out).map(|()| admitted));
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(state, id, refused, out),
    };
    // The entry VM that forwarded a request has already claimed its key.
    let key = arrival.key.clone().filter(|_| arrival.hops == 0);
    let digest = arrival.digest.clone();
    if let Work::Artifact(artifact) = &admitted.work {
        state.demand.record_arrival(artifact);
    }
    open(state, arrival, admitted);
    match key {
        Some(key) => claim::begin(state, now, id, key, digest, out),
        None => dispatch::enqueue(state, now, id, out),
    }
}

fn refuse(state: &mut State, id: id::Request, refused: Refused, out: &mut Vec<Effect>) {
    state.counters.end(refused.code);
    let end = End::failed(Execution::default(), refused.code, Some(refused.retry_after));
    out.push(Effect::End { request: id, end });
}

fn open(state: &mut State, arrival: Arrival, admitted: Admitted) {
    let expiry = state.timers.set(arrival.deadline, Timer::Deadline(arrival.id));
    *state.flow.callers.entry(admitted.ticket.caller.clone()).or_default() += 1;
    let flow = Flow {
        ticket: admitted.ticket,
        work: admitted.work,
        idempotent: admitted.idempotent,
        stream: arrival.stream,
        hops: arrival.hops,
        prefix: arrival.prefix.into_boxed_slice(),
        max_tokens: arrival.max_tokens,
        execution: Execution::default(),
        attempts: 0,
        failures: 0,
        requeued: 0,
        delivered: 0,
        committed: false,
        resume: Resume::Start,
        avoid: Vec::new(),
        claim: None,
        stage: Stage::Waiting,
        expiry,
    };
    state.flow.flows.insert(arrival.id, flow);
}

/// Makes room in a full queue by preempting a waiting request, or refuses the new one.
fn make_room(
    state: &mut State,
    now: Time,
    admitted: &Admitted,
    out: &mut Vec<Effect>,
) -> Result<(), Refused> {
    let Some(lane) = state.flow.lanes.get(&admitted.work) else {
        return Ok(());
    };
    if lane.queue.len() < state.settings.queue_max as usize {
        return Ok(());
    }
    let unproven =
        |id: &id::Request| state.flow.flows.get(id).and_then(|flow| flow.execution.not_run_proof()).is_none();
    let Some(victim) = lane.queue.preempted_by(&admitted.ticket).filter(|id| !unproven(id)) else {
        return Err(admit::queue_full(lane));
    };
    let retry_after = admit::preempted_retry_after(lane);
    let exposure = state.flow.flows.get(&victim).map(|flow| flow.execution).unwrap_or_default();
    end(state, now, victim, End::failed(exposure, Code::Preempted, Some(retry_after)), out);
    Ok(())
}

/// Closes `attempt` if it is the open attempt of its request.
pub(crate) fn close(state: &mut State, attempt: id::Attempt) -> Option<OpenAttempt> {
    let flow = state.flow.flows.get_mut(&attempt.request);
    let is_open = flow
        .as_ref()
        .is_some_and(|flow| matches!(&flow.stage, Stage::Open(current) if current.attempt == attempt));
    let (Some(flow), true) = (flow, is_open) else {
        state.counters.stale += 1;
        return None;
    };
    let Stage::Open(closed) = std::mem::replace(&mut flow.stage, Stage::Waiting) else {
        return None;
    };
    let work = flow.work.clone();
    state.timers.cancel(closed.silence_timer);
    state.flow.close_lane(&work);
    if let Some(index) = state.routes.index(&closed.backend) {
        state.routes.attempt_closed(index, &work);
    }
    Some(closed)
}

/// Handles the deadline of a request.
pub(crate) fn deadline_passed(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    end_failed(state, now, id, Code::DeadlinePassed, out);
}

/// Handles a caller that closed the connection.
pub(crate) fn caller_gone(state: &mut State, now: Time, id: id::Request, out: &mut Vec<Effect>) {
    end_failed(state, now, id, Code::CallerGone, out);
}

fn end_failed(state: &mut State, now: Time, id: id::Request, code: Code, out: &mut Vec<Effect>) {
    let Some(flow) = state.flow.flows.get(&id) else {
        return;
    };
    let failed = End::failed(flow.execution, code, None);
    end(state, now, id, failed, out);
}

/// Ends a request and closes its open attempt.
pub(crate) fn end(state: &mut State, now: Time, id: id::Request, end: End, out: &mut Vec<Effect>) {
    let open = state.flow.flows.get(&id).and_then(|flow| match &flow.stage {
        Stage::Open(current) => Some(current.attempt),
        Stage::Claiming | Stage::Waiting | Stage::Paused(_) => None,
    });
    let closed = open.and_then(|attempt| close(state, attempt));
    let Some(flow) = state.flow.flows.remove(&id) else {
        return;
    };
    state.timers.cancel(flow.expiry);
    if let Stage::Paused(pause) = flow.stage {
        state.timers.cancel(pause);
    }
    state.flow.leave(&flow);
    if let Some(claim) = flow.claim {
        claim::ended(state, now, *claim, &end);
    }
    state.counters.end(end.code());
    if let Some(closed) = &closed
        && end.attempt() != Some(closed.attempt)
    {
        out.push(Effect::Cancel(closed.attempt));
    }
    out.push(Effect::End { request: id, end });
    if let Some(closed) = closed {
        dispatch::to_backend(state, now, &closed.backend, out);
    }
    crate::drain::exit_if_idle(state, now, out);
}
