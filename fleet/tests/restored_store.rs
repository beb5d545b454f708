//! A store that is restored from an older copy: later writes are lost, versions are assigned again, and the era has risen.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Access, Config, Key, Workspace};
use boragecove_fleet::crash::Quarantine;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::key::Digest;
use boragecove_fleet::lease::{Answer, Call, Outcome, Versioned, era_of, first_term};
use boragecove_fleet::push::Message;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Arrival, Step};
use boragecove_fleet::revision::Revision;
use boragecove_fleet::settings::Settings;
use node::{
    GATEWAY, Node, WRITER, config, entry, exchange, hub_row, lease_calls, listed, listing, millis, plain,
    removed, row,
};

const fn at(era: u64, version: u64) -> Revision {
    Revision::new(era, version)
}

fn writer(id: &str) -> Entry {
    entry(id, WRITER, "zone-a", &["m0"])
}

fn leaving(id: &str) -> Entry {
    Entry { leaving: true, ..writer(id) }
}

/// The rows of the engines other than `w1` that each process in these tests knows, as in the restored copy.
fn others(version: Revision) -> Vec<Row> {
    vec![
        row(version, entry("w2", WRITER, "zone-b", &["m0", "m2"])),
        row(version, entry("g1", GATEWAY, "zone-a", &[])),
        row(version, entry("g2", GATEWAY, "zone-b", &[])),
    ]
}

/// A listing of all entries in the restored copy, with the given entry of `w1` if there is one.
fn copy(version: Revision, w1: Option<Entry>) -> Event {
    let mut rows = others(version);
    rows.extend(w1.map(|entry| row(version, entry)));
    listing(rows, version, true)
}

/// A process that has read four engines as of version 100 of the first era.
fn ready(vm: &str) -> Node {
    let mut node = Node::with_settings(vm, Settings::default());
    node.feed(Event::Configured(Arc::new(config(1))));
    node.feed(copy(at(1, 100), Some(writer("w1"))));
    node
}

fn serves(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id && engine.takes_work())
}

fn is_listed(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id)
}

/// Guards against ignoring a row after a restore: the row that marked an engine as leaving had a lower version than the row known from
/// before the restore, and was skipped as older.
#[test]
fn lower_version_in_new_era_is_applied() {
    let mut node = ready("a");
    node.feed(copy(at(2, 80), Some(writer("w1"))));
    node.feed(listing(vec![row(at(2, 88), leaving("w1"))], at(2, 88), false));
    assert!(is_listed(&node, "w1") && !serves(&node, "w1"));
    assert_eq!(node.state.stale_rows_skipped(), 0);
}

#[test]
fn leaving_stays_leaving() {
    let mut node = ready("a");
    node.feed(listing(vec![row(at(1, 104), leaving("w1"))], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    assert!(!serves(&node, "w1"), "the copy is from before it was marked as leaving");
    node.feed(listing(vec![row(at(2, 95), writer("w1"))], at(2, 95), false));
    assert!(!serves(&node, "w1"), "a heartbeat from before it was marked as leaving may be late");
    let again = Entry { incarnation: Incarnation(Some(9)), ..writer("w1") };
    node.feed(listing(vec![row(at(2, 96), again)], at(2, 96), false));
    assert!(serves(&node, "w1"), "its next start is not leaving");
}

/// The removal of an engine is lost in the restore. The engine may still run for a while, or another one may have its address by now.
#[test]
fn removed_engine_is_in_doubt() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.advance(Duration::from_secs(3));
    assert!(!serves(&node, "w1"), "three of its heartbeats cannot have been missed yet");
    node.feed(listing(vec![removed(at(2, 99), "w1")], at(2, 99), false));
    node.advance(Duration::from_secs(5));
    assert!(!is_listed(&node, "w1"));
}

#[test]
fn removed_but_healthy_engine_is_used_again() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    let mut written = node;
    written.feed(listing(vec![row(at(2, 93), writer("w1"))], at(2, 93), false));
    assert!(serves(&written, "w1"), "it has registered since the restore");
    let mut node = ready("b");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    let early = node.now;
    node.advance(Duration::from_secs(5));
    node.feed(listed(early, Vec::new(), at(2, 95), false));
    assert!(
        !serves(&node, "w1"),
        "an answer that was in the socket of a suspended machine does not count as current"
    );
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
    let mut node = ready("c");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let again = Entry { incarnation: Incarnation(Some(9)), ..writer("w1") };
    node.feed(copy(at(2, 90), Some(again)));
    assert!(serves(&node, "w1"), "it has restarted since");
}

