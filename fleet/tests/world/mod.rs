//! A simulated fleet: the reducers of all entry VMs, joined by calls that take several ms, and a store that holds the
//! lease. Tests can cut off zones, kill, restart or suspend entry VMs, and let the store reject some of them.

#![allow(dead_code, reason = "each test uses a part of it")]

mod backends;
mod brittle;
pub mod departures;
pub mod losses;
pub mod partitions;
pub mod repeats;
#[path = "../store/mod.rs"]
mod store;
pub mod streams;
mod transport;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_fleet::State;
use boragecove_fleet::budget::{self, Permit};
use boragecove_fleet::config::{Config, Kind, Route};
use boragecove_fleet::effect::Follow;
use boragecove_fleet::engine::Entry;
use boragecove_fleet::evacuation;
use boragecove_fleet::event::{Event, Listing};
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::lease::Answer;
use boragecove_fleet::pin::{Announcement, OriginAnswer};
use boragecove_fleet::push::{Message, Push};
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::{Arrival, Attempt, End, Id, Stream};
use boragecove_fleet::revision::Revision;
use boragecove_fleet::schedule::{Grant, ReservationRequest};
use boragecove_fleet::settings::Settings;
use boragecove_fleet::state::Identity;

use crate::node::{BUILD, plain};

pub use backends::{Arrived, Backends};

use departures::Mute;
use losses::Loss;
pub use store::Store;
use streams::{Streams, Written};

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const TICK: Duration = Duration::from_millis(5);
const START_MS: u64 = 1_000_000;
/// Time limits of a frame, of a query to another entry VM, and of a call about the lease, as in the process.
const FRAME_LIMIT: Duration = Duration::from_millis(500);
const ASK_LIMIT: Duration = Duration::from_millis(60);
const LEASE_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which an entry VM that follows the store asks for a newer configuration.
const FOLLOW_EVERY: Duration = Duration::from_millis(400);
/// How long a push may stall, as in the process.
const PUSH_STALL: Duration = Duration::from_millis(400);
/// The usual pause after a failed call to the store, as in the process.
const FAILED_PAUSE: Duration = Duration::from_millis(300);
/// The longest time after a restore of the store until what it lost is written again, as the platform guarantees.
pub const REWRITTEN: Duration = Duration::from_millis(1_900);

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// When its caller sent it.
    pub asked: Time,
    /// When the result was known.
    pub at: Time,
    pub vm: usize,
    pub workspace: Name,
    pub cost: f64,
    /// The result code; `None` if it was sent to an engine.
    pub refused: Option<Code>,
}

#[expect(clippy::struct_excessive_bools, reason = "each is an independent fault")]
pub struct World {
    pub now: Time,
    pub rng: fastrand::Rng,
    pub config: Arc<Config>,
    pub outcomes: Vec<Completion>,
    vms: Vec<Vm>,
    pub store: Store,
    /// The current entry of each engine, whatever the store has lost; `None` for an engine that is gone.
    truth: BTreeMap<Name, Option<Entry>>,
    /// What the store has lost, and when it is written again.
    rewrites: Vec<(Time, Rewrite)>,
    on_way: Vec<OnWay>,
    open: BTreeMap<(usize, Id), (Time, Name, f64)>,
    drawn: u64,
    settings: Settings,
    /// Fraction of attempts that engines reject, as not run.
    pub turned_away: f64,
    /// Fraction of the store's responses to successful writes that are lost.
    pub answers_lost: f64,
    /// Fraction of pushes that are lost unnoticed, as when their sender dies at the same time.
    pub pushes_lost: f64,
    /// Whether entry VMs follow the store with their own pauses, and the store answers their calls as long polls.
    pub long_polls: bool,
    /// Number of calls to the store for its tables, if these are long polls.
    pub calls: usize,
    /// Number of messages pushed.
    pub pushes: usize,
    /// Number of queries whether another entry VM reaches an engine.
    pub path_queries: usize,
    /// Number of runs cut off by the crash of an engine, as entry VMs report it.
    pub reported_crashes: usize,
    /// The next message to be lost.
    pub loss: Option<Loss>,
    /// Number of messages lost that way.
    pub lost: usize,
    /// The entry VM that sent the last frame: it has the longest time until its next one.
    pub last_frame_from: usize,
    /// Injected fault: additional time for which the overdue response to a long poll is waited for.
    pub long_poll_patience: Duration,
    /// Injected fault: entry VMs use old data after a stall.
    pub trusts_stale_state: bool,
    /// Injected fault: the row of the lease contains neither shares nor repeats.
    pub forgets_shares: bool,
    /// Injected fault: each query for a slot is granted at once.
    pub grants_immediately: bool,
    /// Injected fault: the store's era is hidden.
    pub hides_era: bool,
    /// Injected fault: all engines seem to run one build.
    pub ignores_builds: bool,
    /// Injected fault: evacuations are ignored.
    pub ignores_evacuations: bool,
    /// Injected fault: entry VMs omit leaving engines from some of their messages.
    pub silenced_departures: Option<Mute>,
    /// Times in which an entry VM was allowed to give orders, with its fencing number.
    pub orderers: Vec<Orderer>,
    /// Engines that answer. Without them a request is done as soon as it is sent.
    pub backends: Option<Backends>,
    pub streams: Streams,
    zones_cut: [bool; ZONES.len()],
    /// Entry VMs that can't reach engines.
    partitions: BTreeMap<usize, partitions::Partition>,
    /// When the store was last restored from a copy.
    restored_at: Option<Time>,
    /// Evacuated zones, with the start and the end of the evacuation.
    evacuated: Vec<(usize, Time, Option<Time>)>,
}

