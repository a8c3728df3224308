//! Starts a gateway: binds its addresses, builds its state and spawns its threads and coroutines.

mod cluster;
mod error;
mod listener;
mod paged_rest;
mod state;

pub use error::StartupError;

use crate::cli::files::LoadedFiles;
use crate::client::paged_rest::RestService;
use crate::cluster::Cluster;
use crate::cluster::leases::quota_exchange::QuotaInputs;
use crate::config::Config;
use crate::logging::{self, Logging};
use crate::platform::Platform;
use crate::reload::{ConfigFiles, Reloader};
use crate::signals::{RegisteredSignals, SignalStream, Signals};
use crate::state::State;
use crate::state::clock::Clock;
use crate::subsetting::{self, SubsettingInputs};
use crate::{client, discovery, shutdown, timer};
use cluster::{ClusterSettings, JoinedCluster};
use larchfall_operator_config::OperatorConfig;
use may::net::TcpListener;
use paged_rest::PagedRest;
use slog::info;
use state::StateSettings;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Bytes of each coroutine's stack. Only touched pages occupy memory; see docs/gateway.md.
const COROUTINE_STACK_BYTES: usize = 64 * 1024;
/// Coroutines that are allocated at startup and kept for reuse. Each touches two pages of its stack, so the default of
/// the `may` crate, 1000, would cost 8 MB and 2000 page faults; a gateway uses some dozens of coroutines.
const POOLED_COROUTINES: usize = 64;

/// Runs a gateway until it has shut down.
pub fn run(
    loaded: LoadedFiles,
    platform: Platform,
    registered_signals: RegisteredSignals,
) -> Result<(), StartupError> {
    may::config()
        .set_workers(1)
        .set_stack_size(COROUTINE_STACK_BYTES / size_of::<usize>())
        .set_worker_pin(false);
    may::config().set_pool_capacity(POOLED_COROUTINES);
    let LoadedFiles { config_path, config, operator_config } = loaded;
    let files = ConfigFiles {
        config: config_path,
        operator_config: operator_config.as_ref().map(|file| file.path.clone()),
    };
    let operator_config = operator_config.map(|file| file.config).unwrap_or_default();

    // Listeners are bound first, so that an address in use is reported before any work starts.
    let listener = listener::bind(config.listen)?;
    let paged_rest = operator_config.paged_rest.clone();
    let paged_rest = paged_rest.map(|settings| PagedRest::open(settings, config.seed)).transpose()?;
    let limits = paged_rest::remaining_limits(config.limits, paged_rest.as_ref())?;
    // Flushes the queued log lines when this function returns.
    let Logging { logger, flush_on_drop: _flush_on_drop } = logging::start(&config.name);

    let quota_inputs = QuotaInputs::new(&config.settings);
    let subsetting =
        operator_config.subsetting.map(|subsetting| SubsettingInputs::new(subsetting, &config.settings));
    let Config { listen, seed, discovery, endpoint_list, settings, .. } = config;
    let state = Arc::new(state::build(StateSettings {
        platform: settings,
        limits,
        seed,
        log: logger,
        load_sharing: operator_config.leases.as_ref().and_then(|leases| leases.load_sharing),
        clock: Clock::start((platform.unix_clock)()),
    }));
    // The endpoint list of the configuration is as valid as one that the discovery service has just sent.
    state.policy.confirm_endpoint_list(state.clock.now());
    for event in &endpoint_list {
        discovery::apply_event(&state, event);
    }
    let event_poll_probe = timer::EventPollProbe::open().map_err(StartupError::SocketPair)?;
    let signals = registered_signals.into_streams().map_err(StartupError::Signals)?;
    log_addresses(&state, &listener, listen, paged_rest.as_ref());
    let cluster = join_cluster(&state, operator_config, quota_inputs, seed, platform)?;
    let gateway = Gateway {
        state: state.clone(),
        listener,
        paged_rest,
        cluster,
        subsetting,
        event_poll_probe,
        signals,
        files,
        discovery,
        seed,
    };
    gateway.start_timer()?;
    let result = may::go!(move || gateway.run()).join();
    state.log_counters();
    result.map_err(|_| StartupError::MainCoroutinePanicked)
}

