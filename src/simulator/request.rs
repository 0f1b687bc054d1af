//! The requests of the simulator, parsed from the fields of a line.
//!
//! The names of lines and fields and the numbers of outcomes are part of the simulator's protocol. Lines and
//! fields with unknown names are ignored, so that a newer simulator can be served.

use crate::interface::{
    DestinationId, EndpointId, EndpointState, LoadReport, MessageHistory, MessageId, Micros, Outcome,
    Submission,
};
use crate::key_value::{FieldError, Fields, MAX_ABSOLUTE_TIME_MICROS};
use crate::settings_reader::{SettingNames, read_load_report};

/// The kinds of lines within a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestKind {
    /// Starts a catalog of endpoints, which [`CatalogRow`]s follow.
    Catalog,
    /// A row of the catalog that was started last.
    CatalogRow,
    /// Starts an instance with its settings.
    Boot,
    /// Ends an instance.
    Exit,
    /// An event for a running instance.
    Event(EventKind),
}

/// The kinds of events for an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventKind {
    Submit,
    ResponseStarted,
    AttemptEnded,
    ClientDisconnected,
    Wake,
    EndpointList,
}

impl RequestKind {
    /// Returns `None` for a name that this version does not know.
    pub(super) fn from_name(name: &str) -> Option<Self> {
        Some(match name {
            "CATALOG" => RequestKind::Catalog,
            "ROW" => RequestKind::CatalogRow,
            "BOOT" => RequestKind::Boot,
            "EXIT" => RequestKind::Exit,
            "SUBMIT" => RequestKind::Event(EventKind::Submit),
            "UNDER_WAY" => RequestKind::Event(EventKind::ResponseStarted),
            "RETURNED" => RequestKind::Event(EventKind::AttemptEnded),
            "CLIENT_LEFT" => RequestKind::Event(EventKind::ClientDisconnected),
            "RING" => RequestKind::Event(EventKind::Wake),
            "ENDPOINTS" => RequestKind::Event(EventKind::EndpointList),
            _ => return None,
        })
    }
}

/// The start of a catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CatalogHeader {
    /// The id by which [`EndpointListRequest`] refers to the catalog.
    pub(super) catalog_id: u64,
    /// Number of rows that follow.
    pub(super) rows: u64,
}

impl CatalogHeader {
    pub(super) fn parse(fields: &Fields) -> Result<Self, FieldError> {
        Ok(CatalogHeader { catalog_id: fields.integer("sheet")?, rows: fields.integer("entries")? })
    }
}

/// A row of a catalog. The zone and the kind are given by name, as their indices differ between instances.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CatalogRow {
    /// The endpoint.
    pub(super) endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub(super) destination: DestinationId,
    /// The name of the zone of the endpoint.
    pub(super) zone: String,
    /// The name of the kind of the destination.
    pub(super) kind: String,
    /// The state of the endpoint.
    pub(super) state: EndpointState,
    /// The weight of the endpoint, see [`crate::interface::EndpointWeights`].
    pub(super) weight: f64,
}

impl CatalogRow {
    pub(super) fn parse(fields: &Fields) -> Result<Self, FieldError> {
        Ok(CatalogRow {
            endpoint: fields.integer("target")?,
            destination: fields.integer("belongsTo")?,
            zone: fields.get("site").unwrap_or_default().to_owned(),
            kind: fields.get("flavor").unwrap_or_default().to_owned(),
            state: parse_state(fields)?,
            weight: fields.number("scale")?.unwrap_or(1.0),
        })
    }
}

fn parse_state(fields: &Fields) -> Result<EndpointState, FieldError> {
    match fields.required("availability")? {
        "SERVING" => Ok(EndpointState::Serving),
        "DRAINING" => Ok(EndpointState::Draining),
        "DELETED" => Ok(EndpointState::Deleted),
        other => Err(fields.invalid("availability", format!("unknown state {other:?}"))),
    }
}

/// An event for an instance. Messages are referred to by the ids that the simulator gave them.
#[derive(Debug)]
pub(super) enum EventRequest<'a> {
    /// A client submits a message.
    Submit(SubmitRequest<'a>),
    /// A streamed response has begun.
    ResponseStarted { wire_id: &'a str },
    /// An attempt ended.
    AttemptEnded(AttemptEndedRequest<'a>),
    /// The client has disconnected.
    ClientDisconnected { wire_id: &'a str },
    /// A wake-up that the instance requested is due.
    Wake,
    /// Discovery sent endpoints, or the subscription to it failed.
    EndpointList(EndpointListRequest),
}

/// A submitted message.
#[derive(Debug)]
pub(super) struct SubmitRequest<'a> {
    /// The simulator's id of the message.
    pub(super) wire_id: &'a str,
    /// Index of the class of the message.
    class: usize,
    /// Index of the tenant of the message, if the settings contain the tenant.
    tenant: Option<usize>,
    /// The ordering key of the message.
    key: Option<&'a str>,
    /// When the message expires.
    expires_at: Micros,
    destination: DestinationId,
}

impl SubmitRequest<'_> {
    /// Translates the request into a submission with the id that the instance chose.
    pub(super) fn submission(&self, id: MessageId) -> Submission {
        Submission {
            id,
            class: self.class,
            tenant: self.tenant,
            key: self.key.map(str::to_owned),
            expires_at: self.expires_at,
            destination: self.destination,
            batched_bytes: 0,
            client: None,
            history: MessageHistory::default(),
        }
    }
}

/// The end of an attempt.
#[derive(Debug)]
pub(super) struct AttemptEndedRequest<'a> {
    /// The simulator's id of the message.
    pub(super) wire_id: &'a str,
    /// Number of the attempt.
    pub(super) attempt: usize,
    /// How the attempt ended.
    pub(super) outcome: Outcome,
    /// Whether the message is complete: it needs no further attempt and no final reply.
    pub(super) finished: bool,
    /// Time since the attempt was sent, in microseconds.
    pub(super) elapsed: Micros,
    /// What the destination reported about its rate limit.
    pub(super) report: Option<LoadReport>,
}

