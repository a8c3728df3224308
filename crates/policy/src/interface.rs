//! What goes into the decisions and what comes out: plain values, no wire. Engines, service groups,
//! customers, zones, kinds and batches are small indices that the caller hands out; a batch's index may be
//! used again once the batch is over and every dispatch of it has brought its outcome.

use crate::time::{At, Span};

/// What the module is told once, at its start.
#[derive(Clone, Debug, Default)]
pub struct Given {
    pub fleet: Fleet,
    pub groups: Vec<ServiceGroup>,
    pub customers: Vec<Customer>,
    pub caps: Caps,
    pub cold: ColdRule,
    /// Rest of a key after an outcome that leaves it open whether its dispatch runs.
    pub key_quiet: Span,
    pub ration: Option<RationRule>,
}

/// Which fronts and machines there are.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub fronts: usize,
    /// This front's number among them.
    pub me: usize,
    pub zone: usize,
    pub kinds: Vec<Kind>,
}

impl Fleet {
    /// At least one, also for a kind that the settings do not name.
    pub fn cores(&self, engine: &Engine) -> f64 {
        self.kinds.get(engine.kind).map_or(1.0, |k| k.cores.max(1.0))
    }
}

#[derive(Clone, Debug, Default)]
pub struct Kind {
    pub cores: f64,
    pub memory_mb: f64,
}

#[derive(Clone, Debug)]
pub struct ServiceGroup {
    pub utility: f64,
    /// An answer is wanted within `goal`, plus `goal_stretch` times the work over the threads.
    pub goal: Span,
    pub goal_stretch: f64,
    pub effect: Effect,
    pub in_order: bool,
    pub threads: f64,
    /// Holds its data set on its engine while it runs.
    pub holds_data: bool,
    /// Stands still while a batch that holds its data set runs on the same engine.
    pub waits_for_holder: bool,
    /// The only zones and kinds it may be sent to; `None` leaves them open.
    pub zones: Option<Vec<usize>>,
    pub kinds: Option<Vec<usize>>,
}

impl ServiceGroup {
    /// Its response goal, stretched by the work in seconds: what comes after that is late.
    pub fn late_after(&self, work: Option<f64>) -> Span {
        self.goal + Span::from_secs(self.goal_stretch * work.unwrap_or(0.0) / self.threads)
    }

