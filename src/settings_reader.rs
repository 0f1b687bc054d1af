//! Reads the settings of a sender, and load reports, from `name=value` fields.

use crate::interface::{
    Class, DestinationKind, EndpointWeights, Idempotency, LoadReport, Micros, Settings, Tenant, WeightDecay,
};
use crate::key_value::{FieldError, Fields};

/// Name of the value in a load report that carries the rate limit.
const REPORTED_LIMIT: &str = "x1";

/// The names by which configurations and requests refer to what the interface numbers. The position of a name
/// is its number.
#[derive(Clone, Default)]
pub(crate) struct SettingNames {
    /// The classes of messages.
    pub(crate) classes: Vec<String>,
    /// The tenants.
    pub(crate) tenants: Vec<String>,
    /// The zones.
    pub(crate) zones: Vec<String>,
    /// The kinds of destinations.
    pub(crate) kinds: Vec<String>,
    /// The values of a load report, in the order in which destinations send them.
    pub(crate) report: Vec<String>,
}

/// Returns the number of a name.
pub(crate) fn index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

/// Reads settings from paths and values of any origin.
pub(crate) fn settings_from(pairs: &[(String, String)]) -> Result<(Settings, SettingNames), FieldError> {
    let pairs = pairs.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    read_settings(&SettingsReader { fields: &Fields::new(0, pairs) })
}

/// Reads a load report from names and values. Returns `None` if a value is not a number.
pub(crate) fn read_report<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Option<LoadReport> {
    let mut report = LoadReport { limit: None };
    for (name, value) in values {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite())?;
        if name == REPORTED_LIMIT {
            report.limit = Some(value).filter(|limit| *limit > 0.0);
        }
    }
    Some(report)
}

/// Settings by path. Elements of a list have their position in the path, as in `classes.0.name`.
pub(crate) struct SettingsReader<'a> {
    /// The paths and values.
    pub(crate) fields: &'a Fields<'a>,
}

impl<'a> SettingsReader<'a> {
    fn list(&self, name: &str) -> Vec<&'a str> {
        let items = self.fields.get(name).unwrap_or_default().split(',');
        items.filter(|item| !item.is_empty()).collect()
    }

    fn names(&self, name: &str) -> Vec<String> {
        self.list(name).into_iter().map(str::to_owned).collect()
    }

    fn numbers(&self, name: &str) -> Result<Vec<f64>, FieldError> {
        self.list(name)
            .iter()
            .map(|item| item.parse::<f64>().ok().filter(|number| number.is_finite()))
            .collect::<Option<_>>()
            .ok_or_else(|| self.fields.invalid(name, "expected numbers set apart by commas"))
    }

    /// Reads a time; zero if it is absent.
    fn time(&self, name: &str) -> Result<Micros, FieldError> {
        Ok(self.fields.time(name)?.unwrap_or(0))
    }

    fn count_or(&self, name: &str, default: usize) -> Result<usize, FieldError> {
        Ok(self.fields.number(name)?.map_or(default, |number| number.max(0.0) as usize))
    }

    fn number_or(&self, name: &str, default: f64) -> Result<f64, FieldError> {
        Ok(self.fields.number(name)?.unwrap_or(default))
    }
}

/// Reads the settings of a sender. An absent setting has its neutral value; the names and the idempotency of
/// classes and the names of tenants must be present.
pub(crate) fn read_settings(reader: &SettingsReader) -> Result<(Settings, SettingNames), FieldError> {
    let mut names = SettingNames {
        zones: reader.names("zones"),
        kinds: reader.names("kinds"),
        report: reader.names("report.fields"),
        ..SettingNames::default()
    };
    let fields = reader.fields;
    let settings = Settings {
        classes: read_classes(reader, &mut names.classes)?,
        tenants: read_tenants(reader, &mut names.tenants)?,
        kinds: read_kinds(reader, names.kinds.len())?,
        over_quota_weight: reader.number_or("overShareWorth", 1.0)?,
        weight_decay: read_weight_decay(fields)?,
        zone: fields.get("zone").and_then(|zone| index(&names.zones, zone)).unwrap_or(usize::MAX),
        sender_count: reader.count_or("peersTotal", 1)?,
        call_slots: reader.count_or("familyInfo.slots", usize::MAX)?,
        max_open_messages: reader.count_or("limits.openCap", usize::MAX)?,
        max_attempts: reader.count_or("limits.maxAttempts", usize::MAX)?,
        cancellation: fields.flag("limits.cancel")?,
        retry_after: fields.flag("limits.retryAfter")?,
        max_retry_after: reader.time("limits.maxRetryAfter")?,
        poll_discovery: read_poll_discovery(fields)?,
        max_list_age: reader.time("guarantees.askWithin")?,
        endpoint_weights: read_endpoint_weights(fields),
        idle_timeout: reader.time("limits.idleClose")?,
        connect_timeout: reader.time("limits.connectTimeout")?,
        min_turn_interval: reader.time("round")?,
        overload_factor: reader.number_or("guarantees.fallMultiple", 1.0)?,
        overload_window: reader.time("guarantees.overloadFor")?,
        initial_capacity: reader.number_or("guarantees.startCapacity", 0.0)?,
        warm_up_time: reader.time("guarantees.warmAfter")?,
        ordering_gap: reader.time("guarantees.turnGap")?,
    };
    Ok((settings, names))
}

