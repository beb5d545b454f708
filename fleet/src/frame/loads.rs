//! What the hub tells of engines' loads: by position among the engines that both sides know, or by name where they know others.
//!
//! An answer tells of all engines that have any load, whatever the asker needs, so that its bytes are what grows with engines times
//! entry VMs: 3 for each engine by position, and 20 by name (test `answers_by_kind`).

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::message::EngineLoad;
use crate::engine::Load;
use crate::state::State;

/// The unit in which times to read prompts are told by position, in us: choices go by ms.
const READING_UNIT_US: u64 = 1_000;
/// Numbers for each engine: how many engines without any load stand before it, requests, and the time to read prompts.
const NUMBERS: usize = 3;

/// What one engine counts in the digest of all engines' ids, which is a sum: it does not depend on their order.
pub(crate) fn digest_of(engine: &Name) -> u64 {
    xxh3_64(engine.as_bytes())
}

/// Loads as an answer tells them.
#[derive(Debug, Default)]
pub(super) struct Told {
    /// By name.
    pub(super) named: Vec<EngineLoad>,
    /// By position.
    pub(super) placed: Vec<u32>,
}

/// All that has load, beside what the asker has told of its own.
pub(super) fn tell(state: &State, own: &[EngineLoad], engines: u64) -> Told {
    let own: FxHashMap<&Name, Load> = own.iter().map(|entry| (&entry.engine, entry.load)).collect();
    let beside = |engine: &Name, load: Load| load.minus(own.get(engine).copied().unwrap_or_default());
    let loads = state.engines.iter().map(|(id, engine)| (id, beside(id, engine.load())));
    let mut told = Told::default();
    if engines != state.engine_ids {
        let loads = loads.filter(|(_, load)| *load != Load::default());
        told.named = loads.map(|(engine, load)| EngineLoad { engine: engine.clone(), load }).collect();
        return told;
    }
    let mut without = 0;
    for (_, load) in loads {
        if load == Load::default() {
            without += 1;
            continue;
        }
        let reading = u32::try_from(load.reading_us.div_ceil(READING_UNIT_US)).unwrap_or(u32::MAX);
        told.placed.extend([without, load.open, reading]);
        without = 0;
    }
    told
}

/// Takes over what was told by position among engines of this digest. Nothing is known of an engine of which nothing is told. If other
/// engines are known by now, what was known before stays.
pub(super) fn take_placed(state: &mut State, engines: u64, placed: &[u32]) {
    if engines != state.engine_ids {
        return;
    }
    let mut loads = placed.chunks_exact(NUMBERS).map(|numbers| (numbers[0], load(numbers)));
    let mut next = loads.next();
    for engine in state.engines.values_mut() {
        engine.others = Load::default();
        match &mut next {
            Some((0, load)) => {
                engine.others = *load;
                next = loads.next();
            }
            Some((without, _)) => *without -= 1,
            None => {}
        }
    }
}

/// Takes over what was told by name.
pub(super) fn take_named(state: &mut State, named: Vec<EngineLoad>) {
    for engine in state.engines.values_mut() {
        engine.others = Load::default();
    }
    for EngineLoad { engine, load } in named {
        if let Some(engine) = state.engines.get_mut(&engine) {
            engine.others = load;
        }
    }
}

fn load(numbers: &[u32]) -> Load {
    Load { open: numbers[1], reading_us: u64::from(numbers[2]) * READING_UNIT_US }
}
