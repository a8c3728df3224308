//! Tests of the codecs with tables of cases: calls, request fields, page documents and responses.

use larchfall_paged_rest::call::{Call, Method, Progress, Response, decode};
use larchfall_paged_rest::cursor::ResultEnd;
use larchfall_paged_rest::document::{Document, PageContent, PageLinks, QueryError, StatementState, encode};
use larchfall_paged_rest::request_fields::{FieldSource, FieldSources, HeaderFamily, read as read_fields};
use proptest::prelude::*;

const MAX_BODY_BYTES: usize = 64;

/// Encoded calls with the expected decoded calls.
fn encoded_calls() -> Vec<(Vec<u8>, Call)> {
    let call = |method, path: &str, headers: &[(&str, &str)], body: &[u8], closes_connection| Call {
        method,
        path: path.to_owned(),
        headers: headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect(),
        body: body.to_vec(),
        closes_connection,
    };
    vec![
        (
            b"GET /v1/info?x=1 HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            call(Method::Get, "/v1/info", &[("host", "a")], b"", false),
        ),
        (
            b"POST /v1/statement HTTP/1.1\r\nContent-Length: 8\r\nX-Trino-User:  me \r\n\r\nselect 1".to_vec(),
            call(
                Method::Post,
                "/v1/statement",
                &[("content-length", "8"), ("x-trino-user", "me")],
                b"select 1",
                false,
            ),
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nsel\r\n5\r\nect 1\r\n0\r\nA: b\r\n\r\n".to_vec(),
            call(Method::Post, "/", &[("transfer-encoding", "chunked")], b"select 1", false),
        ),
        (
            b"DELETE /p HTTP/1.1\r\nConnection: Keep-Alive, Close\r\n\r\n".to_vec(),
            call(Method::Delete, "/p", &[("connection", "Keep-Alive, Close")], b"", true),
        ),
        (b"PATCH /p HTTP/1.0\r\n\r\n".to_vec(), call(Method::Other, "/p", &[], b"", true)),
    ]
}

#[test]
fn decoding_a_call_waits_for_all_its_bytes_and_leaves_the_next_call() {
    for (bytes, call) in encoded_calls() {
        for cut in 0..bytes.len() {
            assert_eq!(
                decode(&bytes[..cut], MAX_BODY_BYTES),
                Ok(Progress::Incomplete),
                "the first {cut} bytes of {call:?}"
            );
        }
        let with_next_call = [&bytes[..], b"GET"].concat();
        assert_eq!(
            decode(&with_next_call, MAX_BODY_BYTES),
            Ok(Progress::Complete { call, length: bytes.len() })
        );
    }
}

