//! Simulated callers, operators and back ends.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::attempt::{Destination, Failure, Refusal, Resume, Send};
use boragecove_core::code::Outcome;
use boragecove_core::event::Event;
use boragecove_core::id::{self, Incarnation};
use boragecove_core::operator::{Apply, Query};
use boragecove_core::vm::Phase;

use super::check::Taken;
use super::scene::{self, ENTRIES};
use super::world::{Answers, Message, Turn, World, incarnation};

/// Time between two events of an answer.
const EVENT: Duration = Duration::from_millis(150);

impl World {
    /// Delivers an attempt to its back end. Returns the answers.
    pub fn send(&mut self, at: usize, life: u64, send: &Send) -> Result<Answers, String> {
        let (attempt, wait) = (send.attempt, self.random_delay());
        if send.destination == Destination::Peer {
            return self.forward(at, life, send);
        }
        if self.silent.contains_key(&(at, send.address)) && !send.new_connection {
            return Ok(Vec::new());
        }
        let found = self.backends.iter().position(|backend| backend.vm.address == send.address);
        let reached = found.filter(|to| !self.is_cut(at, &self.backends[*to].vm.zone));
        let to =
            match reached.ok_or(Failure::Connect).and_then(|to| self.backends[to].admit(send).map(|()| to)) {
                Ok(to) => to,
                Err(failure) => return Ok(vec![(wait, Event::Failed { attempt, failure })]),
            };
        let from = match send.resume {
            Resume::Start => 0,
            Resume::Same { offset, .. } | Resume::Continue { offset } => offset,
        };
        if !matches!(send.resume, Resume::Same { .. }) {
            self.truth.run(attempt)?;
        }
        let taken = self.truth.taken.get(&attempt.request).ok_or("an attempt of an unknown request")?;
        let (length, stream) = (taken.length(), taken.arrival.stream);
        let last = wait + EVENT * (length as u32 + 1);
        self.push(last, Message::Turn(Turn::Ran { backend: to, attempt }));
        let mut answers = vec![(wait, Event::Head { attempt, echo: Some(attempt) })];
        let chunk = |offset| (wait + EVENT * (offset as u32 + 1), Event::Chunk { attempt, offset });
        answers.extend((from..length).filter(|_| stream).map(chunk));
        answers
            .extend((!stream && length == scene::LONG).then_some((wait * 2, Event::BufferExceeded(attempt))));
        answers.push((last, Event::Finished { attempt, length }));
        Ok(answers)
    }

    /// Delivers an attempt to an entry VM of another zone, where it is a new request.
    fn forward(&mut self, at: usize, life: u64, send: &Send) -> Result<Answers, String> {
        let (attempt, wait) = (send.attempt, self.random_delay());
        let to = ENTRIES
            .iter()
            .position(|(name, _)| send.backend == *name)
            .ok_or("an attempt to an unknown entry VM")?;
        if self.nodes[to].state.is_none() || self.is_cut(at, ENTRIES[to].1) {
            return Ok(vec![(wait, Event::Failed { attempt, failure: Failure::Connect })]);
        }
        let mut arrival =
            self.truth.taken.get(&attempt.request).ok_or("an attempt of an unknown request")?.arrival.clone();
        self.fresh += 1;
        let there = self.nodes[to].life;
        arrival.id = id::Request { by: incarnation(to, there), seq: self.fresh };
        arrival.hops += 1;
        self.truth.take(to, there, Some((at, life, attempt)), arrival.clone());
        self.event_in(wait, to, there, Event::Arrive(Box::new(arrival)));
        Ok(vec![(wait, Event::Head { attempt, echo: Some(attempt) })])
    }

    /// Passes an event of a forwarded request back to the entry VM that forwarded it.
    pub fn relay(&mut self, request: id::Request, event: impl Fn(id::Attempt) -> Event) {
        if let Some((node, life, attempt)) = self.truth.taken.get(&request).and_then(|taken| taken.parent) {
            self.event_in(Duration::from_millis(30), node, life, event(attempt));
        }
    }

