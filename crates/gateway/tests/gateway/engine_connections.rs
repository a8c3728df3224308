//! Connections to engines: permits, idle connections, and calls on a connection.

use crate::common;
use crate::in_process::{in_coroutine, ms, timers};
use larchfall_gateway::codec::engine_http;
use larchfall_gateway::engine::connection::{CallError, ConnectError, Connection};
use larchfall_gateway::platform::unix_time;
use larchfall_gateway::state::clock::Clock;
use larchfall_gateway::state::connection_permits::{ConnectionPermits, PermitWait};
use larchfall_gateway::state::connection_pool::{ConnectionPool, REUSE_DELAY};
use larchfall_gateway::state::engine_table::EngineInstance;
use larchfall_gateway::state::timers::Timers;
use larchfall_policy::time::Duration;
use larchfall_stub::engine::{Engine, EngineBehavior};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration as StdDuration;

const LONG: StdDuration = StdDuration::from_secs(20);

fn instance(engine: usize, address: SocketAddr) -> EngineInstance {
    EngineInstance { engine, address: address.to_string().parse().unwrap(), generation: 1 }
}

fn open(engine: usize, address: SocketAddr) -> Connection {
    Connection::open(instance(engine, address), LONG).unwrap()
}

fn pool(max_open: usize) -> Arc<ConnectionPool> {
    Arc::new(ConnectionPool::new(max_open, Duration::from_millis(10_000)))
}

fn wait_for_permit(timers: &Timers, wait_ms: u64) -> Option<PermitWait<'_>> {
    Some(PermitWait { timers, deadline: timers.clock().now() + Duration::from_millis(wait_ms) })
}

#[test]
fn idle_connections_are_reused_only_while_they_are_good() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let closing = TcpListener::bind("127.0.0.1:0").unwrap();
        let closing_address = closing.local_addr().unwrap();
        let here = instance(0, engine.address);
        let pool = pool(2);
        pool.put_back(open(0, engine.address), ms(0));
        assert!(pool.take_idle(instance(1, engine.address), ms(10)).is_none(), "of another engine");
        let reused = pool.take_idle(here, ms(10)).expect("fresh");
        assert_eq!(reused.usable_from, ms(0) + REUSE_DELAY, "a duplicate answer may come on it until then");
        assert!(pool.take_idle(here, ms(10)).is_none(), "handed out once");
        pool.put_back(open(0, engine.address), ms(0));
        assert!(pool.take_idle(here, ms(9_000)).is_none(), "near the engine's idle timeout");
        let connection = open(0, closing_address);
        drop(closing.accept().unwrap());
        common::wait_for("the end to arrive", || (!connection.is_reusable()).then_some(()));
        pool.put_back(connection, ms(0));
        assert!(pool.take_idle(instance(0, closing_address), ms(1)).is_none(), "closed by the engine");
        pool.put_back(open(0, engine.address), ms(0));
        assert!(pool.take_idle(instance(0, closing_address), ms(1)).is_none(), "its engine has moved");
        pool.put_back(open(0, engine.address), ms(0));
        let replaced = EngineInstance { generation: 2, ..here };
        assert!(pool.take_idle(replaced, ms(1)).is_none(), "of a process that was there before");
        pool.put_back(open(0, engine.address), ms(0));
        pool.close_idle(0);
        assert!(pool.take_idle(here, ms(1)).is_none(), "its engine is gone");
    });
}

#[test]
fn the_last_used_of_the_connections_past_their_reuse_delay_is_taken() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let pool = pool(4);
        [0, 20, 100].iter().for_each(|time| pool.put_back(open(0, engine.address), ms(*time)));
        let usable_from =
            |now| pool.take_idle(instance(0, engine.address), ms(now)).map(|reused| reused.usable_from);
        assert_eq!(usable_from(110), Some(ms(20) + REUSE_DELAY), "the last used of those past the delay");
        assert_eq!(usable_from(60), Some(ms(0) + REUSE_DELAY), "another one past the delay");
        assert_eq!(usable_from(110), Some(ms(100) + REUSE_DELAY), "none is, and this one will be first");
    });
}

#[test]
fn permits_bound_all_connections_and_idle_ones_make_room() {
    in_coroutine(|| {
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let pool = pool(2);
        let timers = timers();
        let held = [pool.acquire(1, None), pool.acquire(1, None)];
        assert!(held.iter().all(Option::is_some));
        assert!(pool.acquire(1, None).is_none(), "all taken");
        assert!(pool.acquire(1, wait_for_permit(&timers, 1)).is_none(), "none came free");
        for index in 0..4 {
            pool.put_back(open(index, engine.address), ms(index as u64));
        }
        let usage = pool.usage();
        assert_eq!(
            (usage.permits_held, usage.idle),
            (2, 1),
            "only the giver's own may stay beside two permits"
        );
        drop(held);
        let held = pool.acquire(1, None);
        assert!(held.is_some());
        assert!(pool.take_idle(instance(3, engine.address), ms(5)).is_some(), "the youngest was kept");
    });
}