fn read_classes(reader: &SettingsReader, names: &mut Vec<String>) -> Result<Vec<Class>, FieldError> {
    (0..reader.count_or("classes.count", 0)?)
        .map(|number| {
            let path = |setting: &str| format!("classes.{number}.{setting}");
            let idempotency = read_idempotency(reader, path)?;
            names.push(reader.fields.required(&path("name"))?.to_owned());
            Ok(Class {
                idempotency,
                latency_objective: reader.time(&path("goalTime"))?,
                deadline: reader.time(&path("deadline"))?,
                priority_weight: reader.number_or(&path("worth"), 1.0)?,
                late_weight_fraction: reader.number_or(&path("lateShare"), 0.0)?,
                ordered: reader.fields.flag(&path("sequential"))?,
            })
        })
        .collect()
}

/// Reads the idempotency of the class whose settings are at `path`.
fn read_idempotency(
    reader: &SettingsReader,
    path: impl Fn(&str) -> String,
) -> Result<Idempotency, FieldError> {
    let fields = reader.fields;
    match fields.required(&path("idempotency"))? {
        "pure" => Ok(Idempotency::Idempotent),
        "side_effect" => Ok(Idempotency::NotIdempotent),
        "token" => {
            let per_zone = read_key_scope(fields, &path("dedupScope"))?;
            Ok(Idempotency::Keyed { key_lifetime: reader.time(&path("keyTtl"))?, per_zone })
        }
        other => Err(fields.invalid(&path("idempotency"), format!("unknown kind {other:?}"))),
    }
}

/// Reads whether only endpoints of one zone share their memory of idempotency keys.
fn read_key_scope(fields: &Fields, path: &str) -> Result<bool, FieldError> {
    match fields.get(path) {
        Some("all") => Ok(false),
        None | Some("zone" | "cell") => Ok(true),
        Some(other) => Err(fields.invalid(path, format!("unknown scope {other:?}"))),
    }
}

fn read_tenants(reader: &SettingsReader, names: &mut Vec<String>) -> Result<Vec<Tenant>, FieldError> {
    (0..reader.count_or("realms.count", 0)?)
        .map(|number| {
            names.push(reader.fields.required(&format!("realms.{number}.name"))?.to_owned());
            Ok(Tenant { quota: reader.number_or(&format!("realms.{number}.quotaRps"), f64::MAX)? })
        })
        .collect()
}

fn read_kinds(reader: &SettingsReader, count: usize) -> Result<Vec<DestinationKind>, FieldError> {
    let separate_routes = reader.list("familyInfo.kindApart");
    let batch = reader.numbers("familyInfo.batchByKind")?;
    let kind = |number: usize| DestinationKind {
        separate_routes: matches!(separate_routes.get(number), Some(&("true" | "1"))),
        batch: batch.get(number).map_or(1, |size: &f64| size.max(1.0) as usize),
    };
    Ok((0..count).map(kind).collect())
}

fn read_weight_decay(fields: &Fields) -> Result<WeightDecay, FieldError> {
    match fields.get("familyInfo.decay") {
        Some("halves") => Ok(WeightDecay::HalfLife),
        None | Some("line") => Ok(WeightDecay::Linear),
        Some(other) => Err(fields.invalid("familyInfo.decay", format!("unknown decay {other:?}"))),
    }
}

fn read_poll_discovery(fields: &Fields) -> Result<bool, FieldError> {
    match fields.get("discovery") {
        Some("ask") => Ok(true),
        None | Some("push") => Ok(false),
        Some(other) => Err(fields.invalid("discovery", format!("unknown mode {other:?}"))),
    }
}

fn read_endpoint_weights(fields: &Fields) -> EndpointWeights {
    match fields.get("weights") {
        Some("nominal") => EndpointWeights::Nominal,
        Some("rough") => EndpointWeights::Approximate,
        _ => EndpointWeights::Off,
    }
}
