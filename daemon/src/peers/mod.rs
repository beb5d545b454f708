//! The edge towards other entry VMs: frames out and in, and the requests that they pass on.

mod lane;

use actix_web::HttpResponse;
use actix_web::web::{self, Bytes, Data, PayloadConfig, ServiceConfig};
use boragecove_core::event::Event;
use boragecove_wire::{frame, header, path};

use crate::callers::{self, Edge, Entrance};
use crate::node::Feed;
use crate::settings::Secret;

pub(crate) use lane::Sender;

/// Largest frame that is read, in bytes: a whole configuration of a few thousand artifacts, many times over.
const FRAME_MAX: usize = 16 << 20;

/// The paths of the listener for entry VMs.
pub(crate) fn routes(config: &mut ServiceConfig, edge: Edge, secret: Secret) {
    let frames = web::resource(path::FRAME)
        .app_data(PayloadConfig::new(FRAME_MAX))
        .app_data(Data::new(secret.clone()))
        .route(web::post().to(heard));
    config.service(frames);
    callers::routes(config, edge, Entrance::Peers(secret));
}

async fn heard(body: Bytes, secret: Data<Secret>, edge: Data<Edge>) -> HttpResponse {
    match frame::decode(&body, secret.reveal().as_bytes()) {
        Ok(received) => {
            if received.skipped > 0 {
                tracing::debug!(from = %received.frame.from, items = received.skipped, "items not known");
            }
            edge.node.do_send(Feed(Event::FrameReceived(Box::new(received.frame))));
            HttpResponse::NoContent()
                .insert_header((header::FRAME_VERSION, frame::VERSION.to_string()))
                .finish()
        }
        Err(error) => {
            tracing::warn!(%error, "frame refused");
            HttpResponse::BadRequest().finish()
        }
    }
}
