//! Parts of prompts under which engines crash: what convicts one, what speaks for it, who is told, and what becomes of requests that
//! hold it.

mod links;
mod node;

use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_fleet::crash::{Entry, Kept, News, Status, Suspect};
use boragecove_fleet::effect::Effect;
use boragecove_fleet::engine::Reach;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::Frame;
use boragecove_fleet::lease::{self, Outcome};
use boragecove_fleet::push::{Message, Push};
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Arrival, Attempt, Cause, End, Fingerprint, Id, Step};
use boragecove_fleet::schedule::Grant;
use node::{HOST, Node, WRITER, began, config, entry, listing, millis, row, step_of, streamed};

/// The part that ends engines.
const BAD: &str = "b";
/// Time within which a part with enough against it is convicted, once engines answer.
const JUDGED: Duration = Duration::from_secs(1);

struct Scene {
    node: Node,
    drawn: u64,
}

impl Scene {
    fn new() -> Self {
        let mut node = Node::ready("a");
        let rows = (1..40).map(|at| row(at + 10, entry(&format!("e{at}"), WRITER, "zone-a", &["m0", "m1"])));
        node.feed(listing(rows.collect(), 60, false));
        Self { node, drawn: 0 }
    }

    /// A request like no other, with these parts.
    fn request(&mut self, model: &str, parts: &[&str]) -> Arrival {
        self.drawn += 1;
        let fingerprint = Fingerprint::of(HOST, "/brief/1", format!("{}", self.drawn).as_bytes());
        let parts = parts.iter().map(|part| Fingerprint::of_part(part)).collect();
        Arrival { fingerprint, parts, ..streamed("/brief/1", model, None) }
    }

    /// A request that is sent at once, with a place at its engine if it needs one.
    fn sent(&mut self, arrival: Arrival) -> (Id, Attempt) {
        let id = self.node.arrive(arrival);
        if self.node.step(id).is_none() {
            self.node.feed(Event::Granted { request: id, grant: Some(Grant::After(Duration::ZERO)) });
        }
        match self.node.step(id) {
            Some(Step::Send(attempt)) => (id, attempt),
            other => panic!("not sent: {other:?}"),
        }
    }

    /// A request that is answered well.
    fn answer(&mut self, model: &str, parts: &[&str]) -> Vec<Effect> {
        let arrival = self.request(model, parts);
        let (id, attempt) = self.sent(arrival);
        self.finish(id, &attempt)
    }

    fn finish(&mut self, id: Id, attempt: &Attempt) -> Vec<Effect> {
        let mut effects = self.node.pass(millis(30));
        effects.extend(self.node.feed(began(id)).to_vec());
        effects.extend(self.node.pass(millis(350)));
        effects.extend(self.node.feed(began(id)).to_vec());
        self.node.ended(id, attempt.number, End::Done);
        effects.extend(self.node.effects.clone());
        effects
    }

    /// A request whose engine crashes under it.
    fn crash(&mut self, model: &str, parts: &[&str]) -> Vec<Effect> {
        let arrival = self.request(model, parts);
        let (id, attempt) = self.sent(arrival);
        self.lose(id, &attempt)
    }

    fn lose(&mut self, id: Id, attempt: &Attempt) -> Vec<Effect> {
        self.node.pass(millis(50));
        self.node.ended(id, attempt.number, End::Lost);
        let mut effects = self.node.effects.clone();
        self.node.feed(Event::Probed { engine: attempt.engine.clone(), reach: Reach::Closed });
        effects.extend(self.node.effects.clone());
        self.node.pass(millis(10));
        effects
    }

    /// Others are answered for as long as a conviction takes.
    fn others(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..3 {
            effects.extend(self.answer("m0", &["other"]));
            effects.extend(self.node.pass(JUDGED / 3));
        }
        effects
    }

