//! The history of a scripted discovery service: the versions of its list, the calls and its behaviors.

use super::surplus::Surplus;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a response of a slow service contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseContent {
    /// The list as it was when the response became due.
    WhenDue,
    /// The list as it is when the response is written.
    WhenWritten,
}

/// How the service responds to calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryBehavior {
    Healthy,
    /// Every response is followed by bytes that belong to none.
    Surplus(Surplus),
    /// Every call is rejected with 503, also the open watches.
    Reject503,
    /// Connections are accepted, and reset once a request has arrived. Open connections are reset.
    Reset,
    /// Nothing listens. Open connections are reset.
    Refuse,
    /// Nothing listens. Open connections are closed in an orderly way: the callers see their end, and not a
    /// reset.
    ShutDown,
    /// The queue of the listener is full, so that no connection is established. Open connections are reset.
    NeverAccept,
    /// The network is cut: no connection is established, and the connections that were open when the cut began
    /// stay open and silent, also after it.
    CutOff,
    /// Calls are read and never answered, not even after this behavior ends. The same applies to the calls
    /// that were open when it began.
    Silent,
    /// Every response is written with this delay.
    Delayed {
        delay: Duration,
        content: ResponseContent,
    },
    /// The head of a response is written at once, and its body in small pieces over this time.
    Drip {
        duration: Duration,
    },
    /// Half of the body is written, then the connection is closed.
    BreakOff,
    /// Half of the body is written, then nothing more, and the connection stays open.
    Stall,
    /// The calls of others occupy the service: a new call is rejected with 503 after `patience`, and open
    /// watches stay open.
    OverloadedByOthers {
        patience: Duration,
    },
    /// Calls are served one by one, and abandoned calls take their time too. A call that waits for longer
    /// than `patience` is rejected with 503.
    OverloadedSerial {
        service_time: Duration,
        patience: Duration,
    },
    /// Calls are accepted one by one, which takes `service_time` for each. An accepted watch is answered at
    /// once when the list changes. A call that would wait for its turn for longer than `patience` is rejected
    /// with 503 at once, together with all open calls of its caller.
    OverloadedQueue {
        service_time: Duration,
        patience: Duration,
        /// A call that continues a watch is accepted at once, without waiting for its turn.
        continues_at_once: bool,
    },
}

/// A fault of one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    /// Half of the body is written, then the connection is closed.
    BreakOff,
    /// Half of the body is written, then nothing more, and the connection stays open.
    Stall,
    /// The connection is reset when the response should be written, so that nothing of it arrives. The
    /// response is recorded as written.
    Lose,
    /// The response contains the list as it was when the response became due, and is written with this delay.
    Outdated(Duration),
}

/// A watch that ends after its wait, without a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchEnding {
    /// One that waits for seconds.
    Long,
    /// One with a short wait, which checks whether the service accepts calls.
    Short,
}

impl WatchEnding {
    /// Whether a watch with this wait is meant.
    pub(super) fn includes(self, wait: Duration) -> bool {
        match self {
            WatchEnding::Long => wait >= Duration::from_secs(1),
            WatchEnding::Short => !wait.is_zero() && wait < Duration::from_secs(1),
        }
    }
}

impl DiscoveryBehavior {
    /// Whether the service can be reached, even if it is slow.
    pub(crate) fn is_reachable(self) -> bool {
        !matches!(self, Self::Reject503 | Self::Reset) && !self.hides_calls()
    }

    /// Whether the service does not see the calls that are made meanwhile.
    pub(crate) fn hides_calls(self) -> bool {
        !self.listens() || self.fills_queue()
    }

    /// Whether a process listens at the address.
    pub(super) fn listens(self) -> bool {
        !matches!(self, Self::Refuse | Self::ShutDown)
    }

    /// Whether the queue of the listener is full, so that no connection is established.
    pub(super) fn fills_queue(self) -> bool {
        matches!(self, Self::NeverAccept | Self::CutOff)
    }

    /// Whether calls that are open stay open and are never answered.
    pub(super) fn silences_calls(self) -> bool {
        matches!(self, Self::Silent | Self::CutOff)
    }

