//! Claims on callers' idempotency keys. They make a repeated submission run at most once.
//!
//! A request with a key is sent only after its row has been inserted under the key, on condition that there
//! was none. The rows of many requests share one write. If the answer to a write is lost, the rows are read
//! back: a row with the id of this request is its own, no matter when it was written. The outcome of the
//! request is written to the row afterwards; the key of a request that was not run may be taken over. Rows
//! are overwritten and never removed, so that their versions only grow and the condition of a delayed write
//! fails.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::admit::RETRY_AFTER;
use crate::code::{Code, Outcome};
use crate::dispatch;
use crate::effect::Effect;
use crate::end::{End, Execution};
use crate::flow::{self, Stage};
use crate::id;
use crate::name::Name;
use crate::request::Completion;
use crate::state::{Purpose, State};
use crate::table::{Call, Done, Failure, Key, Reply, Value, Version, Write};
use crate::time::Time;
use crate::timer::{Handle, Timer};

/// Maximum number of concurrent calls of the table.
const CALLS_MAX: usize = 4;
/// Failed writes of an outcome after which it is dropped. The key then counts as used until it expires. For a
/// request that ended before its row was found, also the number of lost answers after which the row is no
/// longer read back.
const TRIES_MAX: u8 = 8;
/// Maximum number of outcomes that wait to be written.
const CLOSINGS_MAX: usize = 16_384;
/// Time for which an outcome waits to share a write with claims.
const OUTCOME_LINGER: Duration = Duration::from_millis(100);
/// Pause of all writes after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Row of a claim in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request that holds the key.
    pub request: id::Request,
    /// Digest of that request. It distinguishes a repeated submission from another request with the same
    /// key.
    pub digest: Name,
    /// Time of the claim.
    pub at: Time,
    /// Deadline of the request; it no longer runs after that.
    pub deadline: Time,
    /// How the request ended; `None` while it may be running.
    #[serde(rename = "past")]
    pub completion: Option<Completion>,
}

/// Claim of an open request.
#[derive(Debug)]
pub(crate) struct Claim {
    key: Key,
    row: Row,
    /// Version of the row, once it is known to be written.
    version: Option<Version>,
}

/// Insertion of a row for an open request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Opening {
    request: id::Request,
    key: Key,
    over: Version,
    /// Number of calls whose answers were lost. If not zero, the row may have been written already.
    lost: u8,
}

/// Update of a row with the outcome of a request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Closing {
    key: Key,
    over: Version,
    row: Row,
    tries: u8,
}

/// Purpose of a call of the table about claims.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Writes rows.
    Write {
        /// Rows of open requests.
        openings: Vec<Opening>,
        /// Rows of requests that have ended.
        closings: Vec<Closing>,
    },
    /// Reads rows back after the answer to their write was lost.
    ReadBack(Vec<Opening>),
}

/// Claims of this entry VM whose outcome is not yet written.
#[derive(Debug, Default)]
pub(crate) struct Part {
    held: FxHashMap<Key, id::Request>,
    openings: VecDeque<Opening>,
    closings: VecDeque<Closing>,
    calls_in_flight: usize,
    due: Option<(Time, Handle)>,
    /// Earliest time of the next write.
    no_write_before: Time,
}

impl Part {
    /// Number of keys held, of rows to be written and of calls in flight.
    pub(crate) fn unsettled(&self) -> usize {
        self.held.len() + self.openings.len() + self.closings.len() + self.calls_in_flight
    }

    /// Whether no row is to be written and no call is in flight.
    pub(crate) fn is_quiet(&self) -> bool {
        self.openings.is_empty() && self.closings.is_empty() && self.calls_in_flight == 0
    }
}

/// Claims the key of a request that has just been admitted. The request is queued once the claim is
/// written.
pub(crate) fn begin(
    state: &mut State,
    now: Time,
    request: id::Request,
    key: Name,
    digest: Name,
    out: &mut Vec<Effect>,
) {
    let Some(flow) = state.flow.flows.get_mut(&request) else {
        return;
    };
    let key = Key::Claim { caller: flow.ticket.caller.clone(), key };
    let row = Row { request, digest, at: now, deadline: flow.ticket.deadline, completion: None };
    flow.stage = Stage::Claiming;
    if let Some(holder) = state.claim.held.get(&key) {
        let first = state.flow.flows.get(holder).and_then(|flow| flow.claim.as_ref());
        let first = first.map(|claim| claim.row.clone());
        if let Some(first) = first {
            repeated(state, now, &row, &first, out);
            return;
        }
    }
    state.claim.held.insert(key.clone(), request);
    if let Some(flow) = state.flow.flows.get_mut(&request) {
        flow.claim = Some(Box::new(Claim { key: key.clone(), row, version: None }));
    }
    state.claim.openings.push_back(Opening { request, key, over: Version(0), lost: 0 });
    schedule(state, now + state.settings.claim_linger);
}

