//! The gateways among themselves, where the operator's file has a `[gateways]` table: one socket, one coroutine that hears
//! and asks. No request waits for it, and it waits for none.

pub mod ask;
pub mod duties;
pub mod mind;
pub mod programs;
pub mod signals;

use crate::state::State;
use crate::state::clock::timeout;
use crate::state::lock;
use crate::state::policy_handle::EngineStatus;
use duties::Duty;
use larchfall_membership::datagram::{Datagram, DatagramError, MAX_DATAGRAM_BYTES};
use larchfall_membership::fleet_size::FleetSize;
use larchfall_membership::member_update::MemberState;
use larchfall_membership::membership::{
    Member, Membership, MembershipSettings, OutgoingDatagram, Output, Rejection,
};
use larchfall_policy::time::{Duration, Timestamp};
use may::net::UdpSocket;
use signals::Signals;
use slog::{info, warn};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// So many datagrams are taken in within each such time; what comes beyond waits in the socket, or is lost there. A
/// flood costs what that many cost, and no request's share of the core.
const MOST: usize = 100;
const EACH: Duration = Duration::from_millis(100);

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

pub struct Gateways {
    members: Mutex<Membership>,
    /// How many gateways the module is to count, where it follows the living.
    count: Option<Mutex<FleetSize>>,
    socket: UdpSocket,
    cluster: String,
    name: String,
    counters: Counters,
    over: AtomicBool,
    /// What one gateway does at a time, where the file says so.
    duties: Option<Arc<Duty>>,
    /// What gateways saw of engines, where the file says so.
    signals: Option<Signals>,
}

impl Gateways {
    /// Its generation is the time of its start, so that each process under its name is another than the one before.
    pub fn open(
        bind: SocketAddrV4,
        members: Membership,
        (cluster, name): (String, String),
        count: Option<FleetSize>,
        duties: Option<Arc<Duty>>,
        signals: Option<Signals>,
    ) -> io::Result<Arc<Gateways>> {
        let socket = UdpSocket::bind(bind)?;
        let (counters, over) = (Counters::default(), AtomicBool::new(false));
        Ok(Arc::new(Gateways {
            members: Mutex::new(members),
            count: count.map(Mutex::new),
            socket,
            cluster,
            name,
            counters,
            over,
            duties,
            signals,
        }))
    }

