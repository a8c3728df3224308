//! Datagrams about leased roles, which gateways exchange on their cluster socket. A datagram is a version byte and one
//! message in postcard encoding, followed by a CRC-32C checksum of all preceding bytes.
//!
//! Postcard is positional: the order and types of fields and variants are the wire format, their names are not. The
//! version byte differs from the version of membership datagrams, so that a gateway without leased roles ignores
//! datagrams of this crate.

use crate::fencing::Fenced;
use crate::load_sharing::SharedLoadReport;
use crc::{CRC_32_ISCSI, Crc};
use larchfall_quotas::{QuotaDemand, QuotaGrant};
use serde::{Deserialize, Serialize};

/// Maximum length of a datagram in bytes, low enough that no network path fragments the datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of every datagram of this crate.
pub const VERSION: u8 = 2;
/// Maximum length of a role or gateway name in bytes.
pub const MAX_NAME_BYTES: usize = 48;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Identity of one gateway process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberId {
    /// Name of the gateway.
    pub name: String,
    /// Number that increases with each process start under the same name.
    pub generation: u64,
}

/// A request to a voter to grant or renew one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Name of the role.
    pub role: String,
    /// Fencing token that the lease is requested for.
    pub token: u64,
    /// Requested length of the lease, in microseconds.
    pub length_us: u64,
}

/// A voter's answer to one [`LeaseRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Vote {
    /// Name of the role.
    pub role: String,
    /// Fencing token of the request.
    pub token: u64,
    /// Whether the voter granted the request.
    pub granted: bool,
    /// Highest token that the voter has granted or excluded. A new lease needs a higher token.
    pub highest_token: u64,
    /// Whether the voter has granted the role to another gateway process whose lease has not expired.
    pub held_by_other: bool,
}

/// A lease that a voter has granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseInfo {
    /// Name of the role.
    pub role: String,
    /// Fencing token of the lease.
    pub token: u64,
    /// Gateway process that holds the lease.
    pub holder: MemberId,
    /// Remaining time of the lease by the voter's clock, in microseconds.
    pub remaining_us: u64,
}

/// A lease, identified by its role and fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RoleToken {
    /// Name of the role.
    pub role: String,
    /// Fencing token of the lease.
    pub token: u64,
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Asks a voter to grant or renew leases.
    RequestLeases {
        /// Number of the round, which the voter repeats in its votes.
        round: u32,
        /// One request for each role.
        requests: Vec<LeaseRequest>,
    },
    /// A voter's answers to [`RequestLeases`](Payload::RequestLeases).
    Votes {
        /// Number of the round from the request.
        round: u32,
        /// Votes on the requests, in any number: the voter ignores some requests and answers others after a disk write.
        votes: Vec<Vote>,
    },
    /// Tells a voter that the sender has given up leases and performs no more actions under them.
    Release {
        /// The released leases.
        tokens: Vec<RoleToken>,
    },
    /// Tells the next lease holder that the sender has released the role and hands it over.
    HandOver {
        /// Name of the role.
        role: String,
        /// Fencing token of the sender's released lease.
        token: u64,
    },
    /// Asks a voter for one page of the leases that it has granted, ordered by role name.
    ListLeases {
        /// Last role of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// A voter's answer to [`ListLeases`](Payload::ListLeases).
    Leases {
        /// The value of `after` in the request.
        after: Option<String>,
        /// Leases of this page, ordered by role name.
        leases: Vec<LeaseInfo>,
        /// Whether this is the last page.
        complete: bool,
    },
    /// Load reports that the holder of a health-check role has read from engines.
    LoadReports(Fenced<Vec<SharedLoadReport>>),
    /// Asks a quota allocator for quotas.
    RequestQuotas {
        /// Name of the quota allocator role.
        role: String,
        /// Number of the request, which the allocator repeats in its grants.
        round: u32,
        /// Number of gateways in the sender's quota terms. An allocator answers only requests whose quota terms equal
        /// its own terms.
        gateways: u32,
        /// How long a quota is valid under the sender's quota terms, in microseconds.
        length_us: u64,
        /// The sender's demand for each capacity.
        demands: Vec<QuotaDemand>,
    },
    /// A quota allocator's answer to [`RequestQuotas`](Payload::RequestQuotas).
    Quotas {
        /// Number of the request.
        round: u32,
        /// One grant for each capacity that the allocator divides, with the allocator's fencing token.
        grants: Fenced<Vec<QuotaGrant>>,
    },
}

