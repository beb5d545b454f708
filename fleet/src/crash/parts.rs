//! Shared parts of prompts under which engines have crashed: the evidence against each part, and when it
//! suffices for a quarantine.
//!
//! A crash counts against each shared part of the prompts of the runs that it broke, unless their answers had
//! been written for some time. One crash is weak evidence: at most one of these parts is the cause. A
//! successful answer voids the crashes of runs that were sent before it began. The remaining crashes are tested
//! against chance: if a part is not the cause, its runs break as often as those of other requests. If engines
//! crash in waves for another cause, most runs break, and no part stands out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::Suspect;
use super::chance::{Broken, CHANCE_MIN, Chance};
use super::composition;
use super::own::COUNTED_MAX;
use super::register::EVIDENCE_TTL;
use super::traffic::Traffic;
use crate::record::{CountedCrash, Evidence, PartEvidence, ms};
use crate::request::Fingerprint;

/// Minimum evidence for a quarantine, as the negative natural logarithm of the probability that the crashes are
/// due to chance. The threshold is this low a probability (about 1 in 100,000) because hundreds of parts are
/// tested at once.
const EVIDENCE_MIN: f64 = 11.5;
/// Minimum evidence for another quarantine of a part that was quarantined before.
const RELAPSE_MIN: f64 = 2.3;
/// Crashes after which a part is suspected: a broken request that contains it is not sent to another engine at
/// once.
pub(super) const SUSPECT_CRASHES: usize = 2;
/// Time after which crashes are weighed again although no other has been reported.
const REWEIGH_AFTER: Duration = Duration::from_millis(200);
/// Maximum number of crashes that are stored for each part.
const CRASHES_KEPT: usize = 32;
/// Maximum number of parts that are tracked.
const PARTS_MAX: usize = 4_096;
/// Crashes within this time count as one, unless the later run was sent after the earlier crash: the engines of
/// a rack fail together.
const BURST_GAP: Duration = Duration::from_millis(300);
/// Maximum difference between the times of one crash as reported by several entry VMs.
const REPORT_SKEW: Duration = Duration::from_secs(2);
/// Time for which successful answers are remembered, so that they also void crashes that are reported late.
const SUCCESS_TTL: Duration = Duration::from_secs(10);

/// A crash of an engine that broke a run whose prompt contains the part.
#[derive(Clone, Debug)]
struct PartCrash {
    engine: Name,
    sent: Time,
    broke: Time,
    /// Negative natural logarithm of the probability that the run broke by chance.
    evidence: f64,
}

impl PartCrash {
    /// Whether both records describe the same crash. The time is compared too, since an engine may restart
    /// under its id.
    fn is_same(&self, other: &Self) -> bool {
        self.is_end(&other.engine, other.broke)
    }

    /// Whether this is the end of this engine at this time.
    fn is_end(&self, engine: &Name, at: Time) -> bool {
        self.engine == *engine && at.since(self.broke).max(self.broke.since(at)) < REPORT_SKEW
    }
}

impl PartCrash {
    fn logged(&self, now: Time) -> CountedCrash {
        CountedCrash {
            engine: Some(self.engine.clone()),
            sent_ms: ms(now.since(self.sent)),
            broken_ms: ms(now.since(self.broke)),
            chance: Some((-self.evidence).exp()),
        }
    }
}

/// Evidence for and against a part under which an engine has crashed.
#[derive(Clone, Debug, Default)]
struct PartRecord {
    crashes: Vec<PartCrash>,
    rank: Rank,
    /// When the newest successful answer to a prompt with the part began, as announced to all entry VMs.
    cleared: Option<Time>,
    /// Whether this entry VM is about to announce such an answer.
    announcing: bool,
    /// When its crashes were last weighed, and how many broken runs had been recorded by then.
    weighed: Option<(Time, u64)>,
    forget_at: Time,
}

/// Evidence about all tracked parts of prompts.
#[derive(Debug, Default)]
pub(super) struct Parts {
    records: FxHashMap<Fingerprint, PartRecord>,
    /// When the newest successful answer to a prompt with a part began at this entry VM.
    succeeded: FxHashMap<Fingerprint, Time>,
    /// When the newest answer to a prompt with a part began at this entry VM, successful or not.
    begun: FxHashMap<Fingerprint, Time>,
    pub(super) chance: Chance,
    pub(super) traffic: Traffic,
    /// When the newest of all answers began at this entry VM.
    answered: Time,
    /// Quarantine candidates, each with the time at which the evidence first sufficed.
    candidates: BTreeMap<Fingerprint, Time>,
    /// Parts under which engines have crashed since the last evaluation.
    unevaluated: BTreeSet<Fingerprint>,
}

