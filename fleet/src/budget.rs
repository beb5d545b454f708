//! Retry budget: bounds how many retries all entry VMs together cause in any window. A retry is an arrival
//! of a request at an engine beyond its first. The bound is a share of the requests for the service plus a
//! fixed slack. (Settings, logs and metrics call a retry a "repeat".)
//!
//! Two sources grant retries. Each process earns some with the requests that it receives itself and may use
//! them for a short time (`times`). A process that is killed leaves nothing to its successor, and nothing
//! is divided by the number of processes. The hub grants the rest, one permit per call (`pool`); frames
//! tell it how many requests arrived. The lease row stores what the hub has granted. What it may grant
//! before the row is written again is bounded, so that the next hub can continue from the row.
//!
//! The bound holds over all lives of all processes: besides what is earned within a window, the window may
//! contain what was earned up to `EARNED_KEPT` before it. `EARNED_PART` leaves room for that; see the
//! constants.

mod earned;
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
use earned::Earned;
pub(crate) use permit::{Obtained, Retry, obtain, obtain_early, permit_answered, return_unused};
use pool::Pool;
pub use pool::{Account, Counts};
use window::Window;

/// Part of the allowed ratio that processes earn with their own requests. Because of [`EARNED_KEPT`] and
/// [`PERMIT_VALID_FOR`], up to a quarter more than this part can be used in one window; together with
/// [`POOL_PART`] that is still less than the whole ratio.
const EARNED_PART: f64 = 0.35;
/// Part of the allowed ratio that the hub grants, applied to the requests reported to it.
const POOL_PART: f64 = 0.5;
/// Part of the slack that the hub grants. The rest covers small time differences between the counts here
/// and those at the engines.
const SLACK_PART: f64 = 0.9;
/// Part of the slack that the hub may grant beyond what the lease row records.
const RESERVE_PART: f64 = 0.25;
/// Part of the window for which earned retries stay usable. It bounds how much a process and its successor
/// can use in the same window.
const EARNED_KEPT: f64 = 0.2;
/// How long a granted retry stays valid for sending.
const PERMIT_VALID_FOR: Duration = Duration::from_millis(500);
/// Part of the window for which request counts are kept that no hub has received. It is slightly longer
/// than the frame interval with a thousand entry VMs.
const UNREPORTED_KEPT: f64 = 0.5;
/// Number of slices by which a window is counted.
const SLICE_COUNT: u32 = 40;
/// Part of the window after which a denied caller may ask the hub again.
const PAUSE_PART: f64 = 0.05;

/// Number of requests for a service that an entry VM received since its last frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of requests.
    pub requests: u32,
}

/// Call to the hub for one retry permit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Hash of the service's name.
    pub service: u32,
    /// Rank of the request; 0 is served first.
    pub rank: u8,
}

/// Answer to a [`PermitRequest`]. The hub counts a granted permit as used even if this answer is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One retry may be sent within half a second of the call.
    #[serde(rename = "Given")]
    Granted,
    /// No permit is left; there may be one after this time.
    #[serde(rename = "Short")]
    Exhausted(Duration),
    /// The receiver is not the hub.
    #[serde(rename = "Elsewhere")]
    NotHub,
}

/// Retry budget of a process.
#[derive(Debug, Default)]
pub(crate) struct Budget {
    earned: FxHashMap<Name, Earned>,
    /// Request counts that no hub has received, by service.
    unreported: BTreeMap<u32, Window>,
    /// The permits that the hub grants; set only while this process is the hub.
    pool: Option<Pool>,
    /// Counts from the lease row that this process takes over; `None` until a row has been read.
    inherited: Option<Counts>,
    /// By service: until when the hub is not asked for permits, and the most urgent rank that this applies
    /// to.
    paused: FxHashMap<u32, (Time, u8)>,
    /// Number of decisions on retries, by label.
    pub(crate) decisions: BTreeMap<&'static str, u64>,
}

/// Time within which the retry of a permit can arrive at an engine, counted from the grant.
fn arrival_window(settings: &Settings) -> Duration {
    settings.repeat_window + PERMIT_VALID_FOR
}

