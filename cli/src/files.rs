//! Reads the documents that a command is given.

use std::ffi::OsString;
use std::fs;

use boragecove_core::config::Document;
use boragecove_wire::document::{self, Declarations};
use boragecove_wire::jsonc::Problems;

use crate::error::Error;

/// Reads all files and puts what they declare in place of the same parts of `document`.
///
/// # Errors
///
/// If a file cannot be read, two declare the same part, or any has errors; those of all files
/// come together.
pub fn overlay(files: &[OsString], document: &mut Document) -> Result<(), Error> {
    let mut whole = Declarations::default();
    let mut problems = Problems::default();
    for file in files {
        let shown = file.to_string_lossy().into_owned();
        let text = fs::read_to_string(file).map_err(|source| Error::File { file: shown.clone(), source })?;
        match document::read(&shown, &text) {
            Ok(part) => join(&mut whole, part, &shown)?,
            Err(found) => problems.0.extend(found.0),
        }
    }
    if !problems.0.is_empty() {
        return Err(Error::Document(problems));
    }
    whole.overlay(document);
    Ok(())
}

fn join(whole: &mut Declarations, part: Declarations, file: &str) -> Result<(), Error> {
    let twice = |part| Error::Twice { file: file.to_owned(), part };
    if let Some(inventory) = part.inventory
        && whole.inventory.replace(inventory).is_some()
    {
        return Err(twice("inventory"));
    }
    if let Some(rules) = part.rules
        && whole.rules.replace(rules).is_some()
    {
        return Err(twice("rules"));
    }
    Ok(())
}
