//! Log lines on standard output, written by a thread of their own: a slow reader stalls no request. Lines that it can't
//! take in time are dropped and counted.

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io::stdout;

const QUEUED_LINES: usize = 2048;

/// A running logger.
pub struct Logging {
    /// Adds this gateway's name to each line.
    pub logger: Logger,
    /// Writes out what is queued when it is dropped.
    pub flush_on_drop: AsyncGuard,
}

/// Starts the thread that writes the log.
pub fn start(gateway: &str) -> Logging {
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(stdout())).build().fuse();
    let (drain, flush_on_drop) = Async::new(lines)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    Logging { logger: Logger::root(drain.fuse(), o!("gateway" => gateway.to_owned())), flush_on_drop }
}
