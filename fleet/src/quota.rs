//! Rate limits of workspaces, enforced as sums over all entry VMs.
//!
//! The hub gives shares of each limit to a few entry VMs, one in each availability zone (`hub`,
//! `allocator`). Each share fills a token bucket there (`bucket`). The entry VMs of the zone draw credit
//! from it, for a single request, or in advance for many requests if they receive many (`charge`). The
//! hub's work thus grows with the number of workspaces and zones, not of entry VMs. Shares stay valid while
//! the hub is lost or a zone is cut off, until [`LEASE`] is over. Whatever fails, the units spent in any
//! time are bounded by what the buckets release, plus the little credit drawn before.

mod allocator;
mod bucket;
mod charge;
mod hub;
mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use crate::config::{Limit, Unit};
use crate::settings::Settings;
use crate::state::State;
use allocator::Allocator;
pub(crate) use allocator::hash;
pub use allocator::{Holder, Lapsed, Outstanding, Unheard};
use bucket::{Bucket, Capacity, Rate};
use charge::Balance;
pub(crate) use charge::{Answer, Pending, charge, charge_record, draw_answered, refund, retry_draw};
use hub::Owners;
pub(crate) use hub::{
    allot, allot_own, begin, end, fill_row, inherit, inherit_unknown, outstanding, row_holders_read,
};
pub use message::{Allotment, Credit, Draw, HeldShare, Report, WHOLE};

/// How long a share stays valid without an answer from the hub. It covers the time to elect another hub; it
/// is no longer than that because the share of a lost entry VM is unused until it expires.
pub const LEASE: Duration = Duration::from_secs(6);
/// Part of the overage that may be used in a burst; the rest covers credit drawn in advance.
const BURST_PART: f64 = 0.4;
/// Part of the bound's slack that the buckets may go into debt. As much again may occur while a share moves
/// between entry VMs.
const DEBT_PART: f64 = 0.5;
/// Least burst, in requests of the default token count, where the bounds leave room for fewer.
const BURST_MIN_REQUESTS: f64 = 4.0;

/// State of workspace limits in a process.
#[derive(Debug)]
pub(crate) struct Quota {
    /// Random number drawn at each start of the process.
    process: u64,
    /// The holders of all shares; set only while this process is the hub.
    allocator: Option<Allocator>,
    /// Shares recorded in the lease row that this process takes over.
    inherited: Outstanding,
    /// Shares held by this entry VM, by workspace.
    holdings: BTreeMap<Name, Holding>,
    /// Credit available to this entry VM, by workspace.
    balances: FxHashMap<Name, Balance>,
    /// As the hub: owners according to the lease row last written.
    written: Owners,
    /// As the hub: owners according to the lease row written next.
    proposed: Owners,
    /// Number of draws, by result.
    draws: BTreeMap<&'static str, u64>,
}

/// A share held by this entry VM.
#[derive(Debug)]
struct Holding {
    parts: u32,
    until: Time,
    bucket: Bucket,
    demand: Rate,
}

impl Quota {
    /// State of a process that starts; `process` is a random number.
    pub(crate) fn new(process: u64) -> Self {
        Self {
            // 0 means no process.
            process: process.max(1),
            allocator: None,
            inherited: Outstanding::default(),
            holdings: BTreeMap::new(),
            balances: FxHashMap::default(),
            written: Owners::default(),
            proposed: Owners::default(),
            draws: BTreeMap::new(),
        }
    }

    /// Number that identifies this run of the process.
    pub(crate) const fn process(&self) -> u64 {
        self.process
    }

    /// Number of draws, by result.
    pub(crate) const fn draws(&self) -> &BTreeMap<&'static str, u64> {
        &self.draws
    }

    /// Number of workspaces of which a share is held.
    pub(crate) fn held_count(&self, now: Time) -> usize {
        self.holdings.values().filter(|holding| holding.until > now).count()
    }

    /// Shares held by this entry VM, to be reported to the hub.
    pub(crate) fn report(&mut self, now: Time) -> Report {
        self.holdings.retain(|_, holding| holding.until > now);
        let held = self.holdings.iter().map(|(workspace, holding)| HeldShare {
            workspace: workspace.clone(),
            parts: holding.parts,
            demand_per_s: holding.demand.per_s(now).round(),
        });
        Report { process: self.process, shares: held.collect() }
    }

    /// The held share of a workspace's limit, in parts of [`WHOLE`].
    pub(crate) fn parts(&self, now: Time, workspace: &str) -> u32 {
        self.holdings.get(workspace).filter(|holding| holding.until > now).map_or(0, |holding| holding.parts)
    }
}

