//! Long seeded histories of the simulator adapter, text in and text out, compared with digests recorded
//! earlier. Two instances of different settings run through frames that follow from their replies: calls that
//! were sent return, wake-ups come, subscriptions bring lists.
//!
//! After an intended change of behaviour the panic message of each test shows the values to record.

mod support_history;

use message_forwarder::simulator::serve;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{self, BufRead, Read, Write};
use std::rc::Rc;
use support_history::{CHECKPOINT_EVERY, Digest, Expected, Generator, Recording};

const FRAMES: usize = 2000;
/// Longest usual time between two frames, in tenths of a millisecond.
const MAX_FRAME_INTERVAL: i64 = 1500;
const SECOND: i64 = 10_000;

/// Settings of the two instances; the first keys of a line are added at each start.
const SETTINGS: [&str; 2] = [
    "classes.count=4 classes.0.name=note classes.0.idempotency=pure classes.0.goalTime=2000.0 \
     classes.0.deadline=12000.0 classes.0.worth=1.0 classes.0.lateShare=0.5 classes.1.name=order \
     classes.1.idempotency=side_effect classes.1.goalTime=3000.0 classes.1.deadline=12000.0 classes.1.worth=5 \
     classes.2.name=pay classes.2.idempotency=token classes.2.keyTtl=5000 classes.2.dedupScope=all \
     classes.2.goalTime=2000 classes.2.deadline=12000 classes.3.name=step classes.3.idempotency=pure \
     classes.3.sequential=1 classes.3.goalTime=2000 classes.3.deadline=12000 realms.count=2 \
     realms.0.name=small realms.0.quotaRps=1.5 realms.1.name=large overShareWorth=0.25 discovery=ask \
     guarantees.askWithin=1000 familyInfo.batchByKind=1,1,20 familyInfo.kindApart=false,true,false \
     familyInfo.slots=6 familyInfo.decay=halves kinds=shop,bank,depot limits.maxAttempts=5 limits.openCap=40 \
     limits.cancel=true limits.retryAfter=1 limits.maxRetryAfter=3000 limits.idleClose=4000 \
     limits.connectTimeout=1000 peersTotal=2 report.fields=x0,x1 round=5.0 zone=a zones=a,b,c \
     guarantees.fallMultiple=2 guarantees.overloadFor=3000 guarantees.startCapacity=0.2 \
     guarantees.warmAfter=8000 guarantees.turnGap=1000 weights=nominal some.new=thing",
    "classes.count=3 classes.0.name=note classes.0.idempotency=pure classes.0.goalTime=3000.0 \
     classes.0.deadline=16000.0 classes.1.name=order classes.1.idempotency=side_effect \
     classes.1.sequential=true classes.1.goalTime=3000.0 classes.1.deadline=16000.0 classes.2.name=pay \
     classes.2.idempotency=token classes.2.keyTtl=4000 classes.2.dedupScope=zone classes.2.goalTime=3000 \
     classes.2.deadline=16000 discovery=push familyInfo.batchByKind=1,1,8 \
     familyInfo.kindApart=0,1,0 familyInfo.decay=line familyInfo.slots=20 kinds=shop,bank,depot \
     limits.maxAttempts=4 limits.openCap=200 limits.idleClose=5000 limits.connectTimeout=800 peersTotal=300 \
     report.fields=x1 round=5.0 zone=b zones=b,a weights=rough guarantees.fallMultiple=3 \
     guarantees.overloadFor=2000 guarantees.startCapacity=0.1 guarantees.warmAfter=10000",
];
/// Classes that both instances know, and one of the first alone.
const CLASSES: [&[&str]; 2] = [&["note", "order", "pay", "step"], &["note", "order", "pay"]];
/// Kinds by destination, from destination 1 on.
const KINDS: [&str; 4] = ["shop", "bank", "depot", "shop"];
const ENDPOINTS_PER_DESTINATION: u64 = 3;
const ALL_ENDPOINTS: u64 = KINDS.len() as u64 * ENDPOINTS_PER_DESTINATION;

