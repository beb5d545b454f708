//! Starts an entry VM and stops it.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use actix::{Actor, Arbiter};
use boragecove_fleet::config::Limits;
use boragecove_fleet::event::Event;
use thiserror::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tracing_subscriber::filter::LevelFilter;

use super::doors::{self, Door};
use super::log;
use super::node::{Feed, Node, Reloaded, Signals};
use super::peers;
use super::settings::{self, Listen, Settings};
use crate::clock::Clock;
use crate::listener::{Listener, Socket, Times};
use crate::settings::{Timeouts, Unreadable};

/// Time for connections to end once nothing is under way.
const CLOSE: Duration = Duration::from_millis(300);
/// Time between looks for a change of the settings file: it may come without a signal.
const LOOK_EVERY: Duration = Duration::from_secs(2);
/// Other entry VMs, the balancer and collectors of metrics come every second or oftener, and may be suspended for
/// seconds.
const INNER: Times = Times { head: Duration::from_secs(30), idle: Duration::from_mins(2) };

/// Why an entry VM did not start.
#[derive(Debug, Error)]
pub enum Failed {
    /// Its settings are refused.
    #[error("settings refused:\n{0}")]
    Settings(#[from] Unreadable),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operating system refused something.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Serves with the settings of `file` until told to stop.
///
/// # Errors
///
/// If it cannot start.
pub async fn serve(file: &Path) -> Result<(), Failed> {
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
    let running = Running::start(&settings, clock, log)?;
    running.run(file, settings).await?;
    drop(guard);
    Ok(())
}

struct Running {
    node: actix::Addr<Node>,
    listeners: Vec<Listener>,
    stopping: watch::Sender<bool>,
    exited: watch::Receiver<bool>,
}

impl Running {
    fn start(settings: &Settings, clock: Clock, log: log::Log) -> Result<Self, Failed> {
        // All addresses are bound before anything runs: one that is taken is an error and nothing else.
        let peers = bind(settings.listen.peers)?;
        let watchers = bind(settings.listen.watchers)?;
        let callers = bind(settings.listen.callers)?;
        let listen =
            Listen { callers: callers.address(), watchers: watchers.address(), peers: peers.address() };
        log.started(clock.now(), &settings.zone, &listen);
        let (ready, is_ready) = watch::channel(false);
        let (exit, exited) = watch::channel(false);
        let (stopping, is_stopping) = watch::channel(false);
        let (limits, on_limits) = watch::channel(Limits::default());
        let signals = Signals { ready, limits, exited: exit };
        let node = Node::new(Settings { listen, ..settings.clone() }, clock, log, signals).start();
        let door = Door { node: node.clone(), ready: is_ready, limits: on_limits, stopping: is_stopping };
        let hearing = node.clone();
        let watching = door.clone();
        let listeners = vec![
            serve_on(peers, || INNER, move |config| peers::routes(config, hearing.clone()))?,
            serve_on(
                watchers,
                || INNER,
                move |config| {
                    doors::watchers(config, watching.clone());
                },
            )?,
            serve_on(callers, allowed(door.limits.clone()), move |config| {
                doors::callers(config, door.clone());
            })?,
        ];
        Ok(Self { node, listeners, stopping, exited })
    }

    async fn run(mut self, file: &Path, mut settings: Settings) -> Result<(), Failed> {
        let mut look = tokio::time::interval(LOOK_EVERY);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
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
                _ = look.tick() => match fs::read(file) {
                    Ok(now) if now == text => {}
                    Ok(now) => {
                        text = now;
                        self.reload(file, &mut settings);
                    }
                    Err(error) => tracing::debug!(%error, "the settings file cannot be read"),
                },
            }
        }
        self.stop(&settings, &mut terminate).await;
        Ok(())
    }

    /// Reads the settings again.
    fn reload(&self, file: &Path, settings: &mut Settings) {
        let before = settings.fleet.clone();
        let outcome = adopt(settings::load(file), settings);
        if settings.fleet != before {
            self.node.do_send(Feed(Event::Settings(Box::new(settings.fleet.clone()))));
        }
        self.node.do_send(Reloaded(outcome));
    }

    /// Stops without cutting anything off that ends within the grace.
    async fn stop(&mut self, settings: &Settings, again: &mut Signal) {
        self.stopping.send_replace(true);
        self.node.do_send(Feed(Event::Stop));
        tokio::select! {
            _ = self.exited.wait_for(|exited| *exited) => {}
            () = tokio::time::sleep(settings.stop_within()) => {}
            _ = again.recv() => {}
        }
        for listener in &self.listeners {
            let _cut_off = tokio::time::timeout(CLOSE, listener.stop(true)).await;
        }
    }
}

/// Takes over from settings that were read anew what can change while a process runs, and says what came of it. Names
/// and addresses need a restart.
fn adopt(read: Result<Settings, Unreadable>, settings: &mut Settings) -> String {
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

/// What the operator allows callers to take, by the configuration in force.
fn allowed(limits: watch::Receiver<Limits>) -> impl Fn() -> Times {
    move || {
        let limits = limits.borrow();
        Times { head: limits.header_time, idle: limits.idle_time }
    }
}

fn bind(address: SocketAddr) -> Result<Socket, Failed> {
    let timeouts = Timeouts { shutdown: CLOSE, ..Timeouts::default() };
    Socket::bind(address, timeouts).map_err(|source| Failed::Listen { address, source })
}

fn serve_on<F, T>(socket: Socket, times: T, routes: F) -> Result<Listener, Failed>
where
    F: Fn(&mut actix_web::web::ServiceConfig) + Send + 'static,
    T: Fn() -> Times + Send + 'static,
{
    let address = socket.address();
    let served = socket.on_arbiter(&Arbiter::current(), times, routes);
    served.map_err(|source| Failed::Listen { address, source })
}
