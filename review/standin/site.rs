//! A small deployment on loopback addresses: store, endpoints, and one node process beside each.

use std::collections::HashMap;
use std::fs;
use std::fs::File;
use std::io;
use std::net::TcpListener;
use std::os::raw::c_int;
use std::os::raw::c_ulong;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::client::Request;
use crate::endpoint::Endpoint;
use crate::record::Record;
use crate::store::Store;

/// Program of the deploy file.
const NODE: &str = "target/release/dragonflylead-platform";

/// Variable with the path of the settings file.
const SETTINGS: &str = "DRAGONFLYLEAD_SETTINGS";

/// Memory of a machine in MB, `memory_mb` of the smallest machines in the small site files.
pub const MEMORY_MB: u64 = 260;

/// Bounds of the small deployments, in milliseconds.
pub const STABLE_WINDOW_MS: u64 = 3_000;
pub const DRAIN_MS: u64 = 2_000;

/// Time between two writes of an endpoint's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Machine {
    pub ip: String,
    pub zone: &'static str,
    pub service: &'static str,
    pub endpoint: Arc<Endpoint>,
    state: Mutex<&'static str>,
    node: Mutex<Option<Child>>,
}

impl Machine {
    pub fn outbound(&self) -> String {
        format!("{}:8304", self.ip)
    }

    pub fn pid(&self) -> Option<u32> {
        self.node.lock().unwrap().as_ref().map(Child::id)
    }

    fn entry(&self, sequence: u64, born: u128) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}:8301\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service,
            self.ip,
            self.zone,
            self.endpoint.slots,
            self.state.lock().unwrap(),
            born
        )
    }
}

/// Zone and service of a machine, and the slots of its endpoint.
pub type Place = (&'static str, &'static str, usize);

pub struct Site {
    pub machines: Vec<Arc<Machine>>,
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    dir: PathBuf,
    store_address: String,
    sequence: Mutex<u64>,
    /// When each entry of an endpoint was last written.
    entries: Mutex<HashMap<String, Instant>>,
}

