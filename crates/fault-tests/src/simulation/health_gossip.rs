//! Health gossip of a whole cluster in one process: the real policy and the real gossip of each gateway, a network between
//! them that loses messages, engines of which one stops working and works again, and gateways that lie.

use super::Simulation;
use super::event_queue::EventQueue;
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::aggregation::AggregationSettings;
use larchfall_health_gossip::datagram::MAX_ENTRIES;
use larchfall_health_gossip::health_gossip::{HealthGossip, PeerOutcome};
use larchfall_health_gossip::observation_store::{Reporter, StoreLimits};
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_policy::event::HealthEvidence;
use larchfall_policy::policy::{Policy, TICK_INTERVAL};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{
    AfterAttempt, AttemptEvidence, AttemptParameters, AttemptResult, Capabilities, Engine, EngineKind,
    Idempotency, LastObservation, Outcome, PolicyConfig, Request, RequestClass, RoutingDecision, Topology,
};
use nanorand::{Rng, WyRand};
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

/// Number of engines.
pub const ENGINES: usize = 20;
/// The engine that stops working, or that is lied about.
pub const BAD_ENGINE: usize = 7;

const START: Timestamp = Timestamp::from_micros(1_000_000_000);
/// From one report of a gateway to the next.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(250);
/// Gateways that each report is sent to.
const FANOUT: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const FAILURE_TIME: Duration = Duration::from_millis(2);
const DELAY_MICROS: Range<u64> = 200..5_000;
const REQUEST_DEADLINE: Duration = Duration::from_millis(5_000);
/// With few data sets each gateway would keep to the few engines that have the one.
const DATA_SETS: u32 = 500;
/// One gateway in this many has more traffic than the others.
const BUSY_ONE_IN: usize = 10;
/// This many times as much.
const BUSY_FACTOR: f64 = 8.0;
/// The mean over all gateways, in units of what those have that are not busy: nine of ten, and one of eight times as much.
const MEAN_OF_OTHERS: f64 = 1.7;
const ZONES: [&str; 3] = ["east", "west", "north"];
/// Processes of engines that a gateway remembers.
const MAX_PROCESSES: usize = 64;
/// Times that a liar observes a failure between two reports.
const LIES_PER_REPORT: usize = 3;
/// Outcomes that a gateway counts for a verdict that it believes.
const OUTCOMES_PER_VERDICT: usize = 2;

/// What gateways tell each other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum GossipMode {
    /// Nothing.
    None,
    /// That an engine fails; a gateway that hears it believes it.
    Verdicts,
    /// Reports of what they observed.
    Reports,
    /// Reports, and an ejected engine is probed by one gateway in each slot of this length.
    ReportsWithProbeSlots(Duration),
}

/// A cluster to simulate.
#[derive(Clone, Debug)]
pub struct GossipSetup {
    /// Number of gateways.
    pub gateways: usize,
    /// What they tell each other.
    pub mode: GossipMode,
    /// Requests a second of a gateway in the mean; every tenth gateway has eight times as many as the others.
    pub requests_per_second: f64,
    /// Fraction of messages that is lost, in 0..=1.
    pub loss: f64,
    /// This many gateways, all of one zone, say that [`BAD_ENGINE`] fails, whatever they observe.
    pub liars: usize,
}

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct GossipCounts {
    /// Requests of all gateways.
    pub requests: usize,
    /// Attempts that met the engine that does not work.
    pub failed_attempts: usize,
    /// Time for which gateways that do not lie had [`BAD_ENGINE`] ejected, summed over them.
    pub ejected_time: Duration,
}

enum Event {
    RequestArrives { gateway: usize },
    AttemptEnds { gateway: usize, request: usize, attempt: u8, engine: usize, succeeded: bool },
    PolicyTick { gateway: usize },
    GossipTimer { gateway: usize },
    ReportArrives { to: usize, sent: Rc<SentReport> },
}

