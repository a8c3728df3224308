//! What the paged protocol costs beside MessagePack-RPC, as ratios taken in one run. Long, so asked for by name:
//! `cargo test --release -p larchfall-gateway --test gateway protocol_cost -- --ignored --nocapture`.

use crate::common::{Gateway, config, operator_config};
use larchfall_paged_rest::document::Document;
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Engine, EngineBehavior};
use larchfall_stub::rest::{RestClient, path};
use std::fmt;
use std::time::{Duration, Instant};

const REST: &str = "results = 2100
in-hand = 8
result-pages = 64
result-bytes = 1000000
all-bytes = 200000000
kept-for-ms = 600000";
/// Pages of the larger result.
const PAGES: usize = 20;
const HEAD: [(&str, &str); 2] = [("X-Trino-User", "acme"), ("X-Trino-Source", "look")];
const REQUESTS: usize = 2_000;
const ROWS: &str = "a score\tof a match\tin a season\n";

/// What a call costs.
#[derive(Clone, Copy)]
struct Cost {
    /// Processor time of the gateway, on average.
    cpu: Duration,
    /// Time until the answer, the median.
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

fn cost_per_call(gateway: &Gateway, mut call: impl FnMut(usize)) -> Cost {
    const WARM_UP_CALLS: usize = 200;
    (0..WARM_UP_CALLS).for_each(&mut call);
    let cpu_before = gateway.resource_use().cpu_time;
    let mut latencies: Vec<Duration> = (WARM_UP_CALLS..WARM_UP_CALLS + REQUESTS)
        .map(|n| {
            let began = Instant::now();
            call(n);
            began.elapsed()
        })
        .collect();
    latencies.sort();
    Cost {
        cpu: (gateway.resource_use().cpu_time - cpu_before) / REQUESTS as u32,
        latency: latencies[REQUESTS / 2],
    }
}

fn message_pack_cost(gateway: &Gateway) -> Cost {
    let mut client = gateway.client();
    cost_per_call(gateway, |n| {
        let id = format!("{n:016x}");
        let fields = [("req", &id[..]), ("timeout", "20000"), ("owner", "acme"), ("ms", "1")];
        client.send("look", &fields, "one").unwrap();
        assert!(matches!(client.answer().unwrap().1, Answer::Rows(_)));
    })
}

fn single_page_cost(gateway: &Gateway, client: &mut RestClient) -> Cost {
    cost_per_call(gateway, |_| {
        let answer = client.call("POST", "/v1/statement", &HEAD, b"one").unwrap();
        assert_eq!(answer.status, 200);
    })
}

/// The cost of a page of a result of many, with its part of the request.
fn page_of_many_cost(gateway: &Gateway, client: &mut RestClient) -> Cost {
    let mut next: Option<String> = None;
    cost_per_call(gateway, |_| {
        let answer = match next.take() {
            Some(uri) => client.call("GET", path(&uri), &[], b"").unwrap(),
            None => client.call("POST", "/v1/statement", &HEAD, b"many").unwrap(),
        };
        next = serde_json::from_slice::<Document>(&answer.body).unwrap().next_uri;
    })
}

/// The memory that an open result takes.
fn bytes_per_open_result(gateway: &Gateway, client: &mut RestClient) -> usize {
    let before = gateway.resource_use().memory_bytes;
    let open: Vec<Document> = (0..REQUESTS)
        .map(|_| {
            let answer = client.call("POST", "/v1/statement", &HEAD, b"many").unwrap();
            serde_json::from_slice(&answer.body).unwrap()
        })
        .collect();
    assert!(open.iter().all(|document| document.next_uri.is_some()), "all are open");
    (gateway.resource_use().memory_bytes - before) / REQUESTS
}

#[test]
#[ignore = "a measurement of a minute"]
fn a_paged_request_costs_at_most_twice_one_of_the_other_protocol() {
    let rows = ROWS.repeat(100).into_bytes();
    let many: Vec<Vec<u8>> = vec![rows.clone(); PAGES];
    let one = vec![rows.clone()];
    let engine = Engine::start("127.0.0.1:0", move |call| {
        EngineBehavior::Serve(
            Duration::ZERO,
            if call.statement == b"many" { many.clone() } else { one.clone() },
        )
    })
    .unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config("127.0.0.1:0", discovery.address, Some(engine.address), 1024);
    let gateway = Gateway::start_with_operator_config(discovery, &text, Some(&operator_config(REST)));
    let message_pack = message_pack_cost(&gateway);
    // Opened only now: a connection without calls for 10 s is closed.
    let mut client = gateway.rest_client();
    let single_page = single_page_cost(&gateway, &mut client);
    let page_of_many = page_of_many_cost(&gateway, &mut client);
    // What waits in the window: nineteen pages, the first was handed out and is kept.
    let each = bytes_per_open_result(&gateway, &mut client);
    let beyond = each.saturating_sub(PAGES * rows.len());
    let single_ratio = single_page.cpu_ratio(message_pack);
    let page_ratio = page_of_many.cpu_ratio(message_pack);
    println!("a request over MessagePack-RPC: {message_pack}");
    println!("a paged request of one page: {single_page}, {single_ratio:.2} times the processor time");
    println!("a page of twenty, with its part of the request: {page_of_many}, {page_ratio:.2} times");
    println!("{REQUESTS} open results: {each} bytes each, {beyond} beyond the window");
    // A further page was hoped to cost half a request; each is a call of the client and one to the engine.
    assert!(single_ratio <= 2.0 && page_ratio <= 2.0 && beyond <= 16 * 1024);
}
