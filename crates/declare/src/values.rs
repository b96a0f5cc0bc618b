//! JSON values, with the fields that stand twice.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::documents::ROOT;
use crate::shapes::field_path;

/// Parses JSON; returns the value and the path of each field that stands twice.
///
/// `serde_json` alone lets the last of two win without a word, and a reader of the file
/// may well take the first for the one in force.
pub(crate) fn parse(bytes: &[u8]) -> serde_json::Result<(Value, Vec<String>)> {
    let mut twice = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);

    let value = Reader { path: ROOT, twice: &mut twice }.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok((value, twice))
}

/// Reads the value at one path.
struct Reader<'a> {
    /// The path.
    path: &'a str,
    /// The paths of the fields that stand twice.
    twice: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for Reader<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Value, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Reader<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();

        loop {
            let path = format!("{}[{}]", self.path, items.len());
            let reader = Reader { path: &path, twice: self.twice };
            match seq.next_element_seed(reader)? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();

        while let Some(name) = map.next_key::<String>()? {
            let path = field_path(self.path, &name);
            let value = map.next_value_seed(Reader { path: &path, twice: self.twice })?;
            if object.insert(name, value).is_some() {
                self.twice.push(path);
            }
        }
        Ok(Value::Object(object))
    }
}
