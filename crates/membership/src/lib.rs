//! Who of the gateways lives, as this gateway knows it. Nothing here opens a socket, reads a clock or draws its own
//! chance: points in time, datagrams and a seed come in, datagrams and events go out. The options weighed, and what
//! is kept and changed of the sources, stand in docs/members.md.

pub mod claim;
pub mod count;
pub mod health;
pub mod members;
pub mod rumours;
pub mod suspicion;
pub mod wire;
