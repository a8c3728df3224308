//! Calls, the words of a request and documents, as tables of cases.

use larchfall_paged_rest::call::{Call, Malformed, Read, Verb, read};
use larchfall_paged_rest::cursor::End;
use larchfall_paged_rest::document::{Addresses, Body, Document, Fault, State, json};
use larchfall_paged_rest::words::{Family, Source, Sources, Worded, read as words};
use proptest::prelude::*;

const LONGEST: usize = 64;

fn calls() -> Vec<(Vec<u8>, Call)> {
    let call = |verb, path: &str, head: &[(&str, &str)], body: &[u8], closes| Call {
        verb,
        path: path.to_owned(),
        head: head.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect(),
        body: body.to_vec(),
        closes,
    };
    vec![
        (
            b"GET /v1/info?x=1 HTTP/1.1\r\nHost: a\r\n\r\n".to_vec(),
            call(Verb::Get, "/v1/info", &[("host", "a")], b"", false),
        ),
        (
            b"POST /v1/statement HTTP/1.1\r\nContent-Length: 8\r\nX-Trino-User:  me \r\n\r\nselect 1".to_vec(),
            call(
                Verb::Post,
                "/v1/statement",
                &[("content-length", "8"), ("x-trino-user", "me")],
                b"select 1",
                false,
            ),
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nsel\r\n5\r\nect 1\r\n0\r\nA: b\r\n\r\n".to_vec(),
            call(Verb::Post, "/", &[("transfer-encoding", "chunked")], b"select 1", false),
        ),
        (
            b"DELETE /p HTTP/1.1\r\nConnection: Keep-Alive, Close\r\n\r\n".to_vec(),
            call(Verb::Delete, "/p", &[("connection", "Keep-Alive, Close")], b"", true),
        ),
        (b"PATCH /p HTTP/1.0\r\n\r\n".to_vec(), call(Verb::Other, "/p", &[], b"", true)),
    ]
}

#[test]
fn a_call_is_read_however_it_is_split_and_leaves_what_follows_it() {
    for (bytes, call) in calls() {
        for cut in 0..bytes.len() {
            assert_eq!(read(&bytes[..cut], LONGEST), Ok(Read::More), "cut at {cut}: {call:?}");
        }
        let next = [&bytes[..], b"GET"].concat();
        assert_eq!(read(&next, LONGEST), Ok(Read::Call(call, bytes.len())));
    }
}

#[test]
fn what_is_no_call_is_told_so_with_its_status() {
    let long = |n: usize| format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(n));
    let lines = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(65));
    let body = |n: usize| format!("POST / HTTP/1.1\r\nContent-Length: {n}\r\n\r\n{}", "x".repeat(n));
    let chunked = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let cases = [
        ("SSH-2.0-x\r\n\r\n".to_owned(), 400),
        (long(17_000), 431),
        (long(17_000)[..17_000].to_owned(), 431),
        (lines, 431),
        (body(LONGEST + 1), 413),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx".to_owned(), 400),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\nx".to_owned(), 400),
        ("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n".to_owned(), 400),
        ("POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx".to_owned(), 400),
        ("POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n".to_owned(), 400),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_owned(), 501),
        ("POST / HTTP/1.1\r\nExpect: magic\r\n\r\n".to_owned(), 417),
        (format!("{chunked}zz\r\n"), 400),
        (format!("{chunked}41\r\n"), 413),
        (format!("{chunked}ffffffffffffffff\r\n"), 413),
        (format!("{chunked}1\r\nxy\r\n"), 400),
    ];
    for (bytes, status) in cases {
        let shown = &bytes[..bytes.len().min(60)];
        assert!(
            matches!(read(bytes.as_bytes(), LONGEST), Err(Malformed { status: s, .. }) if s == status),
            "{shown}"
        );
    }
    let whole = body(LONGEST);
    assert!(matches!(read(whole.as_bytes(), LONGEST), Ok(Read::Call(..))), "at the limit");
    let expects = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    assert_eq!(read(expects, LONGEST), Ok(Read::Continue));
    assert_eq!(read(&[&expects[..], b"x"].concat(), LONGEST), Ok(Read::More), "it has gone on");
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
        let whole = read(&bytes, LONGEST);
        if let Ok(Read::Call(_, used)) = &whole {
            prop_assert!(*used <= bytes.len());
            prop_assert_eq!(&read(&bytes[..*used], LONGEST), &whole);
        }
        let part = read(&bytes[..cut.index(bytes.len())], LONGEST);
        if !matches!(part, Ok(Read::More | Read::Continue)) {
            prop_assert_eq!(part, whole, "what was read of a part holds for the whole");
        }
    }
}

