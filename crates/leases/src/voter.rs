//! One voter: which gateway it has granted each role to, and until when.
//!
//! A voter grants a role to one gateway at a time and no token twice. It is silent for one longest lease after its start,
//! since it can't know what it granted before (Trencseni and others, "PaxosLease: Diskless Paxos for Leases", 2012). Only
//! the highest tokens are on disk.

use crate::messages::{LeaseInfo, LeaseRequest, MemberId, Vote};
use crate::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::ops::Bound;

/// What a voter grants at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VoterLimits {
    /// Requests for longer leases are ignored.
    pub longest_lease: Duration,
    /// Requests for more roles than this are ignored.
    pub max_roles: usize,
    /// Whether a new token has to be on disk before it is granted.
    pub persistent: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    holder: MemberId,
    token: u64,
    expires_at: Timestamp,
    /// A newer token of the same holder that is not on disk yet.
    pending: Option<PendingGrant>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingGrant {
    token: u64,
    length: Duration,
    /// The request whose answer waits.
    round: u32,
    /// The version of the record that has the token.
    record_version: u64,
    /// Given up if it is not on disk by then.
    expires_at: Timestamp,
}

impl Lease {
    fn ends_at(&self) -> Timestamp {
        self.pending.as_ref().map_or(self.expires_at, |pending| pending.expires_at.max(self.expires_at))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Assignment {
    highest_token: u64,
    lease: Option<Lease>,
}

/// A gateway's part as a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    limits: VoterLimits,
    /// Tokens up to this one may have been granted before its start.
    token_floor: u64,
    /// No lease that it may have granted was longer.
    longest_lease: Duration,
    silent_until: Timestamp,
    assignments: BTreeMap<String, Assignment>,
    /// The version of a record with all that is known now.
    record_version: u64,
    writing_version: Option<u64>,
    written_version: u64,
    /// The last write failed, and nothing has changed since.
    write_failed: bool,
}

/// An answer that waited for the disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedVote {
    /// Who asked.
    pub to: MemberId,
    /// The request's number.
    pub round: u32,
    /// The answer.
    pub vote: Vote,
}

impl Voter {
    /// `wall_clock_us` is the Unix clock at its start, in microseconds: no token is below it, so that tokens grow even
    /// where the record is lost or outdated. Whatever the record says, the voter waits as long as any lease that it may
    /// have granted.
    pub fn new(
        limits: VoterLimits,
        record: Option<&VoterRecord>,
        wall_clock_us: u64,
        now: Timestamp,
    ) -> Voter {
        let recorded = record.map_or(Duration::ZERO, |r| Duration::from_micros(r.longest_lease_us));
        let longest_lease = recorded.max(limits.longest_lease);
        let record_version = record.map_or(0, |r| r.version);
        let assignment = |(role, highest): (&String, &u64)| {
            (role.clone(), Assignment { highest_token: wall_clock_us.max(*highest), lease: None })
        };
        Voter {
            limits,
            token_floor: wall_clock_us,
            longest_lease,
            silent_until: now + longest_lease,
            assignments: record.into_iter().flat_map(|r| &r.highest_tokens).map(assignment).collect(),
            record_version,
            writing_version: None,
            written_version: record_version,
            write_failed: false,
        }
    }

    /// Takes limits from settings that were read again; `persistent` stays as at the start. The record is written anew,
    /// since the next start has to wait for the longest lease.
    pub fn update_limits(&mut self, limits: VoterLimits) {
        if limits != self.limits {
            self.limits = VoterLimits { persistent: self.limits.persistent, ..limits };
            self.longest_lease = self.longest_lease.max(limits.longest_lease);
            self.record_version += 1;
            self.write_failed = false;
        }
    }

