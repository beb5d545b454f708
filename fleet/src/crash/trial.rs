//! Trials of first quarantines: one request per time slot, over all entry VMs, that shows whether a quarantined
//! request or part really crashes engines.
//!
//! A first quarantine rests on evidence that may have another cause, and blocks everything that could refute
//! it. It is therefore provisional, as in a half-open circuit breaker. The time since its begin, which all
//! entry VMs know from the verdict, is divided into slots of growing length. In each slot one entry VM may send
//! one request. It announces that to the others by a claim with a random rank, and waits until every claim made
//! meanwhile has arrived; the lowest rank wins.
//!
//! An answer clears the quarantine by the rules for all answers. A crash confirms it, unless other engines
//! crashed at the same moment for another cause.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::register::Run;
use super::shared::{DELIVERY_TIME, random_delay};
use super::{Report, Status, Verdict, enforce, log_crash};
use crate::effect::Effect;
use crate::flow;
use crate::push;
use crate::request::{Fingerprint, Id};
use crate::state::State;
use crate::timer::Timer;

/// Time from the begin of a quarantine to its first slot.
const TRIAL_AFTER: Duration = Duration::from_secs(1);
/// Factor by which the begin of each further slot is later: three slots begin in the first minute.
const SLOT_GROWTH: u32 = 4;
/// Time before a slot from which an entry VM must know the quarantine in order to claim a trial in it. A process
/// that has just started knows the others only after some time, and they may have claimed before.
const KNOWN_BEFORE: Duration = Duration::from_millis(500);
/// Maximum delay before a claim. If a copy of a model appears that all entry VMs wait for, all of them would
/// claim, and so many messages would arrive late.
const CLAIM_DELAY_MAX: Duration = Duration::from_secs(2);
/// Time for which a claim is held. Others that have not heard of it may claim within `DELIVERY_TIME`, and their
/// claims take as long to arrive.
const HOLD_TIME: Duration = DELIVERY_TIME.saturating_mul(2);
/// Maximum delay of the timer that ends the hold: a process that stalled may have missed claims.
const LATENESS_MAX: Duration = Duration::from_millis(100);
/// Time after a claim by another entry VM in which no further trial is claimed.
const RESULT_TIME: Duration = Duration::from_secs(2);
/// Time from the claim of a trial until all entry VMs know of its success: the hold, the begin of the answer, the
/// time for which it must have been written, and the delivery.
const RESULT_AFTER: Duration = Duration::from_secs(1);
/// Time after a crash under a trial until it is evaluated: crashes of other engines at the same moment are
/// reported meanwhile.
const EVALUATE_AFTER: Duration = Duration::from_millis(500);

/// A first quarantine that no trial has confirmed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Provisional {
    pub(super) began: Time,
    /// When this entry VM learned of it.
    pub(super) known_since: Time,
}

/// Whether a request may be sent to an engine, as far as the evidence about crashes goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permission {
    /// It may be sent.
    Free,
    /// It may be sent as a trial of this request or part, once that is claimed.
    Trial(Fingerprint),
    /// It waits for the end of its claim.
    Held,
    /// This quarantined request or part blocks it.
    Blocked(Fingerprint),
}

/// Trials of provisional quarantines, by request or part.
#[derive(Debug, Default)]
pub(super) struct Trials {
    by_fingerprint: BTreeMap<Fingerprint, Trial>,
}

#[derive(Debug)]
struct Trial {
    /// Begin of the quarantine that it may refute.
    quarantined_at: Time,
    /// The first slot that no known claim has used.
    next_slot: u32,
    /// Time until which the trial of another entry VM may be under way.
    quiet_until: Time,
    stage: Stage,
    /// The request that was sent last as a trial.
    sent: Option<SentTrial>,
    /// A crash under it that has not been evaluated.
    crash: Option<TrialCrash>,
}

/// The state of a trial at this entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    /// The request waits until an engine can run it.
    AwaitsEngine {
        request: Id,
    },
    /// The claim is sent after a random delay, unless another entry VM claims first.
    Delayed {
        request: Id,
        until: Time,
    },
    /// Claims of others are awaited.
    Claimed {
        request: Id,
        rank: u64,
        slot: u32,
        until: Time,
    },
    /// The request may be sent.
    Allowed {
        request: Id,
        slot: u32,
    },
    /// The request was sent.
    Sent {
        request: Id,
        slot: u32,
    },
}

