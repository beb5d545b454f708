//! Quarantine of requests that crash engines: the evidence against each request, and which requests are no
//! longer sent to engines.
//!
//! The crash of an engine breaks all its runs, and one of them may have caused it. A request is identified by a
//! fingerprint of its content instead of its id, since it may be sent again with another id, to any entry VM.
//! One crash quarantines nothing: it counts against each run whose answer had not begun, and the next crash
//! counts only if the request was sent again since. The only exception is a prompt under which three engines
//! crash at once. A success clears the request. Other entry VMs are informed at once through the trees of
//! [`crate::push`]; one that misses a message learns the quarantined requests from the hub's frames, or from
//! the lease's row in the store.
//!
//! Different requests may crash engine after engine for the same cause. Crashes are therefore also counted
//! against the parts that prompts share, by rules of their own (`parts`). A quarantined part blocks all
//! requests that contain it.

mod chance;
mod composition;
mod log;
mod own;
mod parts;
mod register;
mod shared;
mod traffic;
mod trial;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::engine::Port;
use crate::flow::{self, Flow, Stage};
use crate::push;
use crate::request::{Fingerprint, Id, Refusal};
use crate::state::State;
use crate::timer::Timer;

pub(crate) use log::log_refusal;
pub use register::Register;
pub(crate) use shared::{
    announce_cleared, answer_began, answer_continued, evaluate_parts, mark_sound, request_admitted,
    shared_parts,
};

pub(crate) use trial::{
    Permission, await_engine as await_engine_for_trial, begin as begin_trial, permission,
    request_sent as trial_sent, timer_expired as trial_timer_expired,
};

use log::{log_crash, log_quarantine};
use register::{EVIDENCE_TTL, QUARANTINE_MAX, Run, SuspectedCrash};

/// Maximum number of other entry VMs that are asked whether an engine has crashed: some may be gone or cut off.
const PROBERS_MAX: usize = 3;
/// Time after the begin of an answer from which it counts as successful: an engine that a part of the prompt
/// crashes fails sooner.
const SOUND_AFTER: Duration = Duration::from_millis(300);
/// Time after a crash within which the other entry VMs have reported the crashes of other engines at the same
/// moment.
const REPORTS_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of broken runs that wait for the result whether their engine has crashed, and of runs in one
/// message.
const RUNS_MAX: usize = 64;

/// Message about crashes from one entry VM to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Runs that the crash of an engine broke.
    pub suspects: Vec<Suspect>,
    /// Quarantined and cleared requests.
    pub verdicts: Vec<Verdict>,
}

impl Report {
    /// Returns a message that contains verdicts only.
    pub(crate) const fn of(verdicts: Vec<Verdict>) -> Self {
        Self { suspects: Vec::new(), verdicts }
    }
}

/// A run that the crash of an engine broke before its answer began, or shortly after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Id of the engine, if it runs models.
    pub engine: Option<Name>,
    /// Time since the request was sent to the engine.
    pub sent_ago: Duration,
    /// Time since the run broke.
    pub broken_ago: Duration,
    /// Fingerprints of the parts that its prompt shares with others.
    #[serde(default)]
    pub parts: Arc<[Fingerprint]>,
    /// Whether its answer had begun, shortly before the crash.
    #[serde(default)]
    pub answer_begun: bool,
}

/// Quarantine state of a request or of a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request or part.
    pub request: Fingerprint,
    /// Whether it is quarantined or cleared.
    pub status: Status,
}

/// Whether a request or part is known to crash engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It crashes engines and is not sent to any.
    Quarantined {
        /// Remaining time of the quarantine.
        left: Duration,
        /// Number of times it was quarantined.
        times: u32,
    },
    /// An engine has answered it successfully.
    Cleared {
        /// Remaining time for which older messages about a quarantine are ignored.
        left: Duration,
    },
    /// The sender is about to send one request that its first quarantine blocks.
    Trial {
        /// Random number: of several claims at once, the lowest is carried out.
        rank: u64,
        /// Number of the time slot since the begin of the quarantine.
        slot: u32,
    },
}

