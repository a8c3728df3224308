//! What comes of a call: datagrams to send, and changes of members.

use crate::datagram::Datagram;
use crate::member_update::MemberState;
use std::net::SocketAddrV4;

/// Why a member's state changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChangeReason {
    /// It sent a datagram itself.
    Heard,
    /// This gateway probed it and had no answer.
    NoAnswer,
    /// Another member says so.
    Gossip,
    /// It was suspected and did not refute that in time.
    SuspicionTimeout,
}

/// A member's state changed, or it began a new generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberChange {
    /// The member's name.
    pub name: String,
    /// The state before; `None` where it was not known.
    pub previous_state: Option<MemberState>,
    /// The state now.
    pub state: MemberState,
    /// The generation now.
    pub generation: u64,
    /// Why.
    pub reason: ChangeReason,
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Where to.
    pub to: SocketAddrV4,
    /// What.
    pub datagram: Datagram,
}

/// What comes of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Output {
    /// To be sent, in this order.
    pub datagrams: Vec<OutgoingDatagram>,
    /// In the order in which they happened.
    pub changes: Vec<MemberChange>,
}

/// Why a datagram that could be read was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// It came from outside the networks, or from another address than it says.
    #[error("unknown sender")]
    UnknownSender,
    /// Another process under this gateway's own name started later: this one is no member any more.
    #[error("another process has this name")]
    NameTaken,
}
