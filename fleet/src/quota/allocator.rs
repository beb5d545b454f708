//! Allocation of shares, kept by the hub.
//!
//! The shares of a limit never add up to more than the whole limit, even if messages are lost or late, or
//! entry VMs are cut off or suspended. A share counts as held until its holder reports a different one, has
//! restarted, or the share has expired.

use std::collections::{BTreeMap, BTreeSet};

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::LEASE;
use super::hub::Owners;
use super::message::{Allotment, HeldShare, Report, WHOLE};
use crate::members;

/// Part of a limit that is spread evenly over its owners, so that an owner without demand has credit for
/// its first callers.
const EVEN_PART: f64 = 0.2;
/// Least share that is given out. A smaller one admits no request, and the credit is better used by another
/// owner.
const PARTS_MIN: u32 = WHOLE / 100;

/// Least change of a share that is made.
const CHANGE_MIN: u32 = WHOLE / 16;

/// Hash of an entry VM's or workspace's name, short enough for the lease row.
#[must_use]
pub(crate) fn hash(name: &Name) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// Record of shares in the lease row, for the next hub.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Entry VMs that the hub may give shares to while it holds the lease. Each may get shares of the
    /// limits that it owns among these entry VMs.
    pub holders: Vec<Holder>,
    /// Entry VMs that may hold shares given by earlier hubs, and that have not reported to this one.
    pub unheard: Vec<Unheard>,
    /// Shares of entry VMs that the hub no longer hears from, by workspace.
    pub lapsed: Vec<Lapsed>,
}

/// An entry VM that may hold shares.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Its name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// An entry VM that may hold shares of any limit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unheard {
    /// Its name; empty for any entry VM.
    pub vm: Name,
    /// Expiry of its shares by the store's clock, in ms.
    pub until_ms: u64,
}

/// Part of a workspace's limit that entry VMs may hold from which the hub hears nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsed {
    /// Hash of the workspace's name.
    pub workspace: u32,
    /// The share, in parts of [`WHOLE`].
    pub parts: u32,
    /// Expiry by the store's clock, in ms.
    pub until_ms: u64,
}

/// A share that an entry VM may hold.
#[derive(Clone, Copy, Debug)]
struct Share {
    parts: u32,
    until: Time,
    demand_per_s: f64,
}

/// State of an entry VM.
#[derive(Debug, Default)]
struct Reporter {
    process: u64,
    /// The previous process, whose frames may still be in transit.
    former: Option<u64>,
    /// Number of its latest frame.
    last_frame: u64,
    /// Workspaces of which it may hold a share.
    workspaces: BTreeSet<Name>,
}

/// The hub's allocation of shares.
#[derive(Debug)]
pub(crate) struct Allocator {
    reporters: BTreeMap<Name, Reporter>,
    /// By workspace, then by entry VM.
    shares: FxHashMap<Name, BTreeMap<Name, Share>>,
    /// Entry VMs that may hold any shares given by earlier hubs and have not reported yet, with the expiry.
    unheard: BTreeMap<Name, Time>,
    /// Entry VMs to which the previous hub may have given shares of the limits that they own among these
    /// entry VMs.
    previous: Vec<Holder>,
    /// Those in `previous` that have not reported their shares, and the expiry of anything they hold.
    unreported: BTreeSet<Name>,
    unreported_until: Time,
    /// Cache: owners among `previous`, by workspace.
    previous_owners: FxHashMap<Name, Vec<Name>>,
    /// By workspace hash: parts that may be held by entry VMs from which the previous hub no longer heard,
    /// with the expiry.
    lapsed: BTreeMap<u32, (u32, Time)>,
}

