//! Stand-ins and helpers that the cases share: the platform, endpoints, clients and the forwarder's process.
//! Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Writes `record.txt`: one line an event, with milliseconds since the start of the script.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        Record(Arc::new((Mutex::new(File::create(path).expect("record.txt can be written")), Instant::now())))
    }

    pub fn ms(&self) -> u64 {
        self.0.1.elapsed().as_millis() as u64
    }

    pub fn log(&self, text: &str) {
        let line = format!("{:>7} {text}\n", self.ms());
        self.0.0.lock().unwrap().write_all(line.as_bytes()).expect("record.txt can be written");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_millis() as u64
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

unsafe extern "C" {
    /// Of the C library, which the standard library is linked with.
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], length: u32) -> i32;
}

/// Makes the connection end in a reset once it is closed.
pub fn reset_at_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // Linger for 0 s.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
}

/// A request that has arrived completely.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub first_byte: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads a head: its first line and its headers, with names in lower case. `None` at the end of the stream.
fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, BTreeMap<String, String>, Instant)>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let first_byte = Instant::now();
    let mut first = String::new();
    reader.read_line(&mut first)?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the connection ended within a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers, first_byte)));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header without a colon"))?;
        headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// The declared length of a body.
pub fn content_length(headers: &BTreeMap<String, String>) -> usize {
    headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers, first_byte)) = read_head(reader)? else { return Ok(None) };
    let mut parts = first.split(' ');
    let method = parts.next().unwrap_or_default().to_owned();
    let path = parts.next().unwrap_or_default().to_owned();
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, headers, body, first_byte }))
}

/// The reason phrase does not matter to anybody.
pub fn write_response(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// One client request on a connection of its own. Returns the status, or `None` if there was no answer
/// within the time.
pub fn request_once(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    wait: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(wait)).ok()?;
    send_request(&mut stream, method, path, headers, body).ok()?;
    let mut reader = BufReader::new(stream);
    read_status(&mut reader)
}

pub fn send_request(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: api.internal\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads a response and returns its status.
pub fn read_status(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    let (first, headers, _) = read_head(reader).ok()??;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    first.split(' ').nth(1)?.parse().ok()
}

/// Hands in a message as the protocol page has it, and waits 400 ms for the answer.
pub struct Message<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub destination: u64,
    pub deadline_ms: u64,
    pub key: Option<&'a str>,
    /// It was refused before, and is handed in once more.
    pub is_repeat: bool,
    pub body: &'a [u8],
}

pub fn message_headers(message: &Message) -> String {
    let mut headers = format!(
        "Req-Id: {}\r\nReq-Deadline-Ms: {}\r\nEnvelope: dest={}\r\n",
        message.id, message.deadline_ms, message.destination
    );
    if let Some(key) = message.key {
        headers.push_str(&format!("Idempotency-Key: {key}\r\n"));
    }
    if message.is_repeat {
        headers.push_str("Req-Retry: 1\r\n");
    }
    headers
}

pub fn hand_in(address: SocketAddr, message: &Message) -> Option<u16> {
    let path = format!("/{}", message.class);
    let wait = Duration::from_millis(400);
    request_once(address, "POST", &path, &message_headers(message), message.body, wait)
}

/// One entry of the list, in the form of the protocol page.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub state: String,
    pub hint: f64,
}

impl Target {
    pub fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{},"boot_ms":0}}"#,
            self.uid, self.address, self.zone, self.kind, self.destination, self.state, self.hint
        )
    }
}

