//! A byte buffer whose allocation is reserved in the account of a connection.

use super::memory::{BudgetExceeded, Reservation};
use std::io;
use std::ops::Deref;

/// Divisor of the capacity that gives the least growth of a buffer.
const GROWTH_DIVISOR: usize = 4;

/// A byte buffer that reserves its capacity, and frees its allocation as soon as it is empty.
pub struct BudgetedBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Deref for BudgetedBuffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BudgetedBuffer {
    /// Creates an empty buffer. Its allocation is added to `reservation`, which must hold nothing.
    pub fn new(reservation: Reservation) -> BudgetedBuffer {
        BudgetedBuffer { bytes: Vec::new(), reservation }
    }

    /// Returns whether the budget would admit `additional` more bytes now, without regard to unused capacity.
    pub fn admits(&self, additional: usize) -> bool {
        self.reservation.admits(additional)
    }

    /// Makes room for `additional` more bytes if the budget admits them. Adds a fraction of the capacity where possible,
    /// so that many small calls copy the content only now and then.
    pub fn try_reserve(&mut self, additional: usize) -> Result<(), BudgetExceeded> {
        let needed = self.bytes.len() + additional;
        let capacity = self.bytes.capacity();
        if needed <= capacity {
            return Ok(());
        }
        let grown = needed.max(capacity + capacity / GROWTH_DIVISOR);
        let new_capacity = if self.reservation.admits(grown - capacity) { grown } else { needed };
        self.reservation.try_resize(new_capacity)?;
        self.bytes.reserve_exact(new_capacity - self.bytes.len());
        Ok(())
    }

    /// Returns the size of the next read of at most `chunk_bytes` into this buffer. Every buffer may hold one chunk; more
    /// has to be admitted by the budget. Reserves nothing for an empty buffer, which may wait for its input for long.
    pub fn next_read_bytes(&mut self, chunk_bytes: usize) -> usize {
        if self.bytes.is_empty() || self.try_reserve(chunk_bytes).is_ok() {
            return chunk_bytes;
        }
        chunk_bytes.saturating_sub(self.bytes.len())
    }

    /// Makes room for `additional` more bytes, even beyond the budget. For small amounts only.
    pub fn reserve(&mut self, additional: usize) {
        self.bytes.reserve_exact(additional);
        self.reservation.resize(self.bytes.capacity());
    }

    /// Appends with `write`, which may only add bytes. Room that it needs beyond the reserved one is reserved
    /// afterwards.
    pub fn append_with(&mut self, write: impl FnOnce(&mut Vec<u8>)) {
        write(&mut self.bytes);
        self.reservation.resize(self.bytes.capacity());
    }

    /// Lets `read` fill up to `max_bytes` behind the content, and returns its result, the number of bytes that it has
    /// read. No other coroutine sees the buffer meanwhile, so that a read may block.
    pub fn read_with(
        &mut self,
        max_bytes: usize,
        read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    ) -> io::Result<usize> {
        let old_length = self.bytes.len();
        self.bytes.resize(old_length + max_bytes, 0);
        let result = read(&mut self.bytes[old_length..]);
        self.bytes.truncate(old_length + *result.as_ref().unwrap_or(&0));
        self.reservation.resize(self.bytes.capacity());
        result
    }

    /// Removes the first `count` bytes.
    pub fn remove_front(&mut self, count: usize) {
        self.bytes.drain(..count);
        if self.bytes.is_empty() {
            self.clear();
        }
    }

    /// Removes all bytes and frees the allocation.
    pub fn clear(&mut self) {
        self.bytes = Vec::new();
        self.reservation.resize(0);
    }

    /// Returns the content, and frees the reservation: the caller drops the content soon.
    pub fn take(&mut self) -> Vec<u8> {
        self.reservation.resize(0);
        std::mem::take(&mut self.bytes)
    }
}
