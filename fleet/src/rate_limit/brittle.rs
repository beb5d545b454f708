//! Brittle engines: they crash when they have to reject too many requests within one second, from whatever
//! senders, and report so in their answers.
//!
//! Such an engine may shrink its queue without reporting it; only a rejection shows that. Each request
//! therefore needs a reservation from the owner of the engine's schedule, which grants no more than the
//! engine can run at once, and nobody sends a request that would have to queue at the engine. Each
//! rejection is reported to the owner at once and halves the rate of reservations. When half of the
//! tolerated rejections have occurred, reservations stop until that second is over.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use super::table::Table;
use super::{Limit, Report, log_invalid};
use crate::effect::Effect;
use crate::engine::Engine;
use crate::frame;
use crate::notice::{AnsweredRequest, Start, Tolerance};
use crate::push::{self, Message};
use crate::record::Record;
use crate::request::Id;
use crate::schedule::{Cost, ReservationRequest};
use crate::state::State;
use crate::timer::Timer;

/// Part of an engine's slots for which reservations are granted. Run times vary around the mean, and no
/// request may have to queue.
const SLOTS_PART: f64 = 0.8;
/// Time over which engines count their rejections.
const WINDOW: Duration = Duration::from_secs(1);
/// Time after the last rejection in which the rate of reservations returns to the engine's full throughput.
const RECOVERY: Duration = Duration::from_secs(4);
/// Number of rejections remembered per engine; far fewer already stop its reservations.
const REJECTIONS_MAX: usize = 16;
/// Rejections closer together than this are taken to be the same one, reported by different entry VMs:
/// reports give a rejection's age, not its time.
const SAME_REJECTION: Duration = Duration::from_millis(2);
/// How long a service counts as brittle after one of its engines reported a rejection limit. An engine that
/// crashes is back within seconds, but reports nothing before its first answer.
const SERVICE_BRITTLE_FOR: Duration = Duration::from_secs(10);
/// Longest wait for a reservation at a brittle engine. Requests whose reservation was granted before a
/// rejection still arrive after it, so few may be waiting.
pub(crate) const WAIT_MAX: Duration = Duration::from_millis(50);

/// State of a brittle engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Brittle {
    /// Rejections per second that it tolerates.
    pub(super) rejections_per_s: f64,
    /// Times of its recent rejections, in order.
    pub(super) rejections: Vec<Time>,
}

/// State of a brittle engine as one entry VM reports it to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BrittleReport {
    /// Rejections per second that it tolerates.
    pub rejections_per_s: f64,
    /// Ages of its recent rejections.
    pub rejection_ages: Vec<Duration>,
}

impl Brittle {
    pub(super) fn report(&self, now: Time) -> BrittleReport {
        BrittleReport {
            rejections_per_s: self.rejections_per_s,
            rejection_ages: self.rejections.iter().map(|at| now.since(*at)).collect(),
        }
    }

    pub(super) fn from_report(report: &BrittleReport, now: Time) -> Self {
        Self {
            rejections_per_s: report.rejections_per_s,
            rejections: report.rejection_ages.iter().map(|age| now - *age).collect(),
        }
    }

    /// Adds rejections that are not stored yet. Returns whether there were any.
    pub(super) fn merge(&mut self, rejections: &[Time]) -> bool {
        let before = self.rejections.len();
        for at in rejections {
            let is_known = |other: &Time| at.since(*other).max(other.since(*at)) < SAME_REJECTION;
            if !self.rejections.iter().any(is_known) {
                self.rejections.push(*at);
            }
        }
        let new = self.rejections.len() > before;
        self.rejections.sort_unstable();
        let beyond = self.rejections.len().saturating_sub(REJECTIONS_MAX);
        self.rejections.drain(..beyond);
        new
    }

