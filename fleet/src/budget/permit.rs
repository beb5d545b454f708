//! Permits that requests need in order to be retried.

use std::time::Duration;

use boragecove_core::time::Time;

use super::earned::Earned;
use super::{PERMIT_VALID_FOR, Permit, PermitRequest, grant, pause_max};
use crate::effect::Effect;
use crate::flow::Stage;
use crate::flow::{self, Flow};
use crate::outcome;
use crate::quota::hash;
use crate::record::{Record, ms};
use crate::request::Id;
use crate::state::State;

/// Rank of requests whose answer can no longer begin in time; it comes after all priorities.
const LATE_RANK: u8 = 128;

/// Whether a request needs a permit before it can be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Retry {
    /// No permit needed: the request has reached no engine yet.
    First,
    /// A permit is needed.
    Needed,
    /// A permit was granted and is valid until this time.
    Permitted(Time),
    /// The request was sent with a permit that was valid until this time.
    Sent(Time),
}

impl Retry {
    /// Expiry of the permit; `None` without a permit.
    pub(crate) const fn until(self) -> Option<Time> {
        match self {
            Self::First | Self::Needed => None,
            Self::Permitted(until) | Self::Sent(until) => Some(until),
        }
    }

    /// State after the request has been sent.
    pub(crate) const fn sent(self) -> Self {
        match self {
            Self::Permitted(until) => Self::Sent(until),
            Self::First | Self::Needed | Self::Sent(_) => self,
        }
    }

    /// State after a send that did not take place: the permit can be used again.
    pub(crate) const fn withdrawn(self) -> Self {
        match self {
            Self::Sent(until) => Self::Permitted(until),
            Self::First | Self::Needed | Self::Permitted(_) => self,
        }
    }

    fn allows(self, now: Time) -> bool {
        match self {
            Self::First => true,
            Self::Needed | Self::Sent(_) => false,
            Self::Permitted(until) => now < until,
        }
    }
}

/// Whether a request may be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Obtained {
    /// It may be sent.
    Yes,
    /// The hub has been asked; [`permit_answered`] follows.
    Pending,
    /// It may not be sent.
    No,
}

/// Result of drawing a permit.
#[derive(Clone, Copy, Debug)]
enum DrawResult {
    /// A permit that is valid until this time.
    Granted(Time),
    Pending,
    Denied,
}

impl DrawResult {
    const fn obtained(self) -> Obtained {
        match self {
            Self::Granted(_) => Obtained::Yes,
            Self::Pending => Obtained::Pending,
            Self::Denied => Obtained::No,
        }
    }
}

/// Decision on a retry, with the grantor or the reason for denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// Granted: earned by this process.
    Earned,
    /// Granted by the hub.
    Hub,
    /// Denied: the hub has none left.
    Exhausted,
    /// Denied: no hub is known.
    NoHub,
    /// Denied: the hub did not answer in time.
    Unanswered,
}

impl Decision {
    const fn allows(self) -> bool {
        matches!(self, Self::Earned | Self::Hub)
    }

    /// Value of the field `by` in logs and label in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Earned => "own",
            Self::Hub => "leader",
            Self::Exhausted => "spent",
            Self::NoHub => "unled",
            Self::Unanswered => "silent",
        }
    }
}

/// Obtains a permit for a request if it needs one.
pub(crate) fn obtain(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.retry.allows(now) {
        return Obtained::Yes;
    }
    let result = draw(state, now, id, out);
    if let (DrawResult::Granted(until), Some(flow)) = (result, state.flows.get_mut(&id)) {
        flow.retry = Retry::Permitted(until);
    }
    result.obtained()
}

/// Obtains a permit for a request that is still at an engine. The attempt there is ended only if the
/// request may be sent to another engine.
pub(crate) fn obtain_early(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.early_permit.is_some_and(|until| now < until) {
        return Obtained::Yes;
    }
    let result = draw(state, now, id, out);
    if let (DrawResult::Granted(until), Some(flow)) = (result, state.flows.get_mut(&id)) {
        flow.early_permit = Some(until);
    }
    result.obtained()
}

