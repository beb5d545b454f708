//! Whether this process follows the store's tables itself, and at which intervals.

use std::time::Duration;

use boragecove_core::time::Time;

use super::{can_serve, config_version, size_factor};
use crate::bound::Bound;
use crate::effect::{Effect, Follow, Poll};
use crate::proof;
use crate::settings::Settings;
use crate::state::State;

/// The longest pause of the hub between calls for changes. All other entry VMs receive changes through it.
const HUB_PAUSE_MAX: Duration = Duration::from_millis(150);
/// The longest pause of an entry VM that doesn't rely on the hub, whatever bound operators set.
const STANDALONE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Total rate of calls for each table from entry VMs that neither read the store for others nor get its data from the
/// hub.
const STANDALONE_CALLS_PER_S: f64 = 100.0;
/// Number of engines up to which the initial wait for the hub stays at its minimum: a link of 10 Mbit/s transfers
/// their rows in a fifth of a second.
const START_ENGINES: f64 = 600.0;
/// The longest time for which a starting process waits for the hub. By then a lost lease has expired, and another
/// entry VM leads and has read the tables.
const START_WAIT_MAX: Duration = Duration::from_secs(4);
/// Rate at which entry VMs read whole tables when the hub doesn't read them for all: a tenth of what the store can
/// answer.
const FULL_READS_PER_S: f64 = 100.0;

/// Starts, adjusts or stops following the store's tables. An entry VM follows them only if the hub doesn't do it for
/// all: the rate of calls to the store is limited, and it would grow with the number of entry VMs.
pub(crate) fn follow(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let interval = poll_pause(state, now);
    if interval != state.follow_interval {
        state.follow_interval = interval;
        let Settings { departure_bound: departure, config_bound: config, .. } = state.settings;
        let config_wait = proof::poll_timeout(&state.settings, config.long_poll_timeout());
        let standalone_max = standalone_pause_max(&state.settings);
        let leads = state.lease.held_term(now).is_some();
        let full_readers = if leads { 0 } else { state.hub.nodes };
        let is_rare = interval.is_some_and(|pause| pause > standalone_max);
        let jitter = if is_rare { state.rng.f64() } else { 0.0 };
        let parameters = |pause: Duration| Follow {
            delay: pause.mul_f64(jitter),
            retry_min: if is_rare { pause } else { Duration::ZERO },
            engines_version: state.engines_revision,
            operator_version: state.config_revision,
            config: config_version(state),
            reload_spread: Duration::from_secs_f64(f64::from(full_readers) / FULL_READS_PER_S),
            engines: Poll { wait: departure.long_poll_timeout(), overdue: departure.response_grace() },
            operator: Poll { wait: config_wait, overdue: config.response_grace() },
            retry_max: strictest(&state.settings).poll_interval_max(),
            pause,
        };
        out.push(Effect::Follow(interval.map(parameters)));
    }
}

/// How long an answer of the store remains valid for an entry VM that reads it for others: changes arrive at once
/// until it has to ask again.
pub(super) fn reading_validity(settings: &Settings) -> Duration {
    let bound = strictest(settings);
    bound.long_poll_timeout() + bound.response_grace() + standalone_pause_max(settings)
}

/// The longest pause between calls of an entry VM that doesn't rely on the hub.
fn standalone_pause_max(settings: &Settings) -> Duration {
    strictest(settings).poll_interval_max().min(STANDALONE_PAUSE_MAX)
}

/// The shorter of the two bounds, since both tables are followed at the same intervals.
fn strictest(settings: &Settings) -> Bound {
    Bound(settings.departure_bound.0.min(settings.config_bound.0))
}

/// The pause between calls for the store's changes; `None` if this process makes none. Both pauses grow: with the
/// number of engines, which change more often, and with the number of entry VMs that ask.
fn poll_pause(state: &State, now: Time) -> Option<Duration> {
    let settings = &state.settings;
    if state.lease.held_term(now).is_some() {
        let engines = state.engines.len() as f64 / f64::from(settings.hub_poll_engines);
        return Some(settings.hub_poll_interval.mul_f64(engines.max(1.0)).min(HUB_PAUSE_MAX));
    }
    let has_data = can_serve(state);
    let hub_suffices = has_data
        && state.hub.is_current(now, settings)
        && !(state.needs_keys() && proof::is_expiring(state, now));
    let waits_for_hub = !has_data && now.since(state.started) < start_wait(state);
    let pause =
        settings.standalone_poll_interval.mul_f64(size_factor(state)).min(standalone_pause_max(settings));
    // An entry VM that can serve leaves the reading to those that read for all.
    let reads_for_all =
        !has_data || state.hub.is_reader || (state.needs_keys() && proof::is_expiring(state, now));
    let rare_pause = Duration::from_secs_f64(f64::from(state.hub.nodes) / STANDALONE_CALLS_PER_S);
    (!hub_suffices && !waits_for_hub).then(|| if reads_for_all { pause } else { pause.max(rare_pause) })
}

/// How long a starting process waits for the hub before it reads whole tables from the store. It grows with the
/// number of engines that the last holder of the lease reported. Otherwise, after a restart of all entry VMs, all of
/// them would read the tables, and each would be served later.
fn start_wait(state: &State) -> Duration {
    let engines = state.lease.hub().map_or(0, |row| row.engines);
    let factor = f64::from(engines) / START_ENGINES;
    state.settings.hub_wait.mul_f64(factor.max(1.0)).min(START_WAIT_MAX)
}
