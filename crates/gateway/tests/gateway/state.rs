//! What the gateway keeps in memory, part by part, without the program.

use crate::in_process::{at_ms, in_coroutine};
use larchfall_gateway::codec::discovery::{EndpointEntry, WatchEvent};
use larchfall_gateway::codec::message_pack::{self, Response};
use larchfall_gateway::state::client_connections::ClientConnections;
use larchfall_gateway::state::counters::Counters;
use larchfall_gateway::state::engine_table::{EndpointChanges, EngineTable};
use larchfall_gateway::state::limits::Limits;
use larchfall_gateway::state::response_writer::{MAX_OPEN_REQUESTS, MessageIdCheck};
use larchfall_gateway::state::stall_detector::StallDetector;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{EngineState, Outcome};
use may::io::WaitIo;
use std::net::{SocketAddrV4, TcpListener};

#[test]
fn what_is_read_after_a_stall_may_be_as_old_as_the_stall() {
    struct Case {
        what: &'static str,
        slept_since: u64,
        read_time: u64,
        expected: u64,
    }
    let case = |what, slept_since, read_time, expected| Case { what, slept_since, read_time, expected };
    // The timer last came by at 100, and comes next with the read.
    let cases = [
        case("asleep all through it", 50, 2100, 100),
        case("a short one", 50, 140, 100),
        case("a late timer", 50, 135, 135),
        case("since within it", 120, 2100, 120),
        case("a new connection", 0, 2100, 100),
    ];
    for Case { what, slept_since, read_time, expected } in cases {
        let detector = StallDetector::start(at_ms(100));
        assert_eq!(
            detector.earliest_send_time(at_ms(slept_since), at_ms(read_time)),
            at_ms(expected),
            "{what}"
        );
    }
    let detector = StallDetector::start(at_ms(100));
    [600, 700, 720].iter().for_each(|now| _ = detector.record_timer_run(at_ms(*now)));
    assert_eq!(detector.earliest_send_time(at_ms(50), at_ms(730)), at_ms(100), "one stall after the other");
    let detector = StallDetector::start(at_ms(0));
    assert!(detector.record_timer_run(at_ms(2000)), "a long one");
    assert_eq!(detector.earliest_send_time(at_ms(10), at_ms(2020)), at_ms(10), "woken by the stall's end");
    assert_eq!(detector.earliest_send_time(at_ms(2030), at_ms(2040)), at_ms(2040), "went to sleep after it");
    for now in (2040..2400).step_by(20) {
        detector.record_timer_run(at_ms(now));
    }
    assert_eq!(detector.earliest_send_time(at_ms(10), at_ms(2400)), at_ms(2400), "long after it");
}

#[test]
fn after_a_long_stall_the_discovery_service_is_read_first() {
    struct Case {
        what: &'static str,
        stalled_until: u64,
        now: u64,
        discovery_heard: u64,
        expected: u64,
    }
    let case = |what, stalled_until, now, discovery_heard, expected| Case {
        what,
        stalled_until,
        now,
        discovery_heard,
        expected,
    };
    let cases = [
        case("none", 130, 140, 0, 0),
        case("a short one", 900, 910, 0, 0),
        case("not heard since", 2000, 2010, 100, 990),
        case("heard in the stall's first moment", 2000, 2010, 2000, 990),
        case("heard since", 2000, 2010, 2005, 50),
        case("heard since, and all was read", 2000, 2060, 2005, 0),
        case("a discovery service that is not there", 2000, 3000, 100, 0),
    ];
    for Case { what, stalled_until, now, discovery_heard, expected } in cases {
        let detector = StallDetector::start(at_ms(100));
        detector.record_timer_run(at_ms(stalled_until));
        (stalled_until..now).step_by(20).for_each(|now| _ = detector.record_timer_run(at_ms(now)));
        let catch_up = detector.discovery_catch_up(at_ms(now), at_ms(discovery_heard));
        assert_eq!(catch_up, Duration::from_millis(expected), "{what}");
    }
}

#[test]
fn limits_follow_the_machine_and_leave_descriptors_over() {
    for (memory, sockets) in [(192, 1024), (2048, 4096), (64, 128), (16, 30)] {
        let limits = Limits::new(memory, sockets).unwrap();
        assert!(limits.client_connections + limits.engine_connections + 16 <= sockets, "{limits:?}");
        assert!(limits.client_connections * 3 >= (sockets - 24), "clients hold a third at most: {limits:?}");
        assert!(limits.unsent_bytes <= memory << 18, "{limits:?}");
    }
    for (memory, sockets) in [(192, 0), (192, 24), (0, 1024)] {
        assert_eq!(Limits::new(memory, sockets), None, "{memory} MB, {sockets} sockets");
    }
}

fn entry(id: u32, port: u16, state: EngineState) -> EndpointEntry {
    let address = SocketAddrV4::new([10, 0, 0, 1].into(), port);
    EndpointEntry { id, address, state, zone: 0, kind: 0, cell: 0, started_ms: 5 }
}

