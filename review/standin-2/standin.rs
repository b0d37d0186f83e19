//! Stand-ins for the store, the servers and the clients, and the start of the node processes, for
//! the scripts of this review. Standard library only; built by `review/build-2.sh`.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Largest number of machines of a run.
pub const MAX_MACHINES: usize = 24;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Events of a run with their times since its start.
#[derive(Clone)]
pub struct Record {
    pub start: Instant,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: String) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text));
    }

    pub fn write(&self, path: &str) -> io::Result<()> {
        let mut out = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            out.push_str(&format!("{at:>7} {line}\n"));
        }
        fs::write(path, out)
    }
}

/// A request that a stand-in read.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, v)| v.as_str())
}

/// A connection with a read buffer.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 65536];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..n]);
        Ok(())
    }

    /// Reads a head: its first line and its headers.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let mut from = 0;
        let end = loop {
            let at = self.buf[from..].windows(4).position(|w| w == b"\r\n\r\n");
            if let Some(at) = at {
                break from + at;
            }
            from = self.buf.len().saturating_sub(3);
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok((first, headers.collect()))
    }

    pub fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a request; its body has a length or none.
    pub fn request(&mut self) -> io::Result<Request> {
        let (first, headers) = self.head()?;
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let len = find(&headers, "content-length").and_then(|v| v.parse().ok());
        let body = self.exact(len.unwrap_or(0))?;
        Ok(Request {
            method,
            target,
            headers,
            body,
        })
    }

    /// Reads an answer: its status, headers and body.
    pub fn answer(&mut self) -> io::Result<(u16, Vec<(String, String)>, Vec<u8>)> {
        loop {
            let (first, headers) = self.head()?;
            let status: u16 = first
                .split(' ')
                .nth(1)
                .and_then(|s| s.parse().ok())
                .ok_or(io::ErrorKind::InvalidData)?;
            if status / 100 == 1 {
                continue;
            }
            let len = find(&headers, "content-length").and_then(|v| v.parse().ok());
            let body = self.exact(len.unwrap_or(0))?;
            return Ok((status, headers, body));
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn respond(&mut self, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
        let mut out = format!(
            "HTTP/1.1 {status} Status\r\n{headers}Content-Length: {}\r\n\r\n",
            body.len()
        )
        .into_bytes();
        out.extend_from_slice(body);
        self.send(&out)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0u32, |n, b| n << 8 | u32::from(*b));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A change of the store: its time, revision, key, and value unless it removed the item.
#[derive(Clone)]
struct Change {
    at: Instant,
    revision: u64,
    key: String,
    value: Option<String>,
}

/// The platform's store.
pub struct Store {
    changes: Mutex<Vec<Change>>,
    changed: Condvar,
    /// How far the serializable reads of each machine are behind, in milliseconds.
    pub lag_ms: [AtomicU64; MAX_MACHINES],
    /// Whether a machine is cut off: its calls get no answer until the cut ends.
    pub cut: [AtomicBool; MAX_MACHINES],
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            changes: Mutex::default(),
            changed: Condvar::new(),
            lag_ms: std::array::from_fn(|_| AtomicU64::new(0)),
            cut: std::array::from_fn(|_| AtomicBool::new(false)),
        })
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut changes = self.changes.lock().unwrap();
        let revision = changes.len() as u64 + 101;
        changes.push(Change {
            at: Instant::now(),
            revision,
            key: key.to_owned(),
            value,
        });
        self.changed.notify_all();
    }

    /// Serves the node of one machine.
    pub fn serve(self: &Arc<Store>, listener: TcpListener, machine: usize) {
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.request() {
                        std::thread::sleep(Duration::from_millis(4));
                        let (status, body) = store.answer(&request, machine);
                        if store.cut[machine].load(Ordering::Relaxed) {
                            while store.cut[machine].load(Ordering::Relaxed) {
                                std::thread::sleep(Duration::from_millis(20));
                            }
                            return;
                        }
                        let headers = "Content-Type: application/json\r\n";
                        if conn.respond(status, headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
    }

    fn answer(&self, request: &Request, machine: usize) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (unescape(n), unescape(v)))
            .collect();
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
        match path {
            "/-/kv-key" => self.item(text("key")),
            "/-/kv-range" => {
                let lag = match text("serializable") {
                    "1" => self.lag_ms[machine].load(Ordering::Relaxed),
                    _ => 0,
                };
                self.range(text("path_prefix"), Duration::from_millis(lag))
            }
            "/-/kv-watch" => self.watch(text("path_prefix"), number("after"), number("wait_ms")),
            _ => (404, "{}".to_owned()),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let changes = self.changes.lock().unwrap();
        let revision = changes.last().map_or(100, |c| c.revision);
        match changes.iter().rev().find(|c| c.key == key) {
            Some(change) if change.value.is_some() => {
                let mut json = to_json(change);
                json.pop();
                (200, format!("{json},\"store_revision\":{revision}}}"))
            }
            _ => (404, format!("{{\"store_revision\":{revision}}}")),
        }
    }

    fn range(&self, prefix: &str, lag: Duration) -> (u16, String) {
        let changes = self.changes.lock().unwrap();
        let now = Instant::now();
        let mut items: BTreeMap<&str, &Change> = BTreeMap::new();
        let mut revision = 100;
        for change in changes
            .iter()
            .filter(|c| lag.is_zero() || now - c.at >= lag)
        {
            revision = change.revision;
            match change.value {
                Some(_) => drop(items.insert(&change.key, change)),
                None => drop(items.remove(change.key.as_str())),
            }
        }
        let items = items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items: Vec<String> = items.map(|(_, c)| to_json(c)).collect();
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut changes = self.changes.lock().unwrap();
        loop {
            let new = changes.iter().filter(|c| c.revision > after);
            let new = new.filter(|c| c.key.starts_with(prefix));
            let events: Vec<String> = new.map(to_json).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let revision = changes.last().map_or(100, |c| c.revision);
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            changes = self.changed.wait_timeout(changes, until - now).unwrap().0;
        }
    }
}

