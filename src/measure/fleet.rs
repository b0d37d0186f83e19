//! The measured fleet and its faults: a chain of four services of four instances each, with slots
//! scaled down.

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use strum::Display;
use strum::EnumIter;

use crate::measure::overload_policy::OverloadPolicy;
use crate::standin::fleet::DomainSpec;
use crate::standin::fleet::Fleet;
use crate::standin::fleet::FleetSpec;
use crate::standin::fleet::ServiceSpec;
use crate::standin::target::Behaviour;
use crate::standin::target::Run;
use crate::standin::target::SubCall;
use crate::standin::target::TargetStandin;

/// Services in the order of the call chain; each calls the next.
pub const SERVICES: [&str; 4] = ["booking", "routing", "payments", "dispatch"];

/// The last service of the chain, which limits the throughput of the fleet.
pub const BOTTLENECK: &str = "dispatch";

/// Number of instances of each service.
pub const INSTANCES_PER_SERVICE: usize = 4;

/// Slots of an instance of the services above the bottleneck.
const SLOTS: u32 = 16;

/// Slots of an instance of the bottleneck.
const BOTTLENECK_SLOTS: u32 = 2;

/// Service time above the bottleneck.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// Service time at the bottleneck.
const BOTTLENECK_TIME: Duration = Duration::from_millis(40);

/// Factor on the service time of a slow bottleneck.
const SLOWDOWN: u32 = 5;

/// Factor on the arrival rate during a surge.
const SURGE_FACTOR: f64 = 3.0;

/// Number of targets of the bottleneck that are stopped.
const LOST_TARGETS: usize = INSTANCES_PER_SERVICE / 2;

/// Policy rules of a service, one for each kind of request; `SERVICE` is replaced by its name.
const RULES: &str = "
charge-SERVICE = POST SERVICE /charge priority=critical idempotent=no timeout=2s # measurement
lookup-SERVICE = GET SERVICE /lookup priority=normal idempotent=yes timeout=800ms retries=2 # measurement
page-SERVICE = GET SERVICE /page priority=low idempotent=yes timeout=800ms retries=2 # measurement
";

/// Fault scenario of the `--scenario` option.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, ValueEnum)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Three times the normal arrival rate.
    Surge,
    /// The targets of the last service take five times as long.
    SlowDeep,
    /// Half of the targets of the last service are stopped.
    LostTargets,
}

impl Scenario {
    /// Returns the factor on the arrival rate during the fault.
    pub fn demand_factor(self) -> f64 {
        match self {
            Scenario::Surge => SURGE_FACTOR,
            Scenario::SlowDeep | Scenario::LostTargets => 1.0,
        }
    }

    /// Returns the requests per second that the bottleneck can serve during the fault.
    pub fn capacity(self) -> f64 {
        match self {
            Scenario::Surge => normal_capacity(),
            Scenario::SlowDeep => normal_capacity() / f64::from(SLOWDOWN),
            Scenario::LostTargets => {
                normal_capacity() * (1.0 - LOST_TARGETS as f64 / INSTANCES_PER_SERVICE as f64)
            }
        }
    }

    /// Returns the slot time of a run at a service, during the fault or outside of it.
    pub fn service_time(self, service: &str, in_fault: bool) -> Duration {
        let slow = self == Scenario::SlowDeep && in_fault;
        match service == BOTTLENECK {
            true if slow => BOTTLENECK_TIME * SLOWDOWN,
            true => BOTTLENECK_TIME,
            false => SERVICE_TIME,
        }
    }
}

/// Returns the requests per second that the bottleneck can serve without a fault.
pub fn normal_capacity() -> f64 {
    let slots = f64::from(BOTTLENECK_SLOTS) * INSTANCES_PER_SERVICE as f64;
    slots / BOTTLENECK_TIME.as_secs_f64()
}

/// One run of a call at a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Service of the target.
    pub service: String,
    /// Operation, as named by [`operation`](crate::measure::load::operation).
    pub operation: String,
}

/// The running fleet of one measurement.
pub struct MeasuredFleet {
    fleet: Fleet,
    scenario: Scenario,
    /// Runs of the targets that were stopped.
    runs_of_lost: Vec<ServiceRun>,
}

impl MeasuredFleet {
    /// Starts the fleet under an overload policy.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound or a node cannot be started.
    pub async fn start(
        scenario: Scenario,
        policy: OverloadPolicy,
        seed: u64,
    ) -> io::Result<MeasuredFleet> {
        let spec = FleetSpec {
            policy: policy_text(),
            domains: vec![DomainSpec {
                name: "punjab-a".to_owned(),
                region: "punjab".to_owned(),
            }],
            services: SERVICES.iter().map(|s| service_spec(s)).collect(),
            seed,
        };
        let fleet = Fleet::start_with_options(&spec, |settings, options| {
            let slots = slots(settings.instance.service.as_str());
            options.decisions = policy.decisions(slots);
        });
        Ok(MeasuredFleet {
            fleet: fleet.await?,
            scenario,
            runs_of_lost: Vec::new(),
        })
    }

