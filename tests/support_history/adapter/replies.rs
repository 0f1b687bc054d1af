//! How the simulator processes the replies of the adapter.

use super::instance::Call;
use super::instance::outcome_code::{
    CANCELLED, CONNECT_FAILED, DELIVERED, ERROR, NOT_SENT, REJECTED, RESET, TIMED_OUT,
};
use super::simulator::{SECOND, Simulator};
use crate::support_history::CHECKPOINT_EVERY;

/// Outcomes from which those of calls are drawn.
const USUAL_OUTCOMES: &[u64] = &[
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    DELIVERED,
    ERROR,
    REJECTED,
    RESET,
    NOT_SENT,
    CONNECT_FAILED,
];
/// Outcomes from which those of calls to unreachable destinations are drawn; a few calls still succeed.
const OUTCOMES_IF_UNREACHABLE: &[u64] =
    &[ERROR, REJECTED, REJECTED, TIMED_OUT, CONNECT_FAILED, CONNECT_FAILED, RESET, NOT_SENT, DELIVERED];

fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let found = line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_else(|| panic!("no field {name} in {line:?}"))
}

impl Simulator {
    /// Reads a reply of the adapter.
    pub(super) fn read_replies(&mut self, bytes: &[u8]) {
        self.digest.add_bytes(bytes);
        self.unread.extend_from_slice(bytes);
        while let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.unread.drain(..=end).collect();
            self.read_reply(String::from_utf8(line).expect("replies are text").trim_end());
        }
    }

    fn read_reply(&mut self, line: &str) {
        self.reply_lines += 1;
        let kind = line.split(' ').next().unwrap_or_default();
        self.seen_replies.insert(kind.to_owned());
        if kind == "OK" {
            if self.frames.is_multiple_of(CHECKPOINT_EVERY) {
                self.checkpoints.push(self.digest.value());
            }
            return;
        }
        let index: usize = field(line, "forwarder").parse().expect("an instance");
        match kind {
            "PASS_ON" => self.send(index, line),
            "PUSH_BACK" | "GIVE_UP" => drop(self.instances[index].open.remove(field(line, "ref"))),
            "CANCEL" => self.cancel(index, line),
            "SET_ALARM" => {
                let at: f64 = field(line, "time").parse().expect("a time");
                self.instances[index].wake_at = Some((at * 10.0).ceil() as i64);
            }
            "SUBSCRIBE" => self.instances[index].subscribed = true,
            "DISCONNECT" => {}
            other => panic!("unknown reply {other}: {line}"),
        }
    }

    fn send(&mut self, index: usize, line: &str) {
        let endpoint: u64 = field(line, "target").parse().expect("an endpoint");
        let allowed: f64 = field(line, "allowFor").parse().expect("a time");
        let is_unreachable = self.unreachable.contains(&(endpoint / 10));
        let outcomes = if is_unreachable { OUTCOMES_IF_UNREACHABLE } else { USUAL_OUTCOMES };
        let outcome = self.generator.pick(outcomes);
        let quick = self.generator.between(50, 900);
        let duration = match outcome {
            TIMED_OUT => (allowed * 10.0) as i64,
            CONNECT_FAILED if is_unreachable => SECOND,
            _ => quick,
        };
        let instance = &mut self.instances[index];
        let message = field(line, "ref").to_owned();
        let sends = instance.open.get_mut(&message).expect("only open messages are passed on");
        let (number, sent_at, returns_at) = (*sends, self.now, self.now + duration);
        *sends += 1;
        instance.calls.push(Call { message, number, endpoint, sent_at, returns_at, outcome });
    }

    fn cancel(&mut self, index: usize, line: &str) {
        let (message, number) = (field(line, "ref"), field(line, "go"));
        let number: usize = number.parse().expect("an attempt");
        let calls = self.instances[index].calls.iter_mut();
        for call in calls.filter(|call| call.message == message && call.number == number) {
            (call.returns_at, call.outcome) = (self.now, CANCELLED);
        }
    }
}
