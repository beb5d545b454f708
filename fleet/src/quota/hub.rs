//! The hub's side of workspace limits: owners of shares, their record in the lease row, and allotments.

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};

use super::allocator::{self, Allocator, Holder, Outstanding, Unheard};
use super::message::{Allotment, Report};
use super::{LEASE, Quota, apply_allotments};
use crate::record::ms;
use crate::state::{Identity, State};

/// Owners of the limits: for each limit, one entry VM in each availability zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    /// Entry VMs that own any share. Other entry VMs do not influence who owns what, so the lease row
    /// leaves them out.
    pub(super) holders: Vec<Holder>,
    /// By entry VM: workspaces that it owns a share of, each with its number of owners.
    by_vm: FxHashMap<Name, Vec<(Name, usize)>>,
    /// All entry VMs that were considered.
    known: FxHashSet<Name>,
    /// Versions of the configuration and of the list of entry VMs that this was computed from.
    config: u64,
    members: u64,
}

impl Owners {
    /// The owners among `vms` in the configuration in force.
    fn among(state: &State, vms: &[Holder]) -> Self {
        let mut by_vm: FxHashMap<Name, Vec<(Name, usize)>> = FxHashMap::default();
        for workspace in state.routes.limited_workspaces() {
            let owners = allocator::owners(&workspace.name, vms);
            for owner in &owners {
                by_vm.entry(owner.clone()).or_default().push((workspace.name.clone(), owners.len()));
            }
        }
        Self {
            holders: vms.iter().filter(|holder| by_vm.contains_key(&holder.vm)).cloned().collect(),
            by_vm,
            known: vms.iter().map(|holder| holder.vm.clone()).collect(),
            config: version(state),
            members: state.members.version(),
        }
    }

    /// Whether an entry VM owns a share of a workspace's limit.
    pub(super) fn owns(&self, vm: &Name, workspace: &Name) -> bool {
        self.by_vm.get(vm).is_some_and(|owned| owned.iter().any(|(of, _)| of == workspace))
    }
}

/// Version of the configuration in force; 0 for none.
fn version(state: &State) -> u64 {
    state.config.as_ref().map_or(0, |config| config.version)
}

/// Computes the owners for the lease row about to be written. From now on, shares are given only to owners
/// by both this row and the one before, because the next hub may read either.
pub(crate) fn fill_row(state: &mut State, now: Time) {
    let (config, members) = (version(state), state.members.version());
    let known = &state.quota.proposed;
    if (known.config, known.members) != (config, members) || known.known.is_empty() {
        let Identity { vm, zone, .. } = state.me.clone();
        let others = state.members.list().iter().filter(|member| member.vm != vm);
        let others = others.map(|member| Holder { vm: member.vm.clone(), zone: member.zone.clone() });
        let vms: Vec<Holder> = others.chain([Holder { vm: vm.clone(), zone }]).collect();
        state.quota.proposed = Owners::among(state, &vms);
    }
    let Quota { allocator, proposed, .. } = &mut state.quota;
    if let Some(allocator) = allocator {
        allocator.drop_expired(now, &proposed.known);
    }
}

/// Handles the holders found in the lease row.
pub(crate) fn row_holders_read(state: &mut State, holders: &[Holder]) {
    let config = version(state);
    let Quota { written, proposed, .. } = &mut state.quota;
    if proposed.holders == holders && proposed.config == config {
        *written = proposed.clone();
    } else if written.holders != holders || written.config != config {
        let known = written.known.clone();
        state.quota.written = Owners { known, ..Owners::among(state, holders) };
    }
}

/// Takes over the record of shares before this process takes the lease: its own row must also name the
/// holders of earlier hubs.
pub(crate) fn inherit(state: &mut State, outstanding: &Outstanding) {
    state.quota.inherited = outstanding.clone();
}

/// Same as [`inherit`] after the store was restored from an older copy: no row names all entry VMs to which
/// earlier hubs may have given shares.
pub(crate) fn inherit_unknown(state: &mut State, store_ms: u64) {
    let anyone = Unheard { vm: Name::default(), until_ms: store_ms + ms(LEASE) };
    state.quota.inherited = Outstanding { unheard: vec![anyone], ..Outstanding::default() };
}

/// Record of shares for the lease row, to be called after [`fill_row`].
pub(crate) fn outstanding(state: &State, now: Time, ms: impl Fn(Time) -> u64) -> Outstanding {
    let Quota { allocator, proposed, inherited, .. } = &state.quota;
    if let Some(allocator) = allocator {
        return allocator.outstanding(now, proposed, ms);
    }
    // If this process loses the lease at once, the next hub still needs the record of the hub before it.
    let until_ms = ms(now + LEASE);
    let previous_holders = inherited.holders.iter().map(|holder| Unheard { vm: holder.vm.clone(), until_ms });
    Outstanding {
        holders: proposed.holders.clone(),
        unheard: inherited.unheard.iter().cloned().chain(previous_holders).collect(),
        lapsed: inherited.lapsed.clone(),
    }
}

/// Starts a term as the hub with a row that names `holders`. The previous lease ended at `previous_ended`;
/// `at` converts store time to process time.
pub(crate) fn begin(
    state: &mut State,
    now: Time,
    holders: &[Holder],
    previous_ended: Time,
    at: impl Fn(u64) -> Time,
) {
    let previous = std::mem::take(&mut state.quota.inherited);
    state.quota.allocator = Some(Allocator::new(&previous, previous_ended, at));
    row_holders_read(state, holders);
    allot_own(state, now);
}

/// This process is no longer the hub.
pub(crate) fn end(state: &mut State) {
    state.quota.allocator = None;
}

/// As the hub: shares that an entry VM may hold from now on. `None` if this process is not the hub, or
/// cannot tell yet.
pub(crate) fn allot(
    state: &mut State,
    now: Time,
    vm: &Name,
    frame_number: u64,
    report: &Report,
) -> Option<Vec<Allotment>> {
    state.lease.held_term(now)?;
    let Quota { allocator, written, proposed, .. } = &mut state.quota;
    // An entry VM that no written row could name yet keeps its shares.
    let owned = written.known.contains(vm).then(|| {
        let owned = written.by_vm.get(vm).into_iter().flatten();
        owned.filter(|(workspace, _)| proposed.owns(vm, workspace)).cloned().collect()
    });
    allocator.as_mut()?.renew(now, vm, frame_number, report, owned)
}

/// The hub allots shares to itself.
pub(crate) fn allot_own(state: &mut State, now: Time) {
    let report = state.quota.report(now);
    let (vm, number) = (state.me.vm.clone(), state.hub.next_frame_number());
    if let Some(allotments) = allot(state, now, &vm, number, &report) {
        apply_allotments(state, now, now, allotments);
    }
}
