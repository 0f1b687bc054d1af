//! Orders of events that come about rarely, each forced: by peers that hold their side, or by a process that is stopped
//! until all events wait for it.

mod support;

use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use support::{Discovery, Forwarder, Raw, RawCall, SOON, Stub, endpoint, jammed, request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

const QUIET: Duration = Duration::from_millis(150);
const MANY: usize = 30;

/// Leaves one call out and many messages untried behind it, and ends the process by SIGKILL or by SIGTERM and SIGKILL.
async fn leaves_many(f: &mut Forwarder, stub: &mut Stub, deadline_ms: u64, terminate: bool) {
    assert_eq!(f.hand_in("unsafe", "first", 28_000).await.status(), 202);
    let out = stub.next().await;
    for n in 0..MANY {
        let class = if n % 2 == 0 { "keyed" } else { "unsafe" };
        assert_eq!(f.hand_in(class, &format!("m{n}"), deadline_ms).await.status(), 202);
    }
    if terminate {
        f.terminate();
        assert!(f.exited().await.success());
    } else {
        out.closed_after(|| f.kill()).await;
    }
}

fn one_slot(c: &mut Value) {
    c["settings"]["familyInfo"]["slots"] = json!(1);
}

#[tokio::test]
async fn what_a_restart_finds_untried_is_tried_once_its_destination_is_listed() {
    for terminate in [false, true] {
        let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
        let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
        let mut f = Forwarder::start(&discovery, &known, one_slot).await;
        leaves_many(&mut f, &mut stub, 28_000, terminate).await;
        f.configure(|c| c["known"]["targets"] = json!([]));
        f.restart().await;
        // Only the one that may have run ends now.
        assert_eq!(discovery.notice().await, json!({"message": "first", "outcome": "given_up"}));
        assert!(discovery.is_quiet(QUIET).await);
        discovery.push_whole(2, known.to_vec());
        let mut tried = BTreeSet::new();
        while tried.len() < MANY {
            let call = stub.next().await;
            assert!(tried.insert(call.header("req-id").to_owned()), "{} again", call.header("req-id"));
            call.answer(200);
        }
        assert!(!tried.contains("first") && stub.is_quiet(QUIET).await && discovery.is_quiet(QUIET).await);
    }
}

#[tokio::test]
async fn what_a_restart_can_not_try_in_its_time_gets_its_notice() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, one_slot).await;
    let begun = Instant::now();
    leaves_many(&mut f, &mut stub, 3000, false).await;
    f.configure(|c| c["known"]["targets"] = json!([]));
    f.restart().await;
    let mut ends = Vec::new();
    while ends.len() < MANY + 1 {
        ends.extend(discovery.notices().await);
    }
    // Each once; what never ran may come again.
    let back = ends.iter().filter(|n| n["outcome"] == "handed_back");
    let names: BTreeSet<String> = back.map(|n| n["message"].to_string()).collect();
    assert_eq!((names.len(), ends.len()), (MANY, MANY + 1));
    // Not before their time was all but up, and not after it.
    assert!((2500..3600).contains(&begun.elapsed().as_millis()), "{:?}", begun.elapsed());
    assert!(discovery.is_quiet(QUIET).await);
}

#[tokio::test]
async fn what_a_restart_finds_untried_does_not_make_room_for_what_is_new() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let small = |c: &mut Value| {
        one_slot(c);
        c["settings"]["limits"]["openCap"] = json!(64);
    };
    let mut f = Forwarder::start(&discovery, &known, small).await;
    leaves_many(&mut f, &mut stub, 28_000, false).await;
    f.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "first", "outcome": "given_up"}));
    let held = stub.next().await;
    let mut refused = 0;
    for n in 0..60 {
        refused += usize::from(f.hand_in("keyed", &format!("n{n}"), 28_000).await.status() == 503);
    }
    assert!(refused > 20 && discovery.is_quiet(QUIET).await, "{refused}");
    held.answer(200);
}

