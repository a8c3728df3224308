//! Which process of a gateway ran when. Processes are numbered in the order of their starts, over all gateways.

use std::collections::HashSet;
use std::time::Instant;

struct ProcessStart {
    gateway: usize,
    at: Instant,
}

/// The processes of a run.
pub(crate) struct Processes {
    /// By number.
    starts: Vec<ProcessStart>,
    /// By gateway: the process that runs now.
    current: Vec<usize>,
    /// Processes that were killed or told to end.
    ended: HashSet<usize>,
}

impl Processes {
    /// One process of each gateway.
    pub(crate) fn new(gateways: usize) -> Processes {
        let starts = (0..gateways).map(|gateway| ProcessStart { gateway, at: Instant::now() }).collect();
        Processes { starts, current: (0..gateways).collect(), ended: HashSet::new() }
    }

    /// Another process of a gateway has replaced the one before; its number.
    pub(crate) fn replace(&mut self, gateway: usize) -> usize {
        let process = self.starts.len();
        self.starts.push(ProcessStart { gateway, at: Instant::now() });
        self.ended.insert(std::mem::replace(&mut self.current[gateway], process));
        process
    }

    /// Whether the first process of a gateway still runs.
    pub(crate) fn is_first(&self, gateway: usize) -> bool {
        self.current[gateway] == gateway
    }

    /// Whether a process was killed or told to end.
    pub(crate) fn has_ended(&self, process: usize) -> bool {
        self.ended.contains(&process)
    }

    /// The process that a gateway was at some time.
    pub(crate) fn running_at(&self, gateway: usize, at: Instant) -> usize {
        let started = |start: &ProcessStart| start.gateway == gateway && start.at <= at;
        self.starts.iter().rposition(started).unwrap_or(gateway)
    }

    /// All processes of a gateway.
    pub(crate) fn of_gateway(&self, gateway: usize) -> impl Iterator<Item = usize> + '_ {
        (0..self.starts.len()).filter(move |process| self.starts[*process].gateway == gateway)
    }
}
