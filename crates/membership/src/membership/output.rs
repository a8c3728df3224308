//! Results of a call to the membership state machine: datagrams to send and member changes.

use crate::datagram::Datagram;
use crate::member_update::MemberState;
use std::net::SocketAddrV4;

/// Reason for the change of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeReason {
    /// The member announced its state in its own datagram.
    Heard,
    /// The member did not acknowledge a probe of this gateway.
    NoAnswer,
    /// Another member passed on the claim.
    Gossip,
    /// The member did not refute a suspicion in time.
    SuspicionTimeout,
}

/// Change of a member's state or start of a new generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberChange {
    /// Name of the member.
    pub name: String,
    /// State before the change; `None` if the member was unknown.
    pub previous_state: Option<MemberState>,
    /// State after the change.
    pub state: MemberState,
    /// Generation after the change.
    pub generation: u64,
    /// Reason for the change.
    pub reason: ChangeReason,
}

/// Datagram that the caller shall send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Address of the recipient.
    pub to: SocketAddrV4,
    /// Datagram, not yet encoded.
    pub datagram: Datagram,
}

/// Datagrams and member changes that a call produced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// Datagrams to send, in this order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// Changes of other members, and this gateway's own departure, in the order in which they happened.
    pub changes: Vec<MemberChange>,
}

/// Reason for rejecting a datagram that was decoded successfully.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The source address is outside the allowed networks or differs from the address that the sender announces.
    #[error("source address is not in an allowed network or differs from the announced address")]
    UnknownSender,
    /// A process that started later uses this gateway's name, so this gateway is no longer a member.
    #[error("a process that started later uses this gateway's name")]
    NameTaken,
}