/// A quarantined request or part, as stored in the lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    /// Fingerprint of the request or part.
    pub request: Fingerprint,
    /// End of the quarantine by the store's clock, in ms.
    pub until_ms: u64,
    /// Number of times it was quarantined.
    pub times: u32,
}

/// A run that broke.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lost<'a> {
    pub(crate) engine: &'a Name,
    pub(crate) sent: Time,
    /// Whether the answer had begun.
    pub(crate) begun: bool,
}

/// Whether a broken run may have crashed its engine; `begun`: when its answer began.
pub(crate) fn is_suspect(now: Time, begun: Option<Time>) -> bool {
    begun.is_none_or(|begun| now.since(begun) < SOUND_AFTER)
}

/// Handles a connection that broke before the answer began, or shortly after. A probe of the engine's port
/// shows whether the engine has crashed: a connection may break for other reasons.
pub(crate) fn connection_lost(state: &mut State, now: Time, id: Id, run: Lost<'_>, out: &mut Vec<Effect>) {
    let Lost { engine, sent, begun } = run;
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let (request, parts) = (flow.fingerprint, Arc::clone(&flow.parts));
    // The end of an engine that has announced its shutdown or is no longer listed was expected.
    let Some(listed) = state.engines.get(engine).filter(|engine| !engine.is_leaving()) else {
        return;
    };
    let runs: usize = state.crashes.suspected_crashes.values().map(|suspicion| suspicion.runs.len()).sum();
    if runs >= RUNS_MAX {
        return;
    }
    let suspicion = state.crashes.suspected_crashes.entry(engine.clone()).or_insert_with(|| {
        out.push(Effect::Probe { engine: engine.clone(), address: listed.entry.address });
        SuspectedCrash { asked: vec![state.me.vm.clone()], ..SuspectedCrash::default() }
    });
    suspicion.runs.push(Run { id, request, parts, begun, sent, broke: now });
}

/// Handles an answer that ended with its connection shortly after it had begun. This may be a complete answer,
/// but a crash can look the same: the run counts if the engine is found to have crashed.
pub(crate) fn connection_closed(state: &mut State, now: Time, id: Id, run: Lost<'_>, begun: Option<Time>) {
    let Lost { engine, sent, .. } = run;
    let Some(flow) = state.flows.get(&id).filter(|_| is_suspect(now, begun)) else {
        return;
    };
    let run =
        Run { id, request: flow.fingerprint, parts: Arc::clone(&flow.parts), begun: true, sent, broke: now };
    state.crashes.store_closed(engine, run, now);
}

/// Handles the result of a probe of an engine's port from this machine. A partition can also cause a refused
/// connection, so another entry VM, on the engine's side of such a partition, is asked for its own probe.
pub(crate) fn probed(state: &mut State, now: Time, engine: &Name, reach: Port, out: &mut Vec<Effect>) {
    let alone = state.members.is_alone(&state.me.vm);
    if reach == Port::Closed && state.engines.get(engine).is_some_and(|listed| !listed.is_leaving()) {
        state.crashes.suspect_closed(engine, &state.me.vm, now);
    }
    match reach {
        Port::Closed if alone => confirm_crash(state, now, engine, out),
        Port::Closed => ask_next_prober(state, engine, out),
        Port::Open | Port::Silent => drop_suspicion(state, engine),
    }
}

/// Handles the result of a probe by another entry VM; none if that entry VM did not answer or does not know the
/// engine.
pub(crate) fn probed_indirectly(
    state: &mut State,
    now: Time,
    engine: &Name,
    reach: Option<Port>,
    out: &mut Vec<Effect>,
) {
    match reach {
        Some(Port::Closed) => confirmed_by_peer(state, now, engine, out),
        Some(Port::Open | Port::Silent) => drop_suspicion(state, engine),
        None => ask_next_prober(state, engine, out),
    }
}

/// Handles a second probe that finds the port closed. Some entry VMs may have lost exactly the same engines. If
/// an entry VM is being asked for a path to the engine, its answer is awaited first, which takes no longer.
fn confirmed_by_peer(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let asking = state.engines.get(engine).is_some_and(|listed| listed.path.is_asking());
    match state.crashes.suspected_crashes.get_mut(engine) {
        Some(suspicion) if asking => suspicion.confirmed_by_peer = true,
        Some(_) | None => confirm_crash(state, now, engine, out),
    }
}

