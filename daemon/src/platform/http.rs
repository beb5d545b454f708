//! The platform over HTTP.

use std::cell::RefCell;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::http::Method;
use awc::error::{ConnectError, SendRequestError};
use awc::{ClientRequest, Connector, SendClientRequest};
use boragecove_core::table::{Call, Failure, Reply};
use boragecove_core::vm::Vm;
use boragecove_wire::{path, platform};
use bytes::Bytes;
use futures_util::FutureExt;

use super::{Addresses, Answer, Objects, Table, Vms};

/// Bytes of an answer at most.
const ANSWER_MAX: usize = 64 << 20;

/// A client of one of the platform's services.
pub(super) struct Client {
    address: SocketAddr,
    connect: Duration,
    limit: Duration,
    /// Replaced, with its connections, after an answer failed to come.
    pool: RefCell<awc::Client>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

/// An answer: its status and body.
struct Answered {
    status: u16,
    body: Bytes,
}

impl Answered {
    /// Fails unless the status tells that the call was carried out.
    fn done(self) -> Result<Bytes, Failure> {
        if (200..300).contains(&self.status) { Ok(self.body) } else { Err(Failure::Unknown) }
    }
}

impl Client {
    pub(super) fn new(address: SocketAddr, settings: &Addresses) -> Self {
        let pool = RefCell::new(connections(settings.connect));
        Self { address, connect: settings.connect, limit: settings.limit, pool }
    }

    /// Makes a call and reads its answer, within the time limit.
    async fn call(
        &self,
        method: Method,
        path: &str,
        send: impl FnOnce(ClientRequest) -> SendClientRequest,
    ) -> Result<Answered, Failure> {
        let url = format!("http://{}{path}", self.address);
        let request = self.pool.borrow().request(method, url);
        let result = tokio::time::timeout(self.limit, answer(send(request))).await;
        let result = result.unwrap_or(Err(Failure::Unknown));
        if matches!(result, Err(Failure::Unknown)) {
            // The connections may all have gone silent; the next call opens a new one.
            *self.pool.borrow_mut() = connections(self.connect);
        }
        result
    }
}

fn connections(connect: Duration) -> awc::Client {
    let connector = Connector::new().timeout(connect);
    awc::Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

async fn answer(request: SendClientRequest) -> Result<Answered, Failure> {
    let mut response = request.await.map_err(|error| failure(&error))?;
    let status = response.status().as_u16();
    if status == UNAVAILABLE {
        return Err(Failure::Unavailable);
    }
    let body = response.body().limit(ANSWER_MAX).await.map_err(|_lost| Failure::Unknown)?;
    Ok(Answered { status, body })
}

/// The status by which the platform says that a call had no effect.
const UNAVAILABLE: u16 = 503;

/// Whether a call that got no answer may have had an effect.
fn failure(error: &SendRequestError) -> Failure {
    match error {
        // So the client calls a connection that closed before the answer, too.
        SendRequestError::Connect(ConnectError::Disconnected) => Failure::Unknown,
        SendRequestError::Connect(_) => Failure::Unavailable,
        _ => Failure::Unknown,
    }
}

fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        tracing::warn!(%error, "an answer of the platform could not be read");
        Failure::Unknown
    })
}

impl Table for Client {
    fn call(&self, call: Call) -> Answer<'_, Reply> {
        async move {
            let call = platform::Call::from(call);
            let answered = Self::call(self, Method::POST, path::TABLE, |request| request.send_json(&call));
            let reply: platform::Reply = read(&answered.await?.done()?)?;
            reply.try_into().map_err(|error| {
                tracing::warn!(%error, "a row of the table could not be read");
                Failure::Unknown
            })
        }
        .boxed_local()
    }
}

impl Vms for Client {
    fn list(&self) -> Answer<'_, Vec<Vm>> {
        async move { read(&self.call(Method::GET, path::VMS, ClientRequest::send).await?.done()?) }
            .boxed_local()
    }
}

/// The status by which the object store says that there is nothing under a key.
const ABSENT: u16 = 404;

impl Objects for Client {
    fn get(&self, key: String) -> Answer<'_, Option<Bytes>> {
        async move {
            let answered = self.call(Method::GET, &object_path(&key), ClientRequest::send).await?;
            if answered.status == ABSENT {
                return Ok(None);
            }
            answered.done().map(Some)
        }
        .boxed_local()
    }

    fn put(&self, key: String, bytes: Bytes) -> Answer<'_, ()> {
        async move {
            let send = |request: ClientRequest| request.send_body(bytes);
            self.call(Method::PUT, &object_path(&key), send).await?.done()?;
            Ok(())
        }
        .boxed_local()
    }

    fn delete(&self, key: String) -> Answer<'_, ()> {
        async move {
            self.call(Method::DELETE, &object_path(&key), ClientRequest::send).await?.done()?;
            Ok(())
        }
        .boxed_local()
    }
}

/// The path of an object. What is not plain in a path is written as `%xx`, but for the slash.
fn object_path(key: &str) -> String {
    let mut path = path::OBJECT.replace("{key:.*}", "");
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                path.push(char::from(byte));
            }
            other => {
                let _infallible = write!(path, "%{other:02X}");
            }
        }
    }
    path
}
