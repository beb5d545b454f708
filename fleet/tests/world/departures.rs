//! Checks for leaving engines in a simulated deployment: when the store accepted the departure, which entry VM learned of it from the engine
//! itself, and which entry VMs would still send requests to the engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::push::Message;

use super::World;

/// Time between two checks of all entry VMs.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Which messages omit departures, to check that a test detects this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mute {
    /// Pushes omit departures.
    Pushes,
    /// Frames to the hub omit departures.
    Frames,
    /// The hub's replies omit departures.
    Replies,
    /// Both pushes and the hub's replies omit departures.
    Hub,
}

/// The first entry VM that received an engine's own announcement.
#[derive(Clone, Copy, Debug)]
struct Receiver {
    vm: usize,
    start: u64,
    at: Time,
}

/// Checks the departures of engines while a scenario is played.
#[derive(Debug)]
pub struct Departures {
    /// Required limit on how long after the store's write a leaving engine may still get requests.
    limit: Duration,
    /// The limit applies to entry VMs that, like the store, have been undisturbed for this long.
    undisturbed: Duration,
    /// When the store accepted that an engine is leaving or gone.
    accepted: BTreeMap<String, Time>,
    announced: BTreeMap<String, Receiver>,
    /// Engines that never leave.
    present: BTreeSet<String>,
    /// Entry VMs, with the number of their start, that have used an engine.
    used: BTreeSet<(usize, u64, String)>,
    /// Those of them that have learned that the engine is leaving.
    informed: BTreeSet<(usize, u64, String)>,
    pub faults: Vec<String>,
}

