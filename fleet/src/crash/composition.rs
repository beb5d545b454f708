//! Test whether a part of prompts occurs at more of the engines that ended than its traffic explains.
//!
//! Engines may end in waves for another cause. The number of ends then says nothing about a part, but a part
//! that is not the cause is found at as many of these engines as its share of the requests there predicts.

use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::time::Time;
use rustc_hash::FxHashMap;

use super::chance::Broken;
use super::traffic::Shares;
use crate::request::Fingerprint;

/// Ends of engines within this time may have one cause.
const MOMENT: Duration = Duration::from_millis(300);
/// Maximum difference between the times of one end as reported by several entry VMs.
const REPORT_SKEW: Duration = Duration::from_secs(2);

/// The end of an engine, as known from the runs that broke there.
#[derive(Debug)]
pub(super) struct End<'a> {
    pub(super) engine: &'a Name,
    pub(super) at: Time,
    /// When the newest run with the part was sent to it; none if it ran none.
    sent: Option<Time>,
    /// Probability that no run contains the part by chance.
    free: f64,
}

impl End<'_> {
    /// Whether another engine ended beside this one: not if both ran the part, one after the other had ended.
    fn is_beside(&self, other: &Self) -> bool {
        let follows = |one: &Self, other: &Self| one.sent.is_some_and(|sent| sent >= other.at);
        let in_turn = other.sent.is_some() && (follows(self, other) || follows(other, self));
        self.engine != other.engine && !in_turn
    }
}

/// The ends of engines from these broken runs, ordered by time.
pub(super) fn ends<'a>(
    broken: impl Iterator<Item = &'a Broken>,
    part: Fingerprint,
    shares: &Shares<'_>,
) -> Vec<End<'a>> {
    let mut ends: Vec<End<'a>> = Vec::new();
    let mut newest: FxHashMap<&Name, usize> = FxHashMap::default();
    let mut share_of: FxHashMap<Option<&Name>, f64> = FxHashMap::default();
    for run in broken {
        let model = run.model.as_ref();
        let share =
            *share_of.entry(model).or_insert_with(|| model.map_or(shares.overall(), |of| shares.of(of)));
        let sent = run.parts.contains(&part).then_some(run.sent);
        let same = newest.get(&run.engine).copied().filter(|at| is_near(ends[*at].at, run.at, REPORT_SKEW));
        if let Some(end) = same.map(|at| &mut ends[at]) {
            end.sent = end.sent.max(sent);
            end.free *= 1.0 - share;
        } else {
            newest.insert(&run.engine, ends.len());
            ends.push(End { engine: &run.engine, at: run.at, sent, free: 1.0 - share });
        }
    }
    ends.sort_by_key(|end| end.at);
    ends
}

fn is_near(one: Time, other: Time, within: Duration) -> bool {
    one.since(other).max(other.since(one)) < within
}

/// For each of these ends, ordered by time, whether the part occurs there and no other engine ended at that time.
pub(super) fn alone(ends: &[End<'_>]) -> Vec<bool> {
    let is_alone = |end: &End<'_>| {
        if end.sent.is_none() {
            return false;
        }
        let first = ends.partition_point(|other| other.at <= end.at - MOMENT);
        let mut near = ends[first..].iter().take_while(|other| is_near(other.at, end.at, MOMENT));
        !near.any(|other| end.is_beside(other))
    };
    ends.iter().map(is_alone).collect()
}

/// Evidence that the part occurs at more of these ends than by chance, as the negative natural logarithm of a
/// bound of the probability (Chernoff).
pub(super) fn evidence<'a>(ends: impl Iterator<Item = &'a End<'a>>) -> f64 {
    let (mut count, mut with, mut expected) = (0.0, 0.0, 0.0);
    for end in ends {
        count += 1.0;
        with += f64::from(u8::from(end.sent.is_some()));
        expected += 1.0 - end.free;
    }
    if with <= expected || count == 0.0 {
        return 0.0;
    }
    count * divergence(with / count, expected / count)
}

/// Kullback-Leibler divergence of two probabilities of an event.
fn divergence(observed: f64, expected: f64) -> f64 {
    let term = |one: f64, other: f64| if one > 0.0 { one * (one / other).ln() } else { 0.0 };
    term(observed, expected) + term(1.0 - observed, 1.0 - expected)
}
