//! Leases between several processes of the gateway, with a network, disks and clocks that break, and a resource that checks
//! fencing tokens.

mod disks_and_clocks;
mod failover;
mod test_bed;
mod voters;
