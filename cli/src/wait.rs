//! Waits until an accepted configuration is in force everywhere and every artifact is reachable.

use std::time::Duration;

use actix_rt::time::{Instant, sleep};
use boragecove_core::name::Name;
use boragecove_core::operator::{Answer, Member, Query, Status};

use crate::client::Client;
use crate::console::Console;
use crate::error::Error;

/// Time between looks.
const LOOK_EVERY: Duration = Duration::from_millis(200);

/// How far the deployment is.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Progress {
    version: u64,
    members: usize,
    behind: Vec<Name>,
    artifacts: u32,
    reachable: u32,
    moves: u32,
    settled: bool,
}

impl Progress {
    fn new(version: u64, status: &Status, members: &[Member]) -> Self {
        let staying: Vec<&Member> = members.iter().filter(|member| !member.leaving).collect();
        let behind: Vec<Name> =
            staying.iter().filter(|each| each.config < version).map(|each| each.name.clone()).collect();
        let in_force = status.config >= version && behind.is_empty();
        Self {
            version,
            members: staying.len(),
            behind,
            artifacts: status.artifacts,
            reachable: status.reachable,
            moves: status.moves_under_way,
            settled: in_force && status.reachable == status.artifacts,
        }
    }

    /// Whether it is worth a line. Moves come and go all the time.
    fn differs(&self, shown: Option<&Self>) -> bool {
        shown.is_none_or(|shown| shown.behind != self.behind || shown.reachable != self.reachable)
    }

    fn line(&self) -> String {
        format!(
            "version {} in force on {} of {} entry VMs; {} of {} artifacts reachable; {} moves under way",
            self.version,
            self.members - self.behind.len(),
            self.members,
            self.reachable,
            self.artifacts,
            self.moves,
        )
    }

    fn missing(&self) -> String {
        let mut missing = Vec::new();
        if !self.behind.is_empty() {
            missing.push(format!("not in force on {}", self.behind.join(", ")));
        }
        if self.reachable < self.artifacts {
            missing.push(format!("{} artifacts not reachable", self.artifacts - self.reachable));
        }
        if missing.is_empty() {
            "the entry VM asked has not taken it up".to_owned()
        } else {
            missing.join("; ")
        }
    }
}

/// Waits for at most `limit`; each step of progress is a line.
///
/// # Errors
///
/// If it is not in line by then, or the daemon refuses to say.
pub async fn until_in_line(
    client: &Client,
    console: &mut Console<'_>,
    version: u64,
    limit: Duration,
) -> Result<(), Error> {
    let begun = Instant::now();
    let mut shown = None;
    loop {
        let missing = match look(client, version).await {
            Ok(progress) => {
                if progress.differs(shown.as_ref()) {
                    console.progress(progress.line())?;
                    shown = Some(progress.clone());
                }
                if progress.settled {
                    return Ok(());
                }
                progress.missing()
            }
            // The entry VM may be restarting: that is what the limit is for.
            Err(error @ (Error::Lost { .. } | Error::Unreachable { .. })) => error.to_string(),
            Err(other) => return Err(other),
        };
        if begun.elapsed() >= limit {
            return Err(Error::Pending { version, waited: limit, missing });
        }
        sleep(LOOK_EVERY).await;
    }
}

async fn look(client: &Client, version: u64) -> Result<Progress, Error> {
    let Answer::Status(status) = client.ask(&Query::Status).await? else {
        return Err(client.mismatched());
    };
    let Answer::Members(members) = client.ask(&Query::Members).await? else {
        return Err(client.mismatched());
    };
    Ok(Progress::new(version, &status, &members))
}
