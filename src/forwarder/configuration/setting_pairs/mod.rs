//! Converts settings from nested JSON into the flat form that the settings reader parses.

use serde_json::Value;

/// Returns settings as pairs of path and value, in the form that they have in the simulator's protocol.
///
/// A path joins the keys of nested objects by dots. A list of scalars becomes one value joined by commas. A
/// list of objects becomes a `count` and the fields of each object, with its index in their paths. `null` is
/// left out.
pub(super) fn flatten(settings: &Value) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    append("", settings, &mut pairs);
    pairs
}

fn append(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                append(&join(path, key), field, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((join(path, "count"), items.len().to_string()));
            for (position, item) in items.iter().enumerate() {
                append(&join(path, &position.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let texts: Vec<String> = items.iter().map(plain_text).collect();
            pairs.push((path.to_owned(), texts.join(",")));
        }
        Value::Null => {}
        scalar => pairs.push((path.to_owned(), plain_text(scalar))),
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

/// Returns a scalar as text. Spaces and commas in strings are replaced by underscores, because they separate
/// values in the flat form.
fn plain_text(value: &Value) -> String {
    match value.as_str() {
        Some(text) => text.replace([' ', ','], "_"),
        None => value.to_string(),
    }
}

#[cfg(test)]
mod tests;
