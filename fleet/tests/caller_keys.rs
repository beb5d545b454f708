//! Keys of callers: who is let in, and until when without word of the newest configuration.

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

/// The users' bound on keys that were taken away.
const BOUND: Duration = Duration::from_secs(5);

fn key(number: u8) -> Digest {
    Digest::from_hash([number; 32])
}

fn workspace(name: &str, priority: Option<u8>) -> Arc<Workspace> {
    Arc::new(Workspace { name: name.into(), priority, limit: None, ..Workspace::default() })
}

fn held(number: u8, workspace: &str) -> Arc<Key> {
    Arc::new(Key { digest: key(number), workspace: workspace.into() })
}

/// Two workspaces; the second has two keys.
fn access() -> Access {
    Access {
        workspaces: vec![workspace("wards", Some(4)), workspace("homes", None)],
        keys: vec![held(1, "wards"), held(2, "homes"), held(3, "homes")],
    }
}

fn guarded(version: u64, access: Access) -> Config {
    Config { access: Some(access), ..config(version) }
}

fn keyed(path: &str, number: u8) -> Arrival {
    Arrival { key: Some(key(number)), ..plain(path) }
}

/// A request whose caller waits for as long as its route allows.
fn patient(path: &str, number: u8) -> Arrival {
    Arrival { patience: None, ..keyed(path, number) }
}

fn settings() -> Settings {
    Settings { revocation: Some(BOUND), ..Settings::default() }
}

fn declared(node: &mut Node, asked: Time) {
    node.feed(Event::Declared { version: 40.into(), config: 1, asked });
}

/// An entry VM that has read the configuration from the store just now.
fn proven() -> Node {
    proven_with(settings())
}

fn proven_with(settings: Settings) -> Node {
    let mut node = Node::with("a", settings);
    node.feed(Event::Configured(Arc::new(guarded(1, access()))));
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
fn workspace_named() {
    let mut node = proven();
    let (_, attempt) = node.sent(keyed("/ack/1", 1));
    assert_eq!(attempt.workspace.as_deref(), Some("wards"));
    assert_eq!(attempt.priority, 4, "the workspace's, before the route's");
    let (_, attempt) = node.sent(keyed("/ack/1", 3));
    assert_eq!(attempt.workspace.as_deref(), Some("homes"));
    assert_eq!(attempt.priority, 1, "the route's");
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
    node.feed(Event::Configured(Arc::new(guarded(2, Access::default()))));
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::Unauthenticated);
    let unguarded = Access { workspaces: vec![workspace("wards", None)], keys: Vec::new() };
    node.feed(Event::Configured(Arc::new(guarded(3, unguarded))));
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::Unauthenticated);
}

#[test]
fn public_routes() {
    let mut node = proven();
    let mut config = guarded(2, access());
    let mut open = node::route("open", "/open/", Kind::Once, node::GATEWAY, 1);
    open.public = true;
    config.routes.push(Arc::new(open));
    node.feed(Event::Configured(Arc::new(config)));
    assert_eq!(node.sent(plain("/open/1")).1.workspace, None);
    assert_eq!(
        node.sent(keyed("/open/1", 9)).1.workspace,
        None,
        "an unknown key opens nothing and closes nothing"
    );
    assert_eq!(node.sent(keyed("/open/1", 1)).1.workspace.as_deref(), Some("wards"));
    node.now = node.now + BOUND;
    assert_eq!(node.sent(plain("/open/1")).1.workspace, None, "served through an outage");
}

#[test]
fn moved_and_withdrawn() {
    let mut node = proven();
    let mut after = access();
    after.keys = vec![held(1, "homes"), held(3, "homes"), held(5, "wards")];
    node.feed(Event::Configured(Arc::new(guarded(2, after))));
    assert_eq!(node.sent(keyed("/ack/1", 1)).1.workspace.as_deref(), Some("homes"), "moved");
    assert_eq!(node.sent(keyed("/ack/1", 5)).1.workspace.as_deref(), Some("wards"), "added");
    assert_eq!(node.refused(keyed("/ack/1", 2)).code, Code::Unauthenticated, "taken away");
}

#[test]
fn workspace_dropped() {
    let mut node = proven();
    let (id, attempt) = node.sent(keyed("/list/1", 1));
    let left = Access { workspaces: vec![workspace("homes", None)], keys: vec![held(2, "homes")] };
    node.feed(Event::Configured(Arc::new(guarded(2, left))));
    // What is under way ends as it would; what would be sent anew is not.
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
        panic!("it is sent again, with a key that was taken away");
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
    assert!(refusal.retry_after.is_some(), "not run, and worth another try");
    assert_eq!(node.refused(keyed("/ack/1", 9)).code, Code::KeyUnproven, "nor is an unknown key denied");
    let now = node.now;
    declared(&mut node, now);
    node.sent(keyed("/ack/1", 1));
}

