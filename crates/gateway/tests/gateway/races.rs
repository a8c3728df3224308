//! Races, each forced: engines and clients here are scripts that hold, split or release bytes at a marked point. The list
//! of races is docs/races.md.

use crate::common::{FullListener, Gateway, PROGRAM, config, config_of, settings, wait_for};
use crate::scripted_engine::{ScriptedEngine, read_call, reply, result_reply};
use larchfall_fault_tests::proxy::{Proxies, ProxyMode};
use larchfall_stub::client::{Answer, Client, request};
use larchfall_stub::discovery::{Discovery, Endpoint};
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const ID: &str = "9b1f03aa5c7e2d41";
const NEXT: &str = "9b1f03aa5c7e2d42";

fn fields<'a>(id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("req", id), ("timeout", wait), ("owner", "acme"), ("ms", "10"), ("est_mb", "5")]
}

fn keyed<'a>(id: &'a str, wait: &'a str) -> Vec<(&'a str, &'a str)> {
    let key = [("opkey", id), ("subject", "00000000000000ab")];
    fields(id, wait).into_iter().chain(key).collect()
}

fn rows(text: &str) -> Answer {
    Answer::Rows(text.as_bytes().to_vec())
}

fn rejected() -> Answer {
    Answer::Error("Rejected".into(), Some("500".into()))
}

