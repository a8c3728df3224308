//! Reads batches of events from the input and writes one reply for each batch to the output.

use crate::error::{AdapterError, BatchError};
use crate::simulation::Simulation;
use crate::wire::reader::Reader;
use larchfall_policy::time::Timestamp;
use std::io::{ErrorKind, Read, Write};

/// Size in bytes of the header before each batch: batch number and batch length, four bytes each. The length excludes
/// this header.
const FRAME_HEADER_BYTES: usize = 8;
/// Size in bytes of the first part of a batch: the simulated time in microseconds (8) and the number of records (4).
/// The batch length includes these bytes.
const BATCH_HEADER_BYTES: usize = 12;

/// Handles batches until the input ends, and writes and flushes the reply to a batch before reading the next one.
pub(crate) fn serve_batches(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut simulation = Simulation::default();
    let mut batch = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        let mut header = Reader::new(&header, "header");
        let batch_number = header.u32()?;
        let length = u64::from(header.u32()?);
        read_batch(&mut input, length, &mut batch)
            .and_then(|()| serve_batch(&mut simulation, batch_number, &batch, &mut output))
            .map_err(|error| AdapterError::Batch { number: batch_number, error })?;
    }
    Ok(())
}

/// Reads the header before the next batch; `None` when the input ended on a batch boundary.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; FRAME_HEADER_BYTES]>, AdapterError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    let mut bytes_read = 0;
    while bytes_read < FRAME_HEADER_BYTES {
        match input.read(&mut header[bytes_read..]) {
            Ok(0) if bytes_read == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::TruncatedHeader { bytes_read, expected: FRAME_HEADER_BYTES }),
            Ok(count) => bytes_read += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::ReadHeader { error }),
        }
    }
    Ok(Some(header))
}

/// Replaces the contents of `batch` with the next `length` bytes of the input.
fn read_batch(input: &mut impl Read, length: u64, batch: &mut Vec<u8>) -> Result<(), BatchError> {
    if length < BATCH_HEADER_BYTES as u64 {
        return Err(BatchError::LengthTooSmall { length });
    }
    batch.clear();
    let bytes_read = input.by_ref().take(length).read_to_end(batch).map_err(BatchError::Read)? as u64;
    if bytes_read < length {
        return Err(BatchError::Truncated { bytes_read, expected: length });
    }
    Ok(())
}

/// Handles one batch and writes its reply. Nothing is written when a record is malformed.
fn serve_batch(
    simulation: &mut Simulation,
    batch_number: u32,
    batch: &[u8],
    output: &mut impl Write,
) -> Result<(), BatchError> {
    let (header, records) = batch.split_at(BATCH_HEADER_BYTES);
    let mut header = Reader::new(header, "header");
    let now = Timestamp::from_micros(header.u64()?);
    let record_count = header.u32()?;
    let reply = simulation.handle_batch(now, record_count, records)?;
    output
        .write_all(&reply.encode(batch_number))
        .and_then(|()| output.flush())
        .map_err(BatchError::WriteReply)
}
