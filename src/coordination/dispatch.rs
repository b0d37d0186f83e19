//! Egress decisions: which attempts a call makes, with load balancing, retries and hedging.

use std::time::Duration;

use rand::Rng;

use crate::clock::Time;
use crate::coordination::attempt_outcome;
use crate::coordination::level::Level;
use crate::coordination::level::LevelReport;
use crate::coordination::level::LevelView;
use crate::coordination::link_budget::LinkConfig;
use crate::coordination::retries::RetryAllowance;
use crate::coordination::routing::Choice;
use crate::coordination::routing::LocalNode;
use crate::coordination::routing::Pick;
use crate::coordination::routing::PickArgs;
use crate::coordination::routing::Router;
use crate::coordination::routing::RoutingConfig;
use crate::coordination::target::AttemptOutcome;
use crate::coordination::target::Observation;
use crate::error::ErrorKind;
use crate::error::NotRunKind;
use crate::instance::Incarnation;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::state::LockRank;
use crate::state::OrderedMutex;

pub use crate::coordination::plan::Attempt;
pub use crate::coordination::plan::Call;
pub use crate::coordination::plan::DeniedReason;
pub use crate::coordination::plan::LeaseSize;
pub use crate::coordination::plan::Plan;
pub use crate::coordination::plan::RetryReason;

/// Minimum delay before a hedged second attempt starts.
pub const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);

/// Maximum load accepted from a response, in percent; larger values are capped.
const MAX_LOAD_PERCENT: u16 = 1_000;

/// Settings of the egress decisions. Each mechanism can be switched off to measure its effect.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchConfig {
    /// Settings of the router.
    pub routing: RoutingConfig,
    /// Whether calls that the service would refuse by its admission level are shed before they are
    /// sent.
    pub shed_early: bool,
    /// Whether a slow attempt of an idempotent call is hedged with a second one.
    pub hedging: bool,
    /// Whether the retries sent to a service are limited to a share of its successes.
    pub allowance: bool,
    /// Share of the spare attempts that is leased to each attempt for its sub-calls.
    pub lease: LeaseSize,
    /// Extra attempts allowed to each hop, instead of the budget shared by the whole request.
    pub extra_per_hop: Option<u32>,
}

impl Default for DispatchConfig {
    fn default() -> DispatchConfig {
        DispatchConfig {
            routing: RoutingConfig::default(),
            shed_early: true,
            hedging: true,
            allowance: true,
            lease: LeaseSize::default(),
            extra_per_hop: None,
        }
    }
}

/// The next step of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this attempt.
    Send(Box<Attempt>),
    /// Wait until an attempt ends, or until this time.
    Wait(Option<Time>),
    /// Fail the call with this error.
    Fail(ErrorKind),
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptReport<'a> {
    /// HTTP status of a complete response, or the error.
    pub result: Result<u16, ErrorKind>,
    /// Spare attempts used by the callee and its sub-calls, if the response reports them.
    pub used_attempts: Option<u32>,
    /// Text of the admission level and load in the response, if any.
    pub level: Option<&'a str>,
    /// Time from the start to the end of the attempt.
    pub took: Duration,
    /// Size of the response, in bytes; 0 if unknown.
    pub bytes: u64,
}

/// State behind the lock of the dispatcher.
struct Tables {
    router: Router,
    levels: LevelView,
    allowance: RetryAllowance,
}

/// Makes the egress decisions of one node.
pub struct Dispatcher {
    cfg: DispatchConfig,
    tables: OrderedMutex<Tables>,
}

impl Dispatcher {
    /// Creates a dispatcher without instances for the node `local`.
    pub fn new(local: LocalNode, cfg: DispatchConfig, now: Time) -> Dispatcher {
        let tables = Tables {
            router: Router::new(local, cfg.routing.clone(), now),
            levels: LevelView::new(),
            allowance: RetryAllowance::new(),
        };
        Dispatcher {
            cfg,
            tables: OrderedMutex::new(LockRank::Routing, tables),
        }
    }

