//! The program on loopback sockets, between toy engines, a toy discovery service and toy clients.

use crate::common::{Full, Gateway, config, config_of, nobody, settings, until_seen, wait_for};
use larchfall_fault_tests::relay::{Relays, Way};
use larchfall_stub::client::{Answer, Client, request};
use larchfall_stub::discovery::{Discovery, Listed, frame};
use larchfall_stub::engine::{Act, Engine};
use larchfall_stub::hall::{Fate, Hall, RUNS_ON};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

const NOW: Duration = Duration::ZERO;
const FOREVER: Duration = Duration::from_secs(600);
/// What may run on unseen keeps its key for at least as long.
const RESTS: Duration = Duration::from_secs(8);
const ID: &str = "9b1f03aa5c7e2d41";

fn fields<'a>(id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("req", id), ("timeout", wait), ("owner", "acme"), ("ms", "10"), ("est_mb", "5")]
}

/// As clients word requests of this request class: loads carry a mark and a key.
fn of<'a>(class: &str, id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    let mut fields = fields(id, wait);
    if class == "load" {
        fields.extend([("opkey", id), ("subject", "00000000000000ab")]);
    }
    fields
}

fn engine(act: Act) -> Engine {
    Engine::start("127.0.0.1:0", move |_| act.clone()).unwrap()
}

fn rows(text: &str) -> Answer {
    Answer::Rows(text.as_bytes().to_vec())
}

fn pages(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|t| t.as_bytes().to_vec()).collect()
}

#[test]
fn each_end_of_a_attempt_has_its_answer() {
    let errored = Answer::Error("Errored".into(), None);
    let pushed_back = Answer::Error("Rejected".into(), Some("500".into()));
    // What the engine does, the class, the answer, and how often the statement came to the engine.
    let cases = [
        (Act::Serve(NOW, pages(&["a\tb\n"])), "look", rows("a\tb\n"), 1),
        (Act::Serve(NOW, pages(&["1\n", "2\n", "3\n"])), "look", rows("1\n2\n3\n"), 1),
        (Act::Serve(NOW, pages(&[""])), "once", rows(""), 1),
        (Act::Serve(Duration::from_millis(700), pages(&["late\n"])), "load", rows("late\n"), 1),
        (Act::Hang(b"again\n".to_vec()), "once", rows("again\n"), 1),
        (Act::Decline, "once", pushed_back.clone(), 0),
        (Act::Decline, "look", pushed_back.clone(), 0),
        (Act::Fail, "once", errored.clone(), 1),
        (Act::Fail, "look", pushed_back.clone(), 0),
        (Act::Cut, "once", errored.clone(), 1),
        (Act::LosePage, "once", errored.clone(), 1),
        (Act::Say(b"SSH-2.0-toy\r\n".to_vec()), "once", errored.clone(), 1),
        (Act::Say(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()), "once", errored, 1),
    ];
    for (act, class, expected, times) in cases {
        let engine = engine(act.clone());
        let gateway = Gateway::start(Some(engine.address));
        let mut client = gateway.client();
        let sent = client.send(class, &of(class, ID, "20000"), "select 1").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, expected), "{act:?} for {class}");
        let started = engine.seen().started;
        assert!(times == 0 || started.len() == times, "{act:?} for {class}: started {}", started.len());
        let call = &started[0];
        assert_eq!((call.id.as_str(), &call.statement[..]), (ID, &b"select 1"[..]));
        assert_eq!(call.head["x-profile"], class);
    }
}

#[test]
fn what_cannot_have_run_is_pushed_back() {
    let nobody = nobody();
    let gateway = Gateway::start(Some(nobody.address));
    let mut client = gateway.client();
    for class in ["once", "load", "look"] {
        let sent = client.send(class, &of(class, ID, "5000"), "").unwrap();
        let pushed_back = Answer::Error("Rejected".into(), Some("500".into()));
        assert_eq!(client.answer().unwrap(), (sent, pushed_back), "{class}");
    }
}

