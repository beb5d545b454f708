//! Every input of the reducer.

use crate::attempt::Failure;
use crate::engine::{CacheUpdate, Receipt, Report};
use crate::id;
use crate::name::Name;
use crate::operator;
use crate::peer;
use crate::request::Arrival;
use crate::table;
use crate::vm::Vm;

/// Something that happened. The time at which it did is handed in beside it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A caller's request was read.
    Arrive(Box<Arrival>),
    /// A request's caller closed the connection.
    Gone(id::Request),
    /// The head of an answer came, with the attempt id that the back end echoed.
    Head {
        /// The attempt it came for.
        attempt: id::Attempt,
        /// The id in the answer, if it could be read.
        echo: Option<id::Attempt>,
    },
    /// One event of a streamed answer came.
    Chunk {
        /// The attempt it came for.
        attempt: id::Attempt,
        /// Its number in the answer, from 0.
        offset: u64,
    },
    /// A try is not silent, though nothing of it is to be passed on: part of an answer came, or the
    /// answer is held back for a caller that is slow to take it.
    Alive(id::Attempt),
    /// An answer came to its explicit end; a whole answer is at hand complete.
    Finished {
        /// The attempt it came for.
        attempt: id::Attempt,
        /// Events in the answer, for a streamed one.
        length: u64,
    },
    /// A whole answer outgrew the edge's buffer.
    Overflow(id::Attempt),
    /// A try failed.
    Failed {
        /// The attempt.
        attempt: id::Attempt,
        /// How.
        failure: Failure,
    },
    /// The platform's list of VMs was read.
    Listed(Vec<Vm>),
    /// The list could not be read.
    Unlisted,
    /// An engine reported.
    Reported(Box<Report>),
    /// An engine's report could not be had.
    Unreported(Name),
    /// An engine's prefix cache changed.
    Cached(Box<CacheUpdate>),
    /// An engine answered an order, or no answer came.
    Ordered {
        /// The order.
        order: id::Order,
        /// The engine's VM name.
        engine: Name,
        /// The answer; none when it is not known whether the order arrived.
        receipt: Option<Receipt>,
    },
    /// The table answered.
    Table {
        /// The operation.
        op: id::Op,
        /// Its answer.
        reply: Result<table::Reply, table::Failure>,
    },
    /// A frame came from another entry VM.
    Heard(Box<peer::Frame>),
    /// A frame could not be brought to another entry VM.
    Unheard {
        /// The entry VM's name.
        peer: Name,
    },
    /// An operator asks.
    Asked {
        /// The question's id.
        ask: id::Ask,
        /// The question.
        query: Box<operator::Query>,
    },
    /// The process was asked to stop.
    Stop,
    /// The time that an effect asked to be woken at has come.
    Wake,
}

impl Event {
    /// Whether it shows that this process is reached from outside, or reaches others.
    pub(crate) const fn is_evidence(&self) -> bool {
        matches!(
            self,
            Self::Arrive(_)
                | Self::Head { .. }
                | Self::Chunk { .. }
                | Self::Finished { .. }
                | Self::Listed(_)
                | Self::Reported(_)
                | Self::Cached(_)
                | Self::Heard(_)
                | Self::Ordered { receipt: Some(_), .. }
                | Self::Table { reply: Ok(_), .. }
        )
    }
}
