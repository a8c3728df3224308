//! What is claimed of a member, and which of two claims supersedes the other.
//!
//! Statuses of one name are totally ordered, and only the highest is kept: order, duplication and loss of datagrams then
//! can't matter for where all gateways end up.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Longest name of a gateway or zone: it bounds what a datagram holds of members.
pub const MAX_NAME_BYTES: usize = 48;

/// State of a member, the weakest claim first. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It is alive.
    Alive,
    /// It did not answer somebody lately.
    Suspected,
    /// It did not refute a suspicion in time. Final for its generation.
    Dead,
    /// It said itself that it leaves. Final as well, and stronger: it is known to hold nothing more.
    Left,
}

/// A claim about a member. Encoded by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Grows with each start of a process under one name, and when a live one hears that it was declared dead.
    pub generation: u64,
    /// Grows with each suspicion that the member refutes; no other gateway ever raises it.
    pub incarnation: u32,
    /// The claimed state.
    pub state: MemberState,
}

/// The order of statuses: the first field that differs decides.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    generation: u64,
    /// A generation that ended stays ended, whatever incarnation is claimed of it later.
    ended: Option<MemberState>,
    incarnation: u32,
    state: MemberState,
}

impl MemberStatus {
    /// A live member's claim of itself.
    pub fn alive(generation: u64, incarnation: u32) -> MemberStatus {
        MemberStatus { generation, incarnation, state: MemberState::Alive }
    }

    /// The same incarnation in another state.
    pub fn with(self, state: MemberState) -> MemberStatus {
        MemberStatus { state, ..self }
    }

    /// Whether its generation is over.
    pub fn is_final(self) -> bool {
        self.state >= MemberState::Dead
    }

    fn precedence(self) -> Precedence {
        Precedence {
            generation: self.generation,
            ended: self.is_final().then_some(self.state),
            incarnation: if self.is_final() { 0 } else { self.incarnation },
            state: self.state,
        }
    }

    /// Whether this claim replaces the other.
    pub fn supersedes(self, other: MemberStatus) -> bool {
        self.precedence() > other.precedence()
    }
}

/// What a gateway claims of itself after it heard `heard` of itself; `None` where nothing is to be refuted. A suspicion is
/// answered by the next incarnation, an end by a new generation, since the one that ended stays so.
pub fn refutation(own: MemberStatus, heard: MemberStatus) -> Option<MemberStatus> {
    if heard.generation < own.generation || !heard.supersedes(own) {
        return None;
    }
    let is_suspicion = heard.generation == own.generation && !heard.is_final();
    Some(if is_suspicion {
        MemberStatus::alive(own.generation, heard.incarnation.saturating_add(1))
    } else {
        MemberStatus::alive(heard.generation.saturating_add(1), 0)
    })
}

/// What a gateway says of itself beside that it is alive. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Where its datagrams come from.
    pub address: SocketAddrV4,
    /// Its zone; empty where it has none.
    pub zone: String,
    /// Requests a second that it can serve, as it says.
    pub requests_per_second: u32,
}

/// A claim about a member as it is passed on. Encoded by position.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member's name.
    pub name: String,
    /// The claim.
    pub status: MemberStatus,
    /// What it says of itself.
    pub info: MemberInfo,
    /// Who had no answer, where it is suspected: more reporters shorten the suspicion.
    pub reporter: Option<String>,
}

impl MemberUpdate {
    /// Whether its texts are within bounds.
    pub fn is_well_formed(&self) -> bool {
        let fits = |text: &str| text.len() <= MAX_NAME_BYTES;
        !self.name.is_empty()
            && fits(&self.name)
            && fits(&self.info.zone)
            && self.reporter.as_deref().is_none_or(fits)
    }
}
