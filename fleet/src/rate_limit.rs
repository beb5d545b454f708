//! Rate limits that engines report in their answers: requests per second from all entry VMs together, valid
//! for as long as the engine keeps reporting them.
//!
//! The limit is enforced by the owner of the engine's schedule. All other entry VMs ask it for a
//! reservation for each request anyway, and it spaces the reservations by the limit. [`crate::ownership`]
//! tells when an owner is certainly the only one; an owner that cannot be certain uses a part of the limit.
//! A reported limit travels with requests for reservations to the owner, and through the hub to all entry
//! VMs. When a limit is set or lowered, requests that wait for an earlier reservation ask again.

mod brittle;
mod start;
mod table;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Engine;
use crate::flow::{self, RETRY_AFTER};
use crate::members::Claim;
use crate::notice::{AnsweredRequest, Start};
use crate::push::{self, Message};
use crate::record::Record;
use crate::state::State;
use crate::timer::Timer;
pub use brittle::BrittleReport;
pub(crate) use brittle::{WAIT_MAX, rejection_limit_received, rejection_received, would_wait};
pub(crate) use start::{engine_started, ignores_reported_schedule, mark_cold, surge_limit};
pub(crate) use table::Table;

/// Part of the limit that an owner uses while it may not be the only one. Two such owners beside a certain
/// one stay within the platform's bound, and the engine still gets work when the hub is lost.
const UNCERTAIN_PART: f64 = 0.25;
/// Longest time between two requests to a limited engine, whatever its limit: only an answer tells whether
/// the limit still applies.
const INTERVAL_MAX: Duration = Duration::from_secs(4);
/// After `PENALTY_HELD` without a new report, the penalty of a rate-limited engine begins to fall; it
/// reaches zero after a further `PENALTY_FADE`.
const PENALTY_HELD: Duration = Duration::from_secs(2);
const PENALTY_FADE: Duration = Duration::from_secs(2);
/// Largest penalty of a rate-limited engine in the choice of engines, in ms of waiting.
const PENALTY_MAX_MS: f64 = 500.0;

/// Rate limit that an answer reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Rate {
    /// No limit reported.
    #[default]
    Unlimited,
    /// Requests per second from all entry VMs together; finite and not negative.
    PerSecond(f64),
    /// The reported value is not a valid number. It neither sets nor clears a limit.
    Invalid,
}

/// Limits of an engine as one entry VM reports them to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The start of the engine that reported them.
    pub start: Start,
    /// Rate limit in requests per second; `None` if it was lifted.
    pub per_s: Option<f64>,
    /// Time since the engine reported the rate limit or its end.
    pub age: Duration,
    /// The rejection limit, if the engine is brittle.
    pub brittle: Option<brittle::BrittleReport>,
    /// Time since the engine reported the rejection limit or its end; `None` if it never reported one.
    pub brittle_age: Option<Duration>,
}

impl Report {
    /// Whether the report contains a limit of either kind.
    #[must_use]
    pub const fn has_limit(&self) -> bool {
        self.per_s.is_some() || self.brittle.is_some()
    }
}

/// Whether and when this entry VM can use an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Access {
    /// No limit known.
    Unlimited,
    /// The next reservation is free after this time; the number is the engine's penalty in ms of waiting.
    After(Duration, f64),
    /// No owner can be asked for a reservation for this time.
    Closed(Duration),
}

/// Spacing of the reservations that this entry VM grants at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Spacing {
    /// No spacing required.
    Unlimited,
    /// At least this time between two reservations.
    AtLeast(Duration),
    /// This entry VM does not own the engine's schedule.
    NotOwner,
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Limit {
    /// Requests per second.
    pub(crate) per_s: f64,
    /// When the engine reported it.
    pub(crate) reported_at: Time,
}

impl Limit {
    /// Time between two requests at this part of the limit.
    fn interval(self, part: f64) -> Duration {
        interval(self.per_s * part)
    }

    /// Penalty of the engine in ms, in addition to the wait for a reservation. It leaves the engine to
    /// requests that have no other one, and ends when the report has grown old.
    fn penalty_ms(self, now: Time) -> f64 {
        let age = now.since(self.reported_at);
        let weight = 1.0 - age.saturating_sub(PENALTY_HELD).div_duration_f64(PENALTY_FADE);
        let half_ms = self.interval(1.0).as_secs_f64() * 500.0;
        half_ms.min(PENALTY_MAX_MS) * weight.max(0.0)
    }
}

/// Time between two requests at this rate.
fn interval(per_s: f64) -> Duration {
    let interval = Duration::try_from_secs_f64(1.0 / per_s);
    interval.map_or(INTERVAL_MAX, |interval| interval.min(INTERVAL_MAX))
}

/// Handles the rate limit in an engine's answer. An answer without a limit clears the known one only if its
/// request was sent after that limit was reported; an earlier request may have been answered before.
pub(crate) fn rate_limit_received(
    state: &mut State,
    now: Time,
    source: &Start,
    rate: Rate,
    request: Option<AnsweredRequest>,
    out: &mut Vec<Effect>,
) {
    let previous = state.rate_limits.limit(&source.engine, source.incarnation);
    let per_s = match rate {
        Rate::PerSecond(per_s) => Some(per_s),
        Rate::Unlimited => {
            let is_lifted =
                previous.zip(request).is_some_and(|(limit, request)| request.sent_at > limit.reported_at);
            if !is_lifted {
                return;
            }
            None
        }
        Rate::Invalid => return log_invalid(state, source, "rate limit", out),
    };
    let previous = previous.map(|limit| limit.per_s);
    if per_s != previous {
        out.push(Effect::Record(Record::Intake {
            request: request.map(|request| request.request.0),
            engine: source.engine.clone(),
            limit_per_s: per_s,
            before_per_s: previous,
        }));
    }
    store_limit(state, now, source, per_s, now, true);
}

