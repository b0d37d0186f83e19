//! A request that crashes servers in the middle of their answers. See `review/9/claim.txt`.

mod standin;

use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use standin::*;

const MACHINES: usize = 4;
const WORK_MS: u64 = 90;
/// Pause of each of the ordinary clients between two requests.
const PAUSE_MS: u64 = 100;
const CLIENTS_PER_MACHINE: usize = 3;
/// The request that crashes servers comes this often, each time at the next machine.
const POISON_COUNT: u64 = 14;
const POISON_EVERY_MS: u64 = 3_000;
/// Time until a crashed server is back, and until its old entry expires.
const BACK_AFTER_MS: u64 = 2_000;
const ENTRY_LIFE_MS: u64 = 4_500;
const STABLE_WINDOW_MS: u64 = 3_000;
/// The rule allows this many retries later than the stable window after the third crash.
const ALLOWED: usize = 3;

const TERMS: &str = "terms.bounds.addr_reuse_s=2\nterms.bounds.stable_window_ms=3000\n\
    terms.bounds.drain_ms=2000\nterms.bounds.grace_s=6\nterms.bounds.config_apply_ms=2000\n\
    terms.bounds.retry_budget_ratio=0.2\nterms.bounds.retry_window_s=10\n\
    terms.bounds.retry_budget_slack=50\nterms.bounds.recovery_s=15\n";

const CONFIG: &str = "{\"version\":\"00000007\",\"routes\":{\"columns\":[\"name\",\"host\",\
    \"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\
    \"max_attempts\"],\"rows\":[[\"r-schedule\",\"a.example\",\"/schedule/\",\"idempotent\",5000,\
    1200,2,\"booking\",2]]},\"services\":{\"columns\":[\"name\",\"health_check_path\",\
    \"max_connections\"],\"rows\":[[\"booking\",\"/health\",640]]},\"limits\":\
    {\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\
    \"idle_timeout_ms\":15000}}";

