//! What the reducer wants to be woken for.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::request::{Fingerprint, Id};

/// Something due at a time. A timer that has become pointless is ignored when it fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// A request's deadline.
    Deadline(Id),
    /// A request has waited for a model or an adapter as long as it may.
    Wait(Id),
    /// A look at whether a request's attempt of this number has gone silent.
    Silence(Id, u32),
    /// A suspected engine is to be asked whether it is well.
    Probe(Name),
    /// An entry that went missing around an outage is to be taken as gone.
    Lapse(Name),
    /// Words on availability zones that a copy of the store lacks are to be taken as taken back.
    Evacuations,
    /// The hub is to be told.
    Frame,
    /// The lease is to be renewed or looked at.
    Lease,
    /// A hub that has just said that it is one is to be told.
    Greet,
    /// The leader's word on the engines' table has been waited for since a standstill that ended then, and the store is to be asked.
    Refresh(Time),
    /// Any word on it has been waited for since then for as long as callers may wait.
    Doubt(Time),
    /// A process that knows nothing yet is to look who holds the lease.
    Look,
    /// Holders of shares of a limit are to be asked once more for a request.
    Charge(Id),
    /// Requests that wait for a place at an engine are to ask for another.
    Recall(Name),
    /// Streams that last are to be told to their keepers.
    Pins,
    /// The same, once more in between.
    TellPins,
    /// All are to be told that a part of prompts is sound.
    Clear(Fingerprint),
    /// Parts of prompts under which engines crash are to be judged.
    Judge,
    /// Placement is to be planned.
    Plan,
    /// An engine is to be asked what it holds.
    Check(Name),
    /// Entry VMs that lack the version in force are to be pushed to.
    Push,
    /// The balancer has had time to see that this entry VM is not ready.
    Grace,
}
