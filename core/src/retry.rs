//! Handles failed attempts: retries the request where that is safe and within the retry budget, else ends
//! it.

use std::time::Duration;

use crate::attempt::{Destination, Failure, Refusal, Resume};
use crate::code::Code;
use crate::count::Reason;
use crate::dispatch;
use crate::effect::Effect;
use crate::end::{End, Evidence};
use crate::flow::{self, Flow, OpenAttempt};
use crate::id;
use crate::route::Work;
use crate::route_sync;
use crate::settings::Settings;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// Retry budget: retries are earned by successful requests and by a fixed rate per second, up to a burst.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    spent: f64,
    at: Time,
}

impl Budget {
    /// Adds the fraction of a retry that an answered request earns.
    pub(crate) fn earn(&mut self, settings: &Settings) {
        self.spent = (self.spent - settings.retry_ratio).max(0.0);
    }

    /// Uses one retry. If none is left, returns the time until one is earned.
    fn take(&mut self, now: Time, settings: &Settings) -> Result<(), Duration> {
        let floor = now.since(self.at).as_secs_f64() * settings.retry_floor;
        self.spent = (self.spent - floor).max(0.0);
        self.at = now;
        let short = self.spent + 1.0 - settings.retry_burst;
        if short > 0.0 {
            return Err(Duration::from_secs_f64(short / settings.retry_floor.max(0.01)));
        }
        self.spent += 1.0;
        Ok(())
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The HTTP edge reported the failure.
    Failed(Failure),
    /// No data was received within the time limit.
    Silent,
    /// An event of the stream is missing.
    Gap,
}

impl Fault {
    fn reason(self) -> Reason {
        match self {
            Self::Failed(Failure::Connect) => Reason::Connect,
            Self::Failed(Failure::Refused(Refusal::Busy)) => Reason::Busy,
            Self::Failed(Failure::Refused(Refusal::Leaving)) => Reason::Leaving,
            Self::Failed(Failure::Refused(Refusal::NotLoaded)) => Reason::NotLoaded,
            Self::Failed(Failure::Refused(Refusal::Late)) => Reason::Late,
            Self::Failed(Failure::Broken) => Reason::Broken,
            Self::Failed(Failure::Error) => Reason::Error,
            Self::Failed(Failure::Foreign) => Reason::Foreign,
            Self::Failed(Failure::Forgotten) => Reason::Forgotten,
            Self::Silent => Reason::Silent,
            Self::Gap => Reason::Gap,
        }
    }

    /// Result code of a request that ends because of this fault.
    fn code(self) -> Code {
        match self {
            Self::Failed(Failure::Connect) => Code::RetriesSpent,
            Self::Failed(Failure::Refused(_)) => Code::BackendRefused,
            Self::Failed(Failure::Error | Failure::Foreign) => Code::BackendFailed,
            Self::Failed(Failure::Broken | Failure::Forgotten) | Self::Gap => Code::Interrupted,
            Self::Silent => Code::BackendSilent,
        }
    }

    fn evidence(self) -> Option<Evidence> {
        match self {
            Self::Failed(failure) => Evidence::of(failure),
            Self::Silent | Self::Gap => None,
        }
    }

    /// Whether only the connection may have failed, so that the engine may still hold the answer.
    const fn resumable(self) -> bool {
        matches!(self, Self::Failed(Failure::Broken) | Self::Silent | Self::Gap)
    }

    /// Whether the HTTP exchange of the attempt is still open.
    const fn exchange_open(self) -> bool {
        matches!(self, Self::Silent | Self::Gap | Self::Failed(Failure::Foreign))
    }