/// A quarantine candidate with the evidence against it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) part: Fingerprint,
    /// When the first run that counts against it was sent.
    pub(super) since: Time,
    /// Whether no answer to a prompt with the part has begun at this entry VM since.
    no_answer_since: bool,
    crashes: usize,
    rank: Rank,
}

/// Priority among parts with the same number of crashes; the highest is taken for the cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether this is a part alone instead of its combination with a model.
    model_independent: bool,
    /// Position of the part in the prompt. Fewer prompts share a later part, so wrongly quarantining it blocks
    /// fewer requests.
    position: usize,
}

impl Rank {
    /// Rank of the fingerprint at `index` in the list of a prompt's shared parts, where each part is followed
    /// by its combination with the model.
    const fn of(index: usize) -> Self {
        Self { model_independent: index.is_multiple_of(2), position: index / 2 }
    }
}

/// Inputs to the evaluation of a part besides its own runs.
pub(super) struct Context<'a> {
    pub(super) now: Time,
    /// Number of entry VMs.
    pub(super) nodes: usize,
    /// Whether a part is quarantined.
    pub(super) is_quarantined_part: &'a dyn Fn(Fingerprint) -> bool,
    /// Whether it was quarantined before; one crash then suffices.
    pub(super) quarantined_before: &'a dyn Fn(Fingerprint) -> bool,
    /// The model of a prompt with these shared parts, if it is known.
    pub(super) model_of: &'a dyn Fn(&[Fingerprint]) -> Option<Name>,
}

impl Parts {
    /// Records that an answer to a prompt with these parts has begun at this entry VM.
    pub(super) fn record_begin(&mut self, parts: &[Fingerprint], now: Time) {
        self.answered = now;
        for part in parts {
            store_newest(&mut self.begun, *part, now, now);
        }
    }

    /// Counts a crash against the shared parts of a run's prompt. A crash that several entry VMs report counts
    /// once.
    pub(super) fn record_crash(&mut self, run: &Suspect, engine: &Name, context: &Context<'_>) {
        let now = context.now;
        let (sent, broke) = (now - run.sent_ago, now - run.broken_ago);
        let model = (context.model_of)(&run.parts);
        let request = run.request;
        let broken =
            Broken { request, engine: engine.clone(), sent, at: broke, parts: Arc::clone(&run.parts), model };
        self.chance.record_broken_run(broken, now);
        let evidence = -self.chance.estimate(context, |run| run.engine == *engine).ln();
        for (index, part) in run.parts.iter().enumerate() {
            let record = self.record_of(*part, now);
            record.rank = record.rank.max(Rank::of(index));
            record.add_crash(PartCrash { engine: engine.clone(), sent, broke, evidence }, now);
        }
    }

    /// Number of tracked parts.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of crashes that count against a part and that no successful answer has voided.
    pub(super) fn crash_count(&self, part: Fingerprint) -> usize {
        let succeeded = self.succeeded.get(&part).copied();
        self.records.get(&part).map_or(0, |record| record.counted(succeeded).len())
    }

    /// The evidence against a part, for the log; none if no crash counts against it.
    pub(super) fn evidence(&self, part: Fingerprint, now: Time) -> Option<Evidence> {
        let here = self.succeeded.get(&part).copied();
        let record = self.records.get(&part)?;
        let counted = record.counted(here);
        let answered = here.max(record.cleared);
        let part = PartEvidence {
            sum: counted.iter().map(|crash| crash.evidence).sum(),
            with_model: !record.rank.model_independent,
            position: record.rank.position,
            answered_ms: answered.map(|at| ms(now.since(at))),
            answered_here: here.is_some() && here == answered,
        };
        let newest = counted.len().saturating_sub(COUNTED_MAX);
        let counted: Vec<CountedCrash> = counted[newest..].iter().map(|crash| crash.logged(now)).collect();
        (!counted.is_empty()).then_some(Evidence { counted, part: Some(part) })
    }

    /// Marks a part for evaluation if enough crashes count against it. One crash may be reported in hundreds of
    /// messages, so that parts are not evaluated for each of them.
    pub(super) fn mark_unevaluated(&mut self, part: Fingerprint, context: &Context<'_>) {
        if self.may_be_candidate(part, context) {
            self.unevaluated.insert(part);
        }
    }

    /// Makes the parts under which engines have crashed quarantine candidates if the evidence suffices.
    pub(super) fn add_candidates(&mut self, context: &Context<'_>) {
        for part in std::mem::take(&mut self.unevaluated) {
            if self.evaluate(part, context).is_some() {
                self.candidates.entry(part).or_insert(context.now);
            }
        }
    }

    /// Whether enough crashes count against a part for any evidence to suffice.
    fn may_be_candidate(&self, part: Fingerprint, context: &Context<'_>) -> bool {
        let crashes = self.crash_count(part);
        let possible = crashes as f64 * -CHANCE_MIN.ln();
        crashes > 0 && ((context.quarantined_before)(part) || possible >= EVIDENCE_MIN)
    }