    /// Passes the end of a forwarded request back to the entry VM that forwarded it.
    pub fn relay_end(&mut self, request: id::Request, outcome: Outcome) {
        let length = self.truth.taken.get(&request).map_or(0, Taken::length);
        self.relay(request, |attempt| match outcome {
            Outcome::Answered => Event::Finished { attempt, length },
            Outcome::NotRun => Event::Failed { attempt, failure: Failure::Refused(Refusal::Busy) },
            Outcome::Unknown => Event::Failed { attempt, failure: Failure::Error },
        });
    }

    /// Cancels an attempt at its back end or at the entry VM it was forwarded to.
    pub fn cancel(&mut self, attempt: id::Attempt) {
        for backend in &mut self.backends {
            backend.running.remove(&attempt);
        }
        let parent = |taken: &Taken| taken.parent.is_some_and(|(.., parent)| parent == attempt);
        let passed = self.truth.taken.iter().find(|(_, taken)| parent(taken));
        if let Some((request, node, life)) = passed.map(|(id, taken)| (*id, taken.node, taken.life)) {
            let wait = self.random_delay();
            self.event_in(wait, node, life, Event::CallerGone(request));
        }
    }

    /// Carries out a scripted step.
    pub fn turn(&mut self, turn: Turn) {
        match turn {
            Turn::Arrive(n) => {
                if self.submit(n, n as usize) {
                    let wait = self.rng.u64(0..400);
                    self.turn_in(wait, Turn::Repeat(n));
                }
            }
            Turn::Repeat(n) => drop(self.submit(n, n as usize + 1)),
            Turn::Gone(n) => {
                let caller = self.truth.taken.iter().find(|(request, _)| request.seq == n + 1);
                if let Some((request, node, life)) = caller.map(|(id, taken)| (*id, taken.node, taken.life)) {
                    self.event_in(Duration::ZERO, node, life, Event::CallerGone(request));
                }
            }
            Turn::Apply { edition, .. } if edition <= self.edition => {}
            Turn::Apply { node, edition } => {
                self.apply_config(node, edition, None);
                self.turn_in(4_000, Turn::Apply { node: (node + 1) % ENTRIES.len(), edition });
            }
            Turn::Stop(node) => self.event_in(Duration::ZERO, node, self.nodes[node].life, Event::Stop),
            Turn::Silent => self.silence_stream(),
            Turn::Start(node) => self.start(node),
            Turn::Up(backend) => {
                self.fresh += 1;
                self.stop_engine(backend);
                self.backends[backend].restart(self.fresh);
            }
            Turn::Replace(backend) => self.replace(backend),
            Turn::Ran { backend, attempt } => drop(self.backends[backend].running.remove(&attempt)),
        }
    }

    /// Delivers a request of a caller to a ready entry VM. Returns whether the caller submits it again to
    /// another one, as it does if the request has a key.
    fn submit(&mut self, n: u64, first: usize) -> bool {
        let mut all = (0..ENTRIES.len()).map(|at| (first + at) % ENTRIES.len());
        let Some(at) = all.find(|at| self.nodes[*at].ready) else { return false };
        let life = self.nodes[at].life;
        let request = id::Request { by: incarnation(at, life), seq: n + 1 };
        let arrival = scene::arrival(request, n, self.now);
        let again = arrival.key.is_some();
        if !self.truth.taken.contains_key(&request) {
            self.truth.take(at, life, None, arrival.clone());
            self.event_in(Duration::ZERO, at, life, Event::Arrive(Box::new(arrival)));
        }
        again
    }

