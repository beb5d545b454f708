//! Schedules that space the prompts at an engine, so that it reads them one after another.
//!
//! While an engine reads a prompt, all its streams pause, and one event takes several steps of the engine. If three prompts arrive at
//! once, three steps that each read 2,048 tokens make a pause of over 300 ms at 22 tokens a ms, even if the engine reads prompts
//! for only a third of the time. Operators count such a pause as late for each of the twenty streams there, while a first event
//! may take 500 ms or more.
//!
//! Prompts are therefore spaced at each engine (a leaky bucket). In any span as long as the pause that the operator allows, the
//! reading of prompts and the time of one event have to fit. The span holds `pause / spacing + 1` prompts of one size,
//! so a prompt that takes `prefill` to be read delays the next one by `prefill * pause / (pause - event - prefill)`. Entry VMs learn too late
//! what the others send, so one of them owns the engine's schedule, and the others ask it for reservations. The owner is found
//! by rendezvous hashing among the entry VMs of the engine's availability zone, so that the work is spread and most
//! reservation requests stay within the zone. If the owner does not answer, the asker goes by its own copy of the
//! schedule, because badly spaced prompts break no guarantee. At a rate-limited engine they do: there the spacing also enforces the
//! limit ([`crate::rate_limit`]), and only the owner grants reservations.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::config::Route;
use crate::effect::Effect;
use crate::frame;
use crate::rate_limit::{self, Report, Spacing};
use crate::record::{Record, ms};
use crate::state::State;

/// How long an owner that did not answer is not asked again. Longer than a stall of a small machine, shorter than most outages.
const OWNER_PAUSE: Duration = Duration::from_secs(1);

/// The schedule of prompts at one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// When the next prompt can be sent.
    free_at: Time,
}

impl Schedule {
    /// How long the next prompt would have to wait.
    #[must_use]
    pub fn wait(&self, now: Time) -> Duration {
        self.free_at.since(now)
    }

    /// Reserves the next free time for a prompt. Returns how long the prompt has to wait for it.
    pub fn reserve(&mut self, now: Time, cost: Cost) -> Duration {
        let wait = self.wait(now);
        self.free_at = now + wait + cost.spacing_after(wait);
        wait
    }

    /// Moves the next free time to `until`, unless it is later already.
    pub fn delay_until(&mut self, until: Time) {
        self.free_at = self.free_at.max(until);
    }

    /// Moves the next free time to `by`, unless it is earlier already.
    pub fn bring_forward(&mut self, by: Time) {
        self.free_at = self.free_at.min(by);
    }

    /// Sets the next free time as reported by the owner: the next prompt can be sent after `wait`.
    pub fn set_wait(&mut self, now: Time, wait: Duration) {
        self.free_at = now + wait;
    }
}

/// The time that a prompt takes in a schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Time to read the prompt.
    pub prefill: Duration,
    /// Time from this prompt to the next one.
    pub spacing: Duration,
    /// The operator's target for the time to the first event.
    pub target: Duration,
}

impl Cost {
    /// The time that a prompt takes which is read in `prefill`, at an engine that takes `event` to make one event while it reads no
    /// prompt.
    #[must_use]
    pub fn new(prefill: Duration, event: Duration, route: &Route) -> Self {
        let (pause, target) = (route.pause, route.target);
        let room = pause.saturating_sub(event);
        // A prompt that fills more than half of the room makes a late pause only together with others of its size.
        let rest = room.saturating_sub(prefill).max(room / 2);
        let spacing =
            if rest.is_zero() { prefill } else { prefill.mul_f64(pause.as_secs_f64() / rest.as_secs_f64()) };
        Self { prefill, spacing, target }
    }

    /// The time from a prompt that has waited to the next one. Once prompts wait for more than half of their target, the spacing shrinks;
    /// once they wait for all of it, prompts follow each other as fast as they are read. Later first events would then cost more than
    /// the pauses.
    fn spacing_after(&self, wait: Duration) -> Duration {
        let half = self.target.as_secs_f64() / 2.0;
        let pressure = if half > 0.0 { (wait.as_secs_f64() / half - 1.0).clamp(0.0, 1.0) } else { 0.0 };
        self.spacing.saturating_sub(self.spacing.saturating_sub(self.prefill).mul_f64(pressure))
    }
}

