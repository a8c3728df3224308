//! The pages of a result, from the first to the last: fetched as its reader has room.

use super::attempt::{Attempt, GIVE_UP_WITHIN, Look, NEWS_WITHIN, PAUSE};
use crate::engines::link::Link;
use crate::task::Ended;
use crate::wire::http::{self, Reply};
use larchfall_policy::interface::{LastObservation, LoadReport, Outcome, ProgressUpdate};
use larchfall_policy::time::Duration;
use slog::warn;

/// Nothing is held back of a page.
const PAGE_WITHIN: Duration = Duration::from_millis(300);
/// While a reader has no room, the engine is asked this often.
const ASK_WITHIN: Duration = Duration::from_millis(1000);
/// Calls for one page before it counts as lost.
const PAGE_TRIES: usize = 4;
const MOST_PAGES: u32 = 64;

impl Attempt<'_> {
    /// All pages of a result, in order; a page that is lost makes the attempt errored, never a short answer.
    pub(super) fn collect(&self, mut link: Option<Link>, first: Reply) -> Ended {
        // Whoever has the result has the request.
        self.same_process.set(true);
        let report = first.report;
        let pages = first.pages.unwrap_or(1);
        if pages > MOST_PAGES {
            warn!(self.state.log, "result ignored"; "pages" => pages);
            return self.lose(link, Outcome::Errored, report);
        }
        link = self.keep(link, first.closes);
        self.task.reader.rows(first.body);
        for number in 1..pages {
            if let Some(end) = self.wait_for_reader(&mut link, report) {
                return end;
            }
            match self.page(&mut link, number) {
                Some(page) => self.task.reader.rows(page),
                None => {
                    let late = self.state.clock.now() >= self.until();
                    let outcome = if late { Outcome::TimedOut } else { Outcome::Errored };
                    warn!(self.state.log, "result page lost"; "id" => &self.task.id, "page" => number, "late" => late);
                    return self.lose(link, outcome, report);
                }
            }
        }
        self.done(link);
        // The whole result is the engine's word, on whichever connection its last page came.
        self.same_process.set(true);
        Ended { report, ..self.end(LastObservation::Ended, Outcome::Returned) }
    }

    /// Fetches no more than the reader has room for. The engine is asked meanwhile, or it would forget the result.
    fn wait_for_reader(&self, link: &mut Option<Link>, report: LoadReport) -> Option<Ended> {
        while !self.task.reader.has_room() {
            self.state.sleep(PAUSE);
            let outcome = match self.look() {
                Look::GoOn => None,
                Look::CancelAttempt => Some(Outcome::Cancelled),
                Look::TimedOut => Some(Outcome::TimedOut),
            };
            if let Some(outcome) = outcome {
                return Some(self.lose(link.take(), outcome, report));
            }
            if self.state.clock.now().since(self.asked.get()) >= ASK_WITHIN {
                if link.is_none() {
                    *link = self.link(self.until()).ok();
                }
                if let Some(mut open) = link.take() {
                    let ask = http::page(self.home.address, &self.task.id, 0);
                    let reply = self.call(&mut open, &ask, NEWS_WITHIN);
                    *link = reply.ok().and_then(|reply| self.keep(Some(open), reply.closes));
                }
                // What is not there any more shows when the next page is asked for.
                self.asked.set(self.state.clock.now());
            }
        }
        None
    }

    /// The engine keeps what was not fetched, and counts the query as out until it is told. What its reader has
    /// handed on already ends the request.
    fn lose(&self, link: Option<Link>, outcome: Outcome, report: LoadReport) -> Ended {
        let torn = !self.task.reader.begin_anew();
        if self.task.in_order || self.state.single_attempt {
            return Ended { report, torn, ..self.give_up(link, GIVE_UP_WITHIN, outcome) };
        }
        self.give_up_beside(link);
        Ended { report, torn, ..self.end(LastObservation::Silent, outcome) }
    }

    fn page(&self, link: &mut Option<Link>, number: u32) -> Option<Vec<u8>> {
        let ask = http::page(self.home.address, &self.task.id, number);
        for _ in 0..PAGE_TRIES {
            if link.is_none() {
                *link = self.link(self.until()).ok();
            }
            let Some(open) = link else { continue };
            match self.call(open, &ask, PAGE_WITHIN) {
                Ok(reply) if reply.status == 200 && reply.page == Some(number) => {
                    *link = self.keep(link.take(), reply.closes);
                    return Some(reply.body);
                }
                // The engine no longer has it.
                Ok(reply) if reply.status == 500 => return None,
                // Another answer than the one asked for: a second copy of one that came before.
                _ => {
                    drop(link.take());
                    self.state.facade.note(self.b, self.number, ProgressUpdate::CutOff);
                }
            }
        }
        None
    }
}
