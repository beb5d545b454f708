//! The HTTP client of an entry VM distinguishes the end of an answer from the end of its connection.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Uri};
use boragecove_daemon::clock::Clock;
use boragecove_daemon::entry::client::{Client, Error, Expiry, Request, Response};
use boragecove_platform::http::REQUEST_ID;
use bytes::Bytes;
use tokio::time::Instant;

/// The header with the id of a call between entry VMs.
const CALL_ID: &str = "call-id";

/// Number of headers that take much longer to encode than a few ms.
const HEADERS: usize = 100_000;

/// What a server does with one of the connections that it accepts.
enum Behaviour {
    /// Reads a request, writes these bytes, and closes the connection without an error.
    Close(&'static str),
    /// Reads a request, writes these bytes, and resets the connection.
    Reset(&'static str),
    /// For each of these answers: reads a request and writes the answer.
    Keep(&'static [&'static str]),
}

/// Starts a server. The receiver gets the number of requests that were answered on each connection.
fn server(behaviours: Vec<Behaviour>) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let (sender, receiver) = channel();
    thread::spawn(move || {
        for behaviour in behaviours {
            let (mut stream, _) = listener.accept().expect("a connection");
            let answers = match behaviour {
                Behaviour::Close(answer) | Behaviour::Reset(answer) => vec![answer],
                Behaviour::Keep(answers) => answers.to_vec(),
            };
            let mut served = 0;
            for answer in answers {
                if !read_request(&mut stream) {
                    break;
                }
                served += 1;
                stream.write_all(answer.as_bytes()).expect("writes");
            }
            match behaviour {
                Behaviour::Close(_) => stream.shutdown(Shutdown::Write).expect("closes"),
                Behaviour::Reset(_) => reset(&stream),
                Behaviour::Keep(_) => while read_request(&mut stream) {},
            }
            let _test_is_over = sender.send(served);
        }
    });
    (address, receiver)
}

fn reset(stream: &TcpStream) {
    // Leaves time for the bytes before the reset to be read.
    thread::sleep(Duration::from_millis(50));
    let stream = tokio::runtime::Builder::new_current_thread().enable_io().build().map(|runtime| {
        let _guard = runtime.enter();
        let copy = stream.try_clone().expect("clones");
        copy.set_nonblocking(true).expect("sets");
        tokio::net::TcpStream::from_std(copy).expect("registers").set_zero_linger().expect("sets");
    });
    stream.expect("a runtime");
}

