//! Stores which endpoints have left service, for the next process.
//!
//! A process starts with the endpoint list in its configuration, which may be older than the last list that
//! an earlier process received. Without this file it would call endpoints that are known to drain.
//!
//! The file has one line: a CRC-32 in hexadecimal and a JSON object. A new file is renamed over it, so that a
//! process that is killed leaves either the old line or the new one.

use super::messages::endpoint_list::{EndpointList, EndpointRecord, LifecycleState};
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Name of the file in the state folder.
const FILE_NAME: &str = "departed";
/// Name of the file that is written and then renamed to [`FILE_NAME`].
const NEW_FILE_NAME: &str = "departed.new";
/// Maximum size of the file per MB of the disk limit. Two files of this size exist while one replaces the
/// other.
const BYTES_PER_DISK_MB: f64 = 1e4;
/// Upper bound of the bytes in the file beside the ids.
const MAX_OVERHEAD_BYTES: usize = 128;
/// Bytes that an id takes in the file beside its text: two quotation marks and a comma.
const ID_OVERHEAD_BYTES: usize = 3;
/// Delay after a failed write.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The content of the file. The serialized names are part of the file format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StoredDepartures {
    /// The highest revision of the lists recorded so far. A restarted discovery service counts from a lower
    /// one.
    revision: u64,
    /// The ids of the endpoints that have left service and have not returned, latest departure last.
    uids: VecDeque<String>,
}

/// Why the departures cannot be read from the file.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the file is damaged")]
    Damaged,
    #[error("unexpected content: {0}")]
    Json(#[from] serde_json::Error),
}

/// The endpoints that have left service, and the file that stores them.
pub(crate) struct DepartedEndpoints {
    folder: PathBuf,
    max_bytes: usize,
    departures: StoredDepartures,
    /// The ids in `departures`, as a set for fast lookup: lists have thousands of endpoints.
    uids: HashSet<String>,
    /// Whether there are changes that are not in the file.
    has_unsaved_changes: bool,
    /// After a failed write, when the next one is allowed.
    retry_at: Option<Instant>,
}

impl DepartedEndpoints {
    /// Reads the departures that earlier processes have stored in the state folder. An unreadable file counts
    /// as empty.
    pub(crate) fn open(folder: &Path, disk_mb: f64) -> Self {
        let departures = StoredDepartures::read(&folder.join(FILE_NAME)).unwrap_or_else(|error| {
            eprintln!("runtime: cannot read the endpoints that left service, assuming none: {error}");
            StoredDepartures::default()
        });
        DepartedEndpoints {
            folder: folder.to_owned(),
            max_bytes: (disk_mb * BYTES_PER_DISK_MB) as usize,
            uids: departures.uids.iter().cloned().collect(),
            departures,
            has_unsaved_changes: false,
            retry_at: None,
        }
    }

    /// Whether the revision of a list is lower than a recorded one. The list is then older, or comes from a
    /// restarted discovery service; the changes since its revision may be incomplete.
    pub(crate) fn is_older(&self, list: &EndpointList) -> bool {
        list.revision < self.departures.revision
    }

    /// Returns the list of the configuration. If it is older than the last recorded list, the departed
    /// endpoints in it are set to draining.
    pub(crate) fn update_known_list(&self, known: &EndpointList) -> EndpointList {
        let is_older = self.is_older(known);
        let update = |record: &EndpointRecord| {
            let mut record = record.clone();
            if is_older && record.state == LifecycleState::InService && self.contains(&record.uid) {
                record.state = LifecycleState::Terminating;
            }
            record
        };
        EndpointList {
            revision: known.revision,
            complete: known.complete,
            endpoints: known.endpoints.iter().map(update).collect(),
            invalid_records: known.invalid_records,
            invalid_record_uids: known.invalid_record_uids.clone(),
        }
    }

