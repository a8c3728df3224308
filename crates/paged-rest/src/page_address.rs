//! Addresses of pages that can't be guessed: a keyed hash (HMAC-SHA-256, cut to 128 bits) over what they name.

use crate::results::ResultId;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write;

const PATH_PREFIX: &str = "/v1/statement/executing/";
const HASH_BYTES: usize = 16;

/// The key of one gateway's run: its addresses mean nothing to the next.
#[derive(Clone)]
pub struct AddressKey(Hmac<Sha256>);

/// What the address of a page names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageAddress {
    /// The result that the page is part of.
    pub result: ResultId,
    /// The page.
    pub token: u64,
}

impl AddressKey {
    /// A key from random bytes that nobody else knows.
    pub fn new(secret: &[u8; 32]) -> AddressKey {
        let hash = Hmac::new_from_slice(secret);
        AddressKey(hash.unwrap_or_else(|_| unreachable!("HMAC takes keys of any length")))
    }

    fn hash(&self, address: PageAddress) -> Hmac<Sha256> {
        let PageAddress { result, token } = address;
        let mut hash = self.0.clone();
        for part in [result.index as u64, result.generation, token] {
            hash.update(&part.to_be_bytes());
        }
        hash
    }

    /// The address of a page, without scheme and host.
    pub fn path(&self, address: PageAddress) -> String {
        let mut path = format!("{PATH_PREFIX}{}/", address.result);
        for byte in &self.hash(address).finalize().into_bytes()[..HASH_BYTES] {
            let _ = write!(path, "{byte:02x}");
        }
        let _ = write!(path, "/{}", address.token);
        path
    }

    /// What a path names; `None` for all paths that this key has not made.
    pub fn parse(&self, path: &str) -> Option<PageAddress> {
        let mut parts = path.strip_prefix(PATH_PREFIX)?.split('/');
        let (Some(id), Some(hash), Some(token), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return None;
        };
        let (generation, index) = id.split_once('_')?;
        let result =
            ResultId { index: canonical_number(index)? as usize, generation: canonical_number(generation)? };
        let address = PageAddress { result, token: canonical_number(token)? };
        self.hash(address).verify_truncated_left(&hash_bytes(hash)?).ok().map(|()| address)
    }
}

fn hash_bytes(digits: &str) -> Option<[u8; HASH_BYTES]> {
    if digits.len() != 2 * HASH_BYTES || !digits.is_ascii() {
        return None;
    }
    let mut bytes = [0; HASH_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(digits.as_bytes().chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(bytes)
}

/// A number of digits alone, as it would be written: one page has one address.
fn canonical_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
