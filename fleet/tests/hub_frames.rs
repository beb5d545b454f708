//! Frames: the hub sums the loads of all entry VMs, and sends each the data that it lacks.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Load;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{EngineLoad, Frame, Reason, Reply};
use boragecove_fleet::lease::{Call, Outcome};
use boragecove_fleet::members::Member;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::End;
use node::{
    Node, WRITER, address, config, entry, exchange, hub_row, listing, millis, removed, row, short_stream,
};

fn frame(vm: &str, open: u32) -> Frame {
    let load = Load { open, reading_us: 0 };
    let loads = vec![EngineLoad { engine: "w1".into(), load }];
    Frame { vm: vm.into(), config: 1, engines_revision: 4.into(), loads, ..Frame::default() }
}

/// An entry VM that knows another process as the hub.
fn follower() -> Node {
    let mut node = Node::ready("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    node
}

fn reply() -> Reply {
    Reply { leads: true, nodes: 3, engines_revision: 4.into(), ..Reply::default() }
}

/// The lease of the hub runs out, and the entry VM takes it.
fn take_over(node: &mut Node) {
    let reads = |effect: &Effect| matches!(effect, Effect::Lease(Call::Read));
    while !node.advance(millis(50)).iter().any(reads) {}
    node.lease(61_000, Outcome::Read(Some(hub_row())));
    node.lease(61_005, Outcome::Written(100));
    assert!(node.state.lease().held_term(node.now).is_some());
}

/// The requests at all engines, as far as an entry VM knows.
fn open(node: &Node) -> u32 {
    node.state.engines().map(|engine| engine.load().open).sum()
}

fn starts_following(effects: &[Effect]) -> Option<bool> {
    effects.iter().rev().find_map(|effect| match effect {
        Effect::Follow(how) => Some(how.is_some()),
        _ => None,
    })
}

#[test]
fn loads_without_the_askers_own() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::FrameReceived(Box::new(frame("b", 3))));
    hub.feed(Event::FrameReceived(Box::new(frame("c", 5))));
    hub.feed(Event::FrameReceived(Box::new(frame("b", 2))));
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("b", 2));
    assert_eq!(
        answer.loads_by_name,
        [EngineLoad { engine: "w1".into(), load: Load { open: 5, reading_us: 0 } }]
    );
    assert_eq!(answer.nodes, 3);
    assert!(answer.leads);
}

/// If the asker knows the same engines, the reply lists loads by position, and they have the same effect as loads by
/// name. An asker that has learned of other engines meanwhile ignores loads by position.
#[test]
fn loads_by_position() {
    let others =
        |node: &Node| -> Vec<u32> { node.state.engines().map(|engine| engine.others_load.open).collect() };
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::FrameReceived(Box::new(frame("b", 3))));
    let load = Load { open: 9, reading_us: 1_250 };
    let loads = vec![EngineLoad { engine: "g2".into(), load }];
    hub.feed(Event::FrameReceived(Box::new(Frame {
        vm: "c".into(),
        engines_revision: 4.into(),
        loads,
        ..Frame::default()
    })));
    let mut asker = follower();
    let sent = asker.advance(millis(200)).into_iter().rev().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame),
        _ => None,
    });
    let sent = sent.expect("a frame");
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &sent);
    assert!(answer.loads_by_name.is_empty() && answer.loads_by_position.len() == 6, "{answer:?}");
    let by_name = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &Frame { engines_digest: 0, ..*sent.clone() },
    );
    assert!(by_name.loads_by_name.len() == 2 && by_name.loads_by_position.is_empty(), "{by_name:?}");
    asker.feed(Event::Replied(Some(Box::new(answer.clone()))));
    let applied = others(&asker);
    assert_eq!(applied.iter().sum::<u32>(), 12);
    let reading = asker.state.engines().map(|engine| engine.others_load.reading_us).max();
    assert_eq!(reading, Some(2_000), "in ms, rounded up");
    asker.feed(Event::Replied(Some(Box::new(by_name))));
    assert_eq!(others(&asker), applied);
    asker.feed(listing(vec![row(9, entry("a1", WRITER, "zone-c", &["m3"]))], 9, false));
    asker.feed(Event::Replied(Some(Box::new(answer))));
    assert_eq!(others(&asker).iter().sum::<u32>(), 12, "positions must not be applied to other engines");
    assert_eq!(others(&asker)[1..], applied[..]);
}

