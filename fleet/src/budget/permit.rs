//! The permits with which requests are sent once more.

use std::time::Duration;

use boragecove_core::time::Time;

use super::own::Own;
use super::{Ask, PERMIT_KEPT, Permit, give, pause};
use crate::effect::Effect;
use crate::flow::Stage;
use crate::flow::{self, Flow};
use crate::outcome;
use crate::quota::hash;
use crate::record::{Record, ms};
use crate::request::Id;
use crate::state::State;

/// Added to the rank of a request whose answer can only be late.
const LATE: u8 = 128;

/// What a request needs to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// Nothing: it has reached no engine.
    First,
    /// A permit.
    Needed,
    /// It has one, to be sent until then.
    Permitted(Time),
    /// It was sent with one.
    Sent(Time),
}

impl Repeat {
    /// Until when it may be sent; none if at any time.
    pub(crate) const fn until(self) -> Option<Time> {
        match self {
            Self::First | Self::Needed => None,
            Self::Permitted(until) | Self::Sent(until) => Some(until),
        }
    }

    /// The request is sent.
    pub(crate) const fn sent(self) -> Self {
        match self {
            Self::Permitted(until) => Self::Sent(until),
            Self::First | Self::Needed | Self::Sent(_) => self,
        }
    }

    /// It was not sent after all.
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
    /// It may.
    Yes,
    /// The leader is asked; [`answered`] follows.
    Asked,
    /// It may not.
    No,
}

/// What came of drawing a permit.
#[derive(Clone, Copy, Debug)]
enum Drawn {
    /// There is one, until then.
    Until(Time),
    Asked,
    Nothing,
}

impl Drawn {
    const fn obtained(self) -> Obtained {
        match self {
            Self::Until(_) => Obtained::Yes,
            Self::Asked => Obtained::Asked,
            Self::Nothing => Obtained::No,
        }
    }
}

/// Whether a repeat is allowed, by whom or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    /// It was earned here.
    Own,
    /// The leader gave it.
    Leader,
    /// The leader has none left.
    Spent,
    /// Nobody is known to lead.
    Unled,
    /// The leader did not answer in time.
    Silent,
}

impl Decision {
    const fn allows(self) -> bool {
        matches!(self, Self::Own | Self::Leader)
    }

    /// Its name in logs and metrics.
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

/// Sees to it that a request has a permit if it needs one.
pub(crate) fn obtain(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.repeat.allows(now) {
        return Obtained::Yes;
    }
    let drawn = draw(state, now, id, out);
    if let (Drawn::Until(until), Some(flow)) = (drawn, state.flows.get_mut(&id)) {
        flow.repeat = Repeat::Permitted(until);
    }
    drawn.obtained()
}

/// The same for a request that is at an engine, and is to be taken from it only if it may be sent to another.
pub(crate) fn ahead(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.ahead.is_some_and(|until| now < until) {
        return Obtained::Yes;
    }
    let drawn = draw(state, now, id, out);
    if let (Drawn::Until(until), Some(flow)) = (drawn, state.flows.get_mut(&id)) {
        flow.ahead = Some(until);
    }
    drawn.obtained()
}

/// Draws a permit, from what was earned here or from the leader.
fn draw(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Drawn {
    let Some(flow) = state.flows.get(&id) else {
        return Drawn::Nothing;
    };
    if flow.asks_repeat {
        return Drawn::Asked;
    }
    let (service, rank) = (flow.service.clone(), rank(flow, now));
    let State { budget, settings, .. } = state;
    if let Some(until) = budget.own.get_mut(&service).and_then(|own| own.take(now, settings)) {
        note(state, now, id, Decision::Own, out);
        return Drawn::Until(until);
    }
    let ask = Ask { service: hash(&service), rank };
    if state.lease.holds(now).is_some() {
        let given = give(state, now, ask) == Permit::Given;
        note(state, now, id, if given { Decision::Leader } else { Decision::Spent }, out);
        return if given { Drawn::Until(now + PERMIT_KEPT) } else { Drawn::Nothing };
    }
    let paused = state.budget.paused.get(&ask.service);
    if paused.is_some_and(|(until, from)| now < *until && rank >= *from) {
        note(state, now, id, Decision::Spent, out);
        return Drawn::Nothing;
    }
    let leads = state.hub.leads && state.hub.alive(now, &state.settings);
    let leader = state.lease.hub().filter(|row| leads && row.holder != state.me.vm).map(|row| row.address);
    let Some(address) = leader else {
        note(state, now, id, Decision::Unled, out);
        return Drawn::Nothing;
    };
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.asks_repeat = true;
    }
    out.push(Effect::Permit { address, request: id, asked: now, ask });
    Drawn::Asked
}

/// A request ends: what it was allowed and has not used is there for the next one.
pub(crate) fn put_back(state: &mut State, flow: &Flow) {
    let Some(own) = state.budget.own.get_mut(&flow.service) else {
        return;
    };
    if let Repeat::Permitted(until) = flow.repeat {
        own.put_back(until);
    }
    if let Some(until) = flow.ahead {
        own.put_back(until);
    }
}

/// The rank of a request among those that ask for repeats; 0 goes first.
fn rank(flow: &Flow, now: Time) -> u8 {
    if now < flow.begin_by { flow.priority().min(LATE - 1) } else { LATE }
}

/// The leader answered a question of then, or did not.
pub(crate) fn answered(
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
    flow.asks_repeat = false;
    let (service, rank) = (hash(&flow.service), rank(flow, now));
    let (decision, wait) = match permit {
        Some(Permit::Given) => (Decision::Leader, Duration::ZERO),
        Some(Permit::Short(wait)) => (Decision::Spent, wait),
        Some(Permit::Elsewhere) => (Decision::Unled, pause(&state.settings)),
        None => (Decision::Silent, pause(&state.settings)),
    };
    note(state, now, id, decision, out);
    if decision.allows() {
        return permitted(state, now, id, asked + PERMIT_KEPT, out);
    }
    state.budget.paused.insert(service, (now + wait, rank));
    let at_engine = state.flows.get(&id).is_some_and(|flow| matches!(flow.stage, Stage::Sent { .. }));
    if !at_engine {
        outcome::not_repeated(state, now, id, out);
    }
}

/// The leader has given a repeat.
fn permitted(state: &mut State, now: Time, id: Id, until: Time, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if let Stage::Sent { .. } = flow.stage {
        // The next look at its engine finds it.
        flow.ahead = Some(until);
        return;
    }
    flow.repeat = Repeat::Permitted(until);
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
        earned: state.budget.own.get(&service).map_or(0, Own::left),
        service,
        hub_age_ms: ms(state.hub.age(now).min(Duration::from_hours(1))),
        alive_ms: ms(now.since(state.started)),
    }));
}
