//! What each engine holds, and the orders that change it, as the holder of the lease keeps it.
//!
//! Engines may run orders that were not answered, and late. Each order therefore names the number of
//! orders that the engine has accepted before: one that is still on its way is dead as soon as
//! another was accepted, and no two that were decided on the same state can both take effect.

mod orders;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use boragecove_core::timer::Timers;

pub(crate) use orders::{drive, order, ordered};

use crate::book::{Book, Fetched, Late, REPORT_LAG};
use crate::effect::Effect;
use crate::engine::{Cached, Engine, Incarnation, Phase};
use crate::flow;
use crate::frame::{Absent, Resident};
use crate::order::{Order, Report};
use crate::record::{Record, ms};
use crate::settings::Settings;
use crate::state::State;
use crate::timer::Timer;

/// Time between looks at an order that takes longer than expected.
const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Loads from the weight store that are left for models without any copy.
const COLD_RESERVE: usize = 2;

/// All engines' books.
#[derive(Debug, Default)]
pub struct Ledger {
    books: BTreeMap<Name, Book>,
    /// Loads that were not answered, by engine.
    late: BTreeMap<Name, Vec<Late>>,
    /// Grows with each change of what an engine holds.
    version: u64,
    /// When loads from the weight store were ordered lately.
    cold: VecDeque<Time>,
    /// Whether nobody has given orders before.
    fresh: bool,
}

impl Ledger {
    /// Begins anew under a lease that was just taken. `fresh`: nobody has given orders before.
    pub(crate) fn begin(&mut self, fresh: bool) {
        self.books.clear();
        self.cold.clear();
        self.fresh = fresh;
    }

    /// The version of what it says of engines.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Notes a load that was not answered.
    fn note_late(&mut self, engine: &Name, late: Late) {
        if matches!(late.order, Order::Load { .. } | Order::LoadAdapter { .. }) {
            self.late.entry(engine.clone()).or_default().push(late);
        }
    }

    /// Loads that an engine may still carry out though they were not answered.
    fn late_at(&mut self, now: Time, engine: &Name) -> &[Late] {
        let Some(late) = self.late.get_mut(engine) else {
            return &[];
        };
        late.retain(|late| late.until > now);
        late
    }

    pub(crate) fn book(&self, engine: &str) -> Option<&Book> {
        self.books.get(engine)
    }

    /// The books of the engines that hold a model, ready or not.
    pub(crate) fn holding(&self, model: &Name) -> impl Iterator<Item = (&Name, &Book)> {
        self.books.iter().filter(move |(_, book)| book.kept(model).is_some())
    }

    /// What those engines hold that have changed since a version.
    pub(crate) fn changed_after(&self, version: u64) -> Vec<Resident> {
        let changed = self.books.iter().filter(|(_, book)| book.changed > version && book.known());
        changed
            .map(|(engine, book)| Resident {
                engine: engine.clone(),
                incarnation: book.incarnation,
                residency: book.residency(),
            })
            .collect()
    }

    /// Loads from the weight store that may begin now.
    pub(crate) fn cold_left(&mut self, now: Time, rate: f64, settings: &Settings) -> usize {
        while self.cold.front().is_some_and(|at| now.since(*at) > settings.load_window) {
            self.cold.pop_front();
        }
        let allowed = rate.mul_add(settings.load_window.as_secs_f64(), settings.load_extra) as usize;
        allowed.saturating_sub(self.cold.len())
    }
}

/// An entry VM was refused by an engine that was thought to hold what it asked for: the engine is asked.
pub(crate) fn doubt(state: &mut State, now: Time, refused: &Absent) {
    let Some(book) = state.ledger.books.get_mut(&refused.engine) else {
        return;
    };
    if book.residency().serves(&refused.model, refused.adapter.as_deref()) && book.check_at.is_none() {
        book.check_at = Some(now);
        state.timers.set(now, Timer::Check(refused.engine.clone()));
    }
}

/// Brings the books in line with the engines that there are.
pub(crate) fn sync(state: &mut State, now: Time) {
    let engines = &state.engines;
    state.ledger.books.retain(|id, _| engines.contains_key(id));
    let managed: Vec<Name> = state
        .engines
        .values()
        .filter(|engine| state.pool(&engine.entry.service).is_some())
        .map(|engine| engine.entry.id.clone())
        .collect();
    for id in managed {
        if state.ledger.books.contains_key(&id) {
            continue;
        }
        let entry = &state.engines[&id].entry;
        let book = Book::new(entry, state.ledger.fresh, now);
        state.timers.set(now, Timer::Check(id.clone()));
        state.ledger.books.insert(id, book);
    }
}

/// What the engine holds is not known until it has been asked.
fn unsure(book: &mut Book, now: Time) {
    book.sequence = None;
    book.queue.clear();
    book.check_at = Some(now + REPORT_LAG);
}

/// Sets the timer for the next thing that is due at an engine's book.
fn wake_for(state: &mut State, now: Time, id: &Name) {
    let State { ledger, timers, .. } = state;
    let Some(book) = ledger.books.get_mut(id) else {
        return;
    };
    if let Some(next) = book.due().min() {
        wake_at(timers, now, id, book, next.max(now));
    }
}

/// Sets the timer for an engine's book, unless one is to fire that is no later.
fn wake_at(timers: &mut Timers<Timer>, now: Time, id: &Name, book: &mut Book, at: Time) {
    let set = book.wakes_at.filter(|set| *set > now);
    if set.is_none_or(|set| at < set) {
        book.wakes_at = Some(at);
        timers.set(at, Timer::Check(id.clone()));
    }
}

