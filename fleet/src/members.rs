//! The entry VMs that there are, as the hub counts them, and which of them owns what (rendezvous hashing).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ownership::{Membership, Ownership, Roster};
use crate::request::Stream;
use crate::state::Identity;

/// How long an entry VM counts that a new list lacks: it may know that list later, and what it has given is used later still.
const DROPPED_KEPT: Duration = Duration::from_secs(3);

/// Entry VMs of each availability zone that read the store for the others where the leader does not: some of them may be frozen, or turned
/// away.
const READERS: usize = 3;
/// Entry VMs of each availability zone that keep what began a stream: most may be killed at once.
const KEEPERS: usize = 2;
/// Entry VMs of each availability zone that keep any of that: one in so many, and this many at least. All others hold connections to them.
const KEEPING_PART: usize = 4;
const KEEPING_MIN: usize = 8;
/// What they own, by hashing.
const KEEPING: &str = "streams";
/// What those that read the store own, by hashing.
const READING: &str = "store";

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other entry VMs.
    pub address: SocketAddr,
    /// Whether its machine is too small for more than its callers.
    pub weak: bool,
}

/// All entry VMs.
#[derive(Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    /// Those that read the store for the others where the leader does not.
    readers: Vec<Name>,
    /// Those of each availability zone that keep what began streams.
    keepers: Vec<Vec<Member>>,
    version: u64,
    /// Those that an earlier list named, and until when they may still give places.
    dropped: Vec<(Member, Time)>,
    /// Those that did not answer, and until when they are not asked.
    silent: Vec<(Name, Time)>,
    /// As the leader: since when whom the list names.
    roster: Roster,
    /// This entry VM's own place in the list.
    ownership: Ownership,
}

/// Whether an entry VM is the only owner of something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is, and no other acts as one.
    Sole,
    /// It is by the list that it knows; another may still act, or have begun to.
    Uncertain,
    /// Another is.
    None,
}

impl Members {
    /// A number that differs if they do; 0 for none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// All of them.
    #[must_use]
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Takes over who there is.
    pub fn replace(&mut self, now: Time, list: Vec<Member>) {
        let listed: FxHashSet<&Name> = list.iter().map(|member| &member.vm).collect();
        self.dropped.retain(|(member, until)| *until > now && !listed.contains(&member.vm));
        let gone = self.list.iter().filter(|member| !listed.contains(&member.vm));
        self.dropped.extend(gone.map(|member| (member.clone(), now + DROPPED_KEPT)));
        self.version = version(&list);
        self.readers = readers(&list);
        self.keepers = keepers(&list);
        self.list = list;
    }

    /// Whether an entry VM knows of no other.
    pub(crate) fn is_alone(&self, vm: &Name) -> bool {
        self.list.iter().all(|member| member.vm == *vm)
    }

    /// Whether an entry VM reads the store for the others where the leader does not; each does while nobody is known.
    #[must_use]
    pub fn is_reader(&self, vm: &Name) -> bool {
        self.list.is_empty() || self.readers.contains(vm)
    }

    /// As the leader of this term, takes over who there is.
    pub(crate) fn lead(&mut self, now: Time, term: u64, vm: &Name, list: Vec<Member>) {
        if list != self.list || !self.roster.is_of(term) {
            self.roster.update(now, term, &self.list, &list);
            self.replace(now, list);
        }
        let membership = self.membership(now, vm, true);
        self.ownership.renew(now, now, membership);
    }

    /// As the leader: what an entry VM is told of its place in the list.
    pub(crate) fn membership(&self, now: Time, vm: &Name, with_list: bool) -> Membership {
        self.roster.membership(now, vm, with_list)
    }

    /// A leader answered a frame that was sent then.
    pub(crate) fn confirm(&mut self, now: Time, sent: Time, membership: Membership) {
        self.ownership.renew(now, sent, membership);
    }

