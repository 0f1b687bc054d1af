//! Commands to calls in flight, of this process and of the predecessor.

use super::Runtime;
use super::call_in_flight::AttemptCommand;
use crate::forwarder::messages::attempt::AttemptKey;
use crate::interface::EndpointId;

impl Runtime {
    /// Sends a command to the call of an attempt, which this process or the predecessor makes.
    pub(super) fn command_attempt(&self, key: AttemptKey, command: AttemptCommand) {
        self.calls.command(key, command, self.predecessor.as_ref());
    }

    /// Cancels all attempts in flight.
    pub(super) fn cancel_all_attempts(&mut self) {
        for key in self.calls.attempt_keys() {
            self.command_attempt(key, AttemptCommand::Cancel);
        }
    }

    /// Forbids all calls in flight to the destination of this endpoint to write more, after a Retry-After.
    pub(super) fn withhold_writes_to_destination_of(&mut self, endpoint: EndpointId) {
        let endpoints = &self.endpoints;
        let destination = endpoints.destination(endpoint);
        self.calls.withhold_writes(|called| endpoints.destination(called) == destination);
    }

    /// Prevents new writes to an endpoint, both on idle connections and on those that are still being
    /// established.
    pub(super) fn stop_using(&mut self, endpoint: EndpointId) {
        self.idle_connections.close(endpoint);
        self.calls.withhold_writes(|called| called == endpoint);
    }
}