impl Site {
    /// Starts the deployment and waits until all machines are in touch. `routes` are rows of the
    /// configuration: name, prefix, kind, service.
    pub fn start(
        record: &Arc<Record>,
        places: &[Place],
        routes: &[(&str, &str, &str, &str)],
        stale: Duration,
    ) -> Result<Arc<Site>, String> {
        let net = free_network()?;
        let dir = std::env::temp_dir().join(format!("dragonflylead-review-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let store_address = format!("{net}.250:8309");
        let store = Store::start(&store_address, stale).map_err(|e| e.to_string())?;
        let rows: Vec<String> = routes
            .iter()
            .map(|(name, prefix, kind, service)| {
                format!(
                    "[\"{name}\",\"site.example\",\"{prefix}\",\"{kind}\",5000,1500,1,\
                     \"{service}\",2,null]"
                )
            })
            .collect();
        store.put(
            "op/config",
            &format!(
                "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\
                 \"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\
                 \"service\",\"max_attempts\",\"weighted_services\"],\"rows\":[{}]}},\
                 \"services\":{{\"columns\":[\"name\",\"health_check_path\",\"max_connections\",\
                 \"protocol\",\"tls\"],\"rows\":[[\"front\",\"/health\",640,\"h1\",false],\
                 [\"back\",\"/health\",640,\"h1\",false]]}},\"limits\":{{\"max_header_bytes\":16384,\
                 \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\
                 \"idle_timeout_ms\":15000}}}}",
                rows.join(",")
            ),
        );
        let mut machines = Vec::new();
        for (index, (zone, service, slots)) in places.iter().enumerate() {
            let ip = format!("{net}.{}", index + 1);
            let id = format!("i-{:06x}", 0x7f3a_91c2_u32.wrapping_mul(index as u32 + 3) >> 8);
            let endpoint = Endpoint::start(&format!("{ip}:8301"), &id, *slots, record)
                .map_err(|e| e.to_string())?;
            machines.push(Arc::new(Machine {
                ip,
                zone,
                service,
                endpoint,
                state: Mutex::new("ready"),
                node: Mutex::default(),
            }));
        }
        let site = Arc::new(Site {
            machines,
            store,
            record: record.clone(),
            dir,
            store_address,
            sequence: Mutex::new(0),
            entries: Mutex::default(),
        });
        site.machines.iter().for_each(|machine| site.write_entry(machine));
        for machine in &site.machines {
            site.start_node(machine)?;
        }
        let beats = site.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT / 10);
                let due = |machine: &&Arc<Machine>| beats.is_due(machine);
                beats.machines.iter().filter(due).for_each(|machine| beats.write_entry(machine));
            }
        });
        site.wait_until_ready()?;
        thread::sleep(Duration::from_millis(STABLE_WINDOW_MS + 500));
        record.line("all machines are in touch");
        Ok(site)
    }

    /// Writes the entry of an endpoint, if it lives. The entry of an incarnation that has crashed is
    /// removed after three heartbeat intervals of silence.
    fn write_entry(&self, machine: &Machine) {
        let now = Instant::now();
        let expired = {
            let mut entries = self.entries.lock().unwrap();
            let expired: Vec<String> = entries
                .iter()
                .filter(|(_, written)| now - **written > HEARTBEAT * 3)
                .map(|(id, _)| id.clone())
                .collect();
            entries.retain(|id, _| !expired.contains(id));
            expired
        };
        expired.iter().for_each(|id| self.store.remove(&format!("servers/{id}")));
        if machine.endpoint.crashed.load(Ordering::SeqCst) {
            return;
        }
        let incarnation = machine.endpoint.incarnation();
        self.entries.lock().unwrap().insert(incarnation.id.clone(), now);
        let sequence = {
            let mut sequence = self.sequence.lock().unwrap();
            *sequence += 1;
            *sequence
        };
        let entry = machine.entry(sequence, incarnation.born);
        self.store.put(&format!("servers/{}", incarnation.id), &entry);
    }

    /// Returns whether an endpoint has just started or not written for a heartbeat interval.
    fn is_due(&self, machine: &Machine) -> bool {
        let entries = self.entries.lock().unwrap();
        let written = entries.get(&machine.endpoint.incarnation().id);
        written.is_none_or(|written| written.elapsed() >= HEARTBEAT)
    }

    /// The endpoint reports `draining`. Returns when the store has accepted that.
    pub fn drain(&self, machine: &Machine) {
        *machine.state.lock().unwrap() = "draining";
        machine.endpoint.leaving.store(true, Ordering::SeqCst);
        self.write_entry(machine);
        let id = machine.endpoint.incarnation().id;
        self.record.line(&format!("the store has acknowledged that endpoint {id} is draining"));
    }

    pub fn start_node(&self, machine: &Machine) -> Result<(), String> {
        let text = self.settings(machine);
        let path = self.dir.join(format!("{}.conf", machine.ip));
        fs::write(&path, text).map_err(|e| e.to_string())?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", machine.ip)))
            .map_err(|e| e.to_string())?;
        let mut command = Command::new(NODE);
        command
            .env(SETTINGS, &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().map_err(|e| e.to_string())?)
            .stdout(log);
        end_with_this_process(&mut command);
        let child = command.spawn().map_err(|e| format!("{NODE}: {e}"))?;
        *machine.node.lock().unwrap() = Some(child);
        Ok(())
    }

    fn settings(&self, machine: &Machine) -> String {
        let ip = &machine.ip;
        let Machine { zone, service, .. } = machine;
        let store = &self.store_address;
        format!(
            "self.node_name=sidecar-{ip}\nself.role=node\nself.machine_class=sidecar\n\
             self.serves=sidecar\nself.ip={ip}\nself.zone={zone}\nself.region=punjab\n\
             self.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.4\n\
             self.limits.cpu_cores=1\nself.limits.memory_mb={MEMORY_MB}\n\
             self.limits.max_fds=4100\nself.limits.link_mbps=1000.0\nself.limits.disk_mb=0\n\
             self.app_addr={ip}:8301\nself.service={service}\n\
             network.listen.inbound={ip}:8300\nnetwork.listen.outbound={ip}:8304\n\
             network.listen.ready={ip}:8302\nnetwork.internal_port_range=7620,7635\n\
             network.seeds=\nnetwork.zones.lahore=punjab\nnetwork.zones.faisalabad=punjab\n\
             platform.discovery=platform\nplatform.entry=static\nplatform.heartbeat_ms=1500\n\
             platform.platform.address={store}\nplatform.platform.form=read\n\
             platform.platform.writes_per_s=400\nplatform.platform.reads_per_s=2000\n\
             platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n\
             platform.platform.min_ttl_ms=1000\n\
             terms.contracts=base,drain,config,cost,retry,recover,pressure,platform\n\
             terms.fault_tolerance.machines=2\nterms.fault_tolerance.zones=0\n\
             terms.fault_tolerance.regions=0\nterms.bounds.seed_lag_s=3\n\
             terms.bounds.addr_reuse_s=2\nterms.bounds.stable_window_ms=3000\n\
             terms.bounds.ack_ms=4000\nterms.bounds.catch_up_s=4\nterms.bounds.drain_ms=2000\n\
             terms.bounds.grace_s=6\nterms.bounds.loss_slack_ms=200\n\
             terms.bounds.config_apply_ms=2000\nterms.bounds.rollback_slack_ms=250\n\
             terms.bounds.max_stretch_ms=5000\nterms.bounds.retry_budget_ratio=0.2\n\
             terms.bounds.retry_window_s=10\nterms.bounds.retry_budget_slack=50\n\
             terms.bounds.recovery_s=15\n"
        )
    }

    fn wait_until_ready(&self) -> Result<(), String> {
        for _ in 0..100 {
            if self.machines.iter().all(|machine| self.is_ready(machine)) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("the nodes are not ready after 10 s".to_owned())
    }

    /// Asks a node's readiness page, as the platform does.
    pub fn is_ready(&self, machine: &Machine) -> bool {
        let quiet = Arc::new(Record::create("/dev/null").expect("a record"));
        let Ok(mut client) = Client::connect(&format!("{}:8302", machine.ip), &quiet) else {
            return false;
        };
        let request = Request {
            id: "ready".to_owned(),
            method: "GET",
            path: "/-/ready".to_owned(),
            deadline_ms: 1_000,
            body: &[],
            last: true,
        };
        client.exchange(&request).status == Some(200)
    }

    /// Sends SIGTERM to a node.
    pub fn terminate(&self, machine: &Machine) {
        if let Some(pid) = machine.pid() {
            self.record.line(&format!("SIGTERM to the node of machine {}", machine.ip));
            // SAFETY: the process was started by this one and is not waited for yet.
            unsafe { kill(pid as c_int, SIGTERM) };
        }
    }

    /// Sends SIGKILL to a node.
    pub fn kill(&self, machine: &Machine) {
        if let Some(mut child) = machine.node.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Ends all processes and removes the temporary folder, unless `KEEP` is set.
    pub fn end(&self) {
        self.machines.iter().for_each(|machine| self.kill(machine));
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
    fn kill(pid: c_int, signal: c_int) -> c_int;
}

/// Option of `prctl` for the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: c_int = 1;
const SIGKILL: c_ulong = 9;
const SIGTERM: c_int = 15;

/// Has the system kill the process of `command` when this one ends, however that comes about.
fn end_with_this_process(command: &mut Command) {
    // SAFETY: `prctl` may be called between fork and exec.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
}

/// Resident memory of a process in KB.
pub fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Returns the first three bytes of a loopback network whose ports are free.
fn free_network() -> Result<String, String> {
    for attempt in 0..50 {
        let seed = std::process::id().wrapping_mul(31).wrapping_add(attempt * 977);
        let net = format!("127.{}.{}", 20 + seed % 200, seed / 200 % 250);
        let ports = [8300, 8301, 8302, 8304, 8309, 7620, 7635];
        let free = |port: &u16| {
            [1, 2, 3, 4, 250]
                .iter()
                .all(|host| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
        };
        if ports.iter().all(free) {
            return Ok(net);
        }
    }
    Err("no free loopback network".to_owned())
}
