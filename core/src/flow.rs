//! Requests under way: from arrival through their tries to their one end.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::admit::{self, Admitted, Refused};
use crate::attempt::{Destination, Resume};
use crate::claim::{self, Claim};
use crate::code::Code;
use crate::dispatch;
use crate::effect::Effect;
use crate::end::{End, Exposure};
use crate::id;
use crate::name::Name;
use crate::pace::Pace;
use crate::queue::{LATE_TURN, Queue, Ticket};
use crate::request::Arrival;
use crate::route::Work;
use crate::state::State;
use crate::time::Time;
use crate::timer::{Handle, Timer};

/// A request that has not ended.
#[derive(Debug)]
pub(crate) struct Flow {
    /// Its place in the line, for when it waits.
    pub ticket: Ticket,
    /// What it is for.
    pub work: Work,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether its answer is passed on as it comes.
    pub stream: bool,
    /// Entry VMs it passed before this one.
    pub hops: u8,
    /// Chained hashes of the prompt's leading blocks.
    pub prefix: Box<[u64]>,
    /// Tokens asked for at most.
    pub max_tokens: u32,
    /// What its tries may have done.
    pub exposure: Exposure,
    /// Tries sent.
    pub tries: u16,
    /// Tries that failed in a row without progress.
    pub strikes: u16,
    /// Times it was tried from the line again.
    pub again: u16,
    /// Events of its stream passed on.
    pub delivered: u64,
    /// Whether a whole answer is being passed on already, so that it cannot be had from elsewhere.
    pub committed: bool,
    /// Where its next try begins.
    pub resume: Resume,
    /// Back ends that failed it.
    pub avoid: Vec<Name>,
    /// Its claim on an idempotency key.
    pub claim: Option<Box<Claim>>,
    /// Where it stands.
    pub stage: Stage,
    expiry: Handle,
}

/// Where a request stands.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Until its idempotency key is claimed.
    Claiming,
    /// In its line.
    Waiting,
    /// Until its next try.
    Paused(Handle),
    /// With a try open.
    Open(Try),
}

/// A try that is open.
#[derive(Debug)]
pub(crate) struct Try {
    /// Its id.
    pub attempt: id::Attempt,
    /// The back end's VM name, or the peer's.
    pub backend: Name,
    /// What kind of back end it is.
    pub to: Destination,
    /// When it was sent.
    pub sent: Time,
    /// When something last came.
    pub progress: Time,
    /// Whether the head of the answer came, with the right id.
    pub headed: bool,
    /// The earlier one that it takes up again, if it does.
    pub takes_up: Option<id::Attempt>,
    /// Events passed on before it.
    pub from: u64,
    /// Time it may take to the head of its answer.
    pub patience: Duration,
    /// The next look at whether it has gone silent.
    pub watch: Handle,
}

/// Requests for one model or service.
#[derive(Debug, Default)]
pub(crate) struct Lane {
    /// Those that wait.
    pub queue: Queue,
    /// Tries open.
    pub open: u32,
    /// How long tries take.
    pub pace: Pace,
    /// How long it takes from sending a try to the head of its answer.
    pub head: Pace,
}

impl Lane {
    /// How long it takes until the request with `ahead` others before it is sent, by the time that
    /// requests take and the number that run at once; none while that is not known.
    pub(crate) fn wait(&self, ahead: usize) -> Option<Duration> {
        if self.queue.is_empty() {
            return Some(Duration::ZERO);
        }
        let mean = self.pace.mean()?;
        (self.open > 0).then(|| mean.mul_f64((ahead + 1) as f64 / f64::from(self.open)))
    }

    /// Whether a request that has become late can still be answered by its deadline, given the turns that
    /// late ones get.
    pub(crate) fn is_hopeless(&self, now: Time, ticket: &Ticket) -> bool {
        let (late, before) = self.queue.late(ticket.priority);
        let wait = self.wait(before + late * LATE_TURN as usize);
        wait.is_some_and(|wait| now + wait + self.pace.least() > ticket.deadline)
    }

    fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.open == 0
    }
}

