//! Datagrams of health gossip, each with one report of a gateway's own observations. They are sent on the same UDP
//! socket as the membership datagrams but have another version, so that a gateway without health gossip ignores them.
//! A datagram is encoded with postcard, followed by a CRC-32C checksum of the encoded bytes.
//!
//! Postcard encodes by position: the order and types of fields are part of the wire format, the names aren't.

use crate::counts::ProcessCounts;
use crate::observations::Report;
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};

/// Version of health gossip datagrams, the first byte of each datagram.
pub const VERSION: u8 = 5;
/// Maximum size of a datagram in bytes, small enough to avoid IP fragmentation on any path.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of entries in a datagram. An entry takes at most 31 bytes, and the other fields about 100 bytes.
pub const MAX_ENTRIES: usize = 36;
/// Maximum length of a gateway's name in bytes.
const MAX_NAME_BYTES: usize = 48;
const CHECKSUM: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// A datagram with one report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    version: u8,
    cluster: String,
    /// The sender's name.
    pub gateway: String,
    /// The generation of the sender's process; a restarted gateway has a higher generation.
    pub generation: u64,
    /// Sequence number of the report, increasing while the sender's process runs.
    pub number: u64,
    /// Cumulative counts of outcomes that the sender observed, by engine process.
    pub entries: Vec<ProcessCounts>,
}

/// Reasons for ignoring a received datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is too long, truncated or altered.
    #[error("datagram is longer than {MAX_DATAGRAM_BYTES} bytes, cannot be decoded, or has a wrong checksum")]
    Corrupt,
    /// The datagram has another version than [`VERSION`].
    #[error("datagram version is {0}, expected {VERSION}")]
    Version(u8),
    /// The datagram is from a gateway of another cluster.
    #[error("datagram is from another cluster")]
    OtherCluster,
    /// The checksum is right, but the name's length is not in 1..=48 bytes or there are more than [`MAX_ENTRIES`]
    /// entries.
    #[error(
        "datagram has a name that is not 1 to {MAX_NAME_BYTES} bytes long, or more than {MAX_ENTRIES} entries"
    )]
    Malformed,
}

impl Datagram {
    /// Creates a datagram of the current version.
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

    /// Encodes the datagram, with the checksum.
    pub fn encode(&self) -> Vec<u8> {
        // Encoding into a growing vector can't fail for these plain types.
        postcard::to_allocvec_crc32(self, CHECKSUM.digest()).unwrap_or_default()
    }

    /// Decodes and checks a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is corrupt or malformed, or belongs to another version or another cluster than `cluster`.
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
