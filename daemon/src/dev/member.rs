//! A backend server's place in a stand-in platform's VM list.

use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use boragecove_core::vm::{Phase, Role, Vm};
use boragecove_wire::path;

use super::Failed;

/// Tries to reach the platform before giving up.
const TRIES: u32 = 50;
/// Time between tries.
const WAIT: Duration = Duration::from_millis(200);

/// Who a backend server is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its VM's name.
    pub name: Name,
    /// Its group.
    pub group: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The platform to announce itself to; none: it is listed by other means.
    pub platform: Option<SocketAddr>,
}

impl Member {
    /// How the VM list names it.
    #[must_use]
    pub fn vm(&self, address: SocketAddr, phase: Phase) -> Vm {
        let role = Role::Backend(self.group.clone());
        Vm { name: self.name.clone(), zone: self.zone.clone(), address, role, phase }
    }

    /// Has itself listed, as soon as the platform answers.
    pub(super) async fn announce(&self, address: SocketAddr, phase: Phase) -> Result<(), Failed> {
        let Some(platform) = self.platform else { return Ok(()) };
        let vm = self.vm(address, phase);
        let url = format!("http://{platform}{}", path::VMS);
        for _ in 0..TRIES {
            let answer = awc::Client::default().post(&url).send_json(&vm).await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return Ok(());
            }
            tokio::time::sleep(WAIT).await;
        }
        Err(Failed::Platform(platform))
    }

    /// Has itself taken off the list.
    pub(super) async fn withdraw(&self) {
        let Some(platform) = self.platform else { return };
        let url = format!("http://{platform}{}/{}", path::VMS, self.name);
        let _list_is_a_hint = awc::Client::default().delete(url).send().await;
    }
}
