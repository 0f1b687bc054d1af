//! A small deployment: the platform, sound endpoints and clients, and the forwarder's process.

use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The processes that were started and not ended yet, and the temporary folder.
static STARTED: Mutex<(Vec<Child>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that were started, and removes the temporary folder.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for mut child in started.0.drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = started.1.take() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Writes what happened, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Result<Self, String> {
        let file = File::create(path).map_err(|error| format!("{path}: {error}"))?;
        Ok(Record { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}

/// One HTTP message: its first line, its headers in lower case, and its body.
pub struct Message {
    pub first_line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte had arrived.
    pub first_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    reader.fill_buf()?;
    let first_byte = Instant::now();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if lines.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let first_line = lines.remove(0);
    let split = |line: &String| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_ascii_lowercase(), value.trim().to_owned()))
    };
    let headers = lines.iter().filter_map(split).collect();
    let mut message = Message { first_line, headers, body: Vec::new(), first_byte };
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Serves each connection to a free port of a loopback address in a thread of its own, until the handler
/// returns false.
pub fn serve(
    host: &str,
    handle: impl Fn(Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host, 0)).map_err(|error| format!("{host}: {error}"))?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while let Some(message) = read_message(&mut reader)? {
                    if !handle(message, &mut writer)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
    Ok(address)
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    stream
        .write_all(format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes())
}

/// A sound endpoint of destination 7, which takes 50 ms for each call.
pub fn start_endpoint(host: &str, record: &Record) -> Result<SocketAddr, String> {
    let record = record.clone();
    serve(host, move |call, stream| {
        thread::sleep(Duration::from_millis(50));
        record.line(&format!("endpoint: {} ran", call.header("req-id")));
        respond(stream, "200 OK", "", "")?;
        Ok(true)
    })
}

/// The platform: the list never changes, each watch takes its whole wait, and notices are acknowledged.
pub fn start_platform(host: &str, list: String, record: &Record) -> Result<SocketAddr, String> {
    let record = record.clone();
    serve(host, move |call, stream| {
        let path = call.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/v1/notices" {
            for line in String::from_utf8_lossy(&call.body).lines() {
                record.line(&format!("platform: notice {line}"));
            }
            stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")?;
        } else if let Some(query) = path.strip_prefix("/api/targets?") {
            let wait = query.split("wait=").nth(1).and_then(|wait| wait.parse().ok()).unwrap_or(0);
            thread::sleep(Duration::from_millis(wait));
            respond(stream, "200 OK", "", "{\"rev\":1,\"all\":false,\"targets\":[]}")?;
        } else {
            respond(stream, "200 OK", "", &list)?;
        }
        Ok(true)
    })
}

/// A complete list with one endpoint of destination 7.
pub fn list(endpoint: SocketAddr) -> String {
    format!(
        "{{\"rev\":1,\"all\":true,\"targets\":[{{\"uid\":\"s-1\",\"endpoint\":\"{endpoint}\",\"az\":\"a\",\
         \"model\":\"small\",\"pod_group\":7,\"state\":\"in_service\",\"capacity_hint\":50.0,\"boot_ms\":0}}]}}"
    )
}

/// What the configuration of a forwarder varies in.
pub struct Setup {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Setup {
    /// The configuration, with the figures of the site `sede-navigli` where it has them.
    fn configuration(&self) -> String {
        let Setup { listen, discovery, known, memory_mb, sockets } = self;
        let class = |name: &str, idempotency: &str, deadline: u32| {
            format!(
                "{{\"name\":\"{name}\",\"idempotency\":\"{idempotency}\",\"dedupScope\":\"all\",\"keyTtl\":8000.0,\
                 \"goalTime\":3000.0,\"deadline\":{deadline}.0,\"worth\":1.0,\"lateShare\":0.3,\"streamed\":false}}"
            )
        };
        let classes =
            format!("{},{}", class("notice", "token", 20000), class("payment", "side_effect", 28000));
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets},\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{{\"classes\":[{classes}],\"kinds\":[\"bulk\",\"small\"],\
             \"zone\":\"a\",\"zones\":[\"a\",\"b\"],\"me\":0,\"peersTotal\":3,\"realms\":[],\"discovery\":\"ask\",\"round\":5.0,\
             \"weights\":\"rough\",\"report\":{{\"fields\":[],\"how\":\"off\"}},\
             \"familyInfo\":{{\"batchByKind\":[5,1],\"kindApart\":[false,true],\"slots\":9,\"decay\":\"halves\"}},\
             \"limits\":{{\"maxAttempts\":6,\"openCap\":184,\"connectTimeout\":1500.0,\"idleClose\":10000.0,\
             \"retryAfter\":true,\"maxRetryAfter\":3000.0,\"cancel\":true,\"mayDuplicate\":false,\"maxStreams\":1}},\
             \"guarantees\":{{\"fallMultiple\":2.0,\"overloadFor\":2000.0,\"startCapacity\":0.22,\
             \"warmAfter\":11000.0,\"stopSendingWithin\":500.0,\"askWithin\":10000.0,\"graceToAnswer\":20.0}}}}}}"
        )
    }
}

/// The value of a key of the deploy file.
fn deploy_command(key: &str) -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| format!("deploy file: {error}"))?;
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(prefix.as_str()));
    let value = line.and_then(|rest| rest.split('"').next()).map(str::to_owned);
    value.ok_or(format!("the deploy file has no {key}"))
}

/// The folder of the forwarder: its state, its temporary files, its configuration and its logs.
pub struct Folder(PathBuf);

