//! Claims on callers' idempotency keys: what makes a repeated submission run at most once.
//!
//! A request with a key is sent only once its row has been inserted where there was none. Rows of many
//! requests share a write. A lost answer is settled by reading the rows back: a row with this request's id
//! is its own, whenever it landed. How the request ended is written to the row afterwards; the key of one
//! that was not run may be taken over. Rows are overwritten and not removed, so that their versions only
//! grow and a write that lands late meets another version.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::admit::RETRY_AFTER;
use crate::code::{Code, Outcome};
use crate::dispatch;
use crate::effect::Effect;
use crate::end::{End, Exposure};
use crate::flow::{self, Stage};
use crate::id;
use crate::name::Name;
use crate::request::Past;
use crate::state::{Purpose, State};
use crate::table::{Call, Done, Failure, Key, Reply, Value, Version, Write};
use crate::time::Time;
use crate::timer::{Handle, Timer};

/// Writes that wait for their answer at the same time.
const FLIGHTS_MAX: usize = 4;
/// Times that an outcome is written in vain before it is let go: the key then counts as used until it
/// expires.
const TRIES_MAX: u8 = 8;
/// Outcomes that wait to be written.
const CLOSINGS_MAX: usize = 16_384;
/// How long an outcome waits for claims to share a write with.
const CLOSING_LINGER: Duration = Duration::from_millis(100);
/// How long nothing is written after a write failed.
const PAUSE: Duration = Duration::from_millis(250);

/// A claim as it stands in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The request that holds the key.
    pub request: id::Request,
    /// Digest of that request, to tell a repeat from another request under the same key.
    pub digest: Name,
    /// When it was claimed.
    pub at: Time,
    /// The request's deadline: it is not running any more after that.
    pub deadline: Time,
    /// How the request ended; none while it may be running.
    pub past: Option<Past>,
}

/// The claim of a request under way.
#[derive(Debug)]
pub(crate) struct Claim {
    key: Key,
    row: Row,
    /// The version of its row, once it is known to be there.
    version: Option<Version>,
}

/// A row to be written for a request under way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Opening {
    request: id::Request,
    key: Key,
    over: Version,
    /// Calls whose answers were lost: the row may be there already.
    lost: u8,
}

/// A row to be written for a request that has ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Closing {
    key: Key,
    over: Version,
    row: Row,
    tries: u8,
}

/// What a call of the table about claims was for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Step {
    /// Rows were written.
    Write {
        /// For requests under way.
        openings: Vec<Opening>,
        /// For requests that have ended.
        closings: Vec<Closing>,
    },
    /// Rows were read back since the answer to their write was lost.
    ReadBack(Vec<Opening>),
}

/// The claims of this entry VM that are not settled.
#[derive(Debug, Default)]
pub(crate) struct Part {
    held: FxHashMap<Key, id::Request>,
    openings: VecDeque<Opening>,
    closings: VecDeque<Closing>,
    flights: usize,
    due: Option<(Time, Handle)>,
    /// No write before this.
    rest: Time,
}

impl Part {
    /// Keys held, and rows still to be written or waited for.
    pub(crate) fn unsettled(&self) -> usize {
        self.held.len() + self.openings.len() + self.closings.len() + self.flights
    }

    /// Whether nothing is left to be written.
    pub(crate) fn is_quiet(&self) -> bool {
        self.openings.is_empty() && self.closings.is_empty() && self.flights == 0
    }
}

/// Claims the key of a request that has just been taken, before it goes into its line.
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
    let row = Row { request, digest, at: now, deadline: flow.ticket.deadline, past: None };
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
    if state.claim.flights >= FLIGHTS_MAX {
        return;
    }
    let at = at.max(state.claim.rest);
    if let Some((due, timer)) = state.claim.due {
        if due <= at {
            return;
        }
        state.timers.cancel(timer);
    }
    state.claim.due = Some((at, state.timers.set(at, Timer::Claims)));
}

/// Claims are due to be written.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.claim.due = None;
    let batch = state.settings.claim_batch;
    // Half of a write is kept for outcomes, if that many wait.
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
    let rest = batch.saturating_sub(openings.len()).min(state.claim.closings.len());
    let closings: Vec<Closing> = state.claim.closings.drain(..rest).collect();
    if openings.is_empty() && closings.is_empty() {
        return;
    }
    let mut writes: Vec<Write> = openings.iter().filter_map(|opening| insert(state, opening)).collect();
    writes.extend(closings.iter().map(|closing| Write {
        key: closing.key.clone(),
        expect: closing.over,
        value: Some(Value::Claim(closing.row.clone())),
    }));
    state.claim.flights += 1;
    state.claim.rest = now + state.settings.claim_every;
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

