//! What is shared among gateways, under one number each: letters name it by that, and keepers are spread by a hash of it.

use xxhash_rust::xxh3::xxh3_64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Capacity {
    /// What an engine bears while it is cold, by its id. More than that, all gateways together, and it falls.
    SlowStart(u32),
    /// Threads of an engine, by its id. Budgets are the net below.
    Threads(u32),
    /// A tenant's allowance, by a hash of its name: another file may list tenants in another order.
    Tenant(u32),
}

const BITS: u32 = 32;

impl Capacity {
    pub fn tenant(name: &str) -> Capacity {
        Capacity::Tenant(xxh3_64(name.as_bytes()) as u32)
    }

    pub fn key(self) -> u64 {
        let (kind, id) = match self {
            Capacity::SlowStart(id) => (0, id),
            Capacity::Threads(id) => (1, id),
            Capacity::Tenant(id) => (2, id),
        };
        kind << BITS | u64::from(id)
    }

    /// None where a later version has kinds that this one does not know.
    pub fn of(key: u64) -> Option<Capacity> {
        let id = key as u32;
        match key >> BITS {
            0 => Some(Capacity::SlowStart(id)),
            1 => Some(Capacity::Threads(id)),
            2 => Some(Capacity::Tenant(id)),
            _ => None,
        }
    }

    /// Whether more than the whole of it must never be used, by whomever: a gateway without a share takes a careful part.
    pub fn is_strict(self) -> bool {
        matches!(self, Capacity::SlowStart(_))
    }
}
