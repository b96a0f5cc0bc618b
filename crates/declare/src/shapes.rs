//! What JSON values may look like, and a walk that finds and mends all faults of one.
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

/// All faults of a value.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// Where, and what.
    pub(crate) faults: Vec<(String, String)>,
    /// Where placeholders stand now.
    pub(crate) placeholders: Vec<String>,
}

impl Findings {
    /// Finds all faults of `value` at `path`, and mends it: unknown fields go, and what is
    /// missing or of another kind becomes a placeholder. So the rest of it can be read, and
    /// one fault does not hide the next.
    pub(crate) fn walk(&mut self, shape: Shape, value: &mut Value, path: &str) {
        match (shape, &mut *value) {
            (Shape::Object(fields), Value::Object(object)) => {
                self.walk_object(fields, object, path);
            }
            (Shape::List(item), Value::Array(items)) => {
                for (index, value) in items.iter_mut().enumerate() {
                    self.walk(*item, value, &format!("{path}[{index}]"));
                }
            }
            _ => {
                if let Some(expected) = mismatch(shape, value) {
                    let reason = format!("expected {expected}, found {}", show(value));
                    self.faults.push((path.to_owned(), reason));
                    self.placeholders.push(path.to_owned());
                    *value = placeholder(shape);
                }
            }
        }
    }

    /// Finds all faults of an object.
    fn walk_object(&mut self, fields: &[Field], object: &mut Map<String, Value>, path: &str) {
        for field in fields {
            let below = format!("{path}.{}", field.name);
            if let Some(value) = object.get_mut(field.name) {
                self.walk(field.shape, value, &below);
            } else if field.required {
                self.faults.push((path.to_owned(), format!("missing field `{}`", field.name)));
                self.placeholders.push(below);
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

/// Returns the simplest value of a shape.
fn placeholder(shape: Shape) -> Value {
    match shape {
        Shape::Text => Value::from(""),
        Shape::OneOf(texts) => Value::from(texts[0]),
        Shape::Address => Value::from("0.0.0.0:0"),
        Shape::Bool => Value::from(false),
        Shape::Number | Shape::Whole(_) => Value::from(0),
        Shape::List(_) => Value::Array(Vec::new()),
        Shape::Object(fields) => {
            let required = fields.iter().filter(|field| field.required);
            required.map(|field| (field.name.to_owned(), placeholder(field.shape))).collect()
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

/// Returns the JSON path of a field of the object at `path`.
pub(crate) fn field_path(path: &str, name: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');

    // Any other name is quoted: a line break in it would look like a fault of its own.
    if !name.is_empty() && name.len() <= SHOWN_CHARS && name.bytes().all(is_plain) {
        return format!("{path}.{name}");
    }
    format!("{path}[{:?}]", name.chars().take(SHOWN_CHARS).collect::<String>())
}

/// Returns a value as a fault shows it.
fn show(value: &Value) -> String {
    match value {
        Value::Object(_) => "an object".to_owned(),
        Value::Array(_) => "a list".to_owned(),
        Value::String(text) => format!("{:?}", text.chars().take(SHOWN_CHARS).collect::<String>()),
        other => other.to_string(),
    }
}
