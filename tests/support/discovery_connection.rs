//! Serves a connection to a scripted discovery service.

use super::discovery_history::{
    CallOutcome, DiscoveryBehavior, DiscoveryQuery, ResponseContent, ResponseFault,
};
use super::discovery_state::ListResponse;
use super::first_byte_endpoint::header;
use super::scripted_discovery::SharedDiscovery;
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The number of pieces in which [`DiscoveryBehavior::Drip`] writes a body.
const DRIP_PIECES: u32 = 40;

/// Whether a connection takes further requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    KeepAlive,
    Closed,
}

/// Serves a connection until the caller closes it, the service resets it or its address closes.
pub(super) async fn serve_connection(
    stream: TcpStream,
    caller: usize,
    shared: Arc<SharedDiscovery>,
    mut closing: watch::Receiver<bool>,
) {
    let mut resets = shared.resets.subscribe();
    let mut connection = Connection { stream, caller, shared: shared.clone() };
    let is_reset = tokio::select! {
        biased;
        _ = resets.changed() => true,
        _ = closing.wait_for(|is_closing| *is_closing) => false,
        _ = connection.serve() => false,
    };
    if is_reset {
        let _ = connection.stream.set_zero_linger();
    }
}

/// An open call. It is recorded as broken when it is dropped without another end.
struct OpenCall {
    index: usize,
    query: DiscoveryQuery,
    shared: Arc<SharedDiscovery>,
}

impl OpenCall {
    fn begin(shared: &Arc<SharedDiscovery>, caller: usize, query: DiscoveryQuery) -> Self {
        let index = shared.lock().begin_call(caller, query);
        OpenCall { index, query, shared: shared.clone() }
    }

    fn begin_response(&self, outcome: CallOutcome) {
        self.shared.lock().begin_response(self.index, outcome);
    }

    fn end(&self, outcome: CallOutcome) {
        self.shared.lock().end_call(self.index, outcome);
    }

    fn is_silent(&self) -> bool {
        self.shared.lock().history.calls[self.index].silent_since.is_some()
    }

    /// Whether the service has rejected the call already.
    fn is_rejected(&self) -> bool {
        let end = self.shared.lock().history.calls[self.index].end;
        end.is_some_and(|end| end.outcome == CallOutcome::Rejected)
    }

    /// Whether the response is due: the call does not wait for a change, or the caller has another revision.
    fn is_due(&self) -> bool {
        match self.query {
            DiscoveryQuery::CompleteList => true,
            DiscoveryQuery::Watch { since_revision, .. } => self.shared.lock().differs_from(since_revision),
        }
    }

    fn response(&self) -> ListResponse {
        self.shared.lock().response(self.query)
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.end(CallOutcome::Broken);
    }
}

struct HttpRequest {
    request_line: String,
    body: String,
}

struct Connection {
    stream: TcpStream,
    caller: usize,
    shared: Arc<SharedDiscovery>,
}

impl Connection {
    async fn serve(&mut self) -> io::Result<()> {
        loop {
            let shared = self.shared.clone();
            let HttpRequest { request_line, body } = tokio::select! {
                request = self.read_request() => request?,
                () = shared.until_shut_down() => return Ok(()),
            };
            sleep(self.shared.latency()).await;
            let state = if request_line.starts_with("POST ") {
                self.shared.lock().record_notices(&body);
                self.respond("204 No Content", "").await?;
                ConnectionState::KeepAlive
            } else {
                let call = OpenCall::begin(&self.shared, self.caller, parse_query(&request_line));
                self.serve_call(&call).await?
            };
            if state == ConnectionState::Closed {
                return Ok(());
            }
        }
    }

