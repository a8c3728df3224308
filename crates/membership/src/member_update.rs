//! Claims about members, and the order that decides which of two claims supersedes the other.
//!
//! The statuses of one member name are totally ordered, and each gateway keeps only the highest status. All gateways
//! therefore converge to the same status even if datagrams are reordered, duplicated or lost.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Maximum length in bytes of a gateway or zone name. Limits the size of an update in a datagram.
pub const MAX_NAME_BYTES: usize = 48;

/// State of a member. The order of the variants is the precedence of claims, weakest first, and the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member responds to probes.
    Alive,
    /// The member did not acknowledge a recent probe of at least one gateway.
    Suspected,
    /// The member did not refute a suspicion in time. Final for the member's generation.
    Dead,
    /// The member announced that it leaves. Final for the member's generation. Stronger than `Dead`, because a member that
    /// left is known to hold nothing any more.
    Left,
}

/// Claim about the status of a member. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Increases with each process start under the member's name, and when a live member learns that it was declared dead.
    pub generation: u64,
    /// Increases with each suspicion that the member refutes. Only the member itself increases its incarnation.
    pub incarnation: u32,
    /// Claimed state.
    pub state: MemberState,
}

/// Sort key of a status. The first field that differs decides.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    generation: u64,
    /// The final state of a generation that ended. Compared before the incarnation, so that no later incarnation revives
    /// the generation.
    ended: Option<MemberState>,
    incarnation: u32,
    state: MemberState,
}

impl MemberStatus {
    /// Creates the claim that a live member makes about itself.
    pub fn alive(generation: u64, incarnation: u32) -> MemberStatus {
        MemberStatus { generation, incarnation, state: MemberState::Alive }
    }

    /// Returns the same generation and incarnation with another state.
    pub fn with_state(self, state: MemberState) -> MemberStatus {
        MemberStatus { state, ..self }
    }

    /// Returns whether the generation has ended, as dead or left.
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

    /// Returns whether this claim takes precedence over the other claim.
    pub fn supersedes(self, other: MemberStatus) -> bool {
        self.precedence() > other.precedence()
    }
}

/// Returns the new status with which a gateway refutes a `claim` about itself, or `None` if the claim does not supersede
/// the gateway's `own` status. A suspicion is refuted with the next incarnation. A claim that the gateway ended is refuted
/// with a new generation, because a generation that ended cannot be revived.
pub fn refutation(own: MemberStatus, claim: MemberStatus) -> Option<MemberStatus> {
    if claim.generation < own.generation || !claim.supersedes(own) {
        return None;
    }
    let is_suspicion = claim.generation == own.generation && !claim.is_final();
    Some(if is_suspicion {
        MemberStatus::alive(own.generation, claim.incarnation.saturating_add(1))
    } else {
        MemberStatus::alive(claim.generation.saturating_add(1), 0)
    })
}

/// Properties that a member announces about itself. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Address from which the member sends its datagrams.
    pub address: SocketAddrV4,
    /// Zone of the member; empty if the member has no zone.
    pub zone: String,
    /// Requests per second that the member is configured to serve.
    pub requests_per_second: u32,
}

/// Claim about a member as gossip carries it. The order of the fields is the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Name of the member.
    pub name: String,
    /// Claimed status.
    pub status: MemberStatus,
    /// Properties that the member announced.
    pub info: MemberInfo,
    /// Name of a gateway whose probe the suspected member did not acknowledge; `None` for members that are not suspected.
    /// Additional reporters shorten the suspicion timeout.
    pub reporter: Option<String>,
}

impl MemberUpdate {
    /// Returns whether the member name is not empty and no name exceeds [`MAX_NAME_BYTES`].
    pub fn is_well_formed(&self) -> bool {
        let fits = |text: &str| text.len() <= MAX_NAME_BYTES;
        !self.name.is_empty()
            && fits(&self.name)
            && fits(&self.info.zone)
            && self.reporter.as_deref().is_none_or(fits)
    }
}
