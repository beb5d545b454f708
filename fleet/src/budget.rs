//! Repeats: arrivals of requests at engines beyond the first of each. All entry VMs together may cause only so many in any window: a part of the
//! requests for the service, and some beyond that.
//!
//! A part of the allowance follows from requests alone: each process earns it with the requests that it takes in itself and may use it for a
//! while (`own`). Whoever is killed has earned nothing for the next process, and nothing is divided by how many there are. The
//! rest is with one owner, the leader, which is asked for each repeat (`pool`): it hears with the frames how many requests came. What it has given is
//! in the row of the lease, and what it may give beyond that until the row is written again is bounded, so that the next leader
//! goes on from there.
//!
//! In sum, over all lives of all processes: what is earned within `OWN_KEPT` before a window may be used in it besides what is earned in it,
//! and `OWN_PART` leaves room for that; see the constants.

mod own;
mod permit;
mod pool;
mod window;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::frame;
use crate::quota::hash;
use crate::settings::Settings;
use crate::state::State;
use own::Own;
pub(crate) use permit::{Obtained, Repeat, ahead, answered, obtain, put_back};
use pool::Pool;
pub use pool::{Account, Spent};
use window::Window;

/// Part of the ratio that a process earns with its own requests. With [`OWN_KEPT`] and [`PERMIT_KEPT`] a quarter more of it can be used in a
/// window, and with [`POOL_PART`] that stays below the whole.
const OWN_PART: f64 = 0.35;
/// Part of the ratio that the leader gives, of the requests that it has heard of.
const POOL_PART: f64 = 0.5;
/// Part of the slack that the leader gives. The rest is for counts that are a moment apart, here and at engines.
const SLACK_PART: f64 = 0.9;
/// Part of the slack that the leader may give beyond what the row of the lease says.
const RESERVE_PART: f64 = 0.25;
/// Part of the window for which what was earned may be used: what one process has earned, and another one after it, are in one window only so far.
const OWN_KEPT: f64 = 0.2;
/// How long a repeat that was allowed may be sent.
const PERMIT_KEPT: Duration = Duration::from_millis(500);
/// Part of the window for which requests are kept that no leader has been told of: a little longer than the frames of a thousand entry VMs are apart.
const UNTOLD_KEPT: f64 = 0.5;
/// Slices in which a window is counted.
const SLICES: u32 = 40;
/// Part of the window after which a repeat may be allowed again.
const PAUSE_PART: f64 = 0.05;

/// Requests for a service that came to an entry VM since its last frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// A hash of the service's name.
    pub service: u32,
    /// Requests.
    pub requests: u32,
}

/// A question for a repeat, to the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// A hash of the service's name.
    pub service: u32,
    /// The rank of the request; 0 goes first.
    pub rank: u8,
}

/// The answer. One that does not arrive was spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One repeat may be sent within half a second of the question.
    Given,
    /// None is left, and some may be after this time.
    Short(Duration),
    /// This is no leader.
    Elsewhere,
}

/// What a process keeps of repeats.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    own: FxHashMap<Name, Own>,
    /// Requests that no leader has been told of, by service.
    untold: BTreeMap<u32, Window>,
    /// As the leader.
    pool: Option<Pool>,
    /// What the row of the lease that is taken over says; nothing is known before one was read.
    inherited: Option<Spent>,
    /// Until when the leader is not asked for repeats of a service, and from which rank on.
    paused: FxHashMap<u32, (Time, u8)>,
    /// Repeats that were wanted, by whether they were allowed, by whom or why not.
    pub(crate) decisions: BTreeMap<&'static str, u64>,
}

/// Time in which what was allowed arrives, counted from when it was.
fn counted(settings: &Settings) -> Duration {
    settings.repeat_window + PERMIT_KEPT
}

/// What the leader may give of a service beyond what the row of the lease says.
fn reserve(settings: &Settings) -> u32 {
    (settings.repeat_slack * RESERVE_PART).max(1.0) as u32
}

/// A slice of the window.
fn slice(settings: &Settings) -> Duration {
    settings.repeat_window / SLICES
}

/// How long until a repeat may be allowed again, at most.
pub(crate) fn pause(settings: &Settings) -> Duration {
    settings.repeat_window.mul_f64(PAUSE_PART)
}

/// A request for a service came from a caller.
pub(crate) fn request(state: &mut State, now: Time, service: &Name) {
    let State { budget, settings, quota, .. } = state;
    let own = budget.own.entry(service.clone()).or_insert_with(|| Own::new(quota.process(), service));
    own.earn(now, settings);
    let untold = budget.untold.entry(hash(service)).or_default();
    untold.add(now, 1, settings);
}

/// The requests that no leader has been told of, for one that is told now: whether or not it hears of them, no other is told.
pub(crate) fn tell(state: &mut State, now: Time) -> Vec<Asked> {
    let kept = state.settings.repeat_window.mul_f64(UNTOLD_KEPT);
    let untold = std::mem::take(&mut state.budget.untold);
    let asked =
        untold.into_iter().map(|(service, window)| Asked { service, requests: window.sum(now, kept) });
    asked.filter(|asked| asked.requests > 0).collect()
}

/// As the leader: an entry VM tells of its requests.
pub(crate) fn told(state: &mut State, now: Time, asked: &[Asked]) {
    let State { budget, settings, .. } = state;
    if let Some(pool) = &mut budget.pool {
        pool.told(now, asked, settings);
    }
}

/// As the leader: its own requests.
pub(crate) fn tell_own(state: &mut State, now: Time) {
    let asked = tell(state, now);
    told(state, now, &asked);
}

/// Answers a question for a repeat.
pub(crate) fn give(state: &mut State, now: Time, ask: Ask) -> Permit {
    let leads = state.lease.holds(now).is_some();
    let wait = pause(&state.settings).mul_f64(frame::many(state));
    let State { budget, settings, .. } = state;
    let Some(pool) = budget.pool.as_mut().filter(|_| leads) else {
        return Permit::Elsewhere;
    };
    if pool.give(now, ask, settings) { Permit::Given } else { Permit::Short(wait) }
}

/// The row of the lease is about to be written.
pub(crate) fn propose(state: &mut State) {
    if let Some(pool) = &mut state.budget.pool {
        pool.propose();
    }
}

/// What the row of the lease is to say, after [`propose`].
pub(crate) fn spent(state: &State, now: Time) -> Option<Box<Spent>> {
    let Budget { pool, inherited, .. } = &state.budget;
    pool.as_ref().map(|pool| pool.spent(now, &state.settings)).or_else(|| inherited.clone()).map(Box::new)
}

/// The row that was proposed last was written.
pub(crate) fn written(state: &mut State) {
    if let Some(pool) = &mut state.budget.pool {
        pool.written();
    }
}

/// This process is about to take over a lease whose row says this. Whoever has given it back has given no repeats since.
pub(crate) fn inherit(state: &mut State, spent: Option<&Spent>, released: bool) {
    let beyond = if released { 0 } else { reserve(&state.settings) };
    state.budget.inherited = spent.map(|spent| spent.clone().plus(beyond));
}

/// The same where nobody has held the lease before.
pub(crate) fn inherit_nothing(state: &mut State) {
    state.budget.inherited = Some(Spent::default());
}

/// The lease was taken.
pub(crate) fn begin(state: &mut State, now: Time) {
    let State { budget, settings, .. } = state;
    budget.pool = Some(Pool::new(now, budget.inherited.take(), settings));
}

/// The lease is over.
pub(crate) fn end(state: &mut State) {
    state.budget.pool = None;
    state.budget.inherited = None;
}
