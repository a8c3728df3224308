//! The rules over all gateways, checked after a run against what clients and engines recorded. Where a rule leaves something
//! open it is read in the gateways' favour; rule 4 is checked by `tests/quotas.rs`, rule 6 by the policy's own tests.

use larchfall_stub::client::Answer;
use larchfall_stub::stub_engines::AuditLog;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Between a statement's end at the engine and its entry in the audit log.
const AUDIT_LOG_SLACK: Duration = Duration::from_millis(5);
/// A change of the endpoint list counts as received this long after it was sent, whether or not it arrived.
const LIST_RECEIVED_WITHIN: Duration = Duration::from_secs(7);
/// The protocol's slack for the retry budget, beside one attempt: what is seen is when an attempt arrived, not when it was
/// sent.
const RETRY_BUDGET_SLACK: f64 = 1.15;
/// What is under way as a connection begins to stall is held up with it; what was held up arrives within this time after the
/// stall has ended.
const STALLED_ARRIVAL_WITHIN: Duration = Duration::from_millis(500);

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// With its rows.
    Returned,
    /// Rejected by the gateway.
    Rejected,
    /// With an error of this name.
    Errored(String),
    /// The client cancelled it, or disconnected.
    Abandoned,
    /// The gateway's process was killed, or cut the connection as it ended.
    GatewayGone,
}

impl From<Answer> for Outcome {
    fn from(answer: Answer) -> Outcome {
        match answer {
            Answer::Rows(_) | Answer::Pong => Outcome::Returned,
            Answer::Error(name, _) if name == "Rejected" => Outcome::Rejected,
            Answer::Error(name, _) => Outcome::Errored(name),
        }
    }
}

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The gateway's process that it was sent to.
    pub process: usize,
    /// Its request class.
    pub class: &'static str,
    /// When it was sent.
    pub at: Instant,
    /// All that was answered.
    pub outcomes: Vec<Outcome>,
}

/// How many retries a gateway may send.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// In each window.
    pub free: f64,
    /// For each request in the window.
    pub per_request: f64,
    /// The window's length.
    pub window: Duration,
}

/// When an engine's process was announced to drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainAnnouncement {
    /// The engine's process.
    pub process: usize,
    /// When all discovery services had been told.
    pub at: Instant,
}

/// A time in which a gateway could not hear its discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryOutage {
    /// The gateway: its number, or its process.
    pub gateway: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// A time in which the connections between a gateway and an engine stalled: what had been sent arrived after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionStall {
    /// The gateway: its number, or its process.
    pub gateway: usize,
    /// The engine: its number, or its process.
    pub engine: usize,
    /// When it began.
    pub from: Instant,
    /// When it ended.
    pub until: Instant,
}

/// Everything that was recorded of a run. A statement consists of its class, its key and its number within the key; a fourth
/// word is the request's id where the gateway gave the engines another one.
pub struct RunRecord<'a> {
    /// What engines recorded.
    pub audit_log: &'a AuditLog,
    /// What clients recorded, by the request's id.
    pub sent: &'a HashMap<String, SentRequest>,
    /// Engines' processes that were announced to drain.
    pub drained: &'a [DrainAnnouncement],
    /// By gateways' processes.
    pub outages: &'a [DiscoveryOutage],
    /// By gateways' and engines' processes.
    pub stalls: &'a [ConnectionStall],
    /// Requests may be sent to a draining engine for this long.
    pub drain_grace: Duration,
    /// The retry budget of each gateway.
    pub retry_budget: RetryBudget,
}

/// How much of what the rules are about took place, so that a run that tried little can be told.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    /// Attempts beyond the first of their request.
    pub retries: usize,
    /// Requests of the key with the most.
    pub longest_key: usize,
}

/// What an audit found.
#[derive(Clone, Debug, Default)]
pub struct AuditReport {
    /// All that broke a rule, in words.
    pub violations: Vec<String>,
    /// How much was tried.
    pub coverage: Coverage,
}

/// A value, and the statement that it is of.
#[derive(Clone, Copy)]
struct Observed<'a, T> {
    value: T,
    id: &'a str,
}

