//! Answers to operators' questions from what this entry VM knows.

use std::sync::Arc;

use crate::catalog::Entry;
use crate::config;
use crate::effect::Effect;
use crate::engine::{Role, Stage};
use crate::id;
use crate::ledger;
use crate::name::Name;
use crate::operator::{Answer, Engine, Held, Member, Model, Query, Status};
use crate::route::Work;
use crate::state::State;
use crate::time::Time;

/// An operator asks.
pub(crate) fn asked(state: &mut State, now: Time, ask: id::Ask, query: Query, out: &mut Vec<Effect>) {
    let answer = match query {
        Query::Apply(apply) => return config::apply(state, now, ask, *apply, out),
        Query::Config => {
            Answer::Config { version: state.config.version, document: Arc::clone(&state.config.document) }
        }
        Query::History => return config::history(state, ask, out),
        Query::Status => Answer::Status(Box::new(status(state, now))),
        Query::Models => {
            Answer::Models(state.config.catalog.entries.iter().map(|entry| model(state, entry)).collect())
        }
        Query::Explain(_) => Answer::Explanation(Vec::new()),
        Query::Engines => Answer::Engines(engines(state, now)),
        Query::Members => Answer::Members(members(state, now)),
        Query::Moves => Answer::Moves(state.audit.latest()),
        Query::Drain { .. } => Answer::Done,
    };
    out.push(Effect::Answer { ask, answer: Box::new(answer) });
}

fn status(state: &State, now: Time) -> Status {
    let entries = &state.config.catalog.entries;
    let reachable =
        entries.iter().filter(|entry| state.fleet.backends.values().any(|b| b.holds(&entry.artifact)));
    Status {
        vm: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        ready: state.config.version > 0 && !state.drain.leaving(),
        config: state.config.version,
        lease_holder: state.lease.holder().cloned(),
        table_up: state.table_up,
        open: state.flow.open() as u32,
        queued: state.flow.queued() as u32,
        artifacts: entries.len() as u32,
        reachable: reachable.count() as u32,
        engines: engines(state, now).len() as u32,
        moves_under_way: state.ledger.rows.values().map(|(_, row)| row.intents.len() as u32).sum(),
    }
}

fn model(state: &State, entry: &Entry) -> Model {
    let mut copies = Vec::new();
    for backend in state.fleet.backends.values() {
        let held = backend.report.iter().flat_map(|report| &report.copies);
        for copy in held.filter(|copy| copy.artifact == entry.artifact) {
            copies.push(Held { engine: backend.name.clone(), stage: copy.stage });
        }
    }
    let mut zones: Vec<Name> = copies
        .iter()
        .filter(|held| held.stage == Stage::Ready)
        .filter_map(|held| state.fleet.backends.get(&held.engine))
        .filter(|backend| backend.zone != state.me.zone)
        .map(|backend| backend.zone.clone())
        .collect();
    zones.dedup();
    Model {
        artifact: entry.artifact.clone(),
        memory_mb: entry.memory_mb,
        copies,
        zones,
        demand: 0.0,
        waiting: state.flow.waiting(&Work::Artifact(entry.artifact.clone())) as u32,
    }
}

fn engines(state: &State, now: Time) -> Vec<Engine> {
    let empty = ledger::Row::default();
    state
        .fleet
        .backends
        .values()
        .map(|backend| {
            let report = backend.report.as_ref();
            let row = state.ledger.rows.get(&backend.name).map_or(&empty, |(_, row)| row);
            Engine {
                name: backend.name.clone(),
                group: backend.group.clone(),
                zone: backend.zone.clone(),
                phase: backend.phase,
                role: report.map_or(Role::Both, |report| report.role),
                memory_mb: report.map_or(0, |report| report.memory_mb),
                reserved_mb: report.map_or(0, |report| ledger::reserved(report, row)),
                running: report.map_or(0, |report| report.running),
                waiting: report.map_or(0, |report| report.waiting),
                report_age_ms: backend.reported_at.map(|at| now.since(at).as_millis() as u64),
                copies: report.map_or(0, |report| report.copies.len() as u32),
                suspected: state.routes.is_doubted(&backend.name),
            }
        })
        .collect()
}

fn members(state: &State, now: Time) -> Vec<Member> {
    state
        .fleet
        .entries
        .values()
        .map(|vm| {
            let peer = state.member.peers.get(&vm.name);
            let own = vm.name == state.me.vm;
            let heard = peer.map(|peer| now.since(peer.heard));
            Member {
                name: vm.name.clone(),
                zone: vm.zone.clone(),
                alive: own || heard.is_some_and(|age| age < state.settings.suspect_after),
                leaving: if own { state.drain.leaving() } else { peer.is_some_and(|peer| peer.stopping) },
                config: if own { state.config.version } else { peer.map_or(0, |peer| peer.config) },
                heard_ms: if own { Some(0) } else { heard.map(|age| age.as_millis() as u64) },
            }
        })
        .collect()
}
