//! Byte budget of the link between regions.
//!
//! The budget is a pair of token buckets, one of them reserved for critical calls. Each failure
//! domain has its own pair, filled at its own share of the link, so that a domain that is cut off
//! from the others needs to ask nobody. The size of an answer is known only afterwards: a call is
//! charged an estimate when it is sent and the difference when it is answered.

use std::time::Duration;

use crate::clock::Time;

/// Estimate of the bytes of a call before any was seen.
pub const FIRST_ESTIMATE_BYTES: f64 = 4_096.0;

/// Weight of the latest call in the estimate of its bytes.
const ESTIMATE_WEIGHT: f64 = 0.1;

/// Settings of a link budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkConfig {
    /// Whether the budget is enforced.
    pub enabled: bool,
    /// Bytes a second that may be spent.
    pub bytes_per_s: f64,
    /// Span of unspent budget that is kept.
    pub burst: Duration,
    /// Share of the budget that only critical calls may spend, from 0 to 1.
    pub reserved_share: f64,
    /// Span of budget that may be owed.
    pub max_debt: Duration,
}

impl Default for LinkConfig {
    fn default() -> LinkConfig {
        LinkConfig {
            enabled: true,
            bytes_per_s: 64.0 * 1024.0,
            burst: Duration::from_secs(10),
            reserved_share: 0.3,
            max_debt: Duration::from_secs(30),
        }
    }
}

/// Returns the bytes a second of one node, when a link of `link_bytes_per_s` is divided evenly
/// over the failure domains of a region and then over the nodes of a domain.
pub fn node_bytes_per_s(link_bytes_per_s: f64, domains: usize, nodes: usize) -> f64 {
    link_bytes_per_s / domains.max(1) as f64 / nodes.max(1) as f64
}

/// A token bucket that may go into bounded debt.
#[derive(Clone, Debug)]
struct Bucket {
    level: f64,
    rate: f64,
    top: f64,
    bottom: f64,
    filled: Time,
}

impl Bucket {
    fn new(cfg: &LinkConfig, share: f64, now: Time) -> Bucket {
        let rate = cfg.bytes_per_s * share;
        let top = rate * cfg.burst.as_secs_f64();
        Bucket {
            level: top,
            rate,
            top,
            bottom: -rate * cfg.max_debt.as_secs_f64(),
            filled: now,
        }
    }

    fn level_at(&self, now: Time) -> f64 {
        let gained = self.rate * now.since(self.filled).as_secs_f64();
        (self.level + gained).min(self.top)
    }

    /// Returns this full bucket with the share missing that is missing in `other`.
    fn emptied_like(mut self, other: &Bucket, now: Time) -> Bucket {
        if other.top > 0.0 {
            let level = self.top * other.level_at(now) / other.top;
            self.level = level.max(self.bottom);
        }
        self
    }

    /// Returns what is to be taken for `estimate` bytes, at most a full bucket, if it is there.
    fn offer(&self, estimate: f64, now: Time) -> Option<f64> {
        let bytes = estimate.min(self.top);
        (self.top > 0.0 && self.level_at(now) >= bytes).then_some(bytes)
    }

    /// Takes `bytes`, negative to give back, and returns those beyond the largest debt.
    fn take(&mut self, bytes: f64, now: Time) -> f64 {
        let level = self.level_at(now) - bytes;
        self.filled = self.filled.max(now);
        self.level = level.clamp(self.bottom, self.top);
        (self.bottom - level).max(0.0)
    }
}

/// What was charged for a call when it was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    bytes: f64,
    reserved: bool,
}

/// Byte budget of one failure domain.
#[derive(Clone, Debug)]
pub struct LinkBudget {
    enabled: bool,
    common: Bucket,
    reserved: Bucket,
    estimate: f64,
    forgiven: f64,
}

impl LinkBudget {
    /// Builds a budget that is full at `now`.
    pub fn new(cfg: &LinkConfig, now: Time) -> LinkBudget {
        let reserved = cfg.reserved_share.clamp(0.0, 1.0);
        LinkBudget {
            enabled: cfg.enabled,
            common: Bucket::new(cfg, 1.0 - reserved, now),
            reserved: Bucket::new(cfg, reserved, now),
            estimate: FIRST_ESTIMATE_BYTES,
            forgiven: 0.0,
        }
    }

    /// Takes over other settings. What was spent stays spent.
    pub fn reconfigure(&mut self, cfg: &LinkConfig, now: Time) {
        let full = LinkBudget::new(cfg, now);
        self.enabled = full.enabled;
        self.common = full.common.emptied_like(&self.common, now);
        self.reserved = full.reserved.emptied_like(&self.reserved, now);
    }

    /// Returns what a call would be charged, or `None` if the budget does not allow it.
    pub fn quote(&self, critical: bool, now: Time) -> Option<Charge> {
        if critical && let Some(bytes) = self.reserved.offer(self.estimate, now) {
            return Some(Charge {
                bytes,
                reserved: true,
            });
        }
        let bytes = match self.enabled {
            true => self.common.offer(self.estimate, now)?,
            false => self.estimate,
        };
        Some(Charge {
            bytes,
            reserved: false,
        })
    }

    /// Charges a call that is being sent.
    pub fn charge(&mut self, charge: &Charge, now: Time) {
        self.take(charge.reserved, charge.bytes, now);
    }

    /// Corrects the charge of a call that took `bytes` in both directions, 0 if that is unknown.
    pub fn settle(&mut self, charge: &Charge, bytes: u64, now: Time) {
        if bytes == 0 {
            return;
        }
        let bytes = bytes as f64;
        self.estimate += ESTIMATE_WEIGHT * (bytes - self.estimate);
        self.take(charge.reserved, bytes - charge.bytes, now);
    }

    /// Returns the bytes left for calls that are not critical, negative in debt.
    pub fn left(&self, now: Time) -> f64 {
        self.common.level_at(now)
    }

    /// Returns the bytes left that only critical calls may spend.
    pub fn reserved_left(&self, now: Time) -> f64 {
        self.reserved.level_at(now)
    }

    /// Returns the bytes that were spent beyond the largest debt.
    pub fn forgiven(&self) -> f64 {
        self.forgiven
    }

    fn take(&mut self, reserved: bool, bytes: f64, now: Time) {
        let bucket = if reserved {
            &mut self.reserved
        } else {
            &mut self.common
        };
        self.forgiven += bucket.take(bytes, now);
    }
}
