//! The plan of all gateways at once. Each takes the engines that it likes best, but none that has as many gateways as is its
//! part (rendezvous hashing with bounded loads, after Mirrokni, Thorup, Zadimoghaddam: "Consistent Hashing with Bounded
//! Loads", 2018). Gateways choose one after the other in the order of their numbers, so one that comes or goes moves only
//! what comes after it, and of that only what meets a bound.

use crate::rank::order;
use crate::{Gateway, Listed, Need};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// So many engines at least that each request class may go to, where there are as many.
    pub least: usize,
    /// By so much of the mean an engine may have more gateways than that.
    pub slack: f64,
}

/// By gateway: the engines that it uses. The same at all that have the same lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub chosen: BTreeMap<u64, BTreeSet<u32>>,
    /// By engine: how many gateways use it.
    pub users: BTreeMap<u32, usize>,
}

impl Plan {
    pub fn make(
        settings: Settings,
        gateways: &BTreeSet<Gateway>,
        engines: &[Listed],
        needs: &[Need],
    ) -> Plan {
        let mut plan = Plan { chosen: BTreeMap::new(), users: engines.iter().map(|x| (x.id, 0)).collect() };
        let bounds: Vec<usize> = needs.iter().map(|need| settings.bound(gateways.len(), need)).collect();
        for gateway in gateways {
            let liked = order(*gateway, engines);
            let mut chosen = BTreeSet::new();
            for (need, bound) in needs.iter().zip(&bounds) {
                plan.choose(settings, &liked, need, *bound, &mut chosen);
            }
            plan.chosen.insert(gateway.number, chosen);
        }
        plan
    }

    /// Adds to what is chosen until the need is met: with enough engines, in two cells where there are two.
    fn choose(
        &mut self,
        settings: Settings,
        liked: &[&Listed],
        need: &Need,
        bound: usize,
        chosen: &mut BTreeSet<u32>,
    ) {
        let open: Vec<&&Listed> = liked.iter().filter(|x| need.has(x.id)).collect();
        let cells: BTreeSet<usize> = open.iter().map(|x| x.told.cell).collect();
        let mut met: Vec<&Listed> = open.iter().filter(|x| chosen.contains(&x.id)).map(|x| **x).collect();
        let want = settings.least.min(open.len());
        loop {
            // Where there are two cells all of them in one would go together: the last has to be in another.
            let one = met.first().map(|x| x.told.cell).filter(|c| met.iter().all(|x| x.told.cell == *c));
            let other = one.filter(|_| want > 1 && cells.len() > 1 && met.len() + 1 >= want);
            if met.len() >= want && other.is_none() {
                return;
            }
            let may = |x: &&&&Listed| !chosen.contains(&x.id) && other != Some(x.told.cell);
            let free = |x: &&&&Listed| self.users.get(&x.id).is_some_and(|users| *users < bound);
            let best = open.iter().find(|x| may(x) && free(x));
            // All at their bound: the one with the fewest.
            let best = best.or_else(|| open.iter().filter(may).min_by_key(|x| self.users.get(&x.id)));
            let Some(best) = best else { return };
            chosen.insert(best.id);
            met.push(best);
            *self.users.entry(best.id).or_default() += 1;
        }
    }

    /// The part of an engine that is one of its users'.
    pub fn part(&self, engine: u32) -> Option<f64> {
        self.users.get(&engine).filter(|users| **users > 0).map(|users| 1.0 / *users as f64)
    }
}

impl Settings {
    /// How many gateways an engine may have for this need: all that are wanted, spread evenly, and a little more.
    fn bound(&self, gateways: usize, need: &Need) -> usize {
        let wanted = gateways as f64 * self.least.min(need.len()) as f64;
        (wanted / need.len() as f64 * (1.0 + self.slack)).ceil().max(1.0) as usize
    }
}