    /// Whether an entry VM, this one, is the only owner of something of an availability zone.
    #[must_use]
    pub fn claim(&self, vm: &Name, what: &Name, zone: &Name, now: Time) -> Claim {
        if self.sole_owner(what, zone).is_none_or(|owner| owner.vm != *vm) {
            return Claim::None;
        }
        let all = self.list.iter().chain(self.ownership.former(now));
        let first = first(all, what, zone).is_some_and(|owner| owner.vm == *vm);
        if first && self.ownership.is_settled(now) { Claim::Sole } else { Claim::Uncertain }
    }

    /// Whether an entry VM is the owner of something by the list and was by the lists of late, whoever made them: a new leader's list
    /// may lack most of the entry VMs for a while.
    pub(crate) fn is_owner_by_lists(&self, vm: &Name, what: &Name, zone: &Name, now: Time) -> bool {
        let dropped = self.dropped.iter().filter(|(_, until)| *until > now).map(|(member, _)| member);
        let all = self.list.iter().chain(dropped).chain(self.ownership.former(now));
        first(all, what, zone).is_some_and(|owner| owner.vm == *vm)
    }

    /// Who alone owns something of an availability zone, whether it answers or not.
    #[must_use]
    pub fn sole_owner(&self, what: &Name, zone: &Name) -> Option<&Member> {
        first(self.list.iter(), what, zone)
    }

    /// An entry VM is not to be asked until then.
    pub fn suspect(&mut self, vm: &Name, until: Time) {
        self.silent.retain(|(name, _)| name != vm);
        self.silent.push((vm.clone(), until));
    }

    /// Who owns something of an availability zone: one of the entry VMs there; of all, if there is none.
    #[must_use]
    pub fn owner(&self, what: &Name, zone: &Name, now: Time) -> Option<&Member> {
        let answers = |member: &Member| !self.is_silent(&member.vm, now);
        self.first(what, zone, answers)
    }

    /// One entry VM of each availability zone that owns a part of something, by the zones' names; also those that do not answer.
    #[must_use]
    pub fn owners(&self, what: &Name) -> Vec<&Member> {
        let owners = owners(what, self.list.iter().map(|member| (&member.zone, &member.vm)));
        owners.into_iter().filter_map(|vm| self.list.iter().find(|member| member.vm == *vm)).collect()
    }

    /// The entry VMs that keep what began a stream, also those that do not answer.
    pub(crate) fn keepers(&self, stream: Stream) -> Vec<&Member> {
        let what = Name::from(stream.to_string());
        let first = |zone: &Vec<Member>| {
            let mut ranked: Vec<usize> = (0..zone.len()).collect();
            ranked.sort_by_cached_key(|at| Reverse(weight(&what, &zone[*at].vm)));
            ranked.truncate(KEEPERS);
            ranked
        };
        let picked = self.keepers.iter().flat_map(|zone| first(zone).into_iter().map(|at| &zone[at]));
        picked.collect()
    }

    /// Whether an entry VM is not to be asked now.
    #[must_use]
    pub fn is_silent(&self, vm: &Name, now: Time) -> bool {
        self.silence(vm, now).is_some()
    }

    /// Whether any entry VM is not to be asked now.
    #[must_use]
    pub fn is_any_silent(&self, now: Time) -> bool {
        self.silent.iter().any(|(_, until)| *until > now)
    }

    /// For how long an entry VM is not to be asked, if it is not.
    #[must_use]
    pub fn silence(&self, vm: &Name, now: Time) -> Option<Duration> {
        let silent = self.silent.iter().find(|(name, until)| name == vm && *until > now);
        silent.map(|(_, until)| until.since(now))
    }

    /// An entry VM that has not been asked yet for what it sees of something in an availability zone: one of that zone, since across a partition
    /// others see no more than whoever asks. If `near` says that this one is in that zone too, one of another zone, which has hardly lost the same
    /// ways, and then any.
    #[must_use]
    pub fn prober(&self, what: &Name, zone: &Name, near: bool, asked: &[Name]) -> Option<&Member> {
        let new = |member: &Member| !asked.contains(&member.vm);
        let there = || self.first(what, zone, |member| member.zone == *zone && new(member));
        if !near {
            return there();
        }
        self.first(what, zone, |member| member.zone != *zone && new(member)).or_else(there)
    }

