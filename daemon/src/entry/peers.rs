//! Calls between entry VMs, as `MessagePack` over HTTP: frames to the hub, pushes, and requests for reservations,
//! credit, permits, stream origins, probes and relaying.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, MailboxError};
use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode, Uri};
use actix_web::HttpResponse;
use actix_web::body::MessageBody;
use actix_web::dev::{ServiceRequest, ServiceResponse};
use actix_web::middleware::{Next, from_fn};
use actix_web::web::{self, Data, PayloadConfig, ServiceConfig};
use boragecove_core::name::Name;
use boragecove_fleet::bound::Bound;
use boragecove_fleet::budget::{self, Permit};
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::pin::{Announcement, Origin, OriginAnswer};
use boragecove_fleet::push::{Message, Push};
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::Stream;
use boragecove_fleet::schedule::{Grant, ReservationRequest};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::client::{self, CALL_ID, Client, Request};
use super::node::{
    ApplyEvent, DrawCredit, GrantPermit, Node, Probe, QueryOrigin, ReceiveFrame, Reserve, StoreOrigins,
    Transferred,
};
use super::peer_relay;
use super::transfer::{Kind, Transfer};
use crate::memory::Account;

/// Path of frames to the hub.
const FRAME_PATH: &str = "/frame";
/// Path of pushed updates.
const PUSH_PATH: &str = "/push";
/// Path of requests for reservations in engines' schedules.
const SCHEDULE_PATH: &str = "/schedule";
/// Path of requests for credit from workspaces' limits.
const QUOTA_PATH: &str = "/quota";
/// Path of requests for permits to retry a request.
const REPEAT_PATH: &str = "/repeat";
/// Paths of announcements of stream origins, and of queries for one.
const ORIGINS_PATH: &str = "/streams";
const ORIGIN_PATH: &str = "/stream";
/// Path of requests to probe an engine's port.
const PROBE_PATH: &str = "/reach";
/// Maximum size in bytes of a small request or its answer.
const QUERY_BYTES_MAX: usize = 4 << 10;
/// Time limit for the answer to a small request. The network takes 1 to 4 ms each way, and a machine that has used up its
/// CPU quota is paused for most of 100 ms.
const QUERY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time limit for another entry VM to probe an engine's port and answer: two round trips, and a pause of a machine that
/// has used up its CPU quota.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum size in bytes of a frame or its reply.
const FRAME_BYTES_MAX: usize = 4 << 20;
/// Longest stall of a push, whatever bound operators set. It covers several round trips, and a machine that has used up its
/// CPU quota and is paused for most of 100 ms. A machine that stalls for longer is suspended or gone.
const PUSH_STALL_MAX: Duration = Duration::from_millis(400);

/// Sends a frame to the hub. Returns its reply, or none if it didn't begin within `limit` or stalled for that long.
/// `node` gets the statistics of the transfer.
pub(crate) fn send_frame(
    client: Rc<Client>,
    node: Addr<Node>,
    address: SocketAddr,
    frame: &Frame,
    limit: Duration,
) -> impl Future<Output = Option<Reply>> + use<> {
    let request = post(FRAME_PATH, frame);
    async move {
        let since = Instant::now();
        let called = client.transfer(address, request, FRAME_BYTES_MAX, limit, limit).await;
        node.do_send(Transferred(Transfer::of(Kind::Frame, since, &called)));
        read_answer(called.map(|received| (received.status, received.body)))
    }
}

/// Asks the owner of an engine's schedule for a reservation. Returns its answer; none if it timed out.
pub(crate) fn request_reservation(
    client: Rc<Client>,
    address: SocketAddr,
    request: &ReservationRequest,
) -> impl Future<Output = Option<Grant>> + use<> {
    query(client, address, SCHEDULE_PATH, request, QUERY_TIMEOUT)
}

/// Asks a holder of a share of a workspace's limit for credit. Returns its answer; none if it timed out.
pub(crate) fn request_credit(
    client: Rc<Client>,
    address: SocketAddr,
    draw: &Draw,
) -> impl Future<Output = Option<Credit>> + use<> {
    query(client, address, QUOTA_PATH, draw, QUERY_TIMEOUT)
}

/// Asks the hub for a permit to retry a request. Returns its answer; none if it timed out.
pub(crate) fn request_permit(
    client: Rc<Client>,
    address: SocketAddr,
    request: budget::PermitRequest,
) -> impl Future<Output = Option<Permit>> + use<> {
    query(client, address, REPEAT_PATH, &request, QUERY_TIMEOUT)
}

/// Announces the origins of some streams to another entry VM. If that fails, it is not repeated before the next regular
/// announcement.
pub(crate) async fn announce_origins(
    client: Rc<Client>,
    address: SocketAddr,
    announcements: Vec<Announcement>,
) {
    let called = client
        .call(address, post(ORIGINS_PATH, &announcements), QUERY_BYTES_MAX, Instant::now() + QUERY_TIMEOUT)
        .await;
    if let Err(error) = called {
        tracing::debug!(%address, %error, "cannot announce the origins of streams");
    }
}

/// Asks another entry VM for the origin of a stream.
pub(crate) fn query_origin(
    client: Rc<Client>,
    address: SocketAddr,
    stream: Stream,
) -> impl Future<Output = OriginAnswer> + use<> {
    let answer = query::<_, Option<Origin>>(client, address, ORIGIN_PATH, &stream, QUERY_TIMEOUT);
    async move {
        match answer.await {
            Some(Some(origin)) => OriginAnswer::Known(origin),
            Some(None) => OriginAnswer::Unknown,
            None => OriginAnswer::Missing,
        }
    }
}

