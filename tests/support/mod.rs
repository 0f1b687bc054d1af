//! Starts the forwarder program between stand-ins for endpoints, discovery and clients on loopback addresses,
//! and checks the drain rule.
#![allow(dead_code, unused_imports, missing_docs)]

mod discovery_connection;
mod discovery_history;
mod discovery_state;
mod discovery_stub;
mod drain_checker;
mod drain_fleet;
mod drain_rules;
mod drain_scenario;
mod endpoint_stub;
mod first_byte_endpoint;
mod fixture;
mod forwarder_config;
mod forwarder_process;
mod http_client;
mod peer_crowd;
mod raw_connection;
mod reserved_addresses;
mod scripted_discovery;
mod sound_submissions;
mod steady_traffic;
mod surplus;

pub(crate) use discovery_history::{
    BehaviorPeriod, CallEnd, CallOutcome, DiscoveryBehavior, DiscoveryCall, DiscoveryHistory, DiscoveryQuery,
    ListVersion, ResponseContent, ResponseFault, Route, WatchEnding,
};
pub(crate) use discovery_stub::{DiscoveryStub, endpoint, endpoint_list, plain_endpoint};
pub(crate) use drain_checker::{DrainViolation, ForwarderTimeline, ViolationSummary, check_drains};
pub(crate) use drain_fleet::DrainFleet;
pub(crate) use drain_rules::{DiscoveryMode, DrainSettings, SentRule};
pub(crate) use drain_scenario::{
    DESTINATION, DrainScenario, ForwarderEnd, LONGEST_DELAY, LONGEST_SLOW_DELAY, drain_settings, run_cases,
    set_discovery,
};
pub(crate) use endpoint_stub::{EndpointStub, ReceivedCall};
pub(crate) use first_byte_endpoint::{CallResult, EndpointBehavior, FirstByte, FirstByteEndpoint};
pub(crate) use fixture::Fixture;
pub(crate) use forwarder_config::{latency_objective, long_turns, one_call_slot, turn_interval};
pub(crate) use forwarder_process::{CLOCK_STEP_MS, ClockStep, ForwarderProcess, Predecessor, StartOptions};
pub(crate) use http_client::{request, submission_text, submit};
pub(crate) use peer_crowd::{CONNECTION_NUMBER, PeerCrowd, PeerText};
pub(crate) use raw_connection::{FullListener, OK_RESPONSE, RawConnection, RawEndpoint};
pub(crate) use scripted_discovery::ScriptedDiscovery;
pub(crate) use sound_submissions::{SubmissionResults, submit_for};
pub(crate) use steady_traffic::SteadyTraffic;
pub(crate) use surplus::{Surplus, SurplusContent, SurplusTiming};

use std::time::Duration;

/// The timeout of each event that a test waits for.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a client waits for its reply.
pub(crate) const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a test waits to verify that something does not happen.
pub(crate) const QUIET_PERIOD: Duration = Duration::from_millis(150);
/// The interval between checks of a condition that a test waits for.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(5);