    /// Three crashes, with others served.
    fn convict(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        for _ in 0..3 {
            effects.extend(self.crash("m0", &["f", BAD]));
        }
        effects.extend(self.answer("m0", &["f"]));
        effects.extend(self.others());
        effects
    }

    fn is_refused(&mut self, model: &str, parts: &[&str]) -> bool {
        let arrival = self.request(model, parts);
        let id = self.node.arrive(arrival);
        match self.node.step(id) {
            Some(Step::Refuse(refusal)) => refusal.code == Code::CrashesBackends,
            Some(Step::Send(attempt)) => {
                self.node.ended(id, attempt.number, End::Refused(Cause::Busy));
                false
            }
            other => panic!("neither sent nor refused: {other:?}"),
        }
    }
}

fn pushed(effects: &[Effect]) -> Vec<Message> {
    let message = |effect: &Effect| match effect {
        Effect::Push(Push { message, .. }) => Some((**message).clone()),
        _ => None,
    };
    effects.iter().filter_map(message).collect()
}

/// Guards against requests of which no two are alike, and that end engine after engine by a part that they share.
#[test]
fn shared_part_convicted() {
    let mut scene = Scene::new();
    scene.convict();
    let arrival = scene.request("m0", &["f", BAD]);
    let refusal = scene.node.refused(arrival);
    assert_eq!((refusal.code.status(), refusal.retry_after), (400, None), "not invited back");
    assert!(!scene.is_refused("m0", &["f", "c"]), "the same first part");
    assert!(!scene.is_refused("m0", &["f"]));
    assert!(!scene.is_refused("m0", &[]));
    assert!(scene.is_refused("m1", &["g", BAD]), "whatever else a request holds");
}

#[test]
fn two_crashes_convict_nobody() {
    let mut scene = Scene::new();
    scene.crash("m0", &["f", BAD]);
    scene.crash("m0", &["f", BAD]);
    scene.others();
    assert!(!scene.is_refused("m0", &["f", BAD]));
}

/// Crashes long ago count as well, if no answer came since.
#[test]
fn crashes_minutes_apart() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        scene.crash("m0", &["f", BAD]);
        scene.answer("m0", &["f"]);
        scene.node.pass(Duration::from_mins(3));
    }
    scene.others();
    assert!(scene.is_refused("m0", &["g", BAD]));
}

#[test]
fn answer_between_crashes() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        scene.crash("m0", &["f", "c"]);
        scene.answer("m0", &["f", "c"]);
    }
    scene.others();
    assert!(!scene.is_refused("m0", &["f", "c"]));
}

/// A first event alone says little: some engines end just after it.
#[test]
fn first_event_clears_nobody() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        let arrival = scene.request("m0", &["f", BAD]);
        let (id, attempt) = scene.sent(arrival);
        scene.node.pass(millis(30));
        scene.node.feed(began(id));
        scene.lose(id, &attempt);
    }
    scene.answer("m0", &["f"]);
    scene.others();
    assert!(scene.is_refused("m0", &["f", BAD]));
}

/// Streams that were being written for long are victims.
#[test]
fn long_streams_are_victims() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        let arrival = scene.request("m0", &["c"]);
        let (id, attempt) = scene.sent(arrival);
        scene.node.feed(began(id));
        scene.node.pass(millis(400));
        scene.lose(id, &attempt);
    }
    scene.others();
    assert!(!scene.is_refused("m0", &["c"]));
}

/// Nobody is convicted while no engine answers anybody.
#[test]
fn nobody_answered() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        scene.crash("m0", &["f", BAD]);
    }
    scene.node.pass(Duration::from_secs(5));
    assert!(!scene.is_refused("m0", &["f", BAD]));
    scene.answer("m0", &["f"]);
    scene.others();
    assert!(scene.is_refused("m0", &["f", BAD]));
}

/// A part that one model's engines cannot bear is refused for that model.
#[test]
fn part_of_one_model() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        scene.crash("m0", &["f", BAD]);
        scene.answer("m1", &["f", BAD]);
    }
    scene.others();
    assert!(scene.is_refused("m0", &["f", BAD]));
    assert!(!scene.is_refused("m1", &["f", BAD]));
}