struct SentReport {
    from: usize,
    report: Report,
}

struct SimulatedGateway {
    policy: Policy,
    observations: Observations,
    gossip: HealthGossip,
    requests_per_second: f64,
    next_request: usize,
}

impl SimulatedGateway {
    fn has_ejected(&self, engine: usize) -> bool {
        self.policy.engine_health(engine).is_some_and(|health| health.ejected)
    }
}

/// The cluster.
pub struct GossipSimulation {
    /// Whether [`BAD_ENGINE`] works.
    pub bad_engine_works: bool,
    /// What was counted since it was last taken.
    pub counts: GossipCounts,
    setup: GossipSetup,
    gateways: Vec<SimulatedGateway>,
    /// The zones of the gateways, all of which live, by name.
    living: BTreeMap<String, String>,
    now: Timestamp,
    queue: EventQueue<Event>,
    random: WyRand,
}

fn engine_process(engine: usize) -> EngineProcess {
    EngineProcess { id: engine as u32, started_ms: 1 }
}

fn name(gateway: usize) -> String {
    format!("n{gateway:04}")
}

fn zone(gateway: usize) -> &'static str {
    ZONES[gateway % ZONES.len()]
}

fn policy_config(gateways: usize) -> PolicyConfig {
    let class = RequestClass {
        priority_weight: 1.0,
        latency_objective: Duration::from_millis(500),
        objective_stretch: 0.0,
        idempotency: Idempotency::Idempotent,
        in_order: false,
        threads: 1.0,
        locks_data_set: false,
        waits_for_data_lock: false,
        allowed_zones: None,
        allowed_kinds: None,
    };
    // Cores for all, so that nothing here is about load.
    let kind = EngineKind { cores: gateways.max(8) as f64, memory_mb: 0.0 };
    let capabilities = Capabilities {
        max_attempts: 3,
        clock_resolution: Duration::from_millis(1),
        ..Capabilities::default()
    };
    let topology = Topology { gateway_count: gateways, gateway_index: 0, zone: 0, engine_kinds: vec![kind] };
    PolicyConfig { topology, classes: vec![class], capabilities, ..PolicyConfig::default() }
}

impl GossipSimulation {
    /// Gateways that all have just started.
    pub fn start(setup: GossipSetup, seed: u64) -> GossipSimulation {
        let gateways = (0..setup.gateways).map(|gateway| start_gateway(&setup, gateway, seed)).collect();
        let living = (0..setup.gateways).map(|gateway| (name(gateway), zone(gateway).to_owned())).collect();
        let mut simulation = GossipSimulation {
            bad_engine_works: true,
            counts: GossipCounts::default(),
            setup,
            gateways,
            living,
            now: START,
            queue: EventQueue::new(),
            random: WyRand::new_seed(seed),
        };
        for gateway in 0..simulation.gateways.len() {
            let first_tick = START + TICK_INTERVAL * simulation.random.generate::<f64>();
            let first_report = START + GOSSIP_INTERVAL * simulation.random.generate::<f64>();
            simulation.queue.schedule(first_tick, Event::PolicyTick { gateway });
            simulation.queue.schedule(first_report, Event::GossipTimer { gateway });
            simulation.schedule_request(gateway);
        }
        simulation
    }

    /// The gateways that do not lie and have [`BAD_ENGINE`] ejected.
    pub fn ejecting_gateways(&self) -> usize {
        (0..self.gateways.len()).filter(|gateway| self.ejects_honestly(*gateway)).count()
    }

    fn ejects_honestly(&self, gateway: usize) -> bool {
        !self.lies(gateway) && self.gateways[gateway].has_ejected(BAD_ENGINE)
    }

    /// Liars are of one zone, at the end of the cluster.
    fn lies(&self, gateway: usize) -> bool {
        let last = self.gateways.len() - 1;
        zone(gateway) == zone(last) && (last - gateway) / ZONES.len() < self.setup.liars
    }

