//! Rule 5 as an account for each key: whose turn it is, in the order taken, and what of it may still run. A
//! attempt is on it from before its first byte until something proves that it neither runs nor can start.
//! Only then, and not when its outcome comes, may the next request of its key go.

use crate::interface::{AttemptEvidence, LastObservation};
use crate::time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The one table of how a attempt can end: whether that proves that nothing of it runs or can start. What a
/// process says proves something only where the same one has the request: a call that was cut off may come in
/// late, and at the address of an engine about to go, which runs on what it has, another may listen.
pub fn proves_over(seen: AttemptEvidence) -> bool {
    match seen.last {
        LastObservation::NotSent => true,
        LastObservation::Declined
        | LastObservation::Ended
        | LastObservation::Stopped
        | LastObservation::Unknown => seen.same_process,
        LastObservation::Refused | LastObservation::Silent | LastObservation::Lost => false,
    }
}

/// A attempt that may run. Its request is `None` once that has left: the index may then be another one's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    request: Option<usize>,
    number: u8,
    engine: usize,
    /// Open while it is out.
    until: Option<Timestamp>,
    /// It had its outcome, and nothing proved its end.
    unseen: bool,
}

/// Requests of one key in the order taken, and what of the key may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Line {
    taken: VecDeque<usize>,
    may_run: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Account {
    /// The rule's own rest after what is not known to be over.
    quiet: Duration,
    /// Nothing unseen runs on for longer, from the end on: an engine may have stood still, or be about to go.
    unobserved_attempt_lifetime: Duration,
    lines: BTreeMap<u64, Line>,
}

impl Account {
    pub fn new(quiet: Duration, unobserved_attempt_lifetime: Duration) -> Account {
        Account { quiet, unobserved_attempt_lifetime, lines: BTreeMap::new() }
    }

    pub fn take(&mut self, key: u64, b: usize) {
        self.lines.entry(key).or_default().taken.push_back(b);
    }

    /// Whether it is the first of its key, with nothing of another that may run. Beside its own it may go.
    pub fn has_turn(&self, key: u64, b: usize, now: Timestamp) -> bool {
        let Some(line) = self.lines.get(&key) else { return true };
        let over = |e: &Entry| e.request == Some(b) || e.until.is_some_and(|until| until <= now);
        line.taken.front() == Some(&b) && line.may_run.iter().all(over)
    }

    pub fn sent(&mut self, key: u64, b: usize, number: u8, engine: usize) {
        let entry = Entry { request: Some(b), number, engine, until: None, unseen: false };
        self.lines.entry(key).or_default().may_run.push(entry);
    }

    /// The attempt has its outcome; `unsure` where the rule asks for a rest, as after all that was given up.
    pub fn ended(
        &mut self,
        key: u64,
        b: usize,
        number: u8,
        seen: AttemptEvidence,
        unsure: bool,
        now: Timestamp,
    ) {
        let Some(line) = self.lines.get_mut(&key) else { return };
        let over = if proves_over(seen) { now } else { now + self.unobserved_attempt_lifetime };
        let rests =
            unsure || over > now || matches!(seen.last, LastObservation::Stopped | LastObservation::Unknown);
        let until = over + if rests { self.quiet } else { Duration::ZERO };
        let this = |e: &&mut Entry| e.request == Some(b) && e.number == number;
        line.may_run.iter_mut().filter(this).for_each(|e| (e.until, e.unseen) = (Some(until), over > now));
        line.may_run.retain(|e| e.until.is_none_or(|until| until > now));
    }

    /// What was not seen to end at an engine about to go may run on until that is gone, however late.
    pub fn hold(&mut self, until: Timestamp, about_to_go: impl Fn(usize) -> bool) {
        let all = self.lines.values_mut().flat_map(|line| &mut line.may_run);
        all.filter(|e| e.unseen && about_to_go(e.engine)).for_each(|e| e.until = e.until.max(Some(until)));
    }

    /// Its request is over: what may run of it stays on the account, under no index.
    pub fn leave(&mut self, key: u64, b: usize) {
        let Some(line) = self.lines.get_mut(&key) else { return };
        line.taken.retain(|other| *other != b);
        line.may_run.iter_mut().filter(|e| e.request == Some(b)).for_each(|e| e.request = None);
    }

    /// Keys of which nothing is in hand and nothing may run leave memory.
    pub fn tidy(&mut self, now: Timestamp) {
        self.lines.retain(|_, line| {
            line.may_run.retain(|e| e.until.is_none_or(|until| until > now));
            !line.taken.is_empty() || !line.may_run.is_empty()
        });
    }
}
