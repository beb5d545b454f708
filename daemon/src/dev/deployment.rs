//! A whole deployment in one process: platform, engines, services and entry VMs, for an example.

mod example;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::inventory::{Group, Kind};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query, Refusal};
use boragecove_core::settings as core;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_standin::engine::{self, Engine, Weights};
use boragecove_standin::platform::{self, Platform};
use boragecove_standin::server::{self, loopback};
use boragecove_standin::service::{self, Service};

use super::{Failed, Member};
use crate::node;
use crate::platform::Source;
use crate::settings::{self, Level, Listen, Settings};

pub use example::{Example, TOKEN};

/// How the process is called.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where the first entry VM listens for callers; the others take any free port.
    pub listen: SocketAddr,
    /// Entry VMs, spread over the availability zones; none: one in each.
    pub entries: Option<usize>,
    /// A folder with `inventory.jsonc` and `rules.jsonc`; none: the example that is built in.
    pub example: Option<PathBuf>,
    /// Members of each engine group.
    pub engines: usize,
    /// Members of each group of plain services.
    pub services: usize,
    /// How the engines behave; name, memory, slots, fencing and weights follow from the example.
    pub engine: engine::Settings,
    /// How the platform behaves.
    pub platform: platform::Settings,
    /// What is logged.
    pub log: Level,
    /// What the reducers go by.
    pub core: core::Settings,
}

impl Default for Options {
    fn default() -> Self {
        let weights = platform::weight::Settings { mb_per_second: 20_000.0, ..Default::default() };
        Self {
            listen: loopback(),
            entries: None,
            example: None,
            engines: 9,
            services: 3,
            engine: engine::Settings { seed: fastrand::u64(..), ..super::engine::paced() },
            platform: platform::Settings { weights, ..Default::default() },
            log: Level::Warn,
            // There is no balancer whose view of `/ready` would lag.
            core: core::Settings { balancer_grace: Duration::ZERO, ..core::Settings::default() },
        }
    }
}

/// A deployment that runs in this process.
#[derive(Debug)]
pub struct Deployment {
    /// What it was made from.
    pub example: Example,
    /// The platform's content.
    pub platform: Platform,
    /// Where the platform listens.
    pub platform_at: server::Running,
    /// The engines and where they listen.
    pub engines: Vec<(Engine, server::Running)>,
    /// The services and where they listen.
    pub services: Vec<(Service, server::Running)>,
    /// The entry VMs.
    pub entries: Vec<node::Running>,
}

/// Tries to have the configuration accepted, and the time between them.
const APPLY_TRIES: u32 = 100;
const APPLY_EVERY: Duration = Duration::from_millis(200);
/// Looks at whether an entry VM serves, and the time between them.
const READY_TRIES: u32 = 1_000;
const READY_EVERY: Duration = Duration::from_millis(10);

impl Deployment {
    /// Starts everything and applies the example's configuration.
    ///
    /// # Errors
    ///
    /// If the example cannot be read, an address cannot be bound, or the configuration is refused.
    pub async fn start(options: &Options) -> Result<Self, Failed> {
        let example = Example::read(options.example.as_deref())?;
        let platform = Platform::new(options.platform);
        let platform_at = listening(loopback(), platform.start(loopback()))?;
        let mut deployment = Self {
            example,
            platform,
            platform_at,
            engines: Vec::new(),
            services: Vec::new(),
            entries: Vec::new(),
        };
        deployment.start_backends(options)?;
        deployment.start_entries(options)?;
        deployment.apply().await?;
        deployment.ready().await;
        Ok(deployment)
    }

    /// Stops the entry VMs without cutting anything off, then the rest.
    pub async fn stop(self) {
        for entry in &self.entries {
            entry.stop();
        }
        for entry in self.entries {
            entry.exited().await;
        }
        let engines = self.engines.iter().map(|(_, running)| running);
        for running in engines.chain(self.services.iter().map(|(_, running)| running)) {
            running.stop().await;
        }
        self.platform_at.stop().await;
    }

    fn start_backends(&mut self, options: &Options) -> Result<(), Failed> {
        for group in self.example.document.inventory.groups.clone() {
            let members = match group.kind {
                Kind::Engine => options.engines,
                Kind::Service => options.services,
            };
            for n in 0..members {
                let name = Name::from(format!("{}-{}", group.name, n + 1));
                let address = match group.kind {
                    Kind::Engine => self.start_engine(&group, &name, options)?,
                    Kind::Service => self.start_service()?,
                };
                let zone = self.example.zone(n);
                let member = Member { name, group: group.name.clone(), zone, platform: None };
                self.platform.vms().put(member.vm(address, Phase::Live));
            }
        }
        Ok(())
    }

