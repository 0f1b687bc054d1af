//! The parameters of the recorded histories of decisions.

use super::settings::Profile;

/// A destination of a scenario; its endpoints are numbered from `10 * id`.
#[derive(Clone, Copy)]
pub(crate) struct Destination {
    pub id: u64,
    pub kind: usize,
    pub endpoints: u64,
}

/// How often something happens, in turns out of a thousand.
#[derive(Clone, Copy)]
pub(crate) struct Rates {
    /// Messages are submitted.
    pub submit: u64,
    /// The largest number of messages that are submitted at once; this is not a rate.
    pub burst: u64,
    /// A destination changes its condition.
    pub condition: u64,
    /// The list changes.
    pub list: u64,
    /// The subscription to the list fails.
    pub watch_failed: u64,
    /// Operators ban an endpoint.
    pub ban: u64,
    /// Operators end the ban of the endpoint with the lowest id.
    pub ban_end: u64,
    /// Operators drain the process, or resume it.
    pub drain: u64,
    pub client_disconnected: u64,
    pub response_started: u64,
    /// A submitted message has a history in a predecessor, possibly with a call that is still in flight.
    pub history: u64,
}

/// One recorded history.
pub(crate) struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub turns: usize,
    pub profile: Profile,
    pub destinations: &'static [Destination],
    pub classes: &'static [usize],
    /// The conditions that destinations get at random.
    pub conditions: &'static [Condition],
    pub tenants: bool,
    pub rates: Rates,
    /// Turns between two take-overs by a new process; 0 means that there is none.
    pub take_over_every: usize,
    /// Numbers of the kinds of decision that must occur.
    pub must_occur: &'static [usize],
}

/// The condition of a destination, which determines how calls to it end.
#[derive(Clone, Copy)]
pub(crate) enum Condition {
    Healthy,
    Failing,
    RateLimited,
    Unresponsive,
    Overloaded,
    Unreachable,
}