/// An engine whose entry is newer than the copy writes it again.
#[test]
fn missing_entry_has_grace() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), None));
    node.advance(millis(1_800));
    assert!(serves(&node, "w1"), "writers have two seconds to repeat lost writes");
    node.feed(listing(vec![row(at(2, 97), writer("w1"))], at(2, 97), false));
    node.advance(Duration::from_secs(3));
    assert!(serves(&node, "w1"));
    let mut node = ready("b");
    node.feed(copy(at(2, 90), None));
    node.advance(millis(2_100));
    assert!(!is_listed(&node, "w1"), "an engine whose entry is still missing then counts as gone");
}

/// An answer from before the restore is ignored if it arrives after one of the new era.
#[test]
fn late_answer_is_ignored() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.feed(listing(vec![removed(at(1, 120), "w1")], at(1, 120), false));
    assert!(serves(&node, "w1"));
    node.feed(copy(at(1, 130), None));
    node.advance(Duration::from_secs(5));
    assert!(serves(&node, "w1"));
    assert_eq!(node.state.outdated_answers(), 2);
}

/// An engine is removed just after a restore and is in its grace period when the store is restored once more, from a copy made before the
/// removal.
#[test]
fn missing_during_second_restore() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.advance(millis(300));
    node.feed(listing(vec![removed(at(2, 95), "w1")], at(2, 95), false));
    assert!(serves(&node, "w1"), "entries of healthy engines expire around an outage");
    node.feed(copy(at(3, 80), Some(writer("w1"))));
    node.advance(millis(1_600));
    assert!(!serves(&node, "w1"), "the copy is from before its removal");
    node.feed(listing(vec![row(at(3, 99), writer("w1"))], at(3, 99), false));
    assert!(serves(&node, "w1"), "it has registered since the restore");
}

/// A second restore while engines are still repeating the writes lost in the first one.
#[test]
fn second_restore() {
    let mut node = ready("a");
    node.feed(listing(vec![row(at(1, 104), leaving("w1"))], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.advance(millis(700));
    node.feed(copy(at(3, 70), Some(writer("w1"))));
    assert!(!serves(&node, "w1"));
    node.feed(listing(vec![row(at(3, 71), writer("w1"))], at(3, 71), false));
    assert!(!serves(&node, "w1"));
    node.feed(listing(vec![row(at(3, 72), leaving("w2"))], at(3, 72), false));
    assert!(!serves(&node, "w2"));
    node.advance(Duration::from_secs(5));
    assert!(serves(&node, "g1") && serves(&node, "g2"), "the other engines were present all along");
}

/// One log line describes the state at the change of the era, and another one the first complete listing after it.
#[test]
fn era_is_logged() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let effects = node.feed(Event::Era(2)).to_vec();
    let era = |effect: &Effect| {
        matches!(
            effect,
            Effect::Record(Record::Era { era: 2, before: 1, listed: 104, removed: 1, led: false, .. })
        )
    };
    assert_eq!(effects.iter().filter(|effect| era(effect)).count(), 1);
    node.advance(millis(300));
    let effects = node.feed(copy(at(2, 90), Some(writer("w1")))).to_vec();
    let reread = |effect: &Effect| {
        matches!(
            effect,
            Effect::Record(Record::Reread { era: 2, version: 90, after_ms: 300, returned: 1, .. })
        )
    };
    assert_eq!(effects.iter().filter(|effect| reread(effect)).count(), 1);
    let again = node.feed(Event::Era(2)).to_vec();
    assert!(!again.iter().any(era), "the era is known already");
}

/// The first era that a starting entry VM sees does not count as a restore.
#[test]
fn first_era_is_no_restore() {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(Arc::new(config(1))));
    let effects = node.feed(copy(at(7, 100), Some(writer("w1")))).to_vec();
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::Record(Record::Era { .. }))));
    assert_eq!(node.state.era().number(), 7);
}

