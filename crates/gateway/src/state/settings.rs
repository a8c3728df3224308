//! What the transport needs of the platform's settings, worked out once at the start.

use larchfall_config::{Names, Settings};
use larchfall_policy::time::Duration;
use larchfall_policy::types::Idempotency;

/// What was routed longer ago is not sent to an engine that drains by now: its grace period runs. Nor is anything in
/// the later part of that grace period.
const MAX_DRAIN_SEND_WINDOW: Duration = Duration::from_millis(600);
const DRAIN_SEND_FRACTION: f64 = 0.5;
/// Responses that wait unread for this long, and for longer than any of them is still owed, have no reader; a client
/// that only stands still for a while is owed them.
const UNREAD_RESPONSE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// A response still counts as given for this long after its request's deadline.
const LATE_RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Settings of the transport. They change with the next start only.
pub struct TransportSettings {
    /// Names of classes, tenants and zones, by index.
    pub names: Names,
    /// Request classes, by index.
    pub classes: Vec<ClassSettings>,
    /// No request may have two attempts in flight.
    pub single_attempt: bool,
    /// When to try again, for what the gateway itself rejects.
    pub max_retry_after: Option<Duration>,
    /// A connection to an engine that is not up by then counts as failed.
    pub connect_timeout: Duration,
    /// An engine that drains by now is sent what was routed to it no longer ago than this.
    pub drain_send_window: Duration,
    /// Responses that wait unread for this long have no reader.
    pub unsent_response_timeout: Duration,
}

/// What the transport needs to know of a request class.
pub struct ClassSettings {
    /// The longest time that clients wait for an answer.
    pub max_deadline: Duration,
    /// Requests of one key go one after the other.
    pub in_order: bool,
    /// Requests carry an idempotency key.
    pub requires_idempotency_key: bool,
}

impl TransportSettings {
    /// Takes what the transport needs of all settings.
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
            })
            .collect();
        let longest = settings.max_deadlines.iter().max().copied().unwrap_or_default();
        TransportSettings {
            names: settings.names.clone(),
            classes,
            single_attempt: settings.single_attempt,
            max_retry_after: settings.policy.capabilities.max_retry_after,
            connect_timeout: settings.connect_timeout,
            drain_send_window: MAX_DRAIN_SEND_WINDOW.min(settings.drain_grace * DRAIN_SEND_FRACTION),
            unsent_response_timeout: UNREAD_RESPONSE_TIMEOUT.max(longest + LATE_RESPONSE_GRACE),
        }
    }

    /// The longest time that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.max_deadline).max().unwrap_or_default()
    }
}
