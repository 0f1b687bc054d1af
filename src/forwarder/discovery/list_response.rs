//! What a response with a list tells, beside the list itself.

use super::open_calls::ListCall;
use super::request::ListQuery;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::time::Duration;
use tokio::time::Instant;

/// Logs a list that contains something.
pub(super) fn log_list(call: ListCall, list: &EndpointList, now: Instant) {
    let (number, revision, records) = (call.number, list.revision, list.endpoints.len());
    let elapsed = (now - call.started_at).as_millis();
    if list.complete {
        eprintln!("discovery: call {number}: revision {revision}, {records} endpoints, after {elapsed} ms");
    } else if records > 0 {
        eprintln!("discovery: call {number}: revision {revision}, {records} changes, after {elapsed} ms");
    }
}

/// The revision since which changes suffice; `None` if the complete list is needed.
pub(super) fn next_revision(query: ListQuery, list: &EndpointList) -> Option<u64> {
    if list.complete {
        // One with an unreadable record is used as it is, since another request would return the same.
        return Some(list.revision);
    }
    let is_restarted = match query {
        // The service counts from a lower revision again: its changes do not build on the list in use.
        ListQuery::Changes { since_revision, .. } => list.revision < since_revision,
        ListQuery::Complete => false,
    };
    // A changed record that could not be parsed may be a drain.
    (!is_restarted && list.unreadable == 0).then_some(list.revision)
}

/// Whether the service has told that nothing changed.
fn has_no_changes(list: &EndpointList) -> bool {
    !list.complete && list.endpoints.is_empty() && list.unreadable == 0
}

/// How long after the service could have sent it the list arrived, as far as that is known.
pub(super) fn response_time(call: ListCall, list: &EndpointList, now: Instant) -> Duration {
    let elapsed = now - call.started_at;
    match call.query {
        ListQuery::Complete => elapsed,
        ListQuery::Changes { wait, .. } if list.endpoints.is_empty() => elapsed.saturating_sub(wait),
        // The change may have been made at any time since the start of the call.
        ListQuery::Changes { .. } => Duration::ZERO,
    }
}

/// How long after the service could have sent it the list arrived at the most.
pub(super) fn longest_response_time(call: ListCall, list: &EndpointList, now: Instant) -> Duration {
    let elapsed = now - call.started_at;
    if has_no_changes(list) { elapsed.saturating_sub(call.query.wait()) } else { elapsed }
}

/// A moment at which the list was current for sure.
pub(super) fn current_at(call: ListCall, list: &EndpointList, now: Instant) -> Instant {
    let waited_until = call.started_at + call.query.wait();
    match has_no_changes(list) && waited_until <= now {
        // The service waited for all of the time that it was asked to.
        true => waited_until,
        false => call.started_at,
    }
}