fn schedule(state: &mut State, at: Time) {
    if state.claim.calls_in_flight >= CALLS_MAX {
        return;
    }
    let at = at.max(state.claim.no_write_before);
    if let Some((due, timer)) = state.claim.due {
        if due <= at {
            return;
        }
        state.timers.cancel(timer);
    }
    state.claim.due = Some((at, state.timers.set(at, Timer::Claims)));
}

/// Writes the claims and outcomes that are due.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.claim.due = None;
    let batch = state.settings.claim_batch;
    // Up to half of a write is reserved for outcomes, so that many new claims can't delay them without end.
    let share = batch - (batch / 2).min(state.claim.closings.len());
    let mut openings = Vec::new();
    let mut unsettled = Vec::new();
    while openings.len() < share {
        let Some(opening) = state.claim.openings.pop_front() else {
            break;
        };
        if state.flow.flows.contains_key(&opening.request) {
            openings.push(opening);
        } else if (1..TRIES_MAX).contains(&opening.lost) {
            unsettled.push(opening);
        }
    }
    read_back(state, unsettled, out);
    let room = batch.saturating_sub(openings.len()).min(state.claim.closings.len());
    let closings: Vec<Closing> = state.claim.closings.drain(..room).collect();
    if openings.is_empty() && closings.is_empty() {
        return;
    }
    let mut writes: Vec<Write> = openings.iter().filter_map(|opening| insert(state, opening)).collect();
    writes.extend(closings.iter().map(|closing| Write {
        key: closing.key.clone(),
        expect: closing.over,
        value: Some(Value::Claim(closing.row.clone())),
    }));
    state.claim.calls_in_flight += 1;
    state.claim.no_write_before = now + state.settings.claim_every;
    state.call(Call::Each(writes), Purpose::Claim(Step::Write { openings, closings }), out);
    if !state.claim.openings.is_empty() || !state.claim.closings.is_empty() {
        schedule(state, now);
    }
}

fn insert(state: &State, opening: &Opening) -> Option<Write> {
    let claim = state.flow.flows.get(&opening.request)?.claim.as_ref()?;
    let value = Some(Value::Claim(claim.row.clone()));
    Some(Write { key: opening.key.clone(), expect: opening.over, value })
}

/// Handles an answer of the table about claims.
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    step: Step,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    state.claim.calls_in_flight = state.claim.calls_in_flight.saturating_sub(1);
    match (step, reply) {
        (Step::Write { openings, closings }, Ok(Reply::Each(done)))
            if done.len() == openings.len() + closings.len() =>
        {
            // If the condition of an outcome's write failed, an earlier write of it has succeeded or
            // another request has taken the row over.
            for (opening, done) in openings.into_iter().zip(done) {
                written(state, now, opening, done, out);
            }
        }
        (Step::Write { openings, closings }, Err(Failure::Unavailable)) => {
            state.claim.no_write_before = now + FAILURE_PAUSE;
            requeue(state, closings);
            for opening in openings {
                refuse(state, now, opening.request, out);
                if opening.lost > 0 {
                    state.claim.openings.push_back(opening);
                }
            }
        }
        (Step::Write { openings, closings }, _) => {
            state.claim.no_write_before = now + FAILURE_PAUSE;
            requeue(state, closings);
            read_back(state, lost(openings), out);
        }
        (Step::ReadBack(openings), Ok(Reply::Rows(rows))) => {
            for opening in openings {
                let row = rows.iter().find(|row| row.key == opening.key).cloned();
                found(state, now, opening, row, out);
            }
        }
        // The write was conditional, so it can be repeated until its result is known.
        (Step::ReadBack(openings), _) => {
            state.claim.no_write_before = now + FAILURE_PAUSE;
            state.claim.openings.extend(lost(openings));
        }
    }
    if !state.claim.openings.is_empty() || !state.claim.closings.is_empty() {
        schedule(state, now);
    }
    crate::drain::exit_if_idle(state, now, out);
}

fn lost(openings: Vec<Opening>) -> Vec<Opening> {
    let more = |opening: Opening| Opening { lost: opening.lost.saturating_add(1), ..opening };
    openings.into_iter().map(more).collect()
}

fn read_back(state: &mut State, openings: Vec<Opening>, out: &mut Vec<Effect>) {
    if openings.is_empty() {
        return;
    }
    let keys = openings.iter().map(|opening| opening.key.clone()).collect();
    state.claim.calls_in_flight += 1;
    state.call(Call::Get(keys), Purpose::Claim(Step::ReadBack(openings)), out);
}

