//! The rules over a cluster with members, leases, probing and quotas while its processes and the network between them break,
//! drawn by seed: gateways killed and started again, suspended, cut off; engines replaced at their addresses.

use larchfall_fault_tests::audit::{
    ConnectionStall, DiscoveryOutage, DrainAnnouncement, Outcome, RetryBudget, RunRecord, SentRequest,
};
use larchfall_fault_tests::fault_script::history::{PerformedStep, connection_stalls, discovery_outages};
use larchfall_fault_tests::fault_script::{FaultScript, Step, basic_fault_weights};
use larchfall_fault_tests::scenario;
use larchfall_fault_tests::scenario::config::{Feature, ScenarioConfig};
use larchfall_stub::stub_engines::{Arrival, AuditLog, Execution};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_larchfall-faulty-host");
const RETRY_BUDGET: RetryBudget =
    RetryBudget { free: 2.0, per_request: 0.1, window: Duration::from_secs(10) };
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Five gateways, or more by hand: GATEWAYS=24; nine seconds, or more by hand: SECONDS=1800.
fn config() -> ScenarioConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let default = ScenarioConfig::default();
    ScenarioConfig {
        gateways: number("GATEWAYS").map_or(default.gateways, |gateways| gateways as usize),
        duration_ms: number("SECONDS").map_or(default.duration_ms, |seconds| seconds * 1000),
        features: [Feature::Probing, Feature::Quotas].into(),
        fault_weights: basic_fault_weights(),
        ..default
    }
}

fn run_seed(seed: u64) {
    let config = config();
    let folder = std::env::temp_dir().join(format!("larchfall-rules-{seed}-{}", std::process::id()));
    let result = scenario::run::run(PROGRAM, &config, &config.script(seed), &folder).unwrap();
    let violations = &result.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}, left in {}", folder.display());
    let summary = &result.summary;
    println!("seed {seed}: {summary:?}");
    assert!(summary.requests > 200 && summary.longest_key > 5, "seed {seed}: too little");
}

#[test]
fn the_rules_hold_over_all_gateways_while_they_and_the_network_between_them_break() {
    // More by hand: GATEWAYS=24 SEEDS="301 302" cargo test -p larchfall-fault-tests --test rules -- --nocapture
    let seeds = std::env::var("SEEDS").unwrap_or_else(|_| "201 202".into());
    seeds.split_whitespace().for_each(|seed| run_seed(seed.parse().unwrap()));
}

/// A run, of which each case says what differs.
struct Recorded {
    began: Instant,
    arrivals: Vec<Arrival>,
    executions: Vec<Execution>,
    class: &'static str,
    outcomes: Vec<Outcome>,
    drained: Option<DrainAnnouncement>,
}

impl Recorded {
    /// A request `a` of a class, with these answers.
    fn request(class: &'static str, outcomes: &[Outcome]) -> Recorded {
        Recorded {
            began: Instant::now(),
            arrivals: Vec::new(),
            executions: Vec::new(),
            class,
            outcomes: outcomes.to_vec(),
            drained: None,
        }
    }

    fn returned(class: &'static str) -> Recorded {
        Recorded::request(class, &[Outcome::Returned])
    }

    fn at(&self, ms: u64) -> Instant {
        self.began + Duration::from_millis(ms)
    }

    /// It arrived at the engine this often.
    fn arrived(mut self, ms: u64, times: usize) -> Recorded {
        let arrival = Arrival { id: "a".into(), process: 0, at: self.at(ms) };
        self.arrivals.extend(vec![arrival; times]);
        self
    }

    fn ran(mut self, id: &str, statement: &str, started_ms: u64, ended_ms: u64) -> Recorded {
        self.executions.push(Execution {
            id: id.into(),
            statement: statement.into(),
            process: 0,
            started: self.at(started_ms),
            ended: Some(self.at(ended_ms)),
        });
        self
    }

    /// The engine was announced to drain.
    fn drained(mut self, ms: u64) -> Recorded {
        self.drained = Some(DrainAnnouncement { process: 0, at: self.at(ms) });
        self
    }

    fn violations(self) -> Vec<String> {
        // One gateway could not hear its discovery service for a while; that of another counts for the other only.
        let outage =
            |gateway, from, until| DiscoveryOutage { gateway, from: self.at(from), until: self.at(until) };
        let outages = [outage(0, 3_000, 6_000), outage(1, 0, 9_000)];
        // And its connection to the engine stalled; that of another, and to another engine, for all the time.
        let stall = |gateway, engine, from, until| ConnectionStall {
            gateway,
            engine,
            from: self.at(from),
            until: self.at(until),
        };
        let stalls = [stall(0, 0, 900, 2_600), stall(1, 0, 0, 20_000), stall(0, 1, 0, 20_000)];
        let sent =
            SentRequest { process: 0, class: self.class, at: self.began, outcomes: self.outcomes.clone() };
        RunRecord {
            audit_log: &AuditLog { arrivals: self.arrivals.clone(), executions: self.executions.clone() },
            sent: &HashMap::from([("a".to_owned(), sent)]),
            drained: self.drained.as_slice(),
            outages: &outages,
            stalls: &stalls,
            drain_grace: DRAIN_GRACE,
            retry_budget: RETRY_BUDGET,
        }
        .audit()
        .violations
    }
}

