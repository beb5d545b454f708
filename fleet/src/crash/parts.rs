//! Parts of prompts under which engines have crashed: what speaks against each, and when that is enough.
//!
//! A crash is held against each shared part of the runs that had not answered for some time there, as a strike. One strike says
//! little: each of those parts but one is a bystander. An answer that goes well voids the strikes of runs that were sent before it began.
//! What is left is weighed against chance: if a part has nothing to do with it, each of its runs breaks as often as those of
//! other requests do. Where engines crash in waves for another cause, most runs break, and no part stands out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Suspect;
use super::register::REMEMBERED;
use crate::request::Fingerprint;

/// How improbable it must be that a part is struck by chance: 1 in e to this power. Hundreds of parts are weighed at once.
const WEIGHT_MIN: f64 = 11.5;
/// The least chance that a run breaks by itself that is reckoned with: engines that share a machine or a rack fail together.
const CHANCE_MIN: f64 = 0.01;
/// Runs, and those of them that broke, that are assumed to have been seen before any was.
const PRIOR_SERVED: f64 = 10.0;
const PRIOR_BROKEN: f64 = 0.2;
/// How far back runs of other requests are looked at to tell the chance.
const WINDOW: Duration = Duration::from_secs(10);
/// Strikes after which a part is suspected: its requests are not sent to another engine at once.
pub(super) const STRIKES_SUSPECT: usize = 2;
/// Strikes that are kept for each part, at most.
const STRIKES_MAX: usize = 32;
/// Parts that something is known of, at most.
const CASES_MAX: usize = 4_096;
/// Broken runs that are kept, at most.
const BROKEN_MAX: usize = 2_048;
/// Times of runs that are kept, at most: more tell the chance no better.
const SERVED_MAX: usize = 4_096;
/// Crashes that are closer together are one strike, unless the later run was sent after the earlier crash: a rack fails at once.
const APART: Duration = Duration::from_millis(300);
/// By how much entry VMs may differ about when an engine crashed.
const NEWS_LATE: Duration = Duration::from_secs(2);
/// How long it is remembered that a part was answered well, so that news of an earlier crash finds it.
const SOUND_KEPT: Duration = Duration::from_secs(10);

/// A crash under a run with a part.
#[derive(Clone, Debug)]
struct Strike {
    engine: Name,
    sent: Time,
    broke: Time,
    /// How improbable it is by chance, as a natural logarithm.
    weight: f64,
}

impl Strike {
    /// Whether both are the same crash. An engine may start anew under its id.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.broke.since(other.broke).max(other.broke.since(self.broke));
        self.engine == other.engine && apart < NEWS_LATE
    }
}

/// What is known of a part under which an engine has crashed.
#[derive(Clone, Debug, Default)]
struct Case {
    strikes: Vec<Strike>,
    rank: Rank,
    /// When an answer on it began that went well, as all entry VMs were told.
    cleared: Option<Time>,
    /// Whether this entry VM is about to tell them.
    telling: bool,
    forget_at: Time,
}

/// A run that a crash broke.
#[derive(Clone, Debug)]
struct Broken {
    engine: Name,
    at: Time,
    parts: Arc<[Fingerprint]>,
}

/// What a process knows of parts of prompts.
#[derive(Debug, Default)]
pub(super) struct Parts {
    cases: FxHashMap<Fingerprint, Case>,
    /// When the newest answer on a part began that went well here.
    sound: FxHashMap<Fingerprint, Time>,
    /// When the newest answer on a part began here, whatever became of it.
    begun: FxHashMap<Fingerprint, Time>,
    broken: VecDeque<Broken>,
    /// When answers were seen here to go well.
    served: VecDeque<Time>,
    /// When the newest answer of all began here.
    answered: Time,
    /// Parts with enough against them, and since when.
    accused: BTreeMap<Fingerprint, Time>,
}

/// Enough speaks against a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Charge {
    pub(super) part: Fingerprint,
    /// When the first run was sent that speaks against it.
    pub(super) since: Time,
    /// Whether no answer on it has begun here since.
    silent: bool,
    strikes: usize,
    rank: Rank,
}

/// Which of several parts with the same strikes is believed to be the cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// A part by itself, whatever the model.
    alone: bool,
    /// The one that fewer share: to take it for the cause wrongly costs least.
    place: usize,
}

impl Rank {
    /// Of what stands at `index` in the list of what a prompt shares: each part is followed by the part together with the model.
    const fn of(index: usize) -> Self {
        Self { alone: index.is_multiple_of(2), place: index / 2 }
    }
}

/// What a part is judged by beside its own runs.
pub(super) struct View<'a> {
    pub(super) now: Time,
    /// Entry VMs that there are.
    pub(super) nodes: usize,
    /// Whether a part is known to crash engines.
    pub(super) convicted: &'a dyn Fn(Fingerprint) -> bool,
    /// Whether it was known to, until its time was over: one strike is enough then.
    pub(super) relapsed: &'a dyn Fn(Fingerprint) -> bool,
}

