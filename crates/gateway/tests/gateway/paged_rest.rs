//! Tests of the paged REST protocol on loopback sockets, with a gateway that has an operator's file, stub engines and
//! clients of both protocols.

use crate::common::{Gateway, config, operator_config, wait_for, wait_until_seen};
use larchfall_paged_rest::document::{Document, StatementState};
use larchfall_stub::client::Answer as MessagePackAnswer;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Engine, EngineBehavior};
use larchfall_stub::rest::{Answer, RestClient, path};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A query duration that outlasts every test.
const FOREVER: Duration = Duration::from_secs(600);
/// The settings of the `[rest]` table in the operator's file.
const REST_SETTINGS: &str = "connections = 16
results = 8
in-hand = 6
result-pages = 2
result-bytes = 4096
poll-ms = 200
kept-for-ms = 700
statement-bytes = 1000";

fn gateway(engine: Option<SocketAddr>) -> Gateway {
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config("127.0.0.1:0", discovery.address, engine, 256);
    Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(REST_SETTINGS)))
}

fn engine(behavior: EngineBehavior) -> Engine {
    Engine::start("127.0.0.1:0", move |_| behavior.clone()).unwrap()
}

fn pages(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|t| t.as_bytes().to_vec()).collect()
}

fn request_headers(class: &str) -> Vec<(&str, &str)> {
    vec![("X-Trino-User", "acme"), ("X-Trino-Source", class)]
}

fn post(client: &mut RestClient, class: &str, statement: &str) -> Answer {
    client.call("POST", "/v1/statement", &request_headers(class), statement.as_bytes()).unwrap()
}

fn document(answer: &Answer) -> Document {
    assert_eq!(answer.status, 200, "{}", String::from_utf8_lossy(&answer.body));
    serde_json::from_slice(&answer.body).unwrap()
}

/// Reads a result to its end and returns all its documents, beginning with the one in `first`.
fn read_result(client: &mut RestClient, first: &Answer) -> Vec<Document> {
    let mut all = vec![document(first)];
    while let Some(next) = all.last().unwrap().next_uri.clone() {
        all.push(document(&client.call("GET", path(&next), &[], b"").unwrap()));
    }
    all
}

fn rows(documents: &[Document]) -> Vec<String> {
    documents.iter().flat_map(|d| d.data.iter().flatten()).map(|row| row.join("|")).collect()
}

#[test]
fn a_page_that_is_requested_again_has_the_same_rows() {
    let texts = ["a\tb\n", "c\td\n", "e\tf\ng\th\n", "i\tj\n"];
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&texts)));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let first = post(&mut client, "look", "select 1");
    let mut seen = vec![document(&first)];
    let mut paths = Vec::new();
    while let Some(next) = seen.last().unwrap().next_uri.clone() {
        let page = client.call("GET", path(&next), &[], b"").unwrap();
        let repeated = gateway.rest_client().call("GET", path(&next), &[], b"").unwrap();
        assert_eq!(
            document(&page).data,
            document(&repeated).data,
            "the page differs when requested again on another connection"
        );
        seen.push(document(&page));
        paths.push(path(&next).to_owned());
    }
    assert_eq!(rows(&seen), ["a|b", "c|d", "e|f", "g|h", "i|j"]);
    assert_eq!(seen.last().unwrap().stats.state, StatementState::Finished);
    assert_eq!(seen[0].columns.as_ref().unwrap().len(), 2);
    let mut status = |path: &str| client.call("GET", path, &[], b"").unwrap().status;
    assert_eq!(status(&paths[0]), 410, "a page before the last one requested");
    assert_eq!(status(paths.last().unwrap()), 200, "the last page, while the result is kept");
    assert_eq!(status(&paths[0].replace("executing/", "executing/9")), 404, "an unknown result");
    assert_eq!(
        status("/v1/statement/executing/1_0/0123456789abcdef0123456789abcdef/1"),
        404,
        "a result with a guessed token"
    );
    assert_eq!((status("/v1/info"), status("/"), status("/v1/statement")), (200, 404, 405));
    wait_for("the result to leave memory", || (status(paths.last().unwrap()) == 410).then_some(()));
    assert_eq!(engine.seen().started.len(), 1);
    gateway.signal("-USR1");
    assert!(gateway.log.wait_for("results_read").contains("results_read: 1, results_abandoned: 0"));
}

