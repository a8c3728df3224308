//! The lease manager of a gateway: requests, renews, hands over and loses the leases of all roles, and runs the
//! gateway's voter if the settings name the gateway as a voter.
//!
//! The caller calls [`LeaseManager::on_timer`] at the time of [`LeaseManager::next_timer`] and
//! [`LeaseManager::on_message`] for each received message, and carries out the returned [`Output`].
//!
//! A gateway requests a role when no gateway is known to hold it. The gateway that is first in the preference order of
//! the role requests it immediately and each other gateway a fixed time after its predecessor, so that votes are seldom
//! split. A candidate that gets no majority releases the grants that it has and pauses for a random time.

mod campaign;
mod hand_over;
mod incoming;
mod listings;
mod output;
mod reconfigure;
mod role_state;
mod rounds;
mod settings;

pub use output::{
    EndReason, HeldLease, LastEnd, LeaseEvent, LeaseEventKind, ListedLease, OutgoingMessage, Output,
    RoleStatus,
};
pub use settings::{LeaseSettings, SettingsError};

use crate::candidacy::LeaseTerms;
use crate::fencing::ActionPermit;
use crate::messages::MemberId;
use crate::quorum::VoterSet;
use crate::spread;
use crate::voter::Voter;
use crate::voter_record::VoterRecord;
use hand_over::ReleaseNotice;
use larchfall_policy::time::{Duration, Timestamp};
use nanorand::WyRand;
use role_state::{Holding, Phase, RoleState};
use rounds::Round;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Number of renewals within the length of a lease.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// Time since the last timer, as a fraction of the lease length, above which the gateway counts as stalled.
const STALL_LEASE_FRACTION: f64 = 0.5;

/// Voters before the last change of the settings. Their grants still count until leases that they granted have expired.
struct PreviousVoters {
    voters: VoterSet,
    expires_at: Timestamp,
}

/// State of the gateway that the checks of one timer call use for all roles.
#[derive(Clone, Copy)]
struct TimerCheck {
    now: Timestamp,
    /// Whether the gateway didn't run for more than [`STALL_LEASE_FRACTION`] of a lease.
    stalled: bool,
    /// Whether the gateway may request roles.
    eligible: bool,
}

/// Leases of one gateway for all roles, and its voter.
pub struct LeaseManager {
    own_id: MemberId,
    settings: LeaseSettings,
    previous_voters: Option<PreviousVoters>,
    voters_changed_at: Option<Timestamp>,
    /// Voter record found on disk at the start, or the last state of a voter that the settings have removed. A voter
    /// that is created after a change of settings starts with this record.
    record: Option<VoterRecord>,
    /// The voter, if the settings name this gateway as a voter.
    voter: Option<Voter>,
    /// Since when each live gateway has been alive, by gateway name.
    live_members: BTreeMap<String, Timestamp>,
    roles: BTreeMap<String, RoleState>,
    rounds: VecDeque<Round>,
    last_round: u32,
    next_renewal: Timestamp,
    next_listing: Timestamp,
    /// Number of listing requests sent, which selects the next voter in turn.
    listing_requests: usize,
    last_timer: Timestamp,
    /// When another gateway last answered as a voter.
    voter_answered_at: Timestamp,
    release_notices: Vec<ReleaseNotice>,
    /// Whether this gateway is fit to hold roles.
    fit: bool,
    /// Whether this gateway is shutting down, or another process has taken its name.
    leaving: bool,
    random: WyRand,
}

