//! Engines that fall over if they have to turn away too many requests in a second, whoever sent those, as they say in their answers while that
//! holds.
//!
//! They may let fewer wait later on without saying so: that is seen by a rejection alone. So each request asks the one owner of the
//! engine's places, which gives no more than the engine runs, and nobody sends one that would have to wait there. Each rejection is told the owner
//! at once; it halves what the owner gives, and half of the rejections that the engine bears stop it until the second is over.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::table::Table;
use super::{Advert, Limit, unreadable};
use crate::effect::Effect;
use crate::engine::Engine;
use crate::frame;
use crate::notice::{Asked, Bearing, Start};
use crate::push::{self, Message};
use crate::record::Record;
use crate::request::Id;
use crate::schedule::{Ask, Need};
use crate::state::State;
use crate::timer::Timer;

/// Part of an engine's slots that places are given for: runs take longer or shorter than the mean, and none may have to wait.
const SLOTS_PART: f64 = 0.8;
/// The time in which engines count what they turn away.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after the last rejection in which an engine is given all that it runs again.
const RECOVERED: Duration = Duration::from_secs(4);
/// Rejections that are remembered of one engine, at most: far fewer stop its places.
const REMEMBERED_MAX: usize = 16;
/// Rejections that were heard of twice are no further apart: each entry VM tells how long ago one was.
const SAME: Duration = Duration::from_millis(2);
/// How long a service counts as brittle after one of its engines has said so: one that falls over is back within seconds, and
/// says nothing before its first answer.
const SERVICE_KEPT: Duration = Duration::from_secs(10);
/// The longest wait for a place at a brittle engine: what was given before a rejection arrives after it.
pub(crate) const WAIT_MAX: Duration = Duration::from_millis(50);

/// What is known of a brittle engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Brittle {
    /// Rejections in a second that it bears.
    pub(super) most: f64,
    /// When it turned requests away lately, in order.
    pub(super) rejections: Vec<Time>,
}

/// The same, as an entry VM tells another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Told {
    /// Rejections in a second that it bears.
    pub most: f64,
    /// How long ago it turned requests away lately.
    pub rejections: Vec<Duration>,
}

impl Brittle {
    pub(super) fn told(&self, now: Time) -> Told {
        Told { most: self.most, rejections: self.rejections.iter().map(|at| now.since(*at)).collect() }
    }

    pub(super) fn of(told: &Told, now: Time) -> Self {
        Self { most: told.most, rejections: told.rejections.iter().map(|age| now - *age).collect() }
    }

    /// Takes over rejections that were not known. Returns whether there were any.
    pub(super) fn merge(&mut self, rejections: &[Time]) -> bool {
        let before = self.rejections.len();
        for at in rejections {
            let known = |other: &Time| at.since(*other).max(other.since(*at)) < SAME;
            if !self.rejections.iter().any(known) {
                self.rejections.push(*at);
            }
        }
        let new = self.rejections.len() > before;
        self.rejections.sort_unstable();
        let beyond = self.rejections.len().saturating_sub(REMEMBERED_MAX);
        self.rejections.drain(..beyond);
        new
    }

    /// Requests a second that it may be given, of those that it runs.
    fn per_s(&self, now: Time, runs_per_s: f64) -> f64 {
        let lately = self.rejections.iter().filter(|at| now.since(**at) < WINDOW).count();
        if lately >= ((self.most / 2.0) as usize).max(1) {
            return 0.0;
        }
        let age = self.rejections.last().map_or(RECOVERED, |at| now.since(*at));
        let recovered = (age.as_secs_f64() / RECOVERED.as_secs_f64()).min(1.0);
        runs_per_s * (0.5 + recovered / 2.0) * 0.5_f64.powf(lately as f64)
    }
}

/// The limit of an engine that is brittle, or whose service has brittle engines.
pub(crate) fn limit(state: &State, now: Time, engine: &Engine) -> Option<Limit> {
    if state.intakes.services.is_empty() {
        return None;
    }
    let service = &engine.entry.service;
    let known = state.intakes.brittle(engine);
    if known.is_none() && !state.intakes.is_service_brittle(service, now) {
        return None;
    }
    let slots = f64::from(engine.entry.slots.max(1)) * SLOTS_PART;
    let runs_per_s = slots * 1_000.0 / state.pace(service).max(1.0);
    let heard = known.and_then(|known| known.rejections.last().copied()).unwrap_or_default();
    let per_s = known.map_or(runs_per_s, |known| known.per_s(now, runs_per_s));
    Some(Limit { per_s, heard })
}

/// Whether an engine is brittle, or may be, and runs as much as it can: one more would wait there.
pub(crate) fn would_wait(state: &State, now: Time, engine: &Engine) -> bool {
    engine.load().open >= engine.entry.slots && limit(state, now, engine).is_some()
}

