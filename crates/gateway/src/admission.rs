//! Admission of requests of all client protocols. A request is validated against the settings, admitted by the policy
//! and routed for the first time.

use crate::codec::client_request::ClientRequest;
use crate::codec::statement::data_set;
use crate::request;
use crate::request_context::{RequestContext, ResultReader};
use crate::state::State;
use crate::state::limits::BYTES_PER_REQUEST;
use crate::state::memory::{BudgetExceeded, MemoryAccount, Purpose, Reservation};
use larchfall_policy::request_ids::{IdentityError, RequestIdentity};
use larchfall_policy::time::{Duration, Timestamp};
use larchfall_policy::types::{Request, RoutingDecision};
use std::sync::Arc;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_128;

/// Time from the client to the gateway and back under load. A request's deadline is this much earlier than the end of
/// the client's timeout, so that the answer arrives in time.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(60);
/// Maximum time for which a client holds back a request to keep a distance to the previous request with the same
/// ordering key. The client's timeout already runs during this time, which the gateway can't observe, so the deadline
/// of every request with an ordering key is earlier by this much. The longest distance follows a request on a new
/// connection.
const KEY_SPACING: Duration = Duration::from_millis(250);

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The request does not match the settings, or its id is in use.
    #[error(transparent)]
    Invalid(#[from] InvalidRequest),
    /// The memory for requests in flight does not admit this request of this client.
    #[error(transparent)]
    OverMemoryBudget(#[from] BudgetExceeded),
    /// Too many requests that may have had an effect are remembered.
    #[error("too many requests with an effect")]
    TooManyIdentities,
}

/// Why a request is invalid. The messages go to clients and use the field names of MessagePack-RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidRequest {
    /// The settings have no request class with this name.
    #[error("unknown service group")]
    UnknownClass,
    /// The settings list tenants, but none with this name.
    #[error("unknown customer")]
    UnknownTenant,
    /// The request class requires an idempotency key.
    #[error("opkey is missing")]
    MissingIdempotencyKey,
    /// The request class runs requests in the order of an ordering key, and the request has none.
    #[error("subject is missing")]
    MissingOrderingKey,
    /// Another request with the same id or idempotency key is in flight.
    #[error("this id is in hand already")]
    DuplicateId,
    /// A request with the same id or idempotency key may have had its effect.
    #[error("this id was used by a request that may have run")]
    MayHaveRun,
}

/// Validates a client's request, which was sent at `sent_at`, and converts it to a request of the policy whose data set
/// is not known yet. Names that the settings do not know are refused here, because an engine would fail the query and
/// the policy would count the failure against the engine.
fn policy_request(
    state: &State,
    client_request: &ClientRequest,
    sent_at: Timestamp,
) -> Result<Request, InvalidRequest> {
    let settings = &state.settings;
    let index_of = |names: &[String], name: &str| names.iter().position(|candidate| candidate == name);
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
        return Err(InvalidRequest::MissingOrderingKey);
    }
    let key_spacing = if client_request.ordering_key.is_some() { KEY_SPACING } else { Duration::ZERO };
    let max_timeout = class_settings.max_deadline;
    let client_timeout = client_request.timeout.unwrap_or(max_timeout).min(max_timeout);
    let deadline = (sent_at + client_timeout - ROUND_TRIP_TIME - key_spacing).max(sent_at);
    Ok(Request {
        class,
        tenant,
        key: client_request.ordering_key,
        deadline: state.shutdown.deadline().map_or(deadline, |shutdown| deadline.min(shutdown)),
        work_hint: client_request.work_hint,
        memory_hint_mb: client_request.memory_hint_mb,
        data_set: 0,
    })
}

/// Admits and starts a request that was sent at `sent_at`. The request's memory is held by `account` until the request
/// has ended. `make_reader` creates the reader of the result from the request's index. The first routing decision is made before this function returns, so that requests with the same
/// ordering key are routed in the order in which they were read from the connection.
pub fn admit(
    state: &Arc<State>,
    account: &Arc<MemoryAccount>,
    client_request: &ClientRequest,
    sent_at: Timestamp,
    make_reader: impl FnOnce(usize) -> Arc<dyn ResultReader>,
) -> Result<(), RequestError> {
    let request =
        policy_request(state, client_request, sent_at).map_err(|invalid| count_invalid(state, invalid))?;
    let Request { class, deadline, .. } = request;
    state.counters.update_class(class, |counters| counters.admitted += 1);
    let memory = reserve_memory(account, client_request).inspect_err(|_| {
        state.counters.update_class(class, |counters| counters.rejected += 1);
    })?;
    // Reading the statement is the most expensive step, so that only a request that fits gets there.
    let request = Request { data_set: data_set(client_request.statement).unwrap_or(0), ..request };
    let identities = identities(state, client_request, class);
    let has_effect = state.settings.classes[class].has_effect;
    let index = state
        .policy
        .admit(identities, has_effect, request)
        .map_err(|error| identity_refused(state, class, error))?;
    let context = RequestContext {
        id: client_request.id.to_owned(),
        class,
        in_order: state.settings.classes[class].in_order,
        deadline,
        idempotency_key: client_request.idempotency_key.map(str::to_owned),
        statement: client_request.statement.to_vec(),
        memory,
        reader: make_reader(index),
    };
    start(state, context, index);
    Ok(())
}

/// What identifies a request. Engines drop a repeated request by its idempotency key only in classes that require one;
/// in other classes with an effect, this gateway has to.
fn identities(state: &State, client_request: &ClientRequest, class: usize) -> Vec<RequestIdentity> {
    let class_settings = &state.settings.classes[class];
    let is_unrepeatable = class_settings.has_effect && !class_settings.requires_idempotency_key;
    let key = client_request.idempotency_key.filter(|_| is_unrepeatable);
    let id = RequestIdentity::from(client_request.id_number);
    let key_identity = key.map(|key| {
        let scope = [client_request.tenant, client_request.class, key].join("\0");
        RequestIdentity(xxh3_128(scope.as_bytes()))
    });
    [id].into_iter().chain(key_identity).collect()
}

/// Counts a request that is not admitted for its identities, and converts the reason to the error of [`admit`].
fn identity_refused(state: &State, class: usize, error: IdentityError) -> RequestError {
    match error {
        IdentityError::InFlight => count_invalid(state, InvalidRequest::DuplicateId),
        IdentityError::MayHaveRun => count_invalid(state, InvalidRequest::MayHaveRun),
        IdentityError::TooMany => {
            state.counters.update_class(class, |counters| counters.rejected += 1);
            RequestError::TooManyIdentities
        }
    }
}

/// Reserves the memory that a request occupies while it is in flight.
fn reserve_memory(
    account: &Arc<MemoryAccount>,
    client_request: &ClientRequest,
) -> Result<Reservation, BudgetExceeded> {
    account.reserve(Purpose::Request, BYTES_PER_REQUEST + client_request.statement.len())
}

/// Counts an invalid request and converts the reason to the error of [`admit`].
fn count_invalid(state: &State, invalid: InvalidRequest) -> RequestError {
    state.counters.update_gateway(|counters| counters.invalid_requests += 1);
    invalid.into()
}

/// Routes an admitted request for the first time and runs the request on a new coroutine. A request that ends with the
/// first decision is answered on the calling coroutine.
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