/// A process that holds the lease in the first era and knows four engines.
fn hub() -> Node {
    let mut hub = ready("hub");
    hub.advance(Duration::from_secs(3));
    hub.lease(2_000, Outcome::Read(None));
    assert!(matches!(&*lease_calls(&hub.effects), [Call::Write { .. }]), "{:?}", hub.effects);
    hub.lease(2_005, Outcome::Written(101));
    for step in 0..100 {
        if !lease_calls(&hub.advance(millis(50))).is_empty() {
            hub.lease(2_050 + 50 * step, Outcome::Written(102 + step));
        }
    }
    assert!(hub.state.lease().ordering_term(hub.now).is_some());
    hub
}

fn asker() -> Node {
    let mut node = ready("a");
    node.advance(millis(10));
    let mut hub = hub_row();
    hub.version = at(1, 9);
    hub.row.term = first_term(1);
    node.lease(0, Outcome::Read(Some(hub)));
    node
}

/// The others learn of the restore from the hub, which sends only the differences, because 300 of them ask within a second or two.
#[test]
fn hub_sends_differences() {
    let (mut hub, mut asker) = (hub(), asker());
    exchange(&mut hub, &mut asker);
    hub.feed(copy(at(2, 90), Some(writer("w1"))));
    let reply = exchange(&mut hub, &mut asker);
    assert!(reply.rows.is_empty() && !reply.whole, "{reply:?}");
    assert_eq!((reply.era, reply.engines_revision), (2, at(2, 90)));
    assert_eq!(asker.state.era().number(), 2);
    hub.feed(listing(vec![row(at(2, 93), leaving("w1"))], at(2, 93), false));
    let reply = exchange(&mut hub, &mut asker);
    assert_eq!(reply.rows.len(), 1, "{reply:?}");
    assert!(!serves(&asker, "w1"));
}

/// An entry VM that had read more of the old era than the hub gets the whole table, since differences from the hub's view are not enough.
#[test]
fn entry_vm_with_more_gets_all() {
    let (mut hub, mut asker) = (hub(), asker());
    asker.feed(listing(vec![removed(at(1, 105), "w1")], at(1, 105), false));
    hub.feed(copy(at(2, 90), Some(writer("w1"))));
    let reply = exchange(&mut hub, &mut asker);
    assert!(reply.whole);
    assert_eq!(reply.rows.len(), 4);
    assert!(!serves(&asker, "w1"), "it knows that w1 was removed after the copy was made");
    assert!(serves(&asker, "w2"));
}

/// Returns the number of the frame that an entry VM sends after an unanswered one.
fn frame_number(asker: &mut Node) -> u64 {
    asker.feed(Event::Replied(None));
    let wanted = asker.advance(millis(300));
    let frame = wanted.iter().rev().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame.number),
        _ => None,
    });
    frame.expect("a frame")
}

/// Guards against sending requests to a removed engine again. A hub that reaches the store again after an outage but has not read the engines'
/// table yet does not confirm the entries of a restored copy.
#[test]
fn hub_without_reading_confirms_nothing() {
    let (mut hub, mut asker) = (hub(), asker());
    asker.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let mut rows = others(at(2, 90));
    rows.push(row(at(2, 90), writer("w1")));
    hub.feed(listed(hub.now, rows, at(2, 90), true));
    let reply = exchange(&mut hub, &mut asker);
    asker.advance(Duration::from_secs(6));
    let unread = Reply {
        number: frame_number(&mut asker),
        leads: true,
        store_age: Duration::ZERO,
        engines_age: Some(Duration::from_secs(6)),
        whole: false,
        ..reply.clone()
    };
    asker.feed(Event::Replied(Some(Box::new(unread.clone()))));
    assert!(!serves(&asker, "w1"), "the hub's view is from before the store would have removed it");
    let read = Reply { number: frame_number(&mut asker), engines_age: Some(Duration::ZERO), ..unread };
    asker.feed(Event::Replied(Some(Box::new(read))));
    assert!(serves(&asker, "w1"), "the store would have removed it by now");
}

