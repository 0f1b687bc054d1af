//! The endpoints that the list has taken out of service, stored for the next process.
//!
//! A process starts with the list in its configuration, which may be older than the last one that the process before it
//! had. Without this file it would call endpoints that are known to drain.
//!
//! The file has one line: a CRC-32 in hexadecimal and a JSON object. It is replaced as a whole by a rename, so that a
//! process that is killed leaves either the old line or the new one.

use super::messages::endpoint_list::{EndpointList, EndpointRecord, LifecycleState};
use serde::{Deserialize, Serialize};
use std::collections::{HashSet, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// The name of the file in the state folder.
const FILE_NAME: &str = "departed";
/// The file that replaces it once it is complete.
const NEW_FILE_NAME: &str = "departed.new";
/// The file may have this many bytes for each MB of the disk limit. While it is replaced there are two of it.
const BYTES_PER_DISK_MB: f64 = 1e4;
/// What the file contains beside the ids, at most.
const FRAME_BYTES: usize = 128;
/// What an id takes in the file beside its text: quotation marks and a comma.
const ID_FRAME_BYTES: usize = 3;
/// The time between two writes that fail.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The content of the file. The serialized names are part of the file format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct StoredDepartures {
    /// The highest revision of a list so far. A service that has started again counts from a lower one.
    revision: u64,
    /// The ids of the endpoints that are not in service in it, the latest last.
    uids: VecDeque<String>,
}

/// Why the file cannot be read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("the file is damaged")]
    Damaged,
    #[error("unknown content: {0}")]
    Json(#[from] serde_json::Error),
}

/// Owns the file.
pub(crate) struct DepartedEndpoints {
    folder: PathBuf,
    max_bytes: usize,
    departures: StoredDepartures,
    /// The ids in `departures`: lists have thousands of endpoints.
    uids: HashSet<String>,
    /// Not all of it is stored.
    is_changed: bool,
    retry_at: Option<Instant>,
}

impl DepartedEndpoints {
    /// Reads what the process before has stored in the state folder. An unreadable file counts as empty.
    pub(crate) fn open(folder: &Path, disk_mb: f64) -> Self {
        let departures = StoredDepartures::read(&folder.join(FILE_NAME)).unwrap_or_else(|error| {
            eprintln!("runtime: the endpoints that left service are unknown: {error}");
            StoredDepartures::default()
        });
        DepartedEndpoints {
            folder: folder.to_owned(),
            max_bytes: (disk_mb * BYTES_PER_DISK_MB) as usize,
            uids: departures.uids.iter().cloned().collect(),
            departures,
            is_changed: false,
            retry_at: None,
        }
    }

    /// Whether a list is older than the last one that was recorded, or the service has started again since. Changes since
    /// its revision may not suffice then.
    pub(crate) fn is_older(&self, list: &EndpointList) -> bool {
        list.revision < self.departures.revision
    }

    /// The list of the configuration, in which the stored endpoints drain if it is older than they are.
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
            unreadable: known.unreadable,
            unreadable_uids: known.unreadable_uids.clone(),
        }
    }

    /// Records a list of the service, or changes to it. `listed` are the ids of the endpoints that were in service before.
    pub(crate) fn record<'a>(&mut self, list: &EndpointList, listed: impl Iterator<Item = &'a str>) {
        let in_service = |record: &&EndpointRecord| record.state == LifecycleState::InService;
        for record in list.endpoints.iter().filter(in_service) {
            self.remove(&record.uid);
        }
        let not_in_service = list.endpoints.iter().filter(|record| !in_service(record));
        for record in not_in_service {
            self.add(&record.uid);
        }
        list.unreadable_uids.iter().for_each(|uid| self.add(uid));
        if list.complete {
            let present: HashSet<&str> = list.endpoints.iter().map(|record| record.uid.as_str()).collect();
            listed.filter(|uid| !present.contains(uid)).for_each(|uid| self.add(uid));
        }
        if !self.departures.uids.is_empty() {
            self.is_changed |= self.departures.revision < list.revision;
        }
        self.departures.revision = self.departures.revision.max(list.revision);
        self.drop_oldest();
    }

    /// Writes the file if something has changed. While the folder fails, it is tried again from time to time.
    pub(crate) fn save_if_changed(&mut self) {
        let now = Instant::now();
        if !self.is_changed || self.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        match self.departures.write(&self.folder) {
            Ok(()) => {
                self.is_changed = false;
                self.retry_at = None;
            }
            Err(error) => {
                if self.retry_at.is_none() {
                    eprintln!("runtime: cannot store the endpoints that left service: {error}");
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
            self.is_changed = true;
        }
    }

    fn add(&mut self, uid: &str) {
        if self.uids.insert(uid.to_owned()) {
            self.departures.uids.push_back(uid.to_owned());
            self.is_changed = true;
        }
    }

    /// Keeps the file within its limit. The oldest departures are the first that a list in a configuration has too.
    fn drop_oldest(&mut self) {
        let size = |uid: &String| uid.len() + ID_FRAME_BYTES;
        let mut bytes = FRAME_BYTES + self.departures.uids.iter().map(size).sum::<usize>();
        while bytes > self.max_bytes
            && let Some(oldest) = self.departures.uids.pop_front()
        {
            bytes -= size(&oldest);
            self.uids.remove(&oldest);
        }
    }
}

impl StoredDepartures {
    /// Reads the file; nothing if there is none.
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
