//! Messages that clients submit and leave, and calls that return.

use super::instance::{Call, outcome_code};
use super::settings::{CLASSES, KINDS};
use super::simulator::{SECOND, Simulator, milliseconds};
use std::fmt::Write as _;

impl Simulator {
    pub(super) fn submit(&mut self, index: usize, frame: &mut String) {
        let instance = &mut self.instances[index];
        instance.messages_submitted += 1;
        let name = format!("m{}-{}", instance.incarnation, instance.messages_submitted);
        instance.open.insert(name.clone(), 0);
        let class = self.generator.pick(CLASSES[index]);
        let time_limit = self.generator.pick(&[12 * SECOND, 6 * SECOND, SECOND]);
        let expires_at = milliseconds(self.now + time_limit);
        let unknown = self.generator.per_mille(5);
        let destination = if unknown { 99 } else { 1 + self.generator.below(KINDS.len() as u64) };
        let group =
            self.generator.pick(&["", " clientGroup=small", " clientGroup=large", " clientGroup=other"]);
        let key = self.generator.pick(&["", " partitionKey=", " partitionKey=p1", " partitionKey=p2"]);
        writeln!(
            frame,
            "SUBMIT forwarder={index} ref={name} priority={class} giveUpAt={expires_at} \
             calledNode={destination}{group}{key}"
        )
        .unwrap();
    }

    pub(super) fn return_calls(&mut self, index: usize, frame: &mut String) {
        let calls = std::mem::take(&mut self.instances[index].calls);
        let now = self.now;
        let (due, open): (Vec<Call>, Vec<Call>) = calls.into_iter().partition(|call| call.returns_at <= now);
        self.instances[index].calls = open;
        for call in due {
            self.return_call(index, &call, frame);
        }
    }

    fn return_call(&mut self, index: usize, call: &Call, frame: &mut String) {
        let Call { message, number, endpoint, outcome, .. } = call;
        let elapsed = milliseconds(self.now - call.sent_at);
        let delivered = *outcome == outcome_code::DELIVERED;
        let finished = u8::from(delivered || !self.instances[index].open.contains_key(message));
        write!(
            frame,
            "RETURNED forwarder={index} ref={message} go={number} target={endpoint} how={outcome} \
             elapsed={elapsed} finished={finished}"
        )
        .unwrap();
        if *outcome == outcome_code::REJECTED && self.generator.per_mille(600) {
            write!(frame, " detail={}", self.generator.between(0, 30_000) as f64 / 10.0).unwrap();
        }
        let limit = self.generator.between(-5, 400) as f64 / 4.0;
        let (first, second) = if index == 0 { (0.5, limit) } else { (limit, 0.5) };
        match self.generator.below(8) {
            0 => write!(frame, " healthInfo={first},{second}").unwrap(),
            1 => frame.push_str(" healthInfo=-"),
            _ => {}
        }
        frame.push('\n');
        if delivered {
            self.instances[index].open.remove(message);
        }
    }

    /// Clients disconnect, streamed responses begin, and lines are written that the adapter must ignore.
    pub(super) fn disconnect_and_stream(&mut self, index: usize, frame: &mut String) {
        let names: Vec<String> = self.instances[index].open.keys().cloned().collect();
        if !names.is_empty() && self.generator.per_mille(20) {
            let name = &names[self.generator.below(names.len() as u64) as usize];
            writeln!(frame, "CLIENT_LEFT forwarder={index} ref={name}").unwrap();
            self.instances[index].open.remove(name);
        }
        let sent: Vec<String> = self.instances[index].calls.iter().map(|call| call.message.clone()).collect();
        if !sent.is_empty() && self.generator.per_mille(20) {
            let name = &sent[self.generator.below(sent.len() as u64) as usize];
            // The client is receiving the response: the message is finished however the call ends.
            writeln!(frame, "UNDER_WAY forwarder={index} ref={name}").unwrap();
            self.instances[index].open.remove(name);
        }
        if self.generator.per_mille(10) {
            writeln!(frame, "CLIENT_LEFT forwarder={index} ref=nobody\nNEWS forwarder={index}").unwrap();
        }
    }
}
