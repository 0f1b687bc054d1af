//! Encodes decisions and the state of the decision module for the digest. The numbers here are part of the
//! recording.

use super::inputs::Decision;
use crate::support_history::Digest;
use message_forwarder::interface::{DestinationBacklog, HealthState, LearnedState};

fn add(digest: &mut Digest, fields: &[i64]) {
    fields.iter().for_each(|field| digest.add_bytes(&field.to_le_bytes()));
}

fn bits(number: f64) -> i64 {
    number.to_bits() as i64
}

fn optional_bits(number: Option<f64>) -> [i64; 2] {
    number.map_or([0, 0], |number| [1, bits(number)])
}

/// The number of a kind of decision, from 1 to 8.
pub(crate) fn tag(decision: &Decision) -> usize {
    match decision {
        Decision::Send { .. } => 1,
        Decision::Reject { .. } => 2,
        Decision::Fail { .. } => 3,
        Decision::Cancel { .. } => 4,
        Decision::CloseIdleConnections { .. } => 5,
        Decision::Wake { .. } => 6,
        Decision::Subscribe => 7,
        Decision::AcceptClients(_) => 8,
    }
}

pub(crate) fn encode_decision(now: i64, decision: &Decision, digest: &mut Digest) {
    add(digest, &[now, tag(decision) as i64]);
    match *decision {
        Decision::Send { id, endpoint, timeout, send_before } => {
            add(digest, &[id as i64, endpoint as i64, timeout, send_before]);
        }
        Decision::Reject { id, retry_after } => add(digest, &[id as i64, retry_after]),
        Decision::Fail { id } => add(digest, &[id as i64]),
        Decision::Cancel { id, attempt } => add(digest, &[id as i64, attempt as i64]),
        Decision::CloseIdleConnections { endpoint } => add(digest, &[endpoint as i64]),
        Decision::Wake { at } => add(digest, &[at]),
        Decision::Subscribe => {}
        Decision::AcceptClients(open) => add(digest, &[i64::from(open)]),
    }
}

pub(super) fn encode_backlog(backlog: &DestinationBacklog, digest: &mut Digest) {
    let DestinationBacklog {
        destination,
        messages,
        endpoints,
        calls,
        degraded,
        outage,
        rate,
        ready_in,
        retry_after,
    } = *backlog;
    add(digest, &[100, destination as i64, messages as i64, endpoints as i64, calls as i64]);
    add(digest, &[i64::from(degraded), i64::from(outage), ready_in, retry_after]);
    add(digest, &optional_bits(rate));
}

pub(super) fn encode_learned(learned: &LearnedState, digest: &mut Digest) {
    let state = match learned.health {
        HealthState::Healthy => [0, 0],
        HealthState::Down { next_probe } => [1, next_probe],
        HealthState::WarmingUp { since } => [2, since],
    };
    add(digest, &[200, learned.destination as i64]);
    add(digest, &learned.endpoint.map_or([0, 0], |endpoint| [1, endpoint as i64]));
    add(digest, &[learned.retry_after, learned.next_call_in, learned.age]);
    add(digest, &state);
    add(
        digest,
        &[learned.healthy_rate, learned.calls_sent, learned.usual_latency, learned.recent_latency].map(bits),
    );
    add(digest, &learned.outcome_counts.map(bits));
    add(digest, &optional_bits(learned.rate_limit));
    add(digest, &optional_bits(learned.reported_limit));
}