/// The table answered about claims.
pub(crate) fn answered(
    state: &mut State,
    now: Time,
    step: Step,
    reply: Result<Reply, Failure>,
    out: &mut Vec<Effect>,
) {
    state.claim.flights = state.claim.flights.saturating_sub(1);
    match (step, reply) {
        (Step::Write { openings, closings }, Ok(Reply::Each(done)))
            if done.len() == openings.len() + closings.len() =>
        {
            // An outcome that was not written has been written before, or the row is another's by now.
            for (opening, done) in openings.into_iter().zip(done) {
                written(state, now, opening, done, out);
            }
        }
        (Step::Write { openings, closings }, Err(Failure::Unavailable)) => {
            state.claim.rest = now + PAUSE;
            again(state, closings);
            for opening in openings {
                refuse(state, now, opening.request, out);
                if opening.lost > 0 {
                    state.claim.openings.push_back(opening);
                }
            }
        }
        (Step::Write { openings, closings }, _) => {
            state.claim.rest = now + PAUSE;
            again(state, closings);
            read_back(state, lost(openings), out);
        }
        (Step::ReadBack(openings), Ok(Reply::Rows(rows))) => {
            for opening in openings {
                let row = rows.iter().find(|row| row.key == opening.key).cloned();
                found(state, now, opening, row, out);
            }
        }
        // The write was conditional: it can be repeated until its fate is known.
        (Step::ReadBack(openings), _) => {
            state.claim.rest = now + PAUSE;
            state.claim.openings.extend(lost(openings));
        }
    }
    if !state.claim.openings.is_empty() || !state.claim.closings.is_empty() {
        schedule(state, now);
    }
    crate::drain::settle(state, now, out);
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
    state.claim.flights += 1;
    state.call(Call::Get(keys), Purpose::Claim(Step::ReadBack(openings)), out);
}

fn again(state: &mut State, closings: Vec<Closing>) {
    for mut closing in closings {
        closing.tries += 1;
        if closing.tries < TRIES_MAX {
            close(state, closing);
        } else {
            state.counters.claims_left += 1;
        }
    }
}

fn close(state: &mut State, closing: Closing) {
    if state.claim.closings.len() < CLOSINGS_MAX {
        state.claim.closings.push_back(closing);
    } else {
        state.counters.claims_left += 1;
    }
}

fn refuse(state: &mut State, now: Time, request: id::Request, out: &mut Vec<Effect>) {
    let exposure = state.flow.flows.get(&request).map(|flow| flow.exposure);
    if let Some(exposure) = exposure {
        let end = End::failed(exposure, Code::PlatformDown, Some(RETRY_AFTER));
        flow::end(state, now, request, end, out);
    }
}

fn written(state: &mut State, now: Time, opening: Opening, done: Done, out: &mut Vec<Effect>) {
    match done {
        Done::Written => {
            let version = Version(opening.over.0 + 1);
            mine(state, now, opening, version, out);
        }
        Done::Kept(row) => found(state, now, opening, row, out),
    }
}

/// The row is this request's own: it may be sent. If it has ended meanwhile, it was never sent and gives the
/// key back.
fn mine(state: &mut State, now: Time, opening: Opening, version: Version, out: &mut Vec<Effect>) {
    let Opening { request, key, .. } = opening;
    let Some(flow) = state.flow.flows.get_mut(&request) else {
        let past = Some(Past { outcome: Outcome::NotRun, code: Code::CallerGone });
        let row = Row { request, digest: Name::default(), at: now, deadline: now, past };
        close(state, Closing { key, over: version, row, tries: 0 });
        return;
    };
    if let Some(claim) = &mut flow.claim {
        claim.version = Some(version);
    }
    dispatch::enqueue(state, now, request, out);
}

/// What stands under the key was read.
fn found(
    state: &mut State,
    now: Time,
    opening: Opening,
    row: Option<crate::table::Row>,
    out: &mut Vec<Effect>,
) {
    let Some(crate::table::Row { version, value: Value::Claim(first), .. }) = row else {
        // The write may still be on its way: a request that has ended looks a few times more.
        let gone = !state.flow.flows.contains_key(&opening.request);
        let lost = opening.lost.saturating_add(u8::from(gone));
        state.claim.openings.push_back(Opening { over: Version(0), lost, ..opening });
        return;
    };
    if first.request == opening.request {
        mine(state, now, opening, version, out);
        return;
    }
    let Some(claim) = state.flow.flows.get(&opening.request).and_then(|flow| flow.claim.as_ref()) else {
        return;
    };
    let expired = now >= first.at + state.settings.claim_keep;
    let free = first.past.as_ref().is_some_and(|past| past.outcome == Outcome::NotRun);
    if expired || free {
        state.claim.openings.push_back(Opening { over: version, ..opening });
        return;
    }
    let own = claim.row.clone();
    repeated(state, now, &own, &first, out);
}

/// Ends a request whose key another one holds, with that one's outcome as far as it is known.
fn repeated(state: &mut State, now: Time, own: &Row, first: &Row, out: &mut Vec<Effect>) {
    let end = if first.digest != own.digest {
        End::failed(Exposure::default(), Code::KeyReused, None)
    } else if let Some(past) = &first.past {
        End::repeated(Code::Duplicate, past.outcome, None)
    } else if now < first.deadline {
        let wait = first.deadline.since(now).min(RETRY_AFTER);
        End::repeated(Code::InProgress, Outcome::Unknown, Some(wait))
    } else {
        End::repeated(Code::Duplicate, Outcome::Unknown, None)
    };
    flow::end(state, now, own.request, end, out);
}

/// A request with a claim has ended: its outcome goes to its row, or its key is free again if it was not run.
pub(crate) fn ended(state: &mut State, now: Time, claim: Claim, end: &End) {
    if state.claim.held.get(&claim.key) == Some(&claim.row.request) {
        state.claim.held.remove(&claim.key);
    }
    // Without a version it was never sent; what becomes of its row is settled when the table answers.
    let Some(over) = claim.version else {
        return;
    };
    let past = Past { outcome: end.outcome(), code: end.code() };
    let row = Row { past: Some(past), ..claim.row };
    close(state, Closing { key: claim.key, over, row, tries: 0 });
    schedule(state, now + CLOSING_LINGER);
}
