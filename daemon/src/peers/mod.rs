//! The edge towards other entry VMs: frames out and in.

use std::net::SocketAddr;

use actix::Addr;
use actix_web::HttpResponse;
use actix_web::web::{self, Bytes, Data, ServiceConfig};
use awc::Client;
use boragecove_core::event::Event;
use boragecove_core::name::Name;
use boragecove_core::peer::Frame;
use boragecove_wire::{frame, path};

use crate::callers::{self, Edge, Entrance};
use crate::node::{Feed, Node};
use crate::settings::{Secret, Settings};

/// Sends frames to other entry VMs.
pub(crate) struct Sender {
    client: Client,
    secret: Secret,
}

impl std::fmt::Debug for Sender {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sender").finish_non_exhaustive()
    }
}

impl Sender {
    pub(crate) fn new(settings: &Settings) -> Self {
        let client = Client::builder().timeout(settings.timeouts.control).finish();
        Self { client, secret: settings.peer_secret.clone() }
    }

    /// Sends a frame; tells the node if it could not be brought there.
    pub(crate) fn tell(&self, peer: Name, address: SocketAddr, frame: &Frame, node: Addr<Node>) {
        let Ok(bytes) = frame::encode(frame, self.secret.reveal().as_bytes()) else {
            return;
        };
        let request = self.client.post(format!("http://{address}{}", path::FRAME)).send_body(bytes);
        actix_rt::spawn(async move {
            if !request.await.is_ok_and(|response| response.status().is_success()) {
                node.do_send(Feed(Event::Unheard { peer }));
            }
        });
    }
}

/// The paths of the listener for entry VMs.
pub(crate) fn routes(config: &mut ServiceConfig, edge: Edge, secret: Secret) {
    config.app_data(Data::new(secret.clone())).route(path::FRAME, web::post().to(heard));
    callers::routes(config, edge, Entrance::Peers(secret));
}

async fn heard(body: Bytes, secret: Data<Secret>, edge: Data<Edge>) -> HttpResponse {
    match frame::decode(&body, secret.reveal().as_bytes()) {
        Ok(frame) => {
            edge.node.do_send(Feed(Event::Heard(Box::new(frame))));
            HttpResponse::NoContent().finish()
        }
        Err(error) => {
            tracing::warn!(%error, "frame refused");
            HttpResponse::BadRequest().finish()
        }
    }
}
