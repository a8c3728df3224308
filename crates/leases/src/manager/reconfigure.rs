//! Settings that were read again while the gateway runs.

use super::output::{EndReason, Output};
use super::role_state::RoleState;
use super::settings::{LeaseSettings, SettingsError};
use super::{LeaseManager, PreviousVoters};
use crate::voter::Voter;
use larchfall_policy::time::{Duration, Timestamp};

/// Voters are not changed again before so many longest leases are over: gateways read their files at different times.
const LEASES_BETWEEN_VOTER_CHANGES: f64 = 3.0;

impl LeaseManager {
    /// Takes new settings, or rejects them as a whole. `wall_clock_us` is the Unix clock in microseconds.
    pub fn update_settings(
        &mut self,
        settings: LeaseSettings,
        wall_clock_us: u64,
        now: Timestamp,
    ) -> Result<Output, SettingsError> {
        if !settings.voters.majorities_intersect(&self.settings.voters) {
            return Err(SettingsError::MajoritiesMayNotIntersect);
        }
        let longest_lease = self.settings.voter_limits.longest_lease.max(settings.voter_limits.longest_lease);
        if settings.voters != self.settings.voters {
            self.begin_voter_change(longest_lease, now)?;
        }
        self.update_voter(&settings, wall_clock_us, now);
        let is_removed = |role: &&String| !settings.roles.contains(*role);
        let removed: Vec<String> = self.roles.keys().filter(is_removed).cloned().collect();
        self.settings = LeaseSettings { cluster: self.settings.cluster.clone(), ..settings };
        self.add_named_roles();
        let mut output = Output::default();
        for role in removed {
            if self.roles.get(&role).is_some_and(RoleState::is_held) {
                self.begin_hand_over(&role, EndReason::RemovedFromSettings, now, &mut output);
            } else {
                self.roles.remove(&role);
            }
        }
        self.next_renewal = now;
        self.next_listing = now;
        Ok(output)
    }

    /// New voters are silent for a longest lease: until then what is held goes on by the old ones, which every other
    /// gateway still needs as well.
    fn begin_voter_change(&mut self, longest_lease: Duration, now: Timestamp) -> Result<(), SettingsError> {
        let pause = longest_lease * LEASES_BETWEEN_VOTER_CHANGES;
        if self.voters_changed_at.is_some_and(|changed_at| now.since(changed_at) < pause) {
            return Err(SettingsError::VotersChangedRecently);
        }
        self.voters_changed_at = Some(now);
        self.previous_voters = Some(PreviousVoters {
            voters: self.settings.voters.clone(),
            until: now + longest_lease + self.settings.terms.length,
        });
        Ok(())
    }

    /// A gateway that becomes a voter again starts as one that just started.
    fn update_voter(&mut self, settings: &LeaseSettings, wall_clock_us: u64, now: Timestamp) {
        let is_voter = settings.voters.contains(&self.me.name);
        match &mut self.voter {
            Some(voter) if is_voter => voter.update_limits(settings.voter_limits),
            Some(voter) => {
                self.record = Some(voter.record());
                self.voter = None;
            }
            None if is_voter => {
                let record = self.record.as_ref();
                self.voter = Some(Voter::new(settings.voter_limits, record, wall_clock_us, now));
            }
            None => {}
        }
    }
}