    async fn read_request(&mut self) -> io::Result<HttpRequest> {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            text.push(self.stream.read_u8().await?);
        }
        let head = String::from_utf8_lossy(&text).into_owned();
        let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body).await?;
        let request_line = head.lines().next().unwrap_or_default().to_owned();
        Ok(HttpRequest { request_line, body: String::from_utf8_lossy(&body).into_owned() })
    }

    async fn serve_call(&mut self, call: &OpenCall) -> io::Result<ConnectionState> {
        if let DiscoveryBehavior::OverloadedByOthers { patience } = self.shared.behavior() {
            return self.reject_after(call, patience).await;
        }
        if let DiscoveryBehavior::OverloadedQueue { service_time, patience, continues_at_once } =
            self.shared.behavior()
            && !(continues_at_once && self.shared.lock().continues_watch(call.index))
            && !self.take_turn(service_time, patience).await
        {
            self.shared.reject_open_calls(self.caller);
        }
        tokio::select! {
            () = self.until_due(call) => {}
            () = self.until_closed() => {
                call.end(CallOutcome::Abandoned);
                return Ok(ConnectionState::Closed);
            }
        }
        if call.is_rejected() {
            return self.reject(call).await;
        }
        let behavior = self.shared.behavior();
        // A service that is down writes no response, so the fault remains for a later one.
        let is_responding = behavior.is_reachable();
        let fault = if is_responding { self.shared.lock().take_fault(self.caller) } else { None };
        if let Some(fault) = fault {
            return self.respond_with_fault(call, fault).await;
        }
        match behavior {
            DiscoveryBehavior::Reject503 => self.reject(call).await,
            DiscoveryBehavior::Reset | DiscoveryBehavior::Refuse | DiscoveryBehavior::NeverAccept => {
                self.stream.set_zero_linger()?;
                Ok(ConnectionState::Closed)
            }
            DiscoveryBehavior::ShutDown => Ok(ConnectionState::Closed),
            DiscoveryBehavior::Delayed { delay, content } => self.respond_late(call, delay, content).await,
            DiscoveryBehavior::Drip { duration } => self.drip(call, duration).await,
            DiscoveryBehavior::BreakOff => self.break_off(call).await,
            DiscoveryBehavior::Stall => self.stall(call).await,
            DiscoveryBehavior::OverloadedSerial { service_time, patience } => {
                self.respond_in_turn(call, service_time, patience).await
            }
            DiscoveryBehavior::Healthy
            | DiscoveryBehavior::Surplus(_)
            | DiscoveryBehavior::Silent
            | DiscoveryBehavior::CutOff
            | DiscoveryBehavior::OverloadedByOthers { .. }
            | DiscoveryBehavior::OverloadedQueue { .. } => self.write_response(call, call.response()).await,
        }
    }

    /// Waits until the call has to be answered or rejected. Never returns if the call has fallen silent.
    async fn until_due(&self, call: &OpenCall) {
        let mut changes = self.shared.subscribe();
        let wait = match call.query {
            DiscoveryQuery::CompleteList => Duration::ZERO,
            DiscoveryQuery::Watch { wait, .. } => wait,
        };
        let wait_end = Instant::now() + wait;
        loop {
            if call.is_silent() {
                pending::<()>().await;
            }
            let behavior = self.shared.behavior();
            let is_ended = matches!(behavior, DiscoveryBehavior::Reject503 | DiscoveryBehavior::ShutDown);
            if is_ended || call.is_rejected() || call.is_due() || wait_end <= Instant::now() {
                return;
            }
            let _ = timeout_at(wait_end, changes.changed()).await;
        }
    }

    /// Waits until the caller has closed the connection. Records a request that arrives before the response to
    /// the last one: the caller has taken something else for that response.
    async fn until_closed(&self) {
        if self.stream.peek(&mut [0; 1]).await.is_ok_and(|length| length > 0) {
            self.shared.early_requests.fetch_add(1, Ordering::Relaxed);
            pending::<()>().await;
        }
    }

    /// Waits for this delay, and returns whether the call can still be answered. Ends the call if it cannot.
    async fn wait_before_response(&self, call: &OpenCall, delay: Duration) -> bool {
        let is_open = tokio::select! {
            () = sleep(delay) => true,
            () = self.until_closed() => false,
        };
        if !is_open {
            call.end(CallOutcome::Abandoned);
        } else if call.is_silent() {
            self.until_closed().await;
            call.end(CallOutcome::Abandoned);
            return false;
        }
        is_open
    }

    async fn reject(&mut self, call: &OpenCall) -> io::Result<ConnectionState> {
        call.end(CallOutcome::Rejected);
        self.respond("503 Service Unavailable", "").await?;
        Ok(ConnectionState::KeepAlive)
    }

    async fn reject_after(&mut self, call: &OpenCall, delay: Duration) -> io::Result<ConnectionState> {
        if self.wait_before_response(call, delay).await {
            self.reject(call).await
        } else {
            Ok(ConnectionState::Closed)
        }
    }

    async fn write_response(
        &mut self,
        call: &OpenCall,
        response: ListResponse,
    ) -> io::Result<ConnectionState> {
        let change = self.shared.lock().take_change_after(call.query, response.outcome);
        if let Some(change) = &change {
            self.shared.lock().set_behavior(change.behavior);
        }
        call.begin_response(response.outcome);
        call.end(response.outcome);
        self.respond("200 OK", &response.body).await?;
        if let Some(change) = change {
            self.shared.change(change.record);
        }
        Ok(ConnectionState::KeepAlive)
    }

    async fn respond_late(
        &mut self,
        call: &OpenCall,
        delay: Duration,
        content: ResponseContent,
    ) -> io::Result<ConnectionState> {
        let response_when_due = call.response();
        if !self.wait_before_response(call, delay).await {
            return Ok(ConnectionState::Closed);
        }
        let response = match content {
            ResponseContent::WhenDue => response_when_due,
            ResponseContent::WhenWritten => call.response(),
        };
        self.write_response(call, response).await
    }

    async fn respond_in_turn(
        &mut self,
        call: &OpenCall,
        service_time: Duration,
        patience: Duration,
    ) -> io::Result<ConnectionState> {
        let shared = self.shared.clone();
        let Ok(_turn) = timeout(patience, shared.turn.lock()).await else {
            return self.reject(call).await;
        };
        // An abandoned call takes this time too.
        sleep(service_time).await;
        if timeout(Duration::ZERO, self.until_closed()).await.is_ok() {
            call.end(CallOutcome::Abandoned);
            return Ok(ConnectionState::Closed);
        }
        self.write_response(call, call.response()).await
    }

    async fn drip(&mut self, call: &OpenCall, duration: Duration) -> io::Result<ConnectionState> {
        let response = call.response();
        self.stream.write_all(head("200 OK", &response.body).as_bytes()).await?;
        let piece_length = response.body.len().div_ceil(DRIP_PIECES as usize);
        for piece in response.body.as_bytes().chunks(piece_length) {
            if !self.wait_before_response(call, duration / DRIP_PIECES).await {
                return Ok(ConnectionState::Closed);
            }
            self.stream.write_all(piece).await?;
        }
        call.begin_response(response.outcome);
        call.end(response.outcome);
        Ok(ConnectionState::KeepAlive)
    }

    async fn break_off(&mut self, call: &OpenCall) -> io::Result<ConnectionState> {
        self.write_half(call).await?;
        Ok(ConnectionState::Closed)
    }

    async fn stall(&mut self, call: &OpenCall) -> io::Result<ConnectionState> {
        self.write_half(call).await?;
        self.until_closed().await;
        call.end(CallOutcome::Abandoned);
        Ok(ConnectionState::Closed)
    }

    async fn write_half(&mut self, call: &OpenCall) -> io::Result<()> {
        let ListResponse { body, outcome } = call.response();
        call.begin_response(outcome);
        sleep(self.shared.latency()).await;
        self.stream.write_all(head("200 OK", &body).as_bytes()).await?;
        self.stream.write_all(&body.as_bytes()[..body.len() / 2]).await
    }

    async fn respond_with_fault(
        &mut self,
        call: &OpenCall,
        fault: ResponseFault,
    ) -> io::Result<ConnectionState> {
        match fault {
            ResponseFault::BreakOff => self.break_off(call).await,
            ResponseFault::Stall => self.stall(call).await,
            ResponseFault::Lose => {
                call.begin_response(call.response().outcome);
                self.stream.set_zero_linger()?;
                Ok(ConnectionState::Closed)
            }
            ResponseFault::Outdated(delay) => self.respond_late(call, delay, ResponseContent::WhenDue).await,
        }
    }

    /// Waits for the turn of a call unless that exceeds `patience`. Returns whether the call was accepted.
    async fn take_turn(&self, service_time: Duration, patience: Duration) -> bool {
        let waiting = self.shared.queue_length.fetch_add(1, Ordering::Relaxed);
        let is_accepted = service_time * waiting <= patience;
        if is_accepted {
            let _turn = self.shared.turn.lock().await;
            sleep(service_time).await;
        }
        self.shared.queue_length.fetch_sub(1, Ordering::Relaxed);
        is_accepted
    }

    async fn respond(&mut self, status: &str, body: &str) -> io::Result<()> {
        sleep(self.shared.latency()).await;
        let response = head(status, body) + body;
        match self.shared.behavior() {
            DiscoveryBehavior::Surplus(surplus) => surplus.write_after(&mut self.stream, &response).await,
            _ => self.stream.write_all(response.as_bytes()).await,
        }
    }
}

fn head(status: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len())
}

/// Parses the query of a request for the list.
fn parse_query(request_line: &str) -> DiscoveryQuery {
    let target = request_line.split(' ').nth(1).unwrap_or_default();
    let number = |name: &str| -> Option<u64> {
        let parameters = target.split_once('?')?.1;
        parameters.split('&').find_map(|parameter| parameter.strip_prefix(name)?.parse().ok())
    };
    match (number("index="), number("wait=")) {
        (Some(since_revision), Some(wait)) => {
            DiscoveryQuery::Watch { since_revision, wait: Duration::from_millis(wait) }
        }
        _ => DiscoveryQuery::CompleteList,
    }
}