/// A call that was sent and has not returned.
struct Call {
    message: String,
    number: usize,
    endpoint: u64,
    sent: i64,
    returns_at: i64,
    outcome: u64,
}

/// What the simulator knows about one instance.
#[derive(Default)]
struct Instance {
    running: bool,
    /// Number of starts so far. It is part of the ids of messages, which are never used twice.
    incarnation: u64,
    messages_submitted: u64,
    calls: Vec<Call>,
    /// The number of calls sent for each open message.
    open: BTreeMap<String, usize>,
    wake_at: Option<i64>,
    subscribed: bool,
}

/// The simulator. Times are in tenths of a millisecond.
struct Simulator {
    generator: Generator,
    now: i64,
    frames: usize,
    sheet: u64,
    instances: [Instance; 2],
    unreachable: BTreeSet<u64>,
    digest: Digest,
    checkpoints: Vec<u64>,
    reply_lines: usize,
    seen_replies: BTreeSet<String>,
    unread: Vec<u8>,
}

/// A time as the protocol writes it.
fn milliseconds(time: i64) -> f64 {
    time as f64 / 10.0
}

fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let found = line.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    found.unwrap_or_else(|| panic!("no field {name} in {line:?}"))
}

impl Simulator {
    fn new(seed: u64) -> Self {
        Simulator {
            generator: Generator::new(seed),
            now: 100 * SECOND,
            frames: 0,
            sheet: 0,
            instances: Default::default(),
            unreachable: BTreeSet::new(),
            digest: Digest::new(),
            checkpoints: Vec::new(),
            reply_lines: 0,
            seen_replies: BTreeSet::new(),
            unread: Vec::new(),
        }
    }

    /// The next frame as text; empty once the history is complete.
    fn next_frame(&mut self) -> String {
        if self.frames == FRAMES {
            return String::new();
        }
        self.frames += 1;
        self.now += self.frame_interval();
        let mut frame = format!("FRAME time={}\n", milliseconds(self.now));
        for index in 0..self.instances.len() {
            self.instance_events(index, &mut frame);
        }
        frame.push_str("OVER_TO_YOU\n");
        frame
    }

    fn frame_interval(&mut self) -> i64 {
        let is_long = self.generator.per_mille(10);
        let planned = self.generator.between(1, if is_long { 5 * SECOND } else { MAX_FRAME_INTERVAL });
        let wakes = self.instances.iter().filter_map(|instance| instance.wake_at);
        let next_wake = wakes.min().unwrap_or(i64::MAX) - self.now;
        // A multiple of 5 ms.
        (planned.min(next_wake).max(1) + 49) / 50 * 50
    }

    fn instance_events(&mut self, index: usize, frame: &mut String) {
        if !self.instances[index].running {
            self.boot(index, frame);
        } else if self.generator.per_mille(3) {
            writeln!(frame, "EXIT forwarder={index}").unwrap();
            let incarnation = self.instances[index].incarnation;
            self.instances[index] = Instance { incarnation, ..Instance::default() };
            // Half of them are started again in the same frame.
            if self.generator.per_mille(500) {
                self.boot(index, frame);
            }
            return;
        }
        self.wake(index, frame);
        self.return_calls(index, frame);
        self.change_list(index, frame);
        self.disconnect_and_stream(index, frame);
        if self.generator.per_mille(500) {
            for _ in 0..=self.generator.below(4) {
                self.submit(index, frame);
            }
        }
    }

    fn boot(&mut self, index: usize, frame: &mut String) {
        let seed = self.generator.next() >> 1;
        writeln!(frame, "BOOT forwarder={index} nonce64={seed} {}", SETTINGS[index]).unwrap();
        let incarnation = self.instances[index].incarnation + 1;
        self.instances[index] = Instance { running: true, incarnation, ..Instance::default() };
        let mode = self.generator.pick(&["whole", "stale_copy"]);
        self.send_list(index, mode, frame);
    }