impl Folder {
    pub fn create(setup: &Setup) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        let text = |error: io::Error| error.to_string();
        for name in ["state", "tmp"] {
            fs::create_dir_all(folder.join(name)).map_err(text)?;
        }
        STARTED.lock().map_err(|error| error.to_string())?.1 = Some(folder.clone());
        fs::write(folder.join("config.json"), setup.configuration()).map_err(text)?;
        Ok(Folder(folder))
    }

    /// Empties the folder for temporary files and draws a new seed, as the platform does for each start.
    pub fn prepare_restart(&self, setup: &Setup) -> Result<(), String> {
        let text = |error: io::Error| error.to_string();
        fs::remove_dir_all(self.0.join("tmp")).map_err(text)?;
        fs::create_dir_all(self.0.join("tmp")).map_err(text)?;
        let configuration = setup.configuration().replace("8c1f30d27a5be964", "41b07c9e2d6f8a35");
        fs::write(self.0.join("config.json"), configuration).map_err(text)
    }

    /// What the forwarder's processes have logged.
    pub fn log(&self) -> Result<String, String> {
        let log = fs::read(self.0.join("log")).map_err(|error| error.to_string())?;
        Ok(String::from_utf8_lossy(&log).into_owned())
    }
}

/// Where a process gets what it serves on.
pub struct Sockets<'a> {
    /// The clients' listening socket, if the platform holds it.
    pub listener: Option<&'a TcpListener>,
    /// The operators' address.
    pub admin: Option<SocketAddr>,
}

/// Starts a forwarder with the command of the deploy file, and returns its process id.
pub fn start_process(setup: &Setup, folder: &Folder, sockets: &Sockets) -> Result<u32, String> {
    let Folder(folder) = folder;
    let text = |error: io::Error| error.to_string();
    let log = File::options().create(true).append(true).open(folder.join("log")).map_err(text)?;
    let run = deploy_command("run")?;
    let mut command = Command::new("/bin/sh");
    command
        .env("BALANCER_NAME", "n0")
        .env("BALANCER_LISTEN", setup.listen.to_string())
        .env("BALANCER_DISCOVERY", setup.discovery.to_string())
        .env("BALANCER_CONFIG", folder.join("config.json"))
        .env("BALANCER_STATE", folder.join("state"))
        .env("TMPDIR", folder.join("tmp"))
        .env_remove("BALANCER_ADMIN")
        .env_remove("BALANCER_FD")
        .stderr(log);
    match sockets.listener {
        // The shell moves the socket from its standard input to descriptor 3.
        Some(listener) => command
            .stdin(Stdio::from(OwnedFd::from(listener.try_clone().map_err(text)?)))
            .env("BALANCER_FD", "3")
            .args(["-c", &format!("exec 3<&0 </dev/null; {run}")]),
        None => command.stdin(Stdio::null()).args(["-c", &run]),
    };
    if let Some(admin) = sockets.admin {
        command.env("BALANCER_ADMIN", admin.to_string());
    }
    let child = command.spawn().map_err(text)?;
    let id = child.id();
    STARTED.lock().map_err(|error| error.to_string())?.0.push(child);
    Ok(id)
}

/// Waits until the forwarder answers the readiness check of clients with 200.
pub fn wait_until_ready(address: SocketAddr, record: &Record) -> Result<(), String> {
    let give_up_at = Instant::now() + Duration::from_secs(30);
    while Instant::now() < give_up_at {
        if request(address, "GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n") == Ok(200) {
            record.line("forwarder: ready");
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err("the forwarder is not ready after 30 s".to_owned())
}

/// Starts a forwarder, waits until it is ready and returns its process id.
pub fn start_forwarder(setup: &Setup, record: &Record) -> Result<u32, String> {
    let folder = Folder::create(setup)?;
    let sockets = Sockets { listener: None, admin: None };
    let id = start_process(setup, &folder, &sockets)?;
    wait_until_ready(setup.listen, record)?;
    Ok(id)
}

/// Waits until the process with this operators' address says that it is ready.
pub fn wait_for_yes(admin: SocketAddr, limit: Duration) -> Result<(), String> {
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect(admin)?;
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(b"ready\n")?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line)?;
        Ok(line)
    };
    let give_up_at = Instant::now() + limit;
    while Instant::now() < give_up_at {
        if ask().is_ok_and(|line| line.starts_with("ACK")) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err("the new process does not say yes".to_owned())
}

/// Sends a signal to a process that was started.
pub fn signal(name: &str, id: u32) -> Result<(), String> {
    let command = format!("kill -{name} {id}");
    let status = Command::new("/bin/sh").args(["-c", &command]).stderr(Stdio::null()).status();
    status.map(|_| ()).map_err(|error| error.to_string())
}

/// Whether a process that was started still runs.
pub fn is_running(id: u32) -> bool {
    let Ok(mut started) = STARTED.lock() else { return false };
    let child = started.0.iter_mut().find(|child| child.id() == id);
    child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
}

/// Sends a request on a connection of its own, and returns the status of its answer, or why there is none.
pub fn request(address: SocketAddr, text: &str) -> Result<u16, String> {
    let exchange = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(400))?;
        stream.set_read_timeout(Some(Duration::from_millis(400)))?;
        stream.set_nodelay(true)?;
        stream.write_all(text.as_bytes())?;
        let answer = read_message(&mut BufReader::new(stream))?;
        answer.map(|answer| answer.status()).ok_or(io::ErrorKind::UnexpectedEof.into())
    };
    exchange().map_err(|error| error.to_string())
}

/// A free port of a loopback address.
pub fn free_address(host: &str) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((host, 0)).map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// A notice for destination 7, which may be delivered for 20 s.
pub fn notice(number: usize) -> String {
    format!(
        "POST /notice HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {number:016x}\r\nReq-Deadline-Ms: 20000\r\n\
         Idempotency-Key: {number:032x}\r\nContent-Length: 5\r\nEnvelope: dest=7\r\n\r\nhello"
    )
}
