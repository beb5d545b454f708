//! Requests with events in random order: each ends exactly once, and the reported outcome is correct.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use boragecove_core::attempt::{Destination, Failure, Refusal, Resume, Send};
use boragecove_core::code::Outcome;
use boragecove_core::count::Gauges;
use boragecove_core::effect::Effect;
use boragecove_core::event::Event;
use boragecove_core::id::{Attempt, Incarnation, Request};
use boragecove_core::rules::Priority;
use boragecove_core::settings::Settings;
use boragecove_core::table::{self, Call, Done, Key, Reply, Row, Version};

mod entry;
use entry::{Ask, Entry, caller};

/// Number of events of each streamed answer.
const LENGTH: u64 = 3;
const STEPS: usize = 120;
const CASES: u64 = 300;
/// Number of random bytes that determine a case.
const CHOICES: usize = 4_000;
const STEP: Duration = Duration::from_millis(10);
const ENGINES: [&str; 3] = ["engine-1", "engine-2", "engine-3"];
const KEYS: [&str; 2] = ["k", "l"];

/// Actual state of a request, independent of the reducer.
#[derive(Debug, Default)]
struct Truth {
    idempotent: bool,
    stream: bool,
    /// Idempotency key, if any.
    key: Option<&'static str>,
    /// Number of times that a back end began to run it.
    runs: u32,
    /// Number of events delivered to the caller.
    delivered: u64,
    end: Option<Outcome>,
}

/// An attempt as seen by the back end and the connection.
#[derive(Debug)]
struct Exchange {
    send: Send,
    /// Whether it has reached the back end.
    reached: bool,
    head_received: bool,
    next: u64,
}

struct World {
    entry: Entry,
    truths: BTreeMap<Request, Truth>,
    open: Vec<Exchange>,
    /// Attempts that can be resumed.
    known: Vec<Attempt>,
    calls: Vec<(boragecove_core::id::Op, Call)>,
    rows: Vec<Row>,
    /// Number of active timers of an idle entry VM.
    timers: usize,
}

impl World {
    fn new() -> Self {
        let callers = vec![caller("desk", Priority::Urgent, 1), caller("batch", Priority::Normal, 3)];
        let settings = Settings { queue_max: 6, retry_burst: 6.0, ..Settings::default() };
        let entry = Entry::new(settings, callers, &ENGINES, &["gate-1", "gate-2"]);
        let (truths, open, known) = (BTreeMap::new(), Vec::new(), Vec::new());
        let timers = entry.state.gauges().timers;
        Self { entry, truths, open, known, calls: Vec::new(), rows: Vec::new(), timers }
    }

    fn apply(&mut self, event: Event) {
        let effects = self.entry.event(event);
        self.take(effects);
    }

