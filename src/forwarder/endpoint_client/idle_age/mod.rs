//! Learns from reused connections how long a connection may be idle before it is dropped on the network path.
//!
//! Endpoints promise to keep idle connections open for the time of the setting `idleClose`. A device on the
//! path may drop a connection much earlier, and the sender notices this only when it writes the next call.
//! That call may have been executed, and a message that must not be executed twice fails with it. Therefore
//! the age from which reused connections are dead is learned.

use crate::estimators::DecayingCounter;
use crate::forwarder::messages::call_report::IdleReuse;
use crate::interface::Micros;

/// Connections are grouped into age classes by the time that they were idle. This is the upper bound of the
/// youngest class; it doubles from class to class.
const YOUNGEST_CLASS_BOUND_MICROS: Micros = 4_000;
/// The number of age classes. The last one has no upper bound.
const AGE_CLASSES: usize = 13;
/// Observations decay by a factor of e in this time, so that idle connections are soon reused again once the
/// path has recovered.
const DECAY_TIME_MICROS: f64 = 10e6;

/// An age class is unusable only if at least this many of its connections were dead (decayed count).
const MIN_DEAD_TO_AVOID: f64 = 1.2;
/// An age class is unusable only if more than this fraction of its connections were dead. The fraction is
/// small, because a new connection costs far less than a lost call.
const MAX_DEAD_FRACTION: f64 = 0.2;
/// The number of live connections assumed in each age class in addition to the observed ones, so that a few
/// dead ones do not make the class unusable: connections also break for other reasons.
const ASSUMED_ALIVE_CONNECTIONS: f64 = 4.0;

/// An age is proven if at most this fraction of the connections reused up to that age were dead. Calls that
/// must not be executed twice are written only to connections of a proven age.
const MAX_DEAD_FRACTION_PROVEN: f64 = 0.01;
/// The number of dead connections assumed in addition to the observed ones, so that an age without
/// observations is not proven.
const ASSUMED_DEAD_CONNECTIONS: f64 = 0.2;

/// Counts of the reused connections that were alive or dead, by the time that they had been idle.
#[derive(Clone, Default)]
pub(crate) struct IdleAgeStatistics {
    /// Decayed numbers of connections that carried a call to its response, by age class.
    alive: [DecayingCounter; AGE_CLASSES],
    /// Decayed numbers of connections that were dead, by age class.
    dead: [DecayingCounter; AGE_CLASSES],
}

impl IdleAgeStatistics {
    /// Records whether a connection that was reused at `now`, after being idle for `age`, was alive.
    pub(crate) fn record(&mut self, now: Micros, age: Micros, reuse: IdleReuse) {
        let counters = match reuse {
            IdleReuse::Alive => &mut self.alive,
            IdleReuse::Dead => &mut self.dead,
        };
        counters[age_class(age)].add(now, DECAY_TIME_MICROS);
    }

    /// The age up to which idle connections are known to be alive. A connection that was alive at a greater
    /// age also counts as alive for all younger classes.
    pub(crate) fn proven_age(&self, now: Micros) -> Micros {
        let mut alive_from_class: f64 =
            self.alive.iter().map(|counter| counter.get(now, DECAY_TIME_MICROS)).sum();
        let mut dead_up_to_class = 0.0;
        for class in 0..AGE_CLASSES {
            dead_up_to_class += self.dead[class].get(now, DECAY_TIME_MICROS);
            let observed = dead_up_to_class + alive_from_class;
            if dead_up_to_class + ASSUMED_DEAD_CONNECTIONS > MAX_DEAD_FRACTION_PROVEN * observed {
                return min_age(class);
            }
            alive_from_class -= self.alive[class].get(now, DECAY_TIME_MICROS);
        }
        Micros::MAX
    }

    /// The age from which idle connections must not be reused, if there is one.
    pub(crate) fn max_usable_age(&self, now: Micros) -> Option<Micros> {
        (0..AGE_CLASSES).find(|class| self.is_unusable(*class, now)).map(min_age)
    }

    fn is_unusable(&self, class: usize, now: Micros) -> bool {
        let dead = self.dead[class].get(now, DECAY_TIME_MICROS);
        let alive = self.alive[class].get(now, DECAY_TIME_MICROS);
        dead >= MIN_DEAD_TO_AVOID && dead > MAX_DEAD_FRACTION * (dead + alive + ASSUMED_ALIVE_CONNECTIONS)
    }
}

/// Returns the age class of a connection. A negative age counts as zero.
fn age_class(age: Micros) -> usize {
    let doublings = (age.max(0) / YOUNGEST_CLASS_BOUND_MICROS).checked_ilog2();
    doublings.map_or(0, |doublings| doublings as usize + 1).min(AGE_CLASSES - 1)
}

/// The lower bound of an age class.
fn min_age(class: usize) -> Micros {
    if class == 0 { 0 } else { YOUNGEST_CLASS_BOUND_MICROS << (class - 1) }
}

#[cfg(test)]
mod tests;
