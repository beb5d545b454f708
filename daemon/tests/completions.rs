//! Completions through one entry VM to an engine, whole and streamed, from a model loaded on demand.

mod deployment;

use boragecove_daemon::settings::Settings;
use boragecove_standin::engine::answer::Answer;
use deployment::{Deployment, artifact, engine, header, quick, read_stream};
use serde_json::Value;

#[actix_web::test]
async fn streamed_on_demand() {
    let deployment = Deployment::small().await;
    let mut response = deployment.complete("water", 12, true).await;
    assert_eq!(response.status(), 200);
    assert_eq!(header(&response, "boragecove-code"), "0");
    assert_eq!(header(&response, "boragecove-outcome"), "answered");
    assert!(!header(&response, "boragecove-request").is_empty());
    let (text, done) = read_stream(&mut response).await;
    assert!(done, "the stream has its end mark");
    assert_eq!(text, Answer::new(&artifact(), "water", 12).text());
    assert_eq!(deployment.engines[0].runs_of("water"), 1);
    deployment.node.kill().await;
}

#[actix_web::test]
async fn thread_for_callers() {
    let settings = Settings { workers: 1, ..quick() };
    let deployment = Deployment::start(&[engine("engine-1")], settings).await;
    let (text, done) = read_stream(&mut deployment.complete("shade", 40, true).await).await;
    assert_eq!((text, done), (Answer::new(&artifact(), "shade", 40).text(), true));
    deployment.node.kill().await;
}

#[actix_web::test]
async fn whole_answer() {
    let deployment = Deployment::small().await;
    let mut response = deployment.complete("blinds", 9, false).await;
    assert_eq!((response.status().as_u16(), header(&response, "boragecove-outcome")), (200, "answered"));
    let json: Value = response.json().await.expect("JSON");
    assert_eq!(json["choices"][0]["text"], Answer::new(&artifact(), "blinds", 9).text());
    deployment.node.kill().await;
}
