//! The lease that permits one entry VM to send orders to engines: one row in the platform's store. Its holder
//! is also the hub to which the other entry VMs send their frames.
//!
//! The row gives the latest time, by the store's steady clock, until which its holder may assume that it holds
//! the lease. The holder computes that time from its last sample of the store's clock. Each answer of the store
//! carries the time of that clock, so the other entry VMs see at once when the lease has expired. The clocks of
//! two machines are never compared.
//!
//! Each era of the store has its own row. A copy that the store was restored from holds at most the row of an
//! earlier era, as it was some time before, so a write that was meant for that row is rejected as a conflict.
//! The process that held the lease when the store was lost may assume so until its own clock ends it: it takes
//! the new era's row at once. All others wait for the length of a lease.

mod holding;
mod row;

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::budget;
use crate::crash;
use crate::effect::Effect;
use crate::era;
use crate::frame;
use crate::path;
use crate::pin;
use crate::push;
use crate::quota::{self, LEASE};
use crate::record::{Record, ms};
use crate::revision::Revision;
use crate::state::State;
use crate::timer::Timer;
pub use holding::Lease;
use holding::{ClockSample, Held};
pub use row::{Answer, Call, Outcome, Predecessor, Row, Versioned, era_of, first_term};

/// Minimum difference between the start times of two processes, in ms, for the later one to count as restarted
/// since: all entry VMs of a deployment may start within a second.
const RESTART_GAP_MS: u64 = 1_000;
/// Rate at which entry VMs send a new hub their first frame, per second: half of the 200 frames per second that
/// a hub answers in normal operation, since its first answer to each contains the holdings of every engine.
const FIRST_FRAMES_PER_S: f64 = 100.0;
/// Time for which a process that reaches engines only through other entry VMs leaves a free lease to them. It
/// takes the lease after that, since the engines may be down for all.
const CUT_OFF_WAIT: Duration = Duration::from_secs(4);
/// Time for which a released lease is left to processes that were restarted after its holder, in ms: others may
/// be the next to stop in a rolling restart. Just over one interval between reads of the lease.
const RELEASED_WAIT_MS: u64 = 500;

/// Reads, takes or renews the lease when its timer fires.
pub(crate) fn due(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let wait = if state.lease.held.is_some() {
        state.settings.lease_renew
    } else {
        let factor = frame::own_frame_interval(state).div_duration_f64(state.settings.frame_every);
        state.settings.lease_check.mul_f64(factor)
    };
    let jitter = wait.mul_f64(0.2 * state.rng.f64());
    schedule(state, now + wait - jitter);
    if state.lease.pending.is_some() {
        return;
    }
    let held = state.lease.held.clone();
    if let Some(held) = held.filter(|held| held.version.era == state.lease.era) {
        if path::is_cut_off(state) && !state.members.is_alone(&state.me.vm) {
            return hand_over(state, now, out);
        }
        prepare_row(state, now);
        let row = own_row(state, now, held.term, held.former, state.stopping);
        call(state, now, Call::Write { expected: held.version, row }, out);
        return;
    }
    let has_hub = state.lease.held.is_none() && state.hub.is_alive(now, &state.settings) && state.hub.leads;
    if !state.stopping && !has_hub {
        call(state, now, Call::Read, out);
    }
}

/// Called when the store was restored from an older copy: it has no row of this era yet, and no earlier write
/// of this process counts. The holder of the lease takes the new era's row at once.
pub(crate) fn era_advanced(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    state.lease.era = state.era.number();
    state.lease.last_write = None;
    state.lease.clock = None;
    if state.lease.held.is_some() {
        due(state, now, out);
    }
}

/// Sets the timer of the next read or renewal of the lease, in place of the one that was set.
fn schedule(state: &mut State, at: Time) {
    if let Some(before) = state.lease.timer.take() {
        state.timers.cancel(before);
    }
    state.lease.timer = Some(state.timers.set(at, Timer::Lease));
}

/// Reads the lease if this process has no configuration or no list of engines yet, to send its first frame to
/// the holder.
pub(crate) fn find_hub(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let held = state.lease.held.is_some() || state.lease.pending.is_some();
    if !held && !state.stopping && !frame::can_serve(state) {
        call(state, now, Call::Read, out);
    }
}

/// Releases the lease because this process does not reach the engines and other entry VMs do.
fn hand_over(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    log_lease(state, "handed_on", 0, out);
    release(state, now, out);
    quota::end(state);
    budget::end(state);
}

