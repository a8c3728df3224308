//! What follows from the records of a run: violations beside those of the audit, rows of the report, and the summary.

use crate::audit::{Coverage, Outcome};
use crate::fault_script::history::PerformedStep;
use crate::fenced_resource::Action;
use crate::gateway_cluster::GatewayCluster;
use crate::scenario::client::{EndedRequest, LATENCY_OBJECTIVE, RequestLog};
use crate::scenario::observer::{Recovery, RunClock};
use crate::scenario::records::{Record, RecordKind};
use crate::sync::lock;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Ended requests are counted over intervals of this length.
const BIN_MS: u64 = 500;

/// What came of a run, as one line of a table.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Of the script.
    pub seed: u64,
    /// Number of violations.
    #[serde(rename = "faults")]
    pub violations: usize,
    /// The first of them.
    #[serde(rename = "first")]
    pub first_violation: String,
    /// Number of requests sent.
    #[serde(rename = "batches")]
    pub requests: usize,
    /// Fraction of them that was returned in time.
    pub in_time: f64,
    /// Fraction of them that was returned.
    pub returned: f64,
    /// Fraction of them that was rejected.
    #[serde(rename = "pushed_back")]
    pub rejected: f64,
    /// Attempts beyond the first of their request.
    #[serde(rename = "further")]
    pub retries: usize,
    /// Requests of the key with the most.
    pub longest_key: usize,
    /// From the last fault until all was healthy.
    #[serde(rename = "plain_ms")]
    pub recovery_ms: u64,
    /// The longest time without an action under a lease of the operator's.
    #[serde(rename = "gap_ms")]
    pub longest_gap_ms: u64,
    /// Actions with an outdated token.
    #[serde(rename = "refused")]
    pub rejected_actions: usize,
}

/// What a summary is made of.
pub(crate) struct SummaryInputs<'a> {
    pub(crate) seed: u64,
    pub(crate) violations: &'a [String],
    pub(crate) coverage: Coverage,
    pub(crate) log: &'a RequestLog,
    pub(crate) actions: &'a [Action],
    pub(crate) recoveries: &'a [Recovery],
}

impl SummaryInputs<'_> {
    pub(crate) fn summary(&self) -> Summary {
        let requests = lock(&self.log.sent).len();
        let ended = lock(&self.log.ended);
        let fraction = |counts: &dyn Fn(&EndedRequest) -> bool| {
            ended.iter().filter(|request| counts(request)).count() as f64 / requests.max(1) as f64
        };
        let returned = |request: &EndedRequest| request.outcome == Outcome::Returned;
        let recovery = self.recoveries.iter().filter_map(|recovery| recovery.result.as_ref().ok()).max();
        Summary {
            seed: self.seed,
            violations: self.violations.len(),
            first_violation: self.violations.first().cloned().unwrap_or_default(),
            requests,
            in_time: fraction(&|request| returned(request) && request.took <= LATENCY_OBJECTIVE),
            returned: fraction(&returned),
            rejected: fraction(&|request| request.outcome == Outcome::Rejected),
            retries: self.coverage.retries,
            longest_key: self.coverage.longest_key,
            recovery_ms: recovery.copied().unwrap_or_default().as_millis() as u64,
            longest_gap_ms: longest_gap(self.actions).as_millis() as u64,
            rejected_actions: self.actions.iter().filter(|action| !action.accepted).count(),
        }
    }
}

/// Between two accepted actions under one lease.
fn longest_gap(actions: &[Action]) -> Duration {
    let leases: BTreeSet<&str> = actions.iter().map(|action| &action.lease[..]).collect();
    let gap = |lease: &str| {
        let accepted = actions.iter().filter(|action| action.accepted && action.lease == lease);
        let times: Vec<Instant> = accepted.map(|action| action.at).collect();
        times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or_default()
    };
    leases.into_iter().map(gap).max().unwrap_or_default()
}

/// A term of a lease: the time in which it is held under one token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Term<'a> {
    lease: &'a str,
    token: u64,
}

