//! Backend servers as this entry VM knows them: where they are, what they hold, how busy they are.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::artifact::Artifact;
use crate::effect::Effect;
use crate::engine::{Report, Stage};
use crate::inventory::Kind;
use crate::name::Name;
use crate::state::State;
use crate::time::Time;
use crate::timer::Timer;
use crate::vm::{Phase, Role, Vm};

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// Its VM name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its group.
    pub group: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state in the VM list, or what it said itself.
    pub phase: Phase,
    /// Its last report.
    pub report: Option<Report>,
    /// When that came.
    pub reported_at: Option<Time>,
    /// Artifacts that nothing more may be sent for, since they are about to be dropped.
    pub closing: Vec<Artifact>,
    /// Cache events were taken up to this number.
    pub cache_seq: u64,
}

impl Backend {
    /// Whether it answers requests for `artifact` by its last report.
    pub(crate) fn holds(&self, artifact: &Artifact) -> bool {
        let ready = |report: &Report| {
            report.copies.iter().any(|copy| copy.stage == Stage::Ready && copy.artifact == *artifact)
        };
        self.report.as_ref().is_some_and(ready) && !self.closing.contains(artifact)
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self) -> bool {
        self.phase == Phase::Live && !self.report.as_ref().is_some_and(|report| report.draining)
    }
}

/// All backend servers, and the other entry VMs by the VM list.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Backend servers by VM name.
    pub backends: BTreeMap<Name, Backend>,
    /// Entry VMs as listed.
    pub entries: BTreeMap<Name, Vm>,
}

impl Part {
    /// Takes over a VM list. Returns the backend servers that are new.
    pub(crate) fn list(&mut self, vms: Vec<Vm>) -> Vec<Name> {
        let mut fresh = Vec::new();
        self.entries.clear();
        let mut listed = BTreeMap::new();
        for vm in vms {
            let Role::Backend(group) = &vm.role else {
                self.entries.insert(vm.name.clone(), vm);
                continue;
            };
            let backend = match self.backends.remove(&vm.name) {
                Some(known) if known.address == vm.address => Backend { phase: vm.phase, ..known },
                _ => {
                    fresh.push(vm.name.clone());
                    Backend {
                        name: vm.name.clone(),
                        zone: vm.zone.clone(),
                        group: group.clone(),
                        address: vm.address,
                        phase: vm.phase,
                        report: None,
                        reported_at: None,
                        closing: Vec::new(),
                        cache_seq: 0,
                    }
                }
            };
            listed.insert(vm.name.clone(), backend);
        }
        self.backends = listed;
        fresh
    }

    /// Takes over a report, unless a later one of the same life is known. Returns whether it was taken.
    pub(crate) fn report(&mut self, now: Time, report: Report) -> bool {
        let Some(backend) = self.backends.get_mut(&report.engine) else {
            return false;
        };
        let known = backend.report.as_ref();
        if known.is_some_and(|known| known.incarnation == report.incarnation && known.seq >= report.seq) {
            return false;
        }
        backend.report = Some(report);
        backend.reported_at = Some(now);
        true
    }
}

/// A report came, from the engine itself or by way of its collector.
pub(crate) fn reported(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    if !state.fleet.report(now, report.clone()) {
        return;
    }
    crate::index::reported(state, now, report);
    crate::ledger::reported(state, now, report, out);
    crate::dispatch::at(state, now, &report.engine, out);
}

/// The VM list came.
pub(crate) fn listed(state: &mut State, now: Time, vms: Vec<Vm>, out: &mut Vec<Effect>) {
    for fresh in state.fleet.list(vms) {
        state.timers.set(now, Timer::Poll(fresh));
    }
    crate::index::listed(state, now);
    crate::dispatch::all(state, now, out);
}

/// An engine is to be asked for its report.
pub(crate) fn poll(state: &mut State, now: Time, engine: Name, out: &mut Vec<Effect>) {
    let Some(backend) = state.fleet.backends.get(&engine) else {
        return;
    };
    let is_engine =
        state.config.catalog.groups.get(&backend.group).is_some_and(|group| group.kind == Kind::Engine);
    if is_engine {
        out.push(Effect::Poll {
            engine: engine.clone(),
            address: backend.address,
            cache_from: backend.cache_seq,
        });
    }
    state.timers.set(now + state.settings.poll_every, Timer::Poll(engine));
}
