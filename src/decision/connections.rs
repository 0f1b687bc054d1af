//! Full connection tables: backoff of new connections, and idle connections that are closed to make room.

use super::Balancer;
use crate::estimators::{SECOND, random_jitter};
use crate::interface::{Action, Micros};
use crate::sender_state::{Attempt, RouteId};

/// Waves of rejected connections in a row that still double the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// From this number of senders on, one keeps idle connections only where one of its own is always busy.
const SENDERS_FOR_FULL_USE: f64 = 16.0;

impl Balancer {
    /// Backs off from new connections to an endpoint that rejected one at once. Those tried before the first
    /// rejection of a wave was received count as one.
    pub(super) fn record_connect_rejection(&mut self, now: Micros, attempt: &Attempt) {
        let rejections = &mut self.state.directory.endpoint_mut(attempt.route.endpoint).connect_rejections;
        if attempt.sent_at >= rejections.last {
            rejections.record_wave(now, MAX_BACKOFF_DOUBLINGS);
            let jitter = random_jitter(&mut self.state.seed);
            let base = self.parameters.latency_objective / 16.0;
            rejections.backoff_until = now + (base * f64::from(1 << rejections.waves) * jitter) as Micros;
        }
        // An endpoint that rejects again is down, which is no evidence of full tables elsewhere.
        let assumed_full = if rejections.waves > 1 { 0 } else { self.parameters.warm_up as Micros };
        self.state.connection_tables_full_until = now + assumed_full;
    }

    /// Where connection tables are full, closes idle connections that are not kept busy.
    pub(super) fn close_idle_connections(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let tables_full = now < self.state.connection_tables_full_until;
        let min_busy = (self.parameters.settings.sender_count as f64 / SENDERS_FOR_FULL_USE).min(1.0);
        for endpoint in std::mem::take(&mut self.state.used_endpoints) {
            let Some(known) = self.state.directory.endpoints.get(&endpoint) else { continue };
            let route = self.state.directory.route(RouteId { destination: known.destination, endpoint });
            let busy = route.own_rate(now, &self.parameters) * route.latency.usual.get() / SECOND;
            if tables_full && busy < min_busy && !known.idle_connections.is_empty() {
                self.state.directory.endpoint_mut(endpoint).idle_connections.clear();
                actions.push(Action::CloseIdleConnections { endpoint });
            }
        }
    }
}
