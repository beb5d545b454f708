//! A fleet of reducers with fake engines on a simulated clock, and the costs of each entry VM.

use std::collections::BTreeMap;
use std::mem::{Discriminant, discriminant};
use std::time::{Duration, Instant};

use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::peer::Item;
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::time::Time;
use boragecove_core::vm::{Role, Vm};
use boragecove_core::{State, apply, table};
use rustc_hash::FxHashMap;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::fakes::Backend;
use super::sample::{arrival, document, vm};
use super::table::Table;

/// The measured costs of an entry VM, each with its unit; the first six are processing times by kind of event.
pub const METRICS: [(&str, &str); 17] = [
    ("reports", "µs/s"),
    ("frames", "µs/s"),
    ("table", "µs/s"),
    ("timers and plans", "µs/s"),
    ("VM list", "µs/s"),
    ("requests", "µs/s"),
    ("frames packed and unpacked", "µs/s"),
    ("frames sent", "1/s"),
    ("frames sent", "B/s"),
    ("frames received", "B/s"),
    ("reports read", "1/s"),
    ("reports read", "B/s"),
    ("table reads", "1/s"),
    ("table rows written", "1/s"),
    ("table calls and replies", "B/s"),
    ("VM list read", "B/s"),
    ("state", "KB"),
];
const CODING: usize = 6;
const FRAMES: usize = 7;
const SENT: usize = 8;
const RECEIVED: usize = 9;
const REPORTS: usize = 10;
const REPORT_BYTES: usize = 11;
const READS: usize = 12;
const WRITES: usize = 13;
const TABLE_BYTES: usize = 14;
const LIST_BYTES: usize = 15;
const STATE: usize = 16;

/// The costs of an entry VM, in the order of [`METRICS`].
pub type Cost = [f64; METRICS.len()];

const START: Time = Time::from_millis(1_000_000);
/// Time until all models are loaded and all reports are distributed.
const SETTLE_TIME: Duration = Duration::from_secs(14);
/// Duration of a measurement.
const WINDOW: Duration = Duration::from_secs(6);
/// Delay of each message.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Requests per second at each entry VM.
const REQUESTS_PER_S: u64 = 17;
/// Bytes added to a frame's content: version and authentication.
const FRAME_OVERHEAD: usize = 33;

/// Sizes of a fleet; the numbers of entry VMs and engines are per zone.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub zones: usize,
    pub entries: usize,
    pub engines: usize,
    pub models: usize,
}

/// Items of one kind that were sent in frames.
#[derive(Clone, Debug)]
pub struct Sent {
    pub name: String,
    pub count: f64,
    pub bytes: f64,
}

/// Costs of the first zone's lease holder, mean costs of the zone's other entry VMs, costs of one change of
/// the configuration (bytes in the whole fleet, and milliseconds until it is in force everywhere), and items
/// sent.
pub struct Costs {
    pub holder: Cost,
    pub other: Cost,
    pub change: [f64; 2],
    pub sent: Vec<Sent>,
}

struct Node {
    state: State,
    wake: Time,
    version: u64,
    cost: Cost,
}

pub struct Fleet {
    now: Time,
    seq: u64,
    queue: BTreeMap<(Time, u64), (usize, Event)>,
    nodes: Vec<Node>,
    names: BTreeMap<Name, usize>,
    engines: Vec<Backend>,
    engine_names: BTreeMap<Name, usize>,
    table: Table,
    entries: usize,
    models: usize,
    requests_sent: u64,
    sent: FxHashMap<Discriminant<Item>, Sent>,
}

impl Fleet {
    /// Builds a fleet, waits until it has settled, and measures its costs.
    pub fn measure(scale: &Scale) -> Costs {
        let mut fleet = Self::new(scale);
        fleet.apply(1);
        fleet.run(SETTLE_TIME);
        fleet.reset();
        fleet.run(WINDOW);
        let holder = fleet.holder();
        let baseline: Vec<Cost> = fleet.nodes.iter().map(|node| node.cost).collect();
        let sent = std::mem::take(&mut fleet.sent);
        fleet.reset();
        fleet.apply(2);
        let from = fleet.now;
        let (version, mut everywhere) = (fleet.nodes[0].version, None);
        while fleet.now < from + WINDOW {
            fleet.run(MESSAGE_DELAY * 10);
            if everywhere.is_none() && fleet.nodes.iter().all(|node| node.version > version) {
                everywhere = Some(fleet.now.since(from).as_millis() as f64);
            }
        }
        let total = |costs: &[Cost]| costs.iter().map(|cost| cost[SENT]).sum::<f64>();
        let changed: Vec<Cost> = fleet.nodes.iter().map(|node| node.cost).collect();
        let change = [total(&changed) - total(&baseline), everywhere.unwrap_or(f64::NAN)];
        let rate = |cost: &Cost| cost.map(|sum| sum / WINDOW.as_secs_f64());
        let others: Vec<Cost> =
            (0..scale.entries).filter(|at| *at != holder).map(|at| rate(&baseline[at])).collect();
        let mut other = Cost::default();
        for (at, mean) in other.iter_mut().enumerate() {
            *mean = others.iter().map(|cost| cost[at]).sum::<f64>() / others.len() as f64;
        }
        let sent = sent.into_values().collect();
        let mut costs = Costs { holder: rate(&baseline[holder]), other, change, sent };
        let (holder, other) = (fleet.state_bytes(holder), fleet.state_bytes((holder + 1) % scale.entries));
        (costs.holder[STATE], costs.other[STATE]) = (holder / 1e3, other / 1e3);
        costs
    }

