//! The parts of admission, and which of them are on.

/// Waiting calls for each slot.
pub const QUEUE_CAPACITY_PER_SLOT: u32 = 2;

/// Shortest queue bound.
pub const MIN_QUEUE_CAPACITY: u32 = 16;

/// Longest queue bound.
pub const MAX_QUEUE_CAPACITY: u32 = 512;

/// Parts of admission that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Published slots of the instance.
    pub slots: u32,
    /// Longest queue.
    pub queue_capacity: u32,
    /// Learn the limit from latency instead of using the slots.
    pub adaptive_limit: bool,
    /// Under standing overload, serve newest first and drop what cannot meet its deadline.
    pub sojourn_control: bool,
    /// Serve by priority and cohort instead of age alone.
    pub priority_order: bool,
    /// Cancel running idempotent calls for non-idempotent ones of higher priority.
    pub preemption: bool,
}

impl AdmissionConfig {
    /// Slots of an instance without admission control.
    pub const UNLIMITED_SLOTS: u32 = 65_536;

    /// Everything on.
    pub fn full(slots: u32) -> AdmissionConfig {
        let queue = slots.saturating_mul(QUEUE_CAPACITY_PER_SLOT);
        AdmissionConfig {
            slots,
            queue_capacity: queue.clamp(MIN_QUEUE_CAPACITY, MAX_QUEUE_CAPACITY),
            adaptive_limit: true,
            sojourn_control: true,
            priority_order: true,
            preemption: true,
        }
    }

    /// A fixed limit with a queue in order of age.
    pub fn fixed(slots: u32) -> AdmissionConfig {
        AdmissionConfig {
            adaptive_limit: false,
            sojourn_control: false,
            priority_order: false,
            preemption: false,
            ..AdmissionConfig::full(slots)
        }
    }

    /// No control: every call starts at once.
    pub fn none() -> AdmissionConfig {
        AdmissionConfig::fixed(AdmissionConfig::UNLIMITED_SLOTS)
    }
}