#[test]
fn what_a_dead_engine_may_have_run_is_not_pushed_back() {
    for (class, name) in [("once", "Errored"), ("load", "Rejected")] {
        let engine = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
        let mut client = gateway.client();
        client.send(class, &of(class, ID, "20000"), "").unwrap();
        // It dies with the call in its hands, and nobody listens there any more.
        let (mut stream, _) = engine.accept().unwrap();
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        drop(engine);
        drop(stream);
        assert!(matches!(client.answer().unwrap().1, Answer::Error(n, _) if n == name), "{class}");
    }
}

#[test]
fn a_request_that_runs_out_of_time_is_answered_and_given_up() {
    let engine = engine(Act::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let cases = [("look", "aaaa", "Rejected"), ("once", "bbbb", "Errored"), ("load", "cccc", "Rejected")];
    for (class, id, name) in cases {
        let id = &id.repeat(4);
        client.send(class, &of(class, id, "700"), "").unwrap();
        assert!(matches!(client.answer().unwrap().1, Answer::Error(n, _) if n == name), "{class}");
        until_seen(&engine, "the query to be given up", |s| s.given_up.contains(&id.to_owned()));
    }
}

#[test]
fn an_aborted_request_is_given_up_and_not_answered() {
    let engine = engine(Act::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let sent = client.send("load", &of("load", ID, "20000"), "").unwrap();
    until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    client.abort(sent).unwrap();
    client.abort(77).unwrap();
    until_seen(&engine, "the query to be given up", |s| s.given_up == [ID]);
    let ping = client.ping().unwrap();
    assert_eq!(client.answer().unwrap(), (ping, Answer::Pong));
}

#[test]
fn a_client_that_goes_takes_its_requests_with_it() {
    let engine = engine(Act::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    drop(client);
    until_seen(&engine, "the query to be given up", |s| s.given_up == [ID]);
    gateway.log.wait_for("reason: client-closed");
}

#[test]
fn requests_of_one_key_run_one_after_the_other_in_order() {
    let engine = engine(Act::Serve(Duration::from_millis(30), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let ids: Vec<String> = (0..6).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        client.send("load", &of("load", id, "20000"), "").unwrap();
    }
    for wanted in 1..=6 {
        assert_eq!(client.answer().unwrap(), (wanted, rows("ok\n")));
    }
    let order: Vec<String> = engine.seen().started.into_iter().map(|c| c.id).collect();
    assert_eq!(order, ids);
}

/// Guards against the next request of a key beside one that no engine was told to stop, or whose cut call may still
/// come to the engine: neither is over before the engine gives it up for not being asked after.
#[test]
fn a_key_rests_while_what_was_sent_may_still_run() {
    let id = |n: usize| format!("{n:016x}");
    // What the engine says to the first call, cut off then; whether later calls have a reply; the answer.
    for (replies, time) in [(false, "900"), (true, "20000")] {
        let engine = TcpListener::bind("127.0.0.1:0").unwrap();
        let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
        let (posts, came) = mpsc::channel();
        std::thread::spawn(move || {
            for stream in engine.incoming().flatten() {
                let posts = posts.clone();
                std::thread::spawn(move || {
                    let (mut stream, mut bytes) = (stream, [0; 2048]);
                    while let Ok(n @ 1..) = stream.read(&mut bytes) {
                        let call = String::from_utf8_lossy(&bytes[..n]).into_owned();
                        if call.starts_with("POST") {
                            posts.send(Instant::now()).unwrap();
                            return;
                        }
                        if replies {
                            // Known no more.
                            let unknown = b"HTTP/1.1 500 Unknown\r\nContent-Length: 0\r\n\r\n";
                            stream.write_all(unknown).unwrap();
                        }
                    }
                });
            }
        });
        let mut client = gateway.client();
        client.send("load", &of("load", &id(1), time), "").unwrap();
        let first = came.recv().unwrap();
        client.send("load", &of("load", &id(2), "25000"), "").unwrap();
        // The first one's own retries have their turn; the second one's has not.
        let next = wait_for("the next dispatch", || came.recv().ok());
        assert!(replies || next - first > RESTS, "{:?} after", next - first);
        if replies {
            assert_eq!(client.answer().unwrap().0, 1);
            let after = came.try_iter().last().unwrap_or(next);
            let second = came.recv().unwrap();
            assert!(second - after > RESTS, "{:?} after", second - after);
        }
    }
}

/// Guards against taking a refused connection for the end of what runs there: an engine about to go takes no
/// more in, and its query still counts as out.
#[test]
fn a_key_rests_after_an_engine_that_refuses_connections() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
    let mut client = gateway.client();
    client.send("load", &of("load", "00000000000000a1", "20000"), "").unwrap();
    let (mut stream, _) = engine.accept().unwrap();
    assert!(stream.read(&mut [0; 2048]).unwrap() > 0);
    client.send("load", &of("load", "00000000000000a2", "25000"), "").unwrap();
    let cut = Instant::now();
    drop((engine, stream));
    let answers = [client.answer().unwrap().0, client.answer().unwrap().0];
    assert_eq!(answers, [1, 2]);
    assert!(cut.elapsed() > RESTS, "{:?} after", cut.elapsed());
}

/// Guards against losing the one connection on which an engine about to go can be told: it takes no new ones, and
/// what it holds it runs on, asked for or not, while the next of the key goes elsewhere.
#[test]
fn what_runs_out_of_time_at_an_engine_about_to_go_is_told_there_on_the_connection_there_is() {
    let runs = |_: &str, statement: &str| Fate::Runs(if statement == "long" { FOREVER } else { NOW });
    let mut hall = Hall::start(&["127.0.0.1:0", "127.0.0.1:0"], runs).unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text =
        config_of("127.0.0.1:0", discovery.address, &[hall.address(0), hall.address(1)], 256, &settings());
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("load", &of("load", "00000000000000a1", "1400"), "long").unwrap();
    let at = wait_for("the first to run", || hall.ledger().ran.first().map(|r| r.process));
    hall.close(at);
    client.send("load", &of("load", "00000000000000a2", "25000"), "short").unwrap();
    let pushed_back = Answer::Error("Rejected".into(), Some("500".into()));
    assert_eq!(client.answer().unwrap(), (1, pushed_back));
    assert_eq!(client.answer().unwrap(), (2, rows("ok\n")));
    let ran = hall.ledger().ran;
    let until = ran[0].until.expect("shutdown requested");
    assert!(until <= ran[1].from, "the next began {:?} too early", until - ran[1].from);
    assert!(until - ran[0].from < RUNS_ON, "not told before it ended: {:?}", until - ran[0].from);
    hall.open(at);
}

/// Guards against a key that rests after a whole result, only because its last page came on another connection.
#[test]
fn a_key_does_not_rest_after_a_whole_result() {
    let engine = TcpListener::bind("127.0.0.1:0").unwrap();
    let gateway = Gateway::start(Some(engine.local_addr().unwrap()));
    std::thread::spawn(move || {
        for stream in engine.incoming().flatten() {
            std::thread::spawn(move || {
                let (mut stream, mut bytes) = (stream, [0; 2048]);
                while let Ok(n @ 1..) = stream.read(&mut bytes) {
                    // Each reply is the last of its connection.
                    let first = !bytes[..n].starts_with(b"GET");
                    let page = if first { "Page-Count: 2" } else { "Page-No: 1" };
                    let reply = format!(
                        "HTTP/1.1 200 OK\r\n{page}\r\nConnection: close\r\nContent-Length: 2\r\n\r\n1\n"
                    );
                    if stream.write_all(reply.as_bytes()).is_err() || first {
                        return;
                    }
                }
            });
        }
    });
    let mut client = gateway.client();
    let began = Instant::now();
    for id in ["00000000000000a1", "00000000000000a2"] {
        client.send("load", &of("load", id, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("1\n1\n"));
    }
    assert!(began.elapsed() < Duration::from_millis(2000), "{:?}", began.elapsed());
}

#[test]
fn the_way_and_what_clients_hold_back_are_left_off_the_time_limit() {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    // Clients hold requests of one key apart by up to 250 ms, and count that time.
    for (class, most) in [("load", 20_000 - 310), ("look", 20_000 - 60)] {
        client.send(class, &of(class, ID, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        let patience: u64 = engine.seen().started.last().unwrap().head["x-patience"].parse().unwrap();
        assert!(patience <= most, "{class}: {patience} ms");
    }
}

#[test]
fn what_is_no_message_ends_its_connection_and_no_other() {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut good = gateway.client();
    let twice = {
        let mut bytes = Vec::new();
        for _ in 0..2 {
            rmpv::encode::write_value(&mut bytes, &request(1, "look", &fields(ID, "5000"), "")).unwrap();
        }
        bytes
    };
    let cases: [(&[u8], &str); 5] = [
        (b"GET / HTTP/1.1\r\n\r\n", "reason: malformed, detail: message is no array"),
        (&[0x91; 64], "reason: malformed, detail: not MessagePack"),
        (&[0x93, 0x02, 0xa1, b'x', 0x90], "reason: malformed, detail: unknown notification"),
        (&[0xc1; 8], "reason: malformed"),
        (&twice, "reason: id-used-twice"),
    ];
    for (bytes, reason) in cases {
        let mut bad = gateway.client();
        bad.raw(bytes).unwrap();
        if bytes == twice {
            // What it asked for before it broke the protocol is answered.
            assert_eq!(bad.answer().unwrap(), (1, rows("ok\n")));
        }
        assert!(bad.is_ended(), "{reason}");
        let parts: Vec<&str> = reason.split(", ").collect();
        wait_for(reason, || {
            parts.iter().all(|p| gateway.log.wait_for(p).contains("connection ended")).then_some(())
        });
        good.send("look", &fields(ID, "20000"), "").unwrap();
        assert_eq!(good.answer().unwrap().1, rows("ok\n"), "after {reason}");
    }
}

/// Guards against connections that are kept for good: those that came later waited in the listener's queue.
#[test]
fn connections_that_nobody_uses_make_room_and_those_with_a_request_stay() {
    let engine = engine(Act::Serve(Duration::from_millis(1500), pages(&["ok\n"])));
    let gateway =
        Gateway::start_on("127.0.0.1:0", Discovery::start("127.0.0.1:0").unwrap(), Some(engine.address), 64);
    let mut busy = gateway.client();
    let sent = busy.send("look", &fields(ID, "20000"), "").unwrap();
    // Of 64 descriptors 16 are for clients.
    let _kept: Vec<Client> = (0..40)
        .map(|n| {
            let mut client = gateway.client();
            let ping = client.ping().unwrap();
            assert_eq!(client.answer().unwrap(), (ping, Answer::Pong), "connection {n}");
            client
        })
        .collect();
    assert_eq!(busy.answer().unwrap(), (sent, rows("ok\n")));
    assert!(gateway.log.count("reason: room-needed") >= 24, "not for lack of room");
}

/// Guards against a queue of connections that say nothing, each of which kept its place for a quarter second.
#[test]
fn a_flood_of_silent_connections_keeps_nobody_waiting_for_long() {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    // Of 64 descriptors 16 are for clients: at a quarter second each, these would take over eight seconds.
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, None, 64);
    let began = Instant::now();
    let _silent: Vec<Client> = (0..480).map(|_| gateway.client()).collect();
    let mut client = gateway.client();
    let ping = client.ping().unwrap();
    assert_eq!(client.answer().unwrap(), (ping, Answer::Pong));
    assert!(began.elapsed() < Duration::from_millis(6000), "{:?}", began.elapsed());
}

#[test]
fn who_says_nothing_whole_is_not_waited_for() {
    let gateway = Gateway::start(None);
    let whole = {
        let mut bytes = Vec::new();
        rmpv::encode::write_value(&mut bytes, &request(1, "look", &fields(ID, "5000"), "")).unwrap();
        bytes
    };
    let half = [&whole[..], &whole[..9]].concat();
    // A body of 60 MB that is announced, and never comes.
    let huge = [&whole[..whole.len() - 2], &[0xc6, 3, 0x93, 0x87, 0]].concat();
    let (waits, long) = ("reason: no-whole-message", "detail: message too long");
    for (bytes, what, reason) in [
        (&b""[..], "nothing", waits),
        (&whole[..9], "a half", waits),
        (&half, "one and a half", waits),
        (&huge, "60 MB", long),
    ] {
        let mut client = gateway.client();
        let ended = gateway.log.count(reason) + 1;
        client.raw(bytes).unwrap();
        wait_for(what, || (gateway.log.count(reason) == ended).then_some(()));
        assert!(bytes.len() > whole.len() || client.is_ended(), "{what}");
    }
}

/// Guards against what no engine can use either: it would answer with an error and be blamed for it.
#[test]
fn what_cannot_be_used_is_answered_with_an_error_and_sent_to_no_engine() {
    let engine = engine(Act::Serve(Duration::from_millis(300), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let errored = Answer::Error("Errored".into(), None);
    // The request class, and the one field that is changed or, without a value, left out.
    let cases = [
        ("nothing", ("req", Some(ID))),
        ("look", ("req", Some("a b"))),
        ("look", ("req", Some("9b1f03aa"))),
        ("look", ("timeout", Some("soon"))),
        ("look", ("timeout", Some("1e300"))),
        ("look", ("owner", Some("nobody"))),
        ("look", ("est_mb", Some("-5"))),
        ("load", ("opkey", None)),
        ("load", ("subject", None)),
    ];
    for (class, (name, value)) in cases {
        let mut fields = of(class, ID, "20000");
        fields.retain(|(n, _)| *n != name);
        fields.extend(value.map(|v| (name, v)));
        let sent = client.send(class, &fields, "").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, errored.clone()), "{class} {name} {value:?}");
    }
    // An id that is in hand, with another statement: only the first one counts.
    let first = client.send("look", &fields(ID, "20000"), "first").unwrap();
    let second = client.send("look", &fields(ID, "20000"), "second").unwrap();
    assert_eq!(client.answer().unwrap(), (second, errored));
    assert_eq!(client.answer().unwrap(), (first, rows("ok\n")));
    let statements: Vec<_> = engine.seen().started.into_iter().map(|c| c.statement).collect();
    assert_eq!(statements, [b"first"]);
}

#[test]
fn more_than_a_connection_may_carry_is_pushed_back() {
    let engine = engine(Act::Serve(FOREVER, pages(&[""])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    for n in 0..33 {
        client.send("look", &fields(&format!("{n:016x}"), "20000"), "").unwrap();
    }
    assert_eq!(client.answer().unwrap(), (33, Answer::Error("Rejected".into(), Some("500".into()))));
}

#[test]
fn attempts_beyond_the_descriptors_are_pushed_back_and_say_nothing_of_the_engine() {
    let engine = Engine::start("127.0.0.1:0", |call| {
        let takes = if call.statement == b"long" { FOREVER } else { NOW };
        Act::Serve(takes, pages(&["ok\n"]))
    })
    .unwrap();
    // Of 32 descriptors four are for connections to engines.
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 32);
    let mut client = gateway.client();
    for n in 0..4 {
        client.send("once", &fields(&format!("{n:016x}"), "25000"), "long").unwrap();
    }
    until_seen(&engine, "four to run", |s| s.started.len() == 4);
    for n in 4..12 {
        let sent = client.send("once", &fields(&format!("{n:016x}"), "25000"), "").unwrap();
        assert_eq!(client.answer().unwrap(), (sent, Answer::Error("Rejected".into(), Some("500".into()))));
    }
    client.abort(1).unwrap();
    until_seen(&engine, "one to be given up", |s| s.given_up.len() == 1);
    wait_for("the engine to be used again", || {
        client.send("once", &fields(ID, "25000"), "").unwrap();
        (client.answer().unwrap().1 == rows("ok\n")).then_some(())
    });
    // Told as failed connections, they would have counted against a sound engine.
    gateway.signal("-USR1");
    let line = gateway.log.wait_for("class: once, admitted");
    assert!(line.contains("connect_failed: 0,") && !line.contains("attempts_not_sent: 0"), "{line}");
}

#[test]
fn the_discovery_is_followed_through_bad_frames_and_ends() {
    let (old, new) = (engine(Act::Serve(NOW, pages(&["old\n"]))), engine(Act::Serve(NOW, pages(&["new\n"]))));
    let gateway = Gateway::start(Some(old.address));
    let mut client = gateway.client();
    let mut ask = |wanted: &str| {
        wait_for(wanted, || {
            client.send("look", &fields(ID, "20000"), "").unwrap();
            (client.answer().unwrap().1 == rows(wanted)).then_some(())
        });
    };
    ask("old\n");
    // A frame of an unknown kind ends the connection; the list is kept, and its number is asked for again.
    let mut bad = frame(2, true, &[]);
    bad[12] = 9;
    gateway.discovery.say(2, bad);
    gateway.log.wait_for("reason: malformed");
    ask("old\n");
    // The whole list drops the engine that it does not name, though the new one has another address only.
    gateway.list(2, &[(2, new.address, 0)]);
    ask("new\n");
    gateway.list(3, &[(2, old.address, 0)]);
    ask("old\n");
}

#[test]
fn a_discovery_that_falls_silent_is_connected_to_again() {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start_mute("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 256);
    let silent = || gateway.log.count("reason: silent");
    wait_for("a second silence", || (silent() >= 2).then_some(()));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"), "the list is kept");
}

/// Guards against a gateway that SIGHUP ends, and one that stays with a discovery service that tells nothing more.
#[test]
fn told_to_read_its_configuration_again_a_gateway_serves_on_and_follows_the_new_discovery() {
    let engine = engine(Act::Serve(Duration::from_millis(400), pages(&["old\n"])));
    let new = self::engine(Act::Serve(NOW, pages(&["new\n"])));
    let gateway =
        Gateway::start_on("127.0.0.1:0", Discovery::start("127.0.0.1:0").unwrap(), Some(engine.address), 256);
    let mut client = gateway.client();
    let held = client.send("once", &fields(ID, "20000"), "").unwrap();
    until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    discovery.say(2, frame(2, true, &[Listed { id: 2, address: new.address, state: 0, zone: 0, kind: 0 }]));
    gateway.reload("{\"board\":");
    gateway.log.wait_for("configuration rejected");
    gateway.reload(&config("127.0.0.1:0", discovery.address, Some(engine.address), 256));
    gateway.log.wait_for("configuration reloaded");
    assert_eq!(client.answer().unwrap(), (held, rows("old\n")), "was in hand");
    wait_for("the new board's engine", || {
        client.send("look", &fields(ID, "20000"), "").unwrap();
        (client.answer().unwrap().1 == rows("new\n")).then_some(())
    });
    gateway.log.wait_for("reason: replaced");
}

#[test]
fn a_gateway_that_was_paused_goes_on() {
    let engine = engine(Act::Serve(Duration::from_millis(300), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "25000"), "").unwrap();
    until_seen(&engine, "the query to start", |s| s.started.len() == 1);
    gateway.stop();
    client.send("once", &fields("aaaaaaaaaaaaaaaa", "25000"), "").unwrap();
    gateway.signal("-CONT");
    let mut answers: Vec<_> = (0..2).map(|_| client.answer().unwrap()).collect();
    answers.sort_by_key(|(id, _)| *id);
    assert_eq!(answers, [(1, rows("ok\n")), (2, rows("ok\n"))]);
}

/// Guards against what was picked before a stall and is sent after it: its engine drains by then, and the grace that
/// it was told with has run out.
#[test]
fn what_was_picked_before_a_stall_is_not_sent_to_an_engine_that_drains_by_then() {
    let engine = Full::start();
    let address = engine.address();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let patient = settings().replace(r#""connect_timeout":250000"#, r#""connect_timeout":20000000"#);
    let text = config_of("127.0.0.1:0", discovery.address, &[address], 256, &patient);
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("look", &fields(ID, "25000"), "").unwrap();
    engine.until_dialled();
    let stopped = Instant::now();
    gateway.stop();
    gateway.list(2, &[(1, address, 1)]);
    let mut stream = engine.let_in();
    wait_for("the grace to run out", || (stopped.elapsed() > Duration::from_millis(2500)).then_some(()));
    gateway.signal("-CONT");
    assert_eq!(client.answer().unwrap(), (1, Answer::Error("Rejected".into(), Some("500".into()))));
    stream.set_nonblocking(true).unwrap();
    let mut bytes = [0; 512];
    let came = stream.read(&mut bytes).unwrap_or(0);
    assert_eq!(came, 0, "{}", String::from_utf8_lossy(&bytes[..came]));
}

/// A gateway with one engine, and the way to its discovery service.
fn with_a_way_to_its_discovery() -> (Gateway, Engine, Relays) {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let way = Relays::start(1, &[discovery.address]).unwrap();
    let text = config_of("127.0.0.1:0", way.address(0, 0), &[engine.address], 256, &settings());
    (Gateway::start_with(discovery, &text), engine, way)
}

/// Guards against a gateway that wakes, finds that its wait for the discovery service is over (or the discovery service's connection gone), and sends
/// what came meanwhile before it has heard what else did.
#[test]
fn what_comes_while_a_gateway_stands_still_is_sent_once_it_has_heard_its_discovery() {
    // (how long it stands still, whether the way to its discovery service is cut meanwhile)
    for (still_ms, cut) in [(1_500, false), (3_200, false), (3_200, true), (1_500, true)] {
        let (gateway, engine, way) = with_a_way_to_its_discovery();
        let mut client = gateway.client();
        // Until the gateway has heard its discovery service once.
        gateway.list(2, &[(1, engine.address, 0)]);
        client.send("look", &fields(ID, "25000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        wait_for("the board to be heard", || {
            let heard = std::fs::read_to_string("/proc/net/tcp").unwrap();
            heard.contains(&format!(":{:04X} 01 ", way.address(0, 0).port())).then_some(())
        });
        gateway.stop();
        let stopped = Instant::now();
        if cut {
            way.set(|_, _| true, Way::Cut);
            // What is on its way now still comes in.
            std::thread::sleep(Duration::from_millis(200));
        }
        gateway.list(3, &[(1, engine.address, 1)]);
        for n in 0..8 {
            client.send("look", &fields(&format!("{:016x}", n + 1), "25000"), "").unwrap();
        }
        wait_for("it to have stood still so long", || {
            (stopped.elapsed() > Duration::from_millis(still_ms)).then_some(())
        });
        gateway.signal("-CONT");
        // It cannot hear at once.
        std::thread::sleep(Duration::from_millis(200));
        way.set(|_, _| true, Way::Sound);
        let refused = Answer::Error("Rejected".into(), Some("500".into()));
        for _ in 0..8 {
            assert_eq!(client.answer().unwrap().1, refused, "{still_ms} ms, cut: {cut}");
        }
        assert_eq!(engine.seen().started.len(), 1, "{still_ms} ms, cut: {cut}");
    }
}

/// Guards against a gateway that goes on for as long as it likes by a list that its discovery service may have taken back: what the discovery service
/// has to tell counts as told 7 s later, and the grace of 2 s runs from then.
#[test]
fn a_gateway_that_cannot_hear_its_discovery_sends_nothing_once_its_list_is_too_old() {
    let (gateway, engine, way) = with_a_way_to_its_discovery();
    let mut client = gateway.client();
    let mut ask = |n: u32| {
        client.send("look", &fields(&format!("{n:016x}"), "25000"), "").unwrap();
        client.answer().unwrap().1
    };
    way.set(|_, _| true, Way::Stalls);
    // What is on its way now still comes in.
    std::thread::sleep(Duration::from_millis(200));
    let (told, mut last, mut n) = (Instant::now(), Instant::now(), 0);
    gateway.list(2, &[(1, engine.address, 1)]);
    wait_for("the list to be too old", || {
        n += 1;
        let served = ask(n) == rows("ok\n");
        last = if served { Instant::now() } else { last };
        (!served).then_some(())
    });
    let after = last.duration_since(told);
    assert!(after > Duration::from_secs(5) && after < Duration::from_secs(9), "served until {after:?} after");
    gateway.log.wait_for("endpoint list expired");
    gateway.list(3, &[(1, engine.address, 0)]);
    way.set(|_, _| true, Way::Sound);
    wait_for("it to be heard again", || {
        n += 1;
        (ask(n) == rows("ok\n")).then_some(())
    });
    gateway.log.wait_for("endpoint list current again");
}

#[test]
fn told_to_stop_a_gateway_serves_on_answers_all_and_ends() {
    let slow = Engine::start("127.0.0.1:0", |call| {
        let takes = if call.statement == b"long" { FOREVER } else { Duration::from_millis(600) };
        Act::Serve(takes, vec![b"ok\n".to_vec()])
    })
    .unwrap();
    let mut gateway = Gateway::start(Some(slow.address));
    let mut client = gateway.client();
    let held = client.send("once", &fields("aaaaaaaaaaaaaaaa", "25000"), "").unwrap();
    let mut waiting = gateway.client();
    let long = waiting.send("once", &fields("bbbbbbbbbbbbbbbb", "25000"), "long").unwrap();
    until_seen(&slow, "both to start", |s| s.started.len() == 2);
    gateway.signal("-TERM");
    gateway.log.wait_for("shutdown requested");
    let mut late = gateway.client();
    let after = late.send("once", &fields("cccccccccccccccc", "25000"), "").unwrap();
    assert_eq!(late.answer().unwrap(), (after, rows("ok\n")), "came after the signal");
    assert_eq!(client.answer().unwrap(), (held, rows("ok\n")), "was in hand");
    assert_eq!(waiting.answer().unwrap(), (long, Answer::Error("Errored".into(), None)), "outlasts the end");
    assert!(gateway.ended().success());
    gateway.log.wait_for("reason: stopped");
    let line = gateway.log.wait_for("class: once, admitted");
    assert!(line.contains("admitted: 3, returned: 2, rejected: 0, errored: 1,"), "{line}");
}

/// Guards against an end by the clock alone: a gateway that stood still has not heard its sockets yet.
#[test]
fn what_came_while_a_stopping_gateway_stood_still_is_answered() {
    let slow = engine(Act::Serve(Duration::from_millis(400), pages(&["ok\n"])));
    for _ in 0..4 {
        let mut gateway = Gateway::start(Some(slow.address));
        let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
        gateway.signal("-TERM");
        gateway.log.wait_for("shutdown requested");
        let told = Instant::now();
        gateway.stop();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send("look", &fields(&format!("{:016x}", n + 1), "20000"), "").unwrap();
        }
        wait_for("the last to have come", || (told.elapsed() > Duration::from_millis(900)).then_some(()));
        gateway.signal("-CONT");
        for client in &mut clients {
            assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        }
        assert!(gateway.ended().success());
    }
}

#[test]
fn a_killed_gateway_starts_again_on_its_address() {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let mut first = Gateway::start(Some(engine.address));
    let mut client = first.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    first.signal("-KILL");
    assert!(!first.ended().success());
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let second = Gateway::start_on(&first.address.to_string(), discovery, Some(engine.address), 256);
    let mut client = Client::connect(second.address).unwrap();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
}

#[test]
fn counters_are_printed_when_asked_for() {
    let engine = engine(Act::Serve(NOW, pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    client.answer().unwrap();
    gateway.signal("-USR1");
    let line = gateway.log.wait_for("class: look, admitted");
    assert!(
        line.contains("admitted: 1, returned: 1, rejected: 0, errored: 0, disconnected: 0, attempts: 1,"),
        "{line}"
    );
}

/// Guards against a worker that looks for no events while any coroutine is ready: connections that always have
/// something to say kept all others, and every engine's answer, from being heard for seconds.
#[test]
fn clients_that_never_pause_keep_nobody_from_being_heard() {
    let engine = engine(Act::Serve(Duration::from_millis(50), pages(&["ok\n"])));
    let gateway = Gateway::start(Some(engine.address));
    let over = Arc::new(AtomicBool::new(false));
    let abort = [0x93, 2, 0xa5, b'a', b'b', b'o', b'r', b't', 0x91, 77].repeat(3000);
    let floods: Vec<_> = (0..24)
        .map(|_| {
            let (over, abort, to) = (over.clone(), abort.clone(), gateway.address);
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(to).unwrap();
                while !over.load(Ordering::Relaxed) && stream.write_all(&abort).is_ok() {}
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    let mut client = gateway.client();
    for n in 0..5 {
        let began = Instant::now();
        client.send("look", &fields(&format!("{n:016x}"), "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("ok\n"));
        assert!(began.elapsed() < Duration::from_millis(2500), "{n}: {:?}", began.elapsed());
    }
    over.store(true, Ordering::Relaxed);
    floods.into_iter().for_each(|f| f.join().unwrap());
}
