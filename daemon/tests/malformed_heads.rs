//! Answers whose head is none: a status that the protocol does not have, or bytes in a line that belong in none. The engines
//! of these tests write to their sockets directly.

#[path = "../../platform/tests/standin/mod.rs"]
mod standin;

mod links;
mod raw_engine;
mod serving;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderValue};
use actix_http::{Method, Uri};
use boragecove_daemon::clock::Clock;
use boragecove_daemon::entry::client::{Client, Error, Expiry, Request, Reuse};
use boragecove_platform::http::REQUEST_ID;
use bytes::Bytes;
use links::{Cut, Links};
use raw_engine::{header, read_request, register};
use serde_json::json;
use serving::{Entry, call, plain, streamed};
use standin::{Store, config};
use tokio::time::Instant;

/// Time limit of a call.
const LIMIT: Duration = Duration::from_secs(5);
/// Time in which an answer that is none is known to be so.
const SOON: Duration = Duration::from_secs(2);

/// The lines of a sound head; the request's id is `mine`.
const LINES: [&str; 5] = [
    "HTTP/1.1 200 OK",
    "Attempt-Id: mine",
    "Response-Seal: seal.mine",
    "X-Part: one two",
    "Content-Length: 4",
];
const BODY: &str = "data";

fn answer_of(lines: &[Vec<u8>]) -> Vec<u8> {
    let mut answer = lines.join(&b"\r\n"[..]);
    answer.extend_from_slice(b"\r\n\r\n");
    answer.extend_from_slice(BODY.as_bytes());
    answer
}

fn sound() -> Vec<Vec<u8>> {
    LINES.map(|line| line.as_bytes().to_vec()).to_vec()
}

/// The sound answer with a byte more at a place of a line.
fn with_byte(line: usize, at: usize, byte: u8) -> Vec<u8> {
    let mut lines = sound();
    lines[line].insert(at, byte);
    answer_of(&lines)
}

/// Starts a server that gives each connection's first request the next of these answers, and keeps the connection open. If
/// `after`, a sound answer to an earlier request on it comes first.
fn server(answers: Vec<Vec<u8>>, after: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for answer in answers {
            let Ok((mut stream, _)) = listener.accept() else {
                return;
            };
            thread::spawn(move || {
                if after
                    && (read_request(&mut stream).is_none()
                        || stream.write_all(&answer_of(&sound())).is_err())
                {
                    return;
                }
                if read_request(&mut stream).is_some() && stream.write_all(&answer).is_ok() {
                    while read_request(&mut stream).is_some() {}
                }
            });
        }
    });
    address
}

async fn read(
    client: &Rc<Client>,
    address: SocketAddr,
    reuse: Reuse,
    id: Option<&'static str>,
) -> Result<Bytes, Error> {
    let headers: HeaderMap = id.map(|id| (REQUEST_ID, HeaderValue::from_static(id))).into_iter().collect();
    let request =
        Request { method: Method::GET, target: Uri::from_static("/x"), headers, body: Bytes::new() };
    let clock = Clock::start();
    let expiry = Expiry { clock, at: clock.now() + LIMIT };
    let mut response = client.send_on(reuse, address, request, Instant::now() + LIMIT, expiry).await?;
    response.read_all(1 << 20).await
}

/// Reads the answers on new connections, and each as the second one of a connection.
async fn read_each(answers: &[Vec<u8>], check: impl Fn(&[u8], &Result<Bytes, Error>)) {
    let address = server(answers.to_vec(), false);
    let client = Client::new(LIMIT);
    for answer in answers {
        let begin = Instant::now();
        let read = read(&client, address, Reuse::Forbidden, Some("mine")).await;
        assert!(
            begin.elapsed() < SOON,
            "{:?} after {:?}",
            answer.escape_ascii().to_string(),
            begin.elapsed()
        );
        check(answer, &read);
    }
    let address = server(answers.to_vec(), true);
    for answer in answers {
        // Each has a client of its own, whose one idle connection is the one of its answer.
        let client = Client::new(LIMIT);
        let first = read(&client, address, Reuse::Allowed, Some("mine")).await;
        assert_eq!(first.expect("a sound answer"), BODY.as_bytes());
        check(answer, &read(&client, address, Reuse::Allowed, Some("mine")).await);
    }
}

fn assert_refused(answer: &[u8], read: &Result<Bytes, Error>) {
    assert!(matches!(read, Err(Error::InvalidResponse(_))), "{}: {read:?}", answer.escape_ascii());
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}

