//! Clients that submit messages on persistent connections.

use crate::support::POLL_INTERVAL;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The time limit of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The deadline of each message, from its submission.
pub(crate) const MESSAGE_DEADLINE: Duration = Duration::from_secs(5);

/// The result of a submission, as the client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmitResult {
    /// The response says that the message was accepted or delivered.
    Accepted,
    /// The response says that the message was rejected or has failed.
    Rejected,
    /// No connection was established.
    NotConnected,
    /// The connection ended without a response.
    Closed,
    /// No response arrived in time.
    TimedOut,
}

/// A message that was submitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission {
    /// When the last byte of the last request with the message was written.
    pub sent_at: Instant,
    pub finished_at: Instant,
    pub result: SubmitResult,
}

/// The messages of a client by their ids, shared with the task that submits them.
#[derive(Clone, Default)]
pub(crate) struct Submissions(Arc<Mutex<BTreeMap<String, Submission>>>);

impl Submissions {
    pub(crate) fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Submission>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A client that submits messages on one connection at a time.
pub(crate) struct PersistentClient {
    pub address: SocketAddr,
    /// The ids of the messages are this name, a hyphen and a number.
    pub name: String,
    pub class: &'static str,
    /// The time between a response and the next request.
    pub interval: Duration,
    pub submissions: Submissions,
}

impl PersistentClient {
    /// Submits messages until `until`.
    pub(crate) async fn run(self, until: Instant) {
        let mut connection = None;
        let mut number = 0_u64;
        while Instant::now() < until {
            let id = format!("{}-{number}", self.name);
            number += 1;
            let submission = self.submit(&mut connection, &id).await;
            let has_response = matches!(submission.result, SubmitResult::Accepted | SubmitResult::Rejected);
            self.submissions.lock().insert(id, submission);
            sleep(if has_response { self.interval } else { POLL_INTERVAL * 4 }).await;
        }
    }

    /// Submits a message on the open connection. If that ends without a response, it may have been closed
    /// while the request was on its way, so the request is sent once more on a new connection.
    async fn submit(&self, connection: &mut Option<TcpStream>, id: &str) -> Submission {
        if let Some(kept) = connection.take() {
            let submission = self.submit_on(kept, connection, id).await;
            if submission.result != SubmitResult::Closed {
                return submission;
            }
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(new)) => self.submit_on(new, connection, id).await,
            _ => Submission {
                sent_at: Instant::now(),
                finished_at: Instant::now(),
                result: SubmitResult::NotConnected,
            },
        }
    }

    /// Submits a message, and stores the connection in `kept` if it can be reused.
    async fn submit_on(&self, mut stream: TcpStream, kept: &mut Option<TcpStream>, id: &str) -> Submission {
        let request = request_text(self.class, id);
        let written = stream.write_all(request.as_bytes()).await;
        let sent_at = Instant::now();
        let response = match written {
            Ok(()) => timeout(RESPONSE_TIMEOUT, read_response(&mut stream)).await,
            Err(error) => Ok(Err(error)),
        };
        let result = match response {
            Ok(Ok(head)) => {
                if !head.to_ascii_lowercase().contains("connection: close") {
                    *kept = Some(stream);
                }
                if head.starts_with("HTTP/1.1 20") { SubmitResult::Accepted } else { SubmitResult::Rejected }
            }
            Ok(Err(_)) => SubmitResult::Closed,
            Err(_) => SubmitResult::TimedOut,
        };
        Submission { sent_at, finished_at: Instant::now(), result }
    }
}

fn request_text(class: &str, id: &str) -> String {
    let deadline = MESSAGE_DEADLINE.as_millis();
    format!(
        "POST /{class} HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {deadline}\r\n\
         Idempotency-Key: key-{id}\r\nEnvelope: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Reads a response and returns its head.
async fn read_response(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        text.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&text).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await?;
    Ok(head)
}

/// Sends a part of a request and leaves the connection open. Returns whether an error response or a close
/// arrived within `limit`. A connection that is not established counts as a close.
pub(crate) async fn stall_in_request(address: SocketAddr, limit: Duration) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else { return true };
    if stream.write_all(b"POST /keyed HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n").await.is_err() {
        return true;
    }
    timeout(limit, stream.read(&mut [0; 1])).await.is_ok()
}
