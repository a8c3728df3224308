//! Counters of requests and attempts, by request class and outcome, and of the gateway as a whole.

use super::lock;
use crate::request_context::FinalAnswer;
use larchfall_policy::types::Outcome;
use std::sync::Mutex;

/// Counters of one request class since the start of the gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounters {
    /// Requests that passed validation, including any refused afterwards for a duplicate id or for too many requests in
    /// flight.
    pub admitted: u64,
    /// Attempts with a recorded outcome.
    pub attempts: u64,
    /// Attempts by outcome, in the order of `OUTCOME_LABELS`.
    outcomes: [u64; OUTCOME_LABELS.len()],
    /// Requests whose complete result went to the client.
    pub returned: u64,
    /// Rejected requests, which clients can safely retry.
    pub rejected: u64,
    /// Requests that ended with an error.
    pub errored: u64,
    /// Requests whose client disconnected before the final answer.
    pub disconnected: u64,
}

/// Counters of the whole gateway, which belong to no request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GatewayCounters {
    /// Accepted MessagePack-RPC connections.
    pub client_connections: u64,
    /// Messages and statements that are malformed or do not match the settings.
    pub invalid_requests: u64,
    /// Requests rejected by the gateway's own limits: too many open on a connection, too many open paged results, or
    /// too many in flight.
    pub over_limits: u64,
    /// Pings received from clients.
    pub pings: u64,
    /// Load reports requested from engines.
    pub load_report_requests: u64,
    /// Watch events applied to the endpoint list, from the discovery service and from a reloaded configuration.
    pub discovery_events: u64,
    /// Paged results whose last page was sent to the client.
    pub results_delivered: u64,
    /// Paged results that their clients abandoned.
    pub results_abandoned: u64,
    /// Highest number of requests in flight at the same time.
    pub max_in_flight: usize,
    /// Highest number of client connections open at the same time.
    pub max_client_connections: usize,
    /// Highest number of engine connections open at the same time.
    pub max_engine_connections: usize,
    /// Longest delay of a timer thread wakeup in milliseconds, that is, how long other threads occupied the core.
    pub max_timer_lag_ms: u64,
}

/// All counters of a gateway, safe for concurrent updates.
#[derive(Default)]
pub struct Counters {
    classes: Mutex<Vec<ClassCounters>>,
    gateway: Mutex<GatewayCounters>,
}

/// The name of an attempt outcome in log lines.
struct OutcomeLabel {
    outcome: Outcome,
    label: &'static str,
}

const fn labeled(outcome: Outcome, label: &'static str) -> OutcomeLabel {
    OutcomeLabel { outcome, label }
}

const OUTCOME_LABELS: [OutcomeLabel; 8] = [
    labeled(Outcome::Returned, "returned"),
    labeled(Outcome::Errored, "errored"),
    labeled(Outcome::Rejected, "full"),
    labeled(Outcome::TimedOut, "timed_out"),
    labeled(Outcome::ConnectFailed, "connect_failed"),
    labeled(Outcome::Reset, "reset"),
    labeled(Outcome::Cancelled, "cancelled"),
    labeled(Outcome::NotSent, "not_sent"),
];

impl Counters {
    /// Creates counters for `class_count` request classes, all zero.
    pub fn new(class_count: usize) -> Counters {
        Counters {
            classes: Mutex::new(vec![ClassCounters::default(); class_count]),
            gateway: Mutex::default(),
        }
    }

    /// Updates the counters of the request class with this index; does nothing if the index is out of range.
    pub fn update_class(&self, class: usize, update: impl FnOnce(&mut ClassCounters)) {
        if let Some(counters) = lock(&self.classes).get_mut(class) {
            update(counters);
        }
    }

    /// Updates the counters that belong to no request class.
    pub fn update_gateway(&self, update: impl FnOnce(&mut GatewayCounters)) {
        update(&mut lock(&self.gateway));
    }

    /// Counts a final answer that was delivered to a waiting client.
    pub fn record_answer(&self, class: usize, answer: FinalAnswer) {
        self.update_class(class, |counters| match answer {
            FinalAnswer::Returned => counters.returned += 1,
            FinalAnswer::Rejected(_) => counters.rejected += 1,
            FinalAnswer::Errored(_) => counters.errored += 1,
        });
    }

    /// Counts an attempt with its outcome.
    pub fn record_outcome(&self, class: usize, outcome: Outcome) {
        let position = OUTCOME_LABELS.iter().position(|label| label.outcome == outcome).unwrap_or(0);
        self.update_class(class, |counters| {
            counters.attempts += 1;
            counters.outcomes[position] += 1;
        });
    }

    /// Formats one log line for each request class, and a last line for the gateway.
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