/// Requests lie in the sockets of a machine that is suspended, and are read at once when it goes on.
#[test]
fn suspended_looks_again() {
    let mut node = proven();
    node.now = node.now + Duration::from_secs(20);
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::KeyUnproven);
}

#[test]
fn repeats_are_proven() {
    let mut node = proven();
    node.now = node.now + millis(4_600);
    let (id, attempt) = node.sent(patient("/list/1", 1));
    node.now = node.now + millis(200);
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
        panic!("it is sent again without a proof");
    };
    assert_eq!(refusal.code, Code::KeyUnproven);
    let (id, attempt) = {
        let now = node.now;
        declared(&mut node, now);
        node.sent(patient("/list/1", 1))
    };
    node.now = node.now + millis(4_800);
    let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Lost) else {
        panic!("it is sent again without a proof");
    };
    assert_eq!(refusal.code, Code::BackendFailed, "it may have run, so that it is not said not to have");
}

#[test]
fn without_a_bound() {
    let mut node = proven();
    let settings = Box::new(Settings::default());
    node.feed(Event::Settings(settings));
    node.now = node.now + Duration::from_hours(1);
    node.sent(keyed("/ack/1", 1));
}

/// A proof counts from before the store was asked, however late its answer comes.
#[test]
fn counts_from_the_question() {
    let mut node = proven();
    let asked = node.now + millis(100);
    node.now = node.now + millis(4_000);
    declared(&mut node, asked);
    assert_eq!(node.state.proof().age(node.now), Some(millis(3_900)));
    let later = node.now;
    declared(&mut node, later);
    declared(&mut node, asked);
    assert_eq!(node.state.proof().age(node.now), Some(Duration::ZERO), "an earlier one takes nothing back");
}

/// An entry VM that knows the configuration and has no proof, and the frame that it sends to the hub.
fn follower() -> (Node, Frame) {
    let mut node = Node::with("b", settings());
    node.feed(Event::Configured(Arc::new(guarded(1, access()))));
    node.feed(listing(vec![row(3, entry("g1", node::GATEWAY, "zone-a", &[]))], 4, true));
    node.pass(millis(10));
    node.lease(0, Outcome::Read(Some(hub_row())));
    let frame = frame_of(&node.pass(millis(400))).expect("the hub is asked");
    (node, frame)
}

/// The hub's word of another entry VM in this zone, which owns every schedule here.
fn owned_by_another() -> Reply {
    let other = Member { vm: "b".into(), zone: "zone-a".into(), address: address(7_002), weak: false };
    Reply { members: Some(vec![other]), nodes: 2, ..Reply::default() }
}

/// The hub's proof is as old as it says, and as the frame that asked for it.
#[test]
fn told_by_the_hub() {
    let mut hub = proven();
    let (mut node, frame) = follower();
    assert_eq!(node.refused(keyed("/ack/1", 1)).code, Code::KeyUnproven);
    let sent = node.now;
    hub.now = hub.now + millis(700);
    let reply = boragecove_fleet::reply(&mut hub.state, hub.now, &frame);
    node.now = node.now + millis(300);
    node.feed(Event::Replied(Some(Box::new(reply.clone()))));
    let age = node.state.proof().age(node.now).expect("proved");
    assert!(age >= millis(1_000) && age <= millis(1_000) + sent.since(Time::from_millis(node::START_MS)));
    // The same answer to a later frame would count from too late a moment.
    let later = frame_of(&node.effects).expect("the hub is asked again");
    assert_ne!(later.number, frame.number);
    node.now = node.now + millis(100);
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(node.state.proof().age(node.now), Some(age + millis(100)));
}

/// One whose configuration is older than the hub's learns nothing of how new its own is.
#[test]
fn older_is_not_proved() {
    let mut hub = proven();
    hub.feed(Event::Configured(Arc::new(guarded(7, access()))));
    let (mut node, frame) = follower();
    let mut reply = boragecove_fleet::reply(&mut hub.state, hub.now, &frame);
    reply.config = None;
    node.feed(Event::Replied(Some(Box::new(reply))));
    assert_eq!(node.state.proof().age(node.now), None);
}

/// A prompt waits for its place in the schedule of its engine, and its key is taken away, or nobody says any more that it is not.
#[test]
fn proven_after_the_schedule() {
    for (withdrawn, code) in [(true, Code::Unauthenticated), (false, Code::KeyUnproven)] {
        let mut node = proven();
        let rows = vec![row(5, entry("w1", node::WRITER, "zone-a", &["m0"]))];
        node.feed(listing(rows, 5, false));
        node.feed(Event::Replied(Some(Box::new(owned_by_another()))));
        node.now = node.now + millis(4_650);
        let now = node.now;
        declared(&mut node, now - millis(4_650));
        let id = node.arrive(Arrival { key: Some(key(1)), ..node::brief("m0") });
        assert!(node.effects.iter().any(|effect| matches!(effect, Effect::Ask { .. })), "{:?}", node.effects);
        node.now = node.now + millis(60);
        if withdrawn {
            declared(&mut node, now);
            node.feed(Event::Configured(Arc::new(guarded(2, Access::default()))));
        }
        node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
        let Some(Step::Refuse(refusal)) = node.step(id) else {
            panic!("sent: {:?}", node.effects);
        };
        assert_eq!(refusal.code, code);
    }
}

