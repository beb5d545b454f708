//! Answers to operators' queries from the state of this entry VM.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::artifact::Artifact;
use crate::catalog::Entry;
use crate::code::Code;
use crate::config;
use crate::count::{Counters, Reason};
use crate::effect::Effect;
use crate::engine::Role;
use crate::explain;
use crate::fleet::{self, Backend};
use crate::id;
use crate::inventory::Kind;
use crate::ledger;
use crate::member::Peer;
use crate::name::Name;
use crate::operator::{Answer, Counts, Ended, Engine, Held, Member, Model, Query, Refusal, Retried, Status};
use crate::route::Work;
use crate::state::State;
use crate::summary;
use crate::time::Time;
use crate::vm::Phase;

/// Handles an operator's query.
pub(crate) fn query_received(
    state: &mut State,
    now: Time,
    ask: id::Ask,
    query: Query,
    out: &mut Vec<Effect>,
) {
    let answer = match query {
        Query::Apply(apply) => return config::apply(state, now, ask, *apply, out),
        Query::Config => {
            Answer::Config { version: state.config.version, document: Arc::clone(&state.config.document) }
        }
        Query::History => return config::request_history(state, ask, out),
        Query::Status => Answer::Status(Box::new(status(state, now))),
        Query::Models => Answer::Models(models(state, now)),
        Query::Explain(name) => explain::answer(state, now, &name),
        Query::Engines => Answer::Engines(engines(state, now)),
        Query::Members => Answer::Members(members(state, now)),
        Query::Moves => Answer::Moves(state.audit.latest()),
        Query::Counts => Answer::Counts(counts(&state.counters)),
        Query::Drain { backend, out: out_of_use } => drain(state, now, &backend, out_of_use, out),
    };
    out.push(Effect::Answer { ask, answer: Box::new(answer) });
}

fn status(state: &State, now: Time) -> Status {
    let entries = &state.config.catalog.entries;
    let ready_here: BTreeSet<&Artifact> = state.fleet.backends.values().flat_map(Backend::ready).collect();
    let reachable = entries.iter().filter(|entry| {
        ready_here.contains(&entry.artifact)
            || !summary::zones_holding(state, now, &entry.artifact).is_empty()
    });
    Status {
        vm: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        ready: state.config.version > 0 && !state.drain.is_leaving(),
        config: state.config.version,
        lease_holder: state.lease.holder().cloned(),
        table_up: state.table_up,
        open: state.flow.open() as u32,
        queued: state.flow.queued() as u32,
        artifacts: entries.len() as u32,
        reachable: reachable.count() as u32,
        engines: state.fleet.backends.values().filter(|backend| is_engine(state, backend)).count() as u32,
        moves_under_way: state.ledger.rows.values().map(|(_, row)| row.open_intents().count() as u32).sum(),
    }
}

fn counts(counters: &Counters) -> Counts {
    let ended = Code::ALL.iter().map(|code| Ended { code: *code, count: counters.ended(*code) });
    let retried = Reason::ALL
        .iter()
        .map(|reason| Retried { reason: reason.label().into(), count: counters.retried(*reason) });
    Counts {
        ended: ended.filter(|ended| ended.count > 0).collect(),
        retried: retried.filter(|retried| retried.count > 0).collect(),
    }
}

fn drain(state: &mut State, now: Time, backend: &Name, out_of_use: bool, out: &mut Vec<Effect>) -> Answer {
    if fleet::drain(state, now, backend, out_of_use, out) {
        return Answer::Done;
    }
    let zone = state.fleet.backends.get(backend).map(|backend| backend.zone.clone());
    let (reason, hint) = match zone {
        Some(zone) => (
            format!("back end '{backend}' is in zone {zone}, this entry VM in zone {}", state.me.zone),
            format!("ask an entry VM of zone {zone}"),
        ),
        None => (
            format!("no back end '{backend}' is in the VM list as last read here"),
            "look at the engines and the VM list".to_owned(),
        ),
    };
    let (reasons, hint) = (vec![reason.into()], hint.into());
    Answer::Error(Refusal { code: Code::UnknownVm, reasons, hint, version: None })
}

