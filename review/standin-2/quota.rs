//! Two holders of one tenant's quota: after a planned leave (`review/6/claim.txt`), and while two
//! machines are cut off from the store (`review/10/claim.txt`; second argument `cut`).

mod standin;

use std::io;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use standin::*;

/// Quota of each tenant: requests per second and burst, as in the pages' example (rate = burst).
const RATE: u64 = 120;
const BURST: u64 = 120;
/// Terms of the rule, as in the settings.
const WINDOW_MS: u64 = 5_000;
const OVERSHOOT: f64 = 0.25;
const SLACK: f64 = 20.0;
/// A tenant's usual is the quota / 1.6; a hot one sends up to 7.5 times that.
const HOT_PER_S: u64 = RATE * 10 / 16 * 75 / 10;
const TENANTS: usize = 12;
/// How long a tenant is hot, and how many machines its clients are on.
const HOT_MS: u64 = 6_500;
const CLIENT_MACHINES: usize = 4;
const CLIENTS_PER_MACHINE: u64 = 16;
/// Time from the first request of the hot tenant to the leave.
const LEAVE_AT_MS: u64 = 1_200;
/// Age of the serializable reads of the holder's machine, and of the others.
const LAG_MS: u64 = 3_000;
const NEAR_LAG_MS: u64 = 100;
const DRAIN_MS: u64 = 3_000;
/// Machines that are cut off, of eight, and for how long.
const CUT_MACHINES: usize = 2;
const CUT_MS: u64 = 12_000;
/// Time from the start of a cut to the removal of the entries: three heartbeat intervals.
const EXPIRY_MS: u64 = 4_500;
/// Time from the start of a cut to the first request of the hot tenant.
const HOT_AT_MS: u64 = 7_000;
const MACHINES: usize = 8;

const TERMS: &str = "terms.bounds.addr_reuse_s=2\nterms.bounds.stable_window_ms=4000\n\
    terms.bounds.drain_ms=3000\nterms.bounds.grace_s=6\nterms.bounds.config_apply_ms=3000\n\
    terms.bounds.strict_revocation=true\nterms.bounds.revoke_ms=5000\n\
    terms.bounds.retry_budget_ratio=0.2\nterms.bounds.retry_window_s=10\n\
    terms.bounds.retry_budget_slack=104\nterms.bounds.quota_window_s=5\n\
    terms.bounds.quota_overshoot=0.25\nterms.bounds.quota_slack=20\nterms.bounds.recovery_s=15\n";

