//! Inputs of the reducer.

use crate::attempt::Failure;
use crate::engine::{CacheUpdate, Receipt, Report};
use crate::id;
use crate::name::Name;
use crate::operator;
use crate::peer;
use crate::request::Arrival;
use crate::table;
use crate::vm::Vm;

/// An input of the reducer. The time of the event is passed separately.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request of a caller was read.
    Arrive(Box<Arrival>),
    /// The caller of a request closed the connection.
    CallerGone(id::Request),
    /// The head of an answer was received, with the attempt id that the back end echoed.
    Head {
        /// The attempt.
        attempt: id::Attempt,
        /// The attempt id in the answer, if there is a valid one.
        echo: Option<id::Attempt>,
    },
    /// One event of a streamed answer was received.
    Chunk {
        /// The attempt.
        attempt: id::Attempt,
        /// Offset of the event in the answer, from 0.
        offset: u64,
    },
    /// An attempt makes progress without an event to deliver: part of an answer was received, or the answer
    /// is held back because the caller reads slowly.
    Progress(id::Attempt),
    /// The explicit end of an answer was received. A non-streamed answer is buffered completely.
    Finished {
        /// The attempt.
        attempt: id::Attempt,
        /// Number of events in a streamed answer.
        length: u64,
    },
    /// A non-streamed answer exceeded the buffer of the edge.
    BufferExceeded(id::Attempt),
    /// An attempt failed.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// How it failed.
        failure: Failure,
    },
    /// The platform's list of VMs was read.
    VmsListed(Vec<Vm>),
    /// The list of VMs could not be read.
    VmListFailed,
    /// A report of an engine was received.
    ReportReceived(Box<Report>),
    /// The report of an engine could not be read.
    ReportFailed(Name),
    /// The prefix cache of an engine changed.
    CacheChanged(Box<CacheUpdate>),
    /// An engine answered an order, or no answer was received.
    OrderAnswered {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The answer; `None` if it is unknown whether the order arrived.
        receipt: Option<Receipt>,
    },
    /// A call of the platform's table was answered or failed.
    TableAnswered {
        /// The operation.
        op: id::Op,
        /// The answer.
        reply: Result<table::Reply, table::Failure>,
    },
    /// A frame of another entry VM was received.
    FrameReceived(Box<peer::Frame>),
    /// A frame could not be sent to another entry VM.
    FrameFailed {
        /// The entry VM's name.
        peer: Name,
    },
    /// A query of an operator was received.
    QueryReceived {
        /// Id of the query.
        ask: id::Ask,
        /// The query.
        query: Box<operator::Query>,
    },
    /// A graceful stop of the process was requested.
    Stop,
    /// The time of the last `Effect::WakeAt` has come.
    Wake,
}

impl Event {
    /// Whether the event shows that other processes can reach this one, or that it can reach them.
    pub(crate) const fn is_evidence(&self) -> bool {
        matches!(
            self,
            Self::Arrive(_)
                | Self::Head { .. }
                | Self::Chunk { .. }
                | Self::Finished { .. }
                | Self::VmsListed(_)
                | Self::ReportReceived(_)
                | Self::CacheChanged(_)
                | Self::FrameReceived(_)
                | Self::OrderAnswered { receipt: Some(_), .. }
                | Self::TableAnswered { reply: Ok(_), .. }
        )
    }
}