impl Allocator {
    /// Starts a term from the previous hub's record. `previous_ended` is when its lease ended. `at`
    /// converts store time to process time, rounding up.
    pub(crate) fn new(previous: &Outstanding, previous_ended: Time, at: impl Fn(u64) -> Time) -> Self {
        let lapsed =
            previous.lapsed.iter().map(|lapsed| (lapsed.workspace, (lapsed.parts, at(lapsed.until_ms))));
        Self {
            reporters: BTreeMap::new(),
            shares: FxHashMap::default(),
            unheard: previous.unheard.iter().map(|vm| (vm.vm.clone(), at(vm.until_ms))).collect(),
            previous: previous.holders.clone(),
            unreported: previous.holders.iter().map(|holder| holder.vm.clone()).collect(),
            unreported_until: previous_ended + LEASE,
            previous_owners: FxHashMap::default(),
            lapsed: lapsed.collect(),
        }
    }

    /// Record of shares for a lease row with the owners `proposed`. `ms` converts process time to store
    /// time, rounding up.
    pub(crate) fn outstanding(&self, now: Time, proposed: &Owners, ms: impl Fn(Time) -> u64) -> Outstanding {
        let unreported = self.unreported.iter().map(|vm| (vm, self.unreported_until));
        let unheard = self.unheard.iter().map(|(vm, until)| (vm, *until)).chain(unreported);
        let unheard = unheard.filter(|(_, until)| *until > now);
        let unheard = unheard.map(|(vm, until)| Unheard { vm: vm.clone(), until_ms: ms(until) }).collect();
        let lapsed = self.lapsed(now, proposed).into_iter();
        let lapsed =
            lapsed.map(|(workspace, (parts, until))| Lapsed { workspace, parts, until_ms: ms(until) });
        Outstanding { holders: proposed.holders.clone(), unheard, lapsed: lapsed.collect() }
    }

    /// Drops expired shares, and entry VMs without shares that are not in `known`.
    pub(crate) fn drop_expired(&mut self, now: Time, known: &FxHashSet<Name>) {
        let Self { reporters, shares, .. } = self;
        shares.retain(|_, held| {
            held.retain(|_, held| held.until > now);
            !held.is_empty()
        });
        let holds = |vm: &Name| shares.values().any(|held| held.contains_key(vm));
        reporters.retain(|vm, _| known.contains(vm) || holds(vm));
    }

    /// By workspace hash: parts that entry VMs other than the proposed owners may hold, with the expiry.
    fn lapsed(&self, now: Time, proposed: &Owners) -> BTreeMap<u32, (u32, Time)> {
        let mut lapsed = self.lapsed.clone();
        for (workspace, by_vm) in &self.shares {
            for (_, held) in by_vm.iter().filter(|(vm, _)| !proposed.owns(vm, workspace)) {
                let (parts, until) = lapsed.entry(hash(workspace)).or_default();
                *parts = parts.saturating_add(held.parts).min(WHOLE);
                *until = held.until.max(*until);
            }
        }
        lapsed.retain(|_, (_, until)| *until > now);
        lapsed
    }

    /// Whether an entry VM that has not reported may hold a share of the workspace's limit.
    fn has_unknown_holders(&mut self, now: Time, workspace: &Name) -> bool {
        self.unheard.retain(|_, until| *until > now);
        if !self.unheard.is_empty() {
            return true;
        }
        if self.unreported.is_empty() || now >= self.unreported_until {
            return false;
        }
        let previous = &self.previous;
        let previous_owners =
            self.previous_owners.entry(workspace.clone()).or_insert_with(|| owners(workspace, previous));
        previous_owners.iter().any(|vm| self.unreported.contains(vm))
    }