/// Guards against loads that the previous hub reported and that stay on top of what the entry VMs report to the new one: its
/// engines look full to all, and requests are refused although no engine works.
#[test]
fn new_hub_counts_once() {
    let mut node = follower();
    node.advance(millis(200));
    let members = ["a", "b", "c"].map(|vm| Member {
        vm: vm.into(),
        zone: "zone-a".into(),
        address: address(7_002),
        weak: false,
    });
    let loads_by_name = frame("b and c", 9).loads;
    let reply = Reply { loads_by_name, members: Some(members.to_vec()), ..reply() };
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(open(&node), 9);
    take_over(&mut node);
    assert_eq!(open(&node), 9, "the others have not reported yet");
    node.feed(Event::FrameReceived(Box::new(frame("b", 4))));
    assert_eq!(open(&node), 9, "one of them has not");
    node.feed(Event::FrameReceived(Box::new(frame("c", 3))));
    assert_eq!(open(&node), 7);
    node.feed(Event::FrameReceived(Box::new(frame("b", 0))));
    node.feed(Event::FrameReceived(Box::new(frame("c", 0))));
    assert_eq!(open(&node), 0);
}

/// Entry VMs that never report to the new hub, as they ended with the previous one, count for two seconds.
#[test]
fn silent_loads_lapse() {
    let mut node = follower();
    node.advance(millis(200));
    let loads_by_name = frame("b and c", 9).loads;
    node.feed(Event::Replied(Some(Box::new(Reply { loads_by_name, ..reply() }))));
    take_over(&mut node);
    node.feed(Event::FrameReceived(Box::new(frame("b", 4))));
    for _ in 0..6 {
        node.advance(millis(500));
        node.feed(Event::FrameReceived(Box::new(frame("b", 4))));
    }
    assert_eq!(open(&node), 4);
}

#[test]
fn silent_entry_vms_are_removed() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::FrameReceived(Box::new(frame("b", 7))));
    hub.advance(Duration::from_secs(3));
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("c", 0));
    assert_eq!(answer.loads_by_name, []);
}

#[test]
fn newer_configuration_and_rows() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::Configured(Arc::new(config(8))));
    hub.feed(listing(vec![row(12, entry("w9", WRITER, "zone-c", &["m3"]))], 12, false));
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("b", 0));
    assert_eq!(answer.config.as_ref().map(|config| config.version), Some(8));
    assert_eq!(answer.rows.len(), 1);
    let mut asker = follower();
    asker.advance(millis(200));
    asker.feed(Event::Replied(Some(Box::new(answer))));
    assert_eq!(asker.state.config().map(|config| config.version), Some(8));
    assert!(asker.state.engines().any(|engine| *engine.entry.id == *"w9"));
}

#[test]
fn reply_survives_encoding() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::Configured(Arc::new(config(8))));
    let answer = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &Frame { vm: "b".into(), ..Frame::default() },
    );
    let bytes = rmp_serde::to_vec(&answer).expect("encodes");
    let read: Reply = rmp_serde::from_slice(&bytes).expect("decodes");
    assert_eq!(read, answer);
}

#[test]
fn follower_leaves_the_store_to_the_hub() {
    let mut node = follower();
    assert_eq!(starts_following(&node.advance(Duration::from_secs(1))), Some(true), "no reply of the hub");
    node.feed(Event::Replied(Some(Box::new(reply()))));
    assert_eq!(starts_following(&node.effects), Some(false));
}