#[test]
fn each_outcome_of_a_request_has_its_response() {
    // The engine's behavior, the request class, the response's status and error name, and how often the engine received
    // the statement (0: not checked).
    let cases = [
        (EngineBehavior::Serve(Duration::from_millis(500), pages(&["late\n"])), "look", 200, None, 1),
        (EngineBehavior::Serve(Duration::ZERO, pages(&[""])), "once", 200, None, 1),
        (EngineBehavior::Decline, "once", 429, Some("QUERY_QUEUE_FULL"), 0),
        (EngineBehavior::Fail, "once", 200, Some("GENERIC_INTERNAL_ERROR"), 1),
        (EngineBehavior::Cut, "once", 200, Some("GENERIC_INTERNAL_ERROR"), 1),
        (EngineBehavior::Fail, "look", 429, Some("QUERY_QUEUE_FULL"), 0),
    ];
    for (behavior, class, status, error, expected_starts) in cases {
        let engine = engine(behavior.clone());
        let gateway = gateway(Some(engine.address));
        let mut client = gateway.rest_client();
        let first = post(&mut client, class, "select 1");
        assert_eq!(
            first.status,
            status,
            "{behavior:?} for {class}: {}",
            String::from_utf8_lossy(&first.body)
        );
        if status == 429 {
            assert_eq!(first.field("retry-after"), Some("1"));
            assert!(String::from_utf8_lossy(&first.body).contains(error.unwrap()), "{behavior:?}");
        } else {
            let last = read_result(&mut client, &first).pop().unwrap();
            assert_eq!(
                last.error.map(|e| e.error_name),
                error.map(str::to_owned),
                "{behavior:?} for {class}"
            );
        }
        let started = engine.seen().started.len();
        assert!(
            expected_starts == 0 || started == expected_starts,
            "{behavior:?} for {class}: started {started}"
        );
    }
}

/// Request headers, the statement, and a substring of the expected response.
type InvalidStatementCase<'a> = (&'a [(&'a str, &'a str)], &'a str, &'a str);

#[test]
fn an_invalid_statement_is_rejected_with_the_reason_and_sent_to_no_engine() {
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&["ok\n"])));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let user = ("X-Trino-User", "acme");
    let load = ("X-Trino-Source", "load");
    let session = ("X-Trino-Session", "time_limit_ms=soon");
    let cases: [InvalidStatementCase; 8] = [
        (&[user], "select 1", "group is missing"),
        (&[("X-Trino-Source", "look")], "select 1", "unknown customer"),
        (&[user, ("X-Trino-Source", "dance")], "select 1", "unknown service group"),
        (&[user, ("X-Trino-Source", "look"), session], "select 1", "time-limit is unusable"),
        (&[user, load], "select 1", "reference is missing"),
        (&[user, load, ("Idempotency-Key", "a b")], "select 1", "reference is unusable"),
        (&[user, load, ("Idempotency-Key", "ab")], "select 1", "key is missing"),
        (&[user, ("X-Trino-Source", "look")], "", "no statement"),
    ];
    for (headers, statement, reason) in cases {
        let answer = client.call("POST", "/v1/statement", headers, statement.as_bytes()).unwrap();
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(answer.status == 400 && text.contains(reason), "{reason}: {} {text}", answer.status);
    }
    assert!(engine.seen().started.is_empty());
    let long = "x".repeat(1000);
    assert_eq!(post(&mut client, "look", &long).status, 200, "a statement of the maximum size");
    assert_eq!(post(&mut client, "look", &(long + "x")).status, 413);
    assert!(client.answer().is_err(), "the connection stayed open");
    gateway.log.wait_for("detail: body too long");
}

