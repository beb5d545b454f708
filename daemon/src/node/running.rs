//! Starts a node with its listeners, and stops it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use actix::{Actor, Addr, Arbiter};
use actix_web::web::ServiceConfig;
use boragecove_core::id::Incarnation;
use boragecove_core::operator::{Answer, Query};
use thiserror::Error;
use tokio::sync::watch;

use super::message::Ended;
use super::{Ask, Node, Stop};
use crate::callers::{self, Edge, Entrance, Shared};
use crate::clock::Clock;
use crate::connection::Times;
use crate::listener::{Listener, Socket};
use crate::memory::Account;
use crate::platform::Source;
use crate::settings::{Settings, Timeouts};
use crate::{operators, peers};

/// Threads of the operators' listener: a large inventory is not read where callers are served.
const OPERATOR_WORKERS: usize = 1;

/// A node that did not start.
#[derive(Debug, Error)]
#[error("cannot listen for {whom} on {address}: {source}")]
pub struct Failed {
    /// For whom.
    pub whom: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// Why.
    pub source: io::Error,
}

/// A node that runs, on a thread of its own beside those of its listeners.
#[derive(Debug)]
pub struct Running {
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other entry VMs reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    node: Addr<Node>,
    arbiter: Arbiter,
    listeners: Vec<Listener>,
    exited: watch::Receiver<bool>,
}

/// Starts a node. Call it within an actix system.
///
/// # Errors
///
/// If an address cannot be bound.
pub fn start(settings: &Settings, platform: Source) -> Result<Running, Failed> {
    let callers = Place::bind("callers", settings.listen.callers, settings.timeouts)?;
    let operators = Place::bind("operators", settings.listen.operators, settings.timeouts)?;
    // Peers are told where to answer, so the address must be known before the node begins.
    let peers = Place::bind("peers", settings.listen.peers, settings.timeouts)?;
    let settings = &advertised(settings, peers.socket.address());
    let clock = Clock::start();
    let shared = Arc::new(Shared::new(Incarnation(fastrand::u64(1..))));
    let (exit, exited) = watch::channel(false);
    let arbiter = Arbiter::new();
    let node = Node::start_in_arbiter(&arbiter.handle(), {
        let (settings, shared) = (settings.clone(), Arc::clone(&shared));
        move |_ctx| Node::new(settings, platform, clock, shared, exit)
    });
    let edge = Edge {
        node: node.clone(),
        clock,
        limits: settings.limits,
        timeouts: settings.timeouts,
        account: Account::new(settings.limits.held),
        shared,
    };
    let routes = {
        let edge = edge.clone();
        move |config: &mut ServiceConfig| callers::routes(config, edge.clone(), Entrance::Callers)
    };
    let times = settings.timeouts.callers();
    let callers = match settings.workers {
        0 => callers.on_arbiter(&arbiter, times, routes)?,
        workers => callers.on_threads(workers, routes)?,
    };
    let peers = peers.on_arbiter(&arbiter, times, {
        let (edge, secret) = (edge.clone(), settings.peer_secret.clone());
        move |config: &mut ServiceConfig| peers::routes(config, edge.clone(), secret.clone())
    })?;
    let operators = operators.on_threads(OPERATOR_WORKERS, {
        let token = settings.operator_token.clone();
        move |config: &mut ServiceConfig| operators::routes(config, edge.clone(), token.clone())
    })?;
    let running = Running {
        callers: callers.address,
        peers: peers.address,
        operators: operators.address,
        node,
        arbiter,
        listeners: vec![callers, peers, operators],
        exited,
    };
    tracing::info!(
        vm = %settings.vm,
        zone = %settings.zone,
        callers = %running.callers,
        peers = %running.peers,
        operators = %running.operators,
        "started"
    );
    Ok(running)
}

/// A bound address, with the audience that errors name.
struct Place {
    whom: &'static str,
    socket: Socket,
}

impl Place {
    fn bind(whom: &'static str, address: SocketAddr, timeouts: Timeouts) -> Result<Self, Failed> {
        let socket = Socket::bind(address, timeouts).map_err(|source| Failed { whom, address, source })?;
        Ok(Self { whom, socket })
    }

    fn on_arbiter<F>(self, arbiter: &Arbiter, times: Times, routes: F) -> Result<Listener, Failed>
    where
        F: Fn(&mut ServiceConfig) + Send + 'static,
    {
        let Self { whom, socket } = self;
        let address = socket.address();
        socket.on_arbiter(&arbiter.handle(), move || times, None, routes).map_err(|source| Failed {
            whom,
            address,
            source,
        })
    }

    fn on_threads<F>(self, workers: usize, routes: F) -> Result<Listener, Failed>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let Self { whom, socket } = self;
        let address = socket.address();
        socket.on_threads(workers, routes).map_err(|source| Failed { whom, address, source })
    }
}

/// The settings with the address that peers are told, unless it is set or nobody could reach it.
fn advertised(settings: &Settings, bound: SocketAddr) -> Settings {
    let mut settings = settings.clone();
    if settings.core.address.is_none() && !bound.ip().is_unspecified() {
        settings.core.address = Some(bound);
    }
    settings
}

impl Running {
    /// Asks the node to stop, cutting nothing. [`Running::exited`] says when it has.
    pub fn stop(&self) {
        self.node.do_send(Stop);
    }

    /// Waits until nothing is in flight any more after a stop, whoever asked for it.
    pub async fn stopped(&mut self) {
        let _node_is_gone = self.exited.wait_for(|exited| *exited).await;
    }

    /// Waits until the node has stopped and its listeners are closed.
    pub async fn exited(mut self) {
        self.stopped().await;
        for listener in &self.listeners {
            listener.stop(true).await;
        }
        self.arbiter.stop();
    }

    /// Ends the node at once, as when its process dies.
    pub async fn kill(self) {
        self.arbiter.stop();
        for listener in &self.listeners {
            listener.stop(false).await;
        }
    }

    /// Asks what an operator may ask.
    ///
    /// # Errors
    ///
    /// If the node ended before it answered.
    pub async fn ask(&self, query: Query) -> Result<Answer, Ended> {
        self.node.send(Ask(query)).await.map_err(|_gone| Ended)?
    }
}
