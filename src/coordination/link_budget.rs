//! Byte budget of the link to another region.
//!
//! The budget is a pair of token buckets, one of them reserved for critical calls. Each failure
//! domain has its own pair, refilled at its share of the link's rate, so that a domain that is
//! partitioned from the others needs no coordination. The size of a response is not known in
//! advance: a call is charged an estimate when it is sent, and the difference when it is answered.
//! The length of a request body is known and charged as it is. Where bodies have a limit, they have a
//! bucket of their own, so that large ones leave room for small calls.

use std::time::Duration;

use crate::clock::Time;

/// Estimated size of a call in bytes before the first call was measured.
pub const INITIAL_ESTIMATE_BYTES: f64 = 4_096.0;

/// Weight of the newest call in the moving average of call sizes.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Settings of a link budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConfig {
    /// Whether the budget is enforced.
    pub enabled: bool,
    /// Refill rate in bytes per second.
    pub bytes_per_s: f64,
    /// Bucket capacity, as the time in which it is refilled.
    pub burst: Duration,
    /// Share of the budget that only critical calls may spend, from 0 to 1.
    pub reserved_share: f64,
    /// Maximum debt, as the time in which it is refilled.
    pub max_debt: Duration,
    /// Limit on the request bodies that are sent, if there is one.
    pub bodies: Option<BodyLimit>,
}

/// Limit on the request bodies that are sent over a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BodyLimit {
    /// Refill rate in bytes per second.
    pub bytes_per_s: f64,
    /// Bucket capacity, as the time in which it is refilled.
    pub burst: Duration,
}

impl Default for LinkConfig {
    fn default() -> LinkConfig {
        LinkConfig {
            enabled: true,
            bytes_per_s: 64.0 * 1024.0,
            burst: Duration::from_secs(10),
            reserved_share: 0.3,
            max_debt: Duration::from_secs(30),
            bodies: None,
        }
    }
}

/// Returns the rate of one node in bytes per second. The rate of the link is divided evenly among
/// the failure domains of a region, and the rate of a domain among its nodes.
pub fn node_bytes_per_s(link_bytes_per_s: f64, domains: usize, nodes: usize) -> f64 {
    link_bytes_per_s / domains.max(1) as f64 / nodes.max(1) as f64
}

/// A token bucket, in bytes, whose level may fall below zero to a bounded debt.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    capacity: f64,
    min_level: f64,
    refilled_at: Time,
}

impl Bucket {
    fn new(rate: f64, burst: Duration, max_debt: Duration, now: Time) -> Bucket {
        let capacity = rate * burst.as_secs_f64();
        Bucket {
            level: capacity,
            rate,
            capacity,
            min_level: -rate * max_debt.as_secs_f64(),
            refilled_at: now,
        }
    }

    fn level_at(&self, now: Time) -> f64 {
        let gained = self.rate * now.since(self.refilled_at).as_secs_f64();
        (self.level + gained).min(self.capacity)
    }

    /// Returns this bucket with the same relative fill level as `other`.
    fn with_fill_of(mut self, other: &Bucket, now: Time) -> Bucket {
        if other.capacity > 0.0 {
            let level = self.capacity * other.level_at(now) / other.capacity;
            self.level = level.max(self.min_level);
        }
        self
    }

    /// Returns the bytes to take for a call of `estimate_bytes`, capped at the bucket's capacity,
    /// or `None` if the bucket does not hold them.
    fn quote(&self, estimate_bytes: f64, now: Time) -> Option<f64> {
        let bytes = estimate_bytes.min(self.capacity);
        (self.capacity > 0.0 && self.level_at(now) >= bytes).then_some(bytes)
    }

    /// Takes `bytes` from the bucket, or gives them back if negative. Returns the bytes that exceed
    /// the maximum debt and are therefore not taken.
    fn take(&mut self, bytes: f64, now: Time) -> f64 {
        let level = self.level_at(now) - bytes;
        self.refilled_at = self.refilled_at.max(now);
        self.level = level.clamp(self.min_level, self.capacity);
        (self.min_level - level).max(0.0)
    }
}

/// Bytes charged for a call when it is sent, and the bucket that they are taken from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    bytes: f64,
    request_bytes: f64,
    reserved: bool,
}

