//! Duties on this gateway: what the package decides, brought to the socket, the disk, the operator's programs and the log.

use super::Gateways;
use super::programs::Programs;
use crate::engine::load_report;
use crate::run::parts::{self, Parts, boot_time};
use crate::state::engine_table::ReadyEngine;
use crate::state::{State, lock};
use larchfall_leases::fencing::{ActionPermit, Fenced};
use larchfall_leases::fitness::{Fitness, FitnessInputs, FitnessThresholds};
use larchfall_leases::load_sharing::{
    HealthCheck, ReportAges, SharedLoadReport, health_check_role, quota_allocator_role, role_index,
};
use larchfall_leases::manager::{
    HeldLease, KnownLease, LastEnd, LeaseEvent, LeaseEventKind, LeaseManager, LeaseSettings, OutgoingMessage,
    Output, RoleStatus,
};
use larchfall_leases::messages::{Datagram, MemberId, Payload, paginate};
use larchfall_leases::voter::VoterLimits;
use larchfall_leases::voter_record::{DamagedFile, Disk, VoterRecord, load};
use larchfall_membership::membership::Member;
use larchfall_operator_config::{Duties as Site, Keepers, Kinds};
use larchfall_policy::interface::{LoadReport, RequestClass, SlowStartPolicy};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_quotas::QuotaTerms;
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::{CapacityDemand, Demand};
use larchfall_quotas::fairness::Fairness;
use larchfall_quotas::manager::{
    AllocationStatus, QuotaManager, QuotaRequest, QuotaSettings, QuotaStatus, RequestTerms,
};
use slog::{info, warn};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

/// What readings take of a datagram.
const READINGS: usize = 1000;
/// Of more capacities than this gateways have their own parts only.
const MOST_SHARED: usize = 4096;
const IDLE: Duration = Duration::from_millis(1000);
/// While a program is to end its end is looked for this often.
const SOON: Duration = Duration::from_millis(10);

#[derive(Default)]
struct Counters {
    heard: AtomicU64,
    sent: AtomicU64,
    unknown: AtomicU64,
    spoilt: AtomicU64,
    records: AtomicU64,
    records_failed: AtomicU64,
    readings: AtomicU64,
    shares: AtomicU64,
}

/// What of the settings shares are worked out from.
pub struct Shared {
    pub gateways: usize,
    pub slow_start: SlowStartPolicy,
    pub classes: Vec<RequestClass>,
    pub tenants: Vec<Capacity>,
    /// Which kinds are handed out, by the operator's file.
    pub kinds: Kinds,
}

impl Shared {
    /// How much this gateway wants of each capacity that is handed out.
    fn wanted(&self, state: &State, demand: &Demand) -> Vec<CapacityDemand> {
        let mut wanted = Vec::new();
        for ready in state.policy.ready_for_quotas(&self.slow_start) {
            let id = ready.id;
            let weight = demand.of_engine(&ready.engine, &self.classes);
            if self.kinds.slow_start && ready.in_slow_start {
                wanted.push(CapacityDemand { capacity: Capacity::SlowStart(id), weight });
            }
            if self.kinds.threads {
                wanted.push(CapacityDemand { capacity: Capacity::Threads(id), weight });
            }
        }
        let tenants = self.tenants.iter().enumerate().filter(|_| self.kinds.tenants);
        wanted.extend(tenants.map(|(tenant, capacity)| CapacityDemand {
            capacity: *capacity,
            weight: demand.of_tenant(tenant),
        }));
        wanted
    }
}

pub struct Duty {
    leases: Mutex<LeaseManager>,
    me: MemberId,
    cluster: String,
    parts: Parts,
    lines: Mutex<FitnessThresholds>,
    fitness: Mutex<Fitness>,
    records: Option<SyncSender<VoterRecord>>,
    programs: Programs,
    /// What is handed out by keepers, if anything is.
    shares: Option<Mutex<QuotaManager>>,
    shared: Shared,
    /// Of tenants, as the settings list them.
    names: Vec<String>,
    woke: Mutex<Timestamp>,
    /// Something was held or is ending since then.
    soon: AtomicBool,
    counters: Counters,
}

