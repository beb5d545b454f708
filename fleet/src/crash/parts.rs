//! Shared parts of prompts under which engines have crashed: the evidence against each part, and when it
//! suffices for a quarantine.
//!
//! A crash counts against each shared part of the prompts of the runs that it broke, unless their answers had
//! been written for some time. One crash is weak evidence: at most one of these parts is the cause. A
//! successful answer voids the crashes of runs that were sent before it began. The remaining crashes are tested
//! against chance: if a part is not the cause, its runs break as often as those of other requests. If engines
//! crash in waves for another cause, most runs break, and no part stands out.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::{FxHashMap, FxHashSet};

use super::Suspect;
use super::register::REMEMBERED;
use crate::request::Fingerprint;

/// Minimum evidence for a quarantine, as the negative natural logarithm of the probability that the crashes are
/// due to chance. The threshold is this low a probability (about 1 in 100,000) because hundreds of parts are
/// tested at once.
const WEIGHT_MIN: f64 = 11.5;
/// Lower bound of the assumed probability that a run breaks by chance: engines that share a machine or a rack
/// fail together.
const CHANCE_MIN: f64 = 0.01;
/// Prior of the estimate: assumed numbers of runs that succeeded and of runs that broke before any were
/// observed.
const PRIOR_SERVED: f64 = 10.0;
const PRIOR_BROKEN: f64 = 0.2;
/// Window of runs from which the probability of chance is estimated.
const WINDOW: Duration = Duration::from_secs(10);
/// Crashes after which a part is suspected: a broken request that contains it is not sent to another engine at
/// once.
pub(super) const STRIKES_SUSPECT: usize = 2;
/// Maximum number of crashes that are stored for each part.
const STRIKES_MAX: usize = 32;
/// Maximum number of parts that are tracked.
const CASES_MAX: usize = 4_096;
/// Maximum number of broken runs that are stored.
const BROKEN_MAX: usize = 2_048;
/// Maximum number of stored times of successful answers: more do not improve the estimate.
const SERVED_MAX: usize = 4_096;
/// Crashes within this time count as one, unless the later run was sent after the earlier crash: the engines of
/// a rack fail together.
const APART: Duration = Duration::from_millis(300);
/// Maximum difference between the times of one crash as reported by several entry VMs.
const NEWS_LATE: Duration = Duration::from_secs(2);
/// Time for which successful answers are remembered, so that they also void crashes that are reported late.
const SOUND_KEPT: Duration = Duration::from_secs(10);

/// A crash of an engine that broke a run whose prompt contains the part.
#[derive(Clone, Debug)]
struct Strike {
    engine: Name,
    sent: Time,
    broke: Time,
    /// Negative natural logarithm of the probability that the run broke by chance.
    weight: f64,
}

impl Strike {
    /// Whether both records describe the same crash. The time is compared too, since an engine may restart
    /// under its id.
    fn is_same(&self, other: &Self) -> bool {
        let apart = self.broke.since(other.broke).max(other.broke.since(self.broke));
        self.engine == other.engine && apart < NEWS_LATE
    }
}

/// Evidence for and against a part under which an engine has crashed.
#[derive(Clone, Debug, Default)]
struct Case {
    strikes: Vec<Strike>,
    rank: Rank,
    /// When the newest successful answer to a prompt with the part began, as announced to all entry VMs.
    cleared: Option<Time>,
    /// Whether this entry VM is about to announce such an answer.
    telling: bool,
    forget_at: Time,
}

/// A run that the crash of an engine broke.
#[derive(Clone, Debug)]
struct Broken {
    engine: Name,
    at: Time,
    parts: Arc<[Fingerprint]>,
}

/// Evidence about all tracked parts of prompts.
#[derive(Debug, Default)]
pub(super) struct Parts {
    cases: FxHashMap<Fingerprint, Case>,
    /// When the newest successful answer to a prompt with a part began at this entry VM.
    sound: FxHashMap<Fingerprint, Time>,
    /// When the newest answer to a prompt with a part began at this entry VM, successful or not.
    begun: FxHashMap<Fingerprint, Time>,
    broken: VecDeque<Broken>,
    /// Times at which answers were found to be successful at this entry VM.
    served: VecDeque<Time>,
    /// When the newest of all answers began at this entry VM.
    answered: Time,
    /// Quarantine candidates, each with the time at which the evidence first sufficed.
    accused: BTreeMap<Fingerprint, Time>,
}

/// A quarantine candidate with the evidence against it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Charge {
    pub(super) part: Fingerprint,
    /// When the first run that counts against it was sent.
    pub(super) since: Time,
    /// Whether no answer to a prompt with the part has begun at this entry VM since.
    silent: bool,
    strikes: usize,
    rank: Rank,
}

/// Priority among parts with the same number of crashes; the highest is taken for the cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether this is a part alone instead of its combination with a model.
    alone: bool,
    /// Position of the part in the prompt. Fewer prompts share a later part, so wrongly quarantining it blocks
    /// fewer requests.
    place: usize,
}

impl Rank {
    /// Rank of the fingerprint at `index` in the list of a prompt's shared parts, where each part is followed
    /// by its combination with the model.
    const fn of(index: usize) -> Self {
        Self { alone: index.is_multiple_of(2), place: index / 2 }
    }
}

/// Inputs to the evaluation of a part besides its own runs.
pub(super) struct View<'a> {
    pub(super) now: Time,
    /// Number of entry VMs.
    pub(super) nodes: usize,
    /// Whether a part is quarantined.
    pub(super) convicted: &'a dyn Fn(Fingerprint) -> bool,
    /// Whether it was quarantined before; one crash then suffices.
    pub(super) relapsed: &'a dyn Fn(Fingerprint) -> bool,
}

