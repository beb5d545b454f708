//! Which engine a request goes to: the one where it is expected to wait least.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::engine::Engine;
use crate::pace::Seat;
use crate::request::Prompt;
use crate::settings::Settings;
use crate::state::State;

/// Random part of a cost, in ms: entry VMs that know the same do not all pick the same engine.
const JITTER_MS: f64 = 2.0;
/// Requests waiting at an engine, as a multiple of its slots, beyond which it gets none: its own queue is
/// not much longer.
const QUEUE_DEPTH: f64 = 0.6;

/// What was found for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// An engine.
    Engine(Pick),
    /// No engine holds the model or the adapter.
    Absent,
    /// All that could run it are in doubt, or none is known.
    Nowhere,
    /// All that could run it have too much to do; they will have room after this time.
    Full(Duration),
}

/// The engine that was chosen, and what spoke for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Its id.
    pub engine: Name,
    /// What it is expected to cost, in ms of waiting.
    pub cost_ms: f64,
    /// When the request is to be sent.
    pub at: Time,
    /// Engines that could have had the request.
    pub candidates: usize,
}

/// Picks an engine of `service`, leaving out those in `avoid`.
pub(crate) fn choose(
    state: &mut State,
    now: Time,
    service: &Name,
    prompt: Option<&Prompt>,
    avoid: &[Name],
    left: Duration,
) -> Choice {
    let mut rng = state.rng.fork();
    let state = &*state;
    let settings = &state.settings;
    let mut best: Option<Pick> = None;
    let (mut members, mut holders, mut candidates) = (0_usize, 0_usize, 0_usize);
    let mut soonest = f64::INFINITY;
    let work = prompt.map(|prompt| state.slowness.work(&prompt.model, prompt.tokens, settings));
    let of = state.engines_of(service).count() as u64;
    for (number, engine) in state.engines_of(service).enumerate() {
        members += 1;
        if !engine.takes_work() || avoid.contains(&engine.entry.id) {
            continue;
        }
        if let Some(prompt) = prompt
            && !engine.serves(&prompt.model, prompt.adapter.as_deref(), now)
        {
            continue;
        }
        holders += 1;
        if engine.health.suspected(now) {
            continue;
        }
        let run_ms = state.pace(service);
        let queue_ms = queue_ms(engine, run_ms);
        if queue_ms > left.as_secs_f64() * 1_000.0 || too_deep(engine) {
            soonest = soonest.min(queue_ms.max(run_ms / f64::from(engine.entry.slots.max(1))));
            continue;
        }
        candidates += 1;
        let at = match work {
            Some(_) => {
                let seat = Seat { number: number as u64, of };
                engine.turn.at(state.round.as_ref(), seat, now, settings)
            }
            None => now,
        };
        let cost_ms = queue_ms
            + at.since(now).as_secs_f64() * 1_000.0
            + work.map_or(0.0, |work| read_ms(engine, work))
            + beside_ms(engine, now, &state.me.zone, settings)
            + rng.f64() * JITTER_MS;
        if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
            best = Some(Pick { engine: engine.entry.id.clone(), cost_ms, at, candidates: 0 });
        }
    }
    match best {
        Some(pick) => Choice::Engine(Pick { candidates, ..pick }),
        None if soonest.is_finite() => Choice::Full(Duration::from_secs_f64(soonest / 1_000.0)),
        None if holders == 0 && members > 0 && prompt.is_some() => Choice::Absent,
        None => Choice::Nowhere,
    }
}

/// Time until a slot is free for one more request.
fn queue_ms(engine: &Engine, run_ms: f64) -> f64 {
    let slots = engine.entry.slots.max(1);
    let over = (engine.load().open + 1).saturating_sub(slots);
    f64::from(over) * run_ms / f64::from(slots)
}

fn too_deep(engine: &Engine) -> bool {
    let slots = f64::from(engine.entry.slots.max(1));
    f64::from(engine.load().open) >= slots * (1.0 + QUEUE_DEPTH)
}

/// Time to read the prompts that are ahead, and this one.
fn read_ms(engine: &Engine, work: Duration) -> f64 {
    engine.load().reading_us as f64 / 1_000.0 + work.as_secs_f64() * 1_000.0
}

/// What else speaks against an engine.
fn beside_ms(engine: &Engine, now: Time, zone: &Name, settings: &Settings) -> f64 {
    let mut cost = f64::from(engine.load().open) * settings.crowd_ms;
    if engine.entry.zone != *zone {
        cost += settings.zone_ms;
    }
    cost + engine.health.faults(now, settings) * settings.fault_ms
}
