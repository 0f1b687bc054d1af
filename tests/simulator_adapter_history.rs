//! Long seeded histories of frames and replies of the simulator adapter, compared with digests recorded
//! earlier. Two instances of different settings run through frames that follow from their replies: calls that
//! were sent return, requested wake-ups arrive, and subscriptions are answered with lists.
//!
//! After an intended change of behaviour the panic message of each test shows the values to record.

#[path = "support_history/adapter/mod.rs"]
mod adapter;
mod support_history;

use adapter::{Frames, Replies, Simulator};
use message_forwarder::simulator::serve;
use std::cell::RefCell;
use std::rc::Rc;
use support_history::{Expected, Recording};

fn run(name: &'static str, seed: u64) -> Recording {
    let simulator = Rc::new(RefCell::new(Simulator::new(seed)));
    serve(Frames::new(simulator.clone()), Replies(simulator.clone())).expect("all frames are well formed");
    let simulator = simulator.borrow();
    for kind in ["PASS_ON", "PUSH_BACK", "GIVE_UP", "CANCEL", "DISCONNECT", "SET_ALARM", "SUBSCRIBE", "OK"] {
        assert!(simulator.seen_replies.contains(kind), "{name}: no reply {kind}");
    }
    Recording { name, count: simulator.reply_lines, checkpoints: simulator.checkpoints.clone() }
}

#[test]
fn replies_of_the_first_history_equal_the_recording() {
    run("first history", 31).assert_equals(&Expected {
        count: 8393,
        checkpoints: &[0x873de0eab87c0059, 0x0a04274dec87ab2a, 0xd3cdbd2656b1c9e5, 0x174b4906b431af9d],
    });
}

#[test]
fn replies_of_the_second_history_equal_the_recording() {
    run("second history", 32).assert_equals(&Expected {
        count: 8227,
        checkpoints: &[0x0d49fa686ecad308, 0x2ed7abf549b7dcb5, 0xa80aee6afecfd4e6, 0x5f7054f539573e33],
    });
}
