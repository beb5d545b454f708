//! The platform over HTTP.

use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use actix_http::{Method, StatusCode};
use boragecove_core::table::{Call, Failure, Reply};
use boragecove_core::vm::Vm;
use boragecove_wire::{path, platform};
use bytes::Bytes;
use futures_util::FutureExt;
use serde_json::value::RawValue;
use tokio::time::Instant;

use super::{Addresses, Answer, Objects, Table, Vms};
use crate::entry::client::{self, Error, Request};

/// Bytes of an answer at most.
const ANSWER_MAX: usize = 64 << 20;

/// A client of one of the platform's services.
pub(super) struct Client {
    address: SocketAddr,
    limit: Duration,
    http: Rc<client::Client>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

/// An answer: its status and body.
struct Answered {
    status: StatusCode,
    body: Bytes,
}

impl Answered {
    /// Fails unless the status tells that the call was carried out.
    fn done(self) -> Result<Bytes, Failure> {
        if self.status.is_success() { Ok(self.body) } else { Err(Failure::Unknown) }
    }
}

impl Client {
    pub(super) fn new(address: SocketAddr, settings: &Addresses) -> Self {
        Self { address, limit: settings.limit, http: client::Client::new(settings.connect) }
    }

    /// Makes a call and reads its answer, within the time limit.
    async fn call(&self, method: Method, path: &str, content: Content) -> Result<Answered, Failure> {
        let target = path.parse().map_err(|error| {
            tracing::warn!(%error, path, "a call of the platform has no valid path");
            Failure::Unavailable
        })?;
        let Content { headers, body } = content;
        let request = Request { method, target, headers, body };
        let until = Instant::now() + self.limit;
        let answer = self.http.call(self.address, request, ANSWER_MAX, until).await;
        let answer = answer.map_err(|error| self.failure(&error))?;
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            // So the platform says that a call had no effect.
            return Err(Failure::Unavailable);
        }
        Ok(Answered { status: answer.status, body: answer.body })
    }

    /// Whether a call that got no answer may have had an effect.
    fn failure(&self, error: &Error) -> Failure {
        tracing::debug!(address = %self.address, %error, "a call of the platform got no answer");
        match error {
            Error::Expired | Error::Unsent(_) => Failure::Unavailable,
            Error::Lost(_) | Error::InvalidResponse(_) | Error::TimedOut | Error::BodyTimedOut { .. } => {
                // The connections may all have gone silent; the next call opens a new one.
                self.http.close_idle(self.address);
                Failure::Unknown
            }
        }
    }
}

/// What a call carries.
#[derive(Debug, Default)]
struct Content {
    headers: HeaderMap,
    body: Bytes,
}

impl Content {
    fn bytes(body: Bytes) -> Self {
        Self { body, ..Self::default() }
    }

    fn json(value: &impl serde::Serialize) -> Result<Self, Failure> {
        let body = serde_json::to_vec(value).map_err(|error| {
            tracing::warn!(%error, "a call of the platform could not be written");
            Failure::Unavailable
        })?;
        let headers = [(CONTENT_TYPE, HeaderValue::from_static("application/json"))].into_iter().collect();
        Ok(Self { headers, body: body.into() })
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
            let answered = Self::call(self, Method::POST, path::TABLE, Content::json(&call)?);
            let reply: platform::Reply = read(&answered.await?.done()?)?;
            reply.try_into().map_err(|error| {
                tracing::warn!(%error, "a row of the table could not be read");
                Failure::Unknown
            })
        }
        .boxed_local()
    }
}

/// An entry of the list of VMs; none if it cannot be read, so that it does not affect the others.
fn listed(entry: &RawValue) -> Option<Vm> {
    let vm = serde_json::from_str(entry.get());
    vm.inspect_err(|error| tracing::warn!(%error, "skipping an entry of the list of VMs")).ok()
}

impl Vms for Client {
    fn list(&self) -> Answer<'_, Vec<Vm>> {
        async move {
            let answered = self.call(Method::GET, path::VMS, Content::default()).await?;
            let entries: Vec<Box<RawValue>> = read(&answered.done()?)?;
            Ok(entries.iter().filter_map(|entry| listed(entry)).collect())
        }
        .boxed_local()
    }
}

impl Objects for Client {
    fn get(&self, key: String) -> Answer<'_, Option<Bytes>> {
        async move {
            let answered = self.call(Method::GET, &object_path(&key), Content::default()).await?;
            // So the object store says that there is nothing under a key.
            if answered.status == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            answered.done().map(Some)
        }
        .boxed_local()
    }

    fn put(&self, key: String, bytes: Bytes) -> Answer<'_, ()> {
        async move {
            self.call(Method::PUT, &object_path(&key), Content::bytes(bytes)).await?.done()?;
            Ok(())
        }
        .boxed_local()
    }

    fn delete(&self, key: String) -> Answer<'_, ()> {
        async move {
            self.call(Method::DELETE, &object_path(&key), Content::default()).await?.done()?;
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
