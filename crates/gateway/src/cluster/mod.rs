//! The gateways among themselves, where the operator's file has a `[fronts]` table: one UDP socket, served by one
//! coroutine. No request waits for it, and it waits for none.

mod counters;
mod event_loop;
pub mod health_gossip;
pub mod leases;
mod membership;
mod status_pages;
pub mod status_query;
pub mod supervisor;

use crate::state::{State, lock};
use counters::{DatagramCounters, increment};
use health_gossip::HealthGossipService;
use larchfall_membership::fleet_size::FleetSize;
use larchfall_membership::membership::{Membership, MembershipSettings};
use larchfall_operator_config::LeaseConfig;
use leases::LeaseService;
use may::net::UdpSocket;
use slog::warn;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// This gateway as a member of its cluster.
pub struct Cluster {
    members: Mutex<Membership>,
    /// How many gateways the policy is to count, where that follows those that are alive.
    gateway_count: Option<Mutex<GatewayCount>>,
    socket: UdpSocket,
    /// Datagrams of other clusters are ignored.
    cluster_name: String,
    /// This gateway's own.
    member_name: String,
    counters: DatagramCounters,
    /// This gateway has told the others that it leaves.
    has_left: AtomicBool,
    /// Roles of which each is held by one gateway at a time, where the operator's file has them.
    leases: Option<Arc<LeaseService>>,
    /// What gateways observed of engines, where the operator's file has it.
    health_gossip: Option<HealthGossipService>,
}

/// The number of gateways to count.
struct GatewayCount {
    fleet_size: FleetSize,
    /// The number that the policy was told last.
    reported: usize,
}

/// What a member is made of.
pub struct ClusterSetup {
    /// Address to bind.
    pub listen_address: SocketAddrV4,
    /// Membership, in which this gateway knows itself only.
    pub membership: Membership,
    /// Name of the cluster, as datagrams carry it.
    pub cluster_name: String,
    /// This gateway's own name.
    pub member_name: String,
    /// Bounds of the number of gateways, where it follows those that are alive.
    pub fleet_size: Option<FleetSize>,
    /// Leased roles, where they are on.
    pub leases: Option<Arc<LeaseService>>,
    /// Observations of engines shared with others, where that is on.
    pub health_gossip: Option<HealthGossipService>,
}

impl Cluster {
    /// Opens the socket; nothing is sent or received yet.
    pub fn open(setup: ClusterSetup) -> io::Result<Arc<Cluster>> {
        Ok(Arc::new(Cluster {
            socket: UdpSocket::bind(setup.listen_address)?,
            members: Mutex::new(setup.membership),
            gateway_count: setup
                .fleet_size
                .map(|fleet_size| Mutex::new(GatewayCount { fleet_size, reported: 0 })),
            cluster_name: setup.cluster_name,
            member_name: setup.member_name,
            counters: DatagramCounters::default(),
            has_left: AtomicBool::new(false),
            leases: setup.leases,
            health_gossip: setup.health_gossip,
        }))
    }

    /// Where other members are told that this gateway listens.
    pub fn advertised_address(&self) -> SocketAddrV4 {
        lock(&self.members).myself().info.address
    }

    /// This gateway's own name.
    pub fn member_name(&self) -> &str {
        &self.member_name
    }

    /// Zones by the names of the members that are alive, this gateway among them.
    pub fn live_member_zones(&self) -> BTreeMap<String, String> {
        lock(&self.members).live().map(|(name, member)| (name.clone(), member.info.zone.clone())).collect()
    }

    /// Takes over seeds, periods and leases from a file that was read again.
    pub fn reload(&self, state: &State, settings: MembershipSettings, leases: Option<LeaseConfig>) {
        // Which cluster it belongs to changes with the next start only.
        let settings = MembershipSettings { cluster: self.cluster_name.clone(), ..settings };
        lock(&self.members).update_settings(settings);
        match (&self.leases, leases) {
            (Some(service), Some(leases)) => service.reload(state, self, leases),
            (Some(_), None) | (None, Some(_)) => {
                warn!(state.log, "lease settings are added or removed with the next start only");
            }
            (None, None) => {}
        }
    }

    /// Tells the other members that this gateway leaves, before it stops listening for clients.
    pub fn leave(&self, state: &State) {
        if let Some(leases) = &self.leases {
            leases.leave(state, self);
        }
        let effects = lock(&self.members).leave(state.clock.now());
        self.has_left.store(true, Ordering::Relaxed);
        self.apply_membership(state, effects);
    }

    /// Logs counters and members, leases and gossip.
    pub fn log_status(&self, state: &State) {
        self.counters.log(&state.log);
        if let Some(leases) = &self.leases {
            leases.log_status(state);
        }
        if let Some(gossip) = &self.health_gossip {
            gossip.log_counters(state);
        }
        self.log_members(state);
    }

    /// Each kind of datagram begins with a version of its own.
    fn on_datagram(&self, state: &State, bytes: &[u8], from: SocketAddrV4) {
        increment(&self.counters.received);
        let version = bytes.first();
        if let Some(gossip) = &self.health_gossip
            && version == Some(&larchfall_health_gossip::datagram::VERSION)
        {
            gossip.on_datagram(state, self, bytes, from);
        } else if let Some(leases) = &self.leases
            && version == Some(&larchfall_leases::messages::VERSION)
        {
            leases.on_datagram(state, self, bytes, from);
        } else if version == Some(&status_query::VERSION) {
            self.answer_status_query(state, bytes, from);
        } else {
            self.on_membership_datagram(state, bytes, from);
        }
    }
}
