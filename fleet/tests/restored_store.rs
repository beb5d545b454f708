//! A store that comes back from an older copy: what was written since is gone, versions are given out again, its era has risen.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Access, Config, Key, Workspace};
use boragecove_fleet::crash::Kept;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::{Entry, Incarnation, Row};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::key::Digest;
use boragecove_fleet::lease::{Answer, Call, Outcome, Seen, era_of, first_term};
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

fn leaves(id: &str) -> Entry {
    Entry { leaving: true, ..writer(id) }
}

/// The entries of the other engines that each process of these tests knows, as the copy has them.
fn others(version: Revision) -> Vec<Row> {
    vec![
        row(version, entry("w2", WRITER, "zone-b", &["m0", "m2"])),
        row(version, entry("g1", GATEWAY, "zone-a", &[])),
        row(version, entry("g2", GATEWAY, "zone-b", &[])),
    ]
}

/// All entries in the copy, with this one of `w1` if there is one.
fn copy(version: Revision, w1: Option<Entry>) -> Event {
    let mut rows = others(version);
    rows.extend(w1.map(|entry| row(version, entry)));
    listing(rows, version, true)
}

/// A process that knows four engines up to version 100 of the first era.
fn ready(vm: &str) -> Node {
    let mut node = Node::with(vm, Settings::default());
    node.feed(Event::Configured(Arc::new(config(1))));
    node.feed(copy(at(1, 100), Some(writer("w1"))));
    node
}

fn serves(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id && engine.takes_work())
}

fn known(node: &Node, id: &str) -> bool {
    node.state.engines().any(|engine| *engine.entry.id == *id)
}

/// Guards against the incident: the row that said an engine leaves had a lower version than the one known from before the store came
/// back, and was passed over.
#[test]
fn lower_version_is_news() {
    let mut node = ready("a");
    node.feed(copy(at(2, 80), Some(writer("w1"))));
    node.feed(listing(vec![row(at(2, 88), leaves("w1"))], at(2, 88), false));
    assert!(known(&node, "w1") && !serves(&node, "w1"));
    assert_eq!(node.state.rows_passed_over(), 0);
}

#[test]
fn leaving_stays_leaving() {
    let mut node = ready("a");
    node.feed(listing(vec![row(at(1, 104), leaves("w1"))], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    assert!(!serves(&node, "w1"), "the copy is from before it said so");
    node.feed(listing(vec![row(at(2, 95), writer("w1"))], at(2, 95), false));
    assert!(!serves(&node, "w1"), "a heartbeat from before it said so may come late");
    let again = Entry { incarnation: Incarnation(Some(9)), ..writer("w1") };
    node.feed(listing(vec![row(at(2, 96), again)], at(2, 96), false));
    assert!(serves(&node, "w1"), "another start of it does not leave");
}

/// Its removal is lost with the rest: it may still run for a while, and its address may be another's by now.
#[test]
fn removed_is_doubted() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.pass(Duration::from_secs(3));
    assert!(!serves(&node, "w1"), "the store has not missed three of its heartbeats yet");
    node.feed(listing(vec![removed(at(2, 99), "w1")], at(2, 99), false));
    node.pass(Duration::from_secs(5));
    assert!(!known(&node, "w1"));
}

#[test]
fn removed_and_sound_is_back() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    let mut written = node;
    written.feed(listing(vec![row(at(2, 93), writer("w1"))], at(2, 93), false));
    assert!(serves(&written, "w1"), "it has registered since");
    let mut node = ready("b");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    let early = node.now;
    node.pass(Duration::from_secs(5));
    node.feed(listed(early, Vec::new(), at(2, 95), false));
    assert!(
        !serves(&node, "w1"),
        "an answer that lay in the socket of a suspended machine says nothing of now"
    );
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
    let mut node = ready("c");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let again = Entry { incarnation: Incarnation(Some(9)), ..writer("w1") };
    node.feed(copy(at(2, 90), Some(again)));
    assert!(serves(&node, "w1"), "it has started since");
}

/// An engine whose entry is younger than the copy: it writes it again.
#[test]
fn lacking_is_waited_for() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), None));
    node.pass(millis(1_800));
    assert!(serves(&node, "w1"), "writers have two seconds");
    node.feed(listing(vec![row(at(2, 97), writer("w1"))], at(2, 97), false));
    node.pass(Duration::from_secs(3));
    assert!(serves(&node, "w1"));
    let mut node = ready("b");
    node.feed(copy(at(2, 90), None));
    node.pass(millis(2_100));
    assert!(!known(&node, "w1"), "an entry that is still missing then is to be taken as gone");
}

