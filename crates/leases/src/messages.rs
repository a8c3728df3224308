//! Datagrams about leased roles, on the socket of the gateways: a version, one message in postcard's form, and CRC-32C over
//! all of it.
//!
//! Postcard encodes by position: the order and types of fields and variants are the wire format, their names are not. The
//! version differs from that of membership datagrams, so that a gateway without roles ignores these.

use crate::fencing::Fenced;
use crate::load_sharing::SharedLoadReport;
use crc::{CRC_32_ISCSI, Crc};
use larchfall_quotas::{QuotaDemand, QuotaGrant};
use serde::{Deserialize, Serialize};

/// Largest datagram, below what every path carries in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of every datagram of this crate.
pub const VERSION: u8 = 2;
/// Longest name of a role or gateway.
pub const MAX_NAME_BYTES: usize = 48;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// One process of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// The gateway's name.
    pub name: String,
    /// Grows with each start under that name.
    pub generation: u64,
}

/// A request for a new lease or for a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The role.
    pub role: String,
    /// The token to hold it under.
    pub token: u64,
    /// Requested length, in microseconds.
    pub length_us: u64,
}

/// A voter's answer to one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Vote {
    /// The role.
    pub role: String,
    /// The token that was requested.
    pub token: u64,
    /// Whether the lease is granted.
    pub granted: bool,
    /// No token up to this one will be granted any more.
    pub highest_token: u64,
    /// Whether another gateway holds the role.
    pub held_by_other: bool,
}

/// A lease as a voter has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// The role.
    pub role: String,
    /// The holder's token.
    pub token: u64,
    /// The process that holds it.
    pub holder: MemberId,
    /// Time left, in microseconds.
    pub remaining_us: u64,
}

/// A role and a token that it was held under.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleToken {
    /// The role.
    pub role: String,
    /// The token.
    pub token: u64,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// To a voter: grant or renew these leases.
    RequestLeases {
        /// Number of the request, for its answers.
        round: u32,
        /// One entry for each role.
        requests: Vec<LeaseRequest>,
    },
    /// A voter's answers to a request.
    Votes {
        /// Number of the request.
        round: u32,
        /// One entry for each role that it answers.
        votes: Vec<Vote>,
    },
    /// To a voter: the sender gives these leases up and does nothing more under them.
    Release {
        /// The leases.
        tokens: Vec<RoleToken>,
    },
    /// To the successor: the sender has handed the role over.
    HandOver {
        /// The role.
        role: String,
        /// The token that the sender held it under.
        token: u64,
    },
    /// To a voter: list the leases of roles after this one.
    ListLeases {
        /// The last role of the page before; `None` from the start.
        after: Option<String>,
    },
    /// A page of a voter's leases.
    Leases {
        /// As in the request.
        after: Option<String>,
        /// In order of roles.
        leases: Vec<LeaseInfo>,
        /// Whether no later leases follow.
        complete: bool,
    },
    /// Load reports read by the holder of a health-check role.
    LoadReports(Fenced<Vec<SharedLoadReport>>),
    /// To a quota allocator: the sender's demand for capacities.
    RequestQuotas {
        /// The allocator's role.
        role: String,
        /// Number of the request, for its answers.
        round: u32,
        /// Gateways that the sender's quota terms count; an allocator answers only requests under its own terms.
        gateways: u32,
        /// Length of a quota in the sender's terms, in microseconds.
        length_us: u64,
        /// One entry for each capacity.
        demands: Vec<QuotaDemand>,
    },
    /// Quotas that an allocator hands out.
    Quotas {
        /// Number of the request.
        round: u32,
        /// One entry for each capacity that is granted.
        grants: Fenced<Vec<QuotaGrant>>,
    },
}

impl Payload {
    /// Whether its names are within bounds.
    fn is_well_formed(&self) -> bool {
        let after_is_valid = |after: &Option<String>| after.as_deref().is_none_or(is_valid_name);
        match self {
            Payload::RequestLeases { requests, .. } => requests.iter().all(|r| is_valid_name(&r.role)),
            Payload::Votes { votes, .. } => votes.iter().all(|vote| is_valid_name(&vote.role)),
            Payload::Release { tokens } => tokens.iter().all(|released| is_valid_name(&released.role)),
            Payload::ListLeases { after } => after_is_valid(after),
            Payload::Leases { after, leases, .. } => {
                let lease_is_valid =
                    |lease: &LeaseInfo| is_valid_name(&lease.role) && is_valid_name(&lease.holder.name);
                after_is_valid(after) && leases.iter().all(lease_is_valid)
            }
            Payload::HandOver { role, .. } | Payload::RequestQuotas { role, .. } => is_valid_name(role),
            Payload::LoadReports(reports) => is_valid_name(&reports.role),
            Payload::Quotas { grants, .. } => is_valid_name(&grants.role),
        }
    }
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// One message on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// The sender's cluster.
    pub cluster: String,
    /// The sender.
    pub sender: MemberId,
    /// What it says.
    pub payload: Payload,
}

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Too long, cut short or altered.
    #[error("corrupt datagram")]
    Corrupt,
    /// From a gateway of another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// Whole, but with a name that no gateway has.
    #[error("malformed datagram")]
    Malformed,
}

impl Datagram {
    /// A datagram of this version.
    pub fn new(cluster: &str, sender: &MemberId, payload: Payload) -> Datagram {
        Datagram { version: VERSION, cluster: cluster.to_owned(), sender: sender.clone(), payload }
    }

    /// Bytes left for the entries of its list, whose length takes two of them.
    pub fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(self.encode().len() + 2)
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Plain structures into a vector: postcard has no way to fail here.
        postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default()
    }

    /// Reads a datagram of `cluster`.
    pub fn decode(bytes: &[u8], cluster: &str) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Corrupt);
        }
        let datagram: Datagram =
            postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).map_err(|_| DatagramError::Corrupt)?;
        if datagram.cluster != cluster {
            return Err(DatagramError::OtherCluster);
        }
        let is_well_formed = is_valid_name(&datagram.sender.name) && datagram.payload.is_well_formed();
        if is_well_formed { Ok(datagram) } else { Err(DatagramError::Malformed) }
    }
}

/// Bytes that a list's entry takes in a datagram.
pub fn encoded_len<T: Serialize>(entry: &T) -> usize {
    postcard::to_allocvec(entry).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Splits a list into pages of at most `page_bytes` each. An entry that is larger by itself has a page of its own.
pub fn paginate<T: Serialize>(entries: impl IntoIterator<Item = T>, page_bytes: usize) -> Vec<Vec<T>> {
    let mut pages: Vec<Vec<T>> = Vec::new();
    let mut remaining = 0;
    for entry in entries {
        let entry_bytes = encoded_len(&entry);
        match pages.last_mut() {
            Some(page) if entry_bytes <= remaining => page.push(entry),
            _ => {
                pages.push(vec![entry]);
                remaining = page_bytes;
            }
        }
        remaining = remaining.saturating_sub(entry_bytes);
    }
    pages
}
