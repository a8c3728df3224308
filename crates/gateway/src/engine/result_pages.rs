//! Reads the pages of a result, from the first to the last, as its reader has room.

use super::attempt::{Attempt, AttemptEnd, Check, POLL_TIMEOUT, RETRY_PAUSE, keep_if_reusable};
use super::cancellation::CANCEL_TIMEOUT;
use super::connection::Connection;
use crate::codec::engine_http::{self, Reply};
use larchfall_policy::time::Duration;
use larchfall_policy::types::{LastObservation, LoadReport, Outcome, ProgressUpdate};
use slog::warn;

/// An engine holds no page back.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// While a reader has no room the engine is polled this often, or it would cancel the statement.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Calls for one page before it counts as lost.
const MAX_PAGE_TRIES: usize = 4;
const MAX_PAGES: u32 = 64;

impl Attempt<'_> {
    /// Reads all pages of a result, in order. A page that is lost makes the attempt errored, never a short result.
    pub(super) fn collect_pages(&self, connection: Option<Connection>, first: Reply) -> AttemptEnd {
        // Whoever has the result has the request.
        self.same_process.set(true);
        let load_report = first.load;
        let pages = first.page_count.unwrap_or(1);
        if pages > MAX_PAGES {
            warn!(self.state.log, "result ignored"; "pages" => pages);
            return self.abandon_result(connection, Outcome::Errored, load_report);
        }
        let mut connection = keep_if_reusable(connection, first.closes_connection);
        self.context.reader.push_rows(first.body);
        for number in 1..pages {
            if let Some(outcome) = self.wait_for_reader(&mut connection) {
                return self.abandon_result(connection, outcome, load_report);
            }
            let Some(page) = self.fetch_page(&mut connection, number) else {
                let is_late = self.is_past_deadline();
                let outcome = if is_late { Outcome::TimedOut } else { Outcome::Errored };
                warn!(self.state.log, "result page lost"; "id" => &self.context.id, "page" => number, "late" => is_late);
                return self.abandon_result(connection, outcome, load_report);
            };
            self.context.reader.push_rows(page);
        }
        self.put_back(connection);
        // The complete result is the engine's word, on whichever connection its last page came.
        self.same_process.set(true);
        AttemptEnd { load_report, ..self.end(LastObservation::Ended, Outcome::Returned) }
    }

    /// Waits until the reader has room, and keeps the statement alive meanwhile; returns an outcome if the attempt is
    /// over before.
    fn wait_for_reader(&self, connection: &mut Option<Connection>) -> Option<Outcome> {
        while !self.context.reader.has_capacity() {
            self.state.sleep(RETRY_PAUSE);
            match self.check() {
                Check::Continue => {}
                Check::Cancel => return Some(Outcome::Cancelled),
                Check::TimedOut => return Some(Outcome::TimedOut),
            }
            if self.state.clock.now().since(self.last_call.get()) >= KEEP_ALIVE_INTERVAL {
                self.keep_alive(connection);
            }
        }
        None
    }

    /// Polls the engine once. A statement that is not there any more is noticed when the next page is asked for.
    fn keep_alive(&self, connection: &mut Option<Connection>) {
        if connection.is_none() {
            *connection = self.connect(self.deadline()).ok();
        }
        if let Some(mut open) = connection.take() {
            let poll = engine_http::encode_page_call(self.instance.address, &self.context.id, 0);
            let reply = self.call(&mut open, &poll, POLL_TIMEOUT);
            *connection = reply.ok().and_then(|reply| keep_if_reusable(Some(open), reply.closes_connection));
        }
        self.last_call.set(self.state.clock.now());
    }

    /// Ends an attempt whose result is not read to its end: the engine keeps what was not fetched, and counts the
    /// statement as running until it is told. What the reader has handed to the client already ends the request.
    fn abandon_result(
        &self,
        connection: Option<Connection>,
        outcome: Outcome,
        load_report: LoadReport,
    ) -> AttemptEnd {
        let is_truncated = !self.context.reader.restart();
        let end = if self.context.in_order || self.state.settings.single_attempt {
            self.cancel(connection, CANCEL_TIMEOUT, outcome)
        } else {
            self.cancel_in_background(connection);
            self.end(LastObservation::Silent, outcome)
        };
        AttemptEnd { load_report, is_truncated, ..end }
    }

    fn fetch_page(&self, connection: &mut Option<Connection>, number: u32) -> Option<Vec<u8>> {
        let call = engine_http::encode_page_call(self.instance.address, &self.context.id, number);
        for _ in 0..MAX_PAGE_TRIES {
            if connection.is_none() {
                *connection = self.connect(self.deadline()).ok();
            }
            let Some(open) = connection else { continue };
            match self.call(open, &call, PAGE_TIMEOUT) {
                Ok(reply) if reply.status == 200 && reply.page_number == Some(number) => {
                    *connection = keep_if_reusable(connection.take(), reply.closes_connection);
                    return Some(reply.body);
                }
                // The engine no longer has it.
                Ok(reply) if reply.status == 500 => return None,
                // Another reply than the one asked for: a duplicate of one that came before.
                _ => {
                    drop(connection.take());
                    self.state.policy.record_progress(
                        self.request,
                        self.number,
                        ProgressUpdate::ConnectionLost,
                    );
                }
            }
        }
        None
    }
}
