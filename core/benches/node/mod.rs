//! The reducer of an entry VM with a fleet of engines, for benchmarks.
#![allow(dead_code, reason = "each benchmark uses only a part of this module")]

use std::time::Duration;

use boragecove_core::artifact::{Artifact, Target};
use boragecove_core::config::{Document, Head};
use boragecove_core::effect::Effect;
use boragecove_core::engine::{Copy, Fence, Report, Role as EngineRole, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Attempt, Incarnation};
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version};
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::table::{Reply, Row, Value, Version as RowVersion};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};

const ME: Incarnation = Incarnation(1);

/// Id of the request with this number.
pub fn request(number: u64) -> id::Request {
    id::Request { by: ME, seq: number + 1 }
}

/// A reducer with the state needed to create its events.
pub struct Node {
    state: State,
    now: Time,
    requests: u64,
    reports: u64,
    artifacts: usize,
    held: usize,
    slots: u32,
}

fn model(number: usize) -> Model {
    Model {
        name: format!("model-{number}").into(),
        group: "engines".into(),
        versions: vec![Version { name: "1".into(), memory_mb: 1_000 }],
        adapters: Vec::new(),
    }
}

impl Node {
    /// Creates an entry VM with reports of all engines.
    pub fn new(engines: usize, artifacts: usize, held: usize, slots: u32) -> Self {
        Self::with_room(engines, artifacts, held, slots, Settings::default().open_max)
    }

    /// Creates an entry VM that accepts up to `open_max` open requests.
    pub fn with_room(engines: usize, artifacts: usize, held: usize, slots: u32, open_max: u32) -> Self {
        let me = Identity { vm: "entry-1".into(), zone: "hall-a".into(), incarnation: ME };
        let now = Time::from_millis(1_000_000);
        let settings = Settings {
            list_every: Duration::from_hours(1),
            poll_every: Duration::from_hours(1),
            open_max,
            idle: Duration::from_mins(1),
            ..Settings::default()
        };
        let state = State::new(me, settings, 1, now);
        let mut node = Self { state, now, requests: 0, reports: 0, artifacts, held, slots };
        let group = Group {
            name: "engines".into(),
            kind: Kind::Engine,
            memory_mb: 24_000,
            slots,
            checks_fences: true,
        };
        let models = (0..artifacts).map(model).collect();
        let inventory = Inventory { groups: vec![group], models, services: Vec::new() };
        let document = Document { inventory, ..Document::default() };
        let vms = (0..engines).map(|engine| Vm {
            name: format!("engine-{engine}").into(),
            zone: "hall-a".into(),
            address: ([127, 0, 0, 1], 9_000).into(),
            role: Role::Backend("engines".into()),
            phase: Phase::Live,
        });
        node.configured(document, vms.collect());
        for engine in 0..engines {
            node.report(engine);
        }
        node
    }

    fn configured(&mut self, document: Document, vms: Vec<Vm>) {
        let head = Head { version: 1, op: id::Op { by: ME, seq: 0 }, document: document.into() };
        for effect in apply(&mut self.state, self.now, Event::VmsListed(vms)) {
            let Effect::Table { op, call } = effect else {
                continue;
            };
            if call != boragecove_core::table::Call::Get(vec![boragecove_core::table::Key::Config]) {
                continue;
            }
            let value = Value::Config(Box::new(head.clone()));
            let row = Row { key: boragecove_core::table::Key::Config, version: RowVersion(1), value };
            let _effects = apply(
                &mut self.state,
                self.now,
                Event::TableAnswered { op, reply: Ok(Reply::Rows(vec![row])) },
            );
        }
    }

    /// Applies a report of an engine. Returns the number of effects.
    pub fn report(&mut self, engine: usize) -> usize {
        let report = self.reported(engine, self.slots / 2);
        self.apply(self.now, report).len()
    }

    /// Applies an event.
    pub fn apply(&mut self, now: Time, event: Event) -> Vec<Effect> {
        self.now = self.now.max(now);
        apply(&mut self.state, self.now, event)
    }

    /// Report of an engine with `running` requests.
    pub fn reported(&mut self, engine: usize, running: u32) -> Event {
        self.reports += 1;
        let first = engine * self.held;
        let copies = (first..first + self.held).map(|number| Copy {
            artifact: Artifact {
                model: format!("model-{}", number % self.artifacts).into(),
                adapter: None,
                version: "1".into(),
            },
            memory_mb: 1_000,
            stage: Stage::Ready,
            requests: 0,
        });
        Event::ReportReceived(Box::new(Report {
            engine: format!("engine-{engine}").into(),
            incarnation: Incarnation(9),
            seq: self.reports,
            fence: Fence(0),
            role: EngineRole::Both,
            memory_mb: 24_000,
            running,
            waiting: 0,
            tokens_per_second: 0,
            copies: copies.collect(),
            ended: Vec::new(),
            draining: false,
        }))
    }

    /// Arrival of a request.
    pub fn arrival(
        &self,
        number: u64,
        artifact: usize,
        prefix: Vec<u64>,
        tokens: u64,
        patience: Duration,
        now: Time,
    ) -> Event {
        let target = Target {
            model: format!("model-{}", artifact % self.artifacts).into(),
            adapter: None,
            version: None,
        };
        Event::Arrive(Box::new(Arrival {
            id: request(number),
            token_sha256: None,
            subject: Subject::Model(target),
            idempotent: None,
            key: None,
            digest: "digest".into(),
            priority: None,
            deadline: now + patience,
            stream: true,
            prefix,
            bytes: 4_096,
            max_tokens: tokens as u32,
            hops: 0,
        }))
    }

    /// Arrival of a request with an idempotency key of its own.
    pub fn keyed(&self, number: u64, patience: Duration, now: Time) -> Event {
        let mut event = self.arrival(number, number as usize, Vec::new(), 64, patience, now);
        if let Event::Arrive(arrival) = &mut event {
            arrival.key = Some(format!("key-{number}").into());
        }
        event
    }

    /// Applies the arrival of a request. Returns the attempt that is sent, if any.
    pub fn arrive(&mut self, artifact: usize, prefix: Vec<u64>) -> Option<Attempt> {
        self.requests += 1;
        let now = self.now + Duration::from_micros(10);
        let arrival = self.arrival(self.requests, artifact, prefix, 64, Duration::from_secs(30), now);
        let effects = self.apply(now, arrival);
        effects.iter().find_map(|effect| match effect {
            Effect::Send(send) => Some(send.attempt),
            _ => None,
        })
    }

    /// Runs a request with a streamed answer of one event from its arrival to its end. Returns whether it
    /// was sent.
    pub fn request(&mut self, artifact: usize) -> bool {
        let Some(attempt) = self.arrive(artifact, Vec::new()) else {
            return false;
        };
        let events = [
            Event::Head { attempt, echo: Some(attempt) },
            Event::Chunk { attempt, offset: 0 },
            Event::Finished { attempt, length: 1 },
        ];
        let mut effects = 0;
        for event in events {
            effects += apply(&mut self.state, self.now, event).len();
        }
        effects > 0
    }
}
