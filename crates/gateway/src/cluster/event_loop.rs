//! The event loop of the cluster socket: one coroutine receives datagrams and runs the timers of membership, leases
//! and health gossip.

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

/// Maximum number of datagrams that are received in each receive window. Further datagrams wait in the socket buffer
/// or are dropped there, so that a flood of datagrams takes no more processor time than this number and leaves the
/// core to requests.
const MAX_DATAGRAMS_PER_WINDOW: usize = 100;
/// Length of a receive window.
const RECEIVE_WINDOW: Duration = Duration::from_millis(100);
/// Longest wait for a datagram if no timer is due earlier.
const MAX_WAIT: Duration = Duration::from_millis(60_000);
/// Shortest wait: the coroutine library takes a timeout of zero for no timeout.
const MIN_WAIT: Duration = Duration::from_millis(1);
/// Pause after a failed receive.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(5);

/// Limits how many datagrams are received in each receive window.
struct ReceiveBudget {
    window_start: Timestamp,
    received: usize,
}

impl ReceiveBudget {
    /// Time until the next window starts, or `None` if the current window still has budget.
    fn time_to_next_window(&mut self, now: Timestamp) -> Option<Duration> {
        if now.since(self.window_start) >= RECEIVE_WINDOW {
            *self = ReceiveBudget { window_start: now, received: 0 };
        }
        (self.received >= MAX_DATAGRAMS_PER_WINDOW)
            .then(|| (self.window_start + RECEIVE_WINDOW).since(now).max(MIN_WAIT))
    }
}

impl Cluster {
    /// Receives datagrams and runs timers until this gateway has left the cluster and released its leases. Returns
    /// early if the read timeout of the socket can't be set.
    pub fn run(self: &Arc<Cluster>, state: &Arc<State>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let mut budget = ReceiveBudget { window_start: state.clock.now(), received: 0 };
        while !self.is_finished() {
            let now = state.clock.now();
            let next_membership_timer = self.run_timers(state, now);
            if let Some(pause) = budget.time_to_next_window(now) {
                increment(&self.counters.budget_exhausted);
                state.sleep(pause);
                continue;
            }
            let wait = self.time_to_next_timer(state, next_membership_timer);
            if self.socket.set_read_timeout(Some(to_std_timeout(wait))).is_err() {
                return;
            }
            match self.socket.recv_from(&mut buffer) {
                Ok((length, SocketAddr::V4(sender))) => {
                    budget.received += 1;
                    self.on_datagram(state, &buffer[..length], sender);
                }
                // Unreachable: the socket is bound to an IPv4 address.
                Ok(_) => {}
                Err(error) if matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => {}
                // A datagram that was sent to a closed port makes the next receive fail. The failure means a lost
                // datagram, which the protocols tolerate.
                Err(_) => state.sleep(RECEIVE_ERROR_PAUSE),
            }
        }
    }

    fn is_finished(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
            && self.leases.as_ref().is_none_or(|leases| leases.is_finished())
    }

    /// Runs all timers that are due and returns when the next membership timer is due.
    fn run_timers(self: &Arc<Cluster>, state: &Arc<State>, now: Timestamp) -> Timestamp {
        let mut membership = lock(&self.membership);
        let output = (membership.next_timer() <= now).then(|| membership.on_timer(now));
        let next_membership_timer = membership.next_timer();
        drop(membership);
        if let Some(output) = output {
            self.apply_membership_output(state, output);
            self.update_gateway_count(state, now);
        }
        if let Some(leases) =
            self.leases.as_ref().filter(|leases| leases.time_to_next_timer() == Duration::ZERO)
        {
            leases.on_timer(state, self);
        }
        if let Some(gossip) = &self.health_gossip {
            gossip.on_timer(state, self);
        }
        next_membership_timer
    }

    fn time_to_next_timer(&self, state: &State, next_membership_timer: Timestamp) -> Duration {
        let leases = self.leases.as_ref().map(|leases| leases.time_to_next_timer());
        let now = state.clock.now();
        let gossip = self.health_gossip.as_ref().map(|gossip| gossip.time_to_next_round(now));
        [leases, gossip]
            .into_iter()
            .flatten()
            .fold(MAX_WAIT, Duration::min)
            .min(next_membership_timer.since(now))
            .max(MIN_WAIT)
    }
}
