//! The cases: each plays its traffic, with the disruption or without, and checks the rule. It
//! returns whether the rule was broken.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::Client;
use crate::client::Request;
use crate::client::Sent;
use crate::record::Record;
use crate::site;
use crate::site::Machine;
use crate::site::Site;

type Outcome = Result<bool, String>;

/// Route to the service `front`: name, prefix, kind, service.
const FRONT: (&str, &str, &str, &str) = ("r-front", "/front/", "idempotent", "front");

/// Routes to the service `back`.
const LOOKUP: (&str, &str, &str, &str) = ("r-lookup", "/lookup/", "idempotent", "back");
const PAY: (&str, &str, &str, &str) = ("r-pay", "/pay/", "non_idempotent", "front");
const CHARGE: (&str, &str, &str, &str) = ("r-charge", "/charge/", "non_idempotent", "back");

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn get(id: String, path: String) -> Request<'static> {
    Request {
        id,
        method: "GET",
        path,
        deadline_ms: 5_000,
        body: &[],
        last: false,
    }
}

fn post<'a>(id: String, path: String, body: &'a [u8]) -> Request<'a> {
    Request {
        method: "POST",
        body,
        ..get(id, path)
    }
}

fn open(machine: &Machine, record: &Arc<Record>) -> Result<Client, String> {
    Client::connect(&machine.outbound(), record).map_err(|e| format!("connect: {e}"))
}

/// Sends a request on a connection of its own.
fn spawn(
    machine: &Arc<Machine>,
    record: &Arc<Record>,
    method: &'static str,
    id: String,
    path: String,
) -> JoinHandle<Result<Sent, String>> {
    let (machine, record) = (machine.clone(), record.clone());
    thread::spawn(move || {
        let mut client = open(&machine, &record)?;
        let request = Request {
            method,
            ..get(id, path)
        };
        Ok(client.exchange(&request))
    })
}

/// LOST: requests that arrive while a node stops, later than 3 s after its SIGTERM.
pub fn stop(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("faisalabad", "back", 90),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], Duration::ZERO)?;
    let outcome = stop_on(&site, trouble);
    site.end();
    outcome
}

fn stop_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let (record, front) = (&site.record, &site.machines[0]);
    // The endpoint beside the stopping node works until 3.8 s after the SIGTERM.
    let mut sent = Vec::new();
    for n in 0..3 {
        sent.push(spawn(front, record, "GET", format!("early-{n}"), format!("/front/w4300/{n}")));
    }
    sleep_ms(500);
    let stopped = record.now();
    if trouble {
        site.terminate(front);
    }
    // The platform asks once a second. The zone has one node, so that its clients are not sent
    // elsewhere.
    for _ in 0..3 {
        sleep_ms(1_000);
        record.line(&format!("ready page of the node: {}", site.is_ready(front)));
    }
    let wait = (stopped + 3_200).saturating_sub(record.now());
    sleep_ms(wait);
    for n in 0..4 {
        sent.push(spawn(front, record, "GET", format!("lookup-{n}"), format!("/lookup/w2550/{n}")));
        sent.push(spawn(front, record, "POST", format!("charge-{n}"), format!("/charge/w2550/{n}")));
        sleep_ms(30);
    }
    let mut lost = 0;
    for handle in sent {
        let sent = match handle.join().map_err(|_| "a client failed")? {
            Ok(sent) => sent,
            // Not accepted: the client knows that nothing was read.
            Err(e) => {
                record.line(&format!("a request was not sent: {e}"));
                continue;
            }
        };
        let runs = record.runs_of(&sent.id);
        let cut = sent.status.is_none() && sent.ended < sent.sent + 5_000;
        let excused = sent.sent <= stopped + 3_000;
        if cut && !excused && !runs.is_empty() {
            lost += 1;
            let at = sent.ended - stopped;
            let after = sent.sent - stopped;
            record.line(&format!(
                "LOST: {} was sent {after} ms after the SIGTERM, ran at {}, and its connection \
                 ended without an answer {at} ms after the SIGTERM",
                sent.id, runs[0].endpoint
            ));
        }
    }
    record.line(&format!("requests lost: {lost}; the rule allows none"));
    Ok(lost > 0)
}

/// GONE: clients leave that had said that their request is the last of its connection.
pub fn leave(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("lahore", "back", 12),
        ("faisalabad", "back", 12),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], Duration::ZERO)?;
    let kept = leave_on(&site, trouble, false);
    let closing = leave_on(&site, trouble, true);
    site.end();
    Ok(kept? | closing?)
}

