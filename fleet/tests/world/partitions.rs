//! Partitions between entry VMs and engines in a simulated fleet, and the requests that other entry VMs relay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::path::Relay;
use boragecove_fleet::request::{Attempt, End, Id};

use super::backends::RUN_MS;
use super::{Arrived, Load, OnWay, World};

/// Time after which opening a connection is given up, as in the process.
const CONNECT_MS: u64 = 400;
/// Time limit for the answer of another entry VM on how a port responds, as in the process.
const PROBE_MS: u64 = 300;

/// The engines that an entry VM can't reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lost {
    /// All engines.
    All,
    /// Every second engine.
    Half,
}

/// A partition of one entry VM from engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Partition {
    pub lost: Lost,
    /// Whether new connections are refused. If not, they hang.
    pub refused: bool,
}

impl World {
    /// Starts or ends a partition of an entry VM from engines. If new connections are refused, open ones are reset.
    pub fn partition(&mut self, vm: usize, partition: Option<Partition>) {
        match partition {
            Some(partition) => self.partitions.insert(vm, partition),
            None => self.partitions.remove(&vm),
        };
        if partition.is_some_and(|partition| partition.refused) {
            self.reset(vm);
        }
    }

    /// Breaks an entry VM's connections to the engines that it can't reach.
    fn reset(&mut self, vm: usize) {
        let under_way = |msg: &OnWay| match msg.load {
            Load::Ended(request, attempt) if msg.from == vm && msg.to == vm => Some((request, attempt)),
            _ => None,
        };
        let runs: Vec<(Id, u32)> = self.on_way.iter().filter_map(under_way).collect();
        for (request, attempt) in runs {
            let backends = self.backends.as_ref().expect("engines");
            let engine = backends.engine_of.get(&(vm, request)).cloned();
            if engine.is_none_or(|engine| self.reach(vm, &engine) == Port::Open) {
                continue;
            }
            self.on_way.retain(|msg| under_way(msg) != Some((request, attempt)));
            self.post(vm, vm, 1, Load::Unanswered(request, attempt, End::Lost));
        }
    }

    /// How an attempt to connect from an entry VM to an engine ends.
    fn reach(&self, vm: usize, engine: &Name) -> Port {
        let partition = self.partitions.get(&vm).filter(|partition| match partition.lost {
            Lost::All => true,
            Lost::Half => engine.bytes().last().is_some_and(|last| last % 2 == 0),
        });
        match partition {
            Some(Partition { refused: true, .. }) => Port::Closed,
            None if !self.is_up(engine) => Port::Closed,
            None if self.reaches_engine(vm, engine) => Port::Open,
            Some(_) | None => Port::Silent,
        }
    }

    /// Whether an engine is running.
    fn is_up(&self, engine: &Name) -> bool {
        self.truth.get(engine).is_some_and(Option::is_some)
    }

    /// Probes a port.
    pub(super) fn probe(&mut self, vm: usize, engine: Name) {
        let reach = self.reach(vm, &engine);
        let ms = if reach == Port::Silent { CONNECT_MS } else { 5 };
        self.post(vm, vm, ms, Load::Event(Box::new(Event::Probed { engine, reach })));
    }

    /// Asks another entry VM how a port responds there.
    pub(super) fn ask_path(&mut self, vm: usize, by: Relay, engine: Name) {
        self.path_queries += 1;
        let reach = self.reported_reach(vm, by.address, &engine);
        let ms = if reach == Some(Port::Open) { 5 } else { PROBE_MS };
        self.post(vm, vm, ms, Load::Event(Box::new(Event::PathSeen { engine, by, reach })));
    }

    /// Asks another entry VM whether an engine has crashed.
    pub(super) fn ask_crash(&mut self, vm: usize, address: SocketAddr, engine: Name) {
        let reach = self.reported_reach(vm, address, &engine);
        let ms = if reach.is_some_and(|reach| reach != Port::Silent) { 5 } else { PROBE_MS };
        self.post(vm, vm, ms, Load::Event(Box::new(Event::ProbedIndirectly { engine, reach })));
    }

