//! All decisions of a gateway. `take` a request, ask `place` where it goes until that says `NotYet` or gives a
//! final answer, then ask `wait` when to ask again; tell each outcome to `after`. The engine list, notes and
//! the periodic `tick` are told besides; `probes` is asked after it. Types: `interface.rs`; the calls: `impl
//! Policy` at the end. The ordinary path: a request takes the ready engine with most free budget of its class;
//! budgets (threads per engine and class) move each tick by asymmetric AIMD on one congestion signal and bind
//! only while the engine's last tick read congested; with no room anywhere it is pushed back at once.

use crate::interface::*;
use crate::time::{Duration, Timestamp};
use account::Account;
use nanorand::{Rng, WyRand};
use retry_budget::RetryBudget;
use std::collections::{BTreeMap, VecDeque};

pub mod account;
mod retry_budget;

// Per rank, the highest first: threads added in a calm second, factor of a congested one, priority sent.
const RANKS: [(f64, f64, u8); 3] = [(1.5, 0.8, 3), (1.0, 0.6, 2), (0.5, 0.4, 1)];
// Shorter than the page's second, with the steps scaled to it: a jam builds up in less than that.
pub const TICK: Duration = Duration::from_millis(250);
// Share of what a tick heard of and what is out that may be late before it reads congested.
const LATE_SHARE: f64 = 0.2;
// What was heard counts this much a tick later.
const FADE: f64 = 0.8;
// Even shares of a step that a gateway's bound grows by while nothing is late, and the late share that ends it.
const PACE: f64 = 3.0;
const CALM_SHARE: f64 = 0.06;
// Answers of all engines, at their late share, added to each one's: one of many gateways hears few of its own.
const POOLED: f64 = 4.0;
// Few of many gateways peak at once: in a pool the mean counts, moved by this part, up to this many bounds.
const MEAN_STEP: f64 = 0.125;
const PEAK: f64 = 3.0;
// Less than this many answers, faded, is hearing nothing.
const HEARD: f64 = 0.25;
const THREADS_A_CORE: f64 = 1.5;
// A request that waits for its key's turn is looked at this often; one that is out, each tick's span.
const KEY_LOOK: Duration = Duration::from_millis(20);
const MOST_FURTHER: usize = 2;
// The sequential test: share of bad outcomes of a sound and of a failing engine, and evidence enough.
const SOUND_BAD: f64 = 0.05;
const FAILING_BAD: f64 = 0.5;
// What goes wrong at all engines alike (cut connections, mistakes of clients) is held against none: a sound
// one may be so many times as bad as all, up to a most; what this mean starts with, and how it fades.
const SOUND_TIMES: f64 = 3.0;
const SOUND_MOST: f64 = 0.6;
const SOUND_MEAN: (f64, f64) = (100.0, 0.997);
const EVIDENCE: f64 = 4.0;
// A failing engine is cleared when its trials have taken the evidence down to this share.
const CLEARED: f64 = 0.5;
// Above this share of failing engines it is the net or the work, not the engines: then none is left out.
const MOST_FAILING: f64 = 0.5;
const TRIAL_FIRST: Duration = Duration::from_millis(1000);
const TRIAL_MOST: Duration = Duration::from_millis(8000);
// Threads of free budget for each second that a trial is overdue: thin traffic must not leave it out.
const TRIAL_DRAWS: f64 = 1.0;
// An engine that comes back sooner is the same one: what a cold one was sent still counts.
const GONE_FOR: Duration = Duration::from_millis(10_000);
// A attempt should have brought a note by this many periods of notes.
const NOTE_SLACK: f64 = 1.6;
// What this gateway spends of its part of the cold rule's budget: estimates of work scatter.
const SLOW_START_SPEND: f64 = 0.85;
// The part of the rule's window that a turn lasts, and the part of all gateways by which turns go on: with
// this one, those of the last few turns lie evenly apart.
const SLOW_START_TURN: f64 = 0.25;
const SLOW_START_STEP: f64 = 0.618_033_988_75;
// A attempt that its pace makes this many times the usual stretch of its estimate has gone wrong.
const ASTRAY: f64 = 4.0;
// Threads of free budget that a data set read there lately is worth, and an engine in this gateway's own zone.
const WARM_WORTH: f64 = 2.0;
const WARM_SETS: usize = 4;
const ZONE_WORTH: f64 = 1.0;
// And a connection at hand, where a new one costs a whole request.
const LINK_WORTH: f64 = 10.0;
// Probes a request taken, where own counts show next to nothing, and the part of a request's utility they may
// cost; how long a load told counts, less as it ages.
const PROBES: f64 = 0.5;
const PROBES_COST: f64 = 0.0055;
const TOLD_LASTS: Duration = Duration::from_millis(1200);
// A tenant may run this far ahead of its share; beyond it, it gets engines filled to this part only.
const SHARE_DEPTH: Duration = Duration::from_millis(2000);
// And this many requests, since few come by chance in clusters.
const SHARE_CHANCE: f64 = 6.0;
const BEYOND_SHARE_FILL: f64 = 0.7;
// How far over its share of what engines hold a gateway's bound may go, and how that share fades an answer.
const SHARE_ROOM: f64 = 1.75;
const SHARE_FADE: f64 = 0.998;
// Memory over the estimate at first; its steps after a spill and after none: one spill in eight.
const GRANT_FIRST: f64 = 1.25;
const GRANT_STEPS: (f64, f64) = (1.07, 0.99);
const GRANT_BOUNDS: (f64, f64) = (0.3, 5.0);
// The gateway sees overload while this part of the ready engines reads congested.
const OVERLOAD_SHARE: f64 = 0.5;

/// Budgets of running threads of one engine, one a request class.
#[derive(Default)]
struct Budgets {
    budget: Vec<f64>,
    running: Vec<f64>,
    ceiling: f64,
    /// Threads of all classes together that this gateway has seen the engine bear.
    bears: f64,
    /// Mean of what was out there lately.
    mean: f64,
    requests: usize,
    /// Of them past their response goal, or foretold to be.
    overdue: f64,
    /// The part of a step that this gateway takes: all add up, and each hears its part of the answers.
    share: f64,
    congested: bool,
    // What this tick has shown so far.
    answers: f64,
    late: f64,
    jammed: bool,
}

impl Budgets {
    fn new(cores: f64, gateways: usize, asked: &[f64]) -> Budgets {
        let (ceiling, all) = ((cores * THREADS_A_CORE).max(1.0), asked.iter().sum::<f64>().max(1e-9));
        let budget = asked.iter().map(|a| ceiling / gateways as f64 * (a / all)).collect();
        let (share, running) = (1.0 / gateways as f64, vec![0.0; asked.len()]);
        Budgets { budget, running, ceiling, bears: ceiling * share, share, ..Budgets::default() }
    }