struct Vm {
    state: State,
    wake: Option<Time>,
    /// Number of the start. Messages to an earlier start are lost.
    start: u64,
    running: bool,
    suspended: bool,
    /// Whether the store accepts its calls.
    served: bool,
    /// Its side of a network partition.
    side: u8,
    follows: Option<Follow>,
    asks_at: Time,
    /// Until when the store holds its long poll.
    held_until: Option<Time>,
    /// When the response to that long poll is overdue, if it is lost.
    overdue_at: Option<Time>,
    /// The revision up to which it has read the engine table.
    table: Option<Revision>,
    /// When it was last disturbed.
    disturbed_at: Time,
}

/// A time in which an entry VM was allowed to give orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Orderer {
    pub vm: usize,
    pub term: u64,
    pub from: Time,
    pub until: Time,
}

/// Something that the store has lost and that is written again.
#[derive(Clone, Debug)]
enum Rewrite {
    Config,
    Engine(Name),
}

struct OnWay {
    at: Time,
    from: usize,
    from_start: u64,
    to: usize,
    to_start: u64,
    load: Load,
}

#[derive(Clone)]
enum Load {
    Frame(Box<Frame>),
    Reply(Option<Box<Reply>>, u64),
    Push(Box<Message>),
    /// A push that was not accepted.
    Missed(Push),
    Draw(Id, Draw),
    Credit(Id, Name, Option<Credit>),
    /// A query for a repeat, and when it was made.
    Permit(Id, Time, budget::PermitRequest),
    Permitted(Id, Time, Option<Permit>),
    Ask(Id, ReservationRequest),
    Grant(Id, Option<Grant>),
    Send(Id, Attempt),
    /// The head of the answer to an attempt, and when that was sent.
    Head(Id, Attempt, Time),
    Ended(Id, u32),
    /// An event of a stream.
    Piece(Id, Box<Written>),
    /// A request to be relayed.
    Pass(Id, Attempt),
    /// The end of an attempt that got no answer, unless one has arrived.
    Unanswered(Id, u32, End),
    Note(Vec<Announcement>),
    /// A query for the origin of a stream, and the answer of an entry VM.
    Trace(Id, Stream),
    Traced(Id, usize, OriginAnswer),
    Lease(Answer),
    /// The configuration when the store was asked, the revision up to which it is the newest, and the time of the
    /// call.
    Declared(Arc<Config>, Revision, Time),
    /// Rows of the operators' table about availability zones.
    Evacuations(evacuation::Listing),
    /// Rows of the engine table.
    Listed(Listing),
    /// Any other result of a call.
    Event(Box<Event>),
    /// A request that waits in the socket of a suspended machine.
    Arrive(Id, Box<Arrival>),
}