    /// What another entry VM reports about an engine's port; `None` if it doesn't answer, or can't tell.
    fn reported_reach(&self, vm: usize, address: SocketAddr, engine: &Name) -> Option<Port> {
        let to = self.at(address);
        if !self.reaches(vm, to) || self.vms[to].suspended {
            return None;
        }
        let check = boragecove_fleet::reachability_check(&self.vms[to].state, self.now, engine)?;
        let reach = self.reach(to, engine);
        let others = self.truth.keys().filter(|other| *other != engine);
        let mut control = others.filter(|other| self.reach(to, other) == Port::Open);
        (reach == Port::Open || check.control.is_none() || control.next().is_some()).then_some(reach)
    }

    /// Sends a request that is due through a relay, or fails it if the engine can't be reached. Returns whether it
    /// did either.
    pub(super) fn relay_or_fail(&mut self, vm: usize, request: Id, attempt: &Attempt) -> bool {
        let ended = |end| Load::Unanswered(request, attempt.number, end);
        if let Some(relay) = &attempt.relay {
            let to = self.at(relay.address);
            if self.reaches(vm, to) && !self.vms[to].suspended {
                self.post(vm, to, 3, Load::Pass(request, attempt.clone()));
            } else {
                self.post(vm, vm, CONNECT_MS, ended(End::Unsent));
            }
            return true;
        }
        match self.reach(vm, &attempt.engine) {
            Port::Open => false,
            Port::Closed => {
                self.post(vm, vm, 2, ended(End::Unsent));
                true
            }
            Port::Silent => {
                // A connection that is already open accepts the request and never answers.
                if self.rng.u32(0..4) > 0 {
                    self.post(vm, vm, CONNECT_MS, ended(End::Unsent));
                }
                true
            }
        }
    }

    /// A request arrives at an entry VM that is to relay it.
    pub(super) fn passed(&mut self, from: usize, to: usize, request: Id, attempt: &Attempt) {
        let now = self.now;
        let state = &mut self.vms[to].state;
        let allowed = boragecove_fleet::relay_request(
            state,
            now,
            &attempt.engine,
            attempt.incarnation,
            attempt.build.as_ref(),
        );
        if allowed.is_err() || now >= attempt.write_by {
            if allowed.is_ok() {
                self.feed(to, Event::RelayEnded);
            }
            return self.post(to, from, 3, Load::Unanswered(request, attempt.number, End::Unsent));
        }
        if self.reach(to, &attempt.engine) != Port::Open {
            self.post(to, to, CONNECT_MS, Load::Event(Box::new(Event::RelayEnded)));
            return self.post(to, from, CONNECT_MS, Load::Unanswered(request, attempt.number, End::Unsent));
        }
        self.run(from, Some(to), request, attempt);
        if self.streams_to(from, Some(to), request, attempt) {
            return;
        }
        self.post(to, to, RUN_MS, Load::Event(Box::new(Event::RelayEnded)));
        self.post(to, from, RUN_MS, Load::Ended(request, attempt.number));
        // If the relay stops before that, its connection breaks.
        self.post(from, from, RUN_MS + 5, Load::Unanswered(request, attempt.number, End::Lost));
    }

    /// Callers' requests that arrived at each entry VM in a time span: the number served, and the total.
    pub fn served_and_total(&self, from: Time, until: Time) -> BTreeMap<usize, (usize, usize)> {
        let mut tries: BTreeMap<usize, (usize, usize)> = BTreeMap::new();
        for completion in self.outcomes.iter().filter(|completion| (from..until).contains(&completion.asked))
        {
            let (served, all) = tries.entry(completion.vm).or_default();
            *served += usize::from(completion.refused.is_none());
            *all += 1;
        }
        let open = self.open.iter().filter(|(_, (asked, _, _))| (from..until).contains(asked));
        for ((vm, _), _) in open {
            tries.entry(*vm).or_default().1 += 1;
        }
        tries
    }

    /// Number of requests relayed for an entry VM.
    pub fn relayed_for(&self, vm: usize) -> usize {
        let reached = self.backends.as_ref().map(|backends| backends.all().collect::<Vec<_>>());
        let relayed = |one: &&Arrived| one.vm == vm && one.relay.is_some();
        reached.into_iter().flatten().map(|(_, _, one)| one).filter(relayed).count()
    }
}

/// Time after the start of a partition from which the platform's rule applies.
pub const CONTACT: Duration = Duration::from_secs(3);
