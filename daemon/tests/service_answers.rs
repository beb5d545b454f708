//! Answers of plain services of the system's own deployment that break off or are none: their callers get none of them. The
//! services write to their sockets directly.

mod deployment;
mod raw_answers;

use boragecove_core::vm::Role;
use deployment::{Deployment, header, vm};
use raw_answers::{End, HEADS, Server};

const BODY: &str = "all of it, and more";

/// What a caller got: the outcome that its answer states, and the body.
type Got = (String, String);

/// Calls a service that answers so, as its only instance, until one of the calls has reached it.
async fn got(deployment: &Deployment, answer: &str, end: End) -> Got {
    let server = Server::start(answer.to_owned(), end);
    let instance =
        vm(&format!("lookup-{}", server.address.port()), server.address, Role::Backend("gateway".into()));
    let name = instance.name.clone();
    deployment.platform.vms().put(instance);
    let mut got = None;
    deployment
        .until("answered by it", async || {
            let before = server.requests();
            let request = deployment.client.post(deployment.url("/v1/services/lookup/x"));
            let mut response = request.send_body("x").await.expect("an answer");
            let outcome = header(&response, "boragecove-outcome").to_owned();
            let body = response.body().await.expect("a body");
            got = Some((outcome, String::from_utf8_lossy(&body).into_owned()));
            server.requests() > before
        })
        .await;
    deployment.platform.vms().remove(&name);
    got.expect("an answer")
}

async fn deployment() -> Deployment {
    let deployment = Deployment::small().await;
    deployment.platform.vms().remove("lookup-1");
    deployment
}

fn with_length() -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len())
}

fn in_chunks() -> String {
    let (one, two) = BODY.split_at(9);
    format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{one}\r\n{:x}\r\n{two}\r\n0\r\n\r\n",
        two.len()
    )
}

/// Guards against a part of an answer that callers take for all of it.
#[actix_web::test]
async fn cut_answers() {
    let deployment = deployment().await;
    for whole in [with_length(), in_chunks()] {
        for end in [End::Closed, End::Reset] {
            for cut in (0..whole.len()).step_by(5) {
                let (outcome, body) = got(&deployment, &whole[..cut], end).await;
                assert_eq!(outcome, "unknown", "{:?}, {end:?}: {body}", &whole[..cut]);
            }
            let (outcome, body) = got(&deployment, &whole, end).await;
            assert_eq!((outcome.as_str(), body.as_str()), ("answered", BODY), "{whole:?}, {end:?}");
        }
    }
    deployment.node.kill().await;
}

/// Guards against an empty answer in the place of one that ends with its connection, which is not read here.
#[actix_web::test]
async fn ended_by_connection() {
    let deployment = deployment().await;
    for version in ["1.0", "1.1"] {
        for end in [End::Closed, End::Reset] {
            let answer = format!("HTTP/{version} 200 OK\r\n\r\n{BODY}");
            let (outcome, body) = got(&deployment, &answer, end).await;
            assert_eq!(outcome, "unknown", "{version}, {end:?}: {body}");
        }
    }
    deployment.node.kill().await;
}

#[actix_web::test]
async fn invalid_heads() {
    let deployment = deployment().await;
    for head in HEADS {
        let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
        let (outcome, body) = got(&deployment, &answer, End::Closed).await;
        assert_eq!(outcome, "unknown", "{head:?}: {body}");
    }
    deployment.node.kill().await;
}

/// An informational answer in front of another one is not read here; the library takes it for the final one.
#[actix_web::test]
async fn informational_answers() {
    let deployment = deployment().await;
    let answer = format!(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{BODY}",
        BODY.len()
    );
    let (outcome, body) = got(&deployment, &answer, End::Closed).await;
    assert_eq!(outcome, "unknown", "{body}");
    deployment.node.kill().await;
}

#[actix_web::test]
async fn sound_answers() {
    let deployment = deployment().await;
    for head in ["HTTP/1.1 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.1 200 OK\r\nX-Part:\t1"] {
        let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{BODY}", BODY.len());
        let (outcome, body) = got(&deployment, &answer, End::Closed).await;
        assert_eq!((outcome.as_str(), body.as_str()), ("answered", BODY), "{head:?}");
    }
    deployment.node.kill().await;
}