/// Time budget of a randomized test: the given one, or the value of `WORLD_BUDGET_MS`.
pub fn budget_ms(usual: u64) -> u64 {
    std::env::var("WORLD_BUDGET_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

fn address(vm: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (vm / 250) as u8, (vm % 250) as u8], 7_000))
}

impl World {
    /// A fleet of this many entry VMs, distributed over three zones in turn.
    pub fn new(
        vms: usize,
        config: Config,
        rows: &[boragecove_fleet::engine::Row],
        settings: Settings,
        seed: u64,
    ) -> Self {
        Self::with_store(Store::default(), vms, config, rows, settings, seed)
    }

    /// The same with a given store, which may have been restored from copies already.
    pub fn with_store(
        store: Store,
        vms: usize,
        config: Config,
        rows: &[boragecove_fleet::engine::Row],
        settings: Settings,
        seed: u64,
    ) -> Self {
        let now = Time::from_millis(START_MS);
        let mut world = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            config: Arc::new(config),
            outcomes: Vec::new(),
            vms: Vec::new(),
            store,
            truth: BTreeMap::new(),
            rewrites: Vec::new(),
            on_way: Vec::new(),
            open: BTreeMap::new(),
            drawn: 0,
            settings,
            turned_away: 0.0,
            answers_lost: 0.0,
            pushes_lost: 0.0,
            long_polls: false,
            calls: 0,
            pushes: 0,
            path_queries: 0,
            reported_crashes: 0,
            loss: None,
            lost: 0,
            last_frame_from: 0,
            long_poll_patience: Duration::ZERO,
            trusts_stale_state: false,
            forgets_shares: false,
            grants_immediately: false,
            hides_era: false,
            ignores_builds: false,
            ignores_evacuations: false,
            silenced_departures: None,
            orderers: Vec::new(),
            backends: None,
            streams: Streams::default(),
            zones_cut: [false; ZONES.len()],
            partitions: BTreeMap::new(),
            restored_at: None,
            evacuated: Vec::new(),
        };
        for entry in rows.iter().filter_map(|row| row.entry.clone()) {
            world.register(entry);
        }
        world.store.declare(Arc::clone(&world.config));
        for _vm in 0..vms {
            world.add();
        }
        world
    }

    /// Writes the entry of an engine.
    pub fn register(&mut self, entry: Entry) {
        self.truth.insert(entry.id.clone(), Some(entry.clone()));
        self.store.put(entry);
    }

    /// Starts or ends the evacuation of a zone.
    pub fn evacuate(&mut self, zone: usize, evacuated: bool) {
        self.store.evacuate(ZONES[zone], evacuated);
        if evacuated {
            self.evacuated.push((zone, self.now, None));
        } else {
            let open = self.evacuated.iter_mut().filter(|last| last.0 == zone && last.2.is_none());
            open.for_each(|(_, _, until)| *until = Some(self.now));
        }
    }

    /// Number of requests that reached an engine of an evacuated zone later than `bound` after the start of the
    /// evacuation and after the last disturbance of the entry VM that sent them.
    pub fn sent_to_evacuated(&self, bound: Duration) -> usize {
        let violates = |zone: &str, arrived: &Arrived| {
            self.evacuated.iter().any(|(of, from, until)| {
                let is_connected =
                    arrived.undisturbed_since.is_some_and(|since| arrived.at.since(since.max(*from)) > bound);
                ZONES[*of] == zone
                    && arrived.at > *from
                    && until.is_none_or(|until| arrived.at < until)
                    && is_connected
            })
        };
        let backends = self.backends.as_ref().expect("engines");
        backends.all().filter(|(_, zone, arrived)| violates(zone, arrived)).count()
    }

    /// Makes the next read of the engine table by an entry VM a complete one, as when the store has dropped its
    /// history.
    pub fn reread(&mut self, at: usize) {
        self.vms[at].table = None;
        self.vms[at].held_until = None;
        self.vms[at].asks_at = self.now;
    }

    /// Removes the entry of an engine.
    pub fn deregister(&mut self, engine: &str) {
        self.truth.insert(engine.into(), None);
        self.store.remove(&engine.into());
    }

    /// Restores the store from a copy that is this old. What it loses is written again within the time that the
    /// platform guarantees.
    pub fn restore_store(&mut self, back: Duration) {
        self.store.restore(self.now, back);
        self.restored_at = Some(self.now);
        self.rewrites.clear();
        let within = REWRITTEN.as_millis() as u64;
        let mut lost = vec![Rewrite::Config];
        lost.extend(self.truth.keys().cloned().map(Rewrite::Engine));
        for rewrite in lost {
            let at = self.now + Duration::from_millis(self.rng.u64(0..within));
            self.rewrites.push((at, rewrite));
        }
        for vm in &mut self.vms {
            vm.asks_at = vm.asks_at.min(self.now);
            vm.held_until = None;
        }
    }

    /// Writes again what the store has lost and is due.
    fn rewrite(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.rewrites.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, rewrite) in due {
            match rewrite {
                Rewrite::Config
                    if self.store.config().is_none_or(|config| config.version != self.config.version) =>
                {
                    self.store.declare(Arc::clone(&self.config));
                }
                Rewrite::Engine(id) if self.store.entry(&id) != self.truth[&id].as_ref() => {
                    match self.truth[&id].clone() {
                        Some(entry) => self.store.put(entry),
                        None => self.store.remove(&id),
                    }
                }
                Rewrite::Config | Rewrite::Engine(_) => {}
            }
        }
    }

    /// Records the entry VMs that may give orders now.
    fn record_orderers(&mut self) {
        let now = self.now;
        for (vm, state) in self.vms.iter().enumerate().filter(|(_, vm)| vm.running && !vm.suspended) {
            let Some(term) = state.state.lease().ordering_term(now) else {
                continue;
            };
            let last = self.orderers.iter_mut().rev().find(|last| last.vm == vm && last.term == term);
            match last {
                Some(last) => last.until = now,
                None => self.orderers.push(Orderer { vm, term, from: now, until: now }),
            }
        }
    }

    /// Adds an entry VM.
    pub fn add(&mut self) {
        let at = self.vms.len();
        let state = self.new_state(at);
        self.vms.push(Vm {
            state,
            wake: Some(self.now),
            start: 1,
            running: true,
            suspended: false,
            served: true,
            side: 0,
            follows: Some(Follow::default()),
            asks_at: self.now,
            held_until: None,
            overdue_at: None,
            table: None,
            disturbed_at: self.now,
        });
        self.deliver_tables(at);
    }

    fn new_state(&mut self, at: usize) -> State {
        let zone = ZONES[at % ZONES.len()].into();
        let me = Identity { vm: format!("vm-{at}").into(), zone, address: address(at) };
        State::new(me, self.settings.clone(), self.rng.u64(..), self.now)
    }

    /// Passes the store's tables to a starting process.
    fn deliver_tables(&mut self, at: usize) {
        self.vms[at].table = None;
        if let Some(config) = self.store.config().cloned() {
            self.feed(at, Event::Configured(config));
        }
        let words = self.seen_words(self.store.evacuations(None));
        self.feed(at, Event::Evacuations(words));
        let listing = self.seen(self.store.engines(self.now, None));
        self.feed(at, Event::EnginesRead(listing));
    }

    /// The era that readers of the store see.
    fn seen_era(&self) -> u64 {
        if self.hides_era { 0 } else { self.store.era() }
    }

    /// The rows about availability zones that readers of the store see.
    fn seen_words(&self, mut listing: evacuation::Listing) -> evacuation::Listing {
        if self.hides_era {
            listing.version.era = 0;
            listing.zones.iter_mut().for_each(|zone| zone.revision.era = 0);
        }
        listing
    }

    /// The engine table that readers of the store see.
    fn seen(&self, mut listing: Listing) -> Listing {
        if self.hides_era {
            listing.version.era = 0;
            listing.rows.iter_mut().for_each(|row| row.version.era = 0);
        }
        if self.ignores_builds {
            let entries = listing.rows.iter_mut().filter_map(|row| row.entry.as_mut());
            entries.for_each(|entry| entry.build = Some(BUILD.into()));
        }
        listing
    }

    pub fn len(&self) -> usize {
        self.vms.len()
    }

    pub fn state(&self, at: usize) -> &State {
        &self.vms[at].state
    }

    /// The owner of something in a zone, by the hub's list.
    pub fn owner_of(&self, what: &str, zone: &str) -> usize {
        let leader = self.leader().expect("a leader");
        let members = self.vms[leader].state.members();
        let owner = members.sole_owner(&what.into(), &zone.into()).expect("an owner");
        self.at(owner.address)
    }

    /// The entry VM that holds the lease.
    pub fn leader(&self) -> Option<usize> {
        self.vms
            .iter()
            .position(|vm| vm.running && !vm.suspended && vm.state.lease().held_term(self.now).is_some())
    }

    /// When the entry VM or the store was last disturbed; `None` while it isn't running, or is cut off from the
    /// others or from the store.
    pub fn calm_since(&self, at: usize) -> Option<Time> {
        let vm = &self.vms[at];
        let is_connected = vm.running && !vm.suspended && vm.served && vm.side == 0;
        is_connected
            .then(|| self.restored_at.map_or(vm.disturbed_at, |restored_at| restored_at.max(vm.disturbed_at)))
    }

    /// When the entry VM was last disturbed, whether or not the store accepts its calls; `None` while it isn't
    /// running, or is cut off from the others.
    pub fn linked_since(&self, at: usize) -> Option<Time> {
        let vm = &self.vms[at];
        (vm.running && !vm.suspended && vm.side == 0).then_some(vm.disturbed_at)
    }

    /// Number of the running start of an entry VM.
    pub fn start_of(&self, at: usize) -> u64 {
        self.vms[at].start
    }

    /// Whether an entry VM would send requests to an engine.
    pub fn would_send_to(&self, at: usize, engine: &str) -> bool {
        let mut engines = self.vms[at].state.engines();
        engines.any(|known| *known.entry.id == *engine && known.takes_work())
    }

    pub fn kill(&mut self, at: usize) {
        self.vms[at].disturbed_at = self.now;
        self.vms[at].running = false;
        self.vms[at].start += 1;
        self.forget_vm(at);
        self.lose_streams(at);
        self.open.retain(|(vm, _), _| *vm != at);
    }

    pub fn restart(&mut self, at: usize) {
        self.kill(at);
        self.vms[at].state = self.new_state(at);
        self.vms[at].running = true;
        self.vms[at].suspended = false;
        self.vms[at].wake = Some(self.now);
        self.deliver_tables(at);
    }

    pub fn is_running(&self, at: usize) -> bool {
        self.vms[at].running
    }

    pub fn suspend(&mut self, at: usize, suspended: bool) {
        self.vms[at].disturbed_at = self.now;
        self.vms[at].suspended = suspended;
        if !suspended {
            self.resume(at);
        }
    }

    pub fn set_store_access(&mut self, at: usize, served: bool) {
        self.vms[at].disturbed_at = self.now;
        self.vms[at].served = served;
    }

    /// Cuts a zone off from the others and from the store, or reconnects it.
    pub fn cut(&mut self, zone: usize, cut: bool) {
        self.zones_cut[zone] = cut;
        for at in (0..self.vms.len()).filter(|at| at % ZONES.len() == zone) {
            self.vms[at].side = if cut { zone as u8 + 1 } else { 0 };
            self.vms[at].disturbed_at = self.now;
        }
    }

    /// Cuts an entry VM off from the others and from the store, though not from engines, or reconnects it.
    pub fn isolate(&mut self, at: usize, isolated: bool) {
        self.vms[at].disturbed_at = self.now;
        self.vms[at].side = if isolated { 100 + (at % 100) as u8 } else { 0 };
    }

    /// Causes one of nine disturbances of an entry VM or of the hub.
    pub fn disturb(&mut self, kind: u8, at: usize) {
        let leader = self.leader().unwrap_or(at);
        match kind {
            0 => self.kill(at),
            1 => self.kill(leader),
            2 => self.restart(at),
            3 => self.suspend(at, true),
            4 => self.suspend(leader, true),
            5 => self.cut(at % ZONES.len(), true),
            6 => self.set_store_access(at, false),
            7 => self.set_store_access(leader, false),
            _ => self.isolate(leader, true),
        }
    }

    /// Ends all disturbances except restores of the store, and restarts entry VMs that aren't running.
    pub fn heal(&mut self) {
        (0..ZONES.len()).for_each(|zone| self.cut(zone, false));
        for at in 0..self.len() {
            self.isolate(at, false);
            self.set_store_access(at, true);
            self.suspend(at, false);
            if !self.is_running(at) {
                self.restart(at);
            }
        }
    }

    /// Writes a version of the configuration to the store.
    pub fn declare(&mut self, config: Config) {
        self.config = Arc::new(config);
        self.store.declare(Arc::clone(&self.config));
    }

    /// Writes a version of the configuration to the store, and delivers it at once to all entry VMs that aren't cut
    /// off.
    pub fn configure(&mut self, config: Config) {
        self.declare(config);
        for at in 0..self.vms.len() {
            if self.vms[at].running && !self.vms[at].suspended && self.vms[at].side == 0 {
                let config = Arc::clone(&self.config);
                self.feed(at, Event::Configured(config));
            }
        }
    }

    /// Asks an entry VM for credit.
    pub fn draw(&mut self, at: usize, draw: &Draw) -> Credit {
        boragecove_fleet::credit(&mut self.vms[at].state, self.now, draw)
    }

    /// Lets a request arrive at an entry VM, if it is running.
    pub fn arrive(&mut self, at: usize, workspace: &Name, cost: f64, arrival: Arrival) {
        if let Some(backends) = &mut self.backends {
            backends.repeats.asked(self.now);
        }
        if !self.vms[at].running {
            return;
        }
        self.drawn += 1;
        let request = Id(self.drawn);
        self.open.insert((at, request), (self.now, workspace.clone(), cost));
        let once = |route: &&Arc<Route>| route.kind == Kind::Once && arrival.path.starts_with(&*route.prefix);
        let once = self.config.routes.iter().any(|route| once(&route));
        if let Some(backends) = self.backends.as_mut().filter(|_| once) {
            backends.once.insert((at, request));
        }
        self.post(at, at, 0, Load::Arrive(request, Box::new(arrival)));
    }

    /// Sends plain calls at this rate to random entry VMs for a while.
    pub fn generate_load(&mut self, time: Duration, per_s: f64) {
        let end = self.now + time;
        while self.now < end {
            let mut due = per_s * TICK.as_secs_f64();
            while due > 0.0 && self.rng.f64() < due {
                due -= 1.0;
                let at = self.rng.usize(0..self.len());
                self.arrive(at, &Name::default(), 0.0, plain("/ack/1"));
            }
            self.tick();
        }
    }

    pub fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.store.keep(self.now);
        self.rewrite();
        self.retry_streams();
        for at in 0..self.vms.len() {
            let vm = &self.vms[at];
            if !vm.running || vm.suspended {
                continue;
            }
            if vm.wake.is_some_and(|wake| wake <= self.now) {
                self.vms[at].wake = None;
                self.feed(at, Event::Wake);
            }
            if self.long_polls {
                self.follow_paced(at);
            } else if self.vms[at].follows.is_some() && self.vms[at].asks_at <= self.now {
                self.vms[at].asks_at = self.now + FOLLOW_EVERY;
                if self.vms[at].served && self.vms[at].side == 0 {
                    self.follow(at);
                }
            }
        }
        let now = self.now;
        let mut due: Vec<OnWay> = self.on_way.extract_if(.., |message| message.at <= now).collect();
        // Messages that waited in the socket of a suspended machine are read first, in the order of their arrival.
        let was_delayed = |message: &OnWay| message.at + TICK < now;
        due.sort_by_key(|message| if was_delayed(message) { message.at } else { now });
        for message in due {
            self.deliver(message);
        }
        self.record_orderers();
    }

    pub fn feed(&mut self, at: usize, event: Event) {
        let effects = boragecove_fleet::apply(&mut self.vms[at].state, self.now, event);
        for effect in effects {
            self.carry(at, effect);
        }
    }
}