    fn wake(&mut self, index: usize, frame: &mut String) {
        let instance = &mut self.instances[index];
        if instance.wake_at.take_if(|at| *at <= self.now).is_some() {
            writeln!(frame, "RING forwarder={index} handle=0").unwrap();
        }
    }

    /// Writes a catalog, of all endpoints or for a patch of a few, and the list that refers to it.
    fn send_list(&mut self, index: usize, mode: &str, frame: &mut String) {
        self.sheet += 1;
        let rows = if mode == "patch" { 1 + self.generator.below(3) } else { ALL_ENDPOINTS };
        writeln!(frame, "CATALOG sheet={} entries={rows}", self.sheet).unwrap();
        for row in 0..rows {
            let place = if mode == "patch" { self.generator.below(ALL_ENDPOINTS) } else { row };
            self.write_row(place, mode != "patch", frame);
        }
        let sheet = self.sheet;
        writeln!(frame, "ENDPOINTS forwarder={index} serial={sheet} mode={mode} sheet={sheet}").unwrap();
    }

    fn write_row(&mut self, place: u64, mostly_serving: bool, frame: &mut String) {
        let destination = 1 + place / ENDPOINTS_PER_DESTINATION;
        let endpoint = destination * 10 + place % ENDPOINTS_PER_DESTINATION;
        let site = ["a", "b", "c"][(place % 3) as usize];
        let flavor = KINDS[destination as usize - 1];
        let serving = mostly_serving && self.generator.per_mille(900);
        let other = self.generator.pick(&["SERVING", "DRAINING", "DELETED"]);
        let availability = if serving { "SERVING" } else { other };
        let scale = self.generator.between(1, 200) as f64 / 4.0;
        writeln!(
            frame,
            "ROW target={endpoint} site={site} flavor={flavor} belongsTo={destination} \
             availability={availability} scale={scale}"
        )
        .unwrap();
    }

    fn change_list(&mut self, index: usize, frame: &mut String) {
        let subscribed = std::mem::take(&mut self.instances[index].subscribed);
        if self.generator.per_mille(10) {
            writeln!(frame, "ENDPOINTS forwarder={index} serial=0 mode=broken").unwrap();
        } else if subscribed || self.generator.per_mille(5) {
            let mode = self.generator.pick(&["whole", "stale_copy"]);
            self.send_list(index, mode, frame);
        } else if self.generator.per_mille(15) {
            self.send_list(index, "patch", frame);
        }
        if self.generator.per_mille(10) {
            let destination = 1 + self.generator.below(KINDS.len() as u64);
            if !self.unreachable.remove(&destination) {
                self.unreachable.insert(destination);
            }
        }
    }

