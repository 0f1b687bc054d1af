//! Lines of `name=value` fields, as in the protocol of the simulator and in flattened settings.

use crate::interface::Micros;
use std::str::FromStr;

/// Bound on the absolute value of times that are parsed, in microseconds. The sum of a few of them cannot
/// overflow.
pub(crate) const MAX_ABSOLUTE_TIME: f64 = (1i64 << 55) as f64;

/// A field that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: field {field}: {problem}")]
pub struct FieldError {
    line: u64,
    field: String,
    problem: String,
}

/// The fields of one line. Of fields with the same name, the first one counts.
pub(crate) struct Fields<'a> {
    line: u64,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Creates the fields of a line from names and values. `line` is the number of the line in error
    /// messages.
    pub(crate) fn new(line: u64, pairs: Vec<(&'a str, &'a str)>) -> Self {
        Fields { line, pairs }
    }

    /// Parses fields that are separated by spaces.
    pub(crate) fn parse(line: u64, text: &'a str) -> Result<Self, FieldError> {
        let mut fields = Fields::new(line, Vec::new());
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let pair = part.split_once('=').ok_or_else(|| fields.invalid(part, "expected name=value"))?;
            fields.pairs.push(pair);
        }
        Ok(fields)
    }

    /// Returns an error about a field of this line.
    pub(crate) fn invalid(&self, field: &str, problem: impl Into<String>) -> FieldError {
        FieldError { line: self.line, field: field.into(), problem: problem.into() }
    }

    fn missing(&self, field: &str) -> FieldError {
        self.invalid(field, "missing")
    }

    /// Returns the value of a field, if the line has it.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(other, _)| *other == name).map(|(_, value)| *value)
    }

    /// Returns the value of a field that the line must have.
    pub(crate) fn required(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or_else(|| self.missing(name))
    }

    /// Parses a whole number that the line must have.
    pub(crate) fn integer(&self, name: &str) -> Result<u64, FieldError> {
        self.parsed(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a finite number, if the line has it.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.parsed::<f64>(name)? {
            Some(number) if !number.is_finite() => Err(self.invalid(name, "not a finite number")),
            number => Ok(number),
        }
    }

    /// Parses a time, if the line has it. It is written in milliseconds.
    pub(crate) fn time(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        let to_micros = |milliseconds: f64| {
            (milliseconds * 1000.0).round().clamp(-MAX_ABSOLUTE_TIME, MAX_ABSOLUTE_TIME) as Micros
        };
        Ok(self.number(name)?.map(to_micros))
    }

    /// Parses a time, written in milliseconds, that the line must have.
    pub(crate) fn required_time(&self, name: &str) -> Result<Micros, FieldError> {
        self.time(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a boolean. An absent field means `false`.
    pub(crate) fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(self.invalid(name, format!("cannot read {value:?} as a bool"))),
        }
    }

    fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        let Some(value) = self.get(name) else { return Ok(None) };
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(self.invalid(name, format!("cannot read {value:?}"))),
        }
    }
}