    /// Applies a published list of instances and drops the state of those that are not in it.
    pub fn sync(&self, instances: &[Instance], now: Time) {
        self.tables.lock().router.sync(instances, now);
    }

    /// Sets the byte budget of the link to `region`. An existing budget keeps its relative fill
    /// level.
    pub fn set_link_budget(&self, region: &RegionName, cfg: LinkConfig, now: Time) {
        self.tables.lock().router.set_link_budget(region, cfg, now);
    }

    /// Records the incarnation of an instance and whether it is draining, as reported by a peer.
    pub fn update_status(
        &self,
        service: &ServiceName,
        instance: &InstanceName,
        incarnation: Incarnation,
        draining: bool,
        now: Time,
    ) {
        let mut tables = self.tables.lock();
        let router = &mut tables.router;
        router.update_status(service, instance, incarnation, draining, now);
    }

    /// Creates the state of a new call. No attempt is sent yet.
    pub fn begin(&self, call: &Call<'_>, now: Time) -> Plan {
        let spare = self.cfg.extra_per_hop.unwrap_or(call.context.spare);
        Plan::new(call, spare, now)
    }

    /// Decides the next step of a call. If it is to send an attempt, the attempt is already
    /// recorded as sent.
    pub fn step<R>(&self, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let mut tables = self.tables.lock();
        if plan.is_open() {
            return self.step_hedge(&mut tables, plan, now, rng);
        }
        if plan.is_expired(now) {
            return Step::Fail(plan.final_error());
        }
        if plan.has_started() {
            return self.step_retry(&mut tables, plan, now, rng);
        }
        if self.cfg.shed_early && !tables.is_admitted(plan, now, rng) {
            return Step::Fail(NotRunKind::Shed.into());
        }
        match tables.choose(plan, now, rng) {
            Ok(pick) => self.send(&mut tables, plan, pick, now),
            Err(kind) => Step::Fail(kind.into()),
        }
    }

    /// Records the result of an attempt.
    pub fn record_attempt_end(
        &self,
        plan: &mut Plan,
        attempt: &Attempt,
        report: &AttemptReport<'_>,
        now: Time,
    ) {
        if !plan.close(attempt.number, report.result, report.used_attempts) {
            return;
        }
        let service = plan.service();
        let mut tables = self.tables.lock();
        let level_report = report.level.and_then(|text| text.parse().ok());
        if let Some(LevelReport { level, .. }) = level_report {
            tables.levels.observe(service, level, now);
        }
        let observation = observation(report, level_report);
        if observation.outcome == AttemptOutcome::Succeeded {
            tables.allowance.record_success(service);
        }
        tables
            .router
            .record_attempt_end(&attempt.pick, &observation, now);
    }

    /// Records that all open attempts of a call are cancelled.
    ///
    /// Returns the instances that they were sent to.
    pub fn cancel_attempts(&self, plan: &mut Plan, now: Time) -> Vec<Instance> {
        if !plan.is_open() {
            return Vec::new();
        }
        let mut tables = self.tables.lock();
        let observation = Observation::new(AttemptOutcome::Cancelled, Duration::ZERO);
        plan.cancel_open()
            .map(|pick| {
                tables.router.record_attempt_end(&pick, &observation, now);
                pick.instance
            })
            .collect()
    }

    /// Returns the strictest admission level among the called services.
    pub fn strictest_level(&self, now: Time) -> Level {
        self.tables.lock().levels.strictest(now)
    }

