use super::*;

#[tokio::test(start_paused = true)]
async fn a_line_comes_only_when_due_and_counts_start_anew() {
    let at: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let mut metrics = IntervalMetrics::new();
    metrics.record_accepted();
    metrics.record_dropped(DropReason::Rejected);
    metrics.record_attempt(at, Outcome::ConnectFailed, Duration::from_millis(2), false);
    metrics.record_attempt(at, Outcome::ConnectFailed, Duration::from_millis(3), true);
    metrics.record_connections(
        at,
        ConnectionUsage { opened: 1, failed: Some(std::io::ErrorKind::ConnectionRefused), reuse: None },
    );
    assert!(metrics.take_if_due().is_none());
    tokio::time::advance(EVERY).await;
    let line = metrics.take_if_due().expect("it is due").to_string();
    assert_eq!(
        line,
        "taken on 1, lost {Rejected: 1}; attempts {\"not connected\": 2}; slots taken for ms \
         {\"not connected\": 3}; connections opened 1, not opened \
         {\"connection refused\": 1}\n  127.0.0.1:9: 2 attempts, 2 failed, 1 connections opened and 1 not, \
         longest 3ms"
    );
    tokio::time::advance(EVERY).await;
    assert!(metrics.take_if_due().is_none(), "nothing has happened since");
}