fn requeue(state: &mut State, closings: Vec<Closing>) {
    for mut closing in closings {
        closing.tries += 1;
        if closing.tries < TRIES_MAX {
            close(state, closing);
        } else {
            state.counters.claims_unwritten += 1;
        }
    }
}

fn close(state: &mut State, closing: Closing) {
    if state.claim.closings.len() < CLOSINGS_MAX {
        state.claim.closings.push_back(closing);
    } else {
        state.counters.claims_unwritten += 1;
    }
}

fn refuse(state: &mut State, now: Time, request: id::Request, out: &mut Vec<Effect>) {
    let exposure = state.flow.flows.get(&request).map(|flow| flow.execution);
    if let Some(exposure) = exposure {
        let end = End::failed(exposure, Code::PlatformDown, Some(RETRY_AFTER));
        flow::end(state, now, request, end, out);
    }
}

fn written(state: &mut State, now: Time, opening: Opening, done: Done, out: &mut Vec<Effect>) {
    match done {
        Done::Written => {
            let version = Version(opening.over.0 + 1);
            claimed(state, now, opening, version, out);
        }
        Done::Kept(row) => found(state, now, opening, row, out),
    }
}

/// Queues a request whose row has been written. A request that has ended in the meantime was never sent, so
/// its row is marked as not run to free the key.
fn claimed(state: &mut State, now: Time, opening: Opening, version: Version, out: &mut Vec<Effect>) {
    let Opening { request, key, .. } = opening;
    let Some(flow) = state.flow.flows.get_mut(&request) else {
        let past = Some(Completion { outcome: Outcome::NotRun, code: Code::CallerGone });
        let row = Row { request, digest: Name::default(), at: now, deadline: now, completion: past };
        close(state, Closing { key, over: version, row, tries: 0 });
        return;
    };
    if let Some(claim) = &mut flow.claim {
        claim.version = Some(version);
    }
    dispatch::enqueue(state, now, request, out);
}

/// Handles the row found under the key of a request.
fn found(
    state: &mut State,
    now: Time,
    opening: Opening,
    row: Option<crate::table::Row>,
    out: &mut Vec<Effect>,
) {
    let Some(crate::table::Row { version, value: Value::Claim(first), .. }) = row else {
        // The write may still be delayed. For a request that has ended, the row is read a few more times to
        // free its key.
        let gone = !state.flow.flows.contains_key(&opening.request);
        let lost = opening.lost.saturating_add(u8::from(gone));
        state.claim.openings.push_back(Opening { over: Version(0), lost, ..opening });
        return;
    };
    if first.request == opening.request {
        claimed(state, now, opening, version, out);
        return;
    }
    let Some(claim) = state.flow.flows.get(&opening.request).and_then(|flow| flow.claim.as_ref()) else {
        return;
    };
    let expired = now >= first.at + state.settings.claim_keep;
    let free = first.completion.as_ref().is_some_and(|past| past.outcome == Outcome::NotRun);
    if expired || free {
        state.claim.openings.push_back(Opening { over: version, ..opening });
        return;
    }
    let own = claim.row.clone();
    repeated(state, now, &own, &first, out);
}

/// Ends a request whose key another request holds, with the outcome of that request if it is known.
fn repeated(state: &mut State, now: Time, own: &Row, first: &Row, out: &mut Vec<Effect>) {
    let end = if first.digest != own.digest {
        End::failed(Execution::default(), Code::KeyReused, None)
    } else if let Some(past) = &first.completion {
        End::duplicate(Code::Duplicate, past.outcome, None)
    } else if now < first.deadline {
        let wait = first.deadline.since(now).min(RETRY_AFTER);
        End::duplicate(Code::InProgress, Outcome::Unknown, Some(wait))
    } else {
        End::duplicate(Code::Duplicate, Outcome::Unknown, None)
    };
    flow::end(state, now, own.request, end, out);
}

/// Schedules the write of the outcome of a request with a claim. The key is free again if the request was
/// not run.
pub(crate) fn ended(state: &mut State, now: Time, claim: Claim, end: &End) {
    if state.claim.held.get(&claim.key) == Some(&claim.row.request) {
        state.claim.held.remove(&claim.key);
    }
    // Without a version the request was never sent. Its row is handled when the table answers.
    let Some(over) = claim.version else {
        return;
    };
    let past = Completion { outcome: end.outcome(), code: end.code() };
    let row = Row { completion: Some(past), ..claim.row };
    close(state, Closing { key: claim.key, over, row, tries: 0 });
    schedule(state, now + OUTCOME_LINGER);
}
