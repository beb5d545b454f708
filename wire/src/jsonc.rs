//! Reads JSON with comments and reports all errors at once, each with its position.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use boragecove_core::name::Name;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use thiserror::Error;

use crate::nearest::nearest;

const NANOSECONDS_PER_SECOND: u128 = 1_000_000_000;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Name of the file, as given by the caller.
    pub file: Name,
    /// Line of the error, from 1.
    pub line: usize,
    /// Column of the error, from 1.
    pub column: usize,
    /// Path of the member, such as `limits.body`; empty for the whole document.
    pub member: Name,
    /// Message that says what was expected and what was found.
    pub text: Name,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}: ", self.file, self.line, self.column)?;
        if !self.member.is_empty() {
            write!(f, "{}: ", self.member)?;
        }
        f.write_str(&self.text)
    }
}

/// All errors of a document, sorted by position.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, problem) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

/// Parses a document and builds a value from its root with `build`, which requests the members that it expects.
///
/// # Errors
///
/// The syntax error, or otherwise all errors that occurred in `build`.
pub fn read<T>(file: &str, text: &str, build: impl FnOnce(Node<'_>) -> T) -> Result<T, Problems> {
    let errors = ErrorCollector { file: file.into(), text, found: RefCell::default() };
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let value = match parse_to_ast(text, &CollectOptions::default(), &options) {
        Ok(parsed) => parsed.value,
        Err(error) => {
            errors.add(error.range().start, "", &error.kind().to_string());
            return Err(errors.into_problems());
        }
    };
    let Some(value) = value else {
        errors.add(0, "", "expected an object, found an empty document");
        return Err(errors.into_problems());
    };
    let result = build(Node { errors: &errors, value: &value, member: String::new() });
    if errors.found.borrow().is_empty() { Ok(result) } else { Err(errors.into_problems()) }
}

/// Collects errors.
#[derive(Debug)]
struct ErrorCollector<'a> {
    file: Name,
    text: &'a str,
    found: RefCell<Vec<(usize, Problem)>>,
}

impl ErrorCollector<'_> {
    fn add(&self, at: usize, member: &str, text: &str) {
        let before = &self.text[..self.text.floor_char_boundary(at)];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let problem = Problem {
            file: self.file.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            member: member.into(),
            text: text.into(),
        };
        self.found.borrow_mut().push((at, problem));
    }

    fn into_problems(self) -> Problems {
        let mut found = self.found.into_inner();
        found.sort_by_key(|(at, _)| *at);
        Problems(found.into_iter().map(|(_, problem)| problem).collect())
    }
}

/// A value of a document, with its position.
#[derive(Clone, Debug)]
pub struct Node<'a> {
    errors: &'a ErrorCollector<'a>,
    value: &'a Value<'a>,
    member: String,
}

impl<'a> Node<'a> {
    /// Reports an error at this value.
    pub fn report_error(&self, text: &str) {
        self.errors.add(self.value.start(), &self.member, text);
    }

    fn mismatch(&self, expected: &str) {
        let range = self.value.range();
        let found = match self.value {
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            _ => &self.errors.text[range.start..range.end],
        };
        self.report_error(&format!("expected {expected}, found {found}"));
    }

    fn text_if<T>(&self, expected: &str, parse: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        let found = match self.value {
            Value::StringLit(text) => parse(&text.value),
            _ => None,
        };
        if found.is_none() {
            self.mismatch(expected);
        }
        found
    }

    /// A string that is not empty.
    #[must_use]
    pub fn name(&self) -> Option<Name> {
        self.text_if("a string that is not empty", |text| (!text.is_empty()).then(|| text.into()))
    }

    /// Any string.
    #[must_use]
    pub fn text(&self) -> Option<Name> {
        self.text_if("a string", |text| Some(text.into()))
    }

    /// `true` or `false`.
    #[must_use]
    pub fn boolean(&self) -> Option<bool> {
        let Value::BooleanLit(literal) = self.value else {
            self.mismatch("true or false");
            return None;
        };
        Some(literal.value)
    }

    /// A whole number within bounds.
    #[must_use]
    pub fn integer(&self, min: u64, max: u64) -> Option<u64> {
        let found = match self.value {
            Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        let fits = found.filter(|number| (min..=max).contains(number));
        if fits.is_none() {
            self.mismatch(&format!("a whole number from {min} to {max}"));
        }
        fits
    }

    /// A number within bounds.
    #[must_use]
    pub fn number(&self, min: f64, max: f64) -> Option<f64> {
        let found = match self.value {
            Value::NumberLit(literal) => literal.value.parse().ok(),
            _ => None,
        };
        let fits = found.filter(|number| (min..=max).contains(number));
        if fits.is_none() {
            self.mismatch(&format!("a number from {min} to {max}"));
        }
        fits
    }

    /// A duration with a unit: `us`, `ms`, `s`, `m` or `h`. The number before it may be a fraction.
    #[must_use]
    pub fn duration(&self) -> Option<Duration> {
        self.text_if("a time such as \"250ms\", \"2s\", \"5m\" or \"24h\"", parse_duration)
    }

    /// A size with a unit: `B`, `KiB`, `MiB` or `GiB`.
    #[must_use]
    pub fn size(&self) -> Option<usize> {
        self.text_if("a size such as \"512B\", \"64KiB\" or \"8MiB\"", parse_size)
    }

    /// An IP address with a port.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.text_if("an IP address and port such as \"10.0.0.1:8080\"", |text| text.parse().ok())
    }

