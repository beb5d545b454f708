//! The leader's side: who owns parts of which limits, what the lease's row says of it, and what is allotted.

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};

use super::allocator::{self, Allocator, Holder, Outstanding, Unheard};
use super::message::{Allotment, Report};
use super::{LEASE, Quota, hold};
use crate::record::ms;
use crate::state::{Identity, State};

/// Who owns parts of which limits: of each limit one entry VM in each availability zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Owners {
    /// Entry VMs that own any. The others do not change who owns what, so that the lease's row does not name them.
    pub(super) holders: Vec<Holder>,
    /// The workspaces that an entry VM owns a part of, each with the number of its owners.
    by_vm: FxHashMap<Name, Vec<(Name, usize)>>,
    /// All entry VMs that were looked at.
    known: FxHashSet<Name>,
    /// The configuration, and the list of entry VMs, for which that is so.
    config: u64,
    members: u64,
}

impl Owners {
    /// Among `vms`, by the configuration in force.
    fn among(state: &State, vms: &[Holder]) -> Self {
        let mut by_vm: FxHashMap<Name, Vec<(Name, usize)>> = FxHashMap::default();
        for workspace in state.routes.limited() {
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

    /// Whether an entry VM owns a part of a workspace's limit.
    pub(super) fn owns(&self, vm: &Name, workspace: &Name) -> bool {
        self.by_vm.get(vm).is_some_and(|owned| owned.iter().any(|(of, _)| of == workspace))
    }
}

/// The configuration's version in force; 0 for none.
fn version(state: &State) -> u64 {
    state.config.as_ref().map_or(0, |config| config.version)
}

/// The lease's row is about to be written: what it is to say of owners. From now on only those are given anything that own it by
/// this row and by the one before, since either may be what the next leader reads.
pub(crate) fn propose(state: &mut State, now: Time) {
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
        allocator.tidy(now, &proposed.known);
    }
}

/// The lease's row was seen to name these.
pub(crate) fn named(state: &mut State, holders: &[Holder]) {
    let config = version(state);
    let Quota { written, proposed, .. } = &mut state.quota;
    if proposed.holders == holders && proposed.config == config {
        *written = proposed.clone();
    } else if written.holders != holders || written.config != config {
        let known = written.known.clone();
        state.quota.written = Owners { known, ..Owners::among(state, holders) };
    }
}

/// This process is about to take over the lease: its row has to name whom the leaders before may have given shares.
pub(crate) fn inherit(state: &mut State, outstanding: &Outstanding) {
    state.quota.inherited = outstanding.clone();
}

/// The same after the store came back from an older copy: no row names all that the leaders before may have given shares.
pub(crate) fn inherit_unknown(state: &mut State, store_ms: u64) {
    let anyone = Unheard { vm: Name::default(), until_ms: store_ms + ms(LEASE) };
    state.quota.inherited = Outstanding { unheard: vec![anyone], ..Outstanding::default() };
}

/// What the lease's row is to say of shares, after [`propose`].
pub(crate) fn outstanding(state: &State, now: Time, ms: impl Fn(Time) -> u64) -> Outstanding {
    let Quota { allocator, proposed, inherited, .. } = &state.quota;
    if let Some(allocator) = allocator {
        return allocator.outstanding(now, proposed, ms);
    }
    // What the leader before said has to be heard by the next one too, should this one be lost at once.
    let until_ms = ms(now + LEASE);
    let before = inherited.holders.iter().map(|holder| Unheard { vm: holder.vm.clone(), until_ms });
    Outstanding {
        holders: proposed.holders.clone(),
        unheard: inherited.unheard.iter().cloned().chain(before).collect(),
        lapsed: inherited.lapsed.clone(),
    }
}

/// The lease was taken with a row that names these. The one before was over at `over`; `at` turns the store's times into the
/// process's own.
pub(crate) fn begin(state: &mut State, now: Time, holders: &[Holder], over: Time, at: impl Fn(u64) -> Time) {
    let before = std::mem::take(&mut state.quota.inherited);
    state.quota.allocator = Some(Allocator::new(&before, over, at));
    named(state, holders);
    renew_own(state, now);
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
    let Quota { allocator, written, proposed, .. } = &mut state.quota;
    // One that no row could name yet keeps what it holds.
    let owned = written.known.contains(vm).then(|| {
        let owned = written.by_vm.get(vm).into_iter().flatten();
        owned.filter(|(workspace, _)| proposed.owns(vm, workspace)).cloned().collect()
    });
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
