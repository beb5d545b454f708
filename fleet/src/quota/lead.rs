//! The leader's side: who owns parts of which limits, what the lease's row says of it, and what is allotted.

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::allocator::{self, Allocator, Holder, Outstanding, Unheard};
use super::message::{Allotment, Report};
use super::{LEASE, Quota, hold};
use crate::state::{Identity, State};

/// By entry VM: the workspaces that it owns a part of, each with the number of its owners; among those that the lease's row names,
/// since the next leader goes by that.
#[derive(Debug, Default)]
pub(super) struct Owners {
    holders: Vec<Holder>,
    config: u64,
    by_vm: FxHashMap<Name, Vec<(Name, usize)>>,
}

/// The lease's row names these: they own what there is.
fn name(state: &mut State, holders: &[Holder]) {
    let config = state.config.as_ref().map_or(0, |config| config.version);
    let known = &state.quota.owners;
    if known.config == config && known.holders == holders {
        return;
    }
    let mut by_vm: FxHashMap<Name, Vec<(Name, usize)>> =
        holders.iter().map(|holder| (holder.vm.clone(), Vec::new())).collect();
    for workspace in state.routes.limited() {
        let owners = allocator::owners(&workspace.name, holders);
        for owner in &owners {
            by_vm.entry(owner.clone()).or_default().push((workspace.name.clone(), owners.len()));
        }
    }
    state.quota.owners = Owners { holders: holders.to_vec(), config, by_vm };
}

/// This process is about to take over the lease: its row has to name whom the leaders before may have given shares.
pub(crate) fn inherit(state: &mut State, outstanding: &Outstanding) {
    state.quota.inherited = outstanding.clone();
}

/// What the lease's row is to say of shares: whoever is not named there gets none.
pub(crate) fn outstanding(state: &State, now: Time, ms: impl Fn(Time) -> u64) -> Outstanding {
    let holders = holders(state);
    if let Some(allocator) = &state.quota.allocator {
        return allocator.outstanding(now, holders, ms);
    }
    // What the leader before said has to be heard by the next one too, should this one be lost at once.
    let Outstanding { holders: before, mut unheard, lapsed } = state.quota.inherited.clone();
    let until_ms = ms(now + LEASE);
    unheard.extend(before.into_iter().map(|holder| Unheard { vm: holder.vm, until_ms }));
    Outstanding { holders, unheard, lapsed }
}

/// Entry VMs to which this one gives shares as the leader.
fn holders(state: &State) -> Vec<Holder> {
    if state.routes.limited().next().is_none() {
        return Vec::new();
    }
    let Identity { vm, zone, .. } = state.me.clone();
    let others = state.members.list().iter().filter(|member| member.vm != vm);
    let others = others.map(|member| Holder { vm: member.vm.clone(), zone: member.zone.clone() });
    others.chain([Holder { vm: vm.clone(), zone }]).collect()
}

/// The lease was taken with a row that names these. The one before was over at `over`; `at` turns the store's times into the
/// process's own.
pub(crate) fn begin(state: &mut State, now: Time, named: &[Holder], over: Time, at: impl Fn(u64) -> Time) {
    let before = std::mem::take(&mut state.quota.inherited);
    state.quota.allocator = Some(Allocator::new(&before, over, at));
    name(state, named);
    renew_own(state, now);
}

/// The lease was renewed with a row that names these.
pub(crate) fn renewed(state: &mut State, named: &[Holder]) {
    if state.quota.allocator.is_some() {
        name(state, named);
    }
}

/// The lease is over.
pub(crate) fn end(state: &mut State) {
    state.quota.allocator = None;
}

/// As the leader: what an entry VM may hold from now on. None if this is no leader, or if it cannot be said yet.
pub(crate) fn allot(
    state: &mut State,
    now: Time,
    vm: &Name,
    number: u64,
    report: &Report,
) -> Option<Vec<Allotment>> {
    state.lease.holds(now)?;
    let Quota { allocator, owners, .. } = &mut state.quota;
    // One that the row does not name yet keeps what it holds.
    let owned = owners.by_vm.get(vm).map(Vec::as_slice);
    allocator.as_mut()?.renew(now, vm, number, report, owned)
}

/// The leader allots to itself.
pub(crate) fn renew_own(state: &mut State, now: Time) {
    let report = state.quota.report(now);
    let (vm, number) = (state.me.vm.clone(), state.hub.next_number());
    if let Some(allotments) = allot(state, now, &vm, number, &report) {
        hold(state, now, now, allotments);
    }
}