    /// Calls `read` with the router and the admission levels while they are locked, for status and
    /// metrics.
    pub fn with_state<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Router, &LevelView) -> T,
    {
        let tables = self.tables.lock();
        read(&tables.router, &tables.levels)
    }

    /// Decides whether to hedge the open attempt with a second one.
    fn step_hedge<R>(&self, tables: &mut Tables, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let Some(hedge_at) = plan.hedge_at().filter(|_| self.cfg.hedging) else {
            return Step::Wait(None);
        };
        if now < hedge_at {
            return Step::Wait(Some(hedge_at));
        }
        if plan.is_expired(now) {
            return Step::Wait(None);
        }
        let Ok(pick) = tables.choose(plan, now, rng) else {
            plan.deny(DeniedReason::Instance);
            return Step::Wait(None);
        };
        if !self.take_retry(tables, plan) {
            plan.deny(DeniedReason::Allowance);
            return Step::Wait(None);
        }
        self.send(tables, plan, pick, now)
    }

    /// Decides whether to retry after a failed attempt.
    fn step_retry<R>(&self, tables: &mut Tables, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let failure = Step::Fail(plan.final_error());
        if !plan.last_error_allows_retry() {
            return failure;
        }
        if plan.spare() == 0 {
            plan.deny(DeniedReason::Budget);
            return failure;
        }
        let Ok(pick) = tables.choose(plan, now, rng) else {
            plan.deny(DeniedReason::Instance);
            return failure;
        };
        if !self.take_retry(tables, plan) {
            plan.deny(DeniedReason::Allowance);
            return failure;
        }
        self.send(tables, plan, pick, now)
    }

    /// Takes a retry from the allowance of the service and returns whether there was one.
    ///
    /// Retries of a non-idempotent call are exempt, because it is only retried if it was not run.
    fn take_retry(&self, tables: &mut Tables, plan: &Plan) -> bool {
        let exempt = !self.cfg.allowance || !plan.context().idempotent;
        exempt || tables.allowance.take(plan.service())
    }

    fn send(&self, tables: &mut Tables, plan: &mut Plan, pick: Pick, now: Time) -> Step {
        let tail_latency = tables.router.tail_latency(plan.service());
        let hedge_delay = tail_latency.map_or(Duration::MAX, |tail| tail.max(MIN_HEDGE_DELAY));
        let lease = match self.cfg.extra_per_hop {
            Some(_) => LeaseSize::None,
            None => self.cfg.lease,
        };
        tables.router.record_attempt_start(&pick, now);
        Step::Send(Box::new(plan.open(pick, hedge_delay, lease, now)))
    }
}

impl Tables {
    /// Returns whether the admission level of the service admits the call.
    fn is_admitted<R>(&self, plan: &Plan, now: Time, rng: &mut R) -> bool
    where
        R: Rng,
    {
        let context = plan.context();
        let (priority, cohort) = (context.priority, context.cohort());
        let levels = &self.levels;
        levels.admits(plan.service(), priority, cohort, now, rng)
    }

    fn choose<R>(&mut self, plan: &Plan, now: Time, rng: &mut R) -> Result<Pick, NotRunKind>
    where
        R: Rng,
    {
        if !self.router.has_service(plan.service()) {
            return Err(NotRunKind::NoSuchService);
        }
        let args = PickArgs {
            request_bytes: plan.request_bytes(),
            service: plan.service(),
            priority: plan.context().priority,
            idempotent: plan.context().idempotent,
            cross_region: plan.cross_region(),
            tried: plan.tried(),
            untried_only: plan.excludes_tried(),
        };
        match self.router.choose(&args, now, rng) {
            Choice::Send(pick) => Ok(pick),
            Choice::Unavailable(kind) => Err(kind),
        }
    }
}

/// Converts the result of an attempt to an observation of its instance.
fn observation(report: &AttemptReport<'_>, level_report: Option<LevelReport>) -> Observation {
    let load = level_report
        .map(|level_report| f64::from(level_report.load_percent.min(MAX_LOAD_PERCENT)) / 100.0);
    let draining = report.result == Err(NotRunKind::Draining.into());
    Observation {
        run_time: None,
        outcome: attempt_outcome::classify(report.result),
        latency: report.took,
        load,
        incarnation: None,
        draining,
        bytes: report.bytes,
    }
}
