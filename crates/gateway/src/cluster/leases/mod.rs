//! Leased roles on this gateway: what the package decides, brought to the socket, the disk, the operator's programs and
//! the log.

mod load_reports;
mod messages;
pub mod quota_exchange;
mod status;
mod supervised_programs;
mod voter_record;

pub use voter_record::RecordWriter;

use super::Cluster;
use super::supervisor::Supervisor;
use crate::platform::Platform;
use crate::state::{State, lock};
use larchfall_leases::duties::{Duties, Settings};
use larchfall_leases::elector::Bounds;
use larchfall_leases::fitness::{Fitness, Lines, Sight};
use larchfall_leases::record::{Disk, Record, find};
use larchfall_leases::wire::Who;
use larchfall_membership::members::Member;
use larchfall_operator_config::Duties as LeaseSettings;
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
    leases: Mutex<Duties>,
    me: Who,
    cluster_name: String,
    platform: Platform,
    fitness_limits: Mutex<Lines>,
    fitness: Mutex<Fitness>,
    /// To the thread that writes the voter record, where there is a disk for it.
    records: Option<SyncSender<Record>>,
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
    pub settings: LeaseSettings,
    /// This process.
    pub me: Who,
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
    pub record_writer: Option<RecordWriter>,
}

impl LeaseService {
    /// Reads the voter record, before anything is requested or granted.
    pub fn open(state: &State, setup: LeaseSetup) -> io::Result<OpenedLeases> {
        let LeaseSetup { settings: site, me, seed, platform, quota_inputs } = setup;
        let now = (platform.steady_clock)();
        // One that is no voter now may become one, when the file is read again.
        let mut disk = site.record.as_ref().map(|folder| (platform.open_disk)(folder));
        let is_voter = site.settings.electors.has(&me.name);
        let record = read_record(state, disk.as_mut(), is_voter);
        let settings = site.settings;
        let quotas = site
            .keepers
            .map(|keepers| QuotaExchange::new(state, keepers, settings.terms.margin, quota_inputs, now));
        let cluster_name = settings.cluster.clone();
        let unix_time = (platform.unix_clock)().micros();
        let leases = Duties::new(me.clone(), settings, record.as_ref(), unix_time, seed, now);
        let (records, record_writer) = disk.map(RecordWriter::new).unzip();
        let service = LeaseService {
            leases: Mutex::new(leases),
            me,
            cluster_name,
            platform,
            fitness_limits: Mutex::new(site.lines),
            fitness: Mutex::default(),
            records,
            supervisor: Supervisor::start(site.programs)?,
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
    pub(super) fn reload(&self, state: &State, cluster: &Cluster, settings: LeaseSettings) {
        // Whether there is a disk was settled at the start.
        let bounds = Bounds { keeps: self.records.is_some(), ..settings.settings.bounds };
        let leases = Settings { bounds, ..settings.settings };
        let result = lock(&self.leases).set(leases, (self.platform.unix_clock)().micros(), self.now());
        match result {
            Ok(effects) => {
                self.supervisor.reload(settings.programs);
                *lock(&self.fitness_limits) = settings.lines;
                self.apply(state, cluster, effects);
            }
            Err(error) => warn!(state.log, "lease settings rejected"; "reason" => error.to_string()),
        }
    }

    pub(super) fn due_in(&self) -> Duration {
        let now = self.now();
        let quotas_due = self.quotas.as_ref().map_or(quota_exchange::IDLE, |quotas| quotas.due_in(now));
        let due = lock(&self.leases).due().since(now).min(quotas_due);
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
        let effects = lock(&self.leases).name_taken(self.now());
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
        let (listed, ready) = state.facade.listed();
        let heard = Timestamp::from_micros(state.discovery_heard.load(Ordering::Relaxed));
        let sight = Sight { listed, ready: ready.len(), silence: state_now.since(heard), health: own_health };
        let limits = *lock(&self.fitness_limits);
        let is_fit = lock(&self.fitness).is_fit(limits, sight);
        let effects = {
            let mut leases = lock(&self.leases);
            leases.live(alive_since);
            leases.fit(is_fit);
            leases.wake(now)
        };
        self.apply(state, cluster, effects);
        self.update_programs(state, cluster);
        self.request_load_reports(state, cluster, &ready);
        self.request_quotas(state, cluster);
    }
}

/// The voter record as it is on disk, if there is one.
fn read_record(state: &State, disk: Option<&mut Box<dyn Disk>>, is_voter: bool) -> Option<Record> {
    let has_disk = disk.is_some();
    let found = disk.map(|disk| find(disk.as_mut())).unwrap_or_default();
    for (file, reason) in &found.damaged {
        warn!(state.log, "voter record damaged"; "reason" => reason, "file" => file);
    }
    if is_voter {
        let version = found.record.as_ref().map_or(0, |record| record.version);
        info!(state.log, "voter started"; "persistent" => has_disk, "record_version" => version);
    }
    found.record
}
