//! Connections to engines: connection permits, reuse of idle connections, and calls on a connection.

use crate::common;
use crate::in_process::{at_ms, in_coroutine, timers};
use larchfall_gateway::codec::engine_http;
use larchfall_gateway::engine::connection::{CallError, ConnectError, Connection};
use larchfall_gateway::platform::unix_time;
use larchfall_gateway::state::clock::Clock;
use larchfall_gateway::state::connection_permits::{ConnectionPermits, PermitWait};
use larchfall_gateway::state::connection_pool::{ConnectionPool, REUSE_DELAY};
use larchfall_gateway::state::engine_table::EngineInstance;
use larchfall_gateway::state::memory::{MemoryPool, Purpose, Reservation};
use larchfall_gateway::state::timers::Timers;
use larchfall_policy::memory_budget::MemoryBudget;
use larchfall_policy::time::Duration;
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

/// A connect timeout that no test reaches.
const CONNECT_TIMEOUT: StdDuration = StdDuration::from_secs(20);

fn instance(engine: usize, address: SocketAddr) -> EngineInstance {
    EngineInstance { engine, address: address.to_string().parse().unwrap(), generation: 1 }
}

/// Memory for replies from a pool of its own.
fn reply_memory(max_bytes: usize) -> Reservation {
    MemoryPool::new(MemoryBudget::new(max_bytes, 1, 0)).account().empty_reservation(Purpose::EngineReply)
}

fn open(engine: usize, address: SocketAddr) -> Connection {
    Connection::open(instance(engine, address), CONNECT_TIMEOUT, reply_memory(1 << 20)).unwrap()
}

fn pool(max_open: usize) -> Arc<ConnectionPool> {
    Arc::new(ConnectionPool::new(max_open, Duration::from_millis(10_000)))
}

fn wait_for_permit(timers: &Timers, wait_ms: u64) -> Option<PermitWait<'_>> {
    Some(PermitWait { timers, deadline: timers.clock().now() + Duration::from_millis(wait_ms) })
}

#[test]
fn idle_connections_are_reused_only_while_usable_for_the_same_instance() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let closing = TcpListener::bind("127.0.0.1:0").unwrap();
        let closing_address = closing.local_addr().unwrap();
        let here = instance(0, engine.address);
        let pool = pool(2);
        pool.put_back(open(0, engine.address), at_ms(0));
        assert!(
            pool.take_idle(instance(1, engine.address), at_ms(10)).is_none(),
            "a connection of another engine was reused"
        );
        let reused = pool.take_idle(here, at_ms(10)).expect("a fresh idle connection");
        assert_eq!(
            reused.usable_from,
            at_ms(0) + REUSE_DELAY,
            "a duplicate reply may arrive on the connection until then"
        );
        assert!(pool.take_idle(here, at_ms(10)).is_none(), "the same connection was handed out twice");
        pool.put_back(open(0, engine.address), at_ms(0));
        assert!(
            pool.take_idle(here, at_ms(9_000)).is_none(),
            "a connection near the engine's idle timeout was reused"
        );
        let connection = open(0, closing_address);
        drop(closing.accept().unwrap());
        common::wait_for("the engine's close to arrive", || (!connection.is_reusable()).then_some(()));
        pool.put_back(connection, at_ms(0));
        assert!(
            pool.take_idle(instance(0, closing_address), at_ms(1)).is_none(),
            "a connection closed by the engine was reused"
        );
        pool.put_back(open(0, engine.address), at_ms(0));
        assert!(
            pool.take_idle(instance(0, closing_address), at_ms(1)).is_none(),
            "a connection to the engine's former address was reused"
        );
        pool.put_back(open(0, engine.address), at_ms(0));
        let replaced = EngineInstance { generation: 2, ..here };
        assert!(
            pool.take_idle(replaced, at_ms(1)).is_none(),
            "a connection to the replaced process was reused"
        );
        pool.put_back(open(0, engine.address), at_ms(0));
        pool.close_idle(0);
        assert!(pool.take_idle(here, at_ms(1)).is_none(), "a connection was reused after close_idle");
    });
}

