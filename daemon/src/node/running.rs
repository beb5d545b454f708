//! Starts a node with its listeners, and stops it.

use std::io;
use std::net::{SocketAddr, TcpListener};
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
    // Peers are told where to answer, so the address must be known before the node begins.
    let peers = Place::bind("peers", settings.listen.peers)?;
    let settings = &advertised(settings, peers.address);
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
    let callers = Place::at("callers", settings.listen.callers);
    let callers = listen(callers, settings.workers, settings, &mut servers, {
        let edge = edge.clone();
        move |config| callers::routes(config, edge.clone(), Entrance::Callers)
    })?;
    let peers = listen(peers, SIDE_WORKERS, settings, &mut servers, {
        let (edge, secret) = (edge.clone(), settings.peer_secret.clone());
        move |config| peers::routes(config, edge.clone(), secret.clone())
    })?;
    let operators = Place::at("operators", settings.listen.operators);
    let operators = listen(operators, SIDE_WORKERS, settings, &mut servers, {
        let token = settings.operator_token.clone();
        move |config| operators::routes(config, edge.clone(), token.clone())
    })?;
    tracing::info!(vm = %settings.vm, zone = %settings.zone, %callers, %peers, %operators, "started");
    Ok(Running { callers, peers, operators, node, arbiter, servers, exited })
}

/// Where to listen, for whom.
#[derive(Debug)]
struct Place {
    whom: &'static str,
    address: SocketAddr,
    bound: Option<TcpListener>,
}

impl Place {
    fn at(whom: &'static str, address: SocketAddr) -> Self {
        Self { whom, address, bound: None }
    }

    fn bind(whom: &'static str, address: SocketAddr) -> Result<Self, Failed> {
        let failed = |source| Failed { whom, address, source };
        let listener = TcpListener::bind(address).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        Ok(Self { whom, address, bound: Some(listener) })
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

fn listen<F>(
    place: Place,
    workers: usize,
    settings: &Settings,
    servers: &mut Vec<ServerHandle>,
    routes: F,
) -> Result<SocketAddr, Failed>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let Place { whom, address, bound } = place;
    let failed = |source| Failed { whom, address, source };
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(workers)
        .keep_alive(settings.timeouts.keep_alive)
        .client_request_timeout(settings.timeouts.read)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .shutdown_timeout(settings.timeouts.shutdown.as_secs().max(1))
        .disable_signals();
    let server = match bound {
        Some(listener) => server.listen(listener),
        None => server.bind(address),
    };
    let server = server.map_err(failed)?;
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
