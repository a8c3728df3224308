//! The coroutine that serves the socket between gateways: datagrams as they come, timers as they are due.

use super::Cluster;
use super::counters::increment;
use crate::state::clock::to_std_timeout;
use crate::state::{State, lock};
use larchfall_membership::datagram::MAX_DATAGRAM_BYTES;
use larchfall_policy::time::{Duration, Timestamp};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// So many datagrams are received within each window; more wait in the socket, or are lost there. A flood costs what
/// that many cost, and no request's share of the core.
const DATAGRAMS_PER_WINDOW: usize = 100;
const WINDOW: Duration = Duration::from_millis(100);
/// The longest wait for a datagram where no timer is due before.
const LONGEST_WAIT: Duration = Duration::from_millis(60_000);
/// A wait of zero would be one without end.
const SHORTEST_WAIT: Duration = Duration::from_millis(1);
const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(5);

/// Datagrams received in the present window.
struct DatagramBudget {
    window_start: Timestamp,
    received: usize,
}

impl DatagramBudget {
    /// How long to wait until the next window, where this one's datagrams are used up.
    fn exhausted_for(&mut self, now: Timestamp) -> Option<Duration> {
        if now.since(self.window_start) >= WINDOW {
            *self = DatagramBudget { window_start: now, received: 0 };
        }
        (self.received >= DATAGRAMS_PER_WINDOW)
            .then(|| (self.window_start + WINDOW).since(now).max(SHORTEST_WAIT))
    }
}

impl Cluster {
    /// Receives and sends until this gateway has left.
    pub fn run(self: &Arc<Cluster>, state: &Arc<State>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let mut budget = DatagramBudget { window_start: state.clock.now(), received: 0 };
        while !self.is_done() {
            let now = state.clock.now();
            let membership_due = self.run_timers(state, now);
            if let Some(pause) = budget.exhausted_for(now) {
                increment(&self.counters.over_budget);
                state.sleep(pause);
                continue;
            }
            let due_in = self.time_to_next_timer(state, membership_due);
            if self.socket.set_read_timeout(Some(to_std_timeout(due_in))).is_err() {
                return;
            }
            match self.socket.recv_from(&mut bytes) {
                Ok((length, SocketAddr::V4(from))) => {
                    budget.received += 1;
                    self.on_datagram(state, &bytes[..length], from);
                }
                // The socket is one of IPv4.
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
                // Where a member's port is closed the next receive says so: that is one more lost datagram.
                Err(_) => state.sleep(PAUSE_AFTER_ERROR),
            }
        }
    }

    fn is_done(&self) -> bool {
        self.has_left.load(Ordering::Relaxed) && self.leases.as_ref().is_none_or(|leases| leases.is_done())
    }

    /// Runs what is due now; the time at which membership is due next.
    fn run_timers(self: &Arc<Cluster>, state: &Arc<State>, now: Timestamp) -> Timestamp {
        let mut members = lock(&self.members);
        let effects = (members.next_timer() <= now).then(|| members.on_timer(now));
        let due = members.next_timer();
        drop(members);
        if let Some(effects) = effects {
            self.apply_membership(state, effects);
            self.update_gateway_count(state, now);
        }
        if let Some(leases) = self.leases.as_ref().filter(|leases| leases.due_in() == Duration::ZERO) {
            leases.on_timer(state, self);
        }
        if let Some(gossip) = &self.health_gossip {
            gossip.on_timer(state, self);
        }
        due
    }

    fn time_to_next_timer(&self, state: &State, membership_due: Timestamp) -> Duration {
        let leases = self.leases.as_ref().map(|leases| leases.due_in());
        let now = state.clock.now();
        let gossip = self.health_gossip.as_ref().map(|gossip| gossip.due_in(now));
        [leases, gossip]
            .into_iter()
            .flatten()
            .fold(LONGEST_WAIT, Duration::min)
            .min(membership_due.since(now))
            .max(SHORTEST_WAIT)
    }
}