/// Guards against an answer with a byte in the name of a field that no name has, at each place of each name: the HTTP library
/// drops blanks in front of the colon, so that such lines were passed on, or ended the body.
#[actix_web::test]
async fn bytes_in_names() {
    let mut answers = Vec::new();
    for (line, text) in LINES.iter().enumerate().skip(1) {
        let name = text.find(':').expect("a field");
        for at in 0..=name {
            // A colon ends the name, and an empty line the head.
            let foreign =
                (0..=u8::MAX).filter(|byte| !is_token(*byte) && *byte != b':' && (at > 0 || *byte != b'\n'));
            let foreign: Vec<u8> = foreign.collect();
            // All of them at the edges, some inside.
            let step = if at == 0 || at == name { 1 } else { 13 };
            answers
                .extend(foreign.iter().skip(at % step).step_by(step).map(|byte| with_byte(line, at, *byte)));
        }
    }
    read_each(&answers, assert_refused).await;
}

/// Lines that are no field.
#[actix_web::test]
async fn lines_without_a_field() {
    let lines = [
        "",
        "no colon",
        ": value",
        " : value",
        " folded",
        "\tfolded",
        "X-One : 1",
        "X-One\t: 1",
        "X One: 1",
        "X-One \t : 1",
    ];
    let mut answers = Vec::new();
    for line in lines.into_iter().skip(1) {
        for at in 1..LINES.len() {
            let mut head = sound();
            head.insert(at, line.as_bytes().to_vec());
            answers.push(answer_of(&head));
        }
    }
    read_each(&answers, assert_refused).await;
}

/// A control byte in a value, at each place.
#[actix_web::test]
async fn bytes_in_values() {
    let controls = (0..=u8::MAX).filter(|byte| byte.is_ascii_control() && !b"\t\n\r".contains(byte));
    let line = LINES[3];
    let answers: Vec<_> =
        controls.flat_map(|byte| (8..line.len()).map(move |at| with_byte(3, at, byte))).collect();
    read_each(&answers, assert_refused).await;
    let returns: Vec<_> = (8..line.len()).map(|at| with_byte(3, at, b'\r')).collect();
    read_each(&returns, assert_refused).await;
}

/// Two fields that contradict each other, one of them misspelt or not, end the call at once.
#[actix_web::test]
async fn contradicting_lengths() {
    let lengths = [
        "Content-Length : 3",
        "Content-Length: 3",
        "Content-Length: +4",
        "Content-Length: 4, 5",
        "Content-Length:",
    ];
    let answers: Vec<_> = lengths
        .iter()
        .flat_map(|length| {
            [1, 4].map(|at| {
                let mut lines = sound();
                lines.insert(at, length.as_bytes().to_vec());
                answer_of(&lines)
            })
        })
        .collect();
    read_each(&answers, assert_refused).await;
}

/// The protocol's statuses have three digits and begin with 1 to 5.
#[actix_web::test]
async fn statuses() {
    let status = |text: &str| {
        let mut lines = sound();
        lines[0] = format!("HTTP/1.1 {text}").into_bytes();
        answer_of(&lines)
    };
    let numbers: Vec<u16> = (0..1_000).filter(|number| !(100..600).contains(number)).collect();
    let mut answers: Vec<_> = numbers.iter().map(|number| status(&format!("{number:03} Own"))).collect();
    let others = [
        "0 OK",
        "20 OK",
        "2000 OK",
        "200OK",
        "+20 OK",
        "-20 OK",
        "2 0 OK",
        " 200 OK",
        "200\tOK",
        "200 O\0K",
        "200 O\x7fK",
        "200 O\rK",
        "2e2 OK",
    ];
    answers.extend(others.map(status));
    read_each(&answers, assert_refused).await;
    let sound = |answer: &[u8], read: &Result<Bytes, Error>| {
        assert!(matches!(read, Ok(body) if *body == *BODY.as_bytes()), "{}", answer.escape_ascii());
    };
    let legal = (200..600).filter(|status| ![204, 304].contains(status));
    let mut answers: Vec<_> = legal.map(|number| status(&format!("{number} Own"))).collect();
    answers.extend(["200 ", "200 Two words", "200 \u{fc}"].map(status));
    read_each(&answers, sound).await;
}

/// Heads that are unusual and sound.
#[actix_web::test]
async fn unusual_heads() {
    let mut answers = Vec::new();
    for line in [
        "X-One:",
        "X-One: ",
        "X-One:1",
        "X-One:\t1 \t",
        "x!#$%&'*+-.^_`|~9: 1",
        "X-One: \u{e4}\u{20ac}",
        "X-One: a:b : c",
        "X-One: \"a\tb\"",
    ] {
        for at in 1..=LINES.len() {
            let mut lines = sound();
            lines.insert(at, line.as_bytes().to_vec());
            answers.push(answer_of(&lines));
        }
    }
    read_each(&answers, |answer, read| {
        assert!(matches!(read, Ok(body) if *body == *BODY.as_bytes()), "{}", answer.escape_ascii());
    })
    .await;
}

