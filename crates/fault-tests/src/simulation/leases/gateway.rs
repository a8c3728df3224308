//! A gateway of the simulation: its own clock and its own disk.

use larchfall_leases::manager::LeaseManager;
use larchfall_leases::voter_record::VoterRecord;
use larchfall_policy::time::{Duration, Timestamp};

/// What a gateway's disk does with a voter record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskBehavior {
    /// Keeps it.
    Healthy,
    /// Reports an error.
    Fails,
    /// Reports success, and keeps what it had.
    LosesWrites,
}

/// A gateway.
pub struct SimulatedGateway {
    pub(super) manager: LeaseManager,
    pub(super) up: bool,
    pub(super) suspended_until: Option<Timestamp>,
    /// Its clock runs this many times as fast as true time; it is to be restarted after a change.
    pub clock_rate: f64,
    /// What its disk does.
    pub disk: DiskBehavior,
    /// How long a write takes.
    pub write_time: Duration,
    pub(super) record: Option<VoterRecord>,
    /// Counts its processes.
    pub(super) generation: u64,
    pub(super) started: Timestamp,
    pub(super) timer_set_for: Timestamp,
}

impl SimulatedGateway {
    /// What its clock shows.
    pub(super) fn clock(&self, true_time: Timestamp) -> Timestamp {
        clock_time(true_time, self.clock_rate)
    }
}

pub(super) fn clock_time(true_time: Timestamp, rate: f64) -> Timestamp {
    Timestamp::from_micros((true_time.micros() as f64 * rate) as u64)
}
