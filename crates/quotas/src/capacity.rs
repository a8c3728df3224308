//! What is divided among gateways. Each capacity has a key: messages name it by that, and capacities are divided among
//! allocators by a hash of it.

use xxhash_rust::xxh3::xxh3_64;

/// A capacity that gateways share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Capacity {
    /// What an engine can bear in slow start, by its id. More than that, of all gateways together, overloads it.
    SlowStart(u32),
    /// Threads of an engine, by its id. Concurrency limits catch what is beyond them.
    Threads(u32),
    /// A tenant's quota, by a hash of its name: settings may list tenants in any order.
    Tenant(u32),
}

/// The kind stands above so many bits of id.
const ID_BITS: u32 = 32;

impl Capacity {
    /// The capacity of a tenant.
    pub fn tenant(name: &str) -> Capacity {
        Capacity::Tenant(xxh3_64(name.as_bytes()) as u32)
    }

    /// Its key.
    pub fn key(self) -> u64 {
        let (kind, id) = match self {
            Capacity::SlowStart(id) => (0, id),
            Capacity::Threads(id) => (1, id),
            Capacity::Tenant(id) => (2, id),
        };
        kind << ID_BITS | u64::from(id)
    }

    /// `None` for kinds of a later version.
    pub fn from_key(key: u64) -> Option<Capacity> {
        let id = key as u32;
        match key >> ID_BITS {
            0 => Some(Capacity::SlowStart(id)),
            1 => Some(Capacity::Threads(id)),
            2 => Some(Capacity::Tenant(id)),
            _ => None,
        }
    }

    /// Whether more than the whole of it must never be used.
    pub fn is_strict(self) -> bool {
        matches!(self, Capacity::SlowStart(_))
    }
}