fn to_json(change: &Change) -> String {
    let (key, revision) = (&change.key, change.revision);
    match &change.value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
             \"created_at\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

/// A machine of the fleet: a node and the server beside it.
#[derive(Clone, Debug)]
pub struct Machine {
    pub index: usize,
    pub zone: String,
    pub region: String,
    pub service: String,
    /// Id of the server beside the node.
    pub id: String,
    pub slots: u32,
    /// Start of the server, in Unix milliseconds.
    pub born: u64,
}

/// Addresses of a run, all in `127.BLOCK.0.0/16`.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    pub block: u8,
    /// First of the ports that are used on each machine.
    pub port: u16,
}

impl Layout {
    /// Finds a block of loopback addresses and ports that are free.
    pub fn find() -> io::Result<Layout> {
        let seed = std::process::id();
        for attempt in 0..200u32 {
            let block = 20 + ((seed + attempt * 7) % 200) as u8;
            let port = 21000 + ((seed * 31 + attempt * 97) % 9000) as u16;
            let layout = Layout { block, port };
            let ports = [0, 1, 2, 3, 10, 25];
            let free = |i| {
                ports
                    .iter()
                    .all(|p| TcpListener::bind((layout.ip(i), port + p)).is_ok())
            };
            if (0..MAX_MACHINES).all(free) {
                return Ok(layout);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    pub fn ip(self, index: usize) -> std::net::Ipv4Addr {
        std::net::Ipv4Addr::new(127, self.block, 0, index as u8 + 1)
    }

    pub fn server(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index).into(), self.port)
    }

    pub fn outbound(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index).into(), self.port + 1)
    }

    pub fn ready(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index).into(), self.port + 2)
    }

    pub fn metrics(self, index: usize) -> SocketAddr {
        SocketAddr::new(self.ip(index).into(), self.port + 25)
    }

    /// Returns the address at which the store serves a machine.
    pub fn store(self, index: usize) -> SocketAddr {
        let ip = std::net::Ipv4Addr::new(127, self.block, 1, index as u8 + 1);
        SocketAddr::new(ip.into(), self.port)
    }
}

