//! Entries of another writer in the list of servers. See `review/8/claim.txt`.

mod standin;

use std::collections::BTreeMap;
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

const MACHINES: usize = 8;
const TENANTS: usize = 12;
/// Quota of each tenant: requests per second and burst.
const RATE: u64 = 24;
const BURST: u64 = 24;
/// A tenant's usual is the quota / 1.6.
const USUAL_PER_S: u64 = RATE * 10 / 16;
/// Entries of another writer, of a service that no configuration names.
const OTHER_ENTRIES: usize = 6;
const RUN_MS: u64 = 15_000;

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

/// Sends requests of a tenant at one node, at a steady pace.
fn send_until(
    until: Instant,
    layout: Layout,
    node: usize,
    tenant: usize,
    answers: &Mutex<Vec<(usize, u16)>>,
    counter: &AtomicU64,
    record: &Record,
) {
    let pause = Duration::from_micros(1_000_000 * MACHINES as u64 / USUAL_PER_S);
    let mut conn: Option<Conn> = None;
    let mut next = Instant::now() + pause * (tenant * MACHINES + node) as u32 / 96;
    while next < until {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let at = record.now();
        let head = format!(
            "GET /view/{id} HTTP/1.1\r\nHost: a.example\r\nDragonflylead-Request-Id: {id}\r\n\
             Dragonflylead-Deadline-Ms: 5000\r\n\
             Authorization: Bearer key-of-tenant-{tenant}\r\n\r\n"
        );
        if conn.is_none() {
            conn = TcpStream::connect(layout.outbound(node))
                .ok()
                .map(Conn::new);
        }
        let status = match conn.as_mut().map(|c| call(c, &head, b"")) {
            Some(Ok((status, ..))) => status,
            _ => {
                conn = None;
                0
            }
        };
        record.add(format!(
            "sent {id} of tenant{tenant} at {at} at node {node}, answered {status}"
        ));
        answers.lock().unwrap().push((tenant, status));
    }
}

fn run() -> io::Result<bool> {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record_path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let record = Record::new();
    let layout = Layout::find()?;
    let zones = [
        ("helsinki-a", "fi-south"),
        ("tampere-a", "fi-west"),
        ("espoo-b", "fi-south"),
        ("turku-b", "fi-west"),
    ];
    let machine = |index: usize| Machine {
        index,
        zone: zones[index % 4].0.to_owned(),
        region: zones[index % 4].1.to_owned(),
        service: "palautus".to_owned(),
        id: format!("i-{:08x}", 0x51ac_0017u32.wrapping_mul(index as u32 + 3)),
        slots: 75,
        born: 1_765_000_000_000,
    };
    let machines: Vec<Machine> = (0..MACHINES).map(machine).collect();
    let store = Store::new();
    for index in 0..MACHINES {
        store.serve(TcpListener::bind(layout.store(index))?, index);
        store.lag_ms[index].store(250, Ordering::Relaxed);
    }
    store.put("op/config", &config());
    let servers = Servers::new(&record, 10);
    for machine in &machines {
        let server = Server::start(&servers, layout, machine)?;
        store.put(
            &format!("servers/{}", machine.id),
            &server.entry(layout, "ready"),
        );
    }
    std::thread::sleep(Duration::from_millis(500));
    let fleet = Fleet::new(layout, machines, TERMS)?;
    (0..MACHINES).try_for_each(|i| fleet.start(i))?;
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_millis(2_500));
    if trouble {
        for other in 0..OTHER_ENTRIES {
            let ip = layout.ip(100 + other);
            let zone = zones[other % 4].0;
            let entry = format!(
                "{{\"service\":\"log-shipper\",\"address\":\"{ip}:{}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,\
                 \"sequence\":1,\"born\":1765000000000}}",
                layout.port
            );
            store.put(&format!("servers/log-shipper-{other}"), &entry);
        }
        record.add(format!("another writer writes {OTHER_ENTRIES} entries"));
    }
    std::thread::sleep(Duration::from_millis(4_000));

    let until = Instant::now() + Duration::from_millis(RUN_MS);
    let answers: Arc<Mutex<Vec<(usize, u16)>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for node in 0..MACHINES {
        for tenant in 0..TENANTS {
            let (answers, counter, record) = (answers.clone(), counter.clone(), record.clone());
            clients.push(std::thread::spawn(move || {
                send_until(until, layout, node, tenant, &answers, &counter, &record);
            }));
        }
    }
    clients.into_iter().for_each(|c| drop(c.join()));
    drop(fleet);

    // The rule: how often the requests of each tenant are served, and those of all.
    let answers = answers.lock().unwrap().clone();
    let served = |tenant: Option<usize>| {
        let of_tenant = answers
            .iter()
            .filter(|(t, _)| tenant.is_none_or(|wanted| *t == wanted));
        let mut by_status: BTreeMap<u16, u64> = BTreeMap::new();
        of_tenant.for_each(|(_, status)| *by_status.entry(*status).or_default() += 1);
        let asked: u64 = by_status.values().sum();
        let share = by_status.get(&200).copied().unwrap_or_default() as f64 / asked.max(1) as f64;
        (share, by_status)
    };
    let (all, by_status) = served(None);
    let mut lines = vec![format!(
        "all tenants: served {all:.3}, by status {by_status:?}"
    )];
    let mut starved = 0;
    for tenant in 0..TENANTS {
        let (share, by_status) = served(Some(tenant));
        starved += usize::from(share < all / 4.0);
        lines.push(format!(
            "tenant{tenant}: served {share:.3}, by status {by_status:?}"
        ));
    }
    lines.push(format!(
        "{starved} tenants are served less than a quarter as often as all"
    ));
    for line in lines {
        println!("{line}");
        record.add(line);
    }
    record.write(&record_path)?;
    Ok(starved == 0)
}
