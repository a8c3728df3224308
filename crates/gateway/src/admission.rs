//! The one way in for a request, whichever protocol its client speaks: it is checked against the settings, admitted by
//! the policy and routed for the first time.

use crate::codec::client_request::ClientRequest;
use crate::codec::statement::data_set;
use crate::request;
use crate::request_context::{RequestContext, ResultReader};
use crate::state::State;
use crate::state::policy_handle::AdmissionError;
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{Request, RoutingDecision};
use std::sync::Arc;
use thiserror::Error;

/// Time for the way of a request to here and of its answer back, in a busy moment: answers leave this much before the
/// client stops waiting.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(60);
/// Clients send requests of one key apart from each other, up to this much after one that came on a new connection, and
/// the time of a request that they hold back runs meanwhile.
const KEY_SPACING: Duration = Duration::from_millis(250);

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request itself is wrong.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// As many requests are in flight as there is memory for.
    #[error("too many requests in flight")]
    TooManyInFlight,
}

/// What is wrong with a request, in the terms of MessagePack-RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// The settings name no such request class.
    #[error("unknown service group")]
    UnknownClass,
    /// The settings name tenants, and none by this name.
    #[error("unknown customer")]
    UnknownTenant,
    /// Requests of its class carry an idempotency key.
    #[error("opkey is missing")]
    MissingIdempotencyKey,
    /// Requests of its class go in the order of a key.
    #[error("subject is missing")]
    MissingOrderKey,
    /// Another request with the same id is in flight.
    #[error("this id is in hand already")]
    DuplicateId,
}

/// The policy's request for a client's request, which was sent at `sent`. What the settings do not name is refused here:
/// an engine could not use it either, and would be blamed for the error.
fn policy_request(
    state: &State,
    client_request: &ClientRequest,
    sent: Timestamp,
) -> Result<Request, InvalidRequest> {
    let settings = &state.settings;
    let index_of = |names: &[String], name: &str| names.iter().position(|known| known == name);
    let class = index_of(&settings.names.classes, client_request.class);
    let class = class.ok_or(InvalidRequest::UnknownClass)?;
    let class_settings = &settings.classes[class];
    let tenant = index_of(&settings.names.tenants, client_request.tenant);
    if tenant.is_none() && !settings.names.tenants.is_empty() {
        return Err(InvalidRequest::UnknownTenant);
    }
    if class_settings.requires_idempotency_key && client_request.idempotency_key.is_none() {
        return Err(InvalidRequest::MissingIdempotencyKey);
    }
    if class_settings.in_order && client_request.ordering_key.is_none() {
        return Err(InvalidRequest::MissingOrderKey);
    }
    let key_spacing = if client_request.ordering_key.is_some() { KEY_SPACING } else { Duration::ZERO };
    let longest_wait = class_settings.max_deadline;
    let client_wait = client_request.timeout.unwrap_or(longest_wait).min(longest_wait);
    let deadline = (sent + client_wait - ROUND_TRIP_TIME - key_spacing).max(sent);
    Ok(Request {
        class,
        tenant,
        key: client_request.ordering_key,
        deadline: state.shutdown.deadline().map_or(deadline, |shutdown| deadline.min(shutdown)),
        work_hint: client_request.work_hint,
        memory_hint_mb: client_request.memory_hint_mb,
        data_set: data_set(client_request.statement).unwrap_or(0),
    })
}

/// Admits a request and makes its reader once it has an index. It is routed here, in the order in which requests were
/// read, so that those of one key keep their order.
pub fn admit(
    state: &Arc<State>,
    client_request: &ClientRequest,
    sent: Timestamp,
    make_reader: impl FnOnce(usize) -> Arc<dyn ResultReader>,
) -> Result<(), RequestError> {
    let request = policy_request(state, client_request, sent).map_err(|invalid| refuse(state, invalid))?;
    let Request { class, deadline, .. } = request;
    state.counters.update_class(class, |counters| counters.admitted += 1);
    let index = state.policy.admit(client_request.id_number, request).map_err(|error| match error {
        AdmissionError::DuplicateId => refuse(state, InvalidRequest::DuplicateId),
        AdmissionError::TooManyInFlight => {
            state.counters.update_class(class, |counters| counters.rejected += 1);
            RequestError::TooManyInFlight
        }
    })?;
    let context = RequestContext {
        id: client_request.id.to_owned(),
        class,
        in_order: state.settings.classes[class].in_order,
        deadline,
        idempotency_key: client_request.idempotency_key.map(str::to_owned),
        statement: client_request.statement.to_vec(),
        reader: make_reader(index),
    };
    start(state, context, index);
    Ok(())
}

/// Counts an invalid request.
fn refuse(state: &State, invalid: InvalidRequest) -> RequestError {
    state.counters.update_gateway(|counters| counters.invalid_requests += 1);
    invalid.into()
}

/// Routes an admitted request for the first time and runs it, on a coroutine of its own unless it ends at once.
fn start(state: &Arc<State>, context: RequestContext, request: usize) {
    let decision = state.policy.route(request);
    match decision {
        RoutingDecision::Reject(_) | RoutingDecision::Fail => {
            request::run(state, &context, request, decision);
        }
        RoutingDecision::Send(_) | RoutingDecision::Wait | RoutingDecision::CancelAttempt(_) => {
            let in_flight = state.policy.in_flight();
            state
                .counters
                .update_gateway(|counters| counters.max_in_flight = counters.max_in_flight.max(in_flight));
            let state = state.clone();
            may::go!(move || request::run(&state, &context, request, decision));
        }
    }
}
