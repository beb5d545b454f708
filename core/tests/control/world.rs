//! Several reducers over fakes of the table and of engines. Tests can lose, delay or hold back messages.

use std::collections::BTreeMap;
use std::time::Duration;

use boragecove_core::audit::Decision;
use boragecove_core::config::{Document, Head};
use boragecove_core::effect::Effect;
use boragecove_core::engine::{Action, Copy, Ended, Fence, Order, Receipt, Report, Role as Part, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version as Release};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Query};
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::table::{Failure, Key, Row, Value, Version};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};

use super::table::Table;

pub const ZONE: &str = "hall-a";
pub const GROUP: &str = "brief-writer";
const TICK: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Up,
    Down,
    /// Calls take effect, but their answers are lost.
    AnswersLost,
}

/// A model engine that never refuses a load for lack of memory, so that only the sender prevents
/// overcommitment.
#[derive(Debug)]
pub struct Engine {
    pub vm: Vm,
    /// Whether it has failed, so that it sends no reports.
    pub silent: bool,
    pub incarnation: Incarnation,
    pub checks: bool,
    pub memory_mb: u64,
    pub copies: Vec<Copy>,
    pub fence: Fence,
    pub ended: Vec<Ended>,
    receipts: BTreeMap<id::Order, Receipt>,
    loading: Vec<(Time, Order)>,
    pub load_time: Duration,
    seq: u64,
}

impl Engine {
    pub fn receive_order(&mut self, now: Time, order: &Order) -> Receipt {
        if let Some(receipt) = self.receipts.get(&order.id) {
            return receipt.clone();
        }
        let receipt = self.execute(now, order);
        self.receipts.insert(order.id, receipt.clone());
        receipt
    }

    fn execute(&mut self, now: Time, order: &Order) -> Receipt {
        if order.meant_for != self.incarnation {
            return Receipt::Restarted;
        }
        if self.checks && order.fence < self.fence {
            return Receipt::Stale { seen: self.fence };
        }
        self.fence = self.fence.max(order.fence);
        match &order.action {
            Action::Load { artifact, memory_mb } => {
                if !self.copies.iter().any(|copy| copy.artifact == *artifact) {
                    let (artifact, memory_mb) = (artifact.clone(), *memory_mb);
                    self.copies.push(Copy { artifact, memory_mb, stage: Stage::Loading, requests: 0 });
                }
                self.loading.push((now + self.load_time, order.clone()));
                return Receipt::Taken;
            }
            Action::Unload { artifact } => {
                let Some(copy) = self.copies.iter().find(|copy| copy.artifact == *artifact) else {
                    return Receipt::Invalid;
                };
                if copy.requests > 0 {
                    return Receipt::Busy;
                }
                self.copies.retain(|copy| copy.artifact != *artifact);
            }
            Action::Role { .. } | Action::Raise => {}
        }
        self.ended.push(Ended { order: order.id, done: true });
        Receipt::Taken
    }

    pub fn advance(&mut self, now: Time) {
        let due: Vec<Order> =
            self.loading.iter().filter(|(at, _)| *at <= now).map(|(_, order)| order.clone()).collect();
        self.loading.retain(|(at, _)| *at > now);
        for order in due {
            let Action::Load { artifact, .. } = &order.action else { continue };
            for copy in self.copies.iter_mut().filter(|copy| copy.artifact == *artifact) {
                copy.stage = Stage::Ready;
            }
            self.ended.push(Ended { order: order.id, done: true });
        }
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        Report {
            engine: self.vm.name.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            fence: self.fence,
            role: Part::Both,
            memory_mb: self.memory_mb,
            running: self.copies.iter().map(|copy| copy.requests).sum(),
            waiting: 0,
            tokens_per_second: 0,
            copies: self.copies.clone(),
            ended: self.ended.iter().rev().take(64).rev().copied().collect(),
            draining: false,
        }
    }

    pub fn restart(&mut self) {
        self.incarnation.0 += 1;
        self.copies.clear();
        self.ended.clear();
        self.receipts.clear();
        self.loading.clear();
        self.fence = Fence(0);
        self.seq = 0;
    }

    pub fn taken_mb(&self) -> u64 {
        self.copies.iter().map(|copy| copy.memory_mb).sum()
    }

    pub fn holds(&self, model: &str) -> bool {
        self.copies.iter().any(|copy| copy.artifact.model == model && copy.stage == Stage::Ready)
    }

    pub fn holds_version(&self, model: &str, version: &str) -> bool {
        self.copies.iter().any(|copy| copy.artifact.model == model && copy.artifact.version == version)
    }

    /// Sets how many requests run on a model.
    pub fn set_requests(&mut self, model: &str, requests: u32) {
        for copy in self.copies.iter_mut().filter(|copy| copy.artifact.model == model) {
            copy.requests = requests;
        }
    }
}

#[derive(Debug)]
pub struct Node {
    pub state: State,
    pub paused: bool,
    pub table: Mode,
    /// Events that arrived while the node was paused.
    inbox: Vec<Event>,
    pub records: Vec<boragecove_core::audit::Record>,
    pub answers: Vec<Answer>,
}

