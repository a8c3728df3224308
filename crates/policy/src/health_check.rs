//! Health checks: which engines are asked for a load report, and how often the cost of asking allows this.

use nanorand::{Rng, WyRand};

/// Maximum health checks per admitted request. The maximum applies where other gateways cause nearly all of the
/// engines' load, so that the gateway's own counts show little of the load.
const MAX_CHECKS_PER_REQUEST: f64 = 0.5;
/// Maximum cost of the health checks per admitted request, as a fraction of the request's priority weight.
const MAX_COST_PER_REQUEST: f64 = 0.0055;

/// An engine that may be health-checked.
#[derive(Clone, Copy)]
pub(crate) struct CheckCandidate {
    pub engine: usize,
    /// Estimated fraction of the engine's load that other gateways cause, in 0..=1.
    pub peer_load_fraction: f64,
}

/// Health checks that may be sent for the requests admitted so far.
#[derive(Default)]
pub(crate) struct HealthCheckBudget {
    /// Admitted requests that no health check was sent for yet.
    requests_since_check: f64,
}

impl HealthCheckBudget {
    pub(crate) fn record_request(&mut self) {
        self.requests_since_check += 1.0;
    }

    /// Draws the engines to check now at random; an engine may occur more than once. The larger the fraction of the
    /// load that other gateways cause, the more checks are drawn. `cost` is that of one check, as a fraction of a
    /// request's priority weight.
    pub(crate) fn draw(
        &mut self,
        cost: f64,
        candidates: &[CheckCandidate],
        random: &mut WyRand,
    ) -> Vec<usize> {
        let max_rate = MAX_CHECKS_PER_REQUEST.min(MAX_COST_PER_REQUEST / cost.max(1e-9));
        let peer_load: f64 = candidates.iter().map(|candidate| candidate.peer_load_fraction).sum();
        let rate = max_rate * peer_load / (candidates.len() as f64).max(1.0);
        let checks = (self.requests_since_check * rate).floor();
        self.requests_since_check -= if rate > 0.0 { checks / rate } else { self.requests_since_check };
        (0..checks as usize).map(|_| candidates[random.generate_range(0..candidates.len())].engine).collect()
    }
}
