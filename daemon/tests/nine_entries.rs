//! Nine entry VMs in three zones over real sockets: how soon an accepted change is in force on all.
//!
//! The times are printed, not asserted: `cargo test --test nine_entries -- --nocapture`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use actix_web::web::{self, Bytes, Data, PayloadConfig};
use actix_web::{App, HttpResponse, HttpServer};
use awc::Client;
use boragecove_core::config::Document;
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::settings as core;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_daemon::node::{self, Running};
use boragecove_daemon::settings::{self, Settings};
use boragecove_standin::fault::{Fault, Kind as FaultKind, Scope};
use boragecove_standin::platform::{self, Platform};
use boragecove_standin::server::loopback;
use boragecove_wire::{frame, path};

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_mins(1);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(5);
const SECRET: &str = "peers";
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const EACH: usize = 3;
/// The zone that can be cut off.
const REMOTE: usize = 2;

struct Nine {
    platform: Platform,
    nodes: Vec<Option<Running>>,
    apart: Arc<AtomicBool>,
    version: u64,
}

/// The way to one entry VM: passes frames on, but not between the remote zone and others while it is cut
/// off.
#[derive(Clone)]
struct Way {
    to: SocketAddr,
    zone: &'static str,
    apart: Arc<AtomicBool>,
}