    /// Returns the candidate with the strongest evidence, if it has been one for `time` and engines have still
    /// begun to answer requests after that. The other candidates wait: this one may explain the crashes that
    /// count against them.
    pub(super) fn due_candidate(&mut self, time: Duration, context: &Context<'_>) -> Option<Candidate> {
        let candidates: Vec<Fingerprint> = self.candidates.keys().copied().collect();
        let found = candidates.into_iter().filter_map(|part| {
            let candidate = self.evaluate(part, context);
            if candidate.is_none() {
                self.candidates.remove(&part);
            }
            candidate
        });
        let strongest =
            found.max_by_key(|candidate| (candidate.no_answer_since, candidate.crashes, candidate.rank))?;
        let since = self.candidates.get(&strongest.part)?;
        (self.answered >= *since + time).then_some(strongest)
    }

    /// Whether there is a quarantine candidate, or a part that may be one.
    pub(super) fn has_candidates(&self) -> bool {
        !self.candidates.is_empty() || !self.unevaluated.is_empty()
    }

    /// Removes a part that is now quarantined from the candidates; the crashes that it explains no longer count
    /// against other parts.
    pub(super) fn mark_quarantined(&mut self, part: Fingerprint) {
        self.candidates.remove(&part);
        self.records.values_mut().for_each(|record| record.weighed = None);
        let crashes = self.records.get(&part).map(|record| record.crashes.clone()).unwrap_or_default();
        let explained = |of: &PartCrash| crashes.iter().any(|crash| crash.is_same(of));
        for (_, record) in self.records.iter_mut().filter(|(of, _)| **of != part) {
            record.crashes.retain(|crash| !explained(crash));
        }
    }

    /// Computes the evidence against a part; none if it does not suffice.
    fn evaluate(&mut self, part: Fingerprint, context: &Context<'_>) -> Option<Candidate> {
        let now = context.now;
        let succeeded = self.succeeded.get(&part).copied();
        let record = self.records.get(&part).filter(|record| now < record.forget_at)?;
        let crashes = record.counted(succeeded).len();
        let quarantined_before = (context.quarantined_before)(part);
        // Skips the estimate for the many parts that cannot become candidates whatever its result.
        if !self.may_be_candidate(part, context) {
            return None;
        }
        self.update_weights(part, context);
        let record = self.records.get(&part)?;
        let counted = record.counted(succeeded);
        let evidence: f64 = counted.iter().map(|crash| crash.evidence).sum();
        let enough = if quarantined_before { RELAPSE_MIN } else { EVIDENCE_MIN };
        let first = counted.first().filter(|_| evidence >= enough)?;
        let no_answer_since = self.begun.get(&part).is_none_or(|begun| *begun < first.sent);
        Some(Candidate { part, since: first.sent, no_answer_since, crashes, rank: record.rank })
    }

    /// Updates the evidence of each crash of a part, if anything has changed that it depends on.
    fn update_weights(&mut self, part: Fingerprint, context: &Context<'_>) {
        let recorded = self.chance.recorded();
        let is_current = |(at, broken)| broken == recorded && context.now.since(at) < REWEIGH_AFTER;
        if self.records.get(&part).and_then(|record| record.weighed).is_some_and(is_current) {
            return;
        }
        let weights = self.weigh(part, context);
        let Some(record) = self.records.get_mut(&part) else {
            return;
        };
        record.weighed = Some((context.now, recorded));
        for (crash, weight) in record.crashes.iter_mut().zip(weights) {
            crash.evidence = weight.unwrap_or(crash.evidence);
        }
    }

    /// The evidence of each crash of a part, as known now; none for crashes that are too old to tell.
    ///
    /// A crash at whose time no other engine ended is compared with the runs of the last seconds. The other ends
    /// of engines may have had another cause, and are tested together.
    fn weigh(&self, part: Fingerprint, context: &Context<'_>) -> Vec<Option<f64>> {
        let Some(record) = self.records.get(&part) else {
            return Vec::new();
        };
        let calm = -self.chance.estimate(context, |run| run.parts.contains(&part)).ln();
        let counted = record.counted(self.succeeded.get(&part).copied());
        let Some(first) = counted.first().map(|crash| crash.broke - BURST_GAP) else {
            return Vec::new();
        };
        let shares = self.traffic.shares(part);
        let ends = composition::ends(self.chance.unexplained(first, context), part, &shares);
        let alone = composition::alone(&ends);
        let find = |crash: &PartCrash| ends.iter().position(|end| crash.is_end(end.engine, end.at));
        let in_waves = counted.iter().filter(|crash| find(crash).is_some_and(|at| !alone[at])).count();
        let others = ends.iter().zip(&alone).filter(|(_, alone)| !**alone).map(|(end, _)| end);
        let together = composition::evidence(others) / in_waves.max(1) as f64;
        // What breaks later says nothing about the moment of a crash.
        let is_recent = |crash: &PartCrash| context.now.since(crash.broke) < REPORT_SKEW;
        let weigh = |crash: &PartCrash| match find(crash).filter(|_| is_recent(crash))? {
            at if alone[at] => Some(calm),
            _ => Some(together.min(calm)),
        };
        record.crashes.iter().map(weigh).collect()
    }

