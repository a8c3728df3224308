//! Datagrams between gateways: a version, then one message in postcard's form, then CRC-32C over all of it. What can't be
//! read whole is rejected with a reason, and none of it is believed.
//!
//! Postcard encodes by position: the order and types of fields and variants are the wire format, their names are not.

use crate::member_update::{MAX_NAME_BYTES, MemberInfo, MemberState, MemberStatus, MemberUpdate};
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Largest datagram, below what every path carries in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// First byte of every datagram of this crate.
pub const VERSION: u8 = 1;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// What a datagram says beside the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// Are you there? Acknowledged at once.
    Ping {
        /// Number of the ping, for its answer.
        sequence: u32,
    },
    /// Ping that member for me: I had no answer.
    PingRequest {
        /// Number of the sender's probe, for the answer.
        sequence: u32,
        /// The member.
        name: String,
        /// Its address.
        address: SocketAddrV4,
    },
    /// A ping's answer, or a helper's report of one.
    Ack {
        /// Number of the ping or probe.
        sequence: u32,
    },
    /// A helper had no answer either: so it is not the sender's own path that fails.
    Nack {
        /// Number of the probe.
        sequence: u32,
    },
    /// A page of all that the sender knows.
    Table {
        /// The page begins after this name.
        after: Option<String>,
        /// Whether the same page is wanted in return.
        wants_reply: bool,
    },
}

/// One message on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    /// The sender's cluster.
    pub cluster: String,
    /// The sender's name.
    pub name: String,
    /// What it claims of itself.
    pub status: MemberStatus,
    /// What it says of itself.
    pub info: MemberInfo,
    /// What it says.
    pub payload: Payload,
    /// Claims about other members.
    pub updates: Vec<MemberUpdate>,
}

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Longer than any gateway writes.
    #[error("datagram of more than {MAX_DATAGRAM_BYTES} bytes")]
    TooLong,
    /// Of a version that this gateway does not speak.
    #[error("datagram of version {0}, not {VERSION}")]
    Version(u8),
    /// Cut short, altered, or no datagram of a gateway.
    #[error("corrupt datagram")]
    Corrupt,
    /// From a gateway of another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// Whole, but with what no gateway writes.
    #[error("malformed datagram")]
    Malformed,
}

impl Datagram {
    /// A datagram of this version, without updates yet.
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

    /// Bytes left for updates; their number takes one of them.
    pub fn remaining_bytes(&self) -> usize {
        MAX_DATAGRAM_BYTES.saturating_sub(self.encode().len() + 1)
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        // Plain structures into a vector: postcard has no way to fail here.
        postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default()
    }

    /// Reads a datagram of `cluster`.
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
        let payload_is = match &self.payload {
            Payload::PingRequest { name, .. } => name.len() <= MAX_NAME_BYTES,
            Payload::Table { after, .. } => after.as_ref().is_none_or(|name| name.len() <= MAX_NAME_BYTES),
            Payload::Ping { .. } | Payload::Ack { .. } | Payload::Nack { .. } => true,
        };
        // A sender is alive and says so of itself; leaving is the one other thing it may say.
        let sender_may_say = matches!(self.status.state, MemberState::Alive | MemberState::Left);
        self.sender().is_well_formed()
            && payload_is
            && sender_may_say
            && self.updates.iter().all(MemberUpdate::is_well_formed)
    }

    /// What the sender claims of itself, as an update.
    pub fn sender(&self) -> MemberUpdate {
        MemberUpdate { name: self.name.clone(), status: self.status, info: self.info.clone(), reporter: None }
    }
}

/// Bytes that an update takes in a datagram.
pub fn encoded_len(update: &MemberUpdate) -> usize {
    postcard::to_allocvec(update).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len())
}