/// Handles the answer of another entry VM whether it reaches an engine.
pub(crate) fn path_seen(
    state: &mut State,
    now: Time,
    engine: &Name,
    reach: Option<Port>,
    out: &mut Vec<Effect>,
) {
    let confirmed = state.crashes.suspected_crashes.get(engine).is_some_and(|found| found.confirmed_by_peer);
    match reach {
        Some(Port::Open) => drop_suspicion(state, engine),
        Some(Port::Closed | Port::Silent) | None if confirmed => confirm_crash(state, now, engine, out),
        Some(Port::Closed | Port::Silent) | None => {}
    }
}

/// Asks the next entry VM for a probe. If none is left to ask, nothing is counted against the requests.
fn ask_next_prober(state: &mut State, engine: &Name, out: &mut Vec<Effect>) {
    let Some(suspicion) = state.crashes.suspected_crashes.get_mut(engine) else {
        return;
    };
    let zone = state.engines.get(engine).map(|listed| &listed.entry.zone);
    let prober = zone
        .and_then(|zone| state.members.pick_prober(engine, zone, *zone == state.me.zone, &suspicion.asked));
    match prober.filter(|_| suspicion.asked.len() <= PROBERS_MAX) {
        Some(prober) => {
            suspicion.asked.push(prober.vm.clone());
            out.push(Effect::IndirectProbe { address: prober.address, engine: engine.clone() });
        }
        None => drop_suspicion(state, engine),
    }
}

/// Drops the suspicion that an engine has crashed.
fn drop_suspicion(state: &mut State, engine: &Name) {
    state.crashes.suspected_crashes.remove(engine);
}

/// Counts the crash of an engine against the runs that broke there.
fn confirm_crash(state: &mut State, now: Time, engine: &Name, out: &mut Vec<Effect>) {
    let Some(mut suspicion) = state.crashes.suspected_crashes.remove(engine) else {
        return;
    };
    suspicion.runs.extend(state.crashes.take_closed(engine, now));
    let service = state.engines.get(engine).map(|listed| &listed.entry.service);
    let runs_models = service.is_some_and(|service| state.pool(service).is_some());
    let suspect = |run: &Run| Suspect {
        request: run.request,
        engine: runs_models.then(|| engine.clone()),
        sent_ago: now.since(run.sent),
        broken_ago: now.since(run.broke),
        parts: Arc::clone(&run.parts),
        answer_begun: run.begun,
    };
    let suspects: Vec<Suspect> = suspicion.runs.iter().map(suspect).collect();
    for (run, suspect) in suspicion.runs.iter().zip(&suspects) {
        apply_suspect(state, now, suspect, Some((run.id, engine)), out);
    }
    shared::record_crashes(state, now, &suspects);
    trial::crash_confirmed(state, now, engine, &suspicion.runs);
    push::notify_crashes(state, Report { suspects, verdicts: Vec::new() }, out);
}

/// The refusal of a request that this quarantined request or part blocks. A first quarantine may be a mistake.
pub(crate) fn refusal(state: &mut State, now: Time, of: Fingerprint) -> Refusal {
    match trial::result_due(state, now, of) {
        Some(result_due) => Refusal { code: Code::CrashSuspected, retry_after: Some(result_due) },
        None => Refusal { code: Code::CrashesBackends, retry_after: None },
    }
}

/// Handles a successful answer: the request does not crash engines. A failure is no evidence, since an engine
/// may fail a request before it runs it.
pub(crate) fn request_succeeded(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let against = state.crashes.is_suspected(request) || state.crashes.is_quarantined(request, now);
    if !against {
        return;
    }
    let verdict = Verdict { request, status: Status::Cleared { left: EVIDENCE_TTL } };
    state.crashes.apply_verdict(verdict, now);
    log_crash(state, request, "cleared", None, None, out);
    push::notify_crashes(state, Report::of(vec![verdict]), out);
}

