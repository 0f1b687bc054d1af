//! The value of messages, and the choice of a message for an endpoint.

use super::{Balancer, circuit_breaker::longest_probe_interval};
use crate::interface::{Idempotency, MessageId, Micros, WeightDecay};
use crate::sender_state::{Message, RouteId};

/// A message that could be sent, and the value of its delivery.
#[derive(Clone, Copy)]
pub(super) struct MessageChoice {
    pub id: MessageId,
    pub value: f64,
    on_time_until: Micros,
}

impl Balancer {
    /// Returns the time from which an attempt must not be sent: it would end too late, or the destination may
    /// have forgotten the idempotency key.
    pub(super) fn sendable_until(&self, message: &Message) -> Micros {
        let submission = &message.submission;
        let known = self.state.directory.destinations.get(&submission.destination);
        let latency = known.map_or(0.0, |known| known.route.latency.usual.get());
        let latest = submission.expires_at - (latency / 2.0) as Micros - 3 * self.parameters.tick;
        match (self.parameters.settings.classes[submission.class].idempotency, message.possible_execution) {
            (Idempotency::Keyed { key_lifetime, .. }, Some(first)) => {
                latest.min(first.sent_at + key_lifetime - self.parameters.tick)
            }
            _ => latest,
        }
    }

    /// Whether a message may be sent to an endpoint in a zone. Some destinations remember an idempotency key
    /// only in the zone where it was first used.
    fn is_sendable(&self, message: &Message, zone: usize, now: Micros) -> bool {
        let idempotency = self.parameters.settings.classes[message.submission.class].idempotency;
        let per_zone = matches!(idempotency, Idempotency::Keyed { per_zone: true, .. });
        let key_known = !per_zone || message.possible_execution.is_none_or(|first| first.zone == zone);
        key_known && now < self.sendable_until(message)
    }

    /// Whether a message that was accepted before a restart may never be attempted if this probe carries
    /// another message.
    fn needs_this_probe(&self, message: &Message, now: Micros) -> bool {
        let next_probe_at = now + longest_probe_interval(&self.parameters) as Micros;
        message.is_accepted_but_never_attempted() && self.sendable_until(message) < next_probe_at
    }

    /// Fraction of its weight that a message has left at a time, by the configured weight decay.
    fn remaining_weight(&self, message: &Message, at: Micros) -> f64 {
        let class = &self.parameters.settings.classes[message.submission.class];
        let late = (at - message.on_time_until).max(0) as f64;
        if self.parameters.settings.weight_decay == WeightDecay::HalfLife && class.latency_objective > 0 {
            return (-late / class.latency_objective as f64).exp2().max(class.late_weight_fraction);
        }
        let decay_time = (message.submission.expires_at - message.on_time_until).max(1) as f64;
        1.0 - (1.0 - class.late_weight_fraction) * (late / decay_time).min(1.0)
    }

    /// The value of a delivery of a message at a time, by which messages compete for call slots.
    pub(super) fn value(&self, message: &Message, at: Micros) -> f64 {
        // A message that was accepted before a restart must be attempted at least once: it is sent first.
        if message.is_accepted_but_never_attempted() {
            return f64::MAX;
        }
        let settings = &self.parameters.settings;
        let class = &settings.classes[message.submission.class];
        // A class gains priority as its fraction of delivered messages falls.
        let results = &self.state.class_results[message.submission.class];
        let [delivered, ended] = [&results.delivered, &results.ended]
            .map(|counter| counter.get(at, self.parameters.warm_up) + 1.0);
        class.priority_weight.max(0.0).sqrt()
            * self.remaining_weight(message, at)
            * (ended / delivered).powi(2)
            * if message.over_quota { settings.over_quota_weight } else { 1.0 }
    }

    /// Returns the message with the highest value at an endpoint. In each queue, only the first message that
    /// can be delivered on time and the first message of all are compared; of equal values, the message with
    /// the earliest `on_time_until` wins.
    pub(super) fn best_message(&self, route_id: RouteId, now: Micros) -> Option<MessageChoice> {
        let route = self.state.directory.route(route_id);
        let zone = self.state.directory.endpoints[&route_id.endpoint].zone;
        let delivered_at = now + route.latency.usual.get() as Micros;
        let probe = route.breaker.is_open();
        let wait_for_recovery = !probe && route.loses_calls(now, &self.parameters);
        let at_most_once = |class: usize| self.parameters.at_most_once(class);
        let queues = self.state.messages.queues();
        let repeatable_queued = queues.of(route_id.destination).any(|(key, _)| !at_most_once(key.class));
        let mut best: Option<MessageChoice> = None;
        for (key, queue) in queues.of(route_id.destination) {
            // A probe may be lost: messages that may be executed again are preferred.
            let avoids_probe = probe && repeatable_queued && at_most_once(key.class);
            let on_time = queue.range((delivered_at, 0)..).next();
            for &(on_time_until, id) in on_time.into_iter().chain(queue.first()) {
                let message = &self.state.messages[id];
                if avoids_probe && !self.needs_this_probe(message, now) {
                    continue;
                }
                // If calls fail, a message that must not be executed twice waits for a recovery as long as it
                // is not urgent.
                let may_wait = delivered_at + self.parameters.objective_divided_by(4) < message.on_time_until;
                if wait_for_recovery && may_wait && at_most_once(key.class) {
                    continue;
                }
                let value = self.value(message, delivered_at);
                let better = best
                    .is_none_or(|b| value > b.value || (value == b.value && on_time_until < b.on_time_until));
                if better && self.is_sendable(message, zone, now) {
                    best = Some(MessageChoice { id, value, on_time_until });
                }
            }
        }
        best
    }
}
