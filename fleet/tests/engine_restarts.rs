//! An engine that restarts under the same id has lost its models and its order sequence.

mod engine;
mod node;

use std::sync::Arc;

use arbtest::arbtest;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::config::Service;
use boragecove_fleet::effect::{Dispatch, Effect};
use boragecove_fleet::engine::Port;
use boragecove_fleet::engine::{Entry, Held, Incarnation, Residency};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Position, Reply, Resident};
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::order::{Order, Receipt, Report};
use boragecove_fleet::record::Record;
use boragecove_fleet::request::Step;
use engine::Engine;
use node::{Node, WRITER, entry, listing, millis, orders, row, short_stream, streamed};

fn started(id: &str, at: u64, models: &[&str]) -> Entry {
    Entry { incarnation: Incarnation(Some(at)), ..entry(id, WRITER, "zone-a", models) }
}

fn engine_of(node: &mut Node, model: &str) -> Option<Name> {
    let id = node.arrive(short_stream(model));
    match node.step(id) {
        Some(Step::Send(attempt)) => Some(attempt.engine),
        _ => None,
    }
}

/// The hub's data on the models of an engine's earlier start is not applied to the new start.
#[test]
fn residency_of_earlier_start_is_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, started("w1", 100, &["m0", "m1"]))], 9, false));
    let residency = Residency::from_held(&started("w1", 100, &["m0", "m3"]).held);
    let reply = |incarnation| Reply {
        leads: true,
        residency_version: Position { term: 3, version: 8 },
        residencies: vec![Resident { engine: "w1".into(), incarnation, residency: residency.clone() }],
        ..Reply::default()
    };
    node.feed(Event::Replied(Some(Box::new(reply(Incarnation(Some(100)))))));
    assert_eq!(engine_of(&mut node, "m3").as_deref(), Some("w1"));
    node.feed(listing(vec![row(12, started("w1", 700, &[]))], 12, false));
    let restarted =
        |effect: &Effect| matches!(effect, Effect::Record(Record::Engine { state: "restarted", .. }));
    assert!(node.effects.iter().any(restarted), "{:?}", node.effects);
    assert_eq!(engine_of(&mut node, "m3"), None);
    node.feed(Event::Replied(Some(Box::new(reply(Incarnation(Some(100)))))));
    assert_eq!(engine_of(&mut node, "m3"), None, "the hub does not know of the new start yet");
    node.feed(Event::Replied(Some(Box::new(reply(Incarnation(Some(700)))))));
    assert_eq!(engine_of(&mut node, "m3").as_deref(), Some("w1"));
}

/// Guards against losing what the hub reports about an engine, or a start of it, whose row has not arrived yet: the hub reports it again only
/// when it changes.
#[test]
fn residency_before_row_is_kept() {
    for id in ["w1", "w9"] {
        let mut node = Node::ready("a");
        node.feed(listing(vec![row(9, started("w1", 100, &["m0"]))], 9, false));
        let residency = Residency::from_held(&started(id, 700, &["m3"]).held);
        let reply = |number, at| Reply {
            leads: true,
            residency_version: Position { term: 3, version: number },
            residencies: vec![Resident {
                engine: id.into(),
                incarnation: Incarnation(Some(at)),
                residency: residency.clone(),
            }],
            ..Reply::default()
        };
        node.feed(Event::Replied(Some(Box::new(reply(8, 700)))));
        node.feed(listing(vec![row(12, started(id, 700, &[]))], 12, false));
        assert_eq!(engine_of(&mut node, "m3").as_deref(), Some(id));
        // Data on a start that has ended by the time of the row is dropped.
        node.feed(Event::Replied(Some(Box::new(reply(9, 800)))));
        node.feed(listing(vec![row(13, started(id, 900, &[]))], 13, false));
        assert_eq!(engine_of(&mut node, "m3"), None);
    }
}

