//! What the paged protocol costs beside MessagePack-RPC, as ratios taken in one run. Long, so asked for by name:
//! `cargo test --release -p larchfall-front --test gateway cost -- --ignored --nocapture`.

use crate::common::{Gateway, config, site};
use larchfall_paged_rest::document::Document;
use larchfall_stub::client::Answer;
use larchfall_stub::discovery::Discovery;
use larchfall_stub::engine::{Act, Engine};
use larchfall_stub::rest::path;
use std::time::{Duration, Instant};

const REST: &str = "results = 2100
in-hand = 8
result-pages = 64
result-bytes = 1000000
all-bytes = 200000000
kept-for-ms = 600000";
const HEAD: [(&str, &str); 2] = [("X-Trino-User", "acme"), ("X-Trino-Source", "look")];
const REQUESTS: usize = 2_000;
const ROWS: &str = "a score\tof a match\tin a season\n";

/// Per call: processor time of the gateway, and the middle one of the times waited.
fn per_call(gateway: &Gateway, calls: usize, mut call: impl FnMut(usize)) -> (Duration, Duration) {
    (0..200).for_each(&mut call);
    let before = gateway.used().0;
    let mut took: Vec<Duration> = (200..200 + calls)
        .map(|n| {
            let began = Instant::now();
            call(n);
            began.elapsed()
        })
        .collect();
    took.sort();
    ((gateway.used().0 - before) / calls as u32, took[calls / 2])
}

#[test]
#[ignore = "a measurement of a minute"]
fn a_paged_request_costs_at_most_twice_one_of_the_other_protocol() {
    let rows = ROWS.repeat(100).into_bytes();
    let many: Vec<Vec<u8>> = vec![rows.clone(); 20];
    let one = vec![rows.clone()];
    let engine = Engine::start("127.0.0.1:0", move |call| {
        Act::Serve(Duration::ZERO, if call.statement == b"many" { many.clone() } else { one.clone() })
    })
    .unwrap();
    let discovery = Discovery::start("127.0.0.1:0").unwrap();
    let text = config("127.0.0.1:0", discovery.address, Some(engine.address), 1024);
    let gateway = Gateway::start_site(discovery, &text, Some(&site(REST)));
    let (mut whole, mut paged) = (gateway.client(), gateway.rest_client());
    let (whole_cpu, whole_took) = per_call(&gateway, REQUESTS, |n| {
        let id = format!("{n:016x}");
        let fields = [("req", &id[..]), ("timeout", "20000"), ("owner", "acme"), ("ms", "1")];
        whole.send("look", &fields, "one").unwrap();
        assert!(matches!(whole.answer().unwrap().1, Answer::Rows(_)));
    });
    let (paged_cpu, paged_took) = per_call(&gateway, REQUESTS, |_| {
        let answer = paged.call("POST", "/v1/statement", &HEAD, b"one").unwrap();
        assert_eq!(answer.status, 200);
    });
    let mut next: Option<String> = None;
    let (page_cpu, page_took) = per_call(&gateway, REQUESTS, |_| {
        let answer = match next.take() {
            Some(uri) => paged.call("GET", path(&uri), &[], b"").unwrap(),
            None => paged.call("POST", "/v1/statement", &HEAD, b"many").unwrap(),
        };
        next = serde_json::from_slice::<Document>(&answer.body).unwrap().next_uri;
    });
    let before = gateway.used().1;
    let open: Vec<Document> = (0..REQUESTS)
        .map(|_| {
            serde_json::from_slice(&paged.call("POST", "/v1/statement", &HEAD, b"many").unwrap().body)
                .unwrap()
        })
        .collect();
    assert!(open.iter().all(|d| d.next_uri.is_some()), "all are open");
    // What waits in the window: nineteen pages, the first was handed out and is kept.
    let each = (gateway.used().1 - before) / REQUESTS;
    let beyond = each.saturating_sub(20 * rows.len());
    let ratio = |a: Duration, b: Duration| a.as_secs_f64() / b.as_secs_f64();
    println!("a whole batch: {whole_cpu:?} of processor time, {whole_took:?} until answered");
    println!(
        "a paged batch of one page: {paged_cpu:?} ({:.2} times), {paged_took:?}",
        ratio(paged_cpu, whole_cpu)
    );
    println!(
        "a page of twenty, with its part of the batch: {page_cpu:?} ({:.2} times), {page_took:?}",
        ratio(page_cpu, whole_cpu)
    );
    println!("{REQUESTS} open results: {each} bytes each, {beyond} beyond the window");
    // A further page was hoped to cost half a whole request; each is a call of the client and one to the engine.
    assert!(ratio(paged_cpu, whole_cpu) <= 2.0 && ratio(page_cpu, whole_cpu) <= 2.0 && beyond <= 16 * 1024);
}
