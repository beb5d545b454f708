//! A frame that arrives after a later frame of the same process. Its configuration must still be adopted,
//! because it is sent only once.

use boragecove_core::config::{Document, Head};
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::operator::{Answer, Query};
use boragecove_core::peer::{Frame, Item};
use boragecove_core::settings::Settings;
use boragecove_core::state::Identity;
use boragecove_core::time::Time;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_core::{State, apply};

const NOW: Time = Time::from_millis(1_000);

fn frame(seq: u64, items: Vec<Item>) -> Event {
    Event::FrameReceived(Box::new(Frame {
        from: "entry-2".into(),
        zone: "hall-a".into(),
        incarnation: Incarnation(2),
        seq,
        address: None,
        config: 0,
        stopping: false,
        items,
    }))
}

fn version(state: &mut State) -> Option<u64> {
    let ask = id::Ask { by: Incarnation(1), seq: 1 };
    let effects = apply(state, NOW, Event::QueryReceived { ask, query: Box::new(Query::Config) });
    effects.into_iter().find_map(|effect| match effect {
        Effect::Answer { answer, .. } => match *answer {
            Answer::Config { version, .. } => Some(version),
            _ => None,
        },
        _ => None,
    })
}

#[test]
fn content_is_kept() {
    let me = Identity { vm: "entry-1".into(), zone: "hall-a".into(), incarnation: Incarnation(1) };
    let mut state = State::new(me, Settings::default(), 1, NOW);
    let peer = Vm {
        name: "entry-2".into(),
        zone: "hall-a".into(),
        address: ([127, 0, 0, 1], 8_002).into(),
        role: Role::Entry,
        phase: Phase::Live,
    };
    drop(apply(&mut state, NOW, Event::VmsListed(vec![peer])));
    drop(apply(&mut state, NOW, frame(2, Vec::new())));
    let op = id::Op { by: Incarnation(2), seq: 1 };
    let head = Head { version: 1, op, document: Document::default().into() };
    drop(apply(&mut state, NOW, frame(1, vec![Item::Config(Box::new(head))])));
    assert_eq!(version(&mut state), Some(1));
}