    /// Bytes allocated by the state of a process. Replaces that state by an empty one.
    fn state_bytes(&mut self, at: usize) -> f64 {
        let node = &mut self.nodes[at];
        let me = node.state.identity().clone();
        let state = std::mem::replace(&mut node.state, State::new(me, Settings::default(), 0, self.now));
        -allocation_counter::measure(|| drop(state)).bytes_current as f64
    }

    fn new(scale: &Scale) -> Self {
        let mut fleet = Self {
            now: START,
            seq: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            names: BTreeMap::new(),
            engines: Vec::new(),
            engine_names: BTreeMap::new(),
            table: Table::default(),
            entries: scale.entries,
            models: scale.models,
            requests_sent: 0,
            sent: FxHashMap::default(),
        };
        for at in 0..scale.zones * scale.entries {
            let vm = vm(format!("entry-{at:03}"), at / scale.entries, at, Role::Entry);
            let me = Identity { vm: vm.name.clone(), zone: vm.zone, incarnation: Incarnation(at as u64 + 1) };
            let state = State::new(me, Settings::default(), at as u64, START);
            let wake = START + Duration::from_millis(37 * at as u64 % 1_000);
            fleet.nodes.push(Node { state, wake, version: 0, cost: Cost::default() });
            fleet.names.insert(vm.name, at);
        }
        for at in 0..scale.zones * scale.engines {
            let role = Role::Backend("brief-writer".into());
            let vm = vm(format!("engine-{at:04}"), at / scale.engines, 20_000 + at, role);
            fleet.engine_names.insert(vm.name.clone(), at);
            fleet.engines.push(Backend::new(vm, 10_000 + at as u64, true));
        }
        fleet
    }

    fn reset(&mut self) {
        self.sent.clear();
        for node in &mut self.nodes {
            node.cost = Cost::default();
        }
    }

    /// Applies a document at the first entry VM.
    fn apply(&mut self, edition: u64) {
        let apply = Apply {
            document: document(self.models, edition),
            base: None,
            who: "ops".into(),
            note: "".into(),
            dry_run: false,
        };
        let ask = id::Ask { by: Incarnation(0), seq: edition };
        let query = Box::new(Query::Apply(Box::new(apply)));
        let wait = if edition == 1 { Duration::from_secs(3) } else { MESSAGE_DELAY };
        self.push(wait, 0, Event::QueryReceived { ask, query });
    }

