//! Datagrams between gateways: a version, then one letter in postcard's form, then CRC-32C over all of it. What can't be
//! read whole is told apart by why, and none of it is believed.

use crate::claim::{About, Claim, LONGEST, Rumour};
use crc::{CRC_32_ISCSI, Crc};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Under what every path carries in one piece.
pub const MOST_BYTES: usize = 1200;
pub const VERSION: u8 = 1;
const CHECK: Crc<u32> = Crc::<u32>::new(&CRC_32_ISCSI);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Matter {
    /// Are you there? Answered at once.
    Ask {
        turn: u32,
    },
    /// Ask that gateway for me: I had no answer.
    AskFor {
        turn: u32,
        name: String,
        address: SocketAddrV4,
    },
    Answer {
        turn: u32,
    },
    /// I asked it for you and had none either: so it is not your own way here that fails.
    NoAnswer {
        turn: u32,
    },
    /// A page of all that the sender knows, from after this name on; whether the same is asked for in return.
    Table {
        after: Option<String>,
        back: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Letter {
    version: u8,
    pub cluster: String,
    /// Who writes, and what it claims of itself.
    pub name: String,
    pub claim: Claim,
    pub about: About,
    pub matter: Matter,
    pub rumours: Vec<Rumour>,
}

/// Why a datagram was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unreadable {
    TooLong,
    /// Of a version that this gateway does not speak.
    Version(u8),
    /// Cut short, flipped, or none of ours.
    Spoilt,
    OtherCluster,
    /// Whole, but with what no gateway writes.
    Unsound,
}

impl Letter {
    pub fn new(cluster: &str, me: &Rumour, matter: Matter) -> Letter {
        let Rumour { name, claim, about, .. } = me.clone();
        Letter {
            version: VERSION,
            cluster: cluster.to_owned(),
            name,
            claim,
            about,
            matter,
            rumours: Vec::new(),
        }
    }

    /// Bytes left for rumours; their number takes one of them.
    pub fn room(&self) -> usize {
        MOST_BYTES.saturating_sub(self.seal().len() + 1)
    }

    pub fn seal(&self) -> Vec<u8> {
        // Into a vector, of plain structures: this form has no way to fail.
        postcard::to_allocvec_crc32(self, CHECK.digest()).unwrap_or_default()
    }

    pub fn open(bytes: &[u8], cluster: &str) -> Result<Letter, Unreadable> {
        match bytes.first() {
            _ if bytes.len() > MOST_BYTES => return Err(Unreadable::TooLong),
            Some(version) if *version != VERSION => return Err(Unreadable::Version(*version)),
            _ => {}
        }
        let letter: Letter =
            postcard::from_bytes_crc32(bytes, CHECK.digest()).map_err(|_| Unreadable::Spoilt)?;
        if letter.cluster != cluster {
            return Err(Unreadable::OtherCluster);
        }
        let writes = letter.me();
        let named = match &letter.matter {
            Matter::AskFor { name, .. } => name.len() <= LONGEST,
            Matter::Table { after, .. } => after.as_ref().is_none_or(|name| name.len() <= LONGEST),
            _ => true,
        };
        // Whoever writes lives, and says so of itself; leaving is the one other thing it may say.
        let lives =
            matches!(letter.claim.standing, crate::claim::Standing::Alive | crate::claim::Standing::Left);
        let sound = writes.is_sound() && named && lives && letter.rumours.iter().all(Rumour::is_sound);
        if sound { Ok(letter) } else { Err(Unreadable::Unsound) }
    }

    /// What the writer claims of itself, as a rumour.
    pub fn me(&self) -> Rumour {
        Rumour { name: self.name.clone(), claim: self.claim, about: self.about.clone(), by: None }
    }
}

/// Bytes that a rumour takes in a letter.
pub fn size(rumour: &Rumour) -> usize {
    postcard::to_allocvec(rumour).map_or(MOST_BYTES, |bytes| bytes.len())
}
