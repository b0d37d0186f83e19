//! Control planes of many members on the loopback interface, with a stand-in for the platform.

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

/// Interval between two checks of the published views.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// Maximum time that a test waits for a condition.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(120);

/// Pairs of sender and receiver between which messages are blocked.
pub(crate) type BlockedPairs = Arc<Mutex<BTreeSet<(SocketAddr, SocketAddr)>>>;

/// Failure domain and published view of each running member.
type Views = Arc<Mutex<Vec<(DomainName, Arc<SharedFleetView>)>>>;

/// Periodically checks the published views: once all ready members of a domain act on a revision,
/// none of them may act on an older one.
pub(crate) struct RevisionChecker {
    views: Views,
    task: JoinHandle<()>,
    pub(crate) violations: Arc<Mutex<Vec<String>>>,
}

impl RevisionChecker {
    fn start(views: Views) -> RevisionChecker {
        let violations: Arc<Mutex<Vec<String>>> = Arc::default();
        let found = violations.clone();
        let seen = views.clone();
        let task = tokio::spawn(async move {
            let mut established: BTreeMap<DomainName, u64> = BTreeMap::new();
            loop {
                found
                    .lock()
                    .unwrap()
                    .extend(find_violations(&seen, &mut established));
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        });
        RevisionChecker {
            views,
            task,
            violations,
        }
    }

    /// Stops checking and returns the violations found.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.task.abort();
        self.violations.lock().unwrap().clone()
    }
}

/// Compares the views with the revisions that were established in each domain. Returns violations.
fn find_violations(views: &Views, established: &mut BTreeMap<DomainName, u64>) -> Vec<String> {
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
        let lowest = revisions.into_iter().min().unwrap_or_default();
        let known = established.entry(domain.clone()).or_default();
        if lowest < *known {
            found.push(format!("{domain}: {lowest} after {known}"));
        }
        *known = lowest.max(*known);
    }
    found
}

/// A member of the fleet; `control_plane` is `None` while it is stopped.
pub(crate) struct Member {
    pub(crate) instance: Instance,
    pub(crate) incarnation: u64,
    pub(crate) control_plane: Option<ControlPlane>,
    pub(crate) fleet: Arc<SharedFleetView>,
}

/// A fleet on the loopback interface.
pub(crate) struct RealFleet {
    pub(crate) platform: PlatformStandin,
    /// Replica of the platform that the members of `domain-1` use.
    pub(crate) replica: PlatformStandin,
    pub(crate) members: Vec<Member>,
    pub(crate) blocked_pairs: BlockedPairs,
    pub(crate) timing: ControlTiming,
    pub(crate) checker: RevisionChecker,
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
    /// Starts `each` members in each of `domains` failure domains, with `text` as revision 1.
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
            blocked_pairs: BlockedPairs::default(),
            timing,
            checker: RevisionChecker::start(Views::default()),
        };
        let mut listeners = Vec::new();
        for at in 0..domains * each {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let peer = listener.local_addr().unwrap();
            listeners.push(listener);
            fleet.members.push(Member {
                instance: instance(at / each, at % each, peer),
                incarnation: 0,
                control_plane: None,
                fleet: Arc::default(),
            });
        }
        let list = fleet.members.iter().map(|m| m.instance.clone()).collect();
        fleet.publish_list(list);
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
    pub(crate) fn publish_list(&self, instances: Vec<Instance>) {
        self.platform.set_instances(instances.clone());
        self.replica.set_instances(instances);
    }

    /// Sets the fault of the platform and its replica.
    pub(crate) fn set_fault(&self, fault: Fault) {
        self.platform.set_fault(fault.clone());
        self.replica.set_fault(fault);
    }

    fn start_member(&mut self, at: usize, listener: TcpListener) {
        let size = self.members.len() as u64;
        let member = &mut self.members[at];
        member.incarnation += 1;
        member.fleet = Arc::default();
        let settings = self.settings(at, size, listener);
        self.members[at].control_plane = Some(ControlPlane::start(settings).unwrap());
        let member = &self.members[at];
        let view = (member.instance.domain.clone(), member.fleet.clone());
        let mut views = self.checker.views.lock().unwrap();
        match views.get_mut(at) {
            Some(known) => *known = view,
            None => views.push(view),
        }
    }

    /// Returns the settings of a member's current incarnation.
    pub(crate) fn settings(
        &self,
        at: usize,
        size: u64,
        listener: TcpListener,
    ) -> ControlPlaneSettings {
        let member = &self.members[at];
        let blocked_pairs = self.blocked_pairs.clone();
        let from = member.instance.peer;
        let platform = match member.instance.domain.as_str() {
            "domain-1" => &self.replica,
            _ => &self.platform,
        };
        ControlPlaneSettings {
            control: ControlSettings {
                instance: member.instance.clone(),
                incarnation: Incarnation(member.incarnation),
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
            address_filter: Box::new(move |to| {
                !blocked_pairs.lock().unwrap().contains(&(from, to))
            }),
        }
    }

    /// Restarts a member at the same address as a new incarnation.
    pub(crate) async fn restart(&mut self, at: usize) {
        self.members[at].control_plane = None;
        let address = self.members[at].instance.peer;
        let bound = async {
            loop {
                if let Ok(listener) = TcpListener::bind(address) {
                    return listener;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let listener = tokio::time::timeout(MAX_WAIT, bound).await.unwrap();
        self.start_member(at, listener);
    }

    /// Starts or ends a network partition between a domain and all others.
    pub(crate) fn set_partition(&self, domain: &str, partitioned: bool) {
        let mut blocked_pairs = self.blocked_pairs.lock().unwrap();
        blocked_pairs.clear();
        if !partitioned {
            return;
        }
        let inside = |m: &&Member| m.instance.domain.as_str() == domain;
        for a in self.members.iter().filter(inside) {
            for b in self.members.iter().filter(|m| !inside(m)) {
                blocked_pairs.insert((a.instance.peer, b.instance.peer));
                blocked_pairs.insert((b.instance.peer, a.instance.peer));
            }
        }
    }

    /// Waits until every running member that `which` selects is ready and acts on `revision`.
    pub(crate) async fn wait_for_revision<F>(&self, revision: u64, which: F)
    where
        F: Fn(&Instance) -> bool,
    {
        for member in self.members.iter().filter(|m| which(&m.instance)) {
            let Some(control_plane) = &member.control_plane else {
                continue;
            };
            let done = control_plane.wait_until(|f| f.is_ready() && f.revision() == revision);
            tokio::time::timeout(MAX_WAIT, done)
                .await
                .unwrap_or_else(|_| panic!("{} does not act on {revision}", member.instance.name));
        }
    }
}
