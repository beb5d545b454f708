//! A small load generator: so many requests open at once, as fast as they come or at a given rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use awc::{Client, ClientRequest, Connector};
use futures_util::StreamExt;
use hdrhistogram::Histogram;

/// Threads that send.
const THREADS: usize = 3;
/// Latencies above this count as this.
const LATENCY_MAX_US: u64 = 60_000_000;
/// The prompt that is sent.
const PROMPT: &str =
    "Write a plain briefing for the night shift about shade, water and the heat of tomorrow.";

/// Whom to send to.
#[derive(Clone, Debug)]
pub enum Target {
    /// The engines themselves, in turn, with the number of the next attempt.
    Engines(Vec<SocketAddr>, Arc<AtomicU64>),
    /// The daemon.
    Daemon(SocketAddr),
}

/// What to ask for.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub tokens: u32,
    pub stream: bool,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Requests a second, or tokens a second of streams.
    pub rate: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub requests: u64,
    pub tokens: u64,
    pub errors: u64,
}

/// What one thread measured.
struct Part {
    latency_us: Histogram<u64>,
    tokens: u64,
    errors: u64,
}

pub fn run(target: &Target, shape: Shape, open: usize, rate: Option<f64>, span: Duration) -> Figures {
    let begun = Instant::now();
    let threads: Vec<_> = (0..THREADS)
        .map(|_| {
            let target = target.clone();
            let pace = rate.map(|rate| Duration::from_secs_f64(open as f64 / rate));
            thread::spawn(move || {
                let part = send(target, shape, open / THREADS, pace, span);
                actix_rt::System::new().block_on(part)
            })
        })
        .collect();
    let mut figures = Figures::default();
    let mut latency_us = histogram();
    for thread in threads {
        let part = thread.join().expect("its part");
        latency_us.add(&part.latency_us).expect("like histograms");
        figures.tokens += part.tokens;
        figures.errors += part.errors;
    }
    figures.requests = latency_us.len();
    let count = if shape.stream { figures.tokens } else { figures.requests };
    figures.rate = count as f64 / begun.elapsed().as_secs_f64();
    figures.p50_ms = latency_us.value_at_quantile(0.5) as f64 / 1_000.0;
    figures.p99_ms = latency_us.value_at_quantile(0.99) as f64 / 1_000.0;
    figures
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("good bounds")
}

async fn send(target: Target, shape: Shape, open: usize, pace: Option<Duration>, span: Duration) -> Part {
    let client = Client::builder().connector(Connector::new().limit(0)).disable_timeout().finish();
    let body = format!(
        "{{\"model\":\"briefing\",\"prompt\":\"{PROMPT}\",\"max_tokens\":{},\"stream\":{}}}",
        shape.tokens, shape.stream
    );
    let body: Arc<str> = body.into();
    let end = Instant::now() + span;
    let tasks: Vec<_> = (0..open)
        .map(|number| {
            let (client, target, body) = (client.clone(), target.clone(), Arc::clone(&body));
            let offset = pace.map(|pace| pace.mul_f64(number as f64 / open as f64)).unwrap_or_default();
            actix_rt::spawn(one_after_another(client, target, body, shape, pace, offset, end))
        })
        .collect();
    let mut all = Part { latency_us: histogram(), tokens: 0, errors: 0 };
    for task in tasks {
        let part = task.await.expect("its part");
        all.latency_us.add(&part.latency_us).expect("like histograms");
        all.tokens += part.tokens;
        all.errors += part.errors;
    }
    all
}

async fn one_after_another(
    client: Client,
    target: Target,
    body: Arc<str>,
    shape: Shape,
    pace: Option<Duration>,
    offset: Duration,
    end: Instant,
) -> Part {
    let mut part = Part { latency_us: histogram(), tokens: 0, errors: 0 };
    let mut due = Instant::now() + offset;
    while Instant::now() < end {
        if let Some(pace) = pace {
            tokio::time::sleep_until(due.into()).await;
            due = Instant::now().max(due + pace);
        }
        let begun = Instant::now();
        match one(request(&client, &target), &body, shape).await {
            Some(tokens) => {
                part.latency_us.saturating_record(begun.elapsed().as_micros() as u64);
                part.tokens += tokens;
            }
            None => part.errors += 1,
        }
    }
    part
}

fn request(client: &Client, target: &Target) -> ClientRequest {
    match target {
        Target::Daemon(address) => client.post(format!("http://{address}/v1/completions")),
        Target::Engines(addresses, next) => {
            let number = next.fetch_add(1, Ordering::Relaxed);
            let address = addresses[number as usize % addresses.len()];
            client
                .post(format!("http://{address}/v1/completions"))
                .insert_header(("boragecove-attempt", format!("00000000000000aa-{number:x}-1")))
                .insert_header(("boragecove-artifact", "briefing@1"))
                .insert_header(("boragecove-deadline-ms", "60000"))
        }
    }
}

/// Sends one request; the events that came, if the answer was whole.
async fn one(request: ClientRequest, body: &str, shape: Shape) -> Option<u64> {
    let mut response = request.content_type("application/json").send_body(body.to_owned()).await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    if !shape.stream {
        return response.body().await.ok().map(|_| 1);
    }
    let mut last = Vec::new();
    while let Some(chunk) = response.next().await {
        let chunk = chunk.ok()?;
        last = chunk[chunk.len().saturating_sub(END.len())..].to_vec();
    }
    (last == END).then_some(shape.tokens.into())
}

/// What a stream's end mark ends in.
const END: &[u8] = b"data: [DONE]\n\n";
