use super::*;
use FailureKind::{Broken, Closed, NotConnected, Other, Refused, RejectedAtOnce, RejectedLate};
use ListEvidence::{NothingSent, NothingSentByWatch, ResponsePossiblyLost, Unknown};
use hyper::StatusCode;
use std::io;

fn call(kind: FailureKind) -> FailedCall {
    let started_at = Instant::now();
    FailedCall {
        kind,
        was_healthy_watch: false,
        was_established: false,
        is_other_unanswered: false,
        started_at,
        failed_at: started_at,
    }
}

/// A watch that ended this long after its start, and that is established after 1.5 s.
fn watch(kind: FailureKind, elapsed_ms: u64) -> FailedCall {
    let call = call(kind);
    let failed_at = call.started_at + Duration::from_millis(elapsed_ms);
    FailedCall { was_healthy_watch: true, was_established: elapsed_ms > 1500, failed_at, ..call }
}

/// A call that failed beside another one without a response.
fn hedge(kind: FailureKind) -> FailedCall {
    FailedCall { is_other_unanswered: true, ..call(kind) }
}

/// The time between the starts of two calls.
const CALL_INTERVAL: Duration = Duration::from_secs(10);

/// The state after failures of calls that follow each other and a list, and what the last one shows.
fn after(failures: &[FailedCall]) -> (ServiceState, ListEvidence) {
    let in_a_row = (1..).zip(failures).map(|(index, failure)| FailedCall {
        started_at: failure.started_at + CALL_INTERVAL * index,
        failed_at: failure.failed_at + CALL_INTERVAL * index,
        ..*failure
    });
    after_each(in_a_row)
}

/// The state after failures that follow a list, and what the last one shows.
fn after_each(failures: impl IntoIterator<Item = FailedCall>) -> (ServiceState, ListEvidence) {
    let mut detector = OutageDetector::new();
    detector.record_failure(call(Refused));
    detector.record_list();
    let evidence = failures.into_iter().map(|failure| detector.record_failure(failure)).last();
    (detector.state(), evidence.expect("at least one call failed"))
}

fn down(failure: Option<FailureKind>) -> ServiceState {
    ServiceState::Down { failure }
}

#[test]
fn only_a_refused_connection_shows_that_the_service_is_down() {
    let breaking = |connections| ServiceState::Breaking { connections };
    let cases: [(&[FailureKind], ServiceState, ListEvidence); 14] = [
        (&[Refused], down(Some(Refused)), NothingSent),
        (&[NotConnected], ServiceState::Unresponsive, Unknown),
        (&[Refused, NotConnected], ServiceState::Unresponsive, Unknown),
        (&[NotConnected, Refused], down(Some(Refused)), NothingSent),
        (&[Other], ServiceState::Reachable, Unknown),
        (&[Closed], ServiceState::Reachable, Unknown),
        (&[Broken], breaking(1), ResponsePossiblyLost),
        (&[Broken, Broken], breaking(2), ResponsePossiblyLost),
        (&[Broken, Broken, Broken], ServiceState::Unresponsive, ResponsePossiblyLost),
        (&[Broken, Other, Broken], breaking(1), ResponsePossiblyLost),
        (&[Broken, Refused], down(Some(Refused)), NothingSent),
        (&[Broken, Broken, Broken, Broken], ServiceState::Unresponsive, ResponsePossiblyLost),
        (&[Broken, Broken, Broken, Broken, Refused], down(Some(Refused)), NothingSent),
        (&[Refused, Broken], breaking(1), ResponsePossiblyLost),
    ];
    for (kinds, state, evidence) in cases {
        let failures: Vec<FailedCall> = kinds.iter().copied().map(call).collect();
        assert_eq!(after(&failures), (state, evidence), "{kinds:?}");
    }
}

#[test]
fn rejections_indicate_an_outage_only_after_an_established_watch_has_ended() {
    let reachable = ServiceState::Reachable;
    let cases: [(&[FailedCall], ServiceState, ListEvidence); 9] = [
        (&[call(RejectedAtOnce)], reachable, Unknown),
        (&[call(RejectedLate), call(RejectedLate)], reachable, Unknown),
        (&[watch(RejectedAtOnce, 60)], reachable, Unknown),
        (&[watch(RejectedLate, 1200)], reachable, Unknown),
        (&[watch(RejectedLate, 1700)], down(None), NothingSent),
        (&[watch(RejectedLate, 1700), call(RejectedAtOnce)], down(Some(RejectedAtOnce)), NothingSent),
        (
            &[watch(RejectedLate, 1700), call(RejectedLate), call(RejectedLate)],
            down(Some(RejectedLate)),
            NothingSent,
        ),
        // The service can be reached again, and is overloaded.
        (&[watch(RejectedLate, 1700), call(RejectedLate), call(RejectedAtOnce)], reachable, Unknown),
        (&[watch(Broken, 1700)], ServiceState::Breaking { connections: 1 }, ResponsePossiblyLost),
    ];
    for (failures, state, evidence) in cases {
        assert_eq!(after(failures), (state, evidence), "{failures:?}");
    }
}

