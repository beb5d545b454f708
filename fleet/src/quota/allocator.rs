//! Who holds which share of which limit, as the leader keeps it.
//!
//! What is given out of one limit is never more than the whole of it, whatever is lost, late, cut off or suspended: a share counts as
//! held until its holder has said that it holds another, has started anew, or until its time is over.

use std::collections::{BTreeMap, BTreeSet};

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::LEASE;
use super::message::{Allotment, Held, Report, WHOLE};

/// Part of a limit that is spread evenly over its holders, so that one that is not asked now has some for the first callers.
const EVEN_PART: f64 = 0.2;
/// The least share that is given out: a smaller one lets in nobody, and whoever asks there goes to another holder instead.
const PARTS_MIN: u32 = WHOLE / 100;

/// A number for an entry VM, short enough for the lease's row.
#[must_use]
pub(crate) fn hash(vm: &Name) -> u32 {
    xxh3_64(vm.as_bytes()) as u32
}

/// A share that may be held.
#[derive(Clone, Copy, Debug)]
struct Out {
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
    out: FxHashMap<Name, BTreeMap<Name, Out>>,
    /// Entry VMs that may hold shares by the word of leaders before, and have not said so or otherwise.
    unheard: BTreeSet<u32>,
    unheard_until: Time,
    /// Entry VMs that the lease's row names, so that the next leader knows whom to hear first.
    named: BTreeSet<u32>,
}

impl Allocator {
    /// Begins a term, where the leaders before may have given shares to `unheard`.
    pub(crate) fn new(now: Time, unheard: impl IntoIterator<Item = u32>) -> Self {
        Self {
            accounts: BTreeMap::new(),
            out: FxHashMap::default(),
            unheard: unheard.into_iter().collect(),
            unheard_until: now + LEASE,
            named: BTreeSet::new(),
        }
    }

    /// The lease's row names these entry VMs.
    pub(crate) fn name(&mut self, vms: &[u32]) {
        self.named = vms.iter().copied().collect();
    }

    /// Entry VMs that may hold shares.
    pub(crate) fn holders(&self, now: Time) -> impl Iterator<Item = u32> {
        let unheard = self.unheard.iter().copied().filter(move |_| now < self.unheard_until);
        unheard.chain(self.accounts.keys().map(hash))
    }

    /// An entry VM says what it holds, in the frame of that number, and is told what it may hold from now on: of `owned`, each with
    /// the number of entry VMs that own a part of it. None if nothing can be said to it yet.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        number: u64,
        report: &Report,
        owned: &[(Name, usize)],
    ) -> Option<Vec<Allotment>> {
        if !self.hear(now, vm, number, report) || !self.named.contains(&hash(vm)) {
            return None;
        }
        let allotments = owned.iter().filter_map(|(workspace, owners)| {
            let parts = self.allot(now, vm, workspace, *owners);
            (parts > 0).then(|| Allotment { workspace: workspace.clone(), parts })
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
            if let Some(out) = self.out.get_mut(&workspace) {
                out.remove(vm);
            }
        }
        for Held { workspace, parts, asked_per_s } in &report.shares {
            let held = Out { parts: *parts, until: now + LEASE, asked_per_s: *asked_per_s };
            self.out.entry(workspace.clone()).or_default().insert(vm.clone(), held);
        }
        self.unheard.remove(&hash(vm));
        true
    }

    /// Parts of a workspace's limit that an entry VM may hold from now on.
    fn allot(&mut self, now: Time, vm: &Name, workspace: &Name, owners: usize) -> u32 {
        let doubtful = now < self.unheard_until && !self.unheard.is_empty();
        let out = self.out.entry(workspace.clone()).or_default();
        out.retain(|_, held| held.until > now);
        let mine = out.get(vm).copied();
        let held = mine.map_or(0, |held| held.parts);
        let others: u32 = out.iter().filter(|(of, _)| *of != vm).map(|(_, held)| held.parts).sum();
        let room = WHOLE.saturating_sub(others);
        // Whoever has not been heard may hold what seems to be free.
        let room = if doubtful { room.min(held) } else { room };
        let asked: f64 = out.values().map(|held| held.asked_per_s).sum();
        let asked_here = mine.map_or(0.0, |held| held.asked_per_s);
        let parts = target(asked_here, asked, owners).min(room);
        let parts = if parts < PARTS_MIN { 0 } else { parts };
        // Until it says that it holds less, it may hold what it held.
        let kept = parts.max(held);
        if kept > 0 {
            let until = now + LEASE;
            out.insert(vm.clone(), Out { parts: kept, until, asked_per_s: asked_here });
            if let Some(account) = self.accounts.get_mut(vm) {
                account.workspaces.insert(workspace.clone());
            }
        }
        parts
    }
}

/// The share of an entry VM that is asked for so much of what all owners are asked for.
fn target(asked_here: f64, asked: f64, owners: usize) -> u32 {
    let even = 1.0 / owners.max(1) as f64;
    let part = if asked > 0.0 { EVEN_PART * even + (1.0 - EVEN_PART) * asked_here / asked } else { even };
    (f64::from(WHOLE) * part.clamp(0.0, 1.0)) as u32
}