/// Clients of one part of the case; one in [`LEAVER_PERIOD`] leaves, a share of 0.2.
const CLIENTS: usize = 80;
const LEAVER_PERIOD: usize = 5;

/// Time after which they leave, and the time that a run takes.
const LEAVE_MS: u64 = 300;
const RUN_MS: u64 = 1_000;

/// More than a few requests.
const FEW: usize = 5;

fn leave_on(site: &Arc<Site>, trouble: bool, last: bool) -> Outcome {
    let record = &site.record;
    let part = if last { "with Connection: close" } else { "without Connection: close" };
    record.line(&format!("{CLIENTS} requests, each on its own connection, {part}"));
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let machine = site.machines[n % 2].clone();
        let record = record.clone();
        clients.push(thread::spawn(move || -> Result<Option<(String, u64)>, String> {
            let name = if last { "last" } else { "kept" };
            let request = Request {
                last,
                ..get(format!("{name}-{n}"), format!("/lookup/w{RUN_MS}/{n}"))
            };
            let mut client = open(&machine, &record)?;
            let sent = client.send(&request).map_err(|e| e.to_string())?;
            if !trouble || n % LEAVER_PERIOD != 0 {
                client.receive(&request, sent, Duration::from_millis(5_000));
                return Ok(None);
            }
            sleep_ms(LEAVE_MS);
            drop(client);
            record.line(&format!("request {}: the client has closed its connection", request.id));
            Ok(Some((request.id, record.now())))
        }));
    }
    let clients: Vec<_> = clients.into_iter().map(|h| h.join().expect("a client")).collect();
    sleep_ms(2_500);
    let (mut late, mut lasting, mut at_work) = (0, 0, 0);
    for client in clients {
        let Some((id, closed)) = client? else { continue };
        for run in record.runs_of(&id) {
            late += usize::from(run.reached > closed + 500);
            // Those that run when the client leaves would last more than half a second longer.
            if run.reached <= closed && run.reached + RUN_MS > closed + 500 {
                lasting += 1;
                at_work += usize::from(run.ended.is_none_or(|ended| ended > closed + 500));
            }
        }
    }
    record.line(&format!(
        "{part}: {late} requests reached an endpoint more than 0.5 s after their client had \
         closed its connection; endpoints were still at work 0.5 s after it on {at_work} of \
         {lasting} requests that would have lasted so long"
    ));
    Ok(late > FEW || at_work * 4 > lasting)
}

/// Requests with a long body at once.
const LONG_REQUESTS: usize = 14;

/// Length of a long body; the configuration allows 64 MB.
const LONG_BODY: usize = 9 * 1024 * 1024;

/// Length of the body of the same request without the disruption.
const SHORT_BODY: usize = 1_800;

/// LOST: some clients send long bodies at once; the platform kills a process that exceeds its
/// memory.
pub fn memory(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("lahore", "back", 90),
        ("faisalabad", "back", 90),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, PAY], Duration::ZERO)?;
    let outcome = memory_on(&site, trouble);
    site.end();
    outcome
}

fn memory_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let record = &site.record;
    let ended = Arc::new(AtomicBool::new(false));
    let killed = Arc::new(AtomicU64::new(0));
    let watch = {
        let (site, ended, killed) = (site.clone(), ended.clone(), killed.clone());
        thread::spawn(move || watch_memory(&site, &ended, &killed))
    };
    let body = Arc::new(vec![b'x'; if trouble { LONG_BODY } else { SHORT_BODY }]);
    let mut clients = Vec::new();
    for n in 0..LONG_REQUESTS {
        let (machine, record, body) = (site.machines[0].clone(), record.clone(), body.clone());
        clients.push(thread::spawn(move || -> Result<Sent, String> {
            let mut client = open(&machine, &record)?;
            let first = client.exchange(&get(format!("first-{n}"), format!("/lookup/w20/{n}")));
            if first.status != Some(200) {
                return Err(format!("the first request {n} of a connection has failed"));
            }
            sleep_ms(200 * n as u64);
            Ok(client.exchange(&post(format!("long-{n}"), format!("/pay/w3000/{n}"), &body)))
        }));
    }
    let mut lost = 0;
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")??;
        let runs = record.runs_of(&sent.id);
        let cut = sent.status.is_none() && sent.ended < sent.sent + 5_000;
        if cut && !runs.is_empty() {
            lost += 1;
            record.line(&format!(
                "LOST: {} was passed on to endpoint {} from a kept connection, which ended \
                 without an answer",
                sent.id, runs[0].endpoint
            ));
        }
    }
    ended.store(true, Ordering::SeqCst);
    let peaks: Vec<u64> = watch.join().map_err(|_| "the watch failed")?;
    record.line(&format!("most resident memory of the nodes, in MB: {peaks:?}"));
    let killed = killed.load(Ordering::SeqCst);
    record.line(&format!(
        "processes killed for exceeding {} MB: {killed}; requests lost: {lost}, the rule allows 3",
        site::MEMORY_MB
    ));
    Ok(lost > 3)
}

