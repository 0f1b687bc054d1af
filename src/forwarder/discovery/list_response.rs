//! Properties of a response with a list: its revision, how late it arrived, and when its list was current.

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

/// The revision since which the next call requests changes; `None` if it has to request the complete list.
pub(super) fn next_revision(query: ListQuery, list: &EndpointList) -> Option<u64> {
    if list.complete {
        // A complete list with an invalid record is used as it is: another request would return the same
        // list.
        return Some(list.revision);
    }
    let is_restarted = match query {
        // The service has restarted at a lower revision: its changes are not relative to the list in use.
        ListQuery::Changes { since_revision, .. } => list.revision < since_revision,
        ListQuery::Complete => false,
    };
    // A changed record that could not be parsed may be a drain.
    (!is_restarted && list.invalid_records == 0).then_some(list.revision)
}

/// Whether the service has responded that nothing changed.
pub(super) fn has_no_changes(list: &EndpointList) -> bool {
    !list.complete && list.endpoints.is_empty() && list.invalid_records == 0
}

/// The time from the moment at which the service could have sent the list to its arrival; zero if it is not
/// known.
pub(super) fn response_time(call: ListCall, list: &EndpointList, now: Instant) -> Duration {
    let elapsed = now - call.started_at;
    match call.query {
        ListQuery::Complete => elapsed,
        ListQuery::Changes { wait, .. } if list.endpoints.is_empty() => elapsed.saturating_sub(wait),
        // The change may have been made at any time since the start of the call.
        ListQuery::Changes { .. } => Duration::ZERO,
    }
}

/// The upper bound of the time since the service accepted a call in time. A watch shows this of its start
/// only; that is recent if its wait was at most `short_wait`, which is not counted then.
pub(super) fn acceptance_age(
    call: ListCall,
    list: &EndpointList,
    now: Instant,
    short_wait: Duration,
) -> Duration {
    let elapsed = now - call.started_at;
    let wait = call.query.wait();
    if has_no_changes(list) && wait <= short_wait { elapsed.saturating_sub(wait) } else { elapsed }
}

/// The latest moment at which the list is known to have been current.
pub(super) fn current_at(call: ListCall, list: &EndpointList, now: Instant) -> Instant {
    let waited_until = call.started_at + call.query.wait();
    match has_no_changes(list) && waited_until <= now {
        // The service responded only after the complete wait.
        true => waited_until,
        false => call.started_at,
    }
}