/// The greatest value so far, and the greatest of any other id: a request may run twice beside itself.
struct GreatestByOther<'a, T> {
    greatest: Option<Observed<'a, T>>,
    of_another: Option<Observed<'a, T>>,
}

impl<'a, T: Ord + Copy> GreatestByOther<'a, T> {
    fn new() -> Self {
        GreatestByOther { greatest: None, of_another: None }
    }

    fn observe(&mut self, value: T, id: &'a str) {
        match &mut self.greatest {
            Some(greatest) if greatest.id == id => greatest.value = value.max(greatest.value),
            Some(greatest) if greatest.value >= value => {
                if self.of_another.is_none_or(|other| value > other.value) {
                    self.of_another = Some(Observed { value, id });
                }
            }
            _ => self.of_another = self.greatest.replace(Observed { value, id }),
        }
    }

    fn greatest_of_others(&self, id: &str) -> Option<Observed<'a, T>> {
        [self.greatest, self.of_another].into_iter().flatten().find(|observed| observed.id != id)
    }
}

/// A statement of a key, as it ran.
struct KeyedExecution<'a> {
    /// Its number within the key, in the order sent.
    number: usize,
    started: Instant,
    ended: Instant,
    id: &'a str,
}

impl RunRecord<'_> {
    /// Checks all rules.
    pub fn audit(&self) -> AuditReport {
        let mut violations = Vec::new();
        self.check_answers(&mut violations);
        let longest_key = self.check_key_order(&mut violations);
        self.check_drains(&mut violations);
        let retries = self.check_retry_budgets(&mut violations);
        AuditReport { violations, coverage: Coverage { retries, longest_key } }
    }

    /// Rules 1 and 2: one answer to each request, and no effect twice.
    fn check_answers(&self, violations: &mut Vec<String>) {
        let mut times_run: HashMap<&str, usize> = HashMap::new();
        for execution in &self.audit_log.executions {
            let id = execution.statement.split(' ').nth(3).unwrap_or(&execution.id);
            *times_run.entry(id).or_default() += 1;
        }
        for (id, SentRequest { class, outcomes, .. }) in self.sent {
            if outcomes.len() != 1 {
                violations.push(format!("answers to {id} of {class}: {outcomes:?}"));
            }
            let times = times_run.get(&id[..]).copied().unwrap_or(0);
            let rejected = outcomes.contains(&Outcome::Rejected);
            if *class == "once" && (times > 1 || rejected && times > 0) {
                violations.push(format!("{id} ran {times} times and ended {outcomes:?}"));
            }
        }
    }

    /// Rule 5: statements of one key in the order sent, never two at once. Returns the most statements of one key.
    fn check_key_order(&self, violations: &mut Vec<String>) -> usize {
        let mut keys = self.executions_by_key();
        for (key, executions) in &mut keys {
            executions.sort_by_key(|execution| execution.started);
            // Of those that began before: the one sent last, and the one that ended last.
            let mut sent_last = GreatestByOther::<usize>::new();
            let mut ended_last = GreatestByOther::<Instant>::new();
            for KeyedExecution { number, started, ended, id } in executions.iter() {
                if let Some(before) = sent_last.greatest_of_others(id)
                    && before.value >= *number
                {
                    let other = before.id;
                    violations.push(format!("key {key}: {id} began after {other}, which was sent later"));
                }
                if let Some(before) = ended_last.greatest_of_others(id) {
                    let overlap = before.value.saturating_duration_since(*started);
                    if overlap > AUDIT_LOG_SLACK {
                        let other = before.id;
                        violations
                            .push(format!("key {key}: {id} began {overlap:?} before the end of {other}"));
                    }
                }
                sent_last.observe(*number, id);
                ended_last.observe(*ended, id);
            }
        }
        keys.values().map(Vec::len).max().unwrap_or(0)
    }

    fn executions_by_key(&self) -> BTreeMap<&str, Vec<KeyedExecution<'_>>> {
        let mut keys: BTreeMap<&str, Vec<KeyedExecution<'_>>> = BTreeMap::new();
        let keyed = |statement: &str| statement.starts_with("load");
        for execution in self.audit_log.executions.iter().filter(|execution| keyed(&execution.statement)) {
            let words: Vec<&str> = execution.statement.split(' ').collect();
            if let ([_, key, number, ..], Some(ended)) = (&words[..], execution.ended) {
                keys.entry(*key).or_default().push(KeyedExecution {
                    number: number.parse().unwrap_or(0),
                    started: execution.started,
                    ended,
                    id: &execution.id,
                });
            }
        }
        keys
    }

    /// Rule 3: nothing is sent to a draining engine once the grace is over.
    fn check_drains(&self, violations: &mut Vec<String>) {
        for drained in self.drained {
            let late = self.audit_log.arrivals.iter().find(|arrival| {
                let gateway = self.sent.get(&arrival.id).map(|sent| sent.process);
                arrival.process == drained.process && self.is_late(arrival.at, gateway, *drained)
            });
            if let Some(late) = late {
                let after = late.at.saturating_duration_since(drained.at);
                violations.push(format!(
                    "sent to a draining engine: {} at process {}, {after:?} after it was announced",
                    late.id, drained.process
                ));
            }
        }
    }

    /// Whether an arrival at a draining process was sent too late by this gateway.
    fn is_late(&self, arrived: Instant, gateway: Option<usize>, drained: DrainAnnouncement) -> bool {
        // Announced just before the discovery service could not be heard, it may not have arrived.
        let outage = self.outages.iter().find(|outage| {
            Some(outage.gateway) == gateway
                && outage.from <= drained.at + STALLED_ARRIVAL_WITHIN
                && drained.at < outage.until
        });
        let received =
            outage.map_or(drained.at, |outage| (drained.at + LIST_RECEIVED_WITHIN).min(outage.until));
        let last_allowed = received + self.drain_grace;
        let sent_before_a_stall = self.stalls.iter().any(|stall| {
            Some(stall.gateway) == gateway
                && stall.engine == drained.process
                && stall.from <= last_allowed
                && arrived >= stall.until
                && arrived < stall.until + STALLED_ARRIVAL_WITHIN
        });
        arrived > last_allowed && !sent_before_a_stall
    }

    /// Rule 7, by gateway, in the window that ends with each retry. Returns the number of retries in all.
    fn check_retry_budgets(&self, violations: &mut Vec<String>) -> usize {
        let retries = self.retries_by_gateway();
        let mut requests: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
        self.sent.values().for_each(|sent| requests.entry(sent.process).or_default().push(sent.at));
        requests.values_mut().for_each(|sent| sent.sort());
        let window = self.retry_budget.window;
        for (gateway, retries) in &retries {
            let requests = requests.get(gateway).map_or(&[][..], Vec::as_slice);
            for last in retries {
                // The window's start is outside of it, its end inside.
                let count_in_window = |times: &[Instant]| {
                    let start = times.partition_point(|time| last.saturating_duration_since(*time) >= window);
                    (times.partition_point(|time| time <= last) - start) as f64
                };
                let budget =
                    self.retry_budget.free + self.retry_budget.per_request * count_in_window(requests);
                let used = count_in_window(retries);
                let allowed = budget * RETRY_BUDGET_SLACK + 1.0;
                if used > allowed {
                    violations
                        .push(format!("gateway {gateway}: {used} retries in a window, {allowed} allowed"));
                }
            }
        }
        retries.values().map(Vec::len).sum()
    }

    /// When retries arrived, in order.
    fn retries_by_gateway(&self) -> BTreeMap<usize, Vec<Instant>> {
        let mut first_attempts = HashSet::new();
        let mut retries: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
        let arrivals = self.audit_log.arrivals.iter();
        for arrival in arrivals.filter(|arrival| !first_attempts.insert(&arrival.id)) {
            // Nothing says whose a request is that the gateway named by itself: it counts with the first gateway.
            let gateway = self.sent.get(&arrival.id).map_or(0, |sent| sent.process);
            retries.entry(gateway).or_default().push(arrival.at);
        }
        retries.values_mut().for_each(|arrived| arrived.sort());
        retries
    }
}
