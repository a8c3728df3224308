//! The fronts among themselves, where the operator's file has a `[fronts]` table: one socket, one coroutine that hears
//! and asks. No batch waits for it, and it waits for none.

use crate::state::State;
use crate::state::clock::wait;
use crate::state::lock;
use larchfall::time::{At, Span};
use larchfall_members::claim::{About, Standing};
use larchfall_members::count::Count;
use larchfall_members::members::{Members, Out, Refused, Settings};
use larchfall_members::wire::{Letter, MOST_BYTES, Unreadable};
use may::net::UdpSocket;
use slog::{info, warn};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// So many datagrams are taken in within each such time; what comes beyond waits in the socket, or is lost there. A
/// flood costs what that many cost, and no batch's share of the core.
const MOST: usize = 100;
const EACH: Span = Span::from_millis(100);

/// What came and was passed over, by why; what went.
#[derive(Default)]
struct Counters {
    heard: AtomicU64,
    sent: AtomicU64,
    unsent: AtomicU64,
    other_version: AtomicU64,
    other_cluster: AtomicU64,
    spoilt: AtomicU64,
    strangers: AtomicU64,
    /// Times that the budget was used up.
    over_budget: AtomicU64,
}

fn one(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

pub struct Fronts {
    members: Mutex<Members>,
    /// How many fronts the module is to count, where it follows the living.
    count: Option<Mutex<Count>>,
    socket: UdpSocket,
    cluster: String,
    counters: Counters,
    over: AtomicBool,
}

impl Fronts {
    /// Its generation is the time of its start, so that each process under its name is another than the one before.
    pub fn open(
        name: &str,
        bind: SocketAddrV4,
        about: About,
        settings: Settings,
        count: Option<Count>,
        seed: u64,
        now: At,
    ) -> io::Result<Arc<Fronts>> {
        let socket = UdpSocket::bind(bind)?;
        let cluster = settings.cluster.clone();
        let members = Members::new(name, now.micros(), about, settings, seed, now);
        let (counters, over) = (Counters::default(), AtomicBool::new(false));
        Ok(Arc::new(Fronts {
            members: Mutex::new(members),
            count: count.map(Mutex::new),
            socket,
            cluster,
            counters,
            over,
        }))
    }

    pub fn address(&self) -> SocketAddrV4 {
        lock(&self.members).myself().about.address
    }

    /// Seeds and periods from a file that was read again.
    pub fn set(&self, settings: Settings) {
        // Which fleet it belongs to changes with the next start only.
        lock(&self.members).set(Settings { cluster: self.cluster.clone(), ..settings });
    }

    /// Says that it goes, before the listener ends.
    pub fn leave(&self, state: &State) {
        let out = lock(&self.members).leave(state.clock.now());
        self.over.store(true, Ordering::Relaxed);
        self.take(state, out);
    }

    /// One line with the counters, one with each member: what is known, since when, and when it was heard.
    pub fn log(&self, state: &State) {
        let (now, c) = (state.clock.now(), &self.counters);
        let n = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        info!(state.log, "fronts: counters"; "heard" => n(&c.heard), "sent" => n(&c.sent), "unsent" => n(&c.unsent),
            "other_version" => n(&c.other_version), "other_cluster" => n(&c.other_cluster), "spoilt" => n(&c.spoilt),
            "strangers" => n(&c.strangers), "over_budget" => n(&c.over_budget));
        let (table, health, version) = {
            let members = lock(&self.members);
            (members.table().clone(), members.health().score(), members.version())
        };
        info!(state.log, "fronts: table"; "known" => table.len(), "version" => version, "own_health" => health);
        for (name, member) in &table {
            let heard = member.heard.map_or(-1.0, |at| now.since(at).secs());
            info!(state.log, "fronts: member"; "name" => name, "standing" => word(member.claim.standing),
                "generation" => member.claim.generation, "incarnation" => member.claim.incarnation,
                "address" => member.about.address.to_string(), "zone" => &member.about.zone,
                "since_s" => now.since(member.since).secs(), "heard_s_ago" => heard);
        }
    }

    /// Tells the module when another number of fronts is to be counted.
    fn count(&self, state: &State, now: At, before: usize) -> usize {
        let Some(count) = &self.count else { return before };
        let fleet = lock(&self.members).fleet();
        let counted = lock(count).see(fleet, now);
        if counted != before {
            state.facade.count(counted);
            info!(state.log, "fronts: counted {}", counted; "live" => fleet.live, "silent" => fleet.silent);
        }
        counted
    }

    /// Sends what is to be sent and logs what changed. No lock is held here.
    fn take(&self, state: &State, out: Out) {
        for change in out.changes {
            let from = change.from.map_or("unknown", word);
            info!(state.log, "fronts: {} is {}", change.name, word(change.to); "was" => from,
                "reason" => format!("{:?}", change.reason), "generation" => change.generation);
        }
        for (to, letter) in out.letters {
            // Straight to the socket: a full buffer loses a datagram, as the net may, and holds nobody up.
            let sent = self.socket.inner().send_to(&letter.seal(), to);
            one(if sent.is_ok() { &self.counters.sent } else { &self.counters.unsent });
        }
    }

    fn hear(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        one(&self.counters.heard);
        let letter = match Letter::open(bytes, &self.cluster) {
            Ok(letter) => letter,
            Err(why) => {
                return one(match why {
                    Unreadable::Version(_) => &self.counters.other_version,
                    Unreadable::OtherCluster => &self.counters.other_cluster,
                    Unreadable::TooLong | Unreadable::Spoilt | Unreadable::Unsound => &self.counters.spoilt,
                });
            }
        };
        let heard = lock(&self.members).hear(from, &letter, state.clock.now());
        match heard {
            Ok(out) => self.take(state, out),
            Err(Refused::Stranger) => one(&self.counters.strangers),
            Err(Refused::NameTaken) => {
                warn!(
                    state.log,
                    "fronts: another process has this name, and was started later: no member any more"
                );
            }
        }
    }
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::Alive => "alive",
        Standing::Suspected => "suspected",
        Standing::Dead => "dead",
        Standing::Left => "left",
    }
}

/// Hears and asks until this front leaves.
pub fn run(state: &State, fronts: &Fronts) {
    let mut bytes = [0; MOST_BYTES + 1];
    let (mut taken, mut window) = (0, state.clock.now());
    let mut counted = 0;
    while !fronts.over.load(Ordering::Relaxed) {
        let now = state.clock.now();
        let (due, out) = {
            let mut members = lock(&fronts.members);
            let out = (members.due() <= now).then(|| members.wake(now));
            (members.due(), out)
        };
        if let Some(out) = out {
            fronts.take(state, out);
            counted = fronts.count(state, now, counted);
        }
        if now.since(window) >= EACH {
            (taken, window) = (0, now);
        }
        if taken >= MOST {
            one(&fronts.counters.over_budget);
            may::coroutine::sleep(wait((window + EACH).since(now).max(Span::from_millis(1))));
            continue;
        }
        let left = due.since(state.clock.now()).max(Span::from_millis(1));
        if fronts.socket.set_read_timeout(Some(wait(left))).is_err() {
            return;
        }
        match fronts.socket.recv_from(&mut bytes) {
            Ok((n, SocketAddr::V4(from))) => {
                taken += 1;
                fronts.hear(state, &bytes[..n], from);
            }
            // Where a member's port is closed the next receive says so: that is one more lost datagram.
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => may::coroutine::sleep(wait(Span::from_millis(5))),
        }
    }
}
