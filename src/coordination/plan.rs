//! State of one outgoing call: its attempts, and the spare attempts that are left to it.

use std::time::Duration;

use strum::Display;

use crate::call::CallContext;
use crate::clock::Time;
use crate::coordination::attempt_outcome;
use crate::coordination::routing::Pick;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::ServiceName;

/// A call to be sent to a service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Called service.
    pub service: &'a ServiceName,
    /// Context of the call, with the spare attempts that it may use.
    pub context: &'a CallContext,
    /// Length of its request body.
    pub request_bytes: u64,
    /// Whether the call may leave its region.
    pub cross_region: bool,
    /// Instance that must not be used, because it already refused the call.
    pub excluded: Option<&'a InstanceName>,
}

/// Why an attempt after the first is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryReason {
    /// The previous attempt was not run.
    NotRun,
    /// It is unknown whether the previous attempt was run.
    Unknown,
    /// The previous attempt has not been answered in time, so the call is hedged.
    Slow,
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DeniedReason {
    /// The request has no spare attempts left.
    Budget,
    /// The retry allowance of the service is used up.
    Allowance,
    /// No other instance may be used.
    Instance,
}

/// Share of the spare attempts that is leased to an attempt for its sub-calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseSize {
    /// No spare attempts.
    None,
    /// Half of them, rounded down.
    HalfDown,
    /// Half of them, rounded up.
    #[default]
    HalfUp,
    /// All of them.
    All,
}

impl LeaseSize {
    /// Returns the leased number out of `spare` spare attempts.
    fn compute_attempts(self, spare: u32) -> u32 {
        match self {
            LeaseSize::None => 0,
            LeaseSize::HalfDown => spare / 2,
            LeaseSize::HalfUp => spare.div_ceil(2),
            LeaseSize::All => spare,
        }
    }
}

/// One attempt of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Index of the attempt within the call, starting at 0.
    pub number: u32,
    /// Instance that the attempt goes to.
    pub pick: Pick,
    /// Context sent with the attempt; its spare attempts are the lease of the attempt.
    pub context: CallContext,
    /// Why the attempt is made; `None` for the first.
    pub reason: Option<RetryReason>,
}

impl Attempt {
    /// Returns the instance that the attempt goes to.
    pub fn instance(&self) -> &Instance {
        &self.pick.instance
    }
}

/// An attempt in flight.
#[derive(Clone, Debug)]
struct OpenAttempt {
    number: u32,
    pick: Pick,
    /// Spare attempts that were leased to the attempt.
    lease: u32,
    /// When a second attempt may start beside this one.
    hedge_at: Time,
}

/// Tracks the attempts of one call.
#[derive(Clone, Debug)]
pub struct Plan {
    service: ServiceName,
    context: CallContext,
    request_bytes: u64,
    cross_region: bool,
    deadline: Time,
    tried: Vec<InstanceName>,
    open: Vec<OpenAttempt>,
    spare: u32,
    sent: u32,
    last_error: Option<ErrorKind>,
    denied: Option<DeniedReason>,
}

impl Plan {
    /// Creates the state of a call that may use `spare` attempts after the first.
    pub fn new(call: &Call<'_>, spare: u32, now: Time) -> Plan {
        Plan {
            service: call.service.clone(),
            context: call.context.clone(),
            request_bytes: call.request_bytes,
            cross_region: call.cross_region,
            deadline: now.plus(call.context.remaining),
            tried: call.excluded.into_iter().cloned().collect(),
            open: Vec::new(),
            spare,
            sent: 0,
            last_error: None,
            denied: None,
        }
    }

    /// Returns the called service.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the context of the call.
    pub fn context(&self) -> &CallContext {
        &self.context
    }

    /// Returns the length of the request body.
    pub fn request_bytes(&self) -> u64 {
        self.request_bytes
    }

    /// Returns whether the call may leave its region.
    pub fn cross_region(&self) -> bool {
        self.cross_region
    }

    /// Returns the instances that were tried or are excluded.
    pub fn tried(&self) -> &[InstanceName] {
        &self.tried
    }

    /// Returns the spare attempts that were used by the call and its sub-calls or are still leased.
    pub fn used_attempts(&self) -> u32 {
        self.context.spare.saturating_sub(self.spare)
    }

    /// Returns the spare attempts that are left to this call.
    pub fn spare(&self) -> u32 {
        self.spare
    }

    /// Returns the error of the attempt that ended last, or `None` if it succeeded or none has
    /// ended.
    pub fn last_error(&self) -> Option<ErrorKind> {
        self.last_error
    }