/// What a convicted part explains speaks against no other.
#[test]
fn explained_crashes() {
    let mut scene = Scene::new();
    for _ in 0..4 {
        let beside = scene.request("m0", &["c"]);
        let (beside, other) = scene.sent(beside);
        let arrival = scene.request("m0", &["f", BAD]);
        let (id, attempt) = scene.sent(arrival);
        scene.lose(id, &attempt);
        if other.engine == attempt.engine {
            scene.node.ended(beside, other.number, End::Lost);
        } else {
            scene.finish(beside, &other);
        }
    }
    scene.answer("m0", &["f"]);
    scene.others();
    assert!(scene.is_refused("m0", &["f", BAD]));
    assert!(!scene.is_refused("m0", &["c"]));
}

/// Requests that wait at an engine, or for one, end with the conviction; those that are answered go on.
#[test]
fn ends_what_is_under_way() {
    let mut scene = Scene::new();
    let answered = scene.request("m0", &["g", BAD]);
    let (answered, _) = scene.sent(answered);
    scene.node.feed(began(answered));
    scene.node.pass(millis(100));
    for _ in 0..3 {
        scene.crash("m0", &["f", BAD]);
    }
    let waits = scene.request("m0", &["f", BAD]);
    let (waits, _) = scene.sent(waits);
    let mut effects = scene.answer("m0", &["f"]);
    effects.extend(scene.others());
    assert!(matches!(step_of(&effects, waits), Some(Step::Refuse(_))));
    assert_eq!(step_of(&effects, answered), None);
}

/// Where two crashes speak against a part, its requests are not given to another engine at once.
#[test]
fn no_repeat_of_suspects() {
    let mut scene = Scene::new();
    scene.crash("m0", &["f", BAD]);
    scene.crash("m0", &["f", BAD]);
    let arrival = Arrival { path: "/digest/1".into(), ..scene.request("m0", &["f", BAD]) };
    let (id, attempt) = scene.sent(arrival);
    let effects = scene.lose(id, &attempt);
    assert!(matches!(step_of(&effects, id), Some(Step::Refuse(_))), "{:?}", step_of(&effects, id));
}

/// A conviction that an answer proves wrong ends for all.
#[test]
fn answer_lifts_it() {
    let mut scene = Scene::new();
    scene.node.lead();
    let arrival = scene.request("m0", &["c"]);
    let (id, attempt) = scene.sent(arrival);
    let suspect = |at: u64| Suspect {
        request: Fingerprint::default(),
        engine: Some(format!("gone-{at}").into()),
        sent: millis(100 + at * 1_000),
        broke: millis(50 + at * 1_000),
        parts: Arc::new([Fingerprint::of_part("c")]),
        begun: false,
    };
    let crashes = News { suspects: (0..3).rev().map(suspect).collect(), entries: Vec::new() };
    scene.node.feed(Event::Pushed(Box::new(Message { crashes, ..Message::default() })));
    // An answer that has just begun, and goes on later.
    scene.node.feed(began(id));
    scene.others();
    assert!(scene.is_refused("m0", &["c"]));
    scene.finish(id, &attempt);
    assert!(!scene.is_refused("m0", &["c"]));
}

/// An answer of before the crashes speaks for nobody: a part may go bad.
#[test]
fn older_answer_lifts_nothing() {
    let mut scene = Scene::new();
    scene.answer("m0", &["f", BAD]);
    let entries = vec![Entry {
        request: Fingerprint::of_part(BAD),
        status: Status::Cleared { left: Duration::from_mins(9) },
    }];
    scene.convict();
    assert!(scene.is_refused("m0", &["f", BAD]));
    let crashes = News { suspects: Vec::new(), entries };
    scene.node.feed(Event::Pushed(Box::new(Message { crashes, ..Message::default() })));
    assert!(scene.is_refused("m0", &["f", BAD]));
}

