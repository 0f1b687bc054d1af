//! What the recorded histories of decisions differ in.

use super::translation::Profile;

/// A destination of a scenario; its endpoints are numbered from `10 * id`.
#[derive(Clone, Copy)]
pub struct Destination {
    pub id: u64,
    pub kind: usize,
    pub endpoints: u64,
}

/// How often something happens, in turns of a thousand.
#[derive(Clone, Copy)]
pub struct Rates {
    /// Messages are handed in, and up to so many at once.
    pub submit: u64,
    pub burst: u64,
    /// A destination changes how it fares.
    pub mood: u64,
    /// The list changes, or a subscription to it breaks.
    pub list: u64,
    pub list_broken: u64,
    /// Operators take an endpoint out, or put the first of those back.
    pub ban: u64,
    pub ban_end: u64,
    /// Operators send the clients away, or welcome them again.
    pub drain: u64,
    pub client_left: u64,
    pub started: u64,
    /// A message comes with a past, or a call of an earlier process is told of.
    pub past: u64,
}

/// One recorded history.
pub struct Scenario {
    pub name: &'static str,
    pub seed: u64,
    pub turns: usize,
    pub profile: Profile,
    pub destinations: &'static [Destination],
    pub classes: &'static [usize],
    /// How destinations fare, by chance.
    pub moods: &'static [Mood],
    pub tenants: bool,
    pub rates: Rates,
    /// A new process takes over once in so many turns; 0: never.
    pub take_over_every: usize,
    /// Numbers of the kinds of decision that must occur.
    pub must_occur: &'static [usize],
}

/// How a destination fares.
#[derive(Clone, Copy)]
pub enum Mood {
    Well,
    Failing,
    Limited,
    Hanging,
    Crowded,
    Unreachable,
}