fn main() {
    let code = match run() {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            println!("could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}

/// Sends one request on a new connection. Returns the status, or 0.
fn get_once(layout: Layout, node: usize, id: &str, path: &str) -> u16 {
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: a.example\r\nDragonflylead-Request-Id: {id}\r\n\
         Dragonflylead-Deadline-Ms: 5000\r\n\r\n"
    );
    let answer = TcpStream::connect(layout.outbound(node));
    let answer = answer.and_then(|stream| call(&mut Conn::new(stream), &head, b""));
    answer.map_or(0, |(status, ..)| status)
}

fn run() -> io::Result<bool> {
    let poison = match std::env::var("TROUBLE").as_deref() {
        Ok("0") => Poison::Never,
        Ok("before") => Poison::BeforeTheAnswer,
        _ => Poison::WithinTheAnswer,
    };
    let record_path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let record = Record::new();
    let layout = Layout::find()?;
    let zones = [
        ("lahore", "punjab"),
        ("karachi", "sindh"),
        ("faisalabad", "punjab"),
        ("hyderabad", "sindh"),
    ];
    let machine = |index: usize| Machine {
        index,
        zone: zones[index].0.to_owned(),
        region: zones[index].1.to_owned(),
        service: "booking".to_owned(),
        id: format!("i-{:08x}", 0x51ac_0017u32.wrapping_mul(index as u32 + 3)),
        slots: 90,
        born: 1_765_000_000_000,
    };
    let machines: Vec<Machine> = (0..MACHINES).map(machine).collect();
    let store = Store::new();
    for index in 0..MACHINES {
        store.serve(TcpListener::bind(layout.store(index))?, index);
        store.lag_ms[index].store(250, Ordering::Relaxed);
    }
    store.put("op/config", CONFIG);
    let servers = Servers::with_poison(&record, WORK_MS, poison);
    for machine in &machines {
        let server = Server::start(&servers, layout, machine)?;
        store.put(
            &format!("servers/{}", machine.id),
            &server.entry(layout, "ready"),
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    let fleet = Fleet::new(layout, machines.clone(), TERMS)?;
    (0..MACHINES).try_for_each(|i| fleet.start(i))?;
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_millis(2_000));

    let stop = Arc::new(AtomicBool::new(false));
    let counter = Arc::new(AtomicU64::new(1));
    let statuses: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let mut threads = Vec::new();
    for node in 0..MACHINES {
        for client in 0..CLIENTS_PER_MACHINE {
            let (stop, counter) = (stop.clone(), counter.clone());
            let (statuses, record) = (statuses.clone(), record.clone());
            threads.push(std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis((client * 37 + node * 11) as u64));
                while !stop.load(Ordering::Relaxed) {
                    let number = counter.fetch_add(1, Ordering::Relaxed);
                    let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
                    let status = get_once(layout, node, &id, &format!("/schedule/{id}"));
                    record.add(format!("sent {id} at node {node}, answered {status}"));
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                    std::thread::sleep(Duration::from_millis(PAUSE_MS));
                }
            }));
        }
    }
    // Crashed servers come back as new incarnations.
    let restarts = {
        let (stop, servers, store) = (stop.clone(), servers.clone(), store.clone());
        let mut current = machines.clone();
        std::thread::spawn(move || {
            let mut due: Vec<(Instant, usize)> = Vec::new();
            let mut expires: Vec<(Instant, String)> = Vec::new();
            let mut starts = 0u64;
            while !stop.load(Ordering::Relaxed) {
                let now = Instant::now();
                for index in servers.crashed.lock().unwrap().drain(..) {
                    due.push((now + Duration::from_millis(BACK_AFTER_MS), index));
                    let expiry = now + Duration::from_millis(ENTRY_LIFE_MS);
                    expires.push((expiry, current[index].id.clone()));
                }
                due.retain(|&(at, index)| {
                    if now < at {
                        return true;
                    }
                    starts += 1;
                    current[index].id =
                        format!("i-{:08x}", 0x7c03_0017u64.wrapping_mul(starts) as u32);
                    current[index].born += 10_000 + starts;
                    match Server::start(&servers, layout, &current[index]) {
                        Ok(server) => {
                            let key = format!("servers/{}", server.machine.id);
                            store.put(&key, &server.entry(layout, "ready"));
                            servers.record.add(format!("{} is back", server.machine.id));
                            false
                        }
                        Err(_) => true,
                    }
                });
                expires.retain(|(at, id)| {
                    if now >= *at {
                        store.remove(&format!("servers/{id}"));
                    }
                    now < *at
                });
                std::thread::sleep(Duration::from_millis(5));
            }
        })
    };
    std::thread::sleep(Duration::from_millis(2_000));
    let mut sent: Vec<(String, u64)> = Vec::new();
    for number in 0..POISON_COUNT {
        let id = format!("dead{number:012x}");
        let node = number as usize % MACHINES;
        let at = record.now();
        sent.push((id.clone(), at));
        let begun = Instant::now();
        let status = get_once(layout, node, &id, "/schedule/poison");
        record.add(format!(
            "sent {id} at {at} at node {node}, answered {status}"
        ));
        std::thread::sleep(Duration::from_millis(POISON_EVERY_MS).saturating_sub(begun.elapsed()));
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    drop(restarts.join());
    drop(fleet);

    // The rule: the retries that were sent later than the window after the third crash and ran.
    let runs = servers.runs.lock().unwrap().clone();
    let poison_runs: Vec<&Run> = runs
        .iter()
        .filter(|r| r.request.starts_with("dead"))
        .collect();
    let third = poison_runs.get(2).map_or(u64::MAX, |r| r.at);
    let late = sent.iter().filter(|(id, at)| {
        *at > third.saturating_add(STABLE_WINDOW_MS) && poison_runs.iter().any(|r| r.request == *id)
    });
    let late = match poison {
        Poison::Never => 0,
        _ => late.count(),
    };
    let lines = [
        format!(
            "ordinary requests by status: {:?}",
            statuses.lock().unwrap()
        ),
        format!(
            "the request came {} times and was run {} times ({poison:?}); \
             {late} retries reached a server later than {STABLE_WINDOW_MS} ms after the third crash, \
             {ALLOWED} are allowed",
            sent.len(),
            poison_runs.len()
        ),
    ];
    for line in lines {
        println!("{line}");
        record.add(line);
    }
    record.write(&record_path)?;
    Ok(late <= ALLOWED)
}
