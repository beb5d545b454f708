//! One engine's book: what it holds, what is on its way, and what may be ordered next.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::config::Pool;
use crate::engine::{Copy, Entry, Held, Incarnation, Phase, Residency};
use crate::order::Order;

/// Reports are some hundred ms old: time after which one tells of what happened before it was asked for.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(250);
/// Orders that wait for one engine, at most.
const QUEUE_MAX: usize = 6;
/// Adapters that an engine fetches at the same time.
const FETCHES_MAX: usize = 4;

/// One engine's book.
#[derive(Debug, Default)]
pub(crate) struct Book {
    /// The start of the engine that it is about.
    pub(crate) incarnation: Incarnation,
    /// Orders accepted; none while that is not known.
    pub(crate) sequence: Option<u64>,
    pub(crate) copies: Vec<Kept>,
    pub(crate) pending: Option<Pending>,
    pub(crate) queue: VecDeque<Order>,
    pub(crate) check_at: Option<Time>,
    /// When the timer fires that is set for what is due.
    pub(crate) wakes_at: Option<Time>,
    pub(crate) reporting: bool,
    pub(crate) changed: u64,
}

/// An order on its way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) order: Order,
    /// Times it was sent before.
    pub(crate) resent: u32,
}

/// How long after it was sent an order that was not answered may be carried out. The platform says that this can be
/// seconds, and names no bound; this is a guess on the safe side.
const LATE_MAX: Duration = Duration::from_secs(15);

/// A load that was not answered. An engine that starts again under its id begins to count its orders anew, and may
/// take a load that was meant for its earlier start once it has accepted as many.
#[derive(Clone, Debug)]
pub(crate) struct Late {
    pub(crate) order: Order,
    /// Orders that the engine had to have accepted before.
    sequence: u64,
    /// The start of the engine that it was meant for.
    incarnation: Incarnation,
    /// When it is dead for certain.
    pub(crate) until: Time,
}

impl Late {
    pub(crate) fn new(now: Time, order: Order, sequence: u64, incarnation: Incarnation) -> Self {
        Self { order, sequence, incarnation, until: now + LATE_MAX }
    }

    /// Whether the engine could take this load as well after `order`, and would then hold more than it can.
    pub(crate) fn overfills(&self, book: &Book, order: &Order, pool: &Pool) -> bool {
        let follows = book.sequence.is_some_and(|sequence| sequence + 1 == self.sequence);
        if self.incarnation == book.incarnation || !follows {
            return false;
        }
        let both = [order, &self.order];
        let memory_mb: f64 = both.into_iter().map(|order| order.memory_mb(pool)).sum();
        let adapters = both.into_iter().filter(|order| matches!(order, Order::LoadAdapter { .. })).count();
        book.memory_mb(pool) + memory_mb > pool.memory_mb
            || book.adapters().count() + adapters > pool.adapters_max as usize
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub(crate) model: Name,
    pub(crate) phase: Phase,
    /// When it was seen to become ready; long ago where that was not seen.
    pub(crate) since: Time,
    pub(crate) adapters: Vec<Fetched>,
}

#[derive(Clone, Debug)]
pub(crate) struct Fetched {
    pub(crate) name: Name,
    /// When it counts as loaded, if that is not yet so.
    pub(crate) ready_at: Option<Time>,
}

impl Book {
    pub(crate) fn new(entry: &Entry, fresh: bool, now: Time) -> Self {
        let sequence = fresh.then_some(0);
        let check_at = sequence.is_none().then_some(now);
        let mut book = Self { incarnation: entry.incarnation, sequence, check_at, ..Self::default() };
        book.adopt(&entry.held);
        book
    }

    /// The book of an engine that has just started again: what it has accepted since is to be asked.
    pub(crate) fn restarted(incarnation: Incarnation, now: Time) -> Self {
        Self { incarnation, check_at: Some(now), ..Self::default() }
    }

    /// Whether it says what the engine holds. A new leader's book begins with the engine's entry, which names no adapters
    /// that came since, and is nobody's last word until the engine has been asked.
    pub(crate) fn known(&self) -> bool {
        self.sequence.is_some() || self.changed > 0
    }

    /// Whether another order may be decided on: the engine carries out nothing that takes long.
    pub(crate) fn idle(&self) -> bool {
        self.sequence.is_some() && self.pending.is_none() && self.queue.is_empty() && !self.moving()
    }

