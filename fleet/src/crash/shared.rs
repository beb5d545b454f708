//! What answers and crashes of this entry VM's requests say of the parts of their prompts, and who is told.

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::time::Time;

use super::register::REMEMBERED;
use super::{Entry, News, SOUND_AFTER, Status, Suspect, enforce, note};
use crate::effect::Effect;
use crate::push;
use crate::request::{Arrival, Fingerprint, Id};
use crate::state::State;
use crate::timer::Timer;

/// The longest time until all are told that a part is sound, and the part of it for each entry VM: the more there are, the more
/// see it at once.
const TELL_WITHIN: Duration = Duration::from_millis(500);
const TELL_STEP: Duration = Duration::from_millis(5);
/// Time in which what one entry VM tells has been heard by all.
const HEARD_WITHIN: Duration = Duration::from_millis(200);
/// How often accused parts are looked at.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

/// What a request's prompt shares with others: each part, followed by the part together with the model, since it may be sound for
/// another.
pub(crate) fn shared(arrival: &Arrival) -> Arc<[Fingerprint]> {
    let model = arrival.prompt.as_ref().map_or("", |prompt| &prompt.model);
    arrival.parts.iter().flat_map(|part| [*part, part.of_part_for(model)]).collect()
}

/// A request's answer, which began at `began`, goes well: whatever its prompt shares with others ends no engine.
pub(crate) fn is_sound(state: &mut State, now: Time, id: Id, began: Time, out: &mut Vec<Effect>) {
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    if std::mem::replace(&mut flow.sound, true) {
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
            state.timers.set(now + delay, Timer::Clear(part));
        }
    }
}

/// An answer has been written for some time.
pub(crate) fn writes(state: &mut State, now: Time, id: Id, began: Time, out: &mut Vec<Effect>) {
    if now.since(began) >= SOUND_AFTER {
        is_sound(state, now, id, began, out);
    }
}

/// The answer of a request began.
pub(crate) fn began(state: &mut State, now: Time, id: Id) {
    if let Some(flow) = state.flows.get(&id) {
        state.crashes.parts.begin(&flow.parts, now);
    }
}

/// A part that others may suspect was seen to be sound some time ago.
pub(crate) fn clear_due(state: &mut State, now: Time, part: Fingerprint, out: &mut Vec<Effect>) {
    if let Some(began) = state.crashes.parts.told(part) {
        clear(state, now, part, began, out);
    }
}

fn clear(state: &mut State, now: Time, part: Fingerprint, began: Time, out: &mut Vec<Effect>) {
    let left = REMEMBERED.saturating_sub(now.since(began));
    let entry = Entry { request: part, status: Status::Cleared { left } };
    state.crashes.learn(entry, now);
    note(state, part, "cleared", None, None, out);
    push::tell_crashes(state, News::of(vec![entry]), out);
}

/// The longest time until all are told of what many may see at once.
fn tell_within(state: &State) -> Duration {
    let nodes = state.members.list().len().max(2) as u32;
    TELL_WITHIN.min(TELL_STEP.saturating_mul(nodes))
}

/// When to tell them. Few draw a short time, so that one or two tell the others before they do; the time is drawn as in
/// exponentially distributed feedback timers (Nonnenmacher and Biersack).
fn tell_delay(state: &mut State) -> Duration {
    let nodes = state.members.list().len().max(2) as f64;
    let drawn = state.rng.f64();
    tell_within(state).mul_f64(1.0 - (1.0 + drawn * (nodes - 1.0)).ln() / nodes.ln())
}

/// Holds crashes against what the prompts of the runs there share with others.
pub(super) fn strike(state: &mut State, now: Time, suspects: &[Suspect]) {
    let nodes = state.members.list().len();
    if state.crashes.strike(suspects, now, nodes) {
        state.timers.set(now + JUDGE_EVERY, Timer::Judge);
    }
}

/// Accused parts are judged.
pub(crate) fn judge(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let nodes = state.members.list().len();
    let time = SOUND_AFTER + tell_within(state) + HEARD_WITHIN;
    let mut entries = Vec::new();
    while let Some(part) = state.crashes.convict(time, now, nodes) {
        note(state, part, "quarantined", None, None, out);
        enforce(state, now, part, out);
        entries.extend(state.crashes.entry(part, now));
    }
    if !entries.is_empty() {
        push::tell_crashes(state, News::of(entries), out);
    }
    if state.crashes.goes_on() {
        state.timers.set(now + JUDGE_EVERY, Timer::Judge);
    }
}
