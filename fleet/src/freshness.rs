//! The age of this process's view of the engines' table by its own clock, and the refresh after a stall.
//!
//! A confirmation of the view counts from the time of the query to the store or the hub, minus the age that the hub reports for its own view.
//! So neither a late answer nor a stalled process makes the view appear newer than it is.
//!
//! A process that stalled for long, for example because its machine was suspended, finds requests at its sockets along with updates that it has
//! not read yet. Before it sends any of these requests it queries the hub, and the store if the hub does not answer, which takes some
//! milliseconds. If neither answers, as in a zone that is cut off, it continues with the view that it has.

use std::time::Duration;

use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::flow;
use crate::frame;
use crate::pin;
use crate::record::{Record, ms};
use crate::request::Id;
use crate::state::State;
use crate::timer::Timer;

/// How long to wait for the hub before the store is queried too: a round trip to the hub takes some milliseconds.
const HUB_TIMEOUT: Duration = Duration::from_millis(100);

/// The age of this process's view of the engines' table.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// All writes that the store accepted up to this time are known here; none before the first confirmation.
    at: Option<Time>,
    /// Since when a refresh is awaited; none if the view is recent enough to route by.
    refreshing_since: Option<Time>,
    /// Requests held back until the refresh has ended.
    held: Vec<Id>,
    /// Number of stalls of the process.
    stalls: u64,
    /// When it last resumed after a stall.
    resumed_at: Time,
}

/// A confirmation that the view of the engines' table is complete up to some time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Confirmation {
    /// When the query was sent.
    pub(crate) asked: Time,
    /// Age of the answering process's own view, which it has from others; zero for the store.
    pub(crate) age: Duration,
    /// Who answered, for logs.
    pub(crate) source: &'static str,
}

impl Freshness {
    /// Time since the view was last complete; none before the first confirmation.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.at.map(|at| now.since(at))
    }

    /// Number of stalls of the process.
    pub(crate) const fn stalls(&self) -> u64 {
        self.stalls
    }

    /// When the process last resumed after a stall. Messages that arrived during the stall may not have been read yet.
    pub(crate) const fn resumed_at(&self) -> Time {
        self.resumed_at
    }

    /// Whether requests are held back until a refresh has ended.
    pub(crate) const fn awaits_refresh(&self) -> bool {
        self.refreshing_since.is_some()
    }

    /// Holds a request back until the refresh has ended.
    pub(crate) fn hold(&mut self, id: Id) {
        self.held.push(id);
    }
}

/// Takes over a confirmation, and ends a pending refresh if it is recent enough.
pub(crate) fn renew(state: &mut State, now: Time, confirmation: Confirmation, out: &mut Vec<Effect>) {
    let Confirmation { asked, age, source } = confirmation;
    let before = state.freshness.at;
    state.freshness.at = before.max(Some(asked - age));
    if state.freshness.at > before {
        let settling_time = pin::settling_time(state);
        state.history.confirm(asked - age, before, settling_time);
    }
    let newer = state.freshness.refreshing_since.is_some_and(|since| asked >= since);
    if newer && age <= state.settings.departure_bound.relayed_age_max() {
        end_refresh(state, now, source, out);
    }
}

/// Whether the process is just resuming from a stall that [`woke_late`] has not handled yet, and its view is too old to route by.
pub(crate) fn is_resuming(state: &State, now: Time) -> bool {
    let bound = state.settings.departure_bound;
    state.timers.lateness(now) >= bound.stall_threshold() && is_old(state, now)
}

/// Whether the view of the engines' table is older than it gets in normal operation.
fn is_old(state: &State, now: Time) -> bool {
    state.freshness.age(now).is_some_and(|age| age > state.settings.departure_bound.relayed_age_max())
}

/// Handles a wake-up of the process that came `late` after the time that it was scheduled for.
pub(crate) fn woke_late(state: &mut State, now: Time, late: Duration, out: &mut Vec<Effect>) {
    let bound = state.settings.departure_bound;
    if late < bound.stall_threshold() {
        return;
    }
    state.freshness.stalls += 1;
    state.freshness.resumed_at = now;
    let age = state.freshness.age(now);
    out.push(Effect::Record(Record::StoodStill {
        for_ms: ms(late),
        listed_age_ms: age.map(ms),
        led: acts_as_hub(state),
    }));
    if !is_old(state, now) {
        return;
    }
    state.freshness.refreshing_since = Some(now);
    state.timers.set(now + bound.poll_interval_max(), Timer::RefreshTimeout(now));
    flow::cancel_all_reservations(state, now, out);
    if acts_as_hub(state) {
        query_store(state, out);
    } else {
        frame::send(state, now, out);
        state.timers.set(now + HUB_TIMEOUT, Timer::Refresh(now));
    }
}

/// Whether no other process is known to be the hub.
fn acts_as_hub(state: &State) -> bool {
    state.lease.hub().is_none_or(|row| row.holder == state.me.vm)
}

fn query_store(state: &State, out: &mut Vec<Effect>) {
    let (after, limit) = (state.engines_revision, state.settings.departure_bound.poll_interval_max());
    out.push(Effect::Refresh { after, limit });
}

/// Handles the hub's reply to a frame sent at `sent`. If it was sent before the stall, its reply does not cover the time since, so that
/// another frame is sent.
pub(crate) fn hub_replied(state: &mut State, now: Time, sent: Option<Time>, out: &mut Vec<Effect>) {
    let refreshing_since = state.freshness.refreshing_since;
    if refreshing_since.is_some_and(|since| sent.is_none_or(|sent| sent < since)) {
        frame::send(state, now, out);
    }
}

/// Queries the store because the hub has not answered in time after the stall at `since`.
pub(crate) fn refresh(state: &State, since: Time, out: &mut Vec<Effect>) {
    if state.freshness.refreshing_since == Some(since) {
        query_store(state, out);
    }
}

/// Ends a pending refresh without success: the store returned nothing newer.
pub(crate) fn refresh_failed(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    if state.freshness.awaits_refresh() {
        end_refresh(state, now, "nobody", out);
    }
}

/// Ends a refresh that has been pending since `since` for as long as callers may be kept waiting.
pub(crate) fn give_up(state: &mut State, now: Time, since: Time, out: &mut Vec<Effect>) {
    if state.freshness.refreshing_since == Some(since) {
        end_refresh(state, now, "nobody", out);
    }
}

/// Ends the pending refresh and releases the held requests.
fn end_refresh(state: &mut State, now: Time, source: &'static str, out: &mut Vec<Effect>) {
    let Some(since) = state.freshness.refreshing_since.take() else {
        return;
    };
    let held = std::mem::take(&mut state.freshness.held);
    out.push(Effect::Record(Record::Refreshed {
        source,
        after_ms: ms(now.since(since)),
        listed_age_ms: state.freshness.age(now).map(ms),
        held: held.len(),
    }));
    flow::dispatch_held(state, now, &held, out);
    flow::request_rescan(state);
}
