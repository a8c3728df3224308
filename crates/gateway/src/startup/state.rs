//! Builds the state that the gateway's coroutines share, from the validated configuration.

use crate::discovery;
use crate::engine::cancellation::UNOBSERVED_ATTEMPT_LIFETIME;
use crate::state::State;
use crate::state::client_connections::{ClientConnections, ConnectionLimits};
use crate::state::clock::Clock;
use crate::state::connection_pool::ConnectionPool;
use crate::state::counters::Counters;
use crate::state::discovery_status::DiscoveryStatus;
use crate::state::limits::Limits;
use crate::state::memory::MemoryPool;
use crate::state::policy_handle::PolicyHandle;
use crate::state::settings::TransportSettings;
use crate::state::shutdown::Shutdown;
use crate::state::stall_detector::StallDetector;
use crate::state::timers::Timers;
use larchfall_config::Settings;
use larchfall_leases::load_sharing::{LoadReportSharing, LoadSharingSettings};
use larchfall_policy::policy::Policy;
use larchfall_policy::request_ids::IdentityLimits;
use larchfall_policy::types::{Capabilities, PolicyConfig};
use slog::Logger;
use std::sync::{Arc, Mutex};

/// The inputs of [`build`].
pub(super) struct StateSettings {
    /// The settings that the platform provides.
    pub(super) platform: Settings,
    pub(super) limits: Limits,
    /// Seed of the policy's random choices.
    pub(super) seed: u64,
    pub(super) log: Logger,
    /// Settings for sharing load reports between gateways; `None` if the operator's file does not enable it.
    pub(super) load_sharing: Option<LoadSharingSettings>,
    pub(super) clock: Clock,
}

pub(super) fn build(settings: StateSettings) -> State {
    let StateSettings { platform, limits, seed, log, load_sharing, clock } = settings;
    let transport_settings = TransportSettings::new(&platform);
    let capabilities = Capabilities {
        unobserved_attempt_lifetime: Some(UNOBSERVED_ATTEMPT_LIFETIME),
        idle_connection_lifetime: ConnectionPool::idle_lifetime(platform.engine_idle_timeout),
        endpoint_list_lifetime: Some(discovery::MAX_EVENT_DELAY + platform.drain_grace),
        forbids_hedging: platform.single_attempt,
        ..platform.policy.capabilities
    };
    let timers = Arc::new(Timers::new(clock));
    let identity_limits = IdentityLimits {
        max_kept: limits.request_identities,
        retention: transport_settings.longest_deadline(),
    };
    let policy = Policy::new(seed, PolicyConfig { capabilities, ..platform.policy });
    State {
        clock,
        stall_detector: StallDetector::start(clock.now()),
        log,
        counters: Counters::new(transport_settings.classes.len()),
        settings: transport_settings,
        limits,
        request_memory: MemoryPool::new(limits.request_memory),
        policy: PolicyHandle::new(policy, identity_limits, clock, timers.clone()),
        timers,
        client_connections: ClientConnections::new(ConnectionLimits {
            total: limits.all_client_connections,
            message_pack: limits.client_connections,
        }),
        response_memory: MemoryPool::new(limits.response_memory),
        engine_connections: Arc::new(ConnectionPool::new(
            limits.engine_connections,
            platform.engine_idle_timeout,
        )),
        shutdown: Shutdown::default(),
        discovery: DiscoveryStatus::new(clock.now()),
        shared_load_reports: load_sharing
            .map(|settings| Mutex::new(LoadReportSharing::new(settings, clock.now()))),
    }
}