    pub fn address(&self) -> SocketAddrV4 {
        lock(&self.members).myself().info.address
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Those that live, this gateway among them, and their zones.
    pub fn living(&self) -> Vec<(String, String)> {
        lock(&self.members).live().map(|(name, m)| (name.clone(), m.info.zone.clone())).collect()
    }

    /// Seeds, periods and duties from a file that was read again.
    pub fn set(
        &self,
        state: &State,
        settings: MembershipSettings,
        duties: Option<larchfall_operator_config::Duties>,
    ) {
        // Which fleet it belongs to changes with the next start only.
        let settings = MembershipSettings { cluster: self.cluster.clone(), ..settings };
        lock(&self.members).update_settings(settings);
        match (&self.duties, duties) {
            (Some(duties), Some(site)) => duties.set(state, self, site),
            (Some(_), None) | (None, Some(_)) => {
                warn!(state.log, "lease settings are added or removed with the next start only");
            }
            (None, None) => {}
        }
    }

    /// Says that it goes, before the listener ends.
    pub fn leave(&self, state: &State) {
        if let Some(duties) = &self.duties {
            duties.leave(state, self);
        }
        let out = lock(&self.members).leave(state.clock.now());
        self.over.store(true, Ordering::Relaxed);
        self.take(state, out);
    }

    /// One line with the counters, one with each member: what is known, since when, and when it was heard.
    pub fn log(&self, state: &State) {
        let (now, c) = (state.clock.now(), &self.counters);
        let n = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        info!(state.log, "membership counters"; "received" => n(&c.heard), "sent" => n(&c.sent), "unsent" => n(&c.unsent),
            "other_version" => n(&c.other_version), "other_cluster" => n(&c.other_cluster), "corrupt" => n(&c.spoilt),
            "unknown_senders" => n(&c.strangers), "over_budget" => n(&c.over_budget));
        let (table, health, version) = {
            let members = lock(&self.members);
            (members.members().clone(), members.health().score(), members.version())
        };
        if let Some(duties) = &self.duties {
            duties.log(state);
        }
        if let Some(signals) = &self.signals {
            signals.log(state);
        }
        info!(state.log, "membership"; "known" => table.len(), "version" => version, "own_health" => health);
        for (name, member) in &table {
            let heard = member.heard_at.map_or(-1.0, |at| now.since(at).secs());
            info!(state.log, "member"; "name" => name, "state" => word(member.status.state),
                "generation" => member.status.generation, "incarnation" => member.status.incarnation,
                "address" => member.info.address.to_string(), "zone" => &member.info.zone,
                "since_s" => now.since(member.since).secs(), "heard_s_ago" => heard);
        }
    }

    /// Tells the module when another number of gateways is to be counted.
    fn count(&self, state: &State, now: Timestamp, before: usize) -> usize {
        let Some(count) = &self.count else { return before };
        let fleet = lock(&self.members).fleet_view();
        let counted = lock(count).observe(fleet, now);
        if counted != before {
            state.policy.set_gateway_count(counted);
            info!(state.log, "gateways counted"; "silent" => fleet.silent, "alive" => fleet.live, "count" => counted);
        }
        counted
    }

    /// Sends what is to be sent and logs what changed. No lock is held here.
    fn take(&self, state: &State, out: Output) {
        for change in out.changes {
            let from = change.from.map_or("unknown", word);
            info!(state.log, "member changed"; "generation" => change.generation,
                "reason" => format!("{:?}", change.reason), "was" => from, "state" => word(change.to),
                "name" => change.name);
        }
        for OutgoingDatagram { to, datagram } in out.datagrams {
            // Straight to the socket: a full buffer loses a datagram, as the net may, and holds nobody up.
            let sent = self.socket.inner().send_to(&datagram.encode(), to);
            one(if sent.is_ok() { &self.counters.sent } else { &self.counters.unsent });
        }
    }

    /// By gateway: its name, standing, generation, address, zone, since when it stands so and when it was heard, in seconds.
    fn rows(&self, now: Timestamp) -> Vec<Vec<String>> {
        let members = lock(&self.members);
        let row = |(name, m): (&String, &Member)| {
            let heard = m.heard_at.map_or(String::new(), |at| format!("{:.1}", now.since(at).secs()));
            let since = format!("{:.1}", now.since(m.since).secs());
            let (generation, address) = (m.status.generation.to_string(), m.info.address.to_string());
            let standing = word(m.status.state).to_owned();
            vec![name.clone(), standing, generation, address, m.info.zone.clone(), since, heard]
        };
        members.members().iter().map(row).collect()
    }

    /// By engine: its id, state, what this gateway makes of it, and what it and others saw there, where that is told.
    fn engine_rows(&self, state: &State) -> Vec<Vec<String>> {
        // Once for all engines: a fleet may be large.
        let (now, living) = (state.clock.now(), self.living().into_iter().collect());
        let word = |holds: bool, word: &str| if holds { word.to_owned() } else { String::new() };
        let row = |status: EngineStatus| {
            let health = if status.health.ejected { "left out" } else { "sound" };
            let process = status.process;
            let mut row = vec![format!("{:08x}", process.id), format!("{:?}", status.state).to_lowercase()];
            let congested = word(status.health.congested, "congested");
            row.extend([health.to_owned(), word(status.in_subset, "used"), congested]);
            row.extend(
                self.signals.iter().flat_map(|signals| signals.row(&self.name, &living, process, now)),
            );
            row
        };
        let mut rows: Vec<_> = state.policy.engine_statuses().into_iter().map(row).collect();
        rows.sort();
        rows
    }

    /// Answers a question of this machine's own.
    fn answer(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        let near = from.ip().is_loopback() || *from.ip() == *self.address().ip();
        let Some(question) = ask::question(bytes, &self.cluster).filter(|_| near) else {
            return one(&self.counters.strangers);
        };
        let rows = match question.what {
            ask::What::Gateways => self.rows(state.clock.now()),
            ask::What::Engines => self.engine_rows(state),
            ask::What::Duties => self.duties.as_ref().map(|duties| duties.rows()).unwrap_or_default(),
            ask::What::Shares => self.duties.as_ref().map(|duties| duties.share_rows()).unwrap_or_default(),
        };
        let _ = self.socket.inner().send_to(&ask::answer(&question, rows.into_iter()), from);
    }

    fn hear(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        one(&self.counters.heard);
        if let Some(signals) = self
            .signals
            .as_ref()
            .filter(|_| bytes.first() == Some(&larchfall_health_gossip::datagram::VERSION))
        {
            return signals.hear(state, self, bytes, from);
        }
        match (bytes.first(), &self.duties) {
            (Some(&larchfall_leases::messages::VERSION), Some(duties)) => {
                return duties.hear(state, self, bytes, from);
            }
            (Some(&ask::VERSION), _) => return self.answer(state, bytes, from),
            _ => {}
        }
        let letter = match Datagram::decode(bytes, &self.cluster) {
            Ok(letter) => letter,
            Err(why) => {
                return one(match why {
                    DatagramError::Version(_) => &self.counters.other_version,
                    DatagramError::OtherCluster => &self.counters.other_cluster,
                    DatagramError::TooLong | DatagramError::Corrupt | DatagramError::Malformed => {
                        &self.counters.spoilt
                    }
                });
            }
        };
        let heard = lock(&self.members).on_datagram(from, &letter, state.clock.now());
        match heard {
            Ok(out) => self.take(state, out),
            Err(Rejection::UnknownSender) => one(&self.counters.strangers),
            Err(Rejection::NameTaken) => {
                warn!(
                    state.log,
                    "fronts: another process has this name, and was started later: no member any more"
                );
                if let Some(duties) = &self.duties {
                    duties.name_taken(state, self);
                }
            }
        }
    }
}

fn word(standing: MemberState) -> &'static str {
    match standing {
        MemberState::Alive => "alive",
        MemberState::Suspected => "suspected",
        MemberState::Dead => "dead",
        MemberState::Left => "left",
    }
}

