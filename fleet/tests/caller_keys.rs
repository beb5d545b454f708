//! Authentication of callers by keys, and how long keys are accepted without a proof that the configuration is the newest.

mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::time::Time;
use boragecove_fleet::config::{Access, Config, Key, Kind, Workspace};
use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::key::Digest;
use boragecove_fleet::lease::Outcome;
use boragecove_fleet::members::Member;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Arrival, End, Step};
use boragecove_fleet::schedule::Grant;
use boragecove_fleet::settings::Settings;
use boragecove_fleet::update::Update;
use node::{Node, address, config, entry, hub_row, listing, millis, plain, row};

/// Required limit on the time until a withdrawn key is refused everywhere.
const BOUND: Duration = Duration::from_secs(5);

fn key(number: u8) -> Digest {
    Digest::from_hash([number; 32])
}

fn workspace(name: &str, priority: Option<u8>) -> Arc<Workspace> {
    Arc::new(Workspace { name: name.into(), priority, limit: None, ..Workspace::default() })
}

fn key_of(number: u8, workspace: &str) -> Arc<Key> {
    Arc::new(Key { digest: key(number), workspace: workspace.into() })
}

/// Two workspaces; the second has two keys.
fn access() -> Access {
    Access {
        workspaces: vec![workspace("wards", Some(4)), workspace("homes", None)],
        keys: vec![key_of(1, "wards"), key_of(2, "homes"), key_of(3, "homes")],
    }
}

fn with_access(version: u64, access: Access) -> Config {
    Config { access: Some(access), ..config(version) }
}

fn keyed(path: &str, number: u8) -> Arrival {
    Arrival { key: Some(key(number)), ..plain(path) }
}

/// A request whose caller waits as long as the route allows.
fn patient(path: &str, number: u8) -> Arrival {
    Arrival { caller_timeout: None, ..keyed(path, number) }
}

fn settings() -> Settings {
    Settings { revocation: Some(BOUND), ..Settings::default() }
}

fn declared(node: &mut Node, asked: Time) {
    node.feed(Event::OperatorTableRead { version: 40.into(), config: 1, asked });
}

/// An entry VM that has just read the configuration from the store.
fn proven() -> Node {
    proven_with(settings())
}

fn proven_with(settings: Settings) -> Node {
    let mut node = Node::with_settings("a", settings);
    node.feed(Event::Configured(Arc::new(with_access(1, access()))));
    let rows = vec![
        row(3, entry("g1", node::GATEWAY, "zone-a", &[])),
        row(4, entry("g2", node::GATEWAY, "zone-b", &[])),
    ];
    node.feed(listing(rows, 4, true));
    let now = node.now;
    declared(&mut node, now);
    node
}

#[test]
fn workspace_of_key() {
    let mut node = proven();
    let (_, attempt) = node.sent(keyed("/ack/1", 1));
    assert_eq!(attempt.workspace.as_deref(), Some("wards"));
    assert_eq!(attempt.priority, 4, "the workspace's priority overrides the route's");
    let (_, attempt) = node.sent(keyed("/ack/1", 3));
    assert_eq!(attempt.workspace.as_deref(), Some("homes"));
    assert_eq!(attempt.priority, 1, "the route's priority");
}

#[test]
fn unknown_keys() {
    let mut node = proven();
    for arrival in [keyed("/ack/1", 9), plain("/ack/1")] {
        let refusal = node.refused(arrival);
        assert_eq!((refusal.code, refusal.retry_after), (Code::Unauthenticated, None));
    }
    assert_eq!(node.refused(keyed("/none/1", 1)).code, Code::UnknownPath);
}

#[test]
fn empty_lists() {
    let mut node = proven();
    node.feed(Event::Configured(Arc::new(with_access(2, Access::default()))));
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::Unauthenticated);
    let without_keys = Access { workspaces: vec![workspace("wards", None)], keys: Vec::new() };
    node.feed(Event::Configured(Arc::new(with_access(3, without_keys))));
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::Unauthenticated);
}

#[test]
fn public_routes() {
    let mut node = proven();
    let mut config = with_access(2, access());
    let mut open = node::route("open", "/open/", Kind::Once, node::GATEWAY, 1);
    open.public = true;
    config.routes.push(Arc::new(open));
    node.feed(Event::Configured(Arc::new(config)));
    assert_eq!(node.sent(plain("/open/1")).1.workspace, None);
    assert_eq!(
        node.sent(keyed("/open/1", 9)).1.workspace,
        None,
        "an unknown key on a public route is ignored"
    );
    assert_eq!(node.sent(keyed("/open/1", 1)).1.workspace.as_deref(), Some("wards"));
    node.now = node.now + BOUND;
    assert_eq!(node.sent(plain("/open/1")).1.workspace, None, "a public route is served through an outage");
}

