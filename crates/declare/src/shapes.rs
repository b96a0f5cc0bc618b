//! What JSON values may look like, and a walk that finds all faults of one.
//!
//! `serde` stops at its first error; operators want all of them. The walk goes first, and
//! `serde` has the last word on what the walk lets pass.

use serde_json::{Map, Value};

/// What a value may be.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// Any text.
    Text,
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// An IP address and port.
    Address,
    /// True or false.
    Bool,
    /// A number.
    Number,
    /// A whole number from 0 to this.
    Whole(u64),
    /// An object with these fields.
    Object(&'static [Field]),
    /// A list of such values.
    List(&'static Shape),
}

/// A field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// Its name.
    pub(crate) name: &'static str,
    /// Whether it must be there.
    pub(crate) required: bool,
    /// What its value may be.
    pub(crate) shape: Shape,
}

/// Makes a field that must be there.
pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

/// Makes a field that may be left out.
pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// A fault of a value: where, and what.
pub(crate) type Finding = (String, String);

/// Finds all faults of `value` at `path`.
pub(crate) fn walk(shape: Shape, value: &Value, path: &str, found: &mut Vec<Finding>) {
    match (shape, value) {
        (Shape::Object(fields), Value::Object(object)) => walk_object(fields, object, path, found),
        (Shape::List(item), Value::Array(items)) => {
            for (index, value) in items.iter().enumerate() {
                walk(*item, value, &format!("{path}[{index}]"), found);
            }
        }
        _ => {
            if let Some(expected) = mismatch(shape, value) {
                found
                    .push((path.to_owned(), format!("expected {expected}, found {}", show(value))));
            }
        }
    }
}

/// Finds all faults of an object.
fn walk_object(
    fields: &[Field],
    object: &Map<String, Value>,
    path: &str,
    found: &mut Vec<Finding>,
) {
    for field in fields {
        match object.get(field.name) {
            Some(value) => walk(field.shape, value, &format!("{path}.{}", field.name), found),
            None if field.required => {
                found.push((path.to_owned(), format!("missing field `{}`", field.name)));
            }
            None => {}
        }
    }

    for name in object.keys() {
        if !fields.iter().any(|field| field.name == name) {
            found.push((format!("{path}.{name}"), "unknown field".to_owned()));
        }
    }
}

/// Returns what was expected, if the value is something else.
fn mismatch(shape: Shape, value: &Value) -> Option<String> {
    let (fits, expected) = match shape {
        Shape::Text => (value.is_string(), "a text".to_owned()),
        Shape::OneOf(texts) => {
            let fits = value.as_str().is_some_and(|text| texts.contains(&text));
            (fits, format!("one of {}", texts.join(", ")))
        }
        Shape::Address => {
            let parsed = value.as_str().map(str::parse::<std::net::SocketAddr>);
            (matches!(parsed, Some(Ok(_))), "an IP address and port".to_owned())
        }
        Shape::Bool => (value.is_boolean(), "true or false".to_owned()),
        Shape::Number => (value.is_number(), "a number".to_owned()),
        Shape::Whole(most) => {
            let fits = value.as_u64().is_some_and(|number| number <= most);
            (fits, format!("a whole number from 0 to {most}"))
        }
        Shape::Object(_) => (false, "an object".to_owned()),
        Shape::List(_) => (false, "a list".to_owned()),
    };

    (!fits).then_some(expected)
}

/// The longest text that a fault repeats, in characters.
const SHOWN_CHARS: usize = 60;

/// Returns a value as a fault shows it.
fn show(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::String(text) => format!("{:?}", text.chars().take(SHOWN_CHARS).collect::<String>()),
        other => other.to_string(),
    }
}