/// Guards against the same through pushed rows: the sender may have the row in doubt itself.
#[test]
fn pushed_row_is_in_doubt() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(listed(node.now, others(at(2, 90)), at(2, 90), true));
    node.advance(Duration::from_secs(6));
    let departures = vec![row(at(2, 90), writer("w1"))];
    node.feed(Event::Pushed(Box::new(Message { departure_rows: departures, ..Message::default() })));
    assert!(!serves(&node, "w1"));
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
}

/// Guards against sending requests to a removed engine again once the hub reports that all lost writes were repeated: the store removes the
/// entry of an engine that is gone only later.
#[test]
fn settled_era_keeps_doubt() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.advance(millis(2_100));
    let mut hub = hub_row();
    hub.version = at(2, 9);
    hub.row.term = first_term(2);
    hub.row.settled = true;
    node.lease(0, Outcome::Read(Some(hub)));
    node.advance(millis(300));
    node.feed(listed(node.now, Vec::new(), at(2, 95), false));
    assert!(!serves(&node, "w1"), "three of its heartbeats cannot have been missed yet");
    node.advance(millis(2_000));
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
}

/// An entry VM that has seen the new era reports it to the hub, which sends no more orders under a term of the old one.
#[test]
fn frame_reports_era_to_hub() {
    let mut hub = hub();
    let before = hub.state.lease().held_term(hub.now);
    let frame = Frame { vm: "b".into(), era: 2, ..Frame::default() };
    hub.feed(Event::FrameReceived(Box::new(frame)));
    assert_eq!(lease_calls(&hub.effects), [Call::Read], "it reads the lease of the new era at once");
    assert_eq!(hub.state.lease().ordering_term(hub.now), None);
    assert_eq!(hub.state.lease().held_term(hub.now), before, "no other process can have taken the lease yet");
}

/// The process that held the lease when the store was lost continues as the hub under a term of the new era.
#[test]
fn lease_holder_continues() {
    let mut hub = hub();
    hub.advance(millis(100));
    let asker = Frame { vm: "b".into(), ..Frame::default() };
    let before = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
    hub.feed(Event::Era(2));
    let copied = Versioned { version: at(1, 60), row: hub.state.lease().hub().cloned().expect("its own") };
    hub.feed(Event::Lease(Answer {
        store_ms: Some(2_100),
        era: Some(2),
        outcome: Outcome::Read(Some(copied)),
    }));
    let taken = lease_calls(&hub.effects);
    let [Call::Write { expected, row }] = &*taken else { panic!("{taken:?}") };
    assert_eq!(*expected, at(2, 0), "the lease in the copy is not of this era");
    assert_eq!((row.term, era_of(row.term)), (first_term(2), 2));
    hub.feed(Event::Lease(Answer { store_ms: Some(2_110), era: Some(2), outcome: Outcome::Written(61) }));
    assert_eq!(hub.state.lease().held_term(hub.now), Some(first_term(2)));
    let kept = hub
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Record(Record::Lease { state: "kept", .. })));
    assert!(kept);
    let after = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &asker);
    assert_eq!(
        after.residency_version, before.residency_version,
        "hundreds of entry VMs would otherwise fetch its view of the engines again"
    );
    assert_eq!(after.membership.map(|own| own.listed_for), before.membership.map(|own| own.listed_for));
}

/// The lease in the restored copy names an earlier holder, or none. A process that acquired the lease after that may still consider itself the
/// holder, so that others wait for a whole lease.
#[test]
fn others_wait_for_a_lease() {
    let settings = Settings::default();
    let mut node = Node::bare("b");
    node.feed(copy(at(1, 100), None));
    node.advance(millis(10));
    let mut old = hub_row();
    old.version = at(1, 9);
    old.row.released = true;
    let answer = |store_ms, outcome| Event::Lease(Answer { store_ms: Some(store_ms), era: Some(2), outcome });
    node.feed(answer(10_000, Outcome::Read(Some(old.clone()))));
    let first = node.now;
    let mut store_ms = 10_000;
    loop {
        let wanted = lease_calls(&node.advance(millis(10)));
        store_ms += 10;
        if wanted.contains(&Call::Read) {
            node.feed(answer(store_ms, Outcome::Read(Some(old.clone()))));
            if !lease_calls(&node.effects).is_empty() {
                break;
            }
        }
        assert!(node.now.since(first) < Duration::from_secs(4), "nobody takes the lease");
    }
    assert!(node.now.since(first) >= settings.lease_length + settings.lease_margin);
    node.feed(answer(store_ms + 5, Outcome::Written(101)));
    let wait = node.state.lease().orders_allowed_in(node.now).expect("it holds the lease");
    let last_order = first + settings.lease_length;
    assert!(node.now + wait >= last_order + settings.order_gap, "{wait:?}");
    assert!(node.now + wait <= last_order + settings.order_gap + millis(800), "{wait:?}");
    assert_eq!(node.state.lease().held_term(node.now), Some(first_term(2)));
}