#[test]
fn the_most_recently_used_connection_past_its_reuse_delay_is_taken() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let pool = pool(4);
        [0, 20, 100].iter().for_each(|time| pool.put_back(open(0, engine.address), at_ms(*time)));
        let usable_from =
            |now| pool.take_idle(instance(0, engine.address), at_ms(now)).map(|reused| reused.usable_from);
        assert_eq!(
            usable_from(110),
            Some(at_ms(20) + REUSE_DELAY),
            "the most recently used of those past the delay"
        );
        assert_eq!(usable_from(60), Some(at_ms(0) + REUSE_DELAY), "the only one past the delay");
        assert_eq!(
            usable_from(110),
            Some(at_ms(100) + REUSE_DELAY),
            "none is past the delay, so the remaining one"
        );
    });
}

#[test]
fn permits_bound_all_connections_and_idle_connections_make_room() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let pool = pool(2);
        let timers = timers();
        let held = [pool.acquire(1, None), pool.acquire(1, None)];
        assert!(held.iter().all(Option::is_some));
        assert!(pool.acquire(1, None).is_none(), "acquired more permits than exist");
        assert!(
            pool.acquire(1, wait_for_permit(&timers, 1)).is_none(),
            "acquired a permit that nobody released"
        );
        for index in 0..4 {
            pool.put_back(open(index, engine.address), at_ms(index as u64));
        }
        let usage = pool.usage();
        assert_eq!(
            (usage.permits_held, usage.idle),
            (2, 1),
            "one idle connection may stay while both permits are held"
        );
        drop(held);
        let held = pool.acquire(1, None);
        assert!(held.is_some());
        assert!(
            pool.take_idle(instance(3, engine.address), at_ms(5)).is_some(),
            "the most recently returned connection was not kept"
        );
    });
}

#[test]
fn permits_are_granted_by_priority_then_in_order_of_arrival() {
    in_coroutine(|| {
        let permits = Arc::new(ConnectionPermits::new(1));
        let timers = timers();
        assert!(permits.acquire(1, None) && !permits.acquire(3, None));
        let order = Arc::new(Mutex::new(Vec::new()));
        let waiting: Vec<_> = [(1, 'a'), (3, 'b'), (1, 'c'), (2, 'd'), (3, 'e')]
            .into_iter()
            .map(|(priority, name)| {
                let before = permits.waiting();
                let (waiter_permits, order, timers) = (permits.clone(), order.clone(), timers.clone());
                let waiter = may::go!(move || {
                    let acquired = waiter_permits.acquire(priority, wait_for_permit(&timers, 20_000));
                    order.lock().unwrap().push(name);
                    waiter_permits.release();
                    acquired
                });
                while permits.waiting() <= before {
                    may::coroutine::sleep(StdDuration::from_millis(1));
                }
                waiter
            })
            .collect();
        permits.release();
        assert!(waiting.into_iter().all(|waiter| waiter.join().unwrap()));
        assert_eq!(order.lock().unwrap().iter().collect::<String>(), "bedac");
        assert!(permits.acquire(1, None), "the last waiter did not release its permit");
        assert!(!permits.acquire(1, wait_for_permit(&timers, 1)), "acquired a permit that nobody released");
        permits.release();
        assert!(permits.acquire(1, None), "a waiter that timed out holds a permit");
    });
}

