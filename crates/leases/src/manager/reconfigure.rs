//! Reload of the settings while the gateway runs.

use super::output::{EndReason, Output};
use super::role_state::RoleState;
use super::settings::{LeaseSettings, SettingsError};
use super::{LeaseManager, PreviousVoters};
use crate::voter::Voter;
use larchfall_policy::time::{Duration, Timestamp};

/// Minimum time between two changes of the voters, as a multiple of the longest lease length. Gateways read their
/// configuration files at different times.
const LEASES_BETWEEN_VOTER_CHANGES: f64 = 3.0;

impl LeaseManager {
    /// Applies reloaded settings, except for the cluster name, which stays as at the start. `wall_clock_us` is the Unix
    /// time in microseconds.
    ///
    /// # Errors
    ///
    /// Rejects the settings as a whole if the voters may not be changed in this way or not yet.
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
        let removed_roles: Vec<String> = self.roles.keys().filter(is_removed).cloned().collect();
        self.settings = LeaseSettings { cluster: self.settings.cluster.clone(), ..settings };
        self.add_configured_roles();
        let mut output = Output::default();
        for role in removed_roles {
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

    /// Starts a change of the voters. New voters stay silent for the longest lease length; until then, leases that this
    /// gateway holds continue by grants of the previous voters. This is safe because every other gateway still needs
    /// grants of the previous voters too.
    fn begin_voter_change(&mut self, longest_lease: Duration, now: Timestamp) -> Result<(), SettingsError> {
        let pause = longest_lease * LEASES_BETWEEN_VOTER_CHANGES;
        if self.voters_changed_at.is_some_and(|changed_at| now.since(changed_at) < pause) {
            return Err(SettingsError::VotersChangedRecently);
        }
        self.voters_changed_at = Some(now);
        self.previous_voters = Some(PreviousVoters {
            voters: self.settings.voters.clone(),
            expires_at: now + longest_lease + self.settings.terms.length,
        });
        Ok(())
    }

    /// Creates, updates or removes the voter of this gateway. A gateway that becomes a voter again starts with a silent
    /// period, like a voter after a process start.
    fn update_voter(&mut self, settings: &LeaseSettings, wall_clock_us: u64, now: Timestamp) {
        let is_voter = settings.voters.contains(&self.own_id.name);
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
