//! Evidence for and against shared parts of prompts from the answers and crashes at this entry VM, and messages
//! about it to the others.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::time::Time;

use super::register::REMEMBERED;
use super::{Report, SOUND_AFTER, Status, Suspect, Verdict, enforce, note};
use crate::effect::Effect;
use crate::push;
use crate::request::{Arrival, Fingerprint, Id};
use crate::state::State;
use crate::timer::Timer;

/// Maximum delay before a message that clears a part, and the delay for each entry VM: the more entry VMs there
/// are, the more may observe the same success at once.
const TELL_WITHIN: Duration = Duration::from_millis(500);
const TELL_STEP: Duration = Duration::from_millis(5);
/// Time within which a message of one entry VM has reached all others.
const HEARD_WITHIN: Duration = Duration::from_millis(200);
/// Interval between evaluations of quarantine candidates.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

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
    state.crashes.parts.serve(now);
    for part in parts.iter().copied() {
        let tells = state.crashes.parts.answer(part, began, now);
        if state.crashes.is_refuted(part, began, now) {
            clear(state, now, part, began, out);
        } else if tells {
            let delay = tell_delay(state);
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
        state.crashes.parts.begin(&flow.parts, now);
    }
}

/// Sends the message that clears a part after its random delay, unless the others know already.
pub(crate) fn announce_cleared(state: &mut State, now: Time, part: Fingerprint, out: &mut Vec<Effect>) {
    if let Some(began) = state.crashes.parts.told(part) {
        clear(state, now, part, began, out);
    }
}

fn clear(state: &mut State, now: Time, part: Fingerprint, began: Time, out: &mut Vec<Effect>) {
    let left = REMEMBERED.saturating_sub(now.since(began));
    let entry = Verdict { request: part, status: Status::Cleared { left } };
    state.crashes.learn(entry, now);
    note(state, part, "cleared", None, None, out);
    push::notify_crashes(state, Report::of(vec![entry]), out);
}

/// Maximum delay of a message about something that many entry VMs may observe at once.
fn tell_within(state: &State) -> Duration {
    let nodes = state.members.list().len().max(2) as u32;
    TELL_WITHIN.min(TELL_STEP.saturating_mul(nodes))
}

/// Random delay of such a message. Few entry VMs draw a short delay, so that one or two messages reach the
/// others before they send their own. The delay has the distribution of exponentially distributed feedback
/// timers (Nonnenmacher and Biersack).
fn tell_delay(state: &mut State) -> Duration {
    let nodes = state.members.list().len().max(2) as f64;
    let drawn = state.rng.f64();
    tell_within(state).mul_f64(1.0 - (1.0 + drawn * (nodes - 1.0)).ln() / nodes.ln())
}

/// Counts a crash against the shared parts of the prompts of the runs that it broke.
pub(super) fn strike(state: &mut State, now: Time, suspects: &[Suspect]) {
    let nodes = state.members.list().len();
    if state.crashes.strike(suspects, now, nodes) {
        state.timers.set(now + JUDGE_EVERY, Timer::EvaluateParts);
    }
}

/// Evaluates the quarantine candidates and quarantines those whose waiting time is over.
pub(crate) fn evaluate_accused(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let nodes = state.members.list().len();
    let time = SOUND_AFTER + tell_within(state) + HEARD_WITHIN;
    let mut entries = Vec::new();
    while let Some(part) = state.crashes.convict(time, now, nodes) {
        note(state, part, "quarantined", None, None, out);
        enforce(state, now, part, out);
        entries.extend(state.crashes.entry(part, now));
    }
    if !entries.is_empty() {
        push::notify_crashes(state, Report::of(entries), out);
    }
    if state.crashes.goes_on() {
        state.timers.set(now + JUDGE_EVERY, Timer::EvaluateParts);
    }
}
