//! The platform, with a list that changes and a discovery service that can go down.

use crate::world::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(2);

struct State {
    /// The records of the list, and the version in which each changed last.
    records: Vec<(u64, String)>,
    version: u64,
    /// The process of the service is dead: nothing listens, and its connections are reset.
    is_down: bool,
    /// The next answer with a change is written and lost on its way; then the service goes down.
    loses_change: bool,
    /// When an answer with the latest change was written, whether or not it arrived.
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
        let state = State { records, version: 1, is_down: false, loses_change: false, told_at: None };
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

    /// The service is back.
    pub fn recover(&self) {
        self.record.line("discovery: back");
        self.with(|state| state.is_down = false);
    }

    /// When an answer with the latest change was written.
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
        let known = parameter("index=");
        let end = Instant::now() + Duration::from_millis(parameter("wait=").unwrap_or(0));
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
        self.answer(stream, byte, known)
    }

    fn answer(&self, mut stream: TcpStream, mut byte: [u8; 1], known: Option<u64>) -> io::Result<()> {
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
            self.record.line(&format!("discovery: wrote {body}, which is lost; its process died"));
            return Ok(());
        }
        if has_change {
            self.record.line(&format!("discovery: wrote {body}"));
        }
        stream.read_exact(&mut byte)?;
        let length = body.len();
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}").as_bytes())
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
