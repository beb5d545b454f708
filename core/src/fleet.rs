//! Backend servers as known to this entry VM: their addresses, copies and load.

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

/// Operators' drain decisions kept before those for unlisted backend servers are dropped.
const DRAINS_MAX: usize = 1_024;
/// Time after which a backend server that announced it is leaving, but is still listed as live, is used
/// again.
const LEAVING_RETENTION: Duration = Duration::from_mins(1);

/// A backend server.
#[derive(Clone, Debug)]
pub(crate) struct Backend {
    /// Its VM name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Its group.
    pub group: Name,
    /// The address at which it takes requests.
    pub address: SocketAddr,
    /// Its phase in the VM list.
    pub phase: Phase,
    /// Its last report.
    pub report: Option<Report>,
    /// Time at which the last report came.
    pub reported_at: Option<Time>,
    /// Time at which it announced that it is leaving; cleared when it restarts.
    pub announced_leaving_at: Option<Time>,
    /// Whether an operator took it out of use.
    pub drained: bool,
    /// Artifacts for which no more requests may be sent to it, since their copies are about to be dropped.
    pub closing: Vec<Artifact>,
    /// Number of the last prefix cache event that was processed.
    pub cache_seq: u64,
}

impl Backend {
    /// Artifacts that it can serve according to its last report.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &Artifact> {
        let copies = self.report.iter().flat_map(|report| &report.copies);
        copies.filter(|copy| copy.stage == Stage::Ready).map(|copy| &copy.artifact)
    }

    /// Whether it is leaving according to the VM list or its own announcement, or drained by an operator.
    pub(crate) fn is_leaving(&self) -> bool {
        self.phase == Phase::Leaving || self.announced_leaving_at.is_some() || self.drained
    }

    /// Whether new work may go to it.
    pub(crate) fn accepts_work(&self) -> bool {
        !self.is_leaving() && !self.report.as_ref().is_some_and(|report| report.draining)
    }

    /// Whether its last report is younger than `limit`.
    pub(crate) fn reported_within(&self, now: Time, limit: Duration) -> bool {
        self.reported_at.is_some_and(|at| now.since(at) < limit)
    }
}

/// State of this module: all backend servers, and the entry VMs of the VM list.
#[derive(Debug, Default)]
pub(crate) struct Part {
    /// Backend servers by VM name.
    pub backends: BTreeMap<Name, Backend>,
    /// Entry VMs as listed.
    pub entries: BTreeMap<Name, Vm>,
    /// The latest decision of an operator on each backend server of the zone.
    drains: BTreeMap<Name, Drain>,
}

impl Part {
    /// Applies a VM list.
    pub(crate) fn apply_list(&mut self, now: Time, vms: Vec<Vm>) {
        self.entries.clear();
        let mut listed = BTreeMap::new();
        for vm in vms {
            let Role::Backend(group) = &vm.role else {
                self.entries.insert(vm.name.clone(), vm);
                continue;
            };
            let backend = match self.backends.remove(&vm.name) {
                Some(known) if known.address == vm.address => {
                    let announced_at =
                        known.announced_leaving_at.filter(|at| now.since(*at) < LEAVING_RETENTION);
                    Backend { phase: vm.phase, announced_leaving_at: announced_at, ..known }
                }
                _ => Backend {
                    name: vm.name.clone(),
                    zone: vm.zone.clone(),
                    group: group.clone(),
                    address: vm.address,
                    phase: vm.phase,
                    report: None,
                    reported_at: None,
                    announced_leaving_at: None,
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
        self.update_drained();
    }

    fn update_drained(&mut self) {
        for backend in self.backends.values_mut() {
            backend.drained = self.drains.get(&backend.name).is_some_and(|drain| drain.out_of_use);
        }
    }

    /// Stores a report, unless one at least as new of the same incarnation is known. Returns whether it was
    /// stored.
    pub(crate) fn apply_report(&mut self, now: Time, report: Report) -> bool {
        let Some(backend) = self.backends.get_mut(&report.engine) else {
            return false;
        };
        let known = backend.report.as_ref();
        if known.is_some_and(|known| known.incarnation == report.incarnation && known.seq >= report.seq) {
            return false;
        }
        if known.is_some_and(|known| known.incarnation != report.incarnation) {
            backend.announced_leaving_at = None;
        }
        backend.report = Some(report);
        backend.reported_at = Some(now);
        true
    }
}

/// Handles a report, from the engine itself or forwarded by its collector.
pub(crate) fn report_received(state: &mut State, now: Time, report: &Report, out: &mut Vec<Effect>) {
    if !state.fleet.apply_report(now, report.clone()) {
        return;
    }
    crate::route_sync::report_applied(state, now, report);
    crate::ledger::report_received(state, now, report, out);
    crate::dispatch::to_backend(state, now, &report.engine, out);
}

/// Handles a new VM list.
pub(crate) fn vm_list_received(state: &mut State, now: Time, vms: Vec<Vm>, out: &mut Vec<Effect>) {
    state.fleet.apply_list(now, vms);
    member::update_members(state, now);
    collect::assign_collectors(state, now);
    crate::route_sync::refresh_all(state, now);
    crate::dispatch::all(state, now, out);
}

/// Takes a backend server of this zone out of use or back into it, for an operator. Returns whether it is
/// known in this zone.
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
    let next_version = state.fleet.drains.values().map(|drain| drain.version).max().unwrap_or_default() + 1;
    let drain = Drain { backend: backend.clone(), out_of_use, version: next_version };
    apply_drains(state, now, std::slice::from_ref(&drain), out);
    member::send_to_zone(state, &[Item::Drains(vec![drain])], out);
    true
}

/// Applies operators' decisions on backend servers, from a peer or made at this entry VM.
pub(crate) fn apply_drains(state: &mut State, now: Time, drains: &[Drain], out: &mut Vec<Effect>) {
    for drain in drains {
        let known = state.fleet.drains.get(&drain.backend);
        let newer =
            known.is_none_or(|known| (known.version, known.out_of_use) < (drain.version, drain.out_of_use));
        if newer {
            state.fleet.drains.insert(drain.backend.clone(), drain.clone());
        }
    }
    state.fleet.update_drained();
    crate::route_sync::refresh_all(state, now);
    crate::dispatch::all(state, now, out);
}

/// All decisions of operators on backend servers, for a peer that has none yet.
pub(crate) fn drains_item(state: &State) -> Option<Item> {
    let drains: Vec<Drain> = state.fleet.drains.values().cloned().collect();
    (!drains.is_empty()).then_some(Item::Drains(drains))
}
