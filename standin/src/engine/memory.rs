//! Accelerator memory: what it holds, what orders do to it, how each order ended.

use std::collections::{BTreeMap, VecDeque};

use boragecove_core::artifact::Artifact;
use boragecove_core::engine::{Action, Copy, Ended, Fence, Order, Receipt, Role, Stage};
use boragecove_core::id;

/// Ended orders that a report names.
const ENDED_MAX: usize = 64;

/// The memory of one accelerator.
#[derive(Debug)]
pub(super) struct Memory {
    size_mb: u64,
    role: Role,
    fence: Fence,
    copies: BTreeMap<Artifact, Held>,
    receipts: BTreeMap<id::Order, Receipt>,
    ended: VecDeque<Ended>,
    peak_mb: u64,
}

#[derive(Debug)]
struct Held {
    memory_mb: u64,
    stage: Stage,
    requests: u32,
    /// Orders that end when this copy's stage does.
    orders: Vec<id::Order>,
}

/// Work that an order leaves behind, to be reported back when it is done.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// Nothing: the order was refused, repeated, or ended at once.
    None,
    /// Fetch weights, then [`Memory::loaded`].
    Load {
        /// What to load.
        artifact: Artifact,
        /// The size of its weights, in MB.
        memory_mb: u64,
    },
    /// Free memory, then [`Memory::dropped`].
    Unload {
        /// What to drop.
        artifact: Artifact,
    },
}

impl Memory {
    pub(super) const fn new(size_mb: u64, role: Role) -> Self {
        Self {
            size_mb,
            role,
            fence: Fence(0),
            copies: BTreeMap::new(),
            receipts: BTreeMap::new(),
            ended: VecDeque::new(),
            peak_mb: 0,
        }
    }

    pub(super) fn clear(&mut self, role: Role) {
        *self = Self { peak_mb: self.peak_mb, ..Self::new(self.size_mb, role) };
    }

    pub(super) const fn fence(&self) -> Fence {
        self.fence
    }

    pub(super) const fn role(&self) -> Role {
        self.role
    }

    pub(super) const fn peak_mb(&self) -> u64 {
        self.peak_mb
    }

    pub(super) fn requests(&self) -> u32 {
        self.copies.values().map(|held| held.requests).sum()
    }

    pub(super) fn ended(&self) -> Vec<Ended> {
        self.ended.iter().copied().collect()
    }

    pub(super) fn copies(&self) -> Vec<Copy> {
        let copy = |(artifact, held): (&Artifact, &Held)| Copy {
            artifact: artifact.clone(),
            memory_mb: held.memory_mb,
            stage: held.stage,
            requests: held.requests,
        };
        self.copies.iter().map(copy).collect()
    }

    pub(super) fn preload(&mut self, artifact: &Artifact, memory_mb: u64) -> bool {
        if memory_mb > self.free_mb() {
            return false;
        }
        self.hold(artifact, memory_mb, Stage::Ready, Vec::new());
        true
    }

    /// Whether a request can run on an artifact: it is ready, and so is its model.
    pub(super) fn answers(&self, artifact: &Artifact) -> bool {
        self.stage(artifact) == Some(Stage::Ready) && (artifact.adapter.is_none() || self.has_base(artifact))
    }

    /// A request begins on an artifact.
    pub(super) fn begin(&mut self, artifact: &Artifact) {
        if let Some(held) = self.copies.get_mut(artifact) {
            held.requests += 1;
        }
    }

    /// A request on an artifact is over.
    pub(super) fn end(&mut self, artifact: &Artifact) {
        if let Some(held) = self.copies.get_mut(artifact) {
            held.requests = held.requests.saturating_sub(1);
        }
    }

    /// Takes an order. One that was seen before gets its first receipt and does nothing.
    pub(super) fn order(&mut self, order: &Order, checks_fences: bool) -> (Receipt, Work) {
        if let Some(receipt) = self.receipts.get(&order.id) {
            return (receipt.clone(), Work::None);
        }
        let (receipt, work) = self.obey(order, checks_fences);
        self.receipts.insert(order.id, receipt.clone());
        if receipt != Receipt::Taken {
            self.finish(order.id, false);
        }
        (receipt, work)
    }

