//! Results of calls to the lease manager: messages to send, a voter record to write, events and the status of roles.

use crate::messages::{MemberId, Payload};
use crate::voter_record::VoterRecord;
use larchfall_policy::time::Timestamp;

/// Reasons why a gateway gives up a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EndReason {
    /// The lease was not renewed in time.
    Expired,
    /// This gateway didn't run for more than half of a lease.
    Stalled,
    /// This gateway is shutting down.
    Leaving,
    /// This gateway is unfit to hold roles: no engine is reachable, the endpoint list is stale, or the gateway is
    /// unhealthy itself.
    Unfit,
    /// The reloaded settings no longer contain the role.
    RemovedFromSettings,
    /// Another gateway has a clearly higher score for the role.
    BetterHolder,
    /// Another process uses this gateway's name.
    NameTaken,
}

impl EndReason {
    /// Returns the word for the reason in the output of `larchfall duties`. Scripts may parse this word.
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

/// Changes of a role that this gateway holds or has just acquired.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEventKind {
    /// This gateway holds the role under a new token.
    Acquired {
        /// Fencing token of the new lease.
        token: u64,
    },
    /// The hand-over of the role has started, and no new work may start under the lease. The caller must call
    /// [`LeaseManager::on_work_stopped`](super::LeaseManager::on_work_stopped) when all work has stopped.
    Ending {
        /// Fencing token of the lease.
        token: u64,
        /// Why the role is handed over.
        reason: EndReason,
        /// Name of the gateway that is to hold the role next, if another gateway is alive.
        successor: Option<String>,
    },
    /// The role was given up without a hand-over, and no release was sent.
    Lost {
        /// Fencing token of the lease.
        token: u64,
        /// Why the role was given up.
        reason: EndReason,
    },
    /// The role was released at the end of a hand-over.
    Released {
        /// Fencing token of the released lease.
        token: u64,
        /// Name of the gateway that was notified to request the role next, if any.
        successor: Option<String>,
    },
}

/// An event of one role at this gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseEvent {
    /// Name of the role.
    pub role: String,
    /// What changed.
    pub kind: LeaseEventKind,
}

/// A message to another gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingMessage {
    /// Name of the receiving gateway.
    pub to: String,
    /// The message to send.
    pub payload: Payload,
}

/// Result of a call to the lease manager, which the caller must carry out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Output {
    /// Messages to send, in this order.
    pub messages: Vec<OutgoingMessage>,
    /// Events in the order in which they occurred.
    pub events: Vec<LeaseEvent>,
    /// Voter record to write to disk, if any. The caller must call
    /// [`LeaseManager::on_record_written`](super::LeaseManager::on_record_written) after the write.
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

/// A lease according to the last listing of a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ListedLease {
    /// Gateway process that holds the lease.
    pub holder: MemberId,
    /// Fencing token of the lease.
    pub token: u64,
    /// When the lease expires by this gateway's clock, as far as this gateway knows.
    pub expires_at: Timestamp,
}

/// A lease that this gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: u64,
    /// When the lease expires at this gateway.
    pub expires_at: Timestamp,
}

/// The last time that this gateway gave up a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastEnd {
    /// Why this gateway gave up the role.
    pub reason: EndReason,
    /// When the role was lost or its hand-over started.
    pub ended_at: Timestamp,
}

/// Status of one role as far as this gateway knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleStatus<'a> {
    /// Name of the role.
    pub role: &'a str,
    /// Unexpired lease of any gateway, including this gateway, that a voter has listed.
    pub listed_lease: Option<&'a ListedLease>,
    /// Lease that this gateway holds, unless its hand-over has started.
    pub held_lease: Option<HeldLease>,
    /// The last time that this gateway gave up the role, if ever.
    pub last_end: Option<LastEnd>,
}