/// Hears and asks until this gateway leaves.
pub fn run(state: &Arc<State>, gateways: &Arc<Gateways>) {
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    let (mut taken, mut window) = (0, state.clock.now());
    let mut counted = 0;
    let done = || gateways.duties.as_ref().is_none_or(|duties| duties.is_done());
    while !gateways.over.load(Ordering::Relaxed) || !done() {
        let now = state.clock.now();
        let (due, out) = {
            let mut members = lock(&gateways.members);
            let out = (members.next_timer() <= now).then(|| members.on_timer(now));
            (members.next_timer(), out)
        };
        if let Some(out) = out {
            gateways.take(state, out);
            counted = gateways.count(state, now, counted);
        }
        if let Some(duties) = gateways.duties.as_ref().filter(|duties| duties.due_in() == Duration::ZERO) {
            duties.wake(state, gateways);
        }
        if let Some(signals) = &gateways.signals {
            signals.wake(state, gateways);
        }
        if now.since(window) >= EACH {
            (taken, window) = (0, now);
        }
        if taken >= MOST {
            one(&gateways.counters.over_budget);
            state.sleep((window + EACH).since(now).max(Duration::from_millis(1)));
            continue;
        }
        let due_in = gateways.duties.as_ref().map(|duties| duties.due_in());
        let now = state.clock.now();
        let signals_in = gateways.signals.as_ref().map(|signals| signals.due_in(now));
        let own = due_in.into_iter().chain(signals_in).fold(EACH * 600.0, Duration::min);
        let left = due.since(now).min(own).max(Duration::from_millis(1));
        if gateways.socket.set_read_timeout(Some(timeout(left))).is_err() {
            return;
        }
        match gateways.socket.recv_from(&mut bytes) {
            Ok((n, SocketAddr::V4(from))) => {
                taken += 1;
                gateways.hear(state, &bytes[..n], from);
            }
            // Where a member's port is closed the next receive says so: that is one more lost datagram.
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
            Err(_) => state.sleep(Duration::from_millis(5)),
        }
    }
}
