//! Writes answers and errors of the callers' edge.

use actix_web::http::StatusCode;
use actix_web::http::header::{CONTENT_LENGTH, RETRY_AFTER};
use actix_web::{HttpResponse, HttpResponseBuilder};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::end::End;
use boragecove_core::id;
use boragecove_wire::header;
use serde::Serialize;

use super::arrival::Refused;
use super::outlet::Head;

const MS_PER_SECOND: u64 = 1_000;

/// An error's body.
#[derive(Debug, Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Debug, Serialize)]
struct Detail<'a> {
    message: &'a str,
    r#type: &'static str,
    code: u16,
    outcome: &'static str,
    request: String,
}

/// The JSON of an error.
pub(crate) fn error_json(id: id::Request, code: Code, outcome: Outcome, message: &str) -> String {
    let detail = Detail {
        message,
        r#type: code.label(),
        code: code.number(),
        outcome: outcome.as_str(),
        request: id.to_string(),
    };
    serde_json::to_string(&Body { error: detail }).unwrap_or_default()
}

/// The response to a request that ended without an answer of a back end.
pub(crate) fn ended(id: id::Request, end: &End) -> HttpResponse {
    error(id, end.code(), end.outcome(), end.code().meaning(), end.retry_after_ms())
}

/// The response to a request that was refused before it was one. Its connection ends, since what
/// is left of the request may still be under way.
pub(crate) fn refused(id: id::Request, refused: &Refused) -> HttpResponse {
    let message = format!("{} {}", refused.code.meaning(), refused.detail);
    let mut response = error(id, refused.code, Outcome::NotRun, &message, None);
    response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    response
}

/// A numbered error.
pub(crate) fn error(
    id: id::Request,
    code: Code,
    outcome: Outcome,
    message: &str,
    retry_after_ms: Option<u64>,
) -> HttpResponse {
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    own(&mut response, id, code, outcome);
    if let Some(ms) = retry_after_ms {
        response.insert_header((RETRY_AFTER, ms.div_ceil(MS_PER_SECOND).max(1).to_string()));
    }
    response.content_type("application/json").body(error_json(id, code, outcome, message))
}

/// A response with a back end's status and headers.
pub(crate) fn answer(id: id::Request, head: &Head) -> HttpResponseBuilder {
    let mut response = HttpResponse::build(head.status);
    for (name, value) in head.headers.iter().filter(|(name, _)| *name != CONTENT_LENGTH) {
        response.append_header((name.clone(), value.clone()));
    }
    own(&mut response, id, Code::Ok, Outcome::Answered);
    response
}

fn own(response: &mut HttpResponseBuilder, id: id::Request, code: Code, outcome: Outcome) {
    response
        .insert_header((header::REQUEST, id.to_string()))
        .insert_header((header::CODE, code.number().to_string()))
        .insert_header((header::OUTCOME, outcome.as_str()));
}
