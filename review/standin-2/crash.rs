//! Three servers of a service crash at the same time. See `review/7/claim.txt`.

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

const MACHINES: usize = 22;
/// Servers that crash: 3 of 22 are a share of 0.136.
const CRASHED: [usize; 3] = [3, 8, 13];
const CRASH_MS: u64 = 4_500;
/// Work of a request, as of the kind `pasture-rights`.
const WORK_MS: u64 = 600;
/// Clients of each machine that look up the calendar, and those that look up rights of their own.
const CALENDAR_CLIENTS: usize = 9;
const RIGHTS_CLIENTS: usize = 2;
/// Pause of a client between two requests.
const PAUSE_MS: u64 = 10;
/// Time from the return of the servers to the steady state: `stable_window_ms` and the cold start.
const SETTLE_MS: u64 = 8_000;
const STEADY_MS: u64 = 12_000;

const TERMS: &str = "terms.bounds.addr_reuse_s=2\nterms.bounds.stable_window_ms=4000\n\
    terms.bounds.drain_ms=3000\nterms.bounds.grace_s=6\nterms.bounds.config_apply_ms=3000\n\
    terms.bounds.retry_budget_ratio=0.2\nterms.bounds.retry_window_s=10\n\
    terms.bounds.retry_budget_slack=104\nterms.bounds.recovery_s=15\n";

