//! The lease on giving orders: one row in the platform's store. Its holder is also the hub to which the
//! other entry VMs send their frames.
//!
//! A holder counts the lease from before its write was sent. Others take it over only after they have seen
//! the same version of the row for longer than that, so no two clocks are compared.

use std::net::SocketAddr;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use serde::{Deserialize, Serialize};

use crate::effect::Effect;
use crate::record::{Record, ms};
use crate::state::State;
use crate::timer::Timer;

/// The content of the row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The machine that holds it.
    pub holder: Name,
    /// Where the holder listens for frames.
    pub address: SocketAddr,
    /// Grows with each change of hands; fences orders.
    pub term: u64,
    /// Whether the holder has given it back.
    pub released: bool,
}

/// A row with the store's version of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The store's version of the row.
    pub version: u64,
    /// Its content.
    pub row: Row,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the row.
    Read,
    /// Write the row if it still has this version; 0 for a row that does not exist.
    Write {
        /// The version it must have.
        expected: u64,
        /// The new content.
        row: Row,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The row as it is; none if there is none.
    Read(Option<Seen>),
    /// The row was written and has this version now.
    Written(u64),
    /// The row was not written, since it is another; none if there is none.
    Conflict(Option<Seen>),
    /// It is not known whether anything was done.
    Unknown,
}

/// What this process knows of the lease.
#[derive(Debug, Default)]
pub struct Lease {
    seen: Option<Seen>,
    /// When the row was first seen with this version.
    seen_at: Time,
    held: Option<Held>,
    /// The call under way, with the time at which it was sent.
    pending: Option<(Time, Call)>,
}

/// The lease, held by this process.
#[derive(Debug, Clone, Copy)]
struct Held {
    version: u64,
    term: u64,
    until: Time,
    orders_from: Time,
}

impl Lease {
    /// The fencing number, while this process holds the lease.
    #[must_use]
    pub fn holds(&self, now: Time) -> Option<u64> {
        self.held.filter(|held| now < held.until).map(|held| held.term)
    }

    /// The fencing number, while this process may send orders.
    #[must_use]
    pub fn orders(&self, now: Time) -> Option<u64> {
        self.held.filter(|held| now < held.until && now >= held.orders_from).map(|held| held.term)
    }

    /// Who was last seen to hold it.
    #[must_use]
    pub fn hub(&self) -> Option<&Row> {
        self.seen.as_ref().map(|seen| &seen.row)
    }

    fn see(&mut self, now: Time, seen: Option<Seen>) {
        if self.seen != seen {
            self.seen = seen;
            self.seen_at = now;
        }
    }
}

/// The lease is to be looked at, taken or renewed.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let wait = if state.lease.held.is_some() { state.settings.lease_renew } else { state.settings.lease_look };
    let jitter = wait.mul_f64(0.2 * state.rng.f64());
    state.timers.set(now + wait - jitter, Timer::Lease);
    if state.lease.pending.is_some() {
        return;
    }
    if let Some(held) = state.lease.held {
        let row = own_row(state, held.term, state.stopping);
        call(state, now, Call::Write { expected: held.version, row }, out);
        return;
    }
    if state.stopping || (state.hub.alive(now, &state.settings) && state.hub.leads) {
        return;
    }
    call(state, now, Call::Read, out);
}

/// Gives the lease back at a planned stop.
pub(crate) fn release(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if let Some(held) = state.lease.held.take() {
        let row = own_row(state, held.term, true);
        call(state, now, Call::Write { expected: held.version, row }, out);
    }
}

fn own_row(state: &State, term: u64, released: bool) -> Row {
    Row { holder: state.me.vm.clone(), address: state.me.address, term, released }
}

fn call(state: &mut State, now: Time, call: Call, out: &mut Vec<Effect>) {
    state.lease.pending = Some((now, call.clone()));
    out.push(Effect::Lease(call));
}

/// The store answered a call.
pub(crate) fn answered(state: &mut State, now: Time, answer: Answer, out: &mut Vec<Effect>) {
    let Some((sent, asked)) = state.lease.pending.take() else {
        return;
    };
    match (answer, asked) {
        (Answer::Read(seen) | Answer::Conflict(seen), _) => read(state, now, seen, out),
        (Answer::Written(version), Call::Write { row, .. }) => written(state, now, sent, version, row, out),
        // An own write whose answer was lost is found by the next read.
        (Answer::Unknown, Call::Write { .. }) => call(state, now, Call::Read, out),
        (Answer::Unknown | Answer::Written(_), _) => {}
    }
}

fn read(state: &mut State, now: Time, seen: Option<Seen>, out: &mut Vec<Effect>) {
    state.lease.see(now, seen);
    let Some(Seen { version, row }) = state.lease.seen.clone() else {
        let row = own_row(state, 1, false);
        call(state, now, Call::Write { expected: 0, row }, out);
        return;
    };
    if let Some(held) = &mut state.lease.held {
        if row.holder == state.me.vm && row.term == held.term {
            held.version = version;
        } else {
            lost(state, now, Some(Seen { version, row }), out);
        }
        return;
    }
    if state.stopping {
        return;
    }
    let over = now.since(state.lease.seen_at) > state.settings.lease_length + state.settings.lease_margin;
    if over || row.released || row.holder == state.me.vm {
        let row = own_row(state, row.term + 1, false);
        call(state, now, Call::Write { expected: version, row }, out);
    }
}

fn written(state: &mut State, now: Time, sent: Time, version: u64, row: Row, out: &mut Vec<Effect>) {
    let before = state.lease.hub().map(|row| row.holder.clone());
    let term = row.term;
    state.lease.see(now, Some(Seen { version, row }));
    if state.stopping {
        state.lease.held = None;
        return;
    }
    let until = sent + state.settings.lease_length;
    if let Some(held) = &mut state.lease.held {
        held.version = version;
        held.until = until;
        return;
    }
    // Another machine's orders may have been sent until now.
    let same = before.is_none_or(|holder| holder == state.me.vm);
    let orders_from = if same { now } else { now + state.settings.order_gap };
    state.lease.held = Some(Held { version, term, until, orders_from });
    out.push(Effect::Record(Record::Lease {
        state: "taken",
        holder: state.me.vm.clone(),
        term,
        orders_in_ms: ms(orders_from.since(now)),
    }));
    state.ledger.begin(term == 1);
}

fn lost(state: &mut State, now: Time, seen: Option<Seen>, out: &mut Vec<Effect>) {
    state.lease.see(now, seen);
    if state.lease.held.take().is_some() {
        let (holder, term) = state.lease.hub().map_or((Name::default(), 0), |row| (row.holder.clone(), row.term));
        out.push(Effect::Record(Record::Lease { state: "lost", holder, term, orders_in_ms: 0 }));
    }
}
