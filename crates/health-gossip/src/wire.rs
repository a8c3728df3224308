//! Letters about what a gateway saw itself, on the socket that the gateways have: a version of their own, so that a gateway without
//! signals passes them over, postcard's form, CRC-32C over all of it.

use crate::{Counts, Process};
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};

pub const VERSION: u8 = 5;
pub const MOST_BYTES: usize = 1200;
/// So many engines in a letter at most: each takes 31 bytes at the worst, and names and numbers some hundred.
pub const MOST_ENGINES: usize = 36;
const LONGEST: usize = 48;
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    version: u8,
    cluster: String,
    pub name: String,
    pub generation: u64,
    /// Grows with each letter of this process.
    pub number: u64,
    pub saw: Vec<(Process, Counts)>,
}

impl Letter {
    pub fn new(
        cluster: &str,
        name: &str,
        generation: u64,
        number: u64,
        saw: Vec<(Process, Counts)>,
    ) -> Letter {
        let (cluster, name) = (cluster.to_owned(), name.to_owned());
        Letter { version: VERSION, cluster, name, generation, number, saw }
    }

    pub fn seal(&self) -> Vec<u8> {
        // Into a vector, of plain structures: this form has no way to fail.
        postcard::to_allocvec_crc32(self, CHECK.digest()).unwrap_or_default()
    }

    /// None where it is spoilt, too long, or of another cluster.
    pub fn open(bytes: &[u8], cluster: &str) -> Option<Letter> {
        let fits = bytes.len() <= MOST_BYTES;
        let letter: Letter =
            fits.then(|| postcard::from_bytes_crc32(bytes, CHECK.digest()).ok()).flatten()?;
        let sound = letter.version == VERSION
            && letter.cluster == cluster
            && (1..=LONGEST).contains(&letter.name.len())
            && letter.saw.len() <= MOST_ENGINES;
        sound.then_some(letter)
    }
}
