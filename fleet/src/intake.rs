//! How many requests a second engines in need take from all entry VMs together, as they say in their answers for as long as it
//! holds.
//!
//! One entry VM lets requests to such an engine: the owner of its schedule, which all others ask for a place for each request
//! anyway, spaces the places by the limit. Who owns it alone is known in time ([`crate::ownership`]); one that cannot be certain
//! gives places for a part of the limit. A limit that is heard goes along with questions for places, and to all by way of the
//! leader. What waits for a place that was given before goes back.

mod brittle;
mod start;
mod table;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Engine;
use crate::flow::{self, COME_BACK};
use crate::members::Claim;
use crate::notice::{Asked, Start};
use crate::push::{self, Message};
use crate::record::Record;
use crate::state::State;
use crate::timer::Timer;
pub use brittle::Told;
pub(crate) use brittle::{WAIT_MAX, noticed as noticed_brittle, rejected, would_wait};
pub(crate) use start::{cold, keeps_schedule, started, surge_of};
pub(crate) use table::Table;

/// Part of a limit for which an owner gives places that is not certain to be the only one: two of them beside a certain one keep within
/// the users' rule, and an engine is not left without work when the leader is lost.
const UNCERTAIN_PART: f64 = 0.25;
/// One request in this time goes to an engine in any case, if one is there: its answer tells whether the limit still holds.
const TRIAL_EVERY: Duration = Duration::from_secs(4);
/// Age of a word from which an engine in need is less and less left to those that need it, and time in which it comes to be used like any
/// other.
const AGEING: Duration = Duration::from_secs(2);
const AGED: Duration = Duration::from_secs(2);
/// What speaks against an engine in need at most, in ms of waiting.
const RESERVE_MS: f64 = 500.0;

/// What an answer says of the requests that its engine takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Intake {
    /// It names no limit.
    #[default]
    Open,
    /// It takes so many a second from all entry VMs together; finite, and not below 0.
    Limited(f64),
    /// It names something that is no number of requests, which is no word either way.
    Unreadable,
}

/// What an entry VM tells another of an engine's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Advert {
    /// Which start of which engine.
    pub from: Start,
    /// Requests a second; none if there is no limit any more.
    pub per_s: Option<f64>,
    /// Time since the engine said so.
    pub age: Duration,
    /// What the engine bears, if it is brittle.
    pub brittle: Option<brittle::Told>,
    /// Time since it said so, or nothing of it any more; none if it never did.
    pub brittle_age: Option<Duration>,
}

impl Advert {
    /// Whether there is a limit, or the engine is brittle.
    #[must_use]
    pub const fn names_limit(&self) -> bool {
        self.per_s.is_some() || self.brittle.is_some()
    }
}

/// How an engine may be used now, as far as is known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Access {
    /// It named no limit.
    Open,
    /// The next place is free after this time, and so much speaks against taking it, in ms of waiting.
    After(Duration, f64),
    /// Nobody can be asked for a place for this time.
    Closed(Duration),
}

/// How far apart places at an engine are to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spacing {
    /// As close as they may be.
    Open,
    /// At least so far.
    Apart(Duration),
    /// Another entry VM gives them.
    Elsewhere,
}

/// A limit that holds now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    /// Requests a second.
    pub(crate) per_s: f64,
    /// When the engine named it.
    pub(crate) heard: Time,
}

impl Limit {
    /// Time from one request to the next, for a part of it.
    fn interval(self, part: f64) -> Duration {
        interval(self.per_s * part)
    }

    /// What speaks against its engine beside the wait for a place, in ms: it is left to those that have no other, unless nothing was
    /// heard of it for a while.
    fn reserve_ms(self, now: Time) -> f64 {
        let age = now.since(self.heard);
        let fresh = 1.0 - age.saturating_sub(AGEING).div_duration_f64(AGED);
        let half_ms = self.interval(1.0).as_secs_f64() * 500.0;
        half_ms.min(RESERVE_MS) * fresh.max(0.0)
    }
}

/// Time from one request to the next, for so many a second.
fn interval(per_s: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / per_s);
    interval.map_or(TRIAL_EVERY, |interval| interval.min(TRIAL_EVERY))
}

/// An answer of an engine came. One to a request that was sent before the limit was heard may have been made before there was
/// one, and ends none.
pub(crate) fn noticed(
    state: &mut State,
    now: Time,
    from: &Start,
    intake: Intake,
    asked: Option<Asked>,
    out: &mut Vec<Effect>,
) {
    let before = state.intakes.limit(&from.engine, from.incarnation);
    let per_s = match intake {
        Intake::Limited(per_s) => Some(per_s),
        Intake::Open => {
            let over = before.zip(asked).is_some_and(|(limit, asked)| asked.at > limit.heard);
            if !over {
                return;
            }
            None
        }
        Intake::Unreadable => return unreadable(state, from, "the limit", out),
    };
    let before = before.map(|limit| limit.per_s);
    if per_s != before {
        out.push(Effect::Record(Record::Intake {
            request: asked.map(|asked| asked.request.0),
            engine: from.engine.clone(),
            limit_per_s: per_s,
            before_per_s: before,
        }));
    }
    keep(state, now, from, per_s, now, true);
}

