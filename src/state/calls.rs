//! Table of running calls and their leases.
//!
//! A running call owns the spare attempts of its subtree. Each sub-call leases part of them, and
//! only an answer returns what it did not use, so the sum holds for any depth, fan-out or loss.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::CryptoRng;

use crate::call::CallContext;
use crate::call::MAX_DEPTH;
use crate::call::RequestId;
use crate::clock::Time;
use crate::error::NotRunKind;

/// Calls that run at once at most.
pub const MAX_RUNNING: usize = 8_192;

/// Sub-calls of one call in progress at most.
pub const MAX_OPEN_LEASES: usize = 256;

/// Ended contexts remembered at most.
pub const MAX_ENDED: usize = 32_768;

/// Time for which an ended context is remembered.
pub const ENDED_KEPT: Duration = Duration::from_secs(60);

const CONTEXT_ID_HEX_DIGITS: usize = 32;

/// Unguessable id of a running call, shown to the application as an opaque header.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContextId(u128);

impl ContextId {
    fn random<R>(rng: &mut R) -> ContextId
    where
        R: CryptoRng,
    {
        let high = u128::from(rng.next_u64());
        let low = u128::from(rng.next_u64());
        ContextId(high << 64 | low)
    }
}

impl fmt::Display for ContextId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for ContextId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ContextId(..)")
    }
}

impl FromStr for ContextId {
    type Err = NotRunKind;

    fn from_str(text: &str) -> Result<ContextId, NotRunKind> {
        let digits = text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits || text.len() != CONTEXT_ID_HEX_DIGITS {
            return Err(NotRunKind::ContextUnknown);
        }
        u128::from_str_radix(text, 16)
            .map(ContextId)
            .map_err(|_| NotRunKind::ContextUnknown)
    }
}

/// Id of a lease, unique in the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

/// What a sub-call asks for, by its own rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubCall {
    /// Whether the sub-call may run more than once.
    pub idempotent: bool,
    /// Time after which nobody waits for its answer.
    pub timeout: Duration,
    /// Spare attempts that it and its subtree would use.
    pub want: u32,
}

/// A sub-call in progress and the spare attempts it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id to return the lease by.
    pub id: LeaseId,
    /// Context of the sub-call; `context.spare` is what was granted.
    pub context: CallContext,
    /// Time at which nobody waits for the sub-call any more.
    pub deadline: Time,
}

/// What is left behind by a call that ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedCall {
    /// Spare attempts that the call and everything below it used or lost.
    pub spent: u32,
    /// Sub-calls still in progress, to be cancelled.
    pub open: Vec<LeaseId>,
}

#[derive(Debug)]
struct Running {
    context: CallContext,
    deadline: Time,
    left: u32,
    open: BTreeMap<LeaseId, u32>,
}

/// The running calls of a node.
#[derive(Debug, Default)]
pub struct RunningCalls {
    running: BTreeMap<ContextId, Running>,
    by_request: BTreeSet<(RequestId, ContextId)>,
    leases: BTreeMap<LeaseId, ContextId>,
    next_lease: u64,
    ended: BTreeSet<ContextId>,
    ended_order: VecDeque<(Time, ContextId)>,
}

impl RunningCalls {
    /// Builds an empty table.
    pub fn new() -> RunningCalls {
        RunningCalls::default()
    }

    /// Returns the number of running calls.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether no call is running.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Enters a call that starts running, and returns the id that its sub-calls quote.
    ///
    /// # Errors
    ///
    /// `Overloaded` if [`MAX_RUNNING`] calls are running, `TooDeep` beyond the deepest chain.
    pub fn begin<R>(
        &mut self,
        context: CallContext,
        deadline: Time,
        rng: &mut R,
    ) -> Result<ContextId, NotRunKind>
    where
        R: CryptoRng,
    {
        if context.depth > MAX_DEPTH {
            return Err(NotRunKind::TooDeep);
        }
        if self.running.len() >= MAX_RUNNING {
            return Err(NotRunKind::Overloaded);
        }
        let id = ContextId::random(rng);
        self.by_request.insert((context.request, id));
        let left = context.spare;
        let running = Running {
            context,
            deadline,
            left,
            open: BTreeMap::new(),
        };
        self.running.insert(id, running);
        Ok(id)
    }

