//! Starts a stand-in on an address and stops it again.

use std::any::Any;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

use actix_web::dev::{Extensions, ServerHandle};
use actix_web::web::ServiceConfig;
use actix_web::{App, HttpRequest, HttpServer};

/// Any free port of the loopback interface.
#[must_use]
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A stand-in that listens. It goes on when this is dropped.
#[derive(Clone, Debug)]
pub struct Running {
    address: SocketAddr,
    handle: ServerHandle,
}

impl Running {
    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener and every connection at once, as when the process dies.
    pub async fn stop(&self) {
        self.handle.stop(false).await;
    }

    /// Closes the listener, and the connections once their answers are out.
    pub async fn finish(&self) {
        self.handle.stop(true).await;
    }
}

/// Serves `routes` with one worker thread.
///
/// # Errors
///
/// If the address cannot be bound.
pub(crate) fn start<F>(listen: SocketAddr, routes: F) -> io::Result<Running>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let server = HttpServer::new(move || App::new().configure(routes.clone()))
        .workers(1)
        .on_connect(remember)
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .h1_allow_half_closed(false)
        .disable_signals()
        .bind(listen)?;
    let address = server.addrs().first().copied().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let server = server.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(Running { address, handle })
}

/// How long an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_mins(5);
/// How long answers may take to go out after [`Running::finish`].
const SHUTDOWN_SECONDS: u64 = 60;

/// A second handle on a connection's socket, with which an answer can be withheld.
struct Socket(TcpStream);

fn remember(connection: &dyn Any, extensions: &mut Extensions) {
    let Some(stream) = connection.downcast_ref::<actix_rt::net::TcpStream>() else { return };
    let _best_effort = stream.set_nodelay(true);
    if let Ok(copy) = stream.as_fd().try_clone_to_owned() {
        extensions.insert(Socket(TcpStream::from(copy)));
    }
}

/// Closes the connection that a request came on, whatever was about to be answered.
pub(crate) fn hang_up(request: &HttpRequest) {
    if let Some(Socket(stream)) = request.conn_data::<Socket>() {
        let _already_closed = stream.shutdown(Shutdown::Both);
    }
}
