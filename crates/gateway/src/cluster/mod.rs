//! The cluster: how gateways exchange membership, leases, quotas, load reports and health gossip. The cluster is
//! enabled by the `[fronts]` table of the operator's file. All messages use one UDP socket, which one coroutine
//! serves, so requests and cluster messages never wait for each other.

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
    membership: Mutex<Membership>,
    /// Number of gateways for the policy; `None` if the policy uses the fixed number from the platform's settings.
    gateway_count: Option<Mutex<GatewayCount>>,
    socket: UdpSocket,
    /// Datagrams that name another cluster are ignored.
    cluster_name: String,
    /// This gateway's own name.
    member_name: String,
    counters: DatagramCounters,
    /// Set when this gateway has told the other members that it leaves.
    has_left: AtomicBool,
    /// `None` if the operator's file configures no leases.
    leases: Option<Arc<LeaseService>>,
    /// `None` if the operator's file configures no health gossip.
    health_gossip: Option<HealthGossipService>,
}

struct GatewayCount {
    fleet_size: FleetSize,
    /// Number that the policy was last given; 0 at first.
    last_reported: usize,
}

/// Parts of a [`Cluster`].
pub struct ClusterSetup {
    /// Address that the cluster socket is bound to.
    pub listen_address: SocketAddrV4,
    /// Membership that knows only this gateway.
    pub membership: Membership,
    /// Name of the cluster in datagrams.
    pub cluster_name: String,
    /// This gateway's own name.
    pub member_name: String,
    /// Computes the number of gateways for the policy from the live members; `None` keeps the number from the
    /// platform's settings.
    pub fleet_size: Option<FleetSize>,
    /// Leased roles; `None` if they are disabled.
    pub leases: Option<Arc<LeaseService>>,
    /// Health gossip; `None` if it is disabled.
    pub health_gossip: Option<HealthGossipService>,
}

impl Cluster {
    /// Binds the socket. Nothing is sent or received before [`Cluster::run`].
    pub fn open(setup: ClusterSetup) -> io::Result<Arc<Cluster>> {
        Ok(Arc::new(Cluster {
            socket: UdpSocket::bind(setup.listen_address)?,
            membership: Mutex::new(setup.membership),
            gateway_count: setup
                .fleet_size
                .map(|fleet_size| Mutex::new(GatewayCount { fleet_size, last_reported: 0 })),
            cluster_name: setup.cluster_name,
            member_name: setup.member_name,
            counters: DatagramCounters::default(),
            has_left: AtomicBool::new(false),
            leases: setup.leases,
            health_gossip: setup.health_gossip,
        }))
    }

    /// Address at which other members send datagrams to this gateway; it may differ from the address that the socket
    /// is bound to.
    pub fn advertised_address(&self) -> SocketAddrV4 {
        lock(&self.membership).own_entry().info.address
    }

    /// This gateway's own name.
    pub fn member_name(&self) -> &str {
        &self.member_name
    }

    /// Zones of the members that are alive or suspected, by member name, including this gateway.
    pub fn live_member_zones(&self) -> BTreeMap<String, String> {
        lock(&self.membership)
            .live_members()
            .map(|(name, member)| (name.clone(), member.info.zone.clone()))
            .collect()
    }

    /// Applies reloaded settings of membership and leases. Leases that were enabled or disabled in the file keep
    /// their state until the next start, which a warning reports.
    pub fn reload(&self, state: &State, settings: MembershipSettings, leases: Option<LeaseConfig>) {
        // The cluster name changes only with the next start.
        let settings = MembershipSettings { cluster: self.cluster_name.clone(), ..settings };
        lock(&self.membership).update_settings(settings);
        match (&self.leases, leases) {
            (Some(service), Some(leases)) => service.reload(state, self, leases),
            (Some(_), None) | (None, Some(_)) => {
                warn!(state.log, "lease settings are added or removed with the next start only");
            }
            (None, None) => {}
        }
    }

    /// Hands over all leases and tells the other members that this gateway leaves. Called on shutdown, before the
    /// gateway stops listening for clients.
    pub fn leave(&self, state: &State) {
        if let Some(leases) = &self.leases {
            leases.leave(state, self);
        }
        let output = lock(&self.membership).leave(state.clock.now());
        self.has_left.store(true, Ordering::Relaxed);
        self.apply_membership_output(state, output);
    }

    /// Logs the counters and the state of the cluster socket, leases, health gossip and members.
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

    /// Dispatches a datagram by its first byte, the protocol version: each protocol on the socket has versions of its
    /// own.
    fn on_datagram(&self, state: &State, bytes: &[u8], sender: SocketAddrV4) {
        increment(&self.counters.received);
        let version = bytes.first();
        if let Some(gossip) = &self.health_gossip
            && version == Some(&larchfall_health_gossip::datagram::VERSION)
        {
            gossip.on_datagram(state, self, bytes, sender);
        } else if let Some(leases) = &self.leases
            && version == Some(&larchfall_leases::messages::VERSION)
        {
            leases.on_datagram(state, self, bytes, sender);
        } else if version == Some(&status_query::VERSION) {
            self.answer_status_query(state, bytes, sender);
        } else {
            self.on_membership_datagram(state, bytes, sender);
        }
    }
}
