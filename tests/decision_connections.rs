//! Connections: full connection tables and idle connections.

mod common;
use common::*;
use message_forwarder::interface::*;

fn closes_idle_connections(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::CloseIdleConnections { .. }))
}

/// Six calls that meet a restarting endpoint are rejected in one wave. If each of them doubled the backoff,
/// the endpoint would receive no call for 16 s while messages wait.
#[test]
fn connections_rejected_in_one_wave_count_as_one() {
    let mut harness =
        SenderHarness::new(Settings { connect_timeout: SEC, ..settings() }, vec![entry(10, 1, 0)]);
    for id in 0..6 {
        assert_eq!(sends(&harness.submit(id, 0, 1)).len(), 1);
    }
    harness.now += 2 * MS;
    let retried: usize =
        (0..6).map(|id| sends(&harness.end_attempt(id, 0, Outcome::ConnectFailed, 2 * MS)).len()).sum();
    assert_eq!(retried, 0, "no connection is tried for a while");
    // Each further wave doubles the backoff.
    for (wave, from, to) in [(1, 185, 570), (2, 370, 1130), (3, 740, 2260)] {
        let rejected_at = harness.now;
        while timed_sends(&harness.advance(5 * MS)).len() < 6 {
            assert!(harness.now - rejected_at < to * MS, "wave {wave}");
        }
        assert!(harness.now - rejected_at >= from * MS, "wave {wave}");
        harness.now += 2 * MS;
        (0..6).for_each(|id| drop(harness.end_attempt(id, wave, Outcome::ConnectFailed, 2 * MS)));
    }
}

/// Idle connections of hundreds of senders can fill the connection tables of the endpoints, which then reject
/// new connections.
#[test]
fn idle_connection_is_kept_only_where_one_is_busy_if_connection_tables_are_full() {
    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0), entry(20, 2, 0)]);
    harness.submit(1, 0, 1);
    assert!(
        !closes_idle_connections(&harness.end_attempt(1, 0, Outcome::Delivered, 200 * MS)),
        "no table has been full so far"
    );
    harness.submit(2, 0, 2);
    harness.end_attempt(2, 0, Outcome::ConnectFailed, 50 * MS);
    harness.submit(3, 0, 1);
    assert!(closes_idle_connections(&harness.end_attempt(3, 0, Outcome::Delivered, 200 * MS)));
    for id in 10..40 {
        harness.submit(id, 0, 1);
        harness.now += 300 * MS;
        let end = harness.end_attempt(id, 0, Outcome::Delivered, 400 * MS);
        assert!(id < 38 || !closes_idle_connections(&end), "a busy sender keeps its idle connection");
    }
}

#[test]
fn endpoint_that_is_down_does_not_close_idle_connections_to_others() {
    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0), entry(20, 2, 0)]);
    harness.submit(1, 0, 1);
    harness.end_attempt(1, 0, Outcome::Delivered, 200 * MS);
    harness.submit(2, 0, 2);
    for attempt in 0..3 {
        harness.end_attempt(2, attempt, Outcome::ConnectFailed, 50 * MS);
        assert_eq!(
            sends(&harness.advance(5 * SEC).into_iter().map(|(_, a)| a).collect::<Vec<_>>()),
            [(2, 20)]
        );
    }
    harness.submit(3, 0, 1);
    assert!(
        !closes_idle_connections(&harness.end_attempt(3, 0, Outcome::Delivered, 200 * MS)),
        "it is down, not full"
    );
}

/// A few connections that are rejected at once must not be taken for an outage, which stops calls for
/// seconds.
#[test]
fn connection_rejected_at_once_shows_a_full_table_and_no_outage() {
    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0), entry(11, 1, 0)]);
    let (_, first) = sends(&harness.submit(1, 0, 1))[0];
    let (_, second) = sends(&harness.end_attempt(1, 0, Outcome::ConnectFailed, 50 * MS))[0];
    assert_ne!(first, second, "the connection table of the other endpoint may have capacity");
    harness.end_attempt(1, 1, Outcome::ConnectFailed, 50 * MS);
    assert_eq!(timed_sends(&harness.advance(2 * SEC)).len(), 1, "both back off, but not for long");

    let mut harness = SenderHarness::new(many_senders(), vec![entry(10, 1, 0)]);
    harness.submit(1, 0, 1);
    harness.end_attempt(1, 0, Outcome::ConnectFailed, SEC);
    assert_eq!(timed_sends(&harness.advance(2 * SEC)), vec![], "a silent endpoint is considered down");
}
