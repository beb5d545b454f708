//! The platform edge: table, objects and VM list, over HTTP or within the process.

mod http;
mod memory;

use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use boragecove_core::table::{Call, Failure, Reply};
use boragecove_core::vm::Vm;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;

/// What a call of the platform comes to. A failure says whether the call may have had an effect.
pub type Answer<'call, T> = LocalBoxFuture<'call, Result<T, Failure>>;

/// The transactional table.
pub trait Table: Debug {
    /// Reads or writes rows.
    fn call(&self, call: Call) -> Answer<'_, Reply>;
}

/// The object store.
pub trait Objects: Debug {
    /// The object under a key; none if there is none.
    fn get(&self, key: String) -> Answer<'_, Option<Bytes>>;

    /// Puts an object in the place of what is under the key.
    fn put(&self, key: String, bytes: Bytes) -> Answer<'_, ()>;

    /// Removes the object under a key, if there is one.
    fn delete(&self, key: String) -> Answer<'_, ()>;
}

/// The list of virtual machines.
pub trait Vms: Debug {
    /// The list as it shows now.
    fn list(&self) -> Answer<'_, Vec<Vm>>;
}

/// Where a process finds its platform.
#[derive(Clone, Debug)]
pub enum Source {
    /// Over HTTP.
    Http(Addresses),
    /// A stand-in within the process.
    Memory(boragecove_standin::platform::Platform),
}

/// Where the platform's services listen, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The VM list.
    pub vms: SocketAddr,
    /// The time to connect; within it, a call that did not get through had no effect.
    pub connect: Duration,
    /// The time for a whole call.
    pub limit: Duration,
}

/// The platform as one thread of a process uses it.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The table.
    pub table: Rc<dyn Table>,
    /// The object store.
    pub objects: Rc<dyn Objects>,
    /// The VM list.
    pub vms: Rc<dyn Vms>,
}

impl Platform {
    /// Opens the platform.
    #[must_use]
    pub fn new(source: Source) -> Self {
        match source {
            Source::Http(addresses) => {
                let client = |address| Rc::new(http::Client::new(address, &addresses));
                Self {
                    table: client(addresses.table),
                    objects: client(addresses.objects),
                    vms: client(addresses.vms),
                }
            }
            Source::Memory(platform) => {
                let memory = Rc::new(memory::Memory::new(platform));
                Self { table: Rc::clone(&memory) as _, objects: Rc::clone(&memory) as _, vms: memory }
            }
        }
    }
}
