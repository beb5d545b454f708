//! A stand-in platform as a process.

use std::net::SocketAddr;

use boragecove_core::vm::Vm;
use boragecove_standin::fault::Fault;
use boragecove_standin::platform::{Platform, Settings};
use boragecove_standin::server::loopback;

use super::Failed;

/// How the process is called.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Where to listen.
    pub listen: SocketAddr,
    /// How the platform behaves.
    pub settings: Settings,
    /// Machines listed from the start.
    pub vms: Vec<Vm>,
    /// Faults committed from the start.
    pub faults: Vec<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Self { listen: loopback(), settings: Settings::default(), vms: Vec::new(), faults: Vec::new() }
    }
}

/// Serves until asked to stop.
///
/// # Errors
///
/// If the address cannot be bound.
pub async fn run(options: Options) -> Result<(), Failed> {
    let platform = Platform::new(options.settings);
    platform.vms().set(options.vms);
    platform.faults().set(options.faults);
    let listen = options.listen;
    let running = platform.start(listen).map_err(|source| Failed::Listen { address: listen, source })?;
    println!("platform http://{}", running.address());
    super::asked_to_stop().await?;
    running.finish().await;
    Ok(())
}
