//! Configuration of the admission controller.

/// Queue capacity for each slot.
pub const QUEUE_CAPACITY_PER_SLOT: u32 = 2;

/// Lower bound on the default queue capacity.
pub const MIN_QUEUE_CAPACITY: u32 = 16;

/// Upper bound on the default queue capacity.
pub const MAX_QUEUE_CAPACITY: u32 = 512;

/// Slots, queue capacity and enabled mechanisms of an admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Number of slots that the instance publishes.
    pub slots: u32,
    /// Maximum number of queued calls.
    pub queue_capacity: u32,
    /// Whether the concurrency limit adapts to latency; otherwise it is fixed at `slots`.
    pub adaptive_limit: bool,
    /// Whether, under standing overload, the newest call is served first and calls that cannot meet
    /// their deadline are dropped.
    pub sojourn_control: bool,
    /// Whether calls are served by priority, idempotency and cohort before age; otherwise by age
    /// alone.
    pub priority_order: bool,
    /// Whether running idempotent calls are cancelled for non-idempotent calls of a higher
    /// priority.
    pub preemption: bool,
}

impl AdmissionConfig {
    /// Number of slots that stands for no concurrency limit.
    pub const UNLIMITED_SLOTS: u32 = 65_536;

    /// Returns the configuration with all mechanisms enabled.
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

    /// Returns a fixed concurrency limit with a queue ordered by age.
    pub fn fixed(slots: u32) -> AdmissionConfig {
        AdmissionConfig {
            adaptive_limit: false,
            sojourn_control: false,
            priority_order: false,
            preemption: false,
            ..AdmissionConfig::full(slots)
        }
    }

    /// Returns the configuration without admission control: every call starts at once.
    pub fn none() -> AdmissionConfig {
        AdmissionConfig::fixed(AdmissionConfig::UNLIMITED_SLOTS)
    }
}
