//! Stand-ins as processes, and a whole deployment in one process, for trials on one machine.

pub mod deployment;
pub mod engine;
pub mod load;
mod member;
pub mod platform;
pub mod service;

use std::io;

use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

pub use member::Member;

/// Why a trial did not start.
#[derive(Debug, Error)]
pub enum Failed {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The operating system refused something else.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A file could not be read.
    #[error("cannot read {}: {source}", file.display())]
    File {
        /// The file.
        file: std::path::PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A line of a recorded demand is no request.
    #[error("{}:{line}: expected at_ms, model, prompt_bytes, max_tokens and stream: {source}", file.display())]
    Demand {
        /// The file.
        file: std::path::PathBuf,
        /// The line, from 1.
        line: usize,
        /// What does not fit.
        source: serde_json::Error,
    },
    /// An example is refused.
    #[error("the example is refused:\n{0}")]
    Document(#[from] boragecove_wire::jsonc::Problems),
    /// An entry VM did not start.
    #[error(transparent)]
    Entry(#[from] crate::node::Failed),
    /// The entry VM refused the example's configuration.
    #[error("the configuration was not accepted: {}; {}", .0.code, .0.hint)]
    Refused(Box<boragecove_core::operator::Refusal>),
    /// The platform's VM list did not take a machine.
    #[error("the platform at {0} does not answer; is it running?")]
    Platform(std::net::SocketAddr),
}

/// Waits until the process is asked to stop.
async fn asked_to_stop() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
