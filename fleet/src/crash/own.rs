//! The crashes that count against a request's own fingerprint, and when they suffice for a quarantine.
//!
//! Engines may crash in waves for another cause, and a request that is sent again may be hit by two of them. A
//! crash at whose moment other engines crashed without the request therefore counts little.

use std::collections::VecDeque;

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::Suspect;
use crate::record::{CountedCrash, ms};

/// Maximum number of crashes that are stored for each request, and that a line of the log lists.
pub(super) const COUNTED_MAX: usize = 8;

/// Number of consecutive crashes without another cause after which a request is quarantined. A run that did not
/// cause the crash is sent again to one of many engines, and is rarely hit by a second crash before it is
/// answered.
const CRASHES_MAX: usize = 2;
/// Number of consecutive crashes after which a request is quarantined even if each may have had another cause.
const CRASHES_IN_WAVES_MAX: usize = 4;
/// Number of model engines that crash under a request at once after which it is quarantined, although it was
/// sent to none of them after the first crash. Calls to plain HTTP backend servers do not count here: a popular
/// call runs at many of them, and all may fail together.
const BURST_MAX: usize = 3;

/// A crash that counts.
#[derive(Clone, Debug)]
pub(super) struct OwnCrash {
    /// The engine, if it runs models.
    pub(super) engine: Option<Name>,
    sent: Time,
    pub(super) broke: Time,
}

/// The newest crashes that count against a request.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnCrashes(VecDeque<OwnCrash>);

impl OwnCrashes {
    /// Adds the crash that broke a run.
    pub(super) fn add(&mut self, suspect: &Suspect, now: Time) {
        if self.0.len() >= COUNTED_MAX {
            self.0.pop_front();
        }
        let (sent, broke) = (now - suspect.sent_ago, now - suspect.broken_ago);
        self.0.push_back(OwnCrash { engine: suspect.engine.clone(), sent, broke });
    }

    /// Whether these crashes suffice for a quarantine. Only those after `from` count, the end of an earlier
    /// quarantine; one of them then suffices.
    pub(super) fn suffice(&self, from: Option<Time>, has_other_cause: impl Fn(&OwnCrash) -> bool) -> bool {
        let mut last_broke = from.unwrap_or_default();
        let (mut crashes, mut sole_cause) = (0, 0);
        let mut engines: Vec<&Name> = Vec::new();
        for crash in self.0.iter().filter(|crash| from.is_none_or(|from| crash.sent >= from)) {
            let is_sole_cause = !has_other_cause(crash);
            // Engines that crash at once count as one crash.
            if crash.sent >= last_broke {
                last_broke = crash.broke;
                crashes += 1;
                sole_cause += usize::from(is_sole_cause);
            }
            if let Some(engine) = crash.engine.as_ref().filter(|of| is_sole_cause && !engines.contains(of)) {
                engines.push(engine);
            }
        }
        let needed = if from.is_some() { 1 } else { CRASHES_MAX };
        sole_cause >= needed || crashes >= CRASHES_IN_WAVES_MAX || engines.len() >= BURST_MAX
    }

    /// The crashes in the form of the log.
    pub(super) fn logged(&self, now: Time) -> Vec<CountedCrash> {
        let logged = |crash: &OwnCrash| CountedCrash {
            engine: crash.engine.clone(),
            sent_ms: ms(now.since(crash.sent)),
            broken_ms: ms(now.since(crash.broke)),
            chance: None,
        };
        self.0.iter().map(logged).collect()
    }
}