    /// Handles the share report in frame `frame_number` of an entry VM. Returns the shares that it may hold
    /// from now on: of the workspaces in `owned`, each with its number of owners. `None` if `owned` is
    /// unknown, or if the report is outdated.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        frame_number: u64,
        report: &Report,
        owned: Option<Vec<(Name, usize)>>,
    ) -> Option<Vec<Allotment>> {
        if !self.take_report(now, vm, frame_number, report) {
            return None;
        }
        let allotments = owned?.into_iter().filter_map(|(workspace, owners)| {
            let parts = self.allot(now, vm, &workspace, owners);
            (parts > 0).then_some(Allotment { workspace, parts })
        });
        Some(allotments.collect())
    }

    /// Stores a share report. Returns false if it is outdated.
    fn take_report(&mut self, now: Time, vm: &Name, frame_number: u64, report: &Report) -> bool {
        let reporter = self.reporters.entry(vm.clone()).or_default();
        if reporter.former == Some(report.process) {
            return false;
        }
        if reporter.process != report.process {
            reporter.former = Some(reporter.process).filter(|process| *process != 0);
            reporter.process = report.process;
            reporter.last_frame = 0;
        }
        if frame_number <= reporter.last_frame {
            return false;
        }
        reporter.last_frame = frame_number;
        let held = report.shares.iter().map(|held| held.workspace.clone()).collect();
        let previously_held = std::mem::replace(&mut reporter.workspaces, held);
        for workspace in previously_held {
            if let Some(by_vm) = self.shares.get_mut(&workspace) {
                by_vm.remove(vm);
            }
        }
        for HeldShare { workspace, parts, demand_per_s } in &report.shares {
            let held = Share { parts: *parts, until: now + LEASE, demand_per_s: *demand_per_s };
            self.shares.entry(workspace.clone()).or_default().insert(vm.clone(), held);
        }
        self.unheard.remove(vm);
        self.unreported.remove(vm);
        true
    }

    /// Parts of a workspace's limit that an entry VM may hold from now on.
    fn allot(&mut self, now: Time, vm: &Name, workspace: &Name, owners: usize) -> u32 {
        let has_unknown_holders = self.has_unknown_holders(now, workspace);
        let by_vm = self.shares.entry(workspace.clone()).or_default();
        by_vm.retain(|_, held| held.until > now);
        let own = by_vm.get(vm).copied();
        let held = own.map_or(0, |held| held.parts);
        let lapsed = self.lapsed.get(&hash(workspace)).filter(|(_, until)| *until > now);
        let lapsed = lapsed.map_or(0, |(parts, _)| *parts);
        let others: u32 = by_vm.iter().filter(|(of, _)| *of != vm).map(|(_, held)| held.parts).sum();
        let available = WHOLE.saturating_sub(others).saturating_sub(lapsed);
        // Entry VMs that have not reported may hold what appears to be free.
        let available = if has_unknown_holders { available.min(held) } else { available };
        let demand: f64 = by_vm.values().map(|held| held.demand_per_s).sum();
        let demand_here = own.map_or(0.0, |held| held.demand_per_s);
        let wanted = target(demand_here, demand, owners);
        // Parts that one owner gives up reach another one a frame later, so small changes cost more than
        // they gain.
        let steady = wanted.abs_diff(held) < CHANGE_MIN && held > 0;
        let parts = if steady { held } else { wanted }.min(available);
        let parts = if parts < PARTS_MIN { 0 } else { parts };
        // It may keep the larger share until it reports a smaller one.
        let kept = parts.max(held);
        if kept > 0 {
            let until = now + LEASE;
            by_vm.insert(vm.clone(), Share { parts: kept, until, demand_per_s: demand_here });
            if let Some(reporter) = self.reporters.get_mut(vm) {
                reporter.workspaces.insert(workspace.clone());
            }
        }
        parts
    }
}

/// Owners of parts of a workspace's limit, one in each availability zone.
pub(crate) fn owners(workspace: &Name, holders: &[Holder]) -> Vec<Name> {
    let all = holders.iter().map(|holder| (&holder.zone, &holder.vm));
    members::owners(workspace, all).into_iter().cloned().collect()
}

/// Share of an owner with the demand `demand_here`, out of the total demand `demand` of all owners.
fn target(demand_here: f64, demand: f64, owners: usize) -> u32 {
    let even = 1.0 / owners.max(1) as f64;
    let part = if demand > 0.0 { EVEN_PART * even + (1.0 - EVEN_PART) * demand_here / demand } else { even };
    (f64::from(WHOLE) * part.clamp(0.0, 1.0)) as u32
}
