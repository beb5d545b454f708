//! What entry VMs say to each other, as `MessagePack` over HTTP: frames to the hub, and questions for places in the
//! schedules of engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix::{Addr, MailboxError};
use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use actix_web::HttpResponse;
use actix_web::web::{self, Data, PayloadConfig, ServiceConfig};
use boragecove_core::name::Name;
use boragecove_fleet::bound::Bound;
use boragecove_fleet::budget::{self, Permit};
use boragecove_fleet::engine::Port;
use boragecove_fleet::event::Event;
use boragecove_fleet::frame::{Frame, Reply};
use boragecove_fleet::pin::{Announcement, Origin};
use boragecove_fleet::push::{Message, Push};
use boragecove_fleet::quota::{Credit, Draw};
use boragecove_fleet::request::Stream;
use boragecove_fleet::schedule::{Grant, ReservationRequest};
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::client::{self, Client, Request};
use super::forward;
use super::node::{Feed, Hear, Keep, Node, Place, Repeat, Spend, Trace, Transferred, Try};
use super::transfer::{Kind, Transfer};

/// Where frames are posted.
const PATH: &str = "/frame";
/// Where updates of the configuration are pushed.
const PUSH: &str = "/push";
/// Where places in schedules are asked for.
const SCHEDULE: &str = "/schedule";
/// Where credit of workspaces' limits is asked for.
const QUOTA: &str = "/quota";
/// Where repeats are asked for.
const REPEAT: &str = "/repeat";
/// Where it is told what began streams, and asked about one.
const NOTES: &str = "/streams";
const ORIGIN: &str = "/stream";
/// Where the port of an engine is asked about.
const REACH: &str = "/reach";
/// Bytes of a question for a place, or of its answer, at most.
const ASK_MAX: usize = 4 << 10;
/// How long the owner of a schedule may take to answer: the way is 1 to 4 ms, and a machine that has spent its share of
/// processor time stands still for most of a tenth of a second.
const ASK_LIMIT: Duration = Duration::from_millis(60);
/// How long an entry VM may take to try the port of an engine and answer: two ways there and back, and a machine that has spent
/// its share of processor time.
const REACH_LIMIT: Duration = Duration::from_millis(300);
/// Largest frame or answer that is read.
const FRAME_MAX: usize = 4 << 20;
/// How long a push may stand still, whatever operators allow: some ways there and back, and a machine that has spent its share of processor
/// time stands still for most of a tenth of a second. Beyond that it is suspended or gone.
const PUSH_STALL_MAX: Duration = Duration::from_millis(400);

/// Sends a frame to the hub. Returns its answer, or none if none began within `limit` or it stood still for
/// as long; `node` is told what came.
pub(crate) fn send(
    client: Rc<Client>,
    node: Addr<Node>,
    address: SocketAddr,
    frame: &Frame,
    limit: Duration,
) -> impl Future<Output = Option<Reply>> + use<> {
    let request = post(PATH, frame);
    async move {
        let since = Instant::now();
        let called = client.transfer(address, request, FRAME_MAX, limit, limit).await;
        node.do_send(Transferred(Transfer::of(Kind::Frame, since, &called)));
        read(called.map(|received| (received.status, received.body)))
    }
}

/// Asks the owner of an engine's schedule for a place. Returns its answer, or none if none came in time.
pub(crate) fn ask(
    client: Rc<Client>,
    address: SocketAddr,
    ask: &ReservationRequest,
) -> impl Future<Output = Option<Grant>> + use<> {
    question(client, address, SCHEDULE, ask, ASK_LIMIT)
}

/// Asks a holder of a share of a workspace's limit for credit. Returns its answer, or none if none came in time.
pub(crate) fn draw(
    client: Rc<Client>,
    address: SocketAddr,
    draw: &Draw,
) -> impl Future<Output = Option<Credit>> + use<> {
    question(client, address, QUOTA, draw, ASK_LIMIT)
}

/// Asks the leader for a repeat. Returns its answer, or none if none came in time.
pub(crate) fn permit(
    client: Rc<Client>,
    address: SocketAddr,
    ask: budget::PermitRequest,
) -> impl Future<Output = Option<Permit>> + use<> {
    question(client, address, REPEAT, &ask, ASK_LIMIT)
}

/// Tells another entry VM what began some streams. One that does not hear of it is not told again before the next time.
pub(crate) async fn note(client: Rc<Client>, address: SocketAddr, notes: Vec<Announcement>) {
    let called = client.call(address, post(NOTES, &notes), ASK_MAX, Instant::now() + ASK_LIMIT).await;
    if let Err(error) = called {
        tracing::debug!(%address, %error, "streams not told");
    }
}

/// Asks another entry VM what began a stream. Returns none if it does not know, or did not answer in time.
pub(crate) fn trace(
    client: Rc<Client>,
    address: SocketAddr,
    stream: Stream,
) -> impl Future<Output = Option<Origin>> + use<> {
    let asking = question::<_, Option<Origin>>(client, address, ORIGIN, &stream, ASK_LIMIT);
    async move { asking.await.flatten() }
}

