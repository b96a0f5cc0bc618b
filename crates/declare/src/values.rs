//! Parses JSON values and reports duplicate fields.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};

use crate::documents::ROOT;
use crate::shapes::field_path;

/// Parses JSON and returns the value and the paths of duplicate fields.
///
/// `serde_json` by itself silently takes the last of two fields with the same name, while a person
/// who reads the file may assume that the first one applies.
pub(crate) fn parse(bytes: &[u8]) -> serde_json::Result<(Value, Vec<String>)> {
    let mut duplicates = Vec::new();
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);

    let value =
        ValueSeed { path: ROOT, duplicates: &mut duplicates }.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok((value, duplicates))
}

/// Deserializes the value at one path and collects the duplicate fields within it.
struct ValueSeed<'a> {
    /// The JSON path of the value.
    path: &'a str,
    /// The paths of duplicate fields found so far.
    duplicates: &'a mut Vec<String>,
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, d: D) -> Result<Value, D::Error> {
        d.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
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
            let seed = ValueSeed { path: &path, duplicates: self.duplicates };
            match seq.next_element_seed(seed)? {
                Some(item) => items.push(item),
                None => return Ok(Value::Array(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();

        while let Some(name) = map.next_key::<String>()? {
            let path = field_path(self.path, &name);
            let value =
                map.next_value_seed(ValueSeed { path: &path, duplicates: self.duplicates })?;
            if object.insert(name, value).is_some() {
                self.duplicates.push(path);
            }
        }
        Ok(Value::Object(object))
    }
}