/// A starting process gets the configuration and the engines from the hub, without a call to the store for either.
#[test]
fn starts_from_the_hub() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let mut node = Node::bare("a");
    node.advance(millis(10));
    let effects = node.lease(0, Outcome::Read(Some(hub_row()))).to_vec();
    let asked = effects.into_iter().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame),
        _ => None,
    });
    let answer = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &asked.expect("should send a frame at once"),
    );
    node.feed(Event::Replied(Some(Box::new(answer))));
    assert!(node.effects.iter().any(|effect| matches!(effect, Effect::Ready(true))));
    assert_eq!(starts_following(&node.effects), None, "should not follow the store");
    assert_eq!(node.state.engines().count(), 4);
}

/// After all entry VMs were killed at once, the hub named in the lease has no data either. The next holder of the
/// lease has to be looked up and asked within about 30 ms, not only when the next frame is due.
#[test]
fn starts_from_the_next_hub() {
    let mut node = Node::bare("a");
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    node.feed(Event::Replied(Some(Box::new(Reply { nodes: 1, ..Reply::default() }))));
    let lookups = node.advance(millis(40));
    assert!(lookups.iter().any(|effect| matches!(effect, Effect::Lease(Call::Read))), "{lookups:?}");
    let mut next = hub_row();
    next.row.address = address(7_009);
    let asked = node.lease(40, Outcome::Read(Some(next))).to_vec();
    let to = |effect: &Effect| matches!(effect, Effect::Frame { address, .. } if address.port() == 7_009);
    assert!(asked.iter().any(to), "{asked:?}");
}

#[test]
fn starts_without_a_hub() {
    let mut node = Node::bare("a");
    assert_eq!(starts_following(&node.advance(millis(300))), None, "the hub may still answer");
    assert_eq!(starts_following(&node.advance(millis(600))), Some(true));
}

/// Guards against a late change after the loss of a hub in a fleet of hundreds of entry VMs, whose frames are seconds
/// apart. A change has to be in force 3 s after it was confirmed, so that the store has to be followed by then, with
/// some of that time left to read it. Without this, with 293 entry VMs, the last one had the change only 4.9 s after
/// it was confirmed.
#[test]
fn lost_hub_in_a_large_fleet() {
    let mut node = follower();
    node.advance(millis(200));
    node.feed(Event::Replied(Some(Box::new(Reply { nodes: 300, ..reply() }))));
    let begin = node.now;
    while node.now.since(begin) < millis(2_500) {
        let effects = node.advance(millis(10));
        if starts_following(&effects) == Some(true) {
            return;
        }
        if effects.iter().any(|effect| matches!(effect, Effect::Frame { .. })) {
            node.advance(millis(400));
            node.feed(Event::Replied(None));
            if starts_following(&node.effects) == Some(true) {
                return;
            }
        }
    }
    panic!("store not followed 2.5 s after the hub's last reply");
}

/// The rate of lease lookups by entry VMs that have lost their hub must not grow with the number of entry VMs.
#[test]
fn lease_lookups_do_not_grow() {
    let lookups = |nodes: u32| {
        let mut node = follower();
        node.advance(millis(200));
        node.feed(Event::Replied(Some(Box::new(Reply { nodes, ..reply() }))));
        let mut lookups = 0;
        for _ in 0..200 {
            let effects = node.advance(millis(50));
            if effects.iter().any(|effect| matches!(effect, Effect::Lease(_))) {
                lookups += 1;
                node.lease(0, Outcome::Unknown);
            }
        }
        lookups
    };
    let (few, many) = (lookups(9), lookups(90));
    assert!(few >= 20, "{few} lookups in 10 s: the next hub should be found soon");
    assert!((5..=10).contains(&many), "{many} lookups in 10 s with 90 entry VMs");
}

#[test]
fn hub_follows_closely() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let pause = hub.effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(how)) => Some(how.pause),
        _ => None,
    });
    assert_eq!(pause, Some(millis(30)), "all other entry VMs depend on it");
}