    /// Requests per second that the engine may get, out of the `runs_per_s` that it can run.
    fn per_s(&self, now: Time, runs_per_s: f64) -> f64 {
        let recent = self.rejections.iter().filter(|at| now.since(**at) < WINDOW).count();
        if recent >= ((self.rejections_per_s / 2.0) as usize).max(1) {
            return 0.0;
        }
        let age = self.rejections.last().map_or(RECOVERY, |at| now.since(*at));
        let recovered = (age.as_secs_f64() / RECOVERY.as_secs_f64()).min(1.0);
        runs_per_s * (0.5 + recovered / 2.0) * 0.5_f64.powf(recent as f64)
    }
}

/// The limit of an engine that is brittle, or whose service has brittle engines.
pub(crate) fn limit(state: &State, now: Time, engine: &Engine) -> Option<Limit> {
    if state.rate_limits.services.is_empty() {
        return None;
    }
    let service = &engine.entry.service;
    let known = state.rate_limits.brittle(engine);
    if known.is_none() && !state.rate_limits.is_service_brittle(service, now) {
        return None;
    }
    let slots = f64::from(engine.entry.slots.max(1)) * SLOTS_PART;
    let runs_per_s = slots * 1_000.0 / state.mean_run_ms(service).max(1.0);
    let reported_at = known.and_then(|known| known.rejections.last().copied()).unwrap_or_default();
    let per_s = known.map_or(runs_per_s, |known| known.per_s(now, runs_per_s));
    Some(Limit { per_s, reported_at })
}

/// Whether the engine is brittle, or may be, and has no free slot: another request would have to queue
/// there.
pub(crate) fn would_wait(state: &State, now: Time, engine: &Engine) -> bool {
    engine.load().open >= engine.entry.slots && limit(state, now, engine).is_some()
}

/// Handles the rejection limit in an engine's answer. An answer without one clears it only if its request
/// was sent after the limit was reported.
pub(crate) fn rejection_limit_received(
    state: &mut State,
    now: Time,
    source: &Start,
    tolerance: Tolerance,
    request: Option<AnsweredRequest>,
    out: &mut Vec<Effect>,
) {
    let (brittle, label) = match tolerance {
        Tolerance::PerSecond(rejections_per_s) => {
            (Some(Brittle { rejections_per_s, rejections: Vec::new() }), "brittle")
        }
        Tolerance::Unlimited => {
            let reported_at = state.rate_limits.brittle_report(source).map(|(_, reported_at)| reported_at);
            if reported_at
                .is_none_or(|reported_at| request.is_none_or(|request| request.sent_at <= reported_at))
            {
                return;
            }
            (None, "sound")
        }
        Tolerance::Invalid => return log_invalid(state, source, "rejection limit", out),
    };
    let rejections_per_s = brittle.as_ref().map(|brittle| brittle.rejections_per_s);
    let service = service_of(state, source).filter(|_| rejections_per_s.is_some());
    let first = service.is_some_and(|service| state.rate_limits.mark_service_brittle(service, now));
    if !state.rate_limits.set_brittle(source, brittle, now, true) {
        return;
    }
    record(source, rejections_per_s, label, out);
    if first {
        notify(state, now, source, out);
    }
}

fn service_of(state: &State, source: &Start) -> Option<Name> {
    state.engines.get(&source.engine).map(|engine| engine.entry.service.clone())
}

/// Reports to all entry VMs that a service has brittle engines, through the hub. Otherwise hundreds of them
/// would keep sending without reservations until each has received an answer or a frame that says so.
fn notify(state: &mut State, now: Time, source: &Start, out: &mut Vec<Effect>) {
    let report = state.engines.get(&source.engine).and_then(|known| state.rate_limits.report(now, known));
    let message = Message { limits: report.into_iter().collect(), ..Message::default() };
    push::notify(state, now, &message, out);
    frame::send(state, now, out);
}