/// An answer of an engine says whether it is brittle. If not, that is over if the request was sent after it was said.
pub(crate) fn noticed(
    state: &mut State,
    now: Time,
    from: &Start,
    bearing: Bearing,
    asked: Option<Asked>,
    out: &mut Vec<Effect>,
) {
    let (word, label) = match bearing {
        Bearing::Brittle(most) => (Some(Brittle { most, rejections: Vec::new() }), "brittle"),
        Bearing::Sound => {
            let heard = state.intakes.brittle_word(from).map(|(_, heard)| heard);
            if heard.is_none_or(|heard| asked.is_none_or(|asked| asked.at <= heard)) {
                return;
            }
            (None, "sound")
        }
        Bearing::Unreadable => return unreadable(state, from, "the number of rejections", out),
    };
    let most = word.as_ref().map(|word| word.most);
    let service = service_of(state, from).filter(|_| most.is_some());
    let first = service.is_some_and(|service| state.intakes.note_service(service, now));
    if !state.intakes.set_brittle(from, word, now, true) {
        return;
    }
    note(from, most, label, out);
    if first {
        tell(state, now, from, out);
    }
}

fn service_of(state: &State, from: &Start) -> Option<Name> {
    state.engines.get(&from.engine).map(|engine| engine.entry.service.clone())
}

/// All are told that a service's engines are brittle, since hundreds of entry VMs would go on sending for as long as it takes until each has an
/// answer or a frame's: the leader tells them, and anybody else the leader.
fn tell(state: &mut State, now: Time, from: &Start, out: &mut Vec<Effect>) {
    let advert = state.engines.get(&from.engine).and_then(|known| state.intakes.told(now, known));
    let message = Message { limits: advert.into_iter().collect(), ..Message::default() };
    push::tell(state, now, &message, out);
    frame::send(state, now, out);
}

/// A brittle engine turned a request away: the owner of its places hears of it at once, and what waits for a place asks anew.
pub(crate) fn rejected(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let Some(brittle) = state.intakes.brittle(known).cloned() else {
        return;
    };
    let from = Start { engine: engine.clone(), incarnation: known.entry.incarnation };
    let zone = known.entry.zone.clone();
    let word = Brittle { rejections: vec![now], ..brittle };
    let most = Some(word.most);
    state.intakes.set_brittle(&from, Some(word), now, true);
    note(&from, most, "rejected", out);
    hold(state, now, engine);
    let owner = state.members.sole_owner(engine, &zone).filter(|owner| owner.vm != state.me.vm);
    let limit = state.engines.get(engine).and_then(|known| state.intakes.told(now, known));
    if let Some(address) = owner.map(|owner| owner.address) {
        let ask = Ask { engine: engine.clone(), need: Need::default(), limit, ..Ask::default() };
        out.push(Effect::Ask { address, request: Id::NONE, ask });
    }
}

/// Another entry VM told what it knows. Returns whether it is the first word that the engines of the service are brittle.
pub(super) fn told(state: &mut State, now: Time, advert: &Advert) -> bool {
    let Some(told) = &advert.brittle else {
        if state.intakes.brittle_word(&advert.from).is_some() && advert.brittle_age.is_some() {
            let heard = advert.brittle_age.map_or(now, |age| now - age);
            state.intakes.set_brittle(&advert.from, None, heard, false);
        }
        return false;
    };
    let heard = advert.brittle_age.map_or(now, |age| now - age);
    let first =
        service_of(state, &advert.from).is_some_and(|service| state.intakes.note_service(service, heard));
    let word = Brittle::of(told, now);
    let rejected = !word.rejections.is_empty();
    let news = state.intakes.set_brittle(&advert.from, Some(word), heard, false);
    if news && rejected {
        hold(state, now, &advert.from.engine);
    }
    news && first
}

/// Places that were given go back, and the next one is as far away as it is now.
fn hold(state: &mut State, now: Time, engine: &Name) {
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let Some(apart) = limit(state, now, known).map(|limit| limit.interval(1.0).min(WINDOW)) else {
        return;
    };
    if let Some(known) = state.engines.get_mut(engine) {
        known.schedule.keep_away(now + apart);
    }
    state.timers.set(now, Timer::Recall(engine.clone()));
}

fn note(from: &Start, most: Option<f64>, label: &'static str, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Brittle {
        engine: from.engine.clone(),
        state: label,
        rejections_per_s: most,
    }));
}

impl Table {
    /// What is known of a brittle engine in the list.
    pub(super) fn brittle(&self, engine: &Engine) -> Option<&Brittle> {
        let word = self.word(&engine.entry.id, engine.entry.incarnation)?;
        word.brittle.as_ref()
    }

    /// Whether an engine in the list has said that it is brittle.
    pub(crate) fn is_brittle(&self, engine: &Engine) -> bool {
        self.brittle(engine).is_some()
    }

    /// Whether an engine of a service has said lately that it is brittle.
    pub(super) fn is_service_brittle(&self, service: &Name, now: Time) -> bool {
        self.services.get(service).is_some_and(|at| now.since(*at) < SERVICE_KEPT)
    }

    /// An engine of a service said then that it is brittle. Returns whether none had lately.
    fn note_service(&mut self, service: Name, heard: Time) -> bool {
        let before = self.services.get(&service).copied();
        self.services.insert(service, before.max(Some(heard)).unwrap_or(heard));
        before.is_none_or(|before| heard.since(before) >= SERVICE_KEPT)
    }
}