/// The node processes. They are killed when the fleet is dropped.
pub struct Fleet {
    pub layout: Layout,
    pub machines: Vec<Machine>,
    pub dir: PathBuf,
    program: PathBuf,
    /// Lines that are added to the settings of each node.
    pub terms: String,
    children: Vec<Mutex<Option<Child>>>,
}

impl Fleet {
    pub fn new(layout: Layout, machines: Vec<Machine>, terms: &str) -> io::Result<Fleet> {
        let dir = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let program = PathBuf::from("target/release/dragonflylead-platform");
        if !program.exists() {
            return Err(io::Error::other(
                "target/release/dragonflylead-platform is not built",
            ));
        }
        Ok(Fleet {
            layout,
            children: machines.iter().map(|_| Mutex::default()).collect(),
            machines,
            dir,
            program,
            terms: terms.to_owned(),
        })
    }

    fn settings(&self, index: usize) -> String {
        let machine = &self.machines[index];
        let (layout, ip) = (self.layout, self.layout.ip(index));
        let zones: BTreeMap<&str, &str> = self
            .machines
            .iter()
            .map(|m| (m.zone.as_str(), m.region.as_str()))
            .collect();
        let zones: String = zones
            .iter()
            .map(|(zone, region)| format!("network.zones.{zone}={region}\n"))
            .collect();
        format!(
            "self.node_name=sidecar-{zone}-{index}\nself.role=node\nself.machine_class=sidecar\n\
             self.serves=sidecar\nself.ip={ip}\nself.zone={zone}\nself.region={region}\n\
             self.in_tolerance=false\nself.bootstrap=true\nself.limits.cpu_share=0.5\n\
             self.limits.cpu_cores=1\nself.limits.memory_mb=260\nself.limits.max_fds=4100\n\
             self.limits.link_mbps=200.0\nself.app_addr={server}\nself.service={service}\n\
             network.listen.inbound={ip}:{inbound}\nnetwork.listen.outbound={outbound}\n\
             network.listen.ready={ready}\nnetwork.internal_port_range={first},{last}\n\
             network.seeds=\n{zones}platform.discovery=platform\nplatform.entry=static\n\
             platform.heartbeat_ms=1500\nplatform.platform.address={store}\n\
             platform.platform.form=read\nplatform.platform.reads_per_s=6000\n\
             platform.platform.history_s=20\nplatform.platform.value_bytes=1048576\n{terms}",
            zone = machine.zone,
            region = machine.region,
            service = machine.service,
            server = layout.server(index),
            inbound = layout.port + 3,
            outbound = layout.outbound(index),
            ready = layout.ready(index),
            first = layout.port + 10,
            last = layout.port + 25,
            store = layout.store(index),
            terms = self.terms,
        )
    }