pub fn list_json(revision: u64, all: bool, targets: &[Target]) -> String {
    let entries: Vec<String> = targets.iter().map(Target::json).collect();
    format!(r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#, entries.join(","))
}

/// A notice as it arrived.
#[derive(Clone, Debug)]
pub struct Notice {
    pub at_ms: u64,
    pub message: String,
    pub outcome: String,
}

#[derive(Default)]
struct PlatformState {
    revision: u64,
    targets: Vec<Target>,
    changes: Vec<(u64, Target)>,
    notices: Vec<Notice>,
    /// The next list with a change is written and does not arrive: its connection is reset.
    loses_next_change: bool,
    /// When that list was written.
    lost_at: Option<Instant>,
    /// Discovery is down: its calls and watches end in a reset. Notices are still answered.
    is_down: bool,
}

/// Discovery and the receiver of notices. It answers at once, and watches as soon as something changes.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    shared: Arc<(Mutex<PlatformState>, Condvar)>,
    record: Record,
}

impl Platform {
    pub fn start(record: &Record, targets: &[Target]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = PlatformState { revision: 1, targets: targets.to_vec(), ..PlatformState::default() };
        let platform = Platform {
            address: listener.local_addr().expect("it is bound"),
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = serving.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let answered = if request.path == "/v1/notices" {
                self.take_notices(&request.body);
                write_response(&mut writer, 204, "", b"")
            } else {
                let Some(body) = self.list(&request.path) else { return reset_at_close(&writer) };
                write_response(&mut writer, 200, "Content-Type: application/json\r\n", body.as_bytes())
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn take_notices(&self, body: &[u8]) {
        for line in String::from_utf8_lossy(body).lines().filter(|line| !line.trim().is_empty()) {
            let notice = Notice {
                at_ms: self.record.ms(),
                message: text_field(line, "message"),
                outcome: text_field(line, "outcome"),
            };
            self.record.log(&format!("platform: notice {line}"));
            self.shared.0.lock().unwrap().notices.push(notice);
        }
    }

    /// The list that a call gets; `None` if it ends in a reset.
    fn list(&self, path: &str) -> Option<String> {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse::<u64>().ok())
        };
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        self.record.log(&format!("discovery: GET {path}{}", if state.is_down { ": reset" } else { "" }));
        let Some(index) = number("index") else {
            return (!state.is_down).then(|| list_json(state.revision, true, &state.targets));
        };
        let until = Instant::now() + Duration::from_millis(number("wait").unwrap_or(0));
        while state.revision <= index && !state.is_down {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let newer: Vec<Target> =
            state.changes.iter().filter(|(revision, _)| *revision > index).map(|(_, t)| t.clone()).collect();
        if !newer.is_empty() && std::mem::take(&mut state.loses_next_change) {
            state.lost_at = Some(Instant::now());
            self.record.log("discovery: the list with the change is written, and lost with its connection");
            changed.notify_all();
            return None;
        }
        (!state.is_down).then(|| list_json(state.revision, false, &newer))
    }

    /// Changes an entry so that the next list with a change is written and lost. Returns when that was.
    pub fn change_and_lose_answer(&self, target: &Target) -> Option<Instant> {
        self.shared.0.lock().unwrap().loses_next_change = true;
        self.change(target);
        let (lock, changed) = &*self.shared;
        let state = lock.lock().unwrap();
        let wait = Duration::from_secs(1);
        changed.wait_timeout_while(state, wait, |state| state.lost_at.is_none()).unwrap().0.lost_at
    }

    pub fn set_down(&self, is_down: bool) {
        self.record.log(if is_down { "discovery: goes down" } else { "discovery: is back" });
        self.shared.0.lock().unwrap().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Changes an entry of the list.
    pub fn change(&self, target: &Target) {
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.targets.retain(|known| known.uid != target.uid);
        if target.state != "terminated" {
            state.targets.push(target.clone());
        }
        state.changes.push((revision, target.clone()));
        self.record.log(&format!("platform: revision {revision}: {}", target.json()));
        changed.notify_all();
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.shared.0.lock().unwrap().notices.clone()
    }
}

/// The text of a field in one flat JSON object.
pub fn text_field(json: &str, name: &str) -> String {
    let marker = format!("\"{name}\":\"");
    let rest = json.split_once(&marker).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or_default().to_owned()
}

/// The ids in the body of a batch.
pub fn batch_ids(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body).into_owned();
    text.split("\"id\":\"").skip(1).map(|rest| rest.split('"').next().unwrap_or_default().to_owned()).collect()
}

/// `limits.idleClose` of the settings: an endpoint closes a connection that has been idle for so long.
const IDLE_CLOSE: Duration = Duration::from_secs(10);

/// What an endpoint does with a call. It gets the request and the writing half of the connection, and returns
/// whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// A server at a fixed address, which can go down and come back. While it is down, connections are refused.
pub struct Endpoint {
    pub address: SocketAddr,
    handler: Handler,
    up: Arc<Mutex<Option<Arc<AtomicBool>>>>,
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    next: Arc<AtomicU64>,
}

impl Endpoint {
    pub fn start(handler: Handler) -> Arc<Self> {
        let endpoint = Arc::new(Endpoint {
            address: free_address(),
            handler,
            up: Arc::new(Mutex::new(None)),
            open: Arc::new(Mutex::new(BTreeMap::new())),
            next: Arc::new(AtomicU64::new(0)),
        });
        endpoint.up();
        endpoint
    }

    /// Accepts connections from now on.
    pub fn up(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.address).expect("the address is free");
        let running = Arc::new(AtomicBool::new(true));
        *self.up.lock().unwrap() = Some(running.clone());
        let endpoint = self.clone();
        listener.set_nonblocking(true).expect("a listener");
        thread::spawn(move || {
            while running.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let endpoint = endpoint.clone();
                        thread::spawn(move || endpoint.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Goes down as a process that dies: its connections break, and new ones are refused.
    pub fn down(&self) {
        if let Some(running) = self.up.lock().unwrap().take() {
            running.store(false, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(5));
        for (_, stream) in std::mem::take(&mut *self.open.lock().unwrap()) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(IDLE_CLOSE));
        let Ok(mut writer) = stream.try_clone() else { return };
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        if let Ok(kept) = stream.try_clone() {
            self.open.lock().unwrap().insert(number, kept);
        }
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if !(self.handler)(&request, &mut writer) {
                break;
            }
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
        self.open.lock().unwrap().remove(&number);
    }
}

/// An endpoint that works for `work` on each call and delivers it. It records when the first byte of each call
/// was read.
pub fn delivering_endpoint(
    name: &'static str,
    record: &Record,
    work: Duration,
    calls: &Arc<Mutex<Vec<Instant>>>,
) -> Arc<Endpoint> {
    let (record, calls) = (record.clone(), calls.clone());
    Endpoint::start(Arc::new(move |request, stream| {
        calls.lock().unwrap().push(request.first_byte);
        let ids = match request.path.as_str() {
            "/hook" => vec![request.header("req-id").to_owned()],
            _ => batch_ids(&request.body),
        };
        record.log(&format!("{name}: {} {ids:?}", request.path));
        thread::sleep(work);
        if request.path == "/hook" {
            return write_response(stream, 200, "", b"").is_ok();
        }
        let states: Vec<String> =
            ids.iter().map(|id| format!(r#"{{"id":"{id}","state":"accepted"}}"#)).collect();
        write_response(stream, 200, "", format!("[{}]", states.join(",")).as_bytes()).is_ok()
    }))
}

/// Clients that hand in a message every `interval` until `stop` is set: two of three are payments.
pub fn steady_clients(
    address: SocketAddr,
    destination: u64,
    interval: Duration,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                return;
            }
            let (id, key) = (format!("{number:016x}"), format!("{number:032x}"));
            let is_notice = number % 3 == 0;
            let message = Message {
                class: if is_notice { "notice" } else { "payment" },
                id: &id,
                destination,
                deadline_ms: if is_notice { 20000 } else { 28000 },
                key: is_notice.then_some(key.as_str()),
                is_repeat: false,
                body: b"a booking",
            };
            let status = hand_in(address, &message);
            record.log(&format!("client: {} {id}: {status:?}", message.class));
            thread::sleep(interval);
        }
    })
}

/// The value of a key in the deploy file.
fn deploy_command(root: &Path, key: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{key} ="))).expect("the key");
    line.split('"').nth(1).expect("a quoted command").to_owned()
}

/// The configuration of a forwarder. The settings are those of the small deployment on the WIRE page.
pub struct Settings {
    pub peers: u32,
    pub slots: u32,
    pub open_cap: u32,
    pub batch: [u32; 2],
    pub memory_mb: u32,
    pub sockets: u32,
    pub notice_deadline_ms: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            peers: 3,
            slots: 9,
            open_cap: 184,
            batch: [5, 1],
            memory_mb: 48,
            sockets: 384,
            notice_deadline_ms: 20000,
        }
    }
}

pub struct Forwarder {
    root: PathBuf,
    folder: PathBuf,
    pub address: SocketAddr,
    pub admin: SocketAddr,
    discovery: SocketAddr,
    known: String,
    settings: Settings,
    seed: u64,
    child: Option<Child>,
    record: Record,
}

impl Forwarder {
    /// Prepares a forwarder with the folder that lasts in `folder`, and starts it.
    pub fn start(
        root: &Path,
        folder: &Path,
        record: &Record,
        discovery: SocketAddr,
        known: &[Target],
        settings: Settings,
    ) -> Self {
        fs::create_dir_all(folder.join("state")).expect("a temporary folder");
        let mut forwarder = Forwarder {
            root: root.to_owned(),
            folder: folder.to_owned(),
            address: free_address(),
            admin: free_address(),
            discovery,
            known: list_json(1, true, known),
            settings,
            seed: 0x8c1f_30d2_7a5b_e964,
            child: None,
            record: record.clone(),
        };
        forwarder.write_configuration();
        forwarder.spawn();
        forwarder.wait_ready();
        forwarder
    }

