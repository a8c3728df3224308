//! Accounts for the memory that connections occupy with their buffers and requests. `MemoryBudget` of the policy
//! decides how much an account may hold; this module counts what is held, by purpose, until it is freed.

use super::lock;
use larchfall_policy::memory_budget::MemoryBudget;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Input of clients that is not handled yet, such as a part of a message.
    ClientInput,
    /// Requests in flight: statement, coroutine and records.
    Request,
    /// Replies of engines that are not complete yet.
    EngineReply,
    /// Rows of results that are not complete yet.
    Rows,
    /// Responses that are not sent yet.
    Response,
}

const PURPOSES: [Purpose; 5] =
    [Purpose::ClientInput, Purpose::Request, Purpose::EngineReply, Purpose::Rows, Purpose::Response];

impl Purpose {
    /// Name of the purpose in log lines.
    fn label(self) -> &'static str {
        match self {
            Purpose::ClientInput => "client_input",
            Purpose::Request => "requests",
            Purpose::EngineReply => "engine_replies",
            Purpose::Rows => "rows",
            Purpose::Response => "responses",
        }
    }
}

/// The budget does not admit as many bytes for this account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("memory budget exceeded")]
pub struct BudgetExceeded;

/// Use of a pool for one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PurposeUsage {
    /// Bytes held now.
    pub held_bytes: usize,
    /// Highest number of bytes held at the same time.
    pub max_held_bytes: usize,
    /// Reservations that the budget did not admit.
    pub refused: u64,
}

/// A memory budget that the accounts of all connections share.
pub struct MemoryPool {
    usage: Mutex<PoolUsage>,
}

struct PoolUsage {
    budget: MemoryBudget,
    by_purpose: [PurposeUsage; PURPOSES.len()],
}

impl PoolUsage {
    fn change(&mut self, purpose: Purpose, from: usize, to: usize) {
        let usage = &mut self.by_purpose[purpose as usize];
        usage.held_bytes = usage.held_bytes + to - from;
        usage.max_held_bytes = usage.max_held_bytes.max(usage.held_bytes);
    }
}

impl MemoryPool {
    /// Creates a pool with this budget.
    pub fn new(budget: MemoryBudget) -> Arc<MemoryPool> {
        Arc::new(MemoryPool { usage: Mutex::new(PoolUsage { budget, by_purpose: Default::default() }) })
    }

    /// Opens an account that holds nothing. The account ends with its last reservation.
    pub fn account(self: &Arc<Self>) -> Arc<MemoryAccount> {
        Arc::new(MemoryAccount { pool: self.clone(), held: AtomicUsize::new(0) })
    }

    /// Returns the use of the pool for one purpose.
    pub fn usage(&self, purpose: Purpose) -> PurposeUsage {
        lock(&self.usage).by_purpose[purpose as usize]
    }

    /// Formats one log line for each purpose that this pool has served.
    pub fn log_lines(&self) -> Vec<String> {
        let usage = lock(&self.usage);
        PURPOSES
            .iter()
            .zip(&usage.by_purpose)
            .filter(|(_, usage)| **usage != PurposeUsage::default())
            .map(|(purpose, PurposeUsage { held_bytes, max_held_bytes, refused })| {
                let purpose = purpose.label();
                format!(
                    "memory counters, purpose: {purpose}, bytes: {held_bytes}, most_bytes: {max_held_bytes}, \
                     refused: {refused}"
                )
            })
            .collect()
    }
}

/// The memory that one connection holds in a pool.
pub struct MemoryAccount {
    pool: Arc<MemoryPool>,
    /// Changed only while the pool is locked.
    held: AtomicUsize,
}

impl MemoryAccount {
    /// Creates a reservation of no bytes.
    pub fn empty_reservation(self: &Arc<Self>, purpose: Purpose) -> Reservation {
        Reservation { account: self.clone(), purpose, bytes: 0 }
    }

    /// Reserves memory if the budget admits it.
    pub fn reserve(self: &Arc<Self>, purpose: Purpose, bytes: usize) -> Result<Reservation, BudgetExceeded> {
        let mut reservation = self.empty_reservation(purpose);
        reservation.try_resize(bytes)?;
        Ok(reservation)
    }

    fn change(&self, usage: &mut PoolUsage, purpose: Purpose, from: usize, to: usize) {
        let held_before = self.held.load(Ordering::Relaxed);
        let held_after = held_before + to - from;
        self.held.store(held_after, Ordering::Relaxed);
        usage.budget.change_account(held_before, held_after);
        usage.change(purpose, from, to);
    }
}

/// Memory that is held by an account until the reservation is dropped.
pub struct Reservation {
    account: Arc<MemoryAccount>,
    purpose: Purpose,
    bytes: usize,
}

impl Reservation {
    /// Returns whether the budget would admit `additional` more bytes now.
    pub fn admits(&self, additional: usize) -> bool {
        let held = self.account.held.load(Ordering::Relaxed);
        lock(&self.account.pool.usage).budget.admits(held, additional)
    }

    /// Changes the reservation to `bytes` if the budget admits the difference. Shrinking always succeeds.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let account = &self.account;
        let mut usage = lock(&account.pool.usage);
        let additional = bytes.saturating_sub(self.bytes);
        if additional > 0 && !usage.budget.admits(account.held.load(Ordering::Relaxed), additional) {
            usage.by_purpose[self.purpose as usize].refused += 1;
            return Err(BudgetExceeded);
        }
        account.change(&mut usage, self.purpose, self.bytes, bytes);
        self.bytes = bytes;
        Ok(())
    }

    /// Changes the reservation to `bytes`, even beyond the budget. For memory that is small and already in use.
    pub fn resize(&mut self, bytes: usize) {
        let mut usage = lock(&self.account.pool.usage);
        self.account.change(&mut usage, self.purpose, self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
