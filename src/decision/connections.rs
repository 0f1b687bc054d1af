//! Full connection tables of endpoints: backoff before new connections, and closing of idle ones to make
//! room.

use super::Balancer;
use crate::estimators::{SECOND, random_jitter};
use crate::interface::{Action, Micros};
use crate::sender_state::{Attempt, RouteId};

/// The backoff doubles with each consecutive wave of rejected connections, up to this many.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// From this number of senders on, idle connections to an endpoint are kept only if this sender has at least
/// one busy connection to it on average. With fewer senders, less use is required in proportion.
const SENDERS_REQUIRING_BUSY_CONNECTION: f64 = 16.0;

impl Balancer {
    /// Starts a backoff before new connections to an endpoint that rejected one at once. Connections tried
    /// before the first rejection of a wave was received count as part of that wave.
    pub(super) fn record_connect_rejection(&mut self, now: Micros, attempt: &Attempt) {
        let rejections = &mut self.state.directory.endpoint_mut(attempt.route.endpoint).connect_rejections;
        if attempt.sent_at >= rejections.last_wave {
            rejections.record_wave(now, MAX_BACKOFF_DOUBLINGS);
            let jitter = random_jitter(&mut self.state.seed);
            let base = self.parameters.latency_objective / 16.0;
            rejections.backoff_until = now + (base * f64::from(1 << rejections.waves) * jitter) as Micros;
        }
        // An endpoint that rejects repeatedly is down, which is no evidence of full tables elsewhere.
        let assumed_full = if rejections.waves > 1 { 0 } else { self.parameters.warm_up as Micros };
        self.state.connection_tables_full_until = now + assumed_full;
    }

    /// While connection tables are assumed to be full, closes idle connections to endpoints that are used too
    /// little.
    pub(super) fn close_idle_connections(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let tables_full = now < self.state.connection_tables_full_until;
        let min_busy_connections =
            (self.parameters.settings.sender_count as f64 / SENDERS_REQUIRING_BUSY_CONNECTION).min(1.0);
        for endpoint in std::mem::take(&mut self.state.used_endpoints) {
            let Some(known) = self.state.directory.endpoints.get(&endpoint) else { continue };
            let route = self.state.directory.route(RouteId { destination: known.destination, endpoint });
            let busy_connections = route.own_rate(now, &self.parameters) * route.latency.usual.get() / SECOND;
            if tables_full && busy_connections < min_busy_connections && !known.idle_connections.is_empty() {
                self.state.directory.endpoint_mut(endpoint).idle_connections.clear();
                actions.push(Action::CloseIdleConnections { endpoint });
            }
        }
    }
}
