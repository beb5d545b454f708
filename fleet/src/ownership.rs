//! Which entry VM alone owns something, for as long as the leader's word on who there is holds.
//!
//! Each entry VM finds the owner by hashing over the leader's list, and lists differ for a while whenever one changes. What
//! must not have two owners at a time goes by time as well: the leader's answer to a frame holds for [`HOLD`] from when the
//! frame was sent, and a new owner begins only [`HOLD`] after the change that made it one. Whoever was the owner before has
//! heard of the change by then, or has heard nothing and stopped. Nothing is written to the store for it, and nothing need
//! be given to anyone: where the list does not change, its owner owns at once whatever comes to be owned.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

use crate::members::Member;

/// How long the leader's word holds: more than two frames of hundreds of entry VMs.
pub const HOLD: Duration = Duration::from_secs(4);

/// What the leader says of an entry VM's place in its list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// For how long it has been in the list without a break, under this leader.
    pub listed: Duration,
    /// Entry VMs that were in the list within [`HOLD`] and are not now, if the list is told too.
    pub former: Vec<Member>,
}

/// The leader's side: since when whom its list names.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    /// The term of the lease.
    term: u64,
    /// Those in the list, and since when without a break.
    listed: FxHashMap<Name, Time>,
    /// Those that were in it, and until when they count.
    former: BTreeMap<Name, (Member, Time)>,
}

impl Roster {
    /// Whether it is of this term.
    pub(crate) const fn is_of(&self, term: u64) -> bool {
        self.term == term
    }

    /// Under this term, the list changes from one to another.
    pub(crate) fn update(&mut self, now: Time, term: u64, before: &[Member], list: &[Member]) {
        if term != self.term {
            *self = Self { term, ..Self::default() };
        }
        self.former.retain(|_, (_, until)| *until > now);
        let listed = std::mem::take(&mut self.listed);
        for member in list {
            let since = listed.get(&member.vm).copied().unwrap_or(now);
            self.listed.insert(member.vm.clone(), since);
            self.former.remove(&member.vm);
        }
        for member in before.iter().filter(|member| !self.listed.contains_key(&member.vm)) {
            self.former.entry(member.vm.clone()).or_insert_with(|| (member.clone(), now + HOLD));
        }
    }

    /// What an entry VM is told of itself, with the list or without.
    pub(crate) fn membership(&self, now: Time, vm: &Name, with_list: bool) -> Membership {
        let listed = self.listed.get(vm).map_or(Duration::ZERO, |since| now.since(*since));
        let former = self.former.values().filter(|(_, until)| with_list && *until > now);
        Membership { listed, former: former.map(|(member, _)| member.clone()).collect() }
    }
}

/// An entry VM's own side: what it knows of its place in the leader's list.
#[derive(Debug, Default)]
pub(crate) struct Ownership {
    /// When the last frame was sent that a leader answered.
    confirmed: Option<Time>,
    /// Since when it has been in the list.
    since: Time,
    /// Those that were in the list, and until when they may still act.
    former: Vec<(Member, Time)>,
}

impl Ownership {
    /// A leader answered a frame that was sent then.
    pub(crate) fn renew(&mut self, now: Time, sent: Time, membership: Membership) {
        self.confirmed = self.confirmed.max(Some(sent));
        self.since = now - membership.listed;
        self.former.retain(|(_, until)| *until > now);
        for member in membership.former {
            if self.former.iter().all(|(known, _)| known.vm != member.vm) {
                self.former.push((member, now + HOLD));
            }
        }
    }

    /// Whether what the leader's list says of this entry VM holds, and has held for long enough.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        let confirmed = self.confirmed.is_some_and(|sent| now.since(sent) < HOLD);
        confirmed && now.since(self.since) >= HOLD
    }

    /// Those that were in the list a while ago, and may not know yet that they are not now.
    pub(crate) fn former(&self, now: Time) -> impl Iterator<Item = &Member> + Clone {
        self.former.iter().filter(move |(_, until)| *until > now).map(|(member, _)| member)
    }
}