/// An adapter may have become ready, or the engine is to be asked what it holds.
pub(crate) fn check(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    if state.lease.holds(now).is_none() {
        return;
    }
    let Some(engine) = state.engines.get(id) else {
        return;
    };
    let (address, incarnation) = (engine.entry.address, engine.entry.incarnation);
    let pause = engine.health.pause(now);
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    let mut changed = book.changed == 0 && book.known();
    let pending = book.pending.as_ref().map(|pending| pending.order.clone());
    for copy in &mut book.copies {
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
    if book.check_at.is_some_and(|at| at <= now) && !book.reporting && pause.is_none() {
        book.check_at = None;
        book.reporting = true;
        out.push(Effect::Report { engine: id.clone(), incarnation, address });
    }
    // What is due and could not be done is taken up when the answer that it waits for comes, or the engine's pause ends.
    let next = book.due().filter(|at| *at > now).min();
    if let Some(next) = next {
        wake_at(&mut state.timers, now, id, book, next);
    }
    if changed {
        publish(state, id, out);
    }
    drive(state, now, id, out);
}

/// An engine said what it holds.
pub(crate) fn reported(
    state: &mut State,
    now: Time,
    id: &Name,
    report: Option<Report>,
    out: &mut Vec<Effect>,
) {
    let adapter_ready = state.settings.adapter_ready;
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    book.reporting = false;
    if let Some(report) = &report
        && report.incarnation > book.incarnation
    {
        restart(state, now, id, report.incarnation);
    }
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    let known = book.sequence;
    match report {
        Some(report) if report.incarnation < book.incarnation && report.incarnation.0.is_some() => {
            book.check_at = Some(now + REPORT_LAG);
        }
        // What it says may be from before the order that is under way.
        _ if book.pending.is_some() => book.check_at = Some(now + REPORT_LAG),
        Some(report) if !report.busy && known.is_none_or(|known| report.sequence >= known) => {
            book.adopt(&report.held);
            book.sequence = Some(report.sequence);
            for (model, adapter) in report.fetching {
                let ready_at = Some(now + adapter_ready);
                if let Some(copy) = book.kept_mut(&model) {
                    copy.adapters.push(Fetched { name: adapter, ready_at });
                }
            }
        }
        _ => book.check_at = Some(now + LOOK_AGAIN),
    }
    let is_known = book.known();
    wake_for(state, now, id);
    if is_known {
        publish(state, id, out);
    }
    drive(state, now, id, out);
}

/// An engine registered itself anew: that tells when a model was loaded or dropped.
pub(crate) fn registered(state: &mut State, now: Time, id: &Name, out: &mut Vec<Effect>) {
    let Some(entry) = state.engines.get(id).map(|engine| engine.entry.clone()) else {
        return;
    };
    if state.ledger.books.get(id).is_some_and(|book| book.incarnation < entry.incarnation) {
        restart(state, now, id, entry.incarnation);
        wake_for(state, now, id);
        publish(state, id, out);
        return;
    }
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    if book.pending.is_some() || book.sequence.is_none() {
        return;
    }
    let holds = |model: &Name| entry.held.iter().any(|held| held.model == *model);
    let before = book.copies.len();
    book.copies.retain(|copy| copy.phase != Phase::Closing || holds(&copy.model));
    let mut changed = book.copies.len() != before;
    for copy in &mut book.copies {
        if copy.phase == Phase::Loading && holds(&copy.model) {
            copy.phase = Phase::Ready;
            copy.since = now;
            changed = true;
        }
    }
    if changed {
        publish(state, id, out);
        drive(state, now, id, out);
    }
}

/// An engine started again under its id: it holds nothing, has accepted nothing, and is asked what there is. An order
/// that is under way may still reach it.
fn restart(state: &mut State, now: Time, id: &Name, incarnation: Incarnation) {
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    let before = std::mem::replace(book, Book::restarted(incarnation, now));
    if let (Some(pending), Some(sequence)) = (before.pending, before.sequence) {
        let late = Late::new(now, pending.order, sequence, before.incarnation);
        state.ledger.note_late(id, late);
    }
}

/// Tells everyone what an engine holds now.
fn publish(state: &mut State, id: &Name, out: &mut Vec<Effect>) {
    state.ledger.version += 1;
    let version = state.ledger.version;
    let Some(book) = state.ledger.books.get_mut(id) else {
        return;
    };
    book.changed = version;
    let (incarnation, residency) = (book.incarnation, book.residency());
    if let Some(engine) = state.engines.get_mut(id) {
        engine.learn(incarnation, residency);
    }
    out.push(Effect::Changed(id.clone()));
    flow::stir_later(state);
}

/// Loads from the weight store that an engine carries out, or will.
pub(crate) fn cold_running(state: &State, engine: &Engine) -> usize {
    let Some(book) = state.ledger.book(&engine.entry.id) else {
        return 0;
    };
    let Cached { memory, disk } = &engine.entry.cached;
    let loading = book.copies_expected().filter(|(_, phase)| *phase == Phase::Loading);
    loading.filter(|(model, _)| !memory.contains(model) && !disk.contains(model)).count()
}

/// How many of the loads that may begin now are for models that have copies already.
pub(crate) const fn beyond_reserve(cold_left: usize) -> usize {
    cold_left.saturating_sub(COLD_RESERVE)
}
