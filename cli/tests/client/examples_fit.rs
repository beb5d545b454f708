//! Both examples are accepted on the machines that they are made for, and on no fewer.

use std::ffi::OsString;

use boragecove_cli::files;
use boragecove_core::code::Code;
use boragecove_core::config::Document;
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::operator::{Answer, Apply, Query};
use boragecove_core::settings::Settings;
use boragecove_core::state::{Identity, State};
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};

use crate::fake::example;

const NOW: Time = Time::from_millis(1_000);

fn document(folder: &str) -> Document {
    let file = |name: &str| OsString::from(example(&format!("{folder}/{name}.jsonc")));
    let mut document = Document::default();
    files::overlay(&[file("inventory"), file("rules")], &mut document).expect("well-formed");
    document
}

/// Engines of `group`, `each` in every zone.
fn engines(group: &str, zones: &[&str], each: u16) -> Vec<Vm> {
    let engine = |zone: &str, n: u16| Vm {
        name: format!("{zone}-{group}-{n}").into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 9_000 + n).into(),
        role: Role::Backend(group.into()),
        phase: Phase::Live,
    };
    zones.iter().flat_map(|zone| (0..each).map(move |n| engine(zone, n))).collect()
}

fn answer(document: Document, vms: Vec<Vm>) -> Answer {
    let incarnation = id::Incarnation(1);
    let me = Identity { vm: "entry-1".into(), zone: vms[0].zone.clone(), incarnation };
    let mut state = State::new(me, Settings::default(), 1, NOW);
    let _listed = boragecove_core::apply(&mut state, NOW, Event::VmsListed(vms));
    let apply = Apply { document, base: Some(0), who: "astrid".into(), note: "".into(), dry_run: true };
    let ask = id::Ask { by: incarnation, seq: 1 };
    let query = Box::new(Query::Apply(Box::new(apply)));
    let effects = boragecove_core::apply(&mut state, NOW, Event::QueryReceived { ask, query });
    let answer = effects.into_iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => Some(*answer),
        _ => None,
    });
    answer.expect("an answer at once")
}

#[test]
fn sizes_of_today() {
    for (folder, group, zones, each) in [
        ("varmevakt", "brief-writer", ["hall-a", "hall-b", "hall-c"], 3),
        ("swanbourne", "gloss-llm", ["perth-osborne", "perth-malaga", "perth-kewdale"], 6),
    ] {
        let whole = answer(document(folder), engines(group, &zones, each));
        assert!(matches!(&whole, Answer::Applied(applied) if applied.version == 1), "{folder}: {whole:?}");
        let fewer = answer(document(folder), engines(group, &zones, each - 1));
        assert!(matches!(&fewer, Answer::Error(refusal) if refusal.code == Code::DoesNotFit), "{fewer:?}");
    }
}