#[test]
fn calls_may_be_chunked_pipelined_or_expect_100_continue() {
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&["ok\n"])));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let fields = "Host: h\r\nX-Trino-User: acme\r\nX-Trino-Source: look\r\n";
    let chunked = format!("POST /v1/statement HTTP/1.1\r\n{fields}Transfer-Encoding: chunked\r\n\r\n");
    client
        .raw(format!("{chunked}3\r\nsel\r\n5\r\nect 1\r\n0\r\n\r\nGET /v1/info HTTP/1.1\r\n\r\n").as_bytes())
        .unwrap();
    assert_eq!(rows(&[document(&client.answer().unwrap())]), ["ok"]);
    assert!(client.answer().unwrap().body.starts_with(b"{\"nodeVersion\""));
    let with_expectation =
        format!("POST /v1/statement HTTP/1.1\r\n{fields}Expect: 100-continue\r\nContent-Length: 8\r\n\r\n");
    client.raw(with_expectation.as_bytes()).unwrap();
    assert_eq!(client.answer().unwrap().status, 100);
    client.raw(b"select 1").unwrap();
    assert_eq!(rows(&[document(&client.answer().unwrap())]), ["ok"]);
    assert_eq!(
        engine.seen().started.iter().map(|c| c.statement.clone()).collect::<Vec<_>>(),
        [b"select 1", b"select 1"]
    );
    // The gateway closes a connection when its client sends `Connection: close`.
    let closing = client.call("GET", "/v1/info", &[("Connection", "close")], b"").unwrap();
    assert_eq!(closing.field("connection"), Some("close"));
    gateway.log.wait_for("reason: asked-to-close");
}

/// Guards against a connection that closes as its client has asked before the page that the call waits for is there.
#[test]
fn a_call_that_closes_its_connection_has_its_page_first() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(150), pages(&["ok\n"])));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let mut headers = request_headers("once");
    headers.push(("Connection", "close"));
    let answer = client.call("POST", "/v1/statement", &headers, b"select 1").unwrap();
    assert_eq!(rows(&[document(&answer)]), ["ok"]);
    assert_eq!(answer.field("connection"), Some("close"));
    assert!(client.answer().is_err(), "the connection stayed open");
}

/// Guards against a call whose time counts from the call before it on its connection, while which nothing was read.
#[test]
fn the_time_of_a_call_does_not_begin_while_the_call_before_it_waits() {
    const RUN_TIME: Duration = Duration::from_millis(150);
    const ROUNDS: usize = 10;
    let engine = Engine::start("127.0.0.1:0", |call| {
        let duration = if call.statement == b"long" { RUN_TIME } else { Duration::ZERO };
        EngineBehavior::Serve(duration, pages(&["ok\n"]))
    })
    .unwrap();
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    for round in 0..ROUNDS {
        assert_eq!(rows(&[document(&post(&mut client, "once", "long"))]), ["ok"]);
        let next = document(&post(&mut client, "once", "select 1"));
        let elapsed = Duration::from_millis(next.stats.elapsed_time_millis);
        assert!(elapsed < RUN_TIME, "round {round}: {elapsed:?}");
    }
}

#[test]
fn an_abandoned_result_cancels_its_request() {
    let slow = engine(EngineBehavior::Serve(FOREVER, pages(&["never\n"])));
    let many_pages =
        engine(EngineBehavior::Serve(Duration::ZERO, pages(&["1\n", "2\n", "3\n", "4\n", "5\n", "6\n"])));
    // The engine, the number of pages read after the first, and whether the client cancels with DELETE or disconnects.
    for (engine, pages_read, deletes) in [
        (&slow, 0, false),
        (&slow, 1, true),
        (&many_pages, 0, false),
        (&many_pages, 2, false),
        (&many_pages, 1, true),
    ] {
        let gateway = gateway(Some(engine.address));
        let cancelled_before = engine.seen().cancelled.len();
        let mut client = gateway.rest_client();
        let mut last = document(&post(&mut client, "once", "select 1"));
        for _ in 0..pages_read {
            last = document(&client.call("GET", path(&last.next_uri.unwrap()), &[], b"").unwrap());
        }
        let next = last.next_uri.unwrap();
        if deletes {
            for _ in 0..2 {
                assert_eq!(client.call("DELETE", path(&next), &[], b"").unwrap().status, 204);
            }
        } else {
            drop(client);
        }
        wait_until_seen(engine, "the query to be cancelled", |s| s.cancelled.len() > cancelled_before);
        let answer = gateway.rest_client().call("GET", path(&next), &[], b"").unwrap();
        assert_eq!(answer.status, 410, "pages of a cancelled result are still served");
        wait_for("the abandoned result to be counted", || {
            gateway.signal("-USR1");
            (gateway.log.count("results_read: 0, results_abandoned: 1") > 0).then_some(())
        });
    }
}