    fn submit(&mut self, index: usize, frame: &mut String) {
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

    fn return_calls(&mut self, index: usize, frame: &mut String) {
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
        let elapsed = milliseconds(self.now - call.sent);
        let delivered = *outcome == 0;
        let finished = u8::from(delivered || !self.instances[index].open.contains_key(message));
        write!(
            frame,
            "RETURNED forwarder={index} ref={message} go={number} target={endpoint} how={outcome} \
             elapsed={elapsed} finished={finished}"
        )
        .unwrap();
        if *outcome == 254 && self.generator.per_mille(600) {
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

    /// Clients disconnect, streamed responses begin, and lines come that are to be ignored.
    fn disconnect_and_stream(&mut self, index: usize, frame: &mut String) {
        let names: Vec<String> = self.instances[index].open.keys().cloned().collect();
        if !names.is_empty() && self.generator.per_mille(20) {
            let name = &names[self.generator.below(names.len() as u64) as usize];
            writeln!(frame, "CLIENT_LEFT forwarder={index} ref={name}").unwrap();
            self.instances[index].open.remove(name);
        }
        let sent: Vec<String> = self.instances[index].calls.iter().map(|call| call.message.clone()).collect();
        if !sent.is_empty() && self.generator.per_mille(20) {
            let name = &sent[self.generator.below(sent.len() as u64) as usize];
            // The response belongs to the client now: however the call ends, the message is finished.
            writeln!(frame, "UNDER_WAY forwarder={index} ref={name}").unwrap();
            self.instances[index].open.remove(name);
        }
        if self.generator.per_mille(10) {
            writeln!(frame, "CLIENT_LEFT forwarder={index} ref=nobody\nNEWS forwarder={index}").unwrap();
        }
    }

    /// Reads a reply of the adapter.
    fn read_replies(&mut self, bytes: &[u8]) {
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
        let all: &[u64] = if is_unreachable {
            &[255, 254, 254, 253, 252, 252, 251, 249, 0]
        } else {
            &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 255, 254, 251, 249, 252]
        };
        let outcome = self.generator.pick(all);
        let quick = self.generator.between(50, 900);
        let duration = match outcome {
            253 => (allowed * 10.0) as i64,
            252 if is_unreachable => SECOND,
            _ => quick,
        };
        let instance = &mut self.instances[index];
        let message = field(line, "ref").to_owned();
        let sends = instance.open.get_mut(&message).expect("only open messages are passed on");
        let (number, sent, returns_at) = (*sends, self.now, self.now + duration);
        *sends += 1;
        instance.calls.push(Call { message, number, endpoint, sent, returns_at, outcome });
    }

    fn cancel(&mut self, index: usize, line: &str) {
        let (message, number) = (field(line, "ref"), field(line, "go"));
        let number: usize = number.parse().expect("an attempt");
        let calls = self.instances[index].calls.iter_mut();
        for call in calls.filter(|call| call.message == message && call.number == number) {
            (call.returns_at, call.outcome) = (self.now, 250);
        }
    }
}

/// The input of the adapter: each frame is written once the reply to the one before has been read.
struct Frames {
    simulator: Rc<RefCell<Simulator>>,
    frame: Vec<u8>,
    used: usize,
}

impl Read for Frames {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.fill_buf()?.read(buffer)?;
        self.consume(count);
        Ok(count)
    }
}

impl BufRead for Frames {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        if self.used == self.frame.len() {
            self.frame = self.simulator.borrow_mut().next_frame().into_bytes();
            self.used = 0;
        }
        Ok(&self.frame[self.used..])
    }

    fn consume(&mut self, count: usize) {
        self.used += count;
    }
}

/// The output of the adapter.
struct Replies(Rc<RefCell<Simulator>>);

impl Write for Replies {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.borrow_mut().read_replies(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn run(name: &'static str, seed: u64) -> Recording {
    let simulator = Rc::new(RefCell::new(Simulator::new(seed)));
    let frames = Frames { simulator: simulator.clone(), frame: Vec::new(), used: 0 };
    serve(frames, Replies(simulator.clone())).expect("all frames are well formed");
    let simulator = simulator.borrow();
    for kind in ["PASS_ON", "PUSH_BACK", "GIVE_UP", "CANCEL", "DISCONNECT", "SET_ALARM", "SUBSCRIBE", "OK"] {
        assert!(simulator.seen_replies.contains(kind), "{name}: no reply {kind}");
    }
    Recording { name, count: simulator.reply_lines, checkpoints: simulator.checkpoints.clone() }
}

#[test]
fn first_history() {
    run("first history", 31).assert_equals(&Expected {
        count: 8292,
        checkpoints: &[0x873de0eab87c0059, 0x56bb26a10d40b3f7, 0x76522e8e38a0f72f, 0x81f6d6bfa3314bc0],
    });
}

#[test]
fn second_history() {
    run("second history", 32).assert_equals(&Expected {
        count: 8471,
        checkpoints: &[0x8ab48b4650985396, 0x3a772e1a5873aeb9, 0x988e3529d3355f61, 0x7edbea0538fa0a95],
    });
}
