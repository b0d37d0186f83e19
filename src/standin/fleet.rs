//! A fleet in one process: the platform's stand-in, targets, and a node beside each.

use std::io;
use std::net::SocketAddr;

use crate::instance::DomainName;
use crate::instance::Instance;
use crate::instance::InstanceName;
use crate::instance::RegionName;
use crate::instance::ServiceName;
use crate::lifecycle::RunningNode;
use crate::lifecycle::StartOptions;
use crate::settings::FleetKeys;
use crate::settings::Identity;
use crate::settings::Ports;
use crate::settings::Settings;
use crate::standin::platform::PlatformStandin;
use crate::standin::target::Behaviour;
use crate::standin::target::TargetStandin;

/// Key that the nodes of a stand-in fleet share.
const FLEET_KEY: &str = "stand-in fleet key";

/// A failure domain and its region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainSpec {
    /// Name of the failure domain.
    pub name: String,
    /// Name of its region.
    pub region: String,
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: String,
    /// Number of instances, spread over the failure domains in turn.
    pub instances: usize,
    /// Behaviour of each target.
    pub behaviour: Behaviour,
}

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Policy text.
    pub policy: String,
    /// Failure domains.
    pub domains: Vec<DomainSpec>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Seed of every random choice.
    pub seed: u64,
}

/// One instance: a target with its node.
pub struct Member {
    /// The instance, as the platform publishes it.
    pub instance: Instance,
    /// The target.
    pub target: TargetStandin,
    /// Its node.
    pub node: RunningNode,
}

/// A running fleet.
pub struct Fleet {
    /// The platform's stand-in.
    pub platform: PlatformStandin,
    /// The instances.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Starts a fleet and waits until every node knows every instance.
    ///
    /// # Errors
    ///
    /// If a port cannot be served, or the policy is rejected.
    pub async fn start(spec: &FleetSpec) -> io::Result<Fleet> {
        Fleet::start_with_settings(spec, |_| ()).await
    }

    /// Starts a fleet whose node settings are changed by `adjust`.
    ///
    /// # Errors
    ///
    /// If a port cannot be served, or the policy is rejected.
    pub async fn start_with_settings<F>(spec: &FleetSpec, adjust: F) -> io::Result<Fleet>
    where
        F: Fn(&mut Settings),
    {
        Fleet::start_with_options(spec, |settings, _| adjust(settings)).await
    }

    /// Starts a fleet whose node settings and start options are changed by `adjust`.
    ///
    /// # Errors
    ///
    /// If a port cannot be served, or the policy is rejected.
    pub async fn start_with_options<F>(spec: &FleetSpec, adjust: F) -> io::Result<Fleet>
    where
        F: Fn(&mut Settings, &mut StartOptions),
    {
        let platform = PlatformStandin::start().await?;
        platform.set_config(1, &spec.policy);
        let mut fleet = Fleet {
            platform,
            members: Vec::new(),
        };
        for service in &spec.services {
            for index in 0..service.instances {
                fleet.add(spec, service, index, &adjust).await?;
            }
        }
        fleet.publish().await;
        Ok(fleet)
    }

    /// Publishes the instances and waits until every node knows them.
    pub async fn publish(&self) {
        let instances: Vec<Instance> = self.members.iter().map(|m| m.instance.clone()).collect();
        self.platform.set_instances(instances.clone());
        for member in &self.members {
            member.node.ready().await;
            member.node.wait_for_instances(&instances).await;
        }
    }

    /// Returns the ingress addresses of a service's nodes.
    pub fn ingress_addresses(&self, service: &str) -> Vec<SocketAddr> {
        self.members_of(service).map(|m| m.node.ingress()).collect()
    }

    /// Returns the members of a service.
    pub fn members_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members
            .iter()
            .filter(move |m| m.instance.service.as_str() == service)
    }

    /// Stops every node, then every target.
    pub async fn stop(self) {
        let (nodes, targets): (Vec<_>, Vec<_>) =
            self.members.into_iter().map(|m| (m.node, m.target)).unzip();
        futures_util::future::join_all(nodes.into_iter().map(RunningNode::stop)).await;
        futures_util::future::join_all(targets.into_iter().map(TargetStandin::stop)).await;
    }

    async fn add<F>(
        &mut self,
        spec: &FleetSpec,
        service: &ServiceSpec,
        index: usize,
        adjust: &F,
    ) -> io::Result<()>
    where
        F: Fn(&mut Settings, &mut StartOptions),
    {
        let name = format!("{}-{}", service.name, index + 1);
        let domain = &spec.domains[index % spec.domains.len()];
        let target = TargetStandin::start(&name, service.behaviour.clone()).await?;
        let identity = Identity {
            name: InstanceName::new(&name),
            service: ServiceName::new(&service.name),
            domain: DomainName::new(&domain.name),
            region: RegionName::new(&domain.region),
        };
        let keys = FleetKeys {
            current: FLEET_KEY.to_owned(),
            previous: None,
        };
        let mut settings = Settings::with_defaults(identity, self.platform.url(), keys);
        settings.ports = any_ports();
        settings.target = target.address();
        let seed = spec.seed.wrapping_add(self.members.len() as u64);
        let mut options = StartOptions::new(seed);
        adjust(&mut settings, &mut options);
        let node = RunningNode::start(settings, options).await?;
        target.set_egress(node.egress());
        let instance = node.instance();
        self.members.push(Member {
            instance,
            target,
            node,
        });
        Ok(())
    }
}

fn any_ports() -> Ports {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Ports {
        ingress: any,
        egress: any,
        peer: any,
        operator: any,
    }
}