/// An order that a node has sent.
#[derive(Clone, Debug)]
pub struct SentOrder {
    pub node: usize,
    pub engine: Name,
    pub order: Order,
}

#[derive(Debug)]
pub struct World {
    pub now: Time,
    pub table: Table,
    pub nodes: Vec<Node>,
    pub engines: BTreeMap<Name, Engine>,
    /// The node whose orders are held back in `held_back`, except those that ask for nothing.
    pub held_back_node: Option<usize>,
    /// Whether the orders of all nodes are held back.
    pub hold_back_all: bool,
    pub held_back: Vec<SentOrder>,
    pub sent: Vec<SentOrder>,
    pub vms: Vec<Vm>,
    last_id: u64,
}

pub fn vm(name: &str, port: usize, role: Role) -> Vm {
    let address = ([127, 0, 0, 1], 9_000 + port as u16).into();
    Vm { name: name.into(), zone: ZONE.into(), address, role, phase: Phase::Live }
}

pub fn model(name: &str, memory_mb: u64) -> Model {
    let versions = vec![Release { name: "1".into(), memory_mb }];
    Model { name: name.into(), group: GROUP.into(), versions, adapters: Vec::new() }
}

pub fn document(checks: bool, memory_mb: u64, models: Vec<Model>) -> Document {
    let (name, kind) = (GROUP.into(), Kind::Engine);
    let group = Group { name, kind, memory_mb, slots: 8, checks_fences: checks };
    Document {
        inventory: Inventory { groups: vec![group], models, ..Inventory::default() },
        ..Document::default()
    }
}

impl World {
    pub fn new(nodes: usize, engines: usize, document: Document) -> Self {
        Self::with_settings(nodes, engines, document, &Settings::default())
    }

    pub fn with_settings(nodes: usize, engines: usize, document: Document, settings: &Settings) -> Self {
        let now = Time::from_millis(1_000);
        let group = document.inventory.groups[0].clone();
        let mut vms = Vec::new();
        let mut world = Self {
            now,
            table: Table::default(),
            nodes: Vec::new(),
            engines: BTreeMap::new(),
            held_back_node: None,
            hold_back_all: false,
            held_back: Vec::new(),
            sent: Vec::new(),
            vms: Vec::new(),
            last_id: 0,
        };
        world.declare(document);
        for n in 1..=nodes {
            vms.push(vm(&format!("entry-{n}"), n, Role::Entry));
            world.nodes.push(node(n as u64, now, settings));
        }
        for n in 1..=engines {
            let vm = vm(&format!("engine-{n}"), 100 + n, Role::Backend(GROUP.into()));
            vms.push(vm.clone());
            let engine = Engine {
                vm: vm.clone(),
                silent: false,
                incarnation: Incarnation(900 + 100 * n as u64),
                checks: group.checks_fences,
                memory_mb: group.memory_mb,
                copies: Vec::new(),
                fence: Fence(0),
                ended: Vec::new(),
                receipts: BTreeMap::new(),
                loading: Vec::new(),
                load_time: Duration::from_secs(1),
                seq: 0,
            };
            world.engines.insert(vm.name, engine);
        }
        world.vms = vms;
        world
    }

    /// Writes a configuration to the table as the next version and sends it to all nodes.
    pub fn declare(&mut self, document: Document) {
        let version = self.table.rows.get(&Key::Config).map_or(0, |row| row.version.0) + 1;
        let head =
            Head { version, op: id::Op { by: Incarnation(0), seq: version }, document: document.into() };
        let value = Value::Config(Box::new(head.clone()));
        let row = Row { key: Key::Config, version: Version(version), value };
        self.table.rows.insert(Key::Config, row);
        for at in 0..self.nodes.len() {
            let frame = boragecove_core::peer::Frame {
                address: None,
                from: "entry-0".into(),
                zone: ZONE.into(),
                incarnation: Incarnation(0),
                seq: version,
                config: version,
                stopping: false,
                items: vec![boragecove_core::peer::Item::Config(Box::new(head.clone()))],
            };
            self.step(at, Event::FrameReceived(Box::new(frame)));
        }
    }

    /// Applies an event at a node and carries out the resulting effects. A paused node gets it when it resumes.
    pub fn step(&mut self, at: usize, event: Event) {
        if self.nodes[at].paused {
            self.nodes[at].inbox.push(event);
            return;
        }
        for effect in apply(&mut self.nodes[at].state, self.now, event) {
            self.apply_effect(at, effect);
        }
    }

