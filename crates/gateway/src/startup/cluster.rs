//! Joins the other gateways, where the operator's file has a `[fronts]` table.

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

/// What the operator's file says of gateways among themselves.
pub(super) struct ClusterSettings {
    pub(super) membership: MembershipConfig,
    pub(super) leases: Option<LeaseConfig>,
    pub(super) health_gossip: Option<HealthGossipConfig>,
}

/// The open socket between gateways, and the writer of the voter record where there is one.
pub(super) struct JoinedCluster {
    pub(super) cluster: Arc<Cluster>,
    pub(super) record_writer: Option<VoterRecordWriter>,
}

/// Opens the socket between gateways. Who else is there is found out once it runs; until then as many gateways count as
/// the platform's settings name.
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
    let gateway_count =
        membership.fleet_size.map(|count| FleetSize::new(count, quota_inputs.max_gateways, now));
    // The time of its start, so that each process under this name is another one than the one before.
    let me = MemberId { name: membership.name, generation: now.micros() };
    let cluster_name = membership.settings.cluster.clone();
    let members = Membership::new(&me.name, me.generation, info, membership.settings, seed, now);
    let member_name = me.name.clone();
    let opened = leases
        .map(|settings| {
            LeaseService::open(state, LeaseSetup { settings, member_id: me, seed, platform, quota_inputs })
        })
        .transpose()
        .map_err(StartupError::Leases)?;
    let (leases, record_writer) = match opened {
        Some(OpenedLeases { service, record_writer }) => (Some(service), record_writer),
        None => (None, None),
    };
    let address = membership.listen;
    let cluster = Cluster::open(ClusterSetup {
        listen_address: address,
        membership: members,
        cluster_name,
        member_name,
        fleet_size: gateway_count,
        leases,
        health_gossip: health_gossip.map(|settings| HealthGossipService::new(state, settings, seed, now)),
    })
    .map_err(|source| StartupError::ClusterAddress { address, source })?;
    info!(state.log, "listening to members"; "name" => cluster.member_name(), "address" => cluster.advertised_address().to_string());
    Ok(JoinedCluster { cluster, record_writer })
}
