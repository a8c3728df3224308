//! Runs one scenario: starts the cluster, its engines and clients, breaks what the script says, heals it, waits until the
//! cluster is healthy, ends everything, and audits what was recorded.

use crate::audit::{
    AuditReport, ConnectionStall, Coverage, DiscoveryOutage, DrainAnnouncement, Outcome, RetryBudget,
    RunRecord, SentRequest,
};
use crate::fault_script::FaultScript;
use crate::fault_script::fault_files::FaultFiles;
use crate::fault_script::history::{PerformedStep, connection_stalls, discovery_outages};
use crate::fault_script::{runner, timeline};
use crate::fenced_resource::FencedResource;
use crate::gateway_cluster::GatewayCluster;
use crate::gateway_config::{config_of, gateway_name, settings_for, with_load_requests};
use crate::network::unique_loopback_address;
use crate::proxy::Proxies;
use crate::scenario::client::{ClientSettings, RequestLog, draw_statement_outcome, run_client};
use crate::scenario::config::ScenarioConfig;
use crate::scenario::engines::{EngineReplacer, ListedEngines};
use crate::scenario::findings::{self, Summary, SummaryInputs};
use crate::scenario::observer::{Observations, Observer, Recovery, RunClock};
use crate::scenario::processes::Processes;
use crate::scenario::records::{self, Record, RecordKind};
use crate::sync::lock;
use crate::wait::wait_until;
use larchfall_stub::stub_engines::{StatementOutcome, StubEngines};
use nanorand::WyRand;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const RETRY_BUDGET: RetryBudget =
    RetryBudget { free: 2.0, per_request: 0.1, window: Duration::from_secs(10) };
/// [`RETRY_BUDGET`] in the platform's settings.
const RETRY_BUDGET_SETTINGS: &str =
    r#""safety":{"budget_free":2.0,"extra_per_request":0.1,"extra_window":10000000,"#;
const DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The operator's programs act this often.
const ACTION_INTERVAL: Duration = Duration::from_millis(40);
/// Statements take this long once all faults are healed.
const CALM_SERVICE_TIME: Duration = Duration::from_millis(10);
/// What a gateway's process may grow by over a run.
const MAX_MEMORY_GROWTH_BYTES: usize = 24 << 20;
const MAX_CONNECTIONS: usize = 256;
/// Files, sockets between gateways and the like.
const DESCRIPTORS_BESIDE_CONNECTIONS: usize = 64;

/// All that came of a run.
pub struct ScenarioResult {
    /// As one line.
    pub summary: Summary,
    /// All that did not hold.
    pub violations: Vec<String>,
    /// Rows of the report.
    pub records: Vec<Record>,
    /// What was done.
    pub performed: Vec<PerformedStep>,
    /// How much was tried.
    pub coverage: Coverage,
    /// The folder with script, logs and time line, where something did not hold.
    pub left_in: Option<PathBuf>,
}

/// All that runs in a scenario.
struct TestBed<'a> {
    config: &'a ScenarioConfig,
    cluster: GatewayCluster,
    engines: Mutex<ListedEngines>,
    engine_proxies: Proxies,
    fault_files: FaultFiles,
    resource: FencedResource,
    /// Statements succeed quickly from now on.
    calm: Arc<AtomicBool>,
    client_settings: ClientSettings,
    clients: Vec<JoinHandle<()>>,
    processes: Processes,
    initial_memory: Vec<usize>,
    clock: RunClock,
}

/// What was seen in a run, beside what clients and engines recorded.
struct RunObservations {
    performed: Vec<PerformedStep>,
    drained: Vec<DrainAnnouncement>,
    watched: Observations,
    recoveries: Vec<Recovery>,
}