    /// An entry VM that has not been asked yet whether it reaches an engine of an availability zone: first those that are not known not to reach others, of
    /// zones of which nobody was asked, of the asker's zone, then of the engine's, then of any. Different askers ask different ones.
    #[must_use]
    pub(crate) fn relay(
        &self,
        engine: &Name,
        me: &Identity,
        zone: &Name,
        asked: &[Name],
        blind: impl Fn(&Name) -> bool,
    ) -> Option<&Member> {
        let what = Name::from(format!("{engine} {}", me.vm));
        let asked_of = self.list.iter().filter(|member| asked.contains(&member.vm));
        let zones: BTreeSet<&Name> = asked_of.map(|member| &member.zone).collect();
        let rank = |member: &&Member| {
            let near = if member.zone == me.zone { 2 } else { u8::from(member.zone == *zone) };
            (!blind(&member.vm), !zones.contains(&member.zone), near, weight(&what, &member.vm))
        };
        let others = self.list.iter().filter(|member| member.vm != me.vm && !asked.contains(&member.vm));
        others.max_by_key(rank)
    }

    fn first(&self, what: &Name, zone: &Name, fits: impl Fn(&Member) -> bool) -> Option<&Member> {
        first(self.list.iter().filter(|member| fits(member)), what, zone)
    }
}

/// Of entry VMs, the one that owns something of an availability zone: one of those there; of all, if there is none.
fn first<'a>(vms: impl Iterator<Item = &'a Member> + Clone, what: &Name, zone: &Name) -> Option<&'a Member> {
    let near = vms.clone().filter(|member| member.zone == *zone);
    let first = near.max_by_key(|member| weight(what, &member.vm));
    first.or_else(|| vms.max_by_key(|member| weight(what, &member.vm)))
}

/// Of entry VMs, each with its availability zone, the one of each zone that owns a part of something, by the zones' names.
#[must_use]
pub fn owners<'a>(what: &Name, vms: impl Iterator<Item = (&'a Name, &'a Name)>) -> Vec<&'a Name> {
    let mut by_zone: BTreeMap<&Name, (u64, &Name)> = BTreeMap::new();
    for (zone, vm) in vms {
        let weight = weight(what, vm);
        let first = by_zone.entry(zone).or_insert((weight, vm));
        if weight > first.0 {
            *first = (weight, vm);
        }
    }
    by_zone.into_values().map(|(_, vm)| vm).collect()
}

/// Of each availability zone the entry VMs that read the store for the others.
fn readers(list: &[Member]) -> Vec<Name> {
    let ranked = ranked(list, &Name::from(READING));
    ranked
        .into_iter()
        .flat_map(|zone| zone.into_iter().take(READERS).map(|member| member.vm.clone()))
        .collect()
}

/// Of each availability zone the entry VMs that keep what began streams.
fn keepers(list: &[Member]) -> Vec<Vec<Member>> {
    let first = |zone: Vec<&Member>| {
        let count = zone.len().div_ceil(KEEPING_PART).max(KEEPING_MIN);
        zone.into_iter().take(count).cloned().collect()
    };
    ranked(list, &Name::from(KEEPING)).into_iter().map(first).collect()
}

/// The entry VMs of each availability zone in the order in which they own a part of something: strong ones first.
fn ranked<'a>(list: &'a [Member], what: &Name) -> Vec<Vec<&'a Member>> {
    let mut by_zone: BTreeMap<&Name, Vec<&Member>> = BTreeMap::new();
    for member in list {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    let mut zones: Vec<Vec<&Member>> = by_zone.into_values().collect();
    for zone in &mut zones {
        zone.sort_by_cached_key(|member| (member.weak, Reverse(weight(what, &member.vm))));
    }
    zones
}

/// A number that differs for different lists, whoever computes it; 0 for none.
#[must_use]
pub fn version(list: &[Member]) -> u64 {
    list.iter().fold(0, |seed, member| {
        let at = xxh3_64_with_seed(member.address.to_string().as_bytes(), seed);
        xxh3_64_with_seed(member.vm.as_bytes(), at)
    })
}

fn weight(what: &Name, vm: &Name) -> u64 {
    xxh3_64_with_seed(what.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}
