//! Idempotency keys: a repeated submission never runs again, even if answers of the table are lost.

use std::time::Duration;

use boragecove_core::attempt::{Failure, Refusal};
use boragecove_core::claim::Row;
use boragecove_core::code::{Code, Outcome};
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::settings::Settings;
use boragecove_core::table::{self, Call, Done, Key, Reply, Value, Version};

mod entry;
use entry::{Ask, Entry, end, outcome, sends, sent};

const LINGER: Duration = Duration::from_millis(30);

/// Result of a call of the table.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Answered,
    Down,
    /// The call takes effect, but its answer is lost.
    AnswerLost,
    /// The call is lost and has no effect.
    Lost,
}

/// An entry VM with the claims in the platform's table.
struct Claims {
    entry: Entry,
    rows: Vec<table::Row>,
    writes: usize,
}

impl Claims {
    fn new() -> Self {
        let engines = ["engine-1"];
        let entry = Entry::new(Settings::default(), Vec::new(), &engines, &["gate-1"]);
        Self { entry, rows: Vec::new(), writes: 0 }
    }

    fn ask(&mut self, key: &'static str, digest: &'static str) -> (id::Request, Vec<Effect>) {
        self.entry.ask(Ask { service: true, key: Some(key), digest, ..Ask::default() })
    }

    /// Lets the entry VM write its claims and answers the calls in order as given by `fates`, and all later
    /// ones normally.
    fn settle(&mut self, fates: &[Fate]) -> Vec<Effect> {
        let mut fates = fates.iter();
        let mut all = Vec::new();
        let mut pending = self.entry.advance(LINGER);
        for _ in 0..20 {
            let mut next = Vec::new();
            for effect in pending {
                match effect {
                    Effect::Table { op, call } if about_claims(&call) => {
                        let fate = fates.next().copied().unwrap_or(Fate::Answered);
                        let reply = self.reply(&call, fate);
                        next.extend(self.entry.event(Event::TableAnswered { op, reply }));
                    }
                    other => all.push(other),
                }
            }
            next.extend(self.entry.advance(LINGER));
            pending = next;
        }
        all
    }

    fn reply(&mut self, call: &Call, fate: Fate) -> Result<Reply, table::Failure> {
        if fate == Fate::Down {
            return Err(table::Failure::Unavailable);
        }
        let reply = if fate == Fate::Lost { Reply::Committed } else { self.apply(call) };
        if fate == Fate::Answered { Ok(reply) } else { Err(table::Failure::Unknown) }
    }

    fn apply(&mut self, call: &Call) -> Reply {
        let writes = match call {
            Call::Each(writes) => writes,
            Call::Get(keys) => {
                let rows = self.rows.iter().filter(|row| keys.contains(&row.key)).cloned();
                return Reply::Rows(rows.collect());
            }
            _ => return Reply::Committed,
        };
        self.writes += 1;
        let done = writes.iter().map(|write| {
            let at = self.rows.iter().position(|row| row.key == write.key);
            let version = at.map_or(Version(0), |at| self.rows[at].version);
            if version != write.expect {
                return Done::Kept(at.map(|at| self.rows[at].clone()));
            }
            self.rows.retain(|row| row.key != write.key);
            let version = Version(version.0 + 1);
            self.rows.extend(write.value.clone().map(|value| table::Row {
                key: write.key.clone(),
                version,
                value,
            }));
            Done::Written
        });
        Reply::Each(done.collect())
    }

    /// Inserts a claim of another entry VM on `key`.
    fn insert_other_claim(&mut self, key: &str, deadline: Duration) {
        let row = Row {
            request: id::Request { by: id::Incarnation(77), seq: 1 },
            digest: "digest".into(),
            at: self.entry.now,
            deadline: self.entry.now + deadline,
            completion: None,
        };
        let key = Key::Claim { caller: "anonymous".into(), key: key.into() };
        self.rows.push(table::Row { key, version: Version(1), value: Value::Claim(row) });
    }
}

fn about_claims(call: &Call) -> bool {
    let claim = |key: &Key| matches!(key, Key::Claim { .. });
    match call {
        Call::Each(writes) => writes.iter().any(|write| claim(&write.key)),
        Call::Get(keys) => keys.iter().any(claim),
        _ => false,
    }
}

#[test]
fn claimed_before_sent() {
    let mut claims = Claims::new();
    let (id, effects) = claims.ask("k", "digest");
    assert!(sends(&effects).is_empty());
    let first = sent(&claims.settle(&[]));
    assert_eq!(claims.rows.len(), 1);
    let _answered = claims.entry.answer(first.attempt);
    assert_eq!(claims.entry.ended(id).map(|end| end.code()), Some(Code::Ok));
    let _written = claims.settle(&[]);

    let (again, _) = claims.ask("k", "digest");
    let effects = claims.settle(&[]);
    assert_eq!(outcome(&effects, again), Some((Code::Duplicate, Outcome::Answered)));
    let (other, _) = claims.ask("k", "another digest");
    let effects = claims.settle(&[]);
    assert_eq!(outcome(&effects, other), Some((Code::KeyReused, Outcome::NotRun)));
    assert_eq!(claims.entry.sent().len(), 1);
}

