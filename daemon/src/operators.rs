//! The edge towards operators: takes their questions and answers in JSON.

use actix_web::http::StatusCode;
use actix_web::http::header::AUTHORIZATION;
use actix_web::web::{self, Bytes, Data, PayloadConfig, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::code::Code;
use boragecove_core::operator::{Answer, Query, Refusal};
use boragecove_wire::path;
use sha2::{Digest, Sha256};

use crate::callers::Edge;
use crate::node::Ask;
use crate::settings::Secret;

/// Bytes of a question at most; a large inventory is a few MB.
const QUERY_MAX: usize = 32 << 20;

/// The paths of the operators' listener.
pub(crate) fn routes(config: &mut ServiceConfig, edge: Edge, token: Secret) {
    config
        .app_data(Data::new(edge))
        .app_data(Data::new(token))
        .app_data(PayloadConfig::new(QUERY_MAX))
        .route(path::OPERATOR, web::post().to(ask));
}

async fn ask(request: HttpRequest, body: Bytes, token: Data<Secret>, edge: Data<Edge>) -> HttpResponse {
    if !knows(&request, &token) {
        return refuse(Code::Unauthenticated, "", "send the operators' token of the settings");
    }
    let query: Query = match serde_json::from_slice(&body) {
        Ok(query) => query,
        Err(error) => return refuse(Code::Malformed, &error.to_string(), "send the JSON of one question"),
    };
    match edge.node.send(Ask(query)).await {
        Ok(Ok(answer)) => respond(&answer),
        _ => refuse(Code::Stopping, "", "ask another entry VM"),
    }
}

/// Compares digests, so that the time taken says nothing of the token.
fn knows(request: &HttpRequest, token: &Secret) -> bool {
    let given =
        request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "));
    given.is_some_and(|given| Sha256::digest(given) == Sha256::digest(token.reveal()))
}

fn respond(answer: &Answer) -> HttpResponse {
    let status = match answer {
        Answer::Error(refusal) => status(refusal.code),
        _ => StatusCode::OK,
    };
    HttpResponse::build(status).json(answer)
}

fn refuse(code: Code, reason: &str, hint: &str) -> HttpResponse {
    let reasons = if reason.is_empty() { vec![code.meaning().into()] } else { vec![reason.into()] };
    respond(&Answer::Error(Refusal { code, reasons, hint: hint.into(), version: None }))
}

fn status(code: Code) -> StatusCode {
    StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}
