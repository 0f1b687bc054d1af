//! The attempts that the predecessor had in flight when it handed over.

use crate::forwarder::messages::attempt::AttemptRef;
use crate::interface::InheritedCall;
use std::collections::BTreeMap;

/// The attempts that the predecessor had in flight when it handed over, and their calls.
#[derive(Default)]
pub(in crate::forwarder::runtime) struct InheritedAttempts(BTreeMap<AttemptRef, InheritedCall>);

impl InheritedAttempts {
    /// Adds an attempt of this call.
    pub(super) fn insert(&mut self, attempt: AttemptRef, call: InheritedCall) {
        self.0.insert(attempt, call);
    }

    /// Removes and returns the last attempt of a message that has had `attempts` attempts, if that attempt is
    /// in flight.
    pub(in crate::forwarder::runtime) fn take_last(
        &mut self,
        message: &str,
        attempts: usize,
    ) -> Option<InheritedCall> {
        let last = AttemptRef { message: message.to_owned(), attempt: attempts.checked_sub(1)? };
        self.0.remove(&last)
    }

    /// The attempts that were not removed, ordered by message and number.
    pub(in crate::forwarder::runtime) fn into_remaining(
        self,
    ) -> impl Iterator<Item = (AttemptRef, InheritedCall)> {
        self.0.into_iter()
    }
}