/// A write to the lease row of the previous era that the store accepts after the restore does not give a lease.
#[test]
fn late_write_is_no_lease() {
    let mut hub = hub();
    let renewal = lease_calls(&hub.advance(millis(450)));
    assert!(matches!(&*renewal, [Call::Write { .. }]), "{renewal:?}");
    hub.now = hub.now + millis(200);
    hub.feed(Event::Lease(Answer { store_ms: Some(2_700), era: Some(2), outcome: Outcome::Written(100) }));
    assert_eq!(hub.state.lease().ordering_term(hub.now), None);
    hub.now = hub.now + Duration::from_secs(2);
    assert_eq!(
        hub.state.lease().held_term(hub.now),
        None,
        "its lease ends when the one from before the restore ends"
    );
}

/// A late answer from the old era does not restore the lease of a process that knows the new one.
#[test]
fn late_lease_answer() {
    let mut hub = hub();
    hub.advance(millis(450));
    hub.feed(Event::Era(2));
    hub.now = hub.now + Duration::from_secs(3);
    hub.feed(Event::Lease(Answer { store_ms: Some(9_000), era: Some(1), outcome: Outcome::Written(103) }));
    assert_eq!(hub.state.lease().held_term(hub.now), None);
}

fn digest(number: u8) -> Digest {
    Digest::from_hash([number; 32])
}

/// A configuration with one key, or without it once it is withdrawn.
fn with_keys(version: u64, withdrawn: bool) -> Config {
    let workspace = Workspace { name: "w".into(), priority: None, limit: None, ..Workspace::default() };
    let key = Key { digest: digest(1), workspace: "w".into() };
    let keys = if withdrawn { Vec::new() } else { vec![Arc::new(key)] };
    Config { access: Some(Access { workspaces: vec![Arc::new(workspace)], keys }), ..config(version) }
}

fn keyed(node: &mut Node) -> Option<Code> {
    let request = node.arrive(Arrival { key: Some(digest(1)), ..plain("/ack/1") });
    match node.step(request) {
        Some(Step::Refuse(refusal)) => Some(refusal.code),
        _ => None,
    }
}

fn declared(version: Revision, config: u64, asked: Time) -> Event {
    Event::OperatorTableRead { version, config, asked }
}

/// A process in the first era that accepts keys only with a proof younger than three seconds.
fn proving(vm: &str, config: Config) -> Node {
    let mut node =
        Node::with_settings(vm, Settings { revocation: Some(Duration::from_secs(3)), ..Settings::default() });
    let version = config.version;
    node.feed(Event::Configured(Arc::new(config)));
    node.feed(copy(at(1, 100), Some(writer("w1"))));
    node.feed(declared(at(1, 100), version, node.now));
    node.advance(Duration::from_secs(4));
    node.feed(declared(at(1, 101), version, node.now));
    assert_eq!(node.state.proof().age(node.now), Some(Duration::ZERO));
    node
}

/// A key was withdrawn after the copy was made, and this entry VM does not know it. The copy is the store's newest configuration, but does not
/// count as a proof until the operator has had time to write again.
#[test]
fn copy_is_no_proof() {
    let mut node = proving("a", with_keys(4, false));
    for _ in 0..19 {
        node.advance(millis(100));
        node.feed(declared(at(2, 90), 4, node.now));
    }
    let age = node.state.proof().age(node.now).expect("a proof from the previous era");
    assert!(age >= millis(1_850), "{age:?}");
    node.advance(millis(1_000));
    assert_eq!(keyed(&mut node), Some(Code::KeyUnproven), "the old proof is too old by now");
    node.feed(declared(at(2, 95), 4, node.now));
    assert_eq!(keyed(&mut node), None, "the operator has had time to repeat lost writes");
}

