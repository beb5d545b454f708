//! The settings file: what is read, and every error in it at once.

use std::time::Duration;

use boragecove_daemon::settings;

const GOOD: &str = include_str!("../../examples/settings.jsonc");

#[test]
fn example_read() {
    let read = settings::read("settings.jsonc", GOOD).expect("the example is good");
    assert_eq!((&*read.vm, &*read.zone), ("entry-a1", "hall-a"));
    assert_eq!(read.limits, settings::Limits::default(), "the example gives the defaults");
    assert_eq!(read.timeouts, settings::Timeouts::default(), "the example gives the defaults");
    assert_eq!(read.core, boragecove_core::settings::Settings::default(), "the example gives the defaults");
}

#[test]
fn five_errors() {
    let text = r#"{
  "vm": "entry-a1",
  "zone": "",
  "listen": {"callers": "10.0.0.1:80", "peers": "10.0.0.1:80", "operators": "localhost:1"},
  "platform": {"table": "10.0.0.9:1", "objects": "10.0.0.9:1", "vms": "10.0.0.9:1"},
  "peer-secret": "s", "operator-token": "t",
  "limits": {"body": "8 megs"},
  "timeouts": {"dedline": "2s"},
}"#;
    let problems = settings::read("s.jsonc", text).expect_err("five errors");
    let places: Vec<(usize, usize, &str)> =
        problems.0.iter().map(|problem| (problem.line, problem.column, &*problem.member)).collect();
    let expected = [
        (3, 11, "zone"),
        (4, 49, "listen.peers"),
        (4, 77, "listen.operators"),
        (7, 22, "limits.body"),
        (8, 16, "timeouts.dedline"),
    ];
    assert_eq!(places, expected, "{problems}");
}

#[test]
fn contradictions_found() {
    let text = GOOD
        .replace("\"lease-renew\": \"3s\"", "\"lease-renew\": \"9s\"")
        .replace("\"deadline\": \"1m\"", "\"deadline\": \"1h\"");
    let problems = settings::read("s.jsonc", &text).expect_err("two contradictions");
    assert_eq!(problems.0.len(), 2, "{problems}");
}

#[test]
fn units_read() {
    let text = GOOD.replace("\"idle\": \"2s\"", "\"idle\": \"1500ms\"");
    let read = settings::read("s.jsonc", &text).expect("good");
    assert_eq!(read.core.idle, Duration::from_millis(1_500));
}