impl LeaseManager {
    /// Creates the manager of the gateway process `own_id`. `record` is the voter record found on disk, `wall_clock_us`
    /// the Unix time in microseconds and `seed` the seed of the random pauses.
    pub fn new(
        own_id: MemberId,
        settings: LeaseSettings,
        record: Option<&VoterRecord>,
        wall_clock_us: u64,
        seed: u64,
        now: Timestamp,
    ) -> LeaseManager {
        let is_voter = settings.voters.contains(&own_id.name);
        let voter = is_voter.then(|| Voter::new(settings.voter_limits, record, wall_clock_us, now));
        let mut manager = LeaseManager {
            own_id,
            settings,
            previous_voters: None,
            voters_changed_at: None,
            record: record.cloned(),
            voter,
            live_members: BTreeMap::new(),
            roles: BTreeMap::new(),
            rounds: VecDeque::new(),
            last_round: 0,
            next_renewal: now,
            next_listing: now,
            listing_requests: 0,
            last_timer: now,
            voter_answered_at: now,
            release_notices: Vec::new(),
            fit: true,
            leaving: false,
            random: WyRand::new_seed(seed),
        };
        manager.add_configured_roles();
        manager
    }

    fn add_configured_roles(&mut self) {
        for role in &self.settings.roles {
            self.roles.entry(role.clone()).or_insert_with(RoleState::new);
        }
    }

    /// Sets the live gateways including this one, each with the time since when it has been alive.
    pub fn set_live_members(&mut self, live_members: BTreeMap<String, Timestamp>) {
        self.live_members = live_members;
    }

    /// Sets whether this gateway is fit to hold roles. An unfit gateway hands over its roles with the next timer.
    pub fn set_fit(&mut self, fit: bool) {
        self.fit = fit;
    }

    fn renewal_interval(&self) -> Duration {
        self.settings.terms.length * (1.0 / RENEWALS_PER_LEASE)
    }

    fn terms(&self) -> LeaseTerms {
        self.settings.terms
    }

    /// Returns when [`LeaseManager::on_timer`] is to be called next.
    pub fn next_timer(&self) -> Timestamp {
        let role_timer = |role: &RoleState| match &role.phase {
            Phase::Watching { not_before } => {
                (role.request_immediately_until > *not_before).then_some(*not_before)
            }
            Phase::Campaigning(campaign) => Some(campaign.started_at + self.campaign_length(campaign)),
            Phase::Holding(holding) => self.lease_end(holding, self.last_timer),
        };
        let role_timers = self.roles.values().filter_map(role_timer);
        role_timers.chain([self.next_renewal]).fold(self.next_listing, Timestamp::min)
    }

    /// Returns when a held lease expires by the grants of the current voters or, while their grants still count, of the
    /// previous voters, whichever is later.
    fn lease_end(&self, holding: &Holding, now: Timestamp) -> Option<Timestamp> {
        let previous = self.previous_voters.as_ref().filter(|previous| now < previous.expires_at);
        let voter_sets =
            || std::iter::once(&self.settings.voters).chain(previous.map(|previous| &previous.voters));
        let candidacies = std::iter::once(&holding.candidacy).chain(&holding.next_candidacy);
        candidacies
            .flat_map(|candidacy| voter_sets().filter_map(move |voters| candidacy.expires_at(voters)))
            .max()
    }