/// Runs a script. What the gateways do wrong is in the result; an error is what the machine itself refuses. Where something does
/// not hold, `failure_folder` gets script, logs and time line.
pub fn run(
    program: &'static str,
    config: &ScenarioConfig,
    script: &FaultScript,
    failure_folder: &Path,
) -> io::Result<ScenarioResult> {
    let folder =
        std::env::temp_dir().join(format!("larchfall-scenario-{}-{}", script.seed, std::process::id()));
    let mut test_bed = TestBed::start(program, config, script.seed, &folder)?;
    let observations = test_bed.break_and_heal(script);
    let resources = test_bed.check_resources();
    let client_panics = test_bed.stop_clients();
    let engines = &lock(&test_bed.engines).engines;
    wait_until("all statements to be over", || engines.running() == 0);

    let audit = test_bed.audit(engines, &observations);
    let actions = test_bed.resource.audit_log();
    let mut violations = audit.violations;
    violations.extend(observations.watched.violations);
    violations.extend(resources.violations);
    violations.extend(client_panics);
    violations.extend(recovery_violations(&observations.recoveries, config));
    violations.extend(test_bed.unanswered_requests());
    violations.extend(findings::fencing_violations(&actions));
    violations.extend(findings::forbidden_log_lines(&test_bed.cluster));

    let log = &test_bed.client_settings.log;
    let mut records = observations.watched.records;
    records.extend(resources.records);
    records.extend(findings::recovery_records(&observations.recoveries));
    records.extend(findings::step_records(test_bed.clock, &observations.performed));
    records.extend(findings::outcome_records(test_bed.clock, log));
    records.extend(findings::term_records(test_bed.clock, &actions));
    records.sort_by_key(|record| record.at_ms);
    let summary = SummaryInputs {
        seed: script.seed,
        violations: &violations,
        coverage: audit.coverage,
        log,
        actions: &actions,
        recoveries: &observations.recoveries,
    }
    .summary();
    let _ = std::fs::remove_dir_all(&folder);
    let performed = observations.performed;
    let mut left_in = None;
    if !violations.is_empty() {
        timeline::write(failure_folder, script, &test_bed.cluster, &performed)?;
        left_in = Some(failure_folder.to_owned());
    }
    Ok(ScenarioResult { summary, violations, records, performed, coverage: audit.coverage, left_in })
}

fn start_engines(config: &ScenarioConfig, seed: u64, calm: &Arc<AtomicBool>) -> io::Result<StubEngines> {
    let random = Mutex::new(WyRand::new_seed(seed));
    let calm = calm.clone();
    // Ports of this address are taken by no other run while an engine is being replaced.
    let listen = vec![format!("{}:0", unique_loopback_address()); config.engines];
    let listen: Vec<&str> = listen.iter().map(String::as_str).collect();
    StubEngines::start(&listen, move |_, _| {
        if calm.load(Ordering::Relaxed) {
            StatementOutcome::Succeeds(CALM_SERVICE_TIME)
        } else {
            draw_statement_outcome(&random)
        }
    })
}

