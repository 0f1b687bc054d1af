//! Long seeded histories of the decision module, compared with digests recorded earlier: a change of any
//! decision, however small, fails a test. A refactoring must leave every number as it is.
//!
//! After an intended change of behaviour the panic message of each test shows the values to record.

#[path = "support_history/decisions/mod.rs"]
mod decisions;
mod support_history;

use decisions::*;
use message_forwarder::interface::EndpointWeights;
use support_history::Expected;

/// Numbers of the kinds of decision, as the recordings encode them.
const SEND: usize = 1;
const REJECT: usize = 2;
const FAIL: usize = 3;
const CANCEL: usize = 4;
const CLOSE_IDLE_CONNECTIONS: usize = 5;
const WAKE: usize = 6;
const SUBSCRIBE: usize = 7;
const ACCEPT_CLIENTS: usize = 8;

const ALL_CLASSES: &[usize] =
    &[IDEMPOTENT, KEYED, KEYED_PER_ZONE, NOT_IDEMPOTENT, IDEMPOTENT_ORDERED, NOT_IDEMPOTENT_ORDERED];
const ALL_CONDITIONS: &[Condition] = &[
    Condition::Healthy,
    Condition::Healthy,
    Condition::Healthy,
    Condition::Healthy,
    Condition::Failing,
    Condition::RateLimited,
    Condition::Unresponsive,
    Condition::Overloaded,
    Condition::Unreachable,
];

const PROFILE: Profile = Profile {
    sender_count: 2,
    call_slots: 16,
    max_open_messages: 400,
    endpoint_weights: EndpointWeights::Off,
    poll_discovery: false,
    cancel: false,
    half_life_decay: false,
};

const RATES: Rates = Rates {
    submit: 500,
    burst: 4,
    condition: 8,
    list: 12,
    watch_failed: 0,
    ban: 0,
    ban_end: 0,
    drain: 0,
    client_disconnected: 10,
    response_started: 10,
    history: 10,
};

const fn destination(id: u64, kind: usize, endpoints: u64) -> Destination {
    Destination { id, kind, endpoints }
}

const BASIC: Scenario = Scenario {
    name: "",
    seed: 0,
    turns: 4000,
    profile: PROFILE,
    destinations: &[],
    classes: ALL_CLASSES,
    conditions: ALL_CONDITIONS,
    tenants: false,
    rates: RATES,
    take_over_every: 0,
    must_occur: &[SEND, REJECT, FAIL, WAKE],
};

const SHARED_ROUTES: Scenario = Scenario {
    name: "shared routes",
    seed: 11,
    destinations: &[destination(1, SHARED, 3), destination(2, SHARED, 2), destination(3, SHARED, 1)],
    ..BASIC
};

const SEPARATE_ROUTES: Scenario = Scenario {
    name: "separate routes",
    seed: 12,
    destinations: &[destination(1, SEPARATE, 3), destination(2, SEPARATE, 2), destination(3, SHARED, 2)],
    profile: Profile { endpoint_weights: EndpointWeights::Nominal, ..PROFILE },
    ..BASIC
};

const MANY_SENDERS: Scenario = Scenario {
    name: "batches with many senders",
    seed: 13,
    destinations: &[destination(1, BATCHED, 2), destination(2, SHARED, 2), destination(3, SEPARATE, 2)],
    profile: Profile {
        sender_count: 300,
        endpoint_weights: EndpointWeights::Approximate,
        poll_discovery: true,
        ..PROFILE
    },
    rates: Rates { burst: 12, watch_failed: 5, ..RATES },
    must_occur: &[SEND, REJECT, FAIL, WAKE, CLOSE_IDLE_CONNECTIONS, SUBSCRIBE],
    ..BASIC
};

const EXECUTION_RULES: Scenario = Scenario {
    name: "messages not to be executed twice",
    seed: 14,
    destinations: &[destination(1, SHARED, 3), destination(2, SEPARATE, 3)],
    classes: &[KEYED, KEYED_PER_ZONE, NOT_IDEMPOTENT],
    profile: Profile { half_life_decay: true, ..PROFILE },
    rates: Rates { condition: 15, history: 40, ..RATES },
    ..BASIC
};

const TENANTS_OVER_QUOTA: Scenario = Scenario {
    name: "tenants over quota",
    seed: 15,
    destinations: &[destination(1, SHARED, 2), destination(2, SEPARATE, 2)],
    profile: Profile { call_slots: 4, max_open_messages: 40, ..PROFILE },
    tenants: true,
    rates: Rates { submit: 700, burst: 6, ..RATES },
    ..BASIC
};