/// Releases the lease, if this process holds it.
pub(crate) fn release(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let held = state.lease.held.take();
    if let Some(held) = held.filter(|held| held.version.era == state.lease.era) {
        prepare_row(state, now);
        let row = own_row(state, now, held.term, held.former, true);
        call(state, now, Call::Write { expected: held.version, row }, out);
    }
}

/// Prepares the state that the row is about to record.
fn prepare_row(state: &mut State, now: Time) {
    quota::fill_row(state, now);
    budget::fill_row(state);
}

fn own_row(state: &State, now: Time, term: u64, former: Option<Predecessor>, released: bool) -> Row {
    // A process that releases the lease sends no more orders.
    let over = if released { now } else { now + state.settings.lease_length };
    let until_ms = state.lease.clock.map_or(u64::MAX, |clock| clock.latest_at(over));
    let started_ms = started_ms(state);
    let (holder, address) = (state.me.vm.clone(), state.me.address);
    let quarantines =
        state.lease.clock.map(|clock| state.crashes.stored_quarantines(now, clock.latest_at(now)));
    let quarantine = quarantines.unwrap_or_default();
    let clock = state.lease.clock;
    let ms_of = |time| clock.map_or(u64::MAX, |clock| clock.latest_at(time));
    let outstanding = Box::new(quota::outstanding(state, now, ms_of));
    let repeats = budget::row_counts(state, now);
    let builds = state.history.report(now).map(Box::new);
    let streams = pin::row_streams(state, now);
    let settled = state.era.is_settled(now, &state.settings);
    let engines = state.engines.len() as u32;
    let starts = state.ledger.late.starts(now, state.engines_revision, state.engines.values()).map(Box::new);
    Row {
        holder,
        address,
        term,
        until_ms,
        started_ms,
        settled,
        engines,
        released,
        former,
        quarantine,
        outstanding,
        repeats,
        builds,
        streams,
        starts,
    }
}

fn call(state: &mut State, now: Time, call: Call, out: &mut Vec<Effect>) {
    if let Call::Write { row, .. } = &call {
        state.lease.last_write = Some((now, row.clone()));
    }
    state.lease.pending = Some((now, call.clone()));
    out.push(Effect::Lease(call));
}

/// Handles the store's answer to a call.
pub(crate) fn answered(state: &mut State, now: Time, answer: Answer, out: &mut Vec<Effect>) {
    let Some((sent, asked)) = state.lease.pending.take() else {
        return;
    };
    let answer = accept_current_era(state, now, answer, &asked, out);
    if state.lease.pending.is_some() {
        // The call to read or write the new era's row has been sent already.
        return;
    }
    if let Some(store_ms) = answer.store_ms {
        state.store_answered_at = now;
        state.lease.clock = Some(ClockSample { store_ms, asked: sent, answered: now });
    }
    match (answer.outcome, asked) {
        (Outcome::Read(seen) | Outcome::Conflict(seen), _) => {
            row_read(state, now, seen, answer.store_ms.unwrap_or_default(), out);
        }
        (Outcome::Written(version), Call::Write { row, .. }) => {
            let version = Revision::new(state.lease.era, version);
            row_written(
                state,
                now,
                sent,
                Versioned { version, row },
                answer.store_ms.unwrap_or_default(),
                out,
            );
        }
        // If the answer to a write was lost, the next read shows whether the write was done.
        (Outcome::Unknown, Call::Write { .. }) => call(state, now, Call::Read, out),
        (Outcome::Unknown | Outcome::Written(_), _) => {}
    }
}

/// Returns the answer if it is of the newest known era, and an unknown outcome otherwise: a late answer of an
/// earlier era carries no information, and a row that was written meanwhile into an earlier era is no lease.
fn accept_current_era(
    state: &mut State,
    now: Time,
    answer: Answer,
    asked: &Call,
    out: &mut Vec<Effect>,
) -> Answer {
    let unknown = Answer { store_ms: None, era: answer.era, outcome: Outcome::Unknown };
    let Some(era) = answer.era else {
        return unknown;
    };
    era::observe(state, now, era, out);
    let written_before = matches!(asked, Call::Write { expected, .. } if expected.era != state.lease.era);
    if era::is_outdated(state, era) || written_before { unknown } else { answer }
}

