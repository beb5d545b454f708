//! Loads of engines in the hub's reply: by position if both sides know the same engines, else by name.
//!
//! A reply lists all engines that have any load, whatever the asker needs, so that its size is the part of the
//! traffic that grows with the number of engines times the number of entry VMs: 3 bytes for each engine by position,
//! and 20 by name (test `answers_by_kind`).

use boragecove_core::name::Name;
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use super::message::EngineLoad;
use crate::engine::Load;
use crate::state::State;

/// Unit of prompt reading times sent by position, in µs. Choices between engines depend on milliseconds.
const READING_UNIT_US: u64 = 1_000;
/// Numbers for each engine: the count of engines without load before it, its requests, and the time to read their
/// prompts.
const NUMBERS_PER_ENGINE: usize = 3;

/// Hash of one engine id. The digest of all ids is the sum of these hashes, so that it doesn't depend on their order.
pub(crate) fn engine_id_digest(engine: &Name) -> u64 {
    xxh3_64(engine.as_bytes())
}

/// Loads in the form in which a reply contains them.
#[derive(Debug, Default)]
pub(super) struct Loads {
    /// Loads by engine name.
    pub(super) by_name: Vec<EngineLoad>,
    /// Loads by position of the engine.
    pub(super) by_position: Vec<u32>,
}

/// All loads, less those that the asker reported as its own.
pub(super) fn all_but(state: &State, own: &[EngineLoad], engines: u64) -> Loads {
    let own: FxHashMap<&Name, Load> = own.iter().map(|entry| (&entry.engine, entry.load)).collect();
    let remaining = |engine: &Name, load: Load| load.minus(own.get(engine).copied().unwrap_or_default());
    let loads = state.engines.iter().map(|(id, engine)| (id, remaining(id, engine.load())));
    let mut result = Loads::default();
    if engines != state.engines_digest {
        let loads = loads.filter(|(_, load)| *load != Load::default());
        result.by_name = loads.map(|(engine, load)| EngineLoad { engine: engine.clone(), load }).collect();
        return result;
    }
    let mut unloaded = 0;
    for (_, load) in loads {
        if load == Load::default() {
            unloaded += 1;
            continue;
        }
        let reading_units = u32::try_from(load.reading_us.div_ceil(READING_UNIT_US)).unwrap_or(u32::MAX);
        result.by_position.extend([unloaded, load.open, reading_units]);
        unloaded = 0;
    }
    result
}

/// Applies loads by position among the engines with this digest. An engine that isn't listed has no load from others.
/// Loads known before are kept if the set of engines known here differs.
pub(super) fn apply_by_position(state: &mut State, engines: u64, by_position: &[u32]) {
    if engines != state.engines_digest {
        return;
    }
    let mut loads = by_position.chunks_exact(NUMBERS_PER_ENGINE).map(|numbers| (numbers[0], load(numbers)));
    let mut next = loads.next();
    for engine in state.engines.values_mut() {
        engine.set_load_of_others(Load::default());
        match &mut next {
            Some((0, load)) => {
                engine.set_load_of_others(*load);
                next = loads.next();
            }
            Some((unloaded, _)) => *unloaded -= 1,
            None => {}
        }
    }
}

/// Applies loads by engine name.
pub(super) fn apply_by_name(state: &mut State, by_name: Vec<EngineLoad>) {
    for engine in state.engines.values_mut() {
        engine.set_load_of_others(Load::default());
    }
    for EngineLoad { engine, load } in by_name {
        if let Some(engine) = state.engines.get_mut(&engine) {
            engine.set_load_of_others(load);
        }
    }
}

fn load(numbers: &[u32]) -> Load {
    Load { open: numbers[1], reading_us: u64::from(numbers[2]) * READING_UNIT_US }
}