/// Kills each node that exceeds its memory, as the platform does, and starts it again. Returns the
/// most resident memory of each node in MB.
fn watch_memory(site: &Site, ended: &AtomicBool, killed: &AtomicU64) -> Vec<u64> {
    let mut peaks = vec![0; site.machines.len()];
    while !ended.load(Ordering::SeqCst) {
        for (machine, peak) in site.machines.iter().zip(&mut peaks) {
            let Some(pid) = machine.pid() else { continue };
            let mb = site::resident_kb(pid) / 1024;
            *peak = mb.max(*peak);
            if mb > site::MEMORY_MB {
                site.record.line(&format!(
                    "the node of machine {} holds {mb} MB of {}: killed and started again",
                    machine.ip,
                    site::MEMORY_MB
                ));
                killed.fetch_add(1, Ordering::SeqCst);
                site.kill(machine);
                sleep_ms(300);
                let _ = site.start_node(machine);
            }
        }
        sleep_ms(2);
    }
    peaks
}

/// Age of serializable reads, which "may be seconds old".
const STALE: Duration = Duration::from_millis(3_000);

/// DRAIN: the open connections to the store go silent; later an endpoint with little traffic
/// leaves.
pub fn drain(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("lahore", "back", 90),
        ("faisalabad", "back", 90),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], STALE)?;
    let outcome = drain_on(&site, trouble);
    site.end();
    outcome
}

fn drain_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let record = &site.record;
    // The list and the entries must be older than the stale reads.
    sleep_ms(STALE.as_millis() as u64 + 2_000);
    if trouble {
        let silent = site.store.silence_open_connections();
        record.line(&format!("{silent} connections to the store are silent from now on"));
    }
    sleep_ms(site::STABLE_WINDOW_MS + 1_000);
    let mut reached = 0;
    let mut clients = Vec::new();
    let leaving = site.machines[2].clone();
    let mut client = open(&leaving, record)?;
    client.exchange(&get("before".to_owned(), "/lookup/w20/0".to_owned()));
    sleep_ms(200);
    site.drain(&leaving);
    let acknowledged = record.now();
    sleep_ms(site::DRAIN_MS + 150);
    for n in 0..6 {
        let machine = &site.machines[2];
        clients.push(spawn(machine, record, "GET", format!("after-{n}"), format!("/lookup/w20/{n}")));
        sleep_ms(100);
    }
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")??;
        for run in record.runs_of(&sent.id) {
            let after = run.reached - acknowledged;
            if run.endpoint == leaving.endpoint.incarnation().id && after > site::DRAIN_MS {
                reached += 1;
                record.line(&format!(
                    "DRAIN: {} reached endpoint {} {after} ms after the acknowledgement",
                    sent.id, run.endpoint
                ));
            }
        }
    }
    record.line(&format!("requests that reached the leaving endpoint too late: {reached}"));
    Ok(reached > 0)
}

/// Requests of the case, and the length of their bodies; the configuration allows 64 MB.
const DENIED_REQUESTS: usize = 10;
const DENIED_BODY: usize = 20 * 1024 * 1024;

/// DENIED: bodies within the limit of the configuration are rejected for good.
pub fn denied(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [("lahore", "front", 90), ("faisalabad", "back", 90)];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], Duration::ZERO)?;
    let outcome = denied_on(&site, trouble);
    site.end();
    outcome
}

fn denied_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let record = &site.record;
    let body = vec![b'x'; if trouble { DENIED_BODY } else { SHORT_BODY }];
    let mut denied = 0;
    for n in 0..DENIED_REQUESTS {
        let mut client = open(&site.machines[0], record)?;
        let sent = client.exchange(&post(format!("post-{n}"), format!("/charge/w20/{n}"), &body));
        let own = record.runs_of(&sent.id).is_empty();
        denied += usize::from(own && sent.status.is_some_and(|s| (300..500).contains(&s)));
        sleep_ms(200);
    }
    record.line(&format!("requests denied: {denied}; the rule allows 5 + one in 500"));
    Ok(denied > 5)
}

