//! The memory budget that accounts share by dynamic thresholds.

use larchfall_policy::memory_budget::MemoryBudget;
use proptest::prelude::*;

/// Lets each of these accounts in turn ask for `step` bytes until the budget admits none of them; returns what each
/// holds.
fn fill(budget: &mut MemoryBudget, accounts: usize, step: usize) -> Vec<usize> {
    let mut held = vec![0; accounts];
    loop {
        let mut admitted = false;
        for account in &mut held {
            if budget.admits(*account, step) {
                budget.hold(step);
                *account += step;
                admitted = true;
            }
        }
        if !admitted {
            return held;
        }
    }
}

#[test]
fn a_single_account_may_hold_half_of_the_budget() {
    let budget = MemoryBudget::new(1000);
    assert!(budget.admits(0, 500));
    assert!(!budget.admits(0, 501));
}

#[test]
fn released_bytes_are_admitted_again() {
    let mut budget = MemoryBudget::new(1000);
    budget.hold(900);
    assert!(!budget.admits(0, 51));
    budget.release(400);
    assert_eq!(budget.held_bytes(), 500);
    assert!(budget.admits(0, 250));
}

/// Guards against arithmetic that wraps: sizes come from clients.
#[test]
fn sizes_near_the_largest_number_are_refused() {
    let mut budget = MemoryBudget::new(1000);
    assert!(!budget.admits(usize::MAX, 1));
    assert!(!budget.admits(1, usize::MAX));
    budget.hold(usize::MAX);
    assert!(!budget.admits(0, 1));
}

proptest! {
    /// Guards against accounts that together exceed the budget, and against ones that leave nothing for another.
    #[test]
    fn greedy_accounts_stay_within_the_budget_and_leave_an_equal_share_free(
        max_bytes in 1_usize..1 << 20,
        accounts in 1_usize..400,
        step in 1_usize..1 << 16,
    ) {
        let mut budget = MemoryBudget::new(max_bytes);
        let held = fill(&mut budget, accounts, step);
        let total: usize = held.iter().sum();
        prop_assert_eq!(budget.held_bytes(), total);
        let free = max_bytes.checked_sub(total).expect("more is held than the budget allows");
        prop_assert!(held.iter().all(|account| *account <= free), "{:?} of {}", held, max_bytes);
        prop_assert!(free + 1 >= max_bytes / (accounts + 1), "{free} of {max_bytes} are free");
        // No account holds more than one step more than another.
        let (least, most) = (held.iter().min().unwrap(), held.iter().max().unwrap());
        prop_assert!(most - least <= step, "{:?}", held);
        prop_assert!(budget.admits(0, free / 2));
    }
}
