//! Holdings of one engine: its copies of models and adapters, the order under way and the queued orders.

use std::collections::VecDeque;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::config::Pool;
use crate::engine::{Copy, Entry, Held, Incarnation, Phase, Residency};
use crate::ledger::Reserve;
use crate::order::Order;

/// Maximum age of the data in a report: a report that is requested this long after an event reflects the event.
pub(crate) const REPORT_LAG: Duration = Duration::from_millis(250);
/// Maximum number of queued orders of one engine.
const QUEUE_MAX: usize = 6;
/// Maximum number of adapters that an engine loads at the same time.
const ADAPTER_LOADS_MAX: usize = 4;

/// Holdings of one engine.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    /// Incarnation of the engine that the holdings describe.
    pub(crate) incarnation: Incarnation,
    /// Number of orders that the engine has accepted; none while it is not known.
    pub(crate) sequence: Option<u64>,
    pub(crate) copies: Vec<ModelCopy>,
    pub(crate) pending: Option<Pending>,
    pub(crate) queue: VecDeque<Order>,
    /// Time until which no order may be sent, since unknown orders to an earlier start may still arrive.
    pub(crate) uncertain_until: Time,
    pub(crate) ask_at: Option<Time>,
    /// Time of the earliest timer that is set for this engine.
    pub(crate) timer_at: Option<Time>,
    pub(crate) report_pending: bool,
    pub(crate) changed_version: u64,
}

/// The order under way.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) order: Order,
    /// Number of times it was sent before.
    pub(crate) resent: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelCopy {
    pub(crate) model: Name,
    pub(crate) phase: Phase,
    /// Time at which it became ready; the zero time if that was not observed.
    pub(crate) since: Time,
    pub(crate) adapters: Vec<AdapterCopy>,
}

#[derive(Clone, Debug)]
pub(crate) struct AdapterCopy {
    pub(crate) name: Name,
    /// Time at which it counts as loaded; none once it does.
    pub(crate) ready_at: Option<Time>,
}

impl Holdings {
    pub(crate) fn new(entry: &Entry, fresh: bool, now: Time) -> Self {
        let sequence = fresh.then_some(0);
        let ask_at = sequence.is_none().then_some(now);
        let mut holdings = Self { incarnation: entry.incarnation, sequence, ask_at, ..Self::default() };
        holdings.adopt(&entry.held);
        holdings
    }

    /// Holdings of an engine that has just restarted; a report is due to learn which orders it has accepted
    /// since.
    pub(crate) fn restarted(incarnation: Incarnation, now: Time) -> Self {
        Self { incarnation, ask_at: Some(now), ..Self::default() }
    }

    /// Whether the holdings are valid. A new hub fills them from the engine's entry, which omits adapters that
    /// were loaded since; they are not valid until the engine has sent a report.
    pub(crate) fn is_known(&self) -> bool {
        self.sequence.is_some() || self.changed_version > 0
    }

    /// Whether another order may be decided on: none is queued or under way, and no model is being loaded or
    /// dropped.
    pub(crate) fn idle(&self, now: Time) -> bool {
        self.sequence.is_some()
            && self.uncertain_until <= now
            && self.pending.is_none()
            && self.queue.is_empty()
            && !self.is_switching_models()
    }

    /// Whether a model is being loaded or dropped.
    pub(crate) fn is_switching_models(&self) -> bool {
        self.copies.iter().any(|copy| copy.phase != Phase::Ready)
    }

    /// Times at which loading adapters become ready and at which the engine is to be asked for a report, in no
    /// order.
    pub(crate) fn due_times(&self) -> impl Iterator<Item = Time> {
        let ready = self.copies.iter().flat_map(|copy| &copy.adapters).filter_map(|held| held.ready_at);
        ready.chain(self.ask_at)
    }

    /// Models with the phase of each copy.
    pub(crate) fn copies(&self) -> impl Iterator<Item = (&Name, Phase)> {
        self.copies.iter().map(|copy| (&copy.model, copy.phase))
    }

    /// Whether an adapter is loaded, loading or to be loaded by a queued order.
    pub(crate) fn expects_adapter(&self, model: &Name, adapter: &Name) -> bool {
        let loads = |order: &Order| matches!(order, Order::LoadAdapter { model: of, adapter: name } if of == model && name == adapter);
        self.copy_of(model).is_some_and(|copy| copy.adapters.iter().any(|held| held.name == *adapter))
            || self.queued_and_pending().any(loads)
    }

    /// The queued orders, and the one under way.
    fn queued_and_pending(&self) -> impl Iterator<Item = &Order> {
        self.queue.iter().chain(self.pending.iter().map(|pending| &pending.order))
    }

    /// Models whose copies became ready less than `age` of the model ago.
    pub(crate) fn ready_for_less_than(
        &self,
        now: Time,
        age: impl Fn(&Name) -> Duration,
    ) -> impl Iterator<Item = &Name> {
        let young = move |copy: &&ModelCopy| now.since(copy.since) < age(&copy.model);
        self.copies.iter().filter(young).map(|copy| &copy.model)
    }

