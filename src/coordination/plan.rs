//! The attempts of one call, and the spare attempts that it may still use.

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

/// A call that is sent to a service.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Service that is called.
    pub service: &'a ServiceName,
    /// Context of the call, with the spare attempts that it may use.
    pub context: &'a CallContext,
    /// Whether it may leave its region.
    pub cross_region: bool,
    /// Instance that must not be used, because it refused the call already.
    pub excluded: Option<&'a InstanceName>,
}

/// Why an attempt is made beyond the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryReason {
    /// The one before was not run.
    NotRun,
    /// It is not known whether the one before was run.
    Unknown,
    /// The one before has not answered yet.
    Slow,
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum DeniedReason {
    /// The request has no spare attempt left.
    Budget,
    /// The service has no retry allowance left.
    Allowance,
    /// No other instance may be used.
    Instance,
}

/// Part of the spare attempts that goes down with an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseSize {
    /// None.
    None,
    /// Half, rounded down.
    HalfDown,
    /// Half, rounded up.
    #[default]
    HalfUp,
    /// All.
    All,
}

impl LeaseSize {
    fn of(self, left: u32) -> u32 {
        match self {
            LeaseSize::None => 0,
            LeaseSize::HalfDown => left / 2,
            LeaseSize::HalfUp => left.div_ceil(2),
            LeaseSize::All => left,
        }
    }
}

/// One attempt at a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the attempt within the call, from 0.
    pub number: u32,
    /// Instance that it goes to.
    pub pick: Pick,
    /// Context that goes with it; its spare attempts are the lease of the attempt.
    pub context: CallContext,
    /// Why it is made, if it is not the first.
    pub reason: Option<RetryReason>,
}

impl Attempt {
    /// Returns the instance that it goes to.
    pub fn instance(&self) -> &Instance {
        &self.pick.instance
    }
}

#[derive(Clone, Debug)]
struct Open {
    number: u32,
    pick: Pick,
    lease: u32,
    patient_until: Time,
}

/// The attempts of one call.
#[derive(Clone, Debug)]
pub struct Plan {
    service: ServiceName,
    context: CallContext,
    cross_region: bool,
    deadline: Time,
    tried: Vec<InstanceName>,
    open: Vec<Open>,
    left: u32,
    sent: u32,
    last: Option<ErrorKind>,
    denied: Option<DeniedReason>,
}

impl Plan {
    /// Begins a call that may use `spare` attempts beyond the first.
    pub fn new(call: &Call<'_>, spare: u32, now: Time) -> Plan {
        Plan {
            service: call.service.clone(),
            context: call.context.clone(),
            cross_region: call.cross_region,
            deadline: now.plus(call.context.remaining),
            tried: call.excluded.into_iter().cloned().collect(),
            open: Vec::new(),
            left: spare,
            sent: 0,
            last: None,
            denied: None,
        }
    }

    /// Returns the service that is called.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Returns the context of the call.
    pub fn context(&self) -> &CallContext {
        &self.context
    }

    /// Returns whether the call may leave its region.
    pub fn cross_region(&self) -> bool {
        self.cross_region
    }

    /// Returns the instances that were tried or must not be.
    pub fn tried(&self) -> &[InstanceName] {
        &self.tried
    }

    /// Returns the spare attempts that the call and everything below it used, or still hold.
    pub fn used(&self) -> u32 {
        self.context.spare.saturating_sub(self.left)
    }

    /// Returns the spare attempts that may still be used here.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Returns how the attempt that ended last failed.
    pub fn last(&self) -> Option<ErrorKind> {
        self.last
    }

    /// Returns why no further attempt was made, if one would have helped.
    pub fn denied(&self) -> Option<DeniedReason> {
        self.denied
    }

    /// Notes why no further attempt is made.
    pub fn deny(&mut self, reason: DeniedReason) {
        self.denied = Some(reason);
    }

    /// Returns whether an attempt was sent.
    pub fn is_begun(&self) -> bool {
        self.sent > 0
    }

    /// Returns whether an attempt is not answered yet.
    pub fn is_open(&self) -> bool {
        !self.open.is_empty()
    }

    /// Returns whether nobody waits for the call any more.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.deadline
    }

    /// Returns whether an instance that was tried must not be tried again.
    ///
    /// Only a connection that broke says nothing about the next try.
    pub fn is_untried_only(&self) -> bool {
        self.is_open() || !matches!(self.last, Some(ErrorKind::Unknown(_)))
    }

    /// Returns whether another attempt may follow the one that failed last.
    pub fn may_follow(&self) -> bool {
        self.last
            .is_some_and(|kind| attempt_outcome::may_retry(self.context.idempotent, kind))
    }

    /// Returns when a second attempt may start beside the open one, if it ever may.
    ///
    /// A non-idempotent call never has two attempts at once.
    pub fn patient_until(&self) -> Option<Time> {
        let [open] = self.open.as_slice() else {
            return None;
        };
        let hopeless = self.last.is_some() && !self.may_follow();
        let late = open.patient_until >= self.deadline;
        let may = self.context.idempotent && self.left > 0 && self.denied.is_none();
        (may && !late && !hopeless).then_some(open.patient_until)
    }

    /// Returns why the next attempt is made, if it is not the first.
    pub fn reason(&self) -> Option<RetryReason> {
        if self.is_open() {
            return Some(RetryReason::Slow);
        }
        self.last.map(|kind| match kind {
            ErrorKind::NotRun(_) => RetryReason::NotRun,
            ErrorKind::Unknown(_) => RetryReason::Unknown,
        })
    }

    /// Opens an attempt, which uses a spare one unless it is the first.
    ///
    /// `patience` is the time after which a second may start beside it. Of the spare attempts that
    /// are left, `lease` says how many go down with the attempt; the others stay here.
    pub fn open(&mut self, pick: Pick, patience: Duration, lease: LeaseSize, now: Time) -> Attempt {
        let reason = self.reason();
        self.left -= u32::from(reason.is_some());
        let lease = lease.of(self.left);
        self.left -= lease;
        let number = self.sent;
        self.sent += 1;
        self.tried.push(pick.instance.name.clone());
        let remaining = self.deadline.since(now);
        self.open.push(Open {
            number,
            pick: pick.clone(),
            lease,
            patient_until: now.plus(patience.min(remaining)),
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

    /// Closes an attempt and takes back what is left of its lease. Returns whether it was open.
    ///
    /// `spent` is what the answer says was used of it. Without such an answer all counts as used,
    /// unless the attempt was not run.
    pub fn close(
        &mut self,
        number: u32,
        result: Result<u16, ErrorKind>,
        spent: Option<u32>,
    ) -> bool {
        let Some(i) = self.open.iter().position(|open| open.number == number) else {
            return false;
        };
        let open = self.open.swap_remove(i);
        let used = match (spent, result) {
            (Some(spent), _) => spent.min(open.lease),
            (None, Err(ErrorKind::NotRun(_))) => 0,
            (None, _) => open.lease,
        };
        self.left += open.lease - used;
        self.last = result.err();
        true
    }

    /// Closes all open attempts, with their leases lost, and returns where they went.
    pub fn abandon(&mut self) -> impl Iterator<Item = Pick> {
        self.open.drain(..).map(|open| open.pick)
    }

    /// Returns the error of a call that is given up.
    pub fn failure(&self) -> ErrorKind {
        self.last.unwrap_or(NotRunKind::DeadlineInQueue.into())
    }
}