fn models(state: &State, now: Time) -> Vec<Model> {
    let mut held: BTreeMap<&Artifact, Vec<Held>> = BTreeMap::new();
    for backend in state.fleet.backends.values() {
        for copy in backend.report.iter().flat_map(|report| &report.copies) {
            let copies = held.entry(&copy.artifact).or_default();
            copies.push(Held { engine: backend.name.clone(), stage: copy.stage });
        }
    }
    let entries = state.config.catalog.entries.iter();
    entries
        .map(|entry| {
            let copies = held.remove(&entry.artifact).unwrap_or_default();
            model(state, now, entry, copies)
        })
        .collect()
}

fn model(state: &State, now: Time, entry: &Entry, copies: Vec<Held>) -> Model {
    let elsewhere = summary::zones_holding(state, now, &entry.artifact);
    Model {
        artifact: entry.artifact.clone(),
        memory_mb: entry.memory_mb,
        copies,
        zones: elsewhere.into_iter().map(|elsewhere| elsewhere.zone.clone()).collect(),
        demand: state.demand.estimate(&entry.artifact).rate(),
        waiting: state.flow.waiting(&Work::Artifact(entry.artifact.clone())) as u32,
    }
}

fn engines(state: &State, now: Time) -> Vec<Engine> {
    let empty = ledger::Row::default();
    state
        .fleet
        .backends
        .values()
        .filter(|backend| is_engine(state, backend))
        .map(|backend| {
            let report = backend.report.as_ref();
            let row = state.ledger.rows.get(&backend.name).map_or(&empty, |(_, row)| row);
            Engine {
                name: backend.name.clone(),
                group: backend.group.clone(),
                zone: backend.zone.clone(),
                phase: if backend.is_leaving() { Phase::Leaving } else { Phase::Live },
                role: report.map_or(Role::Both, |report| report.role),
                memory_mb: report.map_or(0, |report| report.memory_mb),
                reserved_mb: report.map_or(0, |report| ledger::reserved_mb(report, row)),
                running: report.map_or(0, |report| report.running),
                waiting: report.map_or(0, |report| report.waiting),
                report_age_ms: backend.reported_at.map(|at| now.since(at).as_millis() as u64),
                copies: report.map_or(0, |report| report.copies.len() as u32),
                suspected: state.routes.is_suspected(&backend.name),
            }
        })
        .collect()
}

/// Whether a backend server is an engine of this zone. If its group is not declared, it counts as an engine
/// once it has reported.
fn is_engine(state: &State, backend: &Backend) -> bool {
    let is_engine = match state.config.catalog.groups.get(&backend.group) {
        Some(group) => group.kind == Kind::Engine,
        None => backend.report.is_some(),
    };
    is_engine && backend.zone == state.me.zone
}

fn members(state: &State, now: Time) -> Vec<Member> {
    let me = Member {
        name: state.me.vm.clone(),
        zone: state.me.zone.clone(),
        alive: true,
        leaving: state.drain.is_leaving(),
        config: state.config.version,
        heard_ms: Some(0),
    };
    let mut members = vec![me];
    for (name, peer) in &state.member.peers {
        members.push(if peer.zone == state.me.zone {
            local_member(now, name, peer)
        } else {
            remote_member(state, now, name, peer)
        });
    }
    members.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    members
}

/// An entry VM of this zone, by its own frames.
fn local_member(now: Time, name: &Name, peer: &Peer) -> Member {
    Member {
        name: name.clone(),
        zone: peer.zone.clone(),
        alive: peer.last_heard.is_some() && !peer.suspected,
        leaving: peer.stopping,
        config: peer.config_version,
        heard_ms: peer.last_heard.map(|at| now.since(at).as_millis() as u64),
    }
}

/// An entry VM of another zone, by the last summary of that zone.
fn remote_member(state: &State, now: Time, name: &Name, peer: &Peer) -> Member {
    let zone = summary::recent_zones(state, now).find(|(zone, _)| **zone == peer.zone).map(|(_, zone)| zone);
    let unavailable = zone.is_none_or(|zone| zone.unavailable.contains(name));
    let zone_version = zone.map_or(0, |zone| zone.config);
    let last_seen = zone.map(|zone| zone.last_heard).into_iter().chain(peer.last_heard).max();
    Member {
        name: name.clone(),
        zone: peer.zone.clone(),
        alive: !unavailable,
        leaving: peer.stopping,
        config: if unavailable { peer.config_version } else { zone_version.max(peer.config_version) },
        heard_ms: last_seen.map(|at| now.since(at).as_millis() as u64),
    }
}