    /// Another part of the engine is this gateway's: what it learnt goes along.
    fn take(&mut self, share: f64) {
        let by = share / self.share;
        (self.bears, self.share) = ((self.bears * by).min(self.ceiling), share);
        self.budget.iter_mut().for_each(|budget| *budget *= by);
    }

    /// How little of the engine this gateway's own count shows: near one where its bound is under a request.
    fn foreign(&self) -> f64 {
        1.0 / (1.0 + self.bears)
    }

    fn free(&self, class: usize) -> f64 {
        self.budget[class] - self.running[class]
    }

    /// Budgets bind only while the last tick read congested.
    fn has_room(&self, class: usize, threads: f64, within_share: bool, pool: &Pool) -> bool {
        if !within_share && (self.congested || self.is_full(threads, pool, BEYOND_SHARE_FILL)) {
            return false;
        }
        // A budget under one request has room for it while the budgets of all engines add up to that.
        let adds_up = self.budget[class] < threads && self.running[class] <= 0.0 && pool.free >= threads;
        !(self.congested || self.is_full(threads, pool, 1.0)) || self.free(class) >= threads || adds_up
    }

    /// Lateness shows only after a response goal, when an engine that takes all overflow is stuffed: more out
    /// than it has borne on time counts too, and under one request a gateway what all bounds add up to.
    fn is_full(&self, threads: f64, pool: &Pool, part: f64) -> bool {
        self.fill() >= self.bears * part || self.bears < threads && pool.fill >= pool.bears * part
    }

    fn fill(&self) -> f64 {
        self.running.iter().sum()
    }

    /// What is out past its goal reads as late before it answers: a stuffed engine answers nothing at all.
    fn tick(&mut self, ranks: &[usize], threads: &[f64], pool: &Pool, full: bool, most: f64) {
        let was = self.congested;
        self.mean += (self.fill() - self.mean) * MEAN_STEP;
        let late_share = pool.late / (pool.heard + POOLED);
        let heard = self.answers + self.requests as f64 + POOLED;
        let late = self.late + self.overdue + POOLED * late_share;
        let late = self.jammed || late > HEARD.max(heard * LATE_SHARE);
        let (step, even) = (TICK.secs(), self.ceiling * self.share);
        // Floors of many gateways add up to a jam: then each keeps a part of them.
        let floor = (even / threads.iter().sum::<f64>()).min(1.0);
        if late {
            self.bears *= RANKS[0].1.powf(step);
        } else if full && pool.answers > HEARD {
            // Few gateways overshoot by the grain of a request, many learn slowly: fast in calm, under one request.
            let calm = (1.0 - late_share / CALM_SHARE).max(0.0);
            let many = PACE * calm / (1.0 + self.bears.powi(2));
            let pace = self.share * (2.0 * self.share * (1.0 + 2.0 * calm) + many);
            self.bears = (self.bears + RANKS[0].0 * step * pace.min(1.0)).min(self.ceiling * most);
        }
        // A tick that heard nothing while something is out has read nothing.
        self.congested = late || full || (was && self.answers <= HEARD && self.requests > 0);
        for (g, budget) in self.budget.iter_mut().enumerate() {
            let (add, factor, _) = RANKS[ranks[g]];
            if self.congested && !was {
                // Room that was never used says nothing of what the engine bears.
                *budget = budget.min(self.running[g]);
            }
            // Fullness alone shows no overload: it binds where it stands, and only lateness cuts.
            let added = if self.congested { 0.0 } else { add * step };
            *budget = if late { *budget * factor.powf(step) } else { *budget + added };
            *budget = budget.min(self.ceiling.max(threads[g])).max(threads[g] * floor);
        }
        // Single late answers on thin traffic are chance: what was heard fades over a few ticks.
        (self.answers, self.late, self.jammed) = (self.answers * FADE, self.late * FADE, false);
        self.overdue = 0.0;
    }
}

/// What engines show together, all or those of one kind. An even share of one may be less than one request, and
/// what a gateway hears of it next to nothing; both add up over engines, however many gateways there are.
#[derive(Default)]
struct Pool {
    bears: f64,
    fill: f64,
    free: f64,
    answers: f64,
    late: f64,
    heard: f64,
}

impl Pool {
    fn add(&mut self, b: &Budgets, class: usize, warm: f64) {
        self.bears += b.bears * warm;
        self.fill += b.mean.max(b.fill() / PEAK);
        self.free += b.free(class);
        self.answers += b.answers;
        self.late += b.late + b.overdue;
        self.heard += b.answers + b.requests as f64;
    }
}

/// A tenant's share: a bucket, filled at this gateway's part of the allowance, which somebody may hand out.
struct Share {
    quota_rate: f64,
    part: Option<f64>,
    left: f64,
    at: Timestamp,
}

impl Share {
    /// Whether a request lies within it; it then uses some of it up. No allowance is no bound.
    fn within(&mut self, part: f64, now: Timestamp) -> bool {
        let rate = self.quota_rate * self.part.unwrap_or(part);
        let most = rate * SHARE_DEPTH.secs() + SHARE_CHANCE;
        self.left = (self.left + now.since(self.at).secs() * rate).min(most);
        self.at = now;
        let within = self.left >= 1.0;
        self.left -= f64::from(within);
        within || self.quota_rate <= 0.0
    }
}

/// Rule 4: what this gateway sent a cold engine lately, as usual work, against its even share of what all may,
/// which holds however uneven traffic is. What is over that share goes by turns: few gateways send at a time.
#[derive(Default)]
struct SlowStart {
    sent: VecDeque<(Timestamp, f64)>,
}

impl SlowStart {
    fn allows(&mut self, window: Duration, share: f64, work: f64, turn: bool, now: Timestamp) -> bool {
        self.sent.retain(|(at, _)| now.since(*at) <= window);
        let spent: f64 = self.sent.iter().map(|(_, w)| w).sum();
        spent + work <= share * SLOW_START_SPEND || (spent <= 0.0 && turn)
    }
}

