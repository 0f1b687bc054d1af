use super::*;
use tokio::time::advance;

const MILLISECOND: Duration = Duration::from_millis(1);
const NOTHING_REMAINS: RemainingWork =
    RemainingWork { clients: false, journal: false, calls_or_replies: false };
const JOURNAL_REMAINS: RemainingWork = RemainingWork { journal: true, ..NOTHING_REMAINS };

fn phase(lifecycle: &Lifecycle, has_attempts: bool, has_messages: bool) -> LifecyclePhase {
    lifecycle.phase(HandoverStage::NotStarted, has_attempts, has_messages)
}

#[tokio::test(start_paused = true)]
async fn a_process_serves_or_drains_until_sigterm() {
    let mut lifecycle = Lifecycle::new();
    assert_eq!(phase(&lifecycle, true, true), LifecyclePhase::Serving);
    lifecycle.set_accepts_clients(false);
    assert_eq!(phase(&lifecycle, true, true), LifecyclePhase::Draining);
    lifecycle.terminate();
    assert_eq!(phase(&lifecycle, true, true), LifecyclePhase::Closing);
}

#[tokio::test(start_paused = true)]
async fn without_work_clients_are_served_for_the_grace_period() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.terminate();
    advance(CLIENT_GRACE_PERIOD - MILLISECOND).await;
    assert_eq!(phase(&lifecycle, false, false), LifecyclePhase::Closing);
    advance(MILLISECOND).await;
    assert_eq!(phase(&lifecycle, false, false), LifecyclePhase::Stopped);
}

#[tokio::test(start_paused = true)]
async fn open_messages_are_awaited_until_no_call_may_start_and_attempts_until_the_completion_period_ends() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.terminate();
    advance(CALL_START_PERIOD - MILLISECOND).await;
    assert!(lifecycle.may_start_calls());
    assert_eq!(phase(&lifecycle, false, true), LifecyclePhase::Closing);
    advance(MILLISECOND).await;
    assert!(!lifecycle.may_start_calls());
    assert_eq!(phase(&lifecycle, false, true), LifecyclePhase::Stopped);
    assert_eq!(phase(&lifecycle, true, true), LifecyclePhase::Closing);
    advance(CALL_COMPLETION_PERIOD - CALL_START_PERIOD).await;
    assert!(lifecycle.is_past_call_completion());
    assert_eq!(phase(&lifecycle, true, true), LifecyclePhase::Stopped);
}

#[tokio::test(start_paused = true)]
async fn a_second_sigterm_does_not_extend_the_shutdown() {
    let mut lifecycle = Lifecycle::new();
    lifecycle.terminate();
    advance(CALL_START_PERIOD).await;
    lifecycle.terminate();
    assert!(!lifecycle.may_start_calls());
}

#[tokio::test(start_paused = true)]
async fn the_process_ends_once_no_work_remains_or_the_maximum_shutdown_time_has_passed() {
    let mut lifecycle = Lifecycle::new();
    assert!(!lifecycle.is_complete(HandoverStage::NotStarted, &NOTHING_REMAINS), "no SIGTERM was received");
    lifecycle.terminate();
    assert!(lifecycle.is_complete(HandoverStage::NotStarted, &NOTHING_REMAINS));
    assert!(!lifecycle.is_complete(HandoverStage::NotStarted, &JOURNAL_REMAINS));
    advance(MAX_SHUTDOWN_TIME).await;
    assert!(!lifecycle.is_complete(HandoverStage::NotStarted, &JOURNAL_REMAINS));
    advance(MILLISECOND).await;
    assert!(lifecycle.is_complete(HandoverStage::NotStarted, &JOURNAL_REMAINS));
}
