//! Tests that force race conditions: their engines and clients hold back, split or release bytes at a chosen point. The
//! races are listed in docs/races.md.

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

/// Two request ids.
const ID: &str = "9b1f03aa5c7e2d41";
const SECOND_ID: &str = "9b1f03aa5c7e2d42";

fn fields<'a>(id: &'a str, timeout: &'a str) -> Vec<(&'a str, &'a str)> {
    vec![("req", id), ("timeout", timeout), ("owner", "acme"), ("ms", "10"), ("est_mb", "5")]
}

/// Request fields with an idempotency key and an ordering key.
fn fields_with_keys<'a>(id: &'a str, timeout: &'a str) -> Vec<(&'a str, &'a str)> {
    let key = [("opkey", id), ("subject", "00000000000000ab")];
    fields(id, timeout).into_iter().chain(key).collect()
}

fn rows(text: &str) -> Answer {
    Answer::Rows(text.as_bytes().to_vec())
}

fn rejected() -> Answer {
    Answer::Error("Rejected".into(), Some("500".into()))
}

/// Reads a connection to its end, for up to 60 s between bytes.
fn read_to_end(mut stream: TcpStream) -> String {
    stream.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Settings with a connect timeout of 20 s for connections to engines.
fn slow_connect_settings() -> String {
    settings().replace(r#""connect_timeout":250000"#, r#""connect_timeout":20000000"#)
}

/// Encodes a request of class `look` with this message id.
fn encoded_request(id: u32, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &request(id, "look", fields, statement)).unwrap();
    bytes
}

/// Guards against sending a call on a connection on which a duplicate of the previous reply may still arrive: the duplicate
/// was taken for the reply to the new call, and the client got the rows of another request.
#[test]
fn a_duplicate_reply_is_not_taken_for_the_reply_to_the_next_call() {
    let engine = ScriptedEngine::start(|call, stream| {
        // The second reply takes longer than the duplicate of the first.
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
    for (id, statement) in [(ID, "first"), (SECOND_ID, "second")] {
        client.send("look", &fields(id, "20000"), statement).unwrap();
        assert_eq!(client.answer().unwrap().1, rows(&format!("{statement}\n")));
    }
}

/// Guards against trusting a status that no engine sends in reply to this call: a corrupt reply does not prove that the
/// query has ended or never ran.
#[test]
fn after_a_reply_with_an_impossible_status_the_query_is_polled() {
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

/// Guards against sending a request whose client disconnected while the connection to the engine was being established.
#[test]
fn a_request_abandoned_during_a_slow_connect_is_not_sent() {
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
    // The gateway sends the next request on the established connection, so an abandoned request would be read before it.
    next.send("look", &fields(SECOND_ID, "25000"), "").unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let call = read_call(&mut BufReader::new(stream)).unwrap();
    assert!(call.head.contains(SECOND_ID), "{call:?}");
}

/// Guards against a retry that is routed within the deduplication window and sent after it because its connection was
/// established late.
#[test]
fn a_retry_whose_deduplication_window_ends_during_a_slow_connect_is_not_sent() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let first_address = first.local_addr().unwrap();
    let second = FullListener::start();
    let short_window_settings =
        slow_connect_settings().replace(r#""dedup_window":12000000"#, r#""dedup_window":1500000"#);
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of("127.0.0.1:0", discovery.address, &[first_address], 256, &short_window_settings);
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    let sent = client.send("load", &fields_with_keys(ID, "25000"), "").unwrap();
    let (held, _) = first.accept().unwrap();
    let start = Instant::now();
    assert!(read_call(&mut BufReader::new(held.try_clone().unwrap())).is_some());
    // The second engine is listed before the first one dies without replying to the call.
    gateway.list(2, &[Endpoint::ready(1, first_address), Endpoint::ready(2, second.address())]);
    wait_for("the gateway to apply the discovery event", || {
        gateway.signal("-USR1");
        gateway.log.last("discovery_events: ")?.contains("discovery_events: 2,").then_some(())
    });
    drop((first, held));
    second.wait_for_connect();
    wait_for("the deduplication window to end", || {
        (start.elapsed() > Duration::from_millis(1600)).then_some(())
    });
    let stream = second.accept_next();
    assert!(matches!(client.answer().unwrap(), (id, Answer::Error(..)) if id == sent));
    drop(gateway);
    assert_eq!(read_to_end(stream), "", "a retry was sent after its deduplication window");
}

/// Guards against sending on the requests of a client that sends many and disconnects: all of them, and then the end of the
/// connection, are in the socket buffer when the gateway reads.
#[test]
fn requests_of_a_disconnected_client_are_not_sent_on() {
    let engine =
        Engine::start("127.0.0.1:0", |_| EngineBehavior::Serve(Duration::ZERO, vec![b"ok\n".to_vec()]))
            .unwrap();
    let gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    // The idle connection to the engine is past its reuse delay by then, so no call has to wait for a connection.
    thread::sleep(Duration::from_millis(100));
    gateway.suspend();
    let stall_start = Instant::now();
    let mut disconnecting = gateway.client();
    for n in 0..200 {
        disconnecting.send("look", &fields(&format!("{n:016x}"), "20000"), "gone").unwrap();
    }
    drop(disconnecting);
    // After a stall, other connections are served between two reads of one connection.
    wait_for("the stall to last 400 ms", || {
        (stall_start.elapsed() > Duration::from_millis(400)).then_some(())
    });
    gateway.resume();
    gateway.log.wait_for("client connection ended");
    client.send("look", &fields(SECOND_ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    let sent_on = engine.seen().started.iter().filter(|c| c.statement == b"gone").count();
    assert_eq!(sent_on, 0, "requests were sent on for a disconnected client");
}

/// Guards against closing a connection for a protocol violation while responses on it are still due. Closing it with unread
/// bytes sent a reset, which discarded responses under way.
#[test]
fn requests_before_a_protocol_violation_are_answered() {
    let incomplete = encoded_request(2, &fields(SECOND_ID, "20000"), "")[..9].to_vec();
    let reused_id = encoded_request(1, &fields(SECOND_ID, "20000"), "");
    let garbage = vec![0xc1; 300_000];
    let cases = [
        (0, garbage.clone(), "malformed"),
        (2_600, garbage, "malformed"),
        (2_600, reused_id, "id-used-twice"),
        (2_600, incomplete, "no-whole-message"),
    ];
    for (duration, violation, reason) in cases {
        let duration = Duration::from_millis(duration);
        let engine =
            Engine::start("127.0.0.1:0", move |_| EngineBehavior::Serve(duration, vec![b"ok\n".to_vec()]))
                .unwrap();
        let gateway = Gateway::start(Some(engine.address));
        let mut client = gateway.client();
        let bytes = [encoded_request(1, &fields(ID, "20000"), ""), violation].concat();
        client.raw(&bytes).unwrap();
        assert_eq!(client.answer().unwrap(), (1, rows("ok\n")), "{reason}");
        assert!(client.is_ended(), "{reason}");
        gateway.log.wait_for(&format!("reason: {reason}"));
    }
}

/// Guards against passing on a deadline longer than the client's remaining time, which also passes while the client writes,
/// while its connection waits to be accepted, and while the connection to the engine is established.
#[test]
fn the_deadline_passed_on_excludes_time_to_read_to_accept_and_to_connect() {
    const SLACK_MS: u64 = 150;
    let time_passed_on = |head: &str| -> u64 {
        head.lines().find_map(|l| l.strip_prefix("x-patience: ")?.parse().ok()).unwrap()
    };
    let engine = ScriptedEngine::start(|call, stream| {
        let long = call.body == "long" || call.line.starts_with("get");
        stream.write_all(&if long { reply("202 Accepted", "", "") } else { result_reply("ok\n") }).is_ok()
    });
    let max_time_left = |start: Instant| 5_000 - start.elapsed().as_millis() as u64 + SLACK_MS;
    // The gateway reserves 16 of its 64 descriptors for clients.
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let gateway = Gateway::start_on("127.0.0.1:0", discovery, Some(engine.address), 64);
    let mut slow = gateway.client();
    let bytes = encoded_request(1, &fields(ID, "5000"), "slow");
    let start = Instant::now();
    slow.raw(&bytes[..bytes.len() / 2]).unwrap();
    thread::sleep(Duration::from_millis(500));
    slow.raw(&bytes[bytes.len() / 2..]).unwrap();
    assert_eq!(slow.answer().unwrap().1, rows("ok\n"));
    let posts = engine.posts();
    assert!(
        time_passed_on(&posts[0].head) <= max_time_left(start),
        "request written slowly: {}",
        posts[0].head
    );
    drop(slow);
    // A client that waits in the listener's queue while all client descriptors are in use.
    let mut busy: Vec<Client> = (0..16).map(|_| gateway.client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send("look", &fields(&format!("{n:016x}"), "25000"), "long").unwrap();
    }
    wait_for("all client descriptors to be in use", || (engine.posts().len() >= 17).then_some(()));
    let mut queued = gateway.client();
    let start = Instant::now();
    queued.send("look", &fields(SECOND_ID, "5000"), "queued").unwrap();
    thread::sleep(Duration::from_millis(500));
    busy.truncate(8);
    assert_eq!(queued.answer().unwrap().1, rows("ok\n"));
    let posts = engine.posts();
    let call = posts.iter().find(|c| c.body == "queued").unwrap();
    assert!(
        time_passed_on(&call.head) <= max_time_left(start),
        "client waited in the accept queue: {}",
        call.head
    );
    // A request whose connection to the engine is established late.
    let full = FullListener::start();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config_of("127.0.0.1:0", discovery.address, &[full.address()], 256, &slow_connect_settings());
    let gateway = Gateway::start_with(discovery, &text);
    let start = Instant::now();
    let mut client = gateway.client();
    client.send("look", &fields(ID, "5000"), "").unwrap();
    full.wait_for_connect();
    thread::sleep(Duration::from_millis(500));
    let call = read_call(&mut BufReader::new(full.accept_next())).unwrap();
    assert!(
        time_passed_on(&call.head) <= max_time_left(start),
        "engine connection established late: {}",
        call.head
    );
}

/// Guards against a signal that terminates a gateway during its startup, when the signal handlers were installed last.
#[test]
fn a_signal_during_startup_is_handled_once_the_gateway_is_ready() {
    for (signal, line) in [("-HUP", "configuration reloaded"), ("-TERM", "shutdown requested")] {
        let path = std::env::temp_dir().join(format!("larchfall-{}{signal}", std::process::id()));
        let _ = std::fs::remove_file(&path);
        assert!(Command::new("mkfifo").arg(&path).status().unwrap().success());
        let mut command = Command::new(PROGRAM);
        command.args(["serve", "--config"]).arg(&path).stdout(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let id = child.id();
        // While the gateway waits to read its configuration, the handlers for both signals must be installed: bits 0
        // (SIGHUP) and 14 (SIGTERM) of SigCgt.
        wait_for("the signal handlers to be installed", || {
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
            // The reload reads the FIFO again, so the configuration has to be written again.
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

/// Guards against a response that waits for the end of a cancelled attempt: a retryable request with an ordering key is
/// cancelled for its slow progress, and its engine does not reply to the cancellation.
#[test]
fn a_cancelled_request_is_answered_in_time_even_if_its_key_is_held() {
    let engine = ScriptedEngine::start(|call, stream| {
        if call.line.starts_with("delete") {
            thread::sleep(Duration::from_secs(30));
        }
        // The engine always reports 1 % done, which is far slower than the request's work hint.
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
    let start = Instant::now();
    client.send("load", &fields_with_keys(ID, "1500"), "").unwrap();
    assert_eq!(client.answer().unwrap(), (1, rejected()));
    assert!(start.elapsed() < Duration::from_millis(2_000), "{:?}", start.elapsed());
    assert!(
        engine.calls.lock().unwrap().iter().any(|c| c.line.starts_with("delete")),
        "the attempt was not cancelled"
    );
}

/// Guards against a shutdown that is cut short by a second signal, by a reload under way, or between two parts of a
/// request.
#[test]
fn a_second_sigterm_and_a_reload_in_the_shutdown_do_not_lose_a_partial_request() {
    let duration = Duration::from_millis(300);
    let engine =
        Engine::start("127.0.0.1:0", move |_| EngineBehavior::Serve(duration, vec![b"ok\n".to_vec()]))
            .unwrap();
    let mut gateway = Gateway::start(Some(engine.address));
    let mut client = gateway.client();
    let bytes = encoded_request(1, &fields(ID, "20000"), "");
    client.raw(&bytes[..9]).unwrap();
    // A FIFO without a writer: the reload blocks on reading the configuration.
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

/// Guards against idle clients that take the descriptors needed for connections to discovery and engines.
#[test]
fn discovery_and_engines_reconnect_while_idle_clients_hold_all_client_descriptors() {
    let start_engine = || {
        Engine::start("127.0.0.1:0", |_| EngineBehavior::Serve(Duration::ZERO, vec![b"ok\n".to_vec()]))
            .unwrap()
    };
    let (old, new) = (start_engine(), start_engine());
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let proxies = Proxies::start(1, &[discovery.address]).unwrap();
    // The gateway reserves 16 of its 64 descriptors for clients.
    let text = config_of("127.0.0.1:0", proxies.address(0, 0), &[old.address], 64, &settings());
    let gateway = Gateway::start_with(discovery, &text);
    let mut client = gateway.client();
    client.send("look", &fields(ID, "20000"), "").unwrap();
    assert_eq!(client.answer().unwrap().1, rows("ok\n"));
    proxies.set_mode(|_, _| true, ProxyMode::Cut);
    gateway.log.wait_for("discovery connection ended");
    // More clients connect than there are client descriptors, and 16 of them send a ping.
    let mut idle: Vec<Client> = (0..100).map(|_| gateway.client()).collect();
    idle.iter_mut().take(16).for_each(|client| _ = client.ping());
    wait_for("all client descriptors to be taken", || {
        gateway.signal("-USR1");
        gateway.log.last("most_clients: ")?.contains("most_clients: 16,").then_some(())
    });
    gateway.list(2, &[Endpoint::ready(2, new.address)]);
    proxies.set_mode(|_, _| true, ProxyMode::Forward);
    wait_for("the discovery event to be applied", || {
        let mut client = gateway.client();
        client.send("look", &fields(SECOND_ID, "20000"), "").ok()?;
        let _ = client.answer();
        (!new.seen().started.is_empty()).then_some(())
    });
}
