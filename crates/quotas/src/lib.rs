//! Shares of a capacity among gateways. One gateway keeps it and hands shares out for a time; a gateway with none uses a part of
//! its own. What is used can never add up to more than the whole, whoever is cut off, dies or stands still; of what is not
//! strict, to no more than half beyond it.

pub mod capacity;
pub mod demand;
pub mod divide;
pub mod fair;
pub mod holder;
pub mod keeper;
pub mod shares;

use larchfall_policy::time::Duration;

/// What holds for one kind of capacity, the same at all gateways of a fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// There are never more gateways than this, those among them that nobody sees.
    pub gateways: usize,
    /// A share lasts so long from before it was asked for, less the margin.
    pub length: Duration,
    /// By so many parts in a thousand two clocks may differ in how fast they run.
    pub margin: u32,
    /// What is used counts for so long after: the capacity is borne within any such time.
    pub window: Duration,
    /// Whether more than the whole may never be used.
    pub strict: bool,
}

impl Terms {
    /// The part of the whole that is kept back for each gateway that has no share: half of an even part. So no more than half
    /// of it is ever kept back, and what is handed out comes from the rest.
    pub fn careful(&self) -> f64 {
        0.5 / self.gateways.max(1) as f64
    }

    /// The part that a gateway uses by itself while it has no share. Where more than the whole does harm, what is kept back
    /// for it; else an even part, so that all is as without keepers when there are none. All that have no share then use
    /// half of their even parts more than is kept back: with everything handed out that can be, half of the whole at most.
    pub fn alone(&self) -> f64 {
        if self.strict { self.careful() } else { 2.0 * self.careful() }
    }

    /// What a gateway counts on of a share's length.
    pub fn counted(&self) -> Duration {
        self.length * (f64::from(1000_u32.saturating_sub(self.margin)) / 1000.0)
    }
}
