//! What reading a call and writing a page cost.

use criterion::{Criterion, black_box, criterion_group, criterion_main};
use larchfall_paged_rest::call::read;
use larchfall_paged_rest::document::{Addresses, Body, json};
use larchfall_paged_rest::results::Name;
use larchfall_paged_rest::slug::{Key, Place};

fn codecs(c: &mut Criterion) {
    let call = b"POST /v1/statement HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nX-Trino-User: acme\r\nX-Trino-Source: look\r\nContent-Length: 8\r\n\r\nselect 1";
    c.bench_function("read a call", |b| b.iter(|| read(black_box(call), 1000)));
    let body =
        Body { rows: "a score\tof a match\tin a season\n".repeat(100).into_bytes(), ..Body::default() };
    c.bench_function("write a page of 100 rows", |b| {
        b.iter(|| {
            let to =
                Addresses { id: "1_2", info: "http://h/info".into(), next: Some("http://h/next".into()) };
            json(black_box(&body), None, to)
        });
    });
    let key = Key::new(&[7; 32]);
    let place = Place { name: Name { number: 3, era: 70_000 }, token: 5 };
    c.bench_function("make an address", |b| b.iter(|| key.path(black_box(place))));
    let path = key.path(place);
    c.bench_function("read an address", |b| b.iter(|| key.read(black_box(&path))));
}

criterion_group!(benches, codecs);
criterion_main!(benches);