/// Asks another entry VM how the port of an engine answers there. Returns none if it did not answer, or does not know the
/// engine.
pub(crate) fn probe(
    client: Rc<Client>,
    address: SocketAddr,
    engine: &Name,
) -> impl Future<Output = Option<Port>> + use<> {
    question(client, address, REACH, engine, REACH_LIMIT)
}

/// Asks another entry VM something small. Returns its answer, or none if none came within `limit`.
fn question<Q: Serialize, A: DeserializeOwned>(
    client: Rc<Client>,
    address: SocketAddr,
    path: &'static str,
    question: &Q,
    limit: Duration,
) -> impl Future<Output = Option<A>> + use<Q, A> {
    let request = post(path, question);
    async move {
        let called = client.call(address, request, ASK_MAX, Instant::now() + limit).await;
        read(called.map(|answer| (answer.status, answer.body)))
    }
}

/// Pushes something to another entry VM, which is to be in force within `bound`. Returns whether it was taken.
pub(crate) async fn push(client: &Rc<Client>, push: &Push, bound: Bound) -> bool {
    let request = post(PUSH, &push.message);
    let stall = bound.poll_interval_max().min(PUSH_STALL_MAX);
    let answer = client.transfer(push.address, request, ASK_MAX, stall, stall).await;
    answer.is_ok_and(|received| received.status.is_success())
}

pub(super) fn post(path: &'static str, message: &impl Serialize) -> Request {
    Request {
        method: Method::POST,
        target: Uri::from_static(path),
        headers: HeaderMap::new(),
        body: rmp_serde::to_vec(message).unwrap_or_default().into(),
    }
}

/// The message in another entry VM's answer.
fn read<T: DeserializeOwned>(called: Result<(StatusCode, Bytes), client::Error>) -> Option<T> {
    let (status, body) =
        called.inspect_err(|error| tracing::debug!(%error, "no answer of another entry VM")).ok()?;
    if !status.is_success() {
        return None;
    }
    decode(&body)
}

/// Serves frames.
pub(crate) fn routes(config: &mut ServiceConfig, node: Addr<Node>) {
    config
        .app_data(Data::new(node))
        .app_data(PayloadConfig::new(FRAME_MAX))
        .route(PATH, web::post().to(heard))
        .route(PUSH, web::post().to(pushed))
        .route(SCHEDULE, web::post().to(asked))
        .route(QUOTA, web::post().to(drawn))
        .route(REPEAT, web::post().to(permitted))
        .route(REACH, web::post().to(tried))
        .route(NOTES, web::post().to(noted))
        .route(ORIGIN, web::post().to(traced))
        .service(
            web::resource(forward::PATH)
                .app_data(PayloadConfig::new(forward::REQUEST_MAX))
                .route(web::post().to(forward::serve)),
        );
}

/// What another entry VM sent; none, and a line, if that cannot be read.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let read = rmp_serde::from_slice(body);
    read.inspect_err(|error| tracing::warn!(%error, "message of another entry VM")).ok()
}

async fn pushed(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(message) = decode::<Message>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    node.do_send(Feed(Event::Pushed(Box::new(message))));
    HttpResponse::Ok().finish()
}

async fn asked(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<ReservationRequest>(&body) {
        Some(ask) => answer(node.send(Place(ask)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn drawn(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<Draw>(&body) {
        Some(draw) => answer(node.send(Spend(draw)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn permitted(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<budget::PermitRequest>(&body) {
        Some(ask) => answer(node.send(Repeat(ask)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

async fn noted(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(notes) = decode::<Vec<Announcement>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    node.do_send(Keep(notes));
    HttpResponse::Ok().finish()
}

async fn traced(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    match decode::<Stream>(&body) {
        Some(stream) => answer(node.send(Trace(stream)).await),
        None => HttpResponse::BadRequest().finish(),
    }
}

/// The node's answer to another entry VM.
fn answer(answer: Result<impl Serialize, MailboxError>) -> HttpResponse {
    match answer {
        Ok(answer) => HttpResponse::Ok().body(rmp_serde::to_vec(&answer).unwrap_or_default()),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn tried(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(engine) = decode::<Name>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match node.send(Try(engine)).await {
        Ok(Some(reach)) => HttpResponse::Ok().body(rmp_serde::to_vec(&reach).unwrap_or_default()),
        Ok(None) => HttpResponse::NotFound().finish(),
        Err(_node_is_gone) => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn heard(body: Bytes, node: Data<Addr<Node>>) -> HttpResponse {
    let Some(frame) = decode::<Frame>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    match node.send(Hear(frame)).await {
        Ok(Some(reply)) => HttpResponse::Ok().body(rmp_serde::to_vec(&reply).unwrap_or_default()),
        Ok(None) | Err(_) => HttpResponse::ServiceUnavailable().finish(),
    }
}
