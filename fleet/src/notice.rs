//! What engines say of themselves in their answers, whatever those are to. It is as good as their entries in the store, and
//! comes at once, also while the store is away.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::departure::{self, Road};
use crate::effect::Effect;
use crate::engine::Incarnation;
use crate::flow;
use crate::frame;
use crate::intake::{self, Intake};
use crate::record::Record;
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// The longest pause that is kept; an engine that wants a longer one is asked anew after it.
const PAUSE_MAX: Duration = Duration::from_hours(1);

/// What an answer says of its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it leaves, and is to get no more work.
    pub leaving: bool,
    /// How long it wants nothing from this process, if it turned the request away.
    pub pause: Option<Duration>,
    /// How many requests it takes.
    pub intake: Intake,
    /// Whether it is brittle.
    pub brittle: Bearing,
}

/// What an answer says of the requests that its engine can turn away.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Bearing {
    /// Nothing: any number.
    #[default]
    Sound,
    /// With more than so many in a second it falls over; finite, and not below 0.
    Brittle(f64),
    /// It names something that is no number of requests, which is no word either way.
    Unreadable,
}

/// The request of a caller that an answer is to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Its number.
    pub request: Id,
    /// When it was sent.
    pub at: Time,
}

/// A start of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The engine's id.
    pub engine: Name,
    /// Which start: what one says does not hold for a later one.
    pub incarnation: Incarnation,
}

/// An answer of an engine came, to a caller's request if one is named, that says something of the engine.
pub(crate) fn noticed(
    state: &mut State,
    now: Time,
    from: &Start,
    notice: Notice,
    asked: Option<Asked>,
    out: &mut Vec<Effect>,
) {
    let listed = state.engines.get(&from.engine);
    // What an earlier start said is over.
    if listed.is_some_and(|known| known.entry.incarnation != from.incarnation) {
        return;
    }
    if notice.leaving {
        departure::said(state, now, from, Road::Answer, out);
        tell_departure(state, now, out);
    }
    if let Some(pause) = notice.pause {
        keep_pause(state, now, &from.engine, pause.min(PAUSE_MAX), out);
    }
    intake::noticed(state, now, from, notice.intake, asked, out);
    intake::noticed_brittle(state, now, from, notice.brittle, asked, out);
}

/// The others hear of it by the hub, or by this process where no hub answers.
fn tell_departure(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    departure::tell(state, now, out);
    if state.lease.holds(now).is_some() || !state.departures.is_any_untold() {
        return;
    }
    if state.hub.leads && frame::is_answered(state, now) {
        frame::send(state, now, out);
    } else {
        departure::tell_without_hub(state, out);
    }
}

/// Sends an engine nothing for as long as it wants.
fn keep_pause(state: &mut State, now: Time, engine: &Name, pause: Duration, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let until = known.health.paused_until.max(Some(now + pause));
    known.health.paused_until = until;
    let (service, version) = (known.entry.service.clone(), known.version.version);
    out.push(Effect::Record(Record::Engine { engine: engine.clone(), service, state: "paused", version }));
    // Orders and questions that are due meanwhile follow then.
    state.timers.set(until.unwrap_or(now), Timer::Check(engine.clone()));
    flow::withdraw(state, now, engine, out);
}
