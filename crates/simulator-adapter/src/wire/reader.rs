//! Reads little-endian fields, and names the place where something is wrong.

use super::EngineAddress;
use crate::error::FieldError;

pub(crate) struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    /// What the bytes are, for errors.
    part: &'static str,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8], part: &'static str) -> Reader<'a> {
        Reader { bytes, at: 0, part }
    }

    /// Bytes that are not read yet.
    pub(crate) fn left(&self) -> usize {
        self.bytes.len() - self.at
    }

    pub(crate) fn bytes(&mut self, wanted: usize) -> Result<&'a [u8], FieldError> {
        let left = self.left();
        if left < wanted {
            return Err(FieldError::TooShort { part: self.part, wanted, at: self.at, left });
        }
        self.at += wanted;
        Ok(&self.bytes[self.at - wanted..self.at])
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

    pub(crate) fn f32(&mut self) -> Result<f64, FieldError> {
        let value = f64::from(f32::from_le_bytes(self.array()?));
        if value.is_finite() {
            Ok(value)
        } else {
            Err(FieldError::NotANumber { part: self.part, at: self.at - 4 })
        }
    }

    pub(crate) fn engine(&mut self) -> Result<EngineAddress, FieldError> {
        self.array().map(EngineAddress)
    }
}
