//! Datagrams about what a gateway observed itself, on the socket of the gateways: a version of their own, so that a gateway
//! without health gossip ignores them, one report in postcard's form, and CRC-32C over all of it.
//!
//! Postcard encodes by position: the order and types of fields are the wire format, their names are not.

use crate::counts::ProcessCounts;
use crate::observations::Report;
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};

/// First byte of every datagram of this crate.
pub const VERSION: u8 = 5;
/// Largest datagram, below what every path carries in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Entries in a datagram: each takes 31 bytes at most, and names and numbers some hundred.
pub const MAX_ENTRIES: usize = 36;
const MAX_NAME_BYTES: usize = 48;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// One report on the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    cluster: String,
    /// The sender's name.
    pub gateway: String,
    /// The sender's generation.
    pub generation: u64,
    /// Grows with each report of this process.
    pub number: u64,
    /// What it observed so far.
    pub entries: Vec<ProcessCounts>,
}

/// Why a datagram is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// Too long, cut short or altered.
    #[error("corrupt datagram")]
    Corrupt,
    /// Of a version that this gateway does not speak.
    #[error("datagram of version {0}, not {VERSION}")]
    Version(u8),
    /// From a gateway of another cluster.
    #[error("datagram of another cluster")]
    OtherCluster,
    /// Whole, but with what no gateway writes.
    #[error("malformed datagram")]
    Malformed,
}

impl Datagram {
    /// A datagram of this version.
    pub fn new(cluster: &str, gateway: &str, generation: u64, report: Report) -> Datagram {
        Datagram {
            version: VERSION,
            cluster: cluster.to_owned(),
            gateway: gateway.to_owned(),
            generation,
            number: report.number,
            entries: report.entries,
        }
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
        if datagram.version != VERSION {
            return Err(DatagramError::Version(datagram.version));
        }
        if datagram.cluster != cluster {
            return Err(DatagramError::OtherCluster);
        }
        let is_well_formed =
            (1..=MAX_NAME_BYTES).contains(&datagram.gateway.len()) && datagram.entries.len() <= MAX_ENTRIES;
        if is_well_formed { Ok(datagram) } else { Err(DatagramError::Malformed) }
    }
}
