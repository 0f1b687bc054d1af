//! Lines of `name=value` fields, as the simulator's protocol and flattened settings have them.

use crate::interface::Micros;

/// Bound on times read from the wire, so that sums of a few of them cannot overflow.
pub(crate) const TIME_BOUND: f64 = (1i64 << 55) as f64;

/// A field that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line}: field {field}: {problem}")]
pub struct FieldError {
    line: u64,
    field: String,
    problem: String,
}

/// The fields of one line.
pub(crate) struct Fields<'a> {
    pub(crate) line: u64,
    pub(crate) pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    pub(crate) fn parse(line: u64, rest: &'a str) -> Result<Self, FieldError> {
        let mut pairs = Vec::new();
        for part in rest.split(' ').filter(|p| !p.is_empty()) {
            match part.split_once('=') {
                Some(pair) => pairs.push(pair),
                None => {
                    return Err(FieldError {
                        line,
                        field: part.into(),
                        problem: "expected name=value".into(),
                    });
                }
            }
        }
        Ok(Fields { line, pairs })
    }

    pub(crate) fn bad(&self, field: &str, problem: impl Into<String>) -> FieldError {
        FieldError { line: self.line, field: field.into(), problem: problem.into() }
    }

    pub(crate) fn get(&self, name: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    pub(crate) fn need(&self, name: &str) -> Result<&'a str, FieldError> {
        self.get(name).ok_or_else(|| self.bad(name, "missing"))
    }

    pub(crate) fn parsed<T: std::str::FromStr>(&self, name: &str) -> Result<Option<T>, FieldError> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| self.bad(name, format!("cannot read {v:?}"))))
            .transpose()
    }

    pub(crate) fn int(&self, name: &str) -> Result<u64, FieldError> {
        self.parsed(name)?.ok_or_else(|| self.bad(name, "missing"))
    }

    pub(crate) fn num(&self, name: &str) -> Result<Option<f64>, FieldError> {
        match self.parsed::<f64>(name)? {
            Some(v) if !v.is_finite() => Err(self.bad(name, "not a finite number")),
            v => Ok(v),
        }
    }

    pub(crate) fn time(&self, name: &str) -> Result<Option<Micros>, FieldError> {
        Ok(self.num(name)?.map(|ms| (ms * 1000.0).round().clamp(-TIME_BOUND, TIME_BOUND) as Micros))
    }

    pub(crate) fn flag(&self, name: &str) -> Result<bool, FieldError> {
        match self.get(name) {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(v) => Err(self.bad(name, format!("cannot read {v:?} as a bool"))),
        }
    }
}
