//! CPU time of decoding a call, encoding a page, and making and parsing page addresses.

use criterion::{Criterion, black_box, criterion_group, criterion_main};
use larchfall_paged_rest::call::decode;
use larchfall_paged_rest::document::{PageContent, PageLinks, encode};
use larchfall_paged_rest::page_address::{AddressKey, PageAddress};
use larchfall_paged_rest::results::ResultId;

fn codecs(criterion: &mut Criterion) {
    let call = b"POST /v1/statement HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nX-Trino-User: acme\r\nX-Trino-Source: look\r\nContent-Length: 8\r\n\r\nselect 1";
    criterion.bench_function("decode_call", |bencher| bencher.iter(|| decode(black_box(call), 1000)));
    let rows = "a score\tof a match\tin a season\n".repeat(100).into_bytes();
    let content = PageContent { rows, ..PageContent::default() };
    criterion.bench_function("encode_page_100_rows", |bencher| {
        bencher.iter(|| {
            let next = Some("http://h/next".to_owned());
            let links = PageLinks { id: "1_2".to_owned(), info: "http://h/info".to_owned(), next };
            encode(black_box(&content), None, links)
        });
    });
    let key = AddressKey::new(&[7; 32]);
    let address = PageAddress { result: ResultId { index: 3, generation: 70_000 }, token: 5 };
    criterion.bench_function("make_page_address", |bencher| bencher.iter(|| key.path(black_box(address))));
    let path = key.path(address);
    criterion.bench_function("parse_page_address", |bencher| bencher.iter(|| key.parse(black_box(&path))));
}

criterion_group!(benches, codecs);
criterion_main!(benches);