/// Asks another entry VM to probe an engine's port. Returns none if it did not answer, or does not know the engine.
pub(crate) fn request_probe(
    client: Rc<Client>,
    address: SocketAddr,
    engine: &Name,
) -> impl Future<Output = Option<Port>> + use<> {
    query(client, address, PROBE_PATH, engine, PROBE_TIMEOUT)
}

/// Sends a small request to another entry VM. Returns its answer; none if it did not arrive within `limit`.
fn query<Q: Serialize, A: DeserializeOwned>(
    client: Rc<Client>,
    address: SocketAddr,
    path: &'static str,
    query: &Q,
    limit: Duration,
) -> impl Future<Output = Option<A>> + use<Q, A> {
    let request = post(path, query);
    async move {
        let called = client.call(address, request, QUERY_BYTES_MAX, Instant::now() + limit).await;
        read_answer(called.map(|answer| (answer.status, answer.body)))
    }
}

/// Pushes an update to another entry VM, which must be in force within `bound`. Returns whether it was accepted.
pub(crate) async fn send_push(client: &Rc<Client>, push: &Push, bound: Bound) -> bool {
    let request = post(PUSH_PATH, &push.message);
    let stall = bound.poll_interval_max().min(PUSH_STALL_MAX);
    let answer = client.transfer(push.address, request, QUERY_BYTES_MAX, stall, stall).await;
    answer.is_ok_and(|received| received.status.is_success())
}

/// A call of another entry VM. It has an id, which distinguishes its answer from those to other calls.
pub(super) fn post(path: &'static str, message: &impl Serialize) -> Request {
    post_sized(path, message, 0)
}

/// A call as [`post`], whose message has about `size` bytes.
pub(super) fn post_sized(path: &'static str, message: &impl Serialize, size: usize) -> Request {
    let mut body = Vec::with_capacity(size);
    if let Err(error) = rmp_serde::encode::write(&mut body, message) {
        tracing::error!(%error, path, "cannot encode a message to another entry VM");
        body.clear();
    }
    let mut headers = HeaderMap::new();
    headers.insert(CALL_ID, HeaderValue::from(fastrand::u64(..)));
    Request { method: Method::POST, target: Uri::from_static(path), headers, body: body.into() }
}

/// Decodes another entry VM's answer.
fn read_answer<T: DeserializeOwned>(called: Result<(StatusCode, Bytes), client::Error>) -> Option<T> {
    let (status, body) =
        called.inspect_err(|error| tracing::debug!(%error, "no answer from another entry VM")).ok()?;
    if !status.is_success() {
        return None;
    }
    decode(&body)
}

/// Configures the service for other entry VMs. The requests that it relays for them are held in `account`.
pub(crate) fn routes(config: &mut ServiceConfig, node: Addr<Node>, account: Account) {
    let calls = web::scope("")
        .wrap(from_fn(repeat_call_id))
        .route(FRAME_PATH, web::post().to(receive_frame))
        .route(PUSH_PATH, web::post().to(receive_push))
        .route(SCHEDULE_PATH, web::post().to(answer_reservation))
        .route(QUOTA_PATH, web::post().to(answer_credit))
        .route(REPEAT_PATH, web::post().to(answer_permit))
        .route(PROBE_PATH, web::post().to(answer_probe))
        .route(ORIGINS_PATH, web::post().to(store_origins))
        .route(ORIGIN_PATH, web::post().to(answer_origin))
        .route(peer_relay::PATH, web::post().to(peer_relay::serve));
    config
        .app_data(Data::new(node))
        .app_data(Data::new(account))
        .app_data(PayloadConfig::new(FRAME_BYTES_MAX))
        .service(calls);
}

/// Names the call in its answer.
async fn repeat_call_id(
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let id = request.headers().get(CALL_ID).cloned();
    let mut answer = next.call(request).await?;
    if let Some(id) = id {
        answer.headers_mut().insert(CALL_ID, id);
    }
    Ok(answer)
}

/// Decodes a message of another entry VM. Logs one that can't be decoded.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let read = rmp_serde::from_slice(body);
    read.inspect_err(|error| tracing::warn!(%error, "cannot decode a message from another entry VM")).ok()
}

async fn receive_push(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(message) = decode::<Message>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    node.do_send(ApplyEvent(Event::Pushed(Box::new(message))));
    HttpResponse::Ok().finish()
}

async fn answer_reservation(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<ReservationRequest>(&body) {
        Some(request) => respond(node.send(Reserve(request)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn answer_credit(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<Draw>(&body) {
        Some(draw) => respond(node.send(DrawCredit(draw)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn answer_permit(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<budget::PermitRequest>(&body) {
        Some(request) => respond(node.send(GrantPermit(request)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn store_origins(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(announcements) = decode::<Vec<Announcement>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    node.do_send(StoreOrigins(announcements));
    HttpResponse::Ok().finish()
}

async fn answer_origin(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<Stream>(&body) {
        Some(stream) => respond(node.send(QueryOrigin(stream)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

/// Responds to another entry VM with the node's answer.
fn respond(answer: Result<impl Serialize, MailboxError>) -> HttpResponse {
    match answer {
        Ok(answer) => HttpResponse::Ok().body(rmp_serde::to_vec(&answer).unwrap_or_default()),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn answer_probe(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(engine) = decode::<Name>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match node.send(Probe(engine)).await {
        Ok(Some(reach)) => HttpResponse::Ok().body(rmp_serde::to_vec(&reach).unwrap_or_default()),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn receive_frame(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(frame) = decode::<Frame>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match node.send(ReceiveFrame(frame)).await {
        Ok(Some(reply)) => HttpResponse::Ok().body(rmp_serde::to_vec(&reply).unwrap_or_default()),
        Ok(None) | Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