#[tokio::test]
async fn connections_that_are_refused_are_none_of_a_messages_attempts() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let closed = Stub::start().await.closed().await;
    let known = [endpoint("t", closed, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["maxAttempts"] = json!(2);
        c["settings"]["classes"][0]["goalTime"] = json!(200.0);
        c["settings"]["classes"][1]["goalTime"] = json!(200.0);
    })
    .await;
    assert_eq!(f.hand_in("unsafe", "m", 28_000).await.status(), 202);
    // Time for many more than two.
    assert!(discovery.is_quiet(Duration::from_secs(3)).await);
    discovery.push(2, vec![endpoint("u", stub.addr, 7, "plain", "in_service")]);
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    f.until_delivered("unsafe", "m").await;
}

#[tokio::test]
async fn a_message_whose_connection_was_still_coming_up_at_sigkill_was_never_tried() {
    let (mut discovery, mut stub, (listener, _queued)) =
        (Discovery::start().await, Stub::start().await, jammed().await);
    let addr = listener.local_addr().expect("it is bound");
    let known = [endpoint("t", addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    // Its call is decided in the turn that takes it on.
    assert_eq!(f.hand_in("unsafe", "m", 28_000).await.status(), 202);
    f.kill();
    f.configure(|c| c["known"]["targets"] = json!([endpoint("t", stub.addr, 7, "plain", "in_service")]));
    f.restart().await;
    tokio::select! {
        call = stub.next() => {
            assert_eq!(call.header("req-id"), "m");
            call.answer(200);
        }
        notice = discovery.notice() => panic!("{notice}"),
    }
    f.until_delivered("unsafe", "m").await;
}

#[tokio::test]
async fn a_call_called_off_before_its_connection_is_up_never_ran() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let ((one, _queued), (other, _too)) = (jammed().await, jammed().await);
    let addr = |l: &tokio::net::TcpListener| l.local_addr().expect("it is bound");
    let known = [
        endpoint("t", addr(&one), 7, "plain", "in_service"),
        endpoint("u", addr(&other), 8, "plain", "in_service"),
        endpoint("v", stub.addr, 9, "plain", "in_service"),
    ];
    let f = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["familyInfo"]["slots"] = json!(2);
        c["settings"]["limits"]["connectTimeout"] = json!(20_000.0);
        for class in [0, 1] {
            c["settings"]["classes"][class]["goalTime"] = json!(400.0);
        }
    })
    .await;
    f.hand_in_for(7, "unsafe", "a", 28_000).await;
    f.hand_in_for(8, "unsafe", "b", 28_000).await;
    // Both slots are taken: one of the two makes room, and is not lost by that.
    f.hand_in_for(9, "unsafe", "c", 28_000).await;
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "c");
    call.answer(200);
    assert!(discovery.is_quiet(Duration::from_millis(600)).await);
}

/// Connections to this address that are still coming up.
fn coming_up(to: std::net::SocketAddr) -> usize {
    // As the system lists them: the other end in hexadecimal, then 02 for a SYN that has no answer.
    let end = format!(" 0100007F:{:04X} 02 ", to.port());
    std::fs::read_to_string("/proc/net/tcp").expect("the system's list").matches(&end).count()
}

