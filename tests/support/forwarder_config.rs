//! The configuration that forwarders under test start with.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// A configuration with the classes `keyed` and `unsafe`, the kinds `plain` (one message in a call) and
/// `several` (up to 20), and the tenant `acme`.
pub(super) fn configuration(
    listen: SocketAddr,
    admin: SocketAddr,
    discovery: SocketAddr,
    known_endpoints: &[Value],
) -> Value {
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "admin": admin.to_string(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64, "disk_mb": 3},
        "known": {"rev": 1, "all": true, "targets": known_endpoints},
        "settings": {
            "classes": [class("keyed", "token"), class("unsafe", "side_effect")],
            "kinds": ["plain", "several"], "zone": "a", "zones": ["a"], "peersTotal": 2,
            "realms": [{"name": "acme", "quotaRps": 1000.0}],
            "report": {"fields": ["x0", "x1"]}, "round": 5.0, "weights": "rough",
            "familyInfo": {"batchByKind": [1, 20], "kindApart": [false, false], "slots": 16},
            "limits": {"maxAttempts": 6, "openCap": 100, "connectTimeout": 1000.0, "idleClose": 5000.0,
                       "retryAfter": true, "maxRetryAfter": 3000.0, "cancel": true},
            "guarantees": {"fallMultiple": 2.0, "overloadFor": 3000.0, "startCapacity": 0.17,
                           "warmAfter": 13000.0, "stopSendingWithin": 2000.0}
        }
    })
}

fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "idempotency": idempotency, "dedupScope": "all", "keyTtl": 15000.0,
           "goalTime": 3000.0, "deadline": 28000.0, "worth": 1.0, "lateShare": 0.5})
}

/// Sets the shortest time between two turns.
pub(crate) fn turn_interval(configuration: &mut Value, milliseconds: f64) {
    configuration["settings"]["round"] = json!(milliseconds);
}

/// Sets the latency objective of both classes. A longer objective makes attempts time out later.
pub(crate) fn latency_objective(configuration: &mut Value, milliseconds: f64) {
    for class in [0, 1] {
        configuration["settings"]["classes"][class]["goalTime"] = json!(milliseconds);
    }
}

/// Allows one call in flight.
pub(crate) fn one_call_slot(configuration: &mut Value) {
    configuration["settings"]["familyInfo"]["slots"] = json!(1);
}

/// Makes turns so long that messages submitted together are handled in one turn and sent in one call.
pub(crate) fn long_turns(configuration: &mut Value) {
    turn_interval(configuration, 400.0);
}
