//! The list of entry VMs as counted by the hub, and the owner of each key by rendezvous hashing. A key names a shared task,
//! such as the schedule of an engine.

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

/// How long an entry VM that a new list lacks still counts. It may receive that list later, and reservations
/// that it has granted are used later still.
const REMOVED_KEPT: Duration = Duration::from_secs(3);

/// Number of entry VMs in each availability zone that read the store for the others when the hub doesn't. Some of
/// them may have stalled, or be rejected by the store.
const READERS: usize = 3;
/// Number of entry VMs in each availability zone that store the origin of a stream. It is more than one, since most may
/// be killed at once.
const REPLICAS: usize = 2;
/// One in this many entry VMs of each availability zone may be a replica of stream origins, but at least
/// `REPLICAS_ELIGIBLE_MIN`. All others hold connections to these.
const REPLICAS_ELIGIBLE_DIVISOR: usize = 4;
const REPLICAS_ELIGIBLE_MIN: usize = 8;
/// Hash key by which the replicas of stream origins are chosen.
const REPLICAS_KEY: &str = "streams";
/// Hash key by which the readers of the store are chosen.
const READERS_KEY: &str = "store";

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other entry VMs.
    pub address: SocketAddr,
    /// Whether its machine is too small for work beyond that of its own callers.
    pub weak: bool,
}

/// The entry VMs of the fleet.
#[derive(Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    /// Those that read the store for the others when the hub doesn't.
    readers: Vec<Name>,
    /// Those that may be replicas of stream origins, by availability zone.
    eligible_replicas: Vec<Vec<Member>>,
    version: u64,
    /// Those removed from the list, and until when they may still grant reservations.
    removed: Vec<(Member, Time)>,
    /// Those that did not answer, and until when no queries are sent to them.
    silent: Vec<(Name, Time)>,
    /// As the hub: since when each member is listed.
    roster: Roster,
    /// This entry VM's own membership in the list.
    ownership: Ownership,
}

/// Whether an entry VM is the sole owner of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is the owner, and no other acts as one.
    Sole,
    /// It is the owner by its own list, but another may still act as one, or have begun to.
    Uncertain,
    /// Another is the owner.
    None,
}

impl Members {
    /// Hash of the list; 0 for an empty one.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// All members.
    #[must_use]
    pub fn list(&self) -> &[Member] {
        &self.list
    }

    /// Replaces the list.
    pub fn replace(&mut self, now: Time, list: Vec<Member>) {
        let listed: FxHashSet<&Name> = list.iter().map(|member| &member.vm).collect();
        self.removed.retain(|(member, until)| *until > now && !listed.contains(&member.vm));
        let missing = self.list.iter().filter(|member| !listed.contains(&member.vm));
        self.removed.extend(missing.map(|member| (member.clone(), now + REMOVED_KEPT)));
        self.version = version(&list);
        self.readers = readers(&list);
        self.eligible_replicas = eligible_replicas(&list);
        self.list = list;
    }

    /// Whether an entry VM knows no other.
    pub(crate) fn is_alone(&self, vm: &Name) -> bool {
        self.list.iter().all(|member| member.vm == *vm)
    }

    /// Whether an entry VM reads the store for the others when the hub doesn't. Each one does while the list is
    /// empty.
    #[must_use]
    pub fn is_reader(&self, vm: &Name) -> bool {
        self.list.is_empty() || self.readers.contains(vm)
    }

    /// As the hub of this term: replaces the list.
    pub(crate) fn update_as_hub(&mut self, now: Time, term: u64, vm: &Name, list: Vec<Member>) {
        if list != self.list || !self.roster.is_for_term(term) {
            self.roster.update(now, term, &self.list, &list);
            self.replace(now, list);
        }
        let membership = self.membership(now, vm, true);
        self.ownership.renew(now, now, membership);
    }

    /// As the hub: the membership that is sent to an entry VM.
    pub(crate) fn membership(&self, now: Time, vm: &Name, with_list: bool) -> Membership {
        self.roster.membership(now, vm, with_list)
    }

    /// Renews this entry VM's membership: a hub answered a frame sent at `sent`.
    pub(crate) fn confirm(&mut self, now: Time, sent: Time, membership: Membership) {
        self.ownership.renew(now, sent, membership);
    }

    /// Whether `vm`, which must be this entry VM, is the sole owner of a key in an availability zone.
    #[must_use]
    pub fn claim(&self, vm: &Name, key: &Name, zone: &Name, now: Time) -> Claim {
        if self.sole_owner(key, zone).is_none_or(|owner| owner.vm != *vm) {
            return Claim::None;
        }
        let all = self.list.iter().chain(self.ownership.recently_removed(now));
        let first = first_owner(all, key, zone).is_some_and(|owner| owner.vm == *vm);
        if first && self.ownership.is_settled(now) { Claim::Sole } else { Claim::Uncertain }
    }

