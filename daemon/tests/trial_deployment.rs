//! The trial deployment of one process: the built-in example, applied, answers from a model loaded on demand.

use std::time::Duration;

use boragecove_core::artifact::Artifact;
use boragecove_core::settings as core;
use boragecove_daemon::dev::deployment::{Deployment, Options, TOKEN};
use boragecove_daemon::dev::load::{self, Demand, Target};
use boragecove_standin::engine;
use boragecove_standin::engine::answer::{self, Answer};
use boragecove_standin::platform::{self, weight};
use boragecove_wire::completion::Body;
use serde_json::Value;

/// How long a condition is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// Time that an engine takes for the first token at the least.
const FIRST_TOKEN: Duration = Duration::from_millis(5);

fn quick() -> Options {
    let ms = Duration::from_millis;
    let weights = weight::Settings { loads_per_second: 1e3, slots: 8, mb_per_second: 1e9 };
    let core = core::Settings {
        list_every: ms(20),
        poll_every: ms(20),
        lease_renew: ms(50),
        plan_every: ms(20),
        balancer_grace: Duration::ZERO,
        ..core::Settings::default()
    };
    Options {
        entries: Some(2),
        engine: engine::Settings::default(),
        platform: platform::Settings { weights, ..platform::Settings::default() },
        core,
        ..Options::default()
    }
}

/// The text of a stream that came to its end mark.
fn streamed(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    let mut data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut text = String::new();
    loop {
        let event = data.next()?;
        if event == "[DONE]" {
            return Some(text);
        }
        let event: Value = serde_json::from_str(event).ok()?;
        text.push_str(event["choices"][0]["text"].as_str()?);
    }
}

#[actix_web::test]
async fn example_answers() {
    let deployment = Deployment::start(&quick()).await.expect("a deployment");
    let request = deployment.example.request().expect("a model");
    let body = Body::read(request.as_bytes()).expect("a body");
    let model = &deployment.example.document.inventory.models[0];
    let artifact =
        Artifact { model: model.name.clone(), adapter: None, version: model.versions[0].name.clone() };
    let expected = Answer::new(&artifact, &body.prompt(), answer::length(body.max_tokens)).text();

    let prompt = body.prompt();
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    for entry in &deployment.entries {
        let url = format!("http://{}/v1/completions", entry.callers);
        let sent = client.post(&url).bearer_auth(TOKEN).send_body(request.clone());
        let body = sent.await.expect("an answer").body().await.expect("a body");
        assert_eq!(streamed(&body).as_deref(), Some(expected.as_str()), "{body:?}");
    }
    let memory = model.versions[0].memory_mb;
    assert!(deployment.platform.weights().grants().contains(&memory), "its weights were read");
    let runs = deployment.engines.iter().map(|(engine, _)| engine.runs_of(&prompt)).sum::<usize>();
    assert_eq!(runs, deployment.entries.len());
    assert!(deployment.guide().contains(&request));
    tokio::time::timeout(PATIENCE, deployment.stop()).await.expect("it stops");
}

#[actix_web::test]
async fn load_measured() {
    let engine = engine::Settings { first_token: FIRST_TOKEN, ..engine::Settings::default() };
    let deployment = Deployment::start(&Options { engine, ..quick() }).await.expect("a deployment");
    let request = |n: u64, model: &str, stream| Demand {
        at_ms: n,
        model: model.to_owned(),
        prompt_bytes: 100,
        max_tokens: 8,
        stream,
    };
    let model = deployment.example.document.inventory.models[0].name.clone();
    let mut demand: Vec<Demand> = (0..20).map(|n| request(n, &model, n % 2 == 0)).collect();
    demand.push(request(20, "no-such-model", true));
    demand.push(request(3_600_000, &model, true));
    let target = Target { first: PATIENCE, gap: PATIENCE };
    let options = load::Options {
        to: deployment.entries[0].callers,
        limit: 2 * PATIENCE,
        target,
        ..load::Options::default()
    };
    let report = load::drive(&options, demand).await;
    assert_eq!((report.requests, report.answered, report.not_run), (21, 20, 1), "{report:?}");
    assert_eq!((report.codes[&0], report.codes[&103]), (20, 1));
    assert!((report.attainment - 20.0 / 21.0).abs() < 1e-9);
    assert!(report.first_ms.p50 >= FIRST_TOKEN.as_secs_f64() * 1_000.0, "{report:?}");
    assert!(report.first_ms.p99 >= report.first_ms.p50);
    tokio::time::timeout(PATIENCE, deployment.stop()).await.expect("it stops");
}
