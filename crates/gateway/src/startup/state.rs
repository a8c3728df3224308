//! Builds what the gateway's coroutines share, from the checked configuration.

use crate::discovery;
use crate::engines::attempt::RUNS_ON;
use crate::state::State;
use crate::state::alarms::Alarms;
use crate::state::clock::Clock;
use crate::state::counters::Counters;
use crate::state::facade::Facade;
use crate::state::limits::Limits;
use crate::state::peer::Peers;
use crate::state::pool::Pool;
use crate::state::stalls::Stalls;
use larchfall_config::Settings;
use larchfall_leases::load_sharing::{LoadReportSharing, LoadSharingSettings};
use larchfall_policy::interface::{Caps, Idempotency, PolicyConfig};
use larchfall_policy::policy::Policy;
use larchfall_policy::time::Duration;
use slog::Logger;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};

/// A request that was routed longer ago is not sent to an engine that is draining by now: its grace runs out. Nor is
/// one that would begin in the later part of that grace.
const ROUTE_VALID: Duration = Duration::from_millis(600);
const ROUTE_VALID_GRACE: f64 = 0.5;
/// Responses that wait unread for so long, and for longer than any of them is still owed, have no reader; a client that
/// is only stalled for a while is still owed them.
const RESPONSES_KEPT: Duration = Duration::from_millis(10_000);
/// A response still counts as given for so long after its request's deadline.
const LATE_RESPONSES: Duration = Duration::from_millis(500);

/// What the state is built from.
pub(super) struct StateSettings {
    pub(super) platform: Settings,
    pub(super) limits: Limits,
    pub(super) seed: u64,
    pub(super) log: Logger,
    /// Load reports shared between gateways, where the operator's file has them.
    pub(super) probing: Option<LoadSharingSettings>,
    pub(super) clock: Clock,
}

pub(super) fn build(settings: StateSettings) -> State {
    let StateSettings { platform, limits, seed, log, probing, clock } = settings;
    let classes = &platform.given.classes;
    let in_order = classes.iter().map(|class| class.in_order).collect();
    let has_idempotency_key =
        classes.iter().map(|class| matches!(class.effect, Idempotency::IdempotentWithKey { .. })).collect();
    let max_retry_after = platform.given.caps.max_retry_after;
    let longest_deadline = platform.limits.iter().max().copied().unwrap_or_default();
    let caps = Caps {
        unobserved_attempt_lifetime: Some(RUNS_ON),
        idle_connection_lifetime: Pool::kept(platform.idle_close),
        endpoint_list_lifetime: Some(discovery::REPORTED_WITHIN + platform.drain_grace),
        single_attempt: platform.single_attempt,
        ..platform.given.caps
    };
    let alarms = Arc::new(Alarms::new(clock));
    let policy = Policy::new(seed, PolicyConfig { caps, ..platform.given });
    State {
        clock,
        counters: Counters::new(platform.names.classes.len()),
        names: platform.names,
        class_limits: platform.limits,
        in_order,
        single_attempt: platform.single_attempt,
        referenced: has_idempotency_key,
        max_retry_after,
        connect_within: platform.connect_within,
        pick_holds: ROUTE_VALID.min(platform.drain_grace * ROUTE_VALID_GRACE),
        answers_kept: RESPONSES_KEPT.max(longest_deadline + LATE_RESPONSES),
        facade: Facade::new(policy, clock, limits.requests, alarms.clone()),
        alarms,
        peers: Peers::new(limits.unread),
        pool: Pool::new(limits.engine_links, platform.idle_close),
        stalls: Stalls::start(clock.now()),
        limits,
        log,
        ends: Mutex::new(None),
        done: AtomicBool::new(false),
        discovery: AtomicU64::new(0),
        discovery_heard: AtomicU64::new(clock.now().micros()),
        probing: probing.map(|settings| Mutex::new(LoadReportSharing::new(settings, clock.now()))),
    }
}
