//! Cost of keys and limits per request, and of share allocation at the hub, by their number.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::{
    Access, Config, Destination, Key, Kind, Limit, Route, Service, Table, Unit, Workspace,
};
use boragecove_fleet::engine::{Cached, Entry, Incarnation, Row};
use boragecove_fleet::event::{Event, Listing};
use boragecove_fleet::frame::Frame;
use boragecove_fleet::key::Digest;
use boragecove_fleet::lease::{Answer, Outcome};
use boragecove_fleet::quota::Report;
use boragecove_fleet::request::{Arrival, Id};
use boragecove_fleet::settings::Settings;
use boragecove_fleet::state::{Identity, State};
use divan::{Bencher, black_box};

const START: Time = Time::from_millis(1_000_000);
const SERVICE: &str = "gateway";
const HOST: &str = "care.example";
/// Number of workspaces: as configured today, and a large number.
const WORKSPACES: [u32; 2] = [16, 5_000];
/// Number of entry VMs, workspaces with limits and availability zones: today's, and those expected in two
/// years.
const SIZES: [(usize, u32, usize); 2] = [(62, 16, 3), (410, 2_000, 14)];

fn main() {
    divan::main();
}

fn digest(number: u32) -> Digest {
    let mut hash = [0; 32];
    hash[..4].copy_from_slice(&number.to_le_bytes());
    Digest::from_hash(hash)
}

fn workspace(number: u32) -> Name {
    format!("w{number}").into()
}

fn access(workspaces: u32) -> Access {
    let limit = Limit { per_s: 1e12, burst: 1e12, unit: Unit::Tokens { default_tokens: 200.0 } };
    let configured = |number| {
        Arc::new(Workspace {
            name: workspace(number),
            priority: None,
            limit: Some(limit),
            ..Workspace::default()
        })
    };
    let key = |number| Arc::new(Key { digest: digest(number), workspace: workspace(number) });
    Access { workspaces: (0..workspaces).map(configured).collect(), keys: (0..workspaces).map(key).collect() }
}

fn config(access: Option<Access>) -> Config {
    let route = Route {
        name: "ack".into(),
        host: HOST.into(),
        prefix: "/ack/".into(),
        kind: Kind::Once,
        timeout: Duration::from_secs(3),
        target: Duration::from_millis(100),
        attempts: 1,
        split: vec![Destination { service: SERVICE.into(), weight: 1 }],
        ..Route::default()
    };
    let service = Service { name: SERVICE.into(), connections_max: 100, pool: None, ..Service::default() };
    let (routes, services) = (vec![Arc::new(route)], vec![Arc::new(service)]);
    Config { version: 1, routes, services, access, ..Config::default() }
}

fn engine(number: u8) -> Row {
    let entry = Entry {
        id: format!("i-{number}").into(),
        incarnation: Incarnation::default(),
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 1, 0, number], 8_000)),
        zone: "zone-0".into(),
        slots: 100_000,
        leaving: false,
        remaining: None,
        cold_left: Duration::ZERO,
        held: Vec::new(),
        cached: Cached::default(),
        build: None,
    };
    Row {
        id: entry.id.clone(),
        version: (u64::from(number) + 1).into(),
        entry: Some(entry),
        ..Row::default()
    }
}

struct Hub {
    state: State,
    now: Time,
}

impl Hub {
    /// The hub, which holds shares of all limits itself until it hears from others.
    fn new(access: Option<Access>) -> Self {
        let address = SocketAddr::from(([10, 0, 0, 1], 7_000));
        let me = Identity { vm: "front-leader".into(), zone: "zone-0".into(), address };
        let mut hub = Self { state: State::new(me, Settings::default(), 7, START), now: START };
        hub.feed(Event::Configured(Arc::new(config(access))));
        hub.feed(Event::EnginesRead(Listing {
            as_of: None,
            rows: (0..3).map(engine).collect(),
            version: 9.into(),
            whole: true,
        }));
        hub.pass(10);
        hub.feed(Event::Lease(Answer { store_ms: Some(0), era: Some(0), outcome: Outcome::Read(None) }));
        hub.feed(Event::Lease(Answer { store_ms: Some(5), era: Some(0), outcome: Outcome::Written(1) }));
        hub.pass(400);
        hub.complete_renewal();
        hub
    }

    fn feed(&mut self, event: Event) {
        let _effects = boragecove_fleet::apply(&mut self.state, self.now, event);
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        self.feed(Event::Wake);
    }

    /// Completes a renewal of the lease and everything that follows from it.
    fn complete_renewal(&mut self) {
        self.feed(Event::Lease(Answer { store_ms: Some(400), era: Some(0), outcome: Outcome::Written(2) }));
        self.pass(200);
    }

    fn request(&mut self, id: u64, key: Option<Digest>) {
        let arrival = Arrival {
            host: HOST.into(),
            path: "/ack/1".into(),
            key,
            tokens: Some(200),
            ..Arrival::default()
        };
        self.feed(Event::Arrive { request: Id(id), arrival: Box::new(arrival) });
        self.feed(Event::CallerGone(Id(id)));
    }
}

#[divan::bench(args = WORKSPACES)]
fn find_key(bencher: Bencher<'_, '_>, workspaces: u32) {
    let table = Table::new(&config(Some(access(workspaces))));
    let mut next = 0;
    bencher.bench_local(|| {
        next = (next + 1_009) % workspaces;
        table.workspace_of(black_box(digest(next))).map(|workspace| workspace.priority)
    });
}

/// A request that arrives, is sent and ends: without keys, and with a key and a limit.
#[divan::bench(args = [false, true])]
fn request(bencher: Bencher<'_, '_>, keyed: bool) {
    let mut hub = Hub::new(keyed.then(|| access(16)));
    let key = keyed.then(|| digest(3));
    let mut id = 0;
    bencher.bench_local(|| {
        id += 1;
        hub.request(id, key);
    });
    assert!(hub.state.refusals().is_empty(), "{:?}", hub.state.refusals());
}

/// The answer to a frame of an entry VM that holds shares.
#[divan::bench(args = SIZES, sample_count = 50, sample_size = 1)]
fn frame(bencher: Bencher<'_, '_>, (vms, workspaces, zones): (usize, u32, usize)) {
    let mut hub = Hub::new(Some(access(workspaces)));
    let frame = |vm: usize, number: u64| Frame {
        number,
        vm: format!("front-{vm}").into(),
        zone: format!("zone-{}", vm % zones).into(),
        address: Some(SocketAddr::from(([10, 2, (vm / 250) as u8, (vm % 250) as u8], 7_000))),
        config: 1,
        engines_revision: 9.into(),
        quota: Report { process: 7, shares: Vec::new() },
        ..Frame::default()
    };
    for vm in 0..vms {
        hub.feed(Event::FrameReceived(Box::new(frame(vm, 1))));
    }
    hub.pass(400);
    hub.complete_renewal();
    let mut number = 1;
    bencher.bench_local(|| {
        number += 1;
        boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame(number as usize % vms, number))
    });
}