#[test]
fn engines_are_distinguished_by_id_and_each_event_is_applied_once() {
    use EngineState::{Gone, Ready};
    struct Step<'a> {
        event: WatchEvent,
        updated: &'a [usize],
        added: &'a [usize],
        replaced: &'a [usize],
    }
    let event = |revision, is_full_list, entries: &[EndpointEntry]| WatchEvent {
        revision,
        is_full_list,
        entries: entries.to_vec(),
    };
    let steps = [
        Step {
            event: event(1, true, &[entry(7, 1, Ready), entry(8, 2, Ready)]),
            updated: &[0, 1],
            added: &[0, 1],
            replaced: &[],
        },
        Step { event: event(1, true, &[entry(9, 3, Ready)]), updated: &[], added: &[], replaced: &[] },
        Step { event: event(2, false, &[entry(8, 2, Gone)]), updated: &[1], added: &[], replaced: &[] },
        Step { event: event(4, false, &[entry(9, 2, Ready)]), updated: &[2], added: &[2], replaced: &[] },
        Step { event: event(3, true, &[]), updated: &[], added: &[], replaced: &[] },
        Step { event: event(5, true, &[entry(9, 4, Ready)]), updated: &[2, 0], added: &[2], replaced: &[2] },
    ];
    let mut engines = EngineTable::default();
    for Step { event, updated, added, replaced } in steps {
        let EndpointChanges { updated: updates, replaced: now_replaced, added: now_added } =
            engines.apply(&event);
        let now_updated: Vec<usize> = updates.iter().map(|update| update.index).collect();
        assert_eq!([&now_updated[..], &now_added, &now_replaced], [updated, added, replaced], "{event:?}");
        assert!(updates.iter().all(|update| update.engine.start_time == Some(Timestamp::from_micros(5000))));
    }
    let port = |engine| engines.instance(engine).map(|instance| instance.address.port());
    assert_eq!((engines.revision(), port(2), port(1)), (5, Some(4), Some(2)));
    assert_eq!(engines.gone(), [0, 1]);
    // What is removed leaves its index to another, even at the same address, and is told apart from it.
    let before = engines.instance(1);
    engines.remove(1);
    assert_eq!((engines.instance(1), engines.gone()), (None, vec![0]));
    let (back, never_listed) = (entry(8, 2, Ready), entry(11, 3, Gone));
    assert_eq!(
        engines.apply(&event(6, false, &[back, never_listed])).updated.len(),
        1,
        "gone before it was heard of"
    );
    assert_eq!(engines.instance(1).map(|instance| instance.address), before.map(|instance| instance.address));
    assert_ne!(engines.instance(1), before);
}

#[test]
fn a_request_has_one_answer_and_an_id_one_request() {
    in_coroutine(|| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let connections = ClientConnections::new(40);
        let registered = connections.register(stream.waker(), at_ms(0));
        let writer = registered.writer;
        assert_eq!(
            (writer.register_message_id(3), writer.register_message_id(3), writer.register_message_id(2)),
            (MessageIdCheck::Accepted, MessageIdCheck::Reused, MessageIdCheck::Reused)
        );
        writer.open_request(3, 30);
        assert!(writer.respond(3, &Response::Returned(b"rows")));
        assert!(!writer.respond(3, &Response::Errored("again")), "one answer and no more");
        assert_eq!(writer.register_message_id(4), MessageIdCheck::Accepted);
        writer.open_request(4, 40);
        assert_eq!((writer.cancel(4), writer.cancel(4)), (Some(40), None));
        assert!(!writer.respond(4, &Response::Pong), "nobody waits for it");
        let mut written = Vec::new();
        let take = |max: usize, written: &mut Vec<u8>| {
            writer.write(|bytes| {
                let taken = max.min(bytes.len());
                written.extend_from_slice(&bytes[..taken]);
                Ok::<_, ()>(taken)
            })
        };
        assert_eq!(take(2, &mut written), Ok(2));
        assert!(!writer.is_idle() && !connections.all_idle());
        take(100, &mut written).unwrap();
        let mut complete = Vec::new();
        message_pack::encode(&mut complete, 3, &Response::Returned(b"rows"));
        assert_eq!(written, complete);
        assert!(writer.is_idle() && connections.all_idle());
        // What nobody reads is bounded: past that, answers shrink to an error.
        writer.send(5, &Response::Returned(&[0; 200]));
        let mut written = Vec::new();
        writer.send(6, &Response::Returned(&[0; 200]));
        take(1000, &mut written).unwrap();
        assert!(written.len() < 300, "{} bytes", written.len());
        for id in 0..MAX_OPEN_REQUESTS as u32 {
            assert_eq!(writer.register_message_id(100 + id), MessageIdCheck::Accepted);
            writer.open_request(100 + id, id as usize);
        }
        assert_eq!(writer.register_message_id(200), MessageIdCheck::TooManyOpen);
        assert_eq!(writer.cancel_all().len(), MAX_OPEN_REQUESTS);
        connections.unregister(registered.id);
        assert!(connections.is_empty());
    });
}

#[test]
fn counters_tell_classes_and_outcomes_apart() {
    let counters = Counters::new(2);
    counters.update_class(0, |class| class.admitted += 2);
    counters.record_outcome(1, Outcome::Reset);
    counters.record_outcome(1, Outcome::NotSent);
    counters.update_class(9, |class| class.admitted += 1);
    let lines = counters.log_lines(&["a".into(), "b".into()]);
    assert!(
        lines[0].starts_with("request class counters, class: a, admitted: 2, returned: 0,"),
        "{}",
        lines[0]
    );
    assert!(
        lines[1].contains("attempts: 2,")
            && lines[1].contains("attempts_reset: 1,")
            && lines[1].contains("attempts_not_sent: 1")
    );
    assert_eq!(lines.len(), 3);
}
