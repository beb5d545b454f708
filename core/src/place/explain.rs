//! What placement weighs about an artifact, and what would move it, in sentences for operators.

use crate::artifact::Artifact;
use crate::state::State;
use crate::time::Time;

use super::input::Input;
use super::load::UTILIZATION_MAX;

/// What is known of an artifact's demand in this zone, and what follows for its copies.
pub(crate) fn describe(state: &State, now: Time, artifact: &Artifact) -> Vec<String> {
    let Some(at) = state.config.catalog.position(artifact) else {
        return Vec::new();
    };
    let fence = state.lease.fence(now).unwrap_or_default();
    let mut view = Input::new(state, now, fence);
    view.distribute_load();
    let item = &view.items[at];
    let track = state.demand.estimate(artifact);
    let mut lines = vec![format!(
        "asked for {:.2} times a second, {:.2} by forecast, which takes {:.1} slots; {} requests wait",
        track.rate(),
        track.forecast(),
        item.load,
        item.waiting
    )];
    for host in &item.holders {
        let there = &view.engines[*host];
        lines.push(format!(
            "{}: {:.1} of {} slots are asked for by forecast",
            there.name, there.load, there.slots
        ));
    }
    lines.push(more(&view, at));
    lines.push(fewer(&view, at));
    lines
}

/// What would bring a copy more.
fn more(view: &Input, at: usize) -> String {
    let item = &view.items[at];
    if item.holders.is_empty() && item.copies_elsewhere == 0 {
        return "nowhere ready: it is loaded before anything else, as soon as it fits".to_owned();
    }
    let excess: f64 = item.holders.iter().map(|host| view.overload(*host)).sum();
    let full = UTILIZATION_MAX * 100.0;
    if excess > 0.0 {
        return format!(
            "its engines are asked for {excess:.1} slots beyond {full:.0}% of what they have: a further copy is \
             loaded where that saves more targets than its moves weigh"
        );
    }
    format!("no further copy is loaded before its engines are asked for more than {full:.0}% of their slots")
}

/// What would drop a copy.
fn fewer(view: &Input, at: usize) -> String {
    let item = &view.items[at];
    let copies = item.holders.len() as u32 + item.copies_elsewhere;
    if copies <= item.copies_min || (item.certain_copies <= 1 && !item.assured_elsewhere) {
        return format!("no copy is dropped: {copies} are there, and {} must stay", item.copies_min);
    }
    "a copy is dropped only when its memory is needed for another artifact".to_owned()
}