#[test]
fn a_lost_page_restarts_a_result_only_while_none_of_its_rows_were_delivered() {
    for (class, behavior) in [("once", EngineBehavior::LosePage), ("look", EngineBehavior::LosePage)] {
        let engine = engine(behavior);
        let gateway = gateway(Some(engine.address));
        let mut client = gateway.rest_client();
        let first = post(&mut client, class, "select 1");
        // No rows were delivered: a request that may run only once ends with an error, and one that may run again is
        // retried.
        if class == "once" {
            let all = read_result(&mut client, &first);
            assert!(rows(&all).is_empty() && all.last().unwrap().error.is_some());
            assert_eq!(engine.seen().started.len(), 1);
        } else {
            assert_eq!(first.status, 429);
            assert!(engine.seen().started.len() > 1);
        }
    }
}

#[test]
fn a_slow_reader_slows_its_engine_down_and_loses_no_rows() {
    let texts: Vec<String> = (0..12).map(|n| format!("{n}\n")).collect();
    let engine =
        engine(EngineBehavior::Serve(Duration::ZERO, texts.iter().map(|t| t.clone().into_bytes()).collect()));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let mut all = vec![document(&post(&mut client, "once", "select 1"))];
    while let Some(next) = all.last().unwrap().next_uri.clone() {
        std::thread::sleep(Duration::from_millis(250));
        all.push(document(&client.call("GET", path(&next), &[], b"").unwrap()));
    }
    assert_eq!(rows(&all), (0..12).map(|n| n.to_string()).collect::<Vec<_>>());
    assert!(all.last().unwrap().error.is_none());
}

#[test]
fn requests_of_one_ordering_key_run_one_at_a_time_across_both_protocols() {
    let engine = engine(EngineBehavior::Serve(Duration::from_millis(150), pages(&["ok\n"])));
    let gateway = gateway(Some(engine.address));
    let key = "00000000000000ab";
    let mut message_pack_client = gateway.client();
    let mut paged_clients: Vec<RestClient> = (0..2).map(|_| gateway.rest_client()).collect();
    let session = format!("order_key={key}");
    for n in 0..6 {
        let idempotency_key = format!("{n:016x}");
        let statement = format!("load {n}");
        if n % 2 == 0 {
            let fields = [
                ("req", &idempotency_key[..]),
                ("timeout", "20000"),
                ("owner", "acme"),
                ("opkey", &idempotency_key),
                ("subject", key),
            ];
            message_pack_client.send("load", &fields, &statement).unwrap();
        } else if let Some(client) = paged_clients.get_mut(n / 2) {
            let mut headers = request_headers("load");
            headers.extend([("Idempotency-Key", &idempotency_key[..]), ("X-Trino-Session", &session[..])]);
            client.send("POST", "/v1/statement", &headers, statement.as_bytes()).unwrap();
        }
        wait_for("the request to be admitted", || {
            gateway.signal("-USR1");
            let admitted = format!("class: load, admitted: {},", if n == 5 { 5 } else { n + 1 });
            (gateway.log.count(&admitted) > 0).then_some(())
        });
    }
    for _ in 0..3 {
        assert!(matches!(message_pack_client.answer().unwrap().1, MessagePackAnswer::Rows(_)));
    }
    for client in &mut paged_clients {
        let first = client.answer().unwrap();
        assert_eq!(rows(&read_result(client, &first)), ["ok"]);
    }
    let seen = engine.seen().started;
    let order: Vec<_> = seen.iter().map(|c| String::from_utf8_lossy(&c.statement).into_owned()).collect();
    assert_eq!(order, ["load 0", "load 1", "load 2", "load 3", "load 4"]);
}

#[test]
fn silent_connections_and_open_results_are_bounded_and_other_clients_served() {
    let engine = Engine::start("127.0.0.1:0", |call| {
        EngineBehavior::Serve(
            if call.statement == b"long" { FOREVER } else { Duration::ZERO },
            pages(&["ok\n"]),
        )
    })
    .unwrap();
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let silent: Vec<TcpStream> =
        (0..300).map(|_| TcpStream::connect(gateway.rest.unwrap()).unwrap()).collect();
    let mut incomplete = TcpStream::connect(gateway.rest.unwrap()).unwrap();
    incomplete.write_all(b"POST /v1/sta").unwrap();
    let start = Instant::now();
    let first = post(&mut client, "look", "select 1");
    assert_eq!(rows(&read_result(&mut client, &first)), ["ok"]);
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    // MessagePack-RPC connections have a limit of their own.
    let mut message_pack_client = gateway.client();
    let ping = message_pack_client.ping().unwrap();
    assert_eq!(message_pack_client.answer().unwrap(), (ping, MessagePackAnswer::Pong));
    // Six open results are the maximum (`in-hand`); the next request is rejected.
    drop((silent, incomplete));
    let mut other_clients: Vec<RestClient> = (0..6).map(|_| gateway.rest_client()).collect();
    for other in &mut other_clients {
        other.send("POST", "/v1/statement", &request_headers("look"), b"long").unwrap();
    }
    let open: Vec<Document> = other_clients.iter_mut().map(|o| document(&o.answer().unwrap())).collect();
    let rejected = post(&mut client, "look", "select 1");
    assert_eq!((rejected.status, rejected.field("retry-after")), (429, Some("1")));
    let next = open[0].next_uri.clone().unwrap();
    client.call("DELETE", path(&next), &[], b"").unwrap();
    assert_eq!(post(&mut client, "look", "select 1").status, 200);
}

