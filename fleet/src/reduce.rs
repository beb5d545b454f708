//! The reducer, which passes each event and each expired timer to the module that handles it, and the
//! functions that answer calls of other entry VMs.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget::{self, Permit};
use crate::crash;
use crate::departure::Source;
use crate::effect::Effect;
use crate::engine::Incarnation;
use crate::era;
use crate::evacuation;
use crate::event::Event;
use crate::flow;
use crate::frame::{self, Frame, Reply};
use crate::freshness;
use crate::lease;
use crate::ledger;
use crate::notice;
use crate::outcome;
use crate::path::{self, Denial, Probe};
use crate::pin::{self, Announcement, Origin};
use crate::plan;
use crate::push;
use crate::quota::{self, Credit, Draw};
use crate::rate_limit;
use crate::record::Record;
use crate::request::{Id, Stream};
use crate::rollout;
use crate::schedule::{self, Grant, ReservationRequest};
use crate::state::State;
use crate::suspicion;
use crate::tables;
use crate::timer::Timer;

/// Applies one event to the state and returns the actions to carry out.
///
/// The same state, times and events give the same effects. `now` must not run backwards.
#[must_use]
pub fn apply(state: &mut State, now: Time, event: Event) -> Vec<Effect> {
    let mut out = Vec::new();
    let late = state.timers.lateness(now);
    freshness::woke_late(state, now, late, &mut out);
    handle(state, now, event, &mut out);
    while let Some(timer) = state.timers.pop(now) {
        fire(state, now, timer, &mut out);
    }
    if state.rescan_requested {
        flow::rescan_waiting(state, now, &mut out);
    }
    exit_when_idle(state, &mut out);
    if let Some(at) = state.timers.next_wake(now) {
        out.push(Effect::WakeAt(at));
    }
    out
}

/// The hub's reply to a frame. The frame must have been applied as an event before.
#[must_use]
pub fn reply_to_frame(state: &mut State, now: Time, frame: &Frame) -> Reply {
    frame::reply(state, now, frame)
}

/// Whether to hold back the reply to a frame for a moment, because an adapter that callers of its sender wait for is being
/// loaded. The frame must have been applied as an event before.
#[must_use]
pub fn defers_reply(state: &State, now: Time, frame: &Frame) -> bool {
    frame::awaits_adapter(state, now, frame)
}

/// Whether an engine whose models or adapters have changed can now serve callers of the frame's sender that wait.
#[must_use]
pub fn satisfies_frame(state: &State, now: Time, engine: &Name, frame: &Frame) -> bool {
    frame::serves_waiting(state, now, engine, frame)
}

/// Answers another entry VM's request for a reservation, as the owner of the engine's schedule.
pub fn grant(state: &mut State, now: Time, ask: &ReservationRequest) -> Grant {
    schedule::grant(state, now, ask)
}

/// Answers another entry VM's request for credit, as a holder of a share of the workspace's limit.
pub fn credit(state: &mut State, now: Time, draw: &Draw) -> Credit {
    quota::draw(state, now, draw)
}

/// Answers another entry VM's request for a permit to retry a request, as the hub.
pub fn permit(state: &mut State, now: Time, ask: budget::PermitRequest) -> Permit {
    budget::grant(state, now, ask)
}

/// Accepts a request to be relayed to this incarnation of an engine, for another entry VM that does not reach it. Returns the
/// engine's address. The caller must send [`Event::RelayEnded`] once the request has ended.
///
/// # Errors
///
/// The reason why the request is not relayed.
pub fn relay_request(
    state: &mut State,
    now: Time,
    engine: &Name,
    incarnation: Incarnation,
    build: Option<&Name>,
) -> Result<SocketAddr, Denial> {
    path::accept(state, now, engine, incarnation, build)
}

/// Stores stream origins that another entry VM sent, for callers that resume these streams elsewhere.
pub fn store_origins(state: &mut State, now: Time, notes: Vec<Announcement>) {
    pin::store(state, now, notes);
}

/// The origin of a stream, if this process has stored it.
#[must_use]
pub fn stream_origin(state: &State, stream: Stream) -> Option<Origin> {
    state.pins.origins.get(stream).cloned()
}

/// The ports to probe in order to tell another entry VM whether this one reaches an engine; none if it cannot tell.
#[must_use]
pub fn reachability_check(state: &State, now: Time, engine: &Name) -> Option<Probe> {
    path::probe(state, now, engine)
}

