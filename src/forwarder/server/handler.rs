//! Handles the requests of clients: readiness checks and submitted messages.

use super::activity::ConnectionActivity;
use super::lifecycle::{ConnectionCounts, LifecyclePhase};
use super::reply::{HttpReply, OVERLOAD_RETRY_AFTER, close_after, encode_reply, status_reply};
use super::request::{MessageHeaders, RequestRejection, body_length, parse_class, read_body};
use super::request_memory::RequestMemory;
use crate::forwarder::event::RuntimeEvent;
use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::interface::{Idempotency, Settings};
use crate::settings_reader::SettingNames;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::{Method, Request, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::Sender;
use tokio::sync::{oneshot, watch};

/// The path of the readiness check.
const READINESS_PATH: &str = "/-/ready";

/// The handler of all client requests, shared by all connections.
pub(crate) struct RequestHandler {
    /// The names of classes and tenants, as clients use them.
    pub(crate) setting_names: SettingNames,
    /// The settings of the decision module, for the idempotency of each class.
    pub(crate) settings: Settings,
    /// The bounded event queue of the runtime, which submitted messages are passed to.
    pub(crate) runtime: Sender<RuntimeEvent>,
    /// The phase of the process, which the runtime sets.
    pub(crate) phase: watch::Receiver<LifecyclePhase>,
    /// The numbers of connections, shared with the runtime.
    pub(crate) connection_counts: Arc<ConnectionCounts>,
    /// Bounds the memory of long heads, and that of bodies until the reply.
    pub(crate) request_memory: Arc<RequestMemory>,
}

impl RequestHandler {
    /// Handles one request, which the caller has recorded in `activity`, and records its end there.
    pub(super) async fn handle(
        &self,
        request: Request<Incoming>,
        activity: &ConnectionActivity,
    ) -> HttpReply {
        let mut reply = self.route(request, activity).await.unwrap_or_else(rejection_reply);
        // Where an invalid request ends is unknown: the bytes after it must not be read as another request.
        if reply.status().is_client_error() || self.phase() >= LifecyclePhase::Draining {
            close_after(&mut reply);
        }
        activity.end_request();
        reply
    }

    async fn route(
        &self,
        request: Request<Incoming>,
        activity: &ConnectionActivity,
    ) -> Result<HttpReply, RequestRejection> {
        let body_timeout = activity.remaining_request_time();
        if activity.has_ambiguous_framing() {
            return Err(RequestRejection::AmbiguousFraming);
        }
        if request.headers().contains_key(TRANSFER_ENCODING) {
            return Err(RequestRejection::LengthRequired);
        }
        match (request.method(), request.uri().path()) {
            (&Method::GET, READINESS_PATH) => Ok(status_reply(self.readiness())),
            // The path is `/` and the name of a class.
            (&Method::POST, path) if path.len() > 1 => self.submit(request, activity, body_timeout).await,
            _ => Err(RequestRejection::NotFound),
        }
    }

    fn phase(&self) -> LifecyclePhase {
        *self.phase.borrow()
    }

    fn readiness(&self) -> StatusCode {
        match self.phase() {
            LifecyclePhase::Draining => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::OK,
        }
    }

    /// Validates a message, submits it to the runtime and waits for the reply. The body may take
    /// `body_timeout` to arrive.
    async fn submit(
        &self,
        request: Request<Incoming>,
        activity: &ConnectionActivity,
        body_timeout: Duration,
    ) -> Result<HttpReply, RequestRejection> {
        let (parts, body) = request.into_parts();
        let (class, headers) = self.parse_head(parts)?;
        let length = body_length(&body)?;
        // Its memory is released when this function returns the reply.
        let body = read_body(body, length, &self.request_memory, body_timeout).await?;
        activity.complete_request();
        Ok(encode_reply(self.submit_to_runtime(class, headers, body.bytes, activity).await))
    }

    /// Returns the class and the headers of a message. The head is dropped, so that its memory is free while
    /// the body arrives.
    fn parse_head(&self, head: Parts) -> Result<(usize, MessageHeaders), RequestRejection> {
        let class = parse_class(head.uri.path(), &self.setting_names.classes)?;
        let key_required = self.is_key_required(class);
        let headers = MessageHeaders::parse(&head.headers, &self.setting_names.tenants, key_required)?;
        Ok((class, headers))
    }

    fn is_key_required(&self, class: usize) -> bool {
        matches!(self.settings.classes[class].idempotency, Idempotency::Keyed { .. })
    }

    async fn submit_to_runtime(
        &self,
        class: usize,
        headers: MessageHeaders,
        body: Bytes,
        activity: &ConnectionActivity,
    ) -> ClientReply {
        // The client has probably left, so the message is not worth accepting. Its connection may still hold
        // many requests.
        if activity.is_closed_by_client() {
            return ClientReply::Rejected(None);
        }
        // The runtime holds the sender until the message is accepted or complete.
        let (reply, mut received_reply) = oneshot::channel();
        let message = ClientRequest {
            id: headers.id,
            client: Some(activity.client()),
            class,
            tenant: headers.tenant,
            destination: headers.destination,
            idempotency_key: headers.key,
            body,
            deadline: Instant::now() + headers.remaining,
            reply,
        };
        // A full queue means that the runtime is overloaded. The message was not accepted, so the client may
        // submit it again.
        if self.runtime.try_send(RuntimeEvent::ClientRequest(message)).is_err() {
            return ClientReply::Rejected(Some(OVERLOAD_RETRY_AFTER));
        }
        tokio::select! {
            biased;
            reply = &mut received_reply => reply.unwrap_or(ClientReply::Rejected(None)),
            () = activity.closed_by_client() => withdraw(received_reply),
        }
    }
}

/// The reply to a request that does not reach the runtime.
fn rejection_reply(rejection: RequestRejection) -> HttpReply {
    if rejection != RequestRejection::OutOfMemory {
        return status_reply(rejection.status());
    }
    let mut reply = encode_reply(ClientReply::Rejected(Some(OVERLOAD_RETRY_AFTER)));
    // The rest of the body is not read, so no other request can follow on this connection.
    close_after(&mut reply);
    reply
}

/// Withdraws a message whose client has closed its sending side: the client has probably disconnected, so the
/// message is not worth accepting. Returns the reply for a client that still waits. The runtime never accepts
/// a message whose reply channel was closed before the reply.
fn withdraw(mut received_reply: oneshot::Receiver<ClientReply>) -> ClientReply {
    received_reply.close();
    received_reply.try_recv().unwrap_or(ClientReply::Rejected(None))
}
