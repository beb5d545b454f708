//! The reducer of one entry VM with a simulated clock, for the tests of requests.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::attempt::{Failure, Refusal, Send};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::config::{Document, Head};
use boragecove_core::effect::Effect;
use boragecove_core::end::End;
use boragecove_core::engine::{Copy, Fence, Report, Role as EngineRole, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Attempt, Incarnation};
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Service, Version};
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::rules::{Caller, Priority, Rules};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::table::{Call, Key, Reply, Row, Value, Version as RowVersion};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};

pub const ME: Incarnation = Incarnation(1);
pub const SLOTS: u32 = 4;

/// Properties of a request that differ between tests.
#[derive(Clone, Debug)]
pub struct Ask {
    pub caller: Option<&'static str>,
    pub service: bool,
    pub idempotent: Option<bool>,
    pub key: Option<&'static str>,
    pub digest: &'static str,
    pub priority: Option<Priority>,
    pub patience: Duration,
    pub stream: bool,
    pub prefix: Vec<u64>,
    pub hops: u8,
}

impl Default for Ask {
    fn default() -> Self {
        Self {
            caller: None,
            service: false,
            idempotent: None,
            key: None,
            digest: "digest",
            priority: None,
            patience: Duration::from_mins(1),
            stream: true,
            prefix: Vec::new(),
            hops: 0,
        }
    }
}

pub struct Entry {
    pub state: State,
    pub now: Time,
    pub log: Vec<Effect>,
    requests: u64,
    reports: u64,
    document: Document,
    vms: Vec<Vm>,
}

pub fn artifact() -> Artifact {
    Artifact { model: "briefing".into(), adapter: None, version: "1".into() }
}

pub fn caller(name: &str, priority: Priority, weight: u32) -> Caller {
    Caller {
        name: name.into(),
        token_sha256: name.into(),
        priority,
        weight,
        open_limit: None,
        reach: Vec::new(),
    }
}

pub fn vm(name: &str, zone: &str, role: Role) -> Vm {
    let port = name.bytes().fold(1_000, |port: u16, byte| port.wrapping_mul(31).wrapping_add(byte.into()));
    Vm {
        name: name.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], port).into(),
        role,
        phase: Phase::Live,
    }
}

fn document(callers: Vec<Caller>) -> Document {
    let group = |name: &str, kind| Group {
        name: name.into(),
        kind,
        memory_mb: 24_000,
        slots: SLOTS,
        checks_fences: true,
    };
    let model = Model {
        name: "briefing".into(),
        group: "writers".into(),
        versions: vec![Version { name: "1".into(), memory_mb: 9_000 }],
        adapters: Vec::new(),
    };
    let service = Service { name: "alerts".into(), group: "gates".into(), idempotent: false };
    Document {
        inventory: Inventory {
            groups: vec![group("writers", Kind::Engine), group("gates", Kind::Service)],
            models: vec![model],
            services: vec![service],
        },
        rules: Rules { callers, ..Rules::default() },
    }
}

impl Entry {
    /// An entry VM with `engines` that hold the model and `gates` that run the service.
    pub fn new(settings: Settings, callers: Vec<Caller>, engines: &[&str], gates: &[&str]) -> Self {
        let me = Identity { vm: "entry-1".into(), zone: "hall-a".into(), incarnation: ME };
        let now = Time::from_millis(1_000_000);
        let state = State::new(me, settings, 7, now);
        let mut vms: Vec<Vm> =
            engines.iter().map(|name| vm(name, "hall-a", Role::Backend("writers".into()))).collect();
        vms.extend(gates.iter().map(|name| vm(name, "hall-a", Role::Backend("gates".into()))));
        let mut entry =
            Self { state, now, log: Vec::new(), requests: 0, reports: 0, document: document(callers), vms };
        entry.list();
        for engine in engines {
            entry.report(engine, 0, true);
        }
        entry.log.clear();
        entry
    }

    pub fn list(&mut self) {
        let vms = self.vms.clone();
        self.event(Event::VmsListed(vms));
    }

    pub fn add(&mut self, vm: Vm) {
        self.vms.push(vm);
        self.list();
    }

    pub fn remove(&mut self, name: &str) {
        self.vms.retain(|vm| vm.name != *name);
        self.list();
    }

    /// Applies an event. Reads of the configuration are answered at once; all other effects are returned.
    pub fn event(&mut self, event: Event) -> Vec<Effect> {
        let effects = apply(&mut self.state, self.now, event);
        let mut all = Vec::new();
        for effect in effects {
            match &effect {
                Effect::Table { op, call: Call::Get(keys) } if keys == &[Key::Config] => {
                    let head = Head {
                        version: 1,
                        op: id::Op { by: ME, seq: 0 },
                        document: self.document.clone().into(),
                    };
                    let value = Value::Config(Box::new(head));
                    let row = Row { key: Key::Config, version: RowVersion(1), value };
                    let reply = Event::TableAnswered { op: *op, reply: Ok(Reply::Rows(vec![row])) };
                    all.extend(self.event(reply));
                }
                _ => {
                    self.log.push(effect.clone());
                    all.push(effect);
                }
            }
        }
        all
    }

