//! Notices: state that engines report about themselves in any answer. They are as reliable as the engines'
//! rows in the store, but arrive at once and also while the store is unreachable.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::departure::{self, Source};
use crate::effect::Effect;
use crate::engine::Incarnation;
use crate::flow;
use crate::frame;
use crate::rate_limit::{self, Rate};
use crate::record::Record;
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// Longest pause that is honoured. An engine that asks for a longer one gets requests again after this
/// time.
const PAUSE_MAX: Duration = Duration::from_hours(1);

/// State that an answer reports about its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether the engine is leaving and must get no more work.
    pub leaving: bool,
    /// If the engine rejected the request: how long it wants no requests from this process.
    pub pause: Option<Duration>,
    /// The reported rate limit.
    pub rate_limit: Rate,
    /// The reported rejection limit. An engine that has one is called brittle.
    pub rejection_limit: Tolerance,
}

/// How many requests per second an engine can reject without crashing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Tolerance {
    /// No limit reported.
    #[default]
    Unlimited,
    /// More rejections than this in one second crash the engine; finite and not negative.
    PerSecond(f64),
    /// The reported value is not a valid number. It neither sets nor clears a limit.
    Invalid,
}

/// The caller's request that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredRequest {
    /// The request's number.
    pub request: Id,
    /// When it was sent.
    pub sent_at: Time,
}

/// One start of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// The engine's id.
    pub engine: Name,
    /// Identifies the start: a report of one start does not apply to a later one.
    pub incarnation: Incarnation,
}

/// Handles the notice of an engine's answer. `asked` is the caller's request that it answered; `None` for
/// an answer to a request of this process.
pub(crate) fn notice_received(
    state: &mut State,
    now: Time,
    source: &Start,
    notice: Notice,
    asked: Option<AnsweredRequest>,
    out: &mut Vec<Effect>,
) {
    let listed = state.engines.get(&source.engine);
    // The report comes from an earlier start of the engine.
    if listed.is_some_and(|known| known.entry.incarnation != source.incarnation) {
        return;
    }
    if notice.leaving {
        departure::mark_leaving(state, now, source, Source::Answer, out);
        notify_departure(state, now, out);
    }
    if let Some(pause) = notice.pause {
        keep_pause(state, now, &source.engine, pause.min(PAUSE_MAX), out);
    }
    rate_limit::rate_limit_received(state, now, source, notice.rate_limit, asked, out);
    rate_limit::rejection_limit_received(state, now, source, notice.rejection_limit, asked, out);
}

/// Reports departures to the other entry VMs, through the hub, or directly where no hub answers.
fn notify_departure(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    departure::notify(state, now, out);
    if state.lease.held_term(now).is_some() || !state.departures.has_unreported() {
        return;
    }
    if state.hub.leads && frame::hub_responds(state, now) {
        frame::send(state, now, out);
    } else {
        departure::notify_without_hub(state, out);
    }
}

/// Sends the engine nothing for the time that it asked for.
fn keep_pause(state: &mut State, now: Time, engine: &Name, pause: Duration, out: &mut Vec<Effect>) {
    let Some(known) = state.engines.get_mut(engine) else {
        return;
    };
    let until = known.health.paused_until.max(Some(now + pause));
    known.health.paused_until = until;
    let (service, version) = (known.entry.service.clone(), known.version.version);
    out.push(Effect::Record(Record::Engine { engine: engine.clone(), service, state: "paused", version }));
    // Orders and health checks that become due in the meantime are sent at the end of the pause.
    state.timers.set(until.unwrap_or(now), Timer::ResidencyCheck(engine.clone()));
    flow::cancel_reservations(state, now, engine, out);
}