/// An answer that was made before the store came back, and came after another of the new era.
#[test]
fn late_answer_changes_nothing() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.feed(listing(vec![removed(at(1, 120), "w1")], at(1, 120), false));
    assert!(serves(&node, "w1"));
    node.feed(copy(at(1, 130), None));
    node.pass(Duration::from_secs(5));
    assert!(serves(&node, "w1"));
    assert_eq!(node.state.answers_outdated(), 2);
}

/// It was removed just after one return, and is waited for, as the store comes back from a copy of before that once more.
#[test]
fn lapsing_over_a_second_return() {
    let mut node = ready("a");
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.pass(millis(300));
    node.feed(listing(vec![removed(at(2, 95), "w1")], at(2, 95), false));
    assert!(serves(&node, "w1"), "entries of sound engines lapse around an outage");
    node.feed(copy(at(3, 80), Some(writer("w1"))));
    node.pass(millis(1_600));
    assert!(!serves(&node, "w1"), "the copy is from before its removal");
    node.feed(listing(vec![row(at(3, 99), writer("w1"))], at(3, 99), false));
    assert!(serves(&node, "w1"), "it has registered since");
}

/// Two returns, the second while engines still write again what the first one lost.
#[test]
fn second_return() {
    let mut node = ready("a");
    node.feed(listing(vec![row(at(1, 104), leaves("w1"))], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.pass(millis(700));
    node.feed(copy(at(3, 70), Some(writer("w1"))));
    assert!(!serves(&node, "w1"));
    node.feed(listing(vec![row(at(3, 71), writer("w1"))], at(3, 71), false));
    assert!(!serves(&node, "w1"));
    node.feed(listing(vec![row(at(3, 72), leaves("w2"))], at(3, 72), false));
    assert!(!serves(&node, "w2"));
    node.pass(Duration::from_secs(5));
    assert!(serves(&node, "g1") && serves(&node, "g2"), "the others were there all along");
}

/// One line says what is given up with the old era, one when the table is whole again.
#[test]
fn era_is_logged() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let told = node.feed(Event::Era(2)).to_vec();
    let era = |effect: &Effect| {
        matches!(
            effect,
            Effect::Record(Record::Era { era: 2, before: 1, listed: 104, removed: 1, led: false, .. })
        )
    };
    assert_eq!(told.iter().filter(|effect| era(effect)).count(), 1);
    node.pass(millis(300));
    let told = node.feed(copy(at(2, 90), Some(writer("w1")))).to_vec();
    let reread = |effect: &Effect| {
        matches!(
            effect,
            Effect::Record(Record::Reread { era: 2, version: 90, after_ms: 300, returned: 1, .. })
        )
    };
    assert_eq!(told.iter().filter(|effect| reread(effect)).count(), 1);
    let again = node.feed(Event::Era(2)).to_vec();
    assert!(!again.iter().any(era), "it is known");
}

/// What an entry VM that starts hears first is no return.
#[test]
fn first_word_is_no_return() {
    let mut node = Node::bare("a");
    node.feed(Event::Configured(Arc::new(config(1))));
    let told = node.feed(copy(at(7, 100), Some(writer("w1")))).to_vec();
    assert!(!told.iter().any(|effect| matches!(effect, Effect::Record(Record::Era { .. }))));
    assert_eq!(node.state.era().number(), 7);
}

/// A process that holds the lease of the first era, and knows four engines.
fn leader() -> Node {
    let mut hub = ready("hub");
    hub.pass(Duration::from_secs(3));
    hub.lease(2_000, Outcome::Read(None));
    assert!(matches!(&*lease_calls(&hub.effects), [Call::Write { .. }]), "{:?}", hub.effects);
    hub.lease(2_005, Outcome::Written(101));
    for step in 0..100 {
        if !lease_calls(&hub.pass(millis(50))).is_empty() {
            hub.lease(2_050 + 50 * step, Outcome::Written(102 + step));
        }
    }
    assert!(hub.state.lease().orders(hub.now).is_some());
    hub
}

fn asker() -> Node {
    let mut node = ready("a");
    node.pass(millis(10));
    let mut hub = hub_row();
    hub.version = at(1, 9);
    hub.row.term = first_term(1);
    node.lease(0, Outcome::Read(Some(hub)));
    node
}

/// The others hear of the return by the hub, with what differs from before alone: 300 of them ask within a second or two.
#[test]
fn hub_tells_what_differs() {
    let (mut hub, mut asker) = (leader(), asker());
    exchange(&mut hub, &mut asker);
    hub.feed(copy(at(2, 90), Some(writer("w1"))));
    let told = exchange(&mut hub, &mut asker);
    assert!(told.rows.is_empty() && !told.whole, "{told:?}");
    assert_eq!((told.era, told.listed), (2, at(2, 90)));
    assert_eq!(asker.state.era().number(), 2);
    hub.feed(listing(vec![row(at(2, 93), leaves("w1"))], at(2, 93), false));
    let told = exchange(&mut hub, &mut asker);
    assert_eq!(told.rows.len(), 1, "{told:?}");
    assert!(!serves(&asker, "w1"));
}

/// An entry VM may know more of the old era than the hub did: what differs from the hub's knowledge is not enough for it.
#[test]
fn who_knew_more_is_told_all() {
    let (mut hub, mut asker) = (leader(), asker());
    asker.feed(listing(vec![removed(at(1, 105), "w1")], at(1, 105), false));
    hub.feed(copy(at(2, 90), Some(writer("w1"))));
    let told = exchange(&mut hub, &mut asker);
    assert!(told.whole);
    assert_eq!(told.rows.len(), 4);
    assert!(!serves(&asker, "w1"), "it knows that w1 was removed after the copy was made");
    assert!(serves(&asker, "w2"));
}

/// The number of the frame that an entry VM sends once the one before went unanswered.
fn frame_number(asker: &mut Node) -> u64 {
    asker.feed(Event::Replied(None));
    let wanted = asker.pass(millis(300));
    let frame = wanted.iter().rev().find_map(|effect| match effect {
        Effect::Frame { frame, .. } => Some(frame.number),
        _ => None,
    });
    frame.expect("a frame")
}

/// Guards against an engine that left being sent requests again: a leader which the store serves again after an outage, and which has not read the
/// engines' table yet, vouches for no entry of a copy.
#[test]
fn unread_leader_vouches_for_nothing() {
    let (mut hub, mut asker) = (leader(), asker());
    asker.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    let mut rows = others(at(2, 90));
    rows.push(row(at(2, 90), writer("w1")));
    hub.feed(listed(hub.now, rows, at(2, 90), true));
    let told = exchange(&mut hub, &mut asker);
    asker.pass(Duration::from_secs(6));
    let unread = Reply {
        number: frame_number(&mut asker),
        leads: true,
        store_age: Duration::ZERO,
        listed_age: Some(Duration::from_secs(6)),
        whole: false,
        ..told.clone()
    };
    asker.feed(Event::Replied(Some(Box::new(unread.clone()))));
    assert!(!serves(&asker, "w1"), "what the leader knows is from before the store would have removed it");
    let read = Reply { number: frame_number(&mut asker), listed_age: Some(Duration::ZERO), ..unread };
    asker.feed(Event::Replied(Some(Box::new(read))));
    assert!(serves(&asker, "w1"), "the store would have removed it by now");
}

/// Guards against the same by other roads: whoever passes a row on may doubt it itself.
#[test]
fn passed_on_is_doubted() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(listed(node.now, others(at(2, 90)), at(2, 90), true));
    node.pass(Duration::from_secs(6));
    let departures = vec![row(at(2, 90), writer("w1"))];
    node.feed(Event::Pushed(Box::new(Message { departures, ..Message::default() })));
    assert!(!serves(&node, "w1"));
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
}

