//! Tests of the gateway's in-memory state, one module at a time, without the program.

use crate::in_process::{at_ms, in_coroutine};
use larchfall_gateway::codec::discovery::{EndpointEntry, WatchEvent};
use larchfall_gateway::codec::message_pack::{self, Response};
use larchfall_gateway::state::client_connections::{ClientConnections, ClientProtocol, ConnectionLimits};
use larchfall_gateway::state::counters::Counters;
use larchfall_gateway::state::engine_table::{EndpointChanges, EngineTable};
use larchfall_gateway::state::limits::{BYTES_PER_REQUEST, Limits};
use larchfall_gateway::state::memory::{MemoryPool, Purpose};
use larchfall_gateway::state::response_writer::{MAX_OPEN_REQUESTS, MessageIdCheck, ResponseWriter};
use larchfall_gateway::state::stall_detector::StallDetector;
use larchfall_policy::client_connection::ConnectionTimeouts;
use larchfall_policy::memory_budget::MemoryBudget;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{EngineState, Outcome};
use may::io::WaitIo;
use std::net::{SocketAddrV4, TcpListener};

const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits { total: 8, message_pack: 8 };
const CONNECTION_TIMEOUTS: ConnectionTimeouts =
    ConnectionTimeouts { idle: Duration::from_millis(5_000), message: Duration::from_millis(2_000) };

#[test]
fn a_message_read_after_a_stall_may_have_been_sent_at_its_beginning() {
    struct Case {
        description: &'static str,
        slept_since: u64,
        read_time: u64,
        expected: u64,
    }
    let case = |description, slept_since, read_time, expected| Case {
        description,
        slept_since,
        read_time,
        expected,
    };
    // The timer ran last at 100 ms and runs next at the time of the read.
    let cases = [
        case("the reader waited before and throughout the stall", 50, 2100, 100),
        case("a short stall", 50, 140, 100),
        case("a timer that runs late, without a stall", 50, 135, 135),
        case("the reader began to wait during the stall", 120, 2100, 120),
        case("a new connection", 0, 2100, 100),
    ];
    for Case { description, slept_since, read_time, expected } in cases {
        let detector = StallDetector::start(at_ms(100));
        assert_eq!(
            detector.earliest_send_time(at_ms(slept_since), at_ms(read_time)),
            at_ms(expected),
            "{description}"
        );
    }
    let detector = StallDetector::start(at_ms(100));
    [600, 700, 720].iter().for_each(|now| _ = detector.record_timer_run(at_ms(*now)));
    assert_eq!(detector.earliest_send_time(at_ms(50), at_ms(730)), at_ms(100), "consecutive stalls");
    let detector = StallDetector::start(at_ms(0));
    assert!(detector.record_timer_run(at_ms(2000)), "a long stall was not reported");
    assert_eq!(
        detector.earliest_send_time(at_ms(10), at_ms(2020)),
        at_ms(10),
        "the reader waited throughout the stall"
    );
    assert_eq!(
        detector.earliest_send_time(at_ms(2030), at_ms(2040)),
        at_ms(2040),
        "the reader began to wait after the stall"
    );
    for now in (2040..2400).step_by(20) {
        detector.record_timer_run(at_ms(now));
    }
    assert_eq!(
        detector.earliest_send_time(at_ms(10), at_ms(2400)),
        at_ms(2400),
        "a read long after the stall"
    );
}