    /// Submits an edition of the configuration as an operator.
    pub fn apply_config(&mut self, node: usize, edition: u32, base: Option<u64>) {
        if self.nodes[node].state.is_none() {
            return;
        }
        self.fresh += 1;
        let ask = id::Ask { by: Incarnation(1), seq: self.fresh };
        self.asks.insert(ask, edition);
        let document = scene::document(edition, self.checks);
        self.truth.offer(&document);
        let apply = Apply { document, base, who: "ops".into(), note: "".into(), dry_run: false };
        let query = Box::new(Query::Apply(Box::new(apply)));
        self.event_in(Duration::ZERO, node, self.nodes[node].life, Event::QueryReceived { ask, query });
    }

    /// Replaces a back end that has left by a new VM.
    fn replace(&mut self, at: usize) {
        self.fresh += 1;
        self.leaving.remove(&at);
        self.stop_engine(at);
        let backend = &mut self.backends[at];
        backend.vm.phase = Phase::Live;
        backend.vm.name = format!("{}-{}", scene::BACKENDS[at].0, self.fresh).into();
        backend.vm.address.set_port(10_000 + self.fresh as u16);
        backend.restart(self.fresh);
    }

    /// Stops a back end: its running attempts break, and no copy counts as kept any longer.
    pub fn stop_engine(&mut self, to: usize) {
        self.truth.certain.clear();
        let broken: Vec<id::Attempt> = self.backends[to].running.keys().copied().collect();
        for attempt in broken {
            self.forget(attempt, Some(Failure::Broken));
        }
    }

    /// Makes a connection silent: nothing more is received for attempts that run on it or are sent on it
    /// later.
    pub fn silence(&mut self, node: usize, to: usize) {
        let connection = (node, self.backends[to].vm.address);
        self.known_silent.retain(|known_silent| *known_silent != connection);
        self.silent.insert(connection, self.now);
        let by =
            |attempt: &&id::Attempt| self.truth.taken.get(&attempt.request).is_some_and(|t| t.node == node);
        let running: Vec<id::Attempt> = self.backends[to].running.keys().filter(by).copied().collect();
        for attempt in running {
            self.forget(attempt, None);
        }
    }

    /// Records that an entry VM knows a connection to be silent, since it resumes an answer on another one.
    pub fn record_known_silent(&mut self, node: usize, attempt: id::Attempt) {
        let back_end = self.backends.iter().find(|backend| backend.known.contains(&attempt));
        let connection = back_end.map(|backend| (node, backend.vm.address));
        let old = |at: &(usize, SocketAddr)| self.silent.get(at).is_some_and(|since| *since < self.now);
        self.known_silent.extend(connection.filter(old));
    }

    /// Makes all connections to an engine silent in the middle of a stream. Tries again later if no stream
    /// is running.
    fn silence_stream(&mut self) {
        let streams = |attempt: &id::Attempt| {
            self.truth.taken.get(&attempt.request).is_some_and(|taken| taken.delivered > 0)
        };
        match self.backends.iter().position(|backend| backend.running.keys().any(streams)) {
            Some(engine) => (0..ENTRIES.len()).for_each(|node| self.silence(node, engine)),
            None => self.turn_in(70, Turn::Silent),
        }
    }

    /// Removes all further events of an attempt and reports its failure, if one is given.
    fn forget(&mut self, attempt: id::Attempt, failure: Option<Failure>) {
        let mut from = None;
        self.queue.retain(|_, message| match message {
            Message::In { node, life, event, .. } if answers(event) == Some(attempt) => {
                from = Some((*node, *life));
                false
            }
            _ => true,
        });
        if let (Some((node, life)), Some(failure)) = (from, failure) {
            self.event_in(Duration::from_millis(1), node, life, Event::Failed { attempt, failure });
        }
    }
}

fn answers(event: &Event) -> Option<id::Attempt> {
    match event {
        Event::Head { attempt, .. }
        | Event::Chunk { attempt, .. }
        | Event::Finished { attempt, .. }
        | Event::BufferExceeded(attempt) => Some(*attempt),
        _ => None,
    }
}
