//! Log lines on standard output, written by a thread of their own: a slow reader stalls no request, and what it
//! can't take in time is counted and dropped.

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use std::io::stdout;

const LINES: usize = 2048;

/// The logger, and what writes the rest of it out when dropped.
pub fn start(name: &str) -> (Logger, AsyncGuard) {
    let lines = slog_term::FullFormat::new(slog_term::PlainDecorator::new(stdout())).build().fuse();
    let (drain, guard) = Async::new(lines)
        .chan_size(LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!("gateway" => name.to_owned())), guard)
}
