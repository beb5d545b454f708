//! Data read from the store by a few entry VMs of each availability zone while the hub doesn't read it.
//!
//! The store may reject the hub, or the hub may be lost, in a fleet of hundreds of entry VMs. If each of them read
//! the store, each would receive a change only at its own turn, because the rate of calls is limited. Instead a few
//! of them read it. If there is a hub, they send what they read with their next frames and the hub distributes it as
//! usual. If there is none, they push it to their own zone.

use std::time::Duration;

use boragecove_core::time::Time;

use super::follow::reading_validity;
use super::message::{Frame, Reading};
use super::{config_version, send};
use crate::departure::{self, Source};
use crate::effect::Effect;
use crate::event::Listing;
use crate::rollout;
use crate::state::State;
use crate::tables;

/// What this process has read and the hub doesn't have, judged by the hub's last reply.
pub(super) fn gather(state: &mut State, now: Time) -> Reading {
    if state.follow_interval.is_none() || state.lease.held_term(now).is_some() {
        return Reading::default();
    }
    let (config, revision) = state.hub.reported_versions;
    let newest = state.config.clone().filter(|newest| config > 0 && newest.version > config);
    // An update that can't be packed is logged when it is pushed.
    let update = newest.and_then(|newest| state.updates.prepare(config, &newest).ok().cloned());
    let hub_is_behind =
        revision.is_known() && state.newest_row > revision && !state.needs_full_table(revision);
    Reading {
        store_age: state.table_read_at.map(|at| now.since(at)),
        config: update,
        rows: if hub_is_behind { state.rows_after(now, revision) } else { Vec::new() },
        rows_after: revision,
    }
}

/// As the hub: applies what an entry VM has read.
pub(super) fn apply(state: &mut State, now: Time, frame: &Frame, out: &mut Vec<Effect>) {
    let Reading { store_age, config, rows, rows_after } = &frame.store_reading;
    if let Some(age) = store_age {
        state.hub.reader_answered_at = state.hub.reader_answered_at.max(Some(now - *age));
    }
    if let Some(update) = config {
        rollout::receive(state, now, update.clone(), "reader", out);
    }
    if rows.is_empty() {
        return;
    }
    if state.engines_revision >= *rows_after && frame.engines_revision > state.engines_revision {
        let listing =
            Listing { rows: rows.clone(), version: frame.engines_revision, whole: false, as_of: None };
        tables::apply_listing(state, now, listing, Source::Frame, out);
    } else {
        tables::receive_rows(state, now, rows.clone(), Source::Frame, out);
        departure::notify(state, now, out);
    }
}

/// As the hub: age of the data received from entry VMs that read the store. What they hear from it is valid until
/// they have to ask again.
pub(super) fn age(state: &State, now: Time) -> Option<Duration> {
    let validity = reading_validity(&state.settings);
    state.hub.reader_answered_at.map(|at| now.since(at).saturating_sub(validity))
}

/// Sends a frame at once if this process has read something that the hub may not have.
pub(crate) fn report_reading(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let (config, revision) = state.hub.reported_versions;
    let has_newer = config < config_version(state) || revision < state.engines_revision;
    if is_active_reader(state, now) && has_newer {
        send(state, now, out);
    }
}

/// Whether this process pushes what it reads to its availability zone, because there is no hub or it doesn't answer.
pub(crate) fn pushes_to_zone(state: &State, now: Time) -> bool {
    is_active_reader(state, now) && !hub_responds(state, now)
}

/// Whether the hub answers this process.
pub(crate) fn hub_responds(state: &State, now: Time) -> bool {
    !state.hub.last_unanswered && state.hub.is_alive(now, &state.settings)
}

fn is_active_reader(state: &State, now: Time) -> bool {
    state.hub.is_reader && state.follow_interval.is_some() && state.lease.held_term(now).is_none()
}
