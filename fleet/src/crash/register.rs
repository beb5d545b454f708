//! Evidence for and against each request under which engines have crashed, and the state of its quarantine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::own::{OwnCrash, OwnCrashes};
use super::parts::{Candidate, Context, Parts, SUSPECT_CRASHES};
use super::trial::{Provisional, Trials};
use super::{Quarantine, Status, Suspect, Verdict};
use crate::record::ms;
use crate::request::{Fingerprint, Id};

/// Time for which evidence for or against a request is remembered if none is added.
pub(super) const EVIDENCE_TTL: Duration = Duration::from_mins(10);
/// Duration of the first quarantine: engines may be repaired meanwhile. After it, one crash suffices for the
/// next.
const QUARANTINE: Duration = Duration::from_mins(10);
/// Factor by which each further quarantine lasts longer.
const QUARANTINE_GROWTH: u32 = 6;
/// Maximum duration of a quarantine.
pub(super) const QUARANTINE_MAX: Duration = Duration::from_hours(24);
/// Maximum number of stored answers that ended with their connections, and the time for which they are stored:
/// the next request to the engine shows whether the engine still runs.
const CLOSED_MAX: usize = 256;
const CLOSED_TTL: Duration = Duration::from_secs(2);
/// Maximum number of requests that are tracked: an attacker needs a crash for each.
const REQUESTS_MAX: usize = 256;

/// Evidence about a request or a part of prompts, and its quarantine.
#[derive(Clone, Debug, Default)]
struct RequestRecord {
    /// Number of crashes that count.
    crashes: u32,
    /// The newest crashes that count.
    counted: OwnCrashes,
    /// Only crashes of runs that were sent after this time count.
    since: Time,
    /// Number of times it was quarantined.
    times: u32,
    /// End of the quarantine.
    quarantined_until: Option<Time>,
    /// When this entry VM learned of the quarantine.
    known_since: Time,
    /// Time from which the evidence for the quarantine dates.
    evidence_since: Time,
    /// When an engine answered it successfully; none if no engine did, or if a crash has counted since.
    cleared: Option<Time>,
    /// When this record expires.
    forget_at: Time,
}

impl RequestRecord {
    fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// The end of its last quarantine, if it was quarantined before.
    fn relapse_from(&self) -> Option<Time> {
        self.quarantined_until.filter(|_| self.times > 0)
    }

    fn quarantine(&mut self, now: Time, left: Duration, times: u32) {
        self.times = self.times.max(times);
        self.cleared = None;
        self.known_since = now;
        self.quarantined_until = Some(now + left);
        self.forget_at = now + left + left.max(EVIDENCE_TTL);
    }

    /// Whether it is quarantined or cleared; none if neither.
    fn status(&self, now: Time) -> Option<Status> {
        match self.quarantined_until.filter(|until| now < *until) {
            Some(until) => Some(Status::Quarantined { left: until.since(now), times: self.times }),
            None if self.cleared.is_some() && now < self.forget_at => {
                Some(Status::Cleared { left: self.forget_at.since(now) })
            }
            None => None,
        }
    }
}

/// Runs that broke at an engine that may have crashed, until that is decided.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectedCrash {
    pub(super) runs: Vec<Run>,
    /// This entry VM, and the others that were asked for a probe.
    pub(super) asked: Vec<Name>,
    /// Whether one of those found the engine's port closed, while another entry VM is still asked whether it
    /// reaches the engine.
    pub(super) confirmed_by_peer: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Run {
    pub(super) id: Id,
    pub(super) request: Fingerprint,
    pub(super) parts: Arc<[Fingerprint]>,
    /// Whether the answer had begun.
    pub(super) begun: bool,
    pub(super) sent: Time,
    pub(super) broke: Time,
}

/// Whether an answer ended too long ago for a crash that is found now to have ended it.
fn is_stale(run: &Run, now: Time) -> bool {
    now.since(run.broke) > CLOSED_TTL
}

/// Duration of the quarantine number `times`.
fn quarantine_length(times: u32) -> Duration {
    QUARANTINE.saturating_mul(QUARANTINE_GROWTH.saturating_pow(times.saturating_sub(1))).min(QUARANTINE_MAX)
}

/// Register of requests and shared parts of prompts under which engines have crashed.
#[derive(Debug, Default)]
pub struct Register {
    records: FxHashMap<Fingerprint, RequestRecord>,
    pub(super) parts: Parts,
    pub(super) trials: Trials,
    /// Whether the timer for the evaluation of quarantine candidates is set.
    evaluating: bool,
    pub(super) suspected_crashes: BTreeMap<Name, SuspectedCrash>,
    /// Runs whose answers ended with their connections, each with its engine.
    closed: VecDeque<(Name, Run)>,
    /// The hub's last digest of its quarantined and cleared requests.
    hub_digest: u64,
}