    /// One of several words; returns the value that is paired with it.
    #[must_use]
    pub fn choice<T: Clone>(&self, words: &[(&str, T)]) -> Option<T> {
        let expected = words.iter().map(|(word, _)| format!("\"{word}\"")).collect::<Vec<_>>().join(" or ");
        self.text_if(&expected, |text| {
            words.iter().find(|(word, _)| *word == text).map(|(_, value)| value.clone())
        })
    }

    /// The values of an array; empty if this is not an array.
    #[must_use]
    pub fn list(&self) -> Vec<Self> {
        let Value::Array(array) = self.value else {
            self.mismatch("an array");
            return Vec::new();
        };
        let each =
            |(at, value)| Self { errors: self.errors, value, member: format!("{}[{at}]", self.member) };
        array.elements.iter().enumerate().map(each).collect()
    }

    /// An object. When it is dropped, members that were not requested are reported as unknown.
    #[must_use]
    pub fn object(&self) -> Object<'a> {
        let mut members = Vec::new();
        if let Value::Object(object) = self.value {
            members.extend(&object.properties);
        } else {
            self.mismatch("an object");
        }
        Object { node: self.clone(), members, requested: Vec::new() }
    }

    /// The value as plain JSON, without comments.
    #[must_use]
    pub fn json(&self) -> serde_json::Value {
        self.value.clone().into()
    }
}

/// An object of a document.
#[derive(Debug)]
pub struct Object<'a> {
    node: Node<'a>,
    members: Vec<&'a jsonc_parser::ast::ObjectProp<'a>>,
    requested: Vec<String>,
}

impl<'a> Object<'a> {
    /// A member that may be missing.
    #[must_use]
    pub fn optional(&mut self, key: &str) -> Option<Node<'a>> {
        self.requested.push(key.to_owned());
        let property = self.members.iter().find(|each| each.name.as_str() == key)?;
        Some(Node { errors: self.node.errors, value: &property.value, member: self.path(key) })
    }

    /// A member that must exist; an error is reported if it is missing.
    #[must_use]
    pub fn required(&mut self, key: &str) -> Option<Node<'a>> {
        let found = self.optional(key);
        if found.is_none() && matches!(self.node.value, Value::Object(_)) {
            self.node.report_error(&format!("expected a member \"{key}\", found none"));
        }
        found
    }

    /// All members with their keys, for an object whose keys are arbitrary names. None of them counts as unknown.
    #[must_use]
    pub fn entries(&mut self) -> Vec<(Name, Node<'a>)> {
        let keys: Vec<String> = self.members.iter().map(|each| each.name.as_str().to_owned()).collect();
        self.requested.extend(keys.iter().cloned());
        keys.iter().filter_map(|key| Some((key.as_str().into(), self.optional(key)?))).collect()
    }

    /// Reports an error at the start of the object.
    pub fn report_error(&self, text: &str) {
        self.node.report_error(text);
    }

    fn path(&self, key: &str) -> String {
        if self.node.member.is_empty() { key.to_owned() } else { format!("{}.{key}", self.node.member) }
    }
}

impl Drop for Object<'_> {
    fn drop(&mut self) {
        let mut seen: Vec<&str> = Vec::new();
        for property in &self.members {
            let key = property.name.as_str();
            let at = property.range.start;
            if seen.contains(&key) {
                self.node.errors.add(at, &self.path(key), "expected each member once, found it again");
            }
            seen.push(key);
            if self.requested.iter().any(|requested| requested == key) {
                continue;
            }
            let known = self.requested.iter().map(|key| format!("\"{key}\"")).collect::<Vec<_>>().join(", ");
            let mut text = format!("expected one of {known}, found an unknown member");
            if let Some(suggestion) = nearest(key, self.requested.iter().map(String::as_str)) {
                text = format!("{text}; did you mean \"{suggestion}\"?");
            }
            self.node.errors.add(at, &self.path(key), &text);
        }
    }
}

/// Parses a duration with a unit, as [`Node::duration`] does. Its number may be a fraction or have an exponent, such
/// as `7.5`, `8.0`, `.5` or `1e3`; the result is rounded to whole nanoseconds.
#[must_use]
pub fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    let unit = match unit {
        "us" => Duration::from_micros(1),
        "ms" => Duration::from_millis(1),
        "s" => Duration::from_secs(1),
        "m" => Duration::from_mins(1),
        "h" => Duration::from_hours(1),
        _ => return None,
    };
    if let Ok(whole) = number.parse::<u64>() {
        return multiple(unit, whole);
    }
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * unit.as_secs_f64()).ok()
}

/// A multiple of a unit of time, without the rounding of floating-point numbers.
fn multiple(unit: Duration, number: u64) -> Option<Duration> {
    let nanoseconds = unit.as_nanos() * u128::from(number);
    let seconds = u64::try_from(nanoseconds / NANOSECONDS_PER_SECOND).ok()?;
    Some(Duration::new(seconds, (nanoseconds % NANOSECONDS_PER_SECOND) as u32))
}

fn parse_size(text: &str) -> Option<usize> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        "GiB" => 1 << 30,
        _ => return None,
    };
    number.parse::<usize>().ok()?.checked_mul(factor)
}

/// Splits a number that is not negative from the unit after it.
fn split_unit(text: &str) -> Option<(&str, &str)> {
    let is_number = |letter: char| letter.is_ascii_digit() || letter == '.';
    let last = text.rfind(is_number)?;
    text.starts_with(is_number).then(|| text.split_at(last + 1))
}