/// Gateways that have a turn in the rule's window, for each request of the mix of (requests, work): what goes by
/// turns stays within what shares leave of the budget, and a part of the slack: more where they leave all.
fn slow_start_turns(all: f64, share: f64, mix: &[(f64, f64)]) -> f64 {
    let (by_turns, fit): (Vec<_>, Vec<_>) =
        mix.iter().partition(|(_, work)| *work > share * SLOW_START_SPEND);
    let sum = |mix: &[(f64, f64)]| mix.iter().map(|(n, work)| n * work).sum::<f64>();
    let mean = sum(mix) / mix.iter().map(|(n, _)| n).sum::<f64>();
    let requests = all / mean;
    let slack = if requests < 30.0 { 3.0 * requests.sqrt() + 3.0 } else { 2.0 * requests.sqrt() + 2.0 };
    let (left, of_slack) = if fit.is_empty() { (all, 0.75) } else { (all * (1.0 - SLOW_START_SPEND), 0.5) };
    let left = left + slack * mean * of_slack;
    left / sum(&by_turns).max(1e-9) / (1.0 + SLOW_START_TURN)
}

/// The sequential test on an engine's outcomes: evidence for a failing one adds up, sound outcomes take it
/// down. A failing engine gets a trial now and then; good ones or a new start clear it.
#[derive(Default)]
struct Health {
    evidence: f64,
    failing: bool,
    trial_at: Timestamp,
    trial_gap: Duration,
}

impl Health {
    /// One outcome; true when the verdict changes. A failing engine comes back by the same test, over trials
    /// one after the other: a single good answer would bring back one that errors on every other request.
    fn see(&mut self, bad: bool, mean: &mut (f64, f64), now: Timestamp) -> bool {
        let sound = (SOUND_TIMES * mean.0 / (mean.1 + SOUND_MEAN.0)).clamp(SOUND_BAD, SOUND_MOST);
        let failing = FAILING_BAD + (sound - SOUND_BAD) / 2.0;
        let step = if bad { failing / sound } else { (1.0 - failing) / (1.0 - sound) }.ln();
        self.evidence = (self.evidence + step).clamp(0.0, EVIDENCE);
        if !self.failing {
            *mean = (mean.0 * SOUND_MEAN.1 + f64::from(bad), mean.1 * SOUND_MEAN.1 + 1.0);
            self.failing = self.evidence >= EVIDENCE;
            (self.trial_gap, self.trial_at) = (TRIAL_FIRST, now + TRIAL_FIRST);
            return self.failing;
        }
        self.trial_gap = (self.trial_gap * if bad { 2.0 } else { 1.0 }).min(TRIAL_MOST);
        self.trial_at = now + if bad { self.trial_gap } else { Duration::ZERO };
        self.failing = self.evidence > EVIDENCE * CLEARED;
        !self.failing
    }
}

/// A request class's usual work and how its estimates lean, learnt from answers.
struct Usual {
    hinted: f64,
    lean: f64,
    told: Option<f64>,
    count: f64,
    /// Time taken over the estimated time, as it mostly is lately.
    stretch: f64,
    /// Memory granted over the estimate, so that few spill.
    grant: f64,
}

impl Usual {
    /// Until estimates come, the work that the response goal has room for: the cold rule needs some.
    fn new(class: &RequestClass) -> Usual {
        let (hinted, lean, told, count) = (class.latency_objective.secs() * class.threads, 1.0, None, 0.0);
        Usual { hinted, lean, told, count, stretch: 1.5, grant: GRANT_FIRST }
    }

    fn work(&self, hint: Option<Duration>) -> Option<f64> {
        hint.map(|h| h.secs() * self.lean)
            .or(self.told)
            .or((self.count > 0.0).then_some(self.hinted * self.lean))
    }

    /// The mean that the cold rule goes by.
    fn mean(&self) -> f64 {
        self.told.unwrap_or(self.hinted * self.lean.max(1.0)).max(0.001)
    }

    fn hint(&mut self, hint: Option<Duration>) {
        let Some(hint) = hint else { return };
        self.count = (self.count + 1.0).min(500.0);
        self.hinted += (hint.secs() - self.hinted) / (self.count + POOLED);
    }

    /// A attempt whose pace foretells more than this has gone astray; without an estimate none has.
    fn astray_from(&self, work: Option<f64>, threads: f64) -> Duration {
        work.map_or(Duration::from_secs(f64::MAX), |w| {
            Duration::from_secs(w / threads * self.stretch * ASTRAY)
        })
    }

    /// Where answers tell the work it is learnt as told. Elsewhere the lean follows a low quantile of time
    /// times threads over the hint: an answer is never faster than its work, and most wait a little.
    fn learn(&mut self, hint: Option<Duration>, work: Option<f64>, told: Option<Duration>, took: f64) {
        if let Some(work) = work {
            let ratio = (took / work.max(0.001)).clamp(0.5, 20.0);
            self.stretch *= (ratio / self.stretch).powf(0.03);
        }
        if let Some(told) = told {
            let mean = self.told.get_or_insert(told.secs());
            *mean += (told.secs() - *mean) * 0.02;
        }
        let Some(hint) = hint.filter(|h| h.micros() > 0) else { return };
        match told {
            Some(told) => self.lean *= ((told / hint).max(0.01) / self.lean).powf(0.03),
            None if took / hint.secs() < self.lean => self.lean *= 0.98,
            None => self.lean *= 1.01,
        }
        self.lean = self.lean.clamp(0.1, 10.0);
    }
}

#[derive(Default)]
struct EngineNow {
    told: Engine,
    told_at: Timestamp,
    budgets: Budgets,
    slow_start: SlowStart,
    health: Health,
    heard: Timestamp,
    /// Of what is out there, notes overdue this tick.
    missed: usize,
    /// Its load by what it told and how slow its answers were, in parts of the usual, and when.
    load: (f64, Timestamp),
    /// Data sets held there: by how many of this gateway's own, and till when by what notes told.
    held: BTreeMap<u32, (usize, Timestamp)>,
    /// The data sets last sent there, the latest first.
    warm: VecDeque<u32>,
    /// When a attempt last ended there with a word of the engine's, which leaves its connection.
    linked: Option<Timestamp>,
    /// This gateway's part of what it bears while cold, where somebody hands parts out.
    part: Option<f64>,
    /// Ready, but outside of the subset that this gateway uses.
    unused: bool,
    /// Left out, and another gateway's turn to try it.
    waits: bool,
}

impl EngineNow {
    fn is_ready(&self) -> bool {
        self.told.state == EngineState::Ready
    }

    fn is_used(&self) -> bool {
        self.is_ready() && !self.unused
    }

    /// What shows the load there, weighed against what it mostly is at all engines.
    fn tells(&mut self, load: f64, mostly: &mut f64, now: Timestamp) {
        *mostly += (load - *mostly) * MEAN_STEP;
        let (was, at) = self.load;
        let part = if now.since(at) < TOLD_LASTS { 0.5 } else { 1.0 };
        self.load = (was + (load / mostly.max(1e-9) - was) * part, now);
    }