/// Logs once per engine that a value it reports is not a valid number.
fn log_invalid(state: &mut State, source: &Start, what: &str, out: &mut Vec<Effect>) {
    if !state.rate_limits.mark_invalid_logged(&source.engine) {
        return;
    }
    let error = format!("engine {} reported an invalid {what}", source.engine);
    out.push(Effect::Record(Record::Unusable { what: "engine_limit", error }));
}

/// Handles limit reports in a frame of another entry VM. The first report that a service has brittle
/// engines is pushed to all entry VMs at once.
pub(crate) fn frame_reports_received(state: &mut State, now: Time, limits: &[Report], out: &mut Vec<Effect>) {
    let limits: Vec<Report> =
        limits.iter().filter(|limit| report_received(state, now, limit)).cloned().collect();
    if !limits.is_empty() {
        push::notify(state, now, &Message { limits, ..Message::default() }, out);
    }
}

/// Handles a limit report of another entry VM; the engine's latest statement wins. Returns whether this is
/// the first report that the engine's service has brittle engines.
pub(crate) fn report_received(state: &mut State, now: Time, report: &Report) -> bool {
    let Report { start: source, per_s, age, .. } = report;
    let reported_at = now - *age;
    let listed = state.engines.get(&source.engine).map(|engine| engine.entry.incarnation);
    if listed.is_some_and(|listed| listed != source.incarnation) {
        return false;
    }
    let first = brittle::report_received(state, now, report);
    let concerns_limit =
        per_s.is_some() || state.rate_limits.limit(&source.engine, source.incarnation).is_some();
    if concerns_limit && !state.rate_limits.has_newer(source, *per_s, reported_at) {
        store_limit(state, now, source, *per_s, reported_at, false);
    }
    first
}

/// Stores the rate limit that an engine reported, or its end.
fn store_limit(
    state: &mut State,
    now: Time,
    source: &Start,
    per_s: Option<f64>,
    reported_at: Time,
    report_to_hub: bool,
) {
    let Start { engine, incarnation } = source;
    if incarnation.0.is_none() && !state.engines.contains_key(engine) {
        // Without an incarnation, this report cannot be told from one of a later engine with the same id.
        return;
    }
    let previous = state.rate_limits.set(now, source, per_s, reported_at, report_to_hub);
    let spacing = state.rate_limits.limit(engine, *incarnation).map(|limit| limit.interval(1.0));
    if let Some(known) = state.engines.get_mut(engine) {
        match spacing {
            // The engine has just received requests without spacing.
            Some(spacing) if previous.is_none() => known.schedule.delay_until(now + spacing),
            // The limit has risen since the next reservation time was set.
            Some(spacing) if previous < per_s => known.schedule.bring_forward(now + spacing),
            None if previous.is_some() => known.schedule.bring_forward(now),
            Some(_) | None => {}
        }
    }
    if spacing.is_some() && previous.is_none_or(|previous| Some(previous) > per_s) {
        state.timers.set(now, Timer::RescheduleWaiting(engine.clone()));
    }
}

/// Cancels the reservations at an engine after its limit was set or lowered, so that their requests ask
/// again.
pub(crate) fn recall(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    flow::cancel_reservations(state, now, engine, out);
}

/// The lowest limit in force for an engine over all entry VMs: its reported rate limit, its cold-start
/// rate, or the throughput of a brittle engine.
pub(crate) fn effective_limit(state: &State, now: Time, engine: &Engine) -> Option<Limit> {
    let limits =
        state.rate_limits.limit_of(engine, now).into_iter().chain(brittle::limit(state, now, engine));
    limits.min_by(|one, other| one.per_s.total_cmp(&other.per_s))
}

/// Whether and when this entry VM can use an engine now.
pub(crate) fn access(state: &State, now: Time, engine: &Engine) -> Access {
    let Some(limit) = effective_limit(state, now, engine) else {
        return start::access(state, now, engine);
    };
    let reservation = Access::After(engine.schedule.wait(now), limit.penalty_ms(now));
    // Usually no entry VM is silent. This check avoids finding the owner for every request and engine.
    if !state.members.list().is_empty() && !state.members.any_silent(now) {
        return reservation;
    }
    let Some(owner) = state.members.sole_owner(&engine.entry.id, &engine.entry.zone) else {
        return Access::Closed(RETRY_AFTER);
    };
    let silence = state.members.silent_for(&owner.vm, now).filter(|_| owner.vm != state.me.vm);
    silence.map_or(reservation, Access::Closed)
}

/// Spacing of the reservations that this entry VM grants at an engine.
pub(crate) fn spacing(state: &State, now: Time, engine: &Engine) -> Spacing {
    let Some(limit) = effective_limit(state, now, engine) else {
        return start::spacing(state, now, engine);
    };
    match state.members.claim(&state.me.vm, &engine.entry.id, &engine.entry.zone, now) {
        // Reservations that the previous process of this entry VM granted may still be used.
        Claim::Sole if !start::has_outlived_previous(state, now) => {
            Spacing::AtLeast(limit.interval(UNCERTAIN_PART))
        }
        Claim::Sole => Spacing::AtLeast(limit.interval(1.0)),
        Claim::Uncertain => Spacing::AtLeast(limit.interval(UNCERTAIN_PART)),
        Claim::None => Spacing::NotOwner,
    }
}

/// Spacing that the owner of the engine's schedule is expected to use.
pub(crate) fn expected_spacing(state: &State, now: Time, engine: &Engine) -> Duration {
    match effective_limit(state, now, engine) {
        Some(limit) => limit.interval(1.0),
        None => start::expected_spacing(state, engine),
    }
}