fn start_cluster(
    program: &'static str,
    config: &ScenarioConfig,
    seed: u64,
    engine_proxies: &Proxies,
    fault_files: &FaultFiles,
    resource: &FencedResource,
) -> GatewayCluster {
    let known_engines: Vec<Vec<SocketAddr>> =
        (0..config.gateways).map(|gateway| engine_proxies.addresses(gateway)).collect();
    let environments: Vec<_> = (0..config.gateways).map(|gateway| fault_files.environment(gateway)).collect();
    let zones = config.zones;
    let zone_names: Vec<String> = (0..zones).map(|zone| format!("\"z{zone}\"")).collect();
    let settings = settings_for(config.gateways)
        .replace(r#""safety":{"#, RETRY_BUDGET_SETTINGS)
        .replace("\"zones\":[\"east\"]", &format!("\"zones\":[\"east\",{}]", zone_names.join(",")));
    let settings = with_load_requests(&settings);
    let command = resource.command(ACTION_INTERVAL);
    GatewayCluster::new(program, config.gateways, seed)
        .with_operator_tables(|gateway| config.operator_tables(&fault_files.record_folder(gateway), &command))
        .with_environment(move |gateway| environments[gateway].clone())
        .with_config(move |gateway, discovery| {
            config_of("127.0.0.1:0", discovery, &known_engines[gateway], MAX_CONNECTIONS, &settings)
        })
        .with_zones(move |gateway| format!("z{}", gateway % zones))
        .start_all()
}

fn start_client(
    address: SocketAddr,
    process: usize,
    settings: &ClientSettings,
    clients: &mut Vec<JoinHandle<()>>,
) {
    let settings = settings.clone();
    clients.push(thread::spawn(move || run_client(address, process, &settings)));
}

impl<'a> TestBed<'a> {
    /// Starts everything; clients send from now on.
    fn start(
        program: &'static str,
        config: &'a ScenarioConfig,
        seed: u64,
        folder: &Path,
    ) -> io::Result<TestBed<'a>> {
        let fault_files = FaultFiles::new(folder, config.gateways)?;
        let calm = Arc::new(AtomicBool::new(false));
        let engines = start_engines(config, seed, &calm)?;
        let addresses: Vec<SocketAddr> = (0..config.engines).map(|engine| engines.address(engine)).collect();
        let engine_proxies = Proxies::start(config.gateways, &addresses)?;
        let resource = FencedResource::start()?;
        let cluster = start_cluster(program, config, seed, &engine_proxies, &fault_files, &resource);
        cluster.wait_until_joined();
        let client_settings = ClientSettings {
            seed,
            open_requests: config.open_requests,
            load_factor: Arc::new(AtomicU32::new(1)),
            stop: Arc::new(AtomicBool::new(false)),
            log: Arc::new(RequestLog::default()),
        };
        let processes = Processes::new(config.gateways);
        let mut clients = Vec::new();
        for gateway in 0..config.gateways {
            start_client(cluster.gateway(gateway).address, gateway, &client_settings, &mut clients);
        }
        let memory = |gateway| cluster.gateway(gateway).resource_use().memory_bytes;
        let initial_memory = (0..config.gateways).map(memory).collect();
        Ok(TestBed {
            config,
            cluster,
            engines: Mutex::new(ListedEngines::new(engines, config.engines)),
            engine_proxies,
            fault_files,
            resource,
            calm,
            client_settings,
            clients,
            processes,
            initial_memory,
            clock: RunClock { began: Instant::now() },
        })
    }

    /// Where gateways answer what they see.
    fn operator_addresses(&self) -> Vec<SocketAddrV4> {
        let addresses = (0..self.config.gateways).map(|gateway| self.cluster.network.bind_address(gateway));
        addresses
            .filter_map(|address| match address {
                SocketAddr::V4(address) => Some(address),
                SocketAddr::V6(_) => None,
            })
            .collect()
    }

    /// Carries the script out, with engines being replaced beside it, and waits for the cluster to recover.
    fn break_and_heal(&mut self, script: &FaultScript) -> RunObservations {
        let observer =
            Observer { config: self.config, gateways: self.operator_addresses(), clock: self.clock };
        // Of each gateway that runs; they are told of engines that are replaced.
        let discoveries = Mutex::new(Vec::new());
        let update_discoveries = |cluster: &GatewayCluster| {
            let running = cluster.running().map(|gateway| cluster.gateway(gateway).discovery.clone());
            *lock(&discoveries) = running.collect();
        };
        update_discoveries(&self.cluster);
        let script_over = AtomicBool::new(false);
        let recovered = AtomicBool::new(false);
        let replacer = EngineReplacer {
            engines: &self.engines,
            discoveries: &discoveries,
            proxies: &self.engine_proxies,
            interval: Duration::from_millis(self.config.replacement_interval_ms),
            sudden_one_in: self.config.sudden_one_in,
            stop: &script_over,
        };
        let surroundings = runner::Surroundings {
            engine_proxies: &self.engine_proxies,
            load_factor: &self.client_settings.load_factor,
            fault_files: &self.fault_files,
        };
        thread::scope(|scope| {
            let replacing = scope.spawn(|| replacer.run());
            let watching = scope.spawn(|| observer.watch(&recovered));
            let performed = runner::run(script, &mut self.cluster, &surroundings, |cluster, gateway| {
                update_discoveries(cluster);
                let started = cluster.gateway(gateway);
                lock(&self.engines).publish_to(&started.discovery, gateway, &self.engine_proxies);
                let process = self.processes.replace(gateway);
                start_client(started.address, process, &self.client_settings, &mut self.clients);
            });
            script_over.store(true, Ordering::Relaxed);
            self.calm.store(true, Ordering::Relaxed);
            let drained = replacing.join().unwrap_or_default();
            let recoveries = observer.wait_for_recovery(&self.engines);
            recovered.store(true, Ordering::Relaxed);
            RunObservations { performed, drained, watched: watching.join().unwrap_or_default(), recoveries }
        })
    }

    /// Memory and descriptors of gateways.
    fn check_resources(&self) -> Observations {
        let mut found = Observations::default();
        for (gateway, before) in self.initial_memory.iter().enumerate() {
            let name = gateway_name(gateway);
            let memory = self.cluster.gateway(gateway).resource_use().memory_bytes;
            let descriptors = self.cluster.gateway(gateway).descriptor_count();
            let at_ms = self.clock.ms(Instant::now());
            let megabytes = memory as f64 / 1e6;
            found.records.push(Record::new(at_ms, RecordKind::Memory, &name[..], megabytes));
            found.records.push(Record::new(at_ms, RecordKind::Descriptors, &name[..], descriptors as f64));
            if self.processes.is_first(gateway) && memory > before + MAX_MEMORY_GROWTH_BYTES {
                found.violations.push(format!("{name} grew from {before} to {memory} bytes"));
            }
            if descriptors > MAX_CONNECTIONS + DESCRIPTORS_BESIDE_CONNECTIONS {
                found.violations.push(format!("{name} has {descriptors} descriptors"));
            }
        }
        found
    }

    /// Waits until clients have all answers; one line for each that panicked.
    fn stop_clients(&mut self) -> Vec<String> {
        self.client_settings.stop.store(true, Ordering::Relaxed);
        let panicked = self.clients.drain(..).filter_map(|client| client.join().err());
        panicked.map(|_| "a client panicked".to_owned()).collect()
    }

    fn audit(&self, engines: &StubEngines, observations: &RunObservations) -> AuditReport {
        let outages: Vec<DiscoveryOutage> = discovery_outages(&observations.performed)
            .into_iter()
            .map(|outage| DiscoveryOutage {
                gateway: self.processes.running_at(outage.gateway, outage.from),
                ..outage
            })
            .collect();
        let stalls = connection_stalls(&observations.performed);
        let stalls: Vec<ConnectionStall> =
            stalls.iter().flat_map(|stall| self.stalls_by_process(*stall, &observations.drained)).collect();
        RunRecord {
            audit_log: &engines.audit_log(),
            sent: &lock(&self.client_settings.log.sent),
            drained: &observations.drained,
            outages: &outages,
            stalls: &stalls,
            drain_grace: DRAIN_GRACE,
            retry_budget: RETRY_BUDGET,
        }
        .audit()
    }

    /// A stall between a gateway and an engine, by numbers, as stalls between all processes of the one and all drained
    /// processes of the other: engines' processes follow each other by turns over the addresses.
    fn stalls_by_process(
        &self,
        stall: ConnectionStall,
        drained: &[DrainAnnouncement],
    ) -> Vec<ConnectionStall> {
        let mut stalls = Vec::new();
        for gateway in self.processes.of_gateway(stall.gateway) {
            let at_address = |process: &usize| process % self.config.engines == stall.engine;
            for engine in drained.iter().map(|drained| drained.process).filter(at_address) {
                stalls.push(ConnectionStall { gateway, engine, ..stall });
            }
        }
        stalls
    }

    /// Requests whose gateway ended their connection, though it was neither killed nor told to end.
    fn unanswered_requests(&self) -> Vec<String> {
        let sent: &HashMap<String, SentRequest> = &lock(&self.client_settings.log.sent);
        sent.iter()
            .filter(|(_, request)| request.outcomes == [Outcome::GatewayGone])
            .filter(|(_, request)| !self.processes.has_ended(request.process))
            .map(|(id, request)| format!("{id} not answered by process {}, which runs", request.process))
            .collect()
    }
}

fn recovery_violations(recoveries: &[Recovery], config: &ScenarioConfig) -> Vec<String> {
    let limit = config.recovery_limit_ms;
    let violation = |recovery: &Recovery| {
        let problem = recovery.result.as_ref().err()?;
        Some(format!("{} not healthy after {limit} ms: {problem}", recovery.aspect.word()))
    };
    recoveries.iter().filter_map(violation).collect()
}

/// Writes script, violations, rows and the summary to a folder.
pub fn save(result: &ScenarioResult, script: &FaultScript, folder: &Path) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(folder.join("script.toml"), script.text())?;
    std::fs::write(folder.join("faults.txt"), result.violations.join("\n"))?;
    records::write(&folder.join("rows.csv"), &result.records)?;
    records::write(&folder.join("summary.csv"), std::slice::from_ref(&result.summary))
}