/// Draws a permit from those earned by this process, or asks the hub.
fn draw(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> DrawResult {
    let Some(flow) = state.flows.get(&id) else {
        return DrawResult::Denied;
    };
    if flow.awaits_permit {
        return DrawResult::Pending;
    }
    let (service, rank) = (flow.service.clone(), rank(flow, now));
    let State { budget, settings, .. } = state;
    if let Some(until) = budget.earned.get_mut(&service).and_then(|earned| earned.take(now, settings)) {
        record(state, now, id, Decision::Earned, out);
        return DrawResult::Granted(until);
    }
    let ask = PermitRequest { service: hash(&service), rank };
    if state.lease.held_term(now).is_some() {
        let granted = grant(state, now, ask) == Permit::Granted;
        record(state, now, id, if granted { Decision::Hub } else { Decision::Exhausted }, out);
        return if granted { DrawResult::Granted(now + PERMIT_VALID_FOR) } else { DrawResult::Denied };
    }
    let paused = state.budget.paused.get(&ask.service);
    if paused.is_some_and(|(until, from_rank)| now < *until && rank >= *from_rank) {
        record(state, now, id, Decision::Exhausted, out);
        return DrawResult::Denied;
    }
    let has_hub = state.hub.leads && state.hub.is_alive(now, &state.settings);
    let hub = state.lease.hub().filter(|row| has_hub && row.holder != state.me.vm).map(|row| row.address);
    let Some(address) = hub else {
        record(state, now, id, Decision::NoHub, out);
        return DrawResult::Denied;
    };
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.awaits_permit = true;
    }
    out.push(Effect::RequestPermit { address, request: id, asked: now, ask });
    DrawResult::Pending
}

/// Returns the unused permits of a request that ends.
pub(crate) fn return_unused(state: &mut State, flow: &Flow) {
    let Some(earned) = state.budget.earned.get_mut(&flow.service) else {
        return;
    };
    if let Retry::Permitted(until) = flow.retry {
        earned.return_permit(until);
    }
    if let Some(until) = flow.early_permit {
        earned.return_permit(until);
    }
}

/// Rank of a request among those that ask for permits; 0 is served first.
fn rank(flow: &Flow, now: Time) -> u8 {
    if now < flow.begin_by { flow.priority().min(LATE_RANK - 1) } else { LATE_RANK }
}

/// Handles the hub's answer to a call made at `asked`; `permit` is `None` if the call failed.
pub(crate) fn permit_answered(
    state: &mut State,
    now: Time,
    id: Id,
    asked: Time,
    permit: Option<Permit>,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    flow.awaits_permit = false;
    let (service, rank) = (hash(&flow.service), rank(flow, now));
    let (decision, wait) = match permit {
        Some(Permit::Granted) => (Decision::Hub, Duration::ZERO),
        Some(Permit::Exhausted(wait)) => (Decision::Exhausted, wait),
        Some(Permit::NotHub) => (Decision::NoHub, pause_max(&state.settings)),
        None => (Decision::Unanswered, pause_max(&state.settings)),
    };
    record(state, now, id, decision, out);
    if decision.allows() {
        return use_hub_permit(state, now, id, asked + PERMIT_VALID_FOR, out);
    }
    state.budget.paused.insert(service, (now + wait, rank));
    let at_engine = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Sent { .. }));
    if !at_engine {
        outcome::end_without_retry(state, now, id, out);
    }
}

/// Uses a permit granted by the hub.
fn use_hub_permit(state: &mut State, now: Time, id: Id, until: Time, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if let Stage::Sent { .. } = flow.stage {
        // The permit is used when the engine is next checked for silence.
        flow.early_permit = Some(until);
        return;
    }
    flow.retry = Retry::Permitted(until);
    let is_new = !state.waiting.contains(&id);
    flow::dispatch(state, now, id, is_new, out);
    let is_waiting = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Waiting));
    if !is_waiting {
        state.waiting.remove(&id);
    }
}

/// Counts and logs a decision.
fn record(state: &mut State, now: Time, id: Id, decision: Decision, out: &mut Vec<Effect>) {
    let Some(service) = state.flows.get(&id).map(|flow| flow.service.clone()) else {
        return;
    };
    *state.budget.decisions.entry(decision.label()).or_default() += 1;
    out.push(Effect::Record(Record::Repeat {
        request: id.0,
        allowed: decision.allows(),
        by: decision.label(),
        earned: state.budget.earned.get(&service).map_or(0, Earned::available),
        service,
        hub_age_ms: ms(state.hub.age(now).min(Duration::from_hours(1))),
        alive_ms: ms(now.since(state.started)),
    }));
}