/// Guards against an engine that left being sent requests again where the leader says that all was written again: the store removes the entry of an engine that is gone later than that.
#[test]
fn settled_era_is_doubted() {
    let mut node = ready("a");
    node.feed(listing(vec![removed(at(1, 104), "w1")], at(1, 104), false));
    node.feed(copy(at(2, 90), Some(writer("w1"))));
    node.pass(millis(2_100));
    let mut hub = hub_row();
    hub.version = at(2, 9);
    hub.row.term = first_term(2);
    hub.row.settled = true;
    node.lease(0, Outcome::Read(Some(hub)));
    node.pass(millis(300));
    node.feed(listed(node.now, Vec::new(), at(2, 95), false));
    assert!(!serves(&node, "w1"), "the store has not missed three of its heartbeats yet");
    node.pass(millis(2_000));
    node.feed(listed(node.now, Vec::new(), at(2, 96), false));
    assert!(serves(&node, "w1"), "the store would have removed it by now");
}

/// An entry VM that has seen the new era tells the hub, which gives no more orders under the old one's number.
#[test]
fn frame_tells_the_hub() {
    let mut hub = leader();
    let before = hub.state.lease().holds(hub.now);
    let told = Frame { vm: "b".into(), era: 2, ..Frame::default() };
    hub.feed(Event::Framed(Box::new(told)));
    assert_eq!(lease_calls(&hub.effects), [Call::Read], "it looks for the new era's row at once");
    assert_eq!(hub.state.lease().orders(hub.now), None);
    assert_eq!(hub.state.lease().holds(hub.now), before, "nobody else can have taken it yet");
}

