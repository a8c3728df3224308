//! Logs to standard output from a separate thread, so that a slow reader of the output delays no request. Lines that
//! don't fit into the queue are dropped, and the log reports their number.

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io::stdout;

/// Log lines that wait to be written before further lines are dropped.
const LOG_QUEUE_LINES: usize = 2048;

/// A logger whose writer thread is running.
pub struct Logging {
    /// Root logger, which adds the gateway's name to each line.
    pub logger: Logger,
    /// Writes the queued lines when dropped.
    pub flush_on_drop: AsyncGuard,
}

/// Starts the writer thread. Each line has `gateway_name` in its `gateway` field.
pub fn start(gateway_name: &str) -> Logging {
    let line_writer = slog_term::FullFormat::new(slog_term::PlainDecorator::new(stdout())).build().fuse();
    let (async_drain, flush_on_drop) = Async::new(line_writer)
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    Logging {
        logger: Logger::root(async_drain.fuse(), o!("gateway" => gateway_name.to_owned())),
        flush_on_drop,
    }
}
