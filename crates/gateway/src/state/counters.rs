//! Counters of requests and attempts, by request class and outcome, and of the gateway as a whole.

use super::lock;
use crate::request_context::FinalAnswer;
use larchfall_policy::types::Outcome;
use std::sync::Mutex;

/// Counters of one request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounters {
    /// Requests that came in good form.
    pub admitted: u64,
    /// Attempts that had their outcome.
    pub attempts: u64,
    /// Attempts by outcome, in the order of `OUTCOME_LABELS`.
    outcomes: [u64; OUTCOME_LABELS.len()],
    /// Requests whose rows all went to the client.
    pub returned: u64,
    /// Requests that were rejected: trying again is harmless.
    pub rejected: u64,
    /// Requests that ended in an error.
    pub errored: u64,
    /// Requests whose client disconnected before the answer.
    pub disconnected: u64,
}

/// Counters that belong to no request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayCounters {
    /// Client connections accepted.
    pub client_connections: u64,
    /// Messages that no request could be made of.
    pub invalid_requests: u64,
    /// Requests rejected by the gateway's own limits: too many open on a connection, or in flight.
    pub over_limits: u64,
    /// Pings of clients.
    pub pings: u64,
    /// Load reports asked for.
    pub load_report_requests: u64,
    /// Events of the discovery service.
    pub discovery_events: u64,
    /// Paged results whose last page was handed out.
    pub results_delivered: u64,
    /// Paged results that their clients abandoned.
    pub results_abandoned: u64,
    /// Most requests in flight at a time.
    pub max_in_flight: usize,
    /// Most client connections at a time.
    pub max_client_connections: usize,
    /// Most connections to engines at a time.
    pub max_engine_connections: usize,
    /// The longest delay of the timer thread: the time for which others kept the core.
    pub max_timer_lag_ms: u64,
}

/// All counters of a gateway.
#[derive(Default)]
pub struct Counters {
    classes: Mutex<Vec<ClassCounters>>,
    gateway: Mutex<GatewayCounters>,
}

struct OutcomeLabel {
    outcome: Outcome,
    label: &'static str,
}

const fn labelled(outcome: Outcome, label: &'static str) -> OutcomeLabel {
    OutcomeLabel { outcome, label }
}

const OUTCOME_LABELS: [OutcomeLabel; 8] = [
    labelled(Outcome::Returned, "returned"),
    labelled(Outcome::Errored, "errored"),
    labelled(Outcome::Rejected, "full"),
    labelled(Outcome::TimedOut, "timed_out"),
    labelled(Outcome::ConnectFailed, "connect_failed"),
    labelled(Outcome::Reset, "reset"),
    labelled(Outcome::Cancelled, "cancelled"),
    labelled(Outcome::NotSent, "not_sent"),
];

impl Counters {
    /// Zero for so many request classes.
    pub fn new(classes: usize) -> Counters {
        Counters { classes: Mutex::new(vec![ClassCounters::default(); classes]), gateway: Mutex::default() }
    }

    /// Updates the counters of a request class, if there is one of that index.
    pub fn update_class(&self, class: usize, update: impl FnOnce(&mut ClassCounters)) {
        if let Some(counters) = lock(&self.classes).get_mut(class) {
            update(counters);
        }
    }

    /// Updates the counters that belong to no class.
    pub fn update_gateway(&self, update: impl FnOnce(&mut GatewayCounters)) {
        update(&mut lock(&self.gateway));
    }

    /// Counts a final answer that somebody still waited for.
    pub fn record_answer(&self, class: usize, answer: FinalAnswer) {
        self.update_class(class, |counters| match answer {
            FinalAnswer::Returned => counters.returned += 1,
            FinalAnswer::Rejected(_) => counters.rejected += 1,
            FinalAnswer::Errored(_) => counters.errored += 1,
        });
    }

    /// Counts an attempt by its outcome.
    pub fn record_outcome(&self, class: usize, outcome: Outcome) {
        let position = OUTCOME_LABELS.iter().position(|label| label.outcome == outcome).unwrap_or(0);
        self.update_class(class, |counters| {
            counters.attempts += 1;
            counters.outcomes[position] += 1;
        });
    }

    /// One log line for each request class, and one for the gateway.
    pub fn log_lines(&self, class_names: &[String]) -> Vec<String> {
        let classes = lock(&self.classes);
        let mut lines: Vec<String> =
            classes.iter().zip(class_names).map(|(counters, name)| counters.log_line(name)).collect();
        lines.push(lock(&self.gateway).log_line());
        lines
    }
}

impl ClassCounters {
    fn log_line(&self, name: &str) -> String {
        let outcomes: Vec<String> = OUTCOME_LABELS
            .iter()
            .zip(self.outcomes)
            .map(|(OutcomeLabel { label, .. }, count)| format!("attempts_{label}: {count}"))
            .collect();
        format!(
            "request class counters, class: {name}, admitted: {}, returned: {}, rejected: {}, errored: {}, \
             disconnected: {}, attempts: {}, {}",
            self.admitted,
            self.returned,
            self.rejected,
            self.errored,
            self.disconnected,
            self.attempts,
            outcomes.join(", ")
        )
    }
}

impl GatewayCounters {
    fn log_line(&self) -> String {
        format!(
            "gateway counters, connections: {}, unusable: {}, over_limits: {}, pings: {}, load_probes: {}, \
             discovery_events: {}, results_read: {}, results_abandoned: {}, most_in_flight: {}, most_clients: {}, \
             most_engine_connections: {}, most_lag_ms: {}",
            self.client_connections,
            self.invalid_requests,
            self.over_limits,
            self.pings,
            self.load_report_requests,
            self.discovery_events,
            self.results_delivered,
            self.results_abandoned,
            self.max_in_flight,
            self.max_client_connections,
            self.max_engine_connections,
            self.max_timer_lag_ms
        )
    }
}
