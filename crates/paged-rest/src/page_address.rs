//! Addresses of result pages. An address contains a keyed hash (HMAC-SHA-256, truncated to 128 bits) of the result and
//! the page token, so that a client can't guess the addresses of other results.

use crate::results::ResultId;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write;

const PATH_PREFIX: &str = "/v1/statement/executing/";
/// Size of the truncated hash in an address, in bytes.
const HASH_BYTES: usize = 16;

/// The secret key for page addresses. A gateway makes a new key at each start; addresses from before a restart are
/// invalid.
#[derive(Clone)]
pub struct AddressKey(Hmac<Sha256>);

/// The result and page that an address identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageAddress {
    /// The result that the page is part of.
    pub result: ResultId,
    /// The token of the page within the result.
    pub token: u64,
}

impl AddressKey {
    /// Makes a key from secret random bytes.
    pub fn new(secret: &[u8; 32]) -> AddressKey {
        let hmac = Hmac::new_from_slice(secret);
        AddressKey(hmac.unwrap_or_else(|_| unreachable!("HMAC accepts keys of any length")))
    }

    fn hmac(&self, address: PageAddress) -> Hmac<Sha256> {
        let PageAddress { result, token } = address;
        let mut hmac = self.0.clone();
        for field in [result.index as u64, result.generation, token] {
            hmac.update(&field.to_be_bytes());
        }
        hmac
    }

    /// Returns the URL path of a page.
    pub fn path(&self, address: PageAddress) -> String {
        let mut path = format!("{PATH_PREFIX}{}/", address.result);
        for byte in &self.hmac(address).finalize().into_bytes()[..HASH_BYTES] {
            let _ = write!(path, "{byte:02x}");
        }
        let _ = write!(path, "/{}", address.token);
        path
    }

    /// Returns the page that a path identifies, or `None` if the path was not made with this key.
    pub fn parse(&self, path: &str) -> Option<PageAddress> {
        let mut segments = path.strip_prefix(PATH_PREFIX)?.split('/');
        let (Some(id), Some(hash), Some(token), None) =
            (segments.next(), segments.next(), segments.next(), segments.next())
        else {
            return None;
        };
        let (generation, index) = id.split_once('_')?;
        let result = ResultId {
            index: parse_canonical_number(index)? as usize,
            generation: parse_canonical_number(generation)?,
        };
        let address = PageAddress { result, token: parse_canonical_number(token)? };
        self.hmac(address).verify_truncated_left(&decode_hash(hash)?).ok().map(|()| address)
    }
}

/// Decodes the hexadecimal hash of an address.
fn decode_hash(hex: &str) -> Option<[u8; HASH_BYTES]> {
    if hex.len() != 2 * HASH_BYTES || !hex.is_ascii() {
        return None;
    }
    let mut bytes = [0; HASH_BYTES];
    for (byte, pair) in bytes.iter_mut().zip(hex.as_bytes().chunks_exact(2)) {
        *byte = u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(bytes)
}

/// Parses a decimal number without sign and leading zeros, so that each page has exactly one address.
fn parse_canonical_number(text: &str) -> Option<u64> {
    let number: u64 = text.parse().ok()?;
    (number.to_string() == text).then_some(number)
}