fn row_read(state: &mut State, now: Time, seen: Option<Versioned>, store_ms: u64, out: &mut Vec<Effect>) {
    let seen = match seen {
        Some(seen) if seen.version.era == state.lease.era => seen,
        past => return row_missing(state, now, past.as_ref(), store_ms, out),
    };
    if seen.row.settled {
        state.era.mark_old(now);
    }
    crash::restore_quarantine(state, now, &seen.row.quarantine, store_ms, out);
    inherit_builds(state, now, &seen.row, store_ms);
    pin::store(state, now, seen.row.streams.clone());
    let mine = seen.row.holder == state.me.vm;
    if let Some((sent, row)) = state.lease.last_write.clone()
        && seen.row == row
    {
        // The last write was done although its answer was lost.
        row_written(state, now, sent, seen, store_ms, out);
        return;
    }
    let before = state.lease.seen.replace(seen.clone()).map(|seen| seen.row.holder);
    if let Some(held) = &mut state.lease.held {
        if mine && seen.row.term == held.term {
            held.version = seen.version;
            quota::row_holders_read(state, &seen.row.outstanding.holders);
        } else {
            lease_lost(state, out);
        }
        return;
    }
    if before.is_some_and(|before| before != seen.row.holder) {
        log_lease(state, "seen", 0, out);
    }
    if state.stopping {
        return;
    }
    if !mine && !frame::can_serve(state) {
        frame::send(state, now, out);
    }
    let over = store_ms > seen.row.until_ms.saturating_add(ms(state.settings.lease_margin));
    let free = over || (seen.row.released && !leaves_to_restarted(state, &seen.row, store_ms));
    if (mine && !seen.row.released) || (free && !defers(state, now, seen.version)) {
        let former = seen.row.orderer(state.settings.order_gap, store_ms);
        quota::inherit(state, &seen.row.outstanding);
        state.ledger.late.inherit(seen.row.starts.as_deref().cloned());
        budget::inherit(state, seen.row.repeats.as_deref(), seen.row.released);
        prepare_row(state, now);
        let row = own_row(state, now, seen.row.term + 1, former, false);
        call(state, now, Call::Write { expected: seen.version, row }, out);
    }
}

/// Takes over from the row which builds have served requests. The row was written at least one lease length
/// before the expiry that it names, or at that expiry if it was released.
fn inherit_builds(state: &mut State, now: Time, row: &Row, store_ms: u64) {
    let Some(report) = &row.builds else {
        return;
    };
    let length = if row.released { 0 } else { ms(state.settings.lease_length) };
    let age = Duration::from_millis(store_ms.saturating_sub(row.until_ms.saturating_sub(length)));
    let settling = pin::settling_time(state);
    state.history.inherit(now, report, age, settling);
}

/// Handles a missing row of the current era. The copy that the store was restored from may have a row of an
/// earlier era.
fn row_missing(state: &mut State, now: Time, past: Option<&Versioned>, store_ms: u64, out: &mut Vec<Effect>) {
    if let Some(past) = past {
        crash::restore_quarantine(state, now, &past.row.quarantine, store_ms, out);
        pin::store(state, now, past.row.streams.clone());
    }
    let expected = Revision::new(state.lease.era, 0);
    let term = first_term(expected.era);
    if let Some(held) = state.lease.held.clone() {
        if now < held.until {
            prepare_row(state, now);
            let row = own_row(state, now, term, held.former, false);
            call(state, now, Call::Write { expected, row }, out);
            return;
        }
        lease_lost(state, out);
    }
    if state.stopping || (state.settings.weak && now.since(state.started) < state.settings.weak_wait) {
        return;
    }
    if expected.era == 0 {
        budget::inherit_nothing(state);
        state.history.mark_complete();
        prepare_row(state, now);
        let row = own_row(state, now, term, None, false);
        call(state, now, Call::Write { expected, row }, out);
        return;
    }
    // The holder of the lease before the store was lost may still assume that it holds it.
    let over = state.era.since() + state.settings.lease_length;
    let free = over + state.settings.lease_margin;
    if now < free {
        schedule(state, free);
        return;
    }
    let until_ms = state.lease.clock.map_or(store_ms, |clock| clock.before(over));
    let former = Predecessor { holder: Name::default(), until_ms };
    quota::inherit_unknown(state, store_ms);
    state.ledger.late.inherit(None);
    budget::inherit(state, None, false);
    prepare_row(state, now);
    let row = own_row(state, now, term, Some(former), false);
    call(state, now, Call::Write { expected, row }, out);
}

/// Whether this process leaves a free lease to others for now: to stronger machines, or to those that reach
/// engines. The wait counts from this process's first read that showed the lease as free. After an outage of
/// the store every lease has long expired, and without the wait the first reader would take it: nine in ten
/// machines are weak, and one with 10 Mbit/s and 64 others to answer got no order answered for five seconds.
fn defers(state: &mut State, now: Time, version: Revision) -> bool {
    let wait = if path::is_cut_off(state) {
        CUT_OFF_WAIT
    } else if state.settings.weak {
        state.settings.weak_wait
    } else {
        return false;
    };
    let (_, since) = *state.lease.free_since.insert(match state.lease.free_since {
        Some((seen, since)) if seen == version => (seen, since),
        _ => (version, now),
    });
    now.since(since) < wait
}