#[tokio::test]
async fn a_connection_that_comes_up_while_the_process_stands_still_does_not_carry_what_is_too_late() {
    let (discovery, mut stub, (listener, queued)) =
        (Discovery::start().await, Stub::start().await, jammed().await);
    let addr = listener.local_addr().expect("it is bound");
    let known =
        [endpoint("t", stub.addr, 7, "plain", "in_service"), endpoint("u", addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["classes"][0]["goalTime"] = json!(16_000);
        c["settings"]["classes"][1]["goalTime"] = json!(16_000);
        c["settings"]["classes"][0]["keyTtl"] = json!(6000);
        c["settings"]["limits"]["connectTimeout"] = json!(30_000);
    })
    .await;
    assert!(f.call("disable-server u").await.starts_with("ACK"));
    let mut calls = Vec::new();
    for id in ["a", "b"] {
        f.hand_in("keyed", id, 28_000).await;
        calls.push(stub.next().await);
    }
    let begun = Instant::now();
    assert!(f.call("disable-server t").await.starts_with("ACK"));
    assert!(f.call("enable-server u").await.starts_with("ACK"));
    let before = coming_up(addr);
    calls.into_iter().for_each(support::Call::hang_up);
    // Stopped while both repeats wait for their connections.
    let both = async {
        while coming_up(addr) < before + 2 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, both).await.expect("both are repeated");
    f.stop();
    let old: BTreeSet<_> = queued.iter().map(|s| s.local_addr().expect("it is open")).collect();
    let mut up = Vec::new();
    while up.len() < 2 {
        let (stream, from) =
            timeout(SOON, listener.accept()).await.expect("it comes up").expect("it listens");
        // What the test itself had tried is of no interest.
        if !old.contains(&from) {
            up.push(stream);
        }
    }
    // Both are up, and their keys are forgotten by now, when the process hears of either.
    sleep_until((begun + Duration::from_millis(6100)).into()).await;
    f.go_on();
    for mut stream in up {
        let got = timeout(SOON, stream.read(&mut [0; 64])).await.expect("written or closed");
        assert!(got.is_ok_and(|n| n == 0), "written after its key's life");
    }
}

/// Reads a request without a body.
async fn head(call: &mut RawCall) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let read = timeout(SOON, call.0.read_buf(&mut text)).await.expect("a request comes");
        assert!(read.expect("it is open") > 0, "closed");
    }
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn sighup_beside_an_answer_leaves_no_watch_at_the_old_address() {
    let (discovery, old, mut new) = (Discovery::start().await, Raw::start().await, Stub::start().await);
    let f = Forwarder::start(&discovery, &[], |c| c["discovery"] = json!(old.addr.to_string())).await;
    let mut watch = old.accept().await;
    assert!(head(&mut watch).await.starts_with("GET /api/targets?index=1&wait=2000"));
    f.stop();
    f.reload(|c| c["discovery"] = json!(new.addr.to_string()));
    let list = json!({"rev": 7, "all": false, "targets": []}).to_string();
    watch.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())).await;
    f.go_on();
    // The whole list is asked for at the new address, and the old connection closes without a word.
    assert_eq!(new.next().await.path, "/api/targets");
    assert_eq!(watch.rest().await, "");
}

#[tokio::test]
async fn who_hands_in_at_the_old_version_when_the_new_one_has_died_is_told() {
    let (discovery, stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start_inheriting(&discovery, &known, |_| {}).await;
    let mut clients = Vec::new();
    for id in ["a", "b"] {
        let mut client = RawCall(TcpStream::connect(f.addr).await.expect("it listens"));
        client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let mut first = [0; 12];
        timeout(SOON, client.0.read_exact(&mut first)).await.expect("an answer").expect("it is open");
        client
            .write(&format!("POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n"))
            .await;
        clients.push(client);
    }
    let old = f.upgrade().await;
    f.kill();
    // The first may come before the old version hears that the new one has gone, the second does not.
    for mut client in clients {
        client.write("Req-Deadline-Ms: 9000\r\nIdempotency-Key: k\r\n").await;
        client.write("Envelope: dest=7\r\nContent-Length: 2\r\n\r\nhi").await;
        assert!(client.rest().await.contains("HTTP/1.1 503"));
    }
    drop(old);
}

#[tokio::test]
async fn after_sigterm_too_a_call_ends_with_the_first_of_its_messages() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "several", "in_service")];
    let f = Forwarder::start(&discovery, &known, |c| c["settings"]["round"] = json!(400.0)).await;
    f.hand_in("unsafe", "first", 9000).await;
    stub.next().await.answer(200);
    tokio::join!(f.hand_in("unsafe", "short", 3000), f.hand_in("unsafe", "long", 60_000));
    let call = stub.next().await;
    assert_eq!(serde_json::from_slice::<Vec<Value>>(&call.body).expect("an array").len(), 2);
    f.terminate();
    // Its time is up between the last turn that decides anything and the end of the process.
    call.closed().await;
    let mut given_up = discovery.notices().await;
    while given_up.len() < 2 {
        given_up.extend(discovery.notices().await);
    }
    let notice = |id| json!({"message": id, "outcome": "given_up"});
    assert!(given_up.contains(&notice("short")) && given_up.contains(&notice("long")), "{given_up:?}");
}