    /// Returns the context of a running call, with what remains of its time and attempts.
    pub fn context(&self, now: Time, id: ContextId) -> Result<CallContext, NotRunKind> {
        let running = self.running.get(&id).ok_or_else(|| self.absence(id))?;
        if now >= running.deadline {
            return Err(NotRunKind::ParentEnded);
        }
        let mut context = running.context.clone();
        context.remaining = running.deadline.since(now);
        context.spare = running.left;
        Ok(context)
    }

    /// Opens a sub-call of the running call `id`.
    ///
    /// It is granted at most half of the spare attempts that are left, rounded up, so that
    /// sub-calls made side by side all get some.
    ///
    /// # Errors
    ///
    /// `ParentEnded` or `ContextUnknown` if the call is not running, `TooDeep` beyond the deepest
    /// chain, `Overloaded` if the call has too many sub-calls in progress.
    pub fn lease(
        &mut self,
        now: Time,
        id: ContextId,
        sub_call: &SubCall,
    ) -> Result<Lease, NotRunKind> {
        let mut context = self.context(now, id)?;
        if context.depth >= MAX_DEPTH {
            return Err(NotRunKind::TooDeep);
        }
        let running = self.running.get_mut(&id).ok_or(NotRunKind::ParentEnded)?;
        if running.open.len() >= MAX_OPEN_LEASES {
            return Err(NotRunKind::Overloaded);
        }
        let granted = sub_call.want.min(running.left.div_ceil(2));
        running.left -= granted;
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        running.open.insert(lease, granted);
        self.leases.insert(lease, id);
        context.idempotent = sub_call.idempotent;
        context.remaining = context.remaining.min(sub_call.timeout);
        context.spare = granted;
        context.depth += 1;
        context.moved = false;
        let deadline = now.plus(context.remaining);
        Ok(Lease {
            id: lease,
            context,
            deadline,
        })
    }

    /// Closes a sub-call whose answer arrived, and returns what it did not use to its parent.
    ///
    /// A lease is returned once, and never more than was granted; later returns change nothing.
    pub fn return_unused(&mut self, lease: LeaseId, unused: u32) {
        let Some((running, granted)) = self.close(lease) else {
            return;
        };
        running.left += unused.min(granted);
    }

    /// Closes a sub-call whose answer was lost. All that was granted to it counts as spent.
    pub fn forfeit(&mut self, lease: LeaseId) {
        self.close(lease);
    }

    /// Ends a call. Whatever its open sub-calls hold counts as spent.
    pub fn end(&mut self, now: Time, id: ContextId) -> Option<EndedCall> {
        let running = self.running.remove(&id)?;
        self.by_request.remove(&(running.context.request, id));
        for lease in running.open.keys() {
            self.leases.remove(lease);
        }
        self.remember_end(now, id);
        Some(EndedCall {
            spent: running.context.spare - running.left,
            open: running.open.into_keys().collect(),
        })
    }

    /// Returns the running calls of a request at this node.
    pub fn of_request(&self, request: RequestId) -> Vec<ContextId> {
        let all = (request, ContextId(0))..=(request, ContextId(u128::MAX));
        self.by_request.range(all).map(|(_, id)| *id).collect()
    }

    /// Returns the sub-calls in progress of a request at this node, to be cancelled with it.
    pub fn sub_calls_of(&self, request: RequestId) -> Vec<LeaseId> {
        self.of_request(request)
            .iter()
            .filter_map(|id| self.running.get(id))
            .flat_map(|running| running.open.keys().copied())
            .collect()
    }

    /// Returns the calls whose deadline has passed: nobody waits for their answers.
    pub fn overdue(&self, now: Time) -> Vec<ContextId> {
        self.running
            .iter()
            .filter(|(_, running)| now >= running.deadline)
            .map(|(id, _)| *id)
            .collect()
    }

    fn close(&mut self, lease: LeaseId) -> Option<(&mut Running, u32)> {
        let id = self.leases.remove(&lease)?;
        let running = self.running.get_mut(&id)?;
        let granted = running.open.remove(&lease)?;
        Some((running, granted))
    }

    fn absence(&self, id: ContextId) -> NotRunKind {
        if self.ended.contains(&id) {
            return NotRunKind::ParentEnded;
        }
        NotRunKind::ContextUnknown
    }

    fn remember_end(&mut self, now: Time, id: ContextId) {
        self.ended.insert(id);
        self.ended_order.push_back((now, id));
        while let Some(&(ended, oldest)) = self.ended_order.front() {
            if self.ended_order.len() <= MAX_ENDED && now.since(ended) < ENDED_KEPT {
                return;
            }
            self.ended_order.pop_front();
            self.ended.remove(&oldest);
        }
    }
}
