//! The table in docs/FAULTS.md, generated from the runs.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::{env, fs};

use super::fault::{Fault, Kind, Stage, Step, exists};

const BEGIN: &str = "<!-- written by core/tests/fault_matrix.rs -->\n";
const END: &str = "<!-- end of the written part -->\n";

/// Renders the table: a letter for each step at which the fault was injected, a capital letter if it was
/// injected twice in a run.
pub fn table(covered: &BTreeMap<(Fault, Step), u32>) -> String {
    let heads: Vec<String> = Kind::ALL.iter().map(Kind::to_string).collect();
    let mut text = format!("\n| fault | {} |\n|", heads.join(" | "));
    text.push_str(&" --- |".repeat(Kind::ALL.len() + 1));
    for fault in Fault::ALL {
        let _ = write!(text, "\n| {fault} |");
        for kind in Kind::ALL {
            let mark = |(stage, letter): (&Stage, char)| {
                let step = (*kind, *stage);
                match covered.get(&(*fault, step)) {
                    Some(0) => '?',
                    Some(1) => letter,
                    Some(_) => letter.to_ascii_uppercase(),
                    None if exists(step) => '-',
                    None => '.',
                }
            };
            let _ =
                write!(text, " {} |", Stage::ALL.iter().zip("bsda".chars()).map(mark).collect::<String>());
        }
    }
    let steps = Kind::ALL.iter().flat_map(|kind| Stage::ALL.iter().map(|stage| (*kind, *stage)));
    let steps = steps.filter(|step| exists(*step)).count();
    let count = |least: u32| covered.values().filter(|injections| **injections >= least).count();
    let _ = write!(
        text,
        "\n\n{steps} steps × {} faults = {} cells: {} have a meaning, {} are attacked, {} of them twice in a run.\n\n",
        Fault::ALL.len(),
        steps * Fault::ALL.len(),
        covered.len(),
        count(1),
        count(2),
    );
    text
}

/// Compares the generated part of the page with `table`, or writes it if `FAULTS_WRITE` is set.
pub fn check(table: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs/FAULTS.md");
    let page = fs::read_to_string(&path).expect("docs/FAULTS.md can be read");
    let (head, rest) = page.split_once(BEGIN).expect("the page has a generated part");
    let (old, tail) = rest.split_once(END).expect("the generated part has an end marker");
    if env::var_os("FAULTS_WRITE").is_some() {
        fs::write(&path, [head, BEGIN, table, END, tail].concat()).expect("the page can be written");
        return;
    }
    assert_eq!(old, table, "docs/FAULTS.md is out of date: run this test with FAULTS_WRITE=1");
}
