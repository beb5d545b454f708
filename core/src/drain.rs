//! Graceful stop: leaves the load balancer, finishes open requests, hands back the lease and exits.

use crate::effect::Effect;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;

/// Stage of a graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    /// No stop was requested.
    #[default]
    Serving,
    /// Reports not ready, but still accepts requests until the balancer has noticed.
    Grace,
    /// Refuses new requests and finishes open ones.
    Finishing,
    /// The process exits.
    Exited,
}

/// State of the graceful stop of this entry VM.
#[derive(Debug, Default)]
pub(crate) struct Part {
    stage: Stage,
}

impl Part {
    /// Whether new requests are refused.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.stage, Stage::Finishing | Stage::Exited)
    }

    /// Whether a stop was requested.
    pub(crate) fn is_leaving(&self) -> bool {
        self.stage != Stage::Serving
    }
}

/// Starts a graceful stop.
pub(crate) fn stop(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.is_leaving() {
        return;
    }
    state.drain.stage = Stage::Grace;
    out.push(Effect::Ready(false));
    crate::collect::assign_collectors(state, now);
    state.timers.set(now + state.settings.balancer_grace, Timer::BalancerGrace);
}

/// Ends the grace period of the balancer.
pub(crate) fn grace_ended(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.stage == Stage::Grace {
        state.drain.stage = Stage::Finishing;
        exit_if_idle(state, now, out);
    }
}

/// Exits once no request is open, no outcome is to be written and the lease is handed back.
pub(crate) fn exit_if_idle(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.drain.stage != Stage::Finishing || state.flow.open() > 0 || !state.claim.is_quiet() {
        return;
    }
    crate::lease::hand_back(state, now, out);
    if state.lease.is_handed_back() {
        state.drain.stage = Stage::Exited;
        out.push(Effect::Exit);
    }
}
