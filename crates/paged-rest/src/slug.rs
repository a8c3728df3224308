//! Addresses of pages that can't be guessed: a keyed hash (HMAC-SHA-256, cut to 128 bits) over what they name.

use crate::results::Name;
use hmac::{Hmac, Mac};
use sha2::Sha256;
use std::fmt::Write;

const PATH: &str = "/v1/statement/executing/";
const BYTES: usize = 16;

/// The key of one gateway's run: its addresses mean nothing to the next.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// A page by its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub name: Name,
    pub token: u64,
}

impl Key {
    /// From bytes of chance that nobody else knows.
    pub fn new(secret: &[u8; 32]) -> Key {
        Key(Hmac::new_from_slice(secret).unwrap_or_else(|_| unreachable!("HMAC takes keys of any length")))
    }

    fn hash(&self, place: Place) -> Hmac<Sha256> {
        let mut hash = self.0.clone();
        for n in [place.name.number as u64, place.name.era, place.token] {
            hash.update(&n.to_be_bytes());
        }
        hash
    }

    /// The address of a page, without scheme and host.
    pub fn path(&self, place: Place) -> String {
        let mut path = format!("{PATH}{}/", id(place.name));
        for byte in &self.hash(place).finalize().into_bytes()[..BYTES] {
            let _ = write!(path, "{byte:02x}");
        }
        let _ = write!(path, "/{}", place.token);
        path
    }

    /// What an address names; `None` for all that this key has not made.
    pub fn read(&self, path: &str) -> Option<Place> {
        let mut parts = path.strip_prefix(PATH)?.split('/');
        let (id, slug, token) = (parts.next()?, parts.next()?, parts.next()?);
        if parts.next().is_some() {
            return None;
        }
        let (era, number) = id.split_once('_')?;
        let name = Name { number: plain(number)? as usize, era: plain(era)? };
        let place = Place { name, token: plain(token)? };
        let mut said = [0; BYTES];
        if slug.len() != 2 * BYTES || !slug.is_ascii() {
            return None;
        }
        for (byte, digits) in said.iter_mut().zip(slug.as_bytes().chunks_exact(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        }
        self.hash(place).verify_truncated_left(&said).ok().map(|()| place)
    }
}

/// Digits alone, and as they would be written: one page has one address.
fn plain(text: &str) -> Option<u64> {
    let n: u64 = text.parse().ok()?;
    (n.to_string() == text).then_some(n)
}

/// A result as its documents name it.
pub fn id(name: Name) -> String {
    format!("{}_{}", name.era, name.number)
}
