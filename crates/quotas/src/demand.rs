//! What a gateway wants of each capacity, from what came to it lately: threads by request class, and requests by tenant. What
//! was pushed back counts as what was served: a gateway that gets little must not seem to want little.

use crate::capacity::Capacity;
use larchfall_policy::interface::{Engine, RequestClass};

/// How much of what came lately still counts a look later.
const FADE: f64 = 0.7;
/// Whoever wants nothing still weighs a little, so that its first requests find a share.
const LEAST: f64 = 0.05;

/// Requests that came so far, by request class and by tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Came {
    pub classes: Vec<u64>,
    pub tenants: Vec<u64>,
}

impl Came {
    pub fn add(&mut self, class: usize, tenant: Option<usize>) {
        let one = |counts: &mut Vec<u64>, i: usize| {
            counts.resize(counts.len().max(i + 1), 0);
            counts[i] += 1;
        };
        one(&mut self.classes, class);
        tenant.into_iter().for_each(|c| one(&mut self.tenants, c));
    }
}

#[derive(Clone, Debug, Default)]
pub struct Demand {
    before: Came,
    classes: Vec<f64>,
    tenants: Vec<f64>,
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
        look(&mut self.classes, &self.before.classes, &came.classes);
        look(&mut self.tenants, &self.before.tenants, &came.tenants);
        self.before = came;
    }

    /// Threads that are wanted of this engine, by the classes that may go there.
    pub fn of_engine(&self, engine: &Engine, classes: &[RequestClass]) -> f64 {
        let open = classes.iter().zip(&self.classes).filter(|(class, _)| class.allows_engine(engine));
        open.map(|(class, came)| class.threads.max(1.0) * came).sum::<f64>().max(LEAST)
    }

    pub fn of_tenant(&self, c: usize) -> f64 {
        self.tenants.get(c).copied().unwrap_or_default().max(LEAST)
    }
}

/// A capacity and how much of it is wanted.
pub type Wanted = (Capacity, f64);