/// Whoever held the lease as the store was lost goes on under the new era's number.
#[test]
fn holder_goes_on() {
    let mut hub = leader();
    hub.pass(millis(100));
    let asker = Frame { vm: "b".into(), ..Frame::default() };
    let before = boragecove_fleet::reply(&mut hub.state, hub.now, &asker);
    hub.feed(Event::Era(2));
    let copied = Seen { version: at(1, 60), row: hub.state.lease().hub().cloned().expect("its own") };
    hub.feed(Event::Lease(Answer {
        store_ms: Some(2_100),
        era: Some(2),
        outcome: Outcome::Read(Some(copied)),
    }));
    let taken = lease_calls(&hub.effects);
    let [Call::Write { expected, row }] = &*taken else { panic!("{taken:?}") };
    assert_eq!(*expected, at(2, 0), "the copy's row is none of this era");
    assert_eq!((row.term, era_of(row.term)), (first_term(2), 2));
    hub.feed(Event::Lease(Answer { store_ms: Some(2_110), era: Some(2), outcome: Outcome::Written(61) }));
    assert_eq!(hub.state.lease().holds(hub.now), Some(first_term(2)));
    let kept = hub
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Record(Record::Lease { state: "kept", .. })));
    assert!(kept);
    let after = boragecove_fleet::reply(&mut hub.state, hub.now, &asker);
    assert_eq!(after.view, before.view, "what it has said of engines is not to be told to hundreds again");
    assert_eq!(after.membership.map(|own| own.listed), before.membership.map(|own| own.listed));
}

/// The row that the copy has names a holder of some moments ago, or none: whoever led since may still believe that it does.
#[test]
fn others_wait_for_a_lease() {
    let settings = Settings::default();
    let mut node = Node::bare("b");
    node.feed(copy(at(1, 100), None));
    node.pass(millis(10));
    let mut old = hub_row();
    old.version = at(1, 9);
    old.row.released = true;
    let answer = |store_ms, outcome| Event::Lease(Answer { store_ms: Some(store_ms), era: Some(2), outcome });
    node.feed(answer(10_000, Outcome::Read(Some(old.clone()))));
    let first = node.now;
    let mut store_ms = 10_000;
    loop {
        let wanted = lease_calls(&node.pass(millis(10)));
        store_ms += 10;
        if wanted.contains(&Call::Read) {
            node.feed(answer(store_ms, Outcome::Read(Some(old.clone()))));
            if !lease_calls(&node.effects).is_empty() {
                break;
            }
        }
        assert!(node.now.since(first) < Duration::from_secs(4), "nobody ever takes it");
    }
    assert!(node.now.since(first) >= settings.lease_length + settings.lease_margin);
    node.feed(answer(store_ms + 5, Outcome::Written(101)));
    let wait = node.state.lease().orders_in(node.now).expect("it holds the lease");
    let last_order = first + settings.lease_length;
    assert!(node.now + wait >= last_order + settings.order_gap, "{wait:?}");
    assert!(node.now + wait <= last_order + settings.order_gap + millis(800), "{wait:?}");
    assert_eq!(node.state.lease().holds(node.now), Some(first_term(2)));
}

/// A write into the row of the era before, which the store did after it had come back, is no lease.
#[test]
fn late_write_is_no_lease() {
    let mut hub = leader();
    let renewal = lease_calls(&hub.pass(millis(450)));
    assert!(matches!(&*renewal, [Call::Write { .. }]), "{renewal:?}");
    hub.now = hub.now + millis(200);
    hub.feed(Event::Lease(Answer { store_ms: Some(2_700), era: Some(2), outcome: Outcome::Written(100) }));
    assert_eq!(hub.state.lease().orders(hub.now), None);
    hub.now = hub.now + Duration::from_secs(2);
    assert_eq!(hub.state.lease().holds(hub.now), None, "its lease ends when the one before the return does");
}

/// A late answer of the old era gives no lease back to whoever knows the new one.
#[test]
fn late_lease_answer() {
    let mut hub = leader();
    hub.pass(millis(450));
    hub.feed(Event::Era(2));
    hub.now = hub.now + Duration::from_secs(3);
    hub.feed(Event::Lease(Answer { store_ms: Some(9_000), era: Some(1), outcome: Outcome::Written(103) }));
    assert_eq!(hub.state.lease().holds(hub.now), None);
}

