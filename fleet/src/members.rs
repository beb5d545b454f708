//! The entry VMs that there are, as the hub counts them, and which of them owns what (rendezvous hashing).

use std::collections::BTreeMap;
use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens for other entry VMs.
    pub address: SocketAddr,
}

/// All entry VMs.
#[derive(Debug, Default)]
pub struct Members {
    list: Vec<Member>,
    version: u64,
    /// Those that did not answer, and until when they are not asked.
    silent: Vec<(Name, Time)>,
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
    pub fn replace(&mut self, list: Vec<Member>) {
        self.version = version(&list);
        self.list = list;
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

    /// Whether an entry VM is not to be asked now.
    #[must_use]
    pub fn is_silent(&self, vm: &Name, now: Time) -> bool {
        self.silent.iter().any(|(name, until)| name == vm && *until > now)
    }

    /// An entry VM that has not been asked yet for what it sees of something in an availability zone: one of that zone; of any,
    /// if `near` says that whoever asks is in that zone too. Across a partition, others see no more than whoever asks.
    #[must_use]
    pub fn prober(&self, what: &Name, zone: &Name, near: bool, asked: &[Name]) -> Option<&Member> {
        self.first(what, zone, |member| (near || member.zone == *zone) && !asked.contains(&member.vm))
    }

    fn first(&self, what: &Name, zone: &Name, fits: impl Fn(&Member) -> bool) -> Option<&Member> {
        let fitting = || self.list.iter().filter(|member| fits(member));
        let near = fitting().filter(|member| member.zone == *zone);
        let first = near.max_by_key(|member| weight(what, &member.vm));
        first.or_else(|| fitting().max_by_key(|member| weight(what, &member.vm)))
    }
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
