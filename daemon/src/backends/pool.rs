//! Connections to back ends: one pool for each address, so that one can be closed by itself.

use std::net::SocketAddr;

use awc::{Client, Connector};
use rustc_hash::FxHashMap;
use tokio::time::Instant;

use super::dial::{Closed, Dial};
use crate::settings::Timeouts;

/// Pools beyond which those unused for a connection's age are dropped.
const POOLS_KEPT: usize = 64;
/// Connections to one address at once; the reducer limits requests well below it.
const CONNECTIONS_MAX: usize = 1 << 16;

/// The pools of one node.
#[derive(Debug)]
pub(crate) struct Pools {
    timeouts: Timeouts,
    closed: Closed,
    by_address: FxHashMap<SocketAddr, Pool>,
}

struct Pool {
    client: Client,
    used: Instant,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").field("used", &self.used).finish_non_exhaustive()
    }
}

impl Pools {
    /// No connections yet.
    pub(crate) fn new(timeouts: Timeouts) -> Self {
        Self { timeouts, closed: Closed::default(), by_address: FxHashMap::default() }
    }

    /// A client that keeps its connections to `address` for the next request.
    pub(crate) fn client(&mut self, address: SocketAddr) -> Client {
        let now = Instant::now();
        if self.by_address.len() > POOLS_KEPT {
            let age = self.timeouts.connection_age;
            self.by_address.retain(|_, pool| now.duration_since(pool.used) < age);
        }
        let (timeouts, closed) = (self.timeouts, &self.closed);
        let pool = self
            .by_address
            .entry(address)
            .or_insert_with(|| Pool { client: connect(timeouts, closed), used: now });
        pool.used = now;
        pool.client.clone()
    }

    /// Counts the connections that were closed by the other side.
    pub(crate) fn closed(&self) -> Closed {
        self.closed.clone()
    }

    /// Closes the idle connections to an address; those in use close once they are idle.
    pub(crate) fn retire(&mut self, address: SocketAddr) {
        self.by_address.remove(&address);
    }
}

fn connect(timeouts: Timeouts, closed: &Closed) -> Client {
    let connector = Connector::new()
        .connector(Dial::new(closed.clone()))
        .limit(CONNECTIONS_MAX)
        .timeout(timeouts.connect)
        .conn_keep_alive(timeouts.keep_alive)
        .conn_lifetime(timeouts.connection_age);
    Client::builder().connector(connector).disable_timeout().disable_redirects().no_default_headers().finish()
}
