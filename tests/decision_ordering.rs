//! Messages with ordering keys.

mod common;
use common::*;
use message_forwarder::interface::*;

#[test]
fn messages_with_one_ordering_key_are_sent_one_at_a_time_and_pause_after_a_timeout() {
    let mut harness = SenderHarness::new(settings(), vec![entry(10, 1, 0)]);
    assert_eq!(sends(&harness.submit_ordered(1, "a", 1)), vec![(1, 10)]);
    assert_eq!(sends(&harness.submit_ordered(2, "a", 1)), vec![]);
    assert_eq!(sends(&harness.submit_ordered(3, "b", 1)), vec![(3, 10)]);
    assert_eq!(sends(&harness.end_attempt(1, 0, Outcome::Delivered, 10 * MS)), vec![(2, 10)]);
    harness.submit_ordered(4, "a", 1);
    let actions = harness.turn(vec![Event::ClientDisconnected { id: 2 }]);
    assert_eq!(sends(&actions), vec![], "the attempt of the message before is still in flight");
    harness.end_attempt(2, 0, Outcome::TimedOut, 10 * MS);
    let pause_end = harness.now + SEC;
    let all = timed_sends(&harness.advance(3 * SEC));
    assert_eq!(all.len(), 1);
    assert!(all[0].0 >= pause_end && all[0].1 == 4);
}
