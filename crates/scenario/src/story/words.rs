//! The words of a line: plain ones in order, and options written `name=value`.

use std::collections::BTreeMap;
use std::time::Duration;

/// A reason why a line cannot be read.
pub(super) type Result<T> = std::result::Result<T, String>;

/// The options of a line.
pub(super) struct Options<'a>(BTreeMap<&'a str, &'a str>);

/// Splits a line into plain words and options.
pub(super) fn split(line: &str) -> (Vec<&str>, Options<'_>) {
    let mut words = Vec::new();
    let mut options = BTreeMap::new();

    for word in line.split_whitespace() {
        match word.split_once('=') {
            Some((name, value)) if name.starts_with(char::is_alphabetic) && !value.is_empty() => {
                options.insert(name, value);
            }
            _ => words.push(word),
        }
    }

    (words, Options(options))
}

impl<'a> Options<'a> {
    /// Takes an option.
    pub fn take(&mut self, name: &str) -> Option<&'a str> {
        self.0.remove(name)
    }

    /// Takes an option, or what stands for it.
    pub fn take_or(&mut self, name: &str, other: &str) -> Box<str> {
        self.take(name).unwrap_or(other).into()
    }

    /// Takes an option that must be there.
    pub fn need(&mut self, name: &str) -> Result<Box<str>> {
        self.take(name).map(Into::into).ok_or_else(|| format!("`{name}=` is missing"))
    }

    /// Takes a number.
    pub fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>> {
        self.take(name).map(number).transpose()
    }

    /// Takes a list of names.
    pub fn list(&mut self, name: &str) -> Vec<Box<str>> {
        self.take(name).map(list).unwrap_or_default()
    }

    /// Takes a time.
    pub fn time(&mut self, name: &str) -> Result<Option<Duration>> {
        self.take(name).map(time).transpose()
    }

    /// Checks that nothing is left over.
    pub fn finish(self) -> Result<()> {
        match self.0.keys().next() {
            Some(name) => Err(format!("`{name}=` does not belong here")),
            None => Ok(()),
        }
    }
}

/// Reads a list of names with commas between them.
pub(super) fn list(text: &str) -> Vec<Box<str>> {
    text.split(',').map(Into::into).collect()
}

/// Reads a number.
pub(super) fn number<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| format!("`{text}` is no number"))
}

/// Reads a time in seconds or milliseconds.
pub(super) fn time(text: &str) -> Result<Duration> {
    let error = || format!("`{text}` is no time like `2.5s` or `40ms`");
    let (digits, unit) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1e-3),
        None => (text.strip_suffix('s').ok_or_else(error)?, 1.0),
    };
    let value: f64 = digits.parse().map_err(|_| error())?;

    Duration::try_from_secs_f64(value * unit).map_err(|_| error())
}
