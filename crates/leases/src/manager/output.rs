//! What comes of a call to the manager: messages to send, a record to write, and events.

use crate::messages::{MemberId, Payload};
use crate::voter_record::VoterRecord;
use larchfall_policy::time::Timestamp;

/// Why a role is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EndReason {
    /// The lease was not renewed in time.
    Expired,
    /// This gateway did not run for a good part of a lease.
    Stalled,
    /// This gateway shuts down.
    Leaving,
    /// No engine is reachable, the endpoint list is stale, or the gateway is slow itself.
    Unfit,
    /// The settings name the role no more.
    RemovedFromSettings,
    /// Another gateway suits better.
    BetterHolder,
    /// Another process has this gateway's name.
    NameTaken,
}

impl EndReason {
    /// The word for it in the output of `larchfall duties`, which scripts may read.
    pub fn status_word(self) -> &'static str {
        match self {
            EndReason::Expired => "RanOut",
            EndReason::Stalled => "StoodStill",
            EndReason::Leaving => "Leaving",
            EndReason::Unfit => "Unfit",
            EndReason::RemovedFromSettings => "NotNamed",
            EndReason::BetterHolder => "Better",
            EndReason::NameTaken => "NameTaken",
        }
    }
}

/// What happened to a role at this gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEventKind {
    /// It is held here, under this token from now on.
    Acquired {
        /// The fencing token.
        token: u64,
    },
    /// Nothing more may be begun under it. The caller answers with
    /// [`LeaseManager::on_work_stopped`](super::LeaseManager::on_work_stopped) once nothing runs.
    Ending {
        /// The fencing token.
        token: u64,
        /// Why it is given up.
        reason: EndReason,
        /// Who is to hold it next.
        successor: Option<String>,
    },
    /// The lease is over, and nobody was told.
    Lost {
        /// The fencing token.
        token: u64,
        /// Why it is lost.
        reason: EndReason,
    },
    /// It was given up in order.
    Released {
        /// The fencing token.
        token: u64,
        /// Who is to hold it next.
        successor: Option<String>,
    },
}

/// An event of one role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseEvent {
    /// The role.
    pub role: String,
    /// What happened.
    pub kind: LeaseEventKind,
}

/// A message to another gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// The gateway's name.
    pub to: String,
    /// What to send.
    pub payload: Payload,
}

/// What comes of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// To be sent, in this order.
    pub messages: Vec<OutgoingMessage>,
    /// In the order in which they happened.
    pub events: Vec<LeaseEvent>,
    /// To be written to disk, and answered with
    /// [`LeaseManager::on_record_written`](super::LeaseManager::on_record_written).
    pub record_to_write: Option<VoterRecord>,
}

impl Output {
    pub(super) fn send(&mut self, to: &str, payload: Payload) {
        self.messages.push(OutgoingMessage { to: to.to_owned(), payload });
    }

    pub(super) fn report(&mut self, role: &str, kind: LeaseEventKind) {
        self.events.push(LeaseEvent { role: role.to_owned(), kind });
    }
}

/// A lease as a voter last listed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedLease {
    /// The process that holds it.
    pub holder: MemberId,
    /// The fencing token.
    pub token: u64,
    /// When it ends, as far as is known here.
    pub expires_at: Timestamp,
}

/// A lease that is held here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// When it ends.
    pub expires_at: Timestamp,
}

/// How a role last came to end here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastEnd {
    /// Why.
    pub reason: EndReason,
    /// When.
    pub ended_at: Timestamp,
}

/// What this gateway knows of one role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleStatus<'a> {
    /// The role.
    pub role: &'a str,
    /// The lease of another gateway, or of this one, that a voter listed.
    pub listed_lease: Option<&'a ListedLease>,
    /// The lease that is held here.
    pub held_lease: Option<HeldLease>,
    /// How it last came to end here.
    pub last_end: Option<LastEnd>,
}