/// What is decided says until when it may be carried out: a machine may be suspended between the two. The engine is not at
/// fault, and the request is sent again once there is a proof.
#[test]
fn withheld_is_sent_again() {
    let mut node = proven();
    let (id, attempt) = node.sent(patient("/ack/1", 1));
    let send_by = attempt.send_by.expect("it has to be proved");
    assert!(send_by.since(node.now) < BOUND && send_by.since(node.now) > BOUND / 2);
    node.now = send_by;
    let asked = node.now;
    declared(&mut node, asked);
    let Some(Step::Send(again)) = node.ended(id, attempt.number, End::Withheld) else {
        panic!("{:?}", node.effects);
    };
    let suspected = |effect: &Effect| matches!(effect, Effect::Record(Record::Engine { .. }));
    assert!(!node.effects.iter().any(suspected), "nothing speaks against it: {:?}", node.effects);
    assert!(again.send_by > Some(send_by));
    node.now = again.send_by.expect("it has to be proved");
    let Some(Step::Refuse(refusal)) = node.ended(id, again.number, End::Withheld) else {
        panic!("{:?}", node.effects);
    };
    assert_eq!(refusal.code, Code::KeyUnproven);
}

/// A key goes to another workspace, or keys come to be needed, while a request waits: it was let in as another's.
#[test]
fn let_in_as_anothers() {
    let mut moved = access();
    moved.keys = vec![held(1, "homes")];
    for before in [Some(access()), None] {
        let mut node = proven();
        node.feed(Event::Configured(Arc::new(Config { access: before, ..config(2) })));
        let (id, attempt) = node.sent(keyed("/list/1", 1));
        node.feed(Event::Configured(Arc::new(guarded(3, moved.clone()))));
        let Some(Step::Refuse(refusal)) = node.ended(id, attempt.number, End::Unsent) else {
            panic!("{:?}", node.effects);
        };
        assert_eq!(refusal.code, Code::KeyUnproven);
        assert!(refusal.retry_after.is_some());
    }
}

/// On a route that needs no key a request goes on without the key that it had.
#[test]
fn public_goes_on() {
    let mut node = proven();
    let mut config = guarded(2, access());
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

/// An outage is told once when keys are refused, and once when they are served again.
#[test]
fn loss_is_logged_once() {
    let mut node = proven();
    let effects = node.pass(Duration::from_secs(9));
    assert_eq!(proofs(&effects), ["lost"]);
    let now = node.now;
    node.feed(Event::Declared { version: 41.into(), config: 1, asked: now });
    assert_eq!(proofs(&node.effects), ["found"]);
}

/// A proof is found again before the next frame: whoever was refused meanwhile has a line that says why.
#[test]
fn short_loss_is_logged() {
    let mut node = proven_with(Settings { frame_every: Duration::from_mins(1), ..settings() });
    node.now = node.now + millis(4_750);
    node.refused(keyed("/ack/1", 1));
    assert_eq!(proofs(&node.effects), ["lost"]);
    let now = node.now;
    node.feed(Event::Declared { version: 41.into(), config: 1, asked: now });
    assert_eq!(proofs(&node.effects), ["found"]);
}

/// Where keys have to be proved, the store is asked for changes oftener than it is told of them.
#[test]
fn store_answers_in_time() {
    let mut node = proven();
    let effects = node.pass(Duration::from_secs(2));
    let wait = effects.iter().find_map(|effect| match effect {
        Effect::Follow(Some(follow)) => Some(follow.operator.wait),
        _ => None,
    });
    assert!(wait.is_some_and(|wait| wait * 4 < BOUND), "{wait:?}");
}

/// One key of 5,000 workspaces changes: what is sent is that key, and not all of them.
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
    let (before, after) = (guarded(1, many(false)), guarded(2, many(true)));
    let update = Update::between(Some(&before), &after).pack().expect("packs");
    assert!(update.bytes.len() < 200, "{} bytes", update.bytes.len());
    let applied = update.unpack().and_then(|update| update.apply(Some(&before))).expect("applies");
    assert_eq!(applied, after);
    let all = Update::between(None, &after).pack().expect("packs");
    assert_eq!(all.unpack().and_then(|update| update.apply(None)).expect("applies"), after);
}

/// Nothing that is shown of a configuration or a request helps to guess a key.
#[test]
fn keys_hide_themselves() {
    let shown = format!("{:?} {:?}", guarded(1, access()), keyed("/ack/1", 0xAB));
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