    /// Rule 6.
    pub fn may_go_to(&self, engine: &Engine) -> bool {
        self.zones.as_ref().is_none_or(|z| z.contains(&engine.zone))
            && self.kinds.as_ref().is_none_or(|k| k.contains(&engine.kind))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Repeatable,
    /// A repeat is dropped by the engines of one scope, for a window from the first dispatch that may have
    /// run.
    Referenced {
        scope: Scope,
        window: Span,
    },
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

impl Scope {
    /// Whether the engines that drop a repeat of what ran on one are also those that drop it on the other.
    pub fn holds(self, ran_on: &Engine, to: &Engine) -> bool {
        match self {
            Scope::All => true,
            Scope::Zone => ran_on.zone == to.zone,
            Scope::Cell => ran_on.cell == to.cell,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Customer {
    /// Batches a second over all fronts that count in full.
    pub allowance: f64,
}

/// What the caller may ask of engines and clients.
#[derive(Clone, Debug, Default)]
pub struct Caps {
    pub call_off: bool,
    /// What a probe costs, in parts of a batch's utility; `None` where an engine may not be asked for its report.
    pub probe_price: Option<f64>,
    /// What a new connection costs, likewise, and how long one is kept that no batch uses.
    pub link_price: f64,
    pub links_kept: Span,
    pub most_dispatches: usize,
    /// Nothing of a batch may run beside a further dispatch of it, and an outcome alone does not say that it ended.
    pub one_at_a_time: bool,
    /// The longest time to come back that clients heed, where they are told one at all.
    pub come_back: Option<Span>,
    pub sets_memory: bool,
    /// Short of memory an engine lets all in and slows down, rather than have them wait or spill.
    pub memory_pages: bool,
    /// Time between notes on a dispatch that is out, where there are notes.
    pub notes_every: Option<Span>,
    /// Nothing runs on for longer at an engine, in reach or about to go; `None` where outcomes leave nothing running.
    pub forgets: Option<Span>,
    /// A list of engines that was last known to hold so long ago may name ones past their grace; `None` where it always holds.
    pub list_holds: Option<Span>,
    /// Smallest time between two readings of the clock.
    pub clock_step: Span,
}

/// A cold engine falls over when sent more than `multiple` times its present capacity for `window`.
#[derive(Clone, Debug, Default)]
pub struct ColdRule {
    pub multiple: f64,
    pub window: Span,
    pub starts_at: f64,
    pub warm_within: Span,
}

impl ColdRule {
    /// Share of its capacity that an engine should have: the ramp is not told; straight, over the longest time.
    pub fn warmth(&self, started: Option<At>, now: At) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = now.since(started) / (self.warm_within + Span::from_millis(500));
        if age >= 1.0 { 1.0 } else { self.starts_at + (1.0 - self.starts_at) * age }
    }
}

/// Further dispatches in any `window`: `free` plus `per_batch` times the batches taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct RationRule {
    pub window: Span,
    pub free: f64,
    pub per_batch: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Engine {
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub state: EngineState,
    /// When it last started; `None` is long ago.
    pub started: Option<At>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineState {
    #[default]
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, Default)]
pub struct Batch {
    pub group: usize,
    pub customer: Option<usize>,
    pub key: Option<u64>,
    pub time_limit: At,
    /// A rough guess of the work of all its threads, as time on one.
    pub work: Option<Span>,
    pub memory_mb: Option<f64>,
    pub data_set: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Returned,
    Errored,
    /// Turned away unseen.
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    CalledOff,
    /// Never sent.
    Moot,
}

/// What was last seen of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Last {
    /// No byte of it left.
    NotSent,
    /// It was turned away unseen.
    Declined,
    /// It was said to be over.
    Ended,
    /// It was told to stop, and that was taken in.
    Stopped,
    /// Who answered knows no such batch.
    Unknown,
    /// Nobody listens at its engine's address.
    Refused,
    /// Nobody could be asked or told.
    Silent,
    /// Whoever looked after it is gone.
    Lost,
}

/// By this alone it is judged what of a dispatch may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seen {
    pub last: Last,
    /// Said by the very process that has the batch: on the connection of the call itself, or on one on which it
    /// had spoken of the batch as its own.
    pub same: bool,
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub outcome: Outcome,
    pub took: Span,
    /// Set once the batch is over, by this outcome or before it.
    pub over: bool,
    pub seen: Seen,
    /// The work that the batch needed, where answers tell.
    pub work: Option<Span>,
    pub report: Report,
}

impl Answer {
    /// One that tells nothing but how the dispatch ended, and ends its batch.
    pub fn bare(outcome: Outcome, seen: Seen) -> Answer {
        Answer { outcome, took: Span::ZERO, over: true, seen, work: None, report: Report::default() }
    }
}

/// An engine's load as it says itself, late and noisy: how many batches it holds, how busy its cores are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub in_hand: Option<f64>,
    pub busy: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share done, rough.
    Done(f64),
    SpillsMb(f64),
    WaitsForMemory,
    WaitsForHolder,
    /// From the caller itself: the connection was cut or hung, and what it would have brought came later.
    CutOff,
}

/// Where a batch goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    Send(Dispatch),
    /// Nothing to do now: ask again after `wait`.
    NotYet,
    /// Final: trying again is harmless, best after the time given.
    PushBack(Option<Span>),
    /// Final: nothing is promised about what it did.
    Error,
    /// Quit waiting for the dispatch of this number.
    CallOff(u8),
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    pub engine: usize,
    pub time_out: Span,
    /// Memory to grant in MB; `None` leaves it to the engine.
    pub memory_mb: Option<f64>,
    pub priority: u8,
}

/// What to do after an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The batch is over.
    Over,
    /// Something is still open: ask where the batch goes.
    Ask,
}
