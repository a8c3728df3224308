//! Actions, as the simulator reads them.

use super::EngineAddress;

/// Bytes of the longest text of a trace line.
const MAX_TRACE_BYTES: usize = 200;

/// The actions of one reply.
#[derive(Default)]
pub(crate) struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u32, fields: &[&[u8]]) {
        let length = 4 + fields.iter().map(|field| field.len()).sum::<usize>() as u32;
        self.bytes.push(code);
        self.bytes.extend(length.to_le_bytes());
        self.bytes.extend(instance.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }

    /// Starts an attempt, with its time-out in microseconds.
    pub(crate) fn start_attempt(&mut self, instance: u32, id: u32, engine: EngineAddress, timeout: u32) {
        self.record(120, instance, &[&id.to_le_bytes(), &engine.0, &timeout.to_le_bytes()]);
    }

    /// Sets what the next attempt is granted.
    pub(crate) fn set_resources(&mut self, instance: u32, id: u32, memory_mb: f32, priority: u8) {
        self.record(30, instance, &[&id.to_le_bytes(), &memory_mb.to_le_bytes(), &[priority]]);
    }

    pub(crate) fn cancel_attempt(&mut self, instance: u32, id: u32, attempt: u8) {
        self.record(40, instance, &[&id.to_le_bytes(), &[attempt]]);
    }

    pub(crate) fn check_health(&mut self, instance: u32, engine: EngineAddress) {
        self.record(90, instance, &[&engine.0]);
    }

    /// Rejects a request, with the time after which to try again in microseconds.
    pub(crate) fn reject(&mut self, instance: u32, id: u32, retry_after: u32) {
        self.record(110, instance, &[&id.to_le_bytes(), &retry_after.to_le_bytes()]);
    }

    pub(crate) fn fail(&mut self, instance: u32, id: u32) {
        self.record(80, instance, &[&id.to_le_bytes()]);
    }

    /// Subscribes to discovery.
    pub(crate) fn watch(&mut self, instance: u32) {
        self.record(100, instance, &[&[1]]);
    }

    /// Asks for a timer event with this tag.
    pub(crate) fn set_timer(&mut self, instance: u32, due_micros: u64, tag: u64) {
        self.record(130, instance, &[&due_micros.to_le_bytes(), &tag.to_le_bytes()]);
    }

    pub(crate) fn trace(&mut self, instance: u32, text: &str) {
        let text = &text.as_bytes()[..text.len().min(MAX_TRACE_BYTES)];
        self.record(60, instance, &[&(text.len() as u16).to_le_bytes(), text]);
    }

    /// The reply to the batch of this number, with its header.
    pub(crate) fn encode(&self, number: u32) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(8 + self.bytes.len());
        bytes.extend(number.to_le_bytes());
        bytes.extend((self.bytes.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&self.bytes);
        bytes
    }
}