    /// Starts the node of a machine.
    pub fn start(&self, index: usize) -> io::Result<()> {
        let path = self.dir.join(format!("node-{index}.conf"));
        fs::write(&path, self.settings(index))?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("node-{index}.log")))?;
        let child = Command::new(&self.program)
            .env_clear()
            .env("DRAGONFLYLEAD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.children[index].lock().unwrap() = Some(child);
        Ok(())
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(child) = &*self.children[index].lock().unwrap() {
            // SAFETY: `kill` takes plain numbers; the process is a child that was not waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Returns whether the process of a node has ended by itself.
    pub fn has_ended(&self, index: usize) -> bool {
        let mut child = self.children[index].lock().unwrap();
        child
            .as_mut()
            .is_some_and(|c| c.try_wait().ok().flatten().is_some())
    }

    /// Waits until all nodes are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        for index in 0..self.machines.len() {
            while !matches!(get(self.layout.ready(index), "/-/ready"), Ok((200, _))) {
                if Instant::now() > until {
                    return Err(io::Error::other(format!("node {index} is not ready")));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Returns the figure with the label `name` of a node's metrics page.
    pub fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let (_, body) = get(self.layout.metrics(index), "/metrics").ok()?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let label = format!("\"{name}\"");
        let line = body
            .lines()
            .find(|l| !l.starts_with('#') && l.contains(&label))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &self.children {
            if let Some(mut child) = child.lock().unwrap().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        match std::env::var("KEEP").is_ok() {
            true => eprintln!("logs kept in {}", self.dir.display()),
            false => drop(fs::remove_dir_all(&self.dir)),
        }
    }
}

/// Sends a GET on a connection of its own.
pub fn get(address: SocketAddr, path: &str) -> io::Result<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
    stream.set_read_timeout(Some(Duration::from_millis(2000)))?;
    let mut conn = Conn::new(stream);
    conn.send(format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())?;
    let (status, headers, mut body) = conn.answer()?;
    if find(&headers, "content-length").is_none() {
        while conn.fill().is_ok() {}
        body = std::mem::take(&mut conn.buf);
    }
    Ok((status, body))
}

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: u64,
    pub request: String,
    pub server: String,
    pub service: String,
    pub tenant: String,
}

/// What the servers do and saw.
pub struct Servers {
    pub record: Record,
    pub runs: Mutex<Vec<Run>>,
    pub work_ms: AtomicU64,
    /// How requests for a path with `poison` crash the servers that run them.
    pub poison: Poison,
    /// Machines whose servers crashed by such a request and were not started again yet.
    pub crashed: Mutex<Vec<usize>>,
}

/// When a request crashes the server that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Poison {
    Never,
    BeforeTheAnswer,
    /// Once the head and the first half of the body have been sent.
    WithinTheAnswer,
}

impl Servers {
    pub fn new(record: &Record, work_ms: u64) -> Arc<Servers> {
        Servers::with_poison(record, work_ms, Poison::Never)
    }

    pub fn with_poison(record: &Record, work_ms: u64, poison: Poison) -> Arc<Servers> {
        Arc::new(Servers {
            record: record.clone(),
            runs: Mutex::default(),
            work_ms: AtomicU64::new(work_ms),
            poison,
            crashed: Mutex::default(),
        })
    }
}

/// A server process beside a node.
#[derive(Clone)]
pub struct Server {
    pub machine: Machine,
    pub leaving: Arc<AtomicBool>,
    pub gone: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    layout: Layout,
}