/// A request for destination 7, without its last `less` bytes, and those bytes.
fn message(id: &str, less: usize) -> (String, String) {
    let text = format!(
        "POST /keyed HTTP/1.1\r\nHost: a\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 9000\r\n\
         Idempotency-Key: {id}\r\nEnvelope: dest=7\r\nContent-Length: 2\r\n\r\nhi"
    );
    let (first, last) = text.split_at(text.len() - less);
    (first.to_owned(), last.to_owned())
}

async fn client_of(f: &Forwarder) -> RawCall {
    RawCall(TcpStream::connect(f.addr).await.expect("it listens"))
}

#[tokio::test]
async fn who_finds_no_room_hears_so() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    // Each place is taken by a request that has begun.
    let mut begun = Vec::new();
    for n in 0..7 {
        let mut client = client_of(&f).await;
        client.write(&message(&format!("m{n}"), 1).0).await;
        begun.push(client);
    }
    let mut turned_away = client_of(&f).await;
    turned_away.write(&message("late", 0).0).await;
    let told = turned_away.rest().await;
    println!("{told:?}");
    assert!(told.starts_with("HTTP/1.1 503"));
    for mut client in begun {
        client.write("i").await;
        stub.next().await.answer(200);
    }
}

/// All that comes until the other side closes, and whether it did so without a reset.
async fn until_closed(client: &mut RawCall) -> (String, std::io::Result<usize>) {
    let mut text = Vec::new();
    let end = timeout(SOON, client.0.read_to_end(&mut text)).await.expect("it is closed");
    (String::from_utf8_lossy(&text).into_owned(), end)
}

/// The next answer: its head, which is all of it.
async fn answer(client: &mut RawCall) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        timeout(SOON, client.0.read_exact(&mut byte)).await.expect("an answer").expect("it is open");
        text.extend_from_slice(&byte);
    }
    String::from_utf8_lossy(&text).into_owned()
}

#[tokio::test]
async fn a_close_over_unread_bytes_cuts_no_answer_short() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    assert!(f.call("drain").await.starts_with("ACK"));
    let mut client = client_of(&f).await;
    // Far more than is read ahead: the rest is still in the socket when the last answer goes out.
    let more: String = (0..400).map(|n| message(&format!("more{n}"), 0).0).collect();
    client.write(&format!("{}{more}", message("m", 0).0)).await;
    let (told, end) = until_closed(&mut client).await;
    assert!(told.starts_with("HTTP/1.1 202") && told.matches("HTTP/1.1").count() == 1, "{told:?}");
    assert!(end.is_ok(), "{end:?}");
    // Whatever is on its way still is read, or a reset would come back for it and overtake the answer.
    for _ in 0..20 {
        client.write("more").await;
        sleep(Duration::from_millis(5)).await;
    }
    // It does not wait for ever for a client that stays.
    let reset = async {
        while client.0.write_all(b"more").await.is_ok() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, reset).await.expect("it is closed in the end");
    // What was not answered was not taken on.
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "m");
    call.answer(200);
    assert!(stub.is_quiet(QUIET).await);
}

