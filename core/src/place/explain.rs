//! Explains to operators what placement knows about an artifact, and when it would load or drop a copy of it.

use crate::artifact::Artifact;
use crate::state::State;
use crate::time::Time;

use super::input::Input;
use super::load::UTILIZATION_MAX;

/// Describes an artifact's demand in this zone and what it means for its copies, one sentence per line.
pub(crate) fn describe(state: &State, now: Time, artifact: &Artifact) -> Vec<String> {
    let Some(at) = state.config.catalog.position(artifact) else {
        return Vec::new();
    };
    let fence = state.lease.fence(now).unwrap_or_default();
    let mut input = Input::new(state, now, fence);
    input.distribute_load();
    let item = &input.items[at];
    let estimate = state.demand.estimate(artifact);
    let mut lines = vec![format!(
        "{:.2} requests per second, {:.2} by forecast, which takes {:.1} slots; {} requests wait",
        estimate.rate(),
        estimate.forecast(),
        item.load,
        item.waiting
    )];
    for engine in &item.holders {
        let candidate = &input.engines[*engine];
        lines.push(format!(
            "{}: forecast demand takes {:.1} of {} slots",
            candidate.name, candidate.load, candidate.slots
        ));
    }
    lines.push(further_copy(&input, at));
    lines.push(dropped_copy(&input, at));
    lines
}

/// Explains when a further copy would be loaded.
fn further_copy(input: &Input, at: usize) -> String {
    let item = &input.items[at];
    if item.holders.is_empty() && item.copies_elsewhere == 0 {
        return "nowhere ready: it is loaded before anything else, as soon as memory is free".to_owned();
    }
    let overload: f64 = item.holders.iter().map(|engine| input.overload(*engine)).sum();
    let percent = UTILIZATION_MAX * 100.0;
    if overload > 0.0 {
        return format!(
            "demand exceeds {percent:.0}% of its engines' slots by {overload:.1} slots: a further copy is loaded where \
             that gains more met targets than its moves cost"
        );
    }
    format!("no further copy is loaded before demand exceeds {percent:.0}% of its engines' slots")
}

/// Explains when a copy would be dropped.
fn dropped_copy(input: &Input, at: usize) -> String {
    let item = &input.items[at];
    let copies = item.holders.len() as u32 + item.copies_elsewhere;
    if copies <= item.copies_min || (item.certain_copies <= 1 && !item.assured_elsewhere) {
        return format!("no copy is dropped: there are {copies}, and {} must stay", item.copies_min);
    }
    "a copy is dropped only when its memory is needed for another artifact".to_owned()
}
