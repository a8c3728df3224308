//! What identifies requests to their clients: those in flight, and those that have ended and may have had an effect. A
//! request with an effect whose identity comes again is not admitted, since the effect could happen twice.

use crate::time::{Duration, Timestamp};
use std::collections::{HashSet, VecDeque};
use thiserror::Error;

/// Identity of a request: its id, or a digest of its idempotency key and of what the key is unique in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdentity(pub u128);

impl From<u64> for RequestIdentity {
    fn from(id: u64) -> RequestIdentity {
        RequestIdentity(u128::from(id))
    }
}

/// Why a request is not admitted for its identities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdentityError {
    /// Another request with the same identity is in flight.
    #[error("a request with this id is in flight")]
    InFlight,
    /// A request with the same identity has ended, and may have had its effect.
    #[error("a request with this id may have run")]
    MayHaveRun,
    /// No more identities can be kept now.
    #[error("too many requests with an effect")]
    TooMany,
}

/// Bounds of the identities that are kept after their requests have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdentityLimits {
    /// Largest number of identities, including those in flight whose requests may have an effect.
    pub max_kept: usize,
    /// Time for which each identity is kept at least. After that it is kept until its place is needed.
    pub retention: Duration,
}

/// The identities of a request that is in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldIdentities {
    identities: Vec<RequestIdentity>,
    has_effect: bool,
}

/// All identities that are known.
#[derive(Debug)]
pub struct RequestIds {
    limits: IdentityLimits,
    in_flight: HashSet<RequestIdentity>,
    /// Number of places for identities in flight whose requests may have an effect.
    reserved: usize,
    may_have_run: HashSet<RequestIdentity>,
    /// The same identities with the time at which their requests ended, the oldest first.
    ended: VecDeque<(Timestamp, RequestIdentity)>,
}

impl RequestIds {
    /// Knows no identities.
    pub fn new(limits: IdentityLimits) -> RequestIds {
        RequestIds {
            limits,
            in_flight: HashSet::new(),
            reserved: 0,
            may_have_run: HashSet::new(),
            ended: VecDeque::new(),
        }
    }

    /// Begins a request. `has_effect` tells whether running it a second time could repeat an effect.
    pub fn begin(
        &mut self,
        now: Timestamp,
        identities: Vec<RequestIdentity>,
        has_effect: bool,
    ) -> Result<HeldIdentities, IdentityError> {
        if identities.iter().any(|identity| self.in_flight.contains(identity)) {
            return Err(IdentityError::InFlight);
        }
        if has_effect {
            if identities.iter().any(|identity| self.may_have_run.contains(identity)) {
                return Err(IdentityError::MayHaveRun);
            }
            self.reserve(now, identities.len())?;
        }
        self.in_flight.extend(&identities);
        Ok(HeldIdentities { identities, has_effect })
    }

    /// Reserves places, and forgets the oldest identities for them.
    fn reserve(&mut self, now: Timestamp, places: usize) -> Result<(), IdentityError> {
        while self.reserved + self.ended.len() + places > self.limits.max_kept {
            let oldest = self.ended.front().copied();
            let (_, oldest) = oldest
                .filter(|(ended_at, _)| now.since(*ended_at) >= self.limits.retention)
                .ok_or(IdentityError::TooMany)?;
            self.ended.pop_front();
            self.may_have_run.remove(&oldest);
        }
        self.reserved += places;
        Ok(())
    }

    /// Ends a request. Its identities are kept if it had an effect, or may have had.
    pub fn end(&mut self, now: Timestamp, held: HeldIdentities, may_have_run: bool) {
        let HeldIdentities { identities, has_effect } = held;
        if has_effect {
            self.reserved -= identities.len();
        }
        for identity in identities {
            self.in_flight.remove(&identity);
            if has_effect && may_have_run && self.may_have_run.insert(identity) {
                self.ended.push_back((now, identity));
            }
        }
    }
}