/// After its time it is tried once more; one crash is enough then.
#[test]
fn one_crash_after_the_quarantine() {
    let mut scene = Scene::new();
    scene.convict();
    scene.node.pass(Duration::from_mins(10));
    scene.answer("m0", &["f"]);
    assert!(!scene.is_refused("m0", &["f", BAD]));
    scene.crash("m0", &["f", BAD]);
    scene.others();
    assert!(scene.is_refused("m0", &["f", BAD]));
    scene.node.pass(Duration::from_mins(50));
    assert!(scene.is_refused("m0", &["f", BAD]), "for longer than the first time");
}

/// Whoever was not there goes by the hub's answer, and by the lease's row if all were killed.
#[test]
fn others_learn() {
    let mut scene = Scene::new();
    scene.node.lead();
    let effects = scene.convict();
    let frame = Frame { vm: "b".into(), ..Frame::default() };
    let reply = boragecove_fleet::reply(&mut scene.node.state, scene.node.now, &frame);
    let part = Fingerprint::of_part(BAD);
    let quarantined = |entry: &Entry| matches!(entry.status, Status::Quarantined { .. });
    assert!(reply.crashing.iter().any(|entry| entry.request == part && quarantined(entry)));
    // It had written its row before that.
    scene.node.lease(3_000, Outcome::Written(101));
    let effects = [effects, scene.node.pass(Duration::from_secs(2))].concat();
    let row = effects.iter().rev().find_map(|effect| match effect {
        Effect::Lease(lease::Call::Write { row, .. }) => Some(row.clone()),
        _ => None,
    });
    let row = row.expect("it renews its lease");
    assert!(row.quarantine.iter().any(|kept: &Kept| kept.request == part));
    let mut other = Node::bare("c");
    other.pass(millis(10));
    other.lease(3_000, Outcome::Read(Some(lease::Seen { version: 9.into(), row })));
    other.feed(Event::Configured(Arc::new(config(1))));
    other.feed(listing(vec![row_of("w1")], 4, true));
    let arrival = scene.request("m0", &["g", BAD]);
    assert_eq!(other.refused(arrival).code, Code::CrashesBackends);
}

fn row_of(engine: &str) -> boragecove_fleet::engine::Row {
    row(1, entry(engine, WRITER, "zone-a", &["m0"]))
}

/// The crash of one engine, told by several entry VMs, is one strike.
#[test]
fn one_crash_told_often() {
    let mut scene = Scene::new();
    let suspect = |number: u64| Suspect {
        request: Fingerprint::of(HOST, "/", &number.to_le_bytes()),
        engine: Some("gone".into()),
        sent: millis(100),
        broke: millis(50),
        parts: Arc::new([Fingerprint::of_part("c")]),
        begun: false,
    };
    for number in 0..5 {
        let crashes = News { suspects: vec![suspect(number)], entries: Vec::new() };
        scene.node.feed(Event::Pushed(Box::new(Message { crashes, ..Message::default() })));
        scene.node.pass(millis(500));
    }
    scene.others();
    assert!(!scene.is_refused("m0", &["c"]));
}

/// Thousands of parts, each with a crash, take a bounded room and push nobody guilty out.
#[test]
fn thousands_of_parts() {
    let mut scene = Scene::new();
    scene.convict();
    for at in 0..6_000_u64 {
        let suspect = Suspect {
            request: Fingerprint::of(HOST, "/", &at.to_le_bytes()),
            engine: Some(format!("gone-{at}").into()),
            sent: millis(100),
            broke: millis(50),
            parts: Arc::new([Fingerprint::of_part(&format!("p{at}"))]),
            begun: false,
        };
        let crashes = News { suspects: vec![suspect], entries: Vec::new() };
        scene.node.feed(Event::Pushed(Box::new(Message { crashes, ..Message::default() })));
    }
    assert!(scene.is_refused("m0", &["f", BAD]));
    assert!(scene.node.state.crashes().parts_known() <= 4_096);
}

