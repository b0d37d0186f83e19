//! The calls that a node holds, from their arrival until their outcome is told.

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

/// Calls held at once at most.
pub const MAX_ACTIVE_CALLS: usize = 16_384;

/// Where a held call stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a slot.
    Queued,
    /// It waits for the run of another call.
    Following,
    /// It was refused here, and may be tried at another instance.
    Refused,
    /// Its target runs it, and knows it by this id.
    Running(ContextId),
}

/// One held call.
#[derive(Clone, Debug)]
pub struct ActiveCall {
    /// Context of the call.
    pub context: CallContext,
    /// Time after which nobody waits for it.
    pub deadline: Time,
    /// Where it stands.
    pub stage: Stage,
    /// Token that it spends.
    pub token: Option<Token>,
    /// Run that it shares, as leader or follower.
    pub key: Option<RunKey>,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// Attempt of another node that it came as.
    pub attempt: Option<AttemptId>,
    /// Whether it must run alone.
    pub exclusive: bool,
    /// Whether its target crashed while running it.
    pub crashed: bool,
    /// How a run that it shared ended, if that run may have taken place.
    pub shared: Option<UnknownKind>,
}

impl ActiveCall {
    /// Returns the job that asks admission for a slot.
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

    /// Returns whether its target runs it.
    pub fn is_running(&self) -> bool {
        matches!(self.stage, Stage::Running(_))
    }
}

/// The held calls, and what is known of calls held before.
#[derive(Debug, Default)]
pub struct ActiveCalls {
    /// The held calls.
    pub by_ticket: BTreeMap<Ticket, ActiveCall>,
    /// Contexts of running calls, and the leases of their sub-calls.
    pub calls: RunningCalls,
    /// Runs that calls share.
    pub joins: Joins,
    /// Requests that entered here.
    pub requests: SeenRequests,
    /// Attempts of other nodes.
    pub attempts: SeenAttempts,
}

impl ActiveCalls {
    /// Returns whether one more call can be held.
    pub fn has_room(&self) -> bool {
        self.by_ticket.len() < MAX_ACTIVE_CALLS
    }

    /// Returns the calls that belong to a request.
    pub fn of_request(&self, request: RequestId) -> Vec<Ticket> {
        self.by_ticket
            .iter()
            .filter(|(_, call)| call.context.request == request)
            .map(|(ticket, _)| *ticket)
            .collect()
    }

    /// Returns the call that came as an attempt of another node.
    pub fn of_attempt(&self, attempt: &AttemptId) -> Option<Ticket> {
        let mut calls = self.by_ticket.iter();
        let found = calls.find(|(_, call)| call.attempt.as_ref() == Some(attempt));
        found.map(|(ticket, _)| *ticket)
    }

    /// Marks the running calls as crashed, and returns those that were not marked before.
    pub fn crash(&mut self) -> Vec<Fingerprint> {
        self.by_ticket
            .values_mut()
            .filter(|call| call.is_running() && !call.crashed)
            .map(|call| {
                call.crashed = true;
                call.fingerprint
            })
            .collect()
    }

    /// Takes a call out of the run that it leads, and returns the calls that share its outcome.
    pub fn followers(&mut self, ticket: Ticket, call: &ActiveCall) -> Vec<Ticket> {
        let Some(key) = call.key else {
            return Vec::new();
        };
        if call.stage == Stage::Following {
            self.joins.leave(key, ticket);
            return Vec::new();
        }
        let mut sharing = self.joins.finish(key, ticket);
        sharing.retain(|other| *other != ticket && self.by_ticket.contains_key(other));
        sharing
    }

    /// Lets calls whose shared run ended without an answer for them share a new one.
    ///
    /// The first that still has time leads it; its job asks for a slot. Those without time are left
    /// in `sharing`.
    pub fn lead_again(
        &mut self,
        sharing: &mut Vec<Ticket>,
        ended: Option<UnknownKind>,
        now: Time,
    ) -> Vec<Job> {
        let mut jobs = Vec::new();
        sharing.retain(|ticket| {
            let Some(call) = self.by_ticket.get_mut(ticket) else {
                return true;
            };
            if now >= call.deadline {
                return true;
            }
            call.shared = ended;
            let joined = call.key.map(|key| self.joins.join(key, *ticket));
            if !matches!(joined, Some(Join::Follow(_))) {
                call.stage = Stage::Queued;
                jobs.push(call.job(*ticket));
            }
            false
        });
        jobs
    }
}
