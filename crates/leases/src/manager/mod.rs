//! One gateway's part in all roles: which it asks for and when, which it holds and until when, when it hands one over, and
//! its part as a voter where the settings name it.
//!
//! The caller calls [`LeaseManager::on_timer`] when [`LeaseManager::next_timer`] has come and
//! [`LeaseManager::on_message`] with each message, and carries out what the [`Output`] says. A gateway asks for a role once
//! nobody is known to hold it: the first by a hash at once and the others after it in turn, so that a majority is seldom
//! split; who gets no majority gives back what was granted and waits for a random time.

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

/// Renewals in the length of a lease.
const RENEWALS_PER_LEASE: f64 = 3.0;
/// A timer that comes later than this part of a lease means that the gateway stalled.
const STALL_LEASE_FRACTION: f64 = 0.5;

/// Voters before the last change, which count until its leases are over.
struct PreviousVoters {
    voters: VoterSet,
    until: Timestamp,
}

/// What a timer's run finds to be so.
#[derive(Clone, Copy)]
struct TimerCheck {
    now: Timestamp,
    /// This gateway did not run for a good part of a lease.
    stalled: bool,
    /// This gateway may ask for roles.
    eligible: bool,
}

/// One gateway's part in all roles.
pub struct LeaseManager {
    me: MemberId,
    settings: LeaseSettings,
    previous_voters: Option<PreviousVoters>,
    voters_changed_at: Option<Timestamp>,
    /// What was on disk at the start, or known when this gateway ceased to be a voter: for when it becomes one.
    record: Option<VoterRecord>,
    voter: Option<Voter>,
    /// Gateways that are alive, and since when.
    live_members: BTreeMap<String, Timestamp>,
    roles: BTreeMap<String, RoleState>,
    rounds: VecDeque<Round>,
    last_round: u32,
    next_renewal: Timestamp,
    next_listing: Timestamp,
    /// Counts the voters that were asked for their leases.
    listed_voters: usize,
    last_timer: Timestamp,
    /// When another gateway last answered as a voter.
    voters_heard_at: Timestamp,
    release_notices: Vec<ReleaseNotice>,
    fit: bool,
    leaving: bool,
    random: WyRand,
}

impl LeaseManager {
    /// `record` is what was found on disk, `wall_clock_us` the Unix clock in microseconds.
    pub fn new(
        me: MemberId,
        settings: LeaseSettings,
        record: Option<&VoterRecord>,
        wall_clock_us: u64,
        seed: u64,
        now: Timestamp,
    ) -> LeaseManager {
        let is_voter = settings.voters.contains(&me.name);
        let voter = is_voter.then(|| Voter::new(settings.voter_limits, record, wall_clock_us, now));
        let mut manager = LeaseManager {
            me,
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
            listed_voters: 0,
            last_timer: now,
            voters_heard_at: now,
            release_notices: Vec::new(),
            fit: true,
            leaving: false,
            random: WyRand::new_seed(seed),
        };
        manager.add_named_roles();
        manager
    }

    fn add_named_roles(&mut self) {
        for role in &self.settings.roles {
            self.roles.entry(role.clone()).or_insert_with(RoleState::new);
        }
    }

    /// Sets which gateways are alive, this one among them, and since when.
    pub fn set_live_members(&mut self, live_members: BTreeMap<String, Timestamp>) {
        self.live_members = live_members;
    }

    /// Sets whether this gateway is fit to hold roles.
    pub fn set_fit(&mut self, fit: bool) {
        self.fit = fit;
    }

    fn renewal_interval(&self) -> Duration {
        self.settings.terms.length * (1.0 / RENEWALS_PER_LEASE)
    }

    fn terms(&self) -> LeaseTerms {
        self.settings.terms
    }

    /// When the timer is to run next.
    pub fn next_timer(&self) -> Timestamp {
        let role_timer = |role: &RoleState| match &role.phase {
            Phase::Watching { not_before } => (role.eager_until > *not_before).then_some(*not_before),
            Phase::Campaigning(campaign) => Some(campaign.since + self.campaign_length(campaign)),
            Phase::Holding(holding) => self.lease_end(holding, self.last_timer),
        };
        let role_timers = self.roles.values().filter_map(role_timer);
        role_timers.chain([self.next_renewal]).fold(self.next_listing, Timestamp::min)
    }

