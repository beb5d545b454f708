//! Holdings of each engine, and the orders that change them, as tracked by the hub.
//!
//! An engine may carry out an order without answering it, and late. Each order therefore contains the number of
//! orders that the engine has accepted before. A delayed order becomes invalid as soon as the engine accepts
//! another one, and of two orders that were decided on the same state only one can take effect.

mod late;
mod orders;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_core::timer::Timers;

pub use late::Starts;
pub(crate) use late::{Late, Reserve};
pub(crate) use orders::{enqueue, order_answered, send_next};

use crate::effect::Effect;
use crate::engine::{Cached, Engine, Incarnation, Phase};
use crate::flow;
use crate::frame::{Absent, Resident};
use crate::holdings::{AdapterCopy, Holdings, REPORT_LAG};
use crate::order::{Order, Report};
use crate::record::{Record, ms};
use crate::settings::Settings;
use crate::state::State;
use crate::timer::Timer;

/// Time between two reports that are requested while an order takes longer than expected.
const REPORT_RETRY: Duration = Duration::from_millis(200);
/// Loads from the weight store that are reserved for models without any copy.
const COLD_RESERVE: usize = 2;

/// Holdings of all engines.
#[derive(Debug, Default)]
pub struct Ledger {
    holdings: BTreeMap<Name, Holdings>,
    /// Load orders that may still be carried out after a restart of their engine.
    pub(crate) late: Late,
    /// Version number, incremented with each change of an engine's holdings.
    version: u64,
    /// Times at which loads from the weight store were ordered within the rate window.
    cold: VecDeque<Time>,
    /// Whether this is the first lease ever, so that no engine has accepted an order before.
    fresh: bool,
}

impl Ledger {
    /// Discards all holdings, for a lease that was just taken. `fresh`: no machine has sent orders before.
    pub(crate) fn begin(&mut self, now: Time, term: u64, fresh: bool) {
        self.late.begin(now, term, fresh);
        for (engine, holdings) in std::mem::take(&mut self.holdings) {
            self.forget(now, &engine, &holdings);
        }
        self.cold.clear();
        self.fresh = fresh;
    }

    /// Version number of the holdings.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Remembers the order under way at an engine whose holdings are discarded: its answer will be ignored.
    fn forget(&mut self, now: Time, engine: &Name, holdings: &Holdings) {
        if let Some(pending) = &holdings.pending {
            self.late.remember(now, engine, &pending.order, holdings);
        }
    }

    /// Removes the holdings of engines that are not listed any more.
    fn retain_listed(&mut self, now: Time, is_listed: impl Fn(&Name) -> bool) {
        let removed: Vec<_> = self.holdings.extract_if(.., |id, _| !is_listed(id)).collect();
        for (engine, holdings) in removed {
            self.forget(now, &engine, &holdings);
        }
    }

    pub(crate) fn holdings(&self, engine: &str) -> Option<&Holdings> {
        self.holdings.get(engine)
    }

    /// Holdings of the engines that hold a model, in any phase.
    pub(crate) fn holders_of(&self, model: &Name) -> impl Iterator<Item = (&Name, &Holdings)> {
        self.holdings.iter().filter(move |(_, holdings)| holdings.copy_of(model).is_some())
    }

    /// Residencies of the engines whose holdings have changed since `version`.
    pub(crate) fn changed_after(&self, version: u64) -> Vec<Resident> {
        let changed = self
            .holdings
            .iter()
            .filter(|(_, holdings)| holdings.changed_version > version && holdings.is_known());
        changed
            .map(|(engine, holdings)| Resident {
                engine: engine.clone(),
                incarnation: holdings.incarnation,
                residency: holdings.residency(),
            })
            .collect()
    }

    /// Number of loads from the weight store that may begin now.
    pub(crate) fn cold_loads_left(&mut self, now: Time, rate: f64, settings: &Settings) -> usize {
        while self.cold.front().is_some_and(|at| now.since(*at) > settings.load_window) {
            self.cold.pop_front();
        }
        let allowed = rate.mul_add(settings.load_window.as_secs_f64(), settings.load_burst) as usize;
        allowed.saturating_sub(self.cold.len())
    }
}

