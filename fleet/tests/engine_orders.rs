//! Orders never exceed an engine's limits, although answers are lost and orders are carried out late.

mod engine;
mod node;

use arbtest::arbtest;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::effect::{Dispatch, Effect};
use boragecove_fleet::engine::{Held, Incarnation};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Absent, Frame};
use boragecove_fleet::order::{Order, Receipt, Report};
use boragecove_fleet::request::Step;
use engine::Engine;
use node::{Node, WRITER, entry, listing, millis, model, orders, pool, row, short_stream, step_of, streamed};

#[test]
fn sequence_starts_at_zero() {
    let mut node = Node::ready("a");
    node.lead();
    let first = orders(&node.advance(millis(300)));
    let first = first.first().expect("m3 has no copy");
    assert_eq!(first.sequence, 0);
    assert!(matches!(&first.order, Order::Load { model } | Order::Unload { model } if !model.is_empty()));
}

#[test]
fn adapter_ordered_once() {
    let mut node = Node::ready("a");
    node.lead();
    node.advance(millis(300));
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    assert_eq!(orders(&node.effects).len(), 1);
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    assert_eq!(orders(&node.effects).len(), 0, "the adapter is being loaded");
}

#[test]
fn unanswered_order_is_resent() {
    let mut node = Node::ready("a");
    node.lead();
    node.advance(millis(300));
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    let first = orders(&node.effects).remove(0);
    let engine = first.engine.clone();
    node.feed(Event::Ordered { engine, incarnation: Incarnation::default(), receipt: None });
    assert_eq!(orders(&node.effects), [first], "the same order, for the same state of the engine");
}

#[test]
fn conflict_asks_the_engine() {
    let mut node = Node::ready("a");
    node.lead();
    node.advance(millis(300));
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    let engine = orders(&node.effects).remove(0).engine;
    node.feed(Event::Ordered {
        engine: engine.clone(),
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Conflict),
    });
    let asked = node
        .advance(millis(300))
        .iter()
        .any(|effect| matches!(effect, Effect::Report { engine: asked, .. } if *asked == engine));
    assert!(asked);
    let held = vec![Held { model: "m0".into(), adapters: vec!["a7".into()] }];
    let report = Report { sequence: 4, held, ..Report::default() };
    node.feed(Event::Reported { engine: engine.clone(), report: Some(report) });
    let id = node.arrive(streamed("/brief/1", "m0", Some("a7")));
    assert!(matches!(node.step(id), Some(Step::Send(attempt)) if attempt.engine == engine));
}

/// Guards against a process that ends because an engine states the largest number of accepted orders and accepts one more.
#[test]
fn sequence_at_its_end() {
    let mut node = Node::ready("a");
    node.lead();
    node.advance(millis(300));
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    let engine = orders(&node.effects).remove(0).engine;
    let answered = |receipt| Event::Ordered {
        engine: engine.clone(),
        incarnation: Incarnation::default(),
        receipt: Some(receipt),
    };
    node.feed(answered(Receipt::Conflict));
    node.advance(millis(300));
    let held = vec![Held { model: "m0".into(), adapters: Vec::new() }];
    let report = Report { sequence: u64::MAX, held, ..Report::default() };
    node.feed(Event::Reported { engine: engine.clone(), report: Some(report) });
    node.arrive(streamed("/brief/1", "m0", Some("a8")));
    assert!(orders(&node.effects).iter().any(|order| order.sequence == u64::MAX), "{:?}", node.effects);
    node.feed(answered(Receipt::Accepted));
    node.arrive(streamed("/brief/1", "m0", Some("a9")));
}

/// An engine that lacks a model of its holdings is asked for a report, even if no other event occurs there.
#[test]
fn refusal_as_absent_asks_the_engine() {
    let mut hub = settled();
    let absent = vec![Absent { engine: "w1".into(), model: "m0".into(), adapter: None }];
    let mut effects = hub
        .feed(Event::FrameReceived(Box::new(Frame { vm: "b".into(), absent, ..Frame::default() })))
        .to_vec();
    effects.extend(hub.advance(millis(300)));
    let asked =
        effects.iter().any(|effect| matches!(effect, Effect::Report { engine, .. } if **engine == *"w1"));
    assert!(asked);
}

