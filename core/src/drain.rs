//! A planned stop: leave the balancer, finish what is in flight, hand back, end.

use crate::effect::Effect;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// In service.
    #[default]
    Serving,
    /// Not ready any more, but still taking requests until the balancer has seen it.
    Grace,
    /// Taking nothing new, finishing what is in flight.
    Finishing,
    /// Ended.
    Over,
}

/// This entry VM's own life.
#[derive(Debug, Default)]
pub(crate) struct Part {
    stage: Stage,
}

impl Part {
    /// Whether new requests are refused.
    pub(crate) fn stopping(&self) -> bool {
        matches!(self.stage, Stage::Finishing | Stage::Over)
    }

    /// Whether the stop was asked for.
    pub(crate) fn leaving(&self) -> bool {
        self.stage != Stage::Serving
    }
}

/// Begins a planned stop.
pub(crate) fn stop(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.leaving() {
        return;
    }
    state.drain.stage = Stage::Grace;
    out.push(Effect::Ready(false));
    crate::collect::assign(state, now);
    state.timers.set(now + state.settings.balancer_grace, Timer::Grace);
}

/// The balancer has had its time.
pub(crate) fn grace(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.stage == Stage::Grace {
        state.drain.stage = Stage::Finishing;
        settle(state, now, out);
    }
}

/// Ends the process once nothing is in flight and its lease is handed back.
pub(crate) fn settle(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.stage != Stage::Finishing || state.flow.open() > 0 || !state.claim.is_quiet() {
        return;
    }
    crate::lease::hand_back(state, now, out);
    if state.lease.is_handed_back() {
        state.drain.stage = Stage::Over;
        out.push(Effect::Exit);
    }
}
