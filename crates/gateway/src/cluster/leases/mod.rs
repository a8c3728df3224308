//! Leased roles of this gateway: connects the lease manager to the cluster socket, the disk, the operator's programs
//! and the log.

mod load_reports;
mod messages;
pub mod quota_exchange;
mod status;
mod supervised_programs;
mod voter_record;

pub use voter_record::VoterRecordWriter;

use super::Cluster;
use super::supervisor::Supervisor;
use crate::platform::Platform;
use crate::state::{State, lock};
use larchfall_leases::fitness::{Fitness, FitnessInputs, FitnessThresholds};
use larchfall_leases::manager::{LeaseManager, LeaseSettings};
use larchfall_leases::messages::MemberId;
use larchfall_leases::voter::VoterLimits;
use larchfall_leases::voter_record::{DamagedFile, Disk, VoterRecord, load};
use larchfall_membership::membership::Member;
use larchfall_operator_config::LeaseConfig;
use larchfall_policy::time::{Duration, Timestamp};
use quota_exchange::{QuotaExchange, QuotaInputs};
use slog::{info, warn};
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, Mutex};

/// Maximum size, in bytes, of an encoded list of load reports, quota demands or quota grants in one datagram.
const MAX_LIST_BYTES: usize = 1000;
/// Time between two timer runs while a program runs or a lease event is pending.
const PROGRAM_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Counters {
    /// Received datagrams.
    received: AtomicU64,
    /// Sent datagrams.
    sent: AtomicU64,
    /// Messages from or to a process that membership does not know.
    unknown_members: AtomicU64,
    /// Received datagrams that can't be decoded.
    corrupt: AtomicU64,
    /// Attempts to write the voter record, failed ones among them.
    record_writes: AtomicU64,
    failed_record_writes: AtomicU64,
    /// Load reports of other members that were accepted.
    load_reports: AtomicU64,
    /// Quota grants that were accepted.
    quota_grants: AtomicU64,
}

/// Runs the lease manager of this gateway and the work under the leases that it holds.
pub struct LeaseService {
    manager: Mutex<LeaseManager>,
    member_id: MemberId,
    cluster_name: String,
    platform: Platform,
    fitness_thresholds: Mutex<FitnessThresholds>,
    fitness: Mutex<Fitness>,
    /// Sends records to the thread of [`VoterRecordWriter`]; `None` without a directory for the voter record.
    record_sender: Option<SyncSender<VoterRecord>>,
    supervisor: Supervisor,
    /// `None` if the operator's file configures no quotas.
    quota_exchange: Option<QuotaExchange>,
    last_timer: Mutex<Timestamp>,
    /// Whether a lease event occurred since the last timer run, so that programs must be updated soon.
    has_pending_events: AtomicBool,
    counters: Counters,
}

/// Parameters of [`LeaseService::open`].
pub struct LeaseSetup {
    /// Lease settings from the operator's file.
    pub settings: LeaseConfig,
    /// Name and generation of this process.
    pub member_id: MemberId,
    /// Seed of the lease manager's random choices.
    pub seed: u64,
    /// Clocks and the disk.
    pub platform: Platform,
    /// Platform settings that quotas are computed from.
    pub quota_inputs: QuotaInputs,
}

/// Result of [`LeaseService::open`].
pub struct OpenedLeases {
    /// The service, for the cluster.
    pub service: Arc<LeaseService>,
    /// Must be started once the cluster socket is open; `None` without a directory for the voter record.
    pub record_writer: Option<VoterRecordWriter>,
}

impl LeaseService {
    /// Loads the voter record, creates the lease manager and starts the supervisor of programs. No lease is requested
    /// or granted before the voter record is loaded. Fails if the thread of the supervisor can't be started.
    pub fn open(state: &State, setup: LeaseSetup) -> io::Result<OpenedLeases> {
        let LeaseSetup { settings: config, member_id, seed, platform, quota_inputs } = setup;
        let now = (platform.steady_clock)();
        // The disk is opened on gateways that are not voters too, since a reload of the settings may make them
        // voters.
        let mut disk =
            config.voter_record_directory.as_ref().map(|directory| (platform.open_disk)(directory));
        let is_voter = config.settings.voters.contains(&member_id.name);
        let record = load_voter_record(state, disk.as_mut(), is_voter);
        let settings = config.settings;
        let quota_exchange = config.quotas.map(|quotas| {
            QuotaExchange::new(state, quotas, settings.terms.drift_margin_per_mille, quota_inputs, now)
        });
        let cluster_name = settings.cluster.clone();
        let unix_time_us = (platform.unix_clock)().micros();
        let manager =
            LeaseManager::new(member_id.clone(), settings, record.as_ref(), unix_time_us, seed, now);
        let (record_sender, record_writer) = disk.map(VoterRecordWriter::new).unzip();
        let service = LeaseService {
            manager: Mutex::new(manager),
            member_id,
            cluster_name,
            platform,
            fitness_thresholds: Mutex::new(config.fitness),
            fitness: Mutex::default(),
            record_sender,
            supervisor: Supervisor::start(config.programs)?,
            quota_exchange,
            last_timer: Mutex::new(now),
            has_pending_events: AtomicBool::new(false),
            counters: Counters::default(),
        };
        Ok(OpenedLeases { service: Arc::new(service), record_writer })
    }