/// The hub learns of a new configuration quickly, however many engines there are.
#[test]
fn hub_follows_thousands() {
    let mut hub = Node::ready("hub");
    let rows =
        (0..3_000).map(|number| row(10 + number, entry(&format!("e{number}"), WRITER, "zone-a", &["m0"])));
    hub.feed(listing(rows.collect(), 4_000, false));
    hub.lead();
    let pause = hub.effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(how)) => Some(how.pause),
        _ => None,
    });
    assert!(pause.is_some_and(|pause| pause <= millis(200)), "{pause:?}");
}

#[test]
fn stale_hub_is_not_trusted() {
    let mut node = follower();
    node.advance(millis(200));
    node.feed(Event::Replied(Some(Box::new(reply()))));
    node.advance(millis(200));
    let stale = Reply { store_age: millis(1_100), ..reply() };
    node.feed(Event::Replied(Some(Box::new(stale))));
    assert_eq!(
        starts_following(&node.effects),
        Some(true),
        "the store has not answered the hub for too long"
    );
}

#[test]
fn silent_hub_is_not_trusted() {
    let mut node = follower();
    node.advance(millis(200));
    node.feed(Event::Replied(Some(Box::new(reply()))));
    let effects = node.advance(Duration::from_secs(1));
    assert_eq!(starts_following(&effects), Some(true));
}

#[test]
fn one_lost_frame_changes_nothing() {
    let mut node = follower();
    node.advance(millis(200));
    node.feed(Event::Replied(Some(Box::new(reply()))));
    node.advance(millis(200));
    node.feed(Event::Replied(None));
    assert_eq!(starts_following(&node.effects), None, "the hub replied a short time ago");
}

/// The rate of frames to the hub must not grow with the number of entry VMs.
#[test]
fn frames_do_not_grow() {
    let frames = |nodes: u32| {
        let mut node = follower();
        node.advance(millis(200));
        node.feed(Event::Replied(Some(Box::new(Reply { nodes, ..reply() }))));
        let mut sent = 0;
        for _ in 0..200 {
            let effects = node.advance(millis(50));
            if effects.iter().any(|effect| matches!(effect, Effect::Frame { .. })) {
                sent += 1;
                node.feed(Event::Replied(Some(Box::new(Reply { nodes, ..reply() }))));
            }
        }
        sent
    };
    let (few, many) = (frames(9), frames(90));
    assert!((50..=80).contains(&few), "{few} frames in 10 s");
    assert!((15..=27).contains(&many), "{many} frames in 10 s with 90 entry VMs");
}

#[test]
fn suspected_engine_is_probed() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let suspecting = Frame { suspects: vec!["w2".into()], ..frame("b", 0) };
    let probed = |hub: &mut Node| {
        let effects = hub.feed(Event::FrameReceived(Box::new(suspecting.clone())));
        effects.iter().any(|effect| matches!(effect, Effect::Probe { engine, .. } if **engine == *"w2"))
    };
    assert!(!probed(&mut hub), "it has sent no request to this engine");
    let (id, attempt) = hub.sent(short_stream("m2"));
    hub.ended(id, attempt.number, End::Done);
    hub.now = hub.now + millis(600);
    assert!(probed(&mut hub), "should probe an engine that it uses");
    let (_, attempt) = hub.sent(short_stream("m2"));
    assert_eq!(*attempt.engine, *"w2", "should get work until the probe fails");
    hub.feed(Event::Probed { engine: "w2".into(), reach: Port::Silent });
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("c", 0));
    assert_eq!(answer.suspects, [boragecove_core::name::Name::from("w2")]);
}

/// When the hub is lost, all entry VMs turn to the store at once. Each must ask only for changes since the hub's last
/// reply: the whole document would take a small link most of a second.
#[test]
fn follows_from_the_hubs_revisions() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let asked = hub.now;
    hub.feed(Event::OperatorTableRead { version: 40.into(), config: 1, asked });
    let mut node = follower();
    let answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("a", 0));
    node.feed(Event::Replied(Some(Box::new(answer))));
    let effects = node.advance(Duration::from_secs(2));
    let revisions = effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(how)) => Some((how.engines_version, how.operator_version)),
        _ => None,
    });
    assert_eq!(revisions, Some((4.into(), 40.into())));
}

