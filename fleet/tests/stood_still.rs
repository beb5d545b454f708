//! A process that stands still, as where its machine is moved or has spent its processor time, and goes on by what it knew before.

mod node;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::record::Record;
use node::{Node, listed, millis};

/// The lines on it among what is wanted: for how long it stood still, and how old its word of the engines' table was.
fn noted(effects: &[Effect]) -> Vec<(u64, Option<u64>)> {
    let noted = |effect: &Effect| match effect {
        Effect::Record(Record::StoodStill { for_ms, listed_age_ms, .. }) => Some((*for_ms, *listed_age_ms)),
        _ => None,
    };
    effects.iter().filter_map(noted).collect()
}

/// It is logged and counted, with the age of what is known; a process that runs logs none.
#[test]
fn is_noted() {
    let mut node = Node::ready("vm-1");
    let asked = node.now;
    node.feed(listed(asked, Vec::new(), 4, false));
    let calm = node.pass(millis(2_000));
    assert!(noted(&calm).is_empty(), "{:?}", noted(&calm));
    node.now = node.now + millis(1_500);
    let noted = noted(&node.pass(millis(10)));
    let [(stood_ms, listed_age_ms)] = noted[..] else {
        panic!("once: {noted:?}");
    };
    assert!((1_250..=1_510).contains(&stood_ms), "it had asked to be woken within 250 ms: {stood_ms}");
    assert_eq!(listed_age_ms, Some(3_510));
    assert_eq!(node.state.standstills(), 1);
}
