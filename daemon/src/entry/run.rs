//! Starts and stops the process of an entry VM.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use actix::{Actor, Arbiter};
use boragecove_fleet::config::Limits;
use boragecove_fleet::event::Event;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior};
use tracing_subscriber::filter::LevelFilter;

use super::handlers::{self, HandlerContext};
use super::log;
use super::node::{ApplyEvent, CallerLoad, Node, Reloaded, Signals};
use super::peers;
use super::settings::{self, Listen, Settings};
use crate::clock::Clock;
use crate::connection::{self, Times};
use crate::listener::{Listener, Socket};
use crate::memory::Account;
use crate::settings::{Timeouts, Unreadable};

/// Time for all connections to close at the end of the grace period.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between checks of the settings file for changes, which may be made without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Time limits of connections of other entry VMs, the balancer and collectors of metrics. They make a call every second
/// or more often, and may be suspended for seconds.
const INTERNAL_TIMES: Times = Times { head: Duration::from_secs(30), idle: Duration::from_mins(2) };

/// Why an entry VM did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings are invalid.
    #[error("settings refused:\n{0}")]
    Settings(#[from] Unreadable),
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// A call of the operating system failed.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Runs an entry VM with the settings in `file` until the process is told to stop.
///
/// # Errors
///
/// If it can't start.
pub async fn serve(file: &Path) -> Result<(), StartError> {
    let settings = settings::load(file)?;
    let (log, guard) = log::start(&settings.vm);
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_max_level(LevelFilter::INFO)
        .with_writer({
            let writer = log.writer();
            move || writer.clone()
        })
        .finish();
    let _logging_already = tracing::subscriber::set_global_default(subscriber);
    let clock = Clock::start();
    let running = EntryVm::start(&settings, clock, log)?;
    running.run(file, settings).await?;
    drop(guard);
    Ok(())
}

struct EntryVm {
    node: actix::Addr<Node>,
    callers: Listener,
    peers: Listener,
    watchers: Listener,
    stopping: watch::Sender<Option<Instant>>,
    exited: watch::Receiver<bool>,
}

impl EntryVm {
    fn start(settings: &Settings, clock: Clock, log: log::Log) -> Result<Self, StartError> {
        // All addresses are bound before anything runs, so that an address in use has no other effect than the error.
        let peers = bind(settings.listen.peers, settings.grace, Socket::bind)?;
        let watchers = bind(settings.listen.watchers, CLOSE_TIMEOUT, Socket::bind)?;
        let callers = bind(settings.listen.callers, settings.grace, Socket::bind_for_callers)?;
        let listen =
            Listen { callers: callers.address(), watchers: watchers.address(), peers: peers.address() };
        log.started(clock.now(), &settings.zone, &listen);
        let (ready, ready_receiver) = watch::channel(false);
        let (exit, exited) = watch::channel(false);
        let (stopping, stopping_receiver) = watch::channel(None);
        let (limits, limits_receiver) = watch::channel(Limits::default());
        let signals = Signals { ready, limits, exited: exit };
        let load = CallerLoad {
            account: Account::of_machine(settings.machine.memory_bytes),
            refusals: Arc::default(),
            closed: Arc::default(),
        };
        let connections = connection::Limits {
            connections: settings.machine.caller_connections(),
            account: load.account.clone(),
            closed: Arc::clone(&load.closed),
        };
        let node =
            Node::new(Settings { listen, ..settings.clone() }, clock, log, signals, load.clone()).start();
        let context = HandlerContext {
            node: node.clone(),
            ready: ready_receiver,
            limits: limits_receiver,
            stopping: stopping_receiver,
            account: load.account.clone(),
            refusals: load.refusals,
        };
        let (peers_node, account) = (node.clone(), load.account);
        let monitoring = context.clone();
        let peers = serve_on(
            peers,
            || INTERNAL_TIMES,
            None,
            move |config| {
                peers::routes(config, peers_node.clone(), account.clone());
            },
        )?;
        let watchers = serve_on(
            watchers,
            || INTERNAL_TIMES,
            None,
            move |config| {
                handlers::monitoring_routes(config, monitoring.clone());
            },
        )?;
        let callers =
            serve_on(callers, caller_times(context.limits.clone()), Some(connections), move |config| {
                handlers::caller_routes(config, context.clone());
            })?;
        Ok(Self { node, callers, peers, watchers, stopping, exited })
    }

    async fn run(mut self, file: &Path, mut settings: Settings) -> Result<(), StartError> {
        let mut file_check = tokio::time::interval(SETTINGS_CHECK_INTERVAL);
        file_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut text = fs::read(file)?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = hangup.recv() => {
                    text = fs::read(file).unwrap_or(text);
                    self.reload(file, &mut settings);
                }
                _ = file_check.tick() => match fs::read(file) {
                    Ok(now) if now == text => {}
                    Ok(now) => {
                        text = now;
                        self.reload(file, &mut settings);
                    }
                    Err(error) => tracing::debug!(%error, "cannot read the settings file"),
                },
            }
        }
        self.stop(&settings).await;
        Ok(())
    }

    /// Reads the settings file again and applies the changes.
    fn reload(&self, file: &Path, settings: &mut Settings) {
        let before = settings.fleet.clone();
        let outcome = apply_reloaded(settings::load(file), settings);
        if settings.fleet != before {
            self.node.do_send(ApplyEvent(Event::Settings(Box::new(settings.fleet.clone()))));
        }
        self.node.do_send(Reloaded(outcome));
    }

    /// Stops. Nothing is interrupted that ends within the grace period: requests, bodies that arrive, and answers that are
    /// written. Further signals change nothing.
    async fn stop(&mut self, settings: &Settings) {
        let end = Instant::now() + settings.stop_within();
        self.stopping.send_replace(Some(end));
        self.node.do_send(ApplyEvent(Event::Stop));
        self.close(end).await;
    }

    /// Closes the listeners once no request is open, callers first, whose requests still need the others.
    async fn close(&mut self, end: Instant) {
        let exited = self.exited.wait_for(|exited| *exited);
        // What it returns locks the channel, which the node goes on to use.
        drop(tokio::time::timeout_at(end, exited).await);
        // At the end, what is open is answered, which takes a moment.
        for listener in [&self.callers, &self.peers] {
            let until = end.max(Instant::now()) + CLOSE_TIMEOUT / 2;
            let _cut_off = tokio::time::timeout_at(until, listener.stop(true)).await;
        }
        let _cut_off = tokio::time::timeout(CLOSE_TIMEOUT / 6, self.watchers.stop(true)).await;
    }
}