    /// Threads of other gateways there beyond what engines mostly have, while that is fresh.
    fn crowded(&self, now: Timestamp) -> f64 {
        let fresh = (1.0 - now.since(self.load.1) / TOLD_LASTS).max(0.0) * self.budgets.foreign();
        (self.load.0 - 1.0).clamp(-1.0, 1.0) * self.budgets.ceiling * fresh
    }

    fn holds(&self, set: u32, now: Timestamp) -> bool {
        self.held.get(&set).is_some_and(|(own, noted_till)| *own > 0 || *noted_till > now)
    }
}

#[derive(Default)]
struct Out {
    number: u8,
    engine: usize,
    sent: Timestamp,
    heard: Timestamp,
    called_off: bool,
    /// Whole time that its pace foretells, once a note told its share.
    foretold: Option<Duration>,
    memory_mb: Option<f64>,
    spilled: bool,
    /// Its connection was cut or hung: its time tells of the way, not of the engine.
    cut_off: bool,
    /// It stood still behind a holder of its data set: that is no overload.
    stood: bool,
}

#[derive(Default)]
struct Held {
    request: Request,
    taken: Timestamp,
    work: Option<f64>,
    within_share: bool,
    out: Vec<Out>,
    attempts: usize,
    last_engine: Option<usize>,
    /// A attempt of it was called off for its pace.
    went_astray: bool,
    /// The first attempt that may have run: engine and time sent.
    may_have_run: Option<(Engine, Timestamp)>,
    /// A attempt had its outcome and may run all the same_process, and none may be out beside it.
    may_run: bool,
    over: bool,
}

pub struct Policy {
    fleet: Fleet,
    classes: Vec<RequestClass>,
    ranks: Vec<usize>,
    threads: Vec<f64>,
    shares: Vec<Share>,
    caps: Caps,
    slow_start: SlowStartPolicy,
    retry_budget: RetryBudget,
    keys: Account,
    usual: Vec<Usual>,
    /// Threads times requests lately, by class: what the first budgets are split by.
    asked: Vec<f64>,
    engines: BTreeMap<usize, EngineNow>,
    requests: BTreeMap<usize, Held>,
    /// When this gateway was first told of an engine.
    began: Option<Timestamp>,
    /// Requests out of this gateway and of all, at engines that told, fading.
    held_there: (f64, f64),
    /// What engines mostly tell of their load, and how slow answers mostly are.
    mostly: [f64; 2],
    taken: f64,
    /// Bad outcomes and all at engines not left out, fading.
    bad: (f64, f64),
    overloaded: bool,
    /// When the list of engines was last known to hold, and whether that is too long ago.
    listed: (Timestamp, bool),
    log: Vec<String>,
    chance: WyRand,
}

/// Utility first, then the shorter response goal.
fn rank(classes: &[RequestClass]) -> Vec<usize> {
    let before = |a: &RequestClass, b: &RequestClass| {
        a.priority_weight > b.priority_weight
            || (a.priority_weight == b.priority_weight && a.latency_objective < b.latency_objective)
    };
    classes.iter().map(|g| classes.iter().filter(|o| before(o, g)).count().min(RANKS.len() - 1)).collect()
}

/// Rule 2: whether a retry may go to this engine now.
fn may_repeat(
    effect: Idempotency,
    first: Option<(Engine, Timestamp)>,
    to: &Engine,
    now: Timestamp,
    step: Duration,
) -> bool {
    let Some((ran_on, at)) = first else { return true };
    match effect {
        Idempotency::Idempotent => true,
        Idempotency::NonIdempotent => false,
        Idempotency::IdempotentWithKey { scope, window } => {
            now.since(at) + step < window && scope.holds(&ran_on, to)
        }
    }
}

impl Policy {
    pub fn new(seed: u64, given: PolicyConfig) -> Policy {
        let PolicyConfig { mut fleet, mut classes, tenants, caps, slow_start, key_cooldown, retry_budget } =
            given;
        // Odd settings are made sound here, once: no part below asks again.
        fleet.gateways = fleet.gateways.max(1);
        classes.iter_mut().for_each(|g| g.threads = g.threads.max(1.0));
        let threads: Vec<f64> = classes.iter().map(|g| g.threads).collect();
        let share = |c: Tenant| Share {
            quota_rate: c.quota_rate,
            part: None,
            left: SHARE_CHANCE,
            at: Timestamp::default(),
        };
        Policy {
            asked: threads.clone(),
            fleet,
            ranks: rank(&classes),
            threads,
            usual: classes.iter().map(Usual::new).collect(),
            shares: tenants.into_iter().map(share).collect(),
            keys: Account::new(key_cooldown, caps.unobserved_attempt_lifetime.unwrap_or_default()),
            caps,
            slow_start,
            retry_budget: RetryBudget::new(retry_budget),
            classes,
            engines: BTreeMap::new(),
            requests: BTreeMap::new(),
            began: None,
            held_there: (0.0, 0.0),
            mostly: [0.0; 2],
            taken: 0.0,
            bad: (0.0, 0.0),
            overloaded: false,
            listed: (Timestamp::default(), false),
            log: Vec::new(),
            chance: WyRand::new_seed(seed),
        }
    }

    /// Whoever tells of engines was heard, with nothing new or all of it: the list holds as of then.
    pub fn heard(&mut self, at: Timestamp) {
        self.listed.0 = self.listed.0.max(at);
    }

    /// Rule 3 counts what was told whether or not it came: a list nobody stands by any more opens no engine.
    pub fn is_listed(&self, now: Timestamp) -> bool {
        self.caps.endpoint_list_lifetime.is_none_or(|holds| now.since(self.listed.0) < holds)
    }

    pub fn engine(&mut self, now: Timestamp, e: usize, told: Engine) {
        self.began.get_or_insert(now);
        if let Some(engine) = self.engines.get_mut(&e) {
            if engine.told.started != told.started {
                // Whatever was held against the process that ran there before says nothing of the new one.
                (engine.health, engine.linked, engine.heard) = (Health::default(), None, now);
                engine.warm.clear();
                engine.budgets.congested = false;
            }
            (engine.told, engine.told_at) = (told, now);
            return;
        }
        let budgets = Budgets::new(self.fleet.cores(&told), self.fleet.gateways, &self.asked);
        self.engines.insert(e, EngineNow { told, told_at: now, budgets, heard: now, ..EngineNow::default() });
    }

    /// Gone, with nothing out there, and not soon back: such an engine is forgotten, and its index is free.
    pub fn forget(&mut self, now: Timestamp, e: usize) -> bool {
        let gone = |x: &EngineNow| x.told.state == EngineState::Gone && now.since(x.told_at) >= GONE_FOR;
        let free = self.engines.get(&e).is_some_and(|x| gone(x) && x.budgets.requests == 0);
        free && self.engines.remove(&e).is_some()
    }

