//! A stand-in plain service as a process.

use std::net::SocketAddr;

use boragecove_core::vm::Phase;
use boragecove_standin::fault::Fault;
use boragecove_standin::server::loopback;
use boragecove_standin::service::{Service, Settings};

use super::{Failed, Member};

/// How the process is called.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Who it is.
    pub member: Member,
    /// How the service behaves.
    pub settings: Settings,
    /// Faults committed from the start.
    pub faults: Vec<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        let member = Member {
            name: "service-1".into(),
            group: "services".into(),
            zone: "zone-1".into(),
            platform: None,
        };
        Self { listen: loopback(), member, settings: Settings::default(), faults: Vec::new() }
    }
}

/// Serves until asked to stop, and then until its calls are answered.
///
/// # Errors
///
/// If the address cannot be bound or the platform does not list it.
pub async fn run(options: Options) -> Result<(), Failed> {
    let Options { listen, member, settings, faults } = options;
    let service = Service::new(settings);
    service.faults().set(faults);
    let running = service.start(listen).map_err(|source| Failed::Listen { address: listen, source })?;
    println!("service {} http://{}", member.name, running.address());
    member.announce(running.address(), Phase::Live).await?;
    super::asked_to_stop().await?;
    service.drain(true);
    // What runs is finished also where the platform does not answer.
    let _list_is_a_hint = member.announce(running.address(), Phase::Leaving).await;
    running.finish().await;
    member.withdraw().await;
    Ok(())
}
