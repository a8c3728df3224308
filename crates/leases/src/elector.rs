//! One elector: which gateway it has granted each duty to, and until when. It grants a duty to one gateway at a time and no
//! token twice, and says nothing for one longest lease after its start, since it can't know what it granted before
//! (Trencseni and others, "PaxosLease: Diskless Paxos for Leases", 2012). What is on disk are the highest tokens alone.

use crate::record::Record;
use crate::wire::{Leased, Vote, Want, Who};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// No lease is longer.
    pub longest: Duration,
    /// More duties than this are passed over.
    pub most: usize,
    /// Whether a new token is to be on disk before it is granted.
    pub keeps: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    holder: Who,
    token: u64,
    until: Timestamp,
    /// A newer token of the same holder, which is not granted before it is on disk.
    next: Option<Next>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Next {
    token: u64,
    length: Duration,
    /// The round whose answer waits.
    round: u32,
    /// The version of the record that has it.
    version: u64,
    /// Given up if it is not on disk by then.
    until: Timestamp,
}

impl Lease {
    fn ends(&self) -> Timestamp {
        self.next.as_ref().map_or(self.until, |next| next.until.max(self.until))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seat {
    highest: u64,
    lease: Option<Lease>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Elector {
    bounds: Bounds,
    /// Tokens up to this one may have been granted before its start.
    floor: u64,
    /// No lease that it may have granted was longer.
    longest: Duration,
    silent_until: Timestamp,
    seats: BTreeMap<String, Seat>,
    /// The version of the record that holds all there is, the one being written, the last on disk.
    version: u64,
    writing: Option<u64>,
    kept: u64,
    /// The last write failed, and nothing new is to be written.
    stuck: bool,
}

/// An answer that waited for the disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Late {
    pub to: Who,
    pub round: u32,
    pub vote: Vote,
}

impl Elector {
    /// `wall` is the Unix clock at its start, in microseconds: no token is below it, so that tokens grow over a lost or
    /// older record too. Whatever the record says, it waits as long as any lease that it may have granted.
    pub fn new(bounds: Bounds, record: Option<&Record>, wall: u64, now: Timestamp) -> Elector {
        let longest =
            record.map_or(Duration::ZERO, |r| Duration::from_micros(r.longest_us)).max(bounds.longest);
        let told = record.into_iter().flat_map(|r| &r.highest);
        let seat = |highest: u64| Seat { highest: highest.max(wall), lease: None };
        let version = record.map_or(0, |r| r.version);
        Elector {
            bounds,
            floor: wall,
            longest,
            silent_until: now + longest,
            seats: told.map(|(duty, highest)| (duty.clone(), seat(*highest))).collect(),
            version,
            writing: None,
            kept: version,
            stuck: false,
        }
    }

    /// From a file that was read again. The record is written anew, since the next start is to wait for the longest.
    pub fn set(&mut self, bounds: Bounds) {
        if bounds != self.bounds {
            self.bounds = Bounds { longest: bounds.longest, most: bounds.most, keeps: self.bounds.keeps };
            self.longest = self.longest.max(bounds.longest);
            (self.version, self.stuck) = (self.version + 1, false);
        }
    }

    pub fn is_silent(&self, now: Timestamp) -> bool {
        now < self.silent_until
    }

    /// `None`: it has nothing to say, or not yet.
    pub fn ask(&mut self, who: &Who, want: &Want, round: u32, now: Timestamp) -> Option<Vote> {
        if self.is_silent(now)
            || (!self.seats.contains_key(&want.duty) && self.seats.len() >= self.bounds.most)
        {
            return None;
        }
        let floor = self.floor;
        let seat =
            self.seats.entry(want.duty.clone()).or_insert_with(|| Seat { highest: floor, lease: None });
        seat.lease = seat.lease.take().filter(|lease| now < lease.ends());
        let length = Duration::from_micros(want.length_us);
        if length > self.bounds.longest {
            // Granted for less it would count for more over there: files that differ must not make two holders.
            return None;
        }
        let taken = seat.lease.as_ref().is_some_and(|lease| lease.holder != *who);
        let (token, duty) = (want.token, want.duty.clone());
        let vote = |granted, highest| Some(Vote { duty, token, granted, highest, taken });
        let highest = seat.highest;
        if taken {
            return vote(false, highest);
        }
        if let Some(lease) = &mut seat.lease {
            if let Some(next) = lease.next.as_mut().filter(|next| next.token == token) {
                (next.length, next.round) = (length, round);
                return None;
            }
            if lease.token == token {
                // Never shorter than it was: the holder counts on what it was told before.
                lease.until = lease.until.max(now + length);
                return vote(true, highest);
            }
        }
        if token <= highest {
            return vote(false, highest);
        }
        seat.highest = token;
        self.version += 1;
        self.stuck = false;
        let lease = seat.lease.get_or_insert(Lease { holder: who.clone(), token: 0, until: now, next: None });
        if self.bounds.keeps {
            let (version, until) = (self.version, now + self.bounds.longest);
            lease.next = Some(Next { token, length, round, version, until });
            return None;
        }
        (lease.token, lease.until) = (token, lease.until.max(now + length));
        vote(true, token)
    }

    /// The holder does nothing more under this token.
    pub fn gone(&mut self, who: &Who, duty: &str, token: u64) {
        let Some(seat) = self.seats.get_mut(duty) else { return };
        let Some(lease) = seat.lease.as_mut().filter(|lease| lease.holder == *who) else { return };
        lease.next = lease.next.take().filter(|next| next.token != token);
        if lease.token == token {
            lease.until = Timestamp::default();
        }
        seat.lease =
            seat.lease.take().filter(|lease| lease.next.is_some() || lease.until > Timestamp::default());
    }

    /// The record to be written now, if there is one and none is under way.
    pub fn to_write(&mut self) -> Option<Record> {
        if !self.bounds.keeps || self.stuck || self.writing.is_some() || self.kept >= self.version {
            return None;
        }
        self.writing = Some(self.version);
        Some(self.record())
    }

    /// All that is to be remembered.
    pub fn record(&self) -> Record {
        let highest = self.seats.iter().map(|(duty, seat)| (duty.clone(), seat.highest)).collect();
        Record { version: self.version, longest_us: self.longest.micros(), highest }
    }

    /// What became of that. Leases count from now, after the wait for the disk; what is not on disk is not granted.
    pub fn written(&mut self, kept: bool, now: Timestamp) -> Vec<Late> {
        let Some(done) = self.writing.take() else { return Vec::new() };
        self.kept = if kept { done } else { self.kept };
        let (mut late, mut waiting) = (Vec::new(), false);
        for (duty, seat) in &mut self.seats {
            let Some(lease) = &mut seat.lease else { continue };
            if lease.next.as_ref().is_some_and(|next| next.version > done) {
                waiting = true;
                continue;
            }
            if let Some(next) = lease.next.take().filter(|next| kept && now < next.until) {
                (lease.token, lease.until) = (next.token, lease.until.max(now + next.length));
                let (token, highest) = (next.token, seat.highest);
                let vote = Vote { duty: duty.clone(), token, granted: true, highest, taken: false };
                late.push(Late { to: lease.holder.clone(), round: next.round, vote });
            }
            seat.lease = seat.lease.take().filter(|lease| now < lease.until);
        }
        // A disk that fails is tried again with the next token, not at once and for ever.
        self.stuck = !kept && !waiting;
        late
    }

    /// Leases that run, from after this duty on.
    pub fn leases<'a>(
        &'a self,
        after: Option<&str>,
        now: Timestamp,
    ) -> impl Iterator<Item = Leased> + use<'a> {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, |duty| Excluded(duty.to_owned()));
        self.seats.range::<String, _>((from, Unbounded)).filter_map(move |(duty, seat)| {
            let lease = seat.lease.as_ref().filter(|lease| now < lease.ends())?;
            let token = lease.next.as_ref().map_or(lease.token, |next| next.token);
            let holder = lease.holder.clone();
            Some(Leased { duty: duty.clone(), token, holder, left_us: lease.ends().since(now).micros() })
        })
    }
}