    /// Whether open connections are reset when this behavior begins.
    pub(super) fn resets_connections(self) -> bool {
        matches!(self, Self::Reset | Self::Refuse | Self::NeverAccept)
    }
}

/// A behavior and when it began. It lasts until the next one begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BehaviorPeriod {
    pub behavior: DiscoveryBehavior,
    pub began_at: Instant,
}

/// An endpoint that may be called for a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Route {
    pub address: SocketAddr,
    pub destination: u64,
}

impl Route {
    /// The route of a record in service; `None` if the record is in another state.
    pub(super) fn of_record(record: &Value) -> Option<Self> {
        if record["state"] != "in_service" {
            return None;
        }
        let address = record["endpoint"].as_str()?.parse().ok()?;
        Some(Route { address, destination: record["pod_group"].as_u64()? })
    }
}

/// A version of the list.
#[derive(Clone, Debug)]
pub(crate) struct ListVersion {
    pub made_at: Instant,
    pub in_service: BTreeSet<Route>,
}

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryQuery {
    CompleteList,
    Watch { since_revision: u64, wait: Duration },
}

impl DiscoveryQuery {
    /// How long the service waits for a change, if the call is a watch.
    pub(crate) fn wait(self) -> Option<Duration> {
        match self {
            DiscoveryQuery::CompleteList => None,
            DiscoveryQuery::Watch { wait, .. } => Some(wait),
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// A response with the versions after `after_version` up to `version`, by index, was written.
    Answered { after_version: Option<usize>, version: usize },
    /// An error status was written.
    Rejected,
    /// The service closed or reset the connection.
    Broken,
    /// The caller closed the connection.
    Abandoned,
}

/// A call for the list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiscoveryCall {
    /// The number of the caller, counted from zero.
    pub caller: usize,
    pub query: DiscoveryQuery,
    pub arrived_at: Instant,
    /// Since when the call can no longer be answered, although its connection stays open.
    pub silent_since: Option<Instant>,
    /// When the first byte of a response was written, and its contents. It may not arrive completely.
    pub written: Option<CallEnd>,
    pub end: Option<CallEnd>,
}

/// When and how a call ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallEnd {
    pub at: Instant,
    pub outcome: CallOutcome,
}

impl DiscoveryCall {
    /// Whether a response with the version of this index was written, whether or not it arrived.
    pub(crate) fn is_answered_with(&self, index: usize) -> bool {
        self.written.is_some_and(|written| match written.outcome {
            CallOutcome::Answered { after_version, version } => {
                after_version.is_none_or(|after| after < index) && index <= version
            }
            CallOutcome::Rejected | CallOutcome::Broken | CallOutcome::Abandoned => false,
        })
    }

    /// Whether the call ended without a response.
    pub(crate) fn has_failed(&self) -> bool {
        self.end.is_some_and(|end| !matches!(end.outcome, CallOutcome::Answered { .. }))
    }
}

/// The history of the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct DiscoveryHistory {
    pub versions: Vec<ListVersion>,
    pub calls: Vec<DiscoveryCall>,
    pub periods: Vec<BehaviorPeriod>,
}

impl DiscoveryHistory {
    /// The behavior at an instant.
    pub(crate) fn behavior_at(&self, instant: Instant) -> DiscoveryBehavior {
        let began = self.periods.iter().rev().find(|period| period.began_at <= instant);
        began.map_or(DiscoveryBehavior::Healthy, |period| period.behavior)
    }

    /// The first instant from `instant` on at which the behavior matches; `None` if there is none.
    pub(crate) fn first_instant_with(
        &self,
        instant: Instant,
        matches: impl Fn(DiscoveryBehavior) -> bool,
    ) -> Option<Instant> {
        if matches(self.behavior_at(instant)) {
            return Some(instant);
        }
        let later = self.periods.iter().filter(|period| period.began_at > instant);
        later.into_iter().find(|period| matches(period.behavior)).map(|period| period.began_at)
    }
}
