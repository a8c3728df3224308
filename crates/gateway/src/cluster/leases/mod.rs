//! Leased roles on this gateway: what the package decides, brought to the socket, the disk, the operator's programs and
//! the log.

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

/// Bytes that load reports and quotas take in a datagram.
const LIST_BYTES: usize = 1000;
/// While a program is to end, its end is looked for this often.
const PROGRAM_POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Counters {
    received: AtomicU64,
    sent: AtomicU64,
    unknown: AtomicU64,
    corrupt: AtomicU64,
    records: AtomicU64,
    records_failed: AtomicU64,
    load_reports: AtomicU64,
    quotas: AtomicU64,
}

/// Leased roles, and what this gateway does while it holds some.
pub struct LeaseService {
    leases: Mutex<LeaseManager>,
    me: MemberId,
    cluster_name: String,
    platform: Platform,
    fitness_thresholds: Mutex<FitnessThresholds>,
    fitness: Mutex<Fitness>,
    /// To the thread that writes the voter record, where there is a disk for it.
    records: Option<SyncSender<VoterRecord>>,
    supervisor: Supervisor,
    /// Quotas that are allocated by lease holders, where the operator's file has them.
    quotas: Option<QuotaExchange>,
    last_timer: Mutex<Timestamp>,
    /// A lease was acquired or is ending since the last timer: programs are looked after soon.
    has_changed: AtomicBool,
    counters: Counters,
}

/// What the service is made of.
pub struct LeaseSetup {
    /// The operator's settings.
    pub settings: LeaseConfig,
    /// This process.
    pub member_id: MemberId,
    /// Seed of the package's random choices.
    pub seed: u64,
    /// Clocks and the disk.
    pub platform: Platform,
    /// What quotas are worked out from.
    pub quota_inputs: QuotaInputs,
}

/// The service, and the writer of the voter record where there is a disk for it.
pub struct OpenedLeases {
    /// The service.
    pub service: Arc<LeaseService>,
    /// To be started once the socket is open.
    pub record_writer: Option<VoterRecordWriter>,
}

impl LeaseService {
    /// Reads the voter record, before anything is requested or granted.
    pub fn open(state: &State, setup: LeaseSetup) -> io::Result<OpenedLeases> {
        let LeaseSetup { settings: config, member_id: me, seed, platform, quota_inputs } = setup;
        let now = (platform.steady_clock)();
        // One that is no voter now may become one, when the file is read again.
        let mut disk = config.record_folder.as_ref().map(|folder| (platform.open_disk)(folder));
        let is_voter = config.settings.voters.contains(&me.name);
        let record = read_record(state, disk.as_mut(), is_voter);
        let settings = config.settings;
        let quotas = config.quotas.map(|quotas| {
            QuotaExchange::new(state, quotas, settings.terms.drift_margin_per_mille, quota_inputs, now)
        });
        let cluster_name = settings.cluster.clone();
        let unix_time = (platform.unix_clock)().micros();
        let leases = LeaseManager::new(me.clone(), settings, record.as_ref(), unix_time, seed, now);
        let (records, record_writer) = disk.map(VoterRecordWriter::new).unzip();
        let service = LeaseService {
            leases: Mutex::new(leases),
            me,
            cluster_name,
            platform,
            fitness_thresholds: Mutex::new(config.fitness),
            fitness: Mutex::default(),
            records,
            supervisor: Supervisor::start(config.programs)?,
            quotas,
            last_timer: Mutex::new(now),
            has_changed: AtomicBool::new(false),
            counters: Counters::default(),
        };
        Ok(OpenedLeases { service: Arc::new(service), record_writer })
    }

    fn now(&self) -> Timestamp {
        (self.platform.steady_clock)()
    }