#[test]
fn a_reload_of_the_operators_file_applies_all_of_it_or_nothing() {
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&["ok\n"])));
    let gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let presto = [("X-Presto-User", "acme"), ("X-Presto-Source", "look")];
    let mut status = || client.call("POST", "/v1/statement", &presto, b"select 1").unwrap().status;
    assert_eq!(status(), 400);
    gateway.reload_operator_config(&operator_config(
        &REST_SETTINGS.replace("poll-ms = 200", "poll-ms = 200000"),
    ));
    gateway.log.wait_for("line 8: rest.poll-ms: 200000 ms is not within 1 to 60000");
    assert_eq!(status(), 400, "a rejected file changed the headers");
    gateway.reload_operator_config(&operator_config(&format!("headers = \"presto\"\n{REST_SETTINGS}")));
    gateway.log.wait_for("configuration reloaded");
    wait_for("the Presto headers to be accepted", || (status() == 200).then_some(()));
}

#[test]
fn during_shutdown_open_results_can_be_read_and_new_statements_are_rejected() {
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&["1\n", "2\n", "3\n"])));
    let mut gateway = gateway(Some(engine.address));
    let mut client = gateway.rest_client();
    let first = post(&mut client, "once", "select 1");
    gateway.signal("-TERM");
    gateway.log.wait_for("shutdown requested");
    let refused = post(&mut gateway.rest_client(), "once", "select 2");
    assert_eq!((refused.status, refused.field("retry-after")), (503, Some("1")));
    assert_eq!(rows(&read_result(&mut client, &first)), ["1", "2", "3"]);
    // A delivered result that is still kept does not delay the shutdown.
    assert!(gateway.wait_for_exit().success());
    gateway.log.wait_for("reason: stopped");
}

/// Guards against bodies of calls that are not whole: each connection could hold a statement of the largest size, over
/// all connections more than the machine's memory.
#[test]
fn half_read_calls_stay_within_the_memory_and_the_refused_ones_are_answered() {
    const CONNECTIONS: usize = 60;
    const MEMORY_MB: usize = 32;
    const BODY_BYTES: usize = 1_000_000;
    let engine = engine(EngineBehavior::Serve(Duration::ZERO, pages(&["ok\n"])));
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config("127.0.0.1:0", discovery.address, Some(engine.address), 1024);
    let text = text.replace("\"memory_mb\":192", &format!("\"memory_mb\":{MEMORY_MB}"));
    let settings = "connections = 64\nstatement-bytes = 1048576";
    let gateway = Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(settings)));
    let head = format!("POST /v1/statement HTTP/1.1\r\nHost: h\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    let half_call = [head.as_bytes(), &[b' '; BODY_BYTES / 2]].concat();
    // A refused connection may be closed before all of its half call is written.
    let clients: Vec<RestClient> = (0..CONNECTIONS)
        .map(|_| {
            let mut client = gateway.rest_client();
            let _ = client.raw(&half_call);
            client
        })
        .collect();
    let mut usual = gateway.rest_client();
    let first = post(&mut usual, "look", "select 1");
    assert_eq!(rows(&read_result(&mut usual, &first)), ["ok"]);
    let peak = gateway.peak_memory_bytes();
    assert!(peak <= MEMORY_MB << 20, "{} KiB of {} KiB", peak >> 10, MEMORY_MB << 10);
    let refused = clients.into_iter().filter_map(|mut client| client.answer().ok()).collect::<Vec<Answer>>();
    assert!(!refused.is_empty(), "no call was refused");
    assert!(refused.iter().all(|answer| answer.status == 429 && answer.field("retry-after").is_some()));
}
