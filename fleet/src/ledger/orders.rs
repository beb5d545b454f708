//! Orders to engines: which order is sent next, the handling of answers, and retries.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::{Ledger, publish, recheck, schedule_check};
use crate::effect::{Dispatch, Effect};
use crate::engine::{Incarnation, Phase};
use crate::holdings::{Holdings, Pending, REPORT_LAG};
use crate::order::{Order, Receipt};
use crate::record::Record;
use crate::state::State;

/// Maximum number of retries of an unanswered order. All of them name the same state of the engine, so that
/// only one can take effect.
const RESENDS: u32 = 2;

/// Queues orders for an engine; they are sent one after the other.
pub(crate) fn enqueue(
    state: &mut State,
    now: Time,
    engine: &Name,
    orders: impl IntoIterator<Item = Order>,
    out: &mut Vec<Effect>,
) {
    if let Some(holdings) = state.ledger.holdings.get_mut(engine) {
        holdings.queue.extend(orders);
    }
    send_next(state, now, engine, out);
}

/// Sends the next queued order to an engine, if that is possible now.
pub(crate) fn send_next(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    let Some((term, write_by)) = state.lease.ordering_term(now).zip(state.lease.held_until()) else {
        return;
    };
    let Some(engine) = state.engines.get(id) else {
        return;
    };
    let (service, address) = (engine.entry.service.clone(), engine.entry.address);
    let leaving = engine.is_leaving();
    if engine.health.pause_left(now).is_some() {
        return;
    }
    // The configuration is shared instead of copied: a pool lists each model and adapter, and this function
    // runs for each engine with each plan.
    let config = state.config.clone();
    let Some(pool) = config.as_ref().and_then(|config| config.pool(&service)) else {
        return;
    };
    let cold_left = state.ledger.cold_loads_left(now, pool.loads_per_s, &state.settings);
    let cached = &state.engines[id].entry.cached;
    let Ledger { holdings, late, .. } = &mut state.ledger;
    let Some(holdings) = holdings.get_mut(id) else {
        return;
    };
    if leaving || now < holdings.uncertain_until {
        holdings.queue.clear();
    }
    let (Some(sequence), None) = (holdings.sequence, &holdings.pending) else {
        return;
    };
    let reserve = |holdings: &Holdings, order: &Order| late.reserve(now, id, holdings, Some(order), pool);
    let Some(next) = holdings.next_order(pool, reserve) else {
        return;
    };
    let incarnation = holdings.incarnation;
    if let Order::Load { model } = &next
        && !cached.memory.contains(model)
        && !cached.disk.contains(model)
    {
        if cold_left == 0 {
            return;
        }
        state.ledger.cold.push_back(now);
    }
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    holdings.queue.pop_front();
    holdings.pending = Some(Pending { order: next.clone(), resent: 0 });
    out.push(Effect::Record(Record::Order {
        engine: id.clone(),
        order: next.clone(),
        state: "sent",
        sequence,
    }));
    if let Order::Unload { model } = &next
        && let Some(copy) = holdings.copy_of_mut(model)
    {
        copy.phase = Phase::Closing;
    }
    if let Order::UnloadAdapter { model, adapter } = &next
        && let Some(copy) = holdings.copy_of_mut(model)
    {
        // No entry VM may use the adapter any more; it occupies its place until the engine's next report.
        for held in copy.adapters.iter_mut().filter(|held| held.name == *adapter) {
            held.ready_at = Some(now + REPORT_LAG);
        }
    }
    publish(state, id, out);
    out.push(Effect::Order(Box::new(Dispatch {
        engine: id.clone(),
        incarnation,
        address,
        order: next,
        sequence,
        term,
        write_by,
    })));
}

/// Handles an engine's answer to an order. Without an answer the engine may still have received the order.
pub(crate) fn order_answered(
    state: &mut State,
    now: Time,
    id: &Name,
    incarnation: Incarnation,
    receipt: Option<Receipt>,
    out: &mut Vec<Effect>,
) {
    // The answer also counts while the engine is missing from the list: it may be listed again before its
    // holdings is discarded.
    let entry = state.engines.get(id).map(|engine| &engine.entry);
    let config = state.config.clone();
    let pool = config.as_ref().zip(entry).and_then(|(config, entry)| config.pool(&entry.service));
    let cached = entry.map(|entry| entry.cached.clone()).unwrap_or_default();
    let adapter_ready = state.settings.adapter_ready;
    let Ledger { holdings, late, .. } = &mut state.ledger;
    let Some(holdings) = holdings.get_mut(id).filter(|holdings| holdings.incarnation == incarnation) else {
        return;
    };
    let Some(Pending { order, resent }) = holdings.pending.take() else {
        return;
    };
    let label = match receipt {
        Some(Receipt::Accepted) => "accepted",
        Some(Receipt::Completed) => "holds",
        Some(Receipt::Conflict) => "conflict",
        Some(Receipt::Refused) => "refused",
        None => "unanswered",
    };
    let sequence = holdings.sequence.unwrap_or_default();
    out.push(Effect::Record(Record::Order {
        engine: id.clone(),
        order: order.clone(),
        state: label,
        sequence,
    }));
    if receipt.is_none() {
        // The order may be carried out long after the one that is sent in its place.
        late.remember(now, id, &order, holdings);
    }
    match receipt {
        // The adapter is in use; the engine drops it once its runs have ended.
        Some(Receipt::Accepted) if matches!(order, Order::UnloadAdapter { .. }) => recheck(holdings, now),
        Some(Receipt::Accepted) => {
            let expected = order.duration(pool, &cached);
            holdings.apply_order(now, &order, expected, adapter_ready);
        }
        Some(Receipt::Completed) => match &order {
            // The unload takes effect at once, and the engine counts it as accepted.
            Order::UnloadAdapter { .. } => holdings.apply_order(now, &order, Duration::ZERO, adapter_ready),
            Order::LoadAdapter { model, adapter } => holdings.add_adapter(model, adapter),
            Order::Load { .. } | Order::Unload { .. } => recheck(holdings, now),
        },
        None if resent < RESENDS => {
            holdings.pending = Some(Pending { order, resent: resent + 1 });
            resend(state, now, id, out);
            return;
        }
        Some(Receipt::Conflict | Receipt::Refused) | None => recheck(holdings, now),
    }
    schedule_check(state, now, id);
    publish(state, id, out);
    send_next(state, now, id, out);
}

/// Sends the unanswered order again.
fn resend(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    let engine = state.engines.get(id).filter(|engine| engine.health.pause_left(now).is_none());
    let term = state.lease.ordering_term(now).zip(state.lease.held_until());
    let (Some((term, write_by)), Some(engine)) = (term, engine) else {
        if let Some(holdings) = state.ledger.holdings.get_mut(id) {
            holdings.pending = None;
            recheck(holdings, now);
        }
        return;
    };
    let address = engine.entry.address;
    let Some(holdings) = state.ledger.holdings.get(id) else {
        return;
    };
    if let (Some(pending), Some(sequence)) = (&holdings.pending, holdings.sequence) {
        let order = pending.order.clone();
        let incarnation = holdings.incarnation;
        out.push(Effect::Order(Box::new(Dispatch {
            engine: id.clone(),
            incarnation,
            address,
            order,
            sequence,
            term,
            write_by,
        })));
    }
}
