//! Answers that begin before their request was read, and how their connections end: an answer without a length is complete
//! only if its connection ends in order. The servers of these tests write to their sockets directly.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod links;
mod raw_answers;
mod raw_engine;
mod serving;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, Uri};
use boragecove_daemon::clock::Clock;
use boragecove_daemon::entry::client::{Client, Error, Expiry, Request};
use boragecove_platform::http::REQUEST_ID;
use bytes::Bytes;
use links::{Cut, Links};
use raw_answers::reset;
use raw_engine::{header, register};
use serde_json::json;
use serving::{Entry, call};
use standin::{Store, config};
use tokio::time::Instant;

/// Size in bytes of an upload that does not fit into the buffers of the operating system.
const LONG_UPLOAD: usize = 4 << 20;
/// Size in bytes of one that does.
const SHORT_UPLOAD: usize = 200_000;
/// What an engine answers; the first half ends with a complete event.
const BODY: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Time limit of a call of the client.
const LIMIT: Duration = Duration::from_secs(5);

/// How the end of an answer's body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// How the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// In order; what still arrives is read.
    Closed,
    /// In order, and with a reset behind it, as what still arrives is not read.
    ClosedThenReset,
    /// With a reset.
    Reset,
}

/// What a server does with a request.
#[derive(Clone, Debug)]
struct Shape {
    framing: Framing,
    body: String,
    /// Number of bytes of the body that are sent.
    sent: usize,
    /// Number of bytes that are sent at once.
    piece: usize,
    /// Number of bytes of the request's body that are read before the answer.
    reads: usize,
    /// Time before the answer.
    before: Duration,
    /// Time between two pieces, and before the end.
    apart: Duration,
    end: End,
}

impl Shape {
    fn new(framing: Framing, sent: usize, end: End, apart: Duration) -> Self {
        let body = BODY.to_owned();
        Self { framing, sent, end, apart, body, piece: BODY.len(), reads: 0, before: Duration::ZERO }
    }

    /// Whether all that ends the answer is sent, in order.
    fn is_complete(&self) -> bool {
        match self.framing {
            Framing::Length | Framing::Chunks => self.sent == self.body.len(),
            Framing::Connection => self.end != End::Reset,
        }
    }

    /// Whether a reset can overtake what ends the answer.
    fn is_overtaken(&self) -> bool {
        self.framing != Framing::Connection && self.end != End::Closed
    }

    fn head(&self, id: &str) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Connection: close\r\nContent-Length: {}\r\n", self.body.len()),
            Framing::Chunks => "Connection: close\r\nTransfer-Encoding: chunked\r\n".to_owned(),
            Framing::Connection => String::new(),
        };
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{id}\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        )
    }

    fn answer(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        thread::sleep(self.before);
        stream.write_all(self.head(id).as_bytes())?;
        for piece in self.body.as_bytes()[..self.sent].chunks(self.piece.max(1)) {
            let framed = match self.framing {
                Framing::Chunks => [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat(),
                Framing::Length | Framing::Connection => piece.to_vec(),
            };
            stream.write_all(&framed)?;
            thread::sleep(self.apart);
        }
        if self.framing == Framing::Chunks && self.sent == self.body.len() {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    /// Ends the connection of an answer. It is reset if it is dropped with bytes that were not read.
    fn end(&self, mut stream: TcpStream) {
        thread::sleep(self.apart);
        if self.end == End::Reset {
            return reset(stream);
        }
        if stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        if self.end == End::ClosedThenReset {
            thread::sleep(Duration::from_millis(20));
            return reset(stream);
        }
        let mut rest = [0; 16 << 10];
        while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
    }
}

/// Reads a head, and nothing behind it.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(head).ok()
}

fn read_exact(stream: &mut TcpStream, mut count: usize) {
    let mut part = [0; 16 << 10];
    while count > 0 {
        let most = count.min(part.len());
        match stream.read(&mut part[..most]) {
            Ok(0) | Err(_) => return,
            Ok(read) => count -= read,
        }
    }
}

fn serve(mut stream: TcpStream, shape: &Shape) {
    while let Some(head) = read_head(&mut stream) {
        let id = header(&head, "attempt-id");
        if head.starts_with("GET") || id.is_empty() {
            let length: usize = header(&head, "content-length").parse().unwrap_or_default();
            read_exact(&mut stream, length);
            let body = json!({"models": [{"name": "m1", "version": 1, "adapters": []}], "busy": false, "sequence": 0})
                .to_string();
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        read_exact(&mut stream, shape.reads);
        if shape.answer(&mut stream, &id).is_ok() {
            shape.end(stream);
        }
        return;
    }
}

/// A server that treats all requests alike.
fn server(shape: Shape) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let shape = shape.clone();
            thread::spawn(move || serve(stream, &shape));
        }
    });
    address
}

