//! Log lines of entry VMs, as commands read them.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;

use serde_json::{Map, Value};

/// One line of a log.
pub(super) struct Line {
    /// When it was written, in us since the Unix epoch.
    pub(super) at: u64,
    /// The entry VM that wrote it.
    pub(super) vm: String,
    /// All its members.
    pub(super) content: Map<String, Value>,
}

impl Line {
    /// A member that is a text.
    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.content.get(name).and_then(Value::as_str)
    }

    /// A member that is a whole number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.content.get(name).and_then(Value::as_u64)
    }
}

/// Reads the files, or standard input if there are none. Whatever stands before the JSON on a line is passed over, and
/// so is a line that is none.
///
/// # Errors
///
/// If a file cannot be read.
pub(super) fn read(files: &[PathBuf]) -> io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    if files.is_empty() {
        collect(io::stdin().lock(), &mut lines)?;
    }
    for file in files {
        collect(BufReader::new(File::open(file)?), &mut lines)?;
    }
    Ok(lines)
}

fn collect(input: impl BufRead, lines: &mut Vec<Line>) -> io::Result<()> {
    for text in input.split(b'\n') {
        let text = text?;
        let Some(start) = memchr::memchr(b'{', &text) else {
            continue;
        };
        if let Ok(Value::Object(content)) = serde_json::from_slice(&text[start..])
            && let (Some(at), Some(vm)) =
                (content.get("at").and_then(Value::as_u64), content.get("vm").and_then(Value::as_str))
        {
            lines.push(Line { at, vm: vm.to_owned(), content });
        }
    }
    Ok(())
}
