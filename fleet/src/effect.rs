//! The actions that the reducer asks the process to carry out.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget;
use crate::config::Limits;
use crate::engine::Incarnation;
use crate::frame::Frame;
use crate::lease;
use crate::order::Order;
use crate::pin::Announcement;
use crate::push::Push;
use crate::quota::Draw;
use crate::record::Record;
use crate::request::{Id, Step, Stream};
use crate::revision::Revision;
use crate::schedule::ReservationRequest;

/// An action for the process to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Take the next step of a request.
    Step {
        /// The request.
        request: Id,
        /// The step.
        step: Step,
    },
    /// Send a frame to the hub; its reply comes back as [`crate::event::Event::Replied`].
    Frame {
        /// Where the hub listens.
        address: SocketAddr,
        /// The frame.
        frame: Box<Frame>,
    },
    /// Push an update to another entry VM; [`crate::event::Event::PushFailed`] follows if that fails.
    Push(Push),
    /// Ask the owner of an engine's schedule for a reservation; its answer comes back as [`crate::event::Event::Granted`].
    Reserve {
        /// Where the owner listens.
        address: SocketAddr,
        /// The request that the reservation is for.
        request: Id,
        /// The reservation request.
        ask: ReservationRequest,
    },
    /// Ask a holder of a share of a workspace's limit for credit; its answer comes back as [`crate::event::Event::CreditAnswered`].
    RequestCredit {
        /// Where the holder listens.
        address: SocketAddr,
        /// The request that the credit is for.
        request: Id,
        /// The request for credit.
        draw: Draw,
    },
    /// Ask the hub for a permit to retry a request; its answer comes back as [`crate::event::Event::PermitAnswered`].
    RequestPermit {
        /// Where the hub listens.
        address: SocketAddr,
        /// The request to be retried.
        request: Id,
        /// The current time.
        asked: Time,
        /// The request for a permit.
        ask: budget::PermitRequest,
    },
    /// Tell another entry VM which engine builds began some streams. No answer is expected.
    AnnounceOrigins {
        /// Where the entry VM listens.
        address: SocketAddr,
        /// The streams, by origin.
        notes: Vec<Announcement>,
    },
    /// Ask another entry VM which engine build began a stream; its answer comes back as [`crate::event::Event::OriginAnswered`].
    QueryOrigin {
        /// Where the entry VM listens.
        address: SocketAddr,
        /// The request that resumes the stream.
        request: Id,
        /// The stream.
        stream: Stream,
    },
    /// Read or write the lease.
    Lease(lease::Call),
    /// Send an order to an engine.
    Order(Box<Dispatch>),
    /// Ask an engine which models and adapters it holds; its answer comes back as [`crate::event::Event::Reported`].
    Report {
        /// The engine's id.
        engine: Name,
        /// The engine's incarnation according to the engines' table.
        incarnation: Incarnation,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Probe the port of an engine that is suspected or broke off a request; the result comes back as
    /// [`crate::event::Event::Probed`].
    Probe {
        /// The engine's id.
        engine: Name,
        /// Where it listens.
        address: SocketAddr,
    },
    /// Ask another entry VM to probe an engine's port; the result comes back as [`crate::event::Event::ProbedIndirectly`].
    IndirectProbe {
        /// Where the entry VM listens.
        address: SocketAddr,
        /// The engine's id.
        engine: Name,
    },
    /// Ask another entry VM whether it reaches an engine; the answer comes back as [`crate::event::Event::PathSeen`].
    AskPath {
        /// The entry VM.
        vm: Name,
        /// Where it listens.
        address: SocketAddr,
        /// The engine's id.
        engine: Name,
    },
    /// Log a decision.
    Record(Record),
    /// Poll the store's tables in this way; none leaves that to the hub.
    Follow(Option<Follow>),
    /// Ask the store at once, on a new connection, for changes of the engines' table; the answer comes back as
    /// [`crate::event::Event::EnginesRead`], or as [`crate::event::Event::RefreshFailed`].
    Refresh {
        /// The revision up to which the table is already known.
        after: Revision,
        /// How long to wait for the answer.
        limit: Duration,
    },
    /// Apply these limits to callers from now on.
    Limit(Limits),
    /// Take the entry VM in or out of the balancer's rotation.
    Ready(bool),
    /// The models or adapters at this engine have changed; replies that are held back for that may be sent.
    HoldingsChanged(Name),
    /// Send [`crate::event::Event::Wake`] at this time. A later effect of this kind replaces an earlier one.
    WakeAt(Time),
    /// Exit the process: nothing is in flight any more.
    Exit,
}

/// Time limits of a long poll for changes of a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Poll {
    /// How long the store may hold the call before it answers that nothing has changed.
    pub wait: Duration,
    /// How long after `wait` the answer may still begin; after that, the call is made again.
    pub overdue: Duration,
}

/// How the store's tables are polled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Follow {
    /// The store's revision up to which the engines' table is known; 0 if it is not.
    pub engines_version: Revision,
    /// The store's revision up to which the operator's table is known; 0 if it is not.
    pub operator_version: Revision,
    /// The version of the configuration in the operator's table at that revision.
    pub config: u64,
    /// Time over which entry VMs spread the full reads of a table that they make after the store was restored from an older copy.
    pub reload_spread: Duration,
    /// Time limits of long polls of the engines' table.
    pub engines: Poll,
    /// Time limits of long polls of the operator's table.
    pub operator: Poll,
    /// The longest pause after a failed call.
    pub retry_max: Duration,
    /// Time until the first call.
    pub delay: Duration,
    /// The shortest pause after a failed call.
    pub retry_min: Duration,
    /// Time from an answer to the next call, so that changes made close together are read together.
    pub pause: Duration,
}

/// An order to be sent to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// The engine's id; another engine at its address must refuse.
    pub engine: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The order.
    pub order: Order,
    /// The engine's incarnation that the order is for.
    pub incarnation: Incarnation,
    /// Number of orders that the engine has accepted so far; it refuses the order if the number differs.
    pub sequence: u64,
    /// The fencing token of the lease under which it is sent.
    pub term: u64,
    /// Time from which it may not be written any more: another process may hold the lease by then.
    pub write_by: Time,
}
