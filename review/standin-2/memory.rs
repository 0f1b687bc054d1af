//! Peers that stop half way through a request: the forwarder has to stay within its memory.

use crate::world::{self, Record, Setup};
use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The limits of the case: the least memory and the most descriptors that a forwarder is given.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// How many peers are connected at a time. Each that was answered or closed is followed by another one.
const PEERS: usize = 640;
const DURATION: Duration = Duration::from_secs(12);
/// The headers that a peer sends beside those of a message, and the length of each value.
const EXTRA_HEADERS: usize = 90;
const VALUE_BYTES: usize = 160;

/// Runs the case. Returns whether the rule was kept.
pub fn run(record: &str, trouble: bool) -> Result<bool, String> {
    let record = Record::create(record)?;
    let endpoint = world::start_endpoint("127.61.0.2", &record)?;
    let known = world::list(endpoint);
    let discovery = world::start_platform("127.61.0.3", known.clone(), &record)?;
    let listen = world::free_address("127.61.0.1")?;
    let setup = Setup { listen, discovery, known, memory_mb: MEMORY_MB, sockets: SOCKETS };
    let process = world::start_forwarder(&setup, &record)?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients = start_clients(listen, &record, &stop);
    let peers = trouble.then(|| start_peers(listen, &record, &stop));
    let highest_kib = watch_memory(process, &record)?;
    stop.store(true, Relaxed);
    clients.join().map_err(|_| "a client failed")?;
    if let Some(peers) = peers {
        peers.join().map_err(|_| "a peer failed")?;
    }
    let kept = highest_kib <= MEMORY_MB * 1024;
    let (highest, verdict) = (highest_kib as f64 / 1024.0, if kept { "kept" } else { "BROKEN" });
    record
        .line(&format!("rule {verdict}: at most {highest:.1} MiB of {MEMORY_MB} in use, without file pages"));
    Ok(kept)
}

/// Ten requests a second, each on a connection of its own.
fn start_clients(address: SocketAddr, record: &Record, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Relaxed) {
                return;
            }
            let answer = world::request(address, &world::notice(number));
            record.line(&format!("client: {number:016x} answered with {answer:?}"));
            thread::sleep(Duration::from_millis(100));
        }
    })
}

/// What each peer sends: the complete head of a request, and nothing of its body.
fn half_request(number: usize) -> Vec<u8> {
    let mut text = format!(
        "POST /notice HTTP/1.1\r\nHost: api.internal\r\nReq-Id: peer-{number}\r\nReq-Deadline-Ms: 480\r\n\
         Idempotency-Key: peer-{number}\r\nEnvelope: dest=7\r\nContent-Length: 900\r\n"
    );
    for header in 0..EXTRA_HEADERS {
        text += &format!("Extra-{header:03}: {}\r\n", "y".repeat(VALUE_BYTES));
    }
    (text + "\r\n").into_bytes()
}

/// Keeps the peers connected. Each stays until the forwarder answers it or closes its connection.
fn start_peers(address: SocketAddr, record: &Record, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        let mut peers: Vec<TcpStream> = Vec::new();
        let mut started = 0;
        while !stop.load(Relaxed) {
            peers.retain_mut(is_waiting);
            for _ in peers.len()..PEERS {
                started += 1;
                match start_peer(address, started) {
                    Ok(peer) => peers.push(peer),
                    Err(_) => break,
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        record.line(&format!("peers: {started} stopped half way, at most {PEERS} at a time"));
    })
}

fn start_peer(address: SocketAddr, number: usize) -> std::io::Result<TcpStream> {
    let mut peer = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
    peer.write_all(&half_request(number))?;
    peer.set_nonblocking(true)?;
    Ok(peer)
}

fn is_waiting(peer: &mut TcpStream) -> bool {
    matches!(peer.read(&mut [0; 512]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// The most anonymous memory that the process had during the case, in KiB. Pages of files and the buffers
/// of sockets are left out.
fn watch_memory(process: u32, record: &Record) -> Result<u64, String> {
    let end = Instant::now() + DURATION;
    let (mut highest, mut logged) = (0, Instant::now());
    while Instant::now() < end {
        if !world::is_running(process) {
            return Err("the forwarder has ended".to_owned());
        }
        let memory = anonymous_kib(process)?;
        highest = highest.max(memory);
        if logged.elapsed() > Duration::from_millis(500) {
            logged = Instant::now();
            record.line(&format!("forwarder: {:.1} MiB", memory as f64 / 1024.0));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(highest)
}

fn anonymous_kib(process: u32) -> Result<u64, String> {
    let text = fs::read_to_string(format!("/proc/{process}/status")).map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    let number = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    number.ok_or("the system does not tell the memory of a process".to_owned())
}
