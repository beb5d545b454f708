//! Log lines about crashes.

use boragecove_core::name::Name;
use boragecove_core::time::Time;

use crate::effect::Effect;
use crate::record::{Evidence, Record};
use crate::request::{Fingerprint, Id};
use crate::state::State;

/// Logs that a request is refused because its content is quarantined.
pub(crate) fn log_refusal(state: &State, id: Id, request: Fingerprint, out: &mut Vec<Effect>) {
    log_crash(state, request, "refused", Some(id), None, out);
}

/// Logs what is now known of a request or part.
pub(super) fn log_crash(
    state: &State,
    request: Fingerprint,
    label: &'static str,
    id: Option<Id>,
    engine: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    out.push(Effect::Record(crash_record(state, request, label, id, engine, None)));
}

/// Logs a quarantine that this entry VM has decided, with the evidence.
pub(super) fn log_quarantine(
    state: &State,
    now: Time,
    request: Fingerprint,
    id: Option<Id>,
    engine: Option<&Name>,
    out: &mut Vec<Effect>,
) {
    let evidence = Some(Box::new(evidence(state, now, request)));
    out.push(Effect::Record(crash_record(state, request, "quarantined", id, engine, evidence)));
}

fn evidence(state: &State, now: Time, request: Fingerprint) -> Evidence {
    state.crashes.parts.evidence(request, now).unwrap_or_else(|| {
        let own = state.crashes.own_crashes(request);
        Evidence { counted: own.map(|own| own.logged(now)).unwrap_or_default(), part: None }
    })
}

fn crash_record(
    state: &State,
    request: Fingerprint,
    label: &'static str,
    id: Option<Id>,
    engine: Option<&Name>,
    evidence: Option<Box<Evidence>>,
) -> Record {
    Record::Crash {
        request: id.map(|id| id.0),
        fingerprint: request.to_string(),
        state: label,
        engine: engine.cloned(),
        crashes: state.crashes.crashes(request),
        evidence,
    }
}
