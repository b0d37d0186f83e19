//! Control planes of many members on loopback, with a platform stand-in.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::task::JoinHandle;

use dragonflylead::Clock;
use dragonflylead::Policy;
use dragonflylead::coordination::control::ControlSettings;
use dragonflylead::coordination::control::ControlTiming;
use dragonflylead::instance::DomainName;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::Instance;
use dragonflylead::instance::InstanceState;
use dragonflylead::protocol::hop::Keyring;
use dragonflylead::standin::platform::Fault;
use dragonflylead::standin::platform::PlatformStandin;
use dragonflylead::state::fleet::SharedFleetView;
use dragonflylead::transport::control::ControlPlane;
use dragonflylead::transport::control::ControlPlaneSettings;
use dragonflylead::transport::control::DataPathHandlers;

/// Time between two looks of the checker.
const LOOK: Duration = Duration::from_millis(2);

/// Longest wait for a condition.
pub(crate) const CAP: Duration = Duration::from_secs(120);

/// Domains that cannot reach each other.
pub(crate) type Cuts = Arc<Mutex<BTreeSet<(SocketAddr, SocketAddr)>>>;

/// Published views that are watched: failure domain and view of each running member.
type Views = Arc<Mutex<Vec<(DomainName, Arc<SharedFleetView>)>>>;

/// Looks at all views again and again: once every acting member of a domain acts on a revision, none
/// may act on an older one.
pub(crate) struct Checker {
    views: Views,
    task: JoinHandle<()>,
    pub(crate) violations: Arc<Mutex<Vec<String>>>,
}

impl Checker {
    fn start(views: Views) -> Checker {
        let violations: Arc<Mutex<Vec<String>>> = Arc::default();
        let found = violations.clone();
        let seen = views.clone();
        let task = tokio::spawn(async move {
            let mut established: BTreeMap<DomainName, u64> = BTreeMap::new();
            loop {
                found.lock().unwrap().extend(look(&seen, &mut established));
                tokio::time::sleep(LOOK).await;
            }
        });
        Checker {
            views,
            task,
            violations,
        }
    }

    /// Ends the watch and returns what was seen.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.task.abort();
        self.violations.lock().unwrap().clone()
    }
}

fn look(views: &Views, established: &mut BTreeMap<DomainName, u64>) -> Vec<String> {
    let mut acting: BTreeMap<DomainName, Vec<u64>> = BTreeMap::new();
    for (domain, view) in views.lock().unwrap().iter() {
        let view = view.snapshot();
        if view.is_ready() {
            let list = acting.entry(domain.clone()).or_default();
            list.push(view.revision());
        }
    }
    let mut found = Vec::new();
    for (domain, revisions) in acting {
        let least = revisions.into_iter().min().unwrap_or_default();
        let known = established.entry(domain.clone()).or_default();
        if least < *known {
            found.push(format!("{domain}: {least} after {known}"));
        }
        *known = least.max(*known);
    }
    found
}

/// One member.
pub(crate) struct Member {
    pub(crate) instance: Instance,
    pub(crate) life: u64,
    pub(crate) plane: Option<ControlPlane>,
    pub(crate) fleet: Arc<SharedFleetView>,
}

/// A fleet on loopback.
pub(crate) struct RealFleet {
    pub(crate) platform: PlatformStandin,
    /// What the members of `domain-1` see of the platform.
    pub(crate) replica: PlatformStandin,
    pub(crate) members: Vec<Member>,
    pub(crate) cuts: Cuts,
    pub(crate) timing: ControlTiming,
    pub(crate) checker: Checker,
}

pub(crate) fn keys() -> Keyring {
    Keyring::new("key of the test fleet", None)
}

fn instance(domain: usize, n: usize, peer: SocketAddr) -> Instance {
    Instance {
        name: format!("d{domain}-{n}").as_str().into(),
        service: format!("s{}", n % 8).as_str().into(),
        domain: format!("domain-{domain}").as_str().into(),
        region: format!("region-{}", domain / 2).as_str().into(),
        ingress: "127.0.0.1:1".parse().unwrap(),
        peer,
        state: InstanceState::Live,
    }
}