    /// Whether leases that it granted before its start may still run.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        now < self.silent_until
    }

    /// Answers a request; `None` where it is ignored, or the answer waits for the disk.
    pub fn on_request(
        &mut self,
        candidate: &MemberId,
        request: &LeaseRequest,
        round: u32,
        now: Timestamp,
    ) -> Option<Vote> {
        let is_known = self.assignments.contains_key(&request.role);
        if self.is_silent(now) || (!is_known && self.assignments.len() >= self.limits.max_roles) {
            return None;
        }
        let unassigned = Assignment { highest_token: self.token_floor, lease: None };
        let assignment = self.assignments.entry(request.role.clone()).or_insert(unassigned);
        assignment.lease.take_if(|lease| now >= lease.ends_at());
        let length = Duration::from_micros(request.length_us);
        if length > self.limits.longest_lease {
            // A shorter grant would count for more at the candidate: settings that differ must not make two holders.
            return None;
        }
        let held_by_other = assignment.lease.as_ref().is_some_and(|lease| lease.holder != *candidate);
        let vote = |granted, highest_token| {
            Some(Vote {
                role: request.role.clone(),
                token: request.token,
                granted,
                highest_token,
                held_by_other,
            })
        };
        if held_by_other {
            return vote(false, assignment.highest_token);
        }
        if let Some(lease) = &mut assignment.lease {
            if let Some(pending) = lease.pending.as_mut().filter(|pending| pending.token == request.token) {
                pending.length = length;
                pending.round = round;
                return None;
            }
            if lease.token == request.token {
                // Never shortened: the holder relies on what it was told before.
                lease.expires_at = lease.expires_at.max(now + length);
                return vote(true, assignment.highest_token);
            }
        }
        if request.token <= assignment.highest_token {
            return vote(false, assignment.highest_token);
        }
        if self.grant_token(candidate, request, round, now) { vote(true, request.token) } else { None }
    }

    /// Grants a new token, or prepares to once it is on disk: returns whether it is granted at once.
    fn grant_token(
        &mut self,
        candidate: &MemberId,
        request: &LeaseRequest,
        round: u32,
        now: Timestamp,
    ) -> bool {
        let length = Duration::from_micros(request.length_us);
        let assignment = self.assignments.entry(request.role.clone()).or_default();
        assignment.highest_token = request.token;
        self.record_version += 1;
        self.write_failed = false;
        let lease = assignment.lease.get_or_insert_with(|| Lease {
            holder: candidate.clone(),
            token: 0,
            expires_at: now,
            pending: None,
        });
        if self.limits.persistent {
            lease.pending = Some(PendingGrant {
                token: request.token,
                length,
                round,
                record_version: self.record_version,
                expires_at: now + self.limits.longest_lease,
            });
            return false;
        }
        lease.token = request.token;
        lease.expires_at = lease.expires_at.max(now + length);
        true
    }

    /// The holder does nothing more under this token.
    pub fn on_release(&mut self, holder: &MemberId, role: &str, token: u64) {
        let Some(assignment) = self.assignments.get_mut(role) else { return };
        let Some(lease) = assignment.lease.as_mut().filter(|lease| lease.holder == *holder) else { return };
        lease.pending.take_if(|pending| pending.token == token);
        if lease.token == token {
            lease.expires_at = Timestamp::default();
        }
        assignment.lease.take_if(|lease| lease.pending.is_none() && lease.expires_at == Timestamp::default());
    }

    /// The record to be written now, if there is a new one and none is being written.
    pub fn take_record_to_write(&mut self) -> Option<VoterRecord> {
        let is_written = self.written_version >= self.record_version;
        if !self.limits.persistent || self.write_failed || self.writing_version.is_some() || is_written {
            return None;
        }
        self.writing_version = Some(self.record_version);
        Some(self.record())
    }

    /// All that is to be remembered over a restart.
    pub fn record(&self) -> VoterRecord {
        let highest = |(role, assignment): (&String, &Assignment)| (role.clone(), assignment.highest_token);
        VoterRecord {
            version: self.record_version,
            longest_lease_us: self.longest_lease.micros(),
            highest_tokens: self.assignments.iter().map(highest).collect(),
        }
    }

    /// The write of a record ended: answers that waited for it. Leases count from now, after the wait for the disk; what
    /// is not on disk is not granted.
    pub fn on_record_written(&mut self, succeeded: bool, now: Timestamp) -> Vec<DelayedVote> {
        let Some(written) = self.writing_version.take() else { return Vec::new() };
        if succeeded {
            self.written_version = written;
        }
        let mut votes = Vec::new();
        let mut others_wait = false;
        for (role, assignment) in &mut self.assignments {
            let Some(lease) = &mut assignment.lease else { continue };
            if lease.pending.as_ref().is_some_and(|pending| pending.record_version > written) {
                others_wait = true;
                continue;
            }
            let pending = lease.pending.take();
            if let Some(granted) = pending.filter(|pending| succeeded && now < pending.expires_at) {
                lease.token = granted.token;
                lease.expires_at = lease.expires_at.max(now + granted.length);
                let vote = Vote {
                    role: role.clone(),
                    token: granted.token,
                    granted: true,
                    highest_token: assignment.highest_token,
                    held_by_other: false,
                };
                votes.push(DelayedVote { to: lease.holder.clone(), round: granted.round, vote });
            }
            assignment.lease.take_if(|lease| now >= lease.expires_at);
        }
        // After a failure the next token tries again: not at once and for ever.
        self.write_failed = !succeeded && !others_wait;
        votes
    }

    /// Leases that run, of roles after this one.
    pub fn leases_after<'a>(
        &'a self,
        after: Option<&str>,
        now: Timestamp,
    ) -> impl Iterator<Item = LeaseInfo> + use<'a> {
        let start = after.map_or(Bound::Unbounded, |role| Bound::Excluded(role.to_owned()));
        let assignments = self.assignments.range::<String, _>((start, Bound::Unbounded));
        assignments.filter_map(move |(role, assignment)| {
            let lease = assignment.lease.as_ref().filter(|lease| now < lease.ends_at())?;
            Some(LeaseInfo {
                role: role.clone(),
                token: lease.pending.as_ref().map_or(lease.token, |pending| pending.token),
                holder: lease.holder.clone(),
                remaining_us: lease.ends_at().since(now).micros(),
            })
        })
    }
}
