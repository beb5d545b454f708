//! Sole ownership of a shared task by one entry VM, for as long as its membership in the hub's list is valid.
//!
//! Each entry VM finds the owner by hashing over the hub's list, and lists differ for a while whenever one
//! changes. A task that must not have two owners at a time is therefore protected by time as well. The hub's reply
//! to a frame is valid for [`MEMBERSHIP_TTL`] from when the frame was sent, and a new owner begins only [`MEMBERSHIP_TTL`] after the
//! change that made it the owner. By then the former owner has received the change, or has received nothing and
//! stopped. This needs no write to the store and no handover: while the list doesn't change, an owner owns new tasks
//! at once.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::members::Member;

/// How long a membership is valid: more than two frame intervals in a fleet of hundreds of entry VMs.
pub const MEMBERSHIP_TTL: Duration = Duration::from_secs(4);

/// Membership of an entry VM in the hub's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Time for which it has been in the list without a break, under this hub.
    pub listed_for: Duration,
    /// Entry VMs that were in the list within [`MEMBERSHIP_TTL`] and are not now. Empty unless the list is sent too.
    pub recently_removed: Vec<Member>,
}

/// The hub's record of membership times.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The term of the lease.
    term: u64,
    /// When each member was listed, without a break since.
    listed: FxHashMap<Name, Time>,
    /// Members removed from the list, and until when they count.
    removed: BTreeMap<Name, (Member, Time)>,
}

impl Roster {
    /// Whether the record belongs to this term.
    pub(crate) const fn is_for_term(&self, term: u64) -> bool {
        self.term == term
    }

    /// Records a change of the list from `before` to `list` under a term.
    pub(crate) fn update(&mut self, now: Time, term: u64, before: &[Member], list: &[Member]) {
        if term != self.term {
            *self = Self { term, ..Self::default() };
        }
        self.removed.retain(|_, (_, until)| *until > now);
        let listed = std::mem::take(&mut self.listed);
        for member in list {
            let since = listed.get(&member.vm).copied().unwrap_or(now);
            self.listed.insert(member.vm.clone(), since);
            self.removed.remove(&member.vm);
        }
        for member in before.iter().filter(|member| !self.listed.contains_key(&member.vm)) {
            self.removed.entry(member.vm.clone()).or_insert_with(|| (member.clone(), now + MEMBERSHIP_TTL));
        }
    }

    /// The membership to send to an entry VM. `with_list` tells whether the list is sent too.
    pub(crate) fn membership(&self, now: Time, vm: &Name, with_list: bool) -> Membership {
        let listed = self.listed.get(vm).map_or(Duration::ZERO, |since| now.since(*since));
        let removed = self.removed.values().filter(|(_, until)| with_list && *until > now);
        Membership {
            listed_for: listed,
            recently_removed: removed.map(|(member, _)| member.clone()).collect(),
        }
    }
}

/// This entry VM's own membership in the hub's list.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    /// When the last frame that a hub answered was sent.
    confirmed: Option<Time>,
    /// Since when it has been in the list.
    since: Time,
    /// Members removed from the list, and until when they may still act as owners.
    removed: Vec<(Member, Time)>,
}

impl Ownership {
    /// Renews the membership: a hub answered a frame sent at `sent`.
    pub(crate) fn renew(&mut self, now: Time, sent: Time, membership: Membership) {
        self.confirmed = self.confirmed.max(Some(sent));
        self.since = now - membership.listed_for;
        self.removed.retain(|(_, until)| *until > now);
        for member in membership.recently_removed {
            if self.removed.iter().all(|(known, _)| known.vm != member.vm) {
                self.removed.push((member, now + MEMBERSHIP_TTL));
            }
        }
    }

    /// Whether the membership is valid, and has lasted long enough for any former owner to have stopped.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let confirmed = self.confirmed.is_some_and(|sent| now.since(sent) < MEMBERSHIP_TTL);
        confirmed && now.since(self.since) >= MEMBERSHIP_TTL
    }

    /// Members removed from the list recently, which may not know this yet.
    pub(crate) fn recently_removed(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        self.removed.iter().filter(move |(_, until)| *until > now).map(|(member, _)| member)
    }
}