/// Guards against an overloaded service that is taken for one that is down, because it ends the open watch of a
/// sender together with a call that it rejects.
#[test]
fn a_watch_that_ends_together_with_a_rejected_call_shows_no_outage() {
    let ended = watch(RejectedLate, 5000);
    let beside = |started_before_ms: u64, failed_after_ms: u64| FailedCall {
        started_at: ended.failed_at - Duration::from_millis(started_before_ms),
        failed_at: ended.failed_at + Duration::from_millis(failed_after_ms),
        ..call(RejectedAtOnce)
    };
    let reachable = ServiceState::Reachable;
    assert_eq!(after_each([beside(60, 0), ended]), (reachable, NothingSentByWatch));
    assert_eq!(after_each([ended, beside(60, 5)]), (reachable, Unknown));
    // A call that starts after the end of the watch, and one that had waited, show an outage.
    let later = FailedCall { started_at: ended.failed_at + Duration::from_millis(1), ..beside(0, 5) };
    assert_eq!(after_each([ended, later]), (down(Some(RejectedAtOnce)), NothingSent));
    let waited = FailedCall { kind: RejectedLate, ..beside(900, 0) };
    assert_eq!(after_each([waited, ended]), (down(None), NothingSent));
}

#[test]
fn an_orderly_close_shows_that_nothing_was_sent_only_on_an_established_watch() {
    let reachable = ServiceState::Reachable;
    let cases: [(&[FailedCall], ServiceState, ListEvidence); 4] = [
        (&[watch(Closed, 1700)], reachable, NothingSent),
        (&[watch(Closed, 1200)], reachable, Unknown),
        (&[watch(Closed, 1700), call(Refused)], down(Some(Refused)), NothingSent),
        // A service that closes a watch and rejects the next call may be up.
        (&[watch(Closed, 1700), call(RejectedAtOnce)], reachable, Unknown),
    ];
    for (failures, state, evidence) in cases {
        assert_eq!(after(failures), (state, evidence), "{failures:?}");
    }
}

/// A watch ends when the service goes down. One that stays open when another connection is refused may have
/// missed a change before.
#[test]
fn a_refused_connection_shows_nothing_about_a_call_that_is_still_open() {
    let cases: [(&[FailedCall], ListEvidence); 3] = [
        (&[hedge(Refused)], Unknown),
        (&[call(Refused), hedge(Refused)], NothingSent),
        (&[watch(RejectedLate, 1700), hedge(RejectedAtOnce)], NothingSent),
    ];
    for (failures, evidence) in cases {
        assert_eq!(after(failures).1, evidence, "{failures:?}");
    }
}

#[test]
fn connections_that_break_together_count_once() {
    let first = call(Broken);
    let beside = FailedCall { failed_at: first.failed_at + Duration::from_millis(3), ..first };
    let started_at = beside.failed_at + Duration::from_millis(1);
    let later = FailedCall { started_at, failed_at: started_at, ..first };
    let breaking = |connections| (ServiceState::Breaking { connections }, ResponsePossiblyLost);
    assert_eq!(after_each([first, beside, beside]), breaking(1));
    assert_eq!(after_each([first, beside, later]), breaking(2));
    assert_eq!(after_each([first, later, beside]), breaking(2));
}

#[test]
fn errors_determine_the_failure_kind() {
    let rejection = || CallError::Status(StatusCode::SERVICE_UNAVAILABLE);
    let connect = |kind: io::ErrorKind| CallError::Connect(kind.into());
    let no_descriptor = || CallError::Connect(io::Error::from_raw_os_error(libc::EMFILE));
    let cases = [
        (connect(io::ErrorKind::TimedOut), 500, false, NotConnected),
        (connect(io::ErrorKind::HostUnreachable), 5, false, NotConnected),
        (no_descriptor(), 0, false, NotConnected),
        (connect(io::ErrorKind::ConnectionRefused), 5, false, Refused),
        (connect(io::ErrorKind::ConnectionRefused), 900, false, NotConnected),
        (rejection(), 60, false, RejectedAtOnce),
        (rejection(), 2000, false, RejectedLate),
        (CallError::Interrupted, 60, false, Broken),
        (CallError::Interrupted, 60, true, Other),
        (CallError::Closed, 60, false, Closed),
        (CallError::Closed, 60, true, Other),
        (CallError::IncompleteResponse, 60, true, Other),
        (CallError::Timeout, 6000, false, Other),
    ];
    for (error, elapsed_ms, has_started, expected) in cases {
        let error = PollError::from(error);
        let kind = FailureKind::of(&error, Duration::from_millis(elapsed_ms), has_started);
        assert_eq!(kind, expected, "{error} after {elapsed_ms} ms");
    }
}