    /// Records a successful answer, begun at `at`, to a prompt with the part. Returns whether it is to be
    /// announced to all entry VMs.
    pub(super) fn record_successful_answer(&mut self, part: Fingerprint, at: Time, now: Time) -> bool {
        store_newest(&mut self.succeeded, part, at, now);
        self.begin_announcing(part)
    }

    /// Whether a successful answer at this entry VM is to be announced now: other entry VMs suspect the part,
    /// and it is not being announced yet.
    pub(super) fn begin_announcing(&mut self, part: Fingerprint) -> bool {
        let (Some(at), Some(record)) = (self.succeeded.get(&part), self.records.get_mut(&part)) else {
            return false;
        };
        let announces = !record.announcing && record.is_suspected_elsewhere(*at);
        record.announcing |= announces;
        announces
    }

    /// Called when the announcement is due. Returns when the successful answer began; none if the other entry
    /// VMs do not need to know it any more.
    pub(super) fn announcement_due(&mut self, part: Fingerprint) -> Option<Time> {
        let at = self.succeeded.get(&part).copied()?;
        let record = self.records.get_mut(&part)?;
        record.announcing = false;
        record.is_suspected_elsewhere(at).then_some(at)
    }

    /// Applies an announced successful answer that began at `at`.
    pub(super) fn clear(&mut self, part: Fingerprint, at: Time) {
        if let Some(record) = self.records.get_mut(&part) {
            record.cleared = record.cleared.max(Some(at));
            record.crashes.retain(|crash| crash.sent >= at);
        }
    }

    /// Returns the record of a part. If there are too many, the one with the fewest crashes is evicted.
    fn record_of(&mut self, part: Fingerprint, now: Time) -> &mut PartRecord {
        if self.records.len() >= PARTS_MAX && !self.records.contains_key(&part) {
            self.records.retain(|_, record| now < record.forget_at);
            let least =
                self.records.iter().min_by_key(|(of, record)| (record.crashes.len(), record.forget_at, **of));
            if let Some(least) = least.map(|(of, _)| *of).filter(|_| self.records.len() >= PARTS_MAX) {
                self.records.remove(&least);
            }
        }
        let record = self.records.entry(part).or_default();
        if now >= record.forget_at {
            *record = PartRecord::default();
        }
        record
    }
}

/// Stores the newest time for a part.
fn store_newest(times: &mut FxHashMap<Fingerprint, Time>, part: Fingerprint, at: Time, now: Time) {
    if times.len() >= PARTS_MAX {
        times.retain(|_, stored| now.since(*stored) < SUCCESS_TTL);
    }
    if times.len() < PARTS_MAX {
        let newest = times.entry(part).or_insert(at);
        *newest = at.max(*newest);
    }
}

impl PartRecord {
    fn add_crash(&mut self, crash: PartCrash, now: Time) {
        self.forget_at = now + EVIDENCE_TTL;
        if self.cleared.is_some_and(|cleared| cleared > crash.sent) {
            return;
        }
        if let Some(stored) = self.crashes.iter_mut().find(|stored| stored.is_same(&crash)) {
            stored.sent = stored.sent.max(crash.sent);
            return;
        }
        if self.crashes.len() >= CRASHES_KEPT {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|crash| crash.broke);
    }

    /// Crashes that count: those of runs that were sent after the newest successful answer, where several
    /// engines that crash at once count as one.
    fn counted(&self, succeeded: Option<Time>) -> Vec<&PartCrash> {
        let from = succeeded.max(self.cleared).unwrap_or_default();
        let mut counted: Vec<&PartCrash> = Vec::new();
        for crash in self.crashes.iter().filter(|crash| crash.sent >= from) {
            let apart = |last: &&PartCrash| crash.sent >= last.broke || crash.broke >= last.broke + BURST_GAP;
            if counted.last().is_none_or(apart) {
                counted.push(crash);
            }
        }
        counted
    }

    /// Whether entry VMs that have not observed the successful answer that began at `at` suspect the part.
    fn is_suspected_elsewhere(&self, at: Time) -> bool {
        let voided = self.crashes.iter().filter(|crash| crash.sent < at).count();
        voided > 0 && self.counted(None).len() >= SUSPECT_CRASHES
    }
}
