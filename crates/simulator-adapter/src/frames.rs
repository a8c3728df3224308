//! Batches of events from the input, and a reply to each to the output.

use crate::error::{AdapterError, BatchError};
use crate::simulation::Simulation;
use crate::wire::reader::Reader;
use larchfall_policy::time::Timestamp;
use std::io::{ErrorKind, Read, Write};

/// Number and length of a batch, before what the length counts.
const HEADER_BYTES: usize = 8;
/// The clock and the number of records, at the start of what the length counts.
const BATCH_HEAD_BYTES: usize = 12;

/// Replies to each batch until the input ends.
pub(crate) fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut simulation = Simulation::default();
    let mut batch = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        let mut header = Reader::new(&header, "header");
        let number = header.u32()?;
        let length = u64::from(header.u32()?);
        read_batch(&mut input, length, &mut batch)
            .and_then(|()| reply_to(&mut simulation, number, &batch, &mut output))
            .map_err(|error| AdapterError::Batch { number, error })?;
    }
    Ok(())
}

/// The header of the next batch; `None` when the input ended before its first byte.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, AdapterError> {
    let mut header = [0; HEADER_BYTES];
    let mut read = 0;
    while read < HEADER_BYTES {
        match input.read(&mut header[read..]) {
            Ok(0) if read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::HeaderIncomplete { read, length: HEADER_BYTES }),
            Ok(count) => read += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::HeaderUnreadable { error }),
        }
    }
    Ok(Some(header))
}

fn read_batch(input: &mut impl Read, length: u64, batch: &mut Vec<u8>) -> Result<(), BatchError> {
    if length < BATCH_HEAD_BYTES as u64 {
        return Err(BatchError::TooShort { length });
    }
    batch.clear();
    let read = input.by_ref().take(length).read_to_end(batch).map_err(BatchError::Unreadable)? as u64;
    if read < length {
        return Err(BatchError::Incomplete { read, length });
    }
    Ok(())
}

fn reply_to(
    simulation: &mut Simulation,
    number: u32,
    batch: &[u8],
    output: &mut impl Write,
) -> Result<(), BatchError> {
    let (head, records) = batch.split_at(BATCH_HEAD_BYTES);
    let mut head = Reader::new(head, "header");
    let now = Timestamp::from_micros(head.u64()?);
    let count = head.u32()?;
    let reply = simulation.handle_batch(now, count, records)?;
    output.write_all(&reply.encode(number)).and_then(|()| output.flush()).map_err(BatchError::Reply)
}
