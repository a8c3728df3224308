//! What is learned of each request class.

use crate::memory_grant::MemoryGrant;
use crate::request_class::{RankedClass, rank};
use crate::slow_start::ClassDemand;
use crate::time::Duration;
use crate::types::RequestClass;
use crate::work_estimate::WorkEstimate;

/// What is left of the threads that each class wanted, after each further request.
const WANTED_DECAY: f64 = 0.999;

/// Estimates of one class.
struct Learned {
    work: WorkEstimate,
    memory: MemoryGrant,
    /// Threads times requests lately: what the first limits of an engine are split by.
    thread_demand: f64,
}

/// All classes, ranked, with what is learned of each.
pub(crate) struct ClassTable {
    ranked: Vec<RankedClass>,
    learned: Vec<Learned>,
}

impl ClassTable {
    /// Classes of less than one thread count as one: no part below asks again.
    pub(crate) fn new(mut classes: Vec<RequestClass>) -> ClassTable {
        for class in &mut classes {
            class.threads = class.threads.max(1.0);
        }
        let learned = |class: &RequestClass| Learned {
            work: WorkEstimate::new(class),
            memory: MemoryGrant::new(),
            thread_demand: class.threads,
        };
        let learned = classes.iter().map(learned).collect();
        ClassTable { ranked: rank(classes), learned }
    }

    pub(crate) fn ranked(&self) -> &[RankedClass] {
        &self.ranked
    }

    pub(crate) fn settings(&self, class: usize) -> &RequestClass {
        &self.ranked[class].settings
    }

    pub(crate) fn threads(&self, class: usize) -> f64 {
        self.ranked[class].settings.threads
    }

    pub(crate) fn wire_priority(&self, class: usize) -> u8 {
        self.ranked[class].aimd.wire_priority
    }

    pub(crate) fn work_estimate(&self, class: usize) -> &WorkEstimate {
        &self.learned[class].work
    }

    pub(crate) fn work_estimate_mut(&mut self, class: usize) -> &mut WorkEstimate {
        &mut self.learned[class].work
    }

    pub(crate) fn memory_grant(&self, class: usize) -> &MemoryGrant {
        &self.learned[class].memory
    }

    pub(crate) fn memory_grant_mut(&mut self, class: usize) -> &mut MemoryGrant {
        &mut self.learned[class].memory
    }

    /// A request of the class was admitted.
    pub(crate) fn record_request(&mut self, class: usize, work_hint: Option<Duration>) {
        for learned in &mut self.learned {
            learned.thread_demand *= WANTED_DECAY;
        }
        self.learned[class].thread_demand += self.threads(class);
        self.learned[class].work.record_hint(work_hint);
    }

    pub(crate) fn thread_demand(&self) -> Vec<f64> {
        self.learned.iter().map(|learned| learned.thread_demand).collect()
    }

    /// Requests lately and their usual work, by class.
    pub(crate) fn class_demand(&self) -> Vec<ClassDemand> {
        let classes = self.learned.iter().zip(&self.ranked);
        let mix = |(learned, class): (&Learned, &RankedClass)| ClassDemand {
            requests: learned.thread_demand / class.settings.threads,
            work: learned.work.mean_secs(),
        };
        classes.map(mix).collect()
    }
}