    /// Whether an entry VM is the owner of a key by the current list and by all recent ones, whoever made them: a
    /// new hub's list may lack most entry VMs for a while.
    pub(crate) fn is_owner_by_recent_lists(&self, vm: &Name, key: &Name, zone: &Name, now: Time) -> bool {
        let removed = self.removed.iter().filter(|(_, until)| *until > now).map(|(member, _)| member);
        let all = self.list.iter().chain(removed).chain(self.ownership.recently_removed(now));
        first_owner(all, key, zone).is_some_and(|owner| owner.vm == *vm)
    }

    /// The sole owner of a key in an availability zone, whether it answers or not.
    #[must_use]
    pub fn sole_owner(&self, key: &Name, zone: &Name) -> Option<&Member> {
        first_owner(self.list.iter(), key, zone)
    }

    /// Sends no queries to an entry VM until then.
    pub fn mark_silent(&mut self, vm: &Name, until: Time) {
        self.silent.retain(|(name, _)| name != vm);
        self.silent.push((vm.clone(), until));
    }

    /// The owner of a key in an availability zone among the entry VMs that answer: one of that zone, or of any
    /// zone if none is there.
    #[must_use]
    pub fn owner(&self, key: &Name, zone: &Name, now: Time) -> Option<&Member> {
        let answers = |member: &Member| !self.is_silent(&member.vm, now);
        self.first_owner(key, zone, answers)
    }

    /// One entry VM of each availability zone that owns a part of a key, by zone name. Includes those that don't
    /// answer.
    #[must_use]
    pub fn owners(&self, key: &Name) -> Vec<&Member> {
        let owners = owners(key, self.list.iter().map(|member| (&member.zone, &member.vm)));
        owners.into_iter().filter_map(|vm| self.list.iter().find(|member| member.vm == *vm)).collect()
    }

    /// The availability zone of the entry VM at an address.
    pub(crate) fn zone_of(&self, address: SocketAddr) -> Option<&Name> {
        self.list.iter().find(|member| member.address == address).map(|member| &member.zone)
    }

    /// Whether there are entry VMs outside of an availability zone.
    pub(crate) fn is_beyond(&self, zone: &Name) -> bool {
        self.list.iter().any(|member| member.zone != *zone)
    }

    /// The entry VMs that store the origin of a stream. Includes those that don't answer.
    pub(crate) fn stream_replicas(&self, stream: Stream) -> Vec<&Member> {
        let key = Name::from(stream.to_string());
        let first = |zone: &Vec<Member>| {
            let mut ranked: Vec<usize> = (0..zone.len()).collect();
            ranked.sort_by_cached_key(|at| Reverse(weight(&key, &zone[*at].vm)));
            ranked.truncate(REPLICAS);
            ranked
        };
        let replicas =
            self.eligible_replicas.iter().flat_map(|zone| first(zone).into_iter().map(|at| &zone[at]));
        replicas.collect()
    }

    /// Whether no queries are sent to an entry VM now.
    #[must_use]
    pub fn is_silent(&self, vm: &Name, now: Time) -> bool {
        self.silent_for(vm, now).is_some()
    }

    /// Whether there is any entry VM to which no queries are sent now.
    #[must_use]
    pub fn any_silent(&self, now: Time) -> bool {
        self.silent.iter().any(|(_, until)| *until > now)
    }

    /// How long no queries will be sent to an entry VM; `None` if they are sent.
    #[must_use]
    pub fn silent_for(&self, vm: &Name, now: Time) -> Option<Duration> {
        let silent = self.silent.iter().find(|(name, until)| name == vm && *until > now);
        silent.map(|(_, until)| until.since(now))
    }

    /// An entry VM to ask what it sees of `key` in an availability zone, among those not asked yet. It is one of that
    /// zone, because across a partition other zones see no more than the asker. If `near` is set, the asker is in
    /// that zone too: then one of another zone is preferred, which has hardly lost the same connections, before any
    /// other.
    #[must_use]
    pub fn pick_prober(&self, key: &Name, zone: &Name, near: bool, asked: &[Name]) -> Option<&Member> {
        let is_unasked = |member: &Member| !asked.contains(&member.vm);
        let in_zone = || self.first_owner(key, zone, |member| member.zone == *zone && is_unasked(member));
        if !near {
            return in_zone();
        }
        self.first_owner(key, zone, |member| member.zone != *zone && is_unasked(member)).or_else(in_zone)
    }

