//! Runs all simulated gateways in this process: dispatches each event to its gateway and collects the gateways'
//! actions.

use crate::error::{BatchError, EventError};
use crate::gateway::Gateway;
use crate::wire::event::{self, EventKind, ListChange, ListedEngine};
use crate::wire::reader::Reader;
use crate::wire::reply::Reply;
use larchfall_policy::time::Timestamp;
use std::collections::BTreeMap;

/// The gateways by instance number, and the endpoint lists that their events refer to.
#[derive(Default)]
pub(crate) struct Simulation {
    gateways: BTreeMap<u32, Gateway>,
    /// Endpoint lists by list number, shared by all gateways. The simulator reuses list numbers: an event refers to the
    /// list that was last received under its number, so events must be handled in order.
    endpoint_lists: BTreeMap<u8, Vec<ListedEngine>>,
}

impl Simulation {
    /// Handles a batch of `record_count` records, all at the simulated time `now`, and returns the actions of all
    /// gateways.
    ///
    /// # Errors
    ///
    /// At the first malformed record, and when bytes follow the last record. Events before the error have been handled.
    pub(crate) fn handle_batch(
        &mut self,
        now: Timestamp,
        record_count: u32,
        records: &[u8],
    ) -> Result<Reply, BatchError> {
        let mut reply = Reply::default();
        let mut records = Reader::new(records, "record");
        let mut active_instances: Vec<u32> = Vec::new();
        for index in 0..record_count {
            let handling = self.handle_record(now, &mut records, &mut reply);
            let instance = handling.map_err(|error| BatchError::Record { index, error })?;
            if let Some(instance) = instance
                && active_instances.last() != Some(&instance)
            {
                active_instances.push(instance);
            }
        }
        if records.remaining() > 0 {
            return Err(BatchError::TrailingBytes { bytes: records.remaining(), count: record_count });
        }
        active_instances.sort_unstable();
        active_instances.dedup();
        for instance in active_instances {
            if let Some(gateway) = self.gateways.get_mut(&instance) {
                gateway.end_batch(&mut reply);
            }
        }
        Ok(reply)
    }

    /// Handles one event, and returns the instance number of the gateway that may have acted on it.
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
            let list_number = fields.u8()?;
            let list = event::read_endpoint_list(&mut fields)?;
            self.endpoint_lists.insert(list_number, list);
            return Ok(None);
        }
        let instance = fields.u32()?;
        match kind {
            EventKind::Start => {
                let seed = fields.u64()?;
                let settings_length = fields.u32()? as usize;
                let gateway = Gateway::start(instance, seed, fields.bytes(settings_length)?, now, reply)?;
                self.gateways.insert(instance, gateway);
            }
            EventKind::Stop => {
                self.gateways.remove(&instance);
                return Ok(None);
            }
            EventKind::Unknown => return Err(EventError::UnknownEvent { code }),
            _ => {
                let gateway = self.gateways.get_mut(&instance);
                let gateway =
                    gateway.ok_or(EventError::GatewayNotRunning { event: kind.name(), instance })?;
                handle_event(gateway, &self.endpoint_lists, now, kind, &mut fields, reply)?;
            }
        }
        Ok(Some(instance))
    }
}

/// Handles an event of a running gateway.
fn handle_event(
    gateway: &mut Gateway,
    endpoint_lists: &BTreeMap<u8, Vec<ListedEngine>>,
    now: Timestamp,
    kind: EventKind,
    fields: &mut Reader,
    reply: &mut Reply,
) -> Result<(), EventError> {
    let list_by_number = |list: u8| endpoint_lists.get(&list).ok_or(EventError::UnknownList { list });
    match kind {
        EventKind::ListChange => match event::read_list_change(fields)? {
            ListChange::Delta { list } => gateway.update_engines(now, list_by_number(list)?),
            ListChange::Full { list } => gateway.replace_engines(now, list_by_number(list)?),
            ListChange::Failed => {}
        },
        EventKind::Request => gateway.admit(now, event::read_request(fields)?, reply)?,
        EventKind::AttemptFinished => {
            gateway.on_attempt_finished(now, &event::read_finished_attempt(fields)?, reply);
        }
        EventKind::ClientDisconnected => gateway.on_client_disconnected(fields.u32()?, reply),
        EventKind::Timer => gateway.on_timer(now, fields.u64()?, reply),
        EventKind::LoadReport => gateway.on_load_report(now, &event::read_load_report(fields)?),
        EventKind::Progress => gateway.on_progress(now, &event::read_progress(fields)?),
        // `StreamStarted` and `PeerMessage` have no effect: no request class streams results, and simulated gateways
        // exchange no messages. The other kinds are handled by `Simulation::handle_record`.
        EventKind::StreamStarted
        | EventKind::PeerMessage
        | EventKind::Start
        | EventKind::Stop
        | EventKind::EndpointList
        | EventKind::Unknown => {}
    }
    Ok(())
}