    /// Whether a model is being loaded or dropped.
    pub(crate) fn moving(&self) -> bool {
        self.copies.iter().any(|copy| copy.phase != Phase::Ready)
    }

    /// When adapters on their way are there, and when the engine is to be asked, in no order.
    pub(crate) fn due(&self) -> impl Iterator<Item = Time> {
        let ready = self.copies.iter().flat_map(|copy| &copy.adapters).filter_map(|held| held.ready_at);
        ready.chain(self.check_at)
    }

    /// The models, with how far each is.
    pub(crate) fn copies(&self) -> impl Iterator<Item = (&Name, Phase)> {
        self.copies.iter().map(|copy| (&copy.model, copy.phase))
    }

    /// Whether an adapter is there or on its way, by the book and what is still to be ordered.
    pub(crate) fn expects(&self, model: &Name, adapter: &Name) -> bool {
        let loads = |order: &Order| matches!(order, Order::LoadAdapter { model: of, adapter: name } if of == model && name == adapter);
        self.kept(model).is_some_and(|copy| copy.adapters.iter().any(|held| held.name == *adapter))
            || self.decided().any(loads)
    }

    /// Orders that are to be sent, and the one on its way.
    fn decided(&self) -> impl Iterator<Item = &Order> {
        self.queue.iter().chain(self.pending.iter().map(|pending| &pending.order))
    }

    /// Models that have been ready for less than a time.
    pub(crate) fn younger(&self, now: Time, age: impl Fn(&Name) -> Duration) -> impl Iterator<Item = &Name> {
        let young = move |copy: &&Kept| now.since(copy.since) < age(&copy.model);
        self.copies.iter().filter(young).map(|copy| &copy.model)
    }

    /// The models that will be there or are on their way out, with how far each is. A load that is decided on and
    /// waits for its room counts as begun.
    pub(crate) fn copies_expected(&self) -> impl Iterator<Item = (&Name, Phase)> {
        let loads = self.decided().filter_map(|order| match order {
            Order::Load { model } => Some((model, Phase::Loading)),
            Order::Unload { .. } | Order::LoadAdapter { .. } | Order::UnloadAdapter { .. } => None,
        });
        self.copies().chain(loads)
    }

    /// Adapters that are there or on their way, with their models.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.copies.iter().flat_map(|copy| copy.adapters.iter().map(move |held| (&copy.model, &held.name)))
    }

    /// Places for adapters that will be taken once all that is decided on has been done.
    pub(crate) fn adapters_expected(&self) -> usize {
        let mut places = self.adapters().count();
        for order in self.decided() {
            match order {
                Order::LoadAdapter { .. } => places += 1,
                Order::UnloadAdapter { .. } => places = places.saturating_sub(1),
                Order::Load { .. } | Order::Unload { .. } => {}
            }
        }
        places
    }

    /// Whether the adapter is to be dropped already.
    pub(crate) fn drops(&self, model: &Name, adapter: &Name) -> bool {
        self.decided().any(|order| {
            matches!(order, Order::UnloadAdapter { model: of, adapter: name } if of == model && name == adapter)
        })
    }

    /// Whether orders for adapters can be decided on: an engine refuses them while it loads or drops a model.
    pub(crate) fn takes_adapters(&self, orders: usize) -> bool {
        let models = |order: &Order| matches!(order, Order::Load { .. } | Order::Unload { .. });
        self.sequence.is_some()
            && !self.moving()
            && self.queue.len() + orders <= QUEUE_MAX
            && !self.queue.iter().any(models)
            && !self.pending.as_ref().is_some_and(|pending| models(&pending.order))
    }

    pub(crate) fn kept(&self, model: &Name) -> Option<&Kept> {
        self.copies.iter().find(|copy| copy.model == *model)
    }

    pub(crate) fn kept_mut(&mut self, model: &Name) -> Option<&mut Kept> {
        self.copies.iter_mut().find(|copy| copy.model == *model)
    }

    pub(crate) fn residency(&self) -> Residency {
        let copy = |kept: &Kept| Copy {
            model: kept.model.clone(),
            phase: kept.phase,
            adapters: kept
                .adapters
                .iter()
                .filter(|held| held.ready_at.is_none())
                .map(|held| held.name.clone())
                .collect(),
        };
        Residency { copies: self.copies.iter().map(copy).collect() }
    }