const ORDERING_KEYS: Scenario = Scenario {
    name: "ordering keys",
    seed: 16,
    destinations: &[destination(1, SHARED, 2), destination(2, BATCHED, 2)],
    classes: &[IDEMPOTENT_ORDERED, NOT_IDEMPOTENT_ORDERED, IDEMPOTENT],
    ..BASIC
};

const SCARCE_SLOTS: Scenario = Scenario {
    name: "scarce slots and hanging calls",
    seed: 17,
    destinations: &[destination(1, SHARED, 2), destination(2, SEPARATE, 3), destination(3, BATCHED, 1)],
    conditions: &[
        Condition::Healthy,
        Condition::Healthy,
        Condition::Unresponsive,
        Condition::Unresponsive,
        Condition::Failing,
    ],
    profile: Profile { call_slots: 6, cancel: true, half_life_decay: true, ..PROFILE },
    rates: Rates { condition: 12, ..RATES },
    must_occur: &[SEND, REJECT, FAIL, WAKE, CANCEL],
    ..BASIC
};

const RESTARTS: Scenario = Scenario {
    name: "restarts and upgrades",
    seed: 18,
    destinations: &[destination(1, SHARED, 3), destination(2, SEPARATE, 2), destination(3, BATCHED, 2)],
    profile: Profile {
        cancel: true,
        poll_discovery: true,
        endpoint_weights: EndpointWeights::Nominal,
        ..PROFILE
    },
    rates: Rates { history: 150, watch_failed: 4, ban: 3, ban_end: 6, ..RATES },
    take_over_every: 170,
    must_occur: &[SEND, REJECT, FAIL, WAKE, SUBSCRIBE],
    ..BASIC
};

const BANS_AND_DRAINS: Scenario = Scenario {
    name: "bans and drains",
    seed: 19,
    destinations: &[destination(1, SHARED, 2), destination(2, SEPARATE, 2), destination(3, SHARED, 1)],
    profile: Profile { sender_count: 8, endpoint_weights: EndpointWeights::Nominal, ..PROFILE },
    rates: Rates { ban: 25, ban_end: 80, drain: 10, ..RATES },
    must_occur: &[SEND, REJECT, FAIL, WAKE, ACCEPT_CLIENTS],
    ..BASIC
};

const MANY_SENDERS_RESTARTED: Scenario = Scenario {
    name: "many senders, restarted, half-life decay",
    seed: 20,
    destinations: &[destination(1, SHARED, 4), destination(2, SEPARATE, 3), destination(3, BATCHED, 2)],
    profile: Profile {
        sender_count: 300,
        call_slots: 24,
        endpoint_weights: EndpointWeights::Approximate,
        poll_discovery: true,
        cancel: true,
        half_life_decay: true,
        ..PROFILE
    },
    tenants: true,
    rates: Rates { submit: 300, watch_failed: 5, ban: 5, ban_end: 10, drain: 3, history: 30, ..RATES },
    take_over_every: 450,
    ..BASIC
};

const ALL: [&Scenario; 10] = [
    &SHARED_ROUTES,
    &SEPARATE_ROUTES,
    &MANY_SENDERS,
    &EXECUTION_RULES,
    &TENANTS_OVER_QUOTA,
    &ORDERING_KEYS,
    &SCARCE_SLOTS,
    &RESTARTS,
    &BANS_AND_DRAINS,
    &MANY_SENDERS_RESTARTED,
];

fn check(scenario: &Scenario, expected: &Expected) {
    History::new(scenario).run().assert_equals(expected);
}

#[test]
fn each_kind_of_decision_is_required_of_some_history() {
    for kind in SEND..=ACCEPT_CLIENTS {
        assert!(ALL.iter().any(|scenario| scenario.must_occur.contains(&kind)), "decision {kind}");
    }
}

#[test]
fn decisions_on_shared_routes_equal_the_recording() {
    check(
        &SHARED_ROUTES,
        &Expected {
            count: 9283,
            checkpoints: &[
                0x9bc59e787f187342,
                0x2d264d4038b3369d,
                0x2267ff18b60bf070,
                0x79cfb9c59a1d980b,
                0x399edcf2947768a8,
                0xf662e4f2d5a2e6d9,
                0x553e8f15edfce63b,
                0xecd5250c1d460a18,
            ],
        },
    );
}