/// Violations of fencing: no action is accepted, or tried, under a token older than one that was accepted. Fencing is there
/// for programs that are suspended out of every gateway's reach; here each has a supervisor beside it that ends it in time.
/// And no two processes act by turns under one token.
pub fn fencing_violations(actions: &[Action]) -> Vec<String> {
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    let mut acted: BTreeMap<Term<'_>, Vec<u32>> = BTreeMap::new();
    let mut violations = Vec::new();
    for action in actions {
        let newest = newest.entry(&action.lease).or_default();
        if action.token < *newest {
            let how = if action.accepted { "acted" } else { "tried to act" };
            violations.push(format!("{} {how} under {}, after {newest}", action.lease, action.token));
        }
        if action.accepted {
            *newest = action.token.max(*newest);
        }
        let processes = acted.entry(Term { lease: &action.lease, token: action.token }).or_default();
        if processes.last() != Some(&action.process) {
            if processes.contains(&action.process) {
                violations
                    .push(format!("{}: {processes:?} act by turns under {}", action.lease, action.token));
            }
            processes.push(action.process);
        }
    }
    violations
}

/// Lines that no process of a gateway may log: panics, and ends by a fault of its own.
pub(crate) fn forbidden_log_lines(cluster: &GatewayCluster) -> Vec<String> {
    let forbidden = |line: &str| line.contains("panicked") || line.contains("CRIT");
    let mut found = Vec::new();
    for process in &cluster.logs {
        for line in process.log.lines().iter().filter(|line| forbidden(&line.text)) {
            found.push(format!("{}: {}", process.name, line.text));
        }
    }
    found
}

/// The steps of the script.
pub(crate) fn step_records(clock: RunClock, performed: &[PerformedStep]) -> Vec<Record> {
    let record = |(number, performed): (u32, &PerformedStep)| {
        let step = format!("{:?}", performed.step);
        Record::new(clock.ms(performed.at), RecordKind::Fault, step, f64::from(number))
    };
    (0..).zip(performed).map(record).collect()
}

/// How many requests ended in which way, over time.
pub(crate) fn outcome_records(clock: RunClock, log: &RequestLog) -> Vec<Record> {
    let mut counts: BTreeMap<u64, BTreeMap<&str, usize>> = BTreeMap::new();
    for request in lock(&log.ended).iter() {
        // The words of reports that were written before.
        let how = match request.outcome {
            Outcome::Returned if request.took <= LATENCY_OBJECTIVE => "in time",
            Outcome::Returned => "late",
            Outcome::Rejected => "pushed back",
            Outcome::Errored(_) => "errored",
            Outcome::Abandoned | Outcome::GatewayGone => "front gone",
        };
        let bin_ms = clock.ms(request.at) / BIN_MS * BIN_MS;
        *counts.entry(bin_ms).or_default().entry(how).or_default() += 1;
    }
    let mut records = Vec::new();
    for (bin_ms, by_outcome) in counts {
        for (how, count) in by_outcome {
            records.push(Record::new(bin_ms, RecordKind::Requests, how, count as f64));
        }
    }
    records
}

/// When the operator's programs first and last acted under each token.
pub(crate) fn term_records(clock: RunClock, actions: &[Action]) -> Vec<Record> {
    struct Acted {
        first: Instant,
        last: Instant,
    }
    let mut terms: BTreeMap<Term<'_>, Acted> = BTreeMap::new();
    for action in actions.iter().filter(|action| action.accepted) {
        let term = Term { lease: &action.lease, token: action.token };
        terms.entry(term).or_insert(Acted { first: action.at, last: action.at }).last = action.at;
    }
    let mut records = Vec::new();
    for (term, acted) in terms {
        let subject = format!("{} {}", term.token, term.lease);
        records.push(Record::new(clock.ms(acted.first), RecordKind::Holds, subject.clone(), 1.0));
        records.push(Record::new(clock.ms(acted.last), RecordKind::Holds, subject, 0.0));
    }
    records
}

/// How long each aspect took to recover.
pub(crate) fn recovery_records(recoveries: &[Recovery]) -> Vec<Record> {
    let mut records = Vec::new();
    for recovery in recoveries {
        if let Ok(after) = recovery.result {
            let ms = after.as_millis() as f64;
            records.push(Record::new(0, RecordKind::Recovery, recovery.aspect.word(), ms));
        }
    }
    records
}
