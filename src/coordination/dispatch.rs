//! Egress decisions: attempts, retries and rerouting of a call.

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

/// Shortest time after which a second attempt starts beside the first.
pub const MIN_PATIENCE: Duration = Duration::from_millis(10);

/// Largest load that an answer may tell, in percent.
const MAX_LOAD_PERCENT: u16 = 1_000;

/// Settings of the egress decisions. Each mechanism can be switched off for a comparison.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatchConfig {
    /// Routing.
    pub routing: RoutingConfig,
    /// Whether calls that a service would not let in are shed before they are sent.
    pub shed_early: bool,
    /// Whether a second attempt of an idempotent call starts beside a slow one.
    pub hedging: bool,
    /// Whether the retries that a service sees are bounded by its successes.
    pub allowance: bool,
    /// Part of the spare attempts that goes down with an attempt.
    pub lease: LeaseSize,
    /// Extra attempts of each hop, in place of the budget of the request.
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

/// What to do next about a call.
#[derive(Clone, Debug, PartialEq)]
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
pub struct AttemptReport<'a> {
    /// HTTP status of a whole answer, or why there is none.
    pub result: Result<u16, ErrorKind>,
    /// Spare attempts that were used below, where the answer says so.
    pub spent: Option<u32>,
    /// Admission level and load that the answer carried.
    pub level: Option<&'a str>,
    /// Time from sending to the end.
    pub took: Duration,
    /// Size of the request and answer, in bytes; 0 if it is not known.
    pub bytes: u64,
}

struct Tables {
    router: Router,
    levels: LevelView,
    allowance: RetryAllowance,
}

/// The egress decisions of one node.
pub struct Dispatcher {
    cfg: DispatchConfig,
    tables: OrderedMutex<Tables>,
}

impl Dispatcher {
    /// Builds the decisions of the node that stands at `home`.
    pub fn new(home: LocalNode, cfg: DispatchConfig, now: Time) -> Dispatcher {
        let tables = Tables {
            router: Router::new(home, cfg.routing.clone(), now),
            levels: LevelView::new(),
            allowance: RetryAllowance::new(),
        };
        Dispatcher {
            cfg,
            tables: OrderedMutex::new(LockRank::Routing, tables),
        }
    }

    /// Takes over the published list; instances that are not in it are forgotten.
    pub fn sync(&self, instances: &[Instance], now: Time) {
        self.tables.lock().router.sync(instances, now);
    }

    /// Sets the byte budget of the link to `region`.
    pub fn set_link_budget(&self, region: &RegionName, cfg: LinkConfig, now: Time) {
        self.tables.lock().router.set_link_budget(region, cfg, now);
    }

    /// Notes the incarnation of an instance and whether it is leaving, as told by a peer.
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

    /// Begins a call.
    pub fn begin(&self, call: &Call<'_>, now: Time) -> Plan {
        let spare = self.cfg.extra_per_hop.unwrap_or(call.context.spare);
        Plan::new(call, spare, now)
    }

    /// Decides what to do next.
    pub fn step<R>(&self, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let mut tables = self.tables.lock();
        if plan.is_open() {
            return self.step_beside(&mut tables, plan, now, rng);
        }
        if plan.is_over(now) {
            return Step::Fail(plan.failure());
        }
        if plan.is_begun() {
            return self.step_again(&mut tables, plan, now, rng);
        }
        if self.cfg.shed_early && !tables.lets_in(plan, now, rng) {
            return Step::Fail(NotRunKind::Shed.into());
        }
        match tables.choose(plan, now, rng) {
            Ok(pick) => self.send(&mut tables, plan, pick, now),
            Err(kind) => Step::Fail(kind.into()),
        }
    }

    /// Takes note of how an attempt ended.
    pub fn attempt_ended(
        &self,
        plan: &mut Plan,
        attempt: &Attempt,
        report: &AttemptReport<'_>,
        now: Time,
    ) {
        if !plan.close(attempt.number, report.result, report.spent) {
            return;
        }
        let service = plan.service();
        let mut tables = self.tables.lock();
        let told = report.level.and_then(|text| text.parse().ok());
        if let Some(LevelReport { level, .. }) = told {
            tables.levels.observe(service, level, now);
        }
        let seen = observation(report, told);
        if seen.outcome == AttemptOutcome::Succeeded {
            tables.allowance.success(service);
        }
        tables.router.attempt_ended(&attempt.pick, &seen, now);
    }

