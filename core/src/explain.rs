//! Explains to operators which engines hold an artifact and why, from the state of this entry VM.

use crate::artifact::{Artifact, Target};
use crate::audit::{Decision, Record};
use crate::catalog::Entry;
use crate::code::Code;
use crate::engine::{Action, Stage};
use crate::fleet::Backend;
use crate::ledger;
use crate::name::Name;
use crate::operator::{Answer, Refusal};
use crate::place;
use crate::rules::Priority;
use crate::state::State;
use crate::summary;
use crate::time::Time;

/// Largest number of audit records in an explanation.
const RECORDS_MAX: usize = 8;

/// Explains the placement of the artifact to which `name` resolves for a caller.
pub(crate) fn answer(state: &State, now: Time, name: &str) -> Answer {
    let target = name.parse::<Target>().ok();
    let Some(entry) = target.and_then(|target| state.config.catalog.resolve(&target)) else {
        return Answer::Error(Refusal {
            code: Code::UnknownModel,
            reasons: vec![format!("version {} declares no '{name}'", state.config.version).into()],
            hint: "name it as callers do: model, model:adapter, model@version or model:adapter@version"
                .into(),
            version: Some(state.config.version),
        });
    };
    let mut lines = vec![describe_entry(entry), describe_lease(state)];
    let zone = &state.me.zone;
    if entry.allows_zone(zone) {
        let own = state.fleet.backends.values().filter(|backend| backend.zone == *zone);
        lines.extend(
            own.filter(|backend| backend.group == entry.group)
                .map(|each| describe_engine(state, each, entry)),
        );
    } else {
        lines.push(format!("the rules do not allow it in zone {zone}"));
    }
    for elsewhere in summary::zones_holding(state, now, &entry.artifact) {
        lines.push(format!("zone {}: ready copies: {}", elsewhere.zone, elsewhere.copies));
    }
    lines.extend(place::describe(state, now, &entry.artifact));
    let records = state.audit.latest();
    let about = records.iter().filter(|record| concerns(&record.act, &entry.artifact));
    lines.extend(about.take(RECORDS_MAX).map(|record| decision(record, now)));
    Answer::Explanation(lines.into_iter().map(Name::from).collect())
}

fn describe_entry(entry: &Entry) -> String {
    let zones = if entry.zones.is_empty() { "any zone".to_owned() } else { entry.zones.join(", ") };
    let rank = match entry.priority {
        Priority::Urgent => "before all others",
        Priority::High => "before most others",
        Priority::Normal => "like most others",
        Priority::Deferrable => "after all others",
    };
    format!(
        "{}: {} MB on engines of group {} in {zones}; copies at the least: {}; {rank} when memory is short",
        entry.artifact, entry.memory_mb, entry.group, entry.copies
    )
}

fn describe_lease(state: &State) -> String {
    let zone = &state.me.zone;
    let table_note = if state.table_up { "" } else { "; the platform's table does not answer" };
    match state.lease.holder() {
        Some(holder) if *holder == state.me.vm => {
            format!("this entry VM decides for zone {zone}{table_note}")
        }
        Some(holder) => {
            format!(
                "{holder} decides for zone {zone}, and may have orders that are not shown here{table_note}"
            )
        }
        None => {
            format!("nobody holds the lease of zone {zone}, so nothing is loaded or unloaded{table_note}")
        }
    }
}

fn describe_engine(state: &State, backend: &Backend, entry: &Entry) -> String {
    let name = &backend.name;
    let Some(report) = &backend.report else {
        return format!("{name}: has not reported yet");
    };
    let empty_row = ledger::Row::default();
    let row = state.ledger.rows.get(name).map_or(&empty_row, |(_, row)| row);
    let leaving = if backend.accepts_work() { "" } else { ", and it is leaving" };
    if let Some(copy) = report.copies.iter().find(|copy| copy.artifact == entry.artifact) {
        let progress = match copy.stage {
            Stage::Ready if backend.closing.contains(&entry.artifact) => "is ready but takes no new requests",
            Stage::Ready => "is ready",
            Stage::Loading => "is being loaded",
            Stage::Dropping => "is being dropped",
        };
        return format!("{name}: a copy {progress}, with {} requests{leaving}", copy.requests);
    }
    let ordered = row
        .open_intents()
        .any(|intent| matches!(&intent.action, Action::Load { artifact, .. } if *artifact == entry.artifact));
    if ordered {
        return format!("{name}: an order to load it is open{leaving}");
    }
    let free = report.memory_mb.saturating_sub(ledger::reserved_mb(report, row));
    let fit = if free >= entry.memory_mb { "it would fit" } else { "it does not fit" };
    format!("{name}: no copy; {free} of {} MB are free, so {fit}{leaving}", report.memory_mb)
}

fn concerns(act: &Decision, subject: &Artifact) -> bool {
    match act {
        Decision::Load { artifact, .. } | Decision::Unload { artifact, .. } => artifact == subject,
        _ => false,
    }
}

fn decision(record: &Record, now: Time) -> String {
    let ago = now.since(record.at).as_secs();
    format!("{ago} s ago: {}, because {}", record.act, record.cause)
}