fn one(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl Duty {
    /// Reads what an elector remembers, before anything is asked or granted.
    pub fn open(
        state: &State,
        site: Site,
        me: MemberId,
        seed: u64,
        parts: Parts,
        shared: Shared,
    ) -> io::Result<(Arc<Duty>, Option<Keeper>)> {
        let now = (parts.clock)();
        let is_elector = site.settings.voters.contains(&me.name);
        // One that is no elector now may become one, when the file is read again.
        let mut disk = site.record.as_ref().map(|folder| (parts.disk)(folder));
        let found = disk.as_mut().map(|disk| load(disk.as_mut())).unwrap_or_default();
        for DamagedFile { file, reason } in &found.damaged {
            warn!(state.log, "voter record damaged"; "reason" => reason, "file" => file);
        }
        if is_elector {
            let version = found.record.as_ref().map_or(0, |r| r.version);
            info!(state.log, "voter started"; "persistent" => disk.is_some(), "record_version" => version);
        }
        let settings = site.settings;
        let shared = Shared { kinds: site.keepers.map_or(Kinds::default(), |k| k.kinds), ..shared };
        let shares = site.keepers.map(|Keepers { keepers, length, .. }| {
            let strict = QuotaTerms {
                max_gateways: shared.gateways,
                length,
                drift_margin_per_mille: settings.terms.drift_margin_per_mille,
                usage_window: shared.slow_start.window,
                strict: true,
            };
            let soft = QuotaTerms { usage_window: Duration::ZERO, strict: false, ..strict };
            let quotas = QuotaSettings { strict, soft, allocators: keepers, max_capacities: MOST_SHARED };
            let shares = QuotaManager::new(quotas, now);
            if shared.kinds.slow_start {
                state.policy.enable_quotas(shares.strict_default_fraction());
            }
            Mutex::new(shares)
        });
        let cluster = settings.cluster.clone();
        let leases = LeaseManager::new(
            me.clone(),
            settings,
            found.record.as_ref(),
            (parts.wall)().micros(),
            seed,
            now,
        );
        let (records, keeper) = match disk {
            Some(disk) => {
                let (records, taken) = sync_channel(1);
                (Some(records), Some(Keeper { disk, taken }))
            }
            None => (None, None),
        };
        let duty = Duty {
            leases: Mutex::new(leases),
            me,
            cluster,
            parts,
            lines: Mutex::new(site.lines),
            fitness: Mutex::default(),
            records,
            programs: Programs::start(site.programs)?,
            shares,
            shared,
            names: state.settings.names.tenants.clone(),
            woke: Mutex::new(now),
            soon: AtomicBool::new(false),
            counters: Counters::default(),
        };
        Ok((Arc::new(duty), keeper))
    }

    fn now(&self) -> Timestamp {
        (self.parts.clock)()
    }

    /// From a file that was read again; refused whole where it can't be made safe.
    pub fn set(&self, state: &State, gateways: &Gateways, site: Site) {
        // The disk was opened at the start, or not.
        let persistent = self.records.is_some();
        let voter_limits = VoterLimits { persistent, ..site.settings.voter_limits };
        let settings = LeaseSettings { voter_limits, ..site.settings };
        let set = lock(&self.leases).update_settings(settings, (self.parts.wall)().micros(), self.now());
        match set {
            Ok(out) => {
                self.programs.set(site.programs);
                *lock(&self.lines) = site.lines;
                self.take(state, gateways, out);
            }
            Err(why) => warn!(state.log, "lease settings rejected"; "reason" => why.to_string()),
        }
    }

    pub fn due_in(&self) -> Duration {
        let now = self.now();
        let shares = self.shares.as_ref().map_or(IDLE, |shares| lock(shares).next_request().since(now));
        let due = lock(&self.leases).next_timer().since(now).min(shares);
        // Programs end by themselves, and what was just held is to be acted on: both are looked for in between.
        let looks = (*lock(&self.woke) + SOON).since(now);
        if self.soon.load(Ordering::Relaxed) || self.programs.any_runs() { due.min(looks) } else { due }
    }

    /// Hands all on.
    pub fn leave(&self, state: &State, gateways: &Gateways) {
        let out = lock(&self.leases).leave(self.now());
        self.take(state, gateways, out);
    }

    /// Nothing is held any more, nor runs.
    pub fn is_done(&self) -> bool {
        !self.programs.any_runs() && !lock(&self.leases).holds_any()
    }

    pub fn name_taken(&self, state: &State, gateways: &Gateways) {
        let out = lock(&self.leases).on_name_taken(self.now());
        self.take(state, gateways, out);
    }

    pub fn wake(&self, state: &Arc<State>, gateways: &Arc<Gateways>) {
        let (now, state_now) = (self.now(), state.clock.now());
        *lock(&self.woke) = now;
        self.soon.store(false, Ordering::Relaxed);
        let (live, health): (BTreeMap<String, Timestamp>, u32) = {
            let members = lock(&gateways.members);
            let since = |m: &Member| now - state_now.since(m.since);
            (members.live().map(|(name, m)| (name.clone(), since(m))).collect(), members.health().score())
        };
        let endpoints = state.policy.endpoints();
        let silence = state_now.since(state.discovery.last_heard());
        let inputs = FitnessInputs {
            listed_engines: endpoints.present,
            ready_engines: endpoints.ready.len(),
            discovery_silence: silence,
            health_score: health,
        };
        let lines = *lock(&self.lines);
        let fit = lock(&self.fitness).update(lines, inputs);
        let out = {
            let mut leases = lock(&self.leases);
            leases.set_live_members(live);
            leases.set_fit(fit);
            leases.on_timer(now)
        };
        self.take(state, gateways, out);
        self.look_after_programs(state, gateways);
        self.probe(state, gateways, &endpoints.ready);
        self.share(state, gateways);
    }

    /// Asks the keepers for this gateway's shares, and tells the module what it may use.
    fn share(&self, state: &State, gateways: &Gateways) {
        let Some(shares) = &self.shares else { return };
        let now = self.now();
        let (requests, terms) = {
            let mut shares = lock(shares);
            let (allocators, terms) = (shares.allocators(), shares.request_terms());
            let wanted = |demand: &Demand| self.shared.wanted(state, demand);
            let allocator_of = |capacity| role_index(capacity, allocators);
            (shares.requests(|| state.policy.arrivals(), wanted, allocator_of, now), terms)
        };
        self.use_shares(state, shares, now);
        for QuotaRequest { allocator, round, demands } in requests {
            let name = quota_allocator_role(allocator);
            let holder = lock(&self.leases).holder(&name, now).map(str::to_owned);
            let Some(holder) = holder else { continue };
            for demands in paginate(demands, READINGS) {
                let matter = Payload::RequestQuotas {
                    role: name.clone(),
                    round,
                    gateways: terms.max_gateways as u32,
                    length_us: terms.length.micros(),
                    demands,
                };
                if holder == self.me.name {
                    self.hear_of_shares(state, gateways, &self.me, &matter);
                } else {
                    self.send(gateways, &holder, matter);
                }
            }
        }
    }

    fn use_shares(&self, state: &State, shares: &Mutex<QuotaManager>, now: Timestamp) {
        let known = |quota: QuotaStatus| Some((Capacity::from_key(quota.capacity)?, quota.fraction));
        let parts = lock(shares).quotas(now).filter_map(known).collect();
        state.policy.set_quotas(&self.shared.tenants, &parts);
    }

    fn hear_of_shares(&self, state: &State, gateways: &Gateways, from: &MemberId, matter: &Payload) {
        let (Some(shares), now) = (&self.shares, self.now()) else { return };
        match matter {
            Payload::RequestQuotas { role, round, gateways: most, length_us, demands } => {
                // Immediately before: nothing is handed out that the next keeper may not know to be over in time.
                let leases = lock(&self.leases);
                let Some(permit) = leases.permit(role, now) else { return };
                let terms =
                    RequestTerms { max_gateways: *most as usize, length: Duration::from_micros(*length_us) };
                let grants = lock(shares).on_request(permit.token, &from.name, terms, demands, now);
                let stamped = permit.fence(grants);
                drop(leases);
                for page in paginate(stamped.content, READINGS) {
                    let grants = Fenced { role: stamped.role.clone(), token: stamped.token, content: page };
                    let matter = Payload::Quotas { round: *round, grants };
                    if from.name == self.me.name {
                        self.hear_of_shares(state, gateways, from, &matter);
                    } else {
                        self.send(gateways, &from.name, matter);
                    }
                }
            }
            Payload::Quotas { round, grants } => {
                let taken = lock(shares).on_grants(*round, grants.token, &grants.content, now);
                self.counters.shares.fetch_add(taken as u64, Ordering::Relaxed);
                self.use_shares(state, shares, now);
            }
            _ => {}
        }
    }

    fn look_after_programs(&self, state: &State, gateways: &Gateways) {
        for ended in self.programs.take_ended(self.now()) {
            info!(state.log, "supervised program exited"; "status" => ended.how, "token" => ended.token, "lease" => &ended.duty);
            let out = lock(&self.leases).on_work_stopped(&ended.duty, self.now());
            self.take(state, gateways, out);
        }
        for duty in self.programs.duties() {
            // Looked at immediately before: what is left is what the minder is told.
            let (now, boot) = (self.now(), boot_time());
            let held =
                lock(&self.leases).permit(&duty, now).map(|permit| (permit.token, permit.remaining(now)));
            if let Some((token, left)) = held {
                self.programs.may_run(&duty, token, boot + left, now);
            }
        }
    }

    /// The holder of a probing duty asks its engines, and tells all once the last has answered.
    fn probe(&self, state: &Arc<State>, gateways: &Arc<Gateways>, ready: &[ReadyEngine]) {
        let Some(probing) = &state.shared_load_reports else { return };
        let duties = {
            let mut probing = lock(probing);
            if !probing.start_round(state.clock.now()) { 0 } else { probing.roles() }
        };
        for number in 0..duties {
            let ours = ready.iter().filter(|engine| role_index(u64::from(engine.id), duties) == number);
            let ours: Vec<ReadyEngine> = ours.copied().collect();
            let left = Arc::new(AtomicUsize::new(ours.len()));
            for ReadyEngine { index: engine, id, .. } in ours {
                let name = health_check_role(number);
                let leases = lock(&self.leases);
                let Some(allowed) = leases.permit(&name, self.now()).map(|p| p.allow(HealthCheck { engine }))
                else {
                    break;
                };
                drop(leases);
                let (state, gateways, left) = (state.clone(), gateways.clone(), left.clone());
                may::go!(move || {
                    let report = load_report::fetch(&state, allowed.into_action().engine);
                    if let (Some(report), Some(probing)) = (report, &state.shared_load_reports) {
                        lock(probing).record_own(reading(id, report), state.clock.now());
                    }
                    if left.fetch_sub(1, Ordering::Relaxed) == 1
                        && let Some(duties) = &gateways.duties
                    {
                        duties.tell(&state, &gateways, number);
                    }
                });
            }
        }
    }

    /// What was read under a duty goes to all that live, with its token, while it still lasts.
    fn tell(&self, state: &State, gateways: &Gateways, number: usize) {
        let Some(probing) = &state.shared_load_reports else { return };
        let read = lock(probing).take_unsent(number, state.clock.now());
        let name = health_check_role(number);
        let stamp = |permit: ActionPermit, page| permit.fence(page);
        for page in paginate(read, READINGS) {
            let stamped = lock(&self.leases).permit(&name, self.now()).map(|permit| stamp(permit, page));
            let Some(stamped) = stamped else { return };
            let others: Vec<String> = {
                let members = lock(&gateways.members);
                members.live().map(|(name, _)| name.clone()).filter(|name| *name != self.me.name).collect()
            };
            for to in others {
                self.send(gateways, &to, Payload::LoadReports(stamped.clone()));
            }
        }
    }

    fn send(&self, gateways: &Gateways, to: &str, matter: Payload) {
        let address = lock(&gateways.members).members().get(to).map(|m| m.info.address);
        let Some(address) = address else { return one(&self.counters.unknown) };
        let bytes = Datagram::new(&self.cluster, &self.me, matter).encode();
        if gateways.socket.inner().send_to(&bytes, address).is_ok() {
            one(&self.counters.sent);
        }
    }

    /// Sends, logs and carries out what came of a call. No lock is held here.
    fn take(&self, state: &State, gateways: &Gateways, out: Output) {
        for OutgoingMessage { to, payload } in out.messages {
            self.send(gateways, &to, payload);
        }
        if let (Some(record), Some(records)) = (out.record_to_write, &self.records) {
            // One is under way at a time, so there is room.
            let _ = records.try_send(record);
        }
        self.soon.fetch_or(!out.events.is_empty(), Ordering::Relaxed);
        for LeaseEvent { role: duty, kind } in out.events {
            match kind {
                LeaseEventKind::Acquired { token } => {
                    info!(state.log, "lease acquired"; "token" => token, "lease" => duty)
                }
                LeaseEventKind::Ending { token, reason, successor } => {
                    info!(state.log, "lease ending"; "successor" => successor.unwrap_or_default(),
                        "reason" => format!("{reason:?}"), "token" => token, "lease" => &duty);
                    self.programs.end(&duty);
                    if !self.programs.runs(&duty) {
                        let out = lock(&self.leases).on_work_stopped(&duty, self.now());
                        self.take(state, gateways, out);
                    }
                }
                LeaseEventKind::Lost { token, reason } => {
                    warn!(state.log, "lease lost"; "reason" => format!("{reason:?}"), "token" => token, "lease" => &duty);
                    self.programs.end(&duty);
                }
                LeaseEventKind::Released { token, successor } => {
                    let to = successor.unwrap_or_default();
                    info!(state.log, "lease released"; "successor" => to, "token" => token, "lease" => duty);
                }
            }
        }
    }

    /// A datagram of duties that came from this address.
    pub fn hear(&self, state: &State, gateways: &Gateways, bytes: &[u8], from: SocketAddrV4) {
        one(&self.counters.heard);
        let Ok(letter) = Datagram::decode(bytes, &self.cluster) else {
            return one(&self.counters.spoilt);
        };
        // Who writes is one that membership knows, at the address that it knows it by. A process that was held for dead for
        // a while goes on there under a later generation, and here under that of its start: it is the same one.
        let known = lock(&gateways.members)
            .members()
            .get(&letter.sender.name)
            .is_some_and(|m| m.info.address == from && m.status.generation >= letter.sender.generation);
        if !known {
            return one(&self.counters.unknown);
        }
        match &letter.payload {
            Payload::LoadReports(told) => return self.take_readings(state, told),
            matter @ (Payload::RequestQuotas { .. } | Payload::Quotas { .. }) => {
                return self.hear_of_shares(state, gateways, &letter.sender, matter);
            }
            _ => {}
        }
        let out = lock(&self.leases).on_message(&letter.sender, &letter.payload, self.now());
        self.take(state, gateways, out);
    }

    fn take_readings(&self, state: &State, told: &Fenced<Vec<SharedLoadReport>>) {
        let Some(probing) = &state.shared_load_reports else { return };
        let taken: Option<Vec<SharedLoadReport>> = {
            let mut probing = lock(probing);
            let taken = probing.on_reports(told, state.clock.now());
            taken.map(|readings| readings.into_iter().copied().collect())
        };
        match taken {
            None => warn!(state.log, "load reports rejected"; "token" => told.token, "lease" => &told.role),
            Some(readings) => {
                for reading in readings {
                    one(&self.counters.readings);
                    let (in_hand, busy) = (reading.in_flight.map(f64::from), reading.busy.map(f64::from));
                    state.policy.record_shared_load_report(reading.engine, LoadReport { in_hand, busy });
                }
            }
        }
    }

    /// What became of a record.
    fn kept(&self, state: &State, gateways: &Gateways, kept: io::Result<()>) {
        one(&self.counters.records);
        if let Err(e) = &kept {
            one(&self.counters.records_failed);
            warn!(state.log, "voter record not written"; "error" => e.to_string());
        }
        let out = lock(&self.leases).on_record_written(kept.is_ok(), self.now());
        self.take(state, gateways, out);
    }

    /// By duty: its name, who holds it, its token, what is left in milliseconds, why and when it last ended here.
    pub fn rows(&self) -> Vec<Vec<String>> {
        let now = self.now();
        let leases = lock(&self.leases);
        let row = |view: RoleStatus| {
            let told = |k: &KnownLease| (k.holder.name.clone(), k.token, k.expires_at);
            let held_here = |held: HeldLease| (self.me.name.clone(), held.token, held.expires_at);
            let here = view.held.map(held_here);
            let held = here.or(view.known.map(told));
            let left = |until: Timestamp| until.since(now).micros() / 1000;
            let (holder, token, left) =
                held.map_or((String::new(), 0, 0), |(name, token, until)| (name, token, left(until)));
            let last = |LastEnd { reason, at }| {
                format!("{} {:.1} s ago", reason.status_word(), now.since(at).secs())
            };
            let last = view.last_end.map_or(String::new(), last);
            vec![view.role.to_owned(), holder, token.to_string(), left.to_string(), last]
        };
        leases.statuses(now).map(row).collect()
    }

    /// What a capacity is called in the log and by `larchfall shares`.
    fn word(&self, key: u64) -> String {
        match Capacity::from_key(key) {
            Some(Capacity::SlowStart(id)) => format!("cold/{id:08x}"),
            Some(Capacity::Threads(id)) => format!("threads/{id:08x}"),
            Some(what) => {
                let name = |at: usize| self.names.get(at).cloned().unwrap_or_default();
                let known = self.shared.tenants.iter().position(|other| *other == what);
                format!("customer/{}", known.map_or(String::new(), name))
            }
            None => format!("{key}"),
        }
    }

    /// By capacity: what it is called, this gateway's part, whether that was handed out; where it is kept here, how many
    /// have a share, what may be in use, and how fair that is.
    pub fn share_rows(&self) -> Vec<Vec<String>> {
        let Some(shares) = &self.shares else { return Vec::new() };
        let (now, shares) = (self.now(), lock(shares));
        let by_capacity = |status: AllocationStatus| (status.capacity, status.fairness);
        let kept: BTreeMap<u64, Fairness> = shares.allocations(now).map(by_capacity).collect();
        let row = |QuotaStatus { capacity: key, fraction: part, granted }| {
            let handed = if granted { "handed out" } else { "by itself" };
            let mut row = vec![self.word(key), format!("{part:.4}"), handed.to_owned()];
            let fair = kept.get(&key).map(|fair| {
                let factor = fair.best_to_worst.map_or("none".to_owned(), |f| format!("{f:.2}"));
                [
                    fair.gateways.to_string(),
                    format!("{:.4}", fair.in_use),
                    format!("{:.4}", fair.jain_index),
                    factor,
                ]
            });
            row.extend(fair.unwrap_or_default());
            row
        };
        let mut rows: Vec<Vec<String>> = shares.quotas(now).map(row).collect();
        rows.sort();
        rows
    }

    pub fn log(&self, state: &State) {
        let c = &self.counters;
        let n = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let ids = state.policy.ready_engines().into_iter().map(|engine| u64::from(engine.id));
        let (refused, ages) =
            state.shared_load_reports.as_ref().map_or((0, ReportAges::default()), |probing| {
                let probing = lock(probing);
                (probing.rejected(), probing.report_ages(ids, state.clock.now()))
            });
        info!(state.log, "lease counters"; "received" => n(&c.heard), "sent" => n(&c.sent), "unknown" => n(&c.unknown),
            "corrupt" => n(&c.spoilt), "records_written" => n(&c.records), "records_failed" => n(&c.records_failed),
            "load_reports" => n(&c.readings), "load_reports_rejected" => refused, "quota_messages" => n(&c.shares),
            "load_reports_age_ms" => ages.mean_age.micros() / 1000,
            "engines_without_report" => ages.engines_without_report);
        if let Some(shares) = &self.shares {
            let (now, shares) = (self.now(), lock(shares));
            let granted = shares.quotas(now).filter(|quota| quota.granted).count();
            let allocated = shares.allocations(now).count();
            let text = |quota: QuotaStatus| format!("{}:{:.4}", self.word(quota.capacity), quota.fraction);
            let parts: Vec<String> = shares.quotas(now).map(text).collect();
            info!(state.log, "quotas"; "fractions" => parts.join(" "), "allocated" => allocated, "granted" => granted);
            for AllocationStatus { capacity: key, fairness: fair } in shares.allocations(now) {
                info!(state.log, "quota allocation"; "capacity" => self.word(key), "gateways" => fair.gateways,
                    "in_use" => fair.in_use, "jain" => fair.jain_index, "factor" => fair.best_to_worst.unwrap_or(f64::INFINITY));
            }
        }
        for row in self.rows() {
            info!(state.log, "lease"; "name" => &row[0], "holder" => &row[1], "token" => &row[2],
                "remaining_ms" => &row[3], "last_change" => &row[4]);
        }
    }
}

fn reading(id: u32, report: LoadReport) -> SharedLoadReport {
    let narrow = |n: Option<f64>| n.map(|n| n as f32);
    SharedLoadReport {
        engine: u64::from(id),
        age_us: 0,
        in_flight: narrow(report.in_hand),
        busy: narrow(report.busy),
    }
}

/// The thread that keeps records, before it runs.
pub struct Keeper {
    disk: Box<dyn Disk>,
    taken: Receiver<VoterRecord>,
}

impl Keeper {
    pub fn run(self, state: &Arc<State>, gateways: &Arc<Gateways>) -> io::Result<()> {
        let (state, gateways) = (state.clone(), gateways.clone());
        parts::keeper(self.disk, self.taken, move |kept| {
            if let Some(duties) = &gateways.duties {
                duties.kept(&state, &gateways, kept);
            }
        })
    }
}