async fn pass(way: Data<Way>, body: Bytes) -> HttpResponse {
    let received = frame::decode(&body, SECRET.as_bytes()).expect("a frame");
    let remote = |zone: &str| zone == ZONES[REMOTE];
    let crosses = remote(way.zone) != remote(&received.frame.zone);
    if crosses && way.apart.load(Ordering::SeqCst) {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let request = Client::default().post(format!("http://{}{}", way.to, path::FRAME));
    match request.send_body(body).await {
        Ok(answer) => {
            let mut passed = HttpResponse::build(answer.status());
            for (name, value) in answer.headers() {
                passed.insert_header((name.clone(), value.clone()));
            }
            passed.finish()
        }
        Err(_gone) => HttpResponse::BadGateway().finish(),
    }
}

impl Way {
    /// Opens the way and returns where it begins.
    fn open(listener: std::net::TcpListener, way: Self) {
        let server = HttpServer::new(move || {
            let frames = web::resource(path::FRAME).route(web::post().to(pass));
            App::new().app_data(Data::new(way.clone())).app_data(PayloadConfig::new(1 << 24)).service(frames)
        });
        let server = server.workers(1).disable_signals().listen(listener).expect("a listener").run();
        actix_rt::spawn(server);
    }
}

impl Nine {
    async fn start() -> Self {
        let platform = Platform::new(platform::Settings::default());
        let at = platform.start(loopback()).expect("a platform").address();
        let apart = Arc::new(AtomicBool::new(false));
        let mut nodes = Vec::new();
        for (zone, at_zone) in ZONES.iter().flat_map(|zone| (0..EACH).map(move |at| (*zone, at))) {
            let listener = std::net::TcpListener::bind(loopback()).expect("a port");
            let begin = listener.local_addr().expect("its address");
            let name = format!("{zone}-entry-{at_zone}");
            let settings = Settings {
                vm: Name::from(name),
                zone: zone.into(),
                peer_secret: SECRET.into(),
                platform: settings::Platform { table: at, objects: at, vms: at },
                core: core::Settings { address: Some(begin), ..core::Settings::default() },
                ..Settings::default()
            };
            let node = node::start(&settings, settings.source()).expect("a node");
            Way::open(listener, Way { to: node.peers, zone, apart: Arc::clone(&apart) });
            platform.vms().put(vm(&settings.vm, zone, begin, Role::Entry));
            nodes.push(Some(node));
        }
        for (at, zone) in ZONES.iter().enumerate() {
            // Nobody listens there: the engines are only listed, so that the models have room.
            let address = SocketAddr::from(([127, 0, 0, 1], 1 + at as u16));
            let name = Name::from(format!("{zone}-engine"));
            platform.vms().put(vm(&name, zone, address, Role::Backend("brief-writer".into())));
        }
        let mut nine = Self { platform, nodes, apart, version: 0 };
        nine.accept(0).await;
        nine.everywhere().await;
        // Everyone knows everyone before a fault begins.
        nine.until("all are known", async |nine| nine.members_at(0, 1).await == ZONES.len() * EACH).await;
        nine
    }

    fn node(&self, at: usize) -> &Running {
        self.nodes[at].as_ref().expect("it runs")
    }

    /// Has a node accept the next version. Returns how long that took.
    async fn accept(&mut self, at: usize) -> Duration {
        let begin = Instant::now();
        loop {
            let document = document(1_000 + self.version);
            let apply =
                Apply { document, base: None, who: "test".into(), note: Name::default(), dry_run: false };
            match self.node(at).ask(Query::Apply(Box::new(apply))).await.expect("an answer") {
                Answer::Applied(applied) => {
                    self.version = applied.version;
                    return begin.elapsed();
                }
                // Before the first version the list may not have been read.
                Answer::Error(refusal) if self.version == 0 => drop(refusal),
                other => panic!("{other:?}"),
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn in_force(&self, at: usize) -> u64 {
        match self.node(at).ask(Query::Status).await.expect("an answer") {
            Answer::Status(status) => status.config,
            other => panic!("{other:?}"),
        }
    }

    /// Entry VMs that a node knows to be alive and to have `version` in force.
    async fn members_at(&self, at: usize, version: u64) -> usize {
        match self.node(at).ask(Query::Members).await.expect("an answer") {
            Answer::Members(members) => {
                members.iter().filter(|member| member.alive && member.config >= version).count()
            }
            other => panic!("{other:?}"),
        }
    }

    /// Waits until the version is in force on all that run. Returns how long that took.
    async fn everywhere(&self) -> Duration {
        let begin = Instant::now();
        self.until("in force on all", async |nine| {
            for at in (0..nine.nodes.len()).filter(|at| nine.nodes[*at].is_some()) {
                if nine.in_force(at).await != nine.version {
                    return false;
                }
            }
            true
        })
        .await;
        begin.elapsed()
    }

    async fn until(&self, what: &str, condition: impl AsyncFn(&Self) -> bool) {
        let wait = async {
            while !condition(self).await {
                tokio::time::sleep(LOOK).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("waited in vain: {what}"));
    }

    /// Accepts some changes and prints how soon each was in force on all.
    async fn measure(&mut self, what: &str, at: usize) {
        const ROUNDS: usize = 5;
        let (mut accepted, mut spread) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            accepted.push(self.accept(at).await);
            spread.push(self.everywhere().await);
        }
        let version = self.version;
        let begin = Instant::now();
        let running = self.nodes.iter().flatten().count();
        let known = async |nine: &Self| nine.members_at(at, version).await >= running;
        if !self.apart.load(Ordering::SeqCst) {
            self.until("known to be in force", known).await;
        }
        println!(
            "{what}: accepted in {accepted:.1?}, then in force on {running} in {spread:.1?}, known at the entry VM \
             that took the last after another {:.1?}",
            begin.elapsed()
        );
    }

    async fn end(self) {
        for node in self.nodes.into_iter().flatten() {
            node.kill().await;
        }
    }
}

fn vm(name: &Name, zone: &str, address: SocketAddr, role: Role) -> Vm {
    Vm { name: name.clone(), zone: zone.into(), address, role, phase: Phase::Live }
}

fn document(memory_mb: u64) -> Document {
    let group = Group {
        name: "brief-writer".into(),
        kind: Kind::Engine,
        memory_mb: 24_000,
        slots: 8,
        checks_fences: true,
    };
    let model = Model {
        name: "briefing".into(),
        group: "brief-writer".into(),
        versions: vec![Version { name: "1".into(), memory_mb }],
        adapters: Vec::new(),
    };
    Document {
        inventory: Inventory { groups: vec![group], models: vec![model], services: Vec::new() },
        ..Document::default()
    }
}

#[actix_web::test]
async fn one_down() {
    let mut nine = Nine::start().await;
    nine.measure("no fault", 0).await;
    let down = nine.nodes[4].take().expect("it runs");
    down.kill().await;
    nine.measure("one down", 0).await;
    nine.end().await;
}

#[actix_web::test]
async fn table_slow() {
    let mut nine = Nine::start().await;
    nine.platform.faults().set(vec![Fault::always(FaultKind::Late(800), Scope::Table)]);
    nine.measure("table slow by 800 ms", 5).await;
    nine.end().await;
}

#[actix_web::test]
async fn zone_apart() {
    let mut nine = Nine::start().await;
    nine.apart.store(true, Ordering::SeqCst);
    nine.measure("one zone cut off from the others", 0).await;
    nine.measure("the same, accepted in the zone cut off", 8).await;
    nine.apart.store(false, Ordering::SeqCst);
    nine.measure("healed", 0).await;
    nine.end().await;
}