/// Asks an engine for a report after it has refused a request of an entry VM because, contrary to its
/// holdings, the model or adapter is absent.
pub(crate) fn recheck_after_refusal(state: &mut State, now: Time, refused: &Absent) {
    let Some(holdings) = state.ledger.holdings.get_mut(&refused.engine) else {
        return;
    };
    if holdings.residency().serves(&refused.model, refused.adapter.as_deref()) && holdings.ask_at.is_none() {
        holdings.ask_at = Some(now);
        state.timers.set(now, Timer::ResidencyCheck(refused.engine.clone()));
    }
}

/// Adds and removes holdings so that they match the listed engines.
pub(crate) fn sync(state: &mut State, now: Time) {
    let engines = &state.engines;
    state.ledger.retain_listed(now, |id| engines.contains_key(id));
    let managed: Vec<Name> = state
        .engines
        .values()
        .filter(|engine| state.pool(&engine.entry.service).is_some())
        .map(|engine| engine.entry.id.clone())
        .collect();
    for id in managed {
        if state.ledger.holdings.contains_key(&id) {
            continue;
        }
        let Some(engine) = state.engines.get_mut(&id) else {
            continue;
        };
        let mut holdings = Holdings::new(&engine.entry, state.ledger.fresh, now);
        holdings.uncertain_until = state.ledger.late.uncertain_until(engine);
        if state.ledger.late.is_old(engine) {
            engine.learned = Time::default();
        }
        state.timers.set(now, Timer::ResidencyCheck(id.clone()));
        state.ledger.holdings.insert(id, holdings);
    }
    state.ledger.late.mark_reviewed();
}

/// Marks the holdings as uncertain until the engine has sent a report.
fn recheck(holdings: &mut Holdings, now: Time) {
    holdings.sequence = None;
    holdings.queue.clear();
    holdings.ask_at = Some(now + REPORT_LAG);
}

/// Sets the timer for the next event that is due at an engine.
fn schedule_check(state: &mut State, now: Time, id: &Name) {
    let State { ledger, timers, .. } = state;
    let Some(holdings) = ledger.holdings.get_mut(id) else {
        return;
    };
    if let Some(next) = holdings.due_times().min() {
        set_check_timer(timers, now, id, holdings, next.max(now));
    }
}

/// Sets the timer of an engine's holdings, unless one is set that fires no later.
fn set_check_timer(timers: &mut Timers<Timer>, now: Time, id: &Name, holdings: &mut Holdings, at: Time) {
    let set = holdings.timer_at.filter(|set| *set > now);
    if set.is_none_or(|set| at < set) {
        holdings.timer_at = Some(at);
        timers.set(at, Timer::ResidencyCheck(id.clone()));
    }
}

/// Marks adapters as ready whose load time is over, and asks the engine for a report if one is due.
pub(crate) fn check(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    if state.lease.held_term(now).is_none() {
        return;
    }
    let Some(engine) = state.engines.get(id) else {
        return;
    };
    let (address, incarnation) = (engine.entry.address, engine.entry.incarnation);
    let pause = engine.health.pause_left(now);
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    let mut changed = holdings.changed_version == 0 && holdings.is_known();
    let pending = holdings.pending.as_ref().map(|pending| pending.order.clone());
    for copy in &mut holdings.copies {
        for held in &mut copy.adapters {
            let dropped =
                matches!(&pending, Some(Order::UnloadAdapter { adapter, .. }) if *adapter == held.name);
            if let Some(due) = held.ready_at.filter(|at| !dropped && *at <= now) {
                held.ready_at = None;
                changed = true;
                out.push(Effect::Record(Record::AdapterReady {
                    engine: id.clone(),
                    model: copy.model.clone(),
                    adapter: held.name.clone(),
                    late_ms: ms(now.since(due)),
                }));
            }
        }
    }
    if holdings.ask_at.is_some_and(|at| at <= now) && !holdings.report_pending && pause.is_none() {
        holdings.ask_at = None;
        holdings.report_pending = true;
        out.push(Effect::Report { engine: id.clone(), incarnation, address });
    }
    // An event that is due but cannot be handled now is taken up when the awaited answer comes or the engine's
    // pause ends.
    let next = holdings.due_times().filter(|at| *at > now).min();
    if let Some(next) = next {
        set_check_timer(&mut state.timers, now, id, holdings, next);
    }
    if changed {
        publish(state, id, out);
    }
    send_next(state, now, id, out);
}