#[tokio::test]
async fn what_comes_after_the_close_at_sigterm_is_not_taken_on() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut clients = Vec::new();
    for n in 0..4 {
        let mut client = client_of(&f).await;
        client.write(&message(&format!("before{n}"), 0).0).await;
        assert!(answer(&mut client).await.starts_with("HTTP/1.1 202"));
        stub.next().await.answer(200);
        clients.push(client);
    }
    f.stop();
    f.terminate();
    // It comes with the signal, on a resting connection.
    clients[0].write(&message("with", 0).0).await;
    f.go_on();
    let (told, end) = until_closed(&mut clients[0]).await;
    assert!(told.starts_with("HTTP/1.1 202") && end.is_ok(), "{told:?} {end:?}");
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "with");
    call.answer(200);
    for (n, client) in clients.iter_mut().enumerate().skip(1) {
        assert_eq!(client.0.read(&mut [0; 1]).await.expect("closed in good order"), 0);
        // It may be reset by now.
        let _ = client.0.write_all(message(&format!("after{n}"), 0).0.as_bytes()).await;
        assert_eq!(until_closed(client).await.0, "");
    }
    assert!(f.exited().await.success());
    f.restart().await;
    assert!(stub.is_quiet(QUIET).await && discovery.is_quiet(QUIET).await);
}

#[tokio::test]
async fn a_request_that_begins_on_a_resting_connection_has_its_whole_time() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let f = Forwarder::start(&discovery, &known, |_| {}).await;
    let mut client = client_of(&f).await;
    client.write(&message("first", 0).0).await;
    assert!(answer(&mut client).await.starts_with("HTTP/1.1 202"));
    stub.next().await.answer(200);
    // Idle, but not yet for as long as it may be; then a head that takes longer than what is left of that.
    sleep(Duration::from_millis(1800)).await;
    let (head, rest) = message("second", 40);
    client.write(&head).await;
    sleep(Duration::from_millis(1200)).await;
    client.write(&rest).await;
    assert!(answer(&mut client).await.starts_with("HTTP/1.1 202"));
    stub.next().await.answer(200);
    // Then it is closed in good order, and half a head is not waited for.
    let mut half = client_of(&f).await;
    half.write(&head).await;
    assert_eq!(until_closed(&mut half).await.0, "");
    let (told, end) = until_closed(&mut client).await;
    assert!(told.is_empty() && end.is_ok(), "{told:?} {end:?}");
}

#[tokio::test]
async fn pipelined_requests_are_answered_one_by_one_and_a_flood_harms_nobody_else() {
    let (discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "several", "in_service")];
    let f = Forwarder::start(&discovery, &known, |c| {
        c["settings"]["limits"]["openCap"] = json!(10_000);
        c["settings"]["familyInfo"]["slots"] = json!(1);
    })
    .await;
    let before = f.descriptors();
    // Much is sent and nobody stays to hear of it.
    for n in 0..4 {
        let client = client_of(&f).await;
        let flood: String = (0..200).map(|m| message(&format!("gone{n}-{m}"), 0).0).collect();
        let (_, mut write) = client.0.into_split();
        write.write_all(flood.as_bytes()).await.expect("it reads");
    }
    let mut client = client_of(&f).await;
    // A few bytes at a time, and all of them at once.
    for piece in message("bytewise", 0).0.as_bytes().chunks(7) {
        client.write(str::from_utf8(piece).expect("text")).await;
    }
    client.write(&(0..100).map(|n| message(&format!("m{n}"), 0).0).collect::<String>()).await;
    for _ in 0..=100 {
        assert!(answer(&mut client).await.starts_with("HTTP/1.1 202"));
    }
    let mut delivered = BTreeSet::new();
    while !(delivered.contains("bytewise") && (0..100).all(|n| delivered.contains(&format!("m{n}")))) {
        let call = stub.next().await;
        let batch = serde_json::from_slice::<Vec<Value>>(&call.body);
        let single = vec![call.header("req-id").to_owned()];
        let ids = batch.map_or(single, |b| b.iter().map(|m| m["id"].as_str().unwrap_or("").into()).collect());
        let ends: Vec<Value> = ids.iter().map(|id| json!({"id": id, "state": "accepted"})).collect();
        for id in ids {
            assert!(delivered.insert(id.clone()), "{id} again");
        }
        call.answer_with(200, &[], &json!(ends).to_string());
    }
    drop(client);
    let closed = async {
        while f.descriptors() > before + 1 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(SOON, closed).await.expect("no connection is left open");
}