/// An endpoint list from discovery, or the failure of the subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndpointListRequest {
    /// Changed entries, in the catalog with this id.
    Update { catalog_id: u64 },
    /// The complete list, in the catalog with this id.
    Snapshot { catalog_id: u64 },
    /// The subscription failed.
    WatchFailed,
}

impl<'a> EventRequest<'a> {
    /// Parses an event for an instance whose settings contain these names.
    pub(super) fn parse(
        kind: EventKind,
        fields: &Fields<'a>,
        names: &SettingNames,
    ) -> Result<Self, FieldError> {
        Ok(match kind {
            EventKind::Submit => EventRequest::Submit(parse_submit(fields, names)?),
            EventKind::ResponseStarted => EventRequest::ResponseStarted { wire_id: fields.required("ref")? },
            EventKind::AttemptEnded => EventRequest::AttemptEnded(parse_attempt_ended(fields, names)?),
            EventKind::ClientDisconnected => {
                EventRequest::ClientDisconnected { wire_id: fields.required("ref")? }
            }
            EventKind::Wake => EventRequest::Wake,
            EventKind::EndpointList => EventRequest::EndpointList(parse_endpoint_list(fields)?),
        })
    }
}

fn parse_submit<'a>(fields: &Fields<'a>, names: &SettingNames) -> Result<SubmitRequest<'a>, FieldError> {
    let class_name = fields.required("priority")?;
    let class = names
        .classes
        .index_of(class_name)
        .ok_or_else(|| fields.invalid("priority", format!("unknown class {class_name:?}")))?;
    Ok(SubmitRequest {
        class,
        tenant: fields.get("clientGroup").and_then(|tenant| names.tenants.index_of(tenant)),
        key: fields.get("partitionKey").filter(|key| !key.is_empty()),
        expires_at: fields.required_time("giveUpAt")?,
        destination: fields.integer("calledNode")?,
        wire_id: fields.required("ref")?,
    })
}

fn parse_attempt_ended<'a>(
    fields: &Fields<'a>,
    names: &SettingNames,
) -> Result<AttemptEndedRequest<'a>, FieldError> {
    Ok(AttemptEndedRequest {
        attempt: fields.integer("go")? as usize,
        outcome: parse_outcome(fields)?,
        finished: fields.flag("finished")?,
        elapsed: fields.time("elapsed")?.unwrap_or(0),
        report: parse_report(fields, names)?,
        wire_id: fields.required("ref")?,
    })
}

fn parse_outcome(fields: &Fields) -> Result<Outcome, FieldError> {
    Ok(match fields.integer("how")? {
        0 => Outcome::Delivered,
        255 => Outcome::Error,
        254 => Outcome::Rejected { retry_after: parse_retry_after(fields)? },
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        other => return Err(fields.invalid("how", format!("unknown outcome {other}"))),
    })
}

/// Parses the wait of a rejection, which is in milliseconds. Fractions of a microsecond are truncated.
fn parse_retry_after(fields: &Fields) -> Result<Option<Micros>, FieldError> {
    let wait_ms = fields.number("detail")?.filter(|wait_ms| *wait_ms > 0.0);
    Ok(wait_ms.map(|wait_ms| (wait_ms.min(MAX_ABSOLUTE_TIME_MICROS / 1e3) * 1e3) as Micros))
}

/// Parses a load report: values separated by commas, in the order of the report fields in the settings.
fn parse_report(fields: &Fields, names: &SettingNames) -> Result<Option<LoadReport>, FieldError> {
    let Some(text) = fields.get("healthInfo").filter(|text| !text.is_empty() && *text != "-") else {
        return Ok(None);
    };
    let values = names.report_fields.iter().zip(text.split(','));
    match read_load_report(values) {
        Some(report) => Ok(Some(report)),
        None => Err(fields.invalid("healthInfo", format!("cannot parse {text:?}"))),
    }
}

fn parse_endpoint_list(fields: &Fields) -> Result<EndpointListRequest, FieldError> {
    match fields.required("mode")? {
        "patch" => Ok(EndpointListRequest::Update { catalog_id: fields.integer("sheet")? }),
        "whole" | "stale_copy" => Ok(EndpointListRequest::Snapshot { catalog_id: fields.integer("sheet")? }),
        "broken" => Ok(EndpointListRequest::WatchFailed),
        other => Err(fields.invalid("mode", format!("unknown mode {other:?}"))),
    }
}