fn request(path: &str, id: &str, upload: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: care.example\r\nAttempt-Id: {id}\r\nModel: m1\r\nToken-Usage: 100,50\r\n\
         Deadline-Ms: 4000\r\nContent-Length: {upload}\r\nConnection: close\r\n\r\n{}",
        "x".repeat(upload)
    )
}

/// The body of an answer that looks complete to its caller.
fn complete_body(answer: &str) -> Option<String> {
    let (head, body) = answer.strip_prefix("HTTP/1.1 200")?.split_once("\r\n\r\n")?;
    if head.contains("content-length") {
        return (header(head, "content-length").parse() == Ok(body.len())).then(|| body.to_owned());
    }
    let chunks = body.strip_suffix("0\r\n\r\n")?;
    let is_size = |line: &str| usize::from_str_radix(line, 16).is_ok();
    Some(chunks.split("\r\n").filter(|line| !is_size(line)).collect())
}

/// An entry VM with two engines of each service, and one that relays for it if it is to reach them only so.
struct Deployment {
    _store: Store,
    _links: Links,
    entries: Vec<Entry>,
}

impl Deployment {
    fn start(name: &str, shape: &Shape, relayed: bool) -> Self {
        let store = Store::start();
        store.put("op", "config", &config(1));
        let mut links = Links::new(name);
        for (id, service) in [("w-1", "writer"), ("w-2", "writer"), ("g-1", "gateway"), ("g-2", "gateway")] {
            let address = server(shape.clone());
            register(&store, id, service, address);
            links.add(address);
        }
        if !relayed {
            let entries = vec![Entry::start(name, &store)];
            return Self { _store: store, _links: links, entries };
        }
        let relay = Entry::start(&format!("{name}-relay"), &store);
        let cut = Entry::start_among("zone-b", name, &store, "", links.environment());
        cut.wait_for(200);
        links.cut(Some(Cut::Reset));
        wait_for_relay(&cut);
        Self { _store: store, _links: links, entries: vec![cut, relay] }
    }
}