/// An entry written late by an earlier start does not replace the entry of the newest start.
#[test]
fn late_entry_is_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, started("w1", 700, &["m1"]))], 9, false));
    node.feed(listing(vec![row(10, started("w1", 100, &["m3"]))], 10, false));
    assert_eq!(engine_of(&mut node, "m3"), None);
    assert_eq!(engine_of(&mut node, "m1").as_deref(), Some("w1"));
}

/// A restart ends the suspicion of an engine.
#[test]
fn restart_ends_suspicion() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, started("w1", 100, &["m1"]))], 9, false));
    node.feed(Event::Probed { engine: "w1".into(), reach: Port::Silent });
    assert_eq!(engine_of(&mut node, "m1"), None);
    node.feed(listing(vec![row(10, started("w1", 700, &["m1"]))], 10, false));
    assert_eq!(engine_of(&mut node, "m1").as_deref(), Some("w1"));
}

/// Random orders to engines that restart under their ids, lose answers and execute orders seconds late, including those for an earlier
/// start. Their entries and reports arrive late. The fake engine asserts that it is never overfilled.
#[test]
fn never_overfilled_after_restarts() {
    arbtest(|u| {
        let mut node = Node::ready("a");
        node.feed(listing(vec![row(9, started("w1", 100, &["m0", "m1"]))], 9, false));
        node.feed(listing(vec![row(10, started("w2", 100, &["m0", "m2"]))], 10, false));
        node.lead();
        let mut engines = [("w1", ["m0", "m1"]), ("w2", ["m0", "m2"])].map(|(id, models)| Engine {
            id: id.into(),
            incarnation: Incarnation(Some(100)),
            models: models.map(|name| (Name::from(name), Vec::new())).to_vec(),
            ..Engine::default()
        });
        let mut reports: Vec<(Time, Name, Report)> = Vec::new();
        let mut entries: Vec<(Time, Entry)> = Vec::new();
        let mut version = 10;
        for step in 0..500 {
            node.now = node.now + millis(20);
            let lease = node.now.as_millis() - node::START_MS;
            // Demand shifts between models, so that models are loaded and dropped continuously.
            let model = format!("m{}", (step / 40 + u.int_in_range(0..=1)?) % 4);
            let model = model.as_str();
            let adapter = *u.choose(&[None, None, Some("a1"), Some("a2"), Some("a3"), Some("a4")])?;
            node.arrive(streamed("/brief/1", model, adapter));
            let mut effects = std::mem::take(&mut node.effects);
            effects.extend(node.feed(Event::Wake).to_vec());
            for engine in &mut engines {
                engine.tick(node.now);
                if u.int_in_range(0..=99)? == 0 {
                    engine.restart(node.now);
                    entries.push((node.now + millis(u.int_in_range(0..=500)?), engine.entry()));
                }
            }
            let written: Vec<_> = entries.extract_if(.., |(at, _)| *at <= node.now).collect();
            for (_, entry) in written {
                version += 1;
                effects.extend(node.feed(listing(vec![row(version, entry)], version, false)).to_vec());
            }
            let due: Vec<_> = reports.extract_if(.., |(at, ..)| *at <= node.now).collect();
            for (_, engine, report) in due {
                effects.extend(node.feed(Event::Reported { engine, report: Some(report) }).to_vec());
            }
            while let Some(effect) = effects.pop() {
                match effect {
                    Effect::Lease(_) => {
                        effects.extend(node.lease(lease, Outcome::Written(200 + lease)).to_vec());
                    }
                    Effect::Report { engine, .. } => {
                        let asked = engines.iter().find(|known| known.id == engine).expect("known");
                        reports.push((node.now + millis(100), engine, asked.report()));
                    }
                    Effect::Order(dispatch) => {
                        let to =
                            engines.iter_mut().find(|engine| engine.id == dispatch.engine).expect("known");
                        let receipt = match u.int_in_range(0..=9)? {
                            0..=2 => {
                                let late = millis(u.int_in_range(100..=9_000)?);
                                to.late.push((node.now + late, (*dispatch).clone()));
                                None
                            }
                            3 => {
                                to.take(node.now, &dispatch);
                                None
                            }
                            _ => Some(to.take(node.now, &dispatch)),
                        };
                        let (engine, incarnation) = (dispatch.engine.clone(), dispatch.incarnation);
                        effects.extend(node.feed(Event::Ordered { engine, incarnation, receipt }).to_vec());
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })
    .budget_ms(3_000);
}

/// The answer to an order for the earlier start is not attributed to the new one.
#[test]
fn answer_for_earlier_start_is_ignored() {
    let mut node = Node::ready("a");
    node.feed(listing(vec![row(9, started("w1", 100, &["m0", "m1"]))], 9, false));
    node.lead();
    let sent = orders(&node.advance(millis(300)));
    let sent = sent.into_iter().find(|dispatch| *dispatch.engine == *"w1").expect("m2 or m3 comes to w1");
    let asked = node.feed(listing(vec![row(12, started("w1", 700, &[]))], 12, false));
    assert!(asked.iter().any(|effect| matches!(effect, Effect::Report { engine, .. } if **engine == *"w1")));
    let answer = Event::Ordered {
        engine: "w1".into(),
        incarnation: sent.incarnation,
        receipt: Some(Receipt::Accepted),
    };
    node.feed(answer);
    assert!(orders(&node.effects).is_empty(), "its order sequence is not known yet");
}

fn adapter_order(effects: &[Effect]) -> Option<Dispatch> {
    orders(effects).into_iter().find(|dispatch| matches!(dispatch.order, Order::LoadAdapter { .. }))
}

/// An unanswered order may still reach the engine's next start and be accepted once the sequence numbers match. Until that is ruled out, no
/// order is sent that would leave no room for it.
#[test]
fn room_is_kept_for_late_load() {
    let mut node = Node::bare("a");
    let mut config = node::config(1);
    let mut pool = node::pool();
    pool.models.truncate(2);
    config.services[0] = Arc::new(Service {
        name: WRITER.into(),
        connections_max: 100,
        pool: Some(pool),
        ..Service::default()
    });
    node.feed(Event::Configured(Arc::new(config)));
    node.feed(listing(vec![row(1, started("w1", 100, &["m0", "m1"]))], 1, true));
    node.lead();
    node.advance(millis(300));
    for (adapter, receipt) in [("a1", Some(Receipt::Accepted)), ("a2", Some(Receipt::Accepted)), ("a3", None)]
    {
        node.arrive(streamed("/brief/1", "m1", Some(adapter)));
        let mut sent = adapter_order(&node.effects);
        while let Some(dispatch) = sent {
            let (engine, incarnation) = (dispatch.engine, dispatch.incarnation);
            let effects = node.feed(Event::Ordered { engine, incarnation, receipt });
            sent = adapter_order(effects).filter(|_| receipt.is_none());
        }
    }
    node.feed(listing(vec![row(2, started("w1", 700, &[]))], 2, false));
    let held = |model: &str, adapters: &[&str]| Held {
        model: model.into(),
        adapters: adapters.iter().map(|name| (*name).into()).collect(),
    };
    let report = |sequence| Report {
        incarnation: Incarnation(Some(700)),
        sequence,
        busy: false,
        held: vec![held("m0", &[]), held("m1", &["a4", "a5"])],
        ..Report::default()
    };
    node.feed(Event::Reported { engine: "w1".into(), report: Some(report(1)) });
    node.arrive(streamed("/brief/1", "m1", Some("a6")));
    assert_eq!(
        adapter_order(&node.effects),
        None,
        "the late order for a3 may take the last slot once two orders were accepted"
    );
    let engine = Name::from("w1");
    node.feed(Event::Ordered { engine, incarnation: Incarnation(Some(700)), receipt: None });
    node.advance(millis(10));
    node.feed(Event::Reported { engine: "w1".into(), report: Some(report(2)) });
    node.arrive(streamed("/brief/1", "m1", Some("a7")));
    let sent = adapter_order(&node.effects).expect("whichever order arrives first invalidates the other");
    assert_eq!((sent.sequence, sent.incarnation), (2, Incarnation(Some(700))));
}
