//! The edge towards callers: reads their requests and writes their answers.

pub(crate) mod arrival;
pub(crate) mod body;
pub(crate) mod content;
pub(crate) mod models;
pub(crate) mod outlet;
pub(crate) mod respond;
pub(crate) mod routes;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use actix::Addr;
use boragecove_core::code::Code;
use boragecove_core::id;

use crate::clock::Clock;
use crate::memory::Account;
use crate::node::Node;
use crate::settings::{Limits, Timeouts};

pub use routes::{Entrance, routes};

/// What the handlers of one node's listeners share.
#[derive(Clone, Debug)]
pub struct Edge {
    pub(crate) node: Addr<Node>,
    pub(crate) clock: Clock,
    pub(crate) limits: Limits,
    pub(crate) timeouts: Timeouts,
    /// The memory that callers make the process hold.
    pub(crate) account: Account,
    pub(crate) shared: Arc<Shared>,
}

/// What the node's thread and those of its listeners both touch.
#[derive(Debug)]
pub(crate) struct Shared {
    incarnation: id::Incarnation,
    drawn: AtomicU64,
    ready: AtomicBool,
    refused: Vec<AtomicU64>,
}

impl Shared {
    pub(crate) fn new(incarnation: id::Incarnation) -> Self {
        let refused = Code::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Self { incarnation, drawn: AtomicU64::new(0), ready: AtomicBool::new(false), refused }
    }

    /// The life of the process.
    pub(crate) fn incarnation(&self) -> id::Incarnation {
        self.incarnation
    }

    /// Draws the id of a request.
    pub(crate) fn draw(&self) -> id::Request {
        id::Request { by: self.incarnation, seq: self.drawn.fetch_add(1, Ordering::Relaxed) + 1 }
    }

    /// Whether the balancer may send requests here.
    pub(crate) fn ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    pub(crate) fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Release);
    }

    /// Counts a request that was refused before it was one.
    pub(crate) fn refuse(&self, code: Code) {
        if let Some(at) = Code::ALL.iter().position(|each| *each == code) {
            self.refused[at].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Requests that were refused with `code` before they were one.
    pub(crate) fn refused(&self, code: Code) -> u64 {
        let at = Code::ALL.iter().position(|each| *each == code);
        at.map_or(0, |at| self.refused[at].load(Ordering::Relaxed))
    }
}
