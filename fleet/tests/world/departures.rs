//! Engines that leave in a deployment of a test: when the store took that, who heard it from the engine itself, and who would still send there.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use boragecove_core::time::Time;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::notice::{Notice, Start};
use boragecove_fleet::push::Message;

use super::World;

/// Time between two looks at what all believe.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// What entry VMs leave out in a broken copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mute {
    /// Of what is pushed down the trees, all that says of engines that they leave.
    Pushes,
    /// The same of frames to the hub.
    Frames,
    /// The same of the hub's answers.
    Replies,
    /// The same of pushes and of the hub's answers.
    Hub,
}

/// The first entry VM that heard from an engine that it leaves.
#[derive(Clone, Copy, Debug)]
struct Hearer {
    vm: usize,
    start: u64,
    at: Time,
}

/// What is checked of engines while a day is played.
#[derive(Debug)]
pub struct Departures {
    /// The users' rule: how long after the store took its word an engine that leaves may still be sent to,
    drain: Duration,
    /// by entry VMs that nothing has been done to for this long, nor to the store.
    contact: Duration,
    /// When the store took that an engine leaves or is gone.
    taken: BTreeMap<String, Time>,
    heard: BTreeMap<String, Hearer>,
    /// Engines that stay all day.
    stay: BTreeSet<String>,
    /// Which start of which entry VM has believed in which engine.
    believed: BTreeSet<(usize, u64, String)>,
    /// Which of them knows that the engine leaves.
    knows: BTreeSet<(usize, u64, String)>,
    pub faults: Vec<String>,
}

impl Departures {
    /// Before anybody has left.
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

    /// An engine leaves, and only the store's word is to count for others.
    pub fn leaves(&mut self, engine: &str) {
        self.stay.remove(engine);
    }

    /// Whether nothing has been said of an engine's leaving.
    pub fn stays(&self, engine: &str) -> bool {
        self.stay.contains(engine)
    }

    /// The store takes now that an engine leaves or is gone.
    pub fn take(&mut self, world: &World, engine: &str) {
        self.stay.remove(engine);
        self.taken.entry(engine.to_owned()).or_insert(world.now);
    }

    /// An entry VM hears from an engine that it leaves.
    pub fn hear(&mut self, world: &mut World, vm: usize, engine: &str) {
        self.stay.remove(engine);
        let hearer = Hearer { vm, start: world.start_of(vm), at: world.now };
        self.heard.entry(engine.to_owned()).or_insert(hearer);
        world.hear_leaving(vm, engine);
    }

    /// The store comes back from a copy: what it lost counts from the moment on at which entry VMs are in touch with it again.
    pub fn drilled(&mut self, world: &World) {
        let again = world.now + self.contact;
        self.taken.values_mut().for_each(|taken| *taken = again.max(*taken));
    }

    /// Lets time pass, and looks at what all believe meanwhile.
    pub fn pass(&mut self, world: &mut World, time: Duration) {
        let end = world.now + time;
        while world.now < end {
            world.pass(LOOK_EVERY.min(end.since(world.now)));
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
            if !world.believes_in(at, engine) {
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

    /// Time since the store took its word, if the entry VM is to know by now.
    fn late_by_store(&self, world: &World, at: usize, engine: &str) -> Option<Duration> {
        let late = world.now.since(*self.taken.get(engine)?);
        let calm = world.calm_since(at).map(|since| world.now.since(since))?;
        (late > self.drain && calm >= self.contact).then_some(late)
    }

    /// Time since an entry VM that can tell the others heard of it, if they are to know by now.
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
            if world.believes_in(at, engine) {
                self.believed.insert((at, world.start_of(at), engine.clone()));
            } else if calm >= self.contact * 2 {
                self.faults
                    .push(format!("{:?}: vm {at} does not believe in {engine}, which is sound", world.now));
            }
        }
    }
}

impl World {
    /// An answer of an engine says to an entry VM that it leaves.
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
        self.feed(at, Event::Noticed { from, notice, asked: None });
    }

    /// Entry VMs that run and would send requests to an engine.
    pub fn believers(&self, engine: &str) -> usize {
        (0..self.len()).filter(|at| self.is_running(*at) && self.believes_in(*at, engine)).count()
    }

    pub(super) fn mute_push(&self, message: &mut Message) {
        if matches!(self.mute, Some(Mute::Pushes | Mute::Hub)) {
            message.departures.clear();
            message.departed.clear();
        }
    }

    pub(super) fn mute_frame(&self, frame: &mut Frame) {
        if self.mute == Some(Mute::Frames) {
            frame.departures.clear();
            frame.reading.rows.clear();
        }
    }

    pub(super) fn mute_reply(&self, reply: &mut Reply) {
        if matches!(self.mute, Some(Mute::Replies | Mute::Hub)) {
            reply.departures.clear();
            reply.rows.retain(|row| row.entry.as_ref().is_some_and(|entry| !entry.leaving));
        }
    }
}
