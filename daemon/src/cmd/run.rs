//! `boragecoved run`: serves until it is told to stop.

use std::path::Path;

use tokio::signal::unix::{SignalKind, signal};

use super::Error;
use crate::{logs, node, settings};

pub(super) fn run(file: &Path) -> Result<(), Error> {
    let settings = settings::load(file)?;
    logs::start(settings.log);
    actix_rt::System::new().block_on(async {
        let mut running = node::start(&settings, settings.source())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = running.stopped() => {}
        }
        running.stop();
        running.exited().await;
        Ok(())
    })
}