impl Holding {
    fn new(now: Time, parts: u32, until: Time, limit: &Limit, settings: &Settings) -> Self {
        let empty = Self { parts, until, bucket: Bucket::default(), demand: Rate::default() };
        Self { bucket: Bucket::new(now, empty.capacity(limit, settings)), ..empty }
    }

    /// Bucket size for the held share.
    fn capacity(&self, limit: &Limit, settings: &Settings) -> Capacity {
        capacity(limit, settings).part(f64::from(self.parts) / f64::from(WHOLE))
    }
}

/// Bucket size for a whole limit. If the platform counts in windows, a full burst is available again in
/// each window. The burst is then spread over the window as additional rate, so that steady callers get all
/// that a window may hold; what may come at once is a part of the overage.
fn capacity(limit: &Limit, settings: &Settings) -> Capacity {
    let debt = settings.quota_slack * DEBT_PART;
    let request_units = match limit.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { default_tokens } => default_tokens,
    };
    let window_s = settings.quota_window.as_secs_f64();
    if window_s <= 0.0 {
        return Capacity { per_s: limit.per_s, burst: limit.burst.max(request_units), debt };
    }
    let overage_burst = (limit.per_s * window_s + limit.burst) * settings.quota_overage * BURST_PART;
    // Where overage and debt allow less than the least burst, part of the limit's burst is not spread.
    let unspread = (request_units * BURST_MIN_REQUESTS - overage_burst - debt).clamp(0.0, limit.burst);
    let per_s = limit.per_s + (limit.burst - unspread) / window_s;
    Capacity { per_s, burst: overage_burst + unspread, debt }
}

fn limit_of(state: &State, workspace: &str) -> Option<Limit> {
    state.routes.workspace(workspace)?.limit
}

/// Drops balances of workspaces that the configuration in force no longer contains.
pub(crate) fn config_changed(state: &mut State) {
    let State { quota, routes, .. } = state;
    quota.balances.retain(|workspace, _| routes.workspace(workspace).is_some());
}

/// Replaces all held shares by those in the hub's answer to the frame sent at `sent`.
pub(crate) fn apply_allotments(state: &mut State, now: Time, sent: Time, allotments: Vec<Allotment>) {
    let mut previous = std::mem::take(&mut state.quota.holdings);
    for Allotment { workspace, parts } in allotments {
        let Some(limit) = limit_of(state, &workspace) else {
            continue;
        };
        let holding = match previous.remove(&workspace) {
            Some(mut holding) => {
                let capacity = holding.capacity(&limit, &state.settings);
                holding.bucket.refill(now, holding.until, capacity);
                Holding { parts, until: holding.until.max(sent + LEASE), ..holding }
            }
            None => Holding::new(now, parts, sent + LEASE, &limit, &state.settings),
        };
        state.quota.holdings.insert(workspace, holding);
    }
}

/// Answers another entry VM's draw of credit.
pub(crate) fn draw(state: &mut State, now: Time, draw: &Draw) -> Credit {
    let Some(limit) = limit_of(state, &draw.workspace) else {
        return Credit::NotHolder;
    };
    let Some(holding) = state.quota.holdings.get_mut(&draw.workspace) else {
        return Credit::NotHolder;
    };
    let capacity = holding.capacity(&limit, &state.settings);
    holding.bucket.refill(now, holding.until, capacity);
    if holding.until <= now {
        return Credit::NotHolder;
    }
    // A negative amount in a draw must not fill the bucket.
    let non_negative = |units: f64| units.max(0.0);
    holding.demand.add(now, non_negative(draw.demand));
    match holding.bucket.take(non_negative(draw.cost), non_negative(draw.prefetch), capacity) {
        Ok(granted) => Credit::Granted(granted),
        Err(wait) => Credit::Insufficient(wait),
    }
}