impl Parts {
    /// Records that an answer to a prompt with these parts has begun at this entry VM.
    pub(super) fn begin(&mut self, parts: &[Fingerprint], now: Time) {
        self.answered = now;
        for part in parts {
            keep(&mut self.begun, *part, now, now);
        }
    }

    /// Records a successful answer at this entry VM.
    pub(super) fn serve(&mut self, now: Time) {
        let first = now - WINDOW;
        while self.served.front().is_some_and(|at| *at < first) || self.served.len() >= SERVED_MAX {
            self.served.pop_front();
        }
        self.served.push_back(now);
    }

    /// Records a run that a crash broke at any entry VM.
    fn lose(&mut self, engine: &Name, at: Time, parts: &Arc<[Fingerprint]>, now: Time) {
        let first = now - WINDOW;
        while self.broken.front().is_some_and(|run| run.at < first) || self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        self.broken.push_back(Broken { engine: engine.clone(), at, parts: Arc::clone(parts) });
    }

    /// Counts a crash against the shared parts of a run's prompt. A crash that several entry VMs report counts
    /// once.
    pub(super) fn strike(&mut self, run: &Suspect, engine: &Name, view: &View<'_>) {
        let now = view.now;
        let (sent, broke) = (now - run.sent_ago, now - run.broken_ago);
        self.lose(engine, broke, &run.parts, now);
        let weight = -self.chance(view, |run| run.engine == *engine).ln();
        for (index, part) in run.parts.iter().enumerate() {
            let case = self.case(*part, now);
            case.rank = case.rank.max(Rank::of(index));
            case.note(Strike { engine: engine.clone(), sent, broke, weight }, now);
        }
    }

    /// Number of tracked parts.
    pub(super) fn len(&self) -> usize {
        self.cases.len()
    }

    /// Number of crashes that count against a part and that no successful answer has voided.
    pub(super) fn strikes(&self, part: Fingerprint) -> usize {
        let sound = self.sound.get(&part).copied();
        self.cases.get(&part).map_or(0, |case| case.open(sound).len())
    }

    /// Makes a part a quarantine candidate if the evidence against it suffices.
    pub(super) fn accuse(&mut self, part: Fingerprint, view: &View<'_>) {
        if self.weigh(part, view).is_some() {
            self.accused.entry(part).or_insert(view.now);
        }
    }

    /// Returns the candidate with the strongest evidence, if it has been one for `time` and engines have still
    /// begun to answer requests after that. The other candidates wait: this one may explain the crashes that
    /// count against them.
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

    /// Whether there is a quarantine candidate.
    pub(super) fn has_accused(&self) -> bool {
        !self.accused.is_empty()
    }

    /// Removes a part that is now quarantined from the candidates; the crashes that it explains no longer count
    /// against other parts.
    pub(super) fn convict(&mut self, part: Fingerprint) {
        self.accused.remove(&part);
        let strikes = self.cases.get(&part).map(|case| case.strikes.clone()).unwrap_or_default();
        let explained = |of: &Strike| strikes.iter().any(|strike| strike.is_same(of));
        for (_, case) in self.cases.iter_mut().filter(|(of, _)| **of != part) {
            case.strikes.retain(|strike| !explained(strike));
        }
    }

    /// Computes the evidence against a part; none if it does not suffice.
    fn weigh(&mut self, part: Fingerprint, view: &View<'_>) -> Option<Charge> {
        let now = view.now;
        let sound = self.sound.get(&part).copied();
        let case = self.cases.get(&part).filter(|case| now < case.forget_at)?;
        let strikes = case.open(sound).len();
        let relapsed = (view.relapsed)(part);
        // Skips the estimate for the many parts that cannot become candidates whatever its result.
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

    /// Estimates the probability that a run breaks by chance, from the runs of the last seconds except those
    /// that `without` selects.
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

    /// Records a successful answer, begun at `at`, to a prompt with the part. Returns whether it is to be
    /// announced to all entry VMs.
    pub(super) fn answer(&mut self, part: Fingerprint, at: Time, now: Time) -> bool {
        keep(&mut self.sound, part, at, now);
        let Some(case) = self.cases.get_mut(&part) else {
            return false;
        };
        let tells = !case.telling && case.is_doubted_elsewhere(at);
        case.telling |= tells;
        tells
    }

    /// Called when the announcement is due. Returns when the successful answer began; none if the other entry
    /// VMs do not need to know it any more.
    pub(super) fn told(&mut self, part: Fingerprint) -> Option<Time> {
        let at = self.sound.get(&part).copied()?;
        let case = self.cases.get_mut(&part)?;
        case.telling = false;
        case.is_doubted_elsewhere(at).then_some(at)
    }

    /// Applies an announced successful answer that began at `at`.
    pub(super) fn clear(&mut self, part: Fingerprint, at: Time) {
        if let Some(case) = self.cases.get_mut(&part) {
            case.cleared = case.cleared.max(Some(at));
            case.strikes.retain(|strike| strike.sent >= at);
        }
    }

    /// Returns the record of a part. If there are too many, the one with the fewest crashes is evicted.
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

/// Stores the newest time for a part.
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

    /// Crashes that count: those of runs that were sent after the newest successful answer, where several
    /// engines that crash at once count as one.
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

    /// Whether entry VMs that have not observed the successful answer that began at `at` suspect the part.
    fn is_doubted_elsewhere(&self, at: Time) -> bool {
        let voided = self.strikes.iter().filter(|strike| strike.sent < at).count();
        voided > 0 && self.open(None).len() >= STRIKES_SUSPECT
    }
}
