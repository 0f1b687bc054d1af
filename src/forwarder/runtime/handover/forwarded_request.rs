//! Encodes client requests for the successor and decodes those that the predecessor forwards.

use crate::forwarder::messages::client_request::{ClientReply, ClientRequest};
use crate::forwarder::upgrade::ForwardedRequest;
use crate::settings_reader::SettingNames;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Encodes a request for the successor, and returns the channel for the reply. Classes and tenants are passed
/// by name, because the successor may have different settings.
pub(super) fn encode(
    request: ClientRequest,
    names: &SettingNames,
) -> (ForwardedRequest, oneshot::Sender<ClientReply>) {
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    let forwarded = ForwardedRequest {
        id: request.id,
        class: names.classes[request.class].clone(),
        tenant: request.tenant.map(|tenant| names.tenants[tenant].clone()),
        destination: request.destination,
        idempotency_key: request.idempotency_key,
        body: STANDARD.encode(&request.body),
        remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    };
    (forwarded, request.reply)
}

/// Decodes a request that the predecessor forwarded. The reply will be sent to `reply`. Returns `None` if the
/// class or the tenant is unknown, or if the payload is not valid Base64.
pub(super) fn decode(
    forwarded: ForwardedRequest,
    names: &SettingNames,
    reply: oneshot::Sender<ClientReply>,
) -> Option<ClientRequest> {
    let tenant = match &forwarded.tenant {
        Some(name) => Some(names.tenants.index_of(name)?),
        None => None,
    };
    Some(ClientRequest {
        id: forwarded.id,
        client: None,
        class: names.classes.index_of(&forwarded.class)?,
        tenant,
        destination: forwarded.destination,
        idempotency_key: forwarded.idempotency_key,
        body: STANDARD.decode(forwarded.body).ok()?.into(),
        deadline: Instant::now() + Duration::from_millis(forwarded.remaining_ms),
        reply,
    })
}
