//! Holds how the list of targets is read, also where lines of it are odd.

use super::*;

/// A list with lines of every state, lines that lack something, and lines that can't be read.
const LIST: &str = include_str!("../../../tests/fixtures/discovery/list.json");

fn target(uid: &str, endpoint: &str, state: State) -> Line {
    Line {
        uid: uid.to_owned(),
        endpoint: endpoint.parse().expect("an address"),
        az: "hall-a".to_owned(),
        model: "small".to_owned(),
        pod_group: 7,
        state,
        capacity_hint: 1.0,
    }
}

fn expected_targets() -> Vec<Line> {
    vec![
        Line { capacity_hint: 2.5, ..target("in-service", "10.0.0.1:8080", State::InService) },
        Line {
            az: "hall-b".to_owned(),
            model: "large".to_owned(),
            pod_group: u64::MAX,
            ..target("terminating", "[fd00::2]:8080", State::Terminating)
        },
        Line {
            az: String::new(),
            pod_group: 0,
            capacity_hint: 0.0,
            ..target("terminated", "10.0.0.3:1", State::Terminated)
        },
        target("unknown-state", "10.0.0.4:8080", State::Other),
        target("named-other", "10.0.0.5:8080", State::Other),
    ]
}

fn json(targets: &[Line]) -> Value {
    serde_json::to_value(targets).expect("a line can be written")
}

#[test]
fn a_list_with_odd_lines_reads_as_it_always_did() {
    let list: List = serde_json::from_str(LIST).expect("the list as a whole can be read");
    assert_eq!((list.rev, list.all, list.unreadable), (42, true, 8));
    assert_eq!(json(&list.targets), json(&expected_targets()));
    assert!(list.targets.iter().map(|line| line.state).eq(expected_targets().iter().map(|line| line.state)));
}

#[test]
fn a_list_that_lacks_a_field_cannot_be_read() {
    for text in [r#"{"all":true,"targets":[]}"#, r#"{"rev":1,"targets":[]}"#, r#"{"rev":1,"all":false}"#] {
        assert!(serde_json::from_str::<List>(text).is_err(), "{text}");
    }
}
