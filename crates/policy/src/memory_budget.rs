//! Shares a memory budget between accounts, of which any number may ask for more and more and release nothing for long.
//!
//! Half of the budget, or more where the smallest useful shares need it, is divided into equal shares: up to its
//! guaranteed share, an account is admitted whatever the others hold. What an account holds beyond its share is its
//! excess. All excesses together are bounded by the rest of the budget, so that they never take a guaranteed share. Each
//! account's excess is bounded by a dynamic threshold (Choudhury and Hahne, "Dynamic queue length thresholds for
//! shared-memory packet switches", 1998): it may be at most as large as what all other excesses leave free.

/// Divisor of the budget that gives the sum of the shares, unless that makes a share smaller than useful.
const SHARES_DIVISOR: usize = 2;
/// Divisor of the budget that gives the part which is always left to excesses.
const MIN_EXCESS_DIVISOR: usize = 4;

/// The bounds of a budget, and the bytes that its accounts hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    max_bytes: usize,
    guaranteed_bytes: usize,
    max_excess_bytes: usize,
    held_bytes: usize,
    excess_bytes: usize,
}

impl MemoryBudget {
    /// The largest number of accounts that can each have a guaranteed share of `min_share_bytes` in a budget of `max_bytes`,
    /// beside the part that is left to excesses.
    pub const fn max_accounts(max_bytes: usize, min_share_bytes: usize) -> usize {
        (max_bytes - max_bytes / MIN_EXCESS_DIVISOR) / min_share_bytes
    }

    /// Creates a budget of which nothing is held. `accounts` is the number of accounts that get a guaranteed share of at
    /// least `min_share_bytes`. With more than [`MemoryBudget::max_accounts`] of them, accounts get theirs in the order in
    /// which they ask.
    pub fn new(max_bytes: usize, accounts: usize, min_share_bytes: usize) -> MemoryBudget {
        let guaranteed_bytes = (max_bytes / SHARES_DIVISOR / accounts.max(1)).max(min_share_bytes);
        let all_shares = guaranteed_bytes.saturating_mul(accounts);
        let max_excess_bytes = max_bytes.saturating_sub(all_shares).max(max_bytes / MIN_EXCESS_DIVISOR);
        MemoryBudget { max_bytes, guaranteed_bytes, max_excess_bytes, held_bytes: 0, excess_bytes: 0 }
    }

    /// Returns whether an account that holds `account_bytes` of this budget may hold `additional_bytes` more.
    pub fn admits(&self, account_bytes: usize, additional_bytes: usize) -> bool {
        let account_after = account_bytes.saturating_add(additional_bytes);
        let excess_before = self.excess(account_bytes);
        let excess_after = self.excess(account_after);
        let all_excesses_after = self.excess_bytes.saturating_add(excess_after - excess_before);
        let free_for_excess = self.max_excess_bytes.saturating_sub(all_excesses_after);
        self.held_bytes.saturating_add(additional_bytes) <= self.max_bytes
            && (excess_after == 0 || excess_after <= free_for_excess)
    }

    /// Records that an account that held `from` bytes now holds `to` bytes, whether or not the budget admits them.
    pub fn change_account(&mut self, from: usize, to: usize) {
        self.held_bytes = (self.held_bytes - from).saturating_add(to);
        self.excess_bytes = (self.excess_bytes - self.excess(from)).saturating_add(self.excess(to));
    }

    /// The bound of what all accounts hold together.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Bytes that all accounts hold together.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// The part of an account's bytes beyond its guaranteed share.
    fn excess(&self, account_bytes: usize) -> usize {
        account_bytes.saturating_sub(self.guaranteed_bytes)
    }
}
