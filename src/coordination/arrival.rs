//! What the gate is told about a call, and what it decides.

use crate::call::CallContext;
use crate::coordination::attempts::AttemptId;
use crate::coordination::queue::Ticket;
use crate::error::ErrorKind;
use crate::fingerprint::Fingerprint;
use crate::state::calls::LeaseId;

/// How a call came to this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a caller outside.
    Caller {
        /// Identity of the caller. Requests of different callers are never taken for the same.
        caller: u64,
        /// Whether the caller gave the request id.
        supplied_id: bool,
    },
    /// From another node, as this attempt.
    Node(AttemptId),
}

/// A call that arrives at an instance.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// Identifies the call at this node.
    pub ticket: Ticket,
    /// Context of the call. The spare attempts of a request sent again are taken away.
    pub context: &'a mut CallContext,
    /// How it came.
    pub source: Source,
    /// Idempotency token that came with it.
    pub token: Option<&'a str>,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// Whether the fingerprint covers the whole body.
    pub whole_body: bool,
    /// Whether the node may act on its view of the fleet.
    pub ready: bool,
}

/// What becomes of a call that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArrivalDecision<A> {
    /// One [`Effect::Start`] or [`Effect::Drop`] will follow.
    Offered,
    /// It gets the outcome of another call when that one is finished.
    Joined(Ticket),
    /// It is answered by the answer that was kept.
    Replayed(A),
    /// It is refused.
    Refused(Refusal),
}

/// A refusal, and a fresh idempotency token where one helps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Token to send the call again with.
    pub token: Option<String>,
}

impl<K> From<K> for Refusal
where
    K: Into<ErrorKind>,
{
    fn from(kind: K) -> Refusal {
        Refusal {
            kind: kind.into(),
            token: None,
        }
    }
}

/// A sub-call of a running call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChildCall {
    /// Lease of the parent's spare attempts, if the sub-call has a parent.
    pub lease: Option<LeaseId>,
    /// Its context.
    pub context: CallContext,
}

/// What follows from the end of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Finished {
    /// Spare attempts that the call and its sub-calls used.
    pub spent_attempts: u32,
    /// Sub-calls still in progress, to be cancelled.
    pub open_leases: Vec<LeaseId>,
    /// Calls that are told the same outcome, and are then finished in turn.
    pub followers: Vec<Ticket>,
}
