//! The age of the endpoint list: no attempt is started while it is too old.
//!
//! An endpoint that an old list has in service may be draining or gone. Only the start of attempts is
//! suspended, at the end of a turn in `concurrency`: messages stay in their queues, deadlines are kept, and
//! attempts in flight end as usual.

use super::Balancer;
use crate::interface::Micros;

impl Balancer {
    /// Allows attempts again from this turn on. Calls to destinations that are down or warming up remain
    /// spread over time.
    pub(super) fn resume_sending(&mut self, now: Micros) {
        if !std::mem::take(&mut self.state.list_stale) {
            return;
        }
        for route in self.state.directory.all_routes_mut() {
            route.reschedule_due_call(now, &self.parameters);
        }
    }
}
