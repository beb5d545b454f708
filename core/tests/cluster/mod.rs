//! Several reducers with an in-memory table and the frames between them, driven by events and timers.

#![allow(dead_code, reason = "each test file uses its own part of this module")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::config::Document;
use boragecove_core::effect::Effect;
use boragecove_core::engine::{Copy, Fence, Report, Role as EngineRole, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version as ModelVersion};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Apply, Query, Refusal, Status};
use boragecove_core::peer::Frame;
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::table::{Call, Failure};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};
use table::Table;

#[path = "../table/mod.rs"]
mod table;

/// How the table treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Calls are answered.
    #[default]
    Up,
    /// Calls are refused.
    Down,
    /// Calls take effect, but their answers are lost.
    AnswersLost,
    /// Calls are lost before they take effect; the caller can't distinguish this from a lost answer.
    RequestsLost,
    /// Calls wait until the mode changes.
    Delayed,
}

/// The platform's table and its mode.
#[derive(Debug, Default)]
pub struct Platform {
    pub store: Table,
    pub mode: Mode,
    pub calls: usize,
    delayed: VecDeque<(usize, id::Op, Call)>,
}

/// One entry VM.
#[derive(Debug)]
pub struct Node {
    pub state: State,
    pub name: Name,
    pub zone: Name,
    pub up: bool,
    /// Whether it handles events only after it is resumed.
    pub paused: bool,
    pub ready: bool,
    wake: Option<Time>,
    backlog: Vec<Event>,
}

/// Entry VMs, engines and the platform.
#[derive(Debug)]
pub struct Cluster {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub table: Platform,
    pub vms: Vec<Vm>,
    /// Pairs of zones that can't reach each other.
    pub cuts: BTreeSet<(Name, Name)>,
    pub answers: BTreeMap<u64, Answer>,
    /// Frames sent, with the sender and the receiver's name.
    pub frames: Vec<(usize, Frame, Name)>,
    /// Nodes that are cut off from the platform.
    pub isolated: BTreeSet<usize>,
    /// Nodes to which frames are delivered without being handled.
    pub not_receiving: BTreeSet<usize>,
    /// Reports of engines; engines without an entry don't answer polls.
    pub reports: BTreeMap<Name, Report>,
    /// Polls of engines, with the polling node.
    pub polls: Vec<(usize, Name)>,
    /// Effects that this module does not carry out, with the node.
    pub other_effects: Vec<(usize, Effect)>,
    queue: VecDeque<(usize, Event)>,
    settings: Settings,
    queries: u64,
    incarnations: u64,
}

