//! Settings of membership.

use larchfall_policy::time::Duration;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Settings of one gateway, from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Name of the cluster.
    pub cluster: String,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Without an answer within this time, helpers are asked to ping.
    pub probe_timeout: Duration,
    /// How many helpers.
    pub helper_count: usize,
    /// How long members that ended are remembered: older claims about them may still be on their way.
    pub ended_retention: Duration,
    /// Time between two exchanges of all that is known, page by page, with one live member and with one that seemed dead or
    /// was never seen: they repair what gossip missed, and bring the two sides of a partition together.
    pub table_exchange_interval: Duration,
    /// Names beyond this many are ignored.
    pub max_members: usize,
    /// Networks that gateways may send from.
    pub allowed_networks: Vec<Network>,
    /// Addresses to join by.
    pub seeds: Vec<SocketAddrV4>,
}

/// A network of IPv4 addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network {
    /// An address in it.
    pub address: Ipv4Addr,
    /// How many of its leading bits count.
    pub prefix_len: u8,
}

impl Network {
    /// Whether the address is in the network.
    pub fn contains(self, address: Ipv4Addr) -> bool {
        let mask = u32::MAX.checked_shl(32 - u32::from(self.prefix_len.min(32))).unwrap_or(0);
        u32::from(self.address) & mask == u32::from(address) & mask
    }
}
