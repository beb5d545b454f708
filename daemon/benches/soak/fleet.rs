//! The deployment under the soak: one platform, three engines and one service in each of two zones, two entry VMs a zone.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::config::Document;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Service, Version};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::settings as core;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_daemon::node::{self, Running};
use boragecove_daemon::settings::{self, Settings};
use boragecove_standin::engine::{self, Engine};
use boragecove_standin::server::{self, loopback};
use boragecove_standin::{platform, service};
use tokio::time::sleep;

/// Models declared, each on one engine or more.
pub const MODELS: usize = 8;
/// Engines of each zone.
const ENGINES: usize = 3;
/// Entry VMs of each zone.
const ENTRIES: usize = 2;
const ZONES: [&str; 2] = ["zone-1", "zone-2"];
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(20);

pub struct Fleet {
    pub platform: platform::Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<service::Service>,
    servers: RefCell<Vec<server::Running>>,
    entries: RefCell<Vec<Option<(Name, Running)>>>,
    platform_at: SocketAddr,
    started: Cell<u32>,
}

impl Fleet {
    pub async fn start() -> Self {
        let platform = platform::Platform::new(platform::Settings::default());
        let platform_at = platform.start(loopback()).expect("a platform").address();
        let fleet = Self {
            platform,
            engines: (0..ZONES.len() * ENGINES).map(engine).collect(),
            services: ZONES.iter().map(|_zone| service::Service::new(service::Settings::default())).collect(),
            servers: RefCell::default(),
            entries: RefCell::default(),
            platform_at,
            started: Cell::new(0),
        };
        for (at, engine) in fleet.engines.iter().enumerate() {
            let server = engine.start(loopback()).expect("an engine");
            fleet.list_engine(at, server.address());
            fleet.servers.borrow_mut().push(server);
        }
        for (at, service) in fleet.services.iter().enumerate() {
            let address = service.start(loopback()).expect("a service").address();
            fleet.list(&format!("service-{at}"), ZONES[at], address, Role::Backend("gateway".into()));
        }
        for at in 0..ZONES.len() * ENTRIES {
            let entry = fleet.start_entry(ZONES[at / ENTRIES]);
            fleet.entries.borrow_mut().push(Some(entry));
        }
        fleet.apply().await;
        fleet
    }

    /// Entry VMs in service.
    pub fn size(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Where callers reach one of the entry VMs in the balancer.
    pub fn callers(&self, n: u64) -> SocketAddr {
        let entries = self.entries.borrow();
        let up: Vec<SocketAddr> = entries.iter().flatten().map(|(_, running)| running.callers).collect();
        up[n as usize % up.len()]
    }

    pub async fn kill_engine(&self, at: usize) {
        let server = self.servers.borrow()[at].clone();
        server.stop().await;
    }

    pub async fn revive_engine(&self, at: usize) {
        self.engines[at].restart();
        let server = self.engines[at].start(loopback()).expect("an engine");
        self.list_engine(at, server.address());
        self.servers.borrow_mut()[at] = server;
        sleep(LOOK).await;
    }

    /// Starts a successor, takes the old entry VM out of the balancer, and lets it finish.
    pub async fn replace_entry(&self, at: usize) {
        let successor = self.start_entry(ZONES[at / ENTRIES]);
        while !is_ready(successor.1.callers).await {
            sleep(LOOK).await;
        }
        let old = self.entries.borrow_mut()[at].replace(successor);
        if let Some((name, old)) = old {
            old.stop();
            old.exited().await;
            self.platform.vms().remove(&name);
        }
    }

    fn start_entry(&self, zone: &str) -> (Name, Running) {
        self.started.set(self.started.get() + 1);
        let name = Name::from(format!("entry-{}", self.started.get()));
        let at = self.platform_at;
        let settings = Settings {
            vm: name.clone(),
            zone: zone.into(),
            platform: settings::Platform { table: at, objects: at, vms: at },
            operator_token: "operators".into(),
            peer_secret: "peers".into(),
            core: core::Settings {
                lease_length: Duration::from_secs(3),
                lease_renew: Duration::from_secs(1),
                first_byte: Duration::from_secs(2),
                balancer_grace: Duration::from_secs(1),
                ..core::Settings::default()
            },
            ..Settings::default()
        };
        let running = node::start(&settings, settings.source()).expect("a node");
        self.list(&name, zone, running.peers, Role::Entry);
        (name, running)
    }

    async fn apply(&self) {
        let apply = Apply {
            document: document(),
            base: None,
            who: "soak".into(),
            note: Name::default(),
            dry_run: false,
        };
        let query = Query::Apply(Box::new(apply));
        let (name, first) = self.entries.borrow_mut()[0].take().expect("an entry");
        while !matches!(first.ask(query.clone()).await, Ok(Answer::Applied(_))) {
            sleep(LOOK).await;
        }
        self.entries.borrow_mut()[0] = Some((name, first));
        for n in 0..self.size() as u64 {
            while !is_ready(self.callers(n)).await {
                sleep(LOOK).await;
            }
        }
    }

    /// Prints why a model is where it is, as each entry VM says.
    pub async fn explain(&self, model: u64) {
        let asked: Vec<SocketAddr> =
            self.entries.borrow().iter().flatten().map(|(_, running)| running.operators).collect();
        for address in asked {
            let query = Query::Explain(format!("model-{model}").into());
            let client = awc::Client::default();
            let request = client.post(format!("http://{address}/operator")).bearer_auth("operators");
            if let Ok(mut answer) = request.send_json(&query).await {
                let text = answer.body().await.unwrap_or_default();
                eprintln!("soak: {address} says {}", String::from_utf8_lossy(&text));
            }
        }
    }

    fn list_engine(&self, at: usize, address: SocketAddr) {
        self.list(&engine_name(at), ZONES[at / ENGINES], address, Role::Backend("writer".into()));
    }

    fn list(&self, name: &str, zone: &str, address: SocketAddr, role: Role) {
        let vm = Vm { name: name.into(), zone: zone.into(), address, role, phase: Phase::Live };
        self.platform.vms().put(vm);
    }
}

pub fn artifact(n: u64) -> Artifact {
    Artifact { model: format!("model-{n}").into(), adapter: None, version: "1".into() }
}

async fn is_ready(address: SocketAddr) -> bool {
    let client = awc::Client::default();
    client.get(format!("http://{address}/ready")).send().await.is_ok_and(|response| response.status() == 200)
}

fn engine_name(at: usize) -> String {
    format!("engine-{at}")
}

fn engine(at: usize) -> Engine {
    Engine::new(engine::Settings {
        name: engine_name(at).into(),
        memory_mb: 24_000,
        slots: 16,
        token: Duration::from_millis(5),
        ..engine::Settings::default()
    })
}

fn document() -> Document {
    let group = |name: &str, kind, memory_mb, slots| Group {
        name: name.into(),
        kind,
        memory_mb,
        slots,
        checks_fences: true,
    };
    let models = (0..MODELS).map(|n| Model {
        name: format!("model-{n}").into(),
        group: "writer".into(),
        versions: vec![Version { name: "1".into(), memory_mb: 7_000 }],
        adapters: Vec::new(),
    });
    let service = Service { name: "notice".into(), group: "gateway".into(), idempotent: false };
    Document {
        inventory: Inventory {
            groups: vec![group("writer", Kind::Engine, 24_000, 16), group("gateway", Kind::Service, 0, 64)],
            models: models.collect(),
            services: vec![service],
        },
        ..Document::default()
    }
}