impl Register {
    /// Whether a request is quarantined.
    pub(crate) fn is_quarantined(&self, request: Fingerprint, now: Time) -> bool {
        self.records.get(&request).is_some_and(|record| record.is_quarantined(now))
    }

    /// The quarantined fingerprints that block a request: its own, and those of its parts.
    pub(super) fn blockers(
        &self,
        request: Fingerprint,
        parts: &[Fingerprint],
        now: Time,
    ) -> Vec<Fingerprint> {
        let all = std::iter::once(&request).chain(parts);
        all.copied().filter(|of| self.is_quarantined(*of, now)).collect()
    }

    /// The quarantine of a request or part, if it is the first and no trial has confirmed it.
    pub(super) fn provisional(&self, of: Fingerprint, now: Time) -> Option<Provisional> {
        let record =
            self.records.get(&of).filter(|record| record.is_quarantined(now) && record.times == 1)?;
        let began = record.quarantined_until? - quarantine_length(1);
        Some(Provisional { began, known_since: record.known_since })
    }

    /// Drops the trials of quarantines that are no longer provisional.
    pub(super) fn prune_trials(&mut self, now: Time) {
        let mut trials = std::mem::take(&mut self.trials);
        trials.prune(|of| self.provisional(of, now).is_some());
        self.trials = trials;
    }

    /// Confirms a provisional quarantine.
    pub(super) fn confirm(&mut self, of: Fingerprint, now: Time) -> Verdict {
        self.parts.mark_quarantined(of);
        let record = self.record_of(of, now);
        let times = record.times + 1;
        let left = quarantine_length(times);
        record.evidence_since = now;
        record.quarantine(now, left, times);
        Verdict { request: of, status: Status::Quarantined { left, times } }
    }

    /// Whether one of these parts is suspected.
    pub(crate) fn has_suspected_part(&self, parts: &[Fingerprint]) -> bool {
        parts.iter().any(|part| self.parts.crash_count(*part) >= SUSPECT_CRASHES)
    }

    /// Whether an engine has crashed under a request and none has answered it since.
    pub(crate) fn is_suspected(&self, request: Fingerprint) -> bool {
        self.records.get(&request).is_some_and(|record| record.crashes > 0)
    }

    /// Number of quarantined requests and parts.
    #[must_use]
    pub fn quarantined_count(&self, now: Time) -> usize {
        self.records.values().filter(|record| record.is_quarantined(now)).count()
    }

    /// Number of parts of prompts for which evidence of crashes is stored.
    #[must_use]
    pub fn tracked_parts(&self) -> usize {
        self.parts.len()
    }

    /// Quarantined requests and parts in the form of the lease's row. `store_ms` is the latest time that the
    /// store's clock can show now.
    pub(crate) fn stored_quarantines(&self, now: Time, store_ms: u64) -> Vec<Quarantine> {
        let quarantined = self.records.iter().filter(|(_, record)| record.is_quarantined(now));
        let stored = quarantined.map(|(request, record)| Quarantine {
            request: *request,
            until_ms: store_ms + record.quarantined_until.map_or(0, |until| ms(until.since(now))),
            times: record.times,
        });
        stored.collect()
    }

    /// The verdict on a request or part, if there is one.
    pub(super) fn verdict(&self, request: Fingerprint, now: Time) -> Option<Verdict> {
        let status = self.records.get(&request)?.status(now)?;
        Some(Verdict { request, status })
    }

    /// All verdicts.
    fn verdicts(&self, now: Time) -> Vec<Verdict> {
        let with_status = |(request, record): (&Fingerprint, &RequestRecord)| {
            record.status(now).map(|status| Verdict { request: *request, status })
        };
        self.records.iter().filter_map(with_status).collect()
    }

