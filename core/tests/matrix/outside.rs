//! The simulated platform and network, and the faults injected into them.

use std::time::Duration;

use boragecove_core::effect::Effect;
use boragecove_core::engine::{Action, CacheUpdate, Order};
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::table::{Call, Failure};
use boragecove_core::vm::{Phase, Role, Vm};

use super::fault::Fault;
use super::scene::{ENGINES, ENTRIES};
use super::world::{Answers, Message, OUTAGE, TIMEOUT, Turn, World};

impl World {
    /// Injects a fault into the answers of an effect.
    pub fn alter_answers(&mut self, fault: Fault, answers: &mut Answers) {
        match fault {
            Fault::AnswerLost => answers.clear(),
            Fault::AnswerLate => answers.iter_mut().for_each(|(wait, _)| *wait += OUTAGE),
            Fault::OutOfOrder if answers.len() > 1 => {
                let again = self.rng.usize(1..answers.len());
                answers.push(answers[again].clone());
                let mut waits: Vec<Duration> = answers[1..].iter().map(|(wait, _)| *wait).collect();
                if self.rng.bool() {
                    self.rng.shuffle(&mut waits);
                }
                answers[1..].iter_mut().zip(waits).for_each(|((wait, _), drawn)| *wait = drawn);
            }
            Fault::Foreign => {
                for (_, event) in answers {
                    if let Event::Head { attempt, echo } = event {
                        self.truth.foreign.insert(*attempt);
                        *echo = Some(id::Attempt { n: attempt.n + 7, ..*attempt });
                    }
                }
            }
            _ => {}
        }
    }

    /// Current list of VMs of the platform.
    pub fn vms(&self) -> Vec<Vm> {
        let entries =
            ENTRIES.iter().zip(8_000..).map(|((name, zone), port)| vm(name, zone, port, Role::Entry));
        entries.chain(self.backends.iter().map(|backend| backend.vm.clone())).collect()
    }

    pub fn is_active(&self, fault: Fault) -> bool {
        self.until.get(&fault).is_some_and(|until| *until > self.now)
    }

    /// Whether an entry VM cannot reach a zone.
    pub fn is_cut(&self, at: usize, zone: &str) -> bool {
        self.is_active(Fault::ZonesCut) && ENTRIES[at].1 != zone
    }

    /// Carries out a remote effect. Returns the answers, if any.
    pub fn perform(&mut self, at: usize, life: u64, effect: &Effect) -> Result<Answers, String> {
        let wait = self.random_delay();
        let platform_cut = self.is_active(Fault::PlatformCut) && self.cut_zone == at / 2;
        let to = self.target(effect);
        let to = to.filter(|to| self.backends[*to].up && !self.is_cut(at, &self.backends[*to].vm.zone));
        let answers = match effect {
            Effect::Send(send) => return self.send(at, life, send),
            Effect::Cancel(attempt) => {
                self.cancel(*attempt);
                Vec::new()
            }
            Effect::ListVms if platform_cut => vec![Event::VmListFailed],
            Effect::ListVms => vec![Event::VmsListed(self.list())],
            Effect::Table { op, .. } if platform_cut || self.is_active(Fault::TableDown) => {
                vec![Event::TableAnswered { op: *op, reply: Err(Failure::Unavailable) }]
            }
            Effect::Table { op, call } => return Ok(self.call(*op, call, wait)),
            Effect::Poll { cache_from, .. } => to.map_or_else(Vec::new, |to| self.poll(to, *cache_from)),
            Effect::Order { order, .. } => to.map_or_else(Vec::new, |to| self.order(to, order)),
            Effect::SendFrame { peer, frame, .. } => {
                let to = ENTRIES
                    .iter()
                    .position(|(name, _)| *peer == *name)
                    .ok_or("a frame to an unknown entry VM")?;
                if self.nodes[to].state.is_some() && !self.is_cut(at, ENTRIES[to].1) {
                    self.event_in(wait, to, self.nodes[to].life, Event::FrameReceived(frame.clone()));
                    return Ok(Vec::new());
                }
                vec![Event::FrameFailed { peer: peer.clone() }]
            }
            _ => Vec::new(),
        };
        Ok(answers.into_iter().map(|event| (wait, event)).collect())
    }

    fn list(&mut self) -> Vec<Vm> {
        if self.is_active(Fault::ListStale) {
            return self.old_list.clone();
        }
        for (to, backend) in self.backends.iter().enumerate() {
            if backend.vm.phase == Phase::Leaving {
                self.leaving.entry(to).or_insert(self.now);
            }
        }
        self.vms()
    }

