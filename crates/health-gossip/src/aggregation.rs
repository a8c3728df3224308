//! Aggregates the reports of other gateways into good and bad outcomes of engines. Outcomes that this gateway observed
//! itself aren't part of the aggregate; they always count in full.
//!
//! A source is a zone, or a gateway if all gateways are in one zone. Each source contributes at most one bad and one
//! good outcome in each window, and bad outcomes count only after two sources reported them within a window. A single
//! faulty gateway or zone therefore can't cause the ejection of a healthy engine, however often it reports failures,
//! and even if this gateway observed nothing itself. Failures reported by a gateway that finds most engines failing
//! are ignored, because that gateway's own network is probably at fault.

use crate::EngineProcess;
use crate::counts::{DecayedOutcomes, decayed};
use crate::observation_store::{FailingEngines, NewOutcomes};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum of recent failures at a source. Two failures are required; 1.5 allows for the decay of the first failure.
const MIN_RECENT_FAILURES: f64 = 1.5;
/// Tolerance for rounding errors in sums of fractions.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Settings of the aggregation of reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregationSettings {
    /// Time in which each source contributes at most one good and one bad outcome for an engine.
    pub window: Duration,
    /// Age at which a report no longer counts. The weight of a report falls linearly to zero at this age.
    pub max_age: Duration,
}

/// Outcomes from reports of other gateways. Values may be fractions, because old reports count less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerEvidence {
    /// Weighted number of bad outcomes.
    pub bad: f64,
    /// Weighted number of good outcomes.
    pub good: f64,
}

/// New outcomes that a gateway reported about one engine, and the number of engines that the gateway finds failing.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Outcomes that no earlier aggregation included.
    pub new: NewOutcomes,
    /// Failing engines in all reports of the same gateway.
    pub failing_engines: FailingEngines,
}

/// Name of a zone, or of a gateway if all gateways are in one zone.
type Source = String;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SourceKey {
    process: EngineProcess,
    source: Source,
}

/// Good and bad outcomes have separate allowances. With a common allowance, the good outcomes of a healthy engine would
/// leave nothing for the bad outcomes when the engine fails.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AllowanceKey {
    process: EngineProcess,
    source: Source,
    bad: bool,
}

#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Outcomes that the source may still contribute at `updated_at`.
    remaining: f64,
    updated_at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct RecentOutcomesOfSource {
    outcomes: DecayedOutcomes,
    updated_at: Timestamp,
}

/// Bad outcomes from one source that no second source has confirmed yet.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedFailures {
    bad: f64,
    updated_at: Timestamp,
}

/// Aggregates the reports of other gateways into outcomes.
#[derive(Clone, Debug)]
pub struct Aggregator {
    settings: AggregationSettings,
    allowances: BTreeMap<AllowanceKey, Allowance>,
    recent: BTreeMap<SourceKey, RecentOutcomesOfSource>,
    unconfirmed: BTreeMap<EngineProcess, BTreeMap<Source, UnconfirmedFailures>>,
    /// Evidence, of less than one outcome each, that was left over when whole outcomes were taken.
    remainders: BTreeMap<EngineProcess, PeerEvidence>,
}

/// Adds `added` to `sum`, then subtracts and returns the whole outcomes in `sum`.
fn take_whole_outcomes(sum: &mut f64, added: f64) -> usize {
    let whole = (*sum + added + ROUNDING_TOLERANCE).floor();
    *sum += added - whole;
    whole as usize
}

impl Aggregator {
    /// Creates an aggregator without evidence.
    pub fn new(settings: AggregationSettings) -> Aggregator {
        Aggregator {
            settings,
            allowances: BTreeMap::new(),
            recent: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            remainders: BTreeMap::new(),
        }
    }

    /// Converts evidence, plus the fractions left over from earlier calls, into whole outcomes. Yields `true` for
    /// each bad outcome, then `false` for each good outcome.
    pub fn whole_outcomes(
        &mut self,
        process: EngineProcess,
        evidence: PeerEvidence,
    ) -> impl Iterator<Item = bool> + use<> {
        let remainder = self.remainders.entry(process).or_default();
        let bad = take_whole_outcomes(&mut remainder.bad, evidence.bad);
        let good = take_whole_outcomes(&mut remainder.good, evidence.good);
        std::iter::repeat_n(true, bad).chain(std::iter::repeat_n(false, good))
    }

    /// Aggregates new reports about one engine process into evidence. `zones` are the zones of all live gateways.
    pub fn aggregate(
        &mut self,
        process: EngineProcess,
        reports: &[PeerReport],
        zones: &BTreeSet<String>,
        now: Timestamp,
    ) -> PeerEvidence {
        let mut evidence = PeerEvidence::default();
        for (source, reports) in self.by_source(process, reports, zones, now) {
            let key = SourceKey { process, source };
            // Good and bad reports from one source cancel out, but recent failures take precedence over earlier
            // answers.
            let reported = if self.fails_recently(&key, now) {
                PeerEvidence { bad: 1.0, good: 0.0 }
            } else {
                PeerEvidence {
                    bad: (reports.bad - reports.good).max(0.0),
                    good: (reports.good - reports.bad).max(0.0),
                }
            };
            let bad = self.take_allowance(&key, true, reported.bad, now);
            if bad > 0.0 {
                self.add_unconfirmed_failures(&key, bad, now);
            }
            evidence.good += self.take_allowance(&key, false, reported.good, now);
        }
        evidence.bad = self.take_confirmed_failures(process, now);
        evidence
    }