    /// Carries out an effect of a node.
    pub fn apply_effect(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Table { op, call } => {
                let reply = match self.nodes[at].table {
                    Mode::Down => Err(Failure::Unavailable),
                    Mode::AnswersLost => {
                        let _lost = self.table.call(&call);
                        Err(Failure::Unknown)
                    }
                    Mode::Up => Ok(self.table.call(&call)),
                };
                self.step(at, Event::TableAnswered { op, reply });
            }
            Effect::ListVms => {
                let vms = self.vms.clone();
                self.step(at, Event::VmsListed(vms));
            }
            Effect::Poll { engine, .. } => {
                let Some(engine) = self.engines.get_mut(&engine) else { return };
                if engine.silent {
                    return;
                }
                let report = engine.report();
                for to in 0..self.nodes.len() {
                    self.step(to, Event::ReportReceived(Box::new(report.clone())));
                }
            }
            Effect::Order { engine, order, .. } => {
                let sent_order = SentOrder { node: at, engine, order: *order };
                self.sent.push(sent_order.clone());
                let counts = sent_order.order.action != Action::Raise;
                if self.hold_back_all || (self.held_back_node == Some(at) && counts) {
                    self.held_back.push(sent_order);
                } else {
                    self.deliver(&sent_order);
                }
            }
            Effect::SendFrame { peer, frame, .. } => {
                if let Some(to) = self.nodes.iter().position(|node| node.state.identity().vm == peer) {
                    self.step(to, Event::FrameReceived(frame));
                }
            }
            Effect::Record(record) => self.nodes[at].records.push(*record),
            Effect::Answer { answer, .. } => self.nodes[at].answers.push(*answer),
            _ => {}
        }
    }

    /// Delivers an order to its engine, and the answer to the node.
    pub fn deliver(&mut self, sent_order: &SentOrder) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&sent_order.engine) else { return };
        let receipt = Some(engine.receive_order(now, &sent_order.order));
        let answer =
            Event::OrderAnswered { order: sent_order.order.id, engine: sent_order.engine.clone(), receipt };
        self.step(sent_order.node, answer);
    }

    /// Reports to the sender of an order that the answer was lost.
    pub fn lose_answer(&mut self, sent_order: &SentOrder) {
        let (order, engine) = (sent_order.order.id, sent_order.engine.clone());
        self.step(sent_order.node, Event::OrderAnswered { order, engine, receipt: None });
    }

    /// Resumes a node and applies the events that arrived while it was paused.
    pub fn resume(&mut self, at: usize) {
        self.nodes[at].paused = false;
        for event in std::mem::take(&mut self.nodes[at].inbox) {
            self.step(at, event);
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        self.engines.values_mut().for_each(|engine| engine.advance(now));
        for at in (0..self.nodes.len()).filter(|at| !self.nodes[*at].paused).collect::<Vec<_>>() {
            self.step(at, Event::Wake);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    /// Runs until a condition holds, for at most ten minutes of simulated time.
    pub fn run_until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let limit = self.now + Duration::from_mins(10);
        while !condition(self) {
            assert!(self.now < limit, "never happened: {what}");
            self.tick();
        }
    }

    /// Number of engines that hold a ready copy of a model.
    pub fn copies(&self, model: &str) -> usize {
        self.engines.values().filter(|engine| engine.holds(model)).count()
    }

    /// Number of loads and unloads decided so far.
    pub fn moves(&self) -> usize {
        let is_move = |act: &Decision| matches!(act, Decision::Load { .. } | Decision::Unload { .. });
        self.nodes.iter().flat_map(|node| &node.records).filter(|record| is_move(&record.act)).count()
    }

    /// Sends an operator's query to a node and returns the node's latest answer.
    pub fn query(&mut self, at: usize, query: Query) -> Option<&Answer> {
        self.last_id += 1;
        let ask = id::Ask { by: Incarnation(0), seq: self.last_id };
        self.step(at, Event::QueryReceived { ask, query: Box::new(query) });
        self.nodes[at].answers.last()
    }

    /// Sends a request for a model to a node. Its caller disconnects at once.
    pub fn send_request(&mut self, at: usize, model: &str) {
        self.last_id += 1;
        let id = id::Request { by: Incarnation(1_000 + at as u64), seq: self.last_id };
        let arrival = Arrival {
            id,
            token_sha256: None,
            subject: Subject::Model(model.parse().expect("a target")),
            idempotent: None,
            key: None,
            digest: "d".into(),
            priority: None,
            deadline: self.now + Duration::from_secs(30),
            stream: true,
            prefix: Vec::new(),
            bytes: 100,
            max_tokens: 2,
            hops: 0,
        };
        self.step(at, Event::Arrive(Box::new(arrival)));
        self.step(at, Event::CallerGone(id));
    }

    /// The holder and fence of the lease according to the table.
    pub fn lease_holder(&self) -> Option<(Name, Fence)> {
        match self.table.rows.get(&Key::Lease(ZONE.into())).map(|row| &row.value) {
            Some(Value::Lease(row)) => row.holder.as_ref().map(|holder| (holder.vm.clone(), row.fence)),
            _ => None,
        }
    }

    /// Index of the node that holds the lease according to the table.
    pub fn holder_node(&self) -> Option<usize> {
        let (holder, _) = self.lease_holder()?;
        self.nodes.iter().position(|node| node.state.identity().vm == holder)
    }
}

fn node(n: u64, now: Time, settings: &Settings) -> Node {
    let me = Identity { vm: format!("entry-{n}").into(), zone: ZONE.into(), incarnation: Incarnation(n) };
    Node {
        state: State::new(me, settings.clone(), n, now),
        paused: false,
        table: Mode::Up,
        inbox: Vec::new(),
        records: Vec::new(),
        answers: Vec::new(),
    }
}