/// Handles a rejection by a brittle engine: reports it to the owner of its schedule at once and cancels the
/// reservations granted here.
pub(crate) fn rejection_received(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let Some(brittle) = state.rate_limits.brittle(known).cloned() else {
        return;
    };
    let source = Start { engine: engine.clone(), incarnation: known.entry.incarnation };
    let zone = known.entry.zone.clone();
    let updated = Brittle { rejections: vec![now], ..brittle };
    let rejections_per_s = Some(updated.rejections_per_s);
    state.rate_limits.set_brittle(&source, Some(updated), now, true);
    record(&source, rejections_per_s, "rejected", out);
    reset_reservations(state, now, engine);
    let owner = state.members.sole_owner(engine, &zone).filter(|owner| owner.vm != state.me.vm);
    let limit = state.engines.get(engine).and_then(|known| state.rate_limits.report(now, known));
    if let Some(address) = owner.map(|owner| owner.address) {
        let ask = ReservationRequest {
            engine: engine.clone(),
            cost: Cost::default(),
            limit,
            ..ReservationRequest::default()
        };
        out.push(Effect::Reserve { address, request: Id::NONE, ask });
    }
}

/// Handles the rejection limit in another entry VM's report. Returns whether this is the first report that
/// the engine's service has brittle engines.
pub(super) fn report_received(state: &mut State, now: Time, report: &Report) -> bool {
    let Some(brittle_report) = &report.brittle else {
        if state.rate_limits.brittle_report(&report.start).is_some() && report.brittle_age.is_some() {
            let reported_at = report.brittle_age.map_or(now, |age| now - age);
            state.rate_limits.set_brittle(&report.start, None, reported_at, false);
        }
        return false;
    };
    let reported_at = report.brittle_age.map_or(now, |age| now - age);
    let first = service_of(state, &report.start)
        .is_some_and(|service| state.rate_limits.mark_service_brittle(service, reported_at));
    let brittle = Brittle::from_report(brittle_report, now);
    let rejected = !brittle.rejections.is_empty();
    let changed = state.rate_limits.set_brittle(&report.start, Some(brittle), reported_at, false);
    if changed && rejected {
        reset_reservations(state, now, &report.start.engine);
    }
    changed && first
}

/// Cancels the reservations at an engine and delays the next one by the current spacing.
fn reset_reservations(state: &mut State, now: Time, engine: &Name) {
    let Some(known) = state.engines.get(engine) else {
        return;
    };
    let Some(spacing) = limit(state, now, known).map(|limit| limit.interval(1.0).min(WINDOW)) else {
        return;
    };
    if let Some(known) = state.engines.get_mut(engine) {
        known.schedule.delay_until(now + spacing);
    }
    state.timers.set(now, Timer::RescheduleWaiting(engine.clone()));
}

fn record(source: &Start, rejections_per_s: Option<f64>, label: &'static str, out: &mut Vec<Effect>) {
    out.push(Effect::Record(Record::Brittle {
        engine: source.engine.clone(),
        state: label,
        rejections_per_s,
    }));
}

impl Table {
    /// State of a listed engine that is brittle.
    pub(super) fn brittle(&self, engine: &Engine) -> Option<&Brittle> {
        let entry = self.entry(&engine.entry.id, engine.entry.incarnation)?;
        entry.brittle.as_ref()
    }

    /// Whether a listed engine has reported a rejection limit.
    pub(crate) fn is_brittle(&self, engine: &Engine) -> bool {
        self.brittle(engine).is_some()
    }

    /// Whether an engine of the service has recently reported a rejection limit.
    pub(super) fn is_service_brittle(&self, service: &Name, now: Time) -> bool {
        self.services.get(service).is_some_and(|at| now.since(*at) < SERVICE_BRITTLE_FOR)
    }

    /// Records that an engine of a service reported a rejection limit. Returns whether it is the first such
    /// report for `SERVICE_BRITTLE_FOR`.
    fn mark_service_brittle(&mut self, service: Name, reported_at: Time) -> bool {
        let before = self.services.get(&service).copied();
        self.services.insert(service, before.max(Some(reported_at)).unwrap_or(reported_at));
        before.is_none_or(|before| reported_at.since(before) >= SERVICE_BRITTLE_FOR)
    }
}