    fn start_engine(&mut self, group: &Group, name: &Name, options: &Options) -> Result<SocketAddr, Failed> {
        let engine = Engine::new(engine::Settings {
            name: name.clone(),
            memory_mb: group.memory_mb,
            slots: group.slots as usize,
            checks_fences: group.checks_fences,
            weights: Weights::Platform(self.platform_at.address()),
            ..options.engine.clone()
        });
        let running = listening(loopback(), engine.start(loopback()))?;
        let address = running.address();
        self.engines.push((engine, running));
        Ok(address)
    }

    fn start_service(&mut self) -> Result<SocketAddr, Failed> {
        let service = Service::new(service::Settings::default());
        let running = listening(loopback(), service.start(loopback()))?;
        let address = running.address();
        self.services.push((service, running));
        Ok(address)
    }

    fn start_entries(&mut self, options: &Options) -> Result<(), Failed> {
        let platform = self.platform_at.address();
        for n in 0..options.entries.unwrap_or(self.example.zones().len()) {
            let vm = Name::from(format!("entry-{}", n + 1));
            let zone = self.example.zone(n);
            let callers = if n == 0 { options.listen } else { loopback() };
            let settings = Settings {
                vm: vm.clone(),
                zone: zone.clone(),
                listen: Listen { callers, ..Listen::default() },
                platform: settings::Platform { table: platform, objects: platform, vms: platform },
                peer_secret: TOKEN.into(),
                operator_token: TOKEN.into(),
                log: options.log,
                core: options.core.clone(),
                ..Settings::default()
            };
            let entry = node::start(&settings, Source::Memory(self.platform.clone()))?;
            let listed = Vm { name: vm, zone, address: entry.peers, role: Role::Entry, phase: Phase::Live };
            self.platform.vms().put(listed);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Has the first entry VM accept the configuration, as soon as it knows the engines.
    async fn apply(&self) -> Result<(), Failed> {
        let Some(entry) = self.entries.first() else { return Ok(()) };
        let mut refusal = None;
        for _ in 0..APPLY_TRIES {
            match entry.ask(Query::Apply(Box::new(self.change()))).await {
                Ok(Answer::Applied(_)) => return Ok(()),
                Ok(Answer::Error(refused)) => refusal = Some(refused),
                Ok(_) | Err(_) => {}
            }
            tokio::time::sleep(APPLY_EVERY).await;
        }
        Err(Failed::Refused(Box::new(refusal.unwrap_or_else(no_answer))))
    }

    /// Waits until every entry VM serves, or they have had their time.
    async fn ready(&self) {
        for entry in &self.entries {
            for _ in 0..READY_TRIES {
                if let Ok(Answer::Status(status)) = entry.ask(Query::Status).await
                    && status.ready
                {
                    break;
                }
                tokio::time::sleep(READY_EVERY).await;
            }
        }
    }

    fn change(&self) -> Apply {
        Apply {
            document: self.example.document.clone(),
            base: None,
            who: "dev".into(),
            note: "the example".into(),
            dry_run: false,
        }
    }
}

fn no_answer() -> Refusal {
    Refusal {
        code: Code::Internal,
        reasons: Vec::new(),
        hint: "the entry VM did not answer".into(),
        version: None,
    }
}

fn listening(
    address: SocketAddr,
    started: std::io::Result<server::Running>,
) -> Result<server::Running, Failed> {
    started.map_err(|source| Failed::Listen { address, source })
}

/// Starts a deployment, says how to try it, and serves until asked to stop.
///
/// # Errors
///
/// As [`Deployment::start`].
pub async fn run(options: Options) -> Result<(), Failed> {
    let deployment = Deployment::start(&options).await?;
    print!("{}", deployment.guide());
    super::asked_to_stop().await?;
    deployment.stop().await;
    Ok(())
}

impl Deployment {
    /// Where everything listens, and commands to try.
    #[must_use]
    pub fn guide(&self) -> String {
        use std::fmt::Write;
        let mut text = String::new();
        for (n, entry) in self.entries.iter().enumerate() {
            let zone = self.example.zone(n);
            let _infallible = writeln!(
                text,
                "entry-{} in {zone}: callers http://{}, operators http://{}, peers http://{}",
                n + 1,
                entry.callers,
                entry.operators,
                entry.peers
            );
        }
        let platform = self.platform_at.address();
        let _infallible = writeln!(text, "platform: http://{platform}, machines at /vms, faults at /faults");
        let _infallible = writeln!(
            text,
            "{} engines, {} services, {} models; the bearer token of callers and operators is '{TOKEN}'",
            self.engines.len(),
            self.services.len(),
            self.example.document.inventory.models.len()
        );
        if let (Some(entry), Some(body)) = (self.entries.first(), self.example.request()) {
            let _infallible = writeln!(
                text,
                "\nTry it; the model is loaded on demand:\n\n  curl -sN http://{}/v1/completions -H 'Authorization: Bearer {TOKEN}' -d '{body}'\n",
                entry.callers
            );
            let _infallible = writeln!(
                text,
                "Look around:\n\n  boragecove --address {} --token {TOKEN} status\n",
                entry.operators
            );
        }
        text
    }
}
