//! One gateway: its decisions, the requests in hand, its timers, and the door where ids become small indices.

use crate::wire::Reply;
use larchfall_config as settings;
use larchfall_policy::interface::*;
use larchfall_policy::policy::{Policy, TICK};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeSet, HashMap};

const TICK_TAG: u64 = 0;
const DUE_TAG: u64 = 1;

struct Slot {
    id: u32,
    out: usize,
    over: bool,
    due: Option<Timestamp>,
}

pub struct Gateway {
    who: u32,
    policy: Policy,
    classes: usize,
    pub tenants: usize,
    pub tells_work: bool,
    report_fields: Vec<String>,
    slots: Vec<Slot>,
    spare: Vec<usize>,
    by_id: HashMap<u32, usize>,
    engines: Vec<([u8; 6], Engine)>,
    engine_ix: HashMap<[u8; 6], usize>,
    due: BTreeSet<(Timestamp, usize)>,
    timer_at: Option<Timestamp>,
}

impl Gateway {
    pub fn start(
        who: u32,
        seed: u64,
        boot: &[u8],
        now: Timestamp,
        reply: &mut Reply,
    ) -> Result<Gateway, String> {
        let s = settings::read(boot)?;
        let (classes, tenants) = (s.given.classes.len(), s.given.tenants.len());
        let policy = Policy::new(seed, s.given);
        if s.must_ask {
            reply.watch(who);
        }
        let gateway = Gateway {
            who,
            policy,
            classes,
            tenants,
            tells_work: s.tells_work,
            report_fields: s.report_fields,
            slots: Vec::new(),
            spare: Vec::new(),
            by_id: HashMap::new(),
            engines: Vec::new(),
            engine_ix: HashMap::new(),
            due: BTreeSet::new(),
            timer_at: None,
        };
        gateway.next_tick(now, reply);
        Ok(gateway)
    }

    fn next_tick(&self, now: Timestamp, reply: &mut Reply) {
        reply.schedule(self.who, (now + TICK).micros(), TICK_TAG);
    }

    pub fn report(&self, values: &[f64]) -> LoadReport {
        let field = |name| self.report_fields.iter().zip(values).find(|(n, _)| *n == name).map(|(_, v)| *v);
        LoadReport { in_hand: field("concurrent"), busy: field("load_share") }
    }

    /// The list's entries: all of them, or changes only.
    pub fn list(&mut self, now: Timestamp, entries: &[([u8; 6], Engine)], whole: bool) {
        let mut named = vec![false; self.engines.len()];
        for (address, engine) in entries {
            let next = self.engines.len();
            let e = *self.engine_ix.entry(*address).or_insert(next);
            if e == next {
                self.engines.push((*address, *engine));
                named.push(false);
            }
            named[e] = true;
            self.engines[e].1 = *engine;
            self.policy.update_engine(now, e, *engine);
        }
        // A whole list drops what it does not name.
        for (e, (_, engine)) in self.engines.iter().enumerate().filter(|(e, _)| whole && !named[*e]) {
            self.policy.update_engine(now, e, Engine { state: EngineState::Gone, ..*engine });
        }
    }

    pub fn take(
        &mut self,
        now: Timestamp,
        id: u32,
        request: Request,
        reply: &mut Reply,
    ) -> Result<(), String> {
        if request.class >= self.classes {
            return Err(format!("front {}, id {id}: no service group {}", self.who, request.class));
        }
        let slot = Slot { id, out: 0, over: false, due: None };
        let b = match self.spare.pop() {
            Some(b) => {
                self.slots[b] = slot;
                b
            }
            None => {
                self.slots.push(slot);
                self.slots.len() - 1
            }
        };
        if self.by_id.insert(id, b).is_some() {
            return Err(format!("front {}: id {id} came twice", self.who));
        }
        self.policy.admit(now, b, request);
        self.ask(now, b, reply);
        Ok(())
    }

