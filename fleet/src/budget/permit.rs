//! The permits with which requests are sent once more.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Ask, PERMIT_KEPT, Permit, give, own, pause};
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

/// Sees to it that a request has a permit if it needs one.
pub(crate) fn obtain(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.repeat.allows(now) {
        return Obtained::Yes;
    }
    let (obtained, until) = draw(state, now, id, out);
    if let Some(flow) = state.flows.get_mut(&id).filter(|_| obtained == Obtained::Yes) {
        flow.repeat = Repeat::Permitted(until);
    }
    obtained
}

/// The same for a request that is at an engine, and is to be taken from it only if it may be sent to another.
pub(crate) fn ahead(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> Obtained {
    let Some(flow) = state.flows.get(&id) else {
        return Obtained::No;
    };
    if flow.ahead.is_some_and(|until| now < until) {
        return Obtained::Yes;
    }
    let (obtained, until) = draw(state, now, id, out);
    if let Some(flow) = state.flows.get_mut(&id).filter(|_| obtained == Obtained::Yes) {
        flow.ahead = Some(until);
    }
    obtained
}

/// Draws a permit, from what was earned here or from the leader. Returns until when it holds, if there is one.
fn draw(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> (Obtained, Time) {
    let until = now + PERMIT_KEPT;
    let Some(flow) = state.flows.get(&id) else {
        return (Obtained::No, until);
    };
    if flow.asks_repeat {
        return (Obtained::Asked, until);
    }
    let (service, rank) = (flow.service.clone(), rank(flow, now));
    let State { budget, settings, .. } = state;
    if let Some(until) = budget.own.get_mut(&service).and_then(|own| own.take(now, settings)) {
        note(state, now, id, Ok("own"), out);
        return (Obtained::Yes, until);
    }
    let ask = Ask { service: hash(&service), rank };
    if state.lease.holds(now).is_some() {
        let given = give(state, now, ask) == Permit::Given;
        note(state, now, id, if given { Ok("leader") } else { Err("spent") }, out);
        return (if given { Obtained::Yes } else { Obtained::No }, until);
    }
    let paused = state.budget.paused.get(&ask.service);
    if paused.is_some_and(|(until, from)| now < *until && rank >= *from) {
        note(state, now, id, Err("spent"), out);
        return (Obtained::No, until);
    }
    let leads = state.hub.leads && state.hub.alive(now, &state.settings);
    let leader = state.lease.hub().filter(|row| leads && row.holder != state.me.vm).map(|row| row.address);
    let Some(address) = leader else {
        note(state, now, id, Err("unled"), out);
        return (Obtained::No, until);
    };
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.asks_repeat = true;
    }
    out.push(Effect::Permit { address, request: id, asked: now, ask });
    (Obtained::Asked, until)
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
    let (service, rank) = (flow.service.clone(), rank(flow, now));
    let until = asked + PERMIT_KEPT;
    let wait = match permit {
        Some(Permit::Given) => None,
        Some(Permit::Short(wait)) => Some((wait, "spent")),
        Some(Permit::Elsewhere) => Some((pause(&state.settings), "unled")),
        None => Some((pause(&state.settings), "silent")),
    };
    if let Some((wait, _)) = wait {
        state.budget.paused.insert(hash(&service), (now + wait, rank));
    }
    note(state, now, id, wait.map_or(Ok("leader"), |(_, why)| Err(why)), out);
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if let Stage::Sent { .. } = flow.stage {
        // The next look at its engine finds it.
        flow.ahead = wait.is_none().then_some(until);
        return;
    }
    if wait.is_none() {
        flow.repeat = Repeat::Permitted(until);
        let fresh = !state.waiting.contains(&id);
        flow::dispatch(state, now, id, fresh, out);
        if state.flows.get(&id).is_none_or(|flow| !matches!(flow.stage, Stage::Waiting)) {
            state.waiting.remove(&id);
        }
        return;
    }
    outcome::not_repeated(state, now, id, out);
}

/// Counts and logs whether a request may be sent once more, by whose word or why not.
fn note(
    state: &mut State,
    now: Time,
    id: Id,
    decided: Result<&'static str, &'static str>,
    out: &mut Vec<Effect>,
) {
    let Some(service) = state.flows.get(&id).map(|flow| flow.service.clone()) else {
        return;
    };
    let counts = match decided {
        Ok(by) => state.budget.allowed.entry(by),
        Err(why) => state.budget.denied.entry(why),
    };
    *counts.or_default() += 1;
    out.push(Effect::Record(record(state, now, id, service, decided)));
}

fn record(
    state: &State,
    now: Time,
    id: Id,
    service: Name,
    decided: Result<&'static str, &'static str>,
) -> Record {
    Record::Repeat {
        request: id.0,
        allowed: decided.is_ok(),
        by: decided.unwrap_or_else(|why| why),
        earned: state.budget.own.get(&service).map_or(0, own::Own::left),
        service,
        hub_age_ms: ms(state.hub.age(now).min(std::time::Duration::from_hours(1))),
        alive_ms: ms(now.since(state.started)),
    }
}