/// What came on it until it ended.
fn all_of(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Settings under which a connection to an engine may take long to come up.
fn slow_connect_settings() -> String {
    settings().replace(r#""connect_timeout":250000"#, r#""connect_timeout":20000000"#)
}

fn bytes_of(id: u32, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &request(id, "look", fields, statement)).unwrap();
    bytes
}

/// Guards against a call that goes out on a connection on which a duplicate of the answer before it is still to come: it
/// took that for its own, and its client had another's rows.
#[test]
fn a_duplicate_answer_is_not_taken_for_the_next_one() {
    let engine = ScriptedEngine::start(|call, stream| {
        // The second answer takes longer than the duplicate of the first.
        if call.body == "second" {
            thread::sleep(Duration::from_millis(60));
        }
        let answer = result_reply(&format!("{}\n", call.body));
        stream.write_all(&answer).unwrap();
        thread::sleep(Duration::from_millis(10));
        stream.write_all(&answer).is_ok()
    });
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    for (id, statement) in [(ID, "first"), (NEXT, "second")] {
        client.send("look", &fields(id, "20000"), statement).unwrap();
        assert_eq!(client.answer().unwrap().1, rows(&format!("{statement}\n")));
    }
}

/// Guards against statuses that no engine gives to this call: a corrupt answer does not say that the query has ended, or
/// never ran.
#[test]
fn an_answer_that_no_engine_gives_to_a_call_proves_nothing_and_the_query_is_polled() {
    let corrupt = [
        reply("204 No Content", "", ""),
        reply("404 Not Found", "", ""),
        reply("503 Unavailable", "", ""),
        reply("200 OK", "", ""),
        reply("200 OK", "Page-No: 1\r\n", "another\n"),
    ];
    for answer in corrupt {
        let printed = String::from_utf8_lossy(&answer).into_owned();
        let engine = ScriptedEngine::start(move |call, stream| {
            let answer = if call.line.starts_with("post") { answer.clone() } else { result_reply("own\n") };
            stream.write_all(&answer).is_ok()
        });
        let gateway = Gateway::start(Some(engine.address));
        let mut client = gateway.client();
        client.send("once", &fields(ID, "20000"), "").unwrap();
        assert_eq!(client.answer().unwrap().1, rows("own\n"), "{printed}");
        assert_eq!(engine.posts().len(), 1, "{printed}");
    }
}

/// Guards against a request that is sent although its client disconnected while the connection to the engine came up.
#[test]
fn what_its_client_abandoned_during_a_slow_connect_is_not_sent() {
    let engine = FullListener::start();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text =
        config_of("127.0.0.1:0", discovery.address, &[engine.address()], 256, &slow_connect_settings());
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("look", &fields(ID, "25000"), "").unwrap();
    engine.wait_for_connect();
    drop(client);
    gateway.log.wait_for("reason: client-closed");
    let stream = engine.accept_next();
    let mut next = gateway.client();
    // Whatever went out has come by then, and this one goes out on the connection that is up.
    next.send("look", &fields(NEXT, "25000"), "").unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let call = read_call(&mut BufReader::new(stream)).unwrap();
    assert!(call.head.contains(NEXT), "{call:?}");
}

/// Guards against a retry that was routed within its deduplication window and begins after it, since its connection came up
/// late.
#[test]
fn a_retry_whose_window_ends_during_a_slow_connect_is_not_sent() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let first_address = first.local_addr().unwrap();
    let second = FullListener::start();
    let short = slow_connect_settings().replace(r#""dedup_window":12000000"#, r#""dedup_window":1500000"#);
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of("127.0.0.1:0", discovery.address, &[first_address], 256, &short);
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    let sent = client.send("load", &keyed(ID, "25000"), "").unwrap();
    let (held, _) = first.accept().unwrap();
    let began = Instant::now();
    assert!(read_call(&mut BufReader::new(held.try_clone().unwrap())).is_some());
    // The other one joins before the first one dies with the call in its hands.
    gateway.list(2, &[Endpoint::ready(1, first_address), Endpoint::ready(2, second.address())]);
    wait_for("the gateway to apply it", || {
        gateway.signal("-USR1");
        gateway.log.last("discovery_events: ")?.contains("discovery_events: 2,").then_some(())
    });
    drop((first, held));
    second.wait_for_connect();
    wait_for("the window to end", || (began.elapsed() > Duration::from_millis(1600)).then_some(()));
    let stream = second.accept_next();
    assert!(matches!(client.answer().unwrap(), (id, Answer::Error(..)) if id == sent));
    drop(gateway);
    assert_eq!(all_of(stream), "", "a retry after its window");
}

/// Guards against a client that sends much and disconnects: all of it lies there when the gateway reads, its end behind it.
#[test]
fn what_a_disconnected_client_sent_is_not_sent_on() {
    let engine =
        Engine::start("127.0.0.1:0", |_| EngineBehavior::Serve(Duration::ZERO, vec![b"ok\n".to_vec()]))
            .unwrap();
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    // The connection to the engine is at hand by then: nothing holds a call back.
    thread::sleep(Duration::from_millis(100));
    gateway.suspend();
    let stopped = Instant::now();
    let mut much = gateway.client();
    for n in 0..200 {
        much.send("look", &fields(&format!("{n:016x}"), "20000"), "gone").unwrap();
    }
    drop(much);
    // As after a stall: between two reads of one connection others have their turn.
    wait_for("it to have stood still", || (stopped.elapsed() > Duration::from_millis(400)).then_some(()));
    gateway.resume();
    gateway.log.wait_for("client connection ended");
    client.send("look", &fields(NEXT, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    let gone = engine.seen().started.iter().filter(|c| c.statement == b"gone").count();
    assert_eq!(gone, 0, "sent on for a client that was gone");
}

/// Guards against a connection that ends for what is wrong on it, while answers on it are still owed; with bytes unread its
/// end was a reset, which took along what was on its way.
#[test]
fn who_breaks_the_protocol_has_the_answers_to_what_it_asked_before() {
    let incomplete = bytes_of(2, &fields(NEXT, "20000"), "")[..9].to_vec();
    let twice = bytes_of(1, &fields(NEXT, "20000"), "");
    let garbage = vec![0xc1; 300_000];
    let cases = [
        (0, garbage.clone(), "malformed"),
        (2_600, garbage, "malformed"),
        (2_600, twice, "id-used-twice"),
        (2_600, incomplete, "no-whole-message"),
    ];
    for (takes, more, reason) in cases {
        let takes = Duration::from_millis(takes);
        let engine =
            Engine::start("127.0.0.1:0", move |_| EngineBehavior::Serve(takes, vec![b"ok\n".to_vec()]))
                .unwrap();
        let gateway = Gateway::start(Some(engine.address));
        let mut client = gateway.client();
        let bytes = [bytes_of(1, &fields(ID, "20000"), ""), more].concat();
        client.raw(&bytes).unwrap();
        assert_eq!(client.answer().unwrap(), (1, rows("ok\n")), "{reason}");
        assert!(client.is_ended(), "{reason}");
        gateway.log.wait_for(&format!("reason: {reason}"));
    }
}

/// Guards against a deadline passed on that is longer than what the client has left: its time runs while it writes, while it
/// waits to be accepted, and while a connection to the engine comes up.
#[test]
fn time_to_read_to_be_accepted_and_to_connect_is_off_the_deadline_passed_on() {
    const SLACK: u64 = 150;
    let time_passed_on = |head: &str| -> u64 {
        head.lines().find_map(|l| l.strip_prefix("x-patience: ")?.parse().ok()).unwrap()
    };
    let engine = ScriptedEngine::start(|call, stream| {
        let long = call.body == "long" || call.line.starts_with("get");
        stream.write_all(&if long { reply("202 Accepted", "", "") } else { result_reply("ok\n") }).is_ok()
    });
    let left = |began: Instant| 5_000 - began.elapsed().as_millis() as u64 + SLACK;
    // Of 64 descriptors 16 are for clients.
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 64);
    let mut slow = gateway.client();
    let bytes = bytes_of(1, &fields(ID, "5000"), "slow");
    let began = Instant::now();
    slow.raw(&bytes[..bytes.len() / 2]).unwrap();
    thread::sleep(Duration::from_millis(500));
    slow.raw(&bytes[bytes.len() / 2..]).unwrap();
    assert_eq!(slow.answer().unwrap().1, rows("ok\n"));
    let posts = engine.posts();
    assert!(time_passed_on(&posts[0].head) <= left(began), "written slowly: {}", posts[0].head);
    drop(slow);
    // One that waits in the listener's queue while all client descriptors are taken and in use.
    let mut busy: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send("look", &fields(&format!("{n:016x}"), "25000"), "long").unwrap();
    }
    wait_for("all client descriptors to be in use", || (engine.posts().len() >= 17).then_some(()));
    let mut queued = gateway.client();
    let began = Instant::now();
    queued.send("look", &fields(NEXT, "5000"), "queued").unwrap();
    thread::sleep(Duration::from_millis(500));
    busy.truncate(8);
    assert_eq!(queued.answer().unwrap().1, rows("ok\n"));
    let posts = engine.posts();
    let call = posts.iter().find(|c| c.body == "queued").unwrap();
    assert!(time_passed_on(&call.head) <= left(began), "waited in the queue: {}", call.head);
    // One whose connection comes up late.
    let full = FullListener::start();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of("127.0.0.1:0", discovery.address, &[full.address()], 256, &slow_connect_settings());
    let gateway = Gateway::start_with(discovery, &text);
    let began = Instant::now();
    let mut client = gateway.client();
    client.send("look", &fields(ID, "5000"), "").unwrap();
    full.wait_for_connect();
    thread::sleep(Duration::from_millis(500));
    let call = read_call(&mut BufReader::new(full.accept_next())).unwrap();
    assert!(time_passed_on(&call.head) <= left(began), "connected late: {}", call.head);
}

/// Guards against a signal that ends a gateway which is not ready yet: its handlers came last.
#[test]
fn a_signal_before_a_gateway_is_ready_waits_until_it_is() {
    for (signal, line) in [("-HUP", "configuration reloaded"), ("-TERM", "shutdown requested")] {
        let path = std::env::temp_dir().join(format!("larchfall-{}{signal}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--config"]).arg(&path).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let id = child.id();
        // It waits for its configuration, and has its handlers for both signals by then: bits 0 and 14.
        wait_for("the handlers", || {
            let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
            let caught = status.lines().find_map(|l| l.strip_prefix("SigCgt:"))?.trim().to_owned();
            (u64::from_str_radix(&caught, 16).unwrap() & 0x4001 == 0x4001).then_some(())
        });
        assert!(Command::new("kill").args([signal, &id.to_string()]).status().unwrap().success());
        let discovery = Discovery::start("127.0.0.1:0").unwrap();
        let text = config("127.0.0.1:0", discovery.address, None, 256);
        let writes = {
            let (path, text) = (path.clone(), text.clone());
            thread::spawn(move || std::fs::write(path, text))
        };
        let lines = BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok);
        let mut seen = Vec::new();
        let mut again = None;
        for printed in lines {
            // What reads the file again has to find it once more.
            if printed.contains("listening") && signal == "-HUP" {
                let (path, text) = (path.clone(), text.clone());
                again = Some(thread::spawn(move || std::fs::write(path, text)));
            }
            seen.push(printed);
            if seen.iter().any(|s| s.contains(line)) {
                break;
            }
        }
        assert!(seen.iter().any(|s| s.contains(line)), "{signal}: {seen:#?}");
        writes.join().unwrap().unwrap();
        again.into_iter().for_each(|a| a.join().unwrap().unwrap());
        let _ = child.kill();
        let _ = child.wait();
        let _ = std::fs::remove_file(&path);
    }
}

