//! Checks the format of the endpoint list, including records that are incomplete or invalid.

use super::*;

/// A list with records of every state, records without optional fields, and records that cannot be parsed.
const LIST: &str = include_str!("../../../../tests/fixtures/discovery/list.json");

fn endpoint(uid: &str, address: &str, state: LifecycleState) -> EndpointRecord {
    EndpointRecord {
        uid: uid.to_owned(),
        address: address.parse().expect("an address"),
        zone: "hall-a".to_owned(),
        kind: "small".to_owned(),
        destination: 7,
        state,
        weight: 1.0,
    }
}

fn expected_records() -> Vec<EndpointRecord> {
    vec![
        EndpointRecord { weight: 2.5, ..endpoint("in-service", "10.0.0.1:8080", LifecycleState::InService) },
        EndpointRecord {
            zone: "hall-b".to_owned(),
            kind: "large".to_owned(),
            destination: u64::MAX,
            ..endpoint("terminating", "[fd00::2]:8080", LifecycleState::Terminating)
        },
        EndpointRecord {
            zone: String::new(),
            destination: 0,
            weight: 0.0,
            ..endpoint("terminated", "10.0.0.3:1", LifecycleState::Terminated)
        },
        endpoint("unknown-state", "10.0.0.4:8080", LifecycleState::Other),
        endpoint("named-other", "10.0.0.5:8080", LifecycleState::Other),
    ]
}

fn json(endpoints: &[EndpointRecord]) -> Value {
    serde_json::to_value(endpoints).expect("records are serializable")
}

#[test]
fn invalid_records_are_counted_and_do_not_affect_the_others() {
    let list: EndpointList = serde_json::from_str(LIST).expect("the list is valid except for some records");
    assert_eq!((list.revision, list.complete, list.invalid_records), (42, true, 8));
    assert_eq!(json(&list.endpoints), json(&expected_records()));
    assert!(
        list.endpoints
            .iter()
            .map(|record| record.state)
            .eq(expected_records().iter().map(|record| record.state))
    );
}

#[test]
fn a_list_without_a_required_field_is_rejected() {
    for text in [r#"{"all":true,"targets":[]}"#, r#"{"rev":1,"targets":[]}"#, r#"{"rev":1,"all":false}"#] {
        assert!(serde_json::from_str::<EndpointList>(text).is_err(), "{text}");
    }
}