    /// Returns why a further attempt was denied, if one was.
    pub fn denied(&self) -> Option<DeniedReason> {
        self.denied
    }

    /// Records why a further attempt was denied.
    pub fn deny(&mut self, reason: DeniedReason) {
        self.denied = Some(reason);
    }

    /// Returns whether the first attempt was sent.
    pub fn has_started(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether an attempt is in flight.
    pub fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns whether the deadline of the call has passed.
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.deadline
    }

    /// Returns whether tried instances are excluded from the next attempt.
    ///
    /// After an error of unknown outcome, such as a broken connection, the same instance may be
    /// tried again.
    pub fn excludes_tried(&self) -> bool {
        self.is_open() || !matches!(self.last_error, Some(ErrorKind::Unknown(_)))
    }

    /// Returns whether the attempt that ended last failed with an error that allows another
    /// attempt.
    ///
    /// The spare attempts, the retry allowance and the deadline are checked separately.
    pub fn last_error_allows_retry(&self) -> bool {
        self.last_error.is_some_and(|kind| {
            attempt_outcome::allows_another_attempt(self.context.idempotent, kind)
        })
    }

    /// Returns when a second attempt may start beside the open one, or `None` if it may not.
    ///
    /// A non-idempotent call never has two attempts in flight.
    pub fn hedge_at(&self) -> Option<Time> {
        let [open] = self.open.as_slice() else {
            return None;
        };
        let error_is_final = self.last_error.is_some() && !self.last_error_allows_retry();
        let after_deadline = open.hedge_at >= self.deadline;
        let allowed = self.context.idempotent && self.spare > 0 && self.denied.is_none();
        (allowed && !after_deadline && !error_is_final).then_some(open.hedge_at)
    }

    /// Returns the reason for the next attempt, or `None` if it is the first.
    pub fn retry_reason(&self) -> Option<RetryReason> {
        if self.is_open() {
            return Some(RetryReason::Slow);
        }
        self.last_error.map(|kind| match kind {
            ErrorKind::NotRun(_) => RetryReason::NotRun,
            ErrorKind::Unknown(_) => RetryReason::Unknown,
        })
    }

    /// Opens an attempt. Every attempt after the first uses a spare attempt.
    ///
    /// A second attempt may start beside it after `hedge_delay`. `lease` is the share of the
    /// remaining spare attempts that is leased to the attempt; the others stay with this call.
    pub fn open(
        &mut self,
        pick: Pick,
        hedge_delay: Duration,
        lease: LeaseSize,
        now: Time,
    ) -> Attempt {
        let reason = self.retry_reason();
        self.spare -= u32::from(reason.is_some());
        let lease = lease.compute_attempts(self.spare);
        self.spare -= lease;
        let number = self.sent;
        self.sent += 1;
        self.tried.push(pick.instance.name.clone());
        let remaining = self.deadline.since(now);
        self.open.push(OpenAttempt {
            number,
            pick: pick.clone(),
            lease,
            hedge_at: now.plus(hedge_delay.min(remaining)),
        });
        Attempt {
            number,
            pick,
            context: CallContext {
                remaining,
                spare: lease,
                ..self.context.clone()
            },
            reason,
        }
    }

    /// Closes an attempt and takes back the unused part of its lease. Returns whether it was open.
    ///
    /// `used_attempts` is the used part of the lease as reported in the response. Without a report
    /// the whole lease counts as used, unless the attempt was not run.
    pub fn close(
        &mut self,
        number: u32,
        result: Result<u16, ErrorKind>,
        used_attempts: Option<u32>,
    ) -> bool {
        let Some(i) = self.open.iter().position(|open| open.number == number) else {
            return false;
        };
        let open = self.open.swap_remove(i);
        let used = match (used_attempts, result) {
            (Some(used_attempts), _) => used_attempts.min(open.lease),
            (None, Err(ErrorKind::NotRun(_))) => 0,
            (None, _) => open.lease,
        };
        self.spare += open.lease - used;
        self.last_error = result.err();
        true
    }

    /// Closes all open attempts and returns their picks. Their leases count as used.
    pub fn cancel_open(&mut self) -> impl Iterator<Item = Pick> {
        self.open.drain(..).map(|open| open.pick)
    }

    /// Returns the error with which the call fails if no further attempt is made.
    pub fn final_error(&self) -> ErrorKind {
        self.last_error
            .unwrap_or(NotRunKind::DeadlineInQueue.into())
    }
}