#[test]
fn a_failed_call_reports_whether_it_was_sent_broken_or_timed_out() {
    in_coroutine(|| {
        let clock = Clock::start(unix_time());
        let within = |ms| clock.now() + Duration::from_millis(ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut open_connection = open(0, address);
        assert_eq!(
            open_connection.call(b"x", &clock, within(0)),
            Err(CallError::NotSent),
            "the deadline had passed before the call was sent"
        );
        assert_eq!(
            open_connection.call(b"x", &clock, within(30)),
            Err(CallError::TimedOut),
            "no reply before the deadline"
        );
        let mut cut = open(0, address);
        let _waiting = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let closer = std::thread::spawn(move || stream.read(&mut [0; 8]));
        assert_eq!(
            cut.call(b"x", &clock, within(20_000)),
            Err(CallError::Broken),
            "the engine closed the connection after the call"
        );
        closer.join().unwrap().unwrap();
        let refusing = common::refusing_address();
        let refused = Connection::open(instance(0, refusing.address), CONNECT_TIMEOUT, reply_memory(0));
        assert_eq!(refused.err(), Some(ConnectError::Refused));
        let no_time = Connection::open(instance(0, address), StdDuration::ZERO, reply_memory(0));
        assert_eq!(no_time.err(), Some(ConnectError::Unreachable));
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let mut connection = open(0, engine.address);
        for _ in 0..2 {
            let reply = connection.call(&engine_http::encode_load_call("h"), &clock, within(20_000)).unwrap();
            assert_eq!(reply.status, 200);
        }
    });
}

/// Guards against rows truncated by a content length that is too short, against taking the reply to one call for the
/// reply to the next, and against waiting for the rest of an incomplete reply as long as for a poll.
#[test]
fn incomplete_replies_and_surplus_bytes_are_detected() {
    struct Case {
        engine_writes: String,
        expected: Result<u16, CallError>,
        is_reusable_after: bool,
    }
    let rows = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n";
    let no_update = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n";
    let case = |engine_writes: String, expected, is_reusable_after| Case {
        engine_writes,
        expected,
        is_reusable_after,
    };
    let cases = [
        case(rows.to_owned(), Ok(200), true),
        case(format!("HTTP/1.1 103 Early\r\n\r\n{rows}"), Ok(200), true),
        case(format!("{rows}2\n"), Err(CallError::Broken), false),
        case(format!("{no_update}{no_update}"), Ok(202), false),
        case(rows[..20].to_owned(), Err(CallError::TimedOut), false),
        case(rows[..rows.len() - 1].to_owned(), Err(CallError::TimedOut), false),
    ];
    for Case { engine_writes, expected, is_reusable_after } in cases {
        in_coroutine(move || {
            let clock = Clock::start(unix_time());
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut connection = open(0, listener.local_addr().unwrap());
            let (mut engine, _) = listener.accept().unwrap();
            engine.write_all(engine_writes.as_bytes()).unwrap();
            let deadline = clock.now() + Duration::from_millis(600_000);
            let status = connection.call(b"x", &clock, deadline).map(|reply| reply.status);
            assert_eq!(status, expected, "{engine_writes}");
            assert!(status.is_err() || connection.is_reusable() == is_reusable_after, "{engine_writes}");
        });
    }
}

/// Guards against replies that nothing counts: on every connection to an engine 72 KiB could wait for the rest of a reply.
#[test]
fn replies_of_all_engine_connections_stay_within_their_memory() {
    const CONNECTIONS: usize = 40;
    const BUDGET_BYTES: usize = 256 * 1024;
    /// What each connection may hold beyond the budget.
    const FIRST_READ_BYTES: usize = 4096;
    in_coroutine(|| {
        let clock = Clock::start(unix_time());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let memory = MemoryPool::new(MemoryBudget::new(BUDGET_BYTES, CONNECTIONS, 0));
        let mut engines = Vec::new();
        let mut connections = Vec::new();
        for _ in 0..CONNECTIONS {
            let reply_memory = memory.account().empty_reservation(Purpose::EngineReply);
            let connection = Connection::open(instance(0, address), CONNECT_TIMEOUT, reply_memory);
            connections.push(connection.unwrap());
            let (mut engine, _) = listener.accept().unwrap();
            let half_reply = format!("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n{:30000}", "");
            engine.write_all(half_reply.as_bytes()).unwrap();
            engines.push(engine);
        }
        let ends: Vec<CallError> = connections
            .iter_mut()
            .map(|connection| {
                connection.call(b"x", &clock, clock.now() + Duration::from_millis(300)).unwrap_err()
            })
            .collect();
        let held = memory.usage(Purpose::EngineReply).held_bytes;
        assert!(held <= BUDGET_BYTES + CONNECTIONS * FIRST_READ_BYTES, "{held} of {BUDGET_BYTES} bytes");
        assert!(ends.contains(&CallError::Broken) && ends.contains(&CallError::TimedOut), "{ends:?}");
        drop(connections);
        assert_eq!(memory.usage(Purpose::EngineReply).held_bytes, 0);
    });
}
