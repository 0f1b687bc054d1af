//! The usual set-up: discovery, an endpoint of destination 7, and a forwarder that knows it.

use super::discovery_stub::{DiscoveryStub, endpoint, plain_endpoint};
use super::endpoint_stub::EndpointStub;
use super::forwarder_process::ForwarderProcess;
use super::raw_connection::RawEndpoint;
use serde_json::Value;

/// A forwarder that knows one endpoint, `t`, of destination 7.
pub(crate) struct Fixture<E = EndpointStub> {
    pub discovery: DiscoveryStub,
    pub endpoint: E,
    pub forwarder: ForwarderProcess,
}

impl Fixture {
    /// Starts with the usual configuration; calls carry one message each.
    pub(crate) async fn start() -> Self {
        Fixture::start_with("plain", |_| {}).await
    }

    /// Starts with an endpoint of this kind, and with a configuration that `change` may edit.
    pub(crate) async fn start_with(kind: &str, change: impl FnOnce(&mut Value)) -> Self {
        let (discovery, stub) = (DiscoveryStub::start().await, EndpointStub::start().await);
        let known_endpoints = [endpoint("t", stub.address, 7, kind, "in_service")];
        let forwarder = ForwarderProcess::start(discovery.address, &known_endpoints, change).await;
        Fixture { discovery, endpoint: stub, forwarder }
    }

    /// Starts with a forwarder whose file size can be limited.
    pub(crate) async fn start_with_file_limit(change: impl FnOnce(&mut Value)) -> Self {
        let (discovery, stub) = (DiscoveryStub::start().await, EndpointStub::start().await);
        let known_endpoints = [plain_endpoint("t", stub.address, 7)];
        let forwarder =
            ForwarderProcess::start_with_file_limit(discovery.address, &known_endpoints, change).await;
        Fixture { discovery, endpoint: stub, forwarder }
    }

    /// Submits a message and delivers it.
    pub(crate) async fn deliver(&mut self, class: &str, id: &str) {
        assert_eq!(self.forwarder.submit(class, id, 9000).await.status(), 202);
        self.endpoint.next_call().await.respond(200);
        self.forwarder.until_delivered(class, id).await;
    }

    /// Submits a message and responds to its call. A turn has just ended then, so messages that are submitted
    /// together immediately afterwards are handled in one turn.
    pub(crate) async fn begin_turn(&mut self) {
        self.forwarder.submit("unsafe", "first", 9000).await;
        self.endpoint.next_call().await.respond(200);
    }

    /// Starts on a listening socket that successors inherit, with a second endpoint at the same address: `u`
    /// of destination 8.
    pub(crate) async fn start_inheriting(change: impl FnOnce(&mut Value)) -> Self {
        let (discovery, stub) = (DiscoveryStub::start().await, EndpointStub::start().await);
        let known_endpoints = [plain_endpoint("t", stub.address, 7), plain_endpoint("u", stub.address, 8)];
        let forwarder = ForwarderProcess::start_inheriting(discovery.address, &known_endpoints, change).await;
        Fixture { discovery, endpoint: stub, forwarder }
    }
}

impl Fixture<RawEndpoint> {
    /// Starts with an endpoint whose responses the test writes byte for byte.
    pub(crate) async fn start_raw(kind: &str, change: impl FnOnce(&mut Value)) -> Self {
        let (discovery, raw) = (DiscoveryStub::start().await, RawEndpoint::start().await);
        let known_endpoints = [endpoint("t", raw.address, 7, kind, "in_service")];
        let forwarder = ForwarderProcess::start(discovery.address, &known_endpoints, change).await;
        Fixture { discovery, endpoint: raw, forwarder }
    }
}
