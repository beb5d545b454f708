//! Losses of single messages in a simulated fleet, and entry VMs that stall and resume.

use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::event::Event;
use boragecove_fleet::revision::Revision;

use super::{Load, OnWay, World};

/// The channel by which a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Channel {
    /// The store's response to the long poll of an entry VM.
    Feed,
    /// An entry VM's frame.
    Frame,
    /// The hub's reply to a frame.
    Reply,
    /// A push to an entry VM.
    Push,
    /// The confirmation that a push was accepted.
    PushAnswer,
    /// The store's response to a call about the lease.
    Lease,
}

impl Channel {
    pub const ALL: [Self; 6] =
        [Self::Feed, Self::Frame, Self::Reply, Self::Push, Self::PushAnswer, Self::Lease];
}

/// The message to be lost: the next one on a channel from or to an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    pub channel: Channel,
    pub vm: usize,
}

impl World {
    /// Whether the message that arrives now is the one to be lost.
    pub(super) fn loses(&mut self, channel: Channel, vm: usize) -> bool {
        let lost = self.loss == Some(Loss { channel, vm });
        if lost {
            self.loss = None;
            self.lost += 1;
        }
        lost
    }

    /// Asks the store for changes at once.
    pub(super) fn refresh(&mut self, at: usize, after: Revision, limit: Duration) {
        if !self.vms[at].served || self.vms[at].side != 0 {
            let event = Event::RefreshFailed;
            return self.post(at, at, limit.as_millis() as u64, Load::Event(Box::new(event)));
        }
        let listing = self.store.engines(self.now, Some(after));
        let listing = self.seen(listing);
        self.post(at, at, 5, Load::Listed(listing));
    }

    /// Resumes an entry VM after a stall. Its requests may be read before anything else, or after.
    pub(super) fn resume(&mut self, at: usize) {
        if self.trusts_stale_state {
            self.feed(at, Event::Wake);
            self.feed(at, Event::RefreshFailed);
        } else if self.rng.bool() {
            return;
        }
        let requests = |message: &mut OnWay| message.to == at && matches!(message.load, Load::Arrive(_, _));
        let requests: Vec<OnWay> = self.on_way.extract_if(.., requests).collect();
        for message in requests {
            self.deliver(message);
        }
    }

    /// The requests that reached an engine in a time span: the entry VM that sent each, and when.
    pub fn senders(&self, engine: &str, from: Time, until: Time) -> Vec<(usize, Time)> {
        let backends = self.backends.as_ref().expect("engines");
        let reached =
            backends.all().filter(|(id, _, arrived)| ***id == *engine && (from..until).contains(&arrived.at));
        reached.map(|(_, _, arrived)| (arrived.vm, arrived.at)).collect()
    }
}