    /// Takes over what the engine says that it holds.
    pub(crate) fn adopt(&mut self, held: &[Held]) {
        let fetched = |name: &Name| Fetched { name: name.clone(), ready_at: None };
        let since = |model: &Name| self.kept(model).map_or(Time::default(), |copy| copy.since);
        let kept = |held: &Held| Kept {
            model: held.model.clone(),
            phase: Phase::Ready,
            since: since(&held.model),
            adapters: held.adapters.iter().map(fetched).collect(),
        };
        self.copies = held.iter().map(kept).collect();
    }

    /// Memory that all copies and adapters take, in MB.
    pub(crate) fn memory_mb(&self, pool: &Pool) -> f64 {
        let size = |copy: &Kept| {
            let model = pool.model(&copy.model);
            // What the configuration no longer names still takes memory: as much as anything may.
            let weights = model.map_or(pool.memory_mb, |model| model.memory_mb);
            let adapter = model.map_or(0.0, |model| model.adapter_mb);
            adapter.mul_add(copy.adapters.len() as f64, weights)
        };
        self.copies.iter().map(size).sum()
    }

    /// Whether an order can be sent now without overfilling the engine.
    pub(crate) fn permits(&self, order: &Order, pool: &Pool) -> bool {
        let free = pool.memory_mb - self.memory_mb(pool);
        match order {
            Order::Load { model } => {
                !self.moving()
                    && self.kept(model).is_none()
                    && pool.model(model).is_some_and(|model| model.memory_mb <= free)
            }
            Order::Unload { model } => !self.moving() && self.kept(model).is_some(),
            Order::LoadAdapter { model, .. } => {
                let ready = self.kept(model).is_some_and(|copy| copy.phase == Phase::Ready);
                let held: usize = self.copies.iter().map(|copy| copy.adapters.len()).sum();
                ready
                    && !self.moving()
                    && held < pool.adapters_max as usize
                    && self.fetching() < FETCHES_MAX
                    && pool.model(model).is_some_and(|model| model.adapter_mb <= free)
            }
            Order::UnloadAdapter { model, adapter } => {
                !self.moving()
                    && self
                        .kept(model)
                        .is_some_and(|copy| copy.adapters.iter().any(|held| held.name == *adapter))
            }
        }
    }

    /// The next order that can be sent now. Those that make no sense any more are dropped; one that only has to wait for what
    /// the engine is doing holds the rest up.
    pub(crate) fn next(&mut self, pool: &Pool, late: &[Late]) -> Option<Order> {
        while let Some(next) = self.queue.front() {
            if self.permits(next, pool) && !late.iter().any(|late| late.overfills(self, next, pool)) {
                return Some(next.clone());
            }
            let fetches = matches!(next, Order::LoadAdapter { .. }) && self.fetching() >= FETCHES_MAX;
            if self.moving() || fetches {
                return None;
            }
            self.queue.pop_front();
        }
        None
    }

    /// Adapters on their way to the engine.
    fn fetching(&self) -> usize {
        let adapters = self.copies.iter().flat_map(|copy| &copy.adapters);
        adapters.filter(|adapter| adapter.ready_at.is_some()).count()
    }

    /// An adapter is there, whoever ordered it.
    pub(crate) fn holds(&mut self, model: &Name, adapter: &Name) {
        if let Some(copy) = self.kept_mut(model)
            && !copy.adapters.iter().any(|held| held.name == *adapter)
        {
            copy.adapters.push(Fetched { name: adapter.clone(), ready_at: None });
        }
    }

    /// The engine accepted an order: a model is expected to be loaded in this time, an adapter in that.
    pub(crate) fn accepted(&mut self, now: Time, order: &Order, expected: Duration, adapter_ready: Duration) {
        self.sequence = self.sequence.map(|sequence| sequence + 1);
        match order {
            Order::Load { model } => {
                self.copies.push(Kept {
                    model: model.clone(),
                    phase: Phase::Loading,
                    since: Time::default(),
                    adapters: Vec::new(),
                });
                self.check_at = Some(now + expected + REPORT_LAG);
            }
            Order::Unload { model } => {
                if let Some(copy) = self.kept_mut(model) {
                    copy.phase = Phase::Closing;
                }
                self.check_at = Some(now + REPORT_LAG);
            }
            Order::LoadAdapter { model, adapter } => {
                let ready_at = Some(now + adapter_ready);
                if let Some(copy) = self.kept_mut(model) {
                    copy.adapters.push(Fetched { name: adapter.clone(), ready_at });
                }
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(copy) = self.kept_mut(model) {
                    copy.adapters.retain(|held| held.name != *adapter);
                }
            }
        }
    }
}
