//! Starts a node with its listeners, and stops it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Addr, Arbiter};
use actix_web::dev::ServerHandle;
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use boragecove_core::id::Incarnation;
use boragecove_core::operator::{Answer, Query};
use thiserror::Error;
use tokio::sync::watch;

use super::message::Ended;
use super::{Ask, Node, Stop};
use crate::callers::{self, Edge, Entrance, Shared};
use crate::clock::Clock;
use crate::platform::Source;
use crate::settings::Settings;
use crate::{operators, peers};

/// Threads of the listeners for peers and operators.
const SIDE_WORKERS: usize = 1;

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
    servers: Vec<ServerHandle>,
    exited: watch::Receiver<bool>,
}

/// Starts a node. Call it within an actix system.
///
/// # Errors
///
/// If an address cannot be bound.
pub fn start(settings: &Settings, platform: Source) -> Result<Running, Failed> {
    let clock = Clock::start();
    let shared = Arc::new(Shared::new(Incarnation(fastrand::u64(1..))));
    let (exit, exited) = watch::channel(false);
    let arbiter = Arbiter::new();
    let node = Node::start_in_arbiter(&arbiter.handle(), {
        let (settings, shared) = (settings.clone(), Arc::clone(&shared));
        move |_ctx| Node::new(settings, platform, clock, shared, exit)
    });
    let edge =
        Edge { node: node.clone(), clock, limits: settings.limits, timeouts: settings.timeouts, shared };
    let mut servers = Vec::new();
    let callers = listen("callers", settings.listen.callers, settings.workers, settings, &mut servers, {
        let edge = edge.clone();
        move |config| callers::routes(config, edge.clone(), Entrance::Callers)
    })?;
    let peers = listen("peers", settings.listen.peers, SIDE_WORKERS, settings, &mut servers, {
        let (edge, secret) = (edge.clone(), settings.peer_secret.clone());
        move |config| peers::routes(config, edge.clone(), secret.clone())
    })?;
    let operators = listen("operators", settings.listen.operators, SIDE_WORKERS, settings, &mut servers, {
        let token = settings.operator_token.clone();
        move |config| operators::routes(config, edge.clone(), token.clone())
    })?;
    tracing::info!(vm = %settings.vm, zone = %settings.zone, %callers, %peers, %operators, "started");
    Ok(Running { callers, peers, operators, node, arbiter, servers, exited })
}

fn listen<F>(
    whom: &'static str,
    address: SocketAddr,
    workers: usize,
    settings: &Settings,
    servers: &mut Vec<ServerHandle>,
    routes: F,
) -> Result<SocketAddr, Failed>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let failed = |source| Failed { whom, address, source };
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(workers)
        .keep_alive(settings.timeouts.keep_alive)
        .client_request_timeout(settings.timeouts.read)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .shutdown_timeout(settings.timeouts.shutdown.as_secs().max(1))
        .disable_signals()
        .bind(address)
        .map_err(failed)?;
    let bound = server.addrs().first().copied().unwrap_or(address);
    let server = server.run();
    servers.push(server.handle());
    actix_rt::spawn(server);
    Ok(bound)
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
        for server in &self.servers {
            server.stop(true).await;
        }
        self.arbiter.stop();
    }

    /// Ends the node at once, as when its process dies.
    pub async fn kill(self) {
        self.arbiter.stop();
        for server in &self.servers {
            server.stop(false).await;
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
