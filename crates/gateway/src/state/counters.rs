//! Counts of what was taken in, sent and answered, by request class and outcome.

use super::lock;
use crate::task::Final;
use larchfall_policy::interface::Outcome;
use std::sync::Mutex;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    pub taken: u64,
    pub attempts: u64,
    pub outcomes: [u64; 8],
    pub returned: u64,
    pub pushed_back: u64,
    pub errored: u64,
    /// Clients that left before their answer.
    pub left: u64,
}

#[derive(Default)]
pub struct Counters {
    classes: Mutex<Vec<Group>>,
    rest: Mutex<Rest>,
}

/// What belongs to no request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rest {
    pub connections: u64,
    pub unusable: u64,
    /// Pushed back by the gateway itself: too many open on a connection, or in hand.
    pub over_limits: u64,
    pub pings: u64,
    pub probes: u64,
    pub discovery_events: u64,
    /// Paged results whose last page was handed out, and those that their clients left.
    pub results_read: u64,
    pub results_left: u64,
    pub most_in_hand: usize,
    pub most_clients: usize,
    pub most_links: usize,
    /// How late the timer came by at worst: the time others kept the core.
    pub most_lag_ms: u64,
}

const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Returned, "returned"),
    (Outcome::Errored, "errored"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::ConnectFailed, "connect_failed"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Moot, "not_sent"),
];

impl Counters {
    pub fn new(classes: usize) -> Counters {
        Counters { classes: Mutex::new(vec![Group::default(); classes]), rest: Mutex::default() }
    }

    pub fn class(&self, g: usize, count: impl FnOnce(&mut Group)) {
        if let Some(class) = lock(&self.classes).get_mut(g) {
            count(class);
        }
    }

    /// A request whose client was still there.
    pub fn ended(&self, g: usize, end: Final) {
        self.class(g, |c| match end {
            Final::Returned => c.returned += 1,
            Final::PushedBack(_) => c.pushed_back += 1,
            Final::Errored(_) => c.errored += 1,
        });
    }

    pub fn outcome(&self, g: usize, outcome: Outcome) {
        let at = OUTCOMES.iter().position(|(o, _)| *o == outcome).unwrap_or(0);
        self.class(g, |c| {
            c.attempts += 1;
            c.outcomes[at] += 1;
        });
    }

    pub fn rest(&self, count: impl FnOnce(&mut Rest)) {
        count(&mut lock(&self.rest));
    }

    /// One line a request class, and one for the rest.
    pub fn lines(&self, names: &[String]) -> Vec<String> {
        let classes = lock(&self.classes);
        let mut lines: Vec<String> = classes
            .iter()
            .zip(names)
            .map(|(g, name)| {
                let outcomes: Vec<String> =
                    OUTCOMES.iter().zip(g.outcomes).map(|((_, word), n)| format!("attempts_{word}: {n}")).collect();
                format!(
                    "request class counters, class: {name}, admitted: {}, returned: {}, rejected: {}, errored: {}, disconnected: {}, attempts: {}, {}",
                    g.taken,
                    g.returned,
                    g.pushed_back,
                    g.errored,
                    g.left,
                    g.attempts,
                    outcomes.join(", ")
                )
            })
            .collect();
        let r = lock(&self.rest);
        lines.push(format!(
            "gateway counters, connections: {}, unusable: {}, over_limits: {}, pings: {}, load_probes: {}, discovery_events: {}, results_read: {}, results_abandoned: {}, most_in_flight: {}, most_clients: {}, most_engine_connections: {}, most_lag_ms: {}",
            r.connections, r.unusable,
            r.over_limits, r.pings, r.probes, r.discovery_events, r.results_read, r.results_left, r.most_in_hand, r.most_clients, r.most_links,
            r.most_lag_ms
        ));
        lines
    }
}
