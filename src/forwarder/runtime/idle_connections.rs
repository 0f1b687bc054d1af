//! The idle connections to endpoints.

use crate::forwarder::endpoint_client::idle_age::IdleAgeStatistics;
use crate::forwarder::http::Connection;
use crate::forwarder::messages::call_report::IdleReuse;
use crate::interface::{EndpointId, Micros};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// An idle connection is closed earlier than the idle timeout, by the timeout divided by this, so that no
/// request is written to it while the other side closes it.
const IDLE_TIMEOUT_MARGIN_DIVISOR: u32 = 8;

/// A call is written to a reused connection only after that has been idle for this long, so that bytes which follow
/// a response and belong to none have arrived by then.
const MIN_IDLE_TIME: Duration = Duration::from_millis(10);

/// A connection on which no call is in flight.
struct IdleConnection {
    since: Instant,
    connection: Connection,
}

impl IdleConnection {
    fn is_usable(&self, max_age: Duration) -> bool {
        self.since.elapsed() < max_age
    }
}

/// An idle connection that is used again.
pub(super) struct ReusedConnection {
    pub(super) connection: Connection,
    /// How long the connection was idle.
    pub(super) idle_for: Micros,
}

impl ReusedConnection {
    /// How long the connection has to be idle until a call may be written to it.
    pub(super) fn remaining_rest(&self) -> Duration {
        MIN_IDLE_TIME.saturating_sub(Duration::from_micros(self.idle_for.unsigned_abs()))
    }
}

/// The connections of one endpoint.
#[derive(Default)]
struct EndpointConnections {
    /// The idle connections, in the order in which they became idle.
    idle: Vec<IdleConnection>,
    ages: IdleAgeStatistics,
}

/// Owns the idle connections to all endpoints, and the statistics of how long they stay usable.
pub(super) struct IdleConnectionPool {
    /// Maximum number of idle connections.
    capacity: usize,
    timeout: Duration,
    by_endpoint: BTreeMap<EndpointId, EndpointConnections>,
    /// Statistics over all endpoints: a network device close to this process may drop idle connections to any
    /// of them.
    ages: IdleAgeStatistics,
    /// The number of idle connections at the last [`IdleConnectionPool::close_expired`], plus those added
    /// since.
    count: usize,
}

impl IdleConnectionPool {
    /// A pool for at most `capacity` connections, which the endpoints close after `idle_timeout`.
    pub(super) fn new(capacity: usize, idle_timeout: Micros) -> Self {
        let idle_timeout = Duration::from_micros(idle_timeout.max(0) as u64);
        IdleConnectionPool {
            capacity,
            timeout: idle_timeout - idle_timeout / IDLE_TIMEOUT_MARGIN_DIVISOR,
            by_endpoint: BTreeMap::new(),
            ages: IdleAgeStatistics::default(),
            count: 0,
        }
    }

    /// Maximum number of idle connections.
    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    /// The number of idle connections at the last [`IdleConnectionPool::close_expired`], plus those added
    /// since.
    pub(super) fn len(&self) -> usize {
        self.count
    }

    /// Adds a connection that has just become idle.
    pub(super) fn add(&mut self, endpoint: EndpointId, connection: Connection) {
        let connections = self.by_endpoint.entry(endpoint).or_default();
        connections.idle.push(IdleConnection { since: Instant::now(), connection });
        self.count += 1;
    }

    /// Records whether a connection was still alive after it had been idle for `idle_for`.
    pub(super) fn record_reuse(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        idle_for: Micros,
        reuse: IdleReuse,
    ) {
        self.ages.record(now, idle_for, reuse);
        self.by_endpoint.entry(endpoint).or_default().ages.record(now, idle_for, reuse);
    }

    /// Takes the connection that became idle last, unless it has been idle for too long. With `proven_only`,
    /// a connection is only taken if connections are known to be alive at its age: the messages of a call
    /// that must not be executed twice fail if the connection turns out to be dead.
    pub(super) fn take(
        &mut self,
        now: Micros,
        endpoint: EndpointId,
        proven_only: bool,
    ) -> Option<ReusedConnection> {
        let general_max_age = self.max_age(now);
        let proven_age = if proven_only { self.ages.proven_age(now) } else { Micros::MAX };
        let connections = self.by_endpoint.get_mut(&endpoint)?;
        let max_age = limit_to_usable_age(general_max_age, &connections.ages, now)
            .min(Duration::from_micros(proven_age.unsigned_abs()));
        let youngest = connections.idle.pop_if(|connection| connection.is_usable(max_age));
        if youngest.is_none() && !connections.idle.is_empty() {
            // The call opens a new connection, which replaces the oldest idle one. The others may still
            // carry calls of idempotent messages.
            connections.idle.remove(0);
        }
        youngest.map(|IdleConnection { since, connection }| ReusedConnection {
            connection,
            idle_for: Micros::try_from(since.elapsed().as_micros()).unwrap_or(0),
        })
    }

    /// Closes the idle connections to an endpoint.
    pub(super) fn close(&mut self, endpoint: EndpointId) {
        if let Some(connections) = self.by_endpoint.get_mut(&endpoint) {
            connections.idle.clear();
        }
    }

    /// Closes all idle connections.
    pub(super) fn close_all(&mut self) {
        self.by_endpoint.values_mut().for_each(|connections| connections.idle.clear());
    }

    /// Closes the idle connections to an endpoint and drops its statistics.
    pub(super) fn forget(&mut self, endpoint: EndpointId) {
        self.by_endpoint.remove(&endpoint);
    }

    /// Closes the idle connections that are broken or have been idle for too long, and counts the others.
    pub(super) fn close_expired(&mut self, now: Micros) {
        let general_max_age = self.max_age(now);
        self.count = 0;
        for connections in self.by_endpoint.values_mut() {
            let max_age = limit_to_usable_age(general_max_age, &connections.ages, now);
            connections.idle.retain(|idle| idle.connection.is_open() && idle.is_usable(max_age));
            self.count += connections.idle.len();
        }
    }

    /// How long a connection may be idle, by the idle timeout and the statistics over all endpoints.
    fn max_age(&self, now: Micros) -> Duration {
        limit_to_usable_age(self.timeout, &self.ages, now)
    }
}

/// The smaller of `limit` and the age up to which connections are usable according to the statistics.
fn limit_to_usable_age(limit: Duration, ages: &IdleAgeStatistics, now: Micros) -> Duration {
    ages.max_usable_age(now).map_or(limit, |age| limit.min(Duration::from_micros(age.unsigned_abs())))
}

#[cfg(test)]
mod tests;