#[test]
fn moved_and_withdrawn() {
    let mut node = proven();
    let mut after = access();
    after.keys = vec![key_of(1, "homes"), key_of(3, "homes"), key_of(5, "wards")];
    node.feed(Event::Configured(Arc::new(with_access(2, after))));
    assert_eq!(node.sent(keyed("/ack/1", 1)).1.workspace.as_deref(), Some("homes"), "moved");
    assert_eq!(node.sent(keyed("/ack/1", 5)).1.workspace.as_deref(), Some("wards"), "added");
    assert_eq!(node.refused(keyed("/ack/1", 2)).code, Code::Unauthenticated, "withdrawn");
}

#[test]
fn workspace_dropped() {
    let mut node = proven();
    let (id, attempt) = node.sent(keyed("/list/1", 1));
    let left = Access { workspaces: vec![workspace("homes", None)], keys: vec![key_of(2, "homes")] };
    node.feed(Event::Configured(Arc::new(with_access(2, left))));
    // A request in flight ends normally, but it is not sent again.
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
        panic!("sent again with a withdrawn key");
    };
    assert_eq!(refusal.code, Code::Unauthenticated);
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::Unauthenticated);
}

#[test]
fn fails_closed() {
    let mut node = proven();
    node.now = node.now + millis(4_600);
    node.sent(keyed("/ack/1", 1));
    node.now = node.now + millis(200);
    let refusal = node.refused(keyed("/ack/1", 1));
    assert_eq!(refusal.code, Code::KeyUnproven);
    assert!(refusal.retry_after.is_some(), "the request has not run and can be retried");
    assert_eq!(
        node.refused(keyed("/ack/1", 9)).code,
        Code::KeyUnproven,
        "an unknown key cannot be judged either"
    );
    let now = node.now;
    declared(&mut node, now);
    node.sent(keyed("/ack/1", 1));
}

/// Requests that arrive while a machine is suspended are read as soon as it resumes, when its proof has expired.
#[test]
fn suspended_checks_again() {
    let mut node = proven();
    node.now = node.now + Duration::from_secs(20);
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::KeyUnproven);
}

#[test]
fn retries_need_a_proof() {
    let mut node = proven();
    node.now = node.now + millis(4_600);
    let (id, attempt) = node.sent(patient("/list/1", 1));
    node.now = node.now + millis(200);
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
        panic!("sent again without a proof");
    };
    assert_eq!(refusal.code, Code::KeyUnproven);
    let (id, attempt) = {
        let now = node.now;
        declared(&mut node, now);
        node.sent(patient("/list/1", 1))
    };
    node.now = node.now + millis(4_800);
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Lost) else {
        panic!("sent again without a proof");
    };
    assert_eq!(
        refusal.code,
        Code::BackendFailed,
        "it may have run, so that the refusal must not claim that it has not"
    );
}

#[test]
fn without_a_bound() {
    let mut node = proven();
    let settings = Box::new(Settings::default());
    node.feed(Event::Settings(settings));
    node.now = node.now + Duration::from_hours(1);
    node.sent(keyed("/ack/1", 1));
}

/// A proof counts from the time of the query to the store, however late the answer arrives.
#[test]
fn counts_from_the_query() {
    let mut node = proven();
    let asked = node.now + millis(100);
    node.now = node.now + millis(4_000);
    declared(&mut node, asked);
    assert_eq!(node.state.proof().age(node.now), Some(millis(3_900)));
    let later = node.now;
    declared(&mut node, later);
    declared(&mut node, asked);
    assert_eq!(
        node.state.proof().age(node.now),
        Some(Duration::ZERO),
        "an earlier proof does not replace a later one"
    );
}