#[test]
fn invalid_calls_are_rejected_with_a_status_and_a_reason() {
    let with_header_value_of = |n: usize| format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(n));
    let too_many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    let with_body_of = |n: usize| format!("POST / HTTP/1.1\r\nContent-Length: {n}\r\n\r\n{}", "x".repeat(n));
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("SSH-2.0-x\r\n\r\n".to_owned(), 400, "not HTTP"),
        (with_header_value_of(17_000), 431, "head too long"),
        (with_header_value_of(17_000)[..17_000].to_owned(), 431, "head too long"),
        (too_many_headers, 431, "head too long"),
        (with_body_of(MAX_BODY_BYTES + 1), 413, "body too long"),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx".to_owned(), 400, "two lengths"),
        (
            "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx".to_owned(),
            400,
            "two lengths",
        ),
        ("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_owned(), 400, "length is no number"),
        ("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx".to_owned(), 400, "length is no number"),
        (
            "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n".to_owned(),
            400,
            "length is no number",
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_owned(),
            501,
            "unknown transfer encoding",
        ),
        ("POST / HTTP/1.1\r\nExpect: magic\r\n\r\n".to_owned(), 417, "unknown expectation"),
        (format!("{chunked}zz\r\n"), 400, "bad chunk"),
        (format!("{chunked}41\r\n"), 413, "body too long"),
        (format!("{chunked}ffffffffffffffff\r\n"), 413, "body too long"),
        (format!("{chunked}1\r\nxy\r\n"), 400, "bad chunk"),
    ];
    for (bytes, status, reason) in cases {
        let shown = &bytes[..bytes.len().min(60)];
        let error = decode(bytes.as_bytes(), MAX_BODY_BYTES).expect_err(shown);
        assert_eq!((error.status(), &error.to_string()[..]), (status, reason), "{shown}");
    }
    let largest = with_body_of(MAX_BODY_BYTES);
    assert!(
        matches!(decode(largest.as_bytes(), MAX_BODY_BYTES), Ok(Progress::Complete { .. })),
        "a body of the maximum size is accepted"
    );
    let expects = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(decode(expects, MAX_BODY_BYTES), Ok(Progress::ExpectsContinue));
    assert_eq!(
        decode(&[&expects[..], b"x"].concat(), MAX_BODY_BYTES),
        Ok(Progress::Incomplete),
        "a client that sends the body without waiting gets no 100 Continue"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// A decoded call never extends beyond its input, and decodes alike without the bytes after it. A call or an error
    /// that was decoded from a prefix stays the same with more bytes.
    #[test]
    fn decoding_corrupted_calls_is_consistent_for_every_prefix(
        index in 0..5_usize,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        prefix_length in any::<prop::sample::Index>(),
    ) {
        let mut bytes = encoded_calls().swap_remove(index).0;
        for (offset, value) in changes {
            let offset = offset.index(bytes.len());
            bytes[offset] = value;
        }
        let whole = decode(&bytes, MAX_BODY_BYTES);
        if let Ok(Progress::Complete { length, .. }) = &whole {
            prop_assert!(*length <= bytes.len());
            prop_assert_eq!(&decode(&bytes[..*length], MAX_BODY_BYTES), &whole);
        }
        let from_prefix = decode(&bytes[..prefix_length.index(bytes.len())], MAX_BODY_BYTES);
        if !matches!(from_prefix, Ok(Progress::Incomplete | Progress::ExpectsContinue)) {
            prop_assert_eq!(from_prefix, whole, "more bytes changed the decoded call or error");
        }
    }
}

/// Parses sources: `h:` a header of the family, `f:` a full header name, `s:` a session property, `v:` a constant.
fn parse_sources(text: &str) -> Vec<FieldSource> {
    text.split_whitespace()
        .map(|source| match source.split_once(':').unwrap() {
            ("h", name) => FieldSource::FamilyHeader(name.into()),
            ("f", name) => FieldSource::Header(name.into()),
            ("s", name) => FieldSource::SessionProperty(name.into()),
            (_, value) => FieldSource::Value(value.into()),
        })
        .collect()
}

#[test]
fn the_first_source_in_a_call_supplies_the_field_and_errors_name_the_header() {
    use HeaderFamily::{Both, Presto, Trino};
    // Headers of the call, accepted header family, sources of the request class, expected class or error.
    type Case<'a> = (&'a [(&'a str, &'a str)], HeaderFamily, &'a str, Result<Option<&'a str>, &'a str>);
    let cases: [Case; 13] = [
        (&[("x-trino-source", "report")], Trino, "h:Source v:look", Ok(Some("report"))),
        (&[("x-trino-source", "")], Trino, "h:Source v:look", Ok(Some("look"))),
        (&[("x-trino-source", "report")], Presto, "h:Source", Ok(None)),
        (&[("x-presto-source", "report")], Both, "h:source", Ok(Some("report"))),
        (
            &[("x-presto-source", "a"), ("x-trino-user", "b")],
            Both,
            "h:source",
            Err("headers of both families, X-Trino and X-Presto"),
        ),
        (&[("x-trino-session", "a=1, group = season%20report")], Trino, "s:group", Ok(Some("season report"))),
        (&[("x-trino-session", "a=1"), ("x-trino-session", "group=x")], Trino, "s:group", Ok(Some("x"))),
        (
            &[("x-trino-session", "group=x,group=y")],
            Trino,
            "s:group",
            Err("x-trino-session: group is there twice"),
        ),
        (&[("x-trino-session", "group")], Trino, "s:group", Err("x-trino-session: 'group' has no value")),
        (&[("x-trino-session", "group=%ff")], Trino, "s:group", Err("x-trino-session: group is no text")),
        (
            &[("x-trino-source", "a"), ("x-trino-source", "b")],
            Trino,
            "h:source",
            Err("x-trino-source is there twice"),
        ),
        (&[("idempotency-key", "k")], Trino, "h:source f:Idempotency-Key", Ok(Some("k"))),
        (&[], Trino, "", Ok(None)),
    ];
    for (headers, family, class_sources, expected) in cases {
        let headers = headers.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
        let call = Call {
            method: Method::Post,
            path: "/".into(),
            headers,
            body: Vec::new(),
            closes_connection: false,
        };
        let sources = FieldSources { class: parse_sources(class_sources), ..FieldSources::default() };
        let class = read_fields(&call, family, &sources).map(|fields| fields.class);
        let class = class.map_err(|error| error.to_string());
        assert_eq!(class, expected.map(|class| class.map(str::to_owned)).map_err(str::to_owned), "{call:?}");
    }
}

