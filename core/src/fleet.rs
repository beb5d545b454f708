//! Backend servers as this entry VM knows them: where they are, what they hold, how busy they are.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::artifact::Artifact;
use crate::collect;
use crate::effect::Effect;
use crate::engine::{Report, Stage};
use crate::member;
use crate::name::Name;
use crate::peer::{Drain, Item};
use crate::state::State;
use crate::time::Time;
use crate::vm::{Phase, Role, Vm};

/// Operators' words on back ends that are kept although the VM list does not show these.
const DRAINS_MAX: usize = 1_024;
/// Time after which a back end that said it is leaving, and is still listed as live, is tried again.
const LEAVING_KEPT: Duration = Duration::from_mins(1);

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
    /// When it said itself that it is leaving; void once it starts anew.
    pub left_at: Option<Time>,
    /// Whether an operator took it out of use.
    pub drained: bool,
    /// Artifacts that nothing more may be sent for, since they are about to be dropped.
    pub closing: Vec<Artifact>,
    /// Cache events were taken up to this number.
    pub cache_seq: u64,
}

impl Backend {
    /// Artifacts that it answers requests for by its last report.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Artifact> {
        let copies = self.report.iter().flat_map(|report| &report.copies);
        copies.filter(|copy| copy.stage == Stage::Ready).map(|copy| &copy.artifact)
    }

    /// Whether it is going to stop, by the VM list or its own word, or out of use by an operator's.
    pub(crate) fn is_leaving(&self) -> bool {
        self.phase == Phase::Leaving || self.left_at.is_some() || self.drained
    }

    /// Whether new work may go to it.
    pub(crate) fn takes_work(&self) -> bool {
        !self.is_leaving() && !self.report.as_ref().is_some_and(|report| report.draining)
    }

    /// Whether it reported within `limit`.
    pub(crate) fn is_heard(&self, now: Time, limit: Duration) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < limit)
    }
}

/// All backend servers, and the other entry VMs by the VM list.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Backend servers by VM name.
    pub backends: BTreeMap<Name, Backend>,
    /// Entry VMs as listed.
    pub entries: BTreeMap<Name, Vm>,
    /// What operators said last of each back end of the zone.
    drains: BTreeMap<Name, Drain>,
}

impl Part {
    /// Takes over a VM list.
    pub(crate) fn list(&mut self, now: Time, vms: Vec<Vm>) {
        self.entries.clear();
        let mut listed = BTreeMap::new();
        for vm in vms {
            let Role::Backend(group) = &vm.role else {
                self.entries.insert(vm.name.clone(), vm);
                continue;
            };
            let backend = match self.backends.remove(&vm.name) {
                Some(known) if known.address == vm.address => {
                    let left_at = known.left_at.filter(|at| now.since(*at) < LEAVING_KEPT);
                    Backend { phase: vm.phase, left_at, ..known }
                }
                _ => Backend {
                    name: vm.name.clone(),
                    zone: vm.zone.clone(),
                    group: group.clone(),
                    address: vm.address,
                    phase: vm.phase,
                    report: None,
                    reported_at: None,
                    left_at: None,
                    drained: false,
                    closing: Vec::new(),
                    cache_seq: 0,
                },
            };
            listed.insert(vm.name.clone(), backend);
        }
        self.backends = listed;
        if self.drains.len() > DRAINS_MAX {
            let backends = &self.backends;
            self.drains.retain(|name, _| backends.contains_key(name));
        }
        self.mark();
    }

    fn mark(&mut self) {
        for backend in self.backends.values_mut() {
            backend.drained = self.drains.get(&backend.name).is_some_and(|drain| drain.out);
        }
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
        if known.is_some_and(|known| known.incarnation != report.incarnation) {
            backend.left_at = None;
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
    state.fleet.list(now, vms);
    member::listed(state, now);
    collect::assign(state, now);
    crate::index::listed(state, now);
    crate::dispatch::all(state, now, out);
}

/// An operator takes a back end of this zone out of use, or back into it. Returns whether it is known.
pub(crate) fn drain(
    state: &mut State,
    now: Time,
    backend: &Name,
    out_of_use: bool,
    out: &mut Vec<Effect>,
) -> bool {
    let known = state.fleet.backends.get(backend).is_some_and(|known| known.zone == state.me.zone);
    if !known {
        return false;
    }
    let stamp = state.fleet.drains.values().map(|drain| drain.stamp).max().unwrap_or_default() + 1;
    let drain = Drain { backend: backend.clone(), out: out_of_use, stamp };
    heard_drains(state, now, std::slice::from_ref(&drain), out);
    member::tell_all(state, &[Item::Drains(vec![drain])], out);
    true
}

/// Operators' words on back ends came from a peer, or from an operator here.
pub(crate) fn heard_drains(state: &mut State, now: Time, drains: &[Drain], out: &mut Vec<Effect>) {
    for drain in drains {
        let known = state.fleet.drains.get(&drain.backend);
        let newer = known.is_none_or(|known| (known.stamp, known.out) < (drain.stamp, drain.out));
        if newer {
            state.fleet.drains.insert(drain.backend.clone(), drain.clone());
        }
    }
    state.fleet.mark();
    crate::index::listed(state, now);
    crate::dispatch::all(state, now, out);
}

/// All words of operators, for a peer that has heard none.
pub(crate) fn drains(state: &State) -> Option<Item> {
    let drains: Vec<Drain> = state.fleet.drains.values().cloned().collect();
    (!drains.is_empty()).then_some(Item::Drains(drains))
}