/// The hub. Its engines hold every model, so that no model is to be moved.
fn settled() -> Node {
    let mut hub = Node::bare("hub");
    hub.feed(Event::Configured(std::sync::Arc::new(node::config(1))));
    let rows = vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-b", &["m2", "m3"])),
    ];
    hub.feed(listing(rows, 2, true));
    hub.lead();
    hub.advance(millis(300));
    hub
}

/// The number of loads from the weight store in any window stays bounded, whatever demand does.
#[test]
fn cold_loads_are_rate_limited() {
    let settings = boragecove_fleet::settings::Settings::default();
    let mut hub = Node::bare("hub");
    let mut config = node::config(1);
    let pool = boragecove_fleet::config::Pool {
        models: (0..40).map(|number| model(&format!("m{number}"), 70.0)).collect(),
        ..pool()
    };
    config.services = vec![std::sync::Arc::new(boragecove_fleet::config::Service {
        name: WRITER.into(),
        pool: Some(pool),
        ..Default::default()
    })];
    hub.feed(Event::Configured(std::sync::Arc::new(config)));
    let rows = (0..30).map(|number| row(number + 1, entry(&format!("w{number}"), WRITER, "zone-a", &[])));
    hub.feed(listing(rows.collect(), 30, true));
    hub.lead();
    let mut loads: Vec<Time> = Vec::new();
    let mut held: std::collections::BTreeMap<Name, Vec<String>> = std::collections::BTreeMap::new();
    for at in 0..400 {
        let mut effects = hub.advance(millis(50));
        // A loaded model appears in the engine's entry 50 ms later.
        let rows = held.iter().map(|(id, models)| {
            let models: Vec<&str> = models.iter().map(String::as_str).collect();
            row(100 + at, entry(id, WRITER, "zone-a", &models))
        });
        let rows = rows.collect();
        effects.extend(hub.feed(listing(rows, 100 + at, false)).to_vec());
        if at % 8 == 0 {
            hub.lease(5 + at * 50, boragecove_fleet::lease::Outcome::Written(200 + at));
        }
        for dispatch in orders(&effects) {
            let Order::Load { model } = &dispatch.order else {
                panic!("only loads are needed: {dispatch:?}")
            };
            loads.push(hub.now);
            held.entry(dispatch.engine.clone()).or_default().push(model.to_string());
            hub.feed(Event::Ordered {
                engine: dispatch.engine,
                incarnation: dispatch.incarnation,
                receipt: Some(Receipt::Accepted),
            });
            loads.extend(orders(&hub.effects).iter().map(|_| hub.now));
        }
    }
    assert!(loads.len() > 20, "{} loads in 20 s", loads.len());
    // The platform tolerates 2.0 x 5 x 1.1 + 3 = 14 loads in any five seconds.
    for at in &loads {
        let near =
            loads.iter().filter(|other| **other >= *at && other.since(*at) < settings.load_window).count();
        assert!(near <= 12, "{near} loads within {:?}", settings.load_window);
    }
}

#[test]
fn no_adapter_order_during_model_load() {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(std::sync::Arc::new(node::config(1))));
    node.feed(listing(vec![row(1, entry("w1", WRITER, "zone-a", &["m0"]))], 1, true));
    node.lead();
    let moving = orders(&node.advance(millis(300)));
    assert!(matches!(moving[..], [Dispatch { order: Order::Load { .. }, .. }]), "{moving:?}");
    node.feed(Event::Ordered {
        engine: "w1".into(),
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Accepted),
    });
    node.arrive(streamed("/brief/1", "m0", Some("a7")));
    assert_eq!(orders(&node.effects), [], "an engine that loads a model refuses all other orders");
}

#[test]
fn closing_copy_gets_no_requests() {
    let mut node = Node::ready("a");
    node.lead();
    let moving = orders(&node.advance(millis(300)));
    let Some(dispatch) = moving.iter().find(|dispatch| matches!(dispatch.order, Order::Unload { .. })) else {
        return;
    };
    let Order::Unload { model } = &dispatch.order else { return };
    let id = node.arrive(short_stream(model));
    assert!(!matches!(node.step(id), Some(Step::Send(attempt)) if attempt.engine == dispatch.engine));
}

