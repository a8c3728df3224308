//! A voter: grants leases of roles to gateways.
//!
//! A voter grants a role to one gateway at a time and never grants a fencing token to a second lease. After its start,
//! it stays silent for the longest lease length, since it doesn't know the leases that it granted before (Trencseni and
//! others, "PaxosLease: Diskless Paxos for Leases", 2012). Leases are kept in memory; only the highest fencing tokens
//! and the longest lease length are kept on disk.

use crate::messages::{LeaseInfo, LeaseRequest, MemberId, Vote};
use crate::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::BTreeMap;
use std::ops::Bound;

/// Limits of the leases that a voter grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VoterLimits {
    /// Maximum length of a lease. Requests for longer leases are ignored.
    pub longest_lease: Duration,
    /// Maximum number of roles. Requests for further roles are ignored.
    pub max_roles: usize,
    /// Whether a new token must be written to disk before the voter grants the lease.
    pub persistent: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    holder: MemberId,
    token: u64,
    expires_at: Timestamp,
    /// A grant of a newer token to the same holder that waits until the token is on disk.
    pending: Option<PendingGrant>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingGrant {
    token: u64,
    length: Duration,
    /// Round of the request whose vote is delayed.
    round: u32,
    /// Version of the first voter record that contains the token.
    record_version: u64,
    /// The grant is dropped if the token isn't on disk by this time.
    expires_at: Timestamp,
}

impl Lease {
    /// Returns until when the lease or its pending grant prevents grants of the role to other gateways.
    fn blocked_until(&self) -> Timestamp {
        self.pending.as_ref().map_or(self.expires_at, |pending| pending.expires_at.max(self.expires_at))
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Assignment {
    highest_token: u64,
    lease: Option<Lease>,
}

/// State of a gateway that is a voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    limits: VoterLimits,
    /// Highest token that the voter may have granted before its start, for roles that its record doesn't contain.
    token_floor: u64,
    /// Upper bound on the length of all leases that the voter has granted, before its start too.
    longest_lease: Duration,
    /// The voter answers no requests before this time.
    silent_until: Timestamp,
    /// Highest token and current lease, by role name.
    assignments: BTreeMap<String, Assignment>,
    /// Version of a record with the current state.
    record_version: u64,
    /// Version of the record that is being written, if any.
    writing_version: Option<u64>,
    /// Version of the last record that was written successfully.
    written_version: u64,
    /// Whether the last write failed and the state has not changed since.
    write_failed: bool,
}

/// A vote that was delayed until its token was on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DelayedVote {
    /// Process that requested the lease.
    pub to: MemberId,
    /// Round of the request.
    pub round: u32,
    /// The vote, which grants the lease.
    pub vote: Vote,
}

impl Voter {
    /// Creates a voter that has just started. `record` is the record found on disk, if any.
    ///
    /// `wall_clock_us` is the Unix time at the start in microseconds. The voter grants only tokens above this value, so
    /// that tokens increase even if the record is lost or outdated. The voter stays silent for the longest lease length
    /// of the limits or the record, whichever is longer.
    pub fn new(
        limits: VoterLimits,
        record: Option<&VoterRecord>,
        wall_clock_us: u64,
        now: Timestamp,
    ) -> Voter {
        let recorded_longest = record.map_or(Duration::ZERO, |r| Duration::from_micros(r.longest_lease_us));
        let longest_lease = recorded_longest.max(limits.longest_lease);
        let record_version = record.map_or(0, |r| r.version);
        let to_assignment = |(role, highest_token): (&String, &u64)| {
            (role.clone(), Assignment { highest_token: wall_clock_us.max(*highest_token), lease: None })
        };
        Voter {
            limits,
            token_floor: wall_clock_us,
            longest_lease,
            silent_until: now + longest_lease,
            assignments: record.into_iter().flat_map(|r| &r.highest_tokens).map(to_assignment).collect(),
            record_version,
            writing_version: None,
            written_version: record_version,
            write_failed: false,
        }
    }

    /// Applies limits from reloaded settings, except for `persistent`, which changes only with a restart. Changed
    /// limits cause a new record to be written, since after the next start the voter must stay silent for the longest
    /// lease length.
    pub fn update_limits(&mut self, limits: VoterLimits) {
        if limits != self.limits {
            self.limits = VoterLimits { persistent: self.limits.persistent, ..limits };
            self.longest_lease = self.longest_lease.max(limits.longest_lease);
            self.record_version += 1;
            self.write_failed = false;
        }
    }

    /// Returns whether leases granted before the voter's start may still be in force, so that it answers no requests.
    pub fn is_silent(&self, now: Timestamp) -> bool {
        now < self.silent_until
    }

