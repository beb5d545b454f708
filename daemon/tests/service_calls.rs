//! Calls of plain services: passed on as they are, at most once where they may not be repeated.

mod deployment;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use boragecove_core::vm::Role;
use boragecove_standin::fault::{Fault, Kind, Scope};
use deployment::{Deployment, header};

#[actix_web::test]
async fn passed_on() {
    let deployment = Deployment::small().await;
    let url = deployment.url("/v1/services/lookup/words/heat?lang=en");
    let request = deployment.client.post(url).insert_header(("content-type", "text/plain"));
    let mut response = request.send_body("headword").await.expect("an answer");
    assert_eq!((response.status().as_u16(), header(&response, "boragecove-outcome")), (200, "answered"));
    assert_eq!(header(&response, "content-type"), "text/plain");
    assert_eq!(response.body().await.expect("a body"), "headword");
    let runs = deployment.service.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].call, "POST /words/heat");
    deployment.node.kill().await;
}

#[actix_web::test]
async fn large_answer() {
    let deployment = Deployment::small().await;
    let body = vec![b'x'; 5 << 20];
    let request = deployment.client.post(deployment.url("/v1/services/lookup/large"));
    let mut response = request.send_body(body.clone()).await.expect("an answer");
    assert_eq!(response.body().limit(1 << 24).await.expect("a body"), body);
    deployment.node.kill().await;
}

#[actix_web::test]
async fn run_once() {
    let deployment = Deployment::small().await;
    deployment.service.faults().add(Fault::next(Kind::Lose, Scope::Service, 1));
    let request = deployment.client.post(deployment.url("/v1/services/lookup/alert"));
    let response = request.send_body("alert").await.expect("an answer");
    assert_eq!(header(&response, "boragecove-outcome"), "unknown");
    assert_eq!(deployment.service.runs_of(b"alert"), 1, "it is not repeated");
    deployment.service.faults().add(Fault::next(Kind::Refuse, Scope::Service, 1));
    let request = deployment.client.post(deployment.url("/v1/services/lookup/alert"));
    let response = request.send_body("again").await.expect("an answer");
    assert_eq!(header(&response, "boragecove-outcome"), "answered", "a refusal is tried again");
    deployment.node.kill().await;
}

/// Answers one request with these bytes and closes the connection.
fn answer_once(bytes: &'static [u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let _request = stream.read(&mut [0; 4_096]).expect("a request");
            stream.write_all(bytes).expect("an answer");
        }
    });
    address
}

#[actix_web::test]
async fn cut_in_chunks() {
    let deployment = Deployment::small().await;
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let cut = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
    for (bytes, outcome) in [(&head[..], "answered"), (&cut[..], "unknown")] {
        let address = answer_once(bytes);
        deployment.platform.vms().put(deployment::vm("lookup-1", address, Role::Backend("gateway".into())));
        deployment
            .until("answered by it", async || {
                let request = deployment.client.post(deployment.url("/v1/services/lookup/x"));
                let mut response = request.send_body("x").await.expect("an answer");
                let body = response.body().await.expect("a body");
                header(&response, "boragecove-outcome") == outcome
                    && (outcome == "unknown" || body == "whole")
            })
            .await;
    }
    deployment.node.kill().await;
}