    /// Takes note that the attempts of a call that are still open are withdrawn.
    ///
    /// Returns the instances that they went to.
    pub fn cancel_attempts(&self, plan: &mut Plan, now: Time) -> Vec<Instance> {
        if !plan.is_open() {
            return Vec::new();
        }
        let mut tables = self.tables.lock();
        let seen = Observation::of(AttemptOutcome::Cancelled, Duration::ZERO);
        plan.abandon()
            .map(|pick| {
                tables.router.attempt_ended(&pick, &seen, now);
                pick.instance
            })
            .collect()
    }

    /// Returns the strictest admission level of all services that are called.
    pub fn strictest_level(&self, now: Time) -> Level {
        self.tables.lock().levels.strictest(now)
    }

    /// Calls `read` with the router and the admission levels, for status and metrics.
    pub fn view<F, T>(&self, read: F) -> T
    where
        F: FnOnce(&Router, &LevelView) -> T,
    {
        let tables = self.tables.lock();
        read(&tables.router, &tables.levels)
    }

    /// Decides whether a second attempt starts beside an open one.
    fn step_beside<R>(&self, tables: &mut Tables, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let Some(until) = plan.patient_until().filter(|_| self.cfg.hedging) else {
            return Step::Wait(None);
        };
        if now < until {
            return Step::Wait(Some(until));
        }
        if plan.is_over(now) {
            return Step::Wait(None);
        }
        let Ok(pick) = tables.choose(plan, now, rng) else {
            plan.deny(DeniedReason::Instance);
            return Step::Wait(None);
        };
        if !self.allows_retry(tables, plan) {
            plan.deny(DeniedReason::Allowance);
            return Step::Wait(None);
        }
        self.send(tables, plan, pick, now)
    }

    /// Decides whether another attempt follows one that failed.
    fn step_again<R>(&self, tables: &mut Tables, plan: &mut Plan, now: Time, rng: &mut R) -> Step
    where
        R: Rng,
    {
        let failure = Step::Fail(plan.failure());
        if !plan.may_follow() {
            return failure;
        }
        if plan.left() == 0 {
            plan.deny(DeniedReason::Budget);
            return failure;
        }
        let Ok(pick) = tables.choose(plan, now, rng) else {
            plan.deny(DeniedReason::Instance);
            return failure;
        };
        if !self.allows_retry(tables, plan) {
            plan.deny(DeniedReason::Allowance);
            return failure;
        }
        self.send(tables, plan, pick, now)
    }

    /// A non-idempotent call that was not run tries other instances whatever the allowance.
    fn allows_retry(&self, tables: &mut Tables, plan: &Plan) -> bool {
        let exempt = !self.cfg.allowance || !plan.context().idempotent;
        exempt || tables.allowance.take(plan.service())
    }

    fn send(&self, tables: &mut Tables, plan: &mut Plan, pick: Pick, now: Time) -> Step {
        let usual = tables.router.tail_latency(plan.service());
        let patience = usual.map_or(Duration::MAX, |usual| usual.max(MIN_PATIENCE));
        let lease = match self.cfg.extra_per_hop {
            Some(_) => LeaseSize::None,
            None => self.cfg.lease,
        };
        tables.router.attempt_sent(&pick, now);
        Step::Send(Box::new(plan.open(pick, patience, lease, now)))
    }
}

impl Tables {
    fn lets_in<R>(&self, plan: &Plan, now: Time, rng: &mut R) -> bool
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
        let want = PickArgs {
            service: plan.service(),
            priority: plan.context().priority,
            idempotent: plan.context().idempotent,
            cross_region: plan.cross_region(),
            tried: plan.tried(),
            untried_only: plan.is_untried_only(),
        };
        match self.router.choose(&want, now, rng) {
            Choice::Send(pick) => Ok(pick),
            Choice::Unavailable(kind) => Err(kind),
        }
    }
}

fn observation(report: &AttemptReport<'_>, told: Option<LevelReport>) -> Observation {
    let load = told.map(|told| f64::from(told.load_percent.min(MAX_LOAD_PERCENT)) / 100.0);
    let draining = report.result == Err(NotRunKind::Draining.into());
    Observation {
        outcome: attempt_outcome::classify(report.result),
        latency: report.took,
        load,
        incarnation: None,
        draining,
        bytes: report.bytes,
    }
}
