//! A planned stop: not ready, nothing cut, nothing left open.

mod deployment;

use std::time::Duration;

use boragecove_standin::engine::{self, answer::Answer};
use deployment::{Deployment, artifact, engine, quick, read_stream};

#[actix_web::test]
async fn nothing_cut() {
    let slow = engine::Settings { token: Duration::from_millis(5), ..engine("engine-1") };
    let deployment = Deployment::start(&[slow], quick()).await;
    let mut response = deployment.complete("long", 100, true).await;
    deployment.node.stop();
    deployment.until("not ready", async || deployment.get("/ready").await.0 == 503).await;
    let (text, done) = read_stream(&mut response).await;
    assert_eq!((text, done), (Answer::new(&artifact(), "long", 100).text(), true));
    deployment.node.exited().await;
}