#[test]
fn never_overfilled() {
    arbtest(|u| {
        let mut node = Node::ready("a");
        node.lead();
        let held = [("w1", ["m0", "m1"]), ("w2", ["m0", "m2"])];
        let mut engines = held.map(|(id, models)| Engine {
            id: id.into(),
            models: models.map(|name| (Name::from(name), Vec::new())).to_vec(),
            ..Engine::default()
        });
        let mut reports: Vec<(Time, Name, Report)> = Vec::new();
        for _ in 0..300 {
            node.now = node.now + millis(20);
            let lease = node.now.as_millis() - node::START_MS;
            let model = *u.choose(&["m0", "m1", "m2", "m3"])?;
            let adapter = *u.choose(&[None, Some("a1"), Some("a2"), Some("a3"), Some("a4"), Some("a5")])?;
            node.arrive(streamed("/brief/1", model, adapter));
            let mut effects = std::mem::take(&mut node.effects);
            effects.extend(node.feed(Event::Wake).to_vec());
            for engine in &mut engines {
                engine.tick(node.now);
            }
            let due: Vec<_> = reports.extract_if(.., |(at, ..)| *at <= node.now).collect();
            for (_, engine, report) in due {
                effects.extend(node.feed(Event::Reported { engine, report: Some(report) }).to_vec());
            }
            while let Some(effect) = effects.pop() {
                match effect {
                    Effect::Lease(_) => {
                        let version = 200 + lease;
                        effects.extend(
                            node.lease(lease, boragecove_fleet::lease::Outcome::Written(version)).to_vec(),
                        );
                    }
                    Effect::Report { engine, .. } => {
                        // A report arrives 100 ms after the state that it describes.
                        let asked = engines.iter().find(|known| known.id == engine).expect("known");
                        reports.push((node.now + millis(100), engine, asked.report()));
                    }
                    Effect::Order(dispatch) => {
                        let engine =
                            engines.iter_mut().find(|engine| engine.id == dispatch.engine).expect("known");
                        let receipt = match u.int_in_range(0..=9)? {
                            0 => None,
                            1 => {
                                engine.late.push((node.now + millis(700), (*dispatch).clone()));
                                None
                            }
                            2 => {
                                engine.take(node.now, &dispatch);
                                None
                            }
                            _ => Some(engine.take(node.now, &dispatch)),
                        };
                        let engine = dispatch.engine.clone();
                        effects.extend(
                            node.feed(Event::Ordered {
                                engine,
                                incarnation: Incarnation::default(),
                                receipt,
                            })
                            .to_vec(),
                        );
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    })
    .budget_ms(3_000);
}

#[test]
fn request_waits_until_adapter_is_ready() {
    let mut node = Node::ready("a");
    node.lead();
    node.advance(millis(300));
    let id = node.arrive(streamed("/brief/1", "m0", Some("a7")));
    let engine = orders(&node.effects).remove(0).engine;
    node.feed(Event::Ordered {
        engine,
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Accepted),
    });
    assert_eq!(node.step(id), None, "an adapter takes some ms to be loaded");
    assert!(matches!(step_of(&node.advance(millis(50)), id), Some(Step::Send(_))));
}

/// A queued load that waits for room counts as loading: no second engine makes room for the same model.
#[test]
fn queued_load_counts_as_loading() {
    let mut hub = Node::bare("hub");
    hub.feed(Event::Configured(std::sync::Arc::new(node::config(1))));
    let rows = vec![
        row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"])),
        row(2, entry("w2", WRITER, "zone-b", &["m0", "m2"])),
        row(3, entry("w3", WRITER, "zone-a", &["m0", "m1"])),
    ];
    hub.feed(listing(rows, 3, true));
    hub.lead();
    let first = orders(&hub.advance(millis(300)));
    let [Dispatch { engine, order: Order::Unload { .. }, .. }] = &*first else {
        panic!("one engine makes room for m3: {first:?}");
    };
    hub.feed(Event::Ordered {
        engine: engine.clone(),
        incarnation: Incarnation::default(),
        receipt: Some(Receipt::Accepted),
    });
    let more = orders(&hub.advance(millis(1_500)));
    assert_eq!(more, [], "the dropped copy still has streams, and the load of m3 is queued");
}