    /// Returns the vote on a request. Returns `None` if the request is ignored or the vote waits for a disk write.
    pub fn on_request(
        &mut self,
        candidate: &MemberId,
        request: &LeaseRequest,
        round: u32,
        now: Timestamp,
    ) -> Option<Vote> {
        let is_known_role = self.assignments.contains_key(&request.role);
        if self.is_silent(now) || (!is_known_role && self.assignments.len() >= self.limits.max_roles) {
            return None;
        }
        let unassigned = Assignment { highest_token: self.token_floor, lease: None };
        let assignment = self.assignments.entry(request.role.clone()).or_insert(unassigned);
        assignment.lease.take_if(|lease| now >= lease.blocked_until());
        let length = Duration::from_micros(request.length_us);
        if length > self.limits.longest_lease {
            // If the voter granted a shorter lease than requested, the candidate would still count the requested
            // length. With settings that differ between gateways, that could lead to two lease holders.
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
                // A renewal never shortens the lease, since the holder relies on earlier votes.
                lease.expires_at = lease.expires_at.max(now + length);
                return vote(true, assignment.highest_token);
            }
        }
        if request.token <= assignment.highest_token {
            return vote(false, assignment.highest_token);
        }
        if self.grant_token(candidate, request, round, now) { vote(true, request.token) } else { None }
    }

    /// Grants a new token, or prepares a pending grant if tokens must be on disk first. Returns whether the token is
    /// granted immediately.
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

    /// Handles a release: the holder performs no more actions under this token.
    pub fn on_release(&mut self, holder: &MemberId, role: &str, token: u64) {
        let Some(assignment) = self.assignments.get_mut(role) else { return };
        let Some(lease) = assignment.lease.as_mut().filter(|lease| lease.holder == *holder) else { return };
        lease.pending.take_if(|pending| pending.token == token);
        if lease.token == token {
            lease.expires_at = Timestamp::default();
        }
        assignment.lease.take_if(|lease| lease.pending.is_none() && lease.expires_at == Timestamp::default());
    }

    /// Returns the record that is to be written now. Returns `None` if the last written record is current, a write is
    /// in progress, or the last write failed and the state has not changed since.
    pub fn take_record_to_write(&mut self) -> Option<VoterRecord> {
        let is_written = self.written_version >= self.record_version;
        if !self.limits.persistent || self.write_failed || self.writing_version.is_some() || is_written {
            return None;
        }
        self.writing_version = Some(self.record_version);
        Some(self.record())
    }

    /// Returns the current state that must survive a restart.
    pub fn record(&self) -> VoterRecord {
        let to_highest_token =
            |(role, assignment): (&String, &Assignment)| (role.clone(), assignment.highest_token);
        VoterRecord {
            version: self.record_version,
            longest_lease_us: self.longest_lease.micros(),
            highest_tokens: self.assignments.iter().map(to_highest_token).collect(),
        }
    }

    /// Handles the end of a record write and returns the votes that waited for the write. The leases are counted from
    /// `now`, after the disk write. If the write failed, pending grants of the record are dropped.
    pub fn on_record_written(&mut self, succeeded: bool, now: Timestamp) -> Vec<DelayedVote> {
        let Some(ended_version) = self.writing_version.take() else { return Vec::new() };
        if succeeded {
            self.written_version = ended_version;
        }
        let mut votes = Vec::new();
        let mut has_later_pending = false;
        for (role, assignment) in &mut self.assignments {
            let Some(lease) = &mut assignment.lease else { continue };
            if lease.pending.as_ref().is_some_and(|pending| pending.record_version > ended_version) {
                has_later_pending = true;
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
        // After a failure, the next write waits for a new token or new limits, so that a failing disk isn't retried in
        // a loop.
        self.write_failed = !succeeded && !has_later_pending;
        votes
    }

    /// Returns the leases in force, pending grants included, ordered by role name. Roles up to `after` are skipped.
    pub fn leases_after<'a>(
        &'a self,
        after: Option<&str>,
        now: Timestamp,
    ) -> impl Iterator<Item = LeaseInfo> + use<'a> {
        let start = after.map_or(Bound::Unbounded, |role| Bound::Excluded(role.to_owned()));
        let assignments = self.assignments.range::<String, _>((start, Bound::Unbounded));
        assignments.filter_map(move |(role, assignment)| {
            let lease = assignment.lease.as_ref().filter(|lease| now < lease.blocked_until())?;
            Some(LeaseInfo {
                role: role.clone(),
                token: lease.pending.as_ref().map_or(lease.token, |pending| pending.token),
                holder: lease.holder.clone(),
                remaining_us: lease.blocked_until().since(now).micros(),
            })
        })
    }
}