impl Server {
    /// Starts a server.
    pub fn start(servers: &Arc<Servers>, layout: Layout, machine: &Machine) -> io::Result<Server> {
        let listener = TcpListener::bind(layout.server(machine.index))?;
        let server = Server {
            machine: machine.clone(),
            leaving: Arc::default(),
            gone: Arc::default(),
            connections: Arc::default(),
            layout,
        };
        let (servers, handle) = (servers.clone(), server.clone());
        std::thread::spawn(move || {
            let running = Arc::new(AtomicUsize::new(0));
            for stream in listener.incoming().flatten() {
                if server.gone.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    server.connections.lock().unwrap().push(clone);
                }
                let (servers, server, running) = (servers.clone(), server.clone(), running.clone());
                std::thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while let Ok(request) = conn.request() {
                        if server.gone.load(Ordering::Relaxed) {
                            return;
                        }
                        if server
                            .respond(&servers, &running, &request, &mut conn)
                            .is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
        Ok(handle)
    }

    fn respond(
        &self,
        servers: &Servers,
        running: &AtomicUsize,
        request: &Request,
        conn: &mut Conn,
    ) -> io::Result<()> {
        let machine = &self.machine;
        let id = request
            .header("Dragonflylead-Request-Id")
            .unwrap_or_default();
        let now_running = running.load(Ordering::Relaxed);
        let closes = self.leaving.load(Ordering::Relaxed);
        let keep = match closes {
            true => "Connection: close\r\n",
            false => "Keep-Alive: timeout=10\r\n",
        };
        let load = format!(
            "Dragonflylead-Server-Load: {now_running},0,{}\r\n{keep}",
            machine.slots
        );
        if request.target == "/health" {
            let headers = format!("Dragonflylead-Instance-Id: {}\r\n{load}", machine.id);
            return conn.respond(if closes { 503 } else { 200 }, &headers, b"");
        }
        if request
            .header("Dragonflylead-Target-Instance")
            .is_some_and(|i| i != machine.id)
        {
            let headers = format!("Dragonflylead-Instance-Id: {}\r\n{load}", machine.id);
            return conn.respond(421, &headers, b"");
        }
        if now_running >= machine.slots as usize {
            let headers = format!("Dragonflylead-Not-Executed: 1\r\n{load}");
            return conn.respond(503, &headers, b"");
        }
        running.fetch_add(1, Ordering::Relaxed);
        let tenant = request
            .header("Dragonflylead-Tenant-Id")
            .unwrap_or_default();
        servers.runs.lock().unwrap().push(Run {
            at: servers.record.now(),
            request: id.to_owned(),
            server: machine.id.clone(),
            service: machine.service.clone(),
            tenant: tenant.to_owned(),
        });
        servers
            .record
            .add(format!("run {id} at {} for tenant {tenant}", machine.id));
        std::thread::sleep(Duration::from_millis(
            servers.work_ms.load(Ordering::Relaxed),
        ));
        running.fetch_sub(1, Ordering::Relaxed);
        if self.gone.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let body = format!("answer to {id}\n");
        let headers = format!(
            "Dragonflylead-Request-Id: {id}\r\nDragonflylead-Response-Signature: s.{id}\r\n{load}"
        );
        if servers.poison != Poison::Never && request.target.contains("poison") {
            let half = &body.as_bytes()[..body.len() / 2];
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n",
                body.len()
            );
            if servers.poison == Poison::WithinTheAnswer {
                conn.send(&[answer.as_bytes(), half].concat())?;
            }
            servers
                .record
                .add(format!("{} crashes while it runs {id}", machine.id));
            servers.crashed.lock().unwrap().push(machine.index);
            self.end(self.layout);
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        conn.respond(200, &headers, body.as_bytes())?;
        match closes {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self, layout: Layout, state: &str) -> String {
        let m = &self.machine;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":1,\
             \"born\":{}}}",
            m.service,
            layout.server(m.index),
            m.zone,
            m.slots,
            m.born
        )
    }

    /// Ends the server: its port is closed, and its connections.
    pub fn end(&self, layout: Layout) {
        Server::end_together(&[self], layout);
    }

    /// Ends servers at the same moment, as a switch or a rack that fails does.
    pub fn end_together(servers: &[&Server], layout: Layout) {
        for server in servers {
            server.gone.store(true, Ordering::Relaxed);
        }
        for server in servers {
            let _ = TcpStream::connect(layout.server(server.machine.index));
        }
        for server in servers {
            for connection in server.connections.lock().unwrap().drain(..) {
                let _ = connection.shutdown(std::net::Shutdown::Both);
            }
        }
    }
}

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at: u64,
    pub answered: u64,
    /// Status of the answer, or 0.
    pub status: u16,
}

/// Sends one request on a connection, and reads its answer.
pub fn call(
    conn: &mut Conn,
    head: &str,
    body: &[u8],
) -> io::Result<(u16, Vec<(String, String)>, Vec<u8>)> {
    let mut out = head.as_bytes().to_vec();
    out.extend_from_slice(body);
    conn.send(&out)?;
    conn.answer()
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    find(headers, name)
}
