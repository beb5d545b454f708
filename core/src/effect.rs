//! Every action of the reducer, as data for a process to carry out.

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

/// Something to do. Each answer comes back as an event with the same id.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a try to a back end.
    Send(Box<Send>),
    /// Give up a try: close its exchange, tell the engine, drop what still comes.
    Cancel(id::Attempt),
    /// Close a try's exchange and drop what still comes, but leave the engine its answer: it is taken up
    /// again.
    Release(id::Attempt),
    /// Pass the streamed event just read on to the caller.
    Deliver {
        /// The attempt it came for.
        attempt: id::Attempt,
        /// Its number in the answer.
        offset: u64,
    },
    /// Pass a whole answer on as it comes, since it outgrew the buffer.
    Commit(id::Attempt),
    /// End a request: pass on the answer of its attempt, or the error. Its body can be dropped.
    End {
        /// The request.
        request: id::Request,
        /// How it ended.
        end: End,
    },
    /// Close every pooled connection to an address; the next try opens a new one.
    Retire(SocketAddr),
    /// Read the platform's list of VMs.
    List,
    /// Ask an engine for its report, with the cache events since the number given.
    Poll {
        /// The engine's VM name.
        engine: Name,
        /// Where it listens.
        address: SocketAddr,
        /// Cache events are wanted from this number on.
        cache_from: u64,
    },
    /// Send an order to an engine.
    Order {
        /// The engine's VM name.
        engine: Name,
        /// Where it listens.
        address: SocketAddr,
        /// The order.
        order: Box<Order>,
    },
    /// Call the platform's table.
    Table {
        /// The operation's id.
        op: id::Op,
        /// What to do.
        call: table::Call,
    },
    /// Send a frame to another entry VM.
    Tell {
        /// The entry VM's name.
        peer: Name,
        /// Where it listens for peers.
        address: SocketAddr,
        /// The frame.
        frame: Box<peer::Frame>,
    },
    /// Answer an operator.
    Answer {
        /// The question's id.
        ask: id::Ask,
        /// The answer.
        answer: Box<operator::Answer>,
    },
    /// Keep a record of a decision.
    Record(Box<Record>),
    /// Take the entry VM in or out of the platform's balancer, by what `/ready` says.
    Ready(bool),
    /// Send `Wake` at this time. A later effect of this kind replaces an earlier one.
    WakeAt(Time),
    /// End the process: nothing is in flight any more.
    Exit,
}
