//! An endpoint that records when the first byte of each request arrived and how the call ended.

use super::raw_connection::FullListener;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// How long a call takes. Calls overlap under steady traffic, so that all endpoints are called.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// What an endpoint does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointBehavior {
    Deliver,
    /// Responds 503.
    Reject,
    /// Resets the connection once the request is complete.
    Reset,
    /// Never responds.
    Hang,
}

/// The first byte of a request, with the ids of its messages and the end of the call.
#[derive(Clone, Debug)]
pub(crate) struct FirstByte {
    pub endpoint: SocketAddr,
    pub at: Instant,
    /// The ids of the messages; empty until the request is complete.
    pub request_ids: Vec<String>,
    /// How the call ended, and when; `None` while it is open.
    pub end: Option<(Instant, CallResult)>,
}

/// How a call to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The messages were delivered, and the response was written.
    Delivered,
    /// The messages were not executed.
    NotExecuted,
    /// The request was complete, and the caller got no response.
    Unanswered,
}

struct State {
    behavior: EndpointBehavior,
    first_bytes: Vec<FirstByte>,
}

struct Shared {
    address: SocketAddr,
    state: Mutex<State>,
    /// How often all connections were closed.
    closings: watch::Sender<u64>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record_first_byte(&self) -> usize {
        let mut state = self.lock();
        state.first_bytes.push(FirstByte {
            endpoint: self.address,
            at: Instant::now(),
            request_ids: Vec::new(),
            end: None,
        });
        state.first_bytes.len() - 1
    }

    fn record_end(&self, index: usize, result: CallResult) {
        self.lock().first_bytes[index].end.get_or_insert((Instant::now(), result));
    }
}

/// An endpoint on a loopback address.
pub(crate) struct FirstByteEndpoint {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    accept_task: Option<AbortHandle>,
    /// The listener while no connection can be established.
    full_listener: Option<FullListener>,
}

impl FirstByteEndpoint {
    /// Starts an endpoint that delivers every message.
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let mut endpoint = FirstByteEndpoint::new(listener.local_addr().expect("it is bound"), None);
        endpoint.accept_from(listener);
        endpoint
    }

    /// Starts an endpoint to which no connection is established until [`Self::open`].
    pub(crate) async fn start_full() -> Self {
        let listener = FullListener::start().await;
        FirstByteEndpoint::new(listener.address, Some(listener))
    }

    fn new(address: SocketAddr, full_listener: Option<FullListener>) -> Self {
        let state = Mutex::new(State { behavior: EndpointBehavior::Deliver, first_bytes: Vec::new() });
        let shared = Arc::new(Shared { address, state, closings: watch::channel(0).0 });
        FirstByteEndpoint { address, shared, accept_task: None, full_listener }
    }

    fn accept_from(&mut self, listener: TcpListener) {
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_until_closing(stream, shared.clone()));
            }
        });
        self.accept_task = Some(task.abort_handle());
    }

    /// Lets connections be established from now on.
    pub(crate) async fn open(&mut self) {
        let full = self.full_listener.take().expect("it is full");
        full.accept_queued().await;
        self.accept_from(full.listener);
    }

    pub(crate) fn set_behavior(&self, behavior: EndpointBehavior) {
        self.shared.lock().behavior = behavior;
    }

    /// Closes all connections, idle ones too.
    pub(crate) fn close_connections(&self) {
        self.shared.closings.send_modify(|count| *count += 1);
    }

    pub(crate) fn first_bytes(&self) -> Vec<FirstByte> {
        self.shared.lock().first_bytes.clone()
    }
}

impl Drop for FirstByteEndpoint {
    fn drop(&mut self) {
        if let Some(task) = &self.accept_task {
            task.abort();
        }
    }
}

async fn serve_until_closing(stream: TcpStream, shared: Arc<Shared>) {
    let mut closings = shared.closings.subscribe();
    tokio::select! {
        _ = serve(stream, &shared) => {}
        _ = closings.changed() => {}
    }
}

/// Records the end of a call when it is dropped.
struct OpenCall<'a> {
    shared: &'a Shared,
    index: usize,
    result: CallResult,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.shared.record_end(self.index, self.result);
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    loop {
        let mut first = [0; 1];
        stream.read_exact(&mut first).await?;
        let index = shared.record_first_byte();
        let mut call = OpenCall { shared, index, result: CallResult::NotExecuted };
        let request = read_request(&mut stream, first[0]).await?;
        call.result = CallResult::Unanswered;
        let ids = request.message_ids();
        shared.lock().first_bytes[index].request_ids.clone_from(&ids);
        let behavior = shared.lock().behavior;
        match behavior {
            EndpointBehavior::Deliver => {
                call.result = CallResult::Delivered;
                respond(&mut stream, "200 OK", &request.delivery_report(&ids)).await?;
            }
            EndpointBehavior::Reject => {
                call.result = CallResult::NotExecuted;
                respond(&mut stream, "503 Service Unavailable", "").await?;
            }
            EndpointBehavior::Reset => {
                stream.set_zero_linger()?;
                return Ok(());
            }
            EndpointBehavior::Hang => {
                let _ = stream.read(&mut [0; 1]).await?;
                return Ok(());
            }
        }
    }
}

async fn respond(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).await
}

struct EndpointRequest {
    head: String,
    body: Vec<u8>,
}

impl EndpointRequest {
    fn is_batch(&self) -> bool {
        self.head.starts_with("POST /hook/batch ")
    }

    fn message_ids(&self) -> Vec<String> {
        if !self.is_batch() {
            return header(&self.head, "req-id").into_iter().collect();
        }
        let messages: Vec<Value> = serde_json::from_slice(&self.body).unwrap_or_default();
        messages.iter().filter_map(|message| Some(message["id"].as_str()?.to_owned())).collect()
    }

    /// The body of the response that reports the delivery of all messages.
    fn delivery_report(&self, ids: &[String]) -> String {
        if !self.is_batch() {
            return String::new();
        }
        let states: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "accepted"})).collect();
        Value::from(states).to_string()
    }
}

async fn read_request(stream: &mut TcpStream, first: u8) -> io::Result<EndpointRequest> {
    let mut text = vec![first];
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(EndpointRequest { head, body })
}

/// The value of a header.
pub(super) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}
