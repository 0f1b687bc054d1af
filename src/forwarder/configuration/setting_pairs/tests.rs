use super::flatten;
use crate::interface::Idempotency;
use crate::settings_reader::settings_from_pairs;

#[test]
fn nested_settings_parse_like_settings_of_the_simulator_protocol() {
    let settings = serde_json::json!({
        "classes": [{"name": "auth-notice", "idempotency": "token", "dedupScope": "all",
                     "keyTtl": 15000.0, "goalTime": 3000.0, "deadline": 28000.0}],
        "kinds": ["card-issuer", "small-partner"],
        "familyInfo": {"batchByKind": [20, 1], "kindApart": [false, true], "slots": 15},
        "realms": [{"name": "two words", "quotaRps": 2.5}],
        "report": {"fields": ["x0", "x1"]},
        "limits": {"cancel": true, "absent": null},
        "zone": "hall-b", "zones": ["hall-a", "hall-b"]
    });
    let (read, names) = settings_from_pairs(&flatten(&settings)).expect("it is well formed");
    assert_eq!(read.classes[0].idempotency, Idempotency::Keyed { key_lifetime: 15_000_000, per_zone: false });
    assert_eq!((read.classes[0].latency_objective, read.call_slots, read.zone), (3_000_000, 15, 1));
    assert_eq!((read.kinds[0].batch, read.kinds[1].separate_routes, read.cancellation), (20, true, true));
    assert!(names.classes.iter().eq(["auth-notice"]));
    assert!(names.tenants.iter().eq(["two_words"]));
}