/// A call without an id, as of a report, an order or the store, has no answer either.
#[actix_web::test]
async fn calls_without_an_id() {
    let heads = [
        "HTTP/1.1 000 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 200 OK\r\nX-One : 1",
        "HTTP/1.1 200 OK\r\nX\0: 1",
        "HTTP/1.1 200 OK\r\nContent-Length : 1",
    ];
    let answers: Vec<_> =
        heads.iter().map(|head| format!("{head}\r\nContent-Length: 4\r\n\r\n{BODY}").into_bytes()).collect();
    let address = server(answers.clone(), false);
    for answer in &answers {
        assert_refused(answer, &read(&Client::new(LIMIT), address, Reuse::Forbidden, None).await);
    }
}

/// An engine that gives each request the answer that the request names in `X-Head`, and reports soundly.
fn engine(store: &Store, id: &str, service: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            thread::spawn(move || serve(stream));
        }
    });
    register(store, id, service, address);
    address
}

/// Heads that are none, and a sound one in front.
const HEADS: [&str; 9] = [
    "HTTP/1.1 200 OK\r\nX-Part: 1",
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 200 OK\r\nX-Part : 1",
    "HTTP/1.1 200 OK\r\nX-Part\t: 1",
    "HTTP/1.1 200 OK\r\nX\x01Part: 1",
    "HTTP/1.1 200 OK\r\nContent-Length : 3",
];

fn serve(mut stream: TcpStream) {
    while let Some(request) = read_request(&mut stream) {
        let id = header(&request, "attempt-id");
        let body = "id: 1\ndata: a\n\n";
        let answer = if id.is_empty() {
            let body = json!({"models": [{"name": "m1", "version": 1, "adapters": []}], "busy": false, "sequence": 0})
                .to_string();
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        } else {
            let head = HEADS[header(&request, "x-head").parse::<usize>().expect("a number")];
            let length = if head.contains("Content-Length") {
                String::new()
            } else {
                format!("Content-Length: {}\r\n", body.len())
            };
            format!(
                "{head}\r\nAttempt-Id: {id}\r\nResponse-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n{length}\r\n{body}"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn assert_callers_get_failures(name: &str, entry: &Entry) {
    for (number, head) in HEADS.iter().enumerate() {
        for (kind, request) in [("ack", plain("/ack/1", "ID")), ("brief", streamed("/brief/1", "ID"))] {
            let id = format!("{name}-{kind}-{number}");
            let request =
                request.replace("ID", &id).replacen("\r\n", &format!("\r\nX-Head: {number}\r\n"), 1);
            let begin = Instant::now();
            let answer = call(entry.callers, &request);
            let expected = if number == 0 { "HTTP/1.1 200" } else { "HTTP/1.1 502" };
            assert!(answer.starts_with(expected), "{head:?}, {kind}: {answer}");
            assert!(begin.elapsed() < SOON, "{head:?}, {kind}: {:?}", begin.elapsed());
        }
    }
}

#[test]
fn direct_callers() {
    let store = Store::start();
    store.put("op", "config", &config(1));
    let _addresses = [engine(&store, "w-1", "writer"), engine(&store, "g-1", "gateway")];
    let entry = Entry::start("heads", &store);
    assert_callers_get_failures("direct", &entry);
}

/// Waits until an entry VM has another one relay for it.
fn wait_for_relay(entry: &Entry) {
    let end = Instant::now() + serving::LIMIT;
    let sound = plain("/ack/1", "relay").replacen("\r\n", "\r\nX-Head: 0\r\n", 1);
    while !call(entry.callers, &sound).starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < end, "nothing is relayed");
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn relayed_callers() {
    let store = Store::start();
    store.put("op", "config", &config(1));
    let mut links = Links::new("heads-relayed");
    for address in [engine(&store, "w-1", "writer"), engine(&store, "g-1", "gateway")] {
        links.add(address);
    }
    let _relay = Entry::start("heads-relay", &store);
    let cut = Entry::start_among("zone-b", "heads-cut", &store, "", links.environment());
    cut.wait_for(200);
    links.cut(Some(Cut::Reset));
    wait_for_relay(&cut);
    assert_callers_get_failures("relayed", &cut);
}
