//! Splits a line into positional words and options written `name=value`.

use std::collections::BTreeMap;
use std::time::Duration;

/// The error is the reason why a line is invalid.
pub(super) type Result<T> = std::result::Result<T, String>;

/// The options of a line that have not been read yet.
pub(super) struct Options<'a>(BTreeMap<&'a str, &'a str>);

/// Splits a line into positional words and options.
pub(super) fn split_options(line: &str) -> (Vec<&str>, Options<'_>) {
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
    /// Removes an option and returns its value.
    pub fn take(&mut self, name: &str) -> Option<&'a str> {
        self.0.remove(name)
    }

    /// Removes an option and returns its value, or `default` if it is absent.
    pub fn take_or(&mut self, name: &str, default: &str) -> Box<str> {
        self.take(name).unwrap_or(default).into()
    }

    /// Removes a required option and returns its value; an error if it is absent.
    pub fn require(&mut self, name: &str) -> Result<Box<str>> {
        self.take(name).map(Into::into).ok_or_else(|| format!("`{name}=` is missing"))
    }

    /// Removes an option whose value is a number.
    pub fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>> {
        self.take(name).map(number).transpose()
    }

    /// Removes an option whose value is a list of names; an empty list if it is absent.
    pub fn list(&mut self, name: &str) -> Vec<Box<str>> {
        self.take(name).map(list).unwrap_or_default()
    }

    /// Removes an option whose value is a time.
    pub fn time(&mut self, name: &str) -> Result<Option<Duration>> {
        self.take(name).map(time).transpose()
    }

    /// Returns an error if the line has an option that its statement does not take.
    pub fn reject_unread(self) -> Result<()> {
        match self.0.keys().next() {
            Some(name) => Err(format!("`{name}=` does not belong here")),
            None => Ok(()),
        }
    }
}

/// Parses a list of names separated by commas.
pub(super) fn list(text: &str) -> Vec<Box<str>> {
    text.split(',').map(Into::into).collect()
}

/// Parses a number.
pub(super) fn number<T: std::str::FromStr>(text: &str) -> Result<T> {
    text.parse().map_err(|_| format!("`{text}` is no number"))
}

/// Parses a time in seconds or milliseconds.
pub(super) fn time(text: &str) -> Result<Duration> {
    let error = || format!("`{text}` is no time like `2.5s` or `40ms`");
    let (digits, unit) = match text.strip_suffix("ms") {
        Some(digits) => (digits, 1e-3),
        None => (text.strip_suffix('s').ok_or_else(error)?, 1.0),
    };
    let value: f64 = digits.parse().map_err(|_| error())?;

    Duration::try_from_secs_f64(value * unit).map_err(|_| error())
}
