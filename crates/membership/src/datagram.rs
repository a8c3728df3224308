//! Datagrams that gateways send each other: a version byte, a message in postcard encoding, and a CRC-32C of all
//! preceding bytes. A datagram that cannot be decoded completely is rejected with a reason, and none of its content is
//! used.
//!
//! Postcard encodes by position. The order and types of fields and variants are the wire format; their names are not.

use crate::member_update::{MAX_NAME_BYTES, MemberInfo, MemberState, MemberStatus, MemberUpdate};
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Maximum datagram size in bytes, small enough that no network path fragments the datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Protocol version, the first byte of every membership datagram.
pub const VERSION: u8 = 1;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// Message of a datagram, sent along with the member updates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Asks the recipient for an immediate acknowledgement.
    Ping {
        /// Sequence number that the acknowledgement repeats.
        sequence: u32,
    },
    /// Asks the recipient to ping a member that did not acknowledge the sender's ping.
    PingRequest {
        /// Sequence number of the sender's probe, repeated in the `Ack` or `Nack`.
        sequence: u32,
        /// Name of the member to ping.
        name: String,
        /// Address of the member to ping.
        address: SocketAddrV4,
    },
    /// Acknowledges a ping, or tells the requester of a `PingRequest` that the member acknowledged.
    Ack {
        /// Sequence number of the `Ping` or `PingRequest`.
        sequence: u32,
    },
    /// Tells the requester of a `PingRequest` that the member did not acknowledge this ping either, so the requester's
    /// own network is not at fault.
    Nack {
        /// Sequence number of the `PingRequest`.
        sequence: u32,
    },
    /// Carries one page of the sender's member table as updates.
    TablePage {
        /// The page starts after this member name; `None` starts with the first name.
        after: Option<String>,
        /// Whether the recipient shall send its own page for the same `after`.
        wants_reply: bool,
    },
}

/// Datagram of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// Name of the sender's cluster.
    pub cluster: String,
    /// The sender's name.
    pub name: String,
    /// Status that the sender claims for itself.
    pub status: MemberStatus,
    /// Address, zone and capacity of the sender.
    pub info: MemberInfo,
    /// Message of this datagram.
    pub payload: Payload,
    /// Claims about members other than the sender.
    pub updates: Vec<MemberUpdate>,
}

/// Reason for rejecting received bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// The first byte is not [`VERSION`]; carries the received byte.
    #[error("unsupported datagram version {0}, expected {VERSION}")]
    Version(u8),
    /// The datagram is truncated, altered or not a membership datagram.
    #[error("datagram cannot be decoded or its checksum does not match")]
    Corrupt,
    /// The sender belongs to another cluster.
    #[error("datagram belongs to another cluster")]
    OtherCluster,
    /// The checksum matches, but a name has an invalid length or the sender claims to be suspected or dead.
    #[error("datagram has a name of invalid length or an invalid sender state")]
    Malformed,
}

impl Datagram {
    /// Creates a datagram of the current version without updates.
    pub fn new(cluster: &str, sender: MemberUpdate, payload: Payload) -> Datagram {
        Datagram {
            version: VERSION,
            cluster: cluster.to_owned(),
            name: sender.name,
            status: sender.status,
            info: sender.info,
            payload,
            updates: Vec::new(),
        }
    }

    /// Returns the bytes left for updates. One byte stays reserved for the length of the update list.
    pub fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(self.encode().len() + 1)
    }

    /// Returns the wire format with version and checksum.
    pub fn encode(&self) -> Vec<u8> {
        // Postcard does not fail for plain structures that are written to a growing vector.
        postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default()
    }

    /// Decodes and validates a received datagram. Rejects datagrams of clusters other than `cluster`.
    pub fn decode(bytes: &[u8], cluster: &str) -> Result<Datagram, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong);
        }
        if let Some(version) = bytes.first().filter(|version| **version != VERSION) {
            return Err(DatagramError::Version(*version));
        }
        let datagram: Datagram =
            postcard::from_bytes_crc32(bytes, CHECKSUM.digest()).map_err(|_| DatagramError::Corrupt)?;
        if datagram.cluster != cluster {
            return Err(DatagramError::OtherCluster);
        }
        if datagram.is_well_formed() { Ok(datagram) } else { Err(DatagramError::Malformed) }
    }

    fn is_well_formed(&self) -> bool {
        let is_payload_valid = match &self.payload {
            Payload::PingRequest { name, .. } => name.len() <= MAX_NAME_BYTES,
            Payload::TablePage { after, .. } => {
                after.as_ref().is_none_or(|name| name.len() <= MAX_NAME_BYTES)
            }
            Payload::Ping { .. } | Payload::Ack { .. } | Payload::Nack { .. } => true,
        };
        // A process that sends is neither suspected nor dead in its own view, so it claims to be alive or leaving.
        let is_sender_state_valid = matches!(self.status.state, MemberState::Alive | MemberState::Left);
        self.sender().is_well_formed()
            && is_payload_valid
            && is_sender_state_valid
            && self.updates.iter().all(MemberUpdate::is_well_formed)
    }

    /// Returns the sender's claim about itself as an update without reporter.
    pub fn sender(&self) -> MemberUpdate {
        MemberUpdate { name: self.name.clone(), status: self.status, info: self.info.clone(), reporter: None }
    }
}

/// Returns the number of bytes that an update takes in a datagram.
pub fn encoded_len(update: &MemberUpdate) -> usize {
    postcard::to_allocvec(update).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