/// Logs once that a word of an engine is no number of requests.
fn unreadable(state: &mut State, from: &Start, what: &str, out: &mut Vec<Effect>) {
    if !state.intakes.is_new_unreadable(&from.engine) {
        return;
    }
    let error = format!("{what} that {} names is no number of requests", from.engine);
    out.push(Effect::Record(Record::Unusable { what: "engine_limit", error }));
}

/// Another entry VM told of engines' limits in a frame: the first word that a service's engines are brittle goes on to all at once.
pub(crate) fn told_by_frame(state: &mut State, now: Time, limits: &[Advert], out: &mut Vec<Effect>) {
    let limits: Vec<Advert> = limits.iter().filter(|limit| told(state, now, limit)).cloned().collect();
    if !limits.is_empty() {
        push::tell(state, now, &Message { limits, ..Message::default() }, out);
    }
}

/// Another entry VM told of an engine's limit. What an engine said last counts. Returns whether it is the first word that the engines of
/// its service are brittle.
pub(crate) fn told(state: &mut State, now: Time, told: &Advert) -> bool {
    let Advert { from, per_s, age, .. } = told;
    let heard = now - *age;
    let listed = state.engines.get(&from.engine).map(|engine| engine.entry.incarnation);
    if listed.is_some_and(|listed| listed != from.incarnation) {
        return false;
    }
    let first = brittle::told(state, now, told);
    let named = per_s.is_some() || state.intakes.limit(&from.engine, from.incarnation).is_some();
    if named && !state.intakes.knows_later(from, *per_s, heard) {
        keep(state, now, from, *per_s, heard, false);
    }
    first
}

/// Keeps what an engine said.
fn keep(state: &mut State, now: Time, from: &Start, per_s: Option<f64>, heard: Time, own: bool) {
    let Start { engine, incarnation } = from;
    if incarnation.0.is_none() && !state.engines.contains_key(engine) {
        // Whoever comes under that id may be another.
        return;
    }
    let said = state.intakes.set(now, from, per_s, heard, own);
    let apart = state.intakes.limit(engine, *incarnation).map(|limit| limit.interval(1.0));
    if let Some(known) = state.engines.get_mut(engine) {
        match apart {
            // It has got what was sent before.
            Some(apart) if said.is_none() => known.schedule.keep_away(now + apart),
            // It takes more than it did when the next place was set.
            Some(apart) if said < per_s => known.schedule.bring_forward(now + apart),
            None if said.is_some() => known.schedule.bring_forward(now),
            Some(_) | None => {}
        }
    }
    if apart.is_some() && said.is_none_or(|said| Some(said) > per_s) {
        state.timers.set(now, Timer::Recall(engine.clone()));
    }
}

/// An engine has named a limit, or a lower one: what waits for a place that was given before is to ask anew.
pub(crate) fn recall(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    flow::withdraw(state, now, engine, out);
}

/// What an engine may be given by all entry VMs together: what it has named, what it bears while it is cold, or what it runs while it is brittle.
pub(crate) fn bound_of(state: &State, now: Time, engine: &Engine) -> Option<Limit> {
    let limits = state.intakes.limit_of(engine, now).into_iter().chain(brittle::limit(state, now, engine));
    limits.min_by(|one, other| one.per_s.total_cmp(&other.per_s))
}

/// How an engine may be used now.
pub(crate) fn access(state: &State, now: Time, engine: &Engine) -> Access {
    let Some(limit) = bound_of(state, now, engine) else {
        return start::access(state, now, engine);
    };
    let place = Access::After(engine.schedule.wait(now), limit.reserve_ms(now));
    // Most of the time all answer, and who the owner is need not be found for each request and engine.
    if !state.members.list().is_empty() && !state.members.is_any_silent(now) {
        return place;
    }
    let Some(owner) = state.members.sole_owner(&engine.entry.id, &engine.entry.zone) else {
        return Access::Closed(COME_BACK);
    };
    let silence = state.members.silence(&owner.vm, now).filter(|_| owner.vm != state.me.vm);
    silence.map_or(place, Access::Closed)
}

/// How far apart places at an engine are to be that this entry VM gives.
pub(crate) fn spacing(state: &State, now: Time, engine: &Engine) -> Spacing {
    let Some(limit) = bound_of(state, now, engine) else {
        return start::spacing(state, now, engine);
    };
    match state.members.claim(&state.me.vm, &engine.entry.id, &engine.entry.zone, now) {
        // Places that this entry VM gave before it started anew are still to be used.
        Claim::Sole if !start::has_run(state, now) => Spacing::Apart(limit.interval(UNCERTAIN_PART)),
        Claim::Sole => Spacing::Apart(limit.interval(1.0)),
        Claim::Uncertain => Spacing::Apart(limit.interval(UNCERTAIN_PART)),
        Claim::None => Spacing::Elsewhere,
    }
}

/// How far apart places at an engine are that its owner gives, as far as is known here.
pub(crate) fn apart(state: &State, now: Time, engine: &Engine) -> Duration {
    match bound_of(state, now, engine) {
        Some(limit) => limit.interval(1.0),
        None => start::apart(state, engine),
    }
}
