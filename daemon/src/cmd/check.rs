//! `boragecoved check`: reports every error in a settings file.

use std::path::Path;

use super::Error;
use crate::settings;

pub(super) fn run(file: &Path) -> Result<(), Error> {
    let settings = settings::load(file)?;
    println!("{}: good for {} in {}", file.display(), settings.vm, settings.zone);
    Ok(())
}
