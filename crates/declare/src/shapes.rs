//! Describes the expected shape of JSON values, and finds and repairs all faults of a value.
//!
//! `serde` stops at the first error, but operators should get all faults at once. So a value is
//! checked and repaired here first; `serde` then converts it and may still reject it.

use serde_json::{Map, Value};

/// The expected shape of a value.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// A string with any content.
    Text,
    /// A string that is one of these.
    OneOf(&'static [&'static str]),
    /// A string with an IP address and port.
    Address,
    /// `true` or `false`.
    Bool,
    /// Any number.
    Number,
    /// A whole number from 0 to this.
    Unsigned(u64),
    /// An object with these fields.
    Object(&'static [Field]),
    /// A list whose entries have this shape.
    List(&'static Shape),
}

/// An expected field of an object.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    /// The field's name.
    pub(crate) name: &'static str,
    /// Whether the field must be present.
    pub(crate) required: bool,
    /// The shape of the field's value.
    pub(crate) shape: Shape,
}

/// Describes a required field.
pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
    Field { name, required: true, shape }
}

/// Describes an optional field.
pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field { name, required: false, shape }
}

/// The faults and repairs of a value.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// The path and reason of each fault.
    pub(crate) faults: Vec<(String, String)>,
    /// The paths of values that were replaced by placeholders.
    pub(crate) placeholders: Vec<String>,
}

impl Findings {
    /// Finds all faults of `value` at `path` and repairs them: unknown fields are removed, and
    /// values that are missing or have the wrong shape become placeholders. The rest can then be
    /// converted and checked, so that one fault does not hide another.
    pub(crate) fn check_and_repair(&mut self, shape: Shape, value: &mut Value, path: &str) {
        match (shape, &mut *value) {
            (Shape::Object(fields), Value::Object(object)) => {
                self.check_object(fields, object, path);
            }
            (Shape::List(item), Value::Array(items)) => {
                for (index, value) in items.iter_mut().enumerate() {
                    self.check_and_repair(*item, value, &format!("{path}[{index}]"));
                }
            }
            _ => {
                if let Some(expected) = mismatch(shape, value) {
                    let reason = format!("expected {expected}, found {}", describe(value));
                    self.faults.push((path.to_owned(), reason));
                    self.placeholders.push(path.to_owned());
                    *value = placeholder(shape);
                }
            }
        }
    }

    /// Finds and repairs all faults of an object.
    fn check_object(&mut self, fields: &[Field], object: &mut Map<String, Value>, path: &str) {
        for field in fields {
            let path_of_field = format!("{path}.{}", field.name);
            if let Some(value) = object.get_mut(field.name) {
                self.check_and_repair(field.shape, value, &path_of_field);
            } else if field.required {
                self.faults.push((path.to_owned(), format!("missing field `{}`", field.name)));
                self.placeholders.push(path_of_field);
                object.insert(field.name.to_owned(), placeholder(field.shape));
            }
        }

        object.retain(|name, _| {
            let is_known = fields.iter().any(|field| field.name == name);
            if !is_known {
                self.faults.push((field_path(path, name), "unknown field".to_owned()));
            }
            is_known
        });
    }
}

/// Returns a simple value that has the given shape.
fn placeholder(shape: Shape) -> Value {
    match shape {
        Shape::Text => Value::from(""),
        Shape::OneOf(texts) => Value::from(texts[0]),
        Shape::Address => Value::from("0.0.0.0:0"),
        Shape::Bool => Value::from(false),
        Shape::Number | Shape::Unsigned(_) => Value::from(0),
        Shape::List(_) => Value::Array(Vec::new()),
        Shape::Object(fields) => {
            let required = fields.iter().filter(|field| field.required);
            required.map(|field| (field.name.to_owned(), placeholder(field.shape))).collect()
        }
    }
}

/// Returns a description of the expected shape if the value does not have it.
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
        Shape::Unsigned(max) => {
            let fits = value.as_u64().is_some_and(|number| number <= max);
            (fits, format!("a whole number from 0 to {max}"))
        }
        Shape::Object(_) => (false, "an object".to_owned()),
        Shape::List(_) => (false, "a list".to_owned()),
    };

    (!fits).then_some(expected)
}

/// How many characters of a name or value a fault shows at most.
const MAX_SHOWN_CHARS: usize = 60;

/// Returns the JSON path of a field of the object at `path`.
pub(crate) fn field_path(path: &str, name: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');

    // Other names are quoted, since a line break in one would look like the start of another fault.
    if !name.is_empty() && name.len() <= MAX_SHOWN_CHARS && name.bytes().all(is_plain) {
        return format!("{path}.{name}");
    }
    format!("{path}[{:?}]", name.chars().take(MAX_SHOWN_CHARS).collect::<String>())
}

/// Describes a value for a fault.
fn describe(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::String(text) => {
            format!("{:?}", text.chars().take(MAX_SHOWN_CHARS).collect::<String>())
        }
        other => other.to_string(),
    }
}