    fn push(&mut self, wait: Duration, to: usize, event: Event) {
        self.seq += 1;
        self.queue.insert((self.now + wait, self.seq), (to, event));
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let wake = self.nodes.iter().zip(0..).map(|(node, at)| (node.wake, at)).min();
            let next = self.queue.first_key_value().map(|((at, _), _)| *at);
            match (wake, next) {
                (Some((at, node)), next) if next.is_none_or(|next| at <= next) => {
                    self.now = self.now.max(at);
                    self.nodes[node].wake = Time(u64::MAX);
                    self.handle(node, Event::Wake);
                }
                _ => {
                    let Some(((at, _), (node, event))) = self.queue.pop_first() else { return };
                    self.now = self.now.max(at);
                    self.handle(node, event);
                }
            }
            self.send_requests();
        }
    }

    /// Sends requests at a steady rate, spread over entry VMs and models.
    fn send_requests(&mut self) {
        let nodes = self.nodes.len() as u64;
        let due = self.now.since(START + SETTLE_TIME).as_micros() as u64 * REQUESTS_PER_S * nodes / 1_000_000;
        while self.requests_sent < due {
            self.requests_sent += 1;
            let at = (self.requests_sent % nodes) as usize;
            let request = id::Request { by: Incarnation(at as u64 + 1), seq: self.requests_sent };
            let model = (self.requests_sent / nodes * 7 % self.models as u64) as usize;
            self.push(MESSAGE_DELAY, at, Event::Arrive(Box::new(arrival(request, model, self.now))));
        }
    }

    fn handle(&mut self, at: usize, event: Event) {
        let event_kind = event_kind(&event);
        let node = &mut self.nodes[at];
        let started_at = Instant::now();
        let effects = apply(&mut node.state, self.now, event);
        node.cost[event_kind] += elapsed_micros(started_at);
        for effect in effects {
            self.carry_out(at, effect);
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
        let cost = &mut self.nodes[at].cost;
        let answer = match effect {
            Effect::WakeAt(time) => {
                self.nodes[at].wake = time;
                return;
            }
            Effect::SendFrame { peer, frame, .. } => {
                let started_at = Instant::now();
                let packed = rmp_serde::to_vec(&frame).expect("a frame packs");
                cost[CODING] += elapsed_micros(started_at);
                cost[FRAMES] += 1.0;
                let bytes = (packed.len() + FRAME_OVERHEAD) as f64;
                cost[SENT] += bytes;
                for item in &frame.items {
                    let name = || format!("{item:?}").split(['(', ' ']).next().unwrap_or_default().into();
                    let fresh = || Sent { name: name(), count: 0.0, bytes: 0.0 };
                    let sent = self.sent.entry(discriminant(item)).or_insert_with(fresh);
                    sent.count += 1.0;
                    sent.bytes += rmp_serde::to_vec(item).expect("an item packs").len() as f64;
                }
                let to = self.names[&peer];
                let cost = &mut self.nodes[to].cost;
                let started_at = Instant::now();
                let unpacked = rmp_serde::from_slice(&packed).expect("it unpacks");
                cost[CODING] += elapsed_micros(started_at);
                cost[RECEIVED] += bytes;
                self.push(MESSAGE_DELAY, to, Event::FrameReceived(unpacked));
                return;
            }
            Effect::ListVms => {
                let entries = self
                    .names
                    .iter()
                    .map(|(name, at)| vm(name.to_string(), at / self.entries, *at, Role::Entry));
                let vms: Vec<Vm> =
                    entries.chain(self.engines.iter().map(|engine| engine.vm.clone())).collect();
                let (vms, bytes) = round_trip(&vms);
                cost[LIST_BYTES] += bytes;
                Event::VmsListed(vms)
            }
            Effect::Poll { engine, .. } => {
                let report = self.engines[self.engine_names[&engine]].report();
                let (report, bytes) = round_trip(&report);
                cost[REPORTS] += 1.0;
                cost[REPORT_BYTES] += bytes;
                Event::ReportReceived(Box::new(report))
            }
            Effect::Order { engine, order, .. } => {
                let backend = &mut self.engines[self.engine_names[&engine]];
                let receipt = Some(backend.order(&order));
                backend.loaded(&order);
                Event::OrderAnswered { order: order.id, engine, receipt }
            }
            Effect::Table { op, call } => {
                match &call {
                    table::Call::Get(_) | table::Call::List(_) => cost[READS] += 1.0,
                    table::Call::Commit(writes) | table::Call::Each(writes) => {
                        cost[WRITES] += writes.len() as f64;
                    }
                }
                cost[TABLE_BYTES] += serde_json::to_vec(&call).expect("a call packs").len() as f64;
                let (reply, bytes) = round_trip(&self.table.call(&call));
                cost[TABLE_BYTES] += bytes;
                Event::TableAnswered { op, reply: Ok(reply) }
            }
            Effect::Send(send) => {
                let attempt = send.attempt;
                self.push(MESSAGE_DELAY, at, Event::Head { attempt, echo: Some(attempt) });
                self.push(MESSAGE_DELAY * 300, at, Event::Finished { attempt, length: 0 });
                return;
            }
            Effect::Record(record) => {
                if let boragecove_core::audit::Decision::Configured(version) = record.act {
                    self.nodes[at].version = version;
                }
                return;
            }
            Effect::Answer { answer, .. } => {
                assert!(matches!(*answer, Answer::Applied(_)), "{answer:?}");
                return;
            }
            _ => return,
        };
        self.push(MESSAGE_DELAY, at, answer);
    }

    /// The first zone's lease holder.
    fn holder(&mut self) -> usize {
        let key = table::Key::Lease("hall-00".into());
        let row = self.table.row(&key).map(|row| row.value);
        let Some(table::Value::Lease(lease)) = row else { return 0 };
        lease.holder.and_then(|holder| self.names.get(&holder.vm).copied()).unwrap_or(0)
    }
}

fn elapsed_micros(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1e6
}

/// Encodes and decodes a value as JSON, so that the result shares no memory with it. Also returns the number
/// of bytes.
fn round_trip<T: Serialize + DeserializeOwned>(value: &T) -> (T, f64) {
    let bytes = serde_json::to_vec(value).expect("it packs");
    (serde_json::from_slice(&bytes).expect("it unpacks"), bytes.len() as f64)
}

fn event_kind(event: &Event) -> usize {
    match event {
        Event::ReportReceived(_) | Event::ReportFailed(_) | Event::CacheChanged(_) => 0,
        Event::FrameReceived(_) | Event::FrameFailed { .. } => 1,
        Event::TableAnswered { .. } | Event::OrderAnswered { .. } | Event::QueryReceived { .. } => 2,
        Event::Wake | Event::Stop => 3,
        Event::VmsListed(_) | Event::VmListFailed => 4,
        _ => 5,
    }
}