    pub fn outcome(
        &mut self,
        now: Timestamp,
        id: u32,
        number: u8,
        answer: &AttemptResult,
        reply: &mut Reply,
    ) {
        let Some(&b) = self.by_id.get(&id) else { return };
        let slot = &mut self.slots[b];
        slot.out = slot.out.saturating_sub(1);
        slot.over |= answer.over;
        match self.policy.on_attempt_finished(now, b, number, answer) {
            AfterAttempt::RouteAgain => self.ask(now, b, reply),
            AfterAttempt::Finished => self.leave(b),
        }
    }

    pub fn client_left(&mut self, id: u32, reply: &mut Reply) {
        let Some(&b) = self.by_id.get(&id) else { return };
        if !self.slots[b].over {
            for number in self.policy.on_client_disconnected(b) {
                reply.call_off(self.who, id, number);
            }
            self.slots[b].over = true;
        }
        self.leave(b);
    }

    pub fn note(&mut self, now: Timestamp, id: u32, number: u8, note: ProgressUpdate) {
        if let Some(&b) = self.by_id.get(&id) {
            self.policy.on_progress(now, b, number, note);
        }
    }

    pub fn probed(&mut self, now: Timestamp, address: [u8; 6], report: LoadReport) {
        if let Some(&e) = self.engine_ix.get(&address) {
            self.policy.on_load_report(now, e, report);
        }
    }

    pub fn timer(&mut self, now: Timestamp, tag: u64, reply: &mut Reply) {
        if tag == TICK_TAG {
            self.policy.tick(now);
            for e in self.policy.health_checks() {
                reply.ping(self.who, self.engines[e].0);
            }
            self.next_tick(now, reply);
            return;
        }
        if self.timer_at.is_some_and(|at| at <= now) {
            self.timer_at = None;
        }
        // Each is asked once: whatever comes due again at this reading of the clock waits for the next.
        let later = self.due.split_off(&(now + Duration::from_micros(1), 0));
        for (_, b) in std::mem::replace(&mut self.due, later) {
            self.slots[b].due = None;
            self.ask(now, b, reply);
        }
    }

    /// Writes what the module answers until it has nothing more to say, then notes when to ask again.
    fn ask(&mut self, now: Timestamp, b: usize, reply: &mut Reply) {
        let (who, id) = (self.who, self.slots[b].id);
        loop {
            if self.slots[b].over {
                return self.leave(b);
            }
            match self.policy.route(now, b) {
                RoutingDecision::Send(d) => {
                    self.slots[b].out += 1;
                    reply.resources(who, id, d.memory_mb.unwrap_or(0.0) as f32, d.priority);
                    let allow = d.time_out.micros().clamp(1, u64::from(i32::MAX as u32)) as u32;
                    reply.call_out(who, id, self.engines[d.engine].0, allow);
                }
                RoutingDecision::Wait => break,
                RoutingDecision::Reject(wait) => {
                    reply.deny(
                        who,
                        id,
                        wait.unwrap_or(Duration::ZERO).micros().min(u64::from(u32::MAX)) as u32,
                    );
                    self.slots[b].over = true;
                }
                RoutingDecision::Fail => {
                    reply.abort(who, id);
                    self.slots[b].over = true;
                }
                RoutingDecision::CancelAttempt(number) => reply.call_off(who, id, number),
            }
        }
        let at = self.policy.next_check(now, b);
        if let Some(old) = self.slots[b].due.replace(at) {
            self.due.remove(&(old, b));
        }
        self.due.insert((at, b));
    }

    /// Lets go of a request once it is over and nothing of it is out.
    fn leave(&mut self, b: usize) {
        if let Some(at) = self.slots[b].due.take() {
            self.due.remove(&(at, b));
        }
        if self.slots[b].over && self.slots[b].out == 0 {
            self.by_id.remove(&self.slots[b].id);
            self.spare.push(b);
        }
    }

    /// After all events of one reading of the clock: the timer for what is due next, and the module's log
    /// lines.
    pub fn settle(&mut self, reply: &mut Reply) {
        if let Some(&(at, _)) = self.due.first()
            && self.timer_at.is_none_or(|armed| at < armed)
        {
            reply.schedule(self.who, at.micros(), DUE_TAG);
            self.timer_at = Some(at);
        }
        for event in self.policy.take_events() {
            reply.trace(self.who, &event.to_string());
        }
    }
}
