//! Time that the holder of the lease takes to process a frame, to answer it, and to make a plan, while callers of all
//! entry VMs wait for adapters for which there is no room. Measured with few and with many entry VMs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Config, Limits, Model, Pool, Service};
use boragecove_fleet::demand::{Demand, Target};
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Cached, Entry, Held, Incarnation, Load, Row};
use boragecove_fleet::event::{Event, Listing};
use boragecove_fleet::frame::{EngineLoad, Frame};
use boragecove_fleet::lease::{Answer, Call, Outcome};
use boragecove_fleet::order::Report;
use boragecove_fleet::settings::Settings;
use boragecove_fleet::state::{Identity, State};
use divan::Bencher;

const START: Time = Time::from_millis(1_000_000);
const SERVICE: &str = "writer";
/// Number of model engines, and number of models. Each engine holds two.
const ENGINES: usize = 204;
const MODELS: usize = 136;
/// Number of adapters that an engine has room for, and number of adapters of a model.
const ADAPTERS_MAX: usize = 8;
const ADAPTERS: usize = 64;
/// Number of adapters that callers of all entry VMs together wait for, and that callers of one entry VM wait for.
const AWAITED: usize = 200;
const AWAITED_AT_EACH: usize = 4;
/// Number of targets for which one entry VM has requests under way, and number of engines on which it has load.
const OPEN_AT_EACH: usize = 30;
/// Numbers of entry VMs.
const SIZES: [usize; 2] = [30, 295];

fn main() {
    divan::main();
}

fn adapter(number: usize) -> Name {
    format!("a{number}").into()
}

fn model(number: usize) -> Name {
    format!("model{number}").into()
}

fn config() -> Config {
    let model = |number| Model {
        name: model(number),
        adapters: (0..ADAPTERS).map(adapter).collect(),
        memory_mb: 70.0,
        adapter_mb: 0.1,
        ..Model::default()
    };
    let pool = Pool {
        slots: 12,
        memory_mb: 200.0,
        adapters_max: ADAPTERS_MAX as u32,
        loads_per_s: 30.0,
        models: (0..MODELS).map(model).collect(),
        ..Pool::default()
    };
    let service =
        Service { name: SERVICE.into(), connections_max: 100, pool: Some(pool), ..Service::default() };
    Config {
        version: 1,
        routes: Vec::new(),
        services: vec![Arc::new(service)],
        limits: Limits::default(),
        access: None,
    }
}

fn engine(number: usize) -> Name {
    format!("i-{number:08x}").into()
}

/// All adapter slots of an engine are taken.
fn held(number: usize) -> Vec<Held> {
    let held = |place: usize| Held {
        model: model((number * 2 + place) % MODELS),
        adapters: (0..ADAPTERS_MAX / 2).map(|at| adapter((number + at) % ADAPTERS)).collect(),
    };
    (0..2).map(held).collect()
}

fn row(number: usize) -> Row {
    let entry = Entry {
        id: engine(number),
        incarnation: Incarnation::default(),
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 1, 0, (number % 250) as u8], 8_000)),
        zone: ["a", "b", "c"][number % 3].into(),
        slots: 12,
        leaving: false,
        remaining: None,
        cold_left: Duration::ZERO,
        held: held(number),
        cached: Cached::default(),
        build: None,
    };
    Row { id: engine(number), version: (number as u64 + 1).into(), entry: Some(entry), ..Row::default() }
}

fn target(model: Name, adapter: Option<Name>) -> Target {
    Target { service: SERVICE.into(), model, adapter }
}

