//! The one way in for a request, whichever protocol its client speaks.

use crate::request;
use crate::state::State;
use crate::state::facade::NotTaken;
use crate::task::{Reader, Task};
use crate::wire::client_request::ClientRequest;
use crate::wire::statement::table_group;
use larchfall_policy::interface::{Request, RoutingDecision};
use larchfall_policy::time::{Duration, Timestamp};
use std::sync::Arc;

/// The way of a request to here and of its answer back, in a busy moment: what is owed leaves this much before
/// its client gives up.
const WAY: Duration = Duration::from_millis(60);
/// Clients write requests of one key apart from each other, up to this much after one that came on a new
/// connection, and the time of one that they hold back runs meanwhile.
const KEYS_APART: Duration = Duration::from_millis(250);

/// Why a request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refused {
    /// Nothing is known by that name, or a part is missing.
    Unusable(&'static str),
    /// More in hand than there is memory for.
    NoRoom,
}

/// The request that a request means, unless the settings know no such thing: an engine could not use it either,
/// and would be blamed for the error. Its time counts from when it may have been sent.
fn request_of(
    state: &State,
    client_request: &ClientRequest,
    sent: Timestamp,
) -> Result<Request, &'static str> {
    let known = |list: &[String], name: &str| list.iter().position(|n| n == name);
    let class = known(&state.names.classes, client_request.class).ok_or("unknown service group")?;
    let tenant = known(&state.names.tenants, client_request.tenant);
    if tenant.is_none() && !state.names.tenants.is_empty() {
        return Err("unknown customer");
    }
    if state.referenced[class] && client_request.reference.is_none() {
        return Err("opkey is missing");
    }
    if state.in_order[class] && client_request.key.is_none() {
        return Err("subject is missing");
    }
    let held_back = if client_request.key.is_some() { KEYS_APART } else { Duration::ZERO };
    let most = state.class_limits[class];
    let limit = (sent + client_request.wait.unwrap_or(most).min(most) - WAY - held_back).max(sent);
    Ok(Request {
        class,
        tenant,
        key: client_request.key,
        deadline: state.ends().map_or(limit, |ends| limit.min(ends)),
        work: client_request.work,
        memory_mb: client_request.memory_mb,
        data_set: table_group(client_request.statement).unwrap_or(0),
    })
}

/// Takes a request in, and makes its reader once it has an index. It is picked for here, in the order of reading, so
/// that keys keep their order.
pub fn take(
    state: &Arc<State>,
    client_request: &ClientRequest,
    sent: Timestamp,
    reader: impl FnOnce(usize) -> Arc<dyn Reader>,
) -> Result<(), Refused> {
    let unusable = |why| {
        state.counters.rest(|c| c.unusable += 1);
        Refused::Unusable(why)
    };
    let request = request_of(state, client_request, sent).map_err(unusable)?;
    let (class, limit) = (request.class, request.deadline);
    state.counters.class(class, |c| c.taken += 1);
    let b = state.facade.take(client_request.number, request).map_err(|why| match why {
        NotTaken::InHand => unusable("this id is in hand already"),
        NotTaken::NoRoom => {
            state.counters.class(class, |c| c.pushed_back += 1);
            Refused::NoRoom
        }
    })?;
    let task = Task {
        id: client_request.id.to_owned(),
        class,
        in_order: state.in_order[class],
        limit,
        reference: client_request.reference.map(str::to_owned),
        statement: client_request.statement.to_vec(),
        reader: reader(b),
    };
    let first = state.facade.pick(b);
    match first {
        // What ends at once needs no coroutine.
        RoutingDecision::Reject(_) | RoutingDecision::Fail => request::run(state, &task, b, first),
        _ => {
            state.counters.rest(|c| c.most_in_hand = c.most_in_hand.max(state.facade.in_hand()));
            let state = state.clone();
            may::go!(move || request::run(&state, &task, b, first));
        }
    }
    Ok(())
}
