//! All that a gateway does with what it saw of engines and with what others told, but for the net and for the judgement itself:
//! which outcomes count beside its own, and whether it is its turn to try what is left out.

use crate::books::{Books, Told};
use crate::turns::Turns;
use crate::weigh::{self, Weigher, tells_of_own_net};
use crate::{Counts, Process};
use larchfall_policy::time::{Duration, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// How many gateways and processes are noted at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub gateways: usize,
    pub processes: usize,
}

#[derive(Clone, Debug)]
pub struct Desk {
    books: Books,
    weigher: Weigher,
    /// Where gateways take turns.
    turns: Option<Turns>,
    /// What this gateway had seen itself when it last looked.
    own: BTreeMap<Process, Counts>,
}

impl Desk {
    /// With `turn` one gateway tries what is left out in each such time, else each by itself.
    pub fn new(bounds: Bounds, weigh: weigh::Settings, turn: Option<Duration>) -> Desk {
        Desk {
            books: Books::new(bounds.gateways, bounds.processes),
            weigher: Weigher::new(weigh),
            turns: turn.map(Turns::new),
            own: BTreeMap::new(),
        }
    }

    /// A letter of a gateway, its process and zone, about what it saw itself.
    pub fn hear(&mut self, who: (&str, u64, &str), number: u64, told: &[(Process, Counts)], now: Timestamp) {
        self.books.hear(who, number, told, now);
    }

    /// Outcomes that count beside this gateway's own since the last look, bad or not, by process. `sights` is all that it saw
    /// itself; `living` the gateways that live, with their zones; `is_there` says which processes the list still names.
    pub fn look(
        &mut self,
        sights: Vec<(Process, Counts)>,
        living: &BTreeMap<String, String>,
        is_there: impl Fn(Process) -> bool,
        now: Timestamp,
    ) -> Vec<(Process, bool)> {
        let Desk { books, weigher, turns, own } = self;
        if let Some(turns) = turns {
            turns.keep(&is_there);
            for (process, counts) in &sights {
                let before = own.get(process).copied().unwrap_or_default();
                turns.see(*process, counts.since(before), now);
            }
        }
        *own = sights.into_iter().collect();
        books.keep(|gateway, _| living.contains_key(gateway), &is_there);
        weigher.keep(&is_there, now);
        let zones: BTreeSet<String> = living.values().cloned().collect();
        let mut outcomes = Vec::new();
        for (process, new) in books.take() {
            let new: Vec<_> = new.into_iter().map(|n| (n.clone(), books.sees_failing(&n.gateway))).collect();
            if let Some(turns) = turns {
                let sound = new.iter().filter(|(_, sees)| !tells_of_own_net(*sees));
                sound.for_each(|(word, _)| turns.see(process, word.counts, now));
            }
            let said = weigher.weigh(process, &new, &zones, now);
            outcomes.extend(weigher.outcomes(process, said).map(|bad| (process, bad)));
        }
        outcomes
    }

    /// What others told of a process, and what this gateway had seen itself when it last looked.
    pub fn known(&self, of: Process) -> (Told, Counts) {
        (self.books.told(of), self.own.get(&of).copied().unwrap_or_default())
    }

    /// Whether this gateway may try a process that it left out, among those that live.
    pub fn may_try(&self, me: &str, of: Process, living: &BTreeMap<String, String>, now: Timestamp) -> bool {
        let living = living.keys().map(String::as_str);
        self.turns.as_ref().is_none_or(|turns| turns.may_try(me, of, living, now))
    }
}
