//! All senders and routes on one clock.

use super::destination::{Overload, Route};
use super::scenario::Scenario;
use super::sender::{Call, NewCall, Sender};
use crate::common::{MS, SEC, TICK};
use crate::support_history::Generator;
use message_forwarder::interface::*;
use std::collections::BTreeMap;

/// When the senders start.
const START: Micros = 100 * SEC;
/// Time from a sender to a destination, and the time back.
const TRANSIT: Micros = 2 * MS;

/// What happens to a sender.
enum Occurrence {
    Submit,
    EndCall(u64, Outcome),
    Wake,
    Restart,
    Ban(bool),
}

/// The result of one run.
#[derive(Debug)]
pub(crate) struct FleetResult {
    /// The first overload of each route that was overloaded.
    pub overloads: Vec<Overload>,
    /// The largest fraction of the budget that was used in any window.
    pub peak_budget_use: f64,
    pub delivered: usize,
}

pub(crate) struct Fleet {
    scenario: Scenario,
    generator: Generator,
    senders: Vec<Sender>,
    routes: Vec<Route>,
    schedule: BTreeMap<Micros, Vec<(usize, Occurrence)>>,
    next_call: u64,
    next_message: MessageId,
    total_weight: f64,
}

impl Fleet {
    pub(crate) fn new(scenario: Scenario) -> Self {
        let mut generator = Generator::new(scenario.seed ^ 0x5eed);
        let down_from = START + scenario.normal_time + scenario.idle;
        let senders: Vec<Sender> = (0..scenario.senders)
            .map(|_| {
                let exponent = generator.between(-1000, 1001) as f64 / 1000.0;
                Sender::new(scenario, generator.next(), scenario.unevenness.powf(exponent), START)
            })
            .collect();
        let total_weight = senders.iter().map(|sender| sender.weight).sum();
        let mut fleet = Fleet {
            scenario,
            generator,
            senders,
            routes: (0..scenario.routes()).map(|_| Route::new(scenario, down_from)).collect(),
            schedule: BTreeMap::new(),
            next_call: 0,
            next_message: 0,
            total_weight,
        };
        for sender in 0..scenario.senders {
            fleet.schedule_submission(START, sender);
            fleet.schedule_disruptions(down_from, sender);
        }
        fleet
    }

    fn schedule_disruptions(&mut self, down_from: Micros, sender: usize) {
        let up_from = down_from + self.scenario.outage_length;
        if self.generator.per_mille(self.scenario.restarted_per_mille) {
            let at = self.generator.between(down_from, up_from);
            self.schedule(at, sender, Occurrence::Restart);
        }
        if self.scenario.banned {
            let started = self.generator.between(down_from, up_from);
            let ended = self.generator.between(up_from - SEC, up_from + SEC).max(started + MS);
            self.schedule(started, sender, Occurrence::Ban(true));
            self.schedule(ended, sender, Occurrence::Ban(false));
        }
    }

    /// Runs until a route is overloaded or the warm-up is over.
    pub(crate) fn run(mut self) -> FleetResult {
        let Scenario { normal_time, idle, outage_length, warm_up_time, .. } = self.scenario;
        let end = START + normal_time + idle + outage_length + warm_up_time;
        while let Some((now, occurrences)) = self.schedule.pop_first().filter(|(now, _)| *now < end) {
            self.turns(now, occurrences);
            if self.routes.iter().any(|route| route.overload.is_some()) {
                break;
            }
        }
        FleetResult {
            overloads: self.routes.iter().filter_map(|route| route.overload).collect(),
            peak_budget_use: self.routes.iter().map(|route| route.peak_budget_use).fold(0.0, f64::max),
            delivered: self.senders.iter().map(|sender| sender.delivered).sum(),
        }
    }

    fn schedule(&mut self, at: Micros, sender: usize, occurrence: Occurrence) {
        let at = (at + TICK - 1) / TICK * TICK;
        self.schedule.entry(at).or_default().push((sender, occurrence));
    }

    fn schedule_submission(&mut self, now: Micros, sender: usize) {
        let rate = self.scenario.message_rate() * self.senders[sender].weight / self.total_weight;
        let unit = (self.generator.below(1 << 32) as f64 + 1.0) / (1u64 << 32) as f64;
        let at = now + (-unit.ln() / rate * SEC as f64) as Micros;
        let idle_from = START + self.scenario.normal_time;
        let idle_until = idle_from + self.scenario.idle;
        let at = if (idle_from..idle_until).contains(&at) { idle_until + at - idle_from } else { at };
        self.schedule(at.max(now + TICK), sender, Occurrence::Submit);
    }

    fn turns(&mut self, now: Micros, occurrences: Vec<(usize, Occurrence)>) {
        let mut by_sender: BTreeMap<usize, Vec<Occurrence>> = BTreeMap::new();
        for (sender, occurrence) in occurrences {
            by_sender.entry(sender).or_default().push(occurrence);
        }
        for (sender, occurrences) in by_sender {
            for occurrence in occurrences {
                self.apply(now, sender, occurrence);
            }
            self.end_turn(now, sender);
        }
    }

    fn apply(&mut self, now: Micros, sender: usize, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Submit => {
                let all_classes = self.scenario.settings().classes.len();
                let drawn = self.generator.below(all_classes as u64) as usize;
                let class = if self.scenario.class < all_classes { self.scenario.class } else { drawn };
                self.senders[sender].submit(now, self.next_message, class);
                self.next_message += 1;
                self.schedule_submission(now, sender);
            }
            Occurrence::EndCall(call, outcome) => self.senders[sender].end_call(now, call, outcome),
            Occurrence::Wake => self.senders[sender].event(now, Event::Wake),
            Occurrence::Restart => {
                let seed = self.generator.next();
                self.senders[sender].restart(now, seed);
            }
            Occurrence::Ban(starts) => {
                for endpoint in 1..=self.scenario.endpoints {
                    let event =
                        if starts { Event::BanStarted { endpoint } } else { Event::BanEnded { endpoint } };
                    self.senders[sender].event(now, event);
                }
            }
        }
    }

    fn end_turn(&mut self, now: Micros, sender: usize) {
        let result = self.senders[sender].end_turn(now);
        for call in result.calls {
            self.start_call(now, sender, call);
        }
        for call in result.cancelled {
            self.schedule(now + TICK, sender, Occurrence::EndCall(call, Outcome::Cancelled));
        }
        if let Some(at) = result.wake_at {
            self.schedule(at, sender, Occurrence::Wake);
        }
    }

    fn start_call(&mut self, now: Micros, sender: usize, call: NewCall) {
        let NewCall { endpoint, timeout, attempts } = call;
        let route = self.senders[sender].route_of(endpoint);
        let informed = self.senders[sender].knows_outage_of(route);
        let reply = self.routes[route].receive(now + TRANSIT, informed, &mut self.generator);
        let during_outage = reply.during_outage;
        let number = self.next_call;
        self.next_call += 1;
        let (outcome, duration) = match reply.duration + 2 * TRANSIT {
            duration if duration > timeout => (Outcome::TimedOut, timeout),
            duration => (reply.outcome, duration),
        };
        self.schedule(now + duration, sender, Occurrence::EndCall(number, outcome));
        let call = Call { endpoint, sent_at: now, attempts, during_outage };
        self.senders[sender].calls.insert(number, call);
    }
}
