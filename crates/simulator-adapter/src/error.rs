//! Errors that end the program. Each error message is one line, which `main` prints on standard error.

use larchfall_config::SettingsError;
use std::io;

/// An error that ends the program.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error("header: input ended after {bytes_read} of {expected} bytes")]
    TruncatedHeader { bytes_read: usize, expected: usize },
    #[error("header: read failed: {error}")]
    ReadHeader { error: io::Error },
    #[error("batch {number}: {error}")]
    Batch { number: u32, error: BatchError },
    #[error("{0}")]
    Field(#[from] FieldError),
}

/// Why a batch of events could not be read or handled, or its reply not written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BatchError {
    #[error("length {length} is less than the 12 bytes of the batch header")]
    LengthTooSmall { length: u64 },
    #[error("input ended after {bytes_read} of {expected} bytes")]
    Truncated { bytes_read: u64, expected: u64 },
    #[error("read failed: {0}")]
    Read(io::Error),
    #[error("record {index}: {error}")]
    Record { index: u32, error: EventError },
    #[error("{bytes} unexpected bytes after the last of {count} records")]
    TrailingBytes { bytes: usize, count: u32 },
    #[error("{0}")]
    Field(#[from] FieldError),
    #[error("reply: write failed: {0}")]
    WriteReply(io::Error),
}

/// Why an event was rejected. The messages use the simulator's names for events (`EventKind::name`) and call a gateway
/// instance a front.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    #[error("{0}")]
    Field(#[from] FieldError),
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("unknown event code {code}")]
    UnknownEvent { code: u8 },
    #[error("{event}: no front {instance} is running")]
    GatewayNotRunning { event: &'static str, instance: u32 },
    #[error("view: unknown kind {kind}, expected 0 to 3")]
    UnknownViewKind { kind: u8 },
    #[error("view: no endpoint list has the number {list}")]
    UnknownList { list: u8 },
    #[error("snapshot_rows: unknown health {health}, expected 0 to 2")]
    UnknownHealth { health: u8 },
    #[error("verdict: unknown outcome code {code}")]
    UnknownOutcome { code: u8 },
    #[error("notice: unknown what {code}, expected 1 to 3")]
    UnknownProgressCode { code: u8 },
    #[error("work_item: front {instance}, id {id}: no request class has the index {class}")]
    UnknownClass { instance: u32, id: u32, class: usize },
    #[error("work_item: front {instance}: id {id} is already in use")]
    DuplicateRequestId { instance: u32, id: u32 },
}

/// Why a field could not be read. `section` names the header, record or event that contains the field, and `offset`
/// counts bytes from the start of that section.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    #[error("{section}: field at byte {offset} needs {needed} bytes, but only {remaining} remain")]
    Truncated { section: &'static str, needed: usize, offset: usize, remaining: usize },
    #[error("{section}: field at byte {offset} must be a finite number")]
    NotFinite { section: &'static str, offset: usize },
}