    fn obey(&mut self, order: &Order, checks_fences: bool) -> (Receipt, Work) {
        if checks_fences && order.fence < self.fence {
            return (Receipt::Stale { seen: self.fence }, Work::None);
        }
        self.fence = self.fence.max(order.fence);
        match &order.action {
            Action::Load { artifact, memory_mb } => self.load(order.id, artifact, *memory_mb),
            Action::Unload { artifact } => self.unload(order.id, artifact),
            Action::Role { role } => {
                self.role = *role;
                self.done(order.id)
            }
            Action::Raise => self.done(order.id),
        }
    }

    fn done(&mut self, order: id::Order) -> (Receipt, Work) {
        self.finish(order, true);
        (Receipt::Taken, Work::None)
    }

    fn load(&mut self, order: id::Order, artifact: &Artifact, memory_mb: u64) -> (Receipt, Work) {
        match self.copies.get_mut(artifact) {
            Some(held) if held.stage == Stage::Ready => return self.done(order),
            Some(held) if held.stage == Stage::Loading => {
                held.orders.push(order);
                return (Receipt::Taken, Work::None);
            }
            Some(_) => return (Receipt::Busy, Work::None),
            None => {}
        }
        if artifact.adapter.is_some() && !self.has_base(artifact) {
            return (Receipt::Invalid, Work::None);
        }
        let free_mb = self.free_mb();
        if memory_mb > free_mb {
            return (Receipt::Full { free_mb }, Work::None);
        }
        self.hold(artifact, memory_mb, Stage::Loading, vec![order]);
        (Receipt::Taken, Work::Load { artifact: artifact.clone(), memory_mb })
    }

    fn unload(&mut self, order: id::Order, artifact: &Artifact) -> (Receipt, Work) {
        let Some(held) = self.copies.get(artifact) else { return (Receipt::Invalid, Work::None) };
        if held.requests > 0 || held.stage == Stage::Loading || self.carries(artifact) {
            return (Receipt::Busy, Work::None);
        }
        let Some(held) = self.copies.get_mut(artifact) else { return (Receipt::Invalid, Work::None) };
        held.orders.push(order);
        if held.stage == Stage::Dropping {
            return (Receipt::Taken, Work::None);
        }
        held.stage = Stage::Dropping;
        (Receipt::Taken, Work::Unload { artifact: artifact.clone() })
    }

    /// The weights of an artifact are there, or could not be had.
    pub(super) fn loaded(&mut self, artifact: &Artifact, done: bool) {
        let Some(held) = self.copies.get_mut(artifact) else { return };
        let orders = std::mem::take(&mut held.orders);
        held.stage = Stage::Ready;
        if !done {
            self.copies.remove(artifact);
        }
        for order in orders {
            self.finish(order, done);
        }
    }

    /// The memory of an artifact is free.
    pub(super) fn dropped(&mut self, artifact: &Artifact) {
        let Some(held) = self.copies.remove(artifact) else { return };
        for order in held.orders {
            self.finish(order, true);
        }
    }

    fn hold(&mut self, artifact: &Artifact, memory_mb: u64, stage: Stage, orders: Vec<id::Order>) {
        self.copies.insert(artifact.clone(), Held { memory_mb, stage, requests: 0, orders });
        self.peak_mb = self.peak_mb.max(self.used_mb());
    }

    fn finish(&mut self, order: id::Order, done: bool) {
        if self.ended.len() == ENDED_MAX {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended { order, done });
    }

    fn used_mb(&self) -> u64 {
        self.copies.values().map(|held| held.memory_mb).sum()
    }

    fn free_mb(&self) -> u64 {
        self.size_mb.saturating_sub(self.used_mb())
    }

    fn stage(&self, artifact: &Artifact) -> Option<Stage> {
        self.copies.get(artifact).map(|held| held.stage)
    }

    fn has_base(&self, adapter: &Artifact) -> bool {
        self.bases(&adapter.model).count() > 0
    }

    fn bases<'memory>(&'memory self, model: &'memory str) -> impl Iterator<Item = &'memory Artifact> {
        self.copies
            .iter()
            .filter(move |(held, copy)| {
                held.model == *model && held.adapter.is_none() && copy.stage == Stage::Ready
            })
            .map(|(held, _)| held)
    }

    /// Whether adapters are held that would have no model without this one.
    fn carries(&self, base: &Artifact) -> bool {
        let adapters = self.copies.keys().any(|held| held.model == base.model && held.adapter.is_some());
        let others = self.bases(&base.model).any(|other| other != base);
        base.adapter.is_none() && adapters && !others
    }
}