#[test]
fn many_in_one_write() {
    let mut claims = Claims::new();
    let keys: Vec<&'static str> = vec!["a", "b", "c", "d"];
    for key in &keys {
        let _waits = claims.ask(key, "digest");
    }
    assert_eq!(sends(&claims.settle(&[])).len(), keys.len());
    assert_eq!(claims.writes, 1);
}

#[test]
fn answer_lost() {
    for fates in [
        &[Fate::AnswerLost][..],
        &[Fate::Lost],
        &[Fate::AnswerLost, Fate::Down],
        &[Fate::AnswerLost, Fate::Lost, Fate::AnswerLost],
    ] {
        let mut claims = Claims::new();
        let (id, _) = claims.ask("k", "digest");
        let first = sent(&claims.settle(fates));
        let _answered = claims.entry.answer(first.attempt);
        assert_eq!(claims.entry.ended(id).map(|end| end.code()), Some(Code::Ok));
        let _written = claims.settle(&[Fate::AnswerLost]);
        let (again, _) = claims.ask("k", "digest");
        let effects = claims.settle(&[]);
        assert_eq!(outcome(&effects, again), Some((Code::Duplicate, Outcome::Answered)));
        assert_eq!(claims.entry.sent().len(), 1, "the request ran once");
    }
}

#[test]
fn table_down() {
    let mut claims = Claims::new();
    let (id, _) = claims.ask("k", "digest");
    let effects = claims.settle(&[Fate::Down]);
    let end = end(&effects, id).expect("the request is refused at once");
    assert_eq!((end.code(), end.outcome()), (Code::PlatformDown, Outcome::NotRun));
    assert!(end.retry_after_ms().is_some());
    let _waits = claims.ask("k", "digest");
    let _sent = sent(&claims.settle(&[]));
}

#[test]
fn running_elsewhere() {
    let mut claims = Claims::new();
    claims.insert_other_claim("k", Duration::from_secs(10));
    let (again, _) = claims.ask("k", "digest");
    let effects = claims.settle(&[]);
    assert_eq!(outcome(&effects, again), Some((Code::InProgress, Outcome::Unknown)));
    assert!(end(&effects, again).and_then(|end| end.retry_after_ms()).is_some());
    claims.entry.advance(Duration::from_secs(10));
    let (later, _) = claims.ask("k", "digest");
    let effects = claims.settle(&[]);
    assert_eq!(
        outcome(&effects, later),
        Some((Code::Duplicate, Outcome::Unknown)),
        "the first request cannot run after its deadline"
    );
    assert!(claims.entry.sent().is_empty());
}

#[test]
fn running_here() {
    let mut claims = Claims::new();
    let _first = claims.ask("k", "digest");
    let _sent = sent(&claims.settle(&[]));
    let (again, effects) = claims.ask("k", "digest");
    assert_eq!(outcome(&effects, again), Some((Code::InProgress, Outcome::Unknown)));
    let (other, effects) = claims.ask("k", "another digest");
    assert_eq!(outcome(&effects, other), Some((Code::KeyReused, Outcome::NotRun)));
}

#[test]
fn freed_if_not_run() {
    let mut claims = Claims::new();
    let (first, _) = claims.ask("k", "digest");
    let mut effects = claims.settle(&[]);
    while let Some(send) = sends(&effects).first() {
        effects = claims.entry.refuse(send.attempt, Refusal::Busy);
        effects.extend(claims.settle(&[]));
    }
    let end = claims.entry.ended(first).expect("the request ends");
    assert_eq!(end.outcome(), Outcome::NotRun);
    let (again, _) = claims.ask("k", "digest");
    let second = sent(&claims.settle(&[]));
    assert_eq!(second.attempt.request, again, "a request that was not run may be submitted again");
    let _unknown = claims.entry.fail(second.attempt, Failure::Broken);
    let _written = claims.settle(&[]);
    let (third, _) = claims.ask("k", "digest");
    let effects = claims.settle(&[]);
    assert_eq!(outcome(&effects, third), Some((Code::Duplicate, Outcome::Unknown)));
}

#[test]
fn caller_gone_while_claiming() {
    let mut claims = Claims::new();
    let (first, _) = claims.ask("k", "digest");
    let effects = claims.entry.advance(LINGER);
    let (op, call) = effects
        .into_iter()
        .find_map(|effect| match effect {
            Effect::Table { op, call } if about_claims(&call) => Some((op, call)),
            _ => None,
        })
        .expect("a write");
    let _ended = claims.entry.event(Event::CallerGone(first));
    let reply = claims.reply(&call, Fate::Answered);
    let _none = claims.entry.event(Event::TableAnswered { op, reply });
    let _given_back = claims.settle(&[]);
    let _waits = claims.ask("k", "digest");
    let _sent = sent(&claims.settle(&[]));
}

#[test]
fn expired_taken_over() {
    let mut claims = Claims::new();
    claims.insert_other_claim("k", Duration::from_secs(10));
    claims.entry.now = claims.entry.now + Settings::default().claim_keep;
    let _waits = claims.ask("k", "digest");
    let _sent = sent(&claims.settle(&[]));
}
