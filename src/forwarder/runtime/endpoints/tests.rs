use super::*;

fn record(uid: &str, port: u16) -> EndpointRecord {
    EndpointRecord {
        uid: uid.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: "a".to_owned(),
        kind: "kind".to_owned(),
        destination: 7,
        state: LifecycleState::InService,
        weight: 1.0,
    }
}

fn never_called(_: EndpointId) -> bool {
    false
}

#[test]
fn an_endpoint_listed_again_within_the_retention_keeps_its_number() {
    let mut endpoints = Endpoints::default();
    let first = endpoints.update(&record("s-1", 1), 1).endpoint;
    endpoints.mark_all_removed(0);
    assert!(endpoints.forget_removed(REMOVED_RETENTION_MICROS - 1, never_called).is_empty());
    let again = endpoints.update(&record("s-1", 2), 1);
    endpoints.mark_listed(again.endpoint);
    assert_eq!(again.endpoint, first);
    assert!(again.address_changed);
    assert!(endpoints.forget_removed(Micros::MAX, never_called).is_empty(), "it is listed");
}

#[test]
fn a_forgotten_endpoint_gets_a_new_number_and_stays_known_to_operators() {
    let mut endpoints = Endpoints::default();
    let first = endpoints.update(&record("s-1", 1), 1).endpoint;
    endpoints.mark_removed(0, first);
    assert_eq!(endpoints.forget_removed(REMOVED_RETENTION_MICROS, never_called), [first]);
    assert!(!endpoints.contains(first));
    assert!(endpoints.was_ever_listed("s-1"));
    assert!(!endpoints.was_ever_listed("s-2"));
    let again = endpoints.update(&record("s-1", 2), 1);
    assert_ne!(again.endpoint, first);
    assert!(!again.address_changed, "its former address is forgotten");
}

#[test]
fn an_endpoint_that_is_called_is_not_forgotten() {
    let mut endpoints = Endpoints::default();
    let called = endpoints.update(&record("s-1", 1), 1).endpoint;
    endpoints.mark_removed(0, called);
    assert!(endpoints.forget_removed(Micros::MAX, |endpoint| endpoint == called).is_empty());
    assert!(endpoints.contains(called));
}

#[test]
fn the_first_removal_starts_the_retention() {
    let mut endpoints = Endpoints::default();
    let removed = endpoints.update(&record("s-1", 1), 1).endpoint;
    endpoints.mark_removed(0, removed);
    endpoints.mark_removed(REMOVED_RETENTION_MICROS, removed);
    assert_eq!(endpoints.forget_removed(REMOVED_RETENTION_MICROS, never_called), [removed]);
}

#[test]
fn removed_endpoints_are_handed_over_as_terminated() {
    let mut endpoints = Endpoints::default();
    let removed = endpoints.update(&record("s-1", 1), 1).endpoint;
    endpoints.update(&record("s-2", 2), 1);
    endpoints.mark_removed(0, removed);
    let states: Vec<LifecycleState> = endpoints.records().iter().map(|record| record.state).collect();
    assert_eq!(states, [LifecycleState::Terminated, LifecycleState::InService]);
}