    fn schedule_request(&mut self, gateway: usize) {
        let exponential = -(1.0 - self.random.generate::<f64>()).ln();
        let gap = exponential / self.gateways[gateway].requests_per_second;
        self.queue.schedule(self.now + Duration::from_secs(gap), Event::RequestArrives { gateway });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives { gateway } => self.admit_request(gateway),
            Event::AttemptEnds { gateway, request, attempt, engine, succeeded } => {
                self.end_attempt(gateway, request, attempt, engine, succeeded);
            }
            Event::PolicyTick { gateway } => {
                let policy = &mut self.gateways[gateway].policy;
                policy.tick(self.now);
                drop(policy.take_events());
                self.queue.schedule(self.now + TICK_INTERVAL, Event::PolicyTick { gateway });
            }
            Event::GossipTimer { gateway } => {
                self.gossip(gateway);
                self.queue.schedule(self.now + GOSSIP_INTERVAL, Event::GossipTimer { gateway });
            }
            Event::ReportArrives { to, sent } => {
                let from = name(sent.from);
                let reporter = Reporter { gateway: &from, generation: 1, zone: zone(sent.from) };
                let SentReport { report, .. } = &*sent;
                self.gateways[to].gossip.on_report(reporter, report.number, &report.entries, self.now);
            }
        }
    }

    fn admit_request(&mut self, gateway: usize) {
        self.schedule_request(gateway);
        self.counts.requests += 1;
        let data_set = self.random.generate_range(0..DATA_SETS);
        let request = Request { deadline: self.now + REQUEST_DEADLINE, data_set, ..Request::default() };
        let admitting = &mut self.gateways[gateway];
        let number = admitting.next_request;
        admitting.next_request += 1;
        admitting.policy.admit(self.now, number, request);
        self.route(gateway, number, 0);
    }

    fn route(&mut self, gateway: usize, request: usize, attempt: u8) {
        match self.gateways[gateway].policy.route(self.now, request) {
            RoutingDecision::Send(AttemptParameters { engine, .. }) => {
                let succeeded = engine != BAD_ENGINE || self.bad_engine_works;
                self.counts.failed_attempts += usize::from(!succeeded);
                let takes = if succeeded { SERVICE_TIME } else { FAILURE_TIME };
                let end = Event::AttemptEnds { gateway, request, attempt, engine, succeeded };
                self.queue.schedule(self.now + takes, end);
            }
            RoutingDecision::Wait
            | RoutingDecision::Reject(_)
            | RoutingDecision::Fail
            | RoutingDecision::CancelAttempt(_) => {}
        }
    }

    fn end_attempt(&mut self, gateway: usize, request: usize, attempt: u8, engine: usize, succeeded: bool) {
        let outcome = if succeeded { Outcome::Returned } else { Outcome::Errored };
        let ending = &mut self.gateways[gateway];
        if let Some(observation) = Observation::from_outcome(outcome) {
            ending.observations.record(engine_process(engine), observation, self.now);
        }
        let evidence = AttemptEvidence { last: LastObservation::Ended, same_process: true };
        let result = AttemptResult {
            request_finished: succeeded,
            duration: SERVICE_TIME,
            ..AttemptResult::from_outcome(outcome, evidence)
        };
        let after = ending.policy.on_attempt_finished(self.now, request, attempt, &result);
        if after == AfterAttempt::RouteAgain {
            self.route(gateway, request, attempt + 1);
        }
    }

    /// A gateway sends its report and takes over what the others reported.
    fn gossip(&mut self, gateway: usize) {
        if self.ejects_honestly(gateway) {
            self.counts.ejected_time = self.counts.ejected_time + GOSSIP_INTERVAL;
        }
        match self.setup.mode {
            GossipMode::None => {}
            GossipMode::Verdicts => self.send_report(gateway),
            GossipMode::Reports | GossipMode::ReportsWithProbeSlots(_) => {
                self.send_report(gateway);
                self.take_over_reports(gateway);
            }
        }
    }

    fn take_over_reports(&mut self, gateway: usize) {
        let lies = self.lies(gateway);
        let taking = &mut self.gateways[gateway];
        let own: Vec<_> = taking.observations.all().collect();
        let outcomes = taking.gossip.take_outcomes(&own, &self.living, |_| true, self.now);
        for PeerOutcome { process, bad } in outcomes.into_iter().filter(|_| !lies) {
            taking.policy.record_engine_outcome(self.now, process.id as usize, bad, HealthEvidence::Gossip);
        }
        for engine in 0..ENGINES {
            if taking.has_ejected(engine) {
                let process = engine_process(engine);
                let may_probe = taking.gossip.may_probe(&name(gateway), process, &self.living, self.now);
                taking.policy.set_probe_slot(engine, may_probe);
            }
        }
    }

    fn send_report(&mut self, from: usize) {
        if self.lies(from) {
            for _ in 0..LIES_PER_REPORT {
                let observations = &mut self.gateways[from].observations;
                observations.record(engine_process(BAD_ENGINE), Observation::Failed, self.now);
            }
        }
        let says_failing = self.lies(from) || self.ejects_honestly(from);
        let report = self.gateways[from].observations.next_report(MAX_ENTRIES, self.now);
        let sent = Rc::new(SentReport { from, report });
        for _ in 0..FANOUT.min(self.gateways.len() - 1) {
            let to = self.random.generate_range(0..self.gateways.len());
            if to == from || self.random.generate::<f64>() < self.setup.loss {
                continue;
            }
            if self.setup.mode == GossipMode::Verdicts {
                if says_failing && !self.lies(to) {
                    self.believe_verdict(to);
                }
                continue;
            }
            let delay = Duration::from_micros(self.random.generate_range(DELAY_MICROS));
            let arrival = Event::ReportArrives { to, sent: sent.clone() };
            self.queue.schedule(self.now + delay, arrival);
        }
    }

    fn believe_verdict(&mut self, gateway: usize) {
        let policy = &mut self.gateways[gateway].policy;
        for _ in 0..OUTCOMES_PER_VERDICT {
            policy.record_engine_outcome(self.now, BAD_ENGINE, true, HealthEvidence::Gossip);
        }
    }
}

