//! Puts a try into the form that its back end takes.

use actix_web::http::header::{AUTHORIZATION, CONTENT_TYPE};
use awc::{Client, ClientRequest};
use boragecove_core::attempt::{Destination, Resume, Send};
use boragecove_core::rules::Priority;
use boragecove_core::time::Time;
use boragecove_wire::{completion, header, proof};
use bytes::Bytes;

use crate::callers::content::Content;
use crate::settings::Secret;

/// The request of a try, without its body.
pub(crate) fn head(
    client: &Client,
    send: &Send,
    content: &Content,
    now: Time,
    secret: &Secret,
) -> ClientRequest {
    let path = match send.destination {
        Destination::Service(_) => &content.tail,
        Destination::Engine(_) | Destination::Peer => &content.path,
    };
    let left_ms = send.deadline.since(now).as_millis();
    let request = client
        .request(content.method.clone(), format!("http://{}{path}", send.address))
        .insert_header((header::ATTEMPT, send.attempt.to_string()))
        .insert_header((header::DEADLINE_MS, left_ms.to_string()));
    match &send.destination {
        Destination::Engine(artifact) => resume(request, send.resume)
            .insert_header((header::ARTIFACT, artifact.to_string()))
            .insert_header((header::PRIORITY, priority(send.priority)))
            .insert_header((CONTENT_TYPE, "application/json")),
        Destination::Service(_) => passed_on(request, content),
        Destination::Peer => {
            let request = resume(passed_on(request, content), send.resume)
                .insert_header((header::HOPS, (content.hops + 1).to_string()))
                .insert_header((header::PROOF, proof::sign(send.attempt, secret.reveal().as_bytes())));
            match &content.authorization {
                Some(token) => request.insert_header((AUTHORIZATION, token.clone())),
                None => request,
            }
        }
    }
}

fn priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::High => "high",
        Priority::Normal => "normal",
        Priority::Deferrable => "deferrable",
    }
}

fn passed_on(mut request: ClientRequest, content: &Content) -> ClientRequest {
    for (name, value) in &content.headers {
        request = request.append_header((name.clone(), value.clone()));
    }
    request
}

fn resume(request: ClientRequest, resume: Resume) -> ClientRequest {
    let (request, offset) = match resume {
        Resume::Start => (request, 0),
        Resume::Same { of, offset } => (request.insert_header((header::RESUME_OF, of.to_string())), offset),
        Resume::Continue { offset } => (request, offset),
    };
    match offset.checked_sub(1) {
        Some(last) => request.insert_header((header::LAST_EVENT_ID, last.to_string())),
        None => request,
    }
}

/// The body of a try: the caller's, with the text delivered so far where it goes on from there.
pub(crate) fn body(send: &Send, content: &Content, delivered: &str) -> Bytes {
    match send.resume {
        Resume::Continue { offset } if offset > 0 => {
            completion::with_continuation(&content.body, delivered).into()
        }
        _ => content.body.clone(),
    }
}
