//! When prompts are sent: spaced, so that an engine reads them one after another.
//!
//! The load that this answers: many prompts at once for models whose engines stream to many callers. While an engine
//! reads a prompt, all its streams stand still, and one event spans several of the engine's steps. Three steps that each
//! read 2,048 tokens make a pause of over 300 ms at 22 tokens a ms, though the engine reads for a third of the time only.
//! Operators count such a pause as late, for each of the twenty streams there. The first event has 500 ms or more.
//!
//! Prompts are therefore spaced at each engine (a leaky bucket). In any span as long as the pause that the operator
//! allows, what is read and one event's own time have to fit: `pause / space + 1` prompts of a size, so that a prompt
//! that takes `work` to be read keeps the next one away for `work * pause / (pause - event - work)`. Which entry VM sends next is not
//! known to the others before it is too late, so one of them owns the engine's schedule, and the others ask it for
//! a place. The owner is found by rendezvous hashing among the entry VMs of the engine's availability zone, so that the
//! work is spread and most questions stay within the zone. If the owner does not answer, the asker goes by the schedule
//! as it knows it: a schedule only spaces prompts, and no promise rests on it. That is otherwise for an engine in need, whose
//! limit the spaces keep as well ([`crate::intake`]).

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::config::Route;
use crate::effect::Effect;
use crate::frame;
use crate::intake::{self, Advert, Spacing};
use crate::record::{Record, ms};
use crate::state::State;

/// How long an entry VM that did not answer is not asked: longer than a stall of a small machine, shorter than most
/// outages.
const SILENT: Duration = Duration::from_secs(1);

/// The schedule of prompts at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// When the next prompt can be sent.
    free_at: Time,
}

impl Schedule {
    /// How long a prompt would wait.
    #[must_use]
    pub fn wait(&self, now: Time) -> Duration {
        self.free_at.since(now)
    }

    /// Takes the next place. Returns how long the prompt is to wait.
    pub fn take(&mut self, now: Time, need: Need) -> Duration {
        let wait = self.wait(now);
        self.free_at = now + wait + need.space_after(wait);
        wait
    }

    /// Nothing is to be sent before this time.
    pub fn keep_away(&mut self, until: Time) {
        self.free_at = self.free_at.max(until);
    }

    /// The next place is free by this time.
    pub fn bring_forward(&mut self, by: Time) {
        self.free_at = self.free_at.min(by);
    }

    /// Takes over what the owner said: the next prompt can be sent after `wait`.
    pub fn learn(&mut self, now: Time, wait: Duration) {
        self.free_at = now + wait;
    }
}

/// What a prompt needs of a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Need {
    /// Time to read it.
    pub work: Duration,
    /// Time for which the next prompt is kept away.
    pub space: Duration,
    /// The time to the first event that the operator aims at.
    pub target: Duration,
}

impl Need {
    /// What a prompt needs that takes `work` to be read, at an engine that takes `event` to make one event when it reads
    /// nothing.
    #[must_use]
    pub fn new(work: Duration, event: Duration, route: &Route) -> Self {
        let (pause, target) = (route.pause, route.target);
        let room = pause.saturating_sub(event);
        // One that fills more than half of the room makes a pause only together with others of its size.
        let rest = room.saturating_sub(work).max(room / 2);
        let space =
            if rest.is_zero() { work } else { work.mul_f64(pause.as_secs_f64() / rest.as_secs_f64()) };
        Self { work, space, target }
    }

    /// The space after a prompt that has waited. From half of its target on prompts move closer, and follow each other as
    /// fast as they are read once that is over: later first events would then cost more than the pauses.
    fn space_after(&self, wait: Duration) -> Duration {
        let half = self.target.as_secs_f64() / 2.0;
        let pressed = if half > 0.0 { (wait.as_secs_f64() / half - 1.0).clamp(0.0, 1.0) } else { 0.0 };
        self.space.saturating_sub(self.space.saturating_sub(self.work).mul_f64(pressed))
    }
}

/// A question for a place in an engine's schedule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The engine's id.
    pub engine: Name,
    /// What the prompt needs.
    pub need: Need,
    /// The longest wait for which the place is wanted.
    pub wait_max: Duration,
    /// What the asker knows of the engine's limit.
    pub limit: Option<Advert>,
    /// For how long the engine is still cold, as far as the asker knows.
    pub cold: Option<Duration>,
}

impl Ask {
    /// Whether the asker knows of a limit.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.cold.is_some() || self.limit.as_ref().is_some_and(Advert::names_limit)
    }
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// The place is taken: send the prompt after this time.
    After(Duration),
    /// No place is taken, since the wait would be this long.
    Busy(Duration),
    /// No place is taken: the engine has named a limit, and another entry VM gives its places.
    Elsewhere,
}

impl Grant {
    /// Its name in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::After(_) => "given",
            Self::Busy(_) => "busy",
            Self::Elsewhere => "elsewhere",
        }
    }
}

/// Answers a question, as the owner of the engine's schedule.
pub(crate) fn grant(state: &mut State, now: Time, ask: &Ask) -> Grant {
    if let Some(limit) = &ask.limit {
        intake::told(state, now, limit);
    }
    if let Some(left) = ask.cold {
        intake::cold(state, now, &ask.engine, left);
    }
    let Some(engine) = state.engines.get(&ask.engine) else {
        // It was registered just now: nobody has sent it anything.
        return if ask.is_limited() { Grant::Elsewhere } else { Grant::After(Duration::ZERO) };
    };
    let apart = match intake::spacing(state, now, engine) {
        Spacing::Open => Duration::ZERO,
        Spacing::Apart(apart) => apart,
        Spacing::Elsewhere => return Grant::Elsewhere,
    };
    let Some(engine) = state.engines.get_mut(&ask.engine) else {
        return Grant::Elsewhere;
    };
    let wait = engine.schedule.wait(now);
    if wait > ask.wait_max {
        return Grant::Busy(wait);
    }
    let wait = engine.schedule.take(now, ask.need);
    engine.schedule.keep_away(now + wait + apart);
    Grant::After(wait)
}

/// Takes over an answer, with what it says of the schedule.
pub(crate) fn learn(state: &mut State, now: Time, ask: &Ask, grant: Grant) {
    let again = frame::every(state);
    if intake::keeps_schedule(state, now, &ask.engine) {
        return;
    }
    let apart = state.engines.get(&ask.engine).map(|engine| intake::apart(state, now, engine));
    let Some((engine, apart)) = state.engines.get_mut(&ask.engine).zip(apart) else {
        return;
    };
    match grant {
        Grant::After(wait) => engine.schedule.learn(now, wait + ask.need.space.max(apart)),
        Grant::Busy(wait) => engine.schedule.learn(now, wait),
        // Who gives its places is known with the leader's next answer.
        Grant::Elsewhere => engine.schedule.learn(now, again),
    }
}

/// The owner of an engine's schedule did not answer.
pub(crate) fn unanswered(state: &mut State, now: Time, owner: &Name, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::OwnerSilent { owner: owner.clone(), for_ms: ms(SILENT) }));
    state.members.suspect(owner, now + SILENT);
}