impl Cluster {
    /// Entry VMs named `entry-N`, one for each zone given.
    pub fn new(zones: &[&str], settings: Settings) -> Self {
        let mut cluster = Self {
            now: Time::from_millis(1_000),
            nodes: Vec::new(),
            table: Platform::default(),
            vms: Vec::new(),
            cuts: BTreeSet::new(),
            answers: BTreeMap::new(),
            frames: Vec::new(),
            isolated: BTreeSet::new(),
            not_receiving: BTreeSet::new(),
            reports: BTreeMap::new(),
            polls: Vec::new(),
            other_effects: Vec::new(),
            queue: VecDeque::new(),
            settings,
            queries: 0,
            incarnations: 0,
        };
        for (index, zone) in zones.iter().enumerate() {
            let name = Name::from(format!("entry-{index}"));
            cluster.vms.push(vm(&name, zone, 7_000 + index as u16, Role::Entry));
        }
        for index in 0..zones.len() {
            let node = cluster.start(index);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn start(&mut self, index: usize) -> Node {
        self.incarnations += 1;
        let Vm { name, zone, address, .. } = self.vms[index].clone();
        let me = Identity {
            vm: name.clone(),
            zone: zone.clone(),
            incarnation: Incarnation(100 + self.incarnations),
        };
        let settings = Settings { address: Some(address), ..self.settings.clone() };
        let state = State::new(me, settings, self.incarnations, self.now);
        let wake = Some(self.now);
        Node { state, name, zone, up: true, paused: false, ready: false, wake, backlog: Vec::new() }
    }

    /// Replaces a process by a new one on the same VM, without its state.
    pub fn restart(&mut self, index: usize) {
        self.queue.retain(|(node, _)| *node != index);
        self.table.delayed.retain(|(node, ..)| *node != index);
        self.nodes[index] = self.start(index);
    }

    /// Adds engines of a group to the VM list.
    pub fn add_engines(&mut self, group: &str, zones: &[&str]) {
        for zone in zones {
            let index = self.vms.len();
            let name = Name::from(format!("engine-{index}"));
            self.vms.push(vm(&name, zone, 8_000 + index as u16, Role::Backend(group.into())));
            self.reports.insert(name.clone(), report(&name));
        }
    }

    /// Sends an operator's query to a node; the answer is added to `answers`.
    pub fn ask(&mut self, node: usize, query: Query) -> u64 {
        self.queries += 1;
        let ask = id::Ask { by: Incarnation(0), seq: self.queries };
        self.event(node, Event::QueryReceived { ask, query: Box::new(query) });
        self.queries
    }

    /// Applies a document at a node.
    pub fn apply(&mut self, node: usize, document: Document, base: Option<u64>) -> u64 {
        let apply = Apply { document, base, who: "op".into(), note: "test".into(), dry_run: false };
        self.ask(node, Query::Apply(Box::new(apply)))
    }

    /// The answer to a query.
    pub fn answer(&self, ask: u64) -> Option<&Answer> {
        self.answers.get(&ask)
    }

    /// The version created by an apply query, if it was accepted.
    pub fn version(&self, ask: u64) -> Option<u64> {
        match self.answer(ask) {
            Some(Answer::Applied(applied)) => Some(applied.version),
            _ => None,
        }
    }

    /// The refusal of a query.
    pub fn refusal(&self, ask: u64) -> Option<&Refusal> {
        match self.answer(ask) {
            Some(Answer::Error(refusal)) => Some(refusal),
            _ => None,
        }
    }

    /// The configuration version in force at a node.
    pub fn in_force(&mut self, node: usize) -> u64 {
        self.status(node).config
    }

    pub fn status(&mut self, node: usize) -> Status {
        let ask = self.ask(node, Query::Status);
        self.run();
        match self.answer(ask) {
            Some(Answer::Status(status)) => (**status).clone(),
            other => panic!("no status: {other:?}"),
        }
    }

    /// Queues an event for a node.
    pub fn event(&mut self, node: usize, event: Event) {
        self.queue.push_back((node, event));
    }

    /// Handles all queued events without advancing the time.
    pub fn run(&mut self) {
        loop {
            if self.table.mode == Mode::Up
                && let Some((node, op, call)) = self.table.delayed.pop_front()
            {
                let reply = Ok(self.table.store.call(&call));
                self.queue.push_back((node, Event::TableAnswered { op, reply }));
            }
            let Some((node, event)) = self.queue.pop_front() else {
                return;
            };
            if !self.nodes[node].up {
                continue;
            }
            if self.nodes[node].paused {
                self.nodes[node].backlog.push(event);
                continue;
            }
            let effects = apply(&mut self.nodes[node].state, self.now, event);
            for effect in effects {
                self.carry_out(node, effect);
            }
        }
    }

    /// Resumes a paused node, which then handles the events that it received in the meantime.
    pub fn resume(&mut self, node: usize) {
        self.nodes[node].paused = false;
        let backlog = std::mem::take(&mut self.nodes[node].backlog);
        self.queue.extend(backlog.into_iter().map(|event| (node, event)));
        self.run();
    }

    /// Advances the time, firing timers in their order.
    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            self.run();
            let active = self.nodes.iter().enumerate().filter(|(_, node)| node.up && !node.paused);
            let next = active.filter_map(|(index, node)| Some((node.wake?, index))).min();
            let Some((wake, node)) = next.filter(|(wake, _)| *wake <= end) else {
                break;
            };
            self.now = self.now.max(wake);
            self.nodes[node].wake = None;
            self.event(node, Event::Wake);
        }
        self.now = end;
    }

    /// Advances the time until a condition holds, and returns how long that took; panics after `limit`.
    pub fn advance_until(
        &mut self,
        limit: Duration,
        what: &str,
        mut condition: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        const STEP: Duration = Duration::from_millis(50);
        let started_at = self.now;
        loop {
            self.run();
            if condition(self) {
                return self.now.since(started_at);
            }
            assert!(self.now.since(started_at) < limit, "{what}: not within {limit:?}");
            self.advance(STEP);
        }
    }

    /// Starts a new entry VM in a zone; `listed` tells whether the VM list shows it.
    pub fn join(&mut self, zone: &str, listed: bool) -> usize {
        let index = self.nodes.len();
        let vm = vm(&Name::from(format!("entry-{index}")), zone, 7_000 + index as u16, Role::Entry);
        let listed_vms = self.vms.clone();
        self.vms.insert(index, vm);
        let node = self.start(index);
        self.nodes.push(node);
        if !listed {
            self.vms = listed_vms;
        }
        index
    }

