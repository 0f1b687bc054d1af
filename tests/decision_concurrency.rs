//! Concurrency: caps on the call slots of destinations.

mod common;
use common::*;
use message_forwarder::interface::*;

#[test]
fn healthy_destination_holds_at_most_three_quarters_of_the_slots() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0), entry(20, 2, 0)]);
    let sent: usize = (0..20).map(|id| sends(&harness.submit(id, 0, 1)).len()).sum();
    assert_eq!(sent, 6, "three quarters of 8 slots");
    assert_eq!(
        sends(&harness.submit(50, 0, 2)).len(),
        1,
        "the rest of the slots serve the other destination"
    );
}

#[test]
fn degraded_destination_holds_at_most_half_of_the_slots() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    for id in 0..2 {
        assert_eq!(sends(&harness.submit(id, 0, 1)).len(), 1);
    }
    harness.end_attempt(0, 0, Outcome::Error, 10 * MS);
    harness.end_attempt(1, 0, Outcome::Error, 10 * MS);
    let before = harness.advance(SEC);
    assert_eq!(timed_sends(&before).len(), 2, "both were retried");
    let sent: usize = (10..30).map(|id| sends(&harness.submit(id, 0, 1)).len()).sum();
    assert!(sent <= 2, "{sent} more on top of two would exceed half of 8 slots");
}
