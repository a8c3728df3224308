//! Decodes little-endian fields. Errors name the section and the byte offset of the field that can't be decoded.

use super::EngineAddress;
use crate::error::FieldError;

pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// The name of the header, record or event that `bytes` holds, for error messages.
    section: &'static str,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8], section: &'static str) -> Reader<'a> {
        Reader { bytes, offset: 0, section }
    }

    /// The number of bytes that are not read yet.
    pub(crate) fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Reads the next `count` bytes.
    pub(crate) fn bytes(&mut self, count: usize) -> Result<&'a [u8], FieldError> {
        let remaining = self.remaining();
        if remaining < count {
            return Err(FieldError::Truncated {
                section: self.section,
                needed: count,
                offset: self.offset,
                remaining,
            });
        }
        self.offset += count;
        Ok(&self.bytes[self.offset - count..self.offset])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FieldError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, FieldError> {
        self.array().map(u8::from_le_bytes)
    }

    pub(crate) fn u16(&mut self) -> Result<u16, FieldError> {
        self.array().map(u16::from_le_bytes)
    }

    pub(crate) fn u32(&mut self) -> Result<u32, FieldError> {
        self.array().map(u32::from_le_bytes)
    }

    pub(crate) fn u64(&mut self) -> Result<u64, FieldError> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a 32-bit float, which must be finite.
    pub(crate) fn f32(&mut self) -> Result<f64, FieldError> {
        let value = f64::from(f32::from_le_bytes(self.array()?));
        if value.is_finite() {
            Ok(value)
        } else {
            Err(FieldError::NotFinite { section: self.section, offset: self.offset - 4 })
        }
    }

    pub(crate) fn engine_address(&mut self) -> Result<EngineAddress, FieldError> {
        self.array().map(EngineAddress)
    }
}
