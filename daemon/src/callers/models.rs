//! The list of models that callers may ask for.

use actix_web::HttpResponse;
use actix_web::web::Data;
use boragecove_core::code::{Code, Outcome};
use boragecove_core::inventory::Inventory;
use boragecove_core::operator::{Answer, Query};
use serde::Serialize;

use super::{Edge, respond};
use crate::node::Ask;

#[derive(Debug, Serialize)]
struct List {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Debug, Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Answers with every model, adapter and version in force.
pub(crate) async fn list(edge: Data<Edge>) -> HttpResponse {
    match edge.node.send(Ask(Query::Config)).await {
        Ok(Ok(Answer::Config { document, .. })) => {
            let data = names(&document.inventory).into_iter().map(model).collect();
            HttpResponse::Ok().json(List { object: "list", data })
        }
        _ => respond::error(
            edge.shared.draw(),
            Code::NotReady,
            Outcome::NotRun,
            Code::NotReady.meaning(),
            None,
        ),
    }
}

fn model(id: String) -> Model {
    Model { id, object: "model", owned_by: "boragecove" }
}

fn names(inventory: &Inventory) -> Vec<String> {
    let mut names = Vec::new();
    for model in &inventory.models {
        names.push(model.name.to_string());
        names.extend(model.versions.iter().map(|version| format!("{}@{}", model.name, version.name)));
        for adapter in &model.adapters {
            names.push(format!("{}:{}", model.name, adapter.name));
            let versions = adapter.versions.iter();
            names.extend(versions.map(|version| format!("{}:{}@{}", model.name, adapter.name, version.name)));
        }
    }
    names
}