    /// Advances the clock in steps of 10 ms and wakes the reducer after each.
    pub fn advance(&mut self, time: Duration) -> Vec<Effect> {
        let until = self.now + time;
        let step = Duration::from_millis(10);
        let mut all = Vec::new();
        while self.now < until {
            self.now = (self.now + step).min(until);
            all.extend(self.event(Event::Wake));
        }
        all
    }

    pub fn report(&mut self, engine: &str, running: u32, ready: bool) -> Vec<Effect> {
        self.report_as(engine, Incarnation(9), running, ready)
    }

    pub fn report_as(&mut self, engine: &str, life: Incarnation, running: u32, ready: bool) -> Vec<Effect> {
        self.reports += 1;
        let stage = if ready { Stage::Ready } else { Stage::Loading };
        let copy = Copy { artifact: artifact(), memory_mb: 9_000, stage, requests: running };
        self.event(Event::ReportReceived(Box::new(Report {
            engine: engine.into(),
            incarnation: life,
            seq: self.reports,
            fence: Fence(0),
            role: EngineRole::Both,
            memory_mb: 24_000,
            running,
            waiting: 0,
            tokens_per_second: 0,
            copies: vec![copy],
            ended: Vec::new(),
            draining: false,
        })))
    }

    /// The id that the next request will have.
    pub const fn next(&self) -> id::Request {
        id::Request { by: ME, seq: self.requests + 1 }
    }

    pub fn ask(&mut self, ask: Ask) -> (id::Request, Vec<Effect>) {
        self.requests += 1;
        let id = id::Request { by: ME, seq: self.requests };
        let model = Subject::Model("briefing".parse().expect("a target"));
        let arrival = Arrival {
            id,
            token_sha256: ask.caller.map(Into::into),
            subject: if ask.service { Subject::Service("alerts".into()) } else { model },
            idempotent: ask.idempotent,
            key: ask.key.map(Into::into),
            digest: ask.digest.into(),
            priority: ask.priority,
            deadline: self.now + ask.patience,
            stream: ask.stream && !ask.service,
            prefix: ask.prefix,
            bytes: 100,
            max_tokens: 64,
            hops: ask.hops,
        };
        let effects = self.event(Event::Arrive(Box::new(arrival)));
        (id, effects)
    }

    pub fn head(&mut self, attempt: Attempt) {
        self.event(Event::Head { attempt, echo: Some(attempt) });
    }

    pub fn chunk(&mut self, attempt: Attempt, offset: u64) -> Vec<Effect> {
        self.event(Event::Chunk { attempt, offset })
    }

    pub fn finish(&mut self, attempt: Attempt, length: u64) -> Vec<Effect> {
        self.event(Event::Finished { attempt, length })
    }

    /// Answers an attempt with a complete stream of no events.
    pub fn answer(&mut self, attempt: Attempt) -> Vec<Effect> {
        self.head(attempt);
        self.finish(attempt, 0)
    }

    pub fn fail(&mut self, attempt: Attempt, failure: Failure) -> Vec<Effect> {
        self.event(Event::Failed { attempt, failure })
    }

    pub fn refuse(&mut self, attempt: Attempt, refusal: Refusal) -> Vec<Effect> {
        self.fail(attempt, Failure::Refused(refusal))
    }

    /// All attempts sent so far.
    pub fn sent(&self) -> Vec<Send> {
        sends(&self.log)
    }

    /// End of a request, if it has ended.
    pub fn ended(&self, request: id::Request) -> Option<End> {
        end(&self.log, request)
    }
}

pub fn sends(effects: &[Effect]) -> Vec<Send> {
    let sends = effects.iter().filter_map(|effect| match effect {
        Effect::Send(send) => Some((**send).clone()),
        _ => None,
    });
    sends.collect()
}

/// The single attempt that the effects send.
pub fn sent(effects: &[Effect]) -> Send {
    let sends = sends(effects);
    assert_eq!(sends.len(), 1, "one attempt is sent: {effects:?}");
    sends.into_iter().next().expect("counted")
}

pub fn end(effects: &[Effect], request: id::Request) -> Option<End> {
    let mut ends = effects.iter().filter_map(|effect| match effect {
        Effect::End { request: ended, end } if *ended == request => Some(end.clone()),
        _ => None,
    });
    let end = ends.next();
    assert!(ends.next().is_none(), "a request ends once");
    end
}

/// Code and outcome with which the effects end a request.
pub fn outcome(effects: &[Effect], request: id::Request) -> Option<(Code, Outcome)> {
    end(effects, request).map(|end| (end.code(), end.outcome()))
}