    /// Models whose copies are present or expected, with their phases. A queued load that waits for room counts
    /// as loading.
    pub(crate) fn copies_expected(&self) -> impl Iterator<Item = (&Name, Phase)> {
        let loads = self.queued_and_pending().filter_map(|order| match order {
            Order::Load { model } => Some((model, Phase::Loading)),
            Order::Unload { .. } | Order::LoadAdapter { .. } | Order::UnloadAdapter { .. } => None,
        });
        self.copies().chain(loads)
    }

    /// Adapters that are loaded or loading, each with its model.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = (&Name, &Name)> {
        self.copies.iter().flat_map(|copy| copy.adapters.iter().map(move |held| (&copy.model, &held.name)))
    }

    /// Number of adapter places in use once all queued orders and the one under way are done.
    pub(crate) fn adapters_expected(&self) -> usize {
        let mut places = self.adapters().count();
        for order in self.queued_and_pending() {
            match order {
                Order::LoadAdapter { .. } => places += 1,
                Order::UnloadAdapter { .. } => places = places.saturating_sub(1),
                Order::Load { .. } | Order::Unload { .. } => {}
            }
        }
        places
    }

    /// Whether an order to unload the adapter is queued or under way.
    pub(crate) fn drops_adapter(&self, model: &Name, adapter: &Name) -> bool {
        self.queued_and_pending().any(|order| {
            matches!(order, Order::UnloadAdapter { model: of, adapter: name } if of == model && name == adapter)
        })
    }

    /// Whether `orders` more adapter orders can be queued: an engine refuses them while it loads or drops a
    /// model.
    pub(crate) fn accepts_adapter_orders(&self, now: Time, orders: usize) -> bool {
        let models = |order: &Order| matches!(order, Order::Load { .. } | Order::Unload { .. });
        self.sequence.is_some()
            && self.uncertain_until <= now
            && !self.is_switching_models()
            && self.queue.len() + orders <= QUEUE_MAX
            && !self.queue.iter().any(models)
            && !self.pending.as_ref().is_some_and(|pending| models(&pending.order))
    }

    pub(crate) fn copy_of(&self, model: &Name) -> Option<&ModelCopy> {
        self.copies.iter().find(|copy| copy.model == *model)
    }

    pub(crate) fn copy_of_mut(&mut self, model: &Name) -> Option<&mut ModelCopy> {
        self.copies.iter_mut().find(|copy| copy.model == *model)
    }

    pub(crate) fn residency(&self) -> Residency {
        let copy = |kept: &ModelCopy| Copy {
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

    /// Replaces the copies by those that the engine has reported.
    pub(crate) fn adopt(&mut self, held: &[Held]) {
        let fetched = |name: &Name| AdapterCopy { name: name.clone(), ready_at: None };
        let since = |model: &Name| self.copy_of(model).map_or(Time::default(), |copy| copy.since);
        let kept = |held: &Held| ModelCopy {
            model: held.model.clone(),
            phase: Phase::Ready,
            since: since(&held.model),
            adapters: held.adapters.iter().map(fetched).collect(),
        };
        self.copies = held.iter().map(kept).collect();
    }

    /// Memory in use by all copies and adapters, in MB.
    pub(crate) fn memory_mb(&self, pool: &Pool) -> f64 {
        self.copies.iter().map(|copy| copy_memory_mb(copy, pool)).sum()
    }

    /// Whether the engine would hold what `load` loads once it has carried out `order` as well.
    pub(crate) fn would_hold(&self, load: &Order, order: Option<&Order>) -> bool {
        let holds = |model: &Name, adapter: Option<&Name>| {
            let copy = self.copy_of(model);
            copy.is_some_and(|copy| {
                adapter.is_none_or(|name| copy.adapters.iter().any(|held| held.name == *name))
            })
        };
        match (load, order) {
            _ if order == Some(load) => true,
            (Order::Load { model }, Some(Order::Unload { model: dropped })) if model == dropped => false,
            (Order::LoadAdapter { model, .. }, Some(Order::Unload { model: dropped }))
                if model == dropped =>
            {
                false
            }
            (Order::LoadAdapter { adapter, .. }, Some(Order::UnloadAdapter { adapter: dropped, .. }))
                if adapter == dropped =>
            {
                false
            }
            (Order::Load { model }, _) => holds(model, None),
            (Order::LoadAdapter { model, adapter }, _) => holds(model, Some(adapter)),
            (Order::Unload { .. } | Order::UnloadAdapter { .. }, _) => true,
        }
    }

    /// Whether an order can be sent now without exceeding the limits of the engine, if so much room is kept.
    pub(crate) fn permits(&self, order: &Order, pool: &Pool, reserve: Reserve) -> bool {
        let free = pool.memory_mb - self.memory_mb(pool) - reserve.memory_mb;
        let places = (pool.adapters_max as usize).checked_sub(self.adapters().count() + reserve.adapters);
        // An engine that holds too much already may always drop something if no late order is expected.
        let keeps_reserve =
            |freed_mb: f64| reserve == Reserve::default() || (free + freed_mb >= 0.0 && places.is_some());
        match order {
            Order::Load { model } => {
                !self.is_switching_models()
                    && self.copy_of(model).is_none()
                    && places.is_some()
                    && pool.model(model).is_some_and(|model| model.memory_mb <= free)
            }
            Order::Unload { model } => {
                let copy = self.copy_of(model).filter(|_| !self.is_switching_models());
                // The engine carries out no other order until the model is dropped.
                copy.is_some_and(|copy| keeps_reserve(copy_memory_mb(copy, pool)))
            }
            Order::LoadAdapter { model, .. } => {
                let ready = self.copy_of(model).is_some_and(|copy| copy.phase == Phase::Ready);
                ready
                    && !self.is_switching_models()
                    && places.is_some_and(|places| places > 0)
                    && self.loading_adapters() < ADAPTER_LOADS_MAX
                    && pool.model(model).is_some_and(|model| model.adapter_mb <= free)
            }
            Order::UnloadAdapter { model, adapter } => {
                // The adapter keeps its room until its runs have ended.
                !self.is_switching_models()
                    && keeps_reserve(0.0)
                    && self
                        .copy_of(model)
                        .is_some_and(|copy| copy.adapters.iter().any(|held| held.name == *adapter))
            }
        }
    }

    /// Returns the next order that can be sent now, if `reserve` says how much room to leave after an order. Orders
    /// that have become pointless are removed; an order that only has to wait for the engine's current operation
    /// blocks those behind it.
    pub(crate) fn next_order(
        &mut self,
        pool: &Pool,
        reserve: impl Fn(&Self, &Order) -> Reserve,
    ) -> Option<Order> {
        while let Some(next) = self.queue.front() {
            if self.permits(next, pool, reserve(self, next)) {
                return Some(next.clone());
            }
            let fetches =
                matches!(next, Order::LoadAdapter { .. }) && self.loading_adapters() >= ADAPTER_LOADS_MAX;
            if self.is_switching_models() || fetches {
                return None;
            }
            self.queue.pop_front();
        }
        None
    }

    /// Number of adapters that the engine is loading.
    fn loading_adapters(&self) -> usize {
        let adapters = self.copies.iter().flat_map(|copy| &copy.adapters);
        adapters.filter(|adapter| adapter.ready_at.is_some()).count()
    }

    /// Adds an adapter that the engine already holds, regardless of which order loaded it.
    pub(crate) fn add_adapter(&mut self, model: &Name, adapter: &Name) {
        if let Some(copy) = self.copy_of_mut(model)
            && !copy.adapters.iter().any(|held| held.name == *adapter)
        {
            copy.adapters.push(AdapterCopy { name: adapter.clone(), ready_at: None });
        }
    }

    /// Applies an order that the engine has accepted. `expected` and `adapter_ready` are the expected load
    /// times of a model and of an adapter.
    pub(crate) fn apply_order(
        &mut self,
        now: Time,
        order: &Order,
        expected: Duration,
        adapter_ready: Duration,
    ) {
        self.sequence = self.sequence.map(|sequence| sequence.saturating_add(1));
        match order {
            Order::Load { model } => {
                self.copies.push(ModelCopy {
                    model: model.clone(),
                    phase: Phase::Loading,
                    since: Time::default(),
                    adapters: Vec::new(),
                });
                self.ask_at = Some(now + expected + REPORT_LAG);
            }
            Order::Unload { model } => {
                if let Some(copy) = self.copy_of_mut(model) {
                    copy.phase = Phase::Closing;
                }
                self.ask_at = Some(now + REPORT_LAG);
            }
            Order::LoadAdapter { model, adapter } => {
                let ready_at = Some(now + adapter_ready);
                if let Some(copy) = self.copy_of_mut(model) {
                    copy.adapters.push(AdapterCopy { name: adapter.clone(), ready_at });
                }
            }
            Order::UnloadAdapter { model, adapter } => {
                if let Some(copy) = self.copy_of_mut(model) {
                    copy.adapters.retain(|held| held.name != *adapter);
                }
            }
        }
    }
}

/// Memory in use by a copy with its adapters, in MB.
fn copy_memory_mb(copy: &ModelCopy, pool: &Pool) -> f64 {
    let model = pool.model(&copy.model);
    // A model that the configuration no longer lists still takes memory; the whole memory of the engine is assumed.
    let weights = model.map_or(pool.memory_mb, |model| model.memory_mb);
    let adapter = model.map_or(0.0, |model| model.adapter_mb);
    adapter.mul_add(copy.adapters.len() as f64, weights)
}
