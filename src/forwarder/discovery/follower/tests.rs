use super::*;
use std::time::Duration;

const WAIT: Duration = Duration::from_secs(2);

fn watch(since_revision: u64) -> ListQuery {
    ListQuery::Changes { since_revision, wait: WAIT }
}

fn changes(revision: u64) -> EndpointList {
    EndpointList { revision, ..EndpointList::default() }
}

#[test]
fn changes_suffice_after_a_usable_list() {
    assert_eq!(next_revision(watch(4), &changes(5)), Some(5));
    assert_eq!(next_revision(watch(4), &changes(4)), Some(4));
    let complete = EndpointList { complete: true, invalid_records: 1, ..changes(2) };
    assert_eq!(next_revision(watch(4), &complete), Some(2));
    assert_eq!(next_revision(ListQuery::Complete, &complete), Some(2));
}

#[test]
fn the_complete_list_is_needed_after_an_invalid_record_or_a_lower_revision() {
    assert_eq!(next_revision(watch(4), &EndpointList { invalid_records: 1, ..changes(5) }), None);
    assert_eq!(next_revision(watch(4), &changes(3)), None);
}

#[test]
fn a_watch_without_changes_shows_that_the_list_was_current_when_the_wait_ended() {
    let started_at = Instant::now();
    let call = |query| ListCall { number: 0, query, started_at, established_after: WAIT };
    let now = started_at + Duration::from_secs(5);
    assert_eq!(current_at(call(watch(4)), &changes(4), now), started_at + WAIT);
    // The response arrived before the end of the wait.
    let early = started_at + Duration::from_secs(1);
    assert_eq!(current_at(call(watch(4)), &changes(4), early), started_at);
    // The time at which the service wrote the response is not known.
    let complete = EndpointList { complete: true, ..changes(5) };
    assert_eq!(current_at(call(ListQuery::Complete), &complete, now), started_at);
    let drained = EndpointList { invalid_records: 1, ..changes(5) };
    assert_eq!(current_at(call(watch(4)), &drained, now), started_at);
}
