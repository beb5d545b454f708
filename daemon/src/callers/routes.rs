//! The paths of the callers' listener, and of that for entry VMs of other zones.

use actix_web::http::header::CONTENT_TYPE;
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::code::{Code, Outcome};
use boragecove_core::id;
use boragecove_core::request::Arrival;
use boragecove_wire::{header, path, proof};

use super::arrival::{self, Refused};
use super::body::{Passing, Watch};
use super::content::Content;
use super::outlet::{self, Head, Inlet, Part};
use super::{Edge, models, respond};
use crate::body;
use crate::node::{Scrape, Submit};
use crate::settings::Secret;

/// Who comes in by a listener.
#[derive(Clone, Debug)]
pub enum Entrance {
    /// Callers.
    Callers,
    /// Entry VMs of other zones, which prove that they know the secret.
    Peers(Secret),
}

/// Serves the callers' paths for those who come in by `entrance`.
pub fn routes(config: &mut ServiceConfig, edge: Edge, entrance: Entrance) {
    let callers = matches!(entrance, Entrance::Callers);
    config
        .app_data(Data::new(edge))
        .app_data(Data::new(entrance))
        .route(path::COMPLETIONS, web::post().to(completion))
        .route(path::CHAT, web::post().to(completion))
        .route(path::SERVICES, web::to(service));
    if callers {
        config
            .route(path::MODELS, web::get().to(models::list))
            .route(path::LIVE, web::get().to(live))
            .route(path::READY, web::get().to(ready))
            .route(path::METRICS, web::get().to(metrics))
            .default_service(web::to(unknown));
    }
}

async fn completion(
    request: HttpRequest,
    mut payload: Payload,
    edge: Data<Edge>,
    entrance: Data<Entrance>,
) -> HttpResponse {
    let id = edge.shared.draw();
    let read = async {
        let hops = admitted(&request, &entrance)?;
        let body = arrival::body(&request, &mut payload, &edge).await?;
        let arrival = arrival::completion(&request, id, &body.bytes, hops, &edge)?;
        Ok((arrival, Content::new(&request, String::new(), hops, body)))
    }
    .await;
    serve(&request, payload, id, &edge, read).await
}

async fn service(
    request: HttpRequest,
    mut payload: Payload,
    edge: Data<Edge>,
    entrance: Data<Entrance>,
    at: web::Path<(String, String)>,
) -> HttpResponse {
    let id = edge.shared.draw();
    let read = async {
        let hops = admitted(&request, &entrance)?;
        let body = arrival::body(&request, &mut payload, &edge).await?;
        let arrival = arrival::service(&request, id, &at.0, &body.bytes, hops, &edge)?;
        Ok((arrival, Content::new(&request, tail(&request), hops, body)))
    }
    .await;
    serve(&request, payload, id, &edge, read).await
}

/// Path and query after the service's name, as sent.
fn tail(request: &HttpRequest) -> String {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let start = path.match_indices('/').nth(SERVICE_SLASHES).map_or(path.len(), |(at, _)| at);
    path[start..].to_owned()
}

/// Slashes of `/v1/services/{name}` before the rest of the path.
const SERVICE_SLASHES: usize = 3;

/// How many entry VMs the request passed, if it may come in here.
fn admitted(request: &HttpRequest, entrance: &Entrance) -> Result<u8, Refused> {
    let Entrance::Peers(secret) = entrance else {
        return Ok(0);
    };
    let attempt = arrival::text(request, header::ATTEMPT).and_then(|text| text.parse().ok());
    let proof = arrival::text(request, header::PROOF).unwrap_or_default();
    if !attempt.is_some_and(|attempt| proof::verify(attempt, secret.reveal().as_bytes(), proof)) {
        return Err(Refused::new(Code::Unauthenticated, "the proof of the shared secret does not fit"));
    }
    let hops = arrival::text(request, header::HOPS).and_then(|text| text.parse().ok());
    hops.ok_or_else(|| Refused::new(Code::Malformed, "the header boragecove-hops: expected a small number"))
}

async fn serve(
    request: &HttpRequest,
    payload: Payload,
    id: id::Request,
    edge: &Edge,
    read: Result<(Arrival, Content), Refused>,
) -> HttpResponse {
    let mut response = match read {
        Ok((arrival, content)) => submit(id, edge, arrival, content).await,
        Err(refused) => {
            edge.shared.refuse(refused.code);
            tracing::info!(request = %id, code = refused.code.number(), outcome = "not-run", "refused");
            body::keep_unread(respond::refused(id, &refused), payload)
        }
    };
    if let Some(attempt) = request.headers().get(header::ATTEMPT) {
        response.headers_mut().insert(header::ATTEMPT.parse().unwrap_or(CONTENT_TYPE), attempt.clone());
    }
    response
}

async fn submit(id: id::Request, edge: &Edge, arrival: Arrival, content: Content) -> HttpResponse {
    let (outlet, mut inlet) = outlet::open(edge.limits.backlog);
    let mut watch = Watch::new(id, edge.node.clone());
    edge.node.do_send(Submit { arrival, content, outlet });
    match inlet.next().await {
        Some(Part::Head(head)) => passing(id, &head, inlet, watch),
        Some(Part::Whole { head, body }) => {
            watch.over();
            respond::answer(id, &head).body(body)
        }
        Some(Part::End { end, .. }) => {
            watch.over();
            respond::ended(id, &end)
        }
        Some(Part::Data(_)) | None => {
            respond::error(id, Code::Internal, Outcome::Unknown, Code::Internal.meaning(), None)
        }
    }
}

fn passing(id: id::Request, head: &Head, inlet: Inlet, watch: Watch) -> HttpResponse {
    let media = head.headers.iter().find(|(name, _)| *name == CONTENT_TYPE);
    let events = media.is_some_and(|(_, value)| value.as_bytes().starts_with(b"text/event-stream"));
    respond::answer(id, head).body(Passing::new(id, inlet, watch, events))
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn ready(edge: Data<Edge>) -> HttpResponse {
    if edge.shared.ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(edge: Data<Edge>) -> HttpResponse {
    match edge.node.send(Scrape).await {
        Ok(text) => HttpResponse::Ok().content_type(METRICS_TYPE).body(text),
        Err(_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

/// The media type of the metrics' text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

async fn unknown(edge: Data<Edge>) -> HttpResponse {
    let refused = Refused::new(Code::UnknownPath, "");
    edge.shared.refuse(refused.code);
    respond::refused(edge.shared.draw(), &refused)
}