/// Poison requests of the case, and the time between them.
const POISON_REQUESTS: usize = 10;
const POISON_PERIOD_MS: u64 = 4_000;

/// BUDGET: a request crashes the endpoints that run it, and comes again.
pub fn poison(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("lahore", "back", 90),
        ("faisalabad", "back", 90),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], Duration::ZERO)?;
    let outcome = poison_on(&site, trouble);
    site.end();
    outcome
}

fn poison_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let record = &site.record;
    let mut crashes = Vec::new();
    let mut late = 0;
    for n in 0..POISON_REQUESTS {
        let machine = &site.machines[n % 2];
        let path = if trouble { "/lookup/w30/poison/1" } else { "/lookup/w30/1" };
        let id = format!("again-{n}");
        let sent = record.now();
        let client = spawn(machine, record, "GET", id.clone(), path.to_owned());
        sleep_ms(1_500);
        let other = spawn(machine, record, "GET", format!("other-{n}"), format!("/lookup/w30/{n}"));
        sleep_ms(POISON_PERIOD_MS - 1_500);
        client.join().map_err(|_| "a client failed")??;
        other.join().map_err(|_| "a client failed")??;
        let runs = record.runs_of(&id);
        let third = crashes.get(2).is_some_and(|at| sent > at + site::STABLE_WINDOW_MS);
        if trouble && third && !runs.is_empty() {
            late += 1;
            record.line(&format!(
                "BUDGET: {id} reached {} endpoints, after it had crashed {}",
                runs.len(),
                crashes.len()
            ));
        }
        crashes.extend(runs.iter().map(|run| run.reached));
    }
    record.line(&format!(
        "retries that reached endpoints more than 3 s after the third crash: {late}, the rule \
         allows 3"
    ));
    Ok(late > 3)
}

/// Clients that read slowly, the time for which they do not read, the length of their answers and
/// the size of their receive buffers in bytes.
const SLOW_READERS: usize = 10;
const PAUSE_MS: u64 = 4_000;
const SLOW_BODY: usize = 30_000;
const RECEIVE_BUFFER: i32 = 4_096;

/// LOST: clients read their answers slowly.
pub fn slow(record: &Arc<Record>, trouble: bool) -> Outcome {
    let places = [
        ("lahore", "front", 90),
        ("faisalabad", "front", 90),
        ("lahore", "back", 90),
        ("faisalabad", "back", 90),
    ];
    let site = Site::start(record, &places, &[FRONT, LOOKUP, CHARGE], Duration::ZERO)?;
    let outcome = slow_on(&site, trouble);
    site.end();
    outcome
}

fn slow_on(site: &Arc<Site>, trouble: bool) -> Outcome {
    let record = &site.record;
    let mut clients = Vec::new();
    for n in 0..SLOW_READERS {
        let (machine, record) = (site.machines[n % 2].clone(), record.clone());
        clients.push(thread::spawn(move || -> Result<Sent, String> {
            let mut client = Client::connect_with_buffer(&machine.outbound(), &record, RECEIVE_BUFFER)
                .map_err(|e| format!("connect: {e}"))?;
            let first = client.exchange(&get(format!("first-{n}"), format!("/lookup/w20/{n}")));
            if first.status != Some(200) {
                return Err(format!("the first request {n} of a connection has failed"));
            }
            let request = get(format!("slow-{n}"), format!("/lookup/w50/b{SLOW_BODY}/{n}"));
            let sent = client.send(&request).map_err(|e| e.to_string())?;
            if trouble {
                sleep_ms(PAUSE_MS);
                record.line(&format!("request {}: the client begins to read", request.id));
            }
            let left = (sent + 5_000).saturating_sub(record.now());
            Ok(client.receive(&request, sent, Duration::from_millis(left)))
        }));
    }
    let mut lost = 0;
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")??;
        let runs = record.runs_of(&sent.id);
        let finished = runs.iter().any(|run| run.finished);
        if sent.status.is_none() && sent.ended < sent.sent + 5_000 && finished {
            lost += 1;
            record.line(&format!(
                "LOST: {} ran at endpoint {}, and its kept connection was reset {} ms after it \
                 was sent, before its deadline of 5000 ms",
                sent.id,
                runs[0].endpoint,
                sent.ended - sent.sent
            ));
        }
    }
    record.line(&format!("requests lost: {lost}; the rule allows 3"));
    Ok(lost > 3)
}
