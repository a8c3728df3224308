//! Fetches the pages of a result in order, as fast as the result reader takes them.

use super::attempt::{Attempt, AttemptCheck, AttemptEnd, POLL_TIMEOUT, RETRY_DELAY, keep_if_reusable};
use super::cancellation::CANCEL_TIMEOUT;
use super::connection::Connection;
use crate::codec::engine_http::{self, Reply};
use larchfall_policy::time::Duration;
use larchfall_policy::types::{LastObservation, LoadReport, Outcome, ProgressUpdate};
use slog::warn;

/// Timeout of a call for a page. Engines reply to these calls without delay.
const PAGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval of polls while the result reader has no room. Without polls the engine would cancel the statement.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1000);
/// Maximum number of calls for one page; after that the page counts as lost.
const MAX_CALLS_PER_PAGE: usize = 4;
/// Maximum number of pages of a result. A result that announces more pages is discarded.
const MAX_PAGES: u32 = 64;

impl Attempt<'_> {
    /// Fetches all pages of a result in order. A lost page fails the attempt; an incomplete result is never returned.
    pub(super) fn collect_pages(&self, connection: Option<Connection>, first_reply: Reply) -> AttemptEnd {
        // Only the process that received the statement has its result.
        self.same_process.set(true);
        let load_report = first_reply.load_report;
        let pages = first_reply.page_count.unwrap_or(1);
        if pages > MAX_PAGES {
            warn!(self.state.log, "result ignored"; "pages" => pages);
            return self.abandon_result(connection, Outcome::Errored, load_report);
        }
        let mut connection = keep_if_reusable(connection, first_reply.closes_connection);
        if self.context.reader.push_rows(first_reply.body).is_err() {
            return self.refuse_rows(connection, load_report);
        }
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
            if self.context.reader.push_rows(page).is_err() {
                return self.refuse_rows(connection, load_report);
            }
        }
        self.return_connection(connection);
        // The complete result proves that the statement has ended, whichever connection carried the last page.
        self.same_process.set(true);
        AttemptEnd { load_report, ..self.finish(LastObservation::Ended, Outcome::Returned) }
    }

    /// Ends an attempt whose rows the memory budget does not admit. Waiting for memory would keep the statement running
    /// on the engine for a client that may never read its responses, so the request ends with an error.
    fn refuse_rows(&self, connection: Option<Connection>, load_report: LoadReport) -> AttemptEnd {
        let end = self.abandon_result(connection, Outcome::Cancelled, load_report);
        AttemptEnd { is_truncated: true, ..end }
    }

    /// Waits until the result reader has room, and polls the engine meanwhile. Returns an outcome if the attempt ends
    /// during the wait.
    fn wait_for_reader(&self, connection: &mut Option<Connection>) -> Option<Outcome> {
        while !self.context.reader.has_capacity() {
            self.state.sleep(RETRY_DELAY);
            match self.check() {
                AttemptCheck::Continue => {}
                AttemptCheck::Cancel => return Some(Outcome::Cancelled),
                AttemptCheck::TimedOut => return Some(Outcome::TimedOut),
            }
            if self.state.clock.now().since(self.last_call_end.get()) >= KEEP_ALIVE_INTERVAL {
                self.keep_alive(connection);
            }
        }
        None
    }

    /// Polls the engine once, so that the engine doesn't cancel the statement. Ignores the content of the reply: if the
    /// statement no longer exists, the call for the next page fails.
    fn keep_alive(&self, connection: &mut Option<Connection>) {
        if connection.is_none() {
            *connection = self.connect(self.deadline()).ok();
        }
        if let Some(mut open) = connection.take() {
            let poll = engine_http::encode_page_call(self.instance.address, &self.context.id, 0);
            let reply = self.call(&mut open, &poll, POLL_TIMEOUT);
            *connection = reply.ok().and_then(|reply| keep_if_reusable(Some(open), reply.closes_connection));
        }
        self.last_call_end.set(self.state.clock.now());
    }

    /// Ends an attempt whose result was not read completely. Cancels the statement, because the engine keeps pages that
    /// were not fetched and counts the statement as running until then. If the reader has already passed rows to the
    /// client, the request can't be retried.
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
            self.finish(LastObservation::Silent, outcome)
        };
        AttemptEnd { load_report, is_truncated, ..end }
    }

    /// Fetches one page, with several tries; `None` when the page is lost.
    fn fetch_page(&self, connection: &mut Option<Connection>, number: u32) -> Option<Vec<u8>> {
        let call = engine_http::encode_page_call(self.instance.address, &self.context.id, number);
        for _ in 0..MAX_CALLS_PER_PAGE {
            if connection.is_none() {
                *connection = self.connect(self.deadline()).ok();
            }
            let Some(open) = connection else { continue };
            match self.call(open, &call, PAGE_TIMEOUT) {
                Ok(reply) if reply.status == 200 && reply.page_number == Some(number) => {
                    *connection = keep_if_reusable(connection.take(), reply.closes_connection);
                    return Some(reply.body);
                }
                // The engine no longer has the page.
                Ok(reply) if reply.status == 500 => return None,
                // The connection was lost, or the reply is the duplicate of an earlier one.
                _ => {
                    drop(connection.take());
                    self.state.policy.record_progress(
                        self.request_index,
                        self.attempt_number,
                        ProgressUpdate::ConnectionLost,
                    );
                }
            }
        }
        None
    }
}