fn start_gateway(setup: &GossipSetup, gateway: usize, seed: u64) -> SimulatedGateway {
    let mut policy = Policy::new(seed ^ (gateway as u64) << 20, policy_config(setup.gateways));
    let engine = Engine { start_time: None, ..Engine::default() };
    (0..ENGINES).for_each(|place| policy.update_engine(START, place, engine));
    let probe_slot = match setup.mode {
        GossipMode::ReportsWithProbeSlots(slot) => Some(slot),
        GossipMode::None | GossipMode::Verdicts | GossipMode::Reports => None,
    };
    let limits = StoreLimits { gateways: 2048, processes: MAX_PROCESSES };
    let aggregation =
        AggregationSettings { window: Duration::from_millis(10_000), max_age: Duration::from_millis(4_000) };
    let others_rate = setup.requests_per_second / MEAN_OF_OTHERS;
    let is_busy = gateway.is_multiple_of(BUSY_ONE_IN);
    SimulatedGateway {
        policy,
        observations: Observations::new(MAX_PROCESSES),
        gossip: HealthGossip::new(limits, aggregation, probe_slot),
        requests_per_second: if is_busy { others_rate * BUSY_FACTOR } else { others_rate },
        next_request: 0,
    }
}

impl Simulation for GossipSimulation {
    fn now(&self) -> Timestamp {
        self.now
    }

    fn run(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some(next) = self.queue.next_until(until) {
            self.now = next.at;
            self.handle(next.event);
        }
        self.now = until;
    }

    fn poll_interval(&self) -> Duration {
        GOSSIP_INTERVAL
    }
}
