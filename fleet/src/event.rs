//! Every input of the reducer.

use std::net::SocketAddr;
use std::sync::Arc;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget::Permit;
use crate::config::Config;
use crate::engine::Port;
use crate::engine::{Incarnation, Row};
use crate::evacuation;
use crate::frame::{Frame, Reply};
use crate::lease;
use crate::notice::{AnsweredRequest, Notice, Start};
use crate::order::{Receipt, Report};
use crate::path::Relay;
use crate::pin::OriginAnswer;
use crate::push;
use crate::quota::Credit;
use crate::request::{Arrival, End, Id, Timing};
use crate::revision::Revision;
use crate::schedule::Grant;
use crate::settings::Settings;

/// Something that happened. [`crate::apply`] gets the time of it as a separate argument.
#[derive(Clone, Debug)]
pub enum Event {
    /// A version of the configuration was read.
    Configured(Arc<Config>),
    /// The operator's table was read.
    OperatorTableRead {
        /// The store's revision up to which it was read.
        version: Revision,
        /// The version of the configuration in the table; 0 if there is none.
        config: u64,
        /// When the store was queried.
        asked: Time,
    },
    /// The operators' evacuations of availability zones were read.
    Evacuations(evacuation::Listing),
    /// The engines' table, or its changes, were read.
    EnginesRead(Listing),
    /// A refresh of the engines' table failed ([`crate::effect::Effect::Refresh`]).
    RefreshFailed,
    /// A response of the store, to any call, carried this era.
    Era(u64),
    /// The store has become unreachable (false), or can be reached again (true).
    StoreUp(bool),
    /// A caller's request was read.
    Arrive {
        /// The request's id within this process.
        request: Id,
        /// The request.
        arrival: Box<Arrival>,
    },
    /// A request's caller has disconnected.
    CallerGone(Id),
    /// Events of an answer arrived and are forwarded to the caller.
    Began {
        /// The request.
        request: Id,
        /// The software version of the engine that wrote them, as known when the request was sent; none if unknown.
        build: Option<Name>,
    },
    /// Bytes were received from an engine.
    EngineActive(Name),
    /// An answer of an engine, to any kind of request, carried a notice about the engine itself.
    NoticeReceived {
        /// The engine and its incarnation.
        from: Start,
        /// The notice.
        notice: Notice,
        /// The caller's request that was answered; none if the answer was to something else.
        asked: Option<AnsweredRequest>,
    },
    /// The current attempt of a request ended.
    Ended {
        /// The request.
        request: Id,
        /// The attempt's number.
        attempt: u32,
        /// How it ended.
        end: End,
        /// The timing of its events.
        events: Timing,
    },
    /// A frame arrived from another entry VM. [`crate::reply_to_frame`] computes the reply to it.
    FrameReceived(Box<Frame>),
    /// The hub replied to a frame; none if it could not be reached.
    Replied(Option<Box<Reply>>),
    /// Another entry VM pushed an update.
    Pushed(Box<push::Message>),
    /// A push to another entry VM failed.
    PushFailed(push::Push),
    /// The owner of an engine's schedule answered a reservation request.
    Granted {
        /// The request that the reservation is for.
        request: Id,
        /// The answer; none if the owner could not be reached.
        grant: Option<Grant>,
    },
    /// A holder of a share of a workspace's limit answered a request for credit.
    CreditAnswered {
        /// The request that the credit is for.
        request: Id,
        /// The workspace.
        workspace: Name,
        /// The answer; none if the holder could not be reached.
        credit: Option<Credit>,
    },
    /// The hub answered a request for a permit to retry a request.
    PermitAnswered {
        /// The request to be retried.
        request: Id,
        /// When the permit was requested.
        asked: Time,
        /// The answer; none if the hub could not be reached.
        permit: Option<Permit>,
    },
    /// Another entry VM answered which engine build began a stream.
    OriginAnswered {
        /// The request that resumes the stream.
        request: Id,
        /// The address of the entry VM.
        replica: SocketAddr,
        /// What it answered.
        answer: OriginAnswer,
    },
    /// The lease was read or written.
    Lease(lease::Answer),
    /// An engine answered an order, or the call failed.
    Ordered {
        /// The engine's id.
        engine: Name,
        /// The engine's incarnation that the order was for.
        incarnation: Incarnation,
        /// Its answer; none if it is unknown whether the order arrived.
        receipt: Option<Receipt>,
    },
    /// An engine reported its models and adapters, or could not be asked.
    Reported {
        /// The engine's id.
        engine: Name,
        /// Its report; none if it could not be asked.
        report: Option<Report>,
    },
    /// The port of an engine was probed, because the engine is suspected or broke off a request.
    Probed {
        /// The engine's id.
        engine: Name,
        /// The result.
        reach: Port,
    },
    /// Another entry VM was asked to probe an engine's port.
    ProbedIndirectly {
        /// The engine's id.
        engine: Name,
        /// The result; none if the entry VM did not answer, or does not know the engine.
        reach: Option<Port>,
    },
    /// Another entry VM was asked whether it reaches an engine.
    PathSeen {
        /// The engine's id.
        engine: Name,
        /// The entry VM that was asked.
        by: Relay,
        /// The state of the engine's port as seen there; none if the entry VM did not answer, or cannot tell.
        reach: Option<Port>,
    },
    /// A request that was relayed for another entry VM has ended.
    RelayEnded,
    /// The settings have changed.
    Settings(Box<Settings>),
    /// The process was asked to stop.
    Stop,
    /// The time of the last [`crate::effect::Effect::WakeAt`] has come.
    Wake,
}

impl Event {
    /// The label under which the cost of handling it is counted in metrics.
    #[must_use]
    pub const fn label(&self) -> &'static str {
        match self {
            Self::Configured(_) => "configured",
            Self::OperatorTableRead { .. } => "declared",
            Self::Evacuations(_) => "evacuations",
            Self::EnginesRead(_) => "listed",
            Self::RefreshFailed => "unread",
            Self::Era(_) => "era",
            Self::StoreUp(_) => "store_up",
            Self::Arrive { .. } => "arrive",
            Self::CallerGone(_) => "gone",
            Self::Began { .. } => "began",
            Self::EngineActive(_) => "heard",
            Self::NoticeReceived { .. } => "noticed",
            Self::Ended { .. } => "ended",
            Self::FrameReceived(_) => "frame",
            Self::Replied(_) => "replied",
            Self::Pushed(_) => "pushed",
            Self::PushFailed(_) => "missed",
            Self::Granted { .. } => "granted",
            Self::CreditAnswered { .. } => "drawn",
            Self::PermitAnswered { .. } => "permitted",
            Self::OriginAnswered { .. } => "traced",
            Self::Lease(_) => "lease",
            Self::Ordered { .. } => "ordered",
            Self::Reported { .. } => "reported",
            Self::Probed { .. } => "probed",
            Self::ProbedIndirectly { .. } => "probed_indirectly",
            Self::PathSeen { .. } => "path_seen",
            Self::RelayEnded => "relayed",
            Self::Settings(_) => "settings",
            Self::Stop => "stop",
            Self::Wake => "wake",
        }
    }
}

/// Rows that were read from the engines' table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// The rows.
    pub rows: Vec<Row>,
    /// The store's revision up to which they are current.
    pub version: Revision,
    /// Whether they are all rows of the table; otherwise they are changes to it.
    pub whole: bool,
    /// The rows include every write that the store had accepted by this time; none if that is unknown.
    pub as_of: Option<Time>,
}
