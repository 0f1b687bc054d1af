//! What one process of a sender hands to the next beside its messages: calls that are still out, and what was
//! learnt of destinations. Waits and cold returns bind the next process as they bound this one.

use super::{Attempt, Balancer, Env, Place, Scope, State};
use crate::api::*;
use crate::parts::Fading;

impl Scope {
    fn learnt(&self, dest: DestId, target: Option<TargetId>, now: Micros, e: &Env) -> Learnt {
        Learnt {
            dest,
            target,
            wait_for: self.wait_until - now,
            due_in: self.due - now,
            state: match self.state {
                State::Open => Condition::Well,
                State::Outage(next_try) => Condition::Down { next_try: next_try - now },
                State::Warming(since) => Condition::Cold { since: now - since },
            },
            base: self.base,
            age: now - self.born,
            sent: self.long.get(now, e.warm),
            health: [&self.good, &self.bad, &self.spent].map(|count| count.get(now, e.health)),
            usual: self.usual,
            pace: self.pace,
            limit: self.limit,
            ceiling: self.ceiling,
        }
    }

    fn learn(&mut self, now: Micros, l: &Learnt) {
        (self.wait_until, self.due) = (now.saturating_add(l.wait_for), now.saturating_add(l.due_in));
        self.state = match l.state {
            Condition::Well => State::Open,
            Condition::Down { next_try } => State::Outage(now.saturating_add(next_try)),
            Condition::Cold { since } => State::Warming(now.saturating_sub(since)),
        };
        self.base = l.base;
        self.born = now.saturating_sub(l.age);
        self.long = Fading::of(l.sent, now);
        [self.good, self.bad, self.spent] = l.health.map(|count| Fading::of(count, now));
        (self.usual, self.pace, self.limit, self.ceiling) = (l.usual, l.pace, l.limit, l.ceiling);
    }
}

impl Balancer {
    /// What is known of each destination, or of each route where routes are apart.
    pub fn learnt(&self, now: Micros) -> Vec<Learnt> {
        let whole = self.dests.iter().filter(|(_, d)| !d.kind.routes_apart);
        let whole = whole.map(|(dest, d)| d.scope.learnt(*dest, None, now, &self.e));
        let routes = self.targets.iter().filter(|(_, t)| self.dests[&t.dest].kind.routes_apart);
        whole.chain(routes.map(|(id, t)| t.scope.learnt(t.dest, Some(*id), now, &self.e))).collect()
    }

    /// Goes on from what an earlier process had learnt. Nothing is kept of what the list does not name.
    pub(super) fn learn(&mut self, now: Micros, l: &Learnt) {
        let scope = match l.target {
            Some(target) => self.targets.get_mut(&target).map(|t| &mut t.scope),
            None => self.dests.get_mut(&l.dest).map(|d| &mut d.scope),
        };
        scope.into_iter().for_each(|scope| scope.learn(now, l));
    }

    /// Counts an attempt of an earlier process that is still out; false if its endpoint is not known.
    pub(super) fn still_out(&mut self, id: MessageId, attempt: usize, class: usize, out: StillOut) -> bool {
        let StillOut { call, target, sent } = out;
        let Some(dest) = self.targets.get(&target).map(|t| t.dest) else { return false };
        if !self.calls.contains_key(&call) {
            *self.in_flight.entry(dest).or_default() += 1;
            self.targets.get_mut(&target).expect("just seen").out += 1;
            self.scope(dest, target).out.insert(call, sent);
            self.next_call = self.next_call.max(call + 1);
        }
        *self.calls.entry(call).or_default() += 1;
        let a = Attempt { call, target, dest, class, sent, called_off: false, lost: false, key: None };
        self.attempts.insert((id, attempt), a);
        if let Some(m) = self.messages.get_mut(&id) {
            (m.place, m.attempts) = (Place::Out, attempt + 1);
        }
        true
    }
}
