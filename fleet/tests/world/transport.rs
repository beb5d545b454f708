//! Messages in transit in a simulated deployment: between entry VMs and to the store, and the effects of
//! reducers.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::effect::Effect;
use boragecove_fleet::event::Event;
use boragecove_fleet::lease::{Answer, Call, Outcome, Row};
use boragecove_fleet::path::Relay;
use boragecove_fleet::pin::OriginAnswer;
use boragecove_fleet::record::Record;
use boragecove_fleet::request::{Cause, End, Id, Step, Timing};
use boragecove_fleet::revision::Revision;
use boragecove_fleet::schedule::Grant;

use super::losses::Channel;
use super::{
    ASK_LIMIT, Completion, FAILED_PAUSE, FRAME_LIMIT, LEASE_LIMIT, Load, OnWay, PUSH_STALL, START_MS, World,
};

impl World {
    pub(super) fn post(&mut self, from: usize, to: usize, ms: u64, load: Load) {
        let at = self.now + Duration::from_millis(ms);
        let (from_start, to_start) = (self.vms[from].start, self.vms[to].start);
        self.on_way.push(OnWay { at, from, from_start, to, to_start, load });
    }

    /// Whether a message sent now arrives.
    pub(super) fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].running && self.vms[from].side == self.vms[to].side
    }

    pub(super) fn deliver(&mut self, way: OnWay) {
        let OnWay { at, from, from_start, to, to_start, load } = way;
        if !self.vms[to].running || self.vms[to].start != to_start {
            return;
        }
        if self.vms[to].suspended {
            // The message stays in the socket until the machine resumes.
            self.on_way.push(OnWay { at, from, from_start, to, to_start, load });
            return;
        }
        let back = self.vms[from].running && self.vms[from].start == from_start;
        match load {
            Load::Frame(frame) => {
                if self.loses(Channel::Frame, from) {
                    return;
                }
                self.last_frame_from = from;
                self.feed(to, Event::FrameReceived(frame.clone()));
                let mut reply = boragecove_fleet::reply_to_frame(&mut self.vms[to].state, self.now, &frame);
                self.mute_reply(&mut reply);
                if back && self.reaches(to, from) && !self.loses(Channel::Reply, from) {
                    let ms = self.rng.u64(1..20);
                    self.post(to, from, ms, Load::Reply(Some(Box::new(reply)), frame.number));
                }
            }
            Load::Reply(reply, number) => {
                // The answer or the timeout ends the call, whichever comes first.
                self.on_way.retain(|other| {
                    !(other.to == to && matches!(&other.load, Load::Reply(_, of) if *of == number))
                });
                self.feed(to, Event::Replied(reply));
            }
            Load::Push(message) => self.feed(to, Event::Pushed(message)),
            Load::Missed(push) => self.feed(to, Event::PushFailed(push)),
            Load::Draw(request, draw) => {
                let credit = boragecove_fleet::credit(&mut self.vms[to].state, self.now, &draw);
                if back && self.reaches(to, from) {
                    let ms = self.rng.u64(1..5);
                    self.post(to, from, ms, Load::Credit(request, draw.workspace, Some(credit)));
                }
            }
            Load::Credit(request, workspace, credit) => {
                self.on_way.retain(|other| {
                    !(other.to == to && matches!(&other.load, Load::Credit(of, _, _) if *of == request))
                });
                self.feed(to, Event::CreditAnswered { request, workspace, credit });
            }
            Load::Permit(request, asked, ask) => {
                let permit = boragecove_fleet::permit(&mut self.vms[to].state, self.now, ask);
                if back && self.reaches(to, from) {
                    let ms = self.rng.u64(1..5);
                    self.post(to, from, ms, Load::Permitted(request, asked, Some(permit)));
                }
            }
            Load::Permitted(request, asked, permit) => {
                self.on_way.retain(|other| {
                    !(other.to == to && matches!(&other.load, Load::Permitted(of, ..) if *of == request))
                });
                self.feed(to, Event::PermitAnswered { request, asked, permit });
            }
            Load::Ask(request, ask) => {
                let grant = boragecove_fleet::grant(&mut self.vms[to].state, self.now, &ask);
                let grant = if self.grants_immediately { Grant::After(Duration::ZERO) } else { grant };
                if back && self.reaches(to, from) {
                    let ms = self.rng.u64(1..5);
                    self.post(to, from, ms, Load::Grant(request, Some(grant)));
                }
            }
            Load::Grant(request, grant) => {
                self.on_way.retain(|other| {
                    !(other.to == to && matches!(&other.load, Load::Grant(of, _) if *of == request))
                });
                self.feed(to, Event::Granted { request, grant });
            }
            Load::Send(request, attempt) => self.sent(to, request, &attempt),
            Load::Head(request, attempt, at) => self.head(to, request, &attempt, at),
            Load::Piece(request, written) => self.piece(to, request, written),
            Load::Ended(request, attempt) => self.ended(to, request, attempt, End::Done),
            Load::Pass(request, attempt) => self.passed(from, to, request, &attempt),
            Load::Unanswered(request, attempt, end) => self.ended(to, request, attempt, end),
            Load::Note(notes) => boragecove_fleet::store_origins(&mut self.vms[to].state, self.now, notes),
            Load::Trace(request, stream) if back => self.trace(from, to, request, stream),
            Load::Trace(..) => {}
            Load::Traced(request, keeper, origin) => self.traced(to, request, keeper, origin),
            Load::Lease(answer) => self.feed(to, Event::Lease(answer)),
            Load::Declared(config, version, asked) => {
                let stands = config.version;
                self.feed(to, Event::Configured(config));
                self.feed(to, Event::OperatorTableRead { version, config: stands, asked });
            }
            Load::Evacuations(_) if self.ignores_evacuations => {}
            Load::Evacuations(listing) => self.feed(to, Event::Evacuations(listing)),
            Load::Listed(listing) => self.feed(to, Event::EnginesRead(listing)),
            Load::Event(event) => self.feed(to, *event),
            Load::Arrive(request, arrival) => self.feed(to, Event::Arrive { request, arrival }),
        }
    }

    pub(super) fn carry(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Frame { address, mut frame } => {
                self.mute_frame(&mut frame);
                let to = self.at(address);
                self.post(at, at, FRAME_LIMIT.as_millis() as u64, Load::Reply(None, frame.number));
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..20);
                    self.post(at, to, ms, Load::Frame(frame));
                }
            }
            Effect::Push(mut push) => {
                self.mute_push(&mut push.message);
                self.pushes += 1;
                if self.rng.f64() < self.pushes_lost {
                    return;
                }
                let to = self.at(push.address);
                let (lost, unanswered) = (self.loses(Channel::Push, to), self.loses(Channel::PushAnswer, to));
                let reaches = self.reaches(at, to) && !lost;
                if self.long_polls && (!reaches || unanswered || self.vms[to].suspended) {
                    self.post(at, at, PUSH_STALL.as_millis() as u64, Load::Missed(push.clone()));
                }
                if reaches {
                    self.post(at, to, 5, Load::Push(push.message));
                }
            }
            Effect::RequestCredit { address, request, draw } => {
                let to = self.at(address);
                let late = Load::Credit(request, draw.workspace.clone(), None);
                self.post(at, at, ASK_LIMIT.as_millis() as u64, late);
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..5);
                    self.post(at, to, ms, Load::Draw(request, draw));
                }
            }
            Effect::RequestPermit { address, request, asked, ask } => {
                let to = self.at(address);
                let late = Load::Permitted(request, asked, None);
                self.post(at, at, ASK_LIMIT.as_millis() as u64, late);
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..5);
                    self.post(at, to, ms, Load::Permit(request, asked, ask));
                }
            }
            Effect::Reserve { address, request, ask } => {
                let to = self.at(address);
                self.post(at, at, ASK_LIMIT.as_millis() as u64, Load::Grant(request, None));
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..5);
                    self.post(at, to, ms, Load::Ask(request, ask));
                }
            }
            Effect::AnnounceOrigins { address, notes } => {
                let to = self.at(address);
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..5);
                    self.post(at, to, ms, Load::Note(notes));
                }
            }
            Effect::QueryOrigin { address, request, stream } => {
                let to = self.at(address);
                self.post(
                    at,
                    at,
                    ASK_LIMIT.as_millis() as u64,
                    Load::Traced(request, to, OriginAnswer::Missing),
                );
                if self.reaches(at, to) {
                    let ms = self.rng.u64(1..5);
                    self.post(at, to, ms, Load::Trace(request, stream));
                }
            }
            Effect::Lease(call) => self.lease(at, call),
            Effect::WakeAt(wake) => self.vms[at].wake = Some(wake),
            Effect::Follow(follow) => {
                if self.vms[at].follows.is_none() {
                    self.vms[at].asks_at = self.now + follow.map_or(Duration::ZERO, |follow| follow.delay);
                    self.vms[at].held_until = None;
                }
                self.vms[at].follows = follow;
            }
            Effect::Refresh { after, limit } => self.refresh(at, after, limit),
            Effect::Probe { engine, .. } if self.backends.is_some() => self.probe(at, engine),
            Effect::AskPath { vm, address, engine } if self.backends.is_some() => {
                self.ask_path(at, Relay { vm, address }, engine);
            }
            Effect::Record(Record::Crash { engine: Some(_), .. }) => self.reported_crashes += 1,
            Effect::IndirectProbe { address, engine } if self.backends.is_some() => {
                self.ask_crash(at, address, engine);
            }
            Effect::Step { request, step } => self.step(at, request, step),
            _ => {}
        }
    }

    pub(super) fn step(&mut self, vm: usize, request: Id, step: Step) {
        let Some((asked, workspace, cost)) = self.open.get(&(vm, request)).cloned() else {
            return;
        };
        if step == Step::Hold {
            return self.withdraw(vm, request);
        }
        if self.backends.is_some() {
            self.forget(vm, request);
        }
        let refused = match &step {
            Step::Send(_) => None,
            Step::Forward if self.backends.is_some() => None,
            Step::Forward => return,
            Step::Hold => unreachable!("it is handled above"),
            Step::Refuse(refusal) => Some(refusal.code),
        };
        if let Step::Send(attempt) = &step
            && self.rng.f64() < self.turned_away
        {
            let (attempt, end) = (attempt.number, End::Refused(Cause::Busy));
            self.feed(vm, Event::Ended { request, attempt, end, events: Timing::default() });
            return;
        }
        if let Step::Send(attempt) = &step
            && self.backends.is_some()
        {
            return self.send(vm, request, attempt.clone());
        }
        match &step {
            Step::Refuse(refusal) => self.stream_refused(vm, request, refusal.code, refusal.retry_after),
            Step::Forward => drop(self.streams.at.remove(&(vm, request))),
            Step::Send(_) | Step::Hold => {}
        }
        self.outcomes.push(Completion { asked, at: self.now, vm, workspace, cost, refused });
        self.open.remove(&(vm, request));
        if let Step::Send(attempt) = step {
            let (attempt, end) = (attempt.number, End::Done);
            self.feed(vm, Event::Ended { request, attempt, end, events: Timing::default() });
        }
    }

    /// Follows the store's tables with the requested pauses: the store holds each call until something has
    /// changed.
    pub(super) fn follow_paced(&mut self, at: usize) {
        let Some(follow) = self.vms[at].follows else {
            return;
        };
        let in_touch = self.vms[at].served && self.vms[at].side == 0;
        // A call from before the store was restored is answered by the restored copy.
        let known = self.vms[at].table.filter(|table| table.era == self.store.era());
        let known = known.map_or(0, |table| table.version);
        if let Some(overdue) = self.vms[at].overdue_at {
            if overdue <= self.now {
                self.vms[at].overdue_at = None;
                self.calls += 2;
                if in_touch {
                    self.follow(at);
                }
            }
            return;
        }
        match self.vms[at].held_until {
            None if self.vms[at].asks_at <= self.now => {
                // Two tables are read.
                self.calls += 2;
                if in_touch {
                    self.vms[at].held_until = Some(self.now + follow.engines.wait);
                } else {
                    self.vms[at].asks_at = self.now + follow.retry_min.max(FAILED_PAUSE);
                    self.feed(at, Event::StoreUp(false));
                }
            }
            Some(until) if self.store.tables() > known || until <= self.now => {
                self.vms[at].held_until = None;
                self.vms[at].asks_at = self.now + follow.pause;
                if in_touch && self.loses(Channel::Feed, at) {
                    self.vms[at].overdue_at = Some(until + follow.engines.overdue + self.long_poll_patience);
                    return;
                }
                if in_touch {
                    self.feed(at, Event::StoreUp(true));
                    self.follow(at);
                }
            }
            Some(_) | None => {}
        }
    }

    /// Reads the changes of the store's tables for an entry VM.
    pub(super) fn follow(&mut self, at: usize) {
        let words = self.seen_words(self.store.evacuations(self.vms[at].table));
        self.post(at, at, 5, Load::Evacuations(words));
        let listing = self.store.engines(self.now, self.vms[at].table);
        self.vms[at].table = Some(listing.version);
        let listing = self.seen(listing);
        self.post(at, at, 5, Load::Listed(listing));
        if let Some(config) = self.store.config().cloned() {
            let version = Revision::new(self.seen_era(), self.store.version());
            self.post(at, at, 5, Load::Declared(config, version, self.now));
        }
    }

    pub(super) fn lease(&mut self, at: usize, call: Call) {
        let store_ms = self.now.since(Time::from_millis(START_MS)).as_millis() as u64;
        if !self.vms[at].served || self.vms[at].side != 0 {
            let unknown = Answer { store_ms: None, era: None, outcome: Outcome::Unknown };
            self.post(at, at, LEASE_LIMIT.as_millis() as u64, Load::Lease(unknown));
            return;
        }
        let call = match call {
            Call::Write { expected, row } if self.forgets_shares => {
                let repeats = Some(Box::default());
                Call::Write { expected, row: Row { outstanding: Box::default(), repeats, ..row } }
            }
            call => call,
        };
        let outcome = self.store.lease(&call);
        if self.loses(Channel::Lease, at) {
            let unknown = Answer { store_ms: None, era: None, outcome: Outcome::Unknown };
            self.post(at, at, LEASE_LIMIT.as_millis() as u64, Load::Lease(unknown));
            return;
        }
        if matches!(outcome, Outcome::Written(_)) && self.rng.f64() < self.answers_lost {
            let unknown = Answer { store_ms: None, era: None, outcome: Outcome::Unknown };
            self.post(at, at, LEASE_LIMIT.as_millis() as u64, Load::Lease(unknown));
            return;
        }
        let answer = Answer { store_ms: Some(store_ms), era: Some(self.seen_era()), outcome };
        self.post(at, at, 5, Load::Lease(answer));
    }

    pub(super) fn at(&self, address: SocketAddr) -> usize {
        let vm = match address {
            SocketAddr::V4(address) => {
                let [.., high, low] = address.ip().octets();
                usize::from(high) * 250 + usize::from(low)
            }
            SocketAddr::V6(_) => panic!("entry VMs listen on IPv4 only"),
        };
        assert!(vm < self.vms.len(), "not the address of an entry VM");
        vm
    }
}