/// Who sees an answer on a part that others suspect tells them, once.
#[test]
fn others_are_told_that_it_is_sound() {
    let mut scene = Scene::new();
    scene.node.lead();
    let frame = Frame {
        vm: "b".into(),
        zone: "zone-a".into(),
        address: node::address(7_002).into(),
        ..Frame::default()
    };
    scene.node.feed(Event::Framed(Box::new(frame)));
    scene.crash("m0", &["c"]);
    scene.crash("m0", &["c"]);
    scene.answer("m0", &["c"]);
    let effects = scene.node.pass(Duration::from_secs(1));
    let cleared = |message: &Message| {
        let sound = |entry: &&Entry| matches!(entry.status, Status::Cleared { .. });
        message.crashes.entries.iter().filter(sound).count()
    };
    let told: usize = pushed(&effects).iter().map(cleared).sum();
    assert_eq!(told, 2, "the part, and the part with its model");
    scene.answer("m0", &["c"]);
    let effects = scene.node.pass(Duration::from_secs(1));
    assert_eq!(pushed(&effects).iter().map(cleared).sum::<usize>(), 0);
}

/// A conviction has a line in the log.
#[test]
fn conviction_logged() {
    let mut scene = Scene::new();
    let effects = scene.convict();
    let part = Fingerprint::of_part(BAD).to_string();
    let lines = effects.iter().filter_map(|effect| match effect {
        Effect::Record(Record::Crash { fingerprint, state, crashes, .. }) if *fingerprint == part => {
            Some((*state, *crashes))
        }
        _ => None,
    });
    assert_eq!(lines.collect::<Vec<_>>(), [("quarantined", 3)]);
}

/// However many crashes there are, accused parts are looked at once at a time, and not for ever.
#[test]
fn one_look_at_a_time() {
    let mut scene = Scene::new();
    for _ in 0..8 {
        scene.crash("m0", &["f", BAD]);
    }
    let wakes =
        |effects: &[Effect]| effects.iter().filter(|effect| matches!(effect, Effect::WakeAt(_))).count();
    let accused = wakes(&scene.node.pass(Duration::from_secs(2)));
    scene.node.pass(Duration::from_mins(11));
    let forgotten = wakes(&scene.node.pass(Duration::from_secs(2)));
    // One each 50 ms, and two for each suspected engine.
    assert!(
        accused <= forgotten + 40 + 2 * 8,
        "{accused} wake-ups in two seconds, {forgotten} once it is forgotten"
    );
}

/// What a crash costs on the way: each shared part, and it with its model, is a hash of 19 bytes.
#[test]
fn bytes_of_a_crash() {
    let suspect = |parts: usize| Suspect {
        request: Fingerprint::of(HOST, "/", b"x"),
        engine: Some("i-173f3c536b".into()),
        sent: millis(100),
        broke: millis(50),
        parts: (0..2 * parts).map(|at| Fingerprint::of_part(&at.to_string())).collect(),
        begun: false,
    };
    let bytes = |parts| rmp_serde::to_vec(&suspect(parts)).expect("encodes").len();
    println!("{} {} {}", bytes(0), bytes(2), bytes(16));
    assert!(bytes(2) <= bytes(0) + 4 * 19, "{} and {}", bytes(0), bytes(2));
}

/// An entry VM that knows no parts yet, as while all are replaced, is understood.
#[test]
fn older_sender_understood() {
    let older = (Fingerprint::of(HOST, "/", b"x"), Some("i-1"), millis(100), millis(50));
    let bytes = rmp_serde::to_vec(&older).expect("encodes");
    let suspect: Suspect = rmp_serde::from_slice(&bytes).expect("decodes");
    assert_eq!((suspect.parts.len(), suspect.begun), (0, false));
}
