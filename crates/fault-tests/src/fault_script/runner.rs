//! Carries a script out on a cluster.

use super::fault_files::FaultFiles;
use super::history::PerformedStep;
use super::{FaultScript, Step};
use crate::gateway_cluster::GatewayCluster;
use crate::network::Link;
use crate::proxy::{Proxies, ProxyMode};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// An operator file that cannot be read.
const INVALID_OPERATOR_CONFIG: &str = "[fronts]\nname = ";

/// What a script changes beside the cluster and its network.
pub struct Surroundings<'a> {
    /// From gateways to engines.
    pub engine_proxies: &'a Proxies,
    /// Clients keep this many times as many requests open as they are set to.
    pub load_factor: &'a AtomicU32,
    /// What clocks and disks do.
    pub fault_files: &'a FaultFiles,
}

struct Runner<'a> {
    cluster: &'a mut GatewayCluster,
    surroundings: &'a Surroundings<'a>,
    /// Operator files as they were before they were corrupted; each process has a file of its own.
    original_files: BTreeMap<PathBuf, String>,
}

/// Carries a script out to its end. `on_start` is called for each process that replaces another, before the next step.
pub fn run(
    script: &FaultScript,
    cluster: &mut GatewayCluster,
    surroundings: &Surroundings<'_>,
    mut on_start: impl FnMut(&GatewayCluster, usize),
) -> Vec<PerformedStep> {
    let began = Instant::now();
    let mut performed = Vec::new();
    let mut runner = Runner { cluster, surroundings, original_files: BTreeMap::new() };
    for timed in &script.steps {
        let due = began + Duration::from_millis(timed.at_ms);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        performed.push(PerformedStep { at: Instant::now(), step: timed.step.clone() });
        runner.perform(&timed.step);
        if let Step::Restart { gateway } | Step::Replace { gateway } = timed.step {
            on_start(runner.cluster, gateway);
        }
    }
    performed
}

impl Runner<'_> {
    fn perform(&mut self, step: &Step) {
        let files = self.surroundings.fault_files;
        let network = &self.cluster.network;
        match *step {
            Step::Restart { gateway } => self.cluster.start_gateway(gateway),
            Step::Replace { gateway } => self.replace(gateway),
            Step::Suspend { gateway } => self.cluster.gateway(gateway).suspend(),
            Step::Resume { gateway } => self.cluster.gateway(gateway).resume(),
            Step::Isolate { gateway } => network.isolate(gateway),
            Step::CutLink { from, to } => network.set_links(|a, b| (a, b) == (from, to), Link::CUT),
            Step::Partition { number } => network.set_links(|a, b| a % number != b % number, Link::CUT),
            Step::Degrade { loss, duplication, max_delay_ms } => {
                let max_delay = Duration::from_millis(max_delay_ms);
                network.set_links(|_, _| true, Link { loss, duplication, max_delay, ..Link::HEALTHY });
            }
            Step::Heal => network.heal(),
            Step::EngineCut { gateway, engine } => self.set_engine_mode(gateway, engine, ProxyMode::Cut),
            Step::EngineStall { gateway, engine } => self.set_engine_mode(gateway, engine, ProxyMode::Stall),
            Step::EngineSlow { gateway, engine, ms } => {
                self.set_engine_mode(gateway, engine, ProxyMode::Delay(Duration::from_millis(ms)));
            }
            Step::EnginesHeal => {
                self.surroundings.engine_proxies.set_mode(|_, _| true, ProxyMode::Forward);
            }
            Step::DiscoveryCut { gateway } => self.cluster.set_discovery_mode(gateway, ProxyMode::Cut),
            Step::DiscoveryStall { gateway } => self.cluster.set_discovery_mode(gateway, ProxyMode::Stall),
            Step::DiscoveriesHeal => {
                let running = self.cluster.running();
                running.for_each(|gateway| self.cluster.set_discovery_mode(gateway, ProxyMode::Forward));
            }
            Step::Load { times } => self.surroundings.load_factor.store(times, Ordering::Relaxed),
            Step::Clock { gateway, seconds } => files.set_clock_offset(gateway, seconds),
            Step::Disk { gateway, behavior } => files.set_disk(gateway, behavior),
            Step::CorruptConfig { gateway } => self.corrupt_config(gateway),
            Step::RestoreConfig { gateway } => self.restore_config(gateway),
        }
    }

    fn replace(&mut self, gateway: usize) {
        // A suspended process does not react to being told to end.
        self.cluster.gateway(gateway).resume();
        self.cluster.gateway(gateway).signal("-TERM");
        if let Some(process) = &mut self.cluster.gateways[gateway] {
            process.wait_for_exit();
        }
        self.cluster.start_gateway(gateway);
    }

    fn set_engine_mode(&self, gateway: usize, engine: usize, mode: ProxyMode) {
        self.surroundings.engine_proxies.set_mode(|of, to| (of, to) == (gateway, engine), mode);
    }

    fn corrupt_config(&mut self, gateway: usize) {
        let process = self.cluster.gateway(gateway);
        if let Ok(text) = std::fs::read_to_string(&process.operator_file) {
            self.original_files.entry(process.operator_file.clone()).or_insert(text);
            process.reload_operator_config(INVALID_OPERATOR_CONFIG);
        }
    }

    fn restore_config(&mut self, gateway: usize) {
        let process = self.cluster.gateway(gateway);
        if let Some(text) = self.original_files.remove(&process.operator_file) {
            process.reload_operator_config(&text);
        }
    }
}