    /// Reads the steady clock, which all times of leases refer to.
    fn now(&self) -> Timestamp {
        (self.platform.steady_clock)()
    }

    /// Applies reloaded lease settings, or rejects all of them if the voters can't be changed safely.
    pub(super) fn reload(&self, state: &State, cluster: &Cluster, config: LeaseConfig) {
        // Whether the voter record is kept on disk is fixed at startup.
        let voter_limits =
            VoterLimits { persistent: self.record_sender.is_some(), ..config.settings.voter_limits };
        let settings = LeaseSettings { voter_limits, ..config.settings };
        let result =
            lock(&self.manager).update_settings(settings, (self.platform.unix_clock)().micros(), self.now());
        match result {
            Ok(output) => {
                self.supervisor.reload(config.programs);
                *lock(&self.fitness_thresholds) = config.fitness;
                self.apply_output(state, cluster, output);
            }
            Err(error) => warn!(state.log, "lease settings rejected"; "reason" => error.to_string()),
        }
    }

    /// Time until [`LeaseService::on_timer`] is due.
    pub(super) fn time_to_next_timer(&self) -> Duration {
        let now = self.now();
        let time_to_quota_request = self
            .quota_exchange
            .as_ref()
            .map_or(quota_exchange::DEFAULT_TIMER_INTERVAL, |exchange| exchange.time_to_next_request(now));
        let time_to_timer = lock(&self.manager).next_timer().since(now).min(time_to_quota_request);
        // Programs can exit at any time, and a new lease must be acted on soon: both are polled between the timers.
        let time_to_poll = (*lock(&self.last_timer) + PROGRAM_POLL_INTERVAL).since(now);
        let must_poll = self.has_pending_events.load(Ordering::Relaxed) || self.supervisor.is_any_running();
        if must_poll { time_to_timer.min(time_to_poll) } else { time_to_timer }
    }

    /// Hands over all leases, on shutdown.
    pub(super) fn leave(&self, state: &State, cluster: &Cluster) {
        let output = lock(&self.manager).leave(self.now());
        self.apply_output(state, cluster, output);
    }

    /// Returns whether no lease is held and no program runs, so that the gateway may end.
    pub(super) fn is_finished(&self) -> bool {
        !self.supervisor.is_any_running() && !lock(&self.manager).holds_any_role()
    }

    /// Gives up all leases at once, since a later process uses this gateway's name.
    pub(super) fn on_name_taken(&self, state: &State, cluster: &Cluster) {
        let output = lock(&self.manager).on_name_taken(self.now());
        self.apply_output(state, cluster, output);
    }

    /// Updates the live members and the fitness of this gateway, runs the lease manager, and then updates programs, load
    /// reports and quotas.
    pub(super) fn on_timer(&self, state: &Arc<State>, cluster: &Arc<Cluster>) {
        let now = self.now();
        *lock(&self.last_timer) = now;
        self.has_pending_events.store(false, Ordering::Relaxed);
        let state_now = state.clock.now();
        let membership = lock(&cluster.membership);
        let health_score = membership.local_health().score();
        // Membership uses the clock of the gateway's state, leases use the steady clock.
        let to_steady_time = |member: &Member| now - state_now.since(member.state_since);
        let live_members: BTreeMap<String, Timestamp> =
            membership.live_members().map(|(name, member)| (name.clone(), to_steady_time(member))).collect();
        drop(membership);
        let endpoints = state.policy.endpoint_summary();
        let inputs = FitnessInputs {
            listed_engines: endpoints.present_count,
            ready_engines: endpoints.ready.len(),
            discovery_silence: state_now.since(state.discovery.last_contact()),
            health_score,
        };
        let thresholds = *lock(&self.fitness_thresholds);
        let is_fit = lock(&self.fitness).update(thresholds, inputs);
        let output = {
            let mut manager = lock(&self.manager);
            manager.set_live_members(live_members);
            manager.set_fit(is_fit);
            manager.on_timer(now)
        };
        self.apply_output(state, cluster, output);
        self.update_programs(state, cluster);
        self.request_load_reports(state, cluster, &endpoints.ready);
        self.request_quotas(state, cluster);
    }
}

/// Loads the voter record from disk, if there is one, and logs each record file that is damaged.
fn load_voter_record(state: &State, disk: Option<&mut Box<dyn Disk>>, is_voter: bool) -> Option<VoterRecord> {
    let is_persistent = disk.is_some();
    let loaded = disk.map(|disk| load(disk.as_mut())).unwrap_or_default();
    for DamagedFile { file, reason } in &loaded.damaged {
        warn!(state.log, "voter record damaged"; "reason" => reason, "file" => file);
    }
    if is_voter {
        let version = loaded.record.as_ref().map_or(0, |record| record.version);
        info!(state.log, "voter started"; "persistent" => is_persistent, "record_version" => version);
    }
    loaded.record
}
