//! The decisions in blocking style. Nothing else calls the module: a batch is taken, asked about with `pick`,
//! rests while it has to wait, and each dispatch's outcome goes to `report`; `tick` runs from the one timer.

use super::clock::Clock;
use super::due::Due;
use super::engines::{Engines, Home};
use super::lock;
use crate::wire::board::Event;
use larchfall::interface::*;
use larchfall::policy::Policy;
use larchfall::time::At;
use may::sync::Blocker;
use slab::Slab;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

pub use larchfall::policy::TICK;

/// Why a batch was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotTaken {
    NoRoom,
    /// Another under the same id is in hand. Engines know queries by that id alone: giving up the second would
    /// give up the first.
    InHand,
}

/// A batch in hand.
#[derive(Default)]
struct InHand {
    id: u64,
    /// The client left; `true` inside when what is out is to be called off.
    left: Option<bool>,
    due: Option<At>,
    resting: Option<Arc<Blocker>>,
}

struct Inner {
    policy: Policy,
    engines: Engines,
    hand: Slab<InHand>,
    ids: HashSet<u64>,
    due: Due,
    timer: Option<Arc<Blocker>>,
}

pub struct Facade {
    inner: Mutex<Inner>,
    clock: Clock,
    most: usize,
}

impl Facade {
    pub fn new(policy: Policy, clock: Clock, most: usize) -> Facade {
        let (engines, hand, due) = (Engines::default(), Slab::new(), Due::default());
        let ids = HashSet::new();
        Facade { inner: Mutex::new(Inner { policy, engines, hand, ids, due, timer: None }), clock, most }
    }

    pub fn take(&self, id: u64, batch: Batch) -> Result<usize, NotTaken> {
        let mut inner = lock(&self.inner);
        if inner.hand.len() >= self.most {
            return Err(NotTaken::NoRoom);
        }
        if !inner.ids.insert(id) {
            return Err(NotTaken::InHand);
        }
        let b = inner.hand.insert(InHand { id, ..InHand::default() });
        inner.policy.take(self.clock.now(), b, batch);
        Ok(b)
    }

    /// Where to send this batch, or not yet, or never.
    pub fn pick(&self, b: usize) -> Place {
        lock(&self.inner).policy.place(self.clock.now(), b)
    }

    /// The final answer of a batch whose time is up, while the end of what is out is still waited for.
    pub fn give_up(&self, b: usize) -> Place {
        lock(&self.inner).policy.give_up(b)
    }

    /// Blocks until it is time to ask again, or something happened to the batch.
    pub fn rest(&self, b: usize) {
        let blocker = Blocker::current();
        {
            let mut guard = lock(&self.inner);
            let inner = &mut *guard;
            let at = inner.policy.wait(self.clock.now(), b);
            let Some(hand) = inner.hand.get_mut(b).filter(|h| h.left.is_none()) else { return };
            hand.resting = Some(blocker.clone());
            if let Some(old) = hand.due.replace(at) {
                inner.due.remove(old, b);
            }
            if inner.due.insert(at, b)
                && let Some(timer) = &inner.timer
            {
                timer.unpark();
            }
        }
        let _ = blocker.park(None);
    }

    /// What became of a dispatch, and what to do after it.
    pub fn report(&self, b: usize, number: u8, answer: &Answer) -> Next {
        lock(&self.inner).policy.after(self.clock.now(), b, number, answer)
    }

    /// The coroutine of this batch ended without a word.
    pub fn lost(&self, b: usize) {
        lock(&self.inner).policy.lost(self.clock.now(), b);
    }

    /// So many fronts are to be counted.
    pub fn count(&self, fronts: usize) {
        lock(&self.inner).policy.count(fronts);
    }

    /// This front ends then.
    pub fn end_by(&self, at: At) {
        lock(&self.inner).policy.end_by(at);
    }

    pub fn note(&self, b: usize, number: u8, note: Note) {
        lock(&self.inner).policy.note(self.clock.now(), b, number, note);
    }

    /// The client left: nothing more is owed.
    pub fn leave(&self, b: usize) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let Some(hand) = inner.hand.get_mut(b).filter(|h| h.left.is_none()) else { return };
        hand.left = Some(!inner.policy.client_left(b).is_empty());
        if let Some(resting) = hand.resting.take() {
            resting.unpark();
        }
    }

    /// Whether the client left, and if so whether what is out is to be called off.
    pub fn left(&self, b: usize) -> Option<bool> {
        lock(&self.inner).hand.get(b).and_then(|h| h.left)
    }

    /// A batch that is over, with nothing of it out: its index is free.
    pub fn release(&self, b: usize) {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let Some(hand) = inner.hand.try_remove(b) else { return };
        inner.ids.remove(&hand.id);
        if let Some(at) = hand.due {
            inner.due.remove(at, b);
        }
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
            if inner.policy.forget(now, e) {
                inner.engines.forget(e);
            }
        }
        inner.policy.probes()
    }

    pub fn log_lines(&self) -> Vec<String> {
        lock(&self.inner).policy.log_lines()
    }

    /// The report of the engine that had this index when it was asked.
    pub fn probed(&self, e: usize, home: Home, report: Report) {
        let mut inner = lock(&self.inner);
        if inner.engines.home(e) == Some(home) {
            inner.policy.probed(self.clock.now(), e, report);
        }
    }

    /// Wakes the batches that have come due; the time of the next.
    pub fn wake_due(&self, timer: &Arc<Blocker>) -> Option<At> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        inner.timer = Some(timer.clone());
        for b in inner.due.take(self.clock.now()) {
            if let Some(hand) = inner.hand.get_mut(b) {
                hand.due = None;
                if let Some(resting) = hand.resting.take() {
                    resting.unpark();
                }
            }
        }
        inner.due.first()
    }

    /// Takes in an event of the notice board; the engines whose connections are of no more use.
    pub fn follow(&self, event: &Event) -> Vec<usize> {
        let mut guard = lock(&self.inner);
        let inner = &mut *guard;
        let changes = inner.engines.follow(event);
        let now = self.clock.now();
        for (e, engine) in &changes.told {
            inner.policy.engine(now, *e, *engine);
        }
        changes.left.iter().for_each(|e| inner.policy.engine_left(now, *e));
        let gone = changes.told.iter().filter(|(_, engine)| engine.state == EngineState::Gone);
        gone.map(|(e, _)| *e).chain(changes.left).chain(changes.moved).collect()
    }

    /// The last event of the notice board that was taken in.
    pub fn seen(&self) -> u64 {
        lock(&self.inner).engines.seen()
    }

    /// Whether what was picked for this process may still be sent there.
    pub fn is_open(&self, e: usize, home: Home, fresh: bool) -> bool {
        lock(&self.inner).engines.is_open(e, home, fresh)
    }

    /// None once it is gone and nothing of this front's is out there.
    pub fn home(&self, e: usize) -> Option<Home> {
        lock(&self.inner).engines.home(e)
    }
}