/// Waits until an entry VM has another one relay for it, so that its requests reach engines.
fn wait_for_relay(entry: &Entry) {
    let end = std::time::Instant::now() + serving::LIMIT;
    for path in ["/ack/1", "/brief/1"] {
        while call(entry.callers, &request(path, "relay", 0)).starts_with("HTTP/1.1 503") {
            assert!(std::time::Instant::now() < end, "nothing is relayed");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Plays requests of both kinds, with long and short uploads, and checks what their callers get.
fn play(name: &str, shape: &Shape, relayed: bool) {
    let deployment = Deployment::start(name, shape, relayed);
    let callers = deployment.entries[0].callers;
    for round in 0..3 {
        for path in ["/ack/1", "/brief/1"] {
            for upload in [LONG_UPLOAD, SHORT_UPLOAD, 0] {
                let id = format!("{name}-{round}-{upload}{}", path.replace('/', "-"));
                let answer = call(callers, &request(path, &id, upload));
                let body = complete_body(&answer);
                let told = format!("{id}: {shape:?}: {:?}", answer.get(..400).unwrap_or(&answer));
                if let Some(body) = &body {
                    assert!(shape.is_complete() && *body == shape.body[..shape.sent], "{told}");
                }
                if shape.is_complete() && !shape.is_overtaken() {
                    assert!(body.is_some(), "{told}");
                }
            }
        }
    }
}

/// Plays shapes beside each other.
fn play_all(name: &str, shapes: impl Iterator<Item = Shape>, relayed: bool) {
    let names = (0..).map(|number| format!("{name}-{number}"));
    let plays: Vec<_> =
        names.zip(shapes).map(|(name, shape)| thread::spawn(move || play(&name, &shape, relayed))).collect();
    let ended: Vec<_> = plays.into_iter().map(thread::JoinHandle::join).collect();
    assert!(ended.iter().all(Result::is_ok), "{} of {} shapes", failed(&ended), ended.len());
}

fn failed<T, E>(ended: &[Result<T, E>]) -> usize {
    ended.iter().filter(|result| result.is_err()).count()
}

const HALF: usize = BODY.len() / 2;
const SOON: Duration = Duration::ZERO;
const LATER: Duration = Duration::from_millis(30);
const LATE: Duration = Duration::from_millis(200);

/// Guards against a part of an answer that callers take for all of it: a failed write of the upload used up the error of
/// the reset, and the end that was read after it was taken for one in order.
#[test]
fn reset_while_uploading() {
    let shapes = [SOON, LATER, LATE].map(|apart| Shape::new(Framing::Connection, HALF, End::Reset, apart));
    play_all("early-reset", shapes.into_iter(), false);
}

#[test]
fn relayed_reset() {
    let shapes = [SOON, LATER].map(|apart| Shape::new(Framing::Connection, HALF, End::Reset, apart));
    play_all("early-relayed", shapes.into_iter(), true);
}

/// A sound engine may answer before it has read the request.
#[test]
fn ended_in_order() {
    let ends = [End::Closed, End::ClosedThenReset];
    let shapes = ends.map(|end| Shape::new(Framing::Connection, BODY.len(), end, LATER));
    play_all("early-order", shapes.into_iter(), false);
}

#[test]
fn relayed_in_order() {
    let shapes = [Shape::new(Framing::Connection, BODY.len(), End::Closed, LATER)];
    play_all("early-relayed-order", shapes.into_iter(), true);
}

#[test]
fn framed_answers() {
    let framings = [Framing::Length, Framing::Chunks];
    let parts = [HALF, BODY.len()];
    let shapes = framings.into_iter().flat_map(|framing| {
        let ends = [End::Closed, End::Reset].into_iter();
        ends.flat_map(move |end| parts.map(|sent| Shape::new(framing, sent, end, LATER)))
    });
    play_all("early-framed", shapes, false);
}

/// Makes a call of the client in one of its ways, and returns the body of the answer.
async fn read(client: &Rc<Client>, address: SocketAddr, upload: usize, way: u32) -> Result<Bytes, Error> {
    let headers: HeaderMap = [(REQUEST_ID, HeaderValue::from_static("mine"))].into_iter().collect();
    let body = Bytes::from(vec![b'x'; upload]);
    let request = Request { method: Method::POST, target: Uri::from_static("/x"), headers, body };
    let until = Instant::now() + LIMIT;
    let clock = Clock::start();
    let expiry = Expiry { clock, at: clock.now() + LIMIT };
    match way {
        0 => client.call(address, request, 1 << 20, until).await.map(|answer| answer.body),
        1 => client.transfer(address, request, 1 << 20, LIMIT, LIMIT).await.map(|answer| answer.body),
        2 => client.send(address, request, until, expiry).await?.read_all(1 << 20).await,
        _ => read_slowly(client, address, request, until, expiry).await,
    }
}

/// Reads an answer with pauses, and once more after an error: what broke off stays so.
async fn read_slowly(
    client: &Rc<Client>,
    address: SocketAddr,
    request: Request,
    until: Instant,
    expiry: Expiry,
) -> Result<Bytes, Error> {
    let mut response = client.send(address, request, until, expiry).await?;
    let mut body = Vec::new();
    loop {
        tokio::time::sleep(Duration::from_millis(2)).await;
        match response.chunk().await {
            Ok(Some(bytes)) => body.extend_from_slice(&bytes),
            Ok(None) => return Ok(body.into()),
            Err(error) => {
                assert!(!matches!(response.chunk().await, Ok(None)), "an end after {error}");
                return Err(error);
            }
        }
    }
}

/// One random answer, and whether what the client makes of it is right.
async fn check_random(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let body: String = (0..random.usize(0..40_000)).map(|_| random.alphanumeric()).collect();
    let sent = if random.bool() { body.len() } else { random.usize(0..=body.len()) };
    let upload = random.choice([0, 10, 5_000, SHORT_UPLOAD, 3 << 20, LONG_UPLOAD, 8 << 20]).unwrap_or(0);
    let millis = |random: &mut fastrand::Rng, most| Duration::from_millis(random.u64(0..=most));
    let shape = Shape {
        framing: random.choice([Framing::Length, Framing::Chunks, Framing::Connection]).expect("some"),
        piece: random.choice([7 * 1_024, 16 << 10, 64 << 10]).expect("some"),
        reads: if random.bool() { 0 } else { random.usize(0..=upload) },
        before: millis(&mut random, 5),
        apart: millis(&mut random, 12),
        end: random.choice([End::Closed, End::ClosedThenReset, End::Reset]).expect("some"),
        sent,
        body,
    };
    let way = random.u32(0..4);
    let client = Client::new(LIMIT);
    let told = format!(
        "seed {seed}: way {way}, upload {upload}, {} of {} bytes, {:?}, {:?}, {:?}, {:?}",
        shape.sent,
        shape.body.len(),
        shape.framing,
        shape.end,
        shape.reads,
        shape.apart
    );
    let read = read(&client, server(shape.clone()), upload, way).await;
    match read {
        Ok(body) => {
            assert!(shape.is_complete(), "{told}: {} bytes", body.len());
            assert_eq!(body, shape.body.as_bytes()[..shape.sent], "{told}");
        }
        Err(error) => assert!(!shape.is_complete() || shape.is_overtaken(), "{told}: {error}"),
    }
}

/// Answers of random shapes, at random moments of their upload. `EARLY_SEEDS` sets how many.
#[actix_web::test]
async fn random_ends() {
    let seeds = std::env::var("EARLY_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(300);
    for seed in 0..seeds {
        check_random(seed).await;
    }
}
