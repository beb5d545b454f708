//! `boragecoved explain` tells a request's way from the log lines of all entry VMs.

mod command;

use std::fs;
use std::process::Command;

const LINES: &str = r#"
  0.9 entry-b {"at":900000,"vm":"entry-b","decision":"engine","engine":"i-1","service":"w","state":"suspected","version":3}
  1.0 entry-a {"at":1000000,"vm":"entry-a","id":"r1","decision":"received","request":1,"host":"h","path":"/brief/1"}
{"at":1001000,"vm":"entry-a","id":"r1","decision":"sent","request":1,"attempt":1,"engine":"i-1","cost_ms":12.5}
{"at":1001500,"vm":"entry-a","id":"r2","decision":"sent","request":2,"attempt":1,"engine":"i-1","cost_ms":9.0}
not a line of ours
{"at":1400000,"vm":"entry-a","id":"r1","decision":"refused","request":1,"code":402,"label":"backend_failed","outcome":"unknown"}
{"at":9000000,"vm":"entry-b","decision":"engine","engine":"i-1","service":"w","state":"well","version":3}
"#;

const CRASHES: &str = r#"
{"at":1000000,"vm":"entry-a","id":"r3","decision":"crash","request":1,"fingerprint":"ab","state":"suspected","engine":"i-1","crashes":1}
{"at":1500000,"vm":"entry-a","id":"r8","decision":"crash","request":9,"fingerprint":"cd","state":"suspected","engine":"i-9","crashes":1}
{"at":2000000,"vm":"entry-b","id":"r4","decision":"crash","request":2,"fingerprint":"ab","state":"quarantined","engine":"i-2","crashes":2}
{"at":9000000,"vm":"entry-c","id":"r5","decision":"crash","request":7,"fingerprint":"ab","state":"refused","engine":null,"crashes":2}
{"at":9000001,"vm":"entry-c","id":"r5","decision":"refused","request":7,"code":109,"label":"crashes_backends","outcome":"not-run"}
"#;

fn explain(id: &str, input: &str) -> (Option<i32>, String, String) {
    command::run(&["explain", id], input)
}

#[test]
fn one_request() {
    let (code, out, _) = explain("r1", LINES);
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 4, "{out}");
    assert!(lines[0].contains("suspected"), "what was believed of its engine before: {out}");
    assert!(lines[2].contains("cost_ms=12.5") && lines[2].contains("0.101 s"), "{out}");
    assert!(lines[3].contains("label=backend_failed") && lines[3].contains("outcome=unknown"), "{out}");
    assert!(!out.contains("9.0"), "another request's: {out}");
}

/// Of a request that was refused since it crashes engines, also the crashes under others that ask the same are shown.
#[test]
fn crashes_before() {
    let (code, out, _) = explain("r5", CRASHES);
    assert_eq!(code, Some(0));
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(lines.len(), 4, "{out}");
    assert!(lines[0].contains("suspected") && lines[0].contains("i-1"), "{out}");
    assert!(lines[1].contains("quarantined") && lines[1].contains("i-2"), "{out}");
    assert!(!out.contains("i-9"), "another request's: {out}");
}

/// Of a request that was sent after the store had come back from an older copy, what its entry VM made of that is shown too.
#[test]
fn era_before() {
    let lines = r#"
{"at":1000000,"vm":"entry-a","decision":"era","era":3,"before":2,"listed":118,"leaving":1,"removed":2,"led":true}
{"at":1001000,"vm":"entry-b","decision":"era","era":3,"before":2,"listed":118,"leaving":1,"removed":2,"led":false}
{"at":1100000,"vm":"entry-a","decision":"reread","era":3,"version":101,"after_ms":100,"lacking":0,"returned":1}
{"at":3000000,"vm":"entry-a","id":"r1","decision":"sent","request":1,"attempt":1,"engine":"i-1"}
"#;
    let (code, out, _) = explain("r1", lines);
    assert_eq!(code, Some(0));
    let shown: Vec<&str> = out.lines().collect();
    assert_eq!(shown.len(), 3, "{out}");
    assert!(shown[0].contains("listed=118") && shown[1].contains("returned=1"), "{out}");
}

#[test]
fn no_such_request() {
    let (code, _, error) = explain("r9", LINES);
    assert_eq!(code, Some(4));
    assert!(error.contains("r9") && error.contains("logs of all entry VMs"), "{error}");
}

#[test]
fn from_files() {
    let file = std::env::temp_dir().join(format!("boragecove-explain-{}.jsonl", std::process::id()));
    fs::write(&file, LINES).expect("writes");
    let output = Command::new(env!("CARGO_BIN_EXE_boragecoved")).args(["explain", "r2"]).arg(&file).output();
    let _left_behind = fs::remove_file(&file);
    let output = output.expect("runs");
    assert!(output.status.success());
    assert!(String::from_utf8_lossy(&output.stdout).contains("cost_ms=9.0"));
}