#[test]
fn permits_go_by_priority_then_in_order_of_arrival() {
    in_coroutine(|| {
        let permits = Arc::new(ConnectionPermits::new(1));
        let timers = timers();
        assert!(permits.acquire(1, None) && !permits.acquire(3, None));
        let order = Arc::new(Mutex::new(Vec::new()));
        let waiting: Vec<_> = [(1, 'a'), (3, 'b'), (1, 'c'), (2, 'd'), (3, 'e')]
            .into_iter()
            .map(|(priority, name)| {
                let before = permits.waiting();
                let (theirs, order, timers) = (permits.clone(), order.clone(), timers.clone());
                let waits = may::go!(move || {
                    let acquired = theirs.acquire(priority, wait_for_permit(&timers, 20_000));
                    order.lock().unwrap().push(name);
                    theirs.release();
                    acquired
                });
                while permits.waiting() <= before {
                    may::coroutine::sleep(StdDuration::from_millis(1));
                }
                waits
            })
            .collect();
        permits.release();
        assert!(waiting.into_iter().all(|waits| waits.join().unwrap()));
        assert_eq!(order.lock().unwrap().iter().collect::<String>(), "bedac");
        assert!(permits.acquire(1, None), "the last one left it free");
        assert!(!permits.acquire(1, wait_for_permit(&timers, 1)), "none came free");
        permits.release();
        assert!(permits.acquire(1, None), "who gave up waiting holds none");
    });
}

#[test]
fn calls_on_a_connection_fail_by_what_is_known() {
    in_coroutine(|| {
        let clock = Clock::start(unix_time());
        let within = |ms| clock.now() + Duration::from_millis(ms);
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut late = open(0, address);
        assert_eq!(late.call(b"x", &clock, within(0)), Err(CallError::NotSent), "no time to send");
        assert_eq!(late.call(b"x", &clock, within(30)), Err(CallError::TimedOut), "no reply");
        let mut cut = open(0, address);
        let _waiting = listener.accept().unwrap();
        let (mut stream, _) = listener.accept().unwrap();
        let cutter = std::thread::spawn(move || stream.read(&mut [0; 8]));
        assert_eq!(cut.call(b"x", &clock, within(20_000)), Err(CallError::Broken), "cut after the call");
        cutter.join().unwrap().unwrap();
        let nobody = common::nobody();
        let refused = Connection::open(instance(0, nobody.address), LONG);
        assert_eq!(refused.err(), Some(ConnectError::Refused));
        let no_time = Connection::open(instance(0, address), StdDuration::ZERO);
        assert_eq!(no_time.err(), Some(ConnectError::Unreachable));
        let engine = Engine::start("127.0.0.1:0", |_| EngineBehavior::Decline).unwrap();
        let mut connection = open(0, engine.address);
        for _ in 0..2 {
            let reply = connection.call(&engine_http::encode_load_call("h"), &clock, within(20_000)).unwrap();
            assert_eq!(reply.status, 200);
        }
    });
}

/// Guards against rows cut by a length that is too short, against the reply of one call taken for that of the
/// next, and against waiting for what stopped short as long as for a poll.
#[test]
fn replies_with_less_or_more_than_belongs_to_them_are_detected() {
    struct Case {
        engine_writes: String,
        brings: Result<u16, CallError>,
        is_of_use: bool,
    }
    let rows = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n1\n";
    let no_update = "HTTP/1.1 202 OK\r\nContent-Length: 0\r\n\r\n";
    let case = |engine_writes: String, brings, is_of_use| Case { engine_writes, brings, is_of_use };
    let cases = [
        case(rows.to_owned(), Ok(200), true),
        case(format!("HTTP/1.1 103 Early\r\n\r\n{rows}"), Ok(200), true),
        case(format!("{rows}2\n"), Err(CallError::Broken), false),
        case(format!("{no_update}{no_update}"), Ok(202), false),
        case(rows[..20].to_owned(), Err(CallError::TimedOut), false),
        case(rows[..rows.len() - 1].to_owned(), Err(CallError::TimedOut), false),
    ];
    for Case { engine_writes, brings, is_of_use } in cases {
        in_coroutine(move || {
            let clock = Clock::start(unix_time());
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let mut connection = open(0, listener.local_addr().unwrap());
            let (mut engine, _) = listener.accept().unwrap();
            engine.write_all(engine_writes.as_bytes()).unwrap();
            let deadline = clock.now() + Duration::from_millis(600_000);
            let brought = connection.call(b"x", &clock, deadline).map(|reply| reply.status);
            assert_eq!(brought, brings, "{engine_writes}");
            assert!(brought.is_err() || connection.is_reusable() == is_of_use, "{engine_writes}");
        });
    }
}