impl Stage {
    const fn request(self) -> Option<Id> {
        match self {
            Self::Idle => None,
            Self::AwaitsEngine { request }
            | Self::Delayed { request, .. }
            | Self::Claimed { request, .. }
            | Self::Allowed { request, .. }
            | Self::Sent { request, .. } => Some(request),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentTrial {
    request: Id,
    /// Whether no other quarantine blocked it.
    sole: bool,
}

#[derive(Clone, Debug)]
struct TrialCrash {
    engine: Name,
    broke: Time,
    evaluate_at: Time,
}

impl Trial {
    const fn of(quarantined_at: Time) -> Self {
        Self {
            quarantined_at,
            next_slot: 0,
            quiet_until: quarantined_at,
            stage: Stage::Idle,
            sent: None,
            crash: None,
        }
    }
}

impl Trials {
    /// The trial of a provisional quarantine.
    fn trial_of(&mut self, of: Fingerprint, provisional: Provisional) -> &mut Trial {
        let trial = self.by_fingerprint.entry(of).or_insert_with(|| Trial::of(provisional.began));
        // A request that is held for an earlier quarantine is dispatched again by its timer.
        if trial.quarantined_at != provisional.began && trial.stage == Stage::Idle {
            *trial = Trial::of(provisional.began);
        }
        trial
    }

    fn stage_of(&self, of: Fingerprint) -> Stage {
        self.by_fingerprint.get(&of).map_or(Stage::Idle, |trial| trial.stage)
    }

    /// The trial in which this entry VM has claimed, or is about to claim, this request.
    fn of_request(&mut self, id: Id) -> Option<(Fingerprint, &mut Trial)> {
        let found = self.by_fingerprint.iter_mut().find(|(_, trial)| trial.stage.request() == Some(id));
        found.map(|(of, trial)| (*of, trial))
    }

    /// Called when a request has ended. If it was not sent, its slot can be claimed again.
    pub(super) fn request_removed(&mut self, id: Id) {
        let Some((_, trial)) = self.of_request(id) else {
            return;
        };
        if let Stage::Claimed { slot, .. } | Stage::Allowed { slot, .. } = trial.stage {
            trial.next_slot = slot;
        }
        trial.stage = Stage::Idle;
    }

    /// Called when an attempt has ended that the engine did not run, or that was withdrawn: the request may be
    /// sent again.
    pub(super) fn attempt_not_run(&mut self, id: Id) {
        if let Some((_, trial)) = self.of_request(id)
            && let Stage::Sent { request, slot } = trial.stage
        {
            trial.stage = Stage::Allowed { request, slot };
            trial.sent = None;
        }
    }

    /// Removes the trials of quarantines that have ended or were confirmed, except those for which a request is
    /// held.
    pub(super) fn prune(&mut self, is_provisional: impl Fn(Fingerprint) -> bool) {
        self.by_fingerprint.retain(|of, trial| trial.stage != Stage::Idle || is_provisional(*of));
    }
}

/// Time from the begin of a quarantine to the begin of a slot.
fn slot_begin(slot: u32) -> Duration {
    TRIAL_AFTER.saturating_mul(SLOT_GROWTH.saturating_pow(slot))
}

/// The slot at this time after the begin of a quarantine; none before the first.
fn slot_at(age: Duration) -> Option<u32> {
    (0..=u32::BITS).take_while(|slot| slot_begin(*slot) <= age).last()
}

/// The first slot that begins at least this time after the begin of a quarantine.
fn first_slot_from(age: Duration) -> u32 {
    (0..=u32::BITS).find(|slot| slot_begin(*slot) >= age).unwrap_or(u32::BITS)
}

/// When the next trial of a quarantine may be claimed here. An entry VM that learned of the quarantine late, or
/// whose process stalled, may have missed claims, and waits for the next slot.
fn claimable_from(state: &mut State, of: Fingerprint, provisional: Provisional) -> Time {
    let complete_since = provisional.known_since.max(state.freshness.resumed_at());
    let first = first_slot_from(complete_since.since(provisional.began) + KNOWN_BEFORE);
    let trial = state.crashes.trials.trial_of(of, provisional);
    let slot = first.max(trial.next_slot);
    (provisional.began + slot_begin(slot)).max(trial.quiet_until)
}

/// Time until a trial can have shown whether a quarantine is a mistake; none if the quarantine is not
/// provisional.
pub(super) fn result_due(state: &mut State, now: Time, of: Fingerprint) -> Option<Duration> {
    let provisional = state.crashes.provisional(of, now)?;
    let claimable_from = claimable_from(state, of, provisional);
    let trial = state.crashes.trials.trial_of(of, provisional);
    let is_under_way = trial.stage != Stage::Idle || trial.quiet_until > now;
    let begins_in = if is_under_way { Duration::ZERO } else { claimable_from.since(now) };
    Some(begins_in + RESULT_AFTER)
}

/// The slot in which a trial may be claimed now; none if none may.
fn open_slot(state: &mut State, now: Time, of: Fingerprint) -> Option<u32> {
    let provisional = state.crashes.provisional(of, now)?;
    if now < claimable_from(state, of, provisional) {
        return None;
    }
    slot_at(now.since(provisional.began))
}

/// Whether a request may be sent to an engine. `id`: none if the request has just arrived.
pub(crate) fn permission(
    state: &mut State,
    now: Time,
    id: Option<Id>,
    request: Fingerprint,
    parts: &[Fingerprint],
) -> Permission {
    let blockers = state.crashes.blockers(request, parts, now);
    let Some(first) = blockers.first().copied() else {
        return Permission::Free;
    };
    let confirmed = blockers.iter().find(|of| state.crashes.provisional(**of, now).is_none());
    if let Some(confirmed) = confirmed {
        return Permission::Blocked(*confirmed);
    }
    match state.crashes.trials.stage_of(first) {
        Stage::Delayed { request, .. } | Stage::Claimed { request, .. } if id == Some(request) => {
            return Permission::Held;
        }
        Stage::Allowed { request, .. } if id == Some(request) => return Permission::Free,
        // There may be an engine for this request, although there is none for the one that waits.
        Stage::Idle | Stage::AwaitsEngine { .. } => {}
        Stage::Delayed { .. } | Stage::Claimed { .. } | Stage::Allowed { .. } | Stage::Sent { .. } => {
            return Permission::Blocked(first);
        }
    }
    // The first slot is left to requests that nothing else blocks, since a crash proves more under them.
    let sole = blockers.len() == 1;
    match open_slot(state, now, first) {
        Some(slot) if sole || slot > 0 => Permission::Trial(first),
        Some(_) | None => Permission::Blocked(first),
    }
}

/// Whether a request may wait for an engine that can run it as a trial; only one may.
pub(crate) fn await_engine(state: &mut State, now: Time, id: Id, of: Fingerprint) -> bool {
    let Some(provisional) = state.crashes.provisional(of, now) else {
        return false;
    };
    let trial = state.crashes.trials.trial_of(of, provisional);
    if trial.stage == Stage::Idle {
        trial.stage = Stage::AwaitsEngine { request: id };
    }
    trial.stage.request() == Some(id)
}

/// Begins a trial with a request for which there is an engine. The claim follows after a random delay, since
/// many entry VMs may begin one at the same time.
///
/// Returns whether it has begun: a request that would end before its claim does not begin one, since the slot
/// would be lost.
pub(crate) fn begin(state: &mut State, now: Time, id: Id, of: Fingerprint) -> bool {
    let until = now + random_delay(state, CLAIM_DELAY_MAX);
    let Some(provisional) = state.crashes.provisional(of, now) else {
        return false;
    };
    let begin_by = state.flows.get(&id).map_or(now, |flow| flow.begin_by);
    if begin_by < until + HOLD_TIME + state.settings.answer_reserve {
        return false;
    }
    state.crashes.prune_trials(now);
    state.crashes.trials.trial_of(of, provisional).stage = Stage::Delayed { request: id, until };
    state.timers.set(until, Timer::Trial(of));
    true
}

/// Handles the timer of a trial.
pub(crate) fn timer_expired(state: &mut State, now: Time, of: Fingerprint, out: &mut Vec<Effect>) {
    evaluate_crash(state, now, of, out);
    let is_provisional = state.crashes.provisional(of, now).is_some();
    match state.crashes.trials.stage_of(of) {
        Stage::Delayed { request, until } if until <= now => claim(state, now, request, of, out),
        Stage::Claimed { request, slot, until, .. } if until <= now => {
            let is_late = now.since(until) > LATENESS_MAX;
            end_hold(state, now, of, request, Some(slot).filter(|_| is_provisional && !is_late), out);
        }
        Stage::Idle
        | Stage::AwaitsEngine { .. }
        | Stage::Delayed { .. }
        | Stage::Claimed { .. }
        | Stage::Allowed { .. }
        | Stage::Sent { .. } => {}
    }
}

/// Announces to all entry VMs that this one is about to send a trial.
fn claim(state: &mut State, now: Time, id: Id, of: Fingerprint, out: &mut Vec<Effect>) {
    let Some(slot) = open_slot(state, now, of) else {
        end_hold(state, now, of, id, None, out);
        return;
    };
    let rank = state.rng.u64(..);
    let until = now + HOLD_TIME;
    if let Some(trial) = state.crashes.trials.by_fingerprint.get_mut(&of) {
        trial.next_slot = slot + 1;
        trial.stage = Stage::Claimed { request: id, rank, slot, until };
    }
    state.timers.set(until, Timer::Trial(of));
    log_crash(state, of, "trial_claimed", Some(id), None, out);
    let verdict = Verdict { request: of, status: Status::Trial { rank, slot } };
    push::notify_crashes(state, Report::of(vec![verdict]), out);
}

/// Dispatches the request of a trial whose hold has ended: as a trial in `slot`, or like any other request if
/// there is none.
fn end_hold(state: &mut State, now: Time, of: Fingerprint, id: Id, slot: Option<u32>, out: &mut Vec<Effect>) {
    if let Some(trial) = state.crashes.trials.by_fingerprint.get_mut(&of) {
        trial.stage = slot.map_or(Stage::Idle, |slot| Stage::Allowed { request: id, slot });
    }
    flow::redispatch(state, now, id, out);
}

/// Handles the claim of another entry VM. Of two claims, the one with the lower rank is carried out.
pub(super) fn claim_received(
    state: &mut State,
    now: Time,
    of: Fingerprint,
    (rank, slot): (u64, u32),
    out: &mut Vec<Effect>,
) {
    let Some(provisional) = state.crashes.provisional(of, now) else {
        return;
    };
    let trial = state.crashes.trials.trial_of(of, provisional);
    trial.next_slot = trial.next_slot.max(slot.saturating_add(1));
    trial.quiet_until = now + RESULT_TIME;
    match trial.stage {
        Stage::Delayed { request, .. } => end_hold(state, now, of, request, None, out),
        Stage::Claimed { request, rank: own, slot: own_slot, .. } if (own_slot, rank) <= (slot, own) => {
            log_crash(state, of, "trial_yielded", Some(request), None, out);
            end_hold(state, now, of, request, None, out);
        }
        Stage::Idle
        | Stage::AwaitsEngine { .. }
        | Stage::Claimed { .. }
        | Stage::Allowed { .. }
        | Stage::Sent { .. } => {}
    }
}

/// Records that a request was sent to an engine, if it is a trial.
pub(crate) fn request_sent(state: &mut State, now: Time, id: Id, engine: &Name, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get(&id) else {
        return;
    };
    let sole = state.crashes.blockers(flow.fingerprint, &flow.parts, now).len() == 1;
    let Some((of, trial)) = state.crashes.trials.of_request(id) else {
        return;
    };
    if let Stage::Allowed { request, slot } = trial.stage {
        trial.stage = Stage::Sent { request, slot };
        trial.sent = Some(SentTrial { request, sole });
        log_crash(state, of, "trial_sent", Some(id), Some(engine), out);
    }
}

/// Notes a confirmed crash of an engine under the runs of trials. It is evaluated once crashes of other engines
/// at the same moment are known here.
pub(super) fn crash_confirmed(state: &mut State, now: Time, engine: &Name, runs: &[Run]) {
    let evaluate_at = now + EVALUATE_AFTER;
    for (of, trial) in &mut state.crashes.trials.by_fingerprint {
        let is_trial = |run: &&Run| trial.sent.is_some_and(|sent| sent.request == run.id);
        // Only runs without any event count against a request as a whole.
        let counts = |run: &&Run| !run.begun || run.request != *of;
        if let Some(run) = runs.iter().find(|run| is_trial(run) && counts(run)) {
            trial.crash = Some(TrialCrash { engine: engine.clone(), broke: run.broke, evaluate_at });
            state.timers.set(evaluate_at, Timer::Trial(*of));
        }
    }
}

/// Evaluates the crash under a trial once that is due: it confirms the quarantine if it has no other cause.
fn evaluate_crash(state: &mut State, now: Time, of: Fingerprint, out: &mut Vec<Effect>) {
    let Some(trial) = state.crashes.trials.by_fingerprint.get_mut(&of) else {
        return;
    };
    let Some(crash) = trial.crash.take_if(|crash| crash.evaluate_at <= now) else {
        return;
    };
    let sole = trial.sent.is_some_and(|sent| sent.sole);
    if state.crashes.provisional(of, now).is_none() {
        return;
    }
    if !sole || has_other_cause(state, now, of, &crash) {
        log_crash(state, of, "trial_unresolved", None, Some(&crash.engine), out);
        return;
    }
    let verdict = state.crashes.confirm(of, now);
    log_crash(state, of, "confirmed", None, Some(&crash.engine), out);
    enforce(state, now, of, out);
    push::notify_crashes(state, Report::of(vec![verdict]), out);
}

/// Whether a crash under a trial proves nothing, since other engines crashed at the same moment for a cause that no
/// quarantine explains.
fn has_other_cause(state: &State, now: Time, of: Fingerprint, crash: &TrialCrash) -> bool {
    state.crashes.has_other_cause(of, &crash.engine, crash.broke, now)
}