fn read_request(stream: &mut TcpStream) -> bool {
    let mut bytes = Vec::new();
    let mut part = [0; 1024];
    while !bytes.windows(4).any(|four| four == b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return false,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
    true
}

fn request() -> Request {
    Request {
        method: Method::GET,
        target: Uri::from_static("/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// A request that may be written for `time` from now on.
fn within(time: Duration) -> Expiry {
    let clock = Clock::start();
    Expiry { clock, at: clock.now() + time }
}

async fn answer(client: &Rc<Client>, address: SocketAddr) -> Result<Response, Error> {
    client.send(address, request(), soon(), within(Duration::from_secs(5))).await
}

async fn read_answer(client: &Rc<Client>, address: SocketAddr) -> Result<String, Error> {
    let mut response = answer(client, address).await?;
    let bytes = response.read_all(1 << 20).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn client() -> Rc<Client> {
    Client::new(Duration::from_millis(500))
}

#[actix_web::test]
async fn length_kept() {
    let (address, _) = server(vec![Behaviour::Close("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")]);
    assert_eq!(read_answer(&client(), address).await.expect("a complete answer"), "body");
}

#[actix_web::test]
async fn short_of_its_length() {
    let (address, _) = server(vec![Behaviour::Close("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody")]);
    assert!(matches!(read_answer(&client(), address).await, Err(Error::Lost(_))));
}

#[actix_web::test]
async fn chunks_without_an_end() {
    let (address, _) =
        server(vec![Behaviour::Close("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n")]);
    assert!(matches!(read_answer(&client(), address).await, Err(Error::Lost(_))));
}

#[actix_web::test]
async fn ends_with_its_connection() {
    let (address, _) = server(vec![Behaviour::Close("HTTP/1.1 200 OK\r\n\r\nall of it")]);
    assert_eq!(read_answer(&client(), address).await.expect("a complete answer"), "all of it");
}

#[actix_web::test]
async fn reset_is_no_end() {
    let (address, _) = server(vec![Behaviour::Reset("HTTP/1.1 200 OK\r\n\r\nnot all of it")]);
    assert!(matches!(read_answer(&client(), address).await, Err(Error::Lost(_))));
}

#[actix_web::test]
async fn no_answer_at_all() {
    let (address, _) = server(vec![Behaviour::Close("not http at all\r\n\r\n")]);
    assert!(matches!(read_answer(&client(), address).await, Err(Error::InvalidResponse(_))));
}

#[actix_web::test]
async fn nobody_listens() {
    let free = TcpListener::bind(("127.0.0.1", 0)).expect("a port").local_addr().expect("bound");
    assert!(matches!(read_answer(&client(), free).await, Err(Error::Unsent(_))), "nothing was sent");
}

#[actix_web::test]
async fn connections_are_kept() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok";
    let (address, served) = server(vec![Behaviour::Keep(&[ANSWER, ANSWER, ANSWER])]);
    let client = client();
    for _ in 0..3 {
        assert_eq!(read_answer(&client, address).await.expect("a complete answer"), "ok");
    }
    drop(client);
    assert_eq!(served.recv().expect("served"), 3);
}

#[actix_web::test]
async fn extra_bytes_belong_to_nobody() {
    const EXTRA: &str =
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra";
    const NEXT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
    let (address, _) = server(vec![Behaviour::Keep(&[EXTRA]), Behaviour::Keep(&[NEXT])]);
    let client = client();
    assert_eq!(read_answer(&client, address).await.expect("a complete answer"), "ok");
    assert_eq!(
        read_answer(&client, address).await.expect("a complete answer"),
        "next",
        "the next request must use a new connection"
    );
}

/// A request with an id.
fn named(id: &'static str) -> Request {
    let headers = [(REQUEST_ID, HeaderValue::from_static(id))].into_iter().collect();
    Request { headers, ..request() }
}

/// Sends a request with an id and reads the body of its answer.
async fn read_named(client: &Rc<Client>, address: SocketAddr) -> Result<String, Error> {
    let mut response = client.send(address, named("mine"), soon(), within(Duration::from_secs(5))).await?;
    let bytes = response.read_all(1 << 20).await?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[actix_web::test]
async fn another_answer_is_skipped() {
    const TWO: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: theirs\r\nContent-Length: 5\r\n\r\nother\
        HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    let (address, _) = server(vec![Behaviour::Keep(&[TWO])]);
    assert_eq!(read_named(&client(), address).await.expect("a complete answer"), "mine");
}

/// Guards against an answer to a call without an id that belongs to another request, or follows other bytes.
#[actix_web::test]
async fn unnamed_calls_skip_nothing() {
    for answers in [
        "HTTP/1.1 200 OK\r\nAttempt-Id: theirs\r\nContent-Length: 2\r\n\r\nok",
        "x HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 202 Accepted\r\nX-Part: HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\nok",
    ] {
        let (address, _) = server(vec![Behaviour::Close(answers)]);
        let answer = read_answer(&client(), address).await;
        assert!(matches!(answer, Err(Error::InvalidResponse(_))), "{answers:?}: {answer:?}");
    }
}

/// Guards against an answer to another call between entry VMs, or bytes that look like one, that is taken for the answer
/// to this call. Answers of older entry VMs name none, and follow nothing else.
#[actix_web::test]
async fn calls_between_entries() {
    const OLDER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine";
    const OWN: &str = "HTTP/1.1 200 OK\r\nCall-Id: 17\r\nContent-Length: 4\r\n\r\nmine";
    const OTHER: &str = "HTTP/1.1 503 Service Unavailable\r\nCall-Id: 16\r\nContent-Length: 0\r\n\r\n";
    const CUT: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Part: ";
    let call = || {
        let headers = [(HeaderName::from_static(CALL_ID), HeaderValue::from_static("17"))];
        Request { headers: headers.into_iter().collect(), ..request() }
    };
    let read = async |answer: String| {
        let (address, _) = server(vec![Behaviour::Close(answer.leak())]);
        let client = client();
        let mut response = client.send(address, call(), soon(), within(Duration::from_secs(5))).await?;
        response.read_all(100).await.map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
    };
    for before in ["", OTHER, CUT, "garbage"] {
        assert_eq!(read(format!("{before}{OWN}")).await.expect("the call's answer"), "mine", "{before:?}");
    }
    assert_eq!(read(OLDER.to_owned()).await.expect("an older entry VM's answer"), "mine");
    for before in [OTHER, CUT, "garbage"] {
        assert!(read(format!("{before}{OLDER}")).await.is_err(), "{before:?}");
    }
}

/// Guards against an answer that broke off inside its head and is followed by a second one to the same request: which of
/// them is meant can't be known.
#[actix_web::test]
async fn second_answer_is_ambiguous() {
    const CUT: &str = "HTTP/1.1 500 Failed\r\nAttempt-Id: mine\r\nX-Part: \
        HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    let (address, _) = server(vec![Behaviour::Close(CUT)]);
    assert!(matches!(read_named(&client(), address).await, Err(Error::InvalidResponse(_))));
}

/// Guards against an answer whose length and chunks contradict each other.
#[actix_web::test]
async fn two_framings() {
    const BOTH: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\nmine\r\n0\r\n\r\n";
    let (address, _) = server(vec![Behaviour::Close(BOTH)]);
    assert!(matches!(read_named(&client(), address).await, Err(Error::InvalidResponse(_))));
}

/// Guards against an answer to another request that is shorter than its length: the expected answer was taken for its
/// rest, and the request waited until its deadline.
#[actix_web::test]
async fn answer_after_a_short_one() {
    const SHORT: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: theirs\r\nContent-Length: 5000\r\n\r\nother\
        HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    let (address, _) = server(vec![Behaviour::Keep(&[SHORT])]);
    assert_eq!(read_named(&client(), address).await.expect("a complete answer"), "mine");
}

/// Guards against informational answers that hold the framing of an answer: the HTTP library's codec then fails an
/// assertion.
#[actix_web::test]
async fn informational_with_framing() {
    const FRAMED: &str = "HTTP/1.1 100 Continue\r\nContent-Length: 4\r\n\r\n\
        HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    let (address, _) = server(vec![Behaviour::Keep(&[FRAMED])]);
    assert_eq!(read_named(&client(), address).await.expect("a complete answer"), "mine");
}

/// Guards against an answer that breaks off at any byte, by a close or a reset, and is taken as complete: callers would get
/// a success with a body that is cut short.
#[actix_web::test]
async fn cut_at_each_byte() {
    const LENGTH: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 9\r\n\r\nid: 1\nx\n\n";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nx\n\n\r\n0\r\n\r\n";
    const CONTINUED: &str =
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    const BEHIND: &str = "HTTP/1.1 503 No\r\nNot-Executed: 1\r\nX: HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nContent-Length: 4\r\n\r\nmine";
    for whole in [LENGTH, CHUNKED, CONTINUED, BEHIND] {
        let cuts = (0..whole.len()).map(|cut| &whole[..cut]);
        let closed = cuts.clone().map(Behaviour::Close);
        let (address, _) = server(closed.chain(cuts.step_by(7).map(Behaviour::Reset)).collect());
        let client = client();
        for at in 0..whole.len() + whole.len().div_ceil(7) {
            let answer = read_named(&client, address).await;
            assert!(answer.is_err(), "{at} of {whole:?}: {answer:?}");
        }
    }
}

#[actix_web::test]
async fn too_long() {
    let (address, _) = server(vec![Behaviour::Close("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody")]);
    let mut response = answer(&client(), address).await.expect("an answer");
    assert!(matches!(response.read_all(3).await, Err(Error::InvalidResponse(_))));
}

/// A request that has timed out must not arrive later from the kernel's buffers.
#[actix_web::test]
async fn given_up_is_reset() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    let accepted = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(read_request(&mut stream));
        stream.read(&mut [0; 16]).map_err(|error| error.kind())
    });
    let until = Instant::now() + Duration::from_millis(100);
    let late = client().send(address, request(), until, within(Duration::from_secs(5))).await;
    assert!(matches!(late, Err(Error::TimedOut)));
    assert_eq!(
        accepted.join().expect("ends"),
        Err(ErrorKind::ConnectionReset),
        "the connection must be reset"
    );
}

/// An expired request is not written, and the error shows that nothing was sent.
#[actix_web::test]
async fn expired_is_not_written() {
    let (address, served) = server(vec![Behaviour::Keep(&["HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])]);
    let client = client();
    let expired = client.send(address, request(), soon(), within(Duration::ZERO)).await;
    assert!(matches!(expired, Err(Error::Expired)));
    let expired = client.call_before(address, request(), 1_024, soon(), within(Duration::ZERO)).await;
    assert!(matches!(expired, Err(Error::Expired)));
    read_answer(&client, address).await.expect("the next one is answered");
    drop(client);
    assert_eq!(served.recv().expect("ends"), 1);
}

/// Starts a server that answers one request with a body of `parts` bytes, one every `pause`.
fn trickle(parts: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        assert!(read_request(&mut stream));
        stream
            .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {parts}\r\n\r\n").as_bytes())
            .expect("writes");
        for _ in 0..parts {
            thread::sleep(pause);
            if stream.write_all(b"x").is_err() {
                return;
            }
        }
    });
    address
}

const STALL: Duration = Duration::from_millis(200);

#[actix_web::test]
async fn slow_answer_is_whole() {
    let address = trickle(30, Duration::from_millis(20));
    let answer = client().transfer(address, request(), 100, STALL, STALL).await;
    assert_eq!(answer.expect("the answer never stalled").body.len(), 30, "bytes in 0.6 s");
}

#[actix_web::test]
async fn stalled_answer_is_cut() {
    let address = trickle(30, Duration::from_secs(1));
    let answer = client().transfer(address, request(), 100, STALL, STALL).await;
    assert!(matches!(answer, Err(Error::BodyTimedOut { bytes: 0 })), "{answer:?}");
}

/// Guards against requests that are written after the machine was suspended, by a decision from before: nothing that takes time
/// lies between the look at the clock and the write.
#[actix_web::test]
async fn expired_while_encoded() {
    const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let (address, served) = server(vec![Behaviour::Keep(&[ANSWER, ANSWER])]);
    let client = client();
    read_answer(&client, address).await.expect("an answer, whose connection is kept");
    let mut request = request();
    for number in 0..HEADERS {
        let name = HeaderName::try_from(format!("x-part-{number}")).expect("a name");
        request.headers.insert(name, HeaderValue::from_static("x"));
    }
    let expired = client.send(address, request, soon(), within(Duration::from_millis(3))).await;
    assert!(matches!(expired, Err(Error::Expired)), "{expired:?}");
    read_answer(&client, address).await.expect("the next one is answered");
    drop(client);
    assert_eq!(served.recv().expect("ends"), 2);
}