fn source(text: &str) -> Vec<Source> {
    text.split_whitespace()
        .map(|one| match one.split_once(':').unwrap() {
            ("h", name) => Source::Header(name.into()),
            ("f", name) => Source::Field(name.into()),
            ("s", name) => Source::Session(name.into()),
            (_, value) => Source::Value(value.into()),
        })
        .collect()
}

#[test]
fn the_first_source_that_a_call_has_counts_and_faults_name_it() {
    use Family::{Both, Presto, Trino};
    // Headers, the family that is spoken, the sources of the request class, what is found.
    type Case<'a> = (&'a [(&'a str, &'a str)], Family, &'a str, Result<Option<&'a str>, &'a str>);
    let cases: [Case; 13] = [
        (&[("x-trino-source", "report")], Trino, "h:Source v:look", Ok(Some("report"))),
        (&[("x-trino-source", "")], Trino, "h:Source v:look", Ok(Some("look"))),
        (&[("x-trino-source", "report")], Presto, "h:Source", Ok(None)),
        (&[("x-presto-source", "report")], Both, "h:source", Ok(Some("report"))),
        (&[("x-presto-source", "a"), ("x-trino-user", "b")], Both, "h:source", Err("both families")),
        (&[("x-trino-session", "a=1, group = season%20report")], Trino, "s:group", Ok(Some("season report"))),
        (&[("x-trino-session", "a=1"), ("x-trino-session", "group=x")], Trino, "s:group", Ok(Some("x"))),
        (&[("x-trino-session", "group=x,group=y")], Trino, "s:group", Err("group is there twice")),
        (&[("x-trino-session", "group")], Trino, "s:group", Err("has no value")),
        (&[("x-trino-session", "group=%ff")], Trino, "s:group", Err("is no text")),
        (
            &[("x-trino-source", "a"), ("x-trino-source", "b")],
            Trino,
            "h:source",
            Err("x-trino-source is there twice"),
        ),
        (&[("idempotency-key", "k")], Trino, "h:source f:Idempotency-Key", Ok(Some("k"))),
        (&[], Trino, "", Ok(None)),
    ];
    for (head, family, sources, expected) in cases {
        let head = head.iter().map(|(n, v)| ((*n).to_owned(), (*v).to_owned())).collect();
        let call = Call { verb: Verb::Post, path: "/".into(), head, body: Vec::new(), closes: false };
        let sources = Sources { class: source(sources), ..Sources::default() };
        match (words(&call, family, &sources), expected) {
            (Ok(Worded { class, .. }), Ok(wanted)) => assert_eq!(class.as_deref(), wanted, "{call:?}"),
            (Err(why), Err(part)) => assert!(why.contains(part), "{why}"),
            (got, wanted) => panic!("{got:?} for {wanted:?}"),
        }
    }
}

#[test]
fn a_page_is_the_document_that_clients_expect() {
    let rows = |text: &str| Body { rows: text.as_bytes().to_vec(), elapsed_ms: 7, ..Body::default() };
    let fault = Body { fault: Some(Fault::pushed_back(Some(500))), ..Body::default() };
    let cases = [
        (rows(""), None, State::Queued, 0, 0),
        (rows("a\tb\nc\td\n"), None, State::Running, 2, 2),
        (rows("a\t\tb\n"), Some(End::Returned), State::Finished, 1, 3),
        (rows(""), Some(End::Returned), State::Finished, 0, 1),
        (fault, Some(End::PushedBack), State::Failed, 0, 0),
    ];
    for (body, end, state, count, columns) in cases {
        let next = end.is_none().then(|| "http://h/next".to_owned());
        let to = Addresses { id: "1_2", info: "http://h/info".into(), next: next.clone() };
        let read: Document = serde_json::from_slice(&json(&body, end, to)).unwrap();
        assert_eq!((read.id.as_str(), read.info_uri.as_str()), ("1_2", "http://h/info"));
        let text = String::from_utf8_lossy(&body.rows).into_owned();
        let data = read.data.clone().unwrap_or_default();
        assert_eq!(data.iter().map(|row| row.join("\t") + "\n").collect::<String>(), text);
        assert_eq!((read.stats.state, read.next_uri), (state, next));
        assert_eq!(read.data.map_or(0, |d| d.len()), count);
        assert_eq!(read.columns.map_or(0, |c| c.len()), columns);
        assert_eq!(read.error, body.fault);
    }
    let page = json(&rows("a\n"), None, Addresses { id: "1_2", info: "i".into(), next: None });
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
