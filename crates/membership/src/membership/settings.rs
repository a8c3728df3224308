//! Settings of the membership protocol.

use larchfall_policy::time::Duration;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Membership settings of one gateway, from the operator configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Name of the cluster. Datagrams of other clusters are rejected.
    pub cluster: String,
    /// Time between the starts of two probes, and the time after which a probe fails. Scaled up while this gateway's local
    /// health is poor.
    pub probe_interval: Duration,
    /// Time after which helpers are asked to ping a member that has not acknowledged a ping. Scaled like
    /// `probe_interval`.
    pub probe_timeout: Duration,
    /// Number of helpers that are asked to ping the member.
    pub helper_count: usize,
    /// Time for which members that are dead or left stay in the table, because older claims about them may still be in
    /// transit.
    pub ended_retention: Duration,
    /// Time between two exchanges of member table pages, each with a live member and with a dead member or a seed that is
    /// not a live member. The exchanges repair updates that gossip missed and reunite the sides of a partition.
    pub table_exchange_interval: Duration,
    /// Maximum number of names in the member table. Further new names are ignored.
    pub max_members: usize,
    /// Networks from which datagrams are accepted.
    pub allowed_networks: Vec<Network>,
    /// Addresses of gateways to contact in order to join the cluster.
    pub seeds: Vec<SocketAddrV4>,
}

/// IPv4 network in prefix notation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// Any address in the network.
    pub address: Ipv4Addr,
    /// Length of the network prefix in bits, 0 to 32. Larger values count as 32.
    pub prefix_len: u8,
}

impl Network {
    /// Returns whether the network contains the address.
    pub fn contains(self, address: Ipv4Addr) -> bool {
        let mask = u32::MAX.checked_shl(32 - u32::from(self.prefix_len.min(32))).unwrap_or(0);
        u32::from(self.address) & mask == u32::from(address) & mask
    }
}