    /// When what is held ends: by the voters in force, or by those before while they count.
    fn lease_end(&self, holding: &Holding, now: Timestamp) -> Option<Timestamp> {
        let previous = self.previous_voters.as_ref().filter(|previous| now < previous.until);
        let voter_sets =
            || std::iter::once(&self.settings.voters).chain(previous.map(|previous| &previous.voters));
        let candidacies = std::iter::once(&holding.candidacy).chain(&holding.next_candidacy);
        candidacies
            .flat_map(|candidacy| voter_sets().filter_map(move |voters| candidacy.expires_at(voters)))
            .max()
    }

    /// Permission to act under a role, where it is held. Ask immediately before each action.
    pub fn permit<'a>(&self, role: &'a str, now: Timestamp) -> Option<ActionPermit<'a>> {
        let Phase::Holding(holding) = &self.roles.get(role)?.phase else { return None };
        if holding.ending.is_some() {
            return None;
        }
        let expires_at = self.lease_end(holding, now).filter(|expires_at| now < *expires_at)?;
        Some(ActionPermit { role, token: holding.candidacy.token, expires_at })
    }

    /// Who holds the role, as far as this gateway knows.
    pub fn holder(&self, role: &str, now: Timestamp) -> Option<&str> {
        if self.permit(role, now).is_some() {
            return Some(&self.me.name);
        }
        let known = self.roles.get(role)?.listed_lease.as_ref().filter(|known| now < known.expires_at)?;
        Some(&known.holder.name)
    }

    /// What this gateway knows of each role.
    pub fn role_statuses(&self, now: Timestamp) -> impl Iterator<Item = RoleStatus<'_>> {
        self.roles.iter().map(move |(role, state)| RoleStatus {
            role,
            listed_lease: state.listed_lease.as_ref().filter(|known| now < known.expires_at),
            held_lease: self
                .permit(role, now)
                .map(|permit| HeldLease { token: permit.token, expires_at: permit.expires_at }),
            last_end: state.last_end,
        })
    }

    /// Whether any role is held here, hand-overs that are not finished among them.
    pub fn holds_any_role(&self) -> bool {
        self.roles.values().any(RoleState::is_held)
    }

    /// Runs what is due.
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
        self.deliver_own_messages(now, &mut output);
        output
    }

    fn role_names(&self) -> Vec<String> {
        self.roles.keys().cloned().collect()
    }

    /// Notices what became of a role, and returns whether this gateway now begins to ask for it.
    fn check_role(&mut self, role: &str, check: TimerCheck, output: &mut Output) -> bool {
        let Some(state) = self.roles.get_mut(role) else { return false };
        if let Some(expired) = state.listed_lease.take_if(|known| known.expires_at <= check.now) {
            state.vacant_since = Some(expired.expires_at);
        }
        let Some(state) = self.roles.get(role) else { return false };
        match &state.phase {
            Phase::Watching { not_before } => {
                let may_ask = check.eligible && check.now >= *not_before;
                let asks = may_ask && self.is_its_turn(role, check.now);
                if asks && let Some(state) = self.roles.get_mut(role) {
                    state.campaign(check.now);
                }
                asks
            }
            Phase::Campaigning(campaign) => {
                if check.now >= campaign.since + self.campaign_length(campaign) {
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

    /// All gateways that are alive, in the order in which they should have the role. Those that were started lately come
    /// last: one that restarts over and over would acquire it and drop it each time.
    fn preference_order(&self, role: &str, now: Timestamp) -> Vec<&str> {
        let is_settled = |name: &&str| {
            self.live_members.get(*name).is_some_and(|since| now.since(*since) >= self.settings.min_hold_time)
        };
        let names = self.live_members.keys().map(String::as_str).chain([self.me.name.as_str()]);
        let (settled, recent): (BTreeSet<&str>, BTreeSet<&str>) = names.partition(is_settled);
        let mut order = spread::preference_order(role, settled.into_iter());
        order.extend(spread::preference_order(role, recent.into_iter()));
        order
    }
}
