//! Settings, ranks and learned estimates of the request classes.

use crate::memory_grant::MemoryGrant;
use crate::request_class::{RankedClass, rank};
use crate::slow_start::ClassDemand;
use crate::time::Duration;
use crate::types::RequestClass;
use crate::work_estimate::WorkEstimate;

/// Factor on the thread demand of all classes at each admitted request.
const DEMAND_DECAY_PER_REQUEST: f64 = 0.999;

/// Learned estimates of one request class.
struct ClassEstimates {
    work: WorkEstimate,
    memory: MemoryGrant,
    /// Recent requests multiplied by the threads per request. The first limits of a new engine are split
    /// between the classes in proportion to this demand.
    thread_demand: f64,
}

/// All request classes by index, with their ranks and learned estimates.
pub(crate) struct ClassTable {
    ranked: Vec<RankedClass>,
    estimates: Vec<ClassEstimates>,
}

impl ClassTable {
    /// Ranks the classes. A class with less than one thread per request counts as a class with one thread, so
    /// that no other part of the policy needs to check for smaller values.
    pub(crate) fn new(mut classes: Vec<RequestClass>) -> ClassTable {
        for class in &mut classes {
            class.threads = class.threads.max(1.0);
        }
        let initial_estimates = |class: &RequestClass| ClassEstimates {
            work: WorkEstimate::new(class),
            memory: MemoryGrant::new(),
            thread_demand: class.threads,
        };
        let estimates = classes.iter().map(initial_estimates).collect();
        ClassTable { ranked: rank(classes), estimates }
    }

    pub(crate) fn ranked(&self) -> &[RankedClass] {
        &self.ranked
    }

    pub(crate) fn settings(&self, class: usize) -> &RequestClass {
        &self.ranked[class].settings
    }

    /// Threads that one request of the class uses at its engine.
    pub(crate) fn threads(&self, class: usize) -> f64 {
        self.ranked[class].settings.threads
    }

    /// Priority that is sent to engines with each attempt of the class.
    pub(crate) fn wire_priority(&self, class: usize) -> u8 {
        self.ranked[class].aimd.wire_priority
    }

    pub(crate) fn work_estimate(&self, class: usize) -> &WorkEstimate {
        &self.estimates[class].work
    }

    pub(crate) fn work_estimate_mut(&mut self, class: usize) -> &mut WorkEstimate {
        &mut self.estimates[class].work
    }

    pub(crate) fn memory_grant(&self, class: usize) -> &MemoryGrant {
        &self.estimates[class].memory
    }

    pub(crate) fn memory_grant_mut(&mut self, class: usize) -> &mut MemoryGrant {
        &mut self.estimates[class].memory
    }

    /// Records the admission of a request of the class.
    pub(crate) fn record_request(&mut self, class: usize, work_hint: Option<Duration>) {
        for estimates in &mut self.estimates {
            estimates.thread_demand *= DEMAND_DECAY_PER_REQUEST;
        }
        self.estimates[class].thread_demand += self.threads(class);
        self.estimates[class].work.record_hint(work_hint);
    }

    /// Recent demand by class: requests multiplied by the threads per request.
    pub(crate) fn thread_demand(&self) -> Vec<f64> {
        self.estimates.iter().map(|estimates| estimates.thread_demand).collect()
    }

    /// Recent number of requests and their mean work, by class.
    pub(crate) fn class_demand(&self) -> Vec<ClassDemand> {
        let classes = self.estimates.iter().zip(&self.ranked);
        let demand = |(estimates, class): (&ClassEstimates, &RankedClass)| ClassDemand {
            requests: estimates.thread_demand / class.settings.threads,
            work_secs: estimates.work.mean_secs(),
        };
        classes.map(demand).collect()
    }
}