#[tokio::test]
async fn a_journal_damaged_in_its_midst_loses_and_repeats_nothing() {
    let (mut discovery, mut stub) = (Discovery::start().await, Stub::start().await);
    let known = [endpoint("t", stub.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, one_slot).await;
    assert_eq!(f.hand_in("unsafe", "ran", 28_000).await.status(), 202);
    let out = stub.next().await;
    assert_eq!(f.hand_in("keyed", "waits", 28_000).await.status(), 202);
    out.closed_after(|| f.kill()).await;
    // The record of the attempt can't be read any more, nor can its message be taken for untried.
    let mut text = std::fs::read(f.journal()).expect("a journal");
    let sent = text.windows(6).position(|part| part == b"\"Sent\"").expect("it was noted");
    text[sent] ^= 1;
    std::fs::write(f.journal(), text).expect("it is writable");
    f.restart().await;
    assert_eq!(discovery.notice().await, json!({"message": "ran", "outcome": "given_up"}));
    // What was taken on behind the damage is delivered.
    let call = stub.next().await;
    assert_eq!(call.header("req-id"), "waits");
    call.answer(200);
    f.until_delivered("keyed", "waits").await;
    assert!(stub.is_quiet(QUIET).await && discovery.is_quiet(QUIET).await);
}

#[tokio::test]
async fn with_a_full_journal_and_silent_peers_a_restart_is_soon_ready_and_ends_what_it_holds() {
    // Discovery holds its watches, and the endpoint takes connections and says nothing.
    let (mut discovery, silent) = (Discovery::start().await, Raw::start().await);
    let known = [endpoint("t", silent.addr, 7, "plain", "in_service")];
    let mut f = Forwarder::start(&discovery, &known, |c| {
        one_slot(c);
        c["settings"]["limits"]["openCap"] = json!(10_000);
    })
    .await;
    let body = vec![b'x'; 20_000];
    let (mut accepted, mut refused) = (BTreeSet::new(), 0);
    let begun = Instant::now();
    while refused == 0 {
        let id = format!("m{}", accepted.len());
        let class = if accepted.len() % 2 == 0 { "/unsafe" } else { "/keyed" };
        let headers = [
            ("Req-Id", id.as_str()),
            ("Req-Owner", "acme"),
            ("Req-Deadline-Ms", "8000"),
            ("Idempotency-Key", id.as_str()),
            ("Envelope", "dest=7"),
        ];
        match request(f.addr, "POST", class, &headers, &body).await.expect("an answer").status().as_u16() {
            202 => drop(accepted.insert(id)),
            _ => refused += 1,
        }
    }
    assert!(accepted.len() > 50, "{}", accepted.len());
    f.kill();
    let down = Instant::now();
    f.restart().await;
    assert!(down.elapsed() < Duration::from_secs(6), "{:?}", down.elapsed());
    // Each message gets its end, once, when its time is up and not before what is untried could still be tried.
    let mut ended = BTreeSet::new();
    while ended.len() < accepted.len() {
        for notice in discovery.notices().await {
            let id = notice["message"].as_str().expect("a name").to_owned();
            // The first one's attempt was out when the process was killed.
            assert!(id == "m0" || begun.elapsed() > Duration::from_secs(5), "{id} {:?}", begun.elapsed());
            assert!(ended.insert(id.clone()), "{id} again");
        }
    }
    assert_eq!(ended, accepted);
    assert!(begun.elapsed() < Duration::from_millis(12_000), "{:?}", begun.elapsed());
}
