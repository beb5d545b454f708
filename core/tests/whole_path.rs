//! One request through one reducer, from the declaration of its model to the end of its stream, with a load
//! on demand.

use boragecove_core::artifact::Artifact;
use boragecove_core::code::{Code, Outcome};
use boragecove_core::config::{Document, Head};
use boragecove_core::effect::Effect;
use boragecove_core::engine::{Action, Copy, Ended, Fence, Report, Role as EngineRole, Stage};
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::inventory::{Group, Inventory, Kind, Model, Version};
use boragecove_core::request::{Arrival, Subject};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::table::{Call, Key, Reply, Row, Value, Version as RowVersion};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};

const ME: Incarnation = Incarnation(1);

fn document() -> Document {
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
        versions: vec![Version { name: "1".into(), memory_mb: 9_000 }],
        adapters: Vec::new(),
    };
    Document {
        inventory: Inventory { groups: vec![group], models: vec![model], services: Vec::new() },
        ..Document::default()
    }
}

fn artifact() -> Artifact {
    Artifact { model: "briefing".into(), adapter: None, version: "1".into() }
}

fn report(seq: u64, fence: Fence, copies: Vec<Copy>, ended: Vec<Ended>) -> Event {
    Event::ReportReceived(Box::new(Report {
        engine: "engine-1".into(),
        incarnation: Incarnation(9),
        seq,
        fence,
        role: EngineRole::Both,
        memory_mb: 24_000,
        running: 0,
        waiting: 0,
        tokens_per_second: 0,
        copies,
        ended,
        draining: false,
    }))
}

/// Answers the reducer's calls of the table from an in-memory table until there are none left. Returns the
/// other effects.
fn settle(state: &mut State, now: Time, rows: &mut Vec<Row>, effects: Vec<Effect>) -> Vec<Effect> {
    let mut rest = Vec::new();
    let mut pending = effects;
    while let Some(effect) = pending.pop() {
        let Effect::Table { op, call } = effect else {
            rest.push(effect);
            continue;
        };
        let reply = match call {
            Call::Get(keys) => {
                Reply::Rows(rows.iter().filter(|row| keys.contains(&row.key)).cloned().collect())
            }
            Call::List(_) => Reply::Rows(Vec::new()),
            Call::Commit(writes) | Call::Each(writes) => {
                for write in writes {
                    rows.retain(|row| row.key != write.key);
                    let version = RowVersion(write.expect.0 + 1);
                    rows.extend(write.value.map(|value| Row { key: write.key, version, value }));
                }
                Reply::Committed
            }
        };
        pending.extend(apply(state, now, Event::TableAnswered { op, reply: Ok(reply) }));
    }
    rest
}

#[test]
fn loaded_on_demand() {
    let me = Identity { vm: "entry-1".into(), zone: "hall-a".into(), incarnation: ME };
    let mut now = Time::from_millis(1_000);
    let mut state = State::new(me, Settings::default(), 1, now);
    let head = Head { version: 1, op: id::Op { by: ME, seq: 0 }, document: document().into() };
    let mut rows =
        vec![Row { key: Key::Config, version: RowVersion(1), value: Value::Config(Box::new(head)) }];

    let vm = Vm {
        name: "engine-1".into(),
        zone: "hall-a".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        role: Role::Backend("brief-writer".into()),
        phase: Phase::Live,
    };
    let effects = apply(&mut state, now, Event::VmsListed(vec![vm]));
    let effects = settle(&mut state, now, &mut rows, effects);
    assert!(effects.contains(&Effect::Ready(true)), "{effects:?}");
    let _polls = apply(&mut state, now, report(1, Fence(0), Vec::new(), Vec::new()));

    let request = id::Request { by: ME, seq: 1 };
    let arrival = Arrival {
        id: request,
        token_sha256: None,
        subject: Subject::Model("briefing".parse().expect("a target")),
        idempotent: None,
        key: None,
        digest: "d".into(),
        priority: None,
        deadline: now + std::time::Duration::from_secs(30),
        stream: true,
        prefix: Vec::new(),
        bytes: 100,
        max_tokens: 2,
        hops: 0,
    };
    let effects = apply(&mut state, now, Event::Arrive(Box::new(arrival)));
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Send(_))), "the model is not loaded yet");

    let mut order = None;
    let mut raised = None;
    for _ in 0..20 {
        now = now + std::time::Duration::from_millis(500);
        let effects = apply(&mut state, now, Event::Wake);
        for effect in settle(&mut state, now, &mut rows, effects) {
            let Effect::Order { order: sent, .. } = effect else {
                continue;
            };
            match &sent.action {
                Action::Raise => raised = Some(sent.fence),
                Action::Load { artifact: loaded, .. } => {
                    assert_eq!((raised, loaded), (Some(Fence(1)), &artifact()));
                    order = Some(sent.id);
                }
                other => panic!("unexpected order: {other:?}"),
            }
        }
        if let Some(fence) = raised {
            let _polls = apply(&mut state, now, report(2, fence, Vec::new(), Vec::new()));
        }
    }
    let order = order.expect("the model is loaded on demand");

    let copy = Copy { artifact: artifact(), memory_mb: 9_000, stage: Stage::Ready, requests: 0 };
    let effects = apply(&mut state, now, report(3, Fence(1), vec![copy], vec![Ended { order, done: true }]));
    let attempt = effects
        .iter()
        .find_map(|effect| match effect {
            Effect::Send(send) => Some(send.attempt),
            _ => None,
        })
        .expect("the waiting request is sent");

    let _none = apply(&mut state, now, Event::Head { attempt, echo: Some(attempt) });
    for offset in 0..2 {
        let effects = apply(&mut state, now, Event::Chunk { attempt, offset });
        assert!(effects.contains(&Effect::Deliver { attempt, offset }));
    }
    let effects = apply(&mut state, now, Event::Finished { attempt, length: 2 });
    let end = effects
        .iter()
        .find_map(|effect| match effect {
            Effect::End { request: ended, end } if *ended == request => Some(end),
            _ => None,
        })
        .expect("the request ends");
    assert_eq!((end.code(), end.outcome(), end.attempt()), (Code::Ok, Outcome::Answered, Some(attempt)));
}