    /// Combines the reports of all gateways of each source.
    fn by_source(
        &mut self,
        process: EngineProcess,
        reports: &[PeerReport],
        zones: &BTreeSet<String>,
        now: Timestamp,
    ) -> BTreeMap<Source, PeerEvidence> {
        let mut by_source: BTreeMap<Source, PeerEvidence> = BTreeMap::new();
        for PeerReport { new, failing_engines } in reports {
            let freshness = (1.0 - now.since(new.received_at) / self.settings.max_age).max(0.0);
            let is_own_network_fault = failing_engines.suggests_own_network_fault();
            let source = if zones.len() > 1 { new.zone.clone() } else { new.gateway.clone() };
            if !is_own_network_fault {
                self.add_recent(SourceKey { process, source: source.clone() }, new, now);
            }
            let evidence = by_source.entry(source).or_default();
            // A report counts as one observation however many attempts it covers, because many attempts that met the
            // same fault aren't independent. Only recent answers make a good outcome, since earlier answers may have
            // come before the engine failed.
            let recent = DecayedOutcomes::from(new.counts.recent);
            let is_bad = new.counts.failed > new.counts.answered;
            let is_good = recent.answered > recent.failed && !is_bad;
            evidence.bad = evidence.bad.max(if is_bad && !is_own_network_fault { freshness } else { 0.0 });
            evidence.good = evidence.good.max(if is_good { freshness } else { 0.0 });
        }
        by_source
    }

    /// Adds the recent outcomes of a report to those of its source.
    fn add_recent(&mut self, key: SourceKey, new: &NewOutcomes, now: Timestamp) {
        let no_outcomes = RecentOutcomesOfSource { outcomes: DecayedOutcomes::default(), updated_at: now };
        let recent = self.recent.entry(key).or_insert(no_outcomes);
        let previous = recent.outcomes.decayed_over(now.since(recent.updated_at));
        let added = DecayedOutcomes::from(new.counts.recent).decayed_over(now.since(new.received_at));
        recent.outcomes = DecayedOutcomes {
            answered: previous.answered + added.answered,
            failed: previous.failed + added.failed,
        };
        recent.updated_at = now;
    }

    /// Whether recently more attempts from the source failed than were answered, and at least two attempts failed.
    fn fails_recently(&self, key: &SourceKey, now: Timestamp) -> bool {
        self.recent.get(key).is_some_and(|RecentOutcomesOfSource { outcomes, updated_at }| {
            outcomes.failed > outcomes.answered
                && decayed(outcomes.failed, now.since(*updated_at)) >= MIN_RECENT_FAILURES
        })
    }

    /// Takes up to `wanted` from the outcomes that a source may contribute in this window, and returns the taken
    /// amount.
    fn take_allowance(&mut self, key: &SourceKey, bad: bool, wanted: f64, now: Timestamp) -> f64 {
        if wanted <= 0.0 {
            return 0.0;
        }
        let key = AllowanceKey { process: key.process, source: key.source.clone(), bad };
        let allowance = self.allowances.entry(key).or_insert(Allowance { remaining: 1.0, updated_at: now });
        let refilled = now.since(allowance.updated_at) / self.settings.window;
        allowance.remaining = (allowance.remaining + refilled).min(1.0);
        allowance.updated_at = now;
        let taken = wanted.min(allowance.remaining);
        allowance.remaining -= taken;
        taken
    }

    fn add_unconfirmed_failures(&mut self, key: &SourceKey, bad: f64, now: Timestamp) {
        let of_process = self.unconfirmed.entry(key.process).or_default();
        let unconfirmed =
            of_process.entry(key.source.clone()).or_insert(UnconfirmedFailures { bad: 0.0, updated_at: now });
        unconfirmed.bad += bad;
        unconfirmed.updated_at = now;
    }

    /// Removes and returns the bad outcomes of a process if at least two sources reported them within a window.
    fn take_confirmed_failures(&mut self, process: EngineProcess, now: Timestamp) -> f64 {
        let Some(unconfirmed) = self.unconfirmed.get_mut(&process) else { return 0.0 };
        unconfirmed.retain(|_, unconfirmed| now.since(unconfirmed.updated_at) < self.settings.window);
        if unconfirmed.len() < 2 {
            return 0.0;
        }
        std::mem::take(unconfirmed).into_values().map(|unconfirmed| unconfirmed.bad.min(1.0)).sum()
    }

    /// Removes the state of sources that have been silent for a window, and of processes that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(EngineProcess) -> bool, now: Timestamp) {
        let is_within_window = |time: Timestamp| now.since(time) < self.settings.window;
        self.recent.retain(|key, recent| is_listed(key.process) && is_within_window(recent.updated_at));
        self.allowances
            .retain(|key, allowance| is_listed(key.process) && is_within_window(allowance.updated_at));
        self.unconfirmed.retain(|process, by_source| {
            by_source.retain(|_, unconfirmed| is_within_window(unconfirmed.updated_at));
            is_listed(*process) && !by_source.is_empty()
        });
        self.remainders.retain(|process, _| is_listed(*process));
    }
}
