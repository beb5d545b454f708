//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    out: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { out: Mutex::new(File::create(path).expect("writes record.txt")), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut out = self.out.lock().expect("whole");
        let _ = writeln!(out, "{at:8.3} s  {text}");
    }
}
