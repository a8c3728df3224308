//! Encodes the gateways' actions for the simulator.

use super::EngineAddress;

/// The length in bytes at which the text of a trace record is cut off.
const MAX_TRACE_BYTES: usize = 200;

/// The encoded actions of all gateways in reply to one batch, in the order in which they were added.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// Appends one record: action code, length of what follows, gateway instance, and the encoded fields.
    fn append_record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let length = 4 + fields.iter().map(|field| field.len()).sum::<usize>() as u32;
        self.bytes.push(code);
        self.bytes.extend(length.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }

    /// Starts an attempt on an engine. The timeout is in microseconds.
    pub(crate) fn start_attempt(
        &mut self,
        instance: u32,
        id: u32,
        engine: EngineAddress,
        timeout_micros: u32,
    ) {
        self.append_record(120, instance, &[&id.to_le_bytes(), &engine.0, &timeout_micros.to_le_bytes()]);
    }

    /// Sets the memory grant and the priority of the request's next attempt.
    pub(crate) fn set_resources(&mut self, instance: u32, id: u32, memory_mb: f32, priority: u8) {
        self.append_record(30, instance, &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]]);
    }

    pub(crate) fn cancel_attempt(&mut self, instance: u32, id: u32, attempt: u8) {
        self.append_record(40, instance, &[&id.to_le_bytes(), &[attempt]]);
    }

    /// Requests a health check of an engine.
    pub(crate) fn check_health(&mut self, instance: u32, engine: EngineAddress) {
        self.append_record(90, instance, &[&engine.0]);
    }

    /// Rejects a request. The client may retry after `retry_after_micros`; 0 stands for no retry-after.
    pub(crate) fn reject(&mut self, instance: u32, id: u32, retry_after_micros: u32) {
        self.append_record(110, instance, &[&id.to_le_bytes(), &retry_after_micros.to_le_bytes()]);
    }

    /// Fails a request that may have run, so that sending it again may repeat its effect.
    pub(crate) fn fail(&mut self, instance: u32, id: u32) {
        self.append_record(80, instance, &[&id.to_le_bytes()]);
    }

    /// Subscribes a gateway to changes of the endpoint list.
    pub(crate) fn subscribe_to_discovery(&mut self, instance: u32) {
        self.append_record(100, instance, &[&[1]]);
    }

    /// Requests a timer event, which returns `tag`, at the simulated time `due_micros`.
    pub(crate) fn set_timer(&mut self, instance: u32, due_micros: u64, tag: u64) {
        self.append_record(130, instance, &[&due_micros.to_le_bytes(), &tag.to_le_bytes()]);
    }

    /// Adds a line to the simulator's trace, cut off after [`MAX_TRACE_BYTES`].
    pub(crate) fn trace(&mut self, instance: u32, text: &str) {
        let text = &text.as_bytes()[..text.len().min(MAX_TRACE_BYTES)];
        self.append_record(60, instance, &[&(text.len() as u16).to_le_bytes(), text]);
    }

    /// Encodes the reply to a batch: the batch number, the length of all records in bytes, and the records.
    pub(crate) fn encode(&self, batch_number: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(8 + self.bytes.len());
        bytes.extend(batch_number.to_le_bytes());
        bytes.extend((self.bytes.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&self.bytes);
        bytes
    }
}