    /// Whether the attempt may have caused load at the back end. Other failures use no retry budget, and a
    /// request for a model is retried after them until its deadline, since placement may load the model
    /// elsewhere in the meantime.
    const fn adds_load(self) -> bool {
        !matches!(
            self,
            Self::Failed(Failure::Connect | Failure::Refused(Refusal::Leaving | Refusal::NotLoaded))
        )
    }
}

/// Handles a failed attempt: retries where that is safe, else ends the request.
pub(crate) fn failed(
    state: &mut State,
    now: Time,
    attempt: id::Attempt,
    fault: Fault,
    out: &mut Vec<Effect>,
) {
    let Some(closed) = flow::close(state, attempt) else {
        return;
    };
    route_sync::attempt_failed(state, now, &closed, fault, out);
    let Some(flow) = state.flow.flows.get_mut(&attempt.request) else {
        return;
    };
    if let Some(evidence) = fault.evidence() {
        flow.execution.attempt_not_run(evidence);
    }
    if fault.adds_load() || !matches!(flow.work, Work::Artifact(_)) {
        flow.failures += 1;
    }
    let attempts_max = state.settings.attempts_max;
    let in_time = now < flow.ticket.deadline;
    let next = if in_time && flow.failures < attempts_max { next(flow, &closed, fault) } else { Next::End };
    if fault.exchange_open() {
        let same = matches!(next, Next::Same);
        out.push(if same { Effect::Release(attempt) } else { Effect::Cancel(attempt) });
    }
    match next {
        Next::Same => {
            state.counters.retry(fault.reason());
            // The engine knows this attempt only if it has begun to answer it.
            let of = if closed.head_received { attempt } else { closed.resumes.unwrap_or(attempt) };
            flow.resume = Resume::Same { of, offset: flow.delivered };
            dispatch::resume(state, now, attempt.request, &closed.backend, out);
        }
        Next::Other => retry_elsewhere(state, now, attempt.request, &closed, fault, out),
        Next::End => give_up(state, now, attempt.request, fault, None, out),
    }
    dispatch::to_backend(state, now, &closed.backend, out);
}

/// Next action after a failed attempt.
enum Next {
    /// Resume the answer at the same engine.
    Same,
    /// Queue the request again; it may go to another back end.
    Other,
    /// End the request.
    End,
}

fn next(flow: &Flow, closed: &OpenAttempt, fault: Fault) -> Next {
    if flow.committed {
        return Next::End;
    }
    let holds_answer =
        matches!(closed.destination, Destination::Engine(_)) && flow.stream && fault.resumable();
    let must_resume = flow.delivered > 0 || !flow.idempotent;
    // A request that is not idempotent is resumed all the same, since no other back end may run it.
    let no_progress = closed.resumes.is_some() && flow.delivered == closed.start_offset && flow.idempotent;
    if holds_answer && must_resume && !no_progress {
        return Next::Same;
    }
    if flow.idempotent || flow.execution.not_run_proof().is_some() { Next::Other } else { Next::End }
}

fn retry_elsewhere(
    state: &mut State,
    now: Time,
    id: id::Request,
    closed: &OpenAttempt,
    fault: Fault,
    out: &mut Vec<Effect>,
) {
    if fault.adds_load()
        && let Err(wait) = state.budget.take(now, &state.settings)
    {
        give_up(state, now, id, fault, Some(wait), out);
        return;
    }
    let Some(flow) = state.flow.flows.get_mut(&id) else {
        return;
    };
    flow.resume = dispatch::resume_point(flow.delivered);
    if !flow.avoid.contains(&closed.backend) {
        flow.avoid.push(closed.backend.clone());
    }
    let wait = backoff(&state.settings, &mut state.rng, flow.requeued);
    flow.requeued += 1;
    if now + wait >= flow.ticket.deadline {
        give_up(state, now, id, fault, None, out);
        return;
    }
    state.counters.retry(fault.reason());
    if wait.is_zero() {
        dispatch::enqueue(state, now, id, out);
        return;
    }
    flow.stage = flow::Stage::Paused(state.timers.set(now + wait, Timer::Retry(id)));
}

/// Pause before a retry. The first retry is sent at once, since it avoids the back end that failed. Later
/// ones wait a random time between zero and a bound that doubles each time (full jitter).
fn backoff(settings: &Settings, rng: &mut fastrand::Rng, again: u16) -> Duration {
    let Some(doublings) = again.checked_sub(1) else {
        return Duration::ZERO;
    };
    let bound = settings.backoff_base.saturating_mul(1 << doublings.min(16)).min(settings.backoff_max);
    bound.mul_f64(rng.f64())
}

fn give_up(
    state: &mut State,
    now: Time,
    id: id::Request,
    fault: Fault,
    wait: Option<Duration>,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flow.flows.get(&id) else {
        return;
    };
    let code = match flow.execution.not_run_proof() {
        Some(_) => Code::RetriesSpent,
        None => fault.code(),
    };
    let wait = wait.unwrap_or(crate::admit::RETRY_AFTER);
    let end = End::failed(flow.execution, code, Some(wait));
    flow::end(state, now, id, end, out);
}
