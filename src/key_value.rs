//! Lines of `name=value` fields, as in the protocol of the simulator and in flattened settings.

use crate::interface::Micros;
use std::str::FromStr;

/// Bound on the absolute value of parsed times, in microseconds. It is low enough that the sum of a few times
/// does not overflow.
pub(crate) const MAX_ABSOLUTE_TIME_MICROS: f64 = (1i64 << 55) as f64;

/// An error about a field. The message names the field, the problem, and the line that the field was read
/// from, if any.
#[derive(Debug, thiserror::Error)]
#[error("{}field {field}: {problem}", line_prefix(*line))]
pub struct FieldError {
    line: Option<u64>,
    field: String,
    problem: String,
}

fn line_prefix(line: Option<u64>) -> String {
    line.map(|line| format!("line {line}: ")).unwrap_or_default()
}

/// Fields with names and values. If several fields have the same name, the first one is used.
pub(crate) struct Fields<'a> {
    /// The number of the line that the fields were read from, for error messages. `None` if the fields do not
    /// come from a line.
    line: Option<u64>,
    /// Names and values.
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Creates fields from names and values that do not come from a line.
    pub(crate) fn from_pairs(pairs: Vec<(&'a str, &'a str)>) -> Self {
        Fields { line: None, pairs }
    }

    /// Parses the text of the line with the number `line`: `name=value` fields that are separated by spaces.
    ///
    /// # Errors
    ///
    /// A part of the text has no `=`.
    pub(crate) fn parse(line: u64, text: &'a str) -> Result<Self, FieldError> {
        let mut fields = Fields { line: Some(line), pairs: Vec::new() };
        for part in text.split(' ').filter(|part| !part.is_empty()) {
            let pair = part.split_once('=').ok_or_else(|| fields.invalid(part, "expected name=value"))?;
            fields.pairs.push(pair);
        }
        Ok(fields)
    }

    /// Returns an error about one of these fields. `problem` describes what is wrong with it.
    pub(crate) fn invalid(&self, field: &str, problem: impl Into<String>) -> FieldError {
        FieldError { line: self.line, field: field.into(), problem: problem.into() }
    }

    fn missing(&self, field: &str) -> FieldError {
        self.invalid(field, "missing")
    }

    /// Returns the value of a field, if it is present.
    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(other, _)| *other == name).map(|(_, value)| *value)
    }

    /// Returns the value of a field. It is an error if the field is absent.
    pub(crate) fn required(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or_else(|| self.missing(name))
    }

    /// Parses a whole number. It is an error if the field is absent.
    pub(crate) fn integer(&self, name: &str) -> Result<u64, FieldError> {
        self.parsed(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a finite number, if it is present.
    pub(crate) fn number(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.parsed::<f64>(name)? {
            Some(number) if !number.is_finite() => Err(self.invalid(name, "not a finite number")),
            number => Ok(number),
        }
    }

    /// Parses a time that is written in milliseconds, if it is present.
    pub(crate) fn time(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        let to_micros = |milliseconds: f64| {
            (milliseconds * 1000.0).round().clamp(-MAX_ABSOLUTE_TIME_MICROS, MAX_ABSOLUTE_TIME_MICROS)
                as Micros
        };
        Ok(self.number(name)?.map(to_micros))
    }

    /// Parses a time that is written in milliseconds. It is an error if the field is absent.
    pub(crate) fn required_time(&self, name: &str) -> Result<Micros, FieldError> {
        self.time(name)?.ok_or_else(|| self.missing(name))
    }

    /// Parses a boolean. An absent field means `false`.
    pub(crate) fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(value) => Err(self.invalid(name, format!("expected true, false, 1 or 0, found {value:?}"))),
        }
    }

    fn parsed<T: FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        let Some(value) = self.get(name) else { return Ok(None) };
        match value.parse() {
            Ok(parsed) => Ok(Some(parsed)),
            Err(_) => Err(self.invalid(name, format!("cannot parse {value:?}"))),
        }
    }
}
