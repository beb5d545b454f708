//! Compares two configurations, member by member.

use std::fmt;

use boragecove_core::config::Document;
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;

/// The most letters of a value in a line for people.
const SHOWN_MAX: usize = 72;
/// Members that name an object of an array, the first that it has.
const KEYS: [&str; 2] = ["name", "model"];
/// The member whose first object is served by default.
const VERSIONS: &str = ".versions";

/// What became of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// It has another value.
    Changed,
    /// The same members come in another order, which decides what is served by default.
    Reordered,
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// What became of it.
    pub kind: Kind,
    /// Where, as `inventory.models[a].versions[2].memory_mb`.
    pub path: String,
    /// The value before; none if added.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub from: Option<Value>,
    /// The value after; none if removed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub to: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.kind, &self.from, &self.to) {
            (Kind::Added, _, Some(to)) => write!(f, "+ {}  {}", self.path, short(to)),
            (Kind::Removed, Some(from), _) => write!(f, "- {}  {}", self.path, short(from)),
            (_, Some(from), Some(to)) => write!(f, "~ {}  {} -> {}", self.path, short(from), short(to)),
            _ => write!(f, "~ {}", self.path),
        }
    }
}

fn short(value: &Value) -> String {
    let whole = value.to_string();
    if whole.chars().count() <= SHOWN_MAX {
        return whole;
    }
    whole.chars().take(SHOWN_MAX).chain("...".chars()).collect()
}

/// The differences from one configuration to another, in the order of the documents.
///
/// # Errors
///
/// If a document cannot be written as JSON, which none of this release does.
pub fn documents(from: &Document, to: &Document) -> Result<Vec<Change>, Error> {
    let value = |document| serde_json::to_value(document).map_err(std::io::Error::from);
    let mut changes = Vec::new();
    compare("", &value(from)?, &value(to)?, &mut changes);
    Ok(changes)
}

fn compare(path: &str, from: &Value, to: &Value, out: &mut Vec<Change>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            let gone = old.iter().filter(|(key, _)| !new.contains_key(*key));
            for (key, value) in gone {
                push(Kind::Removed, member(path, key), Some(value), None, out);
            }
            for (key, value) in new {
                match old.get(key) {
                    Some(before) => compare(&member(path, key), before, value, out),
                    None => push(Kind::Added, member(path, key), None, Some(value), out),
                }
            }
        }
        (Value::Array(old), Value::Array(new)) if is_named(old) && is_named(new) => {
            compare_named(path, old, new, out);
        }
        _ if from == to => {}
        _ => push(Kind::Changed, path.to_owned(), Some(from), Some(to), out),
    }
}

fn compare_named(path: &str, old: &[Value], new: &[Value], out: &mut Vec<Change>) {
    let find = |list: &[Value], key: &str| list.iter().find(|each| name(each) == Some(key)).cloned();
    let names = |list: &[Value]| list.iter().filter_map(name).map(str::to_owned).collect::<Vec<_>>();
    let (before, after) = (names(old), names(new));
    for key in before.iter().filter(|key| !after.contains(key)) {
        push(Kind::Removed, format!("{path}[{key}]"), find(old, key).as_ref(), None, out);
    }
    for key in &after {
        let at = format!("{path}[{key}]");
        match (find(old, key), find(new, key)) {
            (Some(from), Some(to)) => compare(&at, &from, &to, out),
            (_, to) => push(Kind::Added, at, None, to.as_ref(), out),
        }
    }
    let kept = |list: &[String], other: &[String]| {
        list.iter().filter(|key| other.contains(key)).cloned().collect::<Vec<_>>()
    };
    let served = path.ends_with(VERSIONS) && before.first() != after.first();
    if served || kept(&before, &after) != kept(&after, &before) {
        push(Kind::Reordered, path.to_owned(), Some(&before.into()), Some(&after.into()), out);
    }
}

fn push(kind: Kind, path: String, from: Option<&Value>, to: Option<&Value>, out: &mut Vec<Change>) {
    out.push(Change { kind, path, from: from.cloned(), to: to.cloned() });
}

fn member(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn name(value: &Value) -> Option<&str> {
    KEYS.iter().find_map(|key| value.get(key)).and_then(Value::as_str)
}

fn is_named(list: &[Value]) -> bool {
    list.iter().all(|each| name(each).is_some())
}