    /// Returns a permit to act under a role, or `None` if the role isn't held or its lease is ending. Call this
    /// immediately before each action.
    pub fn permit<'a>(&self, role: &'a str, now: Timestamp) -> Option<ActionPermit<'a>> {
        let Phase::Holding(holding) = &self.roles.get(role)?.phase else { return None };
        if holding.ending.is_some() {
            return None;
        }
        let expires_at = self.lease_end(holding, now).filter(|expires_at| now < *expires_at)?;
        Some(ActionPermit { role, token: holding.candidacy.token, expires_at })
    }

    /// Returns the lease holder of a role as far as this gateway knows.
    pub fn holder(&self, role: &str, now: Timestamp) -> Option<&str> {
        if self.permit(role, now).is_some() {
            return Some(&self.own_id.name);
        }
        let listed = self.roles.get(role)?.listed_lease.as_ref().filter(|lease| now < lease.expires_at)?;
        Some(&listed.holder.name)
    }

    /// Returns the status of each role as far as this gateway knows, ordered by role name.
    pub fn role_statuses(&self, now: Timestamp) -> impl Iterator<Item = RoleStatus<'_>> {
        self.roles.iter().map(move |(role, state)| RoleStatus {
            role,
            listed_lease: state.listed_lease.as_ref().filter(|lease| now < lease.expires_at),
            held_lease: self
                .permit(role, now)
                .map(|permit| HeldLease { token: permit.token, expires_at: permit.expires_at }),
            last_end: state.last_end,
        })
    }

    /// Returns whether this gateway holds any role, including roles whose hand-over is in progress.
    pub fn holds_any_role(&self) -> bool {
        self.roles.values().any(RoleState::is_held)
    }

    /// Performs all due work: checks roles, and sends lease requests, renewals, releases and listing requests.
    pub fn on_timer(&mut self, now: Timestamp) -> Output {
        let mut output = Output::default();
        let stalled = now.since(self.last_timer) > self.terms().length * STALL_LEASE_FRACTION;
        self.last_timer = now;
        let eligible = self.fit && !self.leaving && self.hears_voters(now);
        let check = TimerCheck { now, stalled, eligible };
        let mut new_campaigns = Vec::new();
        for role in self.role_names() {
            if self.check_role(&role, check, &mut output) {
                new_campaigns.push(role);
            }
        }
        self.request_leases(&new_campaigns, now, &mut output);
        if now >= self.next_renewal {
            self.next_renewal = now + self.renewal_interval();
            if self.hears_voters(now) {
                let all_roles = self.role_names();
                self.request_leases(&all_roles, now, &mut output);
            }
            self.send_releases(&mut output);
        }
        if now >= self.next_listing {
            self.next_listing = now + self.renewal_interval();
            self.request_listings(&mut output);
        }
        self.deliver_messages_to_self(now, &mut output);
        output
    }

    fn role_names(&self) -> Vec<String> {
        self.roles.keys().cloned().collect()
    }

    /// Updates the state of a role by the current time. Returns whether this gateway has started a campaign for the
    /// role.
    fn check_role(&mut self, role: &str, check: TimerCheck, output: &mut Output) -> bool {
        let Some(state) = self.roles.get_mut(role) else { return false };
        if let Some(expired) = state.listed_lease.take_if(|lease| lease.expires_at <= check.now) {
            state.vacant_since = Some(expired.expires_at);
        }
        let Some(state) = self.roles.get(role) else { return false };
        match &state.phase {
            Phase::Watching { not_before } => {
                let may_campaign = check.eligible && check.now >= *not_before;
                let starts_campaign = may_campaign && self.is_own_turn(role, check.now);
                if starts_campaign && let Some(state) = self.roles.get_mut(role) {
                    state.start_campaign(check.now);
                }
                starts_campaign
            }
            Phase::Campaigning(campaign) => {
                if check.now >= campaign.started_at + self.campaign_length(campaign) {
                    self.abandon_campaign(role, check.now, output);
                }
                false
            }
            Phase::Holding(_) => {
                self.check_holding(role, check, output);
                false
            }
        }
    }

    /// Returns all live gateways in the order in which they are to request the role. Gateways that have been alive for
    /// less than [`LeaseSettings::min_hold_time`] come last: otherwise a gateway that restarts repeatedly would acquire
    /// and lose the role each time.
    fn preference_order(&self, role: &str, now: Timestamp) -> Vec<&str> {
        let is_long_lived = |name: &&str| {
            self.live_members.get(*name).is_some_and(|since| now.since(*since) >= self.settings.min_hold_time)
        };
        let names = self.live_members.keys().map(String::as_str).chain([self.own_id.name.as_str()]);
        let (long_lived, recent): (BTreeSet<&str>, BTreeSet<&str>) = names.partition(is_long_lived);
        let mut order = spread::preference_order(role, long_lived.into_iter());
        order.extend(spread::preference_order(role, recent.into_iter()));
        order
    }
}
