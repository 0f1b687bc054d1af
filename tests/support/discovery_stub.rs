//! A stand-in for the platform: the discovery service and the receiver of notices.

use super::EVENT_TIMEOUT;
use super::endpoint_stub::{EndpointStub, ReceivedCall};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A discovery service that holds each watch until the test pushes a list, and passes notices to the test. It
/// responds at once that there are no changes to a call that requests changes without waiting.
pub(crate) struct DiscoveryStub {
    pub address: SocketAddr,
    lists: mpsc::UnboundedSender<Value>,
    notice_calls: mpsc::UnboundedReceiver<ReceivedCall>,
}

impl DiscoveryStub {
    pub(crate) async fn start() -> Self {
        let stub = EndpointStub::start().await;
        let address = stub.address;
        let (lists, list_receiver) = mpsc::unbounded_channel();
        let (notice_sender, notice_calls) = mpsc::unbounded_channel();
        tokio::spawn(serve(stub, list_receiver, notice_sender));
        DiscoveryStub { address, lists, notice_calls }
    }

    /// Responds to the open watch, or else the next one, with changed records.
    pub(crate) fn push_changes(&self, revision: u64, endpoints: Vec<Value>) {
        self.push(revision, false, endpoints);
    }

    /// Responds to the open watch, or else the next one, with the complete list.
    pub(crate) fn push_complete_list(&self, revision: u64, endpoints: Vec<Value>) {
        self.push(revision, true, endpoints);
    }

    fn push(&self, revision: u64, complete: bool, endpoints: Vec<Value>) {
        let _ = self.lists.send(endpoint_list(revision, complete, endpoints));
    }

    /// Waits for the next call with notices, which the test has to respond to.
    pub(crate) async fn next_notice_call(&mut self) -> ReceivedCall {
        timeout(EVENT_TIMEOUT, self.notice_calls.recv())
            .await
            .expect("a notice arrives in time")
            .expect("the stub listens")
    }

    /// Waits for the next batch of notices, acknowledges it and returns it.
    pub(crate) async fn notices(&mut self) -> Vec<Value> {
        let call = self.next_notice_call().await;
        assert_eq!(call.path, "/v1/notices");
        let text = call.body.clone();
        call.respond(204);
        let lines = text.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
        lines.map(|line| serde_json::from_slice(line).expect("each line is a JSON object")).collect()
    }

    /// Waits for the next batch, which must contain one notice only, acknowledges it and returns the notice.
    pub(crate) async fn notice(&mut self) -> Value {
        let mut notices = self.notices().await;
        assert_eq!(notices.len(), 1, "{notices:?}");
        notices.remove(0)
    }

    /// Whether no notice arrives for this long.
    pub(crate) async fn is_quiet(&mut self, span: Duration) -> bool {
        timeout(span, self.notice_calls.recv()).await.is_err()
    }
}

async fn serve(
    mut stub: EndpointStub,
    mut lists: mpsc::UnboundedReceiver<Value>,
    notice_calls: mpsc::UnboundedSender<ReceivedCall>,
) {
    // The open watch, and the list that no watch has received yet.
    let mut watch: Option<ReceivedCall> = None;
    let mut list: Option<Value> = None;
    loop {
        tokio::select! {
            Some(call) = stub.receive_call() => {
                if let Some(revision) = revision_without_wait(&call.path) {
                    call.respond_with(200, &[], &endpoint_list(revision, false, Vec::new()).to_string());
                } else if call.path.starts_with("/api/targets") {
                    watch = Some(call);
                } else {
                    let _ = notice_calls.send(call);
                }
            }
            Some(pushed) = lists.recv() => list = Some(pushed),
            else => return,
        }
        if let (Some(call), Some(pushed)) = (watch.take_if(|_| list.is_some()), list.as_ref()) {
            call.respond_with(200, &[], &pushed.to_string());
            list = None;
        }
    }
}

/// The revision of a call that requests the changes since that revision without waiting.
fn revision_without_wait(path: &str) -> Option<u64> {
    path.strip_prefix("/api/targets?index=")?.strip_suffix("&wait=0")?.parse().ok()
}

/// An endpoint list in the format of the discovery service.
pub(crate) fn endpoint_list(revision: u64, complete: bool, endpoints: Vec<Value>) -> Value {
    json!({"rev": revision, "all": complete, "targets": endpoints})
}

/// A record of the endpoint list.
pub(crate) fn endpoint(uid: &str, address: SocketAddr, destination: u64, kind: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": kind, "pod_group": destination,
           "state": state, "capacity_hint": 50.0, "boot_ms": 0})
}

/// A record of an endpoint in service that receives one message per call.
pub(crate) fn plain_endpoint(uid: &str, address: SocketAddr, destination: u64) -> Value {
    endpoint(uid, address, destination, "plain", "in_service")
}
