//! The discovery service's frames, and the list that the configuration holds.

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
fn discovery_frames_and_known_lists_say_the_same() {
    let listed =
        |id, state| Endpoint { id, address: "10.1.0.9:7001".parse().unwrap(), state, zone: 1, kind: 0 };
    let input = frame(41, true, &[listed(0x00c4_1f7a, 0), listed(2, 1), listed(3, 2)]);
    for cut in 0..input.len() {
        assert_eq!(decode(&input[..cut]), Ok(None), "cut after {cut} bytes");
    }
    let decoded = decode(&input).unwrap().expect("a complete frame");
    let Frame::Event(event) = decoded.value else { panic!("no event") };
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
    let mut odd = frame(1, true, &[]);
    odd[3] += 1;
    odd.push(0);
    let mut state = frame(
        1,
        true,
        &[Endpoint { id: 1, address: "10.0.0.1:1".parse().unwrap(), state: 7, zone: 0, kind: 0 }],
    );
    assert!(decode(&state).is_err());
    state[23] = 0;
    assert!(decode(&state).is_ok());
    for (input, says) in [
        (vec![0, 0, 0, 8, 0, 0, 0, 0, 0, 0, 0, 0], "frame length is 8 bytes, not between 9 and 4194304"),
        (vec![0xff, 0xff, 0xff, 0xff], "frame length is 4294967295 bytes, not between 9 and 4194304"),
        (unknown_kind, "frame kind is 9, not 0, 1 or 2"),
        (odd, "records have 1 bytes, not a multiple of 27"),
    ] {
        let error = decode(&input).expect_err(says);
        assert_eq!(error.to_string(), says);
    }
}

const KNOWN: &str = include_str!("../files/known.json");
const KNOWN_REFUSALS: &str = include_str!("../files/known-refusals.txt");
const KNOWN_REFUSAL_COUNT: usize = 23;

fn read_known(text: &str) -> Result<Vec<WatchEvent>, String> {
    let known: Known = serde_json::from_str(text).map_err(|error| error.to_string())?;
    known_events(&known, &names()).map_err(|error| error.to_string())
}

/// The list and the texts are those of the version before the program's terms were changed.
#[test]
fn a_known_list_of_the_version_before_is_read_and_refused_as_before() {
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
    assert_eq!(read_known(KNOWN), Ok(vec![event]));
    let cases: Vec<&str> = KNOWN_REFUSALS.trim().split("\n\n").collect();
    assert_eq!(cases.len(), KNOWN_REFUSAL_COUNT);
    for case in cases {
        let (text, expected) = match case.lines().collect::<Vec<_>>()[..] {
            [removed, inserted, expected] => {
                let removed = removed.strip_prefix("- ").expect(case);
                let inserted = inserted.strip_prefix('+').expect(case).trim_start();
                assert!(KNOWN.contains(removed), "{removed} is not in the list");
                (KNOWN.replacen(removed, inserted, 1), expected)
            }
            [complete, expected] => (complete.strip_prefix("= ").expect(case).to_owned(), expected),
            _ => panic!("{case}"),
        };
        assert_eq!(read_known(&text), Err(expected.strip_prefix("! ").expect(case).to_owned()));
    }
}
