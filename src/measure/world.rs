//! The fleet that is measured: four services, four endpoints each, slots scaled down.

use std::io;
use std::time::Duration;

use clap::ValueEnum;
use strum::Display;
use strum::EnumIter;

use crate::measure::setting::Setting;
use crate::standin::fleet::DomainSpec;
use crate::standin::fleet::Fleet;
use crate::standin::fleet::FleetSpec;
use crate::standin::fleet::ServiceSpec;
use crate::standin::target::Behaviour;
use crate::standin::target::Run;
use crate::standin::target::SubCall;
use crate::standin::target::TargetStandin;

/// Services in the order of the call chain.
pub const SERVICES: [&str; 4] = ["booking", "routing", "payments", "dispatch"];

/// The service that limits what the fleet can do.
pub const BOTTLENECK: &str = "dispatch";

/// Endpoints of each service.
pub const ENDPOINTS: usize = 4;

/// Slots of an endpoint of the services above the bottleneck.
const SLOTS: u32 = 16;

/// Slots of an endpoint of the bottleneck.
const BOTTLENECK_SLOTS: u32 = 2;

/// Service time above the bottleneck.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// Service time at the bottleneck.
const BOTTLENECK_TIME: Duration = Duration::from_millis(40);

/// Factor on the service time of a slow bottleneck.
const SLOWDOWN: u32 = 5;

/// Factor on the demand in a surge.
const SURGE: f64 = 3.0;

/// Targets of the bottleneck that are lost.
const LOST: usize = ENDPOINTS / 2;

/// Rules of a service, with a row for each kind of call.
const RULES: &str = "
charge-SERVICE = POST SERVICE /charge priority=critical idempotent=no timeout=2s # measurement
lookup-SERVICE = GET SERVICE /lookup priority=normal idempotent=yes timeout=800ms retries=2 # measurement
page-SERVICE = GET SERVICE /page priority=low idempotent=yes timeout=800ms retries=2 # measurement
";

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, ValueEnum)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// Three times the usual demand.
    Surge,
    /// The targets of the deepest service take five times as long.
    SlowDeep,
    /// Half of the targets of the deepest service are gone.
    LostTargets,
}

impl Scenario {
    /// Returns the factor on the demand while the cause lasts.
    pub fn demand(self) -> f64 {
        match self {
            Scenario::Surge => SURGE,
            Scenario::SlowDeep | Scenario::LostTargets => 1.0,
        }
    }

    /// Returns the requests a second that the bottleneck can serve while the cause lasts.
    pub fn capacity(self) -> f64 {
        match self {
            Scenario::Surge => capacity(),
            Scenario::SlowDeep => capacity() / f64::from(SLOWDOWN),
            Scenario::LostTargets => capacity() * (1.0 - LOST as f64 / ENDPOINTS as f64),
        }
    }

    /// Returns the slot time of a run at a service, in the cause or outside of it.
    pub fn service_time(self, service: &str, in_cause: bool) -> Duration {
        let slow = self == Scenario::SlowDeep && in_cause;
        match service == BOTTLENECK {
            true if slow => BOTTLENECK_TIME * SLOWDOWN,
            true => BOTTLENECK_TIME,
            false => SERVICE_TIME,
        }
    }
}

/// Returns the requests a second that the bottleneck can usually serve.
pub fn capacity() -> f64 {
    let slots = f64::from(BOTTLENECK_SLOTS) * ENDPOINTS as f64;
    slots / BOTTLENECK_TIME.as_secs_f64()
}

/// A run of a call at a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// The service.
    pub service: String,
    /// The operation that the call was part of.
    pub operation: String,
}

/// The measured fleet.
pub struct World {
    fleet: Fleet,
    scenario: Scenario,
    runs_of_lost: Vec<ServiceRun>,
}

