//! The settings of one daemon process.

mod file;

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::settings as core;

use crate::platform;

pub use file::{Unreadable, load, read};
pub(crate) use file::{from_file, set};

/// All settings of a process. [`load`] reads them from a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The VM's name in the platform's list.
    pub vm: Name,
    /// The VM's availability zone.
    pub zone: Name,
    /// Where to listen.
    pub listen: Listen,
    /// Where the platform listens.
    pub platform: Platform,
    /// The secret that all entry VMs share.
    pub peer_secret: Secret,
    /// The bearer token that operators send.
    pub operator_token: Secret,
    /// Threads that read callers' requests; none: that of the node reads them too.
    pub workers: usize,
    /// What is logged.
    pub log: Level,
    /// Sizes at the edges.
    pub limits: Limits,
    /// Times at the edges.
    pub timeouts: Timeouts,
    /// What the reducer goes by.
    pub core: core::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            vm: "entry-1".into(),
            zone: "zone-1".into(),
            listen: Listen::default(),
            platform: Platform::default(),
            peer_secret: Secret::default(),
            operator_token: Secret::default(),
            workers: 0,
            log: Level::default(),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            core: core::Settings::default(),
        }
    }
}

impl Settings {
    /// The platform at the addresses given.
    #[must_use]
    pub fn source(&self) -> platform::Source {
        platform::Source::Http(platform::Addresses {
            table: self.platform.table,
            objects: self.platform.objects,
            vms: self.platform.vms,
            connect: self.timeouts.connect,
            limit: self.timeouts.platform,
        })
    }
}

/// Any free port of the loopback interface.
#[must_use]
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

/// Where a process listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entry VMs.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

impl Default for Listen {
    fn default() -> Self {
        Self { callers: loopback(), peers: loopback(), operators: loopback() }
    }
}

/// Where the platform's services listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
}

impl Default for Platform {
    fn default() -> Self {
        Self { table: loopback(), objects: loopback(), vms: loopback() }
    }
}

/// A text that is not shown.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// The text itself.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Secret {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The least important events that are logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Only what needs an operator.
    Error,
    /// Also what is odd.
    Warn,
    /// Also each request and each decision of control.
    #[default]
    Info,
    /// Also what helps to find a fault.
    Debug,
}

/// Sizes at the edges, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A request's body.
    pub body: usize,
    /// A request's headers, together.
    pub headers: usize,
    /// A whole answer that is held until it is complete; a larger one is passed on as it comes.
    pub answer: usize,
    /// What all requests together hold of bodies that arrive or wait.
    pub held: usize,
    /// What has come for a caller and has not been taken by its connection, for each request.
    pub backlog: usize,
    /// Delivered text that is kept for each request, to go on with it at another engine.
    pub kept: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 8 << 20,
            headers: 16 << 10,
            answer: 1 << 20,
            held: 64 << 20,
            backlog: 256 << 10,
            kept: 1 << 20,
        }
    }
}

/// Times at the edges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// To read a whole request.
    pub read: Duration,
    /// A request's deadline if the caller names none.
    pub deadline: Duration,
    /// The longest deadline a caller may name.
    pub deadline_max: Duration,
    /// To open a connection.
    pub connect: Duration,
    /// How long an idle connection is kept.
    pub keep_alive: Duration,
    /// How old a connection to a back end may grow.
    pub connection_age: Duration,
    /// For an engine's answer to an order or a poll.
    pub control: Duration,
    /// For the platform's answer.
    pub platform: Duration,
    /// For callers to take the last of their answers once the process stops.
    pub shutdown: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            read: Duration::from_secs(10),
            deadline: Duration::from_mins(1),
            deadline_max: Duration::from_mins(10),
            connect: Duration::from_secs(1),
            keep_alive: Duration::from_secs(30),
            connection_age: Duration::from_mins(10),
            control: Duration::from_secs(2),
            platform: Duration::from_secs(2),
            shutdown: Duration::from_secs(30),
        }
    }
}
