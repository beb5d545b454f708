//! `boragecoved serve`: an entry VM on the users' platform, until it is told to stop.

use std::path::Path;

use super::Error;
use crate::entry;

pub(super) fn run(file: &Path) -> Result<(), Error> {
    actix_rt::System::new().block_on(entry::serve(file))?;
    Ok(())
}
