//! The calls to the discovery service that have no response yet.

use super::request::{ListQuery, PollError, request_list};
use crate::forwarder::discovery_client::CallLimits;
use crate::forwarder::messages::endpoint_list::EndpointList;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// A call that was started.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListCall {
    /// Later calls have higher numbers.
    pub(super) number: u64,
    pub(super) query: ListQuery,
    pub(super) started_at: Instant,
    /// If the call is a watch and has been open for longer than this, the service has accepted it.
    pub(super) established_after: Duration,
}

impl ListCall {
    /// Whether the call has been open for so long that the service must have accepted it.
    pub(super) fn is_established(&self, now: Instant) -> bool {
        self.established_after < now.saturating_duration_since(self.started_at)
    }

    /// When the service responds to a watch if nothing changes.
    pub(super) fn wait_end(&self) -> Instant {
        self.started_at + self.query.wait()
    }
}

/// A call that has ended.
pub(super) struct FinishedCall {
    pub(super) call: ListCall,
    pub(super) result: Result<EndpointList, PollError>,
}

/// Progress or the end of a call.
pub(super) enum CallEvent {
    /// Bytes of the response have arrived.
    ResponseProgress(ListCall),
    /// The call has ended.
    Finished(FinishedCall),
}

/// Maximum number of calls that may be open at once: an overdue call and its hedges.
const MAX_OPEN_CALLS: usize = 6;
/// Minimum interval between the starts of calls that are kept open beside each other.
const KEPT_CALL_INTERVAL: Duration = Duration::from_millis(1500);

/// Maximum number of progress reports that wait to be handled. Further reports are dropped, and the response
/// then counts as having stopped slightly earlier than it did.
const PROGRESS_CAPACITY: usize = 64;

/// An open call to the current address, and its task.
struct OpenCall {
    call: ListCall,
    task: AbortHandle,
}

/// Owns the open calls, each of which has a connection of its own. They are aborted when this is dropped.
pub(super) struct OpenCalls {
    tasks: JoinSet<FinishedCall>,
    /// The progress reports of the tasks, each of which holds a sender.
    progress: Receiver<ListCall>,
    progress_sender: Sender<ListCall>,
    next_number: u64,
    /// The number of the first call to the current address.
    first_number: u64,
    /// Open calls to the current address, in the order of their start.
    open: Vec<OpenCall>,
    /// The longest response, in bytes.
    max_list_bytes: usize,
}

impl OpenCalls {
    /// Creates a collection without calls. A response may be at most `max_list_bytes` long.
    pub(super) fn new(max_list_bytes: usize) -> Self {
        let (progress_sender, progress) = channel(PROGRESS_CAPACITY);
        OpenCalls {
            tasks: JoinSet::new(),
            progress,
            progress_sender,
            next_number: 0,
            first_number: 0,
            open: Vec::new(),
            max_list_bytes,
        }
    }

    /// The open calls to the current address, in the order of their start.
    pub(super) fn open(&self) -> impl DoubleEndedIterator<Item = ListCall> + ExactSizeIterator {
        self.open.iter().map(|open| open.call)
    }

    /// Starts a call.
    pub(super) fn start(
        &mut self,
        address: SocketAddr,
        query: ListQuery,
        limits: CallLimits,
        established_after: Duration,
    ) -> ListCall {
        let call =
            ListCall { number: self.next_number, query, started_at: Instant::now(), established_after };
        self.next_number += 1;
        let progress = self.progress_sender.clone();
        let max_bytes = self.max_list_bytes;
        let task = self.tasks.spawn(async move {
            let report_progress = || {
                // If the channel is full, an earlier report of this response is in it.
                let _ = progress.try_send(call);
            };
            let result = request_list(address, query, limits, max_bytes, report_progress).await;
            FinishedCall { call, result }
        });
        self.open.push(OpenCall { call, task });
        call
    }

    /// Abandons a call if another one could not be kept open beside those that are open. The starts of the
    /// kept calls are spread over time, so that a slow service has time to respond to each.
    pub(super) fn make_room(&mut self) {
        let mut newest_first = self.open.iter().rev().map(|open| open.call.started_at);
        let newest_interval =
            newest_first.next().zip(newest_first.next()).map(|(newest, previous)| newest - previous);
        if newest_interval.is_some_and(|interval| interval < KEPT_CALL_INTERVAL) {
            self.abort(self.open.len() - 1);
        } else if self.open.len() >= MAX_OPEN_CALLS {
            self.abort(0);
        }
    }

    /// Abandons the open call at this index.
    fn abort(&mut self, index: usize) {
        self.open.remove(index).task.abort();
    }

    /// Waits for the next event of a call. Progress is returned before the end of the call.
    pub(super) async fn next_event(&mut self) -> CallEvent {
        loop {
            tokio::select! {
                biased;
                Some(call) = self.progress.recv() => return CallEvent::ResponseProgress(call),
                Some(joined) = self.tasks.join_next() => {
                    // An abandoned call has no result.
                    if let Ok(finished) = joined {
                        return CallEvent::Finished(finished);
                    }
                }
            }
        }
    }

    /// Removes a finished call.
    pub(super) fn complete(&mut self, finished: FinishedCall) -> (ListCall, Result<EndpointList, PollError>) {
        let FinishedCall { call, result } = finished;
        self.open.retain(|open| open.call.number != call.number);
        (call, result)
    }

    /// Prepares for calls to another address. The open calls continue, and their events are still returned.
    pub(super) fn change_address(&mut self) {
        self.first_number = self.next_number;
        self.open.clear();
    }

    /// Whether the call was made to the current address.
    pub(super) fn is_to_current_address(&self, call: ListCall) -> bool {
        call.number >= self.first_number
    }
}