/// Handles a message about crashes from another entry VM.
pub(crate) fn report_received(state: &mut State, now: Time, report: Report, out: &mut Vec<Effect>) {
    for suspect in &report.suspects {
        apply_suspect(state, now, suspect, None, out);
    }
    shared::record_crashes(state, now, &report.suspects);
    for verdict in report.verdicts {
        apply_verdict(state, now, verdict, out);
    }
}

/// Takes over the quarantined requests of the lease's row; `store_ms` is the time of the store's clock.
pub(crate) fn restore_quarantine(
    state: &mut State,
    now: Time,
    stored: &[Quarantine],
    store_ms: u64,
    out: &mut Vec<Effect>,
) {
    for Quarantine { request, until_ms, times } in stored.iter().filter(|stored| stored.until_ms > store_ms) {
        // After a restore from a copy, the store's clock may be that of another machine.
        let left = Duration::from_millis(until_ms - store_ms).min(QUARANTINE_MAX);
        let status = Status::Quarantined { left, times: *times };
        apply_verdict(state, now, Verdict { request: *request, status }, out);
    }
}

/// `own`: the run at this entry VM and its engine; none if another entry VM reported the run.
fn apply_suspect(
    state: &mut State,
    now: Time,
    suspect: &Suspect,
    own: Option<(Id, &Name)>,
    out: &mut Vec<Effect>,
) {
    if suspect.answer_begun {
        return;
    }
    let request = suspect.request;
    let may_suffice = state.crashes.count_crash(suspect, now);
    let (id, engine) = own.unzip();
    // Only the entry VM that saw the crash logs each run that it broke.
    if own.is_some() {
        log_crash(state, request, "suspected", id, engine, out);
    }
    if !may_suffice {
        return;
    }
    if state.members.is_alone(&state.me.vm) {
        evaluate_request(state, now, request, out);
    } else {
        state.timers.set(now + REPORTS_WAIT, Timer::EvaluateRequest(request));
    }
}

/// Quarantines a request if the crashes under it suffice, as far as they have no other cause.
pub(crate) fn evaluate_request(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    if state.crashes.quarantine_if_sufficient(request, now) {
        log_quarantine(state, now, request, None, None, out);
        enforce(state, now, request, out);
    }
}

fn apply_verdict(state: &mut State, now: Time, verdict: Verdict, out: &mut Vec<Effect>) {
    let before = state.crashes.is_quarantined(verdict.request, now);
    let begins = state.crashes.apply_verdict(verdict, now);
    match verdict.status {
        Status::Cleared { .. } if before => log_crash(state, verdict.request, "cleared", None, None, out),
        Status::Quarantined { .. } if begins => {
            log_crash(state, verdict.request, "told", None, None, out);
            enforce(state, now, verdict.request, out);
        }
        Status::Trial { rank, slot } => trial::claim_received(state, now, verdict.request, (rank, slot), out),
        Status::Cleared { .. } | Status::Quarantined { .. } => {}
    }
}

/// Called when a request has ended.
pub(crate) fn request_removed(state: &mut State, id: Id) {
    state.crashes.trials.request_removed(id);
}

/// Called when an attempt has ended that the engine did not run, or that was withdrawn.
pub(crate) fn attempt_not_run(state: &mut State, id: Id) {
    state.crashes.trials.attempt_not_run(id);
}

/// Ends the requests under way that contain what was just quarantined, except those whose answers have begun.
fn enforce(state: &mut State, now: Time, request: Fingerprint, out: &mut Vec<Effect>) {
    let begun = |stage: &Stage| matches!(stage, Stage::Sent { begun: true, .. });
    let holds = |flow: &Flow| flow.fingerprint == request || flow.parts.contains(&request);
    let affected = state.flows.iter().filter(|(_, flow)| holds(flow) && !begun(&flow.stage));
    let mut affected: Vec<Id> = affected.map(|(id, _)| *id).collect();
    affected.sort_unstable();
    for id in affected {
        log_refusal(state, id, request, out);
        let Refusal { code, retry_after } = refusal(state, now, request);
        flow::give_up(state, now, id, code, retry_after, out);
    }
}
