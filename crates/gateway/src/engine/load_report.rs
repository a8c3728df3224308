//! Load reports that engines are asked for.

use super::connection::connect;
use crate::codec::engine_http;
use crate::state::State;
use larchfall_policy::types::LoadReport;

/// Asks an engine for its load report and tells the policy. Attempts come first: where there is no permit, none is
/// asked for.
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
    state.policy.record_load_report(instance, reply.load);
    Some(reply.load)
}
