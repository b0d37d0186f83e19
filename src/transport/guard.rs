//! Makes sure that each call that the gate holds is ended.

use std::sync::Arc;

use crate::coordination::admission::Ticket;
use crate::coordination::gate::Refusal;
use crate::error::ErrorKind;
use crate::error::Outcome;
use crate::error::UnknownKind;
use crate::node::Node;
use crate::transport::kept::KeptAnswer;

/// Ends a call exactly once, also when its handler is dropped.
pub struct RunGuard {
    /// Node that holds the call.
    pub node: Arc<Node>,
    /// The call.
    pub ticket: Ticket,
    armed: bool,
}

impl RunGuard {
    /// Guards a call.
    pub fn new(node: &Arc<Node>, ticket: Ticket) -> RunGuard {
        RunGuard {
            node: node.clone(),
            ticket,
            armed: true,
        }
    }

    /// Ends the call. Returns the spare attempts that it used.
    pub fn end(mut self, outcome: &Outcome<Option<KeptAnswer>>) -> u32 {
        self.armed = false;
        self.node.finish(self.ticket, outcome)
    }

    /// Ends the call with an error kind.
    pub fn refuse(self, kind: ErrorKind) -> Refusal {
        self.refuse_with(kind.into())
    }

    /// Ends the call with a refusal.
    pub fn refuse_with(self, refusal: Refusal) -> Refusal {
        self.end(&Outcome::from_kind(refusal.kind));
        refusal
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.armed {
            self.node
                .finish(self.ticket, &Outcome::Unknown(UnknownKind::Cancelled));
        }
    }
}
