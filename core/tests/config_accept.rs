//! Acceptance of configuration changes: the answer to the operator matches the effect of the write.

mod cluster;

use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::config::Document;
use boragecove_core::inventory::{Adapter, Version};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Query};
use boragecove_core::rules::Place;
use boragecove_core::settings::Settings;
use boragecove_core::table::{Key, Value};
use cluster::{Cluster, GROUP, Mode, document};

const LIMIT: Duration = Duration::from_mins(1);

fn two_nodes() -> Cluster {
    let mut cluster = Cluster::new(&["hall-a", "hall-b"], Settings::default());
    cluster.add_engines(GROUP, &["hall-a", "hall-a", "hall-b"]);
    cluster.run();
    cluster.advance(Duration::from_secs(1));
    cluster
}

fn stored(cluster: &Cluster) -> (u64, Document) {
    match cluster.table.store.rows.get(&Key::Config).map(|row| &row.value) {
        Some(Value::Config(head)) => (head.version, (*head.document).clone()),
        _ => (0, Document::default()),
    }
}

#[test]
fn second_apply_conflicts() {
    let mut cluster = two_nodes();
    let first = cluster.apply(0, document(&[1_000]), Some(0));
    let second = cluster.apply(0, document(&[2_000]), Some(0));
    cluster.run();
    assert_eq!(cluster.version(first), Some(1));
    let refusal = cluster.refusal(second).expect("the second is refused");
    assert_eq!((refusal.code, refusal.version), (Code::Conflict, Some(1)));
    assert_eq!(stored(&cluster), (1, document(&[1_000])));
}

#[test]
fn concurrent_applies() {
    for base in [None, Some(0)] {
        let mut cluster = two_nodes();
        cluster.table.mode = Mode::Delayed;
        let asks = [cluster.apply(0, document(&[1_000]), base), cluster.apply(1, document(&[2_000]), base)];
        cluster.run();
        cluster.table.mode = Mode::Up;
        cluster.run();
        let won: Vec<u64> = asks.into_iter().filter(|ask| cluster.version(*ask) == Some(1)).collect();
        assert_eq!(won.len(), 1, "one is accepted: {:?}", cluster.answers);
        let lost = asks.into_iter().find(|ask| *ask != won[0]).expect("the other");
        let refusal = cluster.refusal(lost).expect("the other is refused");
        assert_eq!((refusal.code, refusal.version), (Code::Conflict, Some(1)));
        let size = if won[0] == asks[0] { 1_000 } else { 2_000 };
        assert_eq!(stored(&cluster), (1, document(&[size])));
        assert_eq!((cluster.in_force(0), cluster.in_force(1)), (1, 1));
    }
}

#[test]
fn lost_answer() {
    let mut cluster = two_nodes();
    cluster.table.mode = Mode::AnswersLost;
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    assert_eq!(cluster.answer(ask), None, "the outcome is not known yet");
    cluster.table.mode = Mode::Up;
    cluster.advance_until(LIMIT, "settled", |cluster| cluster.answer(ask).is_some());
    assert_eq!(cluster.version(ask), Some(1), "the write took effect and is reported as accepted");
    assert_eq!(cluster.in_force(0), 1);
}

#[test]
fn lost_request() {
    let mut cluster = two_nodes();
    cluster.table.mode = Mode::RequestsLost;
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    cluster.table.mode = Mode::Up;
    cluster.advance_until(LIMIT, "settled", |cluster| cluster.answer(ask).is_some());
    assert_eq!(cluster.version(ask), Some(1));
    assert_eq!(stored(&cluster).0, 1);
}

#[test]
fn lost_answer_superseded() {
    let mut cluster = two_nodes();
    cluster.table.mode = Mode::AnswersLost;
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    cluster.nodes[0].paused = true;
    cluster.table.mode = Mode::Up;
    cluster.advance_until(LIMIT, "the other node has read it", |cluster| cluster.in_force(1) == 1);
    let later = cluster.apply(1, document(&[2_000]), Some(1));
    cluster.run();
    assert_eq!(cluster.version(later), Some(2));
    cluster.resume(0);
    cluster.advance_until(LIMIT, "settled", |cluster| cluster.answer(ask).is_some());
    assert_eq!(cluster.version(ask), Some(1), "it took effect before the later change");
    assert_eq!(stored(&cluster), (2, document(&[2_000])), "and does not overwrite the later change");
    assert_eq!(cluster.in_force(0), 2);
}

#[test]
fn outcome_unknown() {
    let mut cluster = two_nodes();
    cluster.table.mode = Mode::RequestsLost;
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.advance_until(LIMIT, "answered", |cluster| cluster.answer(ask).is_some());
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::Unsettled));
}

