//! How long a connection may stand idle and still carry a call. `idleClose` is what the other side promises; what
//! stands between may forget a connection much sooner and say so only to the next call written to it. That call
//! may have run, and what must not run twice is lost by it: so the age at which this happens is learnt.

use crate::estimators::DecayingCounter;
use crate::forwarder::messages::call_report::IdleReuse;
use crate::interface::Micros;

/// Ages are told apart by powers of two from this one on; the first class holds all younger ones.
const FIRST: Micros = 4_000;
const CLASSES: usize = 13;
/// What was seen fades by e in this time: a path that has become well again is soon tried again.
const SPAN: f64 = 10e6;
/// So many connections found dead at one age, faded,
const DEAD_LEAST: f64 = 1.2;
/// and such a share of those tried, and none that old is used: a new connection costs far less than a call.
const DEAD_SHARE: f64 = 0.2;
/// Connections imagined alive at each age: few samples do not condemn, new connections break now and then too.
const PRIOR_ALIVE: f64 = 4.0;

/// A call that must not run twice is lost by a dead connection, often with several messages in it: it is written to
/// an idle one only where no more than this share die by that age,
const ONCE_SHARE: f64 = 0.01;
/// with a part of a death imagined: what nobody has tried is not safe.
const ONCE_DOUBT: f64 = 0.2;

/// What is known of idle connections, by their age.
#[derive(Clone, Default)]
pub(crate) struct IdleAgeStatistics {
    alive: [DecayingCounter; CLASSES],
    dead: [DecayingCounter; CLASSES],
}

impl IdleAgeStatistics {
    fn class(age: Micros) -> usize {
        let doublings = (age.max(0) / FIRST).checked_ilog2().map_or(0, |n| n as usize + 1);
        doublings.min(CLASSES - 1)
    }

    pub(crate) fn record(&mut self, now: Micros, age: Micros, kept: IdleReuse) {
        let counts = if kept == IdleReuse::Alive { &mut self.alive } else { &mut self.dead };
        counts[Self::class(age)].add(now, SPAN);
    }

    /// The age up to which idle connections are known to live: one that lived longer speaks for all younger ones.
    pub(crate) fn proven_age(&self, now: Micros) -> Micros {
        let mut alive: f64 = self.alive.iter().map(|a| a.get(now, SPAN)).sum();
        let mut dead = 0.0;
        for n in 0..CLASSES {
            dead += self.dead[n].get(now, SPAN);
            if dead + ONCE_DOUBT > ONCE_SHARE * (dead + alive) {
                return Self::least(n);
            }
            alive -= self.alive[n].get(now, SPAN);
        }
        Micros::MAX
    }

    /// The youngest age of a class.
    fn least(class: usize) -> Micros {
        if class == 0 { 0 } else { FIRST << (class - 1) }
    }

    /// The age from which connections are not to be used, if there is one.
    pub(crate) fn max_usable_age(&self, now: Micros) -> Option<Micros> {
        let dead = |n: &usize| {
            let (dead, alive) = (self.dead[*n].get(now, SPAN), self.alive[*n].get(now, SPAN));
            dead >= DEAD_LEAST && dead > DEAD_SHARE * (dead + alive + PRIOR_ALIVE)
        };
        (0..CLASSES).find(dead).map(Self::least)
    }
}

#[cfg(test)]
mod tests;
