//! The parameters of one run of the fleet, and their random choice.

use super::destination::OutageKind;
use crate::common::{MS, SEC, class, settings};
use crate::support_history::Generator;
use message_forwarder::interface::*;

/// Kinds of destinations, by index: shared routes, separate routes, and shared routes with calls of up to
/// five messages.
pub(crate) const SHARED: usize = 0;
pub(crate) const SEPARATE: usize = 1;
pub(crate) const BATCHED: usize = 2;
/// Messages in a call to a destination of the kind [`BATCHED`].
pub(crate) const BATCH: usize = 5;

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub seed: u64,
    pub senders: usize,
    pub kind: usize,
    pub endpoints: u64,
    /// Calls per second that a route takes once it is warm.
    pub capacity: f64,
    pub weights: EndpointWeights,
    /// The listed rate as a multiple of the capacity.
    pub listed_factor: f64,
    /// Messages per second of all senders, as a multiple of the capacity of all routes.
    pub load: f64,
    /// The weights of the senders, by which the messages are divided among them, are between 1 / `unevenness`
    /// and `unevenness`.
    pub unevenness: f64,
    /// Index of the class of the messages; if it is the number of classes, the class of each message is
    /// random.
    pub class: usize,
    pub latency_objective: Micros,
    pub call_slots: usize,
    pub outage: OutageKind,
    /// Time with messages from the start of the senders on. The idle time follows, and then the outage.
    pub normal_time: Micros,
    /// How long the senders get no message right before the outage.
    pub idle: Micros,
    pub outage_length: Micros,
    /// Retry-After of rejections, if they have one.
    pub retry_after: Option<Micros>,
    /// Responses report the capacity.
    pub reports: bool,
    /// How many of a thousand senders restart during the outage and lose all that they have learned.
    pub restarted_per_mille: u64,
    /// Operators ban the endpoints during the outage, and end the bans around its end.
    pub banned: bool,
    pub overload_factor: f64,
    pub overload_window: Micros,
    pub initial_capacity: f64,
    pub warm_up_time: Micros,
}

impl Scenario {
    pub(crate) fn random(seed: u64, senders: &[usize]) -> Self {
        let mut generator = Generator::new(seed);
        let senders = generator.pick(senders);
        let outage = generator.pick(&OutageKind::ALL);
        let capacity = generator.pick(&[0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0]);
        let weights = [EndpointWeights::Off, EndpointWeights::Nominal, EndpointWeights::Approximate];
        let weights = generator.pick(&weights);
        let is_approximate = weights == EndpointWeights::Approximate;
        Scenario {
            seed,
            senders,
            kind: generator.pick(&[SHARED, SEPARATE, BATCHED]),
            endpoints: generator.pick(&[1, 2, 4]),
            capacity,
            weights,
            listed_factor: if is_approximate { generator.pick(&[0.5, 0.67, 1.0, 1.5]) } else { 1.0 },
            load: generator.pick(&[0.3, 0.6, 0.9, 1.2, 2.0]),
            unevenness: generator.pick(&[1.0, 2.0, 4.0]),
            class: generator.below(4) as usize,
            latency_objective: generator.pick(&[SEC, 3 * SEC]),
            call_slots: generator.pick(&[4, 8, 16, 64]),
            outage,
            normal_time: generator.pick(&[2 * SEC, 10 * SEC, 30 * SEC]),
            idle: generator.pick(&[0, 0, 0, 60 * SEC]),
            outage_length: generator.pick(&[2 * SEC, 5 * SEC, 12 * SEC, 40 * SEC]),
            retry_after: generator.pick(&[None, Some(200 * MS), Some(SEC), Some(5 * SEC)]),
            reports: generator.per_mille(250),
            restarted_per_mille: generator.pick(&[0, 0, 300, 1000]),
            banned: generator.per_mille(150),
            overload_factor: generator.pick(&[1.5, 2.0, 3.0]),
            overload_window: generator.pick(&[SEC, 2 * SEC, 4 * SEC]),
            initial_capacity: generator.pick(&[0.1, 0.2, 0.3]),
            warm_up_time: generator.pick(&[5 * SEC, 10 * SEC, 20 * SEC]),
        }
    }

    pub(crate) fn settings(&self) -> Settings {
        let keyed = Idempotency::Keyed { key_lifetime: 5 * SEC, per_zone: false };
        let classes = [Idempotency::Idempotent, keyed, Idempotency::NotIdempotent];
        let latency_objective = self.latency_objective;
        Settings {
            classes: classes.map(|idempotency| Class { latency_objective, ..class(idempotency) }).to_vec(),
            kinds: vec![
                DestinationKind { separate_routes: false, batch: 1 },
                DestinationKind { separate_routes: true, batch: 1 },
                DestinationKind { separate_routes: false, batch: BATCH },
            ],
            call_slots: self.call_slots,
            max_open_messages: 400,
            sender_count: self.senders,
            cancellation: true,
            connect_timeout: SEC,
            endpoint_weights: self.weights,
            overload_factor: self.overload_factor,
            overload_window: self.overload_window,
            initial_capacity: self.initial_capacity,
            warm_up_time: self.warm_up_time,
            ..settings()
        }
    }

    /// The routes: one for each endpoint where routes are separate, else one.
    pub(crate) fn routes(&self) -> usize {
        if self.kind == SEPARATE { self.endpoints as usize } else { 1 }
    }

    pub(crate) fn messages_per_call(&self) -> f64 {
        if self.kind == BATCHED { BATCH as f64 } else { 1.0 }
    }

    /// Messages per second of all senders.
    pub(crate) fn message_rate(&self) -> f64 {
        self.load * self.capacity * self.routes() as f64 * self.messages_per_call()
    }
}
