//! Outputs of the reducer: actions for the process to carry out.

use std::net::SocketAddr;

use crate::attempt::Send;
use crate::audit::Record;
use crate::end::End;
use crate::engine::Order;
use crate::id;
use crate::name::Name;
use crate::operator;
use crate::peer;
use crate::table;
use crate::time::Time;

/// An action to carry out. Its result is passed to the reducer as an event with the same id.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an attempt to a back end.
    Send(Box<Send>),
    /// Cancel an attempt: close its exchange, notify the engine and drop further data.
    Cancel(id::Attempt),
    /// Close the exchange of an attempt and drop further data without notifying the engine, so that it
    /// keeps the answer for a resumption.
    Release(id::Attempt),
    /// Deliver the streamed event just read to the caller.
    Deliver {
        /// The attempt.
        attempt: id::Attempt,
        /// Offset of the event in the answer, from 0.
        offset: u64,
    },
    /// Pass on a non-streamed answer while it is received, since it exceeds the buffer.
    Commit(id::Attempt),
    /// End a request: send the caller the answer of its attempt or the error. The body of the request can
    /// be dropped.
    End {
        /// The request.
        request: id::Request,
        /// How it ended.
        end: End,
    },
    /// Close all pooled connections to an address, so that the next attempt opens a new one.
    CloseConnections(SocketAddr),
    /// Read the list of VMs from the platform.
    ListVms,
    /// Read the report of an engine, with the cache events from a sequence number on.
    Poll {
        /// The engine's VM name.
        engine: Name,
        /// Address at which it listens.
        address: SocketAddr,
        /// Sequence number of the first cache event to read.
        cache_from: u64,
    },
    /// Send an order to an engine.
    Order {
        /// The engine's VM name.
        engine: Name,
        /// Address at which it listens.
        address: SocketAddr,
        /// The order.
        order: Box<Order>,
    },
    /// Call the platform's table.
    Table {
        /// Id of the operation.
        op: id::Op,
        /// The call.
        call: table::Call,
    },
    /// Send a frame to another entry VM.
    SendFrame {
        /// The entry VM's name.
        peer: Name,
        /// Address at which it listens for peers.
        address: SocketAddr,
        /// The frame.
        frame: Box<peer::Frame>,
    },
    /// Answer an operator.
    Answer {
        /// Id of the query.
        ask: id::Ask,
        /// The answer.
        answer: Box<operator::Answer>,
    },
    /// Log the record of a decision.
    Record(Box<Record>),
    /// Set the readiness that `/ready` reports. The platform's balancer sends requests only to ready entry
    /// VMs.
    Ready(bool),
    /// Pass `Event::Wake` to the reducer at this time. Replaces an earlier effect of this kind.
    WakeAt(Time),
    /// Exit the process. Nothing is in flight.
    Exit,
}
