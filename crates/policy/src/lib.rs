//! The decisions of larchfall, free of any wire: `policy` decides, `interface` holds the plain types that go
//! in and out, `time` the two types for a point in time and a span.

pub mod interface;
pub mod policy;
pub mod time;