/// All requests under way at this entry VM.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Requests that have not ended.
    pub flows: FxHashMap<id::Request, Flow>,
    /// Those for each model or service.
    pub lanes: FxHashMap<Work, Lane>,
    callers: FxHashMap<Name, u32>,
    waiting: usize,
}

impl Part {
    /// Requests open.
    pub(crate) fn open(&self) -> usize {
        self.flows.len()
    }

    /// Requests of a caller open.
    pub(crate) fn open_of(&self, caller: &Name) -> u32 {
        self.callers.get(caller).copied().unwrap_or(0)
    }

    /// Requests that wait for a back end.
    pub(crate) const fn queued(&self) -> usize {
        self.waiting
    }

    /// Requests that wait for one model or service.
    pub(crate) fn waiting(&self, work: &Work) -> usize {
        self.lanes.get(work).map_or(0, |lane| lane.queue.len())
    }

    /// Models and services that requests wait for.
    pub(crate) fn wanted(&self) -> Vec<Work> {
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

    /// Puts a request in its line.
    pub(crate) fn push(&mut self, id: id::Request) {
        let Some(flow) = self.flows.get_mut(&id) else {
            return;
        };
        flow.stage = Stage::Waiting;
        self.lanes.entry(flow.work.clone()).or_default().queue.push(&flow.ticket);
        self.waiting += 1;
    }

    /// Takes a request out of its line because its turn has come.
    pub(crate) fn serve(&mut self, id: id::Request) {
        let Some(flow) = self.flows.get(&id) else {
            return;
        };
        if let Some(lane) = self.lanes.get_mut(&flow.work) {
            lane.queue.serve(&flow.ticket);
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Forgets models and services for which nothing is under way and that are not `declared` any more.
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

/// Takes a request, or refuses it at once.
pub(crate) fn arrive(state: &mut State, now: Time, arrival: Arrival, out: &mut Vec<Effect>) {
    let id = arrival.id;
    let admitted = admit::admit(state, now, &arrival)
        .and_then(|admitted| make_room(state, now, &admitted, out).map(|()| admitted));
    let admitted = match admitted {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(state, id, refused, out),
    };
    // One that another entry VM passed on was claimed there.
    let key = arrival.key.clone().filter(|_| arrival.hops == 0);
    let digest = arrival.digest.clone();
    if let Work::Artifact(artifact) = &admitted.work {
        state.demand.arrived(artifact);
    }
    open(state, arrival, admitted);
    match key {
        Some(key) => claim::begin(state, now, id, key, digest, out),
        None => dispatch::enqueue(state, now, id, out),
    }
}

fn refuse(state: &mut State, id: id::Request, refused: Refused, out: &mut Vec<Effect>) {
    state.counters.end(refused.code);
    let end = End::failed(Exposure::default(), refused.code, Some(refused.retry_after));
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
        exposure: Exposure::default(),
        tries: 0,
        strikes: 0,
        again: 0,
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

/// Sees to it that there is room in the line, if need be at the cost of a request that waits.
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
        |id: &id::Request| state.flow.flows.get(id).and_then(|flow| flow.exposure.proof()).is_none();
    let Some(victim) = lane.queue.displaced(&admitted.ticket).filter(|id| !unproven(id)) else {
        return Err(admit::full(lane));
    };
    let retry_after = admit::preempted(lane);
    let exposure = state.flow.flows.get(&victim).map(|flow| flow.exposure).unwrap_or_default();
    end(state, now, victim, End::failed(exposure, Code::Preempted, Some(retry_after)), out);
    Ok(())
}

/// Closes the try that is open, if it is this one.
pub(crate) fn close(state: &mut State, attempt: id::Attempt) -> Option<Try> {
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
    state.timers.cancel(closed.watch);
    state.flow.close_lane(&work);
    if let Some(site) = state.routes.site(&closed.backend) {
        state.routes.close_try(site, &work);
    }
    Some(closed)
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
    let end_with = End::failed(flow.exposure, code, None);
    end(state, now, id, end_with, out);
}

/// Ends a request, with the try that is still open.
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
        dispatch::at(state, now, &closed.backend, out);
    }
    crate::drain::settle(state, now, out);
}