    fn call(&mut self, op: id::Op, call: &Call, wait: Duration) -> Answers {
        let reply = Event::TableAnswered { op, reply: Ok(self.table.call(call)) };
        if !self.is_active(Fault::TableSlow) {
            return vec![(wait, reply)];
        }
        vec![(TIMEOUT, Event::TableAnswered { op, reply: Err(Failure::Unknown) }), (TIMEOUT * 2, reply)]
    }

    fn poll(&mut self, to: usize, from: u64) -> Vec<Event> {
        let stale = self.is_active(Fault::ReportStale);
        let gap = if self.is_active(Fault::CacheGaps) { 100 } else { 0 };
        let backend = &mut self.backends[to];
        let mut report = backend.report();
        let old = self.old_reports.iter().find(|old| old.engine == report.engine);
        match old.filter(|_| stale) {
            Some(old) => report = old.clone(),
            None if self.rng.u8(..) < 32 => self.old_reports.insert(0, report.clone()),
            None => {}
        }
        let update = CacheUpdate {
            engine: backend.vm.name.clone(),
            seq: from + gap,
            stored: (from..backend.cache).map(|block| block % 5).collect(),
            evicted: Vec::new(),
            cleared: false,
        };
        vec![Event::ReportReceived(Box::new(report)), Event::CacheChanged(Box::new(update))]
    }

    fn order(&mut self, to: usize, order: &Order) -> Vec<Event> {
        let backend = &mut self.backends[to];
        let receipt = Some(backend.order(order));
        let (engine, incarnation) = (backend.vm.name.clone(), backend.incarnation);
        if matches!(order.action, Action::Load { .. }) {
            let wait = Duration::from_millis(self.rng.u64(300..1_200));
            self.push(wait, Message::Loaded { backend: to, incarnation, order: Box::new(order.clone()) });
        }
        vec![Event::OrderAnswered { order: order.id, engine, receipt }]
    }

    /// Injects a fault while `node` carries out an effect at back end `to`.
    pub fn inject(&mut self, fault: Fault, node: usize, to: Option<usize>) {
        let until = self.now + OUTAGE;
        // Engines come first in the list. Servers of plain services are affected by `Leaves` only.
        let among = if fault == Fault::Leaves { self.backends.len() } else { ENGINES };
        let to = to.unwrap_or_else(|| self.rng.usize(0..among));
        self.until.insert(fault, until);
        match fault {
            Fault::Dies => self.kill(node),
            Fault::Paused | Fault::IgnoresFences => self.nodes[node].resume = until,
            Fault::PlatformCut => self.cut_zone = node / 2,
            Fault::EngineDies | Fault::EngineEmpty => {
                self.stop_engine(to);
                self.backends[to].up = false;
                let down = if fault == Fault::EngineDies { OUTAGE } else { Duration::ZERO };
                self.push(down, Message::Turn(Turn::Up(to)));
            }
            Fault::Leaves => {
                self.backends[to].vm.phase = Phase::Leaving;
                self.backends[to].drains = self.rng.bool();
                self.push(OUTAGE, Message::Turn(Turn::Replace(to)));
            }
            Fault::Silent => self.silence(node, to),
            Fault::Race => {
                let (edition, base) = (self.edition.max(1), self.truth.accepted.keys().last().copied());
                self.apply_config(node, edition, base);
                self.apply_config((node + 2) % ENTRIES.len(), edition, base);
            }
            Fault::Demand => (0..10).for_each(|n| self.turn_in(n, Turn::Arrive(1_008 + 9 * n))),
            _ => {}
        }
    }
}

pub fn vm(name: &str, zone: &str, port: u16, role: Role) -> Vm {
    let address = ([127, 0, 0, 1], port).into();
    Vm { name: name.into(), zone: zone.into(), address, role, phase: Phase::Live }
}

/// Event by which the edge reports that an effect was not answered in time.
pub fn timeout_event(effect: &Effect) -> Option<Event> {
    match effect {
        Effect::ListVms => Some(Event::VmListFailed),
        Effect::Poll { engine, .. } => Some(Event::ReportFailed(engine.clone())),
        Effect::Order { engine, order, .. } => {
            Some(Event::OrderAnswered { order: order.id, engine: engine.clone(), receipt: None })
        }
        Effect::Table { op, .. } => Some(Event::TableAnswered { op: *op, reply: Err(Failure::Unknown) }),
        _ => None,
    }
}