fn handle(state: &mut State, now: Time, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Configured(config) => tables::apply_config(state, now, config, "store", out),
        Event::OperatorTableRead { version, config, asked } => {
            let read = tables::Outcome { version, config, asked };
            tables::config_read(state, now, &read, out);
        }
        Event::Evacuations(listing) => evacuation::apply_listing(state, now, listing, out),
        Event::Era(era) => era::observe(state, now, era, out),
        Event::EnginesRead(listing) => tables::apply_listing(state, now, listing, Source::Table, out),
        Event::RefreshFailed => freshness::refresh_failed(state, now, out),
        Event::StoreUp(up) => tables::set_store_reachable(state, now, up, out),
        Event::Arrive { request, arrival } => flow::arrive(state, now, request, *arrival, out),
        Event::CallerGone(request) => flow::caller_gone(state, now, request),
        Event::Began { request, build } => outcome::events_received(state, now, request, build.as_ref(), out),
        Event::EngineActive(engine) => {
            if let Some(engine) = state.engines.get_mut(&engine) {
                engine.health.last_heard = now;
            }
        }
        Event::NoticeReceived { from, notice, asked } => {
            notice::notice_received(state, now, &from, notice, asked, out);
        }
        Event::Ended { request, attempt, end, events } => {
            outcome::attempt_ended(state, now, request, outcome::AttemptEnd { attempt, end, events }, out);
        }
        Event::FrameReceived(frame) => frame::frame_received(state, now, *frame, out),
        Event::Replied(reply) => frame::reply_received(state, now, reply.map(|reply| *reply), out),
        Event::Pushed(message) => push::receive(state, now, *message, out),
        Event::PushFailed(push) => push::delivery_failed(state, push, out),
        Event::Granted { request, grant } => flow::reservation_answered(state, now, request, grant, out),
        Event::CreditAnswered { request, workspace, credit } => {
            quota::draw_answered(state, now, request, quota::Answer { workspace, credit }, out);
        }
        Event::PermitAnswered { request, asked, permit } => {
            budget::permit_answered(state, now, request, asked, permit, out);
        }
        Event::OriginAnswered { request, replica, answer } => {
            pin::origin_answered(state, now, request, replica, &answer, out);
        }
        Event::Lease(answer) => lease::answered(state, now, answer, out),
        Event::Ordered { engine, incarnation, receipt } => {
            ledger::order_answered(state, now, &engine, incarnation, receipt, out);
        }
        Event::Reported { engine, report } => ledger::report_received(state, now, &engine, report, out),
        Event::Probed { engine, reach } => suspicion::probed(state, now, &engine, reach, out),
        Event::ProbedIndirectly { engine, reach } => {
            crash::probed_indirectly(state, now, &engine, reach, out);
        }
        Event::PathSeen { engine, by, reach } => path::probe_answered(state, now, &engine, by, reach, out),
        Event::RelayEnded => path::relayed_request_ended(state),
        Event::Settings(settings) => state.settings = *settings,
        Event::Stop => stop(state, now, out),
        Event::Wake => {}
    }
}

fn fire(state: &mut State, now: Time, timer: Timer, out: &mut Vec<Effect>) {
    match timer {
        Timer::Deadline(request) => flow::deadline_passed(state, now, request, out),
        Timer::LoadWait(request) => flow::wait_expired(state, now, request, out),
        Timer::Silence(request, attempt) => outcome::check_silence(state, now, request, attempt, out),
        Timer::Probe(engine) => suspicion::suspicion_expired(state, now, &engine, out),
        Timer::EntryExpiry(engine) => tables::entry_expired(state, now, &engine, out),
        Timer::EvacuationExpiry => evacuation::expire_missing(state, now, out),
        Timer::QuotaRetry(request) => quota::retry_draw(state, now, request, out),
        Timer::RescheduleWaiting(engine) => rate_limit::recall(state, now, &engine, out),
        Timer::Frame => frame::frame_due(state, now, out),
        Timer::Lease => lease::due(state, now, out),
        Timer::LeaseLookup => lease::find_hub(state, now, out),
        Timer::StreamReports => pin::announce_due(state, now, out),
        Timer::StreamReportsRetry => pin::announce_all(state, now, out),
        Timer::AnnounceCleared(part) => crash::announce_cleared(state, now, part, out),
        Timer::EvaluateParts => crash::evaluate_parts(state, now, out),
        Timer::EvaluateRequest(request) => crash::evaluate_request(state, now, request, out),
        Timer::Trial(of) => crash::trial_timer_expired(state, now, of, out),
        Timer::Plan => plan::due(state, now, out),
        Timer::ResidencyCheck(engine) => ledger::check(state, now, &engine, out),
        Timer::FrameToNewHub => frame::send(state, now, out),
        Timer::Refresh(since) => freshness::refresh(state, since, out),
        Timer::RefreshTimeout(since) => freshness::give_up(state, now, since, out),
        Timer::Push => rollout::push_due(state, now, out),
        Timer::BalancerGrace => state.balancer_grace_over = true,
        Timer::StopTimeout => end_open_requests(state, now, out),
    }
}

fn stop(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.stopping {
        return;
    }
    state.stopping = true;
    let stops_at = now + state.settings.stop_timeout;
    state.stops_at = Some(stops_at);
    state.timers.set(stops_at, Timer::StopTimeout);
    out.push(Effect::Record(Record::Stopping { open: state.flows.len() }));
    tables::update_readiness(state, out);
    lease::release(state, now, out);
    state.timers.set(now + state.settings.balancer_grace, Timer::BalancerGrace);
}

/// Ends the requests that are still open as a stopping process runs out of time, so that each caller is told whether its
/// request may have run.
fn end_open_requests(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let mut open: Vec<Id> = state.flows.keys().copied().collect();
    open.sort_unstable();
    for request in open {
        // Other entry VMs have the time to serve it.
        flow::give_up(state, now, request, Code::Stopping, Some(Duration::ZERO), out);
    }
}

/// Asks the process to exit once the balancer has stopped sending requests and nothing is in flight.
fn exit_when_idle(state: &mut State, out: &mut Vec<Effect>) {
    if state.balancer_grace_over && state.flows.is_empty() && !path::is_relaying(state) {
        out.push(Effect::Exit);
    }
}