#[test]
fn decisions_on_separate_routes_equal_the_recording() {
    check(
        &SEPARATE_ROUTES,
        &Expected {
            count: 9081,
            checkpoints: &[
                0x38cedb20e5ae226d,
                0x1e241a8b51969c11,
                0x6f9b5646e687cae5,
                0xe96de8bdaa7b020c,
                0xdaa6f8a67e64ae54,
                0x3137558e00a55827,
                0xdececd3f909f7203,
                0x890ca108d810230e,
            ],
        },
    );
}

#[test]
fn decisions_on_batches_with_many_senders_equal_the_recording() {
    check(
        &MANY_SENDERS,
        &Expected {
            count: 16759,
            checkpoints: &[
                0x9809b90236a59472,
                0xc1fb2712c03e757e,
                0x81c29e992573079a,
                0x1e0437a96ced85b7,
                0xc9932c37d4cf744b,
                0xaefa7b4e5dad1aa2,
                0xddedadcc5435c6d9,
                0x298e413055a7bb2d,
            ],
        },
    );
}

#[test]
fn decisions_on_messages_not_to_be_executed_twice_equal_the_recording() {
    check(
        &EXECUTION_RULES,
        &Expected {
            count: 8762,
            checkpoints: &[
                0x464462debce8567e,
                0x59fe6ed19fddb386,
                0x274f966837b5fdc7,
                0x8e109a00280ed87a,
                0xe72b66f2ea70c6ca,
                0xa3e8a40b4b208d78,
                0xbadb9d889c4065da,
                0xecbf368ebcf6a93e,
            ],
        },
    );
}

#[test]
fn decisions_on_tenants_over_quota_equal_the_recording() {
    check(
        &TENANTS_OVER_QUOTA,
        &Expected {
            count: 12271,
            checkpoints: &[
                0x88e0aec4b7965bbb,
                0x0139ba63de91ca2a,
                0x63e8b3bcf255006e,
                0x73bede2a72403eed,
                0x4b8dddb972a018e6,
                0x4b126091589f8431,
                0x6ef4a2bc3b422a63,
                0xe124277151cdfd1a,
            ],
        },
    );
}

#[test]
fn decisions_on_ordering_keys_equal_the_recording() {
    check(
        &ORDERING_KEYS,
        &Expected {
            count: 8462,
            checkpoints: &[
                0x4076360b617fb4e1,
                0x77b55e342080efde,
                0xe2fc2bdb579a7e4d,
                0x1049d2403de6e2ca,
                0x10e341681bb8af13,
                0x07414c6c63b25a32,
                0x2a6cf3e72559448e,
                0x3334f353369b0422,
            ],
        },
    );
}

#[test]
fn decisions_on_scarce_slots_and_hanging_calls_equal_the_recording() {
    check(
        &SCARCE_SLOTS,
        &Expected {
            count: 10652,
            checkpoints: &[
                0x971087a9ed61867c,
                0xf024a621269a454b,
                0x4ac72e9cdca509e5,
                0x9fe927aeb8b0bc85,
                0x79c2935319d2a8c6,
                0x8e444992bb838167,
                0x02ac9401873fc831,
                0xb5d91ff877a42166,
            ],
        },
    );
}

#[test]
fn decisions_after_restarts_and_upgrades_equal_the_recording() {
    check(
        &RESTARTS,
        &Expected {
            count: 10344,
            checkpoints: &[
                0xc3d7d678f56fc54e,
                0x527c0401aa21ed35,
                0x82494c8bfde0358e,
                0xde897c62667fc905,
                0x910aca8a1ba387b1,
                0xd7d572cce3183559,
                0x7cce31628e2a1021,
                0xebd7ffe475ca590d,
            ],
        },
    );
}

#[test]
fn decisions_on_bans_and_drains_equal_the_recording() {
    check(
        &BANS_AND_DRAINS,
        &Expected {
            count: 8451,
            checkpoints: &[
                0xfb35f0eec772a2a0,
                0x1feb2a4ee439d47a,
                0x3c9410408cc9d188,
                0x958ea99ee84bbbc9,
                0xfb5be0593ee18b1c,
                0xa55142d448084fee,
                0x857a83c2e6937177,
                0x96984acb6a12a25d,
            ],
        },
    );
}

#[test]
fn decisions_of_many_senders_restarted_equal_the_recording() {
    check(
        &MANY_SENDERS_RESTARTED,
        &Expected {
            count: 6288,
            checkpoints: &[
                0x2bfe6a4e91891099,
                0xc4e6e2daf6a32464,
                0x0bd4518057e1b483,
                0x572c20b0f2f2c3ba,
                0xc5add33af0ce7196,
                0x45df8ccf8afb6747,
                0xd0bb5c92adf098ac,
                0xabd4705b5f7e1e46,
            ],
        },
    );
}
