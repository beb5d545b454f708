//! A stand-in platform: table, objects, weight store and VM list, in the process and over HTTP.

pub mod object;
pub mod table;
pub mod vm;
pub mod weight;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_web::web::{self, Bytes, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse};
use boragecove_core::vm::Vm;
use boragecove_wire::path;
use boragecove_wire::platform::Call;
use serde::Deserialize;

use crate::fault::{self, Faults, Kind, Scope};
use crate::server::{self, Running};

/// How a stand-in platform behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Settings {
    /// The weight store.
    pub weights: weight::Settings,
    /// How far the VM list lags behind.
    pub vm_lag: Duration,
}

/// A stand-in platform. Copies share one content.
#[derive(Clone, Debug)]
pub struct Platform {
    table: table::Table,
    objects: object::Store,
    weights: weight::Store,
    vms: vm::List,
    faults: Faults,
}

impl Platform {
    /// An empty platform.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            table: table::Table::default(),
            objects: object::Store::default(),
            weights: weight::Store::new(settings.weights),
            vms: vm::List::new(settings.vm_lag),
            faults: Faults::default(),
        }
    }

    /// Its table.
    #[must_use]
    pub const fn table(&self) -> &table::Table {
        &self.table
    }

    /// Its object store.
    #[must_use]
    pub const fn objects(&self) -> &object::Store {
        &self.objects
    }

    /// Its weight store.
    #[must_use]
    pub const fn weights(&self) -> &weight::Store {
        &self.weights
    }

    /// Its VM list.
    #[must_use]
    pub const fn vms(&self) -> &vm::List {
        &self.vms
    }

    /// The faults it commits.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Serves it over HTTP.
    ///
    /// # Errors
    ///
    /// If the address cannot be bound.
    pub fn start(&self, listen: SocketAddr) -> io::Result<Running> {
        let platform = self.clone();
        server::start(listen, move |config| routes(config, &platform))
    }
}

/// Bytes of a body at most.
const BODY_MAX: usize = 64 << 20;

fn routes(config: &mut ServiceConfig, platform: &Platform) {
    fault::routes(config, &platform.faults);
    config
        .app_data(web::Data::new(platform.clone()))
        .app_data(web::JsonConfig::default().limit(BODY_MAX))
        .app_data(web::PayloadConfig::new(BODY_MAX))
        .route(path::TABLE, web::post().to(table_call))
        .service(
            web::resource(path::OBJECT)
                .route(web::get().to(object_get))
                .route(web::put().to(object_put))
                .route(web::delete().to(object_delete)),
        )
        .service(
            web::resource(path::VMS)
                .route(web::get().to(vms_list))
                .route(web::post().to(vms_put))
                .route(web::put().to(vms_set)),
        )
        .route(path::VM, web::delete().to(vms_remove))
        .route(path::WEIGHTS, web::post().to(weights_read));
}

async fn table_call(
    request: HttpRequest,
    platform: web::Data<Platform>,
    call: web::Json<Call>,
) -> HttpResponse {
    let kind = platform.faults.strike(Scope::Table);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    let reply = platform.table.call(call.0.clone());
    if kind == Some(Kind::Duplicate) {
        let _second = platform.table.call(call.0);
    }
    fault::after(kind, &request, HttpResponse::Ok().json(reply)).await
}

/// Does `work`, unless a fault on its scope is to be committed in its place or around it.
async fn under(
    platform: &Platform,
    scope: Scope,
    request: &HttpRequest,
    work: impl FnOnce() -> HttpResponse,
) -> HttpResponse {
    let kind = platform.faults.strike(scope);
    if let Some(answer) = fault::before(kind, request).await {
        return answer;
    }
    fault::after(kind, request, work()).await
}

async fn object_get(
    request: HttpRequest,
    platform: web::Data<Platform>,
    key: web::Path<String>,
) -> HttpResponse {
    let get = || match platform.objects.get(&key) {
        Some(bytes) => HttpResponse::Ok().body(bytes),
        None => HttpResponse::NotFound().finish(),
    };
    under(&platform, Scope::Object, &request, get).await
}

async fn object_put(
    request: HttpRequest,
    platform: web::Data<Platform>,
    key: web::Path<String>,
    bytes: Bytes,
) -> HttpResponse {
    let put = || {
        platform.objects.put(&key, bytes);
        HttpResponse::NoContent().finish()
    };
    under(&platform, Scope::Object, &request, put).await
}

async fn object_delete(
    request: HttpRequest,
    platform: web::Data<Platform>,
    key: web::Path<String>,
) -> HttpResponse {
    let delete = || {
        platform.objects.delete(&key);
        HttpResponse::NoContent().finish()
    };
    under(&platform, Scope::Object, &request, delete).await
}

async fn vms_list(request: HttpRequest, platform: web::Data<Platform>) -> HttpResponse {
    let list = || HttpResponse::Ok().json(platform.vms.get());
    under(&platform, Scope::Vms, &request, list).await
}

async fn vms_put(platform: web::Data<Platform>, vm: web::Json<Vm>) -> HttpResponse {
    platform.vms.put(vm.into_inner());
    HttpResponse::NoContent().finish()
}

async fn vms_set(platform: web::Data<Platform>, vms: web::Json<Vec<Vm>>) -> HttpResponse {
    platform.vms.set(vms.into_inner());
    HttpResponse::NoContent().finish()
}

async fn vms_remove(platform: web::Data<Platform>, name: web::Path<String>) -> HttpResponse {
    platform.vms.remove(&name);
    HttpResponse::NoContent().finish()
}

#[derive(Debug, Deserialize)]
struct Wanted {
    mb: u64,
}

async fn weights_read(
    request: HttpRequest,
    platform: web::Data<Platform>,
    wanted: web::Query<Wanted>,
) -> HttpResponse {
    let kind = platform.faults.strike(Scope::Weights);
    if let Some(answer) = fault::before(kind, &request).await {
        return answer;
    }
    platform.weights.read(wanted.mb).await;
    fault::after(kind, &request, HttpResponse::NoContent().finish()).await
}