/// An entry VM that has the configuration but no proof, and the frame that it sends to the hub.
fn follower() -> (Node, Frame) {
    let mut node = Node::with_settings("b", settings());
    node.feed(Event::Configured(Arc::new(with_access(1, access()))));
    node.feed(listing(vec![row(3, entry("g1", node::GATEWAY, "zone-a", &[]))], 4, true));
    node.advance(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let frame = frame_of(&node.advance(millis(400))).expect("a frame to the hub");
    (node, frame)
}

/// A reply of the hub that lists another entry VM in this zone, which owns all schedules here.
fn reply_with_other_owner() -> Reply {
    let other = Member { vm: "b".into(), zone: "zone-a".into(), address: address(7_002), weak: false };
    Reply { members: Some(vec![other]), nodes: 2, ..Reply::default() }
}

/// A proof received from the hub has the age stated by the hub plus the time since the frame was sent.
#[test]
fn proof_from_the_hub() {
    let mut hub = proven();
    let (mut node, frame) = follower();
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::KeyUnproven);
    let sent = node.now;
    hub.now = hub.now + millis(700);
    let reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame);
    node.now = node.now + millis(300);
    node.feed(Event::Replied(Some(Box::new(reply.clone()))));
    let age = node.state.proof().age(node.now).expect("a proof");
    assert!(age >= millis(1_000) && age <= millis(1_000) + sent.since(Time::from_millis(node::START_MS)));
    // The reply to an earlier frame must not be counted from the time of a later one.
    let later = frame_of(&node.effects).expect("another frame to the hub");
    assert_ne!(later.number, frame.number);
    node.now = node.now + millis(100);
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(node.state.proof().age(node.now), Some(age + millis(100)));
}

/// An entry VM whose configuration is older than the hub's gets no proof from the hub's reply.
#[test]
fn no_proof_for_older_version() {
    let mut hub = proven();
    hub.feed(Event::Configured(Arc::new(with_access(7, access()))));
    let (mut node, frame) = follower();
    let mut reply = boragecove_fleet::reply_to_frame(&mut hub.state, hub.now, &frame);
    reply.config = None;
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(node.state.proof().age(node.now), None);
}

/// While a prompt waits for its slot in the schedule of its engine, its key is withdrawn or the proof expires.
#[test]
fn checked_after_reservation() {
    for (withdrawn, code) in [(true, Code::Unauthenticated), (false, Code::KeyUnproven)] {
        let mut node = proven();
        let rows = vec![row(5, entry("w1", node::WRITER, "zone-a", &["m0"]))];
        node.feed(listing(rows, 5, false));
        node.feed(Event::Replied(Some(Box::new(reply_with_other_owner()))));
        node.now = node.now + millis(4_650);
        let now = node.now;
        declared(&mut node, now - millis(4_650));
        let id = node.arrive(Arrival { key: Some(key(1)), ..node::short_stream("m0") });
        assert!(
            node.effects.iter().any(|effect| matches!(effect, Effect::Reserve { .. })),
            "{:?}",
            node.effects
        );
        node.now = node.now + millis(60);
        if withdrawn {
            declared(&mut node, now);
            node.feed(Event::Configured(Arc::new(with_access(2, Access::default()))));
        }
        node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
        let Some(Step::Refuse(refusal)) = node.step(id) else {
            panic!("sent: {:?}", node.effects);
        };
        assert_eq!(refusal.code, code);
    }
}

/// An attempt states until when it may be sent, because the machine may be suspended before it is. An attempt withheld for this reason does not
/// count against its engine, and the request is sent again once there is a proof.
#[test]
fn withheld_is_sent_again() {
    let mut node = proven();
    let (id, attempt) = node.sent(patient("/ack/1", 1));
    let send_by = attempt.send_by.expect("a time limit");
    assert!(send_by.since(node.now) < BOUND && send_by.since(node.now) > BOUND / 2);
    node.now = send_by;
    let asked = node.now;
    declared(&mut node, asked);
    let Some(Step::Send(again)) = node.ended(id, attempt.number, End::Withheld) else {
        panic!("{:?}", node.effects);
    };
    let suspected = |effect: &Effect| matches!(effect, Effect::Record(Record::Engine { .. }));
    assert!(!node.effects.iter().any(suspected), "the engine is not suspected: {:?}", node.effects);
    assert!(again.send_by > Some(send_by));
    node.now = again.send_by.expect("a time limit");
    let Some(Step::Refuse(refusal)) = node.ended(id, again.number, End::Withheld) else {
        panic!("{:?}", node.effects);
    };
    assert_eq!(refusal.code, Code::KeyUnproven);
}

/// While a request waits, its key moves to another workspace, or keys become required: it was admitted for another workspace and is refused.
#[test]
fn admitted_for_other_workspace() {
    let mut moved = access();
    moved.keys = vec![key_of(1, "homes")];
    for before in [Some(access()), None] {
        let mut node = proven();
        node.feed(Event::Configured(Arc::new(Config { access: before, ..config(2) })));
        let (id, attempt) = node.sent(keyed("/list/1", 1));
        node.feed(Event::Configured(Arc::new(with_access(3, moved.clone()))));
        let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
            panic!("{:?}", node.effects);
        };
        assert_eq!(refusal.code, Code::KeyUnproven);
        assert!(refusal.retry_after.is_some());
    }
}

