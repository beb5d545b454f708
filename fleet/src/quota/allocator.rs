//! Who holds which share of which limit, as the leader keeps it.
//!
//! What is given out of one limit is never more than the whole of it, whatever is lost, late, cut off or suspended: a share counts as
//! held until its holder has said that it holds another, has started anew, or until its time is over.

use std::collections::{BTreeMap, BTreeSet};

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::LEASE;
use super::lead::Owners;
use super::message::{Allotment, Held, Report, WHOLE};
use crate::members;

/// Part of a limit that is spread evenly over its holders, so that one that is not asked now has some for the first callers.
const EVEN_PART: f64 = 0.2;
/// The least share that is given out: a smaller one lets in nobody, and whoever asks there goes to another holder instead.
const PARTS_MIN: u32 = WHOLE / 100;

/// The least change of a share that is made.
const CHANGE_MIN: u32 = WHOLE / 16;

/// A number for an entry VM or a workspace, short enough for the lease's row.
#[must_use]
pub(crate) fn hash(name: &Name) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// What the lease's row says of shares, for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outstanding {
    /// Entry VMs that the leader may give shares to while it holds the lease: each those of which it is the owner among them.
    pub holders: Vec<Holder>,
    /// Entry VMs that may hold shares by the word of leaders before, and that this one has not heard.
    pub unheard: Vec<Unheard>,
    /// Shares of entry VMs that the leader hears no more, by workspace.
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
    /// Its name; empty where any may.
    pub vm: Name,
    /// Until when, by the store's clock, in ms.
    pub until_ms: u64,
}

/// A part of a workspace's limit that may be held by entry VMs that no leader hears.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lapsed {
    /// A hash of the workspace's name.
    pub workspace: u32,
    /// The part, of [`WHOLE`].
    pub parts: u32,
    /// Until when, by the store's clock, in ms.
    pub until_ms: u64,
}

/// A share that may be held.
#[derive(Clone, Copy, Debug)]
struct Share {
    parts: u32,
    until: Time,
    asked_per_s: f64,
}

/// What is known of an entry VM.
#[derive(Debug, Default)]
struct Account {
    process: u64,
    /// The process before, whose frames may still be on their way.
    former: Option<u64>,
    /// The number of its last frame.
    number: u64,
    /// The workspaces of which it may hold shares.
    workspaces: BTreeSet<Name>,
}

/// The leader's book of shares.
#[derive(Debug)]
pub(crate) struct Allocator {
    accounts: BTreeMap<Name, Account>,
    /// By workspace, by entry VM.
    shares: FxHashMap<Name, BTreeMap<Name, Share>>,
    /// Entry VMs that may hold shares of any limit by the word of leaders before, and have not said so or otherwise; until when.
    unheard: BTreeMap<Name, Time>,
    /// Entry VMs to which the leader before may have given shares of which they were the owners among all of these.
    before: Vec<Holder>,
    /// Those of them that have not said what they hold, and until when they may hold anything.
    silent: BTreeSet<Name>,
    silent_until: Time,
    /// The owners among `before`, by workspace, as far as they were looked for.
    owners_before: FxHashMap<Name, Vec<Name>>,
    /// Parts that entry VMs may hold that the leader before did not hear any more, and until when, by the hash of the workspace.
    lapsed: BTreeMap<u32, (u32, Time)>,
}

impl Allocator {
    /// Begins a term after another whose row said this, where the lease was over at `over`. `at` turns the store's times into
    /// the process's own, and never into earlier ones.
    pub(crate) fn new(before: &Outstanding, over: Time, at: impl Fn(u64) -> Time) -> Self {
        let lapsed =
            before.lapsed.iter().map(|lapsed| (lapsed.workspace, (lapsed.parts, at(lapsed.until_ms))));
        Self {
            accounts: BTreeMap::new(),
            shares: FxHashMap::default(),
            unheard: before.unheard.iter().map(|vm| (vm.vm.clone(), at(vm.until_ms))).collect(),
            before: before.holders.clone(),
            silent: before.holders.iter().map(|holder| holder.vm.clone()).collect(),
            silent_until: over + LEASE,
            owners_before: FxHashMap::default(),
            lapsed: lapsed.collect(),
        }
    }

    /// What the lease's row is to say, where `holders` are given shares from now on. `ms` turns the process's times into the
    /// store's, and never into earlier ones.
    pub(crate) fn outstanding(&self, now: Time, proposed: &Owners, ms: impl Fn(Time) -> u64) -> Outstanding {
        let silent = self.silent.iter().map(|vm| (vm, self.silent_until));
        let unheard = self.unheard.iter().map(|(vm, until)| (vm, *until)).chain(silent);
        let unheard = unheard.filter(|(_, until)| *until > now);
        let unheard = unheard.map(|(vm, until)| Unheard { vm: vm.clone(), until_ms: ms(until) }).collect();
        let lapsed = self.lapsed(now, proposed).into_iter();
        let lapsed =
            lapsed.map(|(workspace, (parts, until))| Lapsed { workspace, parts, until_ms: ms(until) });
        Outstanding { holders: proposed.holders.clone(), unheard, lapsed: lapsed.collect() }
    }

    /// Forgets shares whose time is over, and entry VMs that hold none and are not among `known`.
    pub(crate) fn tidy(&mut self, now: Time, known: &FxHashSet<Name>) {
        let Self { accounts, shares, .. } = self;
        shares.retain(|_, held| {
            held.retain(|_, held| held.until > now);
            !held.is_empty()
        });
        let holds = |vm: &Name| shares.values().any(|held| held.contains_key(vm));
        accounts.retain(|vm, _| known.contains(vm) || holds(vm));
    }

