//! Whether this process follows the store's tables itself, and how.

use std::time::Duration;

use boragecove_core::time::Time;

use super::{knows, many, version};
use crate::bound::Bound;
use crate::effect::{Effect, Follow, Patience};
use crate::proof;
use crate::settings::Settings;
use crate::state::State;

/// The longest pause of the hub between calls for changes, which go from the hub to all others.
const HUB_PAUSE_MAX: Duration = Duration::from_millis(150);
/// The longest pause of others, who need no word of the hub, whatever operators allow.
const ALONE_PAUSE_MAX: Duration = Duration::from_millis(800);
/// Calls a second for each table that entry VMs make together which need not read the store for others and are not told by the hub.
const ALONE_CALLS_PER_S: f64 = 100.0;
/// Engines up to which a process that starts waits no longer: a link of 10 Mbit/s carries their rows in a fifth of a second.
const START_ENGINES: f64 = 600.0;
/// The longest time for which a process that starts waits for the hub: a lost lease is over by then, and another entry VM leads and has read
/// the tables.
const START_WAIT_MAX: Duration = Duration::from_secs(4);
/// Entry VMs a second that read whole tables where the hub does not read them for all: a tenth of what the store answers in a second.
const WHOLE_READS_PER_S: f64 = 100.0;

/// Follows the store's tables only where the hub does not do it for all: calls of the store are rationed, and
/// their number would grow with that of the entry VMs.
pub(crate) fn follow(state: &mut State, now: Time, out: &mut Vec<Effect>) {
    let follows = pause(state, now);
    if follows != state.follows {
        state.follows = follows;
        let Settings { departure, config, .. } = state.settings;
        let config_wait = proof::patience(&state.settings, config.wait());
        let longest = alone_pause_max(&state.settings);
        let leads = state.lease.holds(now).is_some();
        let readers = if leads { 0 } else { state.hub.nodes };
        let rare = follows.is_some_and(|pause| pause > longest);
        let drawn = if rare { state.rng.f64() } else { 0.0 };
        let how = |pause: Duration| Follow {
            delay: pause.mul_f64(drawn),
            failed: if rare { pause } else { Duration::ZERO },
            listed: state.listed,
            declared: state.declared,
            config: version(state),
            spread: Duration::from_secs_f64(f64::from(readers) / WHOLE_READS_PER_S),
            engines: Patience { wait: departure.wait(), overdue: departure.overdue() },
            operator: Patience { wait: config_wait, overdue: config.overdue() },
            retry_max: strictest(&state.settings).pause(),
            pause,
        };
        out.push(Effect::Follow(follows.map(how)));
    }
}

/// How long an answer of the store counts of one that reads it for the others: changes come at once until it has to ask again.
pub(super) fn read_lasts(settings: &Settings) -> Duration {
    let bound = strictest(settings);
    bound.wait() + bound.overdue() + alone_pause_max(settings)
}

/// The longest pause between calls of those that need no word of the hub.
fn alone_pause_max(settings: &Settings) -> Duration {
    strictest(settings).pause().min(ALONE_PAUSE_MAX)
}

/// The bound that is the shorter one: both tables are followed with the same pauses.
fn strictest(settings: &Settings) -> Bound {
    Bound(settings.departure.0.min(settings.config.0))
}

/// The pause between calls for the store's changes, if this process is to make any. More engines change more often
/// and more entry VMs ask, so that both pauses grow with their number.
fn pause(state: &State, now: Time) -> Option<Duration> {
    let settings = &state.settings;
    if state.lease.holds(now).is_some() {
        let engines = state.engines.len() as f64 / f64::from(settings.follow_engines);
        return Some(settings.follow_as_hub.mul_f64(engines.max(1.0)).min(HUB_PAUSE_MAX));
    }
    let known = knows(state);
    let told = known
        && state.hub.speaks_for_store(now, settings)
        && !(state.needs_keys() && proof::is_doubtful(state, now));
    let asking = !known && now.since(state.started) < start_wait(state);
    let pause = settings.follow_alone.mul_f64(many(state)).min(alone_pause_max(settings));
    // Whoever knows enough to serve leaves it to those that read for all.
    let needs = !known || state.hub.reads || (state.needs_keys() && proof::is_doubtful(state, now));
    let rare = Duration::from_secs_f64(f64::from(state.hub.nodes) / ALONE_CALLS_PER_S);
    (!told && !asking).then(|| if needs { pause } else { pause.max(rare) })
}

/// How long a process that starts waits for the hub's word before it reads whole tables of the store: longer where there are many
/// engines, by the last holder of the lease. After a restart of all, all entry VMs would read them, and be served later for it.
fn start_wait(state: &State) -> Duration {
    let engines = state.lease.hub().map_or(0, |row| row.engines);
    let many = f64::from(engines) / START_ENGINES;
    state.settings.hub_wait.mul_f64(many.max(1.0)).min(START_WAIT_MAX)
}