    /// Takes over a file that was read again, or rejects it whole where the change can't be made safely.
    pub(super) fn reload(&self, state: &State, cluster: &Cluster, settings: LeaseConfig) {
        // Whether there is a disk was settled at the start.
        let voter_limits =
            VoterLimits { persistent: self.records.is_some(), ..settings.settings.voter_limits };
        let leases = LeaseSettings { voter_limits, ..settings.settings };
        let result =
            lock(&self.leases).update_settings(leases, (self.platform.unix_clock)().micros(), self.now());
        match result {
            Ok(effects) => {
                self.supervisor.reload(settings.programs);
                *lock(&self.fitness_thresholds) = settings.fitness;
                self.apply(state, cluster, effects);
            }
            Err(error) => warn!(state.log, "lease settings rejected"; "reason" => error.to_string()),
        }
    }

    pub(super) fn due_in(&self) -> Duration {
        let now = self.now();
        let quotas_due = self.quotas.as_ref().map_or(quota_exchange::IDLE, |quotas| quotas.due_in(now));
        let due = lock(&self.leases).next_timer().since(now).min(quotas_due);
        // Programs end by themselves, and a lease just acquired is to be acted on: both are looked for in between.
        let poll = (*lock(&self.last_timer) + PROGRAM_POLL_INTERVAL).since(now);
        let is_to_poll = self.has_changed.load(Ordering::Relaxed) || self.supervisor.is_running_any();
        if is_to_poll { due.min(poll) } else { due }
    }

    /// Gives all leases to others.
    pub(super) fn leave(&self, state: &State, cluster: &Cluster) {
        let effects = lock(&self.leases).leave(self.now());
        self.apply(state, cluster, effects);
    }

    /// Whether no lease is held any more and no program runs.
    pub(super) fn is_done(&self) -> bool {
        !self.supervisor.is_running_any() && !lock(&self.leases).holds_any()
    }

    pub(super) fn on_name_taken(&self, state: &State, cluster: &Cluster) {
        let effects = lock(&self.leases).on_name_taken(self.now());
        self.apply(state, cluster, effects);
    }

    pub(super) fn on_timer(&self, state: &Arc<State>, cluster: &Arc<Cluster>) {
        let now = self.now();
        *lock(&self.last_timer) = now;
        self.has_changed.store(false, Ordering::Relaxed);
        let state_now = state.clock.now();
        let members = lock(&cluster.members);
        let own_health = members.health().score();
        // Membership goes by the state's clock, leases by the steady one.
        let since = |member: &Member| now - state_now.since(member.since);
        let alive_since: BTreeMap<String, Timestamp> =
            members.live().map(|(name, member)| (name.clone(), since(member))).collect();
        drop(members);
        let endpoints = state.policy.endpoint_summary();
        let inputs = FitnessInputs {
            listed_engines: endpoints.present_count,
            ready_engines: endpoints.ready.len(),
            discovery_silence: state_now.since(state.discovery.last_contact()),
            health_score: own_health,
        };
        let thresholds = *lock(&self.fitness_thresholds);
        let is_fit = lock(&self.fitness).update(thresholds, inputs);
        let effects = {
            let mut leases = lock(&self.leases);
            leases.set_live_members(alive_since);
            leases.set_fit(is_fit);
            leases.on_timer(now)
        };
        self.apply(state, cluster, effects);
        self.update_programs(state, cluster);
        self.request_load_reports(state, cluster, &endpoints.ready);
        self.request_quotas(state, cluster);
    }
}

/// The voter record as it is on disk, if there is one.
fn read_record(state: &State, disk: Option<&mut Box<dyn Disk>>, is_voter: bool) -> Option<VoterRecord> {
    let has_disk = disk.is_some();
    let found = disk.map(|disk| load(disk.as_mut())).unwrap_or_default();
    for DamagedFile { file, reason } in &found.damaged {
        warn!(state.log, "voter record damaged"; "reason" => reason, "file" => file);
    }
    if is_voter {
        let version = found.record.as_ref().map_or(0, |record| record.version);
        info!(state.log, "voter started"; "persistent" => has_disk, "record_version" => version);
    }
    found.record
}