#[test]
fn table_unavailable() {
    let mut cluster = two_nodes();
    cluster.table.mode = Mode::Down;
    let ask = cluster.apply(0, document(&[1_000]), None);
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::NotAccepted));
    cluster.table.mode = Mode::Up;
    cluster.advance(LIMIT);
    assert_eq!(stored(&cluster).0, 0, "a refused change does not take effect later");
}

#[test]
fn all_faults_reported() {
    let mut cluster = two_nodes();
    let mut bad = document(&[1_000, 0]);
    bad.inventory.models[1].name = "model-0".into();
    bad.inventory.models[0].group = "nowhere".into();
    bad.inventory.models[0].adapters = vec![Adapter { name: "tone".into(), versions: Vec::new() }];
    bad.rules.places = vec![Place { model: "none".into(), zones: Vec::new(), copies: 1 }];
    bad.rules.weights.moves = f64::NAN;
    let ask = cluster.apply(0, bad, None);
    cluster.run();
    let refusal = cluster.refusal(ask).expect("it is refused");
    assert_eq!(refusal.code, Code::InvalidConfiguration);
    let reasons: Vec<&str> = refusal.reasons.iter().map(Name::as_str).collect();
    for part in [
        "'model-0' is declared",
        "'nowhere'",
        "memory_mb",
        "'model-0:tone' has no version",
        "'none'",
        "'moves'",
    ] {
        assert!(reasons.iter().any(|reason| reason.contains(part)), "{part}: {reasons:#?}");
    }
    assert_eq!(reasons.len(), 6, "{reasons:#?}");
}

#[test]
fn does_not_fit() {
    let mut cluster = two_nodes();
    let ask = cluster.apply(0, document(&[13_000; 4]), None);
    cluster.run();
    let refusal = cluster.refusal(ask).expect("three engines hold one each").clone();
    assert_eq!(refusal.code, Code::DoesNotFit);
    let reason = refusal.reasons.first().expect("a reason");
    for number in [
        "lacks 13000 MB",
        "need 52000 MB",
        "3 engines hold 72000 MB",
        "hall-a (2 engines, 48000 MB, at most 11000 MB",
    ] {
        assert!(reason.contains(number), "{number}: {reason}");
    }

    let mut zoned = document(&[13_000, 13_000]);
    let place = |model: &str| Place { model: model.into(), zones: vec!["hall-b".into()], copies: 1 };
    zoned.rules.places = vec![place("model-0"), place("model-1")];
    let ask = cluster.apply(0, zoned, None);
    cluster.run();
    assert_eq!(
        cluster.refusal(ask).map(|refusal| refusal.code),
        Some(Code::DoesNotFit),
        "hall-b has only one engine"
    );

    let mut adapted = document(&[20_000]);
    let version = |memory_mb| vec![Version { name: "1".into(), memory_mb }];
    adapted.inventory.models[0].adapters = vec![Adapter { name: "tone".into(), versions: version(5_000) }];
    let ask = cluster.apply(0, adapted, None);
    cluster.run();
    assert_eq!(
        cluster.refusal(ask).map(|refusal| refusal.code),
        Some(Code::DoesNotFit),
        "the adapter does not fit beside its model"
    );

    let ask = cluster.apply(0, document(&[13_000; 3]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(1));
}

#[test]
fn missing_engines_allow_smaller_document() {
    let mut cluster = two_nodes();
    let ask = cluster.apply(0, document(&[13_000; 3]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(1));
    cluster.vms.pop();
    cluster.advance(Duration::from_secs(2));
    let ask = cluster.apply(0, document(&[12_500; 3]), None);
    cluster.run();
    assert_eq!(cluster.version(ask), Some(2), "it needs less memory than the document in force");
    let ask = cluster.apply(0, document(&[12_500; 4]), None);
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::DoesNotFit));
}

#[test]
fn history() {
    let mut cluster = two_nodes();
    for size in 1..=3 {
        cluster.apply(0, document(&[size * 1_000]), None);
        cluster.run();
    }
    let ask = cluster.ask(1, Query::History);
    cluster.run();
    let Some(Answer::History(changes)) = cluster.answer(ask) else {
        panic!("no history: {:?}", cluster.answer(ask));
    };
    let seen: Vec<(u64, &str, &str)> =
        changes.iter().map(|change| (change.version, &*change.who, &*change.note)).collect();
    assert_eq!(seen, [(3, "op", "test"), (2, "op", "test"), (1, "op", "test")]);
    cluster.table.mode = Mode::Down;
    let ask = cluster.ask(1, Query::History);
    cluster.run();
    assert_eq!(cluster.refusal(ask).map(|refusal| refusal.code), Some(Code::PlatformDown));
}