/// Guards against an answer that waits for the end of a cancelled attempt: a request in key order that may run again is
/// cancelled for its slow progress, and its engine, told to stop, says nothing.
#[test]
fn a_cancelled_request_has_its_answer_in_time_whatever_its_key_waits_for() {
    let engine = ScriptedEngine::start(|call, stream| {
        if call.line.starts_with("delete") {
            thread::sleep(Duration::from_secs(30));
        }
        // A hundredth done, and it says so at once: far slower than what it was said to take.
        stream.write_all(&reply("202 Accepted", "X-Result: advance\r\nFigure: 0.01\r\n", "")).is_ok()
    });
    let again = settings().replace(
        r#""effect":"idempotency_key","key_scope":"all","dedup_window":12000000"#,
        r#""effect":"read_like""#,
    );
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of("127.0.0.1:0", discovery.address, &[engine.address], 256, &again);
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    let began = Instant::now();
    client.send("load", &keyed(ID, "1500"), "").unwrap();
    assert_eq!(client.answer().unwrap(), (1, rejected()));
    assert!(began.elapsed() < Duration::from_millis(2_000), "{:?}", began.elapsed());
    assert!(engine.calls.lock().unwrap().iter().any(|c| c.line.starts_with("delete")), "not cancelled");
}

/// Guards against an end that comes by a second signal, or while the files are read again, or between two pieces of a request.
#[test]
fn stopped_twice_and_while_it_reads_its_files_a_gateway_answers_what_comes_in_pieces() {
    let takes = Duration::from_millis(300);
    let engine =
        Engine::start("127.0.0.1:0", move |_| EngineBehavior::Serve(takes, vec![b"ok\n".to_vec()])).unwrap();
    let mut gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let bytes = bytes_of(1, &fields(ID, "20000"), "");
    client.raw(&bytes[..9]).unwrap();
    // A file that nobody writes: whoever reads it waits.
    std::fs::remove_file(&gateway.config_file).unwrap();
    assert!(Command::new("mkfifo").arg(&gateway.config_file).status().unwrap().success());
    gateway.signal("-HUP");
    gateway.signal("-TERM");
    gateway.log.wait_for("shutdown requested");
    gateway.signal("-TERM");
    client.raw(&bytes[9..]).unwrap();
    assert_eq!(client.answer().unwrap(), (1, rows("ok\n")));
    assert!(client.is_ended());
    assert!(gateway.wait_for_exit().success());
}

