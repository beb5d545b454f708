//! Evidence for and against shared parts of prompts from the answers and crashes at this entry VM, and messages
//! about it to the others.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::log::{log_crash, log_quarantine};
use super::register::EVIDENCE_TTL;
use super::{Report, SOUND_AFTER, Status, Suspect, Verdict, enforce};
use crate::config::Config;
use crate::effect::Effect;
use crate::flow::Flow;
use crate::push;
use crate::request::{Arrival, Fingerprint, Id};
use crate::state::State;
use crate::timer::Timer;

/// Maximum delay before a message that clears a part, and the delay for each entry VM: the more entry VMs there
/// are, the more may observe the same success at once.
const ANNOUNCE_DELAY_MAX: Duration = Duration::from_millis(500);
const ANNOUNCE_DELAY_PER_VM: Duration = Duration::from_millis(5);
/// Time within which a message of one entry VM has reached all others.
pub(super) const DELIVERY_TIME: Duration = Duration::from_millis(200);
/// Interval between evaluations of quarantine candidates.
const EVALUATE_EVERY: Duration = Duration::from_millis(50);

/// Fingerprints of the parts that a request's prompt shares with others: each part is followed by the
/// combination of the part and the model, since a part may crash engines with one model only.
pub(crate) fn shared_parts(arrival: &Arrival) -> Arc<[Fingerprint]> {
    let model = arrival.prompt.as_ref().map_or("", |prompt| &prompt.model);
    arrival.parts.iter().flat_map(|part| [*part, part.of_part_for(model)]).collect()
}

/// Records that an answer, which began at `began`, counts as successful: no part of its prompt crashes engines.
pub(crate) fn mark_sound(state: &mut State, now: Time, id: Id, began: Time, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if std::mem::replace(&mut flow.proven_safe, true) {
        return;
    }
    let parts = Arc::clone(&flow.parts);
    state.crashes.parts.chance.record_success(now);
    for part in parts.iter().copied() {
        let announces = state.crashes.parts.record_successful_answer(part, began, now);
        if state.crashes.is_refuted_by_answer(part, began, now) {
            clear(state, now, part, began, out);
        } else if announces {
            let delay = announce_delay(state);
            state.timers.set(now + delay, Timer::AnnounceCleared(part));
        }
    }
}

/// Records a successful answer once it has been written for `SOUND_AFTER`.
pub(crate) fn answer_continued(state: &mut State, now: Time, id: Id, began: Time, out: &mut Vec<Effect>) {
    if now.since(began) >= SOUND_AFTER {
        mark_sound(state, now, id, began, out);
    }
}

/// Records that an answer has begun.
pub(crate) fn answer_began(state: &mut State, now: Time, id: Id) {
    if let Some(flow) = state.flows.get(&id) {
        state.crashes.parts.record_begin(&flow.parts, now);
    }
}

/// Sends the message that clears a part after its random delay, unless the others know already.
pub(crate) fn announce_cleared(state: &mut State, now: Time, part: Fingerprint, out: &mut Vec<Effect>) {
    if let Some(began) = state.crashes.parts.announcement_due(part) {
        clear(state, now, part, began, out);
    }
}

fn clear(state: &mut State, now: Time, part: Fingerprint, began: Time, out: &mut Vec<Effect>) {
    let left = EVIDENCE_TTL.saturating_sub(now.since(began));
    let verdict = Verdict { request: part, status: Status::Cleared { left } };
    state.crashes.apply_verdict(verdict, now);
    log_crash(state, part, "cleared", None, None, out);
    push::notify_crashes(state, Report::of(vec![verdict]), out);
}

/// Maximum delay of a message about something that many entry VMs may observe at once.
fn announce_delay_max(state: &State) -> Duration {
    delay_max(state, ANNOUNCE_DELAY_MAX)
}

/// Maximum delay for the number of entry VMs that there are, and at most `limit`.
fn delay_max(state: &State, limit: Duration) -> Duration {
    let nodes = state.members.list().len().max(2) as u32;
    limit.min(ANNOUNCE_DELAY_PER_VM.saturating_mul(nodes))
}

/// Random delay of such a message. Few entry VMs draw a short delay, so that one or two messages reach the
/// others before they send their own. The delay has the distribution of exponentially distributed feedback
/// timers (Nonnenmacher and Biersack).
fn announce_delay(state: &mut State) -> Duration {
    random_delay(state, ANNOUNCE_DELAY_MAX)
}

/// The same with another maximum.
pub(super) fn random_delay(state: &mut State, limit: Duration) -> Duration {
    let nodes = state.members.list().len().max(2) as f64;
    let drawn = state.rng.f64();
    delay_max(state, limit).mul_f64(1.0 - (1.0 + drawn * (nodes - 1.0)).ln() / nodes.ln())
}

/// Records a request that was admitted.
pub(crate) fn request_admitted(state: &mut State, now: Time, flow: &Flow) {
    if let Some(prompt) = flow.prompt.as_ref().filter(|_| !flow.parts.is_empty()) {
        state.crashes.parts.traffic.record(&prompt.model, &flow.parts, now);
    }
}

/// The model of a prompt with these shared parts: the one that its second fingerprint was combined with.
fn model_of(config: &Config, parts: &[Fingerprint]) -> Option<Name> {
    let [part, combined, ..] = parts else {
        return None;
    };
    let pools = config.services.iter().filter_map(|service| service.pool.as_ref());
    let mut models = pools.flat_map(|pool| &pool.models);
    models.find(|model| part.of_part_for(&model.name) == *combined).map(|model| model.name.clone())
}

/// Counts a crash against the shared parts of the prompts of the runs that it broke.
pub(super) fn record_crashes(state: &mut State, now: Time, suspects: &[Suspect]) {
    let nodes = state.members.list().len();
    let config = state.config.clone();
    let model_of = |parts: &[Fingerprint]| model_of(config.as_deref()?, parts);
    if state.crashes.record_crashes(suspects, now, nodes, &model_of) {
        state.timers.set(now + EVALUATE_EVERY, Timer::EvaluateParts);
    }
    announce_earlier_answers(state, now, suspects);
}

/// Other entry VMs may suspect a part of which this one has seen a successful answer before the crashes were
/// reported: announces that answer.
fn announce_earlier_answers(state: &mut State, now: Time, suspects: &[Suspect]) {
    for part in suspects.iter().flat_map(|suspect| suspect.parts.iter()) {
        if state.crashes.parts.begin_announcing(*part) {
            let delay = announce_delay(state);
            state.timers.set(now + delay, Timer::AnnounceCleared(*part));
        }
    }
}

/// Evaluates the quarantine candidates and quarantines those whose waiting time is over.
pub(crate) fn evaluate_parts(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let nodes = state.members.list().len();
    let time = SOUND_AFTER + announce_delay_max(state) + DELIVERY_TIME;
    let mut verdicts = Vec::new();
    while let Some(part) = state.crashes.quarantine_next(time, now, nodes) {
        log_quarantine(state, now, part, None, None, out);
        enforce(state, now, part, out);
        verdicts.extend(state.crashes.verdict(part, now));
    }
    if !verdicts.is_empty() {
        push::notify_crashes(state, Report::of(verdicts), out);
    }
    if state.crashes.continue_evaluation() {
        state.timers.set(now + EVALUATE_EVERY, Timer::EvaluateParts);
    }
}
