//! Joins the cluster of gateways if the operator's file has a `[fronts]` table.

use super::StartupError;
use crate::cluster::health_gossip::HealthGossipService;
use crate::cluster::leases::quota_exchange::QuotaInputs;
use crate::cluster::leases::{LeaseService, LeaseSetup, OpenedLeases, VoterRecordWriter};
use crate::cluster::{Cluster, ClusterSetup};
use crate::platform::Platform;
use crate::state::State;
use larchfall_leases::messages::MemberId;
use larchfall_membership::fleet_size::FleetSize;
use larchfall_membership::member_update::MemberInfo;
use larchfall_membership::membership::Membership;
use larchfall_operator_config::{HealthGossipConfig, LeaseConfig, MembershipConfig};
use slog::info;
use std::sync::Arc;

/// The tables of the operator's file that concern the cluster of gateways.
pub(super) struct ClusterSettings {
    pub(super) membership: MembershipConfig,
    pub(super) leases: Option<LeaseConfig>,
    pub(super) health_gossip: Option<HealthGossipConfig>,
}

/// The cluster with its bound UDP socket.
pub(super) struct JoinedCluster {
    pub(super) cluster: Arc<Cluster>,
    /// Writes the voter record; `None` without a directory for it.
    pub(super) record_writer: Option<VoterRecordWriter>,
}

/// Binds the socket between gateways. Members are discovered only after [`Cluster::run`] starts; until then, the policy
/// uses the number of gateways in the platform's settings.
pub(super) fn join(
    state: &State,
    settings: ClusterSettings,
    quota_inputs: QuotaInputs,
    seed: u64,
    platform: Platform,
) -> Result<JoinedCluster, StartupError> {
    let ClusterSettings { membership, leases, health_gossip } = settings;
    let info = MemberInfo {
        address: membership.advertised,
        zone: membership.zone,
        requests_per_second: membership.requests_per_second,
    };
    let now = state.clock.now();
    let fleet_size =
        membership.fleet_size.map(|settings| FleetSize::new(settings, quota_inputs.max_gateways, now));
    // The start time as the generation distinguishes this process from earlier ones of the same name.
    let member_id = MemberId { name: membership.name, generation: now.micros() };
    let cluster_name = membership.settings.cluster.clone();
    let membership_state =
        Membership::new(&member_id.name, member_id.generation, info, membership.settings, seed, now);
    let member_name = member_id.name.clone();
    let opened_leases = leases
        .map(|settings| {
            LeaseService::open(state, LeaseSetup { settings, member_id, seed, platform, quota_inputs })
        })
        .transpose()
        .map_err(StartupError::ProgramSupervisor)?;
    let (leases, record_writer) = match opened_leases {
        Some(OpenedLeases { service, record_writer }) => (Some(service), record_writer),
        None => (None, None),
    };
    let listen_address = membership.listen;
    let cluster = Cluster::open(ClusterSetup {
        listen_address,
        membership: membership_state,
        cluster_name,
        member_name,
        fleet_size,
        leases,
        health_gossip: health_gossip.map(|settings| HealthGossipService::new(state, settings, seed, now)),
    })
    .map_err(|source| StartupError::ClusterAddress { address: listen_address, source })?;
    info!(state.log, "listening to members"; "name" => cluster.member_name(), "address" => cluster.advertised_address().to_string());
    Ok(JoinedCluster { cluster, record_writer })
}
