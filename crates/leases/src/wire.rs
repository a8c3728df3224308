//! Datagrams about duties, on the socket that the gateways have: their version, one letter in postcard's form, CRC-32C over
//! all of it. Another version than that of the letters about members, so that a gateway without duties passes them over.

use crate::permit::Stamped;
use crate::probing::Reading;
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};

pub const MOST_BYTES: usize = 1200;
pub const VERSION: u8 = 2;
/// The longest name of a duty and of a gateway, in bytes.
pub const LONGEST: usize = 48;
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

/// One process of a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Who {
    pub name: String,
    pub generation: u64,
}

/// A duty that a gateway wants, or wants on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Want {
    pub duty: String,
    pub token: u64,
    pub length_us: u64,
}

/// What an elector says to one want.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Vote {
    pub duty: String,
    /// As it was asked for.
    pub token: u64,
    pub granted: bool,
    /// No token up to this one will be granted any more.
    pub highest: u64,
    /// Whether another holds it.
    pub taken: bool,
}

/// A lease as an elector has it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leased {
    pub duty: String,
    pub token: u64,
    pub holder: Who,
    pub left_us: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Matter {
    /// To an elector.
    Ask {
        round: u32,
        wants: Vec<Want>,
    },
    Votes {
        round: u32,
        votes: Vec<Vote>,
    },
    /// To an elector: these are given up, and nothing more is done under them.
    Gone {
        tokens: Vec<(String, u64)>,
    },
    /// To the one who is to take it over.
    Yours {
        duty: String,
        token: u64,
    },
    /// To an elector: who holds what, from after this duty on?
    Look {
        after: Option<String>,
    },
    Leases {
        after: Option<String>,
        leases: Vec<Leased>,
        /// Whether these were all from there on.
        whole: bool,
    },
    /// What the holder of a probing duty read at engines.
    Readings(Stamped<Vec<Reading>>),
    /// To the keeper of these capacities: a share of each, by how much this gateway wants of it.
    AskShares {
        duty: String,
        round: u32,
        /// The terms that it goes by: it is handed nothing under others.
        gateways: u32,
        length_us: u64,
        wants: Vec<(u64, f32)>,
    },
    /// Shares that a keeper hands out, as parts of the whole of each.
    Shares {
        round: u32,
        parts: Stamped<Vec<(u64, f64)>>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Letter {
    version: u8,
    pub cluster: String,
    pub from: Who,
    pub matter: Matter,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unreadable {
    Spoilt,
    OtherCluster,
    Unsound,
}

impl Letter {
    pub fn new(cluster: &str, from: &Who, matter: Matter) -> Letter {
        Letter { version: VERSION, cluster: cluster.to_owned(), from: from.clone(), matter }
    }

    /// Bytes left for what is listed in it; lengths of lists take two of them.
    pub fn room(&self) -> usize {
        MOST_BYTES.saturating_sub(self.seal().len() + 2)
    }

    pub fn seal(&self) -> Vec<u8> {
        // Into a vector, of plain structures: this form has no way to fail.
        postcard::to_allocvec_crc32(self, CHECK.digest()).unwrap_or_default()
    }

    pub fn open(bytes: &[u8], cluster: &str) -> Result<Letter, Unreadable> {
        if bytes.len() > MOST_BYTES {
            return Err(Unreadable::Spoilt);
        }
        let letter: Letter =
            postcard::from_bytes_crc32(bytes, CHECK.digest()).map_err(|_| Unreadable::Spoilt)?;
        if letter.cluster != cluster {
            return Err(Unreadable::OtherCluster);
        }
        let fits = |name: &str| (1..=LONGEST).contains(&name.len());
        let after = |after: &Option<String>| after.as_deref().is_none_or(fits);
        let sound = fits(&letter.from.name)
            && match &letter.matter {
                Matter::Ask { wants, .. } => wants.iter().all(|w| fits(&w.duty)),
                Matter::Votes { votes, .. } => votes.iter().all(|v| fits(&v.duty)),
                Matter::Gone { tokens } => tokens.iter().all(|(duty, _)| fits(duty)),
                Matter::Yours { duty, .. } => fits(duty),
                Matter::Look { after: a } => after(a),
                Matter::Leases { after: a, leases, .. } => {
                    after(a) && leases.iter().all(|l| fits(&l.duty) && fits(&l.holder.name))
                }
                Matter::Readings(readings) => fits(&readings.duty),
                Matter::AskShares { duty, .. } => fits(duty),
                Matter::Shares { parts, .. } => fits(&parts.duty),
            };
        if sound { Ok(letter) } else { Err(Unreadable::Unsound) }
    }
}

/// Bytes that a part of a list takes in a letter.
pub fn size<T: Serialize>(part: &T) -> usize {
    postcard::to_allocvec(part).map_or(MOST_BYTES, |bytes| bytes.len())
}

/// As many pages as these need, none with more than `room` bytes of them.
pub fn pages<T: Serialize>(parts: impl IntoIterator<Item = T>, room: usize) -> Vec<Vec<T>> {
    let (mut pages, mut left): (Vec<Vec<T>>, usize) = (Vec::new(), 0);
    for part in parts {
        let size = size(&part);
        if pages.is_empty() || size > left {
            (pages, left) = (pages.into_iter().chain([Vec::new()]).collect(), room);
        }
        left = left.saturating_sub(size);
        if let Some(page) = pages.last_mut() {
            page.push(part);
        }
    }
    pages
}
