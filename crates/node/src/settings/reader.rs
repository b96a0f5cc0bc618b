//! Reads a JSON object field by field and collects all faults.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Map, Value};

use super::SettingsFault;

/// A JSON object whose fields are being read.
///
/// Reading continues after a fault, so that all faults are reported at once.
pub(super) struct Reader<'a> {
    /// The prefix of the paths of this object's fields, such as `platform.`.
    prefix: Box<str>,
    /// The fields that have not been read yet. Those left at the end are unknown settings.
    fields: Map<String, Value>,
    faults: &'a mut Vec<SettingsFault>,
}

impl<'a> Reader<'a> {
    /// Parses a text that must hold one JSON object. Returns `None`, with a fault, if it does not.
    pub fn new(text: &str, faults: &'a mut Vec<SettingsFault>) -> Option<Self> {
        match serde_json::from_str(text) {
            Ok(Value::Object(fields)) => Some(Self { prefix: "".into(), fields, faults }),
            Ok(_) => {
                let reason = "an object is expected".into();
                faults.push(SettingsFault { path: "$".into(), reason });
                None
            }
            Err(e) => {
                let reason = format!("it is not JSON: {e}").into();
                faults.push(SettingsFault { path: "$".into(), reason });
                None
            }
        }
    }

    /// Reports a fault for each field that was not read.
    pub fn finish(mut self) {
        let unknown: Vec<_> = self.fields.keys().cloned().collect();

        for field in unknown {
            self.fault::<()>(&field, "there is no such setting");
        }
    }

    /// Reads a nested object with `read`. A missing object is treated as an empty one.
    pub fn section<T>(
        &mut self,
        field: &str,
        read: impl FnOnce(&mut Reader<'_>) -> T,
    ) -> Option<T> {
        let fields = match self.fields.remove(field) {
            None => Map::new(),
            Some(Value::Object(fields)) => fields,
            Some(_) => {
                self.fault::<()>(field, "an object is expected");
                return None;
            }
        };

        let prefix = format!("{}{field}.", self.prefix).into();
        let mut section = Reader { prefix, fields, faults: self.faults };
        let value = read(&mut section);
        section.finish();

        Some(value)
    }

    /// Reads a required text, which must not be empty.
    pub fn text(&mut self, field: &str) -> Option<Box<str>> {
        match self.required(field)? {
            Value::String(text) if !text.is_empty() => Some(text.into()),
            Value::String(_) => self.fault(field, "it is empty"),
            _ => self.fault(field, "a text is expected"),
        }
    }

    /// Reads a required IP address with a port.
    pub fn address(&mut self, field: &str) -> Option<SocketAddr> {
        let text = self.text(field)?;

        match text.parse() {
            Ok(address) => Some(address),
            Err(_) => self.fault(field, "an IP number with a port is expected"),
        }
    }

    /// Reads an optional duration such as `"250ms"`, `"5s"` or `"2m"`.
    pub fn duration_or(&mut self, field: &str, default: Duration) -> Duration {
        match self.fields.remove(field) {
            None => default,
            Some(Value::String(text)) => parse_duration(&text).unwrap_or_else(|| {
                self.fault::<()>(
                    field,
                    "a time above zero such as \"250ms\" or \"5s\" is expected",
                );
                default
            }),
            Some(_) => {
                self.fault::<()>(field, "a text such as \"250ms\" is expected");
                default
            }
        }
    }

    /// Reads an optional whole number above zero.
    pub fn count_or(&mut self, field: &str, default: usize) -> usize {
        let Some(value) = self.fields.remove(field) else {
            return default;
        };

        match value.as_u64().and_then(|n| usize::try_from(n).ok()) {
            Some(n) if n > 0 => n,
            _ => {
                self.fault::<()>(field, "a whole number above zero is expected");
                default
            }
        }
    }

    /// Reads an optional number above zero.
    pub fn rate_or(&mut self, field: &str, default: f64) -> f64 {
        let Some(value) = self.fields.remove(field) else {
            return default;
        };

        match value.as_f64() {
            Some(n) if n > 0.0 => n,
            _ => {
                self.fault::<()>(field, "a number above zero is expected");
                default
            }
        }
    }

    /// Reads an optional `true` or `false`.
    pub fn flag_or(&mut self, field: &str, default: bool) -> bool {
        match self.fields.remove(field) {
            None => default,
            Some(Value::Bool(flag)) => flag,
            Some(_) => {
                self.fault::<()>(field, "true or false is expected");
                default
            }
        }
    }

    /// Reads an optional text that must be one of `choices`.
    pub fn choice_or(&mut self, field: &str, choices: &[&str], default: &str) -> Box<str> {
        match self.fields.remove(field) {
            None => default.into(),
            Some(Value::String(text)) if choices.contains(&&*text) => text.into(),
            Some(_) => {
                self.fault::<()>(field, &format!("one of {} is expected", choices.join(", ")));
                default.into()
            }
        }
    }

    /// Reports a fault that concerns the combination of several settings.
    pub fn report(&mut self, field: &str, reason: &str) {
        self.fault::<()>(field, reason);
    }

    fn required(&mut self, field: &str) -> Option<Value> {
        match self.fields.remove(field) {
            Some(value) => Some(value),
            None => self.fault(field, "it is missing"),
        }
    }

    fn fault<T>(&mut self, field: &str, reason: &str) -> Option<T> {
        let path = format!("{}{field}", self.prefix).into();
        self.faults.push(SettingsFault { path, reason: reason.into() });

        None
    }
}

/// Parses a duration with its unit. Returns `None` for zero or a malformed text.
fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let number: u64 = text[..digits].parse().ok()?;

    let millis = match &text[digits..] {
        "ms" => number,
        "s" => number.checked_mul(1_000)?,
        "m" => number.checked_mul(60_000)?,
        _ => return None,
    };

    (millis > 0).then(|| Duration::from_millis(millis))
}