    /// Cuts two zones off from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.into(), b.into()));
        self.cuts.insert((b.into(), a.into()));
    }

    fn carry_out(&mut self, node: usize, effect: Effect) {
        match effect {
            Effect::Table { op, call } => self.table_call(node, op, call),
            Effect::SendFrame { peer, frame, .. } => self.deliver(node, &peer, *frame),
            Effect::ListVms if self.isolated.contains(&node) => self.event(node, Event::VmListFailed),
            Effect::ListVms => self.event(node, Event::VmsListed(self.vms.clone())),
            Effect::Poll { engine, .. } => self.poll(node, engine),
            Effect::Answer { ask, answer } => {
                self.answers.insert(ask.seq, *answer);
            }
            Effect::Ready(ready) => self.nodes[node].ready = ready,
            Effect::WakeAt(time) => self.nodes[node].wake = Some(time),
            other => self.other_effects.push((node, other)),
        }
    }

    fn table_call(&mut self, node: usize, op: id::Op, call: Call) {
        self.table.calls += 1;
        let mode = if self.isolated.contains(&node) { Mode::Down } else { self.table.mode };
        let reply = match mode {
            Mode::Up => Ok(self.table.store.call(&call)),
            Mode::Down => Err(Failure::Unavailable),
            Mode::RequestsLost => Err(Failure::Unknown),
            Mode::AnswersLost => {
                self.table.store.call(&call);
                Err(Failure::Unknown)
            }
            Mode::Delayed => return self.table.delayed.push_back((node, op, call)),
        };
        self.event(node, Event::TableAnswered { op, reply });
    }

    fn poll(&mut self, node: usize, engine: Name) {
        self.polls.push((node, engine.clone()));
        let Some(report) = self.reports.get_mut(&engine) else {
            return self.event(node, Event::ReportFailed(engine));
        };
        report.seq += 1;
        let report = Box::new(report.clone());
        self.event(node, Event::ReportReceived(report));
    }

    fn deliver(&mut self, from: usize, peer: &Name, frame: Frame) {
        self.frames.push((from, frame.clone(), peer.clone()));
        let Some(to) = self.nodes.iter().position(|node| node.name == *peer) else {
            return;
        };
        let pair = (self.nodes[from].zone.clone(), self.nodes[to].zone.clone());
        let reachable = self.nodes[to].up && !self.cuts.contains(&pair);
        if reachable && self.not_receiving.contains(&to) {
            return;
        }
        if reachable {
            self.event(to, Event::FrameReceived(Box::new(frame)));
        } else {
            self.event(from, Event::FrameFailed { peer: peer.clone() });
        }
    }
}

fn vm(name: &Name, zone: &str, port: u16, role: Role) -> Vm {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    Vm { name: name.clone(), zone: zone.into(), address, role, phase: Phase::Live }
}

/// The report of an engine without copies.
fn report(name: &Name) -> Report {
    Report {
        engine: name.clone(),
        incarnation: Incarnation(7),
        seq: 0,
        fence: Fence(0),
        role: EngineRole::Both,
        memory_mb: 24_000,
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        copies: Vec::new(),
        ended: Vec::new(),
        draining: false,
    }
}

/// The group that the documents of these tests use.
pub const GROUP: &str = "brief-writer";

/// A document with models of the given sizes in MB, for engines of 24,000 MB.
pub fn document(sizes: &[u64]) -> Document {
    let group =
        Group { name: GROUP.into(), kind: Kind::Engine, memory_mb: 24_000, slots: 8, checks_fences: true };
    let model = |(index, size): (usize, &u64)| Model {
        name: Name::from(format!("model-{index}")),
        group: GROUP.into(),
        versions: vec![ModelVersion { name: "1".into(), memory_mb: *size }],
        adapters: Vec::new(),
    };
    let models = sizes.iter().enumerate().map(model).collect();
    Document {
        inventory: Inventory { groups: vec![group], models, services: Vec::new() },
        ..Document::default()
    }
}

/// A ready copy of a model from [`document`].
pub fn copy(model: &str) -> Copy {
    let artifact = Artifact { model: model.into(), adapter: None, version: "1".into() };
    Copy { artifact, memory_mb: 1_000, stage: Stage::Ready, requests: 0 }
}
