use super::*;
use FailureKind::{Broken, Other, Rejected, Unreachable};

/// The state after failures in this order, which follow a list.
fn state_after(failures: &[FailureKind]) -> ServiceState {
    let mut detector = OutageDetector::new();
    detector.record_failure(Unreachable);
    detector.record_list();
    failures.iter().fold(ServiceState::Reachable, |_, failure| detector.record_failure(*failure))
}

#[test]
fn failures_tell_whether_the_service_is_down() {
    let breaking = |connections| ServiceState::Breaking { connections };
    let down = |failure| ServiceState::Down { failure };
    let cases: [(&[FailureKind], ServiceState); 10] = [
        (&[Unreachable], down(Unreachable)),
        (&[Rejected], down(Rejected)),
        (&[Other], ServiceState::Reachable),
        (&[Broken], breaking(1)),
        (&[Broken, Broken], breaking(2)),
        (&[Broken, Broken, Broken], down(Broken)),
        (&[Broken, Other, Broken], breaking(1)),
        (&[Broken, Unreachable], down(Unreachable)),
        (&[Broken, Broken, Broken, Broken], down(Broken)),
        (&[Unreachable, Broken], breaking(1)),
    ];
    for (failures, expected) in cases {
        assert_eq!(state_after(failures), expected, "{failures:?}");
    }
}
