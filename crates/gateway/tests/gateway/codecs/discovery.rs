//! Frames of the discovery service, and the `known` endpoint list in the configuration.

use larchfall_config::Names;
use larchfall_gateway::codec::discovery::{
    EndpointEntry, Frame, Known, WatchEvent, decode, encode_watch_request, known_events,
};
use larchfall_policy::types::EngineState;
use larchfall_stub::discovery::{Endpoint, frame};

fn names() -> Names {
    let list = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Names { zones: list(&["east", "west"]), kinds: list(&["std", "big"]), ..Names::default() }
}

#[test]
fn a_discovery_frame_and_a_known_list_decode_to_the_same_entries() {
    let endpoint =
        |id, state| Endpoint { id, address: "10.1.0.9:7001".parse().unwrap(), state, zone: 1, kind: 0 };
    let input = frame(41, true, &[endpoint(0x00c4_1f7a, 0), endpoint(2, 1), endpoint(3, 2)]);
    for length in 0..input.len() {
        assert_eq!(decode(&input[..length]), Ok(None), "truncated to {length} bytes");
    }
    let decoded = decode(&input).unwrap().expect("a complete frame");
    let Frame::Event(event) = decoded.value else { panic!("the frame is not decoded as an event") };
    assert_eq!((decoded.length, event.revision, event.is_full_list), (input.len(), 41, true));
    let states: Vec<_> = event.entries.iter().map(|e| e.state).collect();
    assert_eq!(states, [EngineState::Ready, EngineState::Draining, EngineState::Gone]);
    let json = r#"{"rev":41,"notices":[{"rev":41,"pool":{"generation":7,"reset":true,"instances":[
        {"instanceId":"s-00c41f7a","hostPort":"10.1.0.9:7001","zone":"west","machineType":"std","cell":0,
         "lifecycle":"up","weight":1,"startedAtMs":0}]}}]}"#;
    let known = known_events(&serde_json::from_str(json).unwrap(), &names()).unwrap();
    assert_eq!(known[0].entries[0], event.entries[0]);
    assert_eq!((known[0].revision, known[0].is_full_list), (41, true));
    assert_eq!(encode_watch_request(41), [0, 0, 0, 0, 0, 0, 0, 41]);
}

#[test]
fn malformed_discovery_frames_are_rejected() {
    let mut unknown_kind = frame(1, true, &[]);
    unknown_kind[12] = 9;
    let mut partial_record = frame(1, true, &[]);
    partial_record[3] += 1;
    partial_record.push(0);
    let mut invalid_state = frame(
        1,
        true,
        &[Endpoint { id: 1, address: "10.0.0.1:1".parse().unwrap(), state: 7, zone: 0, kind: 0 }],
    );
    assert!(decode(&invalid_state).is_err());
    invalid_state[23] = 0;
    assert!(decode(&invalid_state).is_ok());
    for (input, expected) in [
        (vec![0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0], "frame length is 8 bytes, not between 9 and 4194304"),
        (vec![0xff, 0xff, 0xff, 0xff], "frame length is 4294967295 bytes, not between 9 and 4194304"),
        (unknown_kind, "frame kind is 9, not 0, 1 or 2"),
        (partial_record, "records have 1 bytes, not a multiple of 27"),
    ] {
        let error = decode(&input).expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}

const KNOWN_LIST: &str = include_str!("../files/known.json");
const REJECTED_KNOWN_LISTS: &str = include_str!("../files/known-refusals.txt");
const REJECTED_KNOWN_LIST_COUNT: usize = 23;

fn parse_known_list(text: &str) -> Result<Vec<WatchEvent>, String> {
    let known: Known = serde_json::from_str(text).map_err(|error| error.to_string())?;
    known_events(&known, &names()).map_err(|error| error.to_string())
}

/// The list and the error texts in the files are those of the previous version, which used other terms.
#[test]
fn a_known_list_of_the_previous_version_is_accepted_or_rejected_as_before() {
    let entry = EndpointEntry {
        id: 0x00c4_1f7a,
        address: "10.1.0.9:7001".parse().unwrap(),
        state: EngineState::Draining,
        zone: 1,
        kind: 0,
        cell: 3,
        started_ms: 5,
    };
    let event = WatchEvent { revision: 41, is_full_list: true, entries: vec![entry] };
    assert_eq!(parse_known_list(KNOWN_LIST), Ok(vec![event]));
    let cases: Vec<&str> = REJECTED_KNOWN_LISTS.trim().split("\n\n").collect();
    assert_eq!(cases.len(), REJECTED_KNOWN_LIST_COUNT);
    for case in cases {
        let (text, expected) = match case.lines().collect::<Vec<_>>()[..] {
            [removed, inserted, expected] => {
                let removed = removed.strip_prefix("- ").expect(case);
                let inserted = inserted.strip_prefix('+').expect(case).trim_start();
                assert!(KNOWN_LIST.contains(removed), "{removed} is not in known.json");
                (KNOWN_LIST.replacen(removed, inserted, 1), expected)
            }
            [complete, expected] => (complete.strip_prefix("= ").expect(case).to_owned(), expected),
            _ => panic!("{case}"),
        };
        assert_eq!(parse_known_list(&text), Err(expected.strip_prefix("! ").expect(case).to_owned()));
    }
}
