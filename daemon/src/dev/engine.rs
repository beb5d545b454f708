//! A stand-in model engine as a process.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::vm::Phase;
use boragecove_standin::engine::{Engine, Settings, Weights};
use boragecove_standin::fault::Fault;
use boragecove_standin::server::loopback;

use super::{Failed, Member};

/// How the process is called.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Who it is.
    pub member: Member,
    /// How the engine behaves. Its name and the source of its weights follow from `member`.
    pub settings: Settings,
    /// Faults committed from the start.
    pub faults: Vec<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        let member = Member {
            name: "engine-1".into(),
            group: "engines".into(),
            zone: "zone-1".into(),
            platform: None,
        };
        let settings = Settings { seed: fastrand::u64(..), ..paced() };
        Self { listen: loopback(), member, settings, faults: Vec::new() }
    }
}

/// An engine at the pace of a small model, so that a person can watch it.
#[must_use]
pub fn paced() -> Settings {
    Settings {
        memory_mb: 81_920,
        slots: 16,
        queue: 64,
        weights: Weights::Fixed(Duration::from_secs(2)),
        unload: Duration::from_millis(200),
        first_token: Duration::from_millis(40),
        block: Duration::from_millis(2),
        token: Duration::from_millis(10),
        report_every: Duration::from_millis(100),
        ..Settings::default()
    }
}

/// Time between looks at whether an engine that is leaving has finished.
const IDLE_EVERY: Duration = Duration::from_millis(50);

/// Serves until asked to stop, and then until nothing runs.
///
/// # Errors
///
/// If the address cannot be bound or the platform does not list it.
pub async fn run(options: Options) -> Result<(), Failed> {
    let Options { listen, member, settings, faults } = options;
    let weights = member.platform.map_or(settings.weights, Weights::Platform);
    let engine = Engine::new(Settings { name: member.name.clone(), weights, ..settings });
    engine.faults().set(faults);
    let running = engine.start(listen).map_err(|source| Failed::Listen { address: listen, source })?;
    println!("engine {} http://{}", member.name, running.address());
    member.announce(running.address(), Phase::Live).await?;
    super::asked_to_stop().await?;
    engine.drain(true);
    // What runs is finished also where the platform does not answer.
    let _list_is_a_hint = member.announce(running.address(), Phase::Leaving).await;
    while !engine.idle() {
        tokio::time::sleep(IDLE_EVERY).await;
    }
    member.withdraw().await;
    running.finish().await;
    Ok(())
}
