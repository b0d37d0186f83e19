//! Running calls and the leases of their sub-calls.
//!
//! A running call owns the spare attempts of its subtree. Each sub-call leases some of them, and
//! only its response returns the unused ones. The total therefore stays within the budget of the
//! root call for any depth, fan-out or number of lost responses.

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

/// Maximum number of calls that run at the same time.
pub const MAX_RUNNING_CALLS: usize = 8_192;

/// Maximum number of sub-calls of one call that are in progress at the same time.
pub const MAX_OPEN_LEASES: usize = 256;

/// Maximum number of ended contexts that are remembered.
pub const MAX_ENDED_CONTEXTS: usize = 32_768;

/// Time for which an ended context is remembered, to tell it from an unknown one.
pub const ENDED_RETENTION: Duration = Duration::from_secs(60);

const CONTEXT_ID_HEX_DIGITS: usize = 32;

/// Random id of a running call. The application receives and returns it as an opaque header, so it
/// must not be guessable; its `Debug` form hides it.
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

/// Id of a lease, unique among the leases of one [`RunningCalls`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(u64);

/// Parameters of a sub-call, from the rule of the policy that applies to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubCall {
    /// Whether the sub-call may run more than once.
    pub idempotent: bool,
    /// Time after which its caller stops waiting.
    pub timeout: Duration,
    /// Spare attempts requested for the sub-call and its subtree.
    pub want: u32,
}

/// A sub-call in progress and the spare attempts that it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Id by which the lease is returned.
    pub id: LeaseId,
    /// Context of the sub-call; `context.spare` is the number of granted attempts.
    pub context: CallContext,
    /// Time at which the caller of the sub-call stops waiting.
    pub deadline: Time,
}

/// Result of ending a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndedCall {
    /// Spare attempts that the call and its subtree used or forfeited.
    pub used_attempts: u32,
    /// Leases of the sub-calls that are still in progress and have to be cancelled.
    pub open: Vec<LeaseId>,
}

/// A running call: its remaining spare attempts and the attempts granted to each open lease.
#[derive(Debug)]
struct RunningCall {
    context: CallContext,
    deadline: Time,
    spare_left: u32,
    open_leases: BTreeMap<LeaseId, u32>,
}

/// The running calls of a node.
#[derive(Debug, Default)]
pub struct RunningCalls {
    running: BTreeMap<ContextId, RunningCall>,
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

    /// Adds a call that starts running. Returns the id by which its sub-calls refer to it.
    ///
    /// # Errors
    ///
    /// `Overloaded` if [`MAX_RUNNING_CALLS`] calls are running, `TooDeep` beyond [`MAX_DEPTH`].
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
        if self.running.len() >= MAX_RUNNING_CALLS {
            return Err(NotRunKind::Overloaded);
        }
        let id = ContextId::random(rng);
        self.by_request.insert((context.request, id));
        let spare_left = context.spare;
        let running = RunningCall {
            context,
            deadline,
            spare_left,
            open_leases: BTreeMap::new(),
        };
        self.running.insert(id, running);
        Ok(id)
    }

    /// Returns the context of a running call with its remaining time and spare attempts.
    ///
    /// # Errors
    ///
    /// `ParentEnded` if the call has ended or its deadline has passed, `ContextUnknown` if the id
    /// is not known.
    pub fn context(&self, now: Time, id: ContextId) -> Result<CallContext, NotRunKind> {
        let running = self.running.get(&id).ok_or_else(|| self.missing_kind(id))?;
        if now >= running.deadline {
            return Err(NotRunKind::ParentEnded);
        }
        let mut context = running.context.clone();
        context.remaining = running.deadline.since(now);
        context.spare = running.spare_left;
        Ok(context)
    }

    /// Opens a lease for a sub-call of the running call `id`.
    ///
    /// The sub-call is granted at most half of the remaining spare attempts, rounded up, so that
    /// concurrent sub-calls share them.
    ///
    /// # Errors
    ///
    /// `ParentEnded` or `ContextUnknown` if the call is not running, `TooDeep` beyond
    /// [`MAX_DEPTH`], `Overloaded` if the call has [`MAX_OPEN_LEASES`] sub-calls in progress.
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
        if running.open_leases.len() >= MAX_OPEN_LEASES {
            return Err(NotRunKind::Overloaded);
        }
        let granted = sub_call.want.min(running.spare_left.div_ceil(2));
        running.spare_left -= granted;
        let lease = LeaseId(self.next_lease);
        self.next_lease += 1;
        running.open_leases.insert(lease, granted);
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

    /// Closes the lease of a sub-call that was answered and returns its unused attempts to the
    /// parent.
    ///
    /// At most the granted attempts are returned. Closing a lease again has no effect.
    pub fn return_unused(&mut self, lease: LeaseId, unused: u32) {
        let Some((running, granted)) = self.close(lease) else {
            return;
        };
        running.spare_left += unused.min(granted);
    }

    /// Closes the lease of a sub-call whose response was lost. All of its attempts count as used.
    pub fn forfeit(&mut self, lease: LeaseId) {
        self.close(lease);
    }

    /// Ends a call. The attempts of its open leases count as used. Returns `None` if the call is
    /// not running.
    pub fn end(&mut self, now: Time, id: ContextId) -> Option<EndedCall> {
        let running = self.running.remove(&id)?;
        self.by_request.remove(&(running.context.request, id));
        for lease in running.open_leases.keys() {
            self.leases.remove(lease);
        }
        self.record_end(now, id);
        Some(EndedCall {
            used_attempts: running.context.spare - running.spare_left,
            open: running.open_leases.into_keys().collect(),
        })
    }

    /// Returns the running calls that belong to a request.
    pub fn of_request(&self, request: RequestId) -> Vec<ContextId> {
        let all = (request, ContextId(0))..=(request, ContextId(u128::MAX));
        self.by_request.range(all).map(|(_, id)| *id).collect()
    }

    /// Returns the open leases of all running calls of a request, which are cancelled with it.
    pub fn sub_calls_of(&self, request: RequestId) -> Vec<LeaseId> {
        self.of_request(request)
            .iter()
            .filter_map(|id| self.running.get(id))
            .flat_map(|running| running.open_leases.keys().copied())
            .collect()
    }

    /// Returns the calls whose deadline has passed.
    pub fn overdue(&self, now: Time) -> Vec<ContextId> {
        self.running
            .iter()
            .filter(|(_, running)| now >= running.deadline)
            .map(|(id, _)| *id)
            .collect()
    }

    /// Closes a lease. Returns its call and the granted attempts, `None` if it is closed already.
    fn close(&mut self, lease: LeaseId) -> Option<(&mut RunningCall, u32)> {
        let id = self.leases.remove(&lease)?;
        let running = self.running.get_mut(&id)?;
        let granted = running.open_leases.remove(&lease)?;
        Some((running, granted))
    }

    /// Returns the error for a context that is not running.
    fn missing_kind(&self, id: ContextId) -> NotRunKind {
        if self.ended.contains(&id) {
            return NotRunKind::ParentEnded;
        }
        NotRunKind::ContextUnknown
    }

    /// Remembers an ended context and drops those beyond the limits of age and number.
    fn record_end(&mut self, now: Time, id: ContextId) {
        self.ended.insert(id);
        self.ended_order.push_back((now, id));
        while let Some(&(ended, oldest)) = self.ended_order.front() {
            if self.ended_order.len() <= MAX_ENDED_CONTEXTS && now.since(ended) < ENDED_RETENTION {
                return;
            }
            self.ended_order.pop_front();
            self.ended.remove(&oldest);
        }
    }
}
