//! Fakes of backend servers, without I/O.

use std::collections::BTreeMap;

use boragecove_core::artifact::Artifact;
use boragecove_core::attempt::{Destination, Failure, Refusal, Resume, Send};
use boragecove_core::engine::{Action, Copy, Ended, Fence, Order, Receipt, Report, Role, Stage};
use boragecove_core::id::{self, Incarnation};
use boragecove_core::vm::Vm;

use super::scene::MEMORY_MB;

/// A model engine or a server of a plain service.
#[derive(Debug)]
pub struct Backend {
    pub vm: Vm,
    pub incarnation: Incarnation,
    pub up: bool,
    /// Whether it refuses requests because it is shutting down.
    pub drains: bool,
    /// Whether it refuses orders with old fencing numbers.
    pub checks: bool,
    pub copies: Vec<Copy>,
    /// Running attempts with their artifacts.
    pub running: BTreeMap<id::Attempt, Option<Artifact>>,
    /// Attempts that it can resume.
    pub known: Vec<id::Attempt>,
    pub cache: u64,
    fence: Fence,
    seq: u64,
    receipts: Vec<(id::Order, Receipt)>,
    ended: Vec<Ended>,
    role: Role,
}

impl Backend {
    pub fn new(vm: Vm, incarnation: u64, checks: bool) -> Self {
        Self {
            vm,
            incarnation: Incarnation(incarnation),
            up: true,
            drains: false,
            checks,
            copies: Vec::new(),
            running: BTreeMap::new(),
            known: Vec::new(),
            cache: 0,
            fence: Fence(0),
            seq: 0,
            receipts: Vec::new(),
            ended: Vec::new(),
            role: Role::Both,
        }
    }

    /// Accepts an attempt to run or resume it, or refuses it.
    pub fn admit(&mut self, send: &Send) -> Result<(), Failure> {
        let artifact = match &send.destination {
            Destination::Engine(artifact) => Some(artifact),
            _ => None,
        };
        if !self.up {
            return Err(Failure::Connect);
        }
        match send.resume {
            _ if self.drains => return Err(Failure::Refused(Refusal::Leaving)),
            _ if artifact.is_some_and(|artifact| !self.is_ready(artifact)) => {
                return Err(Failure::Refused(Refusal::NotLoaded));
            }
            Resume::Same { of, .. } if !self.known.contains(&of) => return Err(Failure::Forgotten),
            _ => {}
        }
        self.running.insert(send.attempt, artifact.cloned());
        self.known.push(send.attempt);
        self.cache += 1;
        Ok(())
    }

    pub fn is_ready(&self, artifact: &Artifact) -> bool {
        self.copies.iter().any(|copy| copy.artifact == *artifact && copy.stage == Stage::Ready)
    }

    /// Memory of the copies that are loaded or being loaded, in MB.
    pub fn taken(&self) -> u64 {
        self.copies.iter().map(|copy| copy.memory_mb).sum()
    }

    /// Handles an order. A load is never refused for lack of memory, so that only the sender prevents
    /// overcommitment and a check can detect a failure to do so.
    pub fn order(&mut self, order: &Order) -> Receipt {
        if let Some((_, receipt)) = self.receipts.iter().find(|(id, _)| *id == order.id) {
            return receipt.clone();
        }
        let receipt = self.take(order);
        self.receipts.push((order.id, receipt.clone()));
        receipt
    }

    fn take(&mut self, order: &Order) -> Receipt {
        if order.meant_for != self.incarnation {
            return Receipt::Restarted;
        }
        if self.checks && order.fence < self.fence {
            return Receipt::Stale { seen: self.fence };
        }
        self.fence = self.fence.max(order.fence);
        match &order.action {
            Action::Load { artifact, memory_mb } => {
                if !self.copies.iter().any(|copy| copy.artifact == *artifact) {
                    let (artifact, memory_mb) = (artifact.clone(), *memory_mb);
                    self.copies.push(Copy { artifact, memory_mb, stage: Stage::Loading, requests: 0 });
                }
                return Receipt::Taken;
            }
            Action::Unload { artifact } => {
                if self.running.values().flatten().any(|used| used == artifact) {
                    return Receipt::Busy;
                }
                if !self.copies.iter().any(|copy| copy.artifact == *artifact) {
                    return Receipt::Invalid;
                }
                self.copies.retain(|copy| copy.artifact != *artifact);
            }
            Action::Role { role } => self.role = *role,
            Action::Raise => {}
        }
        self.ended.push(Ended { order: order.id, done: true });
        Receipt::Taken
    }

    /// Completes a load.
    pub fn loaded(&mut self, order: &Order) {
        let Action::Load { artifact, .. } = &order.action else {
            return;
        };
        if let Some(copy) = self.copies.iter_mut().find(|copy| copy.artifact == *artifact) {
            copy.stage = Stage::Ready;
        }
        if !self.ended.iter().any(|ended| ended.order == order.id) {
            self.ended.push(Ended { order: order.id, done: true });
        }
    }

    pub fn report(&mut self) -> Report {
        self.seq += 1;
        let requests = |artifact: &Artifact| {
            self.running.values().flatten().filter(|used| *used == artifact).count() as u32
        };
        let copies =
            self.copies.iter().map(|copy| Copy { requests: requests(&copy.artifact), ..copy.clone() });
        Report {
            engine: self.vm.name.clone(),
            incarnation: self.incarnation,
            seq: self.seq,
            fence: self.fence,
            role: self.role,
            memory_mb: MEMORY_MB,
            running: self.running.len() as u32,
            waiting: 0,
            tokens_per_second: 0,
            copies: copies.collect(),
            ended: self.ended.iter().rev().take(64).rev().copied().collect(),
            draining: self.drains,
        }
    }

    /// Restarts without any copies.
    pub fn restart(&mut self, incarnation: u64) {
        *self = Self::new(self.vm.clone(), incarnation, self.checks);
    }
}
