//! Calls, the fields of a request and documents, as tables of cases.

use larchfall_paged_rest::call::{Call, Method, Progress, Response, decode};
use larchfall_paged_rest::cursor::ResultEnd;
use larchfall_paged_rest::document::{Document, PageContent, PageLinks, QueryError, StatementState, encode};
use larchfall_paged_rest::request_fields::{FieldSource, FieldSources, HeaderFamily, read as read_fields};
use proptest::prelude::*;

const MAX_BODY_BYTES: usize = 64;

fn calls() -> Vec<(Vec<u8>, Call)> {
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
fn a_call_is_read_however_it_is_split_and_leaves_what_follows_it() {
    for (bytes, call) in calls() {
        for cut in 0..bytes.len() {
            assert_eq!(
                decode(&bytes[..cut], MAX_BODY_BYTES),
                Ok(Progress::Incomplete),
                "cut at {cut}: {call:?}"
            );
        }
        let next = [&bytes[..], b"GET"].concat();
        assert_eq!(decode(&next, MAX_BODY_BYTES), Ok(Progress::Complete { call, length: bytes.len() }));
    }
}

#[test]
fn what_is_no_call_is_refused_with_its_status_and_text() {
    let long = |n: usize| format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(n));
    let lines = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    let body = |n: usize| format!("POST / HTTP/1.1\r\nContent-Length: {n}\r\n\r\n{}", "x".repeat(n));
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("SSH-2.0-x\r\n\r\n".to_owned(), 400, "not HTTP"),
        (long(17_000), 431, "head too long"),
        (long(17_000)[..17_000].to_owned(), 431, "head too long"),
        (lines, 431, "head too long"),
        (body(MAX_BODY_BYTES + 1), 413, "body too long"),
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
    for (bytes, status, why) in cases {
        let shown = &bytes[..bytes.len().min(60)];
        let error = decode(bytes.as_bytes(), MAX_BODY_BYTES).expect_err(shown);
        assert_eq!((error.status(), &error.to_string()[..]), (status, why), "{shown}");
    }
    let whole = body(MAX_BODY_BYTES);
    assert!(
        matches!(decode(whole.as_bytes(), MAX_BODY_BYTES), Ok(Progress::Complete { .. })),
        "at the limit"
    );
    let expects = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(decode(expects, MAX_BODY_BYTES), Ok(Progress::ExpectsContinue));
    assert_eq!(
        decode(&[&expects[..], b"x"].concat(), MAX_BODY_BYTES),
        Ok(Progress::Incomplete),
        "it has gone on"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes, it is more, a call within its bytes, or no call; and a longer piece of it never says less.
    #[test]
    fn any_bytes_are_read_without_a_fault(
        which in 0..5_usize,
        changes in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..4),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = calls().swap_remove(which).0;
        for (at, to) in changes {
            let at = at.index(bytes.len());
            bytes[at] = to;
        }
        let whole = decode(&bytes, MAX_BODY_BYTES);
        if let Ok(Progress::Complete { length, .. }) = &whole {
            prop_assert!(*length <= bytes.len());
            prop_assert_eq!(&decode(&bytes[..*length], MAX_BODY_BYTES), &whole);
        }
        let part = decode(&bytes[..cut.index(bytes.len())], MAX_BODY_BYTES);
        if !matches!(part, Ok(Progress::Incomplete | Progress::ExpectsContinue)) {
            prop_assert_eq!(part, whole, "what was read of a part holds for the whole");
        }
    }
}

fn sources(text: &str) -> Vec<FieldSource> {
    text.split_whitespace()
        .map(|one| match one.split_once(':').unwrap() {
            ("h", name) => FieldSource::FamilyHeader(name.into()),
            ("f", name) => FieldSource::Header(name.into()),
            ("s", name) => FieldSource::SessionProperty(name.into()),
            (_, value) => FieldSource::Value(value.into()),
        })
        .collect()
}

#[test]
fn the_first_source_that_a_call_has_counts_and_errors_name_it() {
    use HeaderFamily::{Both, Presto, Trino};
    // Headers, the family that is spoken, the sources of the request class, what is found.
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
        let sources = FieldSources { class: sources(class_sources), ..FieldSources::default() };
        let class = read_fields(&call, family, &sources).map(|fields| fields.class);
        let class = class.map_err(|error| error.to_string());
        assert_eq!(class, expected.map(|class| class.map(str::to_owned)).map_err(str::to_owned), "{call:?}");
    }
}

#[test]
fn a_page_is_the_document_that_clients_expect() {
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
    for (content, end, state, count, columns) in cases {
        let next = end.is_none().then(|| "http://h/next".to_owned());
        let links = PageLinks { id: "1_2".into(), info: "http://h/info".into(), next: next.clone() };
        let read: Document = serde_json::from_slice(&encode(&content, end, links)).unwrap();
        assert_eq!((read.id.as_str(), read.info_uri.as_str()), ("1_2", "http://h/info"));
        let text = String::from_utf8_lossy(&content.rows).into_owned();
        let data = read.data.clone().unwrap_or_default();
        assert_eq!(data.iter().map(|row| row.join("\t") + "\n").collect::<String>(), text);
        assert_eq!((read.stats.state, read.next_uri), (state, next));
        assert_eq!(read.data.map_or(0, |d| d.len()), count);
        assert_eq!(read.columns.map_or(0, |c| c.len()), columns);
        assert_eq!(read.error, content.error);
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
        assert!(text.contains(name), "{name} in {text}");
    }
}

#[test]
fn a_response_is_encoded_with_its_headers_and_none_of_its_body_for_head() {
    let response =
        Response { status: 429, headers: vec![("Retry-After", "1".to_owned())], body: b"{}".to_vec() };
    let head = "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\n";
    let length = "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n";
    let text =
        |closes_connection, method| String::from_utf8(response.encode(closes_connection, method)).unwrap();
    assert_eq!(text(false, Method::Get), format!("{head}{length}{{}}"));
    assert_eq!(text(true, Method::Head), format!("{head}Connection: close\r\n{length}"));
    let empty = Response { status: 204, headers: Vec::new(), body: Vec::new() };
    assert_eq!(empty.encode(false, Method::Delete), b"HTTP/1.1 204 No Content\r\n\r\n");
}
