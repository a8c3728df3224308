//! Validates the values of one table of the file. Errors name the line of the value.

use crate::error::{ConfigError, Problem};
use larchfall_policy::time::Duration;
use toml::Spanned;

/// The line of the byte at `offset`, counted from 1.
pub(crate) fn line(text: &str, offset: usize) -> usize {
    1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

/// Default of a number that the file does not set. Its span is empty, since it has no line.
pub(crate) fn default_count<const VALUE: usize>() -> Spanned<usize> {
    Spanned::new(0..0, VALUE)
}

/// Default of a time in milliseconds that the file does not set. Its span is empty, since it has no line.
pub(crate) fn default_ms<const VALUE: u64>() -> Spanned<u64> {
    Spanned::new(0..0, VALUE)
}

/// The text of a file and the name of one of its tables, for error messages.
pub(crate) struct Table<'a> {
    text: &'a str,
    name: &'static str,
}

impl<'a> Table<'a> {
    pub(crate) fn new(text: &'a str, name: &'static str) -> Table<'a> {
        Table { text, name }
    }

    /// The error of an invalid `field` of this table.
    pub(crate) fn invalid<T>(
        &self,
        value: &Spanned<T>,
        field: &'static str,
        problem: Problem,
    ) -> ConfigError {
        let line = line(self.text, value.span().start);
        ConfigError::Field { line, table: self.name, field, problem }
    }

    pub(crate) fn count(
        &self,
        value: &Spanned<usize>,
        field: &'static str,
        minimum: usize,
        maximum: usize,
    ) -> Result<usize, ConfigError> {
        let count = *value.get_ref();
        if (minimum..=maximum).contains(&count) {
            Ok(count)
        } else {
            Err(self.invalid(value, field, Problem::OutOfRange { value: count, minimum, maximum }))
        }
    }

    pub(crate) fn duration(
        &self,
        value: &Spanned<u64>,
        field: &'static str,
        minimum: u64,
        maximum: u64,
    ) -> Result<Duration, ConfigError> {
        let milliseconds = *value.get_ref();
        if (minimum..=maximum).contains(&milliseconds) {
            Ok(Duration::from_millis(milliseconds))
        } else {
            let problem = Problem::DurationOutOfRange { milliseconds, minimum, maximum };
            Err(self.invalid(value, field, problem))
        }
    }
}
