//! The deployment that is measured: stand-in engines and one daemon with one worker, in this process.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::config::Document;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version};
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_daemon::node;
use boragecove_daemon::platform::Source;
use boragecove_daemon::settings::Settings;
use boragecove_standin::engine::{self, Engine};
use boragecove_standin::platform;
use boragecove_standin::server::loopback;

use super::threads::Threads;

/// Stand-in engines, each with a thread of its own, so that they are not what is measured.
const ENGINES: usize = 4;
/// Requests that an engine works on at once.
const SLOTS: u32 = 1_024;
/// Memory of an engine and its model, in MB.
const MEMORY_MB: u64 = 24_000;

pub struct Setup {
    pub engines: Vec<SocketAddr>,
    pub callers: SocketAddr,
    pub daemon: Threads,
}

pub fn artifact() -> Artifact {
    Artifact { model: "briefing".into(), adapter: None, version: "1".into() }
}

impl Setup {
    /// Starts everything on a thread that lives as long as the process; engines take `token` for each token.
    pub fn start(token: Duration, workers: usize) -> Self {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                sender.send(start(token, workers).await).expect("the bench waits for it");
                std::future::pending::<()>().await;
            });
        });
        receiver.recv().expect("a deployment")
    }
}

async fn start(token: Duration, workers: usize) -> Setup {
    let platform = platform::Platform::new(platform::Settings::default());
    let mut engines = Vec::new();
    for number in 1..=ENGINES {
        let name = format!("engine-{number}");
        let settings = engine::Settings {
            name: name.as_str().into(),
            slots: SLOTS as usize,
            queue: SLOTS as usize,
            token,
            remembered: 64,
            report_every: Duration::from_millis(100),
            ..engine::Settings::default()
        };
        let engine = Engine::new(settings);
        assert!(engine.preload(&artifact(), MEMORY_MB), "it fits");
        let address = engine.start(loopback()).expect("an engine").address();
        engines.push(address);
        let role = Role::Backend("brief-writer".into());
        platform.vms().put(Vm {
            name: name.into(),
            zone: "zone-1".into(),
            address,
            role,
            phase: Phase::Live,
        });
    }
    // Their threads have all started once they answer.
    for address in &engines {
        let url = format!("http://{address}/engine/report");
        awc::Client::default().get(url).send().await.expect("a report");
    }
    let settings = Settings { workers, ..Settings::default() };
    let before = Threads::now();
    let running = node::start(&settings, Source::Memory(platform)).expect("a node");
    let apply =
        Apply { document: document(), base: None, who: "bench".into(), note: "".into(), dry_run: false };
    let query = Query::Apply(Box::new(apply));
    while !matches!(running.ask(query.clone()).await, Ok(Answer::Applied(_))) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    while !reachable(&running).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let daemon = Threads::now().since(&before);
    let callers = running.callers;
    // It serves for as long as the process lives.
    std::mem::forget(running);
    Setup { engines, callers, daemon }
}

async fn reachable(running: &node::Running) -> bool {
    let Ok(Answer::Models(models)) = running.ask(Query::Models).await else {
        return false;
    };
    models.iter().any(|model| model.copies.len() == ENGINES)
}

fn document() -> Document {
    let group = Group {
        name: "brief-writer".into(),
        kind: Kind::Engine,
        memory_mb: MEMORY_MB,
        slots: SLOTS,
        checks_fences: true,
    };
    let model = Model {
        name: "briefing".into(),
        group: "brief-writer".into(),
        versions: vec![Version { name: "1".into(), memory_mb: MEMORY_MB }],
        adapters: Vec::new(),
    };
    Document {
        inventory: Inventory { groups: vec![group], models: vec![model], services: Vec::new() },
        ..Document::default()
    }
}