impl Parts {
    /// An answer on these parts began here.
    pub(super) fn begin(&mut self, parts: &[Fingerprint], now: Time) {
        self.answered = now;
        for part in parts {
            keep(&mut self.begun, *part, now, now);
        }
    }

    /// An answer goes well here.
    pub(super) fn serve(&mut self, now: Time) {
        let first = now - WINDOW;
        while self.served.front().is_some_and(|at| *at < first) || self.served.len() >= SERVED_MAX {
            self.served.pop_front();
        }
        self.served.push_back(now);
    }

    /// A crash broke a run, here or elsewhere.
    fn lose(&mut self, engine: &Name, at: Time, parts: &Arc<[Fingerprint]>, now: Time) {
        let first = now - WINDOW;
        while self.broken.front().is_some_and(|run| run.at < first) || self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken { engine: engine.clone(), at, parts: Arc::clone(parts) });
    }

    /// Holds a crash against what a run shared with others. An engine crashes once, whoever tells of it.
    pub(super) fn strike(&mut self, run: &Suspect, engine: &Name, view: &View<'_>) {
        let now = view.now;
        let (sent, broke) = (now - run.sent, now - run.broke);
        self.lose(engine, broke, &run.parts, now);
        let weight = -self.chance(view, |run| run.engine == *engine).ln();
        for (index, part) in run.parts.iter().enumerate() {
            let case = self.case(*part, now);
            case.rank = case.rank.max(Rank::of(index));
            case.note(Strike { engine: engine.clone(), sent, broke, weight }, now);
        }
    }

    /// Parts that something is known of.
    pub(super) fn len(&self) -> usize {
        self.cases.len()
    }

    /// Strikes that nothing speaks against.
    pub(super) fn strikes(&self, part: Fingerprint) -> usize {
        let sound = self.sound.get(&part).copied();
        self.cases.get(&part).map_or(0, |case| case.open(sound).len())
    }

    /// Accuses a part if enough speaks against it.
    pub(super) fn accuse(&mut self, part: Fingerprint, view: &View<'_>) {
        if self.weigh(part, view).is_some() {
            self.accused.entry(part).or_insert(view.now);
        }
    }

    /// The accused part with most against it, if no answer on it has been heard of for `time` in which engines answered. The others
    /// wait for it: it may explain what speaks against them.
    pub(super) fn ripe(&mut self, time: Duration, view: &View<'_>) -> Option<Charge> {
        let accused: Vec<Fingerprint> = self.accused.keys().copied().collect();
        let charges = accused.into_iter().filter_map(|part| {
            let charge = self.weigh(part, view);
            if charge.is_none() {
                self.accused.remove(&part);
            }
            charge
        });
        let heaviest = charges.max_by_key(|charge| (charge.silent, charge.strikes, charge.rank))?;
        let since = self.accused.get(&heaviest.part)?;
        (self.answered >= *since + time).then_some(heaviest)
    }

    /// Whether any part is accused.
    pub(super) fn has_accused(&self) -> bool {
        !self.accused.is_empty()
    }

    /// A part is known to crash engines: what it ended speaks against no other.
    pub(super) fn convict(&mut self, part: Fingerprint) {
        self.accused.remove(&part);
        let strikes = self.cases.get(&part).map(|case| case.strikes.clone()).unwrap_or_default();
        let explained = |of: &Strike| strikes.iter().any(|strike| strike.is_same(of));
        for (_, case) in self.cases.iter_mut().filter(|(of, _)| **of != part) {
            case.strikes.retain(|strike| !explained(strike));
        }
    }

    /// Weighs what speaks against a part; none if that is not enough.
    fn weigh(&mut self, part: Fingerprint, view: &View<'_>) -> Option<Charge> {
        let now = view.now;
        let sound = self.sound.get(&part).copied();
        let case = self.cases.get(&part).filter(|case| now < case.forget_at)?;
        let strikes = case.open(sound).len();
        let relapsed = (view.relapsed)(part);
        // Nothing is reckoned for the many that could not be accused whatever the chance.
        if strikes == 0 || !relapsed && strikes as f64 * -CHANCE_MIN.ln() < WEIGHT_MIN {
            return None;
        }
        let weight = -self.chance(view, |run| run.parts.contains(&part)).ln();
        let case = self.cases.get_mut(&part)?;
        for strike in case.strikes.iter_mut().filter(|strike| now.since(strike.broke) < WINDOW) {
            strike.weight = weight;
        }
        let open = case.open(sound);
        let weight: f64 = open.iter().map(|strike| strike.weight).sum();
        let first = open.first().filter(|_| relapsed || weight >= WEIGHT_MIN)?;
        let silent = self.begun.get(&part).is_none_or(|begun| *begun < first.sent);
        Some(Charge { part, since: first.sent, silent, strikes, rank: case.rank })
    }

    /// The chance that a run breaks, by those of the last seconds but for some.
    fn chance(&self, view: &View<'_>, without: impl Fn(&Broken) -> bool) -> f64 {
        let first = view.now - WINDOW;
        let recent = || self.broken.iter().filter(|run| run.at >= first);
        let explained: FxHashSet<&Name> = recent()
            .filter(|run| run.parts.iter().any(|part| (view.convicted)(*part)))
            .map(|run| &run.engine)
            .collect();
        let others = recent().filter(|run| !without(run) && !explained.contains(&run.engine));
        let broken = others.count() as f64 + PRIOR_BROKEN;
        let served = self.served.iter().filter(|at| **at >= first).count() * view.nodes.max(1);
        let runs = broken + served as f64 + PRIOR_SERVED;
        (broken / runs).max(CHANCE_MIN)
    }

    /// An answer on a part that began at `at` goes well here. Returns whether all are to be told.
    pub(super) fn answer(&mut self, part: Fingerprint, at: Time, now: Time) -> bool {
        keep(&mut self.sound, part, at, now);
        let Some(case) = self.cases.get_mut(&part) else {
            return false;
        };
        let tells = !case.telling && case.is_doubted_elsewhere(at);
        case.telling |= tells;
        tells
    }

    /// It is time to tell all of that. Returns when the answer began; none if they know by now.
    pub(super) fn told(&mut self, part: Fingerprint) -> Option<Time> {
        let at = self.sound.get(&part).copied()?;
        let case = self.cases.get_mut(&part)?;
        case.telling = false;
        case.is_doubted_elsewhere(at).then_some(at)
    }

    /// All were told that an answer on a part began then which went well.
    pub(super) fn clear(&mut self, part: Fingerprint, at: Time) {
        if let Some(case) = self.cases.get_mut(&part) {
            case.cleared = case.cleared.max(Some(at));
            case.strikes.retain(|strike| strike.sent >= at);
        }
    }

    /// The case of a part; where there are too many, the one with the fewest strikes makes way.
    fn case(&mut self, part: Fingerprint, now: Time) -> &mut Case {
        if self.cases.len() >= CASES_MAX && !self.cases.contains_key(&part) {
            self.cases.retain(|_, case| now < case.forget_at);
            let least = self.cases.iter().min_by_key(|(of, case)| (case.strikes.len(), case.forget_at, **of));
            if let Some(least) = least.map(|(of, _)| *of).filter(|_| self.cases.len() >= CASES_MAX) {
                self.cases.remove(&least);
            }
        }
        let case = self.cases.entry(part).or_default();
        if now >= case.forget_at {
            *case = Case::default();
        }
        case
    }
}