fn digest(number: u8) -> Digest {
    Digest::from_hash([number; 32])
}

/// A configuration with one key, or with none once it is taken away.
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
    Event::Declared { version, config, asked }
}

/// A process that needs proofs that are younger than three seconds, and knows the first era.
fn proving(vm: &str, config: Config) -> Node {
    let mut node =
        Node::with(vm, Settings { revocation: Some(Duration::from_secs(3)), ..Settings::default() });
    let version = config.version;
    node.feed(Event::Configured(Arc::new(config)));
    node.feed(copy(at(1, 100), Some(writer("w1"))));
    node.feed(declared(at(1, 100), version, node.now));
    node.pass(Duration::from_secs(4));
    node.feed(declared(at(1, 101), version, node.now));
    assert_eq!(node.state.proof().age(node.now), Some(Duration::ZERO));
    node
}

/// A key was taken away after the copy was made, and this entry VM has not heard of it: the copy is the newest that the store has, which
/// proves nothing until the operator has written again.
#[test]
fn copy_proves_nothing() {
    let mut node = proving("a", with_keys(4, false));
    for _ in 0..19 {
        node.pass(millis(100));
        node.feed(declared(at(2, 90), 4, node.now));
    }
    let age = node.state.proof().age(node.now).expect("one of the era before");
    assert!(age >= millis(1_850), "{age:?}");
    node.pass(millis(1_000));
    assert_eq!(keyed(&mut node), Some(Code::KeyUnproven), "the old proof is too old by now");
    node.feed(declared(at(2, 95), 4, node.now));
    assert_eq!(keyed(&mut node), None, "what the operator wrote is written again by now");
}

/// The configuration in force is newer than the copy's: it stays, and the store proves it only once it has it again.
#[test]
fn configuration_stays() {
    let mut node = proving("a", with_keys(5, true));
    node.feed(Event::Configured(Arc::new(with_keys(4, false))));
    assert_eq!(node.state.config().map(|config| config.version), Some(5));
    node.pass(millis(2_900));
    node.feed(declared(at(2, 90), 4, node.now));
    node.pass(millis(2_500));
    let last = node.now;
    node.feed(declared(at(2, 91), 4, last));
    assert!(node.state.proof().age(node.now).is_some_and(|age| age > Duration::from_secs(5)));
    node.feed(declared(at(2, 92), 5, last));
    assert_eq!(node.state.proof().age(node.now), Some(Duration::ZERO));
}

/// A process that starts cannot know whether the era has just begun, unless whoever leads says so.
#[test]
fn start_in_a_new_era() {
    let start = |settled: Option<bool>| {
        let settings = Settings { revocation: Some(Duration::from_secs(3)), ..Settings::default() };
        let mut node = Node::with("a", settings);
        node.pass(millis(10));
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

/// The load of 300 entry VMs that lose their leader as the store comes back: each reads whole tables at a moment of its own, within a time
/// that grows with their number. The leader reads at once.
#[test]
fn whole_reads_are_spread() {
    let follow = |effects: &[Effect]| {
        effects.iter().rev().find_map(|effect| match effect {
            Effect::Follow(how) => Some(how.expect("it follows the store")),
            _ => None,
        })
    };
    let mut node = asker();
    node.pass(millis(200));
    let word = Reply { leads: true, nodes: 300, era: 1, listed: at(1, 100), ..Reply::default() };
    node.feed(Event::Replied(Some(Box::new(word))));
    let alone = follow(&node.pass(Duration::from_secs(9))).expect("the leader is lost");
    assert_eq!(alone.spread, Duration::from_secs(3));
    let mut hub = ready("hub");
    hub.pass(Duration::from_secs(3));
    hub.lease(2_000, Outcome::Read(None));
    let leads = follow(hub.lease(2_005, Outcome::Written(101))).expect("it reads for all");
    assert_eq!(leads.spread, Duration::ZERO);
}

/// Requests that crash engines are known from the row of the era before, too: a process that starts with nothing has no other source.
#[test]
fn copy_keeps_quarantine() {
    let mut node = Node::bare("b");
    node.pass(millis(10));
    let mut old = hub_row();
    old.version = at(1, 9);
    old.row.quarantine = vec![Kept { request: plain("/ack/1").fingerprint, until_ms: 90_000, times: 1 }];
    let answer = Answer { store_ms: Some(10_000), era: Some(2), outcome: Outcome::Read(Some(old)) };
    node.feed(Event::Lease(answer));
    assert_eq!(node.state.crashes().quarantined(node.now), 1);
}