    /// Carries out effects and checks them against the actual state of the requests.
    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send(send) => {
                    let truth = self.truths.get(&send.attempt.request).expect("the request is known");
                    assert!(truth.end.is_none(), "nothing is sent after the end of the request");
                    assert!(send.deadline > self.entry.now, "nothing is sent after the deadline");
                    let next = match send.resume {
                        Resume::Start => 0,
                        Resume::Same { offset, .. } | Resume::Continue { offset } => offset,
                    };
                    assert!(next <= truth.delivered, "no event is skipped");
                    let exchange = Exchange { send: *send, reached: false, head_received: false, next };
                    self.open.push(exchange);
                }
                Effect::Cancel(attempt) => {
                    self.open.retain(|exchange| exchange.send.attempt != attempt);
                    self.known.retain(|known| *known != attempt);
                }
                Effect::Release(attempt) => {
                    self.open.retain(|exchange| exchange.send.attempt != attempt);
                }
                Effect::Deliver { attempt, offset } => {
                    let truth = self.truths.get_mut(&attempt.request).expect("the request is known");
                    assert_eq!(
                        offset, truth.delivered,
                        "events are delivered in order without gaps or duplicates"
                    );
                    assert!(truth.end.is_none());
                    truth.delivered += 1;
                }
                Effect::End { request, end } => {
                    let truth = self.truths.get_mut(&request).expect("the request is known");
                    assert_eq!(truth.end, None, "a request ends once");
                    truth.end = Some(end.outcome());
                    if let Some(attempt) = end.attempt() {
                        assert_eq!(attempt.request, request);
                        assert!(!truth.stream || truth.delivered == LENGTH, "the answer is complete");
                        assert!(truth.runs > 0);
                    }
                    assert!(
                        end.outcome() != Outcome::NotRun || truth.runs == 0,
                        "reported as not run, but it ran: {end:?} {truth:?}"
                    );
                    self.open.retain(|exchange| exchange.send.attempt.request != request);
                }
                Effect::Table { op, call } if about_claims(&call) => self.calls.push((op, call)),
                _ => {}
            }
        }
    }

    fn advance(&mut self, time: Duration) {
        let until = self.entry.now + time;
        while self.entry.now < until {
            let effects = self.entry.advance(STEP.min(until.since(self.entry.now)));
            self.take(effects);
        }
    }

    fn ask(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let service = u.ratio(1, 3)?;
        let key = if u.ratio(1, 4)? { Some(*u.choose(&KEYS)?) } else { None };
        let ask = Ask {
            caller: Some(*u.choose(&["desk", "batch"])?),
            service,
            idempotent: Some(u.arbitrary()?),
            key,
            stream: u.arbitrary()?,
            patience: Duration::from_millis(u.int_in_range(10..=20_000)?),
            ..Ask::default()
        };
        let truth = Truth {
            idempotent: ask.idempotent == Some(true),
            stream: ask.stream && !service,
            key: ask.key,
            ..Truth::default()
        };
        self.truths.insert(self.entry.next(), truth);
        let (_, effects) = self.entry.ask(ask);
        self.take(effects);
        Ok(())
    }

    /// Lets one open attempt reach its back end, or delivers the next event of one that has.
    fn advance_exchange(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.open.is_empty() {
            return Ok(());
        }
        let at = u.choose_index(self.open.len())?;
        let attempt = self.open[at].send.attempt;
        if !self.open[at].reached {
            return self.reach(at, u);
        }
        if !self.open[at].head_received {
            let echo = if u.ratio(1, 12)? { None } else { Some(attempt) };
            self.open[at].head_received = true;
            self.apply(Event::Head { attempt, echo });
            return Ok(());
        }
        if u.ratio(1, 10)? {
            let failure = *u.choose(&[Failure::Broken, Failure::Error])?;
            self.open.remove(at);
            self.apply(Event::Failed { attempt, failure });
            return Ok(());
        }
        let exchange = &mut self.open[at];
        let stream = self.truths[&attempt.request].stream;
        if stream && exchange.next < LENGTH {
            // Occasionally an event is lost.
            let offset = exchange.next + u64::from(u.ratio(1, 15)?);
            exchange.next = offset + 1;
            self.apply(Event::Chunk { attempt, offset: offset.min(LENGTH - 1) });
        } else {
            self.open.remove(at);
            self.apply(Event::Finished { attempt, length: LENGTH });
        }
        Ok(())
    }

    fn reach(&mut self, at: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let attempt = self.open[at].send.attempt;
        let refused =
            [Refusal::Busy, Refusal::Leaving, Refusal::NotLoaded, Refusal::Late].map(Failure::Refused);
        let failure = match u.int_in_range(0..=11)? {
            0 => Some(Failure::Connect),
            1 => Some(*u.choose(&refused)?),
            // The connection breaks, and the sender cannot know whether the request arrived.
            2 => Some(Failure::Broken),
            _ => None,
        };
        if let Some(failure) = failure {
            self.open.remove(at);
            self.apply(Event::Failed { attempt, failure });
            return Ok(());
        }
        let same = match self.open[at].send.resume {
            Resume::Same { of, .. } => Some(of),
            Resume::Start | Resume::Continue { .. } => None,
        };
        if same.is_some_and(|of| !self.known.contains(&of)) {
            self.open.remove(at);
            self.apply(Event::Failed { attempt, failure: Failure::Forgotten });
            return Ok(());
        }
        let truth = self.truths.get_mut(&attempt.request).expect("the request is known");
        truth.runs += u32::from(same.is_none());
        let key = truth.key;
        let once = !truth.idempotent;
        assert!(!once || truth.runs <= 1, "a request that is not idempotent runs at most once: {truth:?}");
        if let Some(key) = key.filter(|_| once) {
            let others = self
                .truths
                .iter()
                .filter(|(id, other)| **id != attempt.request && other.key == Some(key) && other.runs > 0);
            // Both callers use these keys. Keys of different callers are independent.
            assert!(others.count() <= 1 || same.is_some(), "a key runs at most once for each caller");
        }
        self.known.push(attempt);
        let exchange = &mut self.open[at];
        exchange.reached = true;
        assert!(matches!(exchange.send.destination, Destination::Engine(_) | Destination::Service(_)));
        Ok(())
    }

    fn table(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.calls.is_empty() {
            return Ok(());
        }
        let (op, call) = self.calls.remove(u.choose_index(self.calls.len())?);
        let reply = match u.int_in_range(0..=9)? {
            0 => Err(table::Failure::Unavailable),
            1 => Err(table::Failure::Unknown),
            2 => {
                let _lost = self.perform(&call);
                Err(table::Failure::Unknown)
            }
            _ => Ok(self.perform(&call)),
        };
        self.apply(Event::TableAnswered { op, reply });
        Ok(())
    }

    fn perform(&mut self, call: &Call) -> Reply {
        let writes = match call {
            Call::Each(writes) => writes,
            Call::Get(keys) => {
                let rows = self.rows.iter().filter(|row| keys.contains(&row.key));
                return Reply::Rows(rows.cloned().collect());
            }
            _ => return Reply::Committed,
        };
        let done = writes.iter().map(|write| {
            let at = self.rows.iter().position(|row| row.key == write.key);
            let version = at.map_or(Version(0), |at| self.rows[at].version);
            if version != write.expect {
                return Done::Kept(at.map(|at| self.rows[at].clone()));
            }
            self.rows.retain(|row| row.key != write.key);
            let value = write.value.clone().expect("claims are not removed");
            self.rows.push(Row { key: write.key.clone(), version: Version(version.0 + 1), value });
            Done::Written
        });
        Reply::Each(done.collect())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=11)? {
            0 | 1 => self.ask(u)?,
            2 => {
                let ids: Vec<Request> = self.truths.keys().copied().collect();
                if let Some(last) = ids.last() {
                    let id = if u.ratio(1, 2)? { *last } else { *u.choose(&ids)? };
                    self.apply(Event::CallerGone(id));
                }
            }
            3 => {
                let time = Duration::from_millis(u.int_in_range(1..=3_000)?);
                self.advance(time);
            }
            4 => {
                let engine = *u.choose(&ENGINES)?;
                let life = Incarnation(u.int_in_range(9..=10)?);
                if life == Incarnation(10) {
                    self.known.clear();
                }
                let effects = self.entry.report_as(engine, life, u.int_in_range(0..=5)?, !u.ratio(1, 8)?);
                self.take(effects);
            }
            5 => {
                let open = self.open.len();
                if open > 0 {
                    let attempt = self.open[u.choose_index(open)?].send.attempt;
                    self.apply(Event::BufferExceeded(attempt));
                }
            }
            6 | 7 => self.table(u)?,
            _ => self.advance_exchange(u)?,
        }
        Ok(())
    }

    /// Lets all open requests end and checks that no state is left.
    fn settle(&mut self) {
        for _ in 0..80 {
            for (op, call) in std::mem::take(&mut self.calls) {
                let reply = Ok(self.perform(&call));
                self.apply(Event::TableAnswered { op, reply });
            }
            self.advance(Duration::from_millis(300));
        }
        for (request, truth) in &self.truths {
            assert!(truth.end.is_some(), "{request} has not ended: {truth:?}");
        }
        let left = self.entry.state.gauges();
        assert_eq!(Gauges { timers: 0, ..left }, Gauges::default(), "no state is left");
        assert_eq!(left.timers, self.timers, "no timer is left");
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

fn run_case(u: &mut Unstructured<'_>) -> Result<()> {
    let mut world = World::new();
    for _ in 0..STEPS {
        if u.is_empty() {
            break;
        }
        world.step(u)?;
    }
    world.settle();
    Ok(())
}

#[test]
fn any_order() {
    for seed in 0..CASES {
        let mut choices = vec![0; CHOICES];
        fastrand::Rng::with_seed(seed).fill(&mut choices);
        let result = std::panic::catch_unwind(|| run_case(&mut Unstructured::new(&choices)));
        assert!(result.is_ok_and(|done| done.is_ok()), "case {seed}");
    }
}
