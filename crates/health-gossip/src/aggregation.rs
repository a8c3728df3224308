//! How much the reports of others count for an engine, as outcomes beside this gateway's own, which count whole and are not
//! weighed here.
//!
//! Each source (a zone, or a gateway where all are in one zone) has one bad and one good outcome a window at most, and bad
//! ones count only once two sources reported them within a window: however often one gateway or zone reports it, and even
//! where this gateway observed nothing itself, no healthy engine is ejected for it. Reports of a gateway that finds most
//! engines failing are about its own network.

use crate::EngineProcess;
use crate::counts::{DecayedOutcomes, decayed};
use crate::observation_store::{FailingEngines, NewOutcomes};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Failures that a source must have had recently: two, of which the first has decayed a little.
const MIN_RECENT_FAILURES: f64 = 1.5;
/// Sums of fractions may be off by as much.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// How reports are weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AggregationSettings {
    /// Each source has one outcome of a kind in this time.
    pub window: Duration,
    /// A report counts less as it ages, and nothing from this age on.
    pub max_age: Duration,
}

/// Outcomes to be counted beside this gateway's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerEvidence {
    /// Bad outcomes.
    pub bad: f64,
    /// Good outcomes.
    pub good: f64,
}

/// New outcomes, with how many engines their gateway finds failing.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// What is new.
    pub new: NewOutcomes,
    /// Of the gateway that reported it.
    pub failing_engines: FailingEngines,
}

/// A zone, or a gateway where all are in one zone.
type Source = String;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SourceKey {
    process: EngineProcess,
    source: Source,
}

/// Good and bad outcomes have an allowance each: with a common one, good outcomes of an engine that works would use up what
/// is to be reported when it breaks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct AllowanceKey {
    process: EngineProcess,
    source: Source,
    bad: bool,
}

#[derive(Clone, Copy, Debug)]
struct Allowance {
    remaining: f64,
    at: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct RecentOfSource {
    outcomes: DecayedOutcomes,
    at: Timestamp,
}

/// Bad outcomes that only one source has reported yet.
#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    bad: f64,
    at: Timestamp,
}

/// Turns the reports of others into outcomes.
#[derive(Clone, Debug)]
pub struct Aggregator {
    settings: AggregationSettings,
    allowances: BTreeMap<AllowanceKey, Allowance>,
    recent: BTreeMap<SourceKey, RecentOfSource>,
    unconfirmed: BTreeMap<EngineProcess, BTreeMap<Source, Unconfirmed>>,
    /// Fractions of outcomes that are not a whole one yet.
    remainders: BTreeMap<EngineProcess, PeerEvidence>,
}

/// Takes the whole outcomes out of a sum.
fn take_whole(sum: &mut f64, added: f64) -> usize {
    let whole = (*sum + added + ROUNDING_TOLERANCE).floor();
    *sum += added - whole;
    whole as usize
}

impl Aggregator {
    /// Without reports yet.
    pub fn new(settings: AggregationSettings) -> Aggregator {
        Aggregator {
            settings,
            allowances: BTreeMap::new(),
            recent: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            remainders: BTreeMap::new(),
        }
    }

    /// The whole outcomes that evidence comes to with the fractions left over before: whether each is bad, bad ones first.
    pub fn whole_outcomes(
        &mut self,
        process: EngineProcess,
        evidence: PeerEvidence,
    ) -> impl Iterator<Item = bool> + use<> {
        let remainder = self.remainders.entry(process).or_default();
        let bad = take_whole(&mut remainder.bad, evidence.bad);
        let good = take_whole(&mut remainder.good, evidence.good);
        std::iter::repeat_n(true, bad).chain(std::iter::repeat_n(false, good))
    }

    /// What new reports about one process count. `zones` are those of all live gateways.
    pub fn aggregate(
        &mut self,
        process: EngineProcess,
        reports: &[PeerReport],
        zones: &BTreeSet<String>,
        now: Timestamp,
    ) -> PeerEvidence {
        let mut evidence = PeerEvidence::default();
        for (source, reported) in self.by_source(process, reports, zones, now) {
            let key = SourceKey { process, source };
            // A source that reports both ways says nothing; but what it observed recently goes before what it did earlier.
            let said = if self.fails_recently(&key, now) {
                PeerEvidence { bad: 1.0, good: 0.0 }
            } else {
                PeerEvidence {
                    bad: (reported.bad - reported.good).max(0.0),
                    good: (reported.good - reported.bad).max(0.0),
                }
            };
            let bad = self.take_allowance(&key, true, said.bad, now);
            if bad > 0.0 {
                self.add_unconfirmed(&key, bad, now);
            }
            evidence.good += self.take_allowance(&key, false, said.good, now);
        }
        evidence.bad = self.take_confirmed(process, now);
        evidence
    }

