//! One gateway's shares of all capacities that are handed out, and its part as the keeper of some: whom it asks and when,
//! what it answers, and what part of each it may use.

use crate::Terms;
use crate::capacity::Capacity;
use crate::demand::{Came, Demand, Wanted};
use crate::holder::Holder;
use crate::keeper::{Fairness, Keeper};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// Shares are asked for so many times within their length.
const ASKS: f64 = 4.0;
const ROUNDS: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Of what is strict, and of all else.
    pub strict: Terms,
    pub soft: Terms,
    /// How many keepers share the capacities.
    pub keepers: usize,
    /// Of more than this a gateway has its own part only.
    pub most: usize,
}

impl Settings {
    fn terms(&self, key: u64) -> Terms {
        if Capacity::of(key).is_none_or(Capacity::is_strict) { self.strict } else { self.soft }
    }
}

/// What goes to one keeper: how much is wanted of each of its capacities.
#[derive(Clone, Debug, PartialEq)]
pub struct Asking {
    pub keeper: usize,
    pub round: u32,
    pub wants: Vec<(u64, f32)>,
}

pub struct Shares {
    settings: Settings,
    holders: BTreeMap<u64, Holder>,
    keepers: BTreeMap<u64, (u64, Keeper)>,
    rounds: VecDeque<(u32, Timestamp)>,
    round: u32,
    next: Timestamp,
    demand: Demand,
}

impl Shares {
    pub fn new(settings: Settings, now: Timestamp) -> Shares {
        Shares {
            settings,
            holders: BTreeMap::new(),
            keepers: BTreeMap::new(),
            rounds: VecDeque::new(),
            round: 0,
            next: now,
            demand: Demand::default(),
        }
    }

    /// How many gateways there are at most, and how long shares last, by this gateway's file.
    pub fn terms(&self) -> (usize, Duration) {
        (self.settings.strict.gateways, self.settings.strict.length)
    }

    pub fn keepers(&self) -> usize {
        self.settings.keepers
    }

    pub fn due(&self) -> Timestamp {
        self.next
    }

    /// What came to this gateway in all, and what it wants by that of all that is handed out: what to ask of which keeper, if
    /// it is time. Capacities that are no longer among them leave memory.
    pub fn asks(
        &mut self,
        came: impl FnOnce() -> Came,
        wanted: impl FnOnce(&Demand) -> Vec<Wanted>,
        keeper_of: impl Fn(u64) -> usize,
        now: Timestamp,
    ) -> Vec<Asking> {
        if now < self.next {
            return Vec::new();
        }
        self.next = now + self.settings.strict.length * (1.0 / ASKS);
        self.demand.look(came());
        let wanted = wanted(&self.demand).into_iter().take(self.settings.most);
        let wanted: BTreeMap<u64, f64> = wanted.map(|(what, weight)| (what.key(), weight)).collect();
        self.holders.retain(|key, _| wanted.contains_key(key));
        for key in wanted.keys() {
            self.holders.entry(*key).or_insert(Holder::new(self.settings.terms(*key)));
        }
        // What was handed out of a capacity that is wanted here no more may be in use at others.
        self.keepers.retain(|key, (_, keeper)| wanted.contains_key(key) || !keeper.is_idle(now));
        self.round = self.round.wrapping_add(1);
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS {
            self.rounds.pop_front();
        }
        let mut by_keeper: BTreeMap<usize, Vec<(u64, f32)>> = BTreeMap::new();
        for (key, weight) in wanted {
            by_keeper.entry(keeper_of(key)).or_default().push((key, weight as f32));
        }
        let round = self.round;
        by_keeper.into_iter().map(|(keeper, wants)| Asking { keeper, round, wants }).collect()
    }

    /// As the keeper under this token: the shares of one that asked; none of those that no share can be handed out of yet,
    /// and none at all to one whose file has other terms: what it counts on would not be what is counted here.
    pub fn answer(
        &mut self,
        token: u64,
        (gateway, by): (&str, (usize, Duration)),
        wants: &[(u64, f32)],
        now: Timestamp,
    ) -> Vec<(u64, f64)> {
        let mut handed = Vec::new();
        if by != self.terms() {
            return handed;
        }
        for (key, weight) in wants {
            let (terms, kept) = (self.settings.terms(*key), self.keepers.len());
            match self.keepers.get_mut(key) {
                // Another token is another holding: what was handed out meanwhile is not known here.
                Some(keeper) if keeper.0 != token => *keeper = (token, Keeper::new(terms, now)),
                None if kept >= self.settings.most => continue,
                None => drop(self.keepers.insert(*key, (token, Keeper::new(terms, now)))),
                Some(_) => {}
            }
            let keeper = self.keepers.get_mut(key);
            let share = keeper.and_then(|(_, keeper)| keeper.ask(gateway, f64::from(*weight), 1.0, now));
            handed.extend(share.map(|share| (*key, share)));
        }
        handed
    }

    /// A keeper's answer to what was asked in that round.
    pub fn granted(&mut self, round: u32, token: u64, handed: &[(u64, f64)], now: Timestamp) -> usize {
        let Some(asked) = self.rounds.iter().find(|(number, _)| *number == round).map(|(_, at)| *at) else {
            return 0;
        };
        let mut taken = 0;
        for (key, share) in handed {
            if let Some(holder) = self.holders.get_mut(key) {
                taken += usize::from(holder.granted(*share, token, asked, now));
            }
        }
        taken
    }

    /// By key: the part that this gateway may use now, and whether that was handed out.
    pub fn parts(&self, now: Timestamp) -> impl Iterator<Item = (u64, f64, bool)> {
        self.holders.iter().map(move |(key, holder)| (*key, holder.part(now), holder.has_share(now)))
    }

    /// The part of a strict capacity that nobody has handed out yet.
    pub fn careful(&self) -> f64 {
        self.settings.strict.alone()
    }

    /// What this gateway hands out just now, and how fairly.
    pub fn kept(&self, now: Timestamp) -> impl Iterator<Item = (u64, Fairness)> {
        let busy = self.keepers.iter().filter(move |(_, (_, keeper))| !keeper.is_idle(now));
        busy.map(|(key, (_, keeper))| (*key, keeper.fairness()))
    }
}
