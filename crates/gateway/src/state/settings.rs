//! Settings of the transport, derived once at startup from the platform's settings.

use larchfall_config::{Names, Settings};
use larchfall_policy::time::Duration;
use larchfall_policy::types::Idempotency;

/// Upper bound of `drain_send_window`. An attempt that was routed longer ago is not sent to a draining engine, because
/// part of the engine's grace period has already passed.
const MAX_DRAIN_SEND_WINDOW: Duration = Duration::from_millis(600);
/// Fraction of an engine's drain grace period in which attempts may still be sent, so that none start in its later
/// part.
const DRAIN_SEND_FRACTION: f64 = 0.5;
/// Lower bound of `unsent_response_timeout`, so that a client that pauses reading for a while still gets its responses.
const MIN_UNSENT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Time after a request's deadline during which a response still counts as delivered.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Settings of the transport. Changes take effect only when the gateway restarts.
pub struct TransportSettings {
    /// Names of request classes, tenants and zones, by index.
    pub names: Names,
    /// Settings of the request classes, by index.
    pub classes: Vec<ClassSettings>,
    /// Whether a request may have at most one attempt in flight.
    pub single_attempt: bool,
    /// Retry-after time of requests that the gateway rejects by its own limits; `None` if clients get no such time.
    pub max_retry_after: Option<Duration>,
    /// Time after which an attempt to connect to an engine counts as failed.
    pub connect_timeout: Duration,
    /// Maximum time between the routing decision and the start of an attempt at an engine that has begun to drain.
    pub drain_send_window: Duration,
    /// Time without reads or writes after which a client with nothing but unsent responses counts as gone. It is longer
    /// than any of these responses can still be due.
    pub unsent_response_timeout: Duration,
}

/// Settings of a request class that the transport uses.
pub struct ClassSettings {
    /// Maximum time that clients wait for an answer.
    pub max_deadline: Duration,
    /// Whether requests with the same ordering key run one after the other.
    pub in_order: bool,
    /// Whether each request must carry an idempotency key.
    pub requires_idempotency_key: bool,
    /// Whether running a request a second time could repeat an effect.
    pub has_effect: bool,
}

impl TransportSettings {
    /// Derives the transport's settings from the platform's settings.
    pub fn new(settings: &Settings) -> TransportSettings {
        let classes: Vec<ClassSettings> = settings
            .policy
            .classes
            .iter()
            .zip(&settings.max_deadlines)
            .map(|(class, max_deadline)| ClassSettings {
                max_deadline: *max_deadline,
                in_order: class.in_order,
                requires_idempotency_key: matches!(class.idempotency, Idempotency::IdempotentWithKey { .. }),
                has_effect: !matches!(class.idempotency, Idempotency::Idempotent),
            })
            .collect();
        let longest_deadline = settings.max_deadlines.iter().max().copied().unwrap_or_default();
        TransportSettings {
            names: settings.names.clone(),
            classes,
            single_attempt: settings.single_attempt,
            max_retry_after: settings.policy.capabilities.max_retry_after,
            connect_timeout: settings.connect_timeout,
            drain_send_window: MAX_DRAIN_SEND_WINDOW.min(settings.drain_grace * DRAIN_SEND_FRACTION),
            unsent_response_timeout: MIN_UNSENT_RESPONSE_TIMEOUT.max(longest_deadline + LATE_RESPONSE_GRACE),
        }
    }

    /// Returns the maximum time that clients of any request class wait for an answer.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.max_deadline).max().unwrap_or_default()
    }
}
