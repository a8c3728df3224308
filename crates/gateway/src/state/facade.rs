//! The decisions in blocking style. Nothing else calls the module: a request is taken, asked about with `pick`,
//! rests while it has to wait, and each attempt's outcome goes to `report`; `tick` runs from the one timer.

use super::alarms::Alarms;
use super::clock::Clock;
use super::engines::{Engines, Home};
use super::lock;
use crate::wire::discovery::Event;
use larchfall_health_gossip::EngineProcess;
use larchfall_health_gossip::counts::ProcessCounts;
use larchfall_health_gossip::observations::{Observation, Observations, Report};
use larchfall_policy::event::{Evidence, PolicyEvent};
use larchfall_policy::interface::*;
use larchfall_policy::policy::Policy;
use larchfall_policy::time::Timestamp;
use larchfall_quotas::capacity::Capacity;
use larchfall_quotas::demand::Came;
use may::sync::Blocker;
use slab::Slab;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::{Arc, Mutex};

pub use larchfall_policy::policy::TICK;

/// Why a request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    NoRoom,
    /// Another under the same id is in hand. Engines know queries by that id alone: giving up the second would
    /// give up the first.
    InHand,
}

/// What this gateway makes of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Verdict {
    pub process: EngineProcess,
    pub state: EngineState,
    pub failing: bool,
    pub congested: bool,
    /// Within its subset, or no subsets are on.
    pub used: bool,
}

/// A request in hand.
#[derive(Default)]
struct InHand {
    id: u64,
    /// The client left; `true` inside when what is out is to be called off.
    left: Option<bool>,
    resting: Option<Arc<Blocker>>,
}

struct Inner {
    policy: Policy,
    engines: Engines,
    hand: Slab<InHand>,
    ids: HashSet<u64>,
    came: Came,
    careful: Option<f64>,
    /// Engines that this gateway uses, by id, where it does not use all, and the part of each that is its own.
    used: Option<BTreeMap<u32, f64>>,
    /// What this gateway saw of engines, where others are told.
    sights: Option<Observations>,
}

impl Inner {
    fn uses(&self, id: u32) -> bool {
        self.used.as_ref().is_none_or(|used| used.contains_key(&id))
    }

    /// This gateway's part of an engine among those that use it, where the plan says one.
    fn mine(&self, id: u32) -> Option<f64> {
        self.used.as_ref()?.get(&id).copied().filter(|part| *part > 0.0)
    }
}

pub struct Facade {
    inner: Mutex<Inner>,
    clock: Clock,
    most: usize,
    alarms: Arc<Alarms>,
}

impl Facade {
    pub fn new(policy: Policy, clock: Clock, most: usize, alarms: Arc<Alarms>) -> Facade {
        let (engines, hand, ids, came) = (Engines::default(), Slab::new(), HashSet::new(), Came::default());
        let inner = Inner { policy, engines, hand, ids, came, careful: None, used: None, sights: None };
        Facade { inner: Mutex::new(inner), clock, most, alarms }
    }

    pub fn take(&self, id: u64, request: Request) -> Result<usize, NotTaken> {
        let mut inner = lock(&self.inner);
        if inner.hand.len() >= self.most {
            return Err(NotTaken::NoRoom);
        }
        if !inner.ids.insert(id) {
            return Err(NotTaken::InHand);
        }
        let b = inner.hand.insert(InHand { id, ..InHand::default() });
        inner.came.add(request.class, request.tenant);
        inner.policy.admit(self.clock.now(), b, request);
        Ok(b)
    }

    /// Where to send this request, or not yet, or never.
    pub fn pick(&self, b: usize) -> RoutingDecision {
        lock(&self.inner).policy.route(self.clock.now(), b)
    }

    /// The final answer of a request whose time is up, while the end of what is out is still waited for.
    pub fn give_up(&self, b: usize) -> RoutingDecision {
        lock(&self.inner).policy.finish_unanswered(b)
    }

    /// Blocks until it is time to ask again, or something happened to the request.
    pub fn rest(&self, b: usize) {
        let blocker = Blocker::current();
        let at = {
            let mut guard = lock(&self.inner);
            let inner = &mut *guard;
            let at = inner.policy.next_check(self.clock.now(), b);
            let Some(hand) = inner.hand.get_mut(b).filter(|h| h.left.is_none()) else { return };
            hand.resting = Some(blocker.clone());
            at
        };
        self.alarms.park(&blocker, at);
        lock(&self.inner).hand.get_mut(b).into_iter().for_each(|hand| hand.resting = None);
    }

    /// What became of a attempt, and what to do after it.
    pub fn report(&self, b: usize, number: u8, answer: &AttemptResult) -> AfterAttempt {
        lock(&self.inner).policy.on_attempt_finished(self.clock.now(), b, number, answer)
    }

    /// Others are to be told what this gateway sees, of so many processes at most.
    pub fn notes_sights(&self, most: usize) {
        lock(&self.inner).sights = Some(Observations::new(most));
    }

