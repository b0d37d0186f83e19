//! Table of the calls in progress at a node, from arrival until the outcome is sent.

use std::collections::BTreeMap;

use crate::call::CallContext;
use crate::call::RequestId;
use crate::clock::Time;
use crate::coordination::attempts::AttemptId;
use crate::coordination::attempts::SeenAttempts;
use crate::coordination::join::Join;
use crate::coordination::join::Joins;
use crate::coordination::join::RunKey;
use crate::coordination::queue::Job;
use crate::coordination::queue::Ticket;
use crate::coordination::retries::SeenRequests;
use crate::coordination::token::Token;
use crate::error::UnknownKind;
use crate::fingerprint::Fingerprint;
use crate::state::calls::ContextId;
use crate::state::calls::RunningCalls;

/// Maximum number of calls in progress.
pub const MAX_ACTIVE_CALLS: usize = 16_384;

/// State of a call in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a slot.
    Queued,
    /// Waiting for the run of another call.
    Following,
    /// Refused at this instance; it may be tried at another one.
    Refused,
    /// Running at the target, which received this context id.
    Running(ContextId),
}

/// A call in progress.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// Context of the call.
    pub context: CallContext,
    /// Time after which the response is no longer needed.
    pub deadline: Time,
    /// Current state.
    pub stage: Stage,
    /// Idempotency token that the call redeemed.
    pub token: Option<Token>,
    /// Key of the run that the call takes part in, as leader or follower.
    pub run_key: Option<RunKey>,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Attempt of another node that the call arrived as.
    pub attempt: Option<AttemptId>,
    /// Whether the call must run with no other call on its target.
    pub exclusive: bool,
    /// Whether the target crashed while running the call.
    pub crashed: bool,
    /// Error kind of an earlier shared run that may have executed the call but gave no response to
    /// share. The call must then not be reported as not run.
    pub earlier_run: Option<UnknownKind>,
}

impl ActiveCall {
    /// Returns the job to offer to admission control.
    pub fn job(&self, ticket: Ticket) -> Job {
        Job {
            ticket,
            priority: self.context.priority,
            cohort: self.context.cohort(),
            idempotent: self.context.idempotent,
            deadline: self.deadline,
            exclusive: self.exclusive,
        }
    }

    /// Returns whether the target is running the call.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }
}

/// Calls in progress, and the records by which repeated calls are recognized.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    /// Calls in progress by ticket.
    pub by_ticket: BTreeMap<Ticket, ActiveCall>,
    /// Contexts of running calls and the leases of their sub-calls.
    pub contexts: RunningCalls,
    /// Runs that calls share.
    pub joins: Joins,
    /// Requests that callers sent to this node.
    pub requests: SeenRequests,
    /// Attempts that other nodes sent to this node.
    pub attempts: SeenAttempts,
}

impl ActiveCalls {
    /// Returns whether one more call can be added.
    pub fn has_capacity(&self) -> bool {
        self.by_ticket.len() < MAX_ACTIVE_CALLS
    }

    /// Returns the calls that belong to a request.
    pub fn calls_of_request(&self, request: RequestId) -> Vec<Ticket> {
        self.by_ticket
            .iter()
            .filter(|(_, call)| call.context.request == request)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Returns the call that arrived as `attempt`.
    pub fn call_of_attempt(&self, attempt: &AttemptId) -> Option<Ticket> {
        let mut calls = self.by_ticket.iter();
        let found = calls.find(|(_, call)| call.attempt.as_ref() == Some(attempt));
        found.map(|(ticket, _)| *ticket)
    }

    /// Marks the running calls as crashed. Returns the fingerprints of those not yet marked.
    pub fn mark_crashed(&mut self) -> Vec<Fingerprint> {
        self.by_ticket
            .values_mut()
            .filter(|call| call.is_running() && !call.crashed)
            .map(|call| {
                call.crashed = true;
                call.fingerprint
            })
            .collect()
    }

    /// Removes a call from its run. Returns the followers if it was the leader.
    pub fn leave_run(&mut self, ticket: Ticket, call: &ActiveCall) -> Vec<Ticket> {
        let Some(key) = call.run_key else {
            return Vec::new();
        };
        if call.stage == Stage::Following {
            self.joins.leave(key, ticket);
            return Vec::new();
        }
        let mut followers = self.joins.finish(key, ticket);
        followers.retain(|other| *other != ticket && self.by_ticket.contains_key(other));
        followers
    }

    /// Lets the followers of a run that ended without a response for them share a new run.
    ///
    /// The first follower whose deadline has not passed leads it, and its job is returned for
    /// admission control. Followers whose deadline has passed stay in `followers`.
    pub fn restart_run(
        &mut self,
        followers: &mut Vec<Ticket>,
        earlier_run: Option<UnknownKind>,
        now: Time,
    ) -> Vec<Job> {
        let mut jobs = Vec::new();
        followers.retain(|ticket| {
            let Some(call) = self.by_ticket.get_mut(ticket) else {
                return true;
            };
            if now >= call.deadline {
                return true;
            }
            call.earlier_run = earlier_run;
            let joined = call.run_key.map(|key| self.joins.join(key, *ticket));
            if !matches!(joined, Some(Join::Follow(_))) {
                call.stage = Stage::Queued;
                jobs.push(call.job(*ticket));
            }
            false
        });
        jobs
    }
}