/// A hub with a newer configuration doesn't confirm that the older one is the newest.
#[test]
fn older_configuration_is_not_confirmed() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(Event::Configured(Arc::new(config(8))));
    let asked = hub.now;
    hub.feed(Event::OperatorTableRead { version: 40.into(), config: 1, asked });
    let mut node = follower();
    let mut answer = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame("a", 0));
    answer.config = None;
    node.feed(Event::Replied(Some(Box::new(answer))));
    let effects = node.advance(Duration::from_secs(2));
    let declared = effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(how)) => Some(how.operator_version),
        _ => None,
    });
    assert_eq!(declared, Some(0.into()));
}

/// Guards against requests to an engine that was removed before the current hub started. The hub never knew the
/// engine, and the other entry VMs still have to learn from it that the engine is gone. Without this, engines got
/// requests 3.5 s after their removal, when the hub was killed as they left and was back within half a second.
#[test]
fn removed_before_the_hub_started() {
    let mut node = follower();
    let mut hub = Node::bare("hub");
    hub.feed(Event::Configured(Arc::new(config(1))));
    hub.feed(listing(vec![row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"]))], 12, true));
    hub.lead();
    let answer = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &Frame { engines_revision: 4.into(), ..frame("a", 0) },
    );
    node.feed(Event::Replied(Some(Box::new(answer))));
    let remaining: Vec<String> = node.state.engines().map(|engine| engine.entry.id.to_string()).collect();
    assert_eq!(remaining, ["w1"]);
}

/// The hub has read the whole table again, since the store had dropped its history. It never knew the engines that
/// came and went in between, and entry VMs that know them still have to drop them.
#[test]
fn removed_while_the_hub_reread() {
    let mut hub = Node::ready("hub");
    hub.lead();
    let rows = vec![row(1, entry("w1", WRITER, "zone-a", &["m0", "m1"]))];
    hub.feed(listing(rows, 20, true));
    let mut node = follower();
    node.feed(listing(vec![row(9, entry("w9", WRITER, "zone-a", &["m0"]))], 9, false));
    let answer = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &Frame { engines_revision: 9.into(), ..frame("a", 0) },
    );
    node.feed(Event::Replied(Some(Box::new(answer))));
    let remaining: Vec<String> = node.state.engines().map(|engine| engine.entry.id.to_string()).collect();
    assert_eq!(remaining, ["w1"]);
}

/// If the hub has followed the table all along, its replies contain the changed rows only.
#[test]
fn changed_rows_only() {
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(listing(vec![row(6, entry("w1", WRITER, "zone-a", &["m2"]))], 6, false));
    let answer = boragecove_fleet::reply_to_frame(
        &mut hub.state,
        hub.now,
        &Frame { engines_revision: 5.into(), ..frame("a", 0) },
    );
    assert_eq!(answer.rows.len(), 1);
}

/// Guards against a flood of calls in a fleet that starts before its first configuration is written. A hub without
/// data is asked again at growing intervals, and the store isn't asked for the hub. Without this, 62 entry VMs made a
/// thousand calls to the store in a second.
#[test]
fn no_configuration_yet() {
    let mut node = Node::bare("a");
    node.advance(millis(10));
    let mut calls = 1;
    let mut frames = 0;
    node.lease(0, Outcome::Read(Some(hub_row())));
    let mut effects = node.effects.clone();
    for _step in 0..100 {
        let asked = effects.iter().find_map(|effect| match effect {
            Effect::Frame { frame, .. } => Some(frame.number),
            _ => None,
        });
        calls += effects.iter().filter(|effect| matches!(effect, Effect::Lease(_))).count();
        effects = match asked {
            Some(number) => {
                frames += 1;
                let reply = Reply { number, leads: true, nodes: 2, ..Reply::default() };
                node.feed(Event::Replied(Some(Box::new(reply)))).to_vec()
            }
            None => node.advance(millis(10)),
        };
    }
    assert!(calls <= 2, "{calls} calls to the store");
    assert!((3..=14).contains(&frames), "{frames} frames");
}

/// After a restart of all entry VMs, a starting process gets all engines in a packed snapshot that may be slightly
/// old, and later changes with its next frame.
#[test]
fn starts_from_packed_rows() {
    let many = |count: usize| {
        (0..count).map(|at| row(10 + at as u64, entry(&format!("m{at}"), WRITER, "zone-a", &["m0"])))
    };
    let mut hub = Node::ready("hub");
    hub.lead();
    hub.feed(listing(many(300).collect(), 400, false));
    let start = |vm: &str, since: usize, hub: &mut Node| {
        let mut node = Node::bare(vm);
        node.now = hub.now;
        node.advance(millis(10));
        let effects = node.lease(0, Outcome::Read(Some(hub_row()))).to_vec();
        let asked = effects.into_iter().find_map(|effect| match effect {
            Effect::Frame { frame, .. } => Some(frame),
            _ => None,
        });
        let answer = boragecove_fleet::reply_to_frame(
            &mut hub.state,
            hub.now,
            &asked.expect("should send a frame at once"),
        );
        assert!(answer.rows.len() == since && answer.whole && !answer.rows_packed.is_empty());
        node.feed(Event::Replied(Some(Box::new(answer))));
        node
    };
    let first = start("a", 0, &mut hub);
    assert_eq!(first.state.engines().count(), 304);
    hub.feed(listing(
        vec![row(401, entry("late", WRITER, "zone-b", &["m1"])), removed(402, "m7")],
        402,
        false,
    ));
    let mut second = start("b", 1, &mut hub);
    let knows = |node: &Node, id: &str| node.state.engines().any(|engine| *engine.entry.id == *id);
    assert!(
        !knows(&second, "m7"),
        "removals since the snapshot should come at once: the next frame may be seconds away"
    );
    assert_eq!(second.state.engines().count(), 303, "the snapshot should be reused");
    let answer = exchange(&mut hub, &mut second);
    assert_eq!(answer.rows.len(), 2);
    assert!(knows(&second, "late") && !knows(&second, "m7"));
    hub.advance(Duration::from_secs(1));
    let third = start("c", 0, &mut hub);
    assert!(third.state.engines().any(|engine| *engine.entry.id == *"late"), "the snapshot should be new");
    let sent = hub.state.full_snapshots()[&Reason::RowsAtStart];
    assert!(sent.answers == 3 && sent.bytes > 0, "{sent:?}");
}

/// Guards against whole reads of the store by all entry VMs after a restart of all of them. With 3,000 engines each
/// read 2 MB over a link of 10 Mbit/s while there was no hub, and left no room on it for the hub's replies. With
/// fewer engines the store is still read early.
#[test]
fn start_waits_longer_with_many_engines() {
    let reads_after = |engines: u32| {
        let mut node = Node::bare("a");
        node.advance(millis(10));
        let mut hub = hub_row();
        hub.row.engines = engines;
        node.lease(0, Outcome::Read(Some(hub)));
        let begin = node.now;
        while starts_following(&node.advance(millis(50))).is_none() {
            assert!(node.now.since(begin) < Duration::from_secs(9), "should read the store");
        }
        node.now.since(begin)
    };
    assert!(reads_after(9) < millis(1_000));
    assert!(reads_after(300) < millis(1_000));
    assert!((millis(3_400)..millis(3_900)).contains(&reads_after(3_000)));
}

/// Packed rows that can't be decoded are logged and change nothing.
#[test]
fn undecodable_rows() {
    let mut node = follower();
    node.advance(millis(200));
    let garbled = Reply {
        engines_revision: 9.into(),
        whole: true,
        rows_packed: b"garbled".as_slice().into(),
        ..reply()
    };
    let effects = node.feed(Event::Replied(Some(Box::new(garbled)))).to_vec();
    let is_unusable =
        |effect: &Effect| matches!(effect, Effect::Record(Record::Unusable { what: "engines", .. }));
    assert!(effects.iter().any(is_unusable));
    assert_eq!(node.state.engines().count(), 4);
}
