//! Parses the settings of a sender, and the load reports of endpoints, from `name=value` fields.
//!
//! The names of the fields are part of the configuration file and of the simulator's protocol, and must not
//! change.

use crate::interface::{
    Class, DestinationKind, EndpointWeights, Idempotency, LoadReport, Micros, Settings, Tenant, WeightDecay,
};
use crate::key_value::{FieldError, Fields};
use std::ops::Index;

/// Name of the value in a load report that holds the rate limit, in calls per second.
const RATE_LIMIT_FIELD: &str = "x1";

/// The index of a name that the settings do not contain. No list is long enough to have an element with this
/// index.
pub(crate) const UNKNOWN_INDEX: usize = usize::MAX;

/// Names from the settings, for example those of the classes. [`crate::interface`] uses the indices of the
/// names.
#[derive(Clone, Default)]
pub(crate) struct NameList(Vec<String>);

impl NameList {
    /// Returns the index of a name, or `None` if the list does not contain it.
    pub(crate) fn index_of(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|other| other == name)
    }

    /// Returns the names in the order of their indices.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Returns whether the list contains no name.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<String> for NameList {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        NameList(names.into_iter().collect())
    }
}

impl Extend<String> for NameList {
    fn extend<I: IntoIterator<Item = String>>(&mut self, names: I) {
        self.0.extend(names);
    }
}

impl Index<usize> for NameList {
    type Output = String;

    fn index(&self, index: usize) -> &String {
        &self.0[index]
    }
}

/// The names that configurations and requests use where [`crate::interface`] uses indices.
#[derive(Clone, Default)]
pub(crate) struct SettingNames {
    /// The classes of messages.
    pub(crate) classes: NameList,
    /// The tenants.
    pub(crate) tenants: NameList,
    /// The zones.
    pub(crate) zones: NameList,
    /// The kinds of destinations.
    pub(crate) kinds: NameList,
    /// The values of a load report, in the order in which the simulator lists them.
    pub(crate) report_fields: NameList,
}

/// Reads settings from paths and values that do not come from a line of the simulator's protocol.
///
/// # Errors
///
/// See [`read_settings`].
pub(crate) fn settings_from_pairs(
    pairs: &[(String, String)],
) -> Result<(Settings, SettingNames), FieldError> {
    let pairs = pairs.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
    read_settings(&Fields::from_pairs(pairs))
}

/// Reads a load report from names and values, or returns `None` if a value is not a finite number. Values
/// with unknown names are checked but not used.
pub(crate) fn read_load_report<'a>(values: impl Iterator<Item = (&'a str, &'a str)>) -> Option<LoadReport> {
    let mut report = LoadReport { limit: None };
    for (name, value) in values {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite())?;
        if name == RATE_LIMIT_FIELD {
            // Zero and negative values mean that there is no limit.
            report.limit = Some(value).filter(|limit| *limit > 0.0);
        }
    }
    Some(report)
}

/// Reads settings by their paths. The path of a list element contains its index, as in `classes.0.name`.
struct SettingsReader<'a> {
    /// The paths and values.
    fields: &'a Fields<'a>,
}

impl<'a> SettingsReader<'a> {
    /// Reads values that are separated by commas. An absent setting has no values.
    fn list(&self, name: &str) -> Vec<&'a str> {
        let items = self.fields.get(name).unwrap_or_default().split(',');
        items.filter(|item| !item.is_empty()).collect()
    }

    fn names(&self, name: &str) -> NameList {
        self.list(name).into_iter().map(str::to_owned).collect()
    }

    fn numbers(&self, name: &str) -> Result<Vec<f64>, FieldError> {
        self.list(name)
            .iter()
            .map(|item| item.parse::<f64>().ok().filter(|number| number.is_finite()))
            .collect::<Option<_>>()
            .ok_or_else(|| self.fields.invalid(name, "expected numbers separated by commas"))
    }

    /// Reads a time, which is 0 if the setting is absent.
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

