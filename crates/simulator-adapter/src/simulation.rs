//! All gateways of this process: events in, actions out.

use crate::error::{BatchError, EventError};
use crate::gateway::Gateway;
use crate::wire::event::{self, EventKind, ListChange, ListedEngine};
use crate::wire::reader::Reader;
use crate::wire::reply::Reply;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

#[derive(Default)]
pub(crate) struct Simulation {
    gateways: BTreeMap<u32, Gateway>,
    /// Endpoint lists by number, shared by all gateways. A number is used again, so lists are read in event order.
    lists: BTreeMap<u8, Vec<ListedEngine>>,
}

impl Simulation {
    /// Handles so many records, all at one time of the clock, and returns the actions of all gateways.
    pub(crate) fn handle_batch(
        &mut self,
        now: Timestamp,
        count: u32,
        records: &[u8],
    ) -> Result<Reply, BatchError> {
        let mut reply = Reply::default();
        let mut records = Reader::new(records, "record");
        let mut acted: Vec<u32> = Vec::new();
        for index in 0..count {
            let handled = self.handle_record(now, &mut records, &mut reply);
            let instance = handled.map_err(|error| BatchError::Record { index, error })?;
            if let Some(instance) = instance
                && acted.last() != Some(&instance)
            {
                acted.push(instance);
            }
        }
        if records.left() > 0 {
            return Err(BatchError::LeftOver { bytes: records.left(), count });
        }
        acted.sort_unstable();
        acted.dedup();
        for instance in acted {
            if let Some(gateway) = self.gateways.get_mut(&instance) {
                gateway.end_batch(&mut reply);
            }
        }
        Ok(reply)
    }

    /// Handles one event, and returns the gateway that may act on it.
    fn handle_record(
        &mut self,
        now: Timestamp,
        records: &mut Reader,
        reply: &mut Reply,
    ) -> Result<Option<u32>, EventError> {
        let code = records.u8()?;
        let length = records.u32()? as usize;
        let kind = EventKind::from_code(code);
        let mut fields = Reader::new(records.bytes(length)?, kind.name());
        if kind == EventKind::EndpointList {
            let number = fields.u8()?;
            let list = event::read_endpoint_list(&mut fields)?;
            self.lists.insert(number, list);
            return Ok(None);
        }
        let instance = fields.u32()?;
        match kind {
            EventKind::Start => {
                let seed = fields.u64()?;
                let length = fields.u32()? as usize;
                let gateway = Gateway::start(instance, seed, fields.bytes(length)?, now, reply)?;
                self.gateways.insert(instance, gateway);
            }
            EventKind::Stop => {
                self.gateways.remove(&instance);
                return Ok(None);
            }
            EventKind::Unknown => return Err(EventError::UnknownEvent { code }),
            _ => {
                let gateway = self.gateways.get_mut(&instance);
                let gateway = gateway.ok_or(EventError::NotRunning { event: kind.name(), instance })?;
                handle_event(gateway, &self.lists, now, kind, &mut fields, reply)?;
            }
        }
        Ok(Some(instance))
    }
}

/// Handles an event of a gateway that runs.
fn handle_event(
    gateway: &mut Gateway,
    lists: &BTreeMap<u8, Vec<ListedEngine>>,
    now: Timestamp,
    kind: EventKind,
    fields: &mut Reader,
    reply: &mut Reply,
) -> Result<(), EventError> {
    let list = |number: u8| lists.get(&number).ok_or(EventError::UnknownList { list: number });
    match kind {
        EventKind::ListChange => match event::read_list_change(fields)? {
            ListChange::Delta { list: number } => gateway.update_engines(now, list(number)?),
            ListChange::Full { list: number } => gateway.replace_engines(now, list(number)?),
            ListChange::Failed => {}
        },
        EventKind::Request => gateway.admit(now, event::read_request(fields)?, reply)?,
        EventKind::AttemptFinished => {
            gateway.attempt_finished(now, &event::read_finished_attempt(fields)?, reply);
        }
        EventKind::ClientDisconnected => gateway.client_disconnected(fields.u32()?, reply),
        EventKind::Timer => gateway.timer_fired(now, fields.u64()?, reply),
        EventKind::LoadReport => gateway.engine_load(now, &event::read_engine_load(fields)?),
        EventKind::Progress => gateway.progress(now, &event::read_progress(fields)?),
        // No request class streams, and gateways of the simulator share nothing. The others are handled before.
        EventKind::StreamStarted
        | EventKind::PeerMessage
        | EventKind::Start
        | EventKind::Stop
        | EventKind::EndpointList
        | EventKind::Unknown => {}
    }
    Ok(())
}
