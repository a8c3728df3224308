//! A cluster whose engines report their load only when they are asked: what asking costs engines, with one gateway at a time
//! that asks for all, and with each asking by itself.

use crate::gateway_cluster::GatewayCluster;
use crate::gateway_config::{config_of, name_list, settings_for, with_load_requests};
use crate::load::{self, LoadCounts, LoadPlan, steady_engine};
use larchfall_stub::engine::Engine;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What a cluster is started with.
#[derive(Clone, Copy, Debug)]
pub struct ProbingSetup {
    /// The gateways' program.
    pub program: &'static str,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of engines, of two cores each.
    pub engines: usize,
    /// Time that each request takes at an engine.
    pub service_time: Duration,
    /// Whether one gateway at a time asks for all.
    pub shared: bool,
    /// Of the network.
    pub seed: u64,
}

/// The gateways and their engines.
pub struct ProbingCluster {
    /// The gateways.
    pub cluster: GatewayCluster,
    /// The engines.
    pub engines: Vec<Engine>,
}

/// What a time under load showed.
#[derive(Clone, Copy, Debug)]
pub struct ProbingResult {
    /// What became of requests.
    pub counts: LoadCounts,
    /// Requests for its load that an engine got per second.
    pub load_requests_per_second: f64,
}

impl ProbingCluster {
    /// Starts everything and waits until all gateways know each other.
    pub fn start(setup: ProbingSetup) -> ProbingCluster {
        let engines: Vec<Engine> = (0..setup.engines).map(|_| steady_engine(setup.service_time)).collect();
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let leases = format!(
            "[duties]\nelectors = {}\nlease-ms = 1000\nlongest-ms = 1500\nprobing = 2\nprobe-ms = 250\nfresh-ms = 1000\n",
            name_list(0..3)
        );
        let settings = settings_for(setup.gateways).replace("\"size_cores\":[64]", "\"size_cores\":[2]");
        let settings = with_load_requests(&settings);
        let cluster = GatewayCluster::new(setup.program, setup.gateways, setup.seed)
            .with_operator_tables(|_| if setup.shared { leases.clone() } else { String::new() })
            .with_config(move |_, discovery| config_of("127.0.0.1:0", discovery, &addresses, 256, &settings))
            .start_all();
        cluster.wait_until_joined();
        ProbingCluster { cluster, engines }
    }

    fn load_requests(&self) -> usize {
        self.engines.iter().map(|engine| engine.seen().load_requests).sum()
    }

    /// Load on all gateways that run, from one client each.
    pub fn load(&self, interval: Duration, plan: LoadPlan) -> ProbingResult {
        let before = self.load_requests();
        let began = Instant::now();
        let gateways = self.cluster.running().map(|gateway| self.cluster.gateway(gateway));
        let counts = load::run(gateways, |_| interval, plan);
        let asked = (self.load_requests() - before) as f64;
        let engine_seconds = began.elapsed().as_secs_f64() * self.engines.len() as f64;
        ProbingResult { counts, load_requests_per_second: asked / engine_seconds }
    }
}