/// The auditor itself: each rule broken once, and a run that breaks none.
#[test]
fn each_rule_that_is_broken_is_named() {
    let request = Recorded::request;
    let returned = Recorded::returned;
    // (the run, a word of what is said of it)
    let cases = [
        (returned("once").arrived(1, 1).ran("a", "once k 1", 1, 9), ""),
        (request("look", &[]), "answers to a"),
        (request("look", &[Outcome::Returned, Outcome::Abandoned]), "answers to a"),
        (returned("once").ran("a", "once k 1", 1, 9).ran("a", "once k 1", 1, 9), "ran 2 times"),
        (request("once", &[Outcome::Rejected]).ran("a", "once k 1", 1, 9), "ran 1 times and ended"),
        (returned("load").ran("b", "load k 2", 1, 9).ran("a", "load k 1", 9, 20), "sent later"),
        (returned("load").ran("b", "load k 1", 1, 30).ran("a", "load k 2", 9, 20), "before the end"),
        (returned("look").arrived(2_500, 1).drained(100), "draining engine"),
        (returned("look").arrived(2_700, 1).drained(100), ""),
        (returned("look").arrived(3_200, 1).drained(100), "draining engine"),
        (returned("look").arrived(7_500, 1).drained(4_000), ""),
        // Announced as the outage was about to begin, and long enough before that.
        (returned("look").arrived(7_500, 1).drained(2_800), ""),
        (returned("look").arrived(4_600, 1).drained(2_400), "draining engine"),
        (returned("look").arrived(8_100, 1).drained(4_000), "draining engine"),
        (returned("look").arrived(1, 4), ""),
        (returned("look").arrived(1, 5), "retries in a window"),
    ];
    for (run, says) in cases {
        let violations = run.violations();
        assert_eq!(violations.is_empty(), says.is_empty(), "{says}: {violations:?}");
        assert!(violations.iter().all(|violation| violation.contains(says)), "{says}: {violations:?}");
    }
}

/// A gateway whose discovery service was cut hears nothing until it is healed; one that is replaced, until its process has ended.
#[test]
fn discovery_outages_follow_from_what_was_done() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let done = |ms: u64, step: Step| PerformedStep { at: at(ms), step };
    let cut = |ms: u64| done(ms, Step::DiscoveryCut { gateway: 1 });
    let replace = |ms: u64, gateway| done(ms, Step::Replace { gateway });
    // (what was done, from when till when the gateway heard nothing)
    let cases = [
        (vec![cut(1), done(5, Step::DiscoveriesHeal)], 1, 5),
        (vec![cut(1), replace(2, 1), done(9, Step::Heal)], 1, 9),
        (vec![cut(1), replace(2, 2), done(9, Step::DiscoveriesHeal)], 1, 9),
        (vec![cut(1), cut(2), done(3, Step::Restart { gateway: 1 })], 1, 3),
    ];
    for (steps, from, until) in cases {
        let outage = DiscoveryOutage { gateway: 1, from: at(from), until: at(until) };
        assert_eq!(discovery_outages(&steps), [outage], "{steps:?}");
    }
}

#[test]
fn connection_stalls_follow_from_what_was_done() {
    let began = Instant::now();
    let at = |ms: u64| began + Duration::from_millis(ms);
    let stall = PerformedStep { at: at(1), step: Step::EngineStall { gateway: 0, engine: 2 } };
    for end in [Step::EnginesHeal, Step::EngineCut { gateway: 0, engine: 2 }] {
        let steps = [stall.clone(), PerformedStep { at: at(5), step: end }];
        let expected = ConnectionStall { gateway: 0, engine: 2, from: at(1), until: at(5) };
        assert_eq!(connection_stalls(&steps), [expected], "{steps:?}");
    }
}

#[test]
fn a_script_is_the_same_for_its_seed_and_read_back_from_its_text() {
    let draw = |seed| ScenarioConfig::default().script(seed);
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7).steps, draw(8).steps);
    assert_eq!(FaultScript::read(&draw(7).text()), Ok(draw(7)));
    assert!(draw(7).steps.is_sorted_by_key(|timed| timed.at_ms));
}
