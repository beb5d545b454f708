//! `boragecoved check`: reports every error in a settings file.

use std::path::Path;

use super::Error;
use crate::{entry, settings};

pub(super) fn run(file: &Path, serve: bool) -> Result<(), Error> {
    let (vm, zone) = if serve {
        let settings = entry::settings::load(file)?;
        (settings.vm, settings.zone)
    } else {
        let settings = settings::load(file)?;
        (settings.vm, settings.zone)
    };
    println!("{}: good for {vm} in {zone}", file.display());
    Ok(())
}
