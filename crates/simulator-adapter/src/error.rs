//! Why input off the wire ends the program. Each text is one line on standard error.

use larchfall_config::SettingsError;
use std::io;

/// What ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error("header: input ended after {read} of {length} bytes")]
    HeaderIncomplete { read: usize, length: usize },
    #[error("header: {error}")]
    HeaderUnreadable { error: io::Error },
    #[error("batch {number}: {error}")]
    Batch { number: u32, error: BatchError },
    #[error("{0}")]
    Fields(#[from] FieldError),
}

/// What is wrong with a batch of events, or with its reply.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    #[error("length {length} is under the header's 12")]
    TooShort { length: u64 },
    #[error("input ended after {read} of {length} bytes")]
    Incomplete { read: u64, length: u64 },
    #[error("{0}")]
    Unreadable(io::Error),
    #[error("record {index}: {error}")]
    Record { index: u32, error: EventError },
    #[error("{bytes} bytes left over after {count} records")]
    LeftOver { bytes: usize, count: u32 },
    #[error("{0}")]
    Fields(#[from] FieldError),
    #[error("reply: {0}")]
    Reply(io::Error),
}

/// What is wrong with one event.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    #[error("{0}")]
    Fields(#[from] FieldError),
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("unknown event code {code}")]
    UnknownEvent { code: u8 },
    #[error("{event}: no front {instance} is running")]
    NotRunning { event: &'static str, instance: u32 },
    #[error("view: unknown kind {kind}")]
    UnknownViewKind { kind: u8 },
    #[error("view: no list numbered {list} came")]
    UnknownList { list: u8 },
    #[error("snapshot_rows: unknown health {health}")]
    UnknownHealth { health: u8 },
    #[error("unknown outcome {code}")]
    UnknownOutcome { code: u8 },
    #[error("notice: unknown what {what}")]
    UnknownNotice { what: u8 },
    #[error("front {instance}, id {id}: no service group {class}")]
    UnknownClass { instance: u32, id: u32, class: usize },
    #[error("front {instance}: id {id} came twice")]
    DuplicateId { instance: u32, id: u32 },
}

/// What is wrong with a field, with the name of what it is part of.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    #[error("{part}: {wanted} bytes wanted at byte {at}, {left} left")]
    TooShort { part: &'static str, wanted: usize, at: usize, left: usize },
    #[error("{part}: no number at byte {at}")]
    NotANumber { part: &'static str, at: usize },
}
