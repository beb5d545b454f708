//! Permits that requests need in order to be retried.

use std::time::Duration;

use boragecove_core::time::Time;

use super::earned::Earned;
use super::{PERMIT_KEPT, Permit, PermitRequest, grant, pause_max};
use crate::effect::Effect;
use crate::flow::Stage;
use crate::flow::{self, Flow};
use crate::outcome;
use crate::quota::hash;
use crate::record::{Record, ms};
use crate::request::Id;
use crate::state::State;

/// Rank of requests whose answer can no longer begin in time; it comes after all priorities.
const LATE: u8 = 128;

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
    /// The hub has been asked; [`answered`] follows.
    Pending,
    /// It may not be sent.
    No,
}

/// Result of drawing a permit.
#[derive(Clone, Copy, Debug)]
enum Drawn {
    /// A permit that is valid until this time.
    Until(Time),
    Asked,
    Nothing,
}

impl Drawn {
    const fn obtained(self) -> Obtained {
        match self {
            Self::Until(_) => Obtained::Yes,
            Self::Asked => Obtained::Pending,
            Self::Nothing => Obtained::No,
        }
    }
}

/// Decision on a retry, with the grantor or the reason for denial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// Granted: earned by this process.
    Own,
    /// Granted by the hub.
    Leader,
    /// Denied: the hub has none left.
    Spent,
    /// Denied: no hub is known.
    Unled,
    /// Denied: the hub did not answer in time.
    Silent,
}

impl Decision {
    const fn allows(self) -> bool {
        matches!(self, Self::Own | Self::Leader)
    }

    /// Value of the field `by` in logs and label in metrics.
    const fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Leader => "leader",
            Self::Spent => "spent",
            Self::Unled => "unled",
            Self::Silent => "silent",
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
    let drawn = draw(state, now, id, out);
    if let (Drawn::Until(until), Some(flow)) = (drawn, state.flows.get_mut(&id)) {
        flow.retry = Retry::Permitted(until);
    }
    drawn.obtained()
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
    let drawn = draw(state, now, id, out);
    if let (Drawn::Until(until), Some(flow)) = (drawn, state.flows.get_mut(&id)) {
        flow.early_permit = Some(until);
    }
    drawn.obtained()
}

/// Draws a permit from those earned by this process, or asks the hub.
fn draw(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Drawn {
    let Some(flow) = state.flows.get(&id) else {
        return Drawn::Nothing;
    };
    if flow.awaits_permit {
        return Drawn::Asked;
    }
    let (service, rank) = (flow.service.clone(), rank(flow, now));
    let State { budget, settings, .. } = state;
    if let Some(until) = budget.own.get_mut(&service).and_then(|own| own.take(now, settings)) {
        note(state, now, id, Decision::Own, out);
        return Drawn::Until(until);
    }
    let ask = PermitRequest { service: hash(&service), rank };
    if state.lease.held_term(now).is_some() {
        let given = grant(state, now, ask) == Permit::Granted;
        note(state, now, id, if given { Decision::Leader } else { Decision::Spent }, out);
        return if given { Drawn::Until(now + PERMIT_KEPT) } else { Drawn::Nothing };
    }
    let paused = state.budget.paused.get(&ask.service);
    if paused.is_some_and(|(until, from)| now < *until && rank >= *from) {
        note(state, now, id, Decision::Spent, out);
        return Drawn::Nothing;
    }
    let leads = state.hub.leads && state.hub.is_alive(now, &state.settings);
    let leader = state.lease.hub().filter(|row| leads && row.holder != state.me.vm).map(|row| row.address);
    let Some(address) = leader else {
        note(state, now, id, Decision::Unled, out);
        return Drawn::Nothing;
    };
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.awaits_permit = true;
    }
    out.push(Effect::RequestPermit { address, request: id, asked: now, ask });
    Drawn::Asked
}

/// Returns the unused permits of a request that ends.
pub(crate) fn return_unused(state: &mut State, flow: &Flow) {
    let Some(own) = state.budget.own.get_mut(&flow.service) else {
        return;
    };
    if let Retry::Permitted(until) = flow.retry {
        own.put_back(until);
    }
    if let Some(until) = flow.early_permit {
        own.put_back(until);
    }
}

/// Rank of a request among those that ask for permits; 0 is served first.
fn rank(flow: &Flow, now: Time) -> u8 {
    if now < flow.begin_by { flow.priority().min(LATE - 1) } else { LATE }
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
        Some(Permit::Granted) => (Decision::Leader, Duration::ZERO),
        Some(Permit::Exhausted(wait)) => (Decision::Spent, wait),
        Some(Permit::NotHub) => (Decision::Unled, pause_max(&state.settings)),
        None => (Decision::Silent, pause_max(&state.settings)),
    };
    note(state, now, id, decision, out);
    if decision.allows() {
        return permitted(state, now, id, asked + PERMIT_KEPT, out);
    }
    state.budget.paused.insert(service, (now + wait, rank));
    let at_engine = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Sent { .. }));
    if !at_engine {
        outcome::end_without_retry(state, now, id, out);
    }
}

/// Uses a permit granted by the hub.
fn permitted(state: &mut State, now: Time, id: Id, until: Time, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if let Stage::Sent { .. } = flow.stage {
        // The permit is used when the engine is next checked for silence.
        flow.early_permit = Some(until);
        return;
    }
    flow.retry = Retry::Permitted(until);
    let fresh = !state.waiting.contains(&id);
    flow::dispatch(state, now, id, fresh, out);
    let waits = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Waiting));
    if !waits {
        state.waiting.remove(&id);
    }
}

/// Counts and logs a decision.
fn note(state: &mut State, now: Time, id: Id, decision: Decision, out: &mut Vec<Effect>) {
    let Some(service) = state.flows.get(&id).map(|flow| flow.service.clone()) else {
        return;
    };
    *state.budget.decisions.entry(decision.label()).or_default() += 1;
    out.push(Effect::Record(Record::Repeat {
        request: id.0,
        allowed: decision.allows(),
        by: decision.label(),
        earned: state.budget.own.get(&service).map_or(0, Earned::left),
        service,
        hub_age_ms: ms(state.hub.age(now).min(Duration::from_hours(1))),
        alive_ms: ms(now.since(state.started)),
    }));
}