#[test]
fn after_a_long_stall_requests_wait_for_the_discovery_service_to_be_read() {
    struct Case {
        description: &'static str,
        stalled_until: u64,
        now: u64,
        discovery_heard: u64,
        expected: u64,
    }
    let case = |description, stalled_until, now, discovery_heard, expected| Case {
        description,
        stalled_until,
        now,
        discovery_heard,
        expected,
    };
    let cases = [
        case("no stall", 130, 140, 0, 0),
        case("a short stall", 900, 910, 0, 0),
        case("no message from discovery since the stall", 2000, 2010, 100, 990),
        case("a message from discovery at the end of the stall", 2000, 2010, 2000, 990),
        case("a message from discovery after the stall", 2000, 2010, 2005, 50),
        case("a message from discovery, and the time to read further ones has passed", 2000, 2060, 2005, 0),
        case("an unreachable discovery service", 2000, 3000, 100, 0),
    ];
    for Case { description, stalled_until, now, discovery_heard, expected } in cases {
        let detector = StallDetector::start(at_ms(100));
        detector.record_timer_run(at_ms(stalled_until));
        (stalled_until..now).step_by(20).for_each(|now| _ = detector.record_timer_run(at_ms(now)));
        let catch_up = detector.discovery_catch_up(at_ms(now), at_ms(discovery_heard));
        assert_eq!(catch_up, Duration::from_millis(expected), "{description}");
    }
}

#[test]
fn limits_scale_with_memory_and_descriptors_and_leave_a_reserve() {
    for (memory, sockets) in [(192, 1024), (2048, 4096), (64, 128), (16, 30)] {
        let limits = Limits::new(memory, sockets).unwrap();
        assert!(limits.client_connections + limits.engine_connections + 16 <= sockets, "{limits:?}");
        assert!(
            limits.client_connections * 3 >= (sockets - 24),
            "clients get at least a third of the descriptors: {limits:?}"
        );
        assert!(limits.response_memory.max_bytes() <= memory << 18, "{limits:?}");
    }
    for (memory, sockets) in [(192, 0), (192, 24), (0, 1024)] {
        assert_eq!(Limits::new(memory, sockets), None, "{memory} MB, {sockets} sockets");
    }
}

/// Guards against shares that are guaranteed to fewer connections than may be open: half-read requests on the others took
/// what a request of a usual client needs.
#[test]
fn every_connection_that_may_be_open_has_memory_for_a_small_request() {
    const INPUT_BYTES: usize = 4096;
    for memory_mb in [16, 32, 48, 64, 96, 192, 2048] {
        for descriptors in [64, 256, 512, 1024, 4096] {
            let limits = Limits::new(memory_mb, descriptors).unwrap();
            let connections = limits.all_client_connections;
            for (budget, needed) in [
                (limits.request_memory, BYTES_PER_REQUEST + INPUT_BYTES),
                (limits.response_memory, INPUT_BYTES),
            ] {
                let pool = MemoryPool::new(budget);
                let greedy: Vec<_> = (1..connections)
                    .map(|_| {
                        let mut held = pool.account().empty_reservation(Purpose::ClientInput);
                        let mut bytes = 0;
                        while held.try_resize(bytes + INPUT_BYTES).is_ok() {
                            bytes += INPUT_BYTES;
                        }
                        held
                    })
                    .collect();
                let usual = pool.account().reserve(Purpose::Request, needed);
                let case = format!("{memory_mb} MB, {descriptors} descriptors, {needed} bytes");
                assert!(usual.is_ok(), "{case}: refused beside {} connections", greedy.len());
            }
        }
    }
}

fn entry(id: u32, port: u16, state: EngineState) -> EndpointEntry {
    let address = SocketAddrV4::new([10, 0, 0, 1].into(), port);
    EndpointEntry { id, address, state, zone: 0, kind: 0, cell: 0, started_ms: 5 }
}

#[test]
fn engines_are_identified_by_id_and_each_event_is_applied_once() {
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
    // A later engine may take the index of a removed one. Its instance differs even if the address is the same.
    let before = engines.instance(1);
    engines.remove(1);
    assert_eq!((engines.instance(1), engines.gone()), (None, vec![0]));
    let (relisted, never_listed) = (entry(8, 2, Ready), entry(11, 3, Gone));
    assert_eq!(
        engines.apply(&event(6, false, &[relisted, never_listed])).updated.len(),
        1,
        "an engine that is first listed as gone is not added"
    );
    assert_eq!(engines.instance(1).map(|instance| instance.address), before.map(|instance| instance.address));
    assert_ne!(engines.instance(1), before);
}

