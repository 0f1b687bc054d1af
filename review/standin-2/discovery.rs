//! The platform, with a list that changes and a discovery service that can go down.

use crate::world::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// How long a call waits for its turn at a crowded service until it ends in 503 (`timeout_ms` of the site).
const LONGEST_QUEUE: Duration = Duration::from_secs(1);

struct State {
    /// The records of the list, and the version in which each changed last.
    records: Vec<(u64, String)>,
    version: u64,
    /// The process of the service is dead: nothing listens, and its connections are reset.
    is_down: bool,
    /// The next answer with a change is written and lost on its way; then the service goes down.
    loses_change: bool,
    /// The record that replaces the first one right after the next watch was answered without a change.
    change_after_watch: Option<String>,
    /// How long the service is crowded from that change on, and until when it is.
    crowd: Duration,
    crowded_until: Option<Instant>,
    /// When the latest change was told: an answer with it was written, whether or not it arrived, or the
    /// change was made between two calls of a watch.
    told_at: Option<Instant>,
}

/// The platform.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Platform {
    /// Starts with a list of these records, all of version 1.
    pub fn start(host: &str, records: Vec<String>, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let records = records.into_iter().map(|record| (1, record)).collect();
        let state = State {
            records,
            version: 1,
            is_down: false,
            loses_change: false,
            change_after_watch: None,
            crowd: Duration::ZERO,
            crowded_until: None,
            told_at: None,
        };
        let platform = Platform { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        let accepting = platform.clone();
        thread::spawn(move || accepting.accept(listener));
        Ok(platform)
    }

    fn with<T>(&self, access: impl FnOnce(&mut State) -> T) -> T {
        access(&mut self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner()))
    }

    /// Replaces the record at this index by a new one, in a new version of the list.
    pub fn change(&self, index: usize, new: String) {
        self.record.line(&format!("discovery: changes {new}"));
        self.with(|state| {
            state.version += 1;
            state.records[index] = (state.version, new);
        });
    }

    /// From now on, the next answer with a change is lost and the service goes down with it.
    pub fn lose_next_change(&self) {
        self.with(|state| state.loses_change = true);
    }

    /// Replaces the first record between the next answer to a watch without a change and the call that
    /// continues this watch. From then on the service is crowded for a while.
    pub fn change_between_watches(&self, new: String, crowd: Duration) {
        self.with(|state| {
            state.change_after_watch = Some(new);
            state.crowd = crowd;
        });
    }

    /// The service is back.
    pub fn recover(&self) {
        self.record.line("discovery: back");
        self.with(|state| state.is_down = false);
    }

    /// When the latest change was told.
    pub fn told_at(&self) -> Option<Instant> {
        self.with(|state| state.told_at)
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.with(|state| state.is_down) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let platform = self.clone();
                    thread::spawn(move || platform.serve(stream));
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Serves one call. The last byte of its head is read only before an orderly end: a connection that is
    /// dropped before is reset.
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r") {
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/v1/notices" {
            return self.take_notices(stream, &head);
        }
        let parameter = |name: &str| -> Option<u64> {
            let value = path.split(['?', '&']).find_map(|part| part.strip_prefix(name))?;
            value.parse().ok()
        };
        let is_crowded = self.with(|state| state.crowded_until.is_some_and(|until| Instant::now() < until));
        if is_crowded {
            self.record.line(&format!("discovery: {path} waits its turn"));
            thread::sleep(LONGEST_QUEUE);
            self.record.line(&format!("discovery: {path} has waited too long"));
            stream.read_exact(&mut byte)?;
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        let known = parameter("index=");
        let wait = parameter("wait=").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            let (version, is_down) = self.with(|state| (state.version, state.is_down));
            if is_down {
                // The dead process resets the connection.
                return Ok(());
            }
            if known.is_none_or(|known| known < version) || Instant::now() >= end {
                break;
            }
            thread::sleep(POLL_INTERVAL);
        }
        self.answer(stream, byte, known, wait > 0)
    }

    fn answer(
        &self,
        mut stream: TcpStream,
        mut byte: [u8; 1],
        known: Option<u64>,
        is_watch: bool,
    ) -> io::Result<()> {
        let (body, has_change, is_lost) = self.with(|state| {
            let is_new = |(version, _): &&(u64, String)| known.is_none_or(|known| *version > known);
            let records: Vec<&str> =
                state.records.iter().filter(is_new).map(|(_, record)| record.as_str()).collect();
            let has_change = state.version > 1 && !records.is_empty();
            let is_lost = has_change && state.loses_change;
            if has_change {
                state.told_at.get_or_insert_with(Instant::now);
            }
            state.is_down |= is_lost;
            state.loses_change &= !is_lost;
            let (version, all) = (state.version, known.is_none());
            (
                format!("{{\"rev\":{version},\"all\":{all},\"targets\":[{}]}}", records.join(",")),
                has_change,
                is_lost,
            )
        });
        if is_lost {
            self.record.line(&format!(
                "discovery: wrote {body} and died; the network lost the answer and reset the connection"
            ));
            return Ok(());
        }
        if has_change {
            self.record.line(&format!("discovery: wrote {body}"));
        }
        let ends_watch = !has_change && known.is_some() && is_watch;
        if ends_watch {
            // The next call finds the service crowded, however soon it comes.
            self.with(|state| {
                if state.change_after_watch.is_some() {
                    state.crowded_until = Some(Instant::now() + state.crowd);
                }
            });
        }
        stream.read_exact(&mut byte)?;
        let length = body.len();
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes())?;
        if ends_watch {
            self.change_if_planned();
        }
        Ok(())
    }

    /// Makes the change that was planned for the moment after the answer to a watch.
    fn change_if_planned(&self) {
        let changed = self.with(|state| {
            let new = state.change_after_watch.take()?;
            state.version += 1;
            state.records[0] = (state.version, new.clone());
            state.told_at = Some(Instant::now());
            Some(new)
        });
        if let Some(new) = changed {
            self.record.line(&format!("discovery: changes {new} between two calls of a watch"));
        }
    }

    fn take_notices(&self, mut stream: TcpStream, head: &str) -> io::Result<()> {
        let lower = head.to_ascii_lowercase();
        let length = lower.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
        let mut body = vec![0; 1 + length.unwrap_or(0)];
        stream.read_exact(&mut body)?;
        for line in String::from_utf8_lossy(&body[1..]).lines() {
            self.record.line(&format!("platform: notice {line}"));
        }
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
    }
}