/// Handles an engine's report, or its failure to send one.
pub(crate) fn report_received(
    state: &mut State,
    now: Time,
    id: &Name,
    report: Option<Report>,
    out: &mut Vec<Effect>,
) {
    let adapter_ready = state.settings.adapter_ready;
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    holdings.report_pending = false;
    if let Some(report) = &report
        && report.incarnation > holdings.incarnation
    {
        restart(state, now, id, report.incarnation);
    }
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    let known_sequence = holdings.sequence;
    match report {
        Some(report) if report.incarnation < holdings.incarnation && report.incarnation.0.is_some() => {
            holdings.ask_at = Some(now + REPORT_LAG);
        }
        // The report may have been made before the order under way took effect.
        _ if holdings.pending.is_some() => holdings.ask_at = Some(now + REPORT_LAG),
        Some(report) if !report.busy && known_sequence.is_none_or(|known| report.sequence >= known) => {
            holdings.adopt(&report.held);
            holdings.sequence = Some(report.sequence);
            for (model, adapter) in report.fetching {
                let ready_at = Some(now + adapter_ready);
                if let Some(copy) = holdings.copy_of_mut(&model) {
                    copy.adapters.push(AdapterCopy { name: adapter, ready_at });
                }
            }
        }
        _ => holdings.ask_at = Some(now + REPORT_RETRY),
    }
    let is_known = holdings.is_known();
    schedule_check(state, now, id);
    if is_known {
        publish(state, id, out);
    }
    send_next(state, now, id, out);
}

/// Handles a new registration of an engine, whose entry shows that a model has been loaded or dropped.
pub(crate) fn registered(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    let Some(entry) = state.engines.get(id).map(|engine| engine.entry.clone()) else {
        return;
    };
    if state.ledger.holdings.get(id).is_some_and(|holdings| holdings.incarnation < entry.incarnation) {
        restart(state, now, id, entry.incarnation);
        schedule_check(state, now, id);
        publish(state, id, out);
        return;
    }
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    if holdings.pending.is_some() || holdings.sequence.is_none() {
        return;
    }
    let holds = |model: &Name| entry.held.iter().any(|held| held.model == *model);
    let before = holdings.copies.len();
    holdings.copies.retain(|copy| copy.phase != Phase::Closing || holds(&copy.model));
    let mut changed = holdings.copies.len() != before;
    for copy in &mut holdings.copies {
        if copy.phase == Phase::Loading && holds(&copy.model) {
            copy.phase = Phase::Ready;
            copy.since = now;
            changed = true;
        }
    }
    if changed {
        publish(state, id, out);
        send_next(state, now, id, out);
    }
}

/// Handles a restart of an engine under its old id: it holds nothing, has accepted no orders, and is asked for
/// a report. An order that is under way may still reach it.
fn restart(state: &mut State, now: Time, id: &Name, incarnation: Incarnation) {
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    let mut restarted = Holdings::restarted(incarnation, now);
    if let Some(engine) = state.engines.get(id) {
        restarted.uncertain_until = state.ledger.late.uncertain_until(engine);
    }
    let before = std::mem::replace(holdings, restarted);
    state.ledger.forget(now, id, &before);
}

/// Publishes the holdings of an engine to all entry VMs.
fn publish(state: &mut State, id: &Name, out: &mut Vec<Effect>) {
    state.ledger.version += 1;
    let version = state.ledger.version;
    let Some(holdings) = state.ledger.holdings.get_mut(id) else {
        return;
    };
    holdings.changed_version = version;
    let (incarnation, residency) = (holdings.incarnation, holdings.residency());
    if let Some(engine) = state.engines.get_mut(id) {
        engine.set_residency(incarnation, residency);
    }
    out.push(Effect::HoldingsChanged(id.clone()));
    flow::request_rescan(state);
}

/// Number of loads from the weight store that an engine carries out or that are queued for it.
pub(crate) fn cold_loads_running(state: &State, engine: &Engine) -> usize {
    let Some(holdings) = state.ledger.holdings(&engine.entry.id) else {
        return 0;
    };
    let Cached { memory, disk } = &engine.entry.cached;
    let loading = holdings.copies_expected().filter(|(_, phase)| *phase == Phase::Loading);
    loading.filter(|(model, _)| !memory.contains(model) && !disk.contains(model)).count()
}

/// Number of the remaining loads that may be used for models that already have a copy.
pub(crate) const fn cold_loads_beyond_reserve(cold_left: usize) -> usize {
    cold_left.saturating_sub(COLD_RESERVE)
}
