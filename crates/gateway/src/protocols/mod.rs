//! What clients speak: one file each. All take requests in by the same way, `admission`, and each hands out what its
//! readers are given in its own words.

pub mod rest;
pub mod rpc;

/// Why a connection ended: its code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reason {
    ClientClosed,
    ClientReset,
    Quiet,
    NotWhole,
    RoomNeeded,
    NotRead,
    Malformed(&'static str),
    IdUsedTwice,
    AskedToClose,
    Stopped,
}

impl Reason {
    /// Whether the client ended it.
    fn is_by_client(self) -> bool {
        matches!(self, Reason::ClientClosed | Reason::ClientReset)
    }

    fn code(self) -> &'static str {
        match self {
            Reason::ClientClosed => "client-closed",
            Reason::ClientReset => "client-reset",
            Reason::Quiet => "quiet",
            Reason::NotWhole => "no-whole-message",
            Reason::RoomNeeded => "room-needed",
            Reason::NotRead => "answers-not-read",
            Reason::Malformed(_) => "malformed",
            Reason::IdUsedTwice => "id-used-twice",
            Reason::AskedToClose => "asked-to-close",
            Reason::Stopped => "stopped",
        }
    }

    fn detail(self) -> &'static str {
        if let Reason::Malformed(why) = self { why } else { "" }
    }
}
