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
const LOOK_EVERY: Duration = Duration::from_millis(20);

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
struct Hearer {
    vm: usize,
    start: u64,
    at: Time,
}

/// Checks the departures of engines while a scenario is played.
#[derive(Debug)]
pub struct Departures {
    /// Required limit on how long after the store's write a leaving engine may still get requests.
    drain: Duration,
    /// The limit applies to entry VMs that, like the store, have been undisturbed for this long.
    contact: Duration,
    /// When the store accepted that an engine is leaving or gone.
    taken: BTreeMap<String, Time>,
    heard: BTreeMap<String, Hearer>,
    /// Engines that never leave.
    stay: BTreeSet<String>,
    /// Entry VMs, with the number of their start, that have used an engine.
    believed: BTreeSet<(usize, u64, String)>,
    /// Those of them that have learned that the engine is leaving.
    knows: BTreeSet<(usize, u64, String)>,
    pub faults: Vec<String>,
}

impl Departures {
    /// Creates the checks for engines that are all present.
    pub fn new(engines: impl Iterator<Item = String>, drain: Duration, contact: Duration) -> Self {
        Self {
            drain,
            contact,
            taken: BTreeMap::new(),
            heard: BTreeMap::new(),
            stay: engines.collect(),
            believed: BTreeSet::new(),
            knows: BTreeSet::new(),
            faults: Vec::new(),
        }
    }

    /// Notes that an engine will leave. No time limit applies until the store accepts the departure.
    pub fn leaves(&mut self, engine: &str) {
        self.stay.remove(engine);
    }

    /// Whether no departure of the engine was noted.
    pub fn stays(&self, engine: &str) -> bool {
        self.stay.contains(engine)
    }

    /// Notes that the store accepts now that an engine is leaving or gone.
    pub fn take(&mut self, world: &World, engine: &str) {
        self.stay.remove(engine);
        self.taken.entry(engine.to_owned()).or_insert(world.now);
    }

    /// Lets an entry VM receive an engine's announcement that it is leaving.
    pub fn hear(&mut self, world: &mut World, vm: usize, engine: &str) {
        self.stay.remove(engine);
        let hearer = Hearer { vm, start: world.start_of(vm), at: world.now };
        self.heard.entry(engine.to_owned()).or_insert(hearer);
        world.hear_leaving(vm, engine);
    }

    /// Handles a restore of the store: the time limits start again once entry VMs have been connected to it long enough.
    pub fn drilled(&mut self, world: &World) {
        let again = world.now + self.contact;
        self.taken.values_mut().for_each(|taken| *taken = again.max(*taken));
    }

    /// Lets time pass, and checks all entry VMs meanwhile.
    pub fn pass(&mut self, world: &mut World, time: Duration) {
        let end = world.now + time;
        while world.now < end {
            world.advance(LOOK_EVERY.min(end.since(world.now)));
            self.look(world);
        }
    }

    fn look(&mut self, world: &World) {
        for at in (0..world.len()).filter(|at| world.is_running(*at)) {
            self.look_at_gone(world, at);
            self.look_at_sound(world, at);
        }
    }

    fn look_at_gone(&mut self, world: &World, at: usize) {
        let gone: BTreeSet<&String> = self.taken.keys().chain(self.heard.keys()).collect();
        for engine in gone {
            let key = (at, world.start_of(at), engine.clone());
            if !world.would_send_to(at, engine) {
                if self.believed.contains(&key) {
                    self.knows.insert(key);
                }
                continue;
            }
            if self.knows.contains(&key) {
                self.faults.push(format!("{:?}: vm {at} believes in {engine} again", world.now));
            } else if let Some(late) = self.late_by_store(world, at, engine) {
                let now = world.now;
                self.faults
                    .push(format!("{now:?}: vm {at} believes in {engine} {late:?} after the store took it"));
            } else if let Some(late) = self.late_by_word(world, at, engine) {
                let now = world.now;
                self.faults
                    .push(format!("{now:?}: vm {at} believes in {engine} {late:?} after one heard of it"));
            }
        }
    }

    /// Time since the store accepted the departure, if the entry VM has to know of it by now.
    fn late_by_store(&self, world: &World, at: usize, engine: &str) -> Option<Duration> {
        let late = world.now.since(*self.taken.get(engine)?);
        let calm = world.calm_since(at).map(|since| world.now.since(since))?;
        (late > self.drain && calm >= self.contact).then_some(late)
    }

    /// Time since the announcement to an entry VM that can notify the others, if they have to know of it by now.
    fn late_by_word(&self, world: &World, at: usize, engine: &str) -> Option<Duration> {
        let heard = self.heard.get(engine)?;
        let late = world.now.since(heard.at);
        let linked =
            |vm, long| world.linked_since(vm).is_some_and(|since: Time| world.now.since(since) >= long);
        let tells = world.start_of(heard.vm) == heard.start && linked(heard.vm, late + self.contact);
        (late > self.drain && tells && linked(at, self.contact)).then_some(late)
    }

    fn look_at_sound(&mut self, world: &World, at: usize) {
        let calm = world.calm_since(at).map(|since| world.now.since(since)).unwrap_or_default();
        for engine in &self.stay {
            if world.would_send_to(at, engine) {
                self.believed.insert((at, world.start_of(at), engine.clone()));
            } else if calm >= self.contact * 2 {
                self.faults
                    .push(format!("{:?}: vm {at} does not believe in {engine}, which is healthy", world.now));
            }
        }
    }
}

impl World {
    /// Lets an entry VM receive a response in which an engine announces that it is leaving.
    pub fn hear_leaving(&mut self, at: usize, engine: &str) {
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
    pub fn believers(&self, engine: &str) -> usize {
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
