//! The reducer, which passes each event and each expired timer to the module that handles it, and the
//! functions that answer calls of other entry VMs.

use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget::{self, Permit};
use crate::crash;
use crate::departure::Road;
use crate::effect::Effect;
use crate::engine::Incarnation;
use crate::entries;
use crate::era;
use crate::evacuation;
use crate::event::Event;
use crate::flow;
use crate::frame::{self, Frame, Reply};
use crate::freshness;
use crate::intake;
use crate::lease;
use crate::ledger;
use crate::notice;
use crate::outcome;
use crate::path::{self, Denial, Look};
use crate::pin::{self, Note, Origin};
use crate::plan;
use crate::push;
use crate::quota::{self, Credit, Draw};
use crate::record::Record;
use crate::request::Stream;
use crate::rollout;
use crate::schedule::{self, Ask, Grant};
use crate::state::State;
use crate::timer::Timer;
use crate::trust;

/// Applies one event to the state and returns the actions to carry out.
///
/// The same state, times and events give the same effects. `now` must not run backwards.
#[must_use]
pub fn apply(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    let late = state.timers.late(now);
    freshness::woke_late(state, now, late, &mut out);
    hand(state, now, event, &mut out);
    while let Some(timer) = state.timers.pop(now) {
        fire(state, now, timer, &mut out);
    }
    if state.stirred {
        flow::stir(state, now, &mut out);
    }
    leave(state, &mut out);
    if let Some(at) = state.timers.announce(now) {
        out.push(Effect::WakeAt(at));
    }
    out
}

/// The hub's reply to a frame. The frame must have been applied as an event before.
#[must_use]
pub fn reply(state: &mut State, now: Time, asker: &Frame) -> Reply {
    frame::reply(state, now, asker)
}

/// Whether to hold back the reply to a frame for a moment, because an adapter that callers of its sender wait for is being
/// loaded. The frame must have been applied as an event before.
#[must_use]
pub fn awaits(state: &State, now: Time, asker: &Frame) -> bool {
    frame::awaits(state, now, asker)
}

/// Whether an engine whose models or adapters have changed can now serve callers of the frame's sender that wait.
#[must_use]
pub fn meets(state: &State, now: Time, engine: &Name, asker: &Frame) -> bool {
    frame::meets(state, now, engine, asker)
}

/// Answers another entry VM's request for a reservation, as the owner of the engine's schedule.
pub fn grant(state: &mut State, now: Time, ask: &Ask) -> Grant {
    schedule::grant(state, now, ask)
}

/// Answers another entry VM's request for credit, as a holder of a share of the workspace's limit.
pub fn credit(state: &mut State, now: Time, draw: &Draw) -> Credit {
    quota::draw(state, now, draw)
}

/// Answers another entry VM's request for a permit to repeat a request, as the leader.
pub fn permit(state: &mut State, now: Time, ask: budget::Ask) -> Permit {
    budget::give(state, now, ask)
}

/// Accepts a request to be relayed to this incarnation of an engine, for another entry VM that does not reach it. Returns the
/// engine's address. The caller must send [`Event::Relayed`] once the request has ended.
///
/// # Errors
///
/// The reason why the request is not relayed.
pub fn pass(
    state: &mut State,
    now: Time,
    engine: &Name,
    incarnation: Incarnation,
    build: Option<&Name>,
) -> Result<SocketAddr, Denial> {
    path::pass(state, now, engine, incarnation, build)
}

/// Stores stream origins that another entry VM sent, for clients that resume these streams elsewhere.
pub fn keep(state: &mut State, now: Time, notes: Vec<Note>) {
    pin::keep(state, now, notes);
}

/// The origin of a stream, if this process has stored it.
#[must_use]
pub fn origin(state: &State, stream: Stream) -> Option<Origin> {
    state.pins.kept.get(stream).cloned()
}

/// The ports to probe in order to tell another entry VM whether this one reaches an engine; none if it cannot tell.
#[must_use]
pub fn look(state: &State, now: Time, engine: &Name) -> Option<Look> {
    path::look(state, now, engine)
}