/// Applies those settings of a reloaded file that can change in a running process, and returns the outcome for the log.
/// Names and addresses need a restart.
fn apply_reloaded(read: Result<Settings, Unreadable>, settings: &mut Settings) -> String {
    match read {
        Ok(read) if read == *settings => "unchanged".to_owned(),
        Ok(read) => {
            settings.fleet = read.fleet.clone();
            settings.grace = read.grace;
            let rest = if read == *settings { "" } else { ", but for what needs a restart" };
            format!("in force{rest}")
        }
        Err(error) => format!("refused: {error}"),
    }
}

/// Time limits of callers' connections, from the configuration in force.
fn caller_times(limits: watch::Receiver<Limits>) -> impl Fn() -> Times {
    move || {
        let limits = limits.borrow();
        Times { head: limits.header_time, idle: limits.idle_time }
    }
}

/// Binds an address by `bind`. Its connections have `shutdown` to end once it is closed.
fn bind(
    address: SocketAddr,
    shutdown: Duration,
    bind: impl FnOnce(SocketAddr, Timeouts) -> io::Result<Socket>,
) -> Result<Socket, StartError> {
    let timeouts = Timeouts { shutdown, ..Timeouts::default() };
    bind(address, timeouts).map_err(|source| StartError::Listen { address, source })
}

fn serve_on<F, T>(
    socket: Socket,
    times: T,
    limits: Option<connection::Limits>,
    routes: F,
) -> Result<Listener, StartError>
where
    F: Fn(&mut actix_web::web::ServiceConfig) + Send + 'static,
    T: Fn() -> Times + Send + 'static,
{
    let address = socket.address();
    let served = socket.on_arbiter(&Arbiter::current(), times, limits, routes);
    served.map_err(|source| StartError::Listen { address, source })
}