fn config(version: u32, routes: &[&str]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|r| {
            format!("[\"r-{r}\",\"a.example\",\"/{r}/\",\"idempotent\",6000,1500,2,\"pastures\",2]")
        })
        .collect();
    format!(
        "{{\"version\":\"{version:08x}\",\"routes\":{{\"columns\":[\"name\",\"host\",\
         \"path_prefix\",\"kind\",\"timeout_ms\",\"target_latency_ms\",\"priority\",\"service\",\
         \"max_attempts\"],\"rows\":[{}]}},\"services\":{{\"columns\":[\"name\",\
         \"health_check_path\",\"max_connections\"],\"rows\":[[\"pastures\",\"/health\",700]]}},\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        rows.join(",")
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

/// A request with its path, when it was sent, and its status.
type Answers = Mutex<Vec<(&'static str, u64, u16)>>;

/// Looks up one route at one node until `stop` is set.
fn look_up(
    stop: &AtomicBool,
    layout: Layout,
    node: usize,
    client: u64,
    route: &'static str,
    answers: &Answers,
    counter: &AtomicU64,
    record: &Record,
) {
    // The clients are out of step.
    std::thread::sleep(Duration::from_millis(client * 37 % (WORK_MS + PAUSE_MS)));
    let mut conn: Option<Conn> = None;
    while !stop.load(Ordering::Relaxed) {
        let number = counter.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        // All clients look up the same calendar, and each its own rights.
        let path = match route {
            "calendar" => "/calendar/season".to_owned(),
            _ => format!("/{route}/{id}"),
        };
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: a.example\r\nDragonflylead-Request-Id: {id}\r\n\
             Dragonflylead-Deadline-Ms: 6000\r\n\r\n"
        );
        if conn.is_none() {
            conn = TcpStream::connect(layout.outbound(node))
                .ok()
                .map(Conn::new);
        }
        let at = record.now();
        let (status, wait) = match conn.as_mut().map(|c| call(c, &head, b"")) {
            Some(Ok((status, headers, _))) => {
                let wait = header(&headers, "retry-after").and_then(|v| v.parse().ok());
                (status, wait.unwrap_or(0.0))
            }
            _ => {
                conn = None;
                (0, 0.0)
            }
        };
        record.add(format!(
            "sent {id} {path} at {at} at node {node}, answered {status}"
        ));
        answers.lock().unwrap().push((route, at, status));
        std::thread::sleep(Duration::from_millis(PAUSE_MS) + Duration::from_secs_f64(wait));
    }
}

fn run() -> io::Result<bool> {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record_path = std::env::args().nth(1).unwrap_or("record.txt".to_owned());
    let record = Record::new();
    let layout = Layout::find()?;
    let zones = [
        ("sur-a", "sur"),
        ("centro-a", "centro"),
        ("sur-b", "sur"),
        ("centro-b", "centro"),
        ("sur-c", "sur"),
        ("centro-c", "centro"),
    ];
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|index| Machine {
            index,
            zone: zones[index % 6].0.to_owned(),
            region: zones[index % 6].1.to_owned(),
            service: "pastures".to_owned(),
            id: format!("i-{:08x}", 0x51ac_0017u32.wrapping_mul(index as u32 + 3)),
            slots: 100,
            born: 1_765_000_000_000,
        })
        .collect();
    let store = Store::new();
    for index in 0..MACHINES {
        store.serve(TcpListener::bind(layout.store(index))?, index);
        store.lag_ms[index].store(250, Ordering::Relaxed);
    }
    store.put("op/config", &config(7, &["rights"]));
    let servers = Servers::new(&record, WORK_MS);
    let mut started = Vec::new();
    for machine in &machines {
        let server = Server::start(&servers, layout, machine)?;
        store.put(
            &format!("servers/{}", machine.id),
            &server.entry(layout, "ready"),
        );
        started.push(server);
    }
    std::thread::sleep(Duration::from_millis(500));
    let fleet = Fleet::new(layout, machines.clone(), TERMS)?;
    (0..MACHINES).try_for_each(|i| fleet.start(i))?;
    fleet.wait_ready()?;
    std::thread::sleep(Duration::from_millis(1_000));
    store.put("op/config", &config(11, &["rights", "calendar"]));
    record.add("the operator adds the route of the calendar".to_owned());
    std::thread::sleep(Duration::from_millis(3_500));

    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Answers> = Arc::default();
    let counter = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for node in 0..MACHINES {
        for client in 0..CALENDAR_CLIENTS + RIGHTS_CLIENTS {
            let route = if client < CALENDAR_CLIENTS {
                "calendar"
            } else {
                "rights"
            };
            let (stop, answers, counter) = (stop.clone(), answers.clone(), counter.clone());
            let record = record.clone();
            let number = (node * (CALENDAR_CLIENTS + RIGHTS_CLIENTS) + client) as u64;
            clients.push(std::thread::spawn(move || {
                look_up(
                    &stop, layout, node, number, route, &answers, &counter, &record,
                );
            }));
        }
    }
    std::thread::sleep(Duration::from_millis(5_000));
    let crashed_at = record.now();
    if trouble {
        record.add(format!("the servers beside nodes {CRASHED:?} crash"));
        let crashed = CRASHED.map(|i| &started[i]);
        Server::end_together(&crashed, layout);
    }
    let back = Instant::now() + Duration::from_millis(CRASH_MS);
    std::thread::sleep(back - Instant::now());
    if trouble {
        for &index in &CRASHED {
            store.remove(&format!("servers/{}", machines[index].id));
            let machine = Machine {
                id: format!("i-{:08x}", 0x7c03_0017u32.wrapping_mul(index as u32 + 3)),
                born: 1_765_000_030_000,
                ..machines[index].clone()
            };
            let server = Server::start(&servers, layout, &machine)?;
            store.put(
                &format!("servers/{}", machine.id),
                &server.entry(layout, "ready"),
            );
            started[index] = server;
        }
        record.add("the servers are back".to_owned());
    }
    std::thread::sleep(Duration::from_millis(SETTLE_MS));
    let steady_from = record.now();
    record.add("steady state begins".to_owned());
    std::thread::sleep(Duration::from_millis(STEADY_MS));
    let steady_until = record.now();
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let alive = (0..MACHINES).all(|i| !fleet.has_ended(i));
    drop(fleet);

    // The rule: of the requests in the steady state, how often each route is served.
    let answers = answers.lock().unwrap().clone();
    let mut lines = Vec::new();
    let mut share = |route: &str, what: &str, from: u64, until: u64| {
        let of_route = answers
            .iter()
            .filter(|(r, at, _)| *r == route && (from..until).contains(at));
        let mut by_status: BTreeMap<u16, u64> = BTreeMap::new();
        of_route.for_each(|(_, _, status)| *by_status.entry(*status).or_default() += 1);
        let asked: u64 = by_status.values().sum();
        let served = by_status.get(&200).copied().unwrap_or_default() as f64 / asked.max(1) as f64;
        lines.push(format!(
            "{what}: {route} asked {asked}, by status {by_status:?}"
        ));
        (asked, served)
    };
    share("calendar", "before", 0, crashed_at);
    share("rights", "before", 0, crashed_at);
    let added = share("calendar", "steady state", steady_from, steady_until);
    let first = share("rights", "steady state", steady_from, steady_until);
    let held = added.0 < 20 || added.1 >= first.1 / 4.0;
    lines.push(format!(
        "in steady state the added route is served {:.3}, the first one {:.3}; all nodes alive: {alive}",
        added.1, first.1
    ));
    for line in lines {
        println!("{line}");
        record.add(line);
    }
    record.write(&record_path)?;
    Ok(held)
}