    /// Returns the ingress addresses of the nodes of the first service.
    pub fn ingress_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.fleet.ingress_addresses(SERVICES[0])
    }

    /// Injects the fault of the scenario. A surge changes nothing here: it comes from the callers.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub async fn inject_fault(&mut self) -> io::Result<()> {
        match self.scenario {
            Scenario::Surge => Ok(()),
            Scenario::SlowDeep => {
                self.update_bottleneck(|b| b.service_time *= SLOWDOWN);
                Ok(())
            }
            Scenario::LostTargets => self.stop_targets().await,
        }
    }

    /// Clears the fault of the scenario.
    ///
    /// # Errors
    ///
    /// If a port cannot be bound.
    pub async fn clear_fault(&mut self) -> io::Result<()> {
        match self.scenario {
            Scenario::Surge => Ok(()),
            Scenario::SlowDeep => {
                self.update_bottleneck(|b| b.service_time /= SLOWDOWN);
                Ok(())
            }
            Scenario::LostTargets => self.restart_targets().await,
        }
    }

    /// Stops the fleet and returns every run of its targets.
    pub async fn stop(mut self) -> Vec<ServiceRun> {
        let mut runs = std::mem::take(&mut self.runs_of_lost);
        for member in &self.fleet.members {
            let service = member.instance.service.as_str();
            runs.extend(
                member
                    .target
                    .runs()
                    .iter()
                    .map(|run| service_run(service, run)),
            );
        }
        self.fleet.stop().await;
        runs
    }

    /// Changes the behaviour of every target of the bottleneck.
    fn update_bottleneck(&self, change: fn(&mut Behaviour)) {
        for member in self.fleet.members_of(BOTTLENECK) {
            member.target.update_behaviour(change);
        }
    }

    /// Stops [`LOST_TARGETS`] targets of the bottleneck and keeps their runs. A stand-in that no
    /// node calls takes their place in the fleet.
    async fn stop_targets(&mut self) -> io::Result<()> {
        for member in bottleneck_members(&mut self.fleet).take(LOST_TARGETS) {
            let placeholder = TargetStandin::start("lost", behaviour(BOTTLENECK)).await?;
            let lost = std::mem::replace(&mut member.target, placeholder);
            let runs = lost.runs();
            self.runs_of_lost
                .extend(runs.iter().map(|run| service_run(BOTTLENECK, run)));
            tokio::spawn(lost.stop());
        }
        Ok(())
    }

    /// Starts the stopped targets again at their old addresses.
    async fn restart_targets(&mut self) -> io::Result<()> {
        for member in bottleneck_members(&mut self.fleet).take(LOST_TARGETS) {
            let address = member.node.node().settings.target;
            let name = member.instance.name.as_str();
            let restarted = TargetStandin::start_on(name, behaviour(BOTTLENECK), address).await?;
            member.target = restarted;
        }
        Ok(())
    }
}

/// Returns the members of the bottleneck service.
fn bottleneck_members(
    fleet: &mut Fleet,
) -> impl Iterator<Item = &mut crate::standin::fleet::Member> {
    fleet
        .members
        .iter_mut()
        .filter(|m| m.instance.service.as_str() == BOTTLENECK)
}

/// Returns the record of a run at a target of `service`.
fn service_run(service: &str, run: &Run) -> ServiceRun {
    ServiceRun {
        service: service.to_owned(),
        operation: run.operation.clone(),
    }
}

/// Returns the slots of an instance of a service.
fn slots(service: &str) -> u32 {
    match service == BOTTLENECK {
        true => BOTTLENECK_SLOTS,
        false => SLOTS,
    }
}

/// Returns the policy text: the rules and the size of every service.
fn policy_text() -> String {
    let rules: String = SERVICES
        .iter()
        .map(|service| RULES.replace("SERVICE", service))
        .collect();
    let sizes: String = SERVICES
        .iter()
        .map(|s| format!("{s} = slots={} connections=560 # measurement\n", slots(s)))
        .collect();
    format!("[calls]{rules}\n[services]\n{sizes}")
}

/// Returns the specification of a service.
fn service_spec(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        instances: INSTANCES_PER_SERVICE,
        behaviour: behaviour(name),
    }
}

/// Returns the behaviour of the targets of a service: each path is called at the next service too.
fn behaviour(name: &str) -> Behaviour {
    let next = SERVICES.iter().skip_while(|s| **s != name).nth(1);
    let call = |method: http::Method, path: &str| {
        let service = (*next?).to_owned();
        let sub_call = SubCall {
            method,
            service,
            path: path.to_owned(),
        };
        Some((path.to_owned(), sub_call))
    };
    let sub_calls = [
        call(http::Method::POST, "/charge"),
        call(http::Method::GET, "/lookup"),
        call(http::Method::GET, "/page"),
    ];
    let bottleneck = name == BOTTLENECK;
    Behaviour {
        slots: slots(name) as usize,
        service_time: if bottleneck {
            BOTTLENECK_TIME
        } else {
            SERVICE_TIME
        },
        sub_calls: sub_calls.into_iter().flatten().collect(),
        ..Behaviour::default()
    }
}
