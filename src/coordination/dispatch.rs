//! Egress decisions: attempts, retries and rerouting of a call.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::call::CallContext;
use crate::clock::Time;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::InstanceState;
use crate::instance::ServiceName;
use crate::state::Rank;
use crate::state::Table;

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
    pub not_to: Option<&'a InstanceName>,
}

/// One attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt within the call, from 0.
    pub number: u32,
    /// Instance that it goes to.
    pub to: Instance,
    /// Context that goes with it.
    pub context: CallContext,
}

/// What to do next about a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this attempt.
    Send(Box<Attempt>),
    /// Wait until an attempt ends, or until this time.
    Wait(Option<Time>),
    /// Give up, with this error.
    Fail(ErrorKind),
}

/// What became of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report<'a> {
    /// HTTP status of a whole answer, or why there is none.
    pub result: Result<u16, ErrorKind>,
    /// Spare attempts that were used below, where the answer says so.
    pub spent: Option<u32>,
    /// Admission level and load that the answer carried.
    pub level: Option<&'a str>,
    /// Time from sending to the end.
    pub took: Duration,
    /// Size of the request and answer, in bytes.
    pub bytes: u64,
}

/// The attempts of one call.
#[derive(Clone, Debug)]
pub struct Plan {
    service: ServiceName,
    context: CallContext,
    tried: Vec<InstanceName>,
    deadline: Time,
    used: u32,
    open: u32,
    last: Option<ErrorKind>,
}

impl Plan {
    /// Returns the spare attempts that the call and everything below it used.
    pub fn used(&self) -> u32 {
        self.used
    }
}

/// The egress decisions of one node.
pub struct Dispatcher {
    services: Table<HashMap<ServiceName, Vec<Instance>>>,
}

impl Dispatcher {
    /// Builds the decisions of the node of `own`.
    pub fn new() -> Dispatcher {
        Dispatcher {
            services: Table::new(Rank::Routing, HashMap::new()),
        }
    }

    /// Takes over the instances of a service.
    pub fn sync(&self, service: &ServiceName, instances: &[Instance], _now: Time) {
        self.services
            .lock()
            .insert(service.clone(), instances.to_vec());
    }

    /// Begins a call.
    pub fn begin(&self, call: &Call<'_>, now: Time) -> Plan {
        Plan {
            service: call.service.clone(),
            context: call.context.clone(),
            tried: call.not_to.into_iter().cloned().collect(),
            deadline: now.plus(call.context.remaining),
            used: 0,
            open: 0,
            last: None,
        }
    }

    /// Decides what to do next.
    pub fn step<R>(&self, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        if plan.open > 0 {
            return Step::Wait(None);
        }
        let number = plan.tried.len() as u32;
        if let Some(last) = plan.last {
            let again = plan.context.idempotent || matches!(last, ErrorKind::NotRun(_));
            if !again || plan.used >= plan.context.spare {
                return Step::Fail(last);
            }
            plan.used += 1;
        }
        let services = self.services.lock();
        let Some(instances) = services.get(&plan.service) else {
            return Step::Fail(NotRunKind::NoSuchService.into());
        };
        let free: Vec<&Instance> = instances
            .iter()
            .filter(|i| i.state == InstanceState::Live && !plan.tried.contains(&i.name))
            .collect();
        if free.is_empty() {
            return Step::Fail(plan.last.unwrap_or(NotRunKind::NoInstance.into()));
        }
        let to = free[rng.random_range(0..free.len())].clone();
        plan.tried.push(to.name.clone());
        plan.open += 1;
        let left = plan.context.spare - plan.used;
        plan.used += left;
        let context = CallContext {
            remaining: plan.deadline.since(now),
            spare: left,
            ..plan.context.clone()
        };
        Step::Send(Box::new(Attempt {
            number,
            to,
            context,
        }))
    }

    /// Takes note of how an attempt ended.
    pub fn ended(&self, plan: &mut Plan, attempt: &Attempt, report: &Report<'_>, _now: Time) {
        plan.open -= 1;
        let spent = report
            .spent
            .unwrap_or(attempt.context.spare)
            .min(attempt.context.spare);
        plan.used -= attempt.context.spare - spent;
        plan.last = report.result.err();
    }
}

impl Default for Dispatcher {
    fn default() -> Dispatcher {
        Dispatcher::new()
    }
}