/// Byte budget of one failure domain, or of one node of it, for one link.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    enabled: bool,
    common: Bucket,
    reserved: Bucket,
    bodies: Option<Bucket>,
    estimate_bytes: f64,
    uncharged: f64,
}

impl LinkBudget {
    /// Creates a budget with full buckets.
    pub fn new(cfg: &LinkConfig, now: Time) -> LinkBudget {
        let reserved = cfg.reserved_share.clamp(0.0, 1.0);
        let bucket = |rate, burst| Bucket::new(rate, burst, cfg.max_debt, now);
        LinkBudget {
            enabled: cfg.enabled,
            common: bucket(cfg.bytes_per_s * (1.0 - reserved), cfg.burst),
            reserved: bucket(cfg.bytes_per_s * reserved, cfg.burst),
            bodies: cfg
                .bodies
                .map(|limit| bucket(limit.bytes_per_s, limit.burst)),
            estimate_bytes: INITIAL_ESTIMATE_BYTES,
            uncharged: 0.0,
        }
    }

    /// Applies new settings. The buckets keep their relative fill level.
    pub fn reconfigure(&mut self, cfg: &LinkConfig, now: Time) {
        let full = LinkBudget::new(cfg, now);
        self.enabled = full.enabled;
        self.common = full.common.with_fill_of(&self.common, now);
        self.reserved = full.reserved.with_fill_of(&self.reserved, now);
        self.bodies = match (full.bodies, &self.bodies) {
            (Some(bodies), Some(known)) => Some(bodies.with_fill_of(known, now)),
            (bodies, _) => bodies,
        };
    }

    /// Returns the charge for a call with a request body of `request_bytes`, or `None` if the budget
    /// does not allow it. Critical calls use the reserved bucket first.
    pub fn quote(&self, critical: bool, request_bytes: u64, now: Time) -> Option<Charge> {
        let request_bytes = request_bytes as f64;
        if request_bytes > 0.0
            && let Some(bodies) = &self.bodies
        {
            bodies.quote(request_bytes, now)?;
        }
        let charge = |bytes, reserved| Charge {
            bytes,
            request_bytes,
            reserved,
        };
        let expected = self.estimate_bytes + self.unlimited_bytes(request_bytes);
        if critical && let Some(bytes) = self.reserved.quote(expected, now) {
            return Some(charge(bytes, true));
        }
        let bytes = match self.enabled {
            true => self.common.quote(expected, now)?,
            false => expected,
        };
        Some(charge(bytes, false))
    }

    /// Takes the charge of a call that is being sent.
    pub fn charge(&mut self, charge: &Charge, now: Time) {
        self.take(charge.reserved, charge.bytes, now);
        if let Some(bodies) = &mut self.bodies {
            self.uncharged += bodies.take(charge.request_bytes, now);
        }
    }

    /// Corrects the charge of a call whose response had `bytes`; 0 if unknown, in which case the
    /// charge stands.
    pub fn settle(&mut self, charge: &Charge, bytes: u64, now: Time) {
        if bytes == 0 {
            return;
        }
        let bytes = bytes as f64;
        self.estimate_bytes += ESTIMATE_WEIGHT * (bytes - self.estimate_bytes);
        let total = bytes + self.unlimited_bytes(charge.request_bytes);
        self.take(charge.reserved, total - charge.bytes, now);
    }

    /// Returns the bytes of a request body that count together with the response, because bodies have
    /// no limit of their own.
    fn unlimited_bytes(&self, request_bytes: f64) -> f64 {
        match self.bodies {
            Some(_) => 0.0,
            None => request_bytes,
        }
    }

    /// Returns the bytes left for calls that are not critical; negative while in debt.
    pub fn left(&self, now: Time) -> f64 {
        self.common.level_at(now)
    }

    /// Returns the bytes left that only critical calls may spend; negative while in debt.
    pub fn reserved_left(&self, now: Time) -> f64 {
        self.reserved.level_at(now)
    }

    /// Returns the total bytes that exceeded the maximum debt and were not charged.
    pub fn uncharged(&self) -> f64 {
        self.uncharged
    }

    fn take(&mut self, reserved: bool, bytes: f64, now: Time) {
        let bucket = if reserved {
            &mut self.reserved
        } else {
            &mut self.common
        };
        self.uncharged += bucket.take(bytes, now);
    }
}
