//! Checks the drain rule: requests to an endpoint that drains or was removed stop within a grace period.
//!
//! The grace period starts when the change of the endpoint list counts as sent to the forwarder: when a
//! response with the change is written, even if the response is lost, or at one of the other instants that
//! `drain_rules` gives if that is earlier. The period lasts `stop_sending_within` and an allowance for
//! sockets. If the forwarder is upgraded meanwhile, it starts [`MAX_DELAY_AFTER_UPGRADE`] after the successor
//! was ready. A first byte of a request that arrives at the endpoint after the period is a violation, unless
//! the endpoint is in service again.

use super::discovery_history::{DiscoveryHistory, Route};
use super::drain_rules::{DrainSettings, SentRule, SentTime, SentTimeRules};
use super::first_byte_endpoint::FirstByte;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Added to every time limit on sockets.
const SOCKET_ALLOWANCE: Duration = Duration::from_millis(50);
/// A change whose grace period overlaps an upgrade counts as sent this long after the successor was ready.
const MAX_DELAY_AFTER_UPGRADE: Duration = Duration::from_secs(2);

/// When the processes of a forwarder started, were upgraded and received signals.
#[derive(Clone, Debug, Default)]
pub(crate) struct ForwarderTimeline {
    /// The starts of the processes, one after the other.
    pub starts: Vec<Instant>,
    /// When it received the signals to use another address of discovery.
    pub reloads: Vec<Instant>,
    /// The upgrades: from the start of each successor until it was ready.
    pub upgrades: Vec<Range<Instant>>,
}

/// A request whose first byte arrived at an endpoint after the grace period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DrainViolation {
    pub endpoint: SocketAddr,
    pub request_ids: Vec<String>,
    /// How long after the end of the grace period the first byte arrived.
    pub lateness: Duration,
    /// The rule by which the drain or removal counts as sent.
    pub sent_rule: SentRule,
}

/// The violations of a run, for messages of tests.
pub(crate) struct ViolationSummary<'a>(pub &'a [DrainViolation]);

impl fmt::Display for ViolationSummary<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(worst) = self.0.iter().max_by_key(|violation| violation.lateness) else {
            return write!(formatter, "no first byte is late");
        };
        let milliseconds = worst.lateness.as_millis();
        write!(
            formatter,
            "{} first bytes late, by up to {milliseconds} ms ({:?})",
            self.0.len(),
            worst.sent_rule
        )
    }
}

/// Returns each request for `destination` whose first byte arrived at an endpoint after the grace period.
pub(crate) fn check_drains(
    settings: DrainSettings,
    destination: u64,
    history: &DiscoveryHistory,
    timeline: &ForwarderTimeline,
    first_bytes: &[FirstByte],
) -> Vec<DrainViolation> {
    let lifetimes = timeline.lifetimes();
    let violations = first_bytes.iter().filter_map(|first_byte| {
        let lifetime = lifetimes.iter().find(|lifetime| lifetime.contains(&first_byte.at))?;
        let rules =
            SentTimeRules { settings, history, lifetime: lifetime.clone(), reloads: &timeline.reloads };
        let route = Route { address: first_byte.endpoint, destination };
        let sent = route_end_sent_time(&rules, route, first_byte.at)?;
        let grace_end = timeline.grace_end(settings, sent);
        let lateness = first_byte.at.checked_duration_since(grace_end)?;
        Some(DrainViolation {
            endpoint: first_byte.endpoint,
            request_ids: first_byte.request_ids.clone(),
            lateness,
            sent_rule: sent.rule,
        })
    });
    violations.filter(|violation| !violation.lateness.is_zero()).collect()
}

/// When the end of a route counts as sent to the process. `None` if the route is in service at this instant.
fn route_end_sent_time(rules: &SentTimeRules<'_>, route: Route, at: Instant) -> Option<SentTime> {
    let made = rules.history.versions.iter().take_while(|version| version.made_at <= at);
    let is_in_service: Vec<bool> = made.map(|version| version.in_service.contains(&route)).collect();
    let last_in_service = is_in_service.iter().rposition(|is_in_service| *is_in_service)?;
    let end_version = last_in_service + 1;
    if end_version < is_in_service.len() { rules.sent_time(end_version) } else { None }
}

impl ForwarderTimeline {
    /// The lifetime of each process: from its start to the start of the next one.
    fn lifetimes(&self) -> Vec<Range<Instant>> {
        // No test runs longer.
        let end = self.starts.iter().max().map(|start| *start + Duration::from_secs(3600));
        let ends = self.starts.iter().skip(1).copied().chain(end);
        self.starts.iter().copied().zip(ends).map(|(start, end)| start..end).collect()
    }

    /// The end of the grace period of a change that counts as sent at this time.
    fn grace_end(&self, settings: DrainSettings, sent: SentTime) -> Instant {
        let grace = settings.stop_sending_within + SOCKET_ALLOWANCE;
        let successor_sent_times = self.upgrades.iter().map(|upgrade| upgrade.end + MAX_DELAY_AFTER_UPGRADE);
        let upgrades = self.upgrades.iter().zip(successor_sent_times);
        let delayed =
            upgrades.filter(|(upgrade, until)| upgrade.start <= sent.at + grace && sent.at < *until);
        delayed.map(|(_, until)| until).max().unwrap_or(sent.at) + grace
    }
}
