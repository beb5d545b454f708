//! Finds out which build began a stream that a caller resumes.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::code::Code;
use boragecove_core::name::Name;
use boragecove_core::time::Time;

use super::replicas::replicas;
use super::{Origin, OriginAnswer, Pin, only_build};
use crate::effect::Effect;
use crate::flow::{self, RETRY_AFTER, Stage};
use crate::record::Record;
use crate::request::Id;
use crate::state::State;

/// Whether it is known which engines may serve a request. If its caller resumes a stream whose origin is not known here, the stream's replicas
/// are asked, or the request is refused.
pub(crate) fn resolve_origin(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> bool {
    let Some(flow) = state.flows.get(&id) else {
        return false;
    };
    if matches!(flow.stage, Stage::Tracing { .. }) {
        return false;
    }
    let Some(resumption) = flow.resumption else {
        return true;
    };
    if let Some(origin) = resumption.stream.and_then(|stream| state.pins.origins.get(stream)).cloned() {
        return pin_to_origin(state, now, id, &origin, "kept", out);
    }
    let asked = resumption.stream.map(|stream| (stream, replicas(state, stream)));
    let Some((stream, replicas)) = asked.filter(|(_, replicas)| !replicas.is_empty()) else {
        return pin_to_only_build(state, now, id, out);
    };
    if let Some(flow) = state.flows.get_mut(&id) {
        flow.stage = Stage::Tracing { left: replicas.len(), confirmed: false };
    }
    out.extend(replicas.into_iter().map(|address| Effect::QueryOrigin { address, request: id, stream }));
    false
}

/// Handles a replica's answer on the origin of the stream that a request resumes.
pub(crate) fn origin_answered(
    state: &mut State,
    now: Time,
    id: Id,
    replica: SocketAddr,
    answer: &OriginAnswer,
    out: &mut Vec<Effect>,
) {
    let confirms = *answer == OriginAnswer::Unknown && is_elsewhere(state, replica);
    let Some(flow) = state.flows.get_mut(&id) else {
        return;
    };
    let Stage::Tracing { left, confirmed } = &mut flow.stage else {
        return;
    };
    *left -= 1;
    *confirmed |= confirms;
    let (all_answered, confirmed) = (*left == 0, *confirmed);
    let allowed = match answer {
        OriginAnswer::Known(origin) => {
            flow.stage = Stage::Waiting;
            pin_to_origin(state, now, id, origin, "told", out)
        }
        OriginAnswer::Unknown | OriginAnswer::Missing if !all_answered => return,
        OriginAnswer::Unknown | OriginAnswer::Missing => {
            flow.stage = Stage::Waiting;
            if confirmed {
                pin_to_only_build(state, now, id, out)
            } else {
                refuse_unknown(state, now, id, out);
                false
            }
        }
    };
    if allowed {
        flow::dispatch(state, now, id, true, out);
    }
}

/// Whether an entry VM is outside of this one's availability zone, with which it may be cut off. If all are inside, each counts.
fn is_elsewhere(state: &State, address: SocketAddr) -> bool {
    let own = &state.me.zone;
    !state.members.is_beyond(own) || state.members.zone_of(address).is_some_and(|zone| zone != own)
}

/// Pins a request to the only build of its service, if that is certain. Returns whether the request may be dispatched.
fn pin_to_only_build(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) -> bool {
    let Some(flow) = state.flows.get(&id) else {
        return false;
    };
    if let [destination] = &*flow.route.split
        && let Some(build) = only_build(state, now, &destination.service)
    {
        let origin = Origin { service: destination.service.clone(), build: Some(build.clone()) };
        return pin_to_origin(state, now, id, &origin, "only", out);
    }
    refuse_unknown(state, now, id, out);
    false
}

/// Pins a request to the build that began the stream that it resumes. Returns whether the request may be dispatched.
fn pin_to_origin(
    state: &mut State,
    now: Time,
    id: Id,
    origin: &Origin,
    by: &'static str,
    out: &mut Vec<Effect>,
) -> bool {
    let Some(flow) = state.flows.get_mut(&id) else {
        return false;
    };
    let Some(build) = &origin.build else {
        refuse_unknown(state, now, id, out);
        return false;
    };
    let resumption = flow.resumption.take();
    flow.stream = resumption.and_then(|resumption| resumption.stream);
    flow.pin = Pin::Build(build.clone());
    let allowed = flow.route.split.iter().any(|destination| destination.service == origin.service);
    flow.service.clone_from(&origin.service);
    record_decision(state, id, by, Some(build.clone()), out);
    if !allowed {
        // The route no longer includes the service that began the stream.
        flow::give_up(state, now, id, Code::BuildGone, Some(Duration::ZERO), out);
    }
    allowed
}

/// Refuses a request because the origin of the stream that it resumes is unknown.
fn refuse_unknown(state: &mut State, now: Time, id: Id, out: &mut Vec<Effect>) {
    record_decision(state, id, "unknown", None, out);
    flow::give_up(state, now, id, Code::OriginUnknown, Some(RETRY_AFTER), out);
}

fn record_decision(state: &mut State, id: Id, by: &'static str, build: Option<Name>, out: &mut Vec<Effect>) {
    *state.pins.decided.entry(by).or_default() += 1;
    out.push(Effect::Record(Record::Traced { request: id.0, by, build, kept: state.pins.origins.len() }));
}
