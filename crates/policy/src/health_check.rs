//! Health checks: how often engines are asked for a load report, as far as the price of asking allows.

use nanorand::{Rng, WyRand};

/// Health checks for each admitted request, where the gateway's own counts show next to nothing of an engine's load.
const CHECKS_PER_REQUEST: f64 = 0.5;
/// Part of a request's priority weight that they may cost.
const MAX_COST_PER_REQUEST: f64 = 0.0055;

/// An engine that may be asked, and the part of its load that other gateways cause.
#[derive(Clone, Copy)]
pub(crate) struct CheckCandidate {
    pub engine: usize,
    pub peer_load_fraction: f64,
}

/// Admitted requests that no health check was sent for yet.
#[derive(Default)]
pub(crate) struct HealthCheckBudget {
    requests: f64,
}

impl HealthCheckBudget {
    pub(crate) fn record_request(&mut self) {
        self.requests += 1.0;
    }

    /// Engines to ask now, drawn by chance: the less this gateway's own counts show, the more of them.
    pub(crate) fn draw(
        &mut self,
        cost: f64,
        candidates: &[CheckCandidate],
        random: &mut WyRand,
    ) -> Vec<usize> {
        let max_rate = CHECKS_PER_REQUEST.min(MAX_COST_PER_REQUEST / cost.max(1e-9));
        let peer_load: f64 = candidates.iter().map(|candidate| candidate.peer_load_fraction).sum();
        let rate = max_rate * peer_load / (candidates.len() as f64).max(1.0);
        let checks = (self.requests * rate).floor();
        self.requests -= if rate > 0.0 { checks / rate } else { self.requests };
        (0..checks as usize).map(|_| candidates[random.generate_range(0..candidates.len())].engine).collect()
    }
}