/// On a public route a request continues without its workspace when the proof has expired.
#[test]
fn public_route_continues() {
    let mut node = proven();
    let mut config = with_access(2, access());
    let mut open = node::route("open", "/open/", Kind::Idempotent, node::GATEWAY, 2);
    open.public = true;
    config.routes.push(Arc::new(open));
    node.feed(Event::Configured(Arc::new(config)));
    let (id, attempt) = node.sent(patient("/open/1", 1));
    assert_eq!(attempt.workspace.as_deref(), Some("wards"));
    node.now = node.now + BOUND;
    let Some(Step::Send(again)) = node.ended(id, attempt.number, End::Unsent) else {
        panic!("{:?}", node.effects);
    };
    assert_eq!((again.workspace, again.send_by), (None, None));
}

/// An outage is logged once when keys begin to be refused, and once when they are accepted again.
#[test]
fn loss_is_logged_once() {
    let mut node = proven();
    let effects = node.advance(Duration::from_secs(9));
    assert_eq!(proofs(&effects), ["lost"]);
    let now = node.now;
    node.feed(Event::OperatorTableRead { version: 41.into(), config: 1, asked: now });
    assert_eq!(proofs(&node.effects), ["found"]);
}

/// The loss of a proof is logged even if a new proof arrives before the next frame, so that the log explains the refusals in between.
#[test]
fn short_loss_is_logged() {
    let mut node = proven_with(Settings { frame_every: Duration::from_mins(1), ..settings() });
    node.now = node.now + millis(4_750);
    node.refused(keyed("/ack/1", 1));
    assert_eq!(proofs(&node.effects), ["lost"]);
    let now = node.now;
    node.feed(Event::OperatorTableRead { version: 41.into(), config: 1, asked: now });
    assert_eq!(proofs(&node.effects), ["found"]);
}

/// If keys require a proof, long polls of the store are limited to a fraction of the time that a proof lasts.
#[test]
fn poll_is_limited() {
    let mut node = proven();
    let effects = node.advance(Duration::from_secs(2));
    let wait = effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(follow)) => Some(follow.operator.wait),
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait * 4 < BOUND), "{wait:?}");
}

/// If one of 5,000 keys is withdrawn, the update contains only that key.
#[test]
fn one_key_of_thousands() {
    let many = |withdrawn: bool| {
        let workspaces = (0..5_000).map(|at| workspace(&format!("w{at}"), None)).collect();
        let key = |at: u32| {
            let mut hash = [0; 32];
            hash[..4].copy_from_slice(&at.wrapping_mul(0x9E37_79B9).to_le_bytes());
            Arc::new(Key { digest: Digest::from_hash(hash), workspace: format!("w{at}").into() })
        };
        Access { workspaces, keys: (u32::from(withdrawn)..5_000).map(key).collect() }
    };
    let (before, after) = (with_access(1, many(false)), with_access(2, many(true)));
    let update = Update::between(Some(&before), &after).pack().expect("packs");
    assert!(update.bytes.len() < 200, "{} bytes", update.bytes.len());
    let applied = update.unpack().and_then(|update| update.apply(Some(&before))).expect("applies");
    assert_eq!(applied, after);
    let all = Update::between(None, &after).pack().expect("packs");
    assert_eq!(all.unpack().and_then(|update| update.apply(None)).expect("applies"), after);
}

/// The debug output of a configuration or a request contains nothing that helps to guess a key.
#[test]
fn debug_output_hides_keys() {
    let shown = format!("{:?} {:?}", with_access(1, access()), keyed("/ack/1", 0xAB));
    assert!(shown.contains("Digest(..)"));
    assert!(!shown.contains("171") && !shown.to_lowercase().contains("abab"), "{shown}");
}

fn proofs(effects: &[Effect]) -> Vec<&'static str> {
    let proof = |effect: &Effect| match effect {
        Effect::Record(Record::Proof { state, .. }) => Some(*state),
        _ => None,
    };
    effects.iter().filter_map(proof).collect()
}

fn frame_of(effects: &[Effect]) -> Option<Frame> {
    effects.iter().find_map(|effect| match effect {
        Effect::Frame { address: to, frame } if *to == address(7_001) => Some((**frame).clone()),
        _ => None,
    })
}
