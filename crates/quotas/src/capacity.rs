//! Capacities that are divided among gateways. Each capacity has a key, which identifies the capacity in messages. A
//! hash of the key selects the allocator of the capacity.

use xxhash_rust::xxh3::xxh3_64;

/// A capacity that gateways share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Capacity {
    /// The load that an engine can take in slow start, by engine id. The engine is overloaded if the gateways together
    /// send more.
    SlowStart(u32),
    /// Threads of an engine, by engine id. Concurrency limits protect the engine when gateways use more threads.
    Threads(u32),
    /// A tenant's quota, by a hash of the tenant's name: the order of tenants in the settings may differ among
    /// gateways.
    Tenant(u32),
}

/// Number of low bits of a key that hold the id; the bits above hold the kind of the capacity.
const ID_BITS: u32 = 32;

impl Capacity {
    /// The capacity of the tenant with this name.
    pub fn tenant(name: &str) -> Capacity {
        Capacity::Tenant(xxh3_64(name.as_bytes()) as u32)
    }

    /// The key of the capacity on the wire: kind in the upper and id in the lower 32 bits.
    pub fn key(self) -> u64 {
        let (kind, id) = match self {
            Capacity::SlowStart(id) => (0, id),
            Capacity::Threads(id) => (1, id),
            Capacity::Tenant(id) => (2, id),
        };
        kind << ID_BITS | u64::from(id)
    }

    /// The capacity with this key; `None` if the kind is unknown, for example from a later version.
    pub fn from_key(key: u64) -> Option<Capacity> {
        let id = key as u32;
        match key >> ID_BITS {
            0 => Some(Capacity::SlowStart(id)),
            1 => Some(Capacity::Threads(id)),
            2 => Some(Capacity::Tenant(id)),
            _ => None,
        }
    }

    /// Whether the gateways together must never use more than the whole capacity.
    pub fn is_strict(self) -> bool {
        matches!(self, Capacity::SlowStart(_))
    }
}
