//! Listens for HTTP: on threads of its own, or on the thread that it is started on.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix::ArbiterHandle;
use actix_http::HttpService;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::{AppConfig, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::settings::Timeouts;

/// Time for a connection's end to be acknowledged.
const DISCONNECT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, as when there are no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// How long callers may take. Connections that are open keep what held when they were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Times {
    /// To send the head of a connection's first request.
    pub(crate) head: Duration,
    /// Between an answer and the next request.
    pub(crate) idle: Duration,
}

impl Timeouts {
    /// What callers may take by these settings.
    pub(crate) const fn callers(&self) -> Times {
        Times { head: self.read, idle: self.keep_alive }
    }
}

/// A listener that runs.
#[derive(Debug)]
pub(crate) struct Listener {
    /// Where it listens.
    pub address: SocketAddr,
    stop: Stop,
}

/// How a listener is stopped.
#[derive(Debug)]
enum Stop {
    Threads(ServerHandle),
    Here(watch::Sender<Phase>),
}

/// How far a listener on its node's thread is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Closing,
    Closed,
}

/// A bound address that is not served yet.
#[derive(Debug)]
pub(crate) struct Socket {
    listener: TcpListener,
    address: SocketAddr,
    timeouts: Timeouts,
}

impl Socket {
    /// Binds an address.
    pub(crate) fn bind(address: SocketAddr, timeouts: Timeouts) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address, timeouts })
    }

    /// Where it is bound.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `routes` on `workers` threads.
    pub(crate) fn on_threads<F>(self, workers: usize, routes: F) -> io::Result<Listener>
    where
        F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
    {
        let Self { listener, address, timeouts } = self;
        let server = HttpServer::new(move || App::new().configure(routes.clone()))
            .workers(workers)
            .tcp_nodelay(true)
            .keep_alive(timeouts.keep_alive)
            .client_request_timeout(timeouts.read)
            .client_disconnect_timeout(DISCONNECT)
            .h1_allow_half_closed(false)
            .shutdown_timeout(timeouts.shutdown.as_secs().max(1))
            .disable_signals()
            .listen(listener)?
            .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Listener { address, stop: Stop::Threads(handle) })
    }

    /// Serves `routes` on the thread of `arbiter`. `times` is asked for each connection.
    pub(crate) fn on_arbiter<F, T>(self, arbiter: &ArbiterHandle, times: T, routes: F) -> io::Result<Listener>
    where
        F: Fn(&mut ServiceConfig) + Send + 'static,
        T: Fn() -> Times + Send + 'static,
    {
        let Self { listener, address, timeouts } = self;
        let (sender, _) = watch::channel(Phase::Open);
        let phase = sender.clone();
        let sent = arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                if let Err(error) = serve(listener, timeouts.shutdown, times, routes, &phase).await {
                    tracing::error!(%address, %error, "cannot listen");
                }
                phase.send_replace(Phase::Closed);
            });
        });
        if !sent {
            return Err(io::Error::other("the thread to listen on has ended"));
        }
        Ok(Listener { address, stop: Stop::Here(sender) })
    }
}

async fn serve<F, T>(
    listener: TcpListener,
    shutdown: Duration,
    times: T,
    routes: F,
    phase: &watch::Sender<Phase>,
) -> io::Result<()>
where
    F: Fn(&mut ServiceConfig) + 'static,
    T: Fn() -> Times,
{
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let address = listener.local_addr()?;
    let mut connections = JoinSet::new();
    let mut first = None;
    while *phase.borrow() == Phase::Open {
        let now = times();
        let closing = phase.clone();
        let app = App::new().configure(&routes).into_factory();
        let service = HttpService::build()
            .graceful_shutdown_signal(move || closed(closing.subscribe()))
            .tcp_nodelay(true)
            .keep_alive(now.idle)
            .client_request_timeout(now.head)
            .client_disconnect_timeout(DISCONNECT)
            .h1_allow_half_closed(false)
            .local_addr(address)
            .finish(map_config(app, |()| AppConfig::default()))
            .tcp();
        let service = service.new_service(()).await.map_err(|()| io::Error::other("no service"))?;
        if let Some(stream) = first.take() {
            connections.spawn_local(carry(service.call(stream)));
        }
        let changed = || times() != now;
        first = accept(&listener, &service, &mut connections, changed, phase.subscribe()).await;
    }
    drop(listener);
    let rest = async { while connections.join_next().await.is_some() {} };
    let _cut_off = tokio::time::timeout(shutdown, rest).await;
    Ok(())
}

async fn closed(mut phase: watch::Receiver<Phase>) {
    let _node_is_gone = phase.wait_for(|phase| *phase != Phase::Open).await;
}

/// Serves a connection to its end.
async fn carry(connection: impl Future) {
    // Callers leave as they like.
    let _broke_off = connection.await;
}

/// Accepts connections until the listener is to close, or until one comes that another service is to take.
async fn accept<S>(
    listener: &tokio::net::TcpListener,
    service: &S,
    connections: &mut JoinSet<()>,
    changed: impl Fn() -> bool,
    phase: watch::Receiver<Phase>,
) -> Option<TcpStream>
where
    S: Service<TcpStream>,
    S::Future: 'static,
    S::Response: 'static,
    S::Error: 'static,
{
    let closed = closed(phase);
    tokio::pin!(closed);
    loop {
        tokio::select! {
            () = &mut closed => return None,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) if changed() => return Some(stream),
                Ok((stream, _)) => {
                    connections.spawn_local(carry(service.call(stream)));
                }
                Err(error) => {
                    tracing::warn!(%error, "a connection could not be accepted");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

impl Listener {
    /// Closes the listener, and its connections once their answers are out, or at once.
    pub(crate) async fn stop(&self, graceful: bool) {
        match &self.stop {
            Stop::Threads(handle) => handle.stop(graceful).await,
            Stop::Here(phase) => {
                phase.send_if_modified(|phase| {
                    let open = *phase == Phase::Open;
                    if open {
                        *phase = Phase::Closing;
                    }
                    open
                });
                if graceful {
                    let mut phase = phase.subscribe();
                    let _gone = phase.wait_for(|phase| *phase == Phase::Closed).await;
                }
            }
        }
    }
}
