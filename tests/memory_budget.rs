//! Budget of the memory for messages.

use std::time::Duration;

use dragonflylead::memory::BodyBuilder;
use dragonflylead::memory::MemoryBudget;
use dragonflylead::memory::body::PIECE_BYTES;
use dragonflylead::memory::budget::SMALL_MESSAGE_BYTES;
use tokio::time::Instant;

const LIMIT: usize = 20 * SMALL_MESSAGE_BYTES;

/// Guards against large messages that take the memory of ordinary requests.
#[test]
fn large_messages_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(LIMIT);
    let mut large = budget.reserve();
    assert!(!large.extend_to(LIMIT));
    assert!(large.extend_to(budget.large_limit()));
    let mut next = budget.reserve();
    assert!(!next.extend_to(SMALL_MESSAGE_BYTES + 1));
    assert_eq!(next.bytes(), 0);
    let small: Vec<_> = (0..4).map(|_| budget.reserve()).collect();
    for mut reservation in small {
        assert!(reservation.extend_to(SMALL_MESSAGE_BYTES));
    }
    assert_eq!(budget.used(), large.bytes());
    drop(large);
    assert_eq!(budget.used(), 0);
}

/// Guards against readers that wait although memory has become free.
#[tokio::test]
async fn a_reservation_that_waits_is_extended_once_there_is_room() {
    let budget = MemoryBudget::new(LIMIT);
    let mut held = budget.reserve();
    assert!(held.extend_to(budget.large_limit()));
    let mut waiting = budget.reserve();
    let until = Instant::now() + Duration::from_secs(20);
    let freed = async {
        budget.shortage().await;
        drop(held);
    };
    let (extended, ()) = tokio::join!(waiting.wait_to_extend(LIMIT / 2, until), freed);
    assert!(extended);
    assert_eq!(budget.waits(), 1);
}

/// Guards against bodies that hold much more memory than they have bytes.
#[test]
fn a_body_of_small_parts_is_stored_in_large_pieces() {
    let mut builder = BodyBuilder::default();
    let parts: Vec<u8> = (0..3 * PIECE_BYTES + 5).map(|n| n as u8).collect();
    parts.iter().for_each(|byte| builder.append(&[*byte]));
    assert_eq!(builder.len(), parts.len());
    let body = builder.finish();
    assert_eq!(body.pieces().len(), 4);
    assert_eq!(body.to_vec(), parts);
}
