//! HTTP handlers for callers, for the balancer and for collectors of metrics.

use std::sync::Arc;
use std::time::Duration;

use actix::Addr;
use actix_http::StatusCode;
use actix_http::header::{HOST, HeaderMap};
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::code::Code;
use boragecove_fleet::config::Limits;
use boragecove_fleet::request::Refusal;
use boragecove_platform::http;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::caller_response::{self, Body, Head, Part, StreamedBody, Whole};
use super::client::Request;
use super::node::{Node, OpenRequest, Scrape};
use super::refusals::Refusals;
use super::request_task::RequestContent;
use crate::body::{self, Problem};
use crate::connection::Connection;
use crate::memory::{Account, REQUEST_BYTES, Share};

/// Maximum time until a body is complete, for callers that do not say how long they wait for the answer or wait longer.
const BODY_TIME_MAX: Duration = Duration::from_mins(1);
/// When a caller may come back for whose request there was no memory. Bodies that make no progress have given way by then.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub(crate) struct HandlerContext {
    pub(crate) node: Addr<Node>,
    pub(crate) ready: watch::Receiver<bool>,
    /// Limits of callers' requests, from the configuration in force.
    pub(crate) limits: watch::Receiver<Limits>,
    /// When requests end that are still open, if the process is stopping. Connections are then closed after their
    /// responses.
    pub(crate) stopping: watch::Receiver<Option<Instant>>,
    /// The memory that callers make the process hold.
    pub(crate) account: Account,
    /// Counts requests that were refused before they were read completely.
    pub(crate) refusals: Arc<Refusals>,
}

/// Configures the service for callers: the configuration's routes decide about every path.
pub(crate) fn caller_routes(config: &mut ServiceConfig, ctx: HandlerContext) {
    config.app_data(Data::new(ctx)).default_service(web::to(serve));
}

/// Configures the service for the balancer and for collectors of metrics.
pub(crate) fn monitoring_routes(config: &mut ServiceConfig, ctx: HandlerContext) {
    config
        .app_data(Data::new(ctx))
        .route(http::READY_PATH, web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn ready(ctx: Data<HandlerContext>) -> HttpResponse {
    if *ctx.ready.borrow() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn metrics(ctx: Data<HandlerContext>) -> HttpResponse {
    match ctx.node.send(Scrape).await {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn serve(request: HttpRequest, mut payload: Payload, ctx: Data<HandlerContext>) -> HttpResponse {
    let connection = request.conn_data::<Connection>().cloned();
    if let Some(connection) = &connection {
        connection.begin();
    }
    match receive(&request, &mut payload, &ctx, connection.as_ref()).await {
        Ok(received) => respond(open(&request, received, &ctx), &ctx, connection).await,
        Err(code) => refuse(&request, code, &ctx, connection, payload),
    }
}

/// A request's body, and the memory that the request holds.
struct Received {
    body: Bytes,
    share: Share,
}

/// Reads a request's body, if its headers are within their limit.
async fn receive(
    request: &HttpRequest,
    payload: &mut Payload,
    ctx: &HandlerContext,
    connection: Option<&Connection>,
) -> Result<Received, Code> {
    let headers = request.headers();
    let limits = *ctx.limits.borrow();
    if header_bytes(headers) > limits.header_bytes {
        return Err(Code::HeadersTooLarge);
    }
    let mut share = ctx.account.incomplete_share();
    share.grow(REQUEST_BYTES).map_err(|_full| Code::EntryFull)?;
    let time = http::caller_timeout(headers).map_or(BODY_TIME_MAX, |timeout| timeout.min(BODY_TIME_MAX));
    let limits = body::Limits { bytes: limits.body_bytes, time };
    let read = tokio::select! {
        read = body::read(payload, body::announced(headers), limits, &mut share, connection) => read,
        () = stop_expired(ctx.stopping.clone()) => return Err(Code::Stopping),
    };
    let body = read.map_err(|problem| match problem {
        Problem::TooLarge => Code::BodyTooLarge,
        Problem::TimedOut => Code::ReadTimeout,
        Problem::Full(_) => Code::EntryFull,
        Problem::Broken(_) => Code::Malformed,
    })?;
    Ok(Received { body, share })
}

/// Waits for the end of the time that a stopping process has for open requests.
async fn stop_expired(mut stopping: watch::Receiver<Option<Instant>>) {
    let end = stopping.wait_for(Option::is_some).await.ok().and_then(|end| *end);
    match end {
        Some(end) => tokio::time::sleep_until(end).await,
        // Without its sender, the process has ended.
        None => std::future::pending().await,
    }
}

/// Hands a request to the node, and returns where its response arrives.
fn open(request: &HttpRequest, received: Received, ctx: &HandlerContext) -> mpsc::Receiver<Part> {
    let headers = request.headers();
    let Received { body, share } = received;
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let arrival = http::arrival(host, request.uri(), headers, &body);
    let mut forwarded = http::request_headers(headers);
    let content = RequestContent {
        attempt_id: http::attempt_id(headers),
        resumed_attempt: http::resumed_attempt(headers),
        last_event_id: http::last_event_id(headers),
        credentials: http::take_credentials(&mut forwarded),
        request: Request {
            method: request.method().clone(),
            target: request.uri().clone(),
            headers: forwarded,
            body,
        },
        _share: share,
    };
    let (sender, parts) = caller_response::channel();
    ctx.node.do_send(OpenRequest { arrival, content, response_sender: sender });
    parts
}

/// Waits for the response and begins it.
async fn respond(
    mut parts: mpsc::Receiver<Part>,
    ctx: &HandlerContext,
    connection: Option<Connection>,
) -> HttpResponse {
    let close = ctx.stopping.borrow().is_some();
    match parts.recv().await {
        Some(Part::Complete(head, whole)) => {
            response(&head, close).body(Body::whole(whole, connection, close))
        }
        Some(Part::Head(head)) => {
            response(&head, close).body(Body::streamed(StreamedBody::new(parts), connection, close))
        }
        Some(Part::Data(_) | Part::End) | None => {
            let nothing = Whole::from(Bytes::new());
            HttpResponse::BadGateway().force_close().body(Body::whole(nothing, connection, true))
        }
    }
}

/// Total size of all headers in bytes.
fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum()
}

/// Refuses a request that was not read completely, so that nothing of it was sent to an engine. Its connection can't be used
/// again.
fn refuse(
    request: &HttpRequest,
    code: Code,
    ctx: &HandlerContext,
    connection: Option<Connection>,
    unread: Payload,
) -> HttpResponse {
    ctx.refusals.count(code);
    let retry_after = match code {
        Code::EntryFull => Some(FULL_RETRY_AFTER),
        // Other entry VMs serve it.
        Code::Stopping => Some(Duration::ZERO),
        _ => None,
    };
    let refusal = Refusal { code, retry_after };
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_REQUEST);
    let attempt_id = http::attempt_id(request.headers());
    let headers = http::refusal_headers(&refusal, attempt_id.as_deref());
    let text = format!("{} {}\n", code.number(), code.meaning());
    let text = Whole::from(Bytes::from(text));
    let response = response(&Head { status, headers }, true).body(Body::whole(text, connection, true));
    body::keep_unread(response, unread)
}

fn response(head: &Head, close: bool) -> actix_web::HttpResponseBuilder {
    let mut builder = HttpResponse::build(head.status);
    for (name, value) in &head.headers {
        builder.append_header((name.clone(), value.clone()));
    }
    if close {
        builder.force_close();
    }
    builder
}