#[test]
fn each_request_gets_one_response_and_each_message_id_one_request() {
    in_coroutine(|| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let connections = ClientConnections::new(CONNECTION_LIMITS);
        let registered =
            connections.register(ClientProtocol::MessagePack, CONNECTION_TIMEOUTS, stream.waker(), at_ms(0));
        let memory = MemoryPool::new(MemoryBudget::new(40, 1, 0));
        let writer = ResponseWriter::new(registered.connection, memory.account());
        assert_eq!(
            (writer.register_message_id(3), writer.register_message_id(3), writer.register_message_id(2)),
            (MessageIdCheck::Accepted, MessageIdCheck::Reused, MessageIdCheck::Reused)
        );
        writer.open_request(3, 30);
        assert!(writer.respond(3, &Response::Returned(b"rows")));
        assert!(!writer.respond(3, &Response::Errored("again")), "a second response was written");
        assert_eq!(writer.register_message_id(4), MessageIdCheck::Accepted);
        writer.open_request(4, 40);
        assert_eq!((writer.cancel(4), writer.cancel(4)), (Some(40), None));
        assert!(!writer.respond(4, &Response::Pong), "a response to a cancelled request was written");
        let mut written = Vec::new();
        let write_up_to = |max: usize, written: &mut Vec<u8>| {
            writer.write(|bytes| {
                let taken = max.min(bytes.len());
                written.extend_from_slice(&bytes[..taken]);
                Ok::<_, ()>(taken)
            })
        };
        assert_eq!(write_up_to(2, &mut written), Ok(2));
        assert!(!writer.is_idle() && !connections.all_idle());
        write_up_to(100, &mut written).unwrap();
        let mut expected = Vec::new();
        message_pack::encode(&mut expected, 3, &Response::Returned(b"rows"));
        assert_eq!(written, expected);
        assert!(writer.is_idle() && connections.all_idle());
        // Unsent bytes of a connection are bounded: beyond the bound, a response is replaced by a short error.
        writer.send(5, &Response::Returned(&[0; 200]));
        let mut written = Vec::new();
        writer.send(6, &Response::Returned(&[0; 200]));
        write_up_to(1000, &mut written).unwrap();
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

/// Guards against clients that send messages and read no response: short responses were added without regard to the
/// memory for responses, up to 2 MiB on each connection.
#[test]
fn a_connection_is_not_read_once_its_unsent_responses_reach_the_memory_budget() {
    const BUDGET_BYTES: usize = 64 * 1024;
    const MAX_SHORT_RESPONSE_BYTES: usize = 128;
    in_coroutine(|| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let memory = MemoryPool::new(MemoryBudget::new(BUDGET_BYTES, 8, 0));
        let connections = ClientConnections::new(CONNECTION_LIMITS);
        let unread = [0; 8].map(|_| {
            let registered = connections.register(
                ClientProtocol::MessagePack,
                CONNECTION_TIMEOUTS,
                stream.waker(),
                at_ms(0),
            );
            ResponseWriter::new(registered.connection, memory.account())
        });
        for writer in &unread {
            let mut message_id = 0;
            while !writer.is_backlogged() {
                message_id += 1;
                writer.send(message_id, &Response::Errored("req is missing or unusable"));
                assert!((message_id as usize) < BUDGET_BYTES, "the connection is read without end");
            }
        }
        let held = memory.usage(Purpose::Response).held_bytes;
        let overshoot = unread.len() * MAX_SHORT_RESPONSE_BYTES;
        assert!(held <= BUDGET_BYTES + overshoot, "{held} of {BUDGET_BYTES} bytes");
        for writer in &unread {
            writer.write(|bytes| Ok::<_, ()>(bytes.len())).unwrap();
            assert!(!writer.is_backlogged());
        }
        assert_eq!(memory.usage(Purpose::Response).held_bytes, 0, "memory was not given back");
        unread[0].send(1, &Response::Returned(&[0; 1000]));
        unread[0].discard_unsent();
        assert_eq!(memory.usage(Purpose::Response).held_bytes, 0, "a closed connection holds memory");
    });
}

#[test]
fn counters_are_kept_per_class_and_outcome() {
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