    /// What each source reports, its gateways together.
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
            let is_own_network = failing_engines.suggests_own_network_fault();
            let source = if zones.len() > 1 { new.zone.clone() } else { new.gateway.clone() };
            if !is_own_network {
                self.add_recent(SourceKey { process, source: source.clone() }, new, now);
            }
            let evidence = by_source.entry(source).or_default();
            // Counts of one report are one observation: many requests that met the same fault are no more witnesses. An
            // answer of before the engine broke is no good outcome now.
            let recent = DecayedOutcomes::from(new.counts.recent);
            let is_bad = new.counts.failed > new.counts.answered;
            let is_good = recent.answered > recent.failed && !is_bad;
            evidence.bad = evidence.bad.max(if is_bad && !is_own_network { freshness } else { 0.0 });
            evidence.good = evidence.good.max(if is_good { freshness } else { 0.0 });
        }
        by_source
    }

    /// Adds to what a source observed recently, by all its reports.
    fn add_recent(&mut self, key: SourceKey, new: &NewOutcomes, now: Timestamp) {
        let nothing = RecentOfSource { outcomes: DecayedOutcomes::default(), at: now };
        let recent = self.recent.entry(key).or_insert(nothing);
        let before = recent.outcomes.decayed_over(now.since(recent.at));
        let added = DecayedOutcomes::from(new.counts.recent).decayed_over(now.since(new.received_at));
        recent.outcomes = DecayedOutcomes {
            answered: before.answered + added.answered,
            failed: before.failed + added.failed,
        };
        recent.at = now;
    }

    /// Whether more failed at the source recently than was answered, and more than once.
    fn fails_recently(&self, key: &SourceKey, now: Timestamp) -> bool {
        self.recent.get(key).is_some_and(|RecentOfSource { outcomes, at }| {
            outcomes.failed > outcomes.answered
                && decayed(outcomes.failed, now.since(*at)) >= MIN_RECENT_FAILURES
        })
    }

    /// Takes of what a source may still report in this window.
    fn take_allowance(&mut self, key: &SourceKey, bad: bool, wanted: f64, now: Timestamp) -> f64 {
        if wanted <= 0.0 {
            return 0.0;
        }
        let key = AllowanceKey { process: key.process, source: key.source.clone(), bad };
        let allowance = self.allowances.entry(key).or_insert(Allowance { remaining: 1.0, at: now });
        let refilled = now.since(allowance.at) / self.settings.window;
        allowance.remaining = (allowance.remaining + refilled).min(1.0);
        allowance.at = now;
        let taken = wanted.min(allowance.remaining);
        allowance.remaining -= taken;
        taken
    }

    fn add_unconfirmed(&mut self, key: &SourceKey, bad: f64, now: Timestamp) {
        let of_process = self.unconfirmed.entry(key.process).or_default();
        let unconfirmed = of_process.entry(key.source.clone()).or_insert(Unconfirmed { bad: 0.0, at: now });
        unconfirmed.bad += bad;
        unconfirmed.at = now;
    }

    /// Takes the bad outcomes of a process once two sources reported them within a window.
    fn take_confirmed(&mut self, process: EngineProcess, now: Timestamp) -> f64 {
        let Some(unconfirmed) = self.unconfirmed.get_mut(&process) else { return 0.0 };
        unconfirmed.retain(|_, unconfirmed| now.since(unconfirmed.at) < self.settings.window);
        if unconfirmed.len() < 2 {
            return 0.0;
        }
        std::mem::take(unconfirmed).into_values().map(|unconfirmed| unconfirmed.bad.min(1.0)).sum()
    }

    /// Forgets sources that said nothing for a window, and processes that are not listed any more.
    pub fn retain(&mut self, is_listed: impl Fn(EngineProcess) -> bool, now: Timestamp) {
        let is_within_window = |at: Timestamp| now.since(at) < self.settings.window;
        self.recent.retain(|key, recent| is_listed(key.process) && is_within_window(recent.at));
        self.allowances.retain(|key, allowance| is_listed(key.process) && is_within_window(allowance.at));
        self.unconfirmed.retain(|process, by_source| {
            by_source.retain(|_, unconfirmed| is_within_window(unconfirmed.at));
            is_listed(*process) && !by_source.is_empty()
        });
        self.remainders.retain(|process, _| is_listed(*process));
    }
}