impl Departures {
    /// Creates the checks for engines that are all present.
    pub fn new(engines: impl Iterator<Item = String>, limit: Duration, undisturbed: Duration) -> Self {
        Self {
            limit,
            undisturbed,
            accepted: BTreeMap::new(),
            announced: BTreeMap::new(),
            present: engines.collect(),
            used: BTreeSet::new(),
            informed: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Notes that an engine will leave. No time limit applies until the store accepts the departure.
    pub fn will_leave(&mut self, engine: &str) {
        self.present.remove(engine);
    }

    /// Whether no departure of the engine was noted.
    pub fn is_present(&self, engine: &str) -> bool {
        self.present.contains(engine)
    }

    /// Notes that the store accepts now that an engine is leaving or gone.
    pub fn store_accepted(&mut self, world: &World, engine: &str) {
        self.present.remove(engine);
        self.accepted.entry(engine.to_owned()).or_insert(world.now);
    }

    /// Lets an entry VM receive an engine's announcement that it is leaving.
    pub fn announce_to(&mut self, world: &mut World, vm: usize, engine: &str) {
        self.present.remove(engine);
        let receiver = Receiver { vm, start: world.start_of(vm), at: world.now };
        self.announced.entry(engine.to_owned()).or_insert(receiver);
        world.receive_announcement(vm, engine);
    }

    /// Handles a restore of the store: the time limits start again once entry VMs have been connected to it long enough.
    pub fn store_restored(&mut self, world: &World) {
        let again = world.now + self.undisturbed;
        self.accepted.values_mut().for_each(|accepted| *accepted = again.max(*accepted));
    }

    /// Lets time pass, and checks all entry VMs meanwhile.
    pub fn advance(&mut self, world: &mut World, time: Duration) {
        let end = world.now + time;
        while world.now < end {
            world.advance(CHECK_INTERVAL.min(end.since(world.now)));
            self.check(world);
        }
    }

    fn check(&mut self, world: &World) {
        for at in (0..world.len()).filter(|at| world.is_running(*at)) {
            self.check_gone(world, at);
            self.check_present(world, at);
        }
    }

    fn check_gone(&mut self, world: &World, at: usize) {
        let gone: BTreeSet<&String> = self.accepted.keys().chain(self.announced.keys()).collect();
        for engine in gone {
            let key = (at, world.start_of(at), engine.clone());
            if !world.would_send_to(at, engine) {
                if self.used.contains(&key) {
                    self.informed.insert(key);
                }
                continue;
            }
            if self.informed.contains(&key) {
                self.faults.push(format!("{:?}: vm {at} would send to {engine} again", world.now));
            } else if let Some(late) = self.late_after_store(world, at, engine) {
                let now = world.now;
                self.faults.push(format!(
                    "{now:?}: vm {at} would send to {engine} {late:?} after the store accepted it"
                ));
            } else if let Some(late) = self.late_after_announcement(world, at, engine) {
                let now = world.now;
                self.faults
                    .push(format!("{now:?}: vm {at} would send to {engine} {late:?} after its announcement"));
            }
        }
    }

    /// Time since the store accepted the departure, if the entry VM has to know of it by now.
    fn late_after_store(&self, world: &World, at: usize, engine: &str) -> Option<Duration> {
        let late = world.now.since(*self.accepted.get(engine)?);
        let undisturbed_for = world.calm_since(at).map(|since| world.now.since(since))?;
        (late > self.limit && undisturbed_for >= self.undisturbed).then_some(late)
    }

    /// Time since the announcement to an entry VM that can notify the others, if they have to know of it by now.
    fn late_after_announcement(&self, world: &World, at: usize, engine: &str) -> Option<Duration> {
        let announced = self.announced.get(engine)?;
        let late = world.now.since(announced.at);
        let connected =
            |vm, long| world.linked_since(vm).is_some_and(|since: Time| world.now.since(since) >= long);
        let can_notify = world.start_of(announced.vm) == announced.start
            && connected(announced.vm, late + self.undisturbed);
        (late > self.limit && can_notify && connected(at, self.undisturbed)).then_some(late)
    }

    fn check_present(&mut self, world: &World, at: usize) {
        let undisturbed_for = world.calm_since(at).map(|since| world.now.since(since)).unwrap_or_default();
        for engine in &self.present {
            if world.would_send_to(at, engine) {
                self.used.insert((at, world.start_of(at), engine.clone()));
            } else if undisturbed_for >= self.undisturbed * 2 {
                self.faults
                    .push(format!("{:?}: vm {at} would not send to {engine}, which is healthy", world.now));
            }
        }
    }
}

impl World {
    /// Lets an entry VM receive a response in which an engine announces that it is leaving.
    pub fn receive_announcement(&mut self, at: usize, engine: &str) {
        if !self.vms[at].running || self.vms[at].suspended {
            return;
        }
        let known = self.vms[at].state.engines().find(|known| *known.entry.id == *engine);
        let Some(incarnation) = known.map(|known| known.entry.incarnation) else {
            return;
        };
        let from = Start { engine: engine.into(), incarnation };
        let notice = Notice { leaving: true, ..Notice::default() };
        self.feed(at, Event::NoticeReceived { from, notice, asked: None });
    }

    /// Number of running entry VMs that would send requests to an engine.
    pub fn count_senders(&self, engine: &str) -> usize {
        (0..self.len()).filter(|at| self.is_running(*at) && self.would_send_to(*at, engine)).count()
    }

    pub(super) fn mute_push(&self, message: &mut Message) {
        if matches!(self.silenced_departures, Some(Mute::Pushes | Mute::Hub)) {
            message.departure_rows.clear();
            message.departing.clear();
        }
    }

    pub(super) fn mute_frame(&self, frame: &mut Frame) {
        if self.silenced_departures == Some(Mute::Frames) {
            frame.departures.clear();
            frame.store_reading.rows.clear();
        }
    }

    pub(super) fn mute_reply(&self, reply: &mut Reply) {
        if matches!(self.silenced_departures, Some(Mute::Replies | Mute::Hub)) {
            reply.departures.clear();
            reply.rows.retain(|row| row.entry.as_ref().is_some_and(|entry| !entry.leaving));
        }
    }
}
