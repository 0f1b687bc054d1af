//! Makes one call to an endpoint, from its request to its report.

use super::exchange::{CallConnection, NoResponse};
use super::outcome::{attempt_result, attempt_results};
use super::pending_items::PendingItems;
use super::request::encode_request;
use super::response::EndpointResponse;
use super::write_guard::WriteGuard;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::http::{Connection, TcpConnector};
use crate::forwarder::messages::attempt::AttemptKey;
use crate::forwarder::messages::call_report::{AttemptResult, CallReport, ConnectionUsage};
use crate::interface::{EndpointId, MessageId, Outcome};
use bytes::Bytes;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::{Instant, sleep, sleep_until};

/// One message in a call.
pub(crate) struct CallItem {
    /// The number of the message within this process.
    pub(crate) id: MessageId,
    /// Number of the attempt.
    pub(crate) attempt: usize,
    /// The id that the client gave to the message.
    pub(crate) message: String,
    /// The idempotency key.
    pub(crate) idempotency_key: Option<String>,
    /// The payload.
    pub(crate) body: Bytes,
    /// When the attempt times out.
    pub(crate) times_out_at: Instant,
    /// When the message expires. The whole call ends then.
    pub(crate) expires_at: Instant,
    /// The attempt must not be written at or after this time: if it is a retry, the endpoint may have
    /// forgotten the idempotency key by then.
    pub(crate) send_before: Instant,
}

impl CallItem {
    /// The attempt that is made in the call.
    pub(crate) fn key(&self) -> AttemptKey {
        AttemptKey { id: self.id, attempt: self.attempt }
    }
}

/// A call to make.
pub(crate) struct OutboundCall {
    /// The endpoint to call.
    pub(crate) endpoint: EndpointId,
    /// The address to call.
    pub(crate) address: SocketAddr,
    /// The messages to send. If there are none, nothing is sent, and the report has no results.
    pub(crate) items: Vec<CallItem>,
    /// An idle connection to the address, if there is one to reuse.
    pub(crate) reused: Option<Connection>,
    /// How long that connection has to rest before the call is written: bytes may still follow its last response.
    pub(crate) rest: Duration,
    /// Maximum time to establish a connection.
    pub(crate) connect_timeout: Duration,
    /// Commands from the runtime, which holds the sender. The channel has capacity for all commands that a
    /// call can receive, so the runtime sends without waiting.
    pub(crate) commands: Receiver<CallCommand>,
    /// Checks whether the call may still be written. The runtime holds the other reference.
    pub(crate) guard: Arc<WriteGuard>,
    /// The bounded event queue of the runtime, to which the report is sent.
    pub(crate) events: Sender<RuntimeEvent>,
}

/// A command to a call in flight.
pub(crate) enum CallCommand {
    /// Cancel this attempt.
    Cancel(AttemptKey),
    /// Abandon the call. One of its messages has failed and the client is notified of that, so the message
    /// must not be delivered any more, and a single message cannot be removed from a call that has been
    /// written.
    Abandon,
    /// Do not write the call from now on, for instance because the destination sent a Retry-After.
    WithholdWrite,
}

/// Makes the call and reports the outcome of each attempt in it to the runtime.
///
/// The results are reported together when the call is over. Until then the endpoint may still be executing
/// each of its messages, and a retry of one of them could execute it twice.
pub(crate) async fn perform(mut call: OutboundCall) {
    let items = std::mem::take(&mut call.items);
    let reused = call.reused.take();
    let Some(request) = encode_request(&items, call.address) else {
        // Each attempt must be reported nevertheless: otherwise it would occupy its call slot forever.
        let results = items.iter().map(|item| attempt_result(item, Outcome::NotSent)).collect();
        return call.report(results, reused, ConnectionUsage::default()).await;
    };
    let mut connection = CallConnection::new(TcpConnector, call.address, call.connect_timeout, reused);
    let mut pending = PendingItems::new(items);
    let response = {
        let exchange = pin!(async {
            sleep(call.rest).await;
            connection.exchange(request, &call.guard).await
        });
        await_response(exchange, &mut pending, &mut call.commands, &call.guard).await
    };
    let is_complete = matches!(&response, Some(Ok(response)) if response.is_complete);
    // The connection is closed before the report, so that the endpoint can notice the end of this call before
    // a retry starts.
    if !is_complete {
        connection.close().await;
    }
    let (waiting, mut results) = pending.into_parts(&call.guard);
    if let Some(response) = response {
        results.extend(attempt_results(&waiting, &response));
    }
    let (connection, usage) = connection.into_parts();
    call.report(results, connection, usage).await;
}

/// Waits for the end of the exchange, and meanwhile ends attempts that time out or are cancelled. Returns
/// `None` once no attempt waits for the response any more.
async fn await_response<E>(
    mut exchange: Pin<&mut E>,
    pending: &mut PendingItems,
    commands: &mut Receiver<CallCommand>,
    guard: &WriteGuard,
) -> Option<Result<EndpointResponse, NoResponse>>
where
    E: Future<Output = Result<EndpointResponse, NoResponse>>,
{
    while let Some(next_timeout) = pending.next_timeout() {
        // Once `send_before` has passed it is `None`, and its timer is disabled.
        let send_before = pending.send_before();
        tokio::select! {
            response = &mut exchange => return Some(response),
            () = sleep_until(next_timeout) => pending.end_timed_out(Instant::now()),
            () = sleep_until(send_before.unwrap_or(next_timeout)), if send_before.is_some() => {
                pending.end_if_unwritten(guard);
            }
            Some(command) = commands.recv() => pending.apply(command, guard),
        }
    }
    None
}

impl OutboundCall {
    /// Reports the end of the call.
    async fn report(
        &self,
        results: Vec<AttemptResult>,
        connection: Option<Connection>,
        connection_usage: ConnectionUsage,
    ) {
        let (endpoint, address) = (self.endpoint, self.address);
        let report = CallReport { endpoint, address, results, connection, connection_usage };
        // The runtime closes the channel only when the process ends.
        let _ = self.events.send(RuntimeEvent::CallEnded(report)).await;
    }
}