/// The frame of one entry VM. All adapters that engines hold are in use, so that none can be replaced.
fn frame(vm: usize) -> Frame {
    let awaited = |at: usize| {
        let number = (vm * AWAITED_AT_EACH + at) % AWAITED;
        let adapter = adapter(ADAPTERS - 1 - number % 2);
        let target = target(model(number % MODELS), Some(adapter));
        Demand { target, waiting: 1, arrived: 1, ..Demand::default() }
    };
    let open = |at: usize| {
        let number = (vm * 7 + at * 5) % ENGINES;
        let Held { model, adapters } = held(number).swap_remove(at % 2);
        let target = target(model, adapters.get(vm % adapters.len()).cloned());
        Demand { target, open: 2, ..Demand::default() }
    };
    let load = |at: usize| EngineLoad {
        engine: engine((vm * 7 + at * 5) % ENGINES),
        load: Load { open: 2, reading_us: 10_000 },
    };
    Frame {
        vm: format!("front-{vm}").into(),
        zone: "a".into(),
        config: 1,
        engines_revision: (ENGINES as u64).into(),
        loads: (0..OPEN_AT_EACH).map(load).collect(),
        demand: (0..OPEN_AT_EACH).map(open).chain((0..AWAITED_AT_EACH).map(awaited)).collect(),
        ..Frame::default()
    }
}

struct Hub {
    state: State,
    now: Time,
}

impl Hub {
    /// The holder of the lease after it has processed the frames of all entry VMs and learned what all engines hold.
    fn new(vms: usize) -> Self {
        let me = Identity {
            vm: "front-hub".into(),
            zone: "a".into(),
            address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        };
        let mut hub = Self { state: State::new(me, Settings::default(), 7, START), now: START };
        hub.feed(Event::Configured(Arc::new(config())));
        let rows = (0..ENGINES).map(row).collect();
        hub.feed(Event::EnginesRead(Listing {
            rows,
            version: (ENGINES as u64).into(),
            whole: true,
            as_of: None,
        }));
        hub.pass(10);
        hub.feed(Event::Lease(Answer { store_ms: Some(0), era: Some(0), outcome: Outcome::Read(None) }));
        hub.feed(Event::Lease(Answer { store_ms: Some(5), era: Some(0), outcome: Outcome::Written(1) }));
        hub.pass(300);
        for number in 0..ENGINES {
            let report = Report { held: held(number), ..Report::default() };
            hub.feed(Event::Reported { engine: engine(number), report: Some(report) });
        }
        hub.receive_frames(vms);
        hub
    }

    fn feed(&mut self, event: Event) -> Vec<Effect> {
        boragecove_fleet::apply(&mut self.state, self.now, event)
    }

    /// Advances the clock. The store accepts each renewal of the lease.
    fn pass(&mut self, ms: u64) {
        self.now = self.now + Duration::from_millis(ms);
        let effects = self.feed(Event::Wake);
        let renewals = effects.iter().filter(|effect| matches!(effect, Effect::Lease(Call::Write { .. })));
        for _renewal in renewals {
            self.feed(Event::Lease(Answer { store_ms: Some(5), era: Some(0), outcome: Outcome::Written(1) }));
        }
    }

    fn receive_frames(&mut self, vms: usize) {
        for vm in 0..vms {
            self.feed(Event::FrameReceived(Box::new(frame(vm))));
        }
    }
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn heard(bencher: Bencher<'_, '_>, vms: usize) {
    let mut hub = Hub::new(vms);
    bencher
        .with_inputs(|| frame(3))
        .bench_local_values(|frame| hub.feed(Event::FrameReceived(Box::new(frame))));
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn answered(bencher: Bencher<'_, '_>, vms: usize) {
    let mut hub = Hub::new(vms);
    let asker = Frame {
        residency_version: boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame(3))
            .residency_version,
        ..frame(3)
    };
    bencher.bench_local(|| boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker));
}

#[divan::bench(args = SIZES, sample_count = 20, sample_size = 1)]
fn planned(bencher: Bencher<'_, '_>, vms: usize) {
    let hub = RefCell::new(Hub::new(vms));
    bencher
        .with_inputs(|| hub.borrow_mut().receive_frames(vms))
        .bench_local_values(|()| hub.borrow_mut().pass(250));
}