    /// Records a list from discovery, or changes to the list. `previously_in_service` are the ids of the
    /// endpoints that were in service before it.
    pub(crate) fn record<'a>(
        &mut self,
        list: &EndpointList,
        previously_in_service: impl Iterator<Item = &'a str>,
    ) {
        let in_service = |record: &&EndpointRecord| record.state == LifecycleState::InService;
        for record in list.endpoints.iter().filter(in_service) {
            self.remove(&record.uid);
        }
        let not_in_service = list.endpoints.iter().filter(|record| !in_service(record));
        for record in not_in_service {
            self.add(&record.uid);
        }
        list.invalid_record_uids.iter().for_each(|uid| self.add(uid));
        if list.complete {
            let present: HashSet<&str> = list.endpoints.iter().map(|record| record.uid.as_str()).collect();
            previously_in_service.filter(|uid| !present.contains(uid)).for_each(|uid| self.add(uid));
        }
        if !self.departures.uids.is_empty() {
            self.has_unsaved_changes |= self.departures.revision < list.revision;
        }
        self.departures.revision = self.departures.revision.max(list.revision);
        self.drop_oldest();
    }

    /// Writes the file if there are unsaved changes. A failed write is retried after [`RETRY_INTERVAL`]; only
    /// the first of consecutive failures is logged.
    pub(crate) fn save_if_changed(&mut self) {
        let now = Instant::now();
        if !self.has_unsaved_changes || self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        match self.departures.write(&self.folder) {
            Ok(()) => {
                self.has_unsaved_changes = false;
                self.retry_at = None;
            }
            Err(error) => {
                if self.retry_at.is_none() {
                    eprintln!("runtime: cannot store the endpoints that left service, retrying: {error}");
                }
                self.retry_at = Some(now + RETRY_INTERVAL);
            }
        }
    }

    fn contains(&self, uid: &str) -> bool {
        self.uids.contains(uid)
    }

    fn remove(&mut self, uid: &str) {
        if self.uids.remove(uid) {
            self.departures.uids.retain(|departed| departed != uid);
            self.has_unsaved_changes = true;
        }
    }

    fn add(&mut self, uid: &str) {
        if self.uids.insert(uid.to_owned()) {
            self.departures.uids.push_back(uid.to_owned());
            self.has_unsaved_changes = true;
        }
    }

    /// Drops the oldest departures until the file is within its limit. A list in a configuration is most
    /// likely to already reflect those.
    fn drop_oldest(&mut self) {
        let size = |uid: &String| uid.len() + ID_OVERHEAD_BYTES;
        let mut bytes = MAX_OVERHEAD_BYTES + self.departures.uids.iter().map(size).sum::<usize>();
        while bytes > self.max_bytes
            && let Some(oldest) = self.departures.uids.pop_front()
        {
            bytes -= size(&oldest);
            self.uids.remove(&oldest);
        }
    }
}

impl StoredDepartures {
    /// Reads the file. A missing file counts as empty.
    fn read(path: &Path) -> Result<Self, ReadError> {
        match fs::read_to_string(path) {
            Ok(content) => StoredDepartures::decode(&content),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(StoredDepartures::default()),
            Err(error) => Err(error.into()),
        }
    }

    fn decode(content: &str) -> Result<Self, ReadError> {
        let (checksum, json) = content.trim_end().split_once(' ').ok_or(ReadError::Damaged)?;
        if u32::from_str_radix(checksum, 16) != Ok(crc32fast::hash(json.as_bytes())) {
            return Err(ReadError::Damaged);
        }
        Ok(serde_json::from_str(json)?)
    }

    fn encode(&self) -> Result<String, serde_json::Error> {
        let json = serde_json::to_string(self)?;
        Ok(format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes())))
    }

    fn write(&self, folder: &Path) -> io::Result<()> {
        let new_file = folder.join(NEW_FILE_NAME);
        fs::write(&new_file, self.encode()?)?;
        fs::rename(new_file, folder.join(FILE_NAME))
    }
}

#[cfg(test)]
mod tests;