/// Start time of this process by the store's clock, in ms; 0 while no sample of that clock exists.
fn started_ms(state: &State) -> u64 {
    state.lease.clock.map_or(0, |clock| clock.before(state.started))
}

/// Whether this process leaves a released lease to restarted processes for now.
fn leaves_to_restarted(state: &State, row: &Row, store_ms: u64) -> bool {
    let restarted = started_ms(state) > row.started_ms + RESTART_GAP_MS;
    !restarted && store_ms < row.until_ms.saturating_add(RELEASED_WAIT_MS)
}

/// Handles a write of this process that the store has done.
fn row_written(
    state: &mut State,
    now: Time,
    sent: Time,
    new: Versioned,
    store_ms: u64,
    out: &mut Vec<Effect>,
) {
    let term = new.row.term;
    let version = new.version;
    let former = new.row.former.clone();
    let named = new.row.outstanding.holders.clone();
    let released = new.row.released;
    state.lease.seen = Some(new);
    if state.stopping || released {
        state.lease.held = None;
        state.lease.last_write = None;
        return;
    }
    let until = sent + state.settings.lease_length;
    if let Some(held) = &mut state.lease.held
        && held.term == term
    {
        held.version = version;
        held.until = until;
        quota::row_holders_read(state, &named);
        budget::row_written(state);
        return;
    }
    if let Some(held) = state.lease.held.as_mut().filter(|held| held.version.era < version.era) {
        // The same process held the lease when the store was lost, and no other has since.
        *held = Held { version, term, until, ..held.clone() };
        quota::row_holders_read(state, &named);
        budget::row_written(state);
        log_lease(state, "kept", state.lease.orders_allowed_in(now).map_or(0, ms), out);
        return;
    }
    let orders_from = now + remaining_order_gap(state, former.as_ref(), store_ms);
    state.lease.held = Some(Held { version, term, taken: term, until, orders_from, former });
    log_lease(state, "taken", ms(orders_from.since(now)), out);
    state.ledger.begin(now, term, term == 1);
    // With hundreds of entry VMs, reads are seconds apart, and the lease would expire before the next one.
    schedule(state, now + state.settings.lease_renew);
    frame::inherit_members(state, now);
    // The previous lease had expired before this one could be taken.
    let clock = state.lease.clock;
    quota::begin(state, now, &named, sent, |ms| clock.map_or(now + LEASE, |clock| clock.earliest_at(ms)));
    budget::begin(state, now);
    push::announce_hub(state, out);
    frame::follow(state, now, out);
}

/// Time for which this process still has to wait after another machine's last possible order.
fn remaining_order_gap(state: &State, former: Option<&Predecessor>, store_ms: u64) -> Duration {
    match former {
        Some(former) if former.holder != state.me.vm => {
            let over = Duration::from_millis(store_ms.saturating_sub(former.until_ms));
            state.settings.order_gap.saturating_sub(over) + state.settings.lease_margin
        }
        Some(_) | None => Duration::ZERO,
    }
}

/// Handles the lease row that another entry VM has passed on. The new hub is to get a frame soon, but not from
/// all entry VMs at once.
pub(crate) fn hub_announced(state: &mut State, now: Time, hub: Row, out: &mut Vec<Effect>) {
    era::observe(state, now, era_of(hub.term), out);
    let known_term = state.lease.hub().map_or(0, |row| row.term);
    if hub.term <= known_term || state.lease.held.is_some() {
        return;
    }
    let version = Revision::new(era_of(hub.term), 0);
    state.lease.seen = Some(Versioned { version, row: hub });
    log_lease(state, "told", 0, out);
    frame::abandon_frame(state);
    let wait = Duration::from_secs_f64(f64::from(state.hub.nodes) / FIRST_FRAMES_PER_S * state.rng.f64());
    state.timers.set(now + wait, Timer::FrameToNewHub);
}

fn lease_lost(state: &mut State, out: &mut Vec<Effect>) {
    if state.lease.held.take().is_some() {
        quota::end(state);
        budget::end(state);
        log_lease(state, "lost", 0, out);
    }
}

fn log_lease(state: &State, label: &'static str, orders_in_ms: u64, out: &mut Vec<Effect>) {
    let (holder, term) = state.lease.hub().map_or((Name::default(), 0), |row| (row.holder.clone(), row.term));
    out.push(Effect::Record(Record::Lease {
        state: label,
        holder,
        era: state.lease.era,
        term,
        orders_in_ms,
    }));
}
