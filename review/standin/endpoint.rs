//! Stand-in for an application endpoint: runs requests for the time that their path states.

use std::io::ErrorKind;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;

/// Idle time after which the endpoint closes a connection, as its answers state.
const KEEP_ALIVE_S: u64 = 10;

/// Time between two checks whether the connection of a running request is still open.
const CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Time after which an endpoint that has crashed is back.
const DOWN_TIME: Duration = Duration::from_millis(2_000);

/// One start of an endpoint.
#[derive(Clone)]
pub struct Incarnation {
    pub id: String,
    pub born: u128,
}

pub struct Endpoint {
    address: String,
    name: String,
    pub slots: usize,
    /// Whether the endpoint is leaving: its answers bear `Connection: close`.
    pub leaving: AtomicBool,
    pub crashed: AtomicBool,
    incarnations: Mutex<Vec<Incarnation>>,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Endpoint {
    pub fn start(
        address: &str,
        name: &str,
        slots: usize,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Endpoint>> {
        let endpoint = Arc::new(Endpoint {
            address: address.to_owned(),
            name: name.to_owned(),
            slots,
            leaving: AtomicBool::new(false),
            crashed: AtomicBool::new(false),
            incarnations: Mutex::default(),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address)?;
        endpoint.begin();
        let server = endpoint.clone();
        thread::spawn(move || server.accept(listener));
        Ok(endpoint)
    }

    /// Begins an incarnation, with an id of its own.
    fn begin(&self) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("the time").as_millis();
        let mut incarnations = self.incarnations.lock().unwrap();
        let id = format!("{}{:02x}", self.name, incarnations.len());
        incarnations.push(Incarnation { id, born });
    }

    pub fn incarnation(&self) -> Incarnation {
        self.incarnations.lock().unwrap().last().expect("an incarnation").clone()
    }

    /// Accepts connections. A crash closes the port and all connections; after [`DOWN_TIME`] the
    /// endpoint is back as another incarnation.
    fn accept(self: &Arc<Endpoint>, mut listener: TcpListener) {
        loop {
            let _ = listener.set_nonblocking(true);
            while !self.crashed.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                self.connections.lock().unwrap().extend(stream.try_clone());
                let endpoint = self.clone();
                thread::spawn(move || endpoint.serve(stream));
            }
            drop(listener);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN_TIME);
            listener = loop {
                match TcpListener::bind(&self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.begin();
            self.crashed.store(false, Ordering::SeqCst);
            self.record.line(&format!("endpoint {} is back", self.incarnation().id));
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        loop {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(KEEP_ALIVE_S)));
            let Some((head, true)) = http::read_message(&mut stream, &mut buf) else {
                return;
            };
            let Some(answer) = self.respond(&head, &stream) else {
                return;
            };
            let leaving = self.leaving.load(Ordering::SeqCst);
            if stream.write_all(answer.as_bytes()).is_err() || leaving {
                return;
            }
        }
    }

    /// Returns the answer to a request, or `None` if its connection was closed meanwhile.
    fn respond(&self, head: &http::Head, stream: &TcpStream) -> Option<String> {
        let id = head.header("Dragonflylead-Request-Id").unwrap_or_default();
        let expected = head.header("Dragonflylead-Target-Instance");
        let own = self.incarnation().id;
        if expected.is_some_and(|expected| expected != own) {
            let instance = format!("Dragonflylead-Instance-Id: {own}\r\n");
            return Some(self.answer(421, id, &instance, ""));
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return Some(self.answer(503, id, "Dragonflylead-Not-Executed: 1\r\n", ""));
        }
        let run = self.record.run_started(id, &own);
        let path = &head.first[1];
        if path.contains("/poison/") {
            self.record.line(&format!("endpoint {own} crashes"));
            self.crashed.store(true, Ordering::SeqCst);
        }
        let finished = work(work_time(path), stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.record.run_ended(run, finished);
        let signature = format!("Dragonflylead-Response-Signature: 1.{own}.{id}\r\n");
        let body = format!("body of {id}\n{}", "x".repeat(body_len(path)));
        finished.then(|| self.answer(200, id, &signature, &body))
    }

    fn answer(&self, status: u16, id: &str, headers: &str, body: &str) -> String {
        let connection = match self.leaving.load(Ordering::SeqCst) {
            true => "Connection: close\r\n".to_owned(),
            false => format!("Keep-Alive: timeout={KEEP_ALIVE_S}\r\n"),
        };
        let running = self.running.load(Ordering::SeqCst);
        format!(
            "HTTP/1.1 {status} Status\r\nDragonflylead-Request-Id: {id}\r\n{headers}\
             Dragonflylead-Server-Load: {running},0,{}\r\n{connection}Content-Length: {}\r\n\r\n\
             {body}",
            self.slots,
            body.len()
        )
    }
}

/// Returns the number after `mark` in a part of the path.
fn number(path: &str, mark: char) -> Option<u64> {
    path.split('/').find_map(|part| part.strip_prefix(mark)?.parse().ok())
}

/// Returns the time stated by the path: `/back/w2500/7` takes 2500 ms.
fn work_time(path: &str) -> Duration {
    Duration::from_millis(number(path, 'w').unwrap_or(20))
}

/// Returns the length of the answer stated by the path: `/back/b70000/7` has 70,000 bytes.
fn body_len(path: &str) -> usize {
    number(path, 'b').unwrap_or(0) as usize
}

/// Works for `time`. Returns false as soon as the connection is closed: most endpoints drop a
/// request then.
fn work(time: Duration, stream: &TcpStream) -> bool {
    let until = Instant::now() + time;
    let _ = stream.set_read_timeout(Some(CHECK_PERIOD));
    while Instant::now() < until {
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(CHECK_PERIOD),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => (),
            Err(_) => return false,
        }
    }
    true
}
