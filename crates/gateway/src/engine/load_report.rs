//! Fetches load reports from engines.

use super::connection::connect;
use crate::codec::engine_http;
use crate::state::State;
use larchfall_policy::types::LoadReport;

/// Fetches an engine's load report and passes the report to the policy. Returns `None` when the call fails, or when no
/// connection permit is free: attempts take precedence over load reports.
pub fn fetch(state: &State, engine: usize) -> Option<LoadReport> {
    let instance = state.policy.engine_instance(engine)?;
    let _permit = state.engine_connections.acquire(0, None)?;
    state.counters.update_gateway(|counters| counters.load_report_requests += 1);
    let deadline = state.clock.now() + state.settings.connect_timeout;
    let mut connection = connect(state, instance, deadline).ok()?;
    let reply =
        connection.call(&engine_http::encode_load_call(instance.address), &state.clock, deadline).ok()?;
    if !reply.closes_connection {
        state.engine_connections.put_back(connection, state.clock.now());
    }
    state.policy.record_load_report(instance, reply.load_report);
    Some(reply.load_report)
}