#[test]
fn a_page_is_encoded_as_the_document_that_clients_expect() {
    let rows =
        |text: &str| PageContent { rows: text.as_bytes().to_vec(), elapsed_ms: 7, ..PageContent::default() };
    let rejected = PageContent { error: Some(QueryError::rejected(Some(500))), ..PageContent::default() };
    let cases = [
        (rows(""), None, StatementState::Queued, 0, 0),
        (rows("a\tb\nc\td\n"), None, StatementState::Running, 2, 2),
        (rows("a\t\tb\n"), Some(ResultEnd::Returned), StatementState::Finished, 1, 3),
        (rows(""), Some(ResultEnd::Returned), StatementState::Finished, 0, 1),
        (rejected, Some(ResultEnd::Rejected), StatementState::Failed, 0, 0),
    ];
    for (content, end, state, row_count, column_count) in cases {
        let next = end.is_none().then(|| "http://h/next".to_owned());
        let links = PageLinks { id: "1_2".into(), info: "http://h/info".into(), next: next.clone() };
        let document: Document = serde_json::from_slice(&encode(&content, end, links)).unwrap();
        assert_eq!((document.id.as_str(), document.info_uri.as_str()), ("1_2", "http://h/info"));
        let text = String::from_utf8_lossy(&content.rows).into_owned();
        let data = document.data.clone().unwrap_or_default();
        assert_eq!(data.iter().map(|row| row.join("\t") + "\n").collect::<String>(), text);
        assert_eq!((document.stats.state, document.next_uri), (state, next));
        assert_eq!(document.data.map_or(0, |d| d.len()), row_count);
        assert_eq!(document.columns.map_or(0, |c| c.len()), column_count);
        assert_eq!(document.error, content.error);
    }
    let page = encode(&rows("a\n"), None, PageLinks { id: "1_2".into(), info: "i".into(), next: None });
    let text = String::from_utf8(page).unwrap();
    for name in [
        "\"infoUri\"",
        "\"typeSignature\"",
        "\"rawType\"",
        "\"elapsedTimeMillis\":7",
        "\"state\":\"RUNNING\"",
    ] {
        assert!(text.contains(name), "{name} is missing in {text}");
    }
}

#[test]
fn responses_have_their_headers_and_for_head_no_body() {
    let response =
        Response { status: 429, headers: vec![("Retry-After", "1".to_owned())], body: b"{}".to_vec() };
    let status_and_headers = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\n";
    let content_headers = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n";
    let encoded =
        |closes_connection, method| String::from_utf8(response.encode(closes_connection, method)).unwrap();
    assert_eq!(encoded(false, Method::Get), format!("{status_and_headers}{content_headers}{{}}"));
    assert_eq!(
        encoded(true, Method::Head),
        format!("{status_and_headers}Connection: close\r\n{content_headers}")
    );
    let empty = Response { status: 204, headers: Vec::new(), body: Vec::new() };
    assert_eq!(empty.encode(false, Method::Delete), b"HTTP/1.1 204 No Content\r\n\r\n");
}
