//! Slots of calls that wait for pages.

use larchfall_paged_rest::call_slots::CallSlots;

#[test]
fn slots_are_granted_in_the_order_in_which_callers_asked() {
    let mut slots = CallSlots::new(2);
    assert!(slots.acquire(&1) && slots.acquire(&2));
    assert!(!slots.acquire(&3) && !slots.acquire(&4) && !slots.acquire(&3));
    assert_eq!(slots.release(), Some(3));
    assert!(!slots.acquire(&5), "a caller overtook the queue");
    assert!(!slots.acquire(&4), "a caller overtook another in the queue");
    assert!(slots.acquire(&3));
    assert_eq!(slots.next_caller(), None, "a caller was to be woken without a free slot");
    assert_eq!(slots.release(), Some(4));
}

#[test]
fn a_caller_that_leaves_the_queue_lets_the_next_one_have_its_turn() {
    let mut slots = CallSlots::new(1);
    assert!(slots.acquire(&1) && !slots.acquire(&2) && !slots.acquire(&3));
    assert_eq!(slots.leave(&2), None);
    assert_eq!(slots.release(), Some(3));
    assert_eq!(slots.leave(&3), None);
    assert!(slots.acquire(&4));
}