    /// Parts that may be held by others than those that are to own them, and until when, by the hash of the workspace.
    fn lapsed(&self, now: Time, proposed: &Owners) -> BTreeMap<u32, (u32, Time)> {
        let mut lapsed = self.lapsed.clone();
        for (workspace, out) in &self.shares {
            for (_, held) in out.iter().filter(|(vm, _)| !proposed.owns(vm, workspace)) {
                let (parts, until) = lapsed.entry(hash(workspace)).or_default();
                *parts = parts.saturating_add(held.parts).min(WHOLE);
                *until = held.until.max(*until);
            }
        }
        lapsed.retain(|_, (_, until)| *until > now);
        lapsed
    }

    /// Whether somebody may hold a part of a workspace's limit that is not known.
    fn is_doubtful(&mut self, now: Time, workspace: &Name) -> bool {
        self.unheard.retain(|_, until| *until > now);
        if !self.unheard.is_empty() {
            return true;
        }
        if self.silent.is_empty() || now >= self.silent_until {
            return false;
        }
        let before = &self.before;
        let known = self.owners_before.entry(workspace.clone()).or_insert_with(|| owners(workspace, before));
        known.iter().any(|vm| self.silent.contains(vm))
    }

    /// An entry VM says what it holds, in the frame of that number, and is told what it may hold from now on: of `owned`, each with
    /// the number of entry VMs that own a part of it. None where that cannot be said yet, and for word that is older than what is
    /// known.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        number: u64,
        report: &Report,
        owned: Option<Vec<(Name, usize)>>,
    ) -> Option<Vec<Allotment>> {
        if !self.hear(now, vm, number, report) {
            return None;
        }
        let allotments = owned?.into_iter().filter_map(|(workspace, owners)| {
            let parts = self.allot(now, vm, &workspace, owners);
            (parts > 0).then_some(Allotment { workspace, parts })
        });
        Some(allotments.collect())
    }

    /// Takes over what an entry VM says that it holds. False for word that is older than what is known.
    fn hear(&mut self, now: Time, vm: &Name, number: u64, report: &Report) -> bool {
        let account = self.accounts.entry(vm.clone()).or_default();
        if account.former == Some(report.process) {
            return false;
        }
        if account.process != report.process {
            account.former = Some(account.process).filter(|process| *process != 0);
            account.process = report.process;
            account.number = 0;
        }
        if number <= account.number {
            return false;
        }
        account.number = number;
        let held = report.shares.iter().map(|held| held.workspace.clone()).collect();
        let before = std::mem::replace(&mut account.workspaces, held);
        for workspace in before {
            if let Some(out) = self.shares.get_mut(&workspace) {
                out.remove(vm);
            }
        }
        for Held { workspace, parts, asked_per_s } in &report.shares {
            let held = Share { parts: *parts, until: now + LEASE, asked_per_s: *asked_per_s };
            self.shares.entry(workspace.clone()).or_default().insert(vm.clone(), held);
        }
        self.unheard.remove(vm);
        self.silent.remove(vm);
        true
    }

    /// Parts of a workspace's limit that an entry VM may hold from now on.
    fn allot(&mut self, now: Time, vm: &Name, workspace: &Name, owners: usize) -> u32 {
        let doubtful = self.is_doubtful(now, workspace);
        let out = self.shares.entry(workspace.clone()).or_default();
        out.retain(|_, held| held.until > now);
        let mine = out.get(vm).copied();
        let held = mine.map_or(0, |held| held.parts);
        let lapsed = self.lapsed.get(&hash(workspace)).filter(|(_, until)| *until > now);
        let lapsed = lapsed.map_or(0, |(parts, _)| *parts);
        let others: u32 = out.iter().filter(|(of, _)| *of != vm).map(|(_, held)| held.parts).sum();
        let room = WHOLE.saturating_sub(others).saturating_sub(lapsed);
        // Whoever has not been heard may hold what seems to be free.
        let room = if doubtful { room.min(held) } else { room };
        let asked: f64 = out.values().map(|held| held.asked_per_s).sum();
        let asked_here = mine.map_or(0.0, |held| held.asked_per_s);
        let wanted = target(asked_here, asked, owners);
        // What one gives up comes to another a frame later: small changes would cost more than they bring.
        let steady = wanted.abs_diff(held) < CHANGE_MIN && held > 0;
        let parts = if steady { held } else { wanted }.min(room);
        let parts = if parts < PARTS_MIN { 0 } else { parts };
        // Until it says that it holds less, it may hold what it held.
        let kept = parts.max(held);
        if kept > 0 {
            let until = now + LEASE;
            out.insert(vm.clone(), Share { parts: kept, until, asked_per_s: asked_here });
            if let Some(account) = self.accounts.get_mut(vm) {
                account.workspaces.insert(workspace.clone());
            }
        }
        parts
    }
}

/// The owners of parts of a workspace's limit, one in each availability zone.
pub(crate) fn owners(workspace: &Name, holders: &[Holder]) -> Vec<Name> {
    let all = holders.iter().map(|holder| (&holder.zone, &holder.vm));
    members::owners(workspace, all).into_iter().cloned().collect()
}

/// The share of an entry VM that is asked for so much of what all owners are asked for.
fn target(asked_here: f64, asked: f64, owners: usize) -> u32 {
    let even = 1.0 / owners.max(1) as f64;
    let part = if asked > 0.0 { EVEN_PART * even + (1.0 - EVEN_PART) * asked_here / asked } else { even };
    (f64::from(WHOLE) * part.clamp(0.0, 1.0)) as u32
}
