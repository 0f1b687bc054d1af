//! Derives the outcome of each attempt from the end of its call.

use super::call::CallItem;
use super::exchange::NoResponse;
use super::response::{DeliveryState, EndpointResponse};
use crate::forwarder::messages::call_report::AttemptResult;
use crate::interface::Outcome;
use hyper::StatusCode;

/// The meaning of a response for one message.
struct MessageOutcome {
    outcome: Outcome,
    /// The message is complete: it needs no further attempt and no final reply.
    finished: bool,
}

impl MessageOutcome {
    fn finished(outcome: Outcome) -> Self {
        MessageOutcome { outcome, finished: true }
    }

    fn unfinished(outcome: Outcome) -> Self {
        MessageOutcome { outcome, finished: false }
    }
}

impl NoResponse {
    fn outcome(self) -> Outcome {
        match self {
            NoResponse::NotConnected => Outcome::ConnectFailed,
            NoResponse::Withheld | NoResponse::NotSent => Outcome::NotSent,
            NoResponse::Interrupted => Outcome::Reset,
            NoResponse::Invalid => Outcome::InvalidResponse,
            NoResponse::StaleConnection => Outcome::StaleConnection,
        }
    }
}

/// The result of an attempt that ended without a response.
pub(super) fn attempt_result(item: &CallItem, outcome: Outcome) -> AttemptResult {
    AttemptResult {
        id: item.id,
        attempt: item.attempt,
        outcome,
        finished: false,
        report: None,
        retry_after: None,
        // Without a response, these outcomes mean that no complete call was written.
        unsent: matches!(outcome, Outcome::ConnectFailed | Outcome::NotSent),
    }
}

/// The results of the attempts that waited for the response.
pub(super) fn attempt_results(
    waiting: &[CallItem],
    response: &Result<EndpointResponse, NoResponse>,
) -> Vec<AttemptResult> {
    match response {
        Ok(response) => results_of_response(waiting, response),
        Err(error) => waiting.iter().map(|item| attempt_result(item, error.outcome())).collect(),
    }
}

fn results_of_response(waiting: &[CallItem], response: &EndpointResponse) -> Vec<AttemptResult> {
    let mut results: Vec<AttemptResult> =
        waiting.iter().map(|item| result_of_response(item, response)).collect();
    // The decision module judges a call by the last result that it receives of it: a few delivered messages
    // must not hide that the others were rejected or failed.
    results.sort_by_key(|result| severity(result.outcome));
    results
}

fn result_of_response(item: &CallItem, response: &EndpointResponse) -> AttemptResult {
    let MessageOutcome { outcome, finished } = message_outcome(response, &item.message);
    AttemptResult {
        finished,
        report: response.load_report,
        // An endpoint may ask for a wait with any outcome, even if it has accepted all messages.
        retry_after: response.retry_after,
        unsent: false,
        ..attempt_result(item, outcome)
    }
}

/// The rank of an outcome. In the results of a call, outcomes with a higher rank follow those with a lower
/// one.
fn severity(outcome: Outcome) -> u8 {
    match outcome {
        Outcome::Delivered => 0,
        Outcome::NotSent => 1,
        Outcome::Rejected { .. } => 2,
        _ => 3,
    }
}

fn message_outcome(response: &EndpointResponse, message: &str) -> MessageOutcome {
    let rejected = Outcome::Rejected { retry_after: response.retry_after };
    match response.status {
        StatusCode::OK if response.item_states.is_some() => {
            batch_item_outcome(response.item_state(message), rejected)
        }
        StatusCode::OK => MessageOutcome::finished(Outcome::Delivered),
        StatusCode::SERVICE_UNAVAILABLE if response.no_slot => MessageOutcome::unfinished(Outcome::NotSent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            MessageOutcome::unfinished(rejected)
        }
        StatusCode::GONE => MessageOutcome::finished(Outcome::NotSent),
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
            MessageOutcome::unfinished(Outcome::NotSent)
        }
        _ => MessageOutcome::unfinished(Outcome::Error),
    }
}

fn batch_item_outcome(state: Option<DeliveryState>, rejected: Outcome) -> MessageOutcome {
    match state {
        Some(DeliveryState::Accepted) => MessageOutcome::finished(Outcome::Delivered),
        Some(DeliveryState::Deferred) => MessageOutcome::unfinished(rejected),
        Some(DeliveryState::Expired) => MessageOutcome::finished(Outcome::NotSent),
        Some(DeliveryState::NoMore) => MessageOutcome::unfinished(Outcome::NotSent),
        // The response does not mention the message, or not in a form that can be parsed: it may have been
        // executed.
        Some(DeliveryState::Failed) | None => MessageOutcome::unfinished(Outcome::Error),
    }
}