/// Retries of a service that the hub may grant beyond what the lease row records.
fn reserve(settings: &Settings) -> u32 {
    (settings.repeat_slack * RESERVE_PART).max(1.0) as u32
}

/// Length of one slice of the window.
fn slice_length(settings: &Settings) -> Duration {
    settings.repeat_window / SLICE_COUNT
}

/// Longest pause before the hub is asked again.
pub(crate) fn pause_max(settings: &Settings) -> Duration {
    settings.repeat_window.mul_f64(PAUSE_PART)
}

/// Counts a request that arrived from a caller.
pub(crate) fn request_arrived(state: &mut State, now: Time, service: &Name) {
    let State { budget, settings, quota, .. } = state;
    let earned =
        budget.earned.entry(service.clone()).or_insert_with(|| Earned::new(quota.process(), service));
    earned.earn(now, settings);
    let unreported = budget.unreported.entry(hash(service)).or_default();
    unreported.add(now, 1, settings);
}

/// Takes the request counts that no hub has received, to be sent to the current one. They are never sent
/// twice, even if that hub does not receive them.
pub(crate) fn take_unreported(state: &mut State, now: Time) -> Vec<Count> {
    let kept = state.settings.repeat_window.mul_f64(UNREPORTED_KEPT);
    let unreported = std::mem::take(&mut state.budget.unreported);
    let counts =
        unreported.into_iter().map(|(service, window)| Count { service, requests: window.sum(now, kept) });
    counts.filter(|counts| counts.requests > 0).collect()
}

/// As the hub: adds the request counts reported by an entry VM.
pub(crate) fn request_counts_received(state: &mut State, now: Time, counts: &[Count]) {
    let State { budget, settings, .. } = state;
    if let Some(pool) = &mut budget.pool {
        pool.add_requests(now, counts, settings);
    }
}

/// As the hub: adds its own request counts.
pub(crate) fn count_own(state: &mut State, now: Time) {
    let counts = take_unreported(state, now);
    request_counts_received(state, now, &counts);
}

/// Answers a call for a retry permit.
pub(crate) fn grant(state: &mut State, now: Time, request: PermitRequest) -> Permit {
    let is_hub = state.lease.held_term(now).is_some();
    let wait = pause_max(&state.settings).mul_f64(frame::size_factor(state));
    let State { budget, settings, .. } = state;
    let Some(pool) = budget.pool.as_mut().filter(|_| is_hub) else {
        return Permit::NotHub;
    };
    if pool.grant(now, request, settings) { Permit::Granted } else { Permit::Exhausted(wait) }
}

/// Must be called when the lease row is about to be written.
pub(crate) fn fill_row(state: &mut State) {
    if let Some(pool) = &mut state.budget.pool {
        pool.fill_row();
    }
}

/// Counts for the lease row, to be called after [`fill_row`].
pub(crate) fn row_counts(state: &State, now: Time) -> Option<Box<Counts>> {
    let Budget { pool, inherited, .. } = &state.budget;
    pool.as_ref()
        .map(|pool| pool.row_counts(now, &state.settings))
        .or_else(|| inherited.clone())
        .map(Box::new)
}

/// Must be called when the lease row that was composed last has been written.
pub(crate) fn row_written(state: &mut State) {
    if let Some(pool) = &mut state.budget.pool {
        pool.row_written();
    }
}

/// Takes over the counts of the lease row before this process takes the lease. If the previous holder
/// released the lease, it has granted nothing since it wrote the row; otherwise the reserve is added.
pub(crate) fn inherit(state: &mut State, counts: Option<&Counts>, released: bool) {
    let beyond = if released { 0 } else { reserve(&state.settings) };
    state.budget.inherited = counts.map(|counts| counts.clone().with_granted(beyond));
}

/// Same as [`inherit`] where nobody has held the lease before.
pub(crate) fn inherit_nothing(state: &mut State) {
    state.budget.inherited = Some(Counts::default());
}

/// This process has become the hub.
pub(crate) fn begin(state: &mut State, now: Time) {
    let State { budget, settings, .. } = state;
    budget.pool = Some(Pool::new(now, budget.inherited.take(), settings));
}

/// This process is no longer the hub.
pub(crate) fn end(state: &mut State) {
    state.budget.pool = None;
    state.budget.inherited = None;
}
