//! The endpoint list, and what operators have taken out of it.

use super::{BURST_S, Balancer, Dest, Env, SECOND, Scope, State, Target};
use crate::api::*;
use crate::parts::chance;

impl Scope {
    /// The pace to begin with, where a limit is listed.
    fn begin(&mut self, now: Micros, batch: usize, e: &Env) {
        let many = e.part < 0.5;
        let part = if batch > 1 { 1.0 / e.s.senders.max(1) as f64 } else { 1.0 };
        let limit = self.listed * if many { part.min(e.part) } else { part };
        self.limit = Some(limit);
        // Many begin in step, after a restart or with a new endpoint: first tries are spread over the time of
        // one call each.
        if many {
            let first = chance(&mut self.seed) / limit.max(e.least);
            self.due = now + ((BURST_S + first) * SECOND) as Micros;
        }
    }
}

impl Balancer {
    /// Only what is listed as serving gets anything new, from the moment it is heard.
    pub(super) fn list(&mut self, now: Micros, entries: Vec<Entry>) {
        self.broken = 0;
        for entry in entries {
            let new = || Dest { scope: Scope::new(now, &mut self.seed), ..Dest::default() };
            let dest = self.dests.entry(entry.dest).or_insert_with(new);
            dest.kind = self.e.s.kinds.get(entry.kind).copied().unwrap_or_default();
            let new = || Target {
                avoid_until: now,
                closed_until: now,
                answered: Micros::MIN,
                scope: Scope::new(now, &mut self.seed),
                ..Target::default()
            };
            let target = self.targets.entry(entry.target).or_insert_with(new);
            (target.dest, target.zone) = (entry.dest, entry.zone);
            target.serving = entry.listing == Listing::Serving;
            if target.serving && !self.banned.contains(&entry.target) {
                dest.targets.insert(entry.target);
            } else {
                dest.targets.remove(&entry.target);
            }
            if entry.listing == Listing::Deleted {
                self.gone.entry(entry.target).or_insert(now);
            } else {
                self.gone.remove(&entry.target);
            }
            let scope = if dest.kind.routes_apart { &mut target.scope } else { &mut dest.scope };
            if self.e.s.weights != Weights::Off && entry.weight > 0.0 {
                scope.listed = entry.weight;
            }
            if scope.listed > 0.0 && scope.limit.is_none() {
                scope.begin(now, dest.kind.batch, &self.e);
            }
        }
    }

    /// Forgets endpoints that are gone, once no call is out there. What holds for one (a wait, an outage)
    /// holds on if it is listed again soon; what its destination has taught stays.
    pub(super) fn forget_targets(&mut self, now: Micros) {
        let (known, warm) = (&mut self.targets, self.e.warm as Micros);
        self.gone.retain(|id, at| {
            let kept = known.get(id).is_some_and(|t| t.out > 0 || now < t.scope.wait_until.max(*at + warm));
            if !kept {
                known.remove(id);
            }
            kept
        });
    }

    /// Waits, limits, health and slow start hold for a destination, or route by route.
    pub(super) fn scope(&mut self, dest: DestId, target: TargetId) -> &mut Scope {
        match self.dests.get_mut(&dest).expect("only known destinations are sent to") {
            d if !d.kind.routes_apart => &mut d.scope,
            _ => &mut self.targets.get_mut(&target).expect("only known endpoints are sent to").scope,
        }
    }

    /// Leaves an endpoint out until the ban ends, whatever the list says of it.
    pub(super) fn ban(&mut self, now: Micros, target: TargetId) {
        let new = self.banned.insert(target);
        let Some(dest) = self.targets.get(&target).filter(|_| new).map(|t| t.dest) else { return };
        let e = self.e.clone();
        self.scope(dest, target).keep_base(now, &e);
        self.dests.get_mut(&dest).expect("listed with its endpoints").targets.remove(&target);
    }

    /// Puts it back. It may have been started anew meanwhile: as after an outage it is held to be cold. Where
    /// others share its limit, they go first while it warms up.
    pub(super) fn end_ban(&mut self, now: Micros, target: TargetId) {
        let (e, ended) = (self.e.clone(), self.banned.remove(&target));
        let Some(t) = self.targets.get_mut(&target).filter(|_| ended) else { return };
        t.avoid_until = now + e.warm as Micros;
        t.idle.clear();
        let (dest, serving) = (t.dest, t.serving);
        let d = self.dests.get_mut(&dest).expect("listed with its endpoints");
        d.targets.extend(serving.then_some(target));
        if d.kind.routes_apart || d.targets.len() <= 1 {
            let scope = self.scope(dest, target);
            // Held to be down, it is tried first, and is cold after that.
            if !matches!(scope.state, State::Outage(_)) {
                if scope.base == 0.0 {
                    scope.keep_base(now, &e);
                }
                (scope.state, scope.due) = (State::Warming(now), now);
            }
        }
    }
}
