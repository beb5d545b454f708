//! Listens for HTTP: on threads of its own, or on the thread that it is started on.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix::ArbiterHandle;
use actix_http::{Extensions, HttpService, Protocol};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, map_config};
use actix_web::dev::{AppConfig, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpServer};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use crate::connection::{Connections, Limits, Stream, Times};
use crate::settings::Timeouts;

/// Time for a connection's end to be acknowledged.
const DISCONNECT: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, as when there are no file descriptors left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What the system keeps for each caller's connection that was received and not read, in bytes. In a round trip of 6 ms that
/// is 5 MB a second, as much as a link of 40 Mbit/s carries.
const UNREAD_BYTES_MAX: u32 = 32 << 10;
/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 128;
/// Time between two looks for connections whose callers take too long.
const LATE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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
        Self::new(listener, timeouts)
    }

    /// Binds an address for callers, which need not behave. What they send and the process has not read takes memory of the
    /// machine too, so the system keeps less of it.
    pub(crate) fn bind_for_callers(address: SocketAddr, timeouts: Timeouts) -> io::Result<Self> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_reuseaddr(true)?;
        socket.set_recv_buffer_size(UNREAD_BYTES_MAX)?;
        socket.bind(address)?;
        Self::new(socket.listen(BACKLOG)?.into_std()?, timeouts)
    }

    fn new(listener: TcpListener, timeouts: Timeouts) -> io::Result<Self> {
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

    /// Serves `routes` on the thread of `arbiter`. `times` is asked for each connection. Those of other processes of the
    /// system have no `limits`.
    pub(crate) fn on_arbiter<F, T>(
        self,
        arbiter: &ArbiterHandle,
        times: T,
        limits: Option<Limits>,
        routes: F,
    ) -> io::Result<Listener>
    where
        F: Fn(&mut ServiceConfig) + Send + 'static,
        T: Fn() -> Times + Send + 'static,
    {
        let Self { listener, address, timeouts } = self;
        let (sender, _) = watch::channel(Phase::Open);
        let phase = sender.clone();
        let sent = arbiter.spawn_fn(move || {
            actix_rt::spawn(async move {
                if let Err(error) = serve(listener, timeouts.shutdown, times, limits, routes, &phase).await {
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
    limits: Option<Limits>,
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
    let guarded = limits.map(Connections::new);
    let mut first = None;
    while *phase.borrow() == Phase::Open {
        let now = times();
        let closing = phase.clone();
        let app = App::new().configure(&routes).into_factory();
        let service = HttpService::build()
            .graceful_shutdown_signal(move || closed(closing.subscribe()))
            .keep_alive(now.idle)
            .client_request_timeout(now.head)
            .client_disconnect_timeout(DISCONNECT)
            .h1_allow_half_closed(false)
            .local_addr(address)
            .on_connect_ext(|stream: &Stream, data: &mut Extensions| {
                if let Some(connection) = stream.connection() {
                    data.insert(connection);
                }
            })
            .finish(map_config(app, |()| AppConfig::default()));
        let service = service.new_service(()).await.map_err(|()| io::Error::other("no service"))?;
        if let Some(stream) = first.take() {
            connections.spawn_local(carry(service.call(stream)));
        }
        let acceptor =
            Acceptor { listener: &listener, service: &service, guarded: guarded.as_ref(), times: now };
        first = acceptor.accept(&mut connections, || times() != now, phase.subscribe()).await;
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

/// What the HTTP library serves a connection by.
type Accepted = (Stream, Protocol, Option<SocketAddr>);

/// Accepts connections for a service.
struct Acceptor<'a, S> {
    listener: &'a tokio::net::TcpListener,
    service: &'a S,
    guarded: Option<&'a Rc<Connections>>,
    times: Times,
}

impl<S> Acceptor<'_, S>
where
    S: Service<Accepted>,
    S::Future: 'static,
    S::Response: 'static,
    S::Error: 'static,
{
    /// Accepts connections until the listener is to close, or until one comes that another service is to take.
    async fn accept(
        &self,
        connections: &mut JoinSet<()>,
        changed: impl Fn() -> bool,
        phase: watch::Receiver<Phase>,
    ) -> Option<Accepted> {
        let closed = closed(phase);
        tokio::pin!(closed);
        let mut late_check = tokio::time::interval(LATE_CHECK_INTERVAL);
        late_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = &mut closed => return None,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        let Some(accepted) = self.take_in(stream) else {
                            continue;
                        };
                        if changed() {
                            return Some(accepted);
                        }
                        connections.spawn_local(carry(self.service.call(accepted)));
                    }
                    Err(error) => {
                        tracing::warn!(%error, "a connection could not be accepted");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                },
                _ = late_check.tick(), if self.guarded.is_some() => {
                    self.guarded.inspect(|guarded| guarded.close_late(self.times));
                }
                Some(_) = connections.join_next() => {}
            }
        }
    }

    /// Takes a connection in, if there is a place for it.
    fn take_in(&self, stream: TcpStream) -> Option<Accepted> {
        // Small parts of an answer are sent at once. If that fails, they are sent a little later.
        let _sent_later = stream.set_nodelay(true);
        let stream = match self.guarded {
            Some(guarded) => guarded.accept(stream)?,
            None => Stream::from(stream),
        };
        let peer = stream.peer();
        Some((stream, Protocol::Http1, peer))
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