    /// An entry VM to ask whether it reaches an engine in an availability zone, among those not asked yet. In order
    /// of preference: those that aren't known to be cut off, those of zones of which none was asked, those of the
    /// asker's zone, then of the engine's, then any. Different askers get different ones.
    #[must_use]
    pub(crate) fn pick_relay(
        &self,
        engine: &Name,
        me: &Identity,
        zone: &Name,
        asked: &[Name],
        is_cut_off: impl Fn(&Name) -> bool,
    ) -> Option<&Member> {
        let key = Name::from(format!("{engine} {}", me.vm));
        let queried = self.list.iter().filter(|member| asked.contains(&member.vm));
        let zones: BTreeSet<&Name> = queried.map(|member| &member.zone).collect();
        let rank = |member: &&Member| {
            let near = if member.zone == me.zone { 2 } else { u8::from(member.zone == *zone) };
            (!is_cut_off(&member.vm), !zones.contains(&member.zone), near, weight(&key, &member.vm))
        };
        let others = self.list.iter().filter(|member| member.vm != me.vm && !asked.contains(&member.vm));
        others.max_by_key(rank)
    }

    fn first_owner(&self, key: &Name, zone: &Name, fits: impl Fn(&Member) -> bool) -> Option<&Member> {
        first_owner(self.list.iter().filter(|member| fits(member)), key, zone)
    }
}

/// The owner of a key in an availability zone among `vms`: one of that zone, or of any zone if none is there.
fn first_owner<'a>(
    vms: impl Iterator<Item = &'a Member> + Clone,
    key: &Name,
    zone: &Name,
) -> Option<&'a Member> {
    let near = vms.clone().filter(|member| member.zone == *zone);
    let first = near.max_by_key(|member| weight(key, &member.vm));
    first.or_else(|| vms.max_by_key(|member| weight(key, &member.vm)))
}

/// The owner in each availability zone of a part of a key, by zone name. `vms` are pairs of zone and entry VM.
#[must_use]
pub fn owners<'a>(key: &Name, vms: impl Iterator<Item = (&'a Name, &'a Name)>) -> Vec<&'a Name> {
    let mut by_zone: BTreeMap<&Name, (u64, &Name)> = BTreeMap::new();
    for (zone, vm) in vms {
        let weight = weight(key, vm);
        let first = by_zone.entry(zone).or_insert((weight, vm));
        if weight > first.0 {
            *first = (weight, vm);
        }
    }
    by_zone.into_values().map(|(_, vm)| vm).collect()
}

/// The entry VMs of each availability zone that read the store for the others.
fn readers(list: &[Member]) -> Vec<Name> {
    let ranked = ranked(list, &Name::from(READERS_KEY));
    ranked
        .into_iter()
        .flat_map(|zone| zone.into_iter().take(READERS).map(|member| member.vm.clone()))
        .collect()
}

/// The entry VMs of each availability zone that may be replicas of stream origins.
fn eligible_replicas(list: &[Member]) -> Vec<Vec<Member>> {
    let first = |zone: Vec<&Member>| {
        let count = zone.len().div_ceil(REPLICAS_ELIGIBLE_DIVISOR).max(REPLICAS_ELIGIBLE_MIN);
        zone.into_iter().take(count).cloned().collect()
    };
    ranked(list, &Name::from(REPLICAS_KEY)).into_iter().map(first).collect()
}

/// The entry VMs of each availability zone by rank of ownership, those on weak machines last.
fn ranked<'a>(list: &'a [Member], key: &Name) -> Vec<Vec<&'a Member>> {
    let mut by_zone: BTreeMap<&Name, Vec<&Member>> = BTreeMap::new();
    for member in list {
        by_zone.entry(&member.zone).or_default().push(member);
    }
    let mut zones: Vec<Vec<&Member>> = by_zone.into_values().collect();
    for zone in &mut zones {
        zone.sort_by_cached_key(|member| (member.weak, Reverse(weight(key, &member.vm))));
    }
    zones
}

/// Hash of a list of entry VMs, equal on all of them; 0 for an empty list.
#[must_use]
pub fn version(list: &[Member]) -> u64 {
    list.iter().fold(0, |seed, member| {
        let at = xxh3_64_with_seed(member.address.to_string().as_bytes(), seed);
        xxh3_64_with_seed(member.vm.as_bytes(), at)
    })
}

fn weight(key: &Name, vm: &Name) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(vm.as_bytes(), 0))
}