fn log_addresses(
    state: &State,
    listener: &TcpListener,
    configured_address: SocketAddrV4,
    paged_rest: Option<&PagedRest>,
) {
    let address = listener.local_addr().unwrap_or(configured_address.into());
    info!(state.log, "listening"; "clients" => state.limits.client_connections, "engine_connections" => state.limits.engine_connections,
        "requests" => state.limits.requests, "address" => address.to_string());
    if let Some(paged_rest) = paged_rest {
        paged_rest.log_address(&state.log);
    }
}

/// Joins the cluster and starts the thread that writes the voter record. Returns `None` if the operator's file has no
/// `[fronts]` table.
fn join_cluster(
    state: &Arc<State>,
    operator_config: OperatorConfig,
    quota_inputs: QuotaInputs,
    seed: u64,
    platform: Platform,
) -> Result<Option<Arc<Cluster>>, StartupError> {
    let OperatorConfig { membership, leases, health_gossip, .. } = operator_config;
    let Some(membership) = membership else { return Ok(None) };
    let settings = ClusterSettings { membership, leases, health_gossip };
    let JoinedCluster { cluster, record_writer } =
        cluster::join(state, settings, quota_inputs, seed, platform)?;
    if let Some(writer) = record_writer {
        writer.start(state, &cluster).map_err(StartupError::VoterRecordThread)?;
    }
    Ok(Some(cluster))
}

/// Everything that a gateway needs to run; its threads and coroutines are not yet started.
struct Gateway {
    state: Arc<State>,
    listener: TcpListener,
    paged_rest: Option<PagedRest>,
    cluster: Option<Arc<Cluster>>,
    subsetting: Option<SubsettingInputs>,
    event_poll_probe: timer::EventPollProbe,
    signals: Signals,
    files: ConfigFiles,
    discovery: SocketAddrV4,
    seed: u64,
}

impl Gateway {
    fn rest_service(&self) -> Option<Arc<RestService>> {
        self.paged_rest.as_ref().map(|rest| rest.service.clone())
    }

    fn start_timer(&self) -> Result<(), StartupError> {
        let state = self.state.clone();
        let rest_service = self.rest_service();
        std::thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || timer::run(&state, rest_service.as_ref()))
            .map_err(StartupError::TimerThread)?;
        Ok(())
    }

    /// Starts all coroutines and waits until the gateway has shut down.
    fn run(self) {
        let rest_service = self.rest_service();
        let Gateway { state, cluster, signals, .. } = self;
        if let Some(cluster) = cluster.clone() {
            let state = state.clone();
            may::go!(move || cluster.run(&state));
        }
        if let Some(subsetting) = self.subsetting {
            subsetting::start(&state, cluster.clone(), subsetting);
        }
        discovery::start_client(&state, self.discovery, self.seed);
        let reloader = Reloader {
            state: state.clone(),
            service: rest_service.clone(),
            cluster: cluster.clone(),
            files: self.files,
            seed: self.seed,
        };
        may::go!(move || reloader.run(signals.reload));
        let poll_state = state.clone();
        may::go!(move || timer::record_event_polls(&poll_state, self.event_poll_probe));
        let accept_state = state.clone();
        may::go!(move || client::message_pack::accept(&accept_state, &self.listener));
        if let Some(PagedRest { service, listener, .. }) = self.paged_rest {
            let state = state.clone();
            may::go!(move || client::paged_rest::accept(&state, &listener, &service));
        }
        log_counters_on_signal(&state, cluster.clone(), signals.log_counters);
        shutdown::wait_and_shut_down(&state, signals.terminate, rest_service.as_ref(), cluster.as_deref());
    }
}

/// Logs the counters and the status of the cluster on each signal, in a coroutine of its own.
fn log_counters_on_signal(state: &Arc<State>, cluster: Option<Arc<Cluster>>, mut signals: SignalStream) {
    let state = state.clone();
    may::go!(move || {
        while signals.wait() {
            state.log_counters();
            if let Some(cluster) = &cluster {
                cluster.log_status(&state);
            }
        }
    });
}
