//! The one way in for a batch, whichever protocol its client speaks.

use crate::batch;
use crate::state::State;
use crate::state::facade::NotTaken;
use crate::task::{Reader, Task};
use crate::wire::request::Request;
use crate::wire::statement::table_group;
use larchfall_policy::interface::{Batch, Place};
use larchfall_policy::time::{At, Span};
use std::sync::Arc;

/// The way of a batch to here and of its answer back, in a busy moment: what is owed leaves this much before
/// its client gives up.
const WAY: Span = Span::from_millis(60);
/// Clients write requests of one key apart from each other, up to this much after one that came on a new
/// connection, and the time of one that they hold back runs meanwhile.
const KEYS_APART: Span = Span::from_millis(250);

/// Why a batch was not taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refused {
    /// Nothing is known by that name, or a part is missing.
    Unusable(&'static str),
    /// More in hand than there is memory for.
    NoRoom,
}

/// The batch that a request means, unless the settings know no such thing: an engine could not use it either,
/// and would be blamed for the error. Its time counts from when it may have been sent.
fn batch_of(state: &State, request: &Request, sent: At) -> Result<Batch, &'static str> {
    let known = |list: &[String], name: &str| list.iter().position(|n| n == name);
    let group = known(&state.names.groups, request.group).ok_or("unknown service group")?;
    let customer = known(&state.names.customers, request.customer);
    if customer.is_none() && !state.names.customers.is_empty() {
        return Err("unknown customer");
    }
    if state.referenced[group] && request.reference.is_none() {
        return Err("opkey is missing");
    }
    if state.in_order[group] && request.key.is_none() {
        return Err("subject is missing");
    }
    let held_back = if request.key.is_some() { KEYS_APART } else { Span::ZERO };
    let most = state.group_limits[group];
    let limit = (sent + request.wait.unwrap_or(most).min(most) - WAY - held_back).max(sent);
    Ok(Batch {
        group,
        customer,
        key: request.key,
        time_limit: state.ends().map_or(limit, |ends| limit.min(ends)),
        work: request.work,
        memory_mb: request.memory_mb,
        data_set: table_group(request.statement).unwrap_or(0),
    })
}

/// Takes a batch in, and makes its reader once it has an index. It is picked for here, in the order of reading, so
/// that keys keep their order.
pub fn take(
    state: &Arc<State>,
    request: &Request,
    sent: At,
    reader: impl FnOnce(usize) -> Arc<dyn Reader>,
) -> Result<(), Refused> {
    let unusable = |why| {
        state.counters.rest(|c| c.unusable += 1);
        Refused::Unusable(why)
    };
    let batch = batch_of(state, request, sent).map_err(unusable)?;
    let (group, limit) = (batch.group, batch.time_limit);
    state.counters.group(group, |c| c.taken += 1);
    let b = state.facade.take(request.number, batch).map_err(|why| match why {
        NotTaken::InHand => unusable("this id is in hand already"),
        NotTaken::NoRoom => {
            state.counters.group(group, |c| c.pushed_back += 1);
            Refused::NoRoom
        }
    })?;
    let task = Task {
        id: request.id.to_owned(),
        group,
        in_order: state.in_order[group],
        limit,
        reference: request.reference.map(str::to_owned),
        statement: request.statement.to_vec(),
        reader: reader(b),
    };
    let first = state.facade.pick(b);
    match first {
        // What ends at once needs no coroutine.
        Place::PushBack(_) | Place::Error => batch::run(state, &task, b, first),
        _ => {
            state.counters.rest(|c| c.most_in_hand = c.most_in_hand.max(state.facade.in_hand()));
            let state = state.clone();
            may::go!(move || batch::run(&state, &task, b, first));
        }
    }
    Ok(())
}
