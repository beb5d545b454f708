//! Limits of workspaces, as sums over all entry VMs.
//!
//! The leader gives shares of each limit to a few entry VMs, one in each availability zone (`lead`, `allocator`). A share fills a bucket there
//! (`bucket`), from which the entry VMs of the zone draw credit: for one request, or for a moment's requests where they get
//! many (`charge`). So the leader's work grows with workspaces and zones, not with entry VMs; shares outlast a leader that is lost and a
//! zone that is cut off, until [`LEASE`] is over; and whatever fails, what is spent in a time is what the buckets let through,
//! and the little that was drawn ahead before.

mod allocator;
mod bucket;
mod charge;
mod lead;
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
use bucket::{Bucket, Rate, Size};
use charge::Balance;
pub(crate) use charge::{Answer, Asking, account, again, answered, charge, refund};
use lead::Owners;
pub(crate) use lead::{allot, begin, end, inherit, inherit_unknown, named, outstanding, propose, renew_own};
pub use message::{Allotment, Credit, Draw, Held, Report, WHOLE};

/// How long a share is held without word of a leader: longer than it takes to find another leader, and no longer, since the share of
/// an entry VM that is gone for good is nobody's meanwhile.
pub const LEASE: Duration = Duration::from_secs(6);
/// Part of the overage that may come at once; the rest is for what is drawn ahead.
const BURST_PART: f64 = 0.4;
/// Part of the bound's slack that buckets may be in debt for; as much again while a share changes hands.
const DEBT_PART: f64 = 0.5;
/// Requests that may come at once, of those that say nothing of their tokens, where the bounds leave room for fewer.
const AT_ONCE_MIN: f64 = 4.0;

/// What a process keeps of limits.
#[derive(Debug)]
pub(crate) struct Quota {
    /// Drawn anew at each start.
    process: u64,
    /// As the leader: who holds what.
    allocator: Option<Allocator>,
    /// What the row of the lease that is taken over says.
    inherited: Outstanding,
    /// Shares held here.
    holdings: BTreeMap<Name, Holding>,
    /// Credit to be spent here.
    balances: FxHashMap<Name, Balance>,
    /// As the leader: who owns what, by the lease's row as it was written last.
    written: Owners,
    /// The same by the row that is written next.
    proposed: Owners,
    /// Questions for credit, by how they were answered.
    draws: BTreeMap<&'static str, u64>,
}

/// A share that is held here.
#[derive(Debug)]
struct Holding {
    parts: u32,
    until: Time,
    bucket: Bucket,
    asked: Rate,
}

impl Quota {
    /// Of a process that begins.
    pub(crate) fn new(process: u64) -> Self {
        Self {
            // 0 stands for none.
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

    /// A number that no other start of a process has.
    pub(crate) const fn process(&self) -> u64 {
        self.process
    }

    /// Questions for credit, by how they were answered.
    pub(crate) const fn draws(&self) -> &BTreeMap<&'static str, u64> {
        &self.draws
    }

    /// Workspaces of whose limits shares are held here.
    pub(crate) fn held(&self, now: Time) -> usize {
        self.holdings.values().filter(|holding| holding.until > now).count()
    }

    /// What this process tells the leader.
    pub(crate) fn report(&mut self, now: Time) -> Report {
        self.holdings.retain(|_, holding| holding.until > now);
        let held = self.holdings.iter().map(|(workspace, holding)| Held {
            workspace: workspace.clone(),
            parts: holding.parts,
            asked_per_s: holding.asked.per_s(now).round(),
        });
        Report { process: self.process, shares: held.collect() }
    }

    /// Parts of a workspace's limit that are held here.
    pub(crate) fn parts(&self, now: Time, workspace: &str) -> u32 {
        self.holdings.get(workspace).filter(|holding| holding.until > now).map_or(0, |holding| holding.parts)
    }
}

impl Holding {
    fn new(now: Time, parts: u32, until: Time, limit: &Limit, settings: &Settings) -> Self {
        let empty = Self { parts, until, bucket: Bucket::default(), asked: Rate::default() };
        Self { bucket: Bucket::new(now, empty.size(limit, settings)), ..empty }
    }

    /// How fast its bucket fills.
    fn size(&self, limit: &Limit, settings: &Settings) -> Size {
        size(limit, settings).part(f64::from(self.parts) / f64::from(WHOLE))
    }
}

/// The bucket of a whole limit. Where the platform counts in windows, a burst is there anew in each of them: it is spread over the
/// window, so that whoever asks steadily gets all that a window may hold, and what may come at once is a part of the
/// overage.
fn size(limit: &Limit, settings: &Settings) -> Size {
    let debt = settings.quota_slack * DEBT_PART;
    let one = match limit.unit {
        Unit::Requests => 1.0,
        Unit::Tokens { unsaid } => unsaid,
    };
    let window_s = settings.quota_window.as_secs_f64();
    if window_s <= 0.0 {
        return Size { per_s: limit.per_s, burst: limit.burst.max(one), debt };
    }
    let over = (limit.per_s * window_s + limit.burst) * settings.quota_overage * BURST_PART;
    // Where that and the debt are less than some requests, a part of the burst is not spread.
    let kept = (one * AT_ONCE_MIN - over - debt).clamp(0.0, limit.burst);
    let per_s = limit.per_s + (limit.burst - kept) / window_s;
    Size { per_s, burst: over + kept, debt }
}

fn limit_of(state: &State, workspace: &str) -> Option<Limit> {
    state.routes.workspace(workspace)?.limit
}

/// Other routes and workspaces are in force: what is kept of workspaces that are gone goes too.
pub(crate) fn configured(state: &mut State) {
    let State { quota, routes, .. } = state;
    quota.balances.retain(|workspace, _| routes.workspace(workspace).is_some());
}

/// The leader has answered a frame that was sent then: these shares are held, and no others.
pub(crate) fn hold(state: &mut State, now: Time, sent: Time, allotments: Vec<Allotment>) {
    let mut before = std::mem::take(&mut state.quota.holdings);
    for Allotment { workspace, parts } in allotments {
        let Some(limit) = limit_of(state, &workspace) else {
            continue;
        };
        let holding = match before.remove(&workspace) {
            Some(mut holding) => {
                let size = holding.size(&limit, &state.settings);
                holding.bucket.settle(now, holding.until, size);
                Holding { parts, until: holding.until.max(sent + LEASE), ..holding }
            }
            None => Holding::new(now, parts, sent + LEASE, &limit, &state.settings),
        };
        state.quota.holdings.insert(workspace, holding);
    }
}

/// Answers a question for credit.
pub(crate) fn draw(state: &mut State, now: Time, draw: &Draw) -> Credit {
    let Some(limit) = limit_of(state, &draw.workspace) else {
        return Credit::NotHere;
    };
    let Some(holding) = state.quota.holdings.get_mut(&draw.workspace) else {
        return Credit::NotHere;
    };
    let size = holding.size(&limit, &state.settings);
    holding.bucket.settle(now, holding.until, size);
    if holding.until <= now {
        return Credit::NotHere;
    }
    // Nothing that is asked for fills a bucket, whatever it says.
    let wanted = |units: f64| units.max(0.0);
    holding.asked.add(now, wanted(draw.asked));
    match holding.bucket.take(wanted(draw.cost), wanted(draw.ahead), size) {
        Ok(given) => Credit::Given(given),
        Err(wait) => Credit::Short(wait),
    }
}
