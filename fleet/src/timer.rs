//! Timers that the reducer sets.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::request::{Fingerprint, Id};

/// An action that is due at a time. A timer whose action is no longer needed is ignored when it fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The deadline of a request.
    Deadline(Id),
    /// A request has waited for a model or an adapter as long as it may.
    LoadWait(Id),
    /// Checks whether the attempt with this number has gone silent.
    Silence(Id, u32),
    /// Probes a suspected engine.
    Probe(Name),
    /// Treats an entry that went missing around an outage of the store as removed.
    EntryExpiry(Name),
    /// Treats evacuations of availability zones that a restored store lacks as withdrawn.
    EvacuationExpiry,
    /// Sends the next frame to the hub.
    Frame,
    /// Renews the lease, or checks who holds it.
    Lease,
    /// Sends a frame to a hub that has just announced itself.
    FrameToNewHub,
    /// Asks the store about changes of the engine table. The hub's data has been waited for since a stall that
    /// ended at this time.
    Refresh(Time),
    /// Ends the wait for fresh data on the engine table that began at this time: callers can't wait any longer.
    RefreshTimeout(Time),
    /// Looks up the holder of the lease, in a process that has no data yet.
    LeaseLookup,
    /// Asks the holders of shares of a workspace's limit once more, for this request.
    QuotaRetry(Id),
    /// Lets requests that wait for a reservation at this engine ask for another one.
    RescheduleWaiting(Name),
    /// Announces long streams to the replicas of their origins.
    StreamReports,
    /// Announces long streams once more between two regular times.
    StreamReportsRetry,
    /// Announces to all entry VMs that a part of prompts is sound.
    AnnounceCleared(Fingerprint),
    /// Evaluates the parts of prompts under which engines crash.
    EvaluateParts,
    /// Evaluates the crashes under this request.
    EvaluateRequest(Fingerprint),
    /// Continues the trial of a request or part that is quarantined for the first time.
    Trial(Fingerprint),
    /// Plans the placement of models.
    Plan,
    /// Asks an engine what it holds.
    ResidencyCheck(Name),
    /// Pushes the configuration to entry VMs that lack the version in force.
    Push,
    /// The load balancer has had time to see that this entry VM is not ready.
    BalancerGrace,
    /// A stopping process has no more time for open requests.
    StopTimeout,
}