impl World {
    /// Starts the fleet under an overload policy.
    ///
    /// # Errors
    ///
    /// If a port cannot be served.
    pub async fn start(scenario: Scenario, setting: Setting, seed: u64) -> io::Result<World> {
        let spec = FleetSpec {
            policy: policy(),
            domains: vec![DomainSpec {
                name: "punjab-a".to_owned(),
                region: "punjab".to_owned(),
            }],
            services: SERVICES.iter().map(|s| service(s)).collect(),
            seed,
        };
        let fleet = Fleet::start_with_options(&spec, |settings, options| {
            let slots = slots(settings.instance.service.as_str());
            options.decisions = setting.decisions(slots);
        });
        Ok(World {
            fleet: fleet.await?,
            scenario,
            runs_of_lost: Vec::new(),
        })
    }

    /// Returns the entry nodes.
    pub fn entries(&self) -> Vec<std::net::SocketAddr> {
        self.fleet.ingress_addresses(SERVICES[0])
    }

    /// Lets the cause begin.
    ///
    /// # Errors
    ///
    /// If a port cannot be served.
    pub async fn begin(&mut self) -> io::Result<()> {
        match self.scenario {
            Scenario::Surge => Ok(()),
            Scenario::SlowDeep => {
                self.change_bottleneck(|b| b.service_time *= SLOWDOWN);
                Ok(())
            }
            Scenario::LostTargets => self.lose_targets().await,
        }
    }

    /// Lets the cause end.
    ///
    /// # Errors
    ///
    /// If a port cannot be served.
    pub async fn end(&mut self) -> io::Result<()> {
        match self.scenario {
            Scenario::Surge => Ok(()),
            Scenario::SlowDeep => {
                self.change_bottleneck(|b| b.service_time /= SLOWDOWN);
                Ok(())
            }
            Scenario::LostTargets => self.bring_back().await,
        }
    }

    /// Stops the fleet and returns every run of its targets.
    pub async fn stop(mut self) -> Vec<ServiceRun> {
        let mut runs = std::mem::take(&mut self.runs_of_lost);
        for member in &self.fleet.members {
            let service = member.instance.service.as_str();
            runs.extend(member.target.runs().iter().map(|run| noted(service, run)));
        }
        self.fleet.stop().await;
        runs
    }

    fn change_bottleneck(&self, change: fn(&mut Behaviour)) {
        for member in self.fleet.members_of(BOTTLENECK) {
            member.target.update_behaviour(change);
        }
    }

    async fn lose_targets(&mut self) -> io::Result<()> {
        for member in bottleneck(&mut self.fleet).take(LOST) {
            let spare = TargetStandin::start("lost", behaviour(BOTTLENECK)).await?;
            let lost = std::mem::replace(&mut member.target, spare);
            let runs = lost.runs();
            self.runs_of_lost
                .extend(runs.iter().map(|run| noted(BOTTLENECK, run)));
            tokio::spawn(lost.stop());
        }
        Ok(())
    }

    async fn bring_back(&mut self) -> io::Result<()> {
        for member in bottleneck(&mut self.fleet).take(LOST) {
            let address = member.node.node().settings.target;
            let name = member.instance.name.as_str();
            let back = TargetStandin::start_on(name, behaviour(BOTTLENECK), address).await?;
            member.target = back;
        }
        Ok(())
    }
}

fn bottleneck(fleet: &mut Fleet) -> impl Iterator<Item = &mut crate::standin::fleet::Member> {
    fleet
        .members
        .iter_mut()
        .filter(|m| m.instance.service.as_str() == BOTTLENECK)
}

fn noted(service: &str, run: &Run) -> ServiceRun {
    ServiceRun {
        service: service.to_owned(),
        operation: run.operation.clone(),
    }
}

fn slots(service: &str) -> u32 {
    match service == BOTTLENECK {
        true => BOTTLENECK_SLOTS,
        false => SLOTS,
    }
}

fn policy() -> String {
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

fn service(name: &str) -> ServiceSpec {
    ServiceSpec {
        name: name.to_owned(),
        instances: ENDPOINTS,
        behaviour: behaviour(name),
    }
}

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