/// Guards against idle clients that take the descriptors that connections to discovery and engines need.
#[test]
fn discovery_and_engines_reconnect_while_idle_clients_hold_all_client_descriptors() {
    let serves = || {
        Engine::start("127.0.0.1:0", |_| EngineBehavior::Serve(Duration::ZERO, vec![b"ok\n".to_vec()]))
            .unwrap()
    };
    let (old, new) = (serves(), serves());
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let way = Proxies::start(1, &[discovery.address]).unwrap();
    // Of 64 descriptors 16 are for clients.
    let text = config_of("127.0.0.1:0", way.address(0, 0), &[old.address], 64, &settings());
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    way.set_mode(|_, _| true, ProxyMode::Cut);
    gateway.log.wait_for("discovery connection ended");
    // More than it has descriptors for, and as many as it takes say something.
    let mut idle: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    idle.iter_mut().take(16).for_each(|client| _ = client.ping());
    wait_for("all client descriptors to be taken", || {
        gateway.signal("-USR1");
        gateway.log.last("most_clients: ")?.contains("most_clients: 16,").then_some(())
    });
    gateway.list(2, &[Endpoint::ready(2, new.address)]);
    way.set_mode(|_, _| true, ProxyMode::Forward);
    wait_for("the discovery event to be applied", || {
        let mut client = gateway.client();
        client.send("look", &fields(NEXT, "20000"), "").ok()?;
        let _ = client.answer();
        (!new.seen().started.is_empty()).then_some(())
    });
}
