//! One route of limited capacity: an outage, and the budget of calls during the warm-up after it.

use super::scenario::Scenario;
use crate::common::{MS, SEC};
use crate::support_history::Generator;
use message_forwarder::interface::{Micros, Outcome};
use std::collections::VecDeque;

/// How calls end during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutageKind {
    /// Connections are refused at once.
    Refusing,
    /// Connections are never established.
    Unreachable,
    /// Calls are rejected.
    Rejecting,
    /// Calls fail soon.
    Failing,
    /// Calls are not answered before the end of the outage.
    Hanging,
}

impl OutageKind {
    pub(crate) const ALL: [OutageKind; 5] = [
        OutageKind::Refusing,
        OutageKind::Unreachable,
        OutageKind::Rejecting,
        OutageKind::Failing,
        OutageKind::Hanging,
    ];
}

/// How a call ends unless it times out or the sender cancels it.
pub(crate) struct Reply {
    pub outcome: Outcome,
    pub duration: Micros,
    /// The call arrived during the outage.
    pub during_outage: bool,
}

/// The first time at which more calls arrived than the budget of the warm-up allows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Overload {
    /// Time since the end of the outage.
    pub after: Micros,
    pub calls: usize,
    pub limit: f64,
    /// How many of the calls came from senders that had learned of the outage.
    pub informed_calls: usize,
}

impl Overload {
    /// Whether over two thirds of the calls came from senders that had learned of the outage.
    pub(crate) fn is_caused_by_informed_senders(&self) -> bool {
        3 * self.informed_calls > 2 * self.calls
    }
}

/// One route.
pub(crate) struct Route {
    scenario: Scenario,
    down_from: Micros,
    up_from: Micros,
    tokens: f64,
    refilled_at: Micros,
    /// Calls since the end of the outage: when they arrived, and whether their sender had learned of it.
    arrivals: VecDeque<(Micros, bool)>,
    pub overload: Option<Overload>,
    pub peak_budget_use: f64,
}

impl Route {
    pub(crate) fn new(scenario: Scenario, down_from: Micros) -> Self {
        Route {
            scenario,
            down_from,
            up_from: down_from + scenario.outage_length,
            tokens: 1.0,
            refilled_at: 0,
            arrivals: VecDeque::new(),
            overload: None,
            peak_budget_use: 0.0,
        }
    }

    /// Calls per second that the route accepts at the given time.
    fn capacity(&self, now: Micros) -> f64 {
        let Scenario { capacity, initial_capacity, warm_up_time, .. } = self.scenario;
        if now < self.up_from {
            return capacity;
        }
        let progress = ((now - self.up_from) as f64 / warm_up_time as f64).min(1.0);
        capacity * (initial_capacity + (1.0 - initial_capacity) * progress)
    }

    /// The number of calls that may arrive in one window without overloading the route.
    fn budget(&self, now: Micros) -> f64 {
        let window = self.scenario.overload_window as f64 / SEC as f64;
        let allowed = self.scenario.overload_factor * self.capacity(now) * window;
        if allowed < 30.0 {
            allowed + 3.0 * allowed.sqrt() + 3.0
        } else {
            allowed + 2.0 * allowed.sqrt() + 2.0
        }
    }

    /// Receives a call; `informed` says whether its sender has learned of the outage.
    pub(crate) fn receive(&mut self, now: Micros, informed: bool, generator: &mut Generator) -> Reply {
        if (self.down_from..self.up_from).contains(&now) {
            return self.reply_during_outage(now, generator);
        }
        if now >= self.up_from {
            self.count(now, informed);
        }
        let capacity = self.capacity(now);
        self.tokens += (now - self.refilled_at).max(0) as f64 / SEC as f64 * capacity;
        self.tokens = self.tokens.min(1.0 + capacity / 4.0);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            let outcome = Outcome::Rejected { retry_after: self.scenario.retry_after };
            return Reply { outcome, duration: 10 * MS, during_outage: false };
        }
        self.tokens -= 1.0;
        let duration = generator.between(20 * MS, 80 * MS);
        Reply { outcome: Outcome::Delivered, duration, during_outage: false }
    }

    fn reply_during_outage(&self, now: Micros, generator: &mut Generator) -> Reply {
        let soon = generator.between(5 * MS, 30 * MS);
        let (outcome, duration) = match self.scenario.outage {
            OutageKind::Refusing => (Outcome::ConnectFailed, soon),
            OutageKind::Unreachable => (Outcome::ConnectFailed, SEC),
            OutageKind::Rejecting => (Outcome::Rejected { retry_after: self.scenario.retry_after }, soon),
            OutageKind::Failing => (Outcome::Error, soon),
            OutageKind::Hanging => (Outcome::Delivered, self.up_from - now + generator.between(MS, 20 * MS)),
        };
        Reply { outcome, duration, during_outage: true }
    }

    /// Counts a call after the outage and compares the calls in the last window with the budget.
    fn count(&mut self, now: Micros, informed: bool) {
        if now > self.up_from + self.scenario.warm_up_time {
            return;
        }
        self.arrivals.push_back((now, informed));
        while self.arrivals.front().is_some_and(|(at, _)| now - at >= self.scenario.overload_window) {
            self.arrivals.pop_front();
        }
        let limit = self.budget(now);
        let calls = self.arrivals.len();
        self.peak_budget_use = self.peak_budget_use.max(calls as f64 / limit);
        if calls as f64 > limit && self.overload.is_none() {
            let informed_calls = self.arrivals.iter().filter(|(_, informed)| *informed).count();
            self.overload = Some(Overload { after: now - self.up_from, calls, limit, informed_calls });
        }
    }
}