/// Keeps the newest time of a part.
fn keep(times: &mut FxHashMap<Fingerprint, Time>, part: Fingerprint, at: Time, now: Time) {
    if times.len() >= CASES_MAX {
        times.retain(|_, known| now.since(*known) < SOUND_KEPT);
    }
    if times.len() < CASES_MAX {
        let newest = times.entry(part).or_insert(at);
        *newest = at.max(*newest);
    }
}

impl Case {
    fn note(&mut self, strike: Strike, now: Time) {
        self.forget_at = now + REMEMBERED;
        if self.cleared.is_some_and(|cleared| cleared > strike.sent) {
            return;
        }
        if let Some(known) = self.strikes.iter_mut().find(|known| known.is_same(&strike)) {
            known.sent = known.sent.max(strike.sent);
            return;
        }
        if self.strikes.len() >= STRIKES_MAX {
            self.strikes.remove(0);
        }
        self.strikes.push(strike);
        self.strikes.sort_by_key(|strike| strike.broke);
    }

    /// Strikes of runs that were sent after the newest answer that went well; several engines that crash at once are one.
    fn open(&self, sound: Option<Time>) -> Vec<&Strike> {
        let from = sound.max(self.cleared).unwrap_or_default();
        let mut open: Vec<&Strike> = Vec::new();
        for strike in self.strikes.iter().filter(|strike| strike.sent >= from) {
            let apart = |last: &&Strike| strike.sent >= last.broke || strike.broke >= last.broke + APART;
            if open.last().is_none_or(apart) {
                open.push(strike);
            }
        }
        open
    }

    /// Whether entry VMs that have not seen an answer that began at `at` suspect the part.
    fn is_doubted_elsewhere(&self, at: Time) -> bool {
        let voided = self.strikes.iter().filter(|strike| strike.sent < at).count();
        voided > 0 && self.open(None).len() >= STRIKES_SUSPECT
    }
}
