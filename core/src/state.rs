//! The state of one daemon process, composed of the state of each module.

use rustc_hash::FxHashMap;

use crate::audit;
use crate::claim;
use crate::close;
use crate::collect;
use crate::config;
use crate::count::{Counters, Gauges};
use crate::demand;
use crate::drain;
use crate::effect::Effect;
use crate::fleet;
use crate::flow;
use crate::id;
use crate::lease;
use crate::ledger;
use crate::member;
use crate::name::Name;
use crate::place;
use crate::retry::Budget;
use crate::route::Routes;
use crate::settings::Settings;
use crate::summary;
use crate::table;
use crate::time::Time;
use crate::timer::{Timer, Timers};

/// Identity of a daemon process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its VM's name in the VM list.
    pub vm: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Chosen at random at each start of the process.
    pub incarnation: id::Incarnation,
}

/// The state of one daemon process. Only [`crate::apply`] changes it.
#[derive(Debug)]
pub struct State {
    pub(crate) me: Identity,
    pub(crate) settings: Settings,
    pub(crate) rng: fastrand::Rng,
    pub(crate) timers: Timers<Timer>,
    pub(crate) counters: Counters,
    pub(crate) config: config::Part,
    pub(crate) fleet: fleet::Part,
    pub(crate) flow: flow::Part,
    pub(crate) routes: Routes,
    pub(crate) budget: Budget,
    pub(crate) claim: claim::Part,
    pub(crate) member: member::Part,
    pub(crate) collect: collect::Part,
    pub(crate) summary: summary::Part,
    pub(crate) lease: lease::Part,
    pub(crate) ledger: ledger::Part,
    pub(crate) demand: demand::Part,
    pub(crate) close: close::Part,
    pub(crate) place: place::Part,
    pub(crate) drain: drain::Part,
    pub(crate) audit: audit::Part,
    pub(crate) table_up: bool,
    /// Time at which this process last resumed after a stall; its start if it never stalled.
    pub(crate) resumed_at: Time,
    calls: FxHashMap<id::Op, Purpose>,
    seq: u64,
}

/// Which module waits for the answer to a table call, and what the call was for.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Purpose {
    /// The configuration.
    Config(config::TableCall),
    /// Claims on idempotency keys.
    Claim(claim::Step),
    /// The zone's lease.
    Lease(lease::Step),
    /// The engines' ledgers.
    Ledger(ledger::Step),
}

impl State {
    /// The state of a process that has just started. All its random choices depend only on the seed.
    #[must_use]
    pub fn new(me: Identity, settings: Settings, seed: u64, now: Time) -> Self {
        let mut timers = Timers::default();
        for timer in [Timer::ListVms, Timer::Config, Timer::Lease, Timer::Heartbeat, Timer::Plan] {
            timers.set(now, timer);
        }
        let routes = Routes::new(settings.prefix_blocks);
        Self {
            me,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            timers,
            counters: Counters::default(),
            config: config::Part::default(),
            fleet: fleet::Part::default(),
            flow: flow::Part::default(),
            routes,
            budget: Budget::default(),
            claim: claim::Part::default(),
            member: member::Part::default(),
            collect: collect::Part::default(),
            summary: summary::Part::default(),
            lease: lease::Part::default(),
            ledger: ledger::Part::default(),
            demand: demand::Part::default(),
            close: close::Part::default(),
            place: place::Part::default(),
            drain: drain::Part::default(),
            audit: audit::Part::default(),
            table_up: false,
            resumed_at: now,
            calls: FxHashMap::default(),
            seq: 0,
        }
    }

    /// Counts since the process started.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Current numbers of requests, attempts, claims and timers.
    #[must_use]
    pub fn gauges(&self) -> Gauges {
        Gauges {
            requests: self.flow.open(),
            waiting: self.flow.queued(),
            attempts: self.routes.open_attempts(),
            claims: self.claim.unsettled(),
            timers: self.timers.len(),
        }
    }

    /// Identity of this process.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.me
    }

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    /// Returns a new operation id.
    pub(crate) fn next_op(&mut self) -> id::Op {
        id::Op { by: self.me.incarnation, seq: self.next_seq() }
    }

    /// Returns a new order id.
    pub(crate) fn next_order(&mut self) -> id::Order {
        id::Order { by: self.me.incarnation, seq: self.next_seq() }
    }

    /// Calls the table.
    pub(crate) fn call(&mut self, call: table::Call, purpose: Purpose, out: &mut Vec<Effect>) {
        let op = self.next_op();
        self.call_as(op, call, purpose, out);
    }

    /// Calls the table with the operation id `op`.
    pub(crate) fn call_as(&mut self, op: id::Op, call: table::Call, purpose: Purpose, out: &mut Vec<Effect>) {
        match &call {
            table::Call::Get(_) | table::Call::List(_) => self.counters.table_reads += 1,
            table::Call::Commit(_) => self.counters.table_writes += 1,
            table::Call::Each(writes) => self.counters.table_writes += writes.len() as u64,
        }
        self.calls.insert(op, purpose);
        out.push(Effect::Table { op, call });
    }

    /// Removes and returns the purpose of a table call, once it is answered.
    pub(crate) fn take_purpose(&mut self, op: id::Op) -> Option<Purpose> {
        self.calls.remove(&op)
    }
}
