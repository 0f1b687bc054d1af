//! Several forwarders that share one discovery service and the endpoints, one of which drains.

use super::discovery_stub::endpoint;
use super::drain_checker::{DrainViolation, ForwarderTimeline, check_drains};
use super::drain_rules::{DiscoveryMode, DrainSettings};
use super::drain_scenario::{DESTINATION, drain_settings, set_discovery, staying_record};
use super::first_byte_endpoint::{FirstByte, FirstByteEndpoint};
use super::forwarder_process::ForwarderProcess;
use super::scripted_discovery::ScriptedDiscovery;
use super::steady_traffic::SteadyTraffic;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::task::JoinSet;

/// A forwarder of a fleet. The ids of its messages start with its name.
struct FleetMember {
    /// The number of the forwarder among the callers of the service.
    caller: usize,
    name: String,
    timeline: ForwarderTimeline,
    _forwarder: ForwarderProcess,
    _traffic: SteadyTraffic,
}

/// The forwarders, with the discovery service and the endpoints that they share.
pub(crate) struct DrainFleet {
    pub discovery: ScriptedDiscovery,
    /// The endpoint `draining`.
    pub draining: FirstByteEndpoint,
    /// The endpoint `staying`.
    pub staying: FirstByteEndpoint,
    members: Vec<FleetMember>,
    settings: DrainSettings,
}

impl DrainFleet {
    /// Starts this number of forwarders.
    pub(crate) async fn start(mode: DiscoveryMode, sender_count: usize) -> Self {
        let (draining, staying) = (FirstByteEndpoint::start().await, FirstByteEndpoint::start().await);
        let records = vec![
            endpoint("draining", draining.address, DESTINATION, "plain", "in_service"),
            staying_record(&staying, "plain"),
        ];
        let mut discovery = ScriptedDiscovery::start(records.clone()).await;
        let addresses: Vec<SocketAddr> = (0..sender_count)
            .map(|number| if number == 0 { discovery.address } else { discovery.add_caller() })
            .collect();
        let mut starting = JoinSet::new();
        for (number, address) in addresses.into_iter().enumerate() {
            starting.spawn(FleetMember::start(number, address, records.clone(), mode, sender_count));
        }
        let members = starting.join_all().await;
        DrainFleet { discovery, draining, staying, members, settings: drain_settings(mode) }
    }

    /// Lists the endpoint as draining.
    pub(crate) fn drain(&self) {
        let address = self.draining.address;
        self.discovery.change(endpoint("draining", address, DESTINATION, "plain", "terminating"));
    }

    /// Lists another endpoint, for a destination without messages and at an address where nothing listens.
    pub(crate) fn add_endpoint(&self) {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        self.discovery.change(endpoint("added", nowhere, DESTINATION + 1, "plain", "in_service"));
    }

    /// Waits until each forwarder has received a list or has an open call.
    pub(crate) async fn until_followed(&self) {
        let callers = 0..self.members.len();
        self.discovery
            .until(|history| {
                callers.clone().all(|caller| {
                    history.calls.iter().any(|call| call.caller == caller && !call.has_failed())
                })
            })
            .await;
    }

    /// The violations of the drain rule so far.
    pub(crate) fn violations(&self) -> Vec<DrainViolation> {
        let first_bytes = [self.draining.first_bytes(), self.staying.first_bytes()].concat();
        let violations = self.members.iter().flat_map(|member| {
            let history = self.discovery.history_of(member.caller);
            let sent: Vec<FirstByte> =
                first_bytes.iter().filter(|first_byte| member.sent(first_byte)).cloned().collect();
            check_drains(self.settings, DESTINATION, &history, &member.timeline, &sent)
        });
        violations.collect()
    }
}

impl FleetMember {
    async fn start(
        caller: usize,
        discovery: SocketAddr,
        records: Vec<Value>,
        mode: DiscoveryMode,
        sender_count: usize,
    ) -> Self {
        let timeline = ForwarderTimeline { starts: vec![Instant::now()], ..ForwarderTimeline::default() };
        let forwarder = ForwarderProcess::start(discovery, &records, |configuration| {
            set_discovery(configuration, mode, sender_count as u64);
        })
        .await;
        let name = format!("member{caller}");
        let traffic = SteadyTraffic::start(forwarder.address, DESTINATION, &name);
        FleetMember { caller, name, timeline, _forwarder: forwarder, _traffic: traffic }
    }

    fn sent(&self, first_byte: &FirstByte) -> bool {
        let name_of = |id: &String| id.split('-').next().is_some_and(|name| name == self.name);
        first_byte.request_ids.iter().any(name_of)
    }
}