    /// What a attempt to the process that had this index then tells of it.
    pub fn saw(&self, e: usize, home: Home, outcome: Outcome) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let Some((sights, saw)) = inner.sights.as_mut().zip(Observation::of(outcome)) else { return };
        if let Some(process) = inner.engines.process(e).filter(|_| inner.engines.home(e) == Some(home)) {
            sights.record(process, saw, self.clock.now());
        }
    }

    /// The number and entries of a letter about it, where there is anything.
    pub fn sights_to_tell(&self, most: usize) -> Option<Report> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let sights = inner.sights.as_mut()?;
        sights.retain(|process| inner.engines.of_process(process).is_some());
        Some(sights.next_report(most, self.clock.now())).filter(|report| !report.entries.is_empty())
    }

    /// All processes of engines that are listed and not gone.
    pub fn processes(&self) -> Vec<EngineProcess> {
        lock(&self.inner).engines.processes()
    }

    /// An outcome that others saw there.
    pub fn told_of(&self, process: EngineProcess, bad: bool) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        if let Some(e) = inner.engines.of_process(process) {
            inner.policy.record_engine_outcome(self.clock.now(), e, bad, Evidence::Gossip);
        }
    }

    /// All that this gateway saw itself.
    pub fn own_sights(&self) -> Vec<ProcessCounts> {
        lock(&self.inner).sights.iter().flat_map(Observations::all).collect()
    }

    /// Processes that the module judges failing.
    pub fn failing(&self) -> Vec<EngineProcess> {
        self.verdicts().into_iter().filter(|x| x.failing).map(|x| x.process).collect()
    }

    /// All that are listed and not gone.
    pub fn verdicts(&self) -> Vec<Verdict> {
        let inner = lock(&self.inner);
        let verdict = |(e, process, state): (usize, EngineProcess, EngineState)| {
            let EngineHealth { ejected, congested } = inner.policy.engine_health(e).unwrap_or_default();
            Verdict { process, state, failing: ejected, congested, used: inner.uses(process.id) }
        };
        inner.engines.standing().map(verdict).collect()
    }

    /// Whether it is this gateway's turn to try a process that is left out.
    pub fn turn(&self, process: EngineProcess, mine: bool) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        if let Some(e) = inner.engines.of_process(process) {
            inner.policy.set_probe_slot(e, mine);
        }
    }

    /// The coroutine of this request ended without a word.
    pub fn lost(&self, b: usize) {
        lock(&self.inner).policy.abandon(self.clock.now(), b);
    }

    /// So many gateways are to be counted.
    pub fn count(&self, gateways: usize) {
        lock(&self.inner).policy.set_gateway_count(gateways);
    }

    /// This gateway ends then.
    pub fn end_by(&self, at: Timestamp) {
        lock(&self.inner).policy.set_shutdown_deadline(at);
    }

    pub fn note(&self, b: usize, number: u8, note: ProgressUpdate) {
        lock(&self.inner).policy.on_progress(self.clock.now(), b, number, note);
    }

    /// The client left: nothing more is owed.
    pub fn leave(&self, b: usize) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let Some(hand) = inner.hand.get_mut(b).filter(|h| h.left.is_none()) else { return };
        hand.left = Some(!inner.policy.on_client_disconnected(b).is_empty());
        if let Some(resting) = hand.resting.take() {
            resting.unpark();
        }
    }

    /// Whether the client left, and if so whether what is out is to be called off.
    pub fn left(&self, b: usize) -> Option<bool> {
        lock(&self.inner).hand.get(b).and_then(|h| h.left)
    }

    /// A request that is over, with nothing of it out: its index is free.
    pub fn release(&self, b: usize) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let Some(hand) = inner.hand.try_remove(b) else { return };
        inner.ids.remove(&hand.id);
    }

    pub fn in_hand(&self) -> usize {
        lock(&self.inner).hand.len()
    }

    /// The periodic work; the engines that are to be asked for a report.
    pub fn tick(&self) -> Vec<usize> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let now = self.clock.now();
        inner.policy.tick(now);
        for e in inner.engines.gone() {
            if inner.policy.forget_engine(now, e) {
                inner.engines.forget(e);
            }
        }
        inner.policy.health_checks()
    }

    pub fn take_events(&self) -> Vec<PolicyEvent> {
        lock(&self.inner).policy.take_events()
    }

    /// The report of the engine that had this index when it was asked.
    pub fn probed(&self, e: usize, home: Home, report: LoadReport) {
        let mut inner = lock(&self.inner);
        if inner.engines.home(e) == Some(home) {
            inner.policy.on_load_report(self.clock.now(), e, report);
        }
    }

    /// A report of an engine that another gateway asked.
    pub fn told(&self, id: u64, report: LoadReport) {
        let mut inner = lock(&self.inner);
        if let Some(e) = u32::try_from(id).ok().and_then(|id| inner.engines.of_id(id)) {
            inner.policy.on_load_report(self.clock.now(), e, report);
        }
    }

    /// How many engines the list names, and those that are ready with their ids.
    pub fn listed(&self) -> (usize, Vec<(usize, u32)>) {
        lock(&self.inner).engines.listed()
    }

    /// Those that are ready, by id, and whether they are cold by this rule.
    pub fn ready(&self, rule: &SlowStartPolicy) -> Vec<(u32, Engine, bool)> {
        let (inner, now) = (lock(&self.inner), self.clock.now());
        let used = inner.engines.ready().into_iter().filter(|(_, id, _)| inner.uses(*id));
        used.map(|(_, id, x)| (id, x, rule.capacity_factor(x.started, now) < 1.0)).collect()
    }

    /// All that are ready, used or not, by id.
    pub fn listed_ready(&self) -> Vec<(u32, Engine)> {
        lock(&self.inner).engines.ready().into_iter().map(|(_, id, x)| (id, x)).collect()
    }

    /// The verdict on an engine.
    pub fn engine_health(&self, id: u32) -> Option<EngineHealth> {
        let inner = lock(&self.inner);
        inner.engines.of_id(id).and_then(|e| inner.policy.engine_health(e))
    }

    /// From now on this gateway uses only engines that it is told to; until then those that it knows.
    pub fn narrow(&self) {
        let mut inner = lock(&self.inner);
        let known = inner.engines.ready().into_iter().map(|(_, id, _)| (id, 0.0)).collect();
        inner.used = Some(known);
    }

    /// It uses these, each with its part among those that do; the others are taken like engines that drain.
    pub fn use_engines(&self, used: &BTreeSet<u32>, parts: BTreeMap<u32, f64>) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let before =
            inner.used.replace(used.iter().map(|id| (*id, parts.get(id).copied().unwrap_or(0.0))).collect());
        if before == inner.used {
            return;
        }
        for (e, id, _) in inner.engines.ready() {
            inner.policy.set_in_subset(e, used.contains(&id));
            inner.policy.set_engine_quota(e, inner.careful, parts.get(&id).copied());
        }
    }

    /// What came so far, by request class and tenant.
    pub fn came(&self) -> Came {
        lock(&self.inner).came.clone()
    }

    /// From now on somebody hands out shares: until one is, this is the part of what a cold engine bears.
    pub fn careful(&self, part: f64) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        inner.careful = Some(part);
        inner.engines.ready().iter().for_each(|(e, ..)| inner.policy.set_engine_quota(*e, Some(part), None));
    }

    /// This gateway's parts of what engines bear and of tenants' allowances; of all others they are even ones.
    pub fn share(&self, tenants: &[Capacity], parts: &BTreeMap<Capacity, f64>) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        for (e, id, _) in inner.engines.ready() {
            let part = |what| parts.get(&what).copied();
            let slow_start = part(Capacity::SlowStart(id)).or(inner.careful);
            inner.policy.set_engine_quota(e, slow_start, part(Capacity::Threads(id)).or(inner.mine(id)));
        }
        for (c, tenant) in tenants.iter().enumerate() {
            inner.policy.set_tenant_quota(c, parts.get(tenant).copied());
        }
    }

    pub fn id(&self, e: usize) -> Option<u32> {
        lock(&self.inner).engines.id(e)
    }

    /// The discovery service said something, be it that there is nothing new: the list holds as of then.
    pub fn heard(&self, at: Timestamp) {
        lock(&self.inner).policy.confirm_endpoint_list(at);
    }

    /// Takes in an event of the discovery service; the engines whose connections are of no more use.
    pub fn follow(&self, event: &Event) -> Vec<usize> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let changes = inner.engines.follow(event);
        let now = self.clock.now();
        for (e, engine) in &changes.told {
            inner.policy.update_engine(now, *e, *engine);
            if changes.new.contains(e) {
                // Until they are looked at: no more of a cold one than is kept back, and nothing outside of a subset.
                let id = inner.engines.id(*e);
                if inner.careful.is_some() {
                    inner.policy.set_engine_quota(*e, inner.careful, id.and_then(|id| inner.mine(id)));
                }
                inner.policy.set_in_subset(*e, id.is_none_or(|id| inner.uses(id)));
            }
        }
        let gone = changes.told.iter().filter(|(_, engine)| engine.state == EngineState::Gone);
        gone.map(|(e, _)| *e).chain(changes.moved).collect()
    }

    /// The last event of the discovery service that was taken in.
    pub fn seen(&self) -> u64 {
        lock(&self.inner).engines.seen()
    }

    /// Whether a attempt that was picked for this process may begin there now; `fresh` where it was picked so lately
    /// that one which drains by now may still have it.
    pub fn may_begin(&self, b: usize, number: u8, (e, home): (usize, Home), fresh: bool) -> bool {
        let inner = lock(&self.inner);
        inner.engines.is_open(e, home, fresh) && inner.policy.may_begin(self.clock.now(), b, number)
    }

    /// None once it is gone and nothing of this gateway's is out there.
    pub fn home(&self, e: usize) -> Option<Home> {
        lock(&self.inner).engines.home(e)
    }
}
