//! Frames between entry VMs, as `MessagePack` over HTTP.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::Addr;
use actix_http::header::HeaderMap;
use actix_http::{Method, Uri};
use actix_web::HttpResponse;
use actix_web::web::{self, Data, PayloadConfig, ServiceConfig};
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::client::{Client, Request};
use super::node::{Ask, Feed, Node};

/// Where frames are posted.
const PATH: &str = "/frame";
/// Largest frame or answer that is read.
const FRAME_MAX: usize = 4 << 20;
/// How long the hub waits for what a frame says that requests wait for: an adapter is there in some 20 ms.
const HOLD: Duration = Duration::from_millis(80);

/// Sends a frame to the hub. Returns its answer, or none if none came within `limit`.
pub(crate) fn send(
    client: Rc<Client>,
    address: SocketAddr,
    frame: &Frame,
    limit: Duration,
) -> impl Future<Output = Option<Reply>> + use<> {
    let body = rmp_serde::to_vec(frame).unwrap_or_default();
    let request = Request {
        method: Method::POST,
        target: Uri::from_static(PATH),
        headers: HeaderMap::new(),
        body: body.into(),
    };
    async move {
        let answer = client.call(address, request, FRAME_MAX, Instant::now() + limit).await;
        let (status, body) =
            answer.inspect_err(|error| tracing::debug!(%error, "no answer of the hub")).ok()?;
        if !status.is_success() {
            return None;
        }
        rmp_serde::from_slice(&body).inspect_err(|error| tracing::warn!(%error, "answer of the hub")).ok()
    }
}

/// What the listener for frames works with.
#[derive(Clone, Debug)]
pub(crate) struct Hub {
    pub(crate) node: Addr<Node>,
    pub(crate) changed: watch::Receiver<u64>,
}

/// Serves frames.
pub(crate) fn routes(config: &mut ServiceConfig, hub: Hub) {
    config
        .app_data(Data::new(hub))
        .app_data(PayloadConfig::new(FRAME_MAX))
        .route(PATH, web::post().to(heard));
}

async fn heard(body: Bytes, hub: Data<Hub>) -> HttpResponse {
    let frame: Frame = match rmp_serde::from_slice(&body) {
        Ok(frame) => frame,
        Err(error) => {
            tracing::warn!(%error, "frame refused");
            return HttpResponse::BadRequest().finish();
        }
    };
    let mut changed = hub.changed.clone();
    changed.mark_unchanged();
    hub.node.do_send(Feed(Event::Framed(Box::new(frame.clone()))));
    if frame.demand.iter().any(|demand| demand.waiting > 0) {
        let _elapsed = timeout(HOLD, changed.changed()).await;
    }
    match hub.node.send(Ask(frame)).await {
        Ok(reply) => HttpResponse::Ok().body(rmp_serde::to_vec(&reply).unwrap_or_default()),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}
