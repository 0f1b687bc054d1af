use super::*;
use serde_json::{Value, json};
use std::env;
use std::process;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A temporary folder, removed when the value is dropped.
struct Folder(PathBuf);

impl Folder {
    fn create() -> Self {
        static CREATED: AtomicUsize = AtomicUsize::new(0);
        let number = CREATED.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("departed-test-{}-{number}", process::id()));
        fs::create_dir_all(&path).expect("a temporary directory");
        Folder(path)
    }

    fn open(&self) -> DepartedEndpoints {
        DepartedEndpoints::open(&self.0, 3.0)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn record(uid: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": "127.0.0.1:9", "az": "a", "model": "m", "pod_group": 1, "state": state})
}

fn list(revision: u64, complete: bool, records: &[Value]) -> EndpointList {
    let document = json!({"rev": revision, "all": complete, "targets": records});
    EndpointList::deserialize(document).expect("a list")
}

fn in_service(uids: &[&str]) -> Vec<Value> {
    uids.iter().map(|uid| record(uid, "in_service")).collect()
}

/// The endpoints that the next process may call if its configuration has a list of this revision.
fn callable_after_restart(folder: &Folder, revision: u64) -> Vec<String> {
    let known = list(revision, true, &in_service(&["a", "b", "c"]));
    let updated = folder.open().update_known_list(&known);
    let callable = updated.endpoints.iter().filter(|record| record.state == LifecycleState::InService);
    callable.map(|record| record.uid.clone()).collect()
}

#[test]
fn endpoints_that_left_service_are_not_called_by_the_next_process() {
    let invalid = json!({"uid": "c", "endpoint": 7});
    let cases: [(&str, EndpointList, &[&str]); 5] = [
        ("draining", list(5, false, &[record("a", "terminating")]), &["b", "c"]),
        ("removed", list(5, false, &[record("a", "terminated"), record("b", "terminating")]), &["c"]),
        ("unknown state", list(5, false, &[record("b", "resting")]), &["a", "c"]),
        ("missing in a complete list", list(5, true, &in_service(&["a", "c"])), &["a", "c"]),
        ("invalid", list(5, false, &[invalid]), &["a", "b"]),
    ];
    for (name, list, callable) in cases {
        let folder = Folder::create();
        let mut departed = folder.open();
        departed.record(&list, ["a", "b", "c"].into_iter());
        departed.save_if_changed();
        assert_eq!(callable_after_restart(&folder, 4), callable, "{name}");
        assert_eq!(callable_after_restart(&folder, 5), ["a", "b", "c"], "{name}: the known list is current");
    }
}

#[test]
fn an_endpoint_that_is_in_service_again_is_called() {
    let folder = Folder::create();
    let mut departed = folder.open();
    departed
        .record(&list(5, false, &[record("a", "terminating"), record("b", "terminating")]), [].into_iter());
    departed.save_if_changed();
    let mut departed = folder.open();
    departed.record(&list(6, false, &in_service(&["a"])), [].into_iter());
    departed.save_if_changed();
    assert_eq!(callable_after_restart(&folder, 4), ["a", "c"]);
}

#[test]
fn a_damaged_file_counts_as_empty_and_is_replaced() {
    let folder = Folder::create();
    for content in ["", "00000000 {}", "nonsense", "\u{fffd}"] {
        fs::write(folder.0.join(FILE_NAME), content).expect("it is writable");
        assert_eq!(callable_after_restart(&folder, 4), ["a", "b", "c"]);
    }
    let mut departed = folder.open();
    departed.record(&list(5, false, &[record("a", "terminating")]), [].into_iter());
    departed.save_if_changed();
    assert_eq!(callable_after_restart(&folder, 4), ["b", "c"]);
}

#[test]
fn the_file_stays_within_its_limit_and_keeps_the_latest_departures() {
    let folder = Folder::create();
    let mut departed = folder.open();
    for number in 0..4000 {
        let records = [record(&format!("endpoint-{number}"), "terminating")];
        departed.record(&list(number, false, &records), [].into_iter());
    }
    departed.save_if_changed();
    let length = fs::metadata(folder.0.join(FILE_NAME)).expect("it is written").len();
    assert!(length <= 30_000, "{length}");
    assert!(folder.open().contains("endpoint-3999") && !folder.open().contains("endpoint-0"));
}

#[tokio::test(start_paused = true)]
async fn a_failed_write_is_retried() {
    let folder = Folder::create();
    let mut departed = folder.open();
    fs::create_dir(folder.0.join(NEW_FILE_NAME)).expect("it is writable");
    departed.record(&list(5, false, &[record("a", "terminating")]), [].into_iter());
    departed.save_if_changed();
    fs::remove_dir(folder.0.join(NEW_FILE_NAME)).expect("it is writable");
    departed.save_if_changed();
    assert_eq!(callable_after_restart(&folder, 4), ["a", "b", "c"], "too early");
    tokio::time::advance(RETRY_INTERVAL).await;
    departed.save_if_changed();
    assert_eq!(callable_after_restart(&folder, 4), ["b", "c"]);
}

#[test]
fn the_format_of_the_file_does_not_change() {
    let stored = StoredDepartures { revision: 12, uids: ["s-5be2a07c".to_owned()].into() };
    let text = "b84741ca {\"revision\":12,\"uids\":[\"s-5be2a07c\"]}\n";
    assert_eq!(stored.encode().expect("it is JSON"), text);
    assert_eq!(StoredDepartures::decode(text).expect("it is valid"), stored);
}

#[test]
fn a_service_that_counts_from_a_lower_revision_does_not_make_the_known_list_new() {
    let folder = Folder::create();
    let mut departed = folder.open();
    departed.record(&list(5, false, &[record("a", "terminating")]), ["a", "b", "c"].into_iter());
    departed.record(&list(1, true, &in_service(&["b", "c"])), ["b", "c"].into_iter());
    departed.save_if_changed();
    assert!(folder.open().is_older(&list(1, true, &in_service(&["a", "b", "c"]))));
    assert_eq!(callable_after_restart(&folder, 1), ["b", "c"]);
}
