//! Stand-in for the platform's store: reads and watches over HTTP, writes by the script.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// Time that the store takes for an answer ("4 ms an answer").
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Items = BTreeMap<String, (String, u64)>;

#[derive(Default)]
struct State {
    revision: u64,
    items: Items,
    events: Vec<(String, Option<String>, u64)>,
    snapshots: Vec<(Instant, u64, Items)>,
    /// Connections with a number below this one are silent.
    silent_below: u64,
    connections: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Age of what serializable reads return.
    stale: Duration,
}

impl Store {
    pub fn start(address: &str, stale: Duration) -> std::io::Result<Arc<Store>> {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            stale,
        });
        let listener = TcpListener::bind(address)?;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                let number = {
                    let mut state = store.state.lock().unwrap();
                    state.connections += 1;
                    state.connections
                };
                thread::spawn(move || store.serve(stream, number));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, json: &str) {
        self.write(key, Some(base64(json.as_bytes())));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => drop(state.items.insert(key.to_owned(), (value.clone(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.events.push((key.to_owned(), value, revision));
        let items = state.items.clone();
        state.snapshots.push((Instant::now(), revision, items));
        self.changed.notify_all();
    }

    /// All connections that are open now stay open and answer nothing more. New ones work.
    pub fn silence_open_connections(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.silent_below = state.connections + 1;
        self.changed.notify_all();
        state.connections
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.state.lock().unwrap().silent_below
    }

    fn serve(&self, mut stream: TcpStream, number: u64) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some((head, _)) = http::read_message(&mut stream, &mut buf) {
            let target = head.first.get(1).cloned().unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect();
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.respond(path, &query, number);
            if self.is_silent(number) {
                // Keeps the connection open without a word.
                loop {
                    thread::sleep(Duration::from_secs(60));
                }
            }
            let answer = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, path: &str, query: &BTreeMap<String, String>, conn: u64) -> (u16, String) {
        let text = |name: &str| query.get(name).map_or("", String::as_str);
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/-/kv-key" => self.item(text("key")),
            "/-/kv-range" => self.range(text("path_prefix"), query.contains_key("serializable")),
            "/-/kv-watch" => {
                self.watch(text("path_prefix"), number("after"), number("wait_ms"), conn)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let revision = state.revision;
        match state.items.get(key) {
            Some((value, at)) => {
                let item = item_json(key, value, *at);
                let item = item.trim_end_matches('}');
                (200, format!("{item},\"store_revision\":{revision}}}"))
            }
            None => (404, format!("{{\"store_revision\":{revision}}}")),
        }
    }

    fn range(&self, prefix: &str, serializable: bool) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let aged = |(at, ..): &&(Instant, u64, Items)| at.elapsed() >= self.stale;
        let old = state.snapshots.iter().rev().find(aged);
        let (revision, items) = match old {
            Some((_, revision, items)) if serializable => (*revision, items),
            _ => (state.revision, &state.items),
        };
        let items: Vec<String> = items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix))
            .map(|(key, (value, at))| item_json(key, value, *at))
            .collect();
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64, conn: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(key, _, at)| *at > after && key.starts_with(prefix))
                .map(|(key, value, at)| match value {
                    Some(value) => item_json(key, value, *at),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || conn < state.silent_below {
                let revision = state.revision;
                let events = events.join(",");
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return (200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\
         \"created_at\":{revision},\"lease\":0}}"
    )
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let word = group.iter().fold(0u32, |word, &b| word << 8 | u32::from(b));
        let word = word << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