    pub fn take(&mut self, now: Timestamp, b: usize, mut request: Request) {
        self.taken += 1.0;
        let g = request.class;
        self.asked.iter_mut().for_each(|asked| *asked *= 0.999);
        self.asked[g] += self.threads[g];
        self.usual[g].hint(request.work);
        request.key = request.key.filter(|_| self.classes[g].in_order);
        request.key.into_iter().for_each(|key| self.keys.take(key, b));
        let work = self.usual[g].work(request.work);
        let (part, tenant) = (self.part(), request.tenant.and_then(|c| self.shares.get_mut(c)));
        let within_share = tenant.is_none_or(|share| share.within(part, now));
        self.requests.insert(b, Held { request, taken: now, work, within_share, ..Held::default() });
    }

    /// Where to send this request, or not yet, or never.
    pub fn place(&mut self, now: Timestamp, b: usize) -> RoutingDecision {
        let Some(held) = self.requests.get(&b).filter(|h| !h.over) else { return RoutingDecision::Wait };
        if !held.out.is_empty() {
            return self.look_at_out(now, b);
        }
        // What can't be answered in time is better told so at once.
        let least = Duration::from_secs(held.work.unwrap_or(0.0) / self.threads[held.request.class]);
        if now + least >= self.last_moment(held) {
            return self.give_up(b);
        }
        if held.request.key.is_some_and(|key| !self.keys.has_turn(key, b, now)) {
            return RoutingDecision::Wait;
        }
        let spent = held.may_run || held.attempts >= self.caps.max_attempts.min(1 + MOST_FURTHER);
        let may = held.attempts == 0 || !self.overloaded && !spent && self.retry_budget.allows(now);
        match may.then(|| self.choose(now, b)).flatten() {
            Some(e) => self.send(now, b, e),
            None => self.give_up(b),
        }
    }

    /// Whether a attempt placed a while ago may begin now: its client still waits, the list holds, and
    /// what of its request may have run is still known as the same.
    pub fn may_begin(&self, now: Timestamp, b: usize, number: u8) -> bool {
        let Some(held) = self.requests.get(&b).filter(|h| !h.over) else { return false };
        let out = held.out.iter().find(|o| o.number == number && !o.called_off);
        let Some(engine) = out.and_then(|o| self.engines.get(&o.engine)) else { return false };
        let effect = self.classes[held.request.class].effect;
        self.is_listed(now) && may_repeat(effect, held.may_have_run, &engine.told, now, self.caps.clock_step)
    }

