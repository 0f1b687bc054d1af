//! Learns how long a connection may be idle and still carry a call.
//!
//! The setting `idleClose` is what the endpoint promises. A device on the path may drop a connection much earlier,
//! and only the next call written to the connection discovers it. That call may have been executed, and a message
//! that must not be executed twice is lost with it. So the age at which connections die is learned.

use crate::estimators::DecayingCounter;
use crate::forwarder::messages::call_report::IdleReuse;
use crate::interface::Micros;

/// The upper bound of the youngest age class (µs). The bound doubles from class to class.
const YOUNGEST_CLASS_BOUND: Micros = 4_000;
/// The number of age classes. The last one has no upper bound.
const AGE_CLASSES: usize = 13;
/// Observations decay by a factor of e in this time (µs), so that a path that has recovered is soon used again.
const DECAY_TIME: f64 = 10e6;

/// An age class is unusable if at least this many of its connections were dead (decayed count) ...
const MIN_DEAD_TO_AVOID: f64 = 1.2;
/// ... and they are more than this fraction of its connections. The fraction may be small, since a new connection
/// costs far less than a lost call.
const MAX_DEAD_FRACTION: f64 = 0.2;
/// Live connections assumed in each age class, so that few observations do not make it unusable: new connections
/// break at times, too.
const ASSUMED_ALIVE: f64 = 4.0;

/// An age is proven if no more than this fraction of connections die up to it. A call that must not be executed
/// twice, often with several messages in it, is written only to connections of a proven age.
const MAX_DEAD_FRACTION_PROVEN: f64 = 0.01;
/// Dead connections assumed in addition, so that an age that was never observed is not proven.
const ASSUMED_DEAD: f64 = 0.2;

/// How reused connections fared, by the time that they had been idle.
#[derive(Clone, Default)]
pub(crate) struct IdleAgeStatistics {
    /// Connections that brought a response, by age class.
    alive: [DecayingCounter; AGE_CLASSES],
    /// Connections that were dead, by age class.
    dead: [DecayingCounter; AGE_CLASSES],
}

impl IdleAgeStatistics {
    /// Records how a connection fared that was reused at `now` after it had been idle for `age`.
    pub(crate) fn record(&mut self, now: Micros, age: Micros, reuse: IdleReuse) {
        let counters = match reuse {
            IdleReuse::Alive => &mut self.alive,
            IdleReuse::Dead => &mut self.dead,
        };
        counters[age_class(age)].add(now, DECAY_TIME);
    }

    /// The age up to which idle connections are known to be alive. A connection that was alive at a greater age
    /// counts for all younger classes.
    pub(crate) fn proven_age(&self, now: Micros) -> Micros {
        let mut alive_from_class: f64 = self.alive.iter().map(|counter| counter.get(now, DECAY_TIME)).sum();
        let mut dead_up_to_class = 0.0;
        for class in 0..AGE_CLASSES {
            dead_up_to_class += self.dead[class].get(now, DECAY_TIME);
            let tried = dead_up_to_class + alive_from_class;
            if dead_up_to_class + ASSUMED_DEAD > MAX_DEAD_FRACTION_PROVEN * tried {
                return min_age(class);
            }
            alive_from_class -= self.alive[class].get(now, DECAY_TIME);
        }
        Micros::MAX
    }

    /// The age from which idle connections must not be reused, if there is one.
    pub(crate) fn max_usable_age(&self, now: Micros) -> Option<Micros> {
        (0..AGE_CLASSES).find(|class| self.is_unusable(*class, now)).map(min_age)
    }

    fn is_unusable(&self, class: usize, now: Micros) -> bool {
        let dead = self.dead[class].get(now, DECAY_TIME);
        let alive = self.alive[class].get(now, DECAY_TIME);
        dead >= MIN_DEAD_TO_AVOID && dead > MAX_DEAD_FRACTION * (dead + alive + ASSUMED_ALIVE)
    }
}

fn age_class(age: Micros) -> usize {
    let doublings = (age.max(0) / YOUNGEST_CLASS_BOUND).checked_ilog2();
    doublings.map_or(0, |doublings| doublings as usize + 1).min(AGE_CLASSES - 1)
}

/// The lower bound of an age class.
fn min_age(class: usize) -> Micros {
    if class == 0 { 0 } else { YOUNGEST_CLASS_BOUND << (class - 1) }
}

#[cfg(test)]
mod tests;
