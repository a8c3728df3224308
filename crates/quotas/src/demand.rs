//! What a front wants of each capacity, from what came to it lately: threads by service group, and batches by customer. What
//! was pushed back counts as what was served: a front that gets little must not seem to want little.

use crate::capacity::Capacity;
use larchfall_policy::interface::{Engine, ServiceGroup};

/// How much of what came lately still counts a look later.
const FADE: f64 = 0.7;
/// Whoever wants nothing still weighs a little, so that its first batches find a share.
const LEAST: f64 = 0.05;

/// Batches that came so far, by service group and by customer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    pub groups: Vec<u64>,
    pub customers: Vec<u64>,
}

impl Came {
    pub fn add(&mut self, group: usize, customer: Option<usize>) {
        let one = |counts: &mut Vec<u64>, i: usize| {
            counts.resize(counts.len().max(i + 1), 0);
            counts[i] += 1;
        };
        one(&mut self.groups, group);
        customer.into_iter().for_each(|c| one(&mut self.customers, c));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Demand {
    before: Came,
    groups: Vec<f64>,
    customers: Vec<f64>,
}

fn look(lately: &mut Vec<f64>, before: &[u64], now: &[u64]) {
    lately.resize(now.len(), 0.0);
    for (g, (lately, now)) in lately.iter_mut().zip(now).enumerate() {
        let new = now.saturating_sub(before.get(g).copied().unwrap_or(0));
        *lately = *lately * FADE + new as f64;
    }
}

impl Demand {
    /// One look, at steady times.
    pub fn look(&mut self, came: Came) {
        look(&mut self.groups, &self.before.groups, &came.groups);
        look(&mut self.customers, &self.before.customers, &came.customers);
        self.before = came;
    }

    /// Threads that are wanted of this engine, by the groups that may go there.
    pub fn of_engine(&self, engine: &Engine, groups: &[ServiceGroup]) -> f64 {
        let open = groups.iter().zip(&self.groups).filter(|(group, _)| group.may_go_to(engine));
        open.map(|(group, came)| group.threads.max(1.0) * came).sum::<f64>().max(LEAST)
    }

    pub fn of_customer(&self, c: usize) -> f64 {
        self.customers.get(c).copied().unwrap_or_default().max(LEAST)
    }
}

/// A capacity and how much of it is wanted.
pub type Wanted = (Capacity, f64);