fn config() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|t| format!("[\"tenant{t}\",[\"key-of-tenant-{t}\"],1,{RATE},{BURST}]"))
        .collect();
    format!(
        "{{\"version\":\"00000007\",\"routes\":{{\"columns\":[\"name\",\"host\",\"path_prefix\",\
         \"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\"max_attempts\",\
         \"public\"],\"rows\":[[\"r-view\",\"a.example\",\"/view/\",\"idempotent\",2000,1500,1,\
         \"palautus\",2,false]]}},\"services\":{{\"columns\":[\"name\",\"health_check_path\",\
         \"max_connections\"],\"rows\":[[\"palautus\",\"/health\",550]]}},\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":{{\"columns\":[\"name\",\"api_keys\",\
         \"priority\",\"rate_per_s\",\"burst\"],\"rows\":[{}]}}}}",
        tenants.join(",")
    )
}

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

fn head(id: &str, tenant: usize) -> String {
    format!(
        "GET /view/{id} HTTP/1.1\r\nHost: a.example\r\nDragonflylead-Request-Id: {id}\r\n\
         Dragonflylead-Deadline-Ms: 5000\r\nAuthorization: Bearer key-of-tenant-{tenant}\r\n\r\n"
    )
}

/// Sends requests of a tenant at one node, each as soon as it is due and the one before is answered.
fn send_until(
    until: Instant,
    layout: Layout,
    node: usize,
    tenant: usize,
    sent: &Mutex<Vec<Sent>>,
    counter: &AtomicU64,
    record: &Record,
) {
    let pause = 1_000_000 * CLIENT_MACHINES as u64 * CLIENTS_PER_MACHINE / HOT_PER_S;
    let pause = Duration::from_micros(pause);
    let mut conn: Option<Conn> = None;
    let mut next = Instant::now();
    while Instant::now() < until {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let at = record.now();
        if conn.is_none() {
            conn = TcpStream::connect(layout.outbound(node))
                .ok()
                .map(Conn::new);
        }
        let answer = conn.as_mut().map(|c| call(c, &head(&id, tenant), b""));
        let (status, keep) = match answer {
            Some(Ok((status, headers, _))) => (
                status,
                header(&headers, "connection").is_none_or(|c| c != "close"),
            ),
            _ => (0, false),
        };
        if !keep {
            conn = None;
        }
        record.add(format!(
            "sent {id} at {at} at node {node}, answered {status}"
        ));
        let answered = record.now();
        sent.lock().unwrap().push(Sent {
            id,
            at,
            answered,
            status,
        });
        next += pause;
        let now = Instant::now();
        match next > now {
            true => std::thread::sleep(next - now),
            false => next = now,
        }
    }
}

fn run() -> io::Result<bool> {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let lag_ms = std::env::var("LAG_MS")
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(LAG_MS);
    let record_path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let cuts = std::env::args().nth(2).as_deref() == Some("cut");
    let record = Record::new();
    let layout = Layout::find()?;
    let zones = [
        ("helsinki-a", "fi-south"),
        ("tampere-a", "fi-west"),
        ("espoo-b", "fi-south"),
        ("turku-b", "fi-west"),
    ];
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|index| Machine {
            index,
            zone: zones[index % 4].0.to_owned(),
            region: zones[index % 4].1.to_owned(),
            service: "palautus".to_owned(),
            id: format!("i-{:08x}", 0x51ac_0017u32.wrapping_mul(index as u32 + 3)),
            slots: 75,
            born: 1_765_000_000_000,
        })
        .collect();
    let store = Store::new();
    for index in 0..MACHINES {
        store.serve(TcpListener::bind(layout.store(index))?, index);
        store.lag_ms[index].store(NEAR_LAG_MS, Ordering::Relaxed);
    }
    store.put("op/config", &config());
    let servers = Servers::new(&record, 10);
    let mut started = Vec::new();
    for machine in &machines {
        let server = Server::start(&servers, layout, machine)?;
        store.put(
            &format!("servers/{}", machine.id),
            &server.entry(layout, "ready"),
        );
        started.push(server);
    }
    std::thread::sleep(Duration::from_millis(300));
    let fleet = Arc::new(Fleet::new(layout, machines.clone(), TERMS)?);
    (0..MACHINES).try_for_each(|i| fleet.start(i))?;
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_millis(2_500));
    record.add("all nodes are ready".to_owned());

    // One request of each tenant; the metrics show which node then holds one quota more.
    let held = |i: usize| fleet.metric(i, "held_quotas");
    let mut holders = Vec::new();
    for tenant in 0..TENANTS {
        let before: Vec<f64> = (0..MACHINES).map(|i| held(i).unwrap_or(-1.0)).collect();
        let mut conn = Conn::new(TcpStream::connect(layout.outbound(0))?);
        let id = format!("w{tenant:015x}");
        let (status, ..) = call(&mut conn, &head(&id, tenant), b"")?;
        record.add(format!(
            "sent {id} of tenant{tenant} at node 0, answered {status}"
        ));
        let after: Vec<f64> = (0..MACHINES).map(|i| held(i).unwrap_or(-1.0)).collect();
        holders.push((0..MACHINES).find(|&i| after[i] > before[i]));
    }
    record.add(format!("holders by tenant: {holders:?}"));
    let found = holders
        .iter()
        .enumerate()
        .find_map(|(t, h)| Some((t, (*h)?)));
    let Some((tenant, holder)) = found else {
        record.write(&record_path)?;
        return Err(io::Error::other("no holder found"));
    };
    let lag_ms = if cuts { NEAR_LAG_MS } else { lag_ms };
    store.lag_ms[holder].store(lag_ms, Ordering::Relaxed);
    record.add(format!(
        "tenant{tenant} is the hot one; the list as node {holder} reads it is {lag_ms} ms old"
    ));
    std::thread::sleep(Duration::from_millis(3_000));

    let cut: Vec<usize> = (0..CUT_MACHINES).map(|at| (holder + at) % MACHINES).collect();
    let key = |server: &Server| format!("servers/{}", server.machine.id);
    let cut_at = Instant::now();
    if cuts {
        if trouble {
            for &node in &cut {
                store.cut[node].store(true, Ordering::Relaxed);
            }
            record.add(format!("nodes {cut:?} are cut off from the store"));
            std::thread::sleep(Duration::from_millis(EXPIRY_MS));
            cut.iter().for_each(|&node| store.remove(&key(&started[node])));
            record.add("the entries of their servers have expired".to_owned());
        }
        let hot_at = cut_at + Duration::from_millis(HOT_AT_MS);
        std::thread::sleep(hot_at.saturating_duration_since(Instant::now()));
    }

    // The hot tenant's clients, spread evenly over some of the machines.
    let until = Instant::now() + Duration::from_millis(HOT_MS);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for at in 0..CLIENT_MACHINES {
        let node = (holder + at) % MACHINES;
        for _ in 0..CLIENTS_PER_MACHINE {
            let (sent, counter, record) = (sent.clone(), counter.clone(), record.clone());
            clients.push(std::thread::spawn(move || {
                send_until(until, layout, node, tenant, &sent, &counter, &record);
            }));
        }
    }
    let server = started[holder].clone();
    if trouble && cuts {
        let ends_at = cut_at + Duration::from_millis(CUT_MS);
        std::thread::sleep(ends_at.saturating_duration_since(Instant::now()));
        for &node in &cut {
            store.cut[node].store(false, Ordering::Relaxed);
            store.put(&key(&started[node]), &started[node].entry(layout, "ready"));
        }
        record.add("the cut ends, the entries are back".to_owned());
    } else if trouble {
        std::thread::sleep(Duration::from_millis(LEAVE_AT_MS));
        let key = key(&server);
        server.leaving.store(true, Ordering::Relaxed);
        store.put(&key, &server.entry(layout, "draining"));
        record.add(format!(
            "the server beside node {holder} reports draining, the store acknowledges"
        ));
        std::thread::sleep(Duration::from_millis(DRAIN_MS + 500));
        store.remove(&key);
        server.end(layout);
        record.add("that server has left".to_owned());
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    std::thread::sleep(Duration::from_millis(500));
    drop(fleet);

    // The rule: in each window, the requests that were both sent and run.
    let allowed = ((RATE * WINDOW_MS / 1_000 + BURST) as f64) * (1.0 + OVERSHOOT) + SLACK;
    let sent = sent.lock().unwrap().clone();
    let runs = servers.runs.lock().unwrap().clone();
    let sent_at: std::collections::HashMap<&str, u64> =
        sent.iter().map(|s| (s.id.as_str(), s.at)).collect();
    let pairs: Vec<(u64, u64)> = runs
        .iter()
        .filter(|r| r.tenant == format!("tenant{tenant}"))
        .filter_map(|r| Some((*sent_at.get(r.request.as_str())?, r.at)))
        .collect();
    let mut worst = (0, 0);
    for &(from, _) in &pairs {
        let count = pairs
            .iter()
            .filter(|(s, r)| *s >= from && *r <= from + WINDOW_MS)
            .count();
        worst = worst.max((count, from));
    }
    let verdict = format!(
        "tenant{tenant}: {} requests sent and run in the {WINDOW_MS} ms from {}; the rule allows {allowed}; \
         {} sent, {} run in all",
        worst.0,
        worst.1,
        sent.len(),
        pairs.len()
    );
    println!("{verdict}");
    record.add(verdict);
    record.write(&record_path)?;
    Ok(worst.0 as f64 <= allowed)
}