/// A request for a reservation in an engine's schedule.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// The engine's id.
    pub engine: Name,
    /// The time that the prompt takes in the schedule.
    pub cost: Cost,
    /// The longest wait for which the reservation is wanted.
    pub wait_max: Duration,
    /// The engine's rate limit as known to the asker.
    pub limit: Option<Report>,
    /// How much longer the engine is cold, as known to the asker; none if it is not.
    pub cold_left: Option<Duration>,
}

impl ReservationRequest {
    /// Whether the asker knows of a rate limit, or that the engine is cold.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.cold_left.is_some() || self.limit.as_ref().is_some_and(Report::has_limit)
    }
}

/// The answer to a request for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// Reserved: send the prompt after this time.
    After(Duration),
    /// Not reserved, because the prompt would have to wait for this time.
    Busy(Duration),
    /// Not reserved: the engine is rate-limited, and another entry VM owns its schedule.
    Elsewhere,
}

impl Grant {
    /// Its label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::After(_) => "given",
            Self::Busy(_) => "busy",
            Self::Elsewhere => "elsewhere",
        }
    }
}

/// Answers a request for a reservation, as the owner of the engine's schedule.
pub(crate) fn grant(state: &mut State, now: Time, ask: &ReservationRequest) -> Grant {
    if let Some(limit) = &ask.limit {
        rate_limit::report_received(state, now, limit);
    }
    if let Some(left) = ask.cold_left {
        rate_limit::mark_cold(state, now, &ask.engine, left);
    }
    let Some(engine) = state.engines.get(&ask.engine) else {
        // The engine was registered just now, so nobody has sent it anything.
        return if ask.is_limited() { Grant::Elsewhere } else { Grant::After(Duration::ZERO) };
    };
    let min_spacing = match rate_limit::spacing(state, now, engine) {
        Spacing::Unlimited => Duration::ZERO,
        Spacing::AtLeast(min_spacing) => min_spacing,
        Spacing::NotOwner => return Grant::Elsewhere,
    };
    let Some(engine) = state.engines.get_mut(&ask.engine) else {
        return Grant::Elsewhere;
    };
    let wait = engine.schedule.wait(now);
    if wait > ask.wait_max {
        return Grant::Busy(wait);
    }
    let wait = engine.schedule.reserve(now, ask.cost);
    engine.schedule.delay_until(now + wait + min_spacing);
    Grant::After(wait)
}

/// Updates the local copy of an engine's schedule by the owner's answer.
pub(crate) fn learn_grant(state: &mut State, now: Time, ask: &ReservationRequest, grant: Grant) {
    let interval = frame::frame_interval(state);
    if rate_limit::ignores_reported_schedule(state, now, &ask.engine) {
        return;
    }
    let min_spacing =
        state.engines.get(&ask.engine).map(|engine| rate_limit::expected_spacing(state, now, engine));
    let Some((engine, min_spacing)) = state.engines.get_mut(&ask.engine).zip(min_spacing) else {
        return;
    };
    match grant {
        Grant::After(wait) => engine.schedule.set_wait(now, wait + ask.cost.spacing.max(min_spacing)),
        Grant::Busy(wait) => engine.schedule.set_wait(now, wait),
        // The hub's next answer tells who owns the schedule.
        Grant::Elsewhere => engine.schedule.set_wait(now, interval),
    }
}

/// Handles a schedule owner that did not answer: it is not asked again for a while.
pub(crate) fn owner_timed_out(state: &mut State, now: Time, owner: &Name, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::OwnerSilent { owner: owner.clone(), for_ms: ms(OWNER_PAUSE) }));
    state.members.mark_silent(owner, now + OWNER_PAUSE);
}
