//! Runs all instances of a simulated fleet in one process.

use super::instance::Instance;
use super::request::{CatalogHeader, CatalogRow, EndpointListRequest, EventKind, EventRequest, RequestKind};
use crate::interface::{EndpointEntry, Event, Micros};
use crate::key_value::{FieldError, Fields};
use crate::settings_reader::{SettingNames, UNKNOWN_INDEX};
use std::collections::BTreeMap;

/// The instances, and the catalogs of endpoints that they share.
#[derive(Default)]
pub(super) struct Host {
    now: Micros,
    instances: BTreeMap<u64, Instance>,
    /// Catalogs by their ids.
    catalogs: BTreeMap<u64, Vec<CatalogRow>>,
    /// The catalog that was started last. `rows` is the number of its rows that have not arrived yet.
    open_catalog: Option<CatalogHeader>,
    /// The instances named in the current frame, in the order of their first mention, which is also their
    /// order in the reply.
    instances_in_frame: Vec<u64>,
}

impl Host {
    /// Sets the time of the requests that follow.
    pub(super) fn set_time(&mut self, now: Micros) {
        self.now = now;
    }

    /// Handles one line of a frame.
    pub(super) fn handle(&mut self, name: &str, fields: &Fields) -> Result<(), FieldError> {
        match RequestKind::from_name(name) {
            Some(RequestKind::Catalog) => self.start_catalog(CatalogHeader::parse(fields)?),
            Some(RequestKind::CatalogRow) => self.add_catalog_row(fields)?,
            Some(RequestKind::Boot) => self.boot(fields)?,
            Some(RequestKind::Exit) => self.exit(fields.integer("forwarder")?),
            Some(RequestKind::Event(kind)) => self.handle_event(kind, fields)?,
            None => {}
        }
        Ok(())
    }

    /// Ends the turn of each instance that the frame named, and returns the lines of the reply.
    pub(super) fn reply(&mut self) -> String {
        let mut reply = String::new();
        for number in std::mem::take(&mut self.instances_in_frame) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.end_turn(self.now);
                instance.write_actions(number, &mut reply);
            }
        }
        reply
    }

    fn start_catalog(&mut self, header: CatalogHeader) {
        self.catalogs.insert(header.catalog_id, Vec::new());
        self.open_catalog = Some(header);
    }

    fn add_catalog_row(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let Some(header) = self.open_catalog.as_mut().filter(|header| header.rows > 0) else {
            return Err(fields.invalid("ROW", "no catalog expects another row"));
        };
        let row = CatalogRow::parse(fields)?;
        self.catalogs.entry(header.catalog_id).or_default().push(row);
        header.rows -= 1;
        Ok(())
    }

    fn boot(&mut self, fields: &Fields) -> Result<(), FieldError> {
        let number = fields.integer("forwarder")?;
        let instance = Instance::boot(fields)?;
        self.instances.insert(number, instance);
        self.add_to_reply(number);
        Ok(())
    }

    fn exit(&mut self, number: u64) {
        self.instances.remove(&number);
        self.instances_in_frame.retain(|other| *other != number);
    }

    fn handle_event(&mut self, kind: EventKind, fields: &Fields) -> Result<(), FieldError> {
        let number = fields.integer("forwarder")?;
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(fields.invalid("forwarder", format!("no instance {number}")));
        };
        let now = self.now;
        match EventRequest::parse(kind, fields, instance.names())? {
            EventRequest::Submit(request) => instance.submit(now, &request),
            EventRequest::ResponseStarted { wire_id } => instance.response_started(now, wire_id),
            EventRequest::AttemptEnded(request) => instance.attempt_ended(now, &request, fields)?,
            EventRequest::ClientDisconnected { wire_id } => instance.client_disconnected(now, wire_id),
            EventRequest::Wake => instance.handle(now, Event::Wake),
            EventRequest::EndpointList(request) => {
                let event = list_event(&self.catalogs, request, instance.names(), fields)?;
                instance.handle(now, event);
            }
        }
        self.add_to_reply(number);
        Ok(())
    }

    fn add_to_reply(&mut self, number: u64) {
        if !self.instances_in_frame.contains(&number) {
            self.instances_in_frame.push(number);
        }
    }
}

/// Translates a request that refers to a catalog into an event with the rows of that catalog.
fn list_event(
    catalogs: &BTreeMap<u64, Vec<CatalogRow>>,
    request: EndpointListRequest,
    names: &SettingNames,
    fields: &Fields,
) -> Result<Event, FieldError> {
    let entries = |catalog_id: u64| {
        let rows = catalogs
            .get(&catalog_id)
            .ok_or_else(|| fields.invalid("sheet", format!("no catalog numbered {catalog_id}")))?;
        Ok(rows.iter().map(|row| endpoint_entry(row, names)).collect())
    };
    Ok(match request {
        EndpointListRequest::Update { catalog_id } => Event::ListUpdate(entries(catalog_id)?),
        EndpointListRequest::Snapshot { catalog_id } => Event::ListSnapshot(entries(catalog_id)?),
        EndpointListRequest::WatchFailed => Event::WatchFailed,
    })
}

/// Replaces the names of the zone and the kind of a row by their indices. A name that is not in the settings
/// gets [`UNKNOWN_INDEX`].
fn endpoint_entry(row: &CatalogRow, names: &SettingNames) -> EndpointEntry {
    EndpointEntry {
        endpoint: row.endpoint,
        destination: row.destination,
        zone: names.zones.index_of(&row.zone).unwrap_or(UNKNOWN_INDEX),
        kind: names.kinds.index_of(&row.kind).unwrap_or(UNKNOWN_INDEX),
        state: row.state,
        weight: row.weight,
    }
}
