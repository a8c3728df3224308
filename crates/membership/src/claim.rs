//! What is claimed of one gateway, and which of two claims counts. Claims of one name form a line from the weakest to the
//! strongest, and only the strongest is kept: order, doubling and loss of datagrams then can't matter for where all
//! end up.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// The longest name of a gateway, and of a zone, in bytes: what a datagram holds of members is bounded by it.
pub const LONGEST: usize = 48;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    /// Did not answer somebody lately.
    Suspected,
    /// Did not refute that in time. Final for its generation.
    Dead,
    /// Said itself that it goes. Final as well, and stronger: it is known to hold nothing more.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Grows with each start of a process under one name, and when a living one hears that it was held for dead.
    pub generation: u64,
    /// Grows with each suspicion that its gateway refutes; no other gateway ever raises it.
    pub incarnation: u32,
    pub standing: Standing,
}

impl Claim {
    pub fn alive(generation: u64, incarnation: u32) -> Claim {
        Claim { generation, incarnation, standing: Standing::Alive }
    }

    pub fn with(self, standing: Standing) -> Claim {
        Claim { standing, ..self }
    }

    pub fn is_final(self) -> bool {
        self.standing >= Standing::Dead
    }

    /// A generation that ended stays ended, whatever incarnation is claimed of it later.
    fn strength(self) -> (u64, Option<Standing>, u32, Standing) {
        let ended = Some(self.standing).filter(|_| self.is_final());
        (self.generation, ended, if ended.is_some() { 0 } else { self.incarnation }, self.standing)
    }

    pub fn beats(self, other: Claim) -> bool {
        self.strength() > other.strength()
    }
}

/// What a gateway claims of itself after it heard this of itself. It alone knows better: a suspicion is answered by the
/// next incarnation, an end by a new generation, since the one that was ended stays so. `None` where nothing is to
/// be answered.
pub fn refuted(mine: Claim, heard: Claim) -> Option<Claim> {
    if heard.generation < mine.generation || !heard.beats(mine) {
        return None;
    }
    let same = heard.generation == mine.generation && !heard.is_final();
    Some(if same {
        Claim::alive(mine.generation, heard.incarnation.saturating_add(1))
    } else {
        Claim::alive(heard.generation.saturating_add(1), 0)
    })
}

/// What a gateway says of itself beside that it lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct About {
    pub address: SocketAddrV4,
    pub zone: String,
    /// Requests a second that it takes, as it says.
    pub serves: u32,
}

/// One claim on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rumour {
    pub name: String,
    pub claim: Claim,
    pub about: About,
    /// Who found it silent, where it is suspected: more of them make it die sooner.
    pub by: Option<String>,
}

impl Rumour {
    /// Whether its texts are within bounds; one that is not is passed over whole.
    pub fn is_sound(&self) -> bool {
        let short = |text: &str| text.len() <= LONGEST;
        !self.name.is_empty()
            && short(&self.name)
            && short(&self.about.zone)
            && self.by.as_deref().is_none_or(short)
    }
}