    fn write_configuration(&self) {
        let s = &self.settings;
        let settings = format!(
            r#"{{"classes":[
 {{"name":"notice","idempotency":"token","dedupScope":"all","keyTtl":8000.0,"goalTime":3000.0,"deadline":{notice_deadline}.0,"worth":1.0,"lateShare":0.3,"streamed":false}},
 {{"name":"payment","idempotency":"side_effect","dedupScope":"all","keyTtl":5000.0,"goalTime":3000.0,"deadline":28000.0,"worth":3.0,"lateShare":0.4,"streamed":false}}],
 "clients":{{"marksRetry":true}},"countedBy":"request","discovery":"ask",
 "familyInfo":{{"batchByKind":[{batch0},{batch1}],"decay":"halves","kindApart":[false,true],"slots":{slots},"refusedPrice":0.0,"routeFee":[0.01,0.04,0.04]}},
 "goal":{{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3}},
 "guarantees":{{"askWithin":10000.0,"fallMultiple":2.0,"graceToAnswer":20.0,"overloadFor":2000.0,"startCapacity":0.22,"stopSendingWithin":500.0,"warmAfter":11000.0}},
 "kindOfService":"deliver","kinds":["bulk-partners","small-partners"],
 "limits":{{"cancel":true,"connectTimeout":1500.0,"cpuUsPerRequest":0.0,"cpuUsPerS":50000,"idleClose":10000.0,"maxAttempts":6,"maxRetryAfter":3000.0,"maxStreams":8,"mayDuplicate":false,"openCap":{open_cap},"peers":false,"probes":false,"retryAfter":true}},
 "me":0,"overShareWorth":0.1,"peersTotal":{peers},"realms":[],"report":{{"fields":[],"how":"off"}},"round":5.0,"tier":0,"tiers":["partner-systems"],"weights":"rough","zone":"magazzino","zones":["darsena","magazzino","uffici"]}}"#,
            notice_deadline = s.notice_deadline_ms,
            batch0 = s.batch[0],
            batch1 = s.batch[1],
            slots = s.slots,
            open_cap = s.open_cap,
            peers = s.peers,
        );
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","admin":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{},"disk_mb":3}},"known":{},"settings":{}}}"#,
            self.address, self.discovery, self.admin, self.seed, s.memory_mb, s.sockets, self.known, settings
        );
        // The file is replaced at once, never half written.
        let new = self.folder.join("config.json.new");
        fs::write(&new, text).expect("the folder can be written");
        fs::rename(&new, self.folder.join("config.json")).expect("the folder can be written");
    }

    fn spawn(&mut self) {
        let temporary = self.folder.join("tmp");
        let _ = fs::remove_dir_all(&temporary);
        fs::create_dir_all(&temporary).expect("a temporary folder");
        let log = File::options().create(true).append(true).open(self.folder.join("log")).expect("a log");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command(&self.root, "run")])
            .current_dir(&self.root)
            .env("BALANCER_NAME", "n0")
            .env("BALANCER_LISTEN", self.address.to_string())
            .env("BALANCER_DISCOVERY", self.discovery.to_string())
            .env("BALANCER_ADMIN", self.admin.to_string())
            .env("BALANCER_CONFIG", self.folder.join("config.json"))
            .env("BALANCER_STATE", self.folder.join("state"))
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a descriptor")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        // The script ends the process that this names, if this program can't.
        fs::write(self.folder.join("process"), child.id().to_string()).expect("the folder can be written");
        self.record.log(&format!("forwarder: started, process {}", child.id()));
        self.child = Some(child);
    }

    /// Waits until `GET /-/ready` is answered with 200, for 30 s at most.
    pub fn wait_ready(&self) {
        let give_up = Instant::now() + Duration::from_secs(30);
        while Instant::now() < give_up {
            let wait = Duration::from_millis(300);
            if request_once(self.address, "GET", "/-/ready", "", b"", wait) == Some(200) {
                self.record.log("forwarder: ready");
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        cannot_run("the forwarder did not become ready");
    }

    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        self.record.log(&format!("forwarder: SIG{name} to process {}", child.id()));
        let command = format!("kill -{name} {}", child.id());
        let _ = Command::new("/bin/sh").args(["-c", &command]).status();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    /// SIGKILL, and the next start 0.6 s later, as the protocol page has it.
    pub fn kill_and_restart(&mut self) {
        self.kill();
        thread::sleep(Duration::from_millis(600));
        self.seed += 1;
        self.write_configuration();
        self.spawn();
        self.wait_ready();
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            self.record.log(&format!("forwarder: SIGKILL to process {}", child.id()));
            let _ = child.kill();
            let _ = child.wait();
            let _ = fs::remove_file(self.folder.join("process"));
        }
    }

    /// Sends the line of an operator and returns the answer.
    pub fn operator(&self, line: &str) -> String {
        let answer = (|| -> io::Result<String> {
            let mut stream = TcpStream::connect(self.admin)?;
            stream.set_read_timeout(Some(Duration::from_secs(2)))?;
            stream.write_all(format!("{line}\n").as_bytes())?;
            let mut text = String::new();
            stream.read_to_string(&mut text)?;
            Ok(text.trim_end().to_owned())
        })();
        let answer = answer.unwrap_or_else(|error| format!("no answer: {error}"));
        self.record.log(&format!("operator: {line}: {answer}"));
        answer
    }

    /// The resident memory of the process in KiB, and its peak.
    pub fn memory_kib(&self) -> (u64, u64) {
        let Some(child) = &self.child else { return (0, 0) };
        let text = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let value = |name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
        };
        (value("VmRSS:"), value("VmHWM:"))
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The case could not be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(2)
}

/// What a script gets: the root of the repository, the path of the record, a folder for its files, and
/// whether the disruption is played.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

impl Case {
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1);
        let mut next = || PathBuf::from(arguments.next().unwrap_or_else(|| cannot_run("ROOT RECORD TEMPORARY")));
        let (root, record, folder) = (next(), next(), next());
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&record);
        record.log(&format!("case: the disruption is {}", if trouble { "played" } else { "left out" }));
        Case { root, folder, record, trouble }
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
