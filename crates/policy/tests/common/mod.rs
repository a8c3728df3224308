//! A front with a few engines, driven call by call.

use larchfall_policy::interface::*;
use larchfall_policy::policy::Policy;
use larchfall_policy::time::{At, Span};

/// The engine itself said the end.
pub const SAID: Seen = Seen { last: Last::Ended, same: true };

pub const LOOK_UP: usize = 0;
pub const REPORT: usize = 1;
pub const LOAD: usize = 2;

pub fn group(utility: f64, threads: f64, effect: Effect) -> ServiceGroup {
    ServiceGroup {
        utility,
        goal: Span::from_millis(1000),
        goal_stretch: 2.0,
        effect,
        in_order: false,
        threads,
        holds_data: false,
        waits_for_holder: false,
        zones: None,
        kinds: None,
    }
}

/// What a front of these tests is given, unless its test says something else.
pub fn usual() -> Given {
    Given {
        fleet: Fleet { fronts: 1, me: 0, zone: 0, kinds: vec![Kind { cores: 8.0, memory_mb: 16_000.0 }; 2] },
        groups: vec![
            group(1.0, 1.0, Effect::Repeatable),
            group(12.0, 4.0, Effect::Repeatable),
            group(4.0, 2.0, Effect::OnceOnly),
        ],
        customers: Vec::new(),
        caps: Caps {
            call_off: true,
            most_dispatches: 5,
            come_back: Some(Span::from_millis(500)),
            sets_memory: true,
            notes_every: Some(Span::from_millis(1000)),
            clock_step: Span::from_millis(5),
            ..Caps::default()
        },
        cold: ColdRule {
            multiple: 2.0,
            window: Span::from_millis(2000),
            starts_at: 0.32,
            warm_within: Span::from_millis(15_000),
        },
        ration: None,
        key_quiet: Span::ZERO,
    }
}

pub trait Start {
    /// A front that was told of `engines` warm ones, all ready, in zone 0, of kind 0.
    fn start(self, engines: usize) -> Front;
}

impl Start for Given {
    fn start(self, engines: usize) -> Front {
        let policy = Policy::new(7 + self.fleet.me as u64, self);
        let mut front = Front { policy, next: 0 };
        for e in 0..engines {
            front.policy.engine(ms(0), e, engine());
        }
        front
    }
}

pub struct Front {
    pub policy: Policy,
    next: usize,
}

pub fn ms(n: u64) -> At {
    At::from_micros(1_000_000_000) + Span::from_millis(n)
}

pub fn engine() -> Engine {
    Engine { zone: 0, kind: 0, cell: 0, state: EngineState::Ready, started: None }
}

pub fn batch(group: usize) -> Batch {
    Batch {
        group,
        customer: None,
        key: None,
        time_limit: ms(20_000),
        work: Some(Span::from_millis(200)),
        memory_mb: Some(100.0),
        data_set: 0,
    }
}

impl Front {
    /// Takes the batch and asks once; its index and the answer.
    pub fn take(&mut self, at: u64, batch: Batch) -> (usize, Place) {
        let b = self.next;
        self.next += 1;
        self.policy.take(ms(at), b, batch);
        (b, self.policy.place(ms(at), b))
    }

    /// How many of `n` batches of one group, taken at once, are sent.
    pub fn send_all(&mut self, n: usize, group: usize) -> usize {
        (0..n).filter(|_| sent_to(self.take(2, batch(group)).1).is_some()).count()
    }

    pub fn end(&mut self, at: u64, b: usize, number: u8, outcome: Outcome, took_ms: u64) -> Next {
        self.finish(at, b, number, outcome, took_ms, Report::default())
    }

    /// The first dispatch of a batch ends with a load report.
    pub fn end_with(&mut self, at: u64, b: usize, outcome: Outcome, took_ms: u64, report: Report) {
        self.finish(at, b, 0, outcome, took_ms, report);
    }

    fn finish(
        &mut self,
        at: u64,
        b: usize,
        number: u8,
        outcome: Outcome,
        took_ms: u64,
        report: Report,
    ) -> Next {
        let answer = Answer {
            outcome,
            took: Span::from_millis(took_ms),
            over: outcome == Outcome::Returned,
            seen: SAID,
            work: None,
            report,
        };
        self.policy.after(ms(at), b, number, &answer)
    }
}

pub fn sent_to(place: Place) -> Option<usize> {
    match place {
        Place::Send(d) => Some(d.engine),
        _ => None,
    }
}
