//! Calls of the platform over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use boragecove_core::event::Event;
use boragecove_core::vm::Vm;
use boragecove_core::{id, table};
use boragecove_wire::{path, platform};

/// An answer is read up to this many bytes.
const ANSWER_MAX: usize = 64 << 20;

/// Reads the list of VMs.
pub(crate) async fn list(client: Client, address: SocketAddr, limit: Duration) -> Event {
    let request = client.get(format!("http://{address}{}", path::VMS)).timeout(limit).send();
    let answer = async { request.await.ok()?.json::<Vec<Vm>>().limit(ANSWER_MAX).await.ok() };
    match tokio::time::timeout(limit, answer).await {
        Ok(Some(vms)) => Event::Listed(vms),
        _ => Event::Unlisted,
    }
}

/// Calls the table.
pub(crate) async fn table(
    client: Client,
    address: SocketAddr,
    op: id::Op,
    call: table::Call,
    limit: Duration,
) -> Event {
    let call = platform::Call::from(call);
    let request = client.post(format!("http://{address}{}", path::TABLE)).timeout(limit).send_json(&call);
    let answer = async {
        let mut response = request.await.map_err(|error| failure(&error))?;
        if response.status().as_u16() == 503 {
            return Err(table::Failure::Unavailable);
        }
        let reply = response.json::<platform::Reply>().limit(ANSWER_MAX).await;
        let reply = reply.map_err(|_lost| table::Failure::Unknown)?;
        table::Reply::try_from(reply).map_err(|_unreadable| table::Failure::Unknown)
    };
    let reply = tokio::time::timeout(limit, answer).await;
    Event::Table { op, reply: reply.unwrap_or(Err(table::Failure::Unknown)) }
}

fn failure(error: &SendRequestError) -> table::Failure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => table::Failure::Unknown,
        SendRequestError::Connect(_) => table::Failure::Unavailable,
        _ => table::Failure::Unknown,
    }
}