impl Payload {
    /// Returns whether all names in the message have a valid length.
    fn has_valid_names(&self) -> bool {
        let is_valid_after = |after: &Option<String>| after.as_deref().is_none_or(is_valid_name);
        match self {
            Payload::RequestLeases { requests, .. } => {
                requests.iter().all(|request| is_valid_name(&request.role))
            }
            Payload::Votes { votes, .. } => votes.iter().all(|vote| is_valid_name(&vote.role)),
            Payload::Release { tokens } => tokens.iter().all(|released| is_valid_name(&released.role)),
            Payload::ListLeases { after } => is_valid_after(after),
            Payload::Leases { after, leases, .. } => {
                let is_valid_lease =
                    |lease: &LeaseInfo| is_valid_name(&lease.role) && is_valid_name(&lease.holder.name);
                is_valid_after(after) && leases.iter().all(is_valid_lease)
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

/// One message with its cluster and sender, as encoded on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// Name of the sender's cluster.
    pub cluster: String,
    /// Process that sent the datagram.
    pub sender: MemberId,
    /// The message.
    pub payload: Payload,
}

/// Reasons to ignore a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is too long, truncated or altered, or can't be decoded.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes, has a wrong checksum or can't be decoded")]
    Corrupt,
    /// The sender belongs to another cluster.
    #[error("datagram belongs to another cluster")]
    OtherCluster,
    /// The checksum is correct, but a name has an invalid length.
    #[error("datagram has a role or gateway name that is empty or longer than {MAX_NAME_BYTES} bytes")]
    Malformed,
}

impl Datagram {
    /// Creates a datagram of the version [`VERSION`].
    pub fn new(cluster: &str, sender: &MemberId, payload: Payload) -> Datagram {
        Datagram { version: VERSION, cluster: cluster.to_owned(), sender: sender.clone(), payload }
    }

    /// Returns how many bytes can be added to the message's empty list. Two bytes are reserved for the encoded number
    /// of list entries.
    pub fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(self.encode().len() + 2)
    }

    /// Returns the encoded datagram, including the checksum.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard can't fail here, since plain structures are written to a growable vector.
        postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default()
    }

    /// Decodes a datagram that was received by a gateway of `cluster`.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram can't be decoded, belongs to another cluster or has an invalid name.
    pub fn decode(bytes: &[u8], cluster: &str) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Corrupt);
        }
        let datagram: Datagram =
            postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).map_err(|_| DatagramError::Corrupt)?;
        if datagram.cluster != cluster {
            return Err(DatagramError::OtherCluster);
        }
        let has_valid_names = is_valid_name(&datagram.sender.name) && datagram.payload.has_valid_names();
        if has_valid_names { Ok(datagram) } else { Err(DatagramError::Malformed) }
    }
}

/// Returns the number of bytes that a list entry takes in a datagram.
pub fn encoded_len<T: Serialize>(entry: &T) -> usize {
    postcard::to_allocvec(entry).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}

/// Splits a list into pages of at most `page_bytes` encoded bytes each. An entry that is larger than `page_bytes` gets
/// a page of its own.
pub fn paginate<T: Serialize>(entries: impl IntoIterator<Item = T>, page_bytes: usize) -> Vec<Vec<T>> {
    let mut pages: Vec<Vec<T>> = Vec::new();
    let mut remaining_bytes = 0;
    for entry in entries {
        let entry_bytes = encoded_len(&entry);
        match pages.last_mut() {
            Some(page) if entry_bytes <= remaining_bytes => page.push(entry),
            _ => {
                pages.push(vec![entry]);
                remaining_bytes = page_bytes;
            }
        }
        remaining_bytes = remaining_bytes.saturating_sub(entry_bytes);
    }
    pages
}
