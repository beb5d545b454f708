//! The listeners for callers and for the balancer.

use actix::Addr;
use actix_http::header::HOST;
use actix_web::dev::Payload as RawPayload;
use actix_web::web::{self, Data, Payload, ServiceConfig};
use actix_web::{FromRequest, HttpRequest, HttpResponse};
use boragecove_platform::front;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use tokio::sync::watch;

use super::client::Request;
use super::node::{Node, Open, Scrape};
use super::outlet::{self, Head, Part, Passing};
use super::relay::Content;

/// Bytes of a request's body, at most; the platform's clients stay within 4 MB.
const BODY_MAX: usize = 8 << 20;

/// What the handlers work with.
#[derive(Clone, Debug)]
pub(crate) struct Door {
    pub(crate) node: Addr<Node>,
    pub(crate) ready: watch::Receiver<bool>,
    /// Whether the process is to stop: connections are closed after their answers.
    pub(crate) stopping: watch::Receiver<bool>,
}

/// Serves callers: every path is a route's.
pub(crate) fn callers(config: &mut ServiceConfig, door: Door) {
    config.app_data(Data::new(door)).default_service(web::to(serve));
}

/// Serves the balancer and whoever collects metrics.
pub(crate) fn watchers(config: &mut ServiceConfig, door: Door) {
    config
        .app_data(Data::new(door))
        .route(front::READY_PATH, web::get().to(ready))
        .route("/metrics", web::get().to(metrics));
}

async fn ready(door: Data<Door>) -> HttpResponse {
    if *door.ready.borrow() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn metrics(door: Data<Door>) -> HttpResponse {
    match door.node.send(Scrape).await {
        Ok(text) => HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn serve(request: HttpRequest, payload: Payload, door: Data<Door>) -> HttpResponse {
    let mut raw: RawPayload = payload.into_inner();
    let Ok(payload) = Payload::from_request(&request, &mut raw).await else {
        return HttpResponse::BadRequest().force_close().finish();
    };
    let body = match read(payload).await {
        Ok(body) => body,
        Err(refused) => return refused,
    };
    let headers = request.headers();
    let host = headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let arrival = front::arrival(host, request.path(), headers);
    let content = Content {
        caller_id: front::caller_id(headers),
        resumes_after: front::resumes_after(headers),
        request: Request {
            method: request.method().clone(),
            target: request.uri().clone(),
            headers: front::forwarded(headers),
            body,
        },
    };
    let (outlet, mut parts) = outlet::open();
    door.node.do_send(Open { arrival, content, outlet });
    let close = *door.stopping.borrow();
    match parts.recv().await {
        Some(Part::Whole(head, body)) => answer(&head, close).body(body),
        Some(Part::Head(head)) => answer(&head, close).body(Passing::new(parts)),
        Some(Part::Data(_) | Part::End) | None => HttpResponse::BadGateway().force_close().finish(),
    }
}

async fn read(mut payload: Payload) -> Result<Bytes, HttpResponse> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return Err(HttpResponse::BadRequest().force_close().finish());
        };
        if body.len() + chunk.len() > BODY_MAX {
            return Err(HttpResponse::PayloadTooLarge().force_close().finish());
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn answer(head: &Head, close: bool) -> actix_web::HttpResponseBuilder {
    let mut builder = HttpResponse::build(head.status);
    for (name, value) in &head.headers {
        builder.append_header((name.clone(), value.clone()));
    }
    if close {
        builder.force_close();
    }
    builder
}
