//! Sends notices to the platform about accepted messages that were not delivered.
//!
//! Notices are sent in batches, and each batch is retried until the platform acknowledges it. A notice that
//! arrives twice is harmless, while a message without its notice would be lost unnoticed.

use crate::forwarder::discovery_client::{self, Backoff, CallError, CallLimits, address_changed};
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::notice::Notice;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::sync::watch;
use tokio::time::sleep;

/// Time limits of a call. The platform acknowledges immediately, even during an outage of discovery. The
/// limits are short because a notice must arrive soon after the deadline of its message.
const CALL_LIMITS: CallLimits =
    CallLimits { connect: Duration::from_millis(250), response: Duration::from_millis(250) };
/// Delay after the first failed attempt to send a batch.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Longest delay after a failed attempt to send a batch.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Sends each batch until it is acknowledged, and then reports it to the runtime. Returns when the runtime
/// has closed `batches` or no longer receives events.
///
/// The runtime holds the other ends of both bounded channels. It queues notices while a batch is sent, so
/// `batches` needs only a capacity of one.
pub(crate) async fn send_all(
    address: watch::Receiver<SocketAddr>,
    mut batches: Receiver<Vec<Notice>>,
    events: Sender<RuntimeEvent>,
) {
    let mut sender = NoticeSender { address };
    while let Some(batch) = batches.recv().await {
        sender.send_until_acknowledged(&batch).await;
        if events.send(RuntimeEvent::NoticesAcknowledged(batch)).await.is_err() {
            return;
        }
    }
}

/// Sends notices to the platform, whose address may change.
struct NoticeSender {
    address: watch::Receiver<SocketAddr>,
}

impl NoticeSender {
    async fn send_until_acknowledged(&mut self, batch: &[Notice]) {
        let body = encode(batch);
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            let address = *self.address.borrow_and_update();
            // If the address changes, the call is cancelled and the batch is sent to the new address at once.
            let result = tokio::select! {
                biased;
                result = post(address, body.clone()) => result,
                Ok(()) = address_changed(&self.address) => continue,
            };
            let Err(error) = result else { return };
            eprintln!("notices: {error}; retrying a batch of {} notices", batch.len());
            tokio::select! {
                () = sleep(backoff.next_delay()) => {}
                // The new address may be reachable, so it is called immediately.
                Ok(()) = address_changed(&self.address) => backoff.reset(),
            }
        }
    }
}

/// Encodes a batch as one JSON object per line.
fn encode(batch: &[Notice]) -> Bytes {
    let mut text = Vec::new();
    for notice in batch {
        serde_json::to_writer(&mut text, notice)
            .expect("a notice has no map and writing to memory cannot fail");
        text.push(b'\n');
    }
    text.into()
}

async fn post(address: SocketAddr, body: Bytes) -> Result<(), CallError> {
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/v1/notices");
    request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/x-ndjson"));
    discovery_client::call(address, request, CALL_LIMITS, || {}, check_acknowledged).await
}

async fn check_acknowledged(response: Response<Incoming>) -> Result<(), CallError> {
    match response.status() {
        status if status.is_success() => Ok(()),
        status => Err(CallError::Status(status)),
    }
}

#[cfg(test)]
mod format_tests;
#[cfg(test)]
mod tests;