    /// What to do after this outcome.
    pub fn after(&mut self, now: Timestamp, b: usize, number: u8, answer: &AttemptResult) -> AfterAttempt {
        let Some(held) = self.requests.get_mut(&b) else { return AfterAttempt::Finished };
        let Some(i) = held.out.iter().position(|o| o.number == number) else { return AfterAttempt::Finished };
        let out = held.out.remove(i);
        let (g, class) = (held.request.class, &self.classes[held.request.class]);
        let latency_objective = class.objective_for(answer.work.map(|w| w.secs()).or(held.work));
        if answer.outcome == Outcome::Returned && !held.over {
            self.retry_budget.returned(held.taken, now);
        }
        held.over |= answer.over;
        held.may_run |= self.caps.single_attempt && !account::proves_over(answer.seen);
        let unsure = matches!(answer.outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        let key = held.request.key.into_iter();
        key.for_each(|key| self.keys.ended(key, b, number, answer.seen, unsure, now));
        let Some(engine) = self.engines.get_mut(&out.engine) else { return AfterAttempt::Finished };
        // Rule 2's first question. What was cut off, then turned away on another connection may still come.
        let never_ran = matches!(answer.outcome, Outcome::ConnectFailed | Outcome::Moot)
            || answer.outcome == Outcome::Full && answer.seen.same_process;
        if !never_ran && held.may_have_run.is_none_or(|(_, at)| out.sent < at) {
            held.may_have_run = Some((engine.told, out.sent));
        }
        engine.budgets.running[g] = (engine.budgets.running[g] - self.threads[g]).max(0.0);
        if class.locks_data_set {
            let (own, _) = engine.held.entry(held.request.data_set).or_default();
            *own = own.saturating_sub(1);
        }
        engine.held.retain(|_, (own, noted_till)| *own > 0 || *noted_till > now);
        if out.memory_mb.is_some() && (out.spilled || answer.outcome == Outcome::Returned) {
            let (step, usual) = (if out.spilled { GRANT_STEPS.0 } else { GRANT_STEPS.1 }, &mut self.usual[g]);
            usual.grant = (usual.grant * step).clamp(GRANT_BOUNDS.0, GRANT_BOUNDS.1);
        }
        engine.budgets.requests = engine.budgets.requests.saturating_sub(1);
        match answer.outcome {
            Outcome::Returned => {
                engine.budgets.answers += 1.0;
                engine.budgets.late +=
                    f64::from(answer.took > latency_objective && !out.stood && !out.cut_off);
                let took = answer.took.secs() * self.threads[g];
                // Cores that are all busy look alike, and only the time that told work took tells them apart.
                if let Some(work) = answer.work.filter(|_| !out.stood && answer.report.in_hand.is_none()) {
                    let slow = (took / work.secs().max(0.001)).clamp(0.8, 4.0);
                    engine.tells(slow, &mut self.mostly[1], now);
                }
                self.usual[g].learn(held.request.work, held.work, answer.work, took);
            }
            Outcome::Full => engine.budgets.jammed = true,
            Outcome::TimedOut => engine.budgets.jammed |= !out.stood,
            _ => {}
        }
        // A time-out at an engine that answered others meanwhile is load, which the budgets answer.
        let bad = match answer.outcome {
            Outcome::Returned => Some(false),
            Outcome::ConnectFailed | Outcome::Reset | Outcome::Errored => Some(true),
            Outcome::TimedOut if engine.heard <= out.sent => Some(true),
            _ => None,
        };
        if bad.is_some() && answer.outcome != Outcome::TimedOut {
            engine.heard = now;
        }
        if matches!(answer.outcome, Outcome::Returned | Outcome::Errored | Outcome::Full) {
            engine.linked = Some(now);
        }
        let over = held.over;
        bad.into_iter().for_each(|bad| self.outcome(now, out.engine, bad, "outcomes"));
        self.probed(now, out.engine, answer.report);
        self.let_go(b);
        if over { AfterAttempt::Finished } else { AfterAttempt::RouteAgain }
    }

    /// An outcome at an engine, of this gateway's own or one that others saw and the caller weighed.
    pub fn outcome(&mut self, now: Timestamp, e: usize, bad: bool, how: &str) {
        let Some(engine) = self.engines.get_mut(&e) else { return };
        if engine.health.see(bad, &mut self.bad, now) {
            self.log.push(format!(
                "engine {}, engine: {e}, evidence: {how}",
                if bad { "ejected" } else { "restored" }
            ));
        }
    }

    /// An engine's report, with an answer or by a probe.
    pub fn probed(&mut self, now: Timestamp, e: usize, report: LoadReport) {
        let Some(engine) = self.engines.get_mut(&e) else { return };
        let own = engine.budgets.requests as f64;
        if let Some(all) = report.in_hand.filter(|n| *n > 0.0) {
            let (mine, of) = &mut self.held_there;
            (*mine, *of) = (*mine * SHARE_FADE + own.min(all), *of * SHARE_FADE + all);
        }
        let cores = self.fleet.cores(&engine.told);
        if let Some(load) = report.in_hand.map(|all| (all - own).max(0.0) / cores).or(report.busy) {
            engine.tells(load, &mut self.mostly[0], now);
        }
    }

    /// How long to wait before asking about this request again.
    pub fn wait(&self, now: Timestamp, b: usize) -> Timestamp {
        let Some(held) = self.requests.get(&b) else { return now + TICK };
        if held.out.is_empty() { (now + KEY_LOOK).min(self.last_moment(held)) } else { now + TICK }
    }

    /// The client left, and may be back at once: what is out works for nobody and is called off.
    pub fn client_left(&mut self, b: usize) -> Vec<u8> {
        let held = self.requests.get_mut(&b).filter(|_| self.caps.can_cancel);
        let out = held.into_iter().flat_map(|h| &mut h.out).filter(|o| !o.called_off);
        let off = out.map(|o| (o.called_off = true, o.number).1).collect();
        self.end(b);
        off
    }

    /// Whoever looked after this request ended without a word: nothing is known of what is out.
    pub fn lost(&mut self, now: Timestamp, b: usize) {
        self.end(b);
        let answer = AttemptResult::bare(
            Outcome::Cancelled,
            AttemptEvidence { last: LastObservation::Lost, same_process: false },
        );
        while let Some(number) = self.requests.get(&b).and_then(|h| Some(h.out.first()?.number)) {
            self.after(now, b, number, &answer);
        }
    }

    /// So many gateways count from now on, where somebody knows: by them engines are divided evenly.
    pub fn count(&mut self, gateways: usize) {
        self.fleet.gateways = gateways.max(1);
        let share = 1.0 / self.fleet.gateways as f64;
        self.engines.values_mut().for_each(|x| x.budgets.take(share));
    }

    /// This gateway's part of what an engine bears while cold, and of its threads, where they are no even ones.
    pub fn share(&mut self, e: usize, slow_start: Option<f64>, threads: Option<f64>) {
        let Some(engine) = self.engines.get_mut(&e) else { return };
        engine.part = slow_start;
        engine.budgets.take(threads.unwrap_or(1.0 / self.fleet.gateways as f64));
    }

    /// This gateway uses an engine or does without it, by its own choice among those that it may use.
    pub fn use_engine(&mut self, e: usize, uses: bool) {
        self.engines.get_mut(&e).into_iter().for_each(|engine| engine.unused = !uses);
    }

    /// Whether it may be tried from here while it is judged failing, where gateways take turns at that.
    pub fn turn(&mut self, e: usize, mine: bool) {
        self.engines.get_mut(&e).into_iter().for_each(|engine| engine.waits = !mine);
    }

    /// Whether an engine is judged failing, and whether its last tick read congested.
    pub fn standing(&self, e: usize) -> Option<(bool, bool)> {
        self.engines.get(&e).map(|x| (x.health.failing, x.budgets.congested))
    }

    /// This gateway's part of a tenant's allowance, likewise.
    pub fn quota_rate(&mut self, tenant: usize, part: Option<f64>) {
        self.shares.get_mut(tenant).into_iter().for_each(|share| share.part = part);
    }

    /// The gateway ends then: what it holds is to have its final answer before.
    pub fn end_by(&mut self, at: Timestamp) {
        self.requests.values_mut().for_each(|h| h.request.deadline = h.request.deadline.min(at));
    }

    pub fn note(&mut self, now: Timestamp, b: usize, number: u8, note: ProgressUpdate) {
        let Some(held) = self.requests.get_mut(&b) else { return };
        let Some(out) = held.out.iter_mut().find(|o| o.number == number) else { return };
        out.cut_off |= note == ProgressUpdate::CutOff;
        let Some(engine) = self.engines.get_mut(&out.engine).filter(|_| note != ProgressUpdate::CutOff)
        else {
            return;
        };
        (out.heard, engine.heard) = (now, now);
        match note {
            ProgressUpdate::Done(part) if part > 0.0 => {
                out.foretold = Some(now.since(out.sent) * part.min(1.0).recip())
            }
            ProgressUpdate::SpillsMb(_) => out.spilled = true,
            ProgressUpdate::WaitsForHolder => {
                out.stood = true;
                let till = now + self.caps.progress_interval.unwrap_or_default();
                engine.held.entry(held.request.data_set).or_default().1 = till;
            }
            _ => {}
        }
    }

    pub fn tick(&mut self, now: Timestamp) {
        let about_to_go = |e| self.engines.get(&e).is_some_and(|x| x.told.state == EngineState::Draining);
        self.keys.hold(now + TICK * 2.0, about_to_go);
        self.keys.tidy(now);
        // Else calm lets the bounds of all gateways grow to the whole engine, and the next surge stuffs it.
        let most = if self.held_there.1 > 0.0 { (SHARE_ROOM * self.part()).min(1.0) } else { 1.0 };
        let (mut ready, mut congested) = (0.0, 0.0);
        for held in self.requests.values() {
            let g = held.request.class;
            let latency_objective = self.classes[g].objective_for(held.work);
            let astray = self.usual[g].astray_from(held.work, self.threads[g]);
            for out in &held.out {
                let Some(engine) = self.engines.get_mut(&out.engine) else { continue };
                // A foretold lateness is load too, unless so far off that the plan, not the engine, is bad.
                let paced = out.foretold.filter(|f| *f < astray).unwrap_or_default();
                let is_late =
                    now.since(out.sent).max(paced) > latency_objective && !out.stood && !out.cut_off;
                engine.budgets.overdue += f64::from(is_late);
                let heard = engine.heard.max(out.heard);
                let silent = self.caps.progress_interval.is_some_and(|n| now.since(heard) > n * NOTE_SLACK);
                engine.missed += usize::from(silent && !out.called_off);
            }
        }
        let (all, pools) = self.pools(now, 0, |x| x.is_used() && !x.health.failing);
        for (e, engine) in &mut self.engines {
            let open = self.classes.iter().filter(|g| g.allows_engine(&engine.told)).map(|g| g.threads);
            let pool = pools.get(&engine.told.kind).unwrap_or(&all);
            let full = engine.budgets.is_full(open.fold(1.0, f64::max), pool, 1.0);
            engine.budgets.tick(&self.ranks, &self.threads, &all, full, most);
            // Silence: notes are due from what is out and nothing at all has come from the engine.
            for _ in 0..std::mem::take(&mut engine.missed).min(2) {
                if !engine.health.failing && engine.health.see(true, &mut self.bad, now) {
                    self.log.push(format!("engine ejected, engine: {e}, evidence: silence"));
                }
            }
            ready += f64::from(engine.is_used());
            congested += f64::from(engine.is_used() && engine.budgets.congested);
        }
        let old = !self.is_listed(now);
        if old != std::mem::replace(&mut self.listed.1, old) {
            self.log.push(format!("endpoint list {}", ["current again", "expired"][usize::from(old)]));
        }
        let overloaded = ready > 0.0 && congested >= ready * OVERLOAD_SHARE;
        if overloaded != self.overloaded {
            self.overloaded = overloaded;
            let word = ["ended", "started"][usize::from(overloaded)];
            self.log.push(format!("overload {word}, congested: {congested}, ready: {ready}"));
        }
    }

    /// The engines to ask for a report now: the less this gateway's own count shows, the more of them.
    pub fn probes(&mut self) -> Vec<usize> {
        let Some(price) = self.caps.load_probe_cost else { return Vec::new() };
        let ready = self.engines.iter().filter(|(_, x)| x.is_used());
        let (ready, foreign): (Vec<usize>, Vec<f64>) = ready.map(|(e, x)| (*e, x.budgets.foreign())).unzip();
        let most = PROBES.min(PROBES_COST / price.max(1e-9));
        let rate = most * foreign.iter().sum::<f64>() / (ready.len() as f64).max(1.0);
        let now = (self.taken * rate).floor();
        self.taken -= if rate > 0.0 { now / rate } else { self.taken };
        (0..now as usize).map(|_| ready[self.chance.generate_range(0..ready.len())]).collect()
    }

    pub fn log_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// What the engines that count show together, and those of each kind, for a class.
    fn pools(
        &self,
        now: Timestamp,
        g: usize,
        counts: impl Fn(&EngineNow) -> bool,
    ) -> (Pool, BTreeMap<usize, Pool>) {
        let (mut all, mut pools) = (Pool::default(), BTreeMap::<usize, Pool>::new());
        for x in self.engines.values().filter(|x| counts(x)) {
            let warm = self.slow_start.warm_up_factor(x.told.started, now);
            all.add(&x.budgets, g, warm);
            pools.entry(x.told.kind).or_default().add(&x.budgets, g, warm);
        }
        (all, pools)
    }

    /// This gateway's part of all traffic: an even one at least, more where engines tell what they hold.
    fn part(&self) -> f64 {
        let (own, all) = self.held_there;
        (own / all.max(1e-9)).max(1.0 / self.fleet.gateways as f64)
    }

    /// An own due time lands on the next reading of the clock, so this lies before the time limit.
    fn last_moment(&self, held: &Held) -> Timestamp {
        held.request.deadline - self.caps.clock_step * 3.0
    }

    /// The ready engine with most free budget of the request's class, of those that the rules leave open.
    fn choose(&mut self, now: Timestamp, b: usize) -> Option<usize> {
        let held = self.requests.get(&b).filter(|_| self.is_listed(now))?;
        let g = held.request.class;
        let class = &self.classes[g];
        let requests = self.asked.iter().zip(&self.threads).map(|(asked, threads)| asked / threads);
        let mix: Vec<(f64, f64)> = requests.zip(self.usual.iter().map(Usual::mean)).collect();
        let (began, gateways) = (self.began.unwrap_or(now), self.fleet.gateways as f64);
        // With most engines judged failing the judgement itself is in doubt: go by budgets alone. Full but
        // sound ones count: what they have no room for must not spill onto a failing one.
        // What may have run is looked for where it ran, and a subset with nothing ready for a class is none.
        let open = |x: &EngineNow| x.is_ready() && class.allows_engine(&x.told);
        let any = held.may_have_run.is_some() || !self.engines.values().any(|x| open(x) && !x.unused);
        let in_reach = |x: &EngineNow| open(x) && (any || !x.unused);
        let reach = self.engines.values().filter(|x| in_reach(x));
        let (all, failing) = reach.fold((0, 0), |(n, f), x| (n + 1, f + usize::from(x.health.failing)));
        let trusted = failing as f64 <= all as f64 * MOST_FAILING;
        let (_, pools) = self.pools(now, g, |x| in_reach(x) && !(trusted && x.health.failing));
        let none = Pool::default();
        let (mut best, mut ties): (Option<(usize, f64)>, u64) = (None, 0);
        for (&e, engine) in self.engines.iter_mut().filter(|(_, x)| in_reach(x)) {
            // A trial request is one that may run again. A probe clears none: what answers it may still error.
            let may = class.effect == Idempotency::Idempotent && !engine.waits;
            let trial = may && now >= engine.health.trial_at;
            let left_out = trusted && engine.health.failing;
            let pool = pools.get(&engine.told.kind).unwrap_or(&none);
            if (left_out && !trial)
                || !engine.budgets.has_room(g, self.threads[g], held.within_share, pool)
                || !may_repeat(class.effect, held.may_have_run, &engine.told, now, self.caps.clock_step)
            {
                continue;
            }
            let (rule, warm) = (&self.slow_start, self.slow_start.warm_up_factor(engine.told.started, now));
            let all = rule.multiple * warm * self.fleet.cores(&engine.told) * 0.85 * rule.window.secs();
            if warm < 1.0 && all > 0.0 {
                let part = engine.part.unwrap_or(1.0 / gateways);
                let (share, turns) = (all * part, mix[g].0 * slow_start_turns(all, all * part, &mix));
                let age = engine.told.started.map_or(Duration::ZERO, |at| now.since(at));
                let slot = (age / (rule.window * SLOW_START_TURN)).floor();
                let many = turns * SLOW_START_TURN * part * gateways;
                let open = ((slot + 1.0) * many).floor() - (slot * many).floor();
                let turn =
                    (self.fleet.me as f64 + slot * (SLOW_START_STEP * gateways).round()) % gateways < open;
                // A process before this one may have sent there what it does not know of.
                let unknown = engine.told.started < Some(began) && now.since(began) < rule.window;
                if unknown || !engine.slow_start.allows(rule.window, share, mix[g].1, turn, now) {
                    continue;
                }
            }
            // Behind a holder it would stand still whatever its budget: such an engine comes last.
            let set = held.request.data_set;
            let stands = (class.waits_for_data_lock || class.locks_data_set) && engine.holds(set, now);
            let idle = engine.linked.filter(|_| engine.budgets.requests == 0);
            let at_hand = idle.is_some_and(|at| now.since(at) < self.caps.idle_connection_lifetime);
            let overdue = if left_out { now.since(engine.health.trial_at).secs() } else { 0.0 };
            // Of two kinds the one whose pool is less full: a class bound to one kind leaves the other idle.
            let spare = (1.0 - pool.fill / pool.bears.max(1e-9)).clamp(-1.0, 1.0) * engine.budgets.foreign();
            let free = engine.budgets.free(g) - engine.crowded(now)
                + spare * engine.budgets.ceiling
                + if engine.warm.contains(&set) { WARM_WORTH } else { 0.0 }
                + if engine.told.zone == self.fleet.zone { ZONE_WORTH } else { 0.0 }
                + if at_hand { LINK_WORTH * self.caps.connection_cost } else { 0.0 }
                + overdue * TRIAL_DRAWS
                - if stands || held.last_engine == Some(e) { 1e6 } else { 0.0 };
            // Ties go by lot: `ties` counts those with the most.
            let over = best.map_or(1.0, |(_, most)| free - most);
            ties = if over > 1e-9 { 0 } else { ties + u64::from(over >= -1e-9) };
            if over > 1e-9 || over >= -1e-9 && self.chance.generate_range(0..=ties) == 0 {
                best = Some((e, free));
            }
        }
        best.map(|(e, _)| e)
    }

    fn send(&mut self, now: Timestamp, b: usize, e: usize) -> RoutingDecision {
        let Some(engine) = self.engines.get_mut(&e) else { return RoutingDecision::Wait };
        let Some(held) = self.requests.get_mut(&b) else { return RoutingDecision::Wait };
        let g = held.request.class;
        if held.attempts > 0 {
            self.retry_budget.further.push_back(now);
        }
        held.request.key.into_iter().for_each(|key| self.keys.sent(key, b, held.attempts as u8, e));
        engine.health.trial_at = now + engine.health.trial_gap;
        engine.budgets.running[g] += self.threads[g];
        engine.budgets.requests += 1;
        if self.slow_start.warm_up_factor(engine.told.started, now) < 1.0 {
            engine.slow_start.sent.push_back((now, self.usual[g].mean()));
        }
        let priority = RANKS[self.ranks[g]].2;
        let estimate = held.request.memory_mb.filter(|_| self.caps.sets_memory_grant);
        let memory_mb = estimate.map(|m| m * self.usual[g].grant);
        let (class, set) = (&self.classes[g], held.request.data_set);
        let (number, stood) = (held.attempts as u8, class.waits_for_data_lock && engine.holds(set, now));
        held.out.push(Out { number, engine: e, sent: now, heard: now, memory_mb, stood, ..Out::default() });
        held.attempts += 1;
        held.last_engine = Some(e);
        engine.warm.retain(|s| *s != set);
        engine.warm.push_front(set);
        engine.warm.truncate(WARM_SETS);
        if class.locks_data_set {
            engine.held.entry(set).or_default().0 += 1;
        }
        // Ends before the time limit, so that the answer it still calls for is in time.
        let time_out = held.request.deadline.since(now + self.caps.clock_step * 2.0);
        RoutingDecision::Send(AttemptParameters { engine: e, time_out, memory_mb, priority })
    }

    /// A request that is out is called off where its engine went silent, or its pace is far from its class's (a
    /// bad plan, a slow engine, a spill): a fresh attempt, or none, costs less than the rest of it.
    fn look_at_out(&mut self, now: Timestamp, b: usize) -> RoutingDecision {
        let Some(held) = self.requests.get_mut(&b) else { return RoutingDecision::Wait };
        let (g, class) = (held.request.class, &self.classes[held.request.class]);
        if class.effect != Idempotency::Idempotent || !self.caps.can_cancel {
            return RoutingDecision::Wait;
        }
        let usual = self.usual[g].astray_from(held.work, self.threads[g]);
        let objective_for = class.objective_for(held.work);
        // Once: what is as slow elsewhere was estimated wrong, and calling it off again only wastes more.
        let may = !held.went_astray;
        for out in held.out.iter_mut().filter(|o| !o.called_off) {
            let failing = self.engines.get(&out.engine).is_some_and(|e| e.health.failing);
            let silent = self.caps.progress_interval.is_some_and(|n| now.since(out.heard) > n * NOTE_SLACK);
            let astray = may && out.foretold.is_some_and(|f| f > usual && f > class.latency_objective);
            // Behind a holder past its goal it only keeps memory that an engine in need of it pages for.
            let stuck =
                self.caps.swaps_when_out_of_memory && out.stood && now.since(out.sent) > objective_for;
            if (failing && silent) || astray || stuck {
                out.called_off = true;
                held.went_astray |= astray;
                return RoutingDecision::CancelAttempt(out.number);
            }
        }
        RoutingDecision::Wait
    }

    /// The final answer at once, whatever is out: a pushback where trying again is harmless, else an error.
    pub fn give_up(&mut self, b: usize) -> RoutingDecision {
        let Some(held) = self.requests.get(&b).filter(|h| !h.over) else { return RoutingDecision::Wait };
        let effect = self.classes[held.request.class].effect;
        // Rule 2: a pushback says that trying again is harmless.
        let harmless = held.may_have_run.is_none() && held.out.is_empty()
            || matches!(
                effect,
                Idempotency::Idempotent
                    | Idempotency::IdempotentWithKey { scope: DeduplicationScope::All, .. }
            );
        self.end(b);
        if harmless { RoutingDecision::Reject(self.caps.max_retry_after) } else { RoutingDecision::Fail }
    }

    fn end(&mut self, b: usize) {
        self.requests.get_mut(&b).into_iter().for_each(|held| held.over = true);
        self.let_go(b);
    }

    /// A request leaves once it is over and nothing of it is out, and its key with it.
    fn let_go(&mut self, b: usize) {
        if self.requests.get(&b).is_some_and(|h| h.over && h.out.is_empty()) {
            let key = self.requests.remove(&b).and_then(|h| h.request.key);
            key.into_iter().for_each(|key| self.keys.leave(key, b));
        }
    }
}