    /// Digest of all verdicts, equal for all entry VMs with the same verdicts; 0 if there is none.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        let with_status =
            self.records.iter().filter_map(|(request, record)| Some((request, record.status(now)?)));
        let digest = |request: &Fingerprint, status| match status {
            Status::Cleared { .. } => request.digest(true),
            // A confirmed quarantine differs from a provisional one.
            Status::Quarantined { times: 2.., .. } => request.digest(false).rotate_left(1),
            Status::Quarantined { .. } | Status::Trial { .. } => request.digest(false),
        };
        with_status.fold(0, |sum, (request, status)| sum ^ digest(request, status))
    }

    /// Verdicts for another entry VM with this digest: all of them, or none if the digest is equal to the own
    /// one.
    pub(crate) fn verdicts_unless_equal(&self, digest: u64, now: Time) -> Vec<Verdict> {
        if digest == self.digest(now) { Vec::new() } else { self.verdicts(now) }
    }

    /// Verdicts that the hub may lack.
    pub(crate) fn verdicts_for_hub(&self, now: Time) -> Vec<Verdict> {
        self.verdicts_unless_equal(self.hub_digest, now)
    }

    /// Stores the hub's digest.
    pub(crate) const fn set_hub_digest(&mut self, digest: u64) {
        self.hub_digest = digest;
    }

    /// Returns the record of a request. If there are too many, the one that expires first is evicted.
    fn record_of(&mut self, request: Fingerprint, now: Time) -> &mut RequestRecord {
        self.records.retain(|_, record| now < record.forget_at);
        if self.records.len() >= REQUESTS_MAX && !self.records.contains_key(&request) {
            let first = self.records.iter().min_by_key(|(request, record)| (record.forget_at, **request));
            if let Some(first) = first.map(|(request, _)| *request) {
                self.records.remove(&first);
            }
        }
        self.records.entry(request).or_default()
    }

    /// Counts a crash against the request of a broken run. Returns whether the crashes may suffice for a
    /// quarantine.
    pub(super) fn count_crash(&mut self, suspect: &Suspect, now: Time) -> bool {
        let record = self.record_of(suspect.request, now);
        let sent_again = now - suspect.sent_ago >= record.since;
        if record.is_quarantined(now) || (record.cleared.is_some() && !sent_again) {
            return false;
        }
        if record.crashes == 0 {
            record.evidence_since = now - suspect.broken_ago;
        }
        record.forget_at = record.forget_at.max(now + EVIDENCE_TTL);
        record.cleared = None;
        record.counted.add(suspect, now);
        if sent_again {
            record.crashes += 1;
            record.since = now - suspect.broken_ago;
        }
        record.counted.suffice(record.relapse_from(), |_| false)
    }

    /// Quarantines a request if the crashes under it suffice. Returns whether it did.
    pub(super) fn quarantine_if_sufficient(&mut self, request: Fingerprint, now: Time) -> bool {
        let Some(record) = self.records.get(&request).filter(|record| !record.is_quarantined(now)) else {
            return false;
        };
        let has_other_cause = |crash: &OwnCrash| {
            let engine = crash.engine.as_ref();
            engine.is_some_and(|engine| self.has_other_cause(request, engine, crash.broke, now))
        };
        if record.cleared.is_some() || !record.counted.suffice(record.relapse_from(), has_other_cause) {
            return false;
        }
        let record = self.record_of(request, now);
        let times = record.times + 1;
        record.quarantine(now, quarantine_length(times), times);
        true
    }

    /// Whether the crash of an engine under a request or part may have another cause: another engine crashed at
    /// the same moment, neither under this request or part nor under a quarantined one.
    pub(super) fn has_other_cause(&self, of: Fingerprint, engine: &Name, at: Time, now: Time) -> bool {
        self.parts.chance.has_other_cause(engine, at, |run| {
            let mut contents = std::iter::once(&run.request).chain(run.parts.iter());
            contents.any(|content| *content == of || self.is_quarantined(*content, now))
        })
    }

    /// Stores a run whose answer ended with its connection.
    pub(super) fn store_closed(&mut self, engine: &Name, run: Run, now: Time) {
        while self.closed.len() >= CLOSED_MAX
            || self.closed.front().is_some_and(|(_, run)| is_stale(run, now))
        {
            self.closed.pop_front();
        }
        self.closed.push_back((engine.clone(), run));
    }

    /// Begins to suspect a crash if the port of an engine is closed at which answers have just ended with their
    /// connections.
    pub(super) fn suspect_closed(&mut self, engine: &Name, me: &Name, now: Time) {
        if !self.suspected_crashes.contains_key(engine)
            && self.closed.iter().any(|(of, run)| of == engine && !is_stale(run, now))
        {
            self.suspected_crashes.insert(
                engine.clone(),
                SuspectedCrash { asked: vec![me.clone()], ..SuspectedCrash::default() },
            );
        }
    }

    /// Removes and returns the runs at a crashed engine whose answers had just ended with their connections.
    pub(super) fn take_closed(&mut self, engine: &Name, now: Time) -> Vec<Run> {
        let (here, left) = self.closed.drain(..).partition(|(of, _)| of == engine);
        self.closed = left;
        let here: VecDeque<(Name, Run)> = here;
        here.into_iter().map(|(_, run)| run).filter(|run| !is_stale(run, now)).collect()
    }

    /// Counts crashes against the shared parts of the prompts of the broken runs; those with sufficient
    /// evidence become quarantine candidates. Returns whether the periodic evaluation of candidates is to
    /// begin. `nodes`: number of entry VMs.
    pub(super) fn record_crashes(
        &mut self,
        suspects: &[Suspect],
        now: Time,
        nodes: usize,
        model_of: &dyn Fn(&[Fingerprint]) -> Option<Name>,
    ) -> bool {
        let Self { records, parts, .. } = self;
        let is_quarantined_part =
            |of: Fingerprint| records.get(&of).is_some_and(|record| record.is_quarantined(now));
        let quarantined_before = |of: Fingerprint| records.get(&of).is_some_and(|record| record.times > 0);
        let is_quarantined_part = &is_quarantined_part;
        let context =
            Context { now, nodes, is_quarantined_part, quarantined_before: &quarantined_before, model_of };
        let mut affected = BTreeSet::new();
        for suspect in suspects {
            let Some(engine) = &suspect.engine else { continue };
            parts.record_crash(suspect, engine, &context);
            affected.extend(suspect.parts.iter().filter(|part| !is_quarantined_part(**part)));
        }
        for part in affected {
            parts.mark_unevaluated(part, &context);
        }
        let begins = parts.has_candidates() && !self.evaluating;
        self.evaluating |= begins;
        begins
    }

    /// Quarantines the candidate with the strongest evidence, if it has been one for `time`, and returns it.
    pub(super) fn quarantine_next(&mut self, time: Duration, now: Time, nodes: usize) -> Option<Fingerprint> {
        let Self { records, parts, .. } = self;
        let context = Context {
            now,
            nodes,
            is_quarantined_part: &|of| records.get(&of).is_some_and(|record| record.is_quarantined(now)),
            quarantined_before: &|of| records.get(&of).is_some_and(|record| record.times > 0),
            model_of: &|_| None,
        };
        parts.add_candidates(&context);
        let Candidate { part, since, .. } = parts.due_candidate(time, &context)?;
        parts.mark_quarantined(part);
        let record = self.record_of(part, now);
        record.evidence_since = since;
        let times = record.times + 1;
        record.quarantine(now, quarantine_length(times), times);
        Some(part)
    }

    /// Whether any candidate is left; if none is, the periodic evaluation ends.
    pub(super) fn continue_evaluation(&mut self) -> bool {
        self.evaluating = self.parts.has_candidates();
        self.evaluating
    }

    /// Whether a successful answer that began at `at` refutes a quarantine.
    pub(super) fn is_refuted_by_answer(&self, of: Fingerprint, at: Time, now: Time) -> bool {
        self.records.get(&of).is_some_and(|record| record.is_quarantined(now) && at > record.evidence_since)
    }

    /// Takes over a verdict of another entry VM. Returns whether that quarantines a request that was not
    /// quarantined, or confirms its quarantine.
    pub(super) fn apply_verdict(&mut self, Verdict { request, status }: Verdict, now: Time) -> bool {
        let record = self.record_of(request, now);
        match status {
            Status::Quarantined { left, times } => {
                let began = now - quarantine_length(times).saturating_sub(left);
                let confirms = times > record.times;
                let new = record.cleared.is_none_or(|cleared| cleared < began)
                    && (!record.is_quarantined(now) || confirms);
                if new {
                    record.evidence_since = began;
                    record.quarantine(now, left.min(QUARANTINE_MAX), times);
                    self.parts.mark_quarantined(request);
                }
                new
            }
            Status::Cleared { left } => {
                let left = left.min(EVIDENCE_TTL);
                let at = now - EVIDENCE_TTL.saturating_sub(left);
                // A cleared state ends at the same time at all entry VMs: receiving it again does not prolong
                // it. An entry VM that missed the crashes after an answer may still send it.
                if record.cleared.is_none() && !(record.is_quarantined(now) && at <= record.evidence_since) {
                    *record = RequestRecord {
                        since: now,
                        cleared: Some(at),
                        forget_at: now + left,
                        ..RequestRecord::default()
                    };
                }
                self.parts.clear(request, at);
                false
            }
            Status::Trial { .. } => false,
        }
    }

    /// Number of crashes that count against a request or part.
    pub(super) fn crashes(&self, request: Fingerprint) -> u32 {
        let parts = self.parts.crash_count(request) as u32;
        self.records.get(&request).map_or(0, |record| record.crashes).max(parts)
    }

    /// The crashes that count against a request's own fingerprint.
    pub(super) fn own_crashes(&self, request: Fingerprint) -> Option<&OwnCrashes> {
        self.records.get(&request).map(|record| &record.counted)
    }
}
