//! Handles a posted statement: admits it as a request, whose first page its call then awaits.

use super::calls::CallOrigin;
use super::pages::AwaitedCall;
use super::request_fields;
use super::responses;
use super::result_reader::PagedResult;
use super::service::RestService;
use crate::admission::{self, RequestError};
use crate::state::State;
use larchfall_paged_rest::call::{Call, Response};
use larchfall_paged_rest::page_address::PageAddress;
use larchfall_paged_rest::request_fields as call_fields;
use std::sync::Arc;

/// `Retry-After` of statements that arrive during the shutdown of this gateway. The client should retry at another one.
const SHUTDOWN_RETRY_SECONDS: u64 = 1;

/// Admits a statement. Returns the call that awaits its first page, or the error response if the statement is not
/// admitted.
pub(super) fn submit(
    state: &Arc<State>,
    service: &Arc<RestService>,
    origin: CallOrigin<'_>,
    call: &Call,
) -> Result<AwaitedCall, Response> {
    if state.shutdown.deadline().is_some() {
        let headers = vec![("Retry-After", SHUTDOWN_RETRY_SECONDS.to_string())];
        return Err(Response { headers, ..responses::invalid_call(503, "this front ends") });
    }
    let invalid = |reason: &str| {
        state.counters.update_gateway(|counters| counters.invalid_requests += 1);
        responses::invalid_call(400, reason)
    };
    if call.body.is_empty() {
        return Err(invalid("no statement"));
    }
    let settings = service.settings();
    let fields = call_fields::read(call, settings.header_family, &settings.sources)
        .map_err(|error| invalid(&error.to_string()))?;
    let id_number = service.next_request_id();
    let id = format!("{id_number:016x}");
    let request = request_fields::build_client_request(&fields, id_number, &id, &call.body)
        .map_err(|error| invalid(&error.to_string()))?;
    let result = service.pages.open(state.clock.now()).ok_or_else(|| responses::over_limits(state))?;
    let sent = origin.sent;
    let admitted = admission::admit(state, origin.account, &request, sent, |index| {
        service.pages.set_request(result, index);
        Arc::new(PagedResult::new(state, service, result, sent))
    });
    match admitted {
        Ok(()) => {
            let first_page = PageAddress { result, token: 0 };
            Ok(AwaitedCall::for_first_page(state, service, origin, call, first_page, sent))
        }
        Err(error) => {
            service.pages.abandon(result);
            Err(match error {
                RequestError::Invalid(error) => {
                    let status = request_fields::invalid_request_status(error);
                    responses::invalid_call(status, &request_fields::invalid_request_text(error))
                }
                RequestError::OverMemoryBudget(_) | RequestError::TooManyIdentities => {
                    responses::rejected(state.settings.max_retry_after)
                }
            })
        }
    }
}