/// A current configuration that is newer than the one in the copy is kept, and proved only once the store has it again.
#[test]
fn newer_configuration_is_kept() {
    let mut node = proving("a", with_keys(5, true));
    node.feed(Event::Configured(Arc::new(with_keys(4, false))));
    assert_eq!(node.state.config().map(|config| config.version), Some(5));
    node.advance(millis(2_900));
    node.feed(declared(at(2, 90), 4, node.now));
    node.advance(millis(2_500));
    let last = node.now;
    node.feed(declared(at(2, 91), 4, last));
    assert!(node.state.proof().age(node.now).is_some_and(|age| age > Duration::from_secs(5)));
    node.feed(declared(at(2, 92), 5, last));
    assert_eq!(node.state.proof().age(node.now), Some(Duration::ZERO));
}

/// A starting process cannot know whether the era has just begun, unless the lease row says that it is settled.
#[test]
fn start_in_a_new_era() {
    let start = |settled: Option<bool>| {
        let settings = Settings { revocation: Some(Duration::from_secs(3)), ..Settings::default() };
        let mut node = Node::with_settings("a", settings);
        node.advance(millis(10));
        if let Some(settled) = settled {
            let mut hub = hub_row();
            hub.version = at(2, 9);
            hub.row.term = first_term(2);
            hub.row.settled = settled;
            node.feed(Event::Lease(Answer {
                store_ms: Some(0),
                era: Some(2),
                outcome: Outcome::Read(Some(hub)),
            }));
        }
        node.feed(Event::Configured(Arc::new(with_keys(4, false))));
        node.feed(copy(at(2, 90), Some(writer("w1"))));
        node.feed(declared(at(2, 90), 4, node.now));
        keyed(&mut node)
    };
    assert_eq!(start(None), Some(Code::KeyUnproven));
    assert_eq!(start(Some(false)), Some(Code::KeyUnproven));
    assert_eq!(start(Some(true)), None);
}

/// When 300 entry VMs lose their hub while the store is restored, each reads the whole tables at a random time within an interval that grows
/// with their number. The hub reads at once.
#[test]
fn complete_reads_are_spread() {
    let follow = |effects: &[Effect]| {
        effects.iter().rev().find_map(|effect| match effect {
            Effect::Follow(how) => Some(how.expect("it follows the store")),
            _ => None,
        })
    };
    let mut node = asker();
    node.advance(millis(200));
    let reply = Reply { leads: true, nodes: 300, era: 1, engines_revision: at(1, 100), ..Reply::default() };
    node.feed(Event::Replied(Some(Box::new(reply))));
    let without_hub =
        follow(&node.advance(Duration::from_secs(9))).expect("it follows the store once the hub is lost");
    assert_eq!(without_hub.reload_spread, Duration::from_secs(3));
    let mut hub = ready("hub");
    hub.advance(Duration::from_secs(3));
    hub.lease(2_000, Outcome::Read(None));
    let as_hub = follow(hub.lease(2_005, Outcome::Written(101))).expect("the hub follows the store");
    assert_eq!(as_hub.reload_spread, Duration::ZERO);
}

/// A starting process takes over quarantined requests from a lease row of the previous era, because it has no other source.
#[test]
fn quarantine_is_read_from_copy() {
    let mut node = Node::bare("b");
    node.advance(millis(10));
    let mut old = hub_row();
    old.version = at(1, 9);
    old.row.quarantine =
        vec![Quarantine { request: plain("/ack/1").fingerprint, until_ms: 90_000, times: 1 }];
    let answer = Answer { store_ms: Some(10_000), era: Some(2), outcome: Outcome::Read(Some(old)) };
    node.feed(Event::Lease(answer));
    assert_eq!(node.state.crashes().quarantined_count(node.now), 1);
}
