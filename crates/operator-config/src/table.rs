//! One table of the file: its values with the lines that they stand in, checked against their ranges.

use crate::error::{ConfigError, Problem};
use larchfall_policy::time::Duration;
use toml::Spanned;

/// The line of a byte of the text, counted from one.
pub(crate) fn line(text: &str, offset: usize) -> usize {
    1 + text.as_bytes()[..offset.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

/// The default of a number that the file leaves out. It stands in no line.
pub(crate) fn default_count<const VALUE: usize>() -> Spanned<usize> {
    Spanned::new(0..0, VALUE)
}

/// The default of a time in milliseconds that the file leaves out. It stands in no line.
pub(crate) fn default_ms<const VALUE: u64>() -> Spanned<u64> {
    Spanned::new(0..0, VALUE)
}

/// The text of a file and the name of a table in it, for refusals.
pub(crate) struct Table<'a> {
    text: &'a str,
    name: &'static str,
}

impl<'a> Table<'a> {
    pub(crate) fn new(text: &'a str, name: &'static str) -> Table<'a> {
        Table { text, name }
    }

    /// Refuses a field of this table.
    pub(crate) fn refuse<T>(&self, value: &Spanned<T>, field: &'static str, problem: Problem) -> ConfigError {
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
            Err(self.refuse(value, field, Problem::OutOfRange { value: count, minimum, maximum }))
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
            Err(self.refuse(value, field, problem))
        }
    }
}
