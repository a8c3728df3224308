//! Shares a memory budget between accounts by dynamic thresholds (Choudhury and Hahne, "Dynamic queue length thresholds
//! for shared-memory packet switches", 1998): an account may hold at most as many bytes as remain free for all accounts.
//!
//! A single account can hold half of the budget, and `n` accounts that ask for more and more end with a share of
//! `1 / (n + 1)` each. The same share stays free, so that an account with modest needs is admitted beside them.

/// The bound of a budget, and the bytes that all its accounts hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    max_bytes: usize,
    held_bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(max_bytes: usize) -> MemoryBudget {
        MemoryBudget { max_bytes, held_bytes: 0 }
    }

    /// Returns whether an account that holds `account_bytes` of this budget may hold `additional_bytes` more.
    pub fn admits(&self, account_bytes: usize, additional_bytes: usize) -> bool {
        let held_after = self.held_bytes.saturating_add(additional_bytes);
        let free_after = self.max_bytes.saturating_sub(held_after);
        account_bytes.saturating_add(additional_bytes) <= free_after
    }

    /// Records that an account holds `bytes` more, whether or not the budget admits them.
    pub fn hold(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_add(bytes);
    }

    /// Records that an account no longer holds `bytes`.
    pub fn release(&mut self, bytes: usize) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Bytes that all accounts hold together.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