fn hand(state: &mut State, now: Time, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Configured(config) => entries::configured(state, now, config, "store", out),
        Event::Declared { version, config, asked } => {
            let read = entries::Declared { version, config, asked };
            entries::declared(state, now, &read, out);
        }
        Event::Evacuations(listing) => evacuation::listed(state, now, listing, out),
        Event::Era(era) => era::heard(state, now, era, out),
        Event::Listed(listing) => entries::listed(state, now, listing, Road::Table, out),
        Event::Unread => freshness::unread(state, now, out),
        Event::StoreUp(up) => entries::store_up(state, now, up, out),
        Event::Arrive { request, arrival } => flow::arrive(state, now, request, *arrival, out),
        Event::Gone(request) => flow::gone(state, now, request),
        Event::Began { request, build } => outcome::began(state, now, request, build.as_ref(), out),
        Event::Heard(engine) => {
            if let Some(engine) = state.engines.get_mut(&engine) {
                engine.health.heard = now;
            }
        }
        Event::Noticed { from, notice, asked } => {
            notice::noticed(state, now, &from, notice, asked, out);
        }
        Event::Ended { request, attempt, end, events } => {
            outcome::ended(state, now, request, outcome::Ended { attempt, end, events }, out);
        }
        Event::Framed(frame) => frame::heard(state, now, *frame, out),
        Event::Replied(reply) => frame::replied(state, now, reply.map(|reply| *reply), out),
        Event::Pushed(message) => push::received(state, now, *message, out),
        Event::Missed(push) => push::missed(state, push, out),
        Event::Granted { request, grant } => flow::granted(state, now, request, grant, out),
        Event::Drawn { request, workspace, credit } => {
            quota::answered(state, now, request, quota::Answer { workspace, credit }, out);
        }
        Event::Permitted { request, asked, permit } => {
            budget::answered(state, now, request, asked, permit, out);
        }
        Event::Traced { request, origin } => pin::traced(state, now, request, origin.as_ref(), out),
        Event::Lease(answer) => lease::answered(state, now, answer, out),
        Event::Ordered { engine, incarnation, receipt } => {
            ledger::ordered(state, now, &engine, incarnation, receipt, out);
        }
        Event::Reported { engine, report } => ledger::reported(state, now, &engine, report, out),
        Event::Probed { engine, reach } => trust::probed(state, now, &engine, reach, out),
        Event::ProbedIndirectly { engine, reach } => {
            crash::probed_indirectly(state, now, &engine, reach, out);
        }
        Event::PathSeen { engine, by, reach } => path::seen(state, now, &engine, by, reach, out),
        Event::Relayed => path::passed(state),
        Event::Settings(settings) => state.settings = *settings,
        Event::Stop => stop(state, now, out),
        Event::Wake => {}
    }
}

fn fire(state: &mut State, now: Time, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(request) => flow::deadline(state, now, request, out),
        Timer::Wait(request) => flow::waited(state, now, request, out),
        Timer::Silence(request, attempt) => outcome::silence(state, now, request, attempt, out),
        Timer::Probe(engine) => trust::probe(state, now, &engine, out),
        Timer::Lapse(engine) => entries::lapsed(state, now, &engine, out),
        Timer::Evacuations => evacuation::lapse(state, now, out),
        Timer::Charge(request) => quota::again(state, now, request, out),
        Timer::Recall(engine) => intake::recall(state, now, &engine, out),
        Timer::Frame => frame::due(state, now, out),
        Timer::Lease => lease::due(state, now, out),
        Timer::Look => lease::look(state, now, out),
        Timer::Pins => pin::due(state, now, out),
        Timer::TellPins => pin::tell_all(state, now, out),
        Timer::Clear(part) => crash::clear_due(state, now, part, out),
        Timer::Judge => crash::judge(state, now, out),
        Timer::Plan => plan::due(state, now, out),
        Timer::Check(engine) => ledger::check(state, now, &engine, out),
        Timer::Greet => frame::send(state, now, out),
        Timer::Refresh(since) => freshness::refresh(state, since, out),
        Timer::Doubt(since) => freshness::give_up(state, now, since, out),
        Timer::Push => rollout::due(state, now, out),
        Timer::Grace => state.graced = true,
    }
}

fn stop(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.stopping {
        return;
    }
    state.stopping = true;
    state.stops_at = Some(now + state.settings.stop_within);
    out.push(Effect::Record(Record::Stopping { open: state.flows.len() }));
    entries::announce(state, out);
    lease::release(state, now, out);
    state.timers.set(now + state.settings.balancer_grace, Timer::Grace);
}

/// Asks the process to exit once the balancer has stopped sending requests and nothing is in flight.
fn leave(state: &mut State, out: &mut Vec<Effect>) {
    if state.graced && state.flows.is_empty() && !path::is_passing(state) {
        out.push(Effect::Exit);
    }
}