impl RealFleet {
    /// Starts all members with a configuration as revision 1.
    pub(crate) async fn start(
        domains: usize,
        each: usize,
        timing: ControlTiming,
        text: &str,
    ) -> RealFleet {
        let platform = PlatformStandin::start().await.unwrap();
        let mut fleet = RealFleet {
            platform,
            replica: PlatformStandin::start().await.unwrap(),
            members: Vec::new(),
            cuts: Cuts::default(),
            timing,
            checker: Checker::start(Views::default()),
        };
        let mut listeners = Vec::new();
        for at in 0..domains * each {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let peer = listener.local_addr().unwrap();
            listeners.push(listener);
            fleet.members.push(Member {
                instance: instance(at / each, at % each, peer),
                life: 0,
                plane: None,
                fleet: Arc::default(),
            });
        }
        let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
        fleet.list(list);
        fleet.publish(1, text);
        for (at, listener) in listeners.into_iter().enumerate() {
            fleet.start_member(at, listener);
        }
        fleet
    }

    /// Publishes a configuration on the platform and its replica.
    pub(crate) fn publish(&self, revision: u64, text: &str) {
        self.platform.set_config(revision, text);
        self.replica.set_config(revision, text);
    }

    /// Publishes an instance list on the platform and its replica.
    pub(crate) fn list(&self, instances: Vec<Instance>) {
        self.platform.set_instances(instances.clone());
        self.replica.set_instances(instances);
    }

    /// Sets how the platform and its replica misbehave.
    pub(crate) fn set_fault(&self, fault: Fault) {
        self.platform.set_fault(fault.clone());
        self.replica.set_fault(fault);
    }

    fn start_member(&mut self, at: usize, listener: TcpListener) {
        let size = self.members.len() as u64;
        let member = &mut self.members[at];
        member.life += 1;
        member.fleet = Arc::default();
        let settings = self.settings(at, size, listener);
        self.members[at].plane = Some(ControlPlane::start(settings).unwrap());
        let member = &self.members[at];
        let view = (member.instance.domain.clone(), member.fleet.clone());
        let mut views = self.checker.views.lock().unwrap();
        match views.get_mut(at) {
            Some(known) => *known = view,
            None => views.push(view),
        }
    }

    /// Builds the settings of a member's next life.
    pub(crate) fn settings(
        &self,
        at: usize,
        size: u64,
        listener: TcpListener,
    ) -> ControlPlaneSettings {
        let member = &self.members[at];
        let cuts = self.cuts.clone();
        let from = member.instance.peer;
        let platform = match member.instance.domain.as_str() {
            "domain-1" => &self.replica,
            _ => &self.platform,
        };
        ControlPlaneSettings {
            control: ControlSettings {
                instance: member.instance.clone(),
                incarnation: Incarnation(member.life),
                called_services: vec!["s0".into()],
                seeds: Vec::new(),
                fleet_size: size,
                timing: self.timing,
                validate: Box::new(|text| Policy::parse(text).map(drop).map_err(|e| e.to_string())),
            },
            listener,
            platform: platform.url().to_owned(),
            keys: keys(),
            clock: Clock::system(),
            seed: at as u64,
            fleet: member.fleet.clone(),
            handlers: DataPathHandlers::default(),
            address_filter: Box::new(move |to| !cuts.lock().unwrap().contains(&(from, to))),
        }
    }

    /// Stops a member and starts it anew at the same address.
    pub(crate) async fn restart(&mut self, at: usize) {
        self.members[at].plane = None;
        let address = self.members[at].instance.peer;
        let bound = async {
            loop {
                if let Ok(listener) = TcpListener::bind(address) {
                    return listener;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let listener = tokio::time::timeout(CAP, bound).await.unwrap();
        self.start_member(at, listener);
    }

    /// Cuts the members of a domain off from all others, or joins them again.
    pub(crate) fn cut(&self, domain: &str, apart: bool) {
        let mut cuts = self.cuts.lock().unwrap();
        cuts.clear();
        if !apart {
            return;
        }
        let inside = |m: &&Member| m.instance.domain.as_str() == domain;
        for a in self.members.iter().filter(inside) {
            for b in self.members.iter().filter(|m| !inside(m)) {
                cuts.insert((a.instance.peer, b.instance.peer));
                cuts.insert((b.instance.peer, a.instance.peer));
            }
        }
    }

    /// Waits until every running member that `which` selects acts on `revision`.
    pub(crate) async fn act_on<F>(&self, revision: u64, which: F)
    where
        F: Fn(&Instance) -> bool,
    {
        for member in self.members.iter().filter(|m| which(&m.instance)) {
            let Some(plane) = &member.plane else { continue };
            let done = plane.wait_until(|f| f.is_ready() && f.revision() == revision);
            tokio::time::timeout(CAP, done)
                .await
                .unwrap_or_else(|_| panic!("{} does not act on {revision}", member.instance.name));
        }
    }
}
