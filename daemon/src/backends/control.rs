//! Orders to engines, cancellation, and reads of their load and cache.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use boragecove_core::engine::{CacheUpdate, Order, Receipt, Report};
use boragecove_core::event::Event;
use boragecove_core::id;
use boragecove_core::name::Name;
use boragecove_wire::path;
use serde::de::DeserializeOwned;

/// A report or an update is read up to this many bytes.
const ANSWER_MAX: usize = 8 << 20;

/// Sends an order and returns what came of it.
pub(crate) async fn order(
    client: Client,
    engine: Name,
    address: SocketAddr,
    order: Box<Order>,
    limit: Duration,
) -> Event {
    let request = client.post(url(address, path::ORDERS)).timeout(limit).send_json(&*order);
    let answer = async {
        let mut response = request.await.ok()?;
        response.json::<Receipt>().limit(ANSWER_MAX).await.ok()
    };
    let receipt = tokio::time::timeout(limit, answer).await.ok().flatten();
    Event::OrderAnswered { order: order.id, engine, receipt }
}

/// Asks for an engine's load report.
pub(crate) async fn report(client: Client, engine: Name, address: SocketAddr, limit: Duration) -> Event {
    match get::<Report>(&client, &url(address, path::REPORT), limit).await {
        Some(report) if report.engine == engine => Event::ReportReceived(Box::new(report)),
        _ => Event::ReportFailed(engine),
    }
}

/// Asks for an engine's cache events.
pub(crate) async fn cache(client: Client, address: SocketAddr, from: u64, limit: Duration) -> Option<Event> {
    let url = format!("{}?from={from}", url(address, path::CACHE));
    get::<CacheUpdate>(&client, &url, limit).await.map(|update| Event::CacheChanged(Box::new(update)))
}

/// Tells an engine to break an attempt off. The engine notices by itself if this is lost.
pub(crate) async fn cancel(client: Client, address: SocketAddr, attempt: id::Attempt, limit: Duration) {
    let path = path::ATTEMPT.replace("{attempt}", &attempt.to_string());
    let _lost = client.delete(url(address, &path)).timeout(limit).send().await;
}

async fn get<T: DeserializeOwned>(client: &Client, url: &str, limit: Duration) -> Option<T> {
    let request = client.get(url).timeout(limit).send();
    let answer = async { request.await.ok()?.json::<T>().limit(ANSWER_MAX).await.ok() };
    tokio::time::timeout(limit, answer).await.ok().flatten()
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