/// Reads the settings of a sender. An absent setting gets its neutral value, see [`Settings::default`].
///
/// # Errors
///
/// A value cannot be parsed, or the name or idempotency of a class or the name of a tenant is missing.
pub(crate) fn read_settings(fields: &Fields) -> Result<(Settings, SettingNames), FieldError> {
    let reader = &SettingsReader { fields };
    let (class_names, classes) = read_classes(reader)?;
    let (tenant_names, tenants) = read_tenants(reader)?;
    let names = SettingNames {
        classes: class_names,
        tenants: tenant_names,
        zones: reader.names("zones"),
        kinds: reader.names("kinds"),
        report_fields: reader.names("report.fields"),
    };
    let settings = Settings {
        classes,
        tenants,
        kinds: read_kinds(reader, names.kinds.iter().count())?,
        over_quota_weight: reader.number_or("overShareWorth", 1.0)?,
        weight_decay: read_weight_decay(fields)?,
        zone: fields.get("zone").and_then(|zone| names.zones.index_of(zone)).unwrap_or(UNKNOWN_INDEX),
        sender_count: reader.count_or("peersTotal", 1)?,
        call_slots: reader.count_or("familyInfo.slots", usize::MAX)?,
        max_open_messages: reader.count_or("limits.openCap", usize::MAX)?,
        max_attempts: reader.count_or("limits.maxAttempts", usize::MAX)?,
        cancellation: fields.flag("limits.cancel")?,
        retry_after: fields.flag("limits.retryAfter")?,
        max_retry_after: reader.time("limits.maxRetryAfter")?,
        poll_discovery: read_poll_discovery(fields)?,
        max_list_age: reader.time("guarantees.askWithin")?,
        drain_grace: reader.time("guarantees.stopSendingWithin")?,
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

/// Reads the classes and their names.
fn read_classes(reader: &SettingsReader) -> Result<(NameList, Vec<Class>), FieldError> {
    let named_classes = (0..reader.count_or("classes.count", 0)?)
        .map(|number| {
            let path = |setting: &str| format!("classes.{number}.{setting}");
            let idempotency = read_idempotency(reader, path)?;
            let name = reader.fields.required(&path("name"))?.to_owned();
            let class = Class {
                idempotency,
                latency_objective: reader.time(&path("goalTime"))?,
                deadline: reader.time(&path("deadline"))?,
                priority_weight: reader.number_or(&path("worth"), 1.0)?,
                late_weight_fraction: reader.number_or(&path("lateShare"), 0.0)?,
                ordered: reader.fields.flag(&path("sequential"))?,
            };
            Ok((name, class))
        })
        .collect::<Result<Vec<_>, FieldError>>()?;
    Ok(named_classes.into_iter().unzip())
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
        other => Err(fields.invalid(&path("idempotency"), format!("unknown idempotency {other:?}"))),
    }
}

/// Reads whether an idempotency key is known only to the endpoints of the zone that received it.
/// See [`Idempotency::Keyed`].
fn read_key_scope(fields: &Fields, path: &str) -> Result<bool, FieldError> {
    match fields.get(path) {
        Some("all") => Ok(false),
        None | Some("zone" | "cell") => Ok(true),
        Some(other) => Err(fields.invalid(path, format!("unknown scope {other:?}"))),
    }
}

/// Reads the tenants and their names.
fn read_tenants(reader: &SettingsReader) -> Result<(NameList, Vec<Tenant>), FieldError> {
    let named_tenants = (0..reader.count_or("realms.count", 0)?)
        .map(|number| {
            let name = reader.fields.required(&format!("realms.{number}.name"))?.to_owned();
            let quota = reader.number_or(&format!("realms.{number}.quotaRps"), f64::MAX)?;
            Ok((name, Tenant { quota }))
        })
        .collect::<Result<Vec<_>, FieldError>>()?;
    Ok(named_tenants.into_iter().unzip())
}

/// Reads the kinds of destinations. Each setting is a list with one value per kind, in the order of their
/// names.
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
