//! Errors end with the exit code of their class and a hint.

use std::fs;
use std::net::TcpListener;

use boragecove_cli::environment::Environment;
use boragecove_cli::error::Class;

use crate::fake::{Fake, Run, run};

fn hinted(run: &Run, class: Class, part: &str) {
    assert_eq!(run.class, class, "{}", run.err);
    assert!(run.err.contains("hint: ") && run.err.contains(part), "{}", run.err);
    assert_eq!(run.out, "");
}

#[actix_rt::test]
async fn usage_errors() {
    let nowhere = Environment::default();
    for (line, part) in [
        (vec![], "see `boragecove --help`"),
        (vec!["statsu"], "did you mean `boragecove status`?"),
        (vec!["status", "--adress", "x"], "did you mean --address?"),
        (vec!["status", "now"], "takes no 'now'"),
        (vec!["apply"], "needs FILE..."),
        (vec!["status", "-o", "xml"], "give one of table, json"),
        (vec!["status", "-o", "markdown"], "no form for pages"),
        (vec!["status", "--deadline", "10"], "such as 500ms, 10s or 5m"),
        (vec!["apply", "f", "--base", "x"], "the number that `boragecove get`"),
        (vec!["status"], "BORAGECOVE_ADDRESS"),
        (vec!["status", "--address", "entry-1"], "'entry-1' is no IP address with a port"),
        (vec!["codes", "7"], "`boragecove codes` lists all"),
        (vec!["completions", "tcsh"], "give one of bash, zsh, fish"),
    ] {
        hinted(&run(&line, nowhere.clone()).await, Class::Usage, part);
    }
}

#[actix_rt::test]
async fn errors_as_json() {
    let run = run(&["status", "--output", "json", "--never"], Environment::default()).await;
    let report: serde_json::Value = serde_json::from_str(&run.err).expect("JSON");
    assert_eq!((&report["error"]["class"], &report["error"]["exit"]), (&"usage".into(), &2.into()));
}

#[actix_rt::test]
async fn answers_refused() {
    let fake = Fake::start();
    hinted(&fake.run(&["drain", "engine-z"]).await, Class::Refused, "603 unknown_vm");
    hinted(&fake.run(&["models", "--explain", "x"]).await, Class::Refused, "103 unknown_model");
    let token = fake.run(&["status", "--token", "wrong"]).await;
    hinted(&token, Class::Refused, "BORAGECOVE_TOKEN");
    fake.stop().await;
}

#[actix_rt::test]
async fn documents_refused() {
    let fake = Fake::start();
    let folder = std::env::temp_dir().join(format!("boragecove-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("bad.jsonc");
    fs::write(&file, r#"{ "inventory": { "modles": [] }, "rules": { "weights": { "moves": "x" } } }"#)
        .expect("written");
    let shown = file.to_string_lossy().into_owned();
    let run = fake.run(&["apply", &shown]).await;
    hinted(&run, Class::Refused, "bad.jsonc:1:18: inventory.modles");
    assert!(run.err.contains("did you mean \"models\"?"), "{}", run.err);
    assert!(run.err.contains("bad.jsonc:1:67: rules.weights.moves"), "{}", run.err);
    fs::remove_dir_all(&folder).expect("removed");
    hinted(&fake.run(&["diff", &shown]).await, Class::Refused, "cannot read");
    assert!(fake.state.lock().expect("not poisoned").applies.is_empty());
    fake.stop().await;
}

#[actix_rt::test]
async fn nobody_there() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound").to_string();
    let environment = Environment { address: Some(address), ..Environment::default() };
    let silent = run(&["status", "--deadline", "50ms"], environment.clone()).await;
    hinted(&silent, Class::Unavailable, "no answer from");
    drop(listener);
    hinted(&run(&["status"], environment).await, Class::Unavailable, "cannot reach");
}
