//! Logging as JSON lines on standard error or standard output.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use log::SetLoggerError;
use log::kv;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serialize;

/// Key of the request id in records about a single request: `info!(request:% = id; "...")`.
pub const REQUEST_KEY: &str = "request";

/// Log targets of libraries, whose records are logged only from level `warn` on.
const LIBRARY_TARGETS: [&str; 6] = [
    "rocket",
    "hyper",
    "hyper_util",
    "reqwest",
    "jsonrpsee",
    "rustls",
];

/// Fields of every line. Key-values of a record with these keys are ignored.
const RESERVED_FIELDS: [&str; 4] = ["time", "level", "module", "message"];

/// Content of one log line.
#[derive(Debug, Serialize)]
struct LogLine<'a> {
    /// Seconds since the Unix epoch.
    time: f64,
    level: &'static str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Installs a logger that writes records from `level` on to standard error.
///
/// # Errors
///
/// If a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(level);
    for library in LIBRARY_TARGETS {
        dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
    }
    dispatch
        .format(|out, _, record| {
            let text = json_line(record, SystemTime::now());
            out.finish(format_args!("{text}"));
        })
        .chain(std::io::stderr())
        .apply()
}

/// Installs a logger that writes records from `level` on to standard output from a thread of its
/// own, so that a slow reader does not block the threads that log.
///
/// Lines that exceed the buffer are dropped and counted. The returned guard writes the remaining
/// lines when it is dropped.
///
/// # Errors
///
/// If a logger is already installed.
pub fn init_stdout(level: LevelFilter) -> Result<FlushGuard, SetLoggerError> {
    let lines = Arc::new(LineBuffer::default());
    let sink = lines.clone();
    let mut dispatch = fern::Dispatch::new().level(level);
    for library in LIBRARY_TARGETS {
        dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            let about_request = record
                .key_values()
                .get(Key::from_str(REQUEST_KEY))
                .is_some();
            sink.push(about_request, || json_line(record, SystemTime::now()));
        }))
        .apply()?;
    let flushed = lines.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            flushed.flush();
        }
    });
    Ok(FlushGuard(lines))
}

/// Time between two writes of the buffered lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum size of one write, in bytes. A pipe accepts a write of up to 4096 bytes atomically.
const WRITE_CHUNK_BYTES: usize = 4_000;

/// Size of the buffer above which lines are dropped, in bytes.
const MAX_PENDING_BYTES: usize = 512 * 1024;

/// Maximum number of lines about single requests per flush interval. Other lines are not limited by
/// it.
const MAX_REQUEST_LINES_PER_FLUSH: usize = 250;

/// Writes the remaining buffered lines when it is dropped.
#[derive(Debug)]
pub struct FlushGuard(Arc<LineBuffer>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Buffer of formatted lines, shared by the threads that log and the one that writes.
#[derive(Debug, Default)]
struct LineBuffer(Mutex<PendingLines>);

#[derive(Debug, Default)]
struct PendingLines {
    text: String,
    request_lines: usize,
    dropped: u64,
}

impl LineBuffer {
    fn push<F>(&self, about_request: bool, line: F)
    where
        F: FnOnce() -> String,
    {
        let mut pending = self.0.lock().unwrap_or_else(|p| p.into_inner());
        let full = pending.text.len() >= MAX_PENDING_BYTES;
        if full || (about_request && pending.request_lines >= MAX_REQUEST_LINES_PER_FLUSH) {
            pending.dropped += 1;
            return;
        }
        pending.request_lines += usize::from(about_request);
        pending.text.push_str(&line());
        pending.text.push('\n');
    }

    fn flush(&self) {
        let pending = {
            let mut pending = self.0.lock().unwrap_or_else(|p| p.into_inner());
            std::mem::take(&mut *pending)
        };
        let mut text = pending.text;
        if pending.dropped > 0 {
            let dropped = pending.dropped;
            text.push_str(&format!(
                "{{\"message\":\"log lines dropped\",\"lines\":{dropped}}}\n"
            ));
        }
        write_stdout(text.as_bytes());
    }
}

/// Writes to standard output in chunks that a pipe accepts atomically.
fn write_stdout(text: &[u8]) {
    let mut out = std::io::stdout().lock();
    for chunk in text.chunks(WRITE_CHUNK_BYTES) {
        let written = out.write_all(chunk).and_then(|()| out.flush());
        if written.is_err() {
            // There is no other place to report that standard output cannot be written.
            return;
        }
    }
}

/// Installs a logger for errors only, for commands that run a fleet in their own process.
///
/// A logger that is already installed is kept. Without any logger, Rocket installs its own, which
/// writes a line for each request while another port is starting.
pub fn init_errors_only() {
    let _ = init(LevelFilter::Error);
}

/// Formats a record as one line of JSON, without the newline.
pub fn json_line(record: &Record<'_>, now: SystemTime) -> String {
    let mut collector = FieldCollector::default();
    let visited = record.key_values().visit(&mut collector);
    debug_assert!(visited.is_ok(), "collecting key-values does not fail");
    let since_epoch = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = LogLine {
        time: since_epoch.as_millis() as f64 / 1000.0,
        level: record.level().as_str(),
        module: record.module_path().unwrap_or(record.target()),
        message: record.args().to_string(),
        fields: collector.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|e| format!("{{\"message\":\"{e}\"}}"))
}

/// Collects the key-values of a record that are not reserved fields.
#[derive(Default)]
struct FieldCollector(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if !RESERVED_FIELDS.contains(&key.as_str()) {
            self.0.insert(key.as_str().to_owned(), json_value(&value));
        }
        Ok(())
    }
}

fn json_value(value: &Value<'_>) -> serde_json::Value {
    if let Some(n) = value.to_u64() {
        return n.into();
    }
    if let Some(n) = value.to_i64() {
        return n.into();
    }
    if let Some(n) = value.to_f64() {
        return n.into();
    }
    match value.to_bool() {
        Some(flag) => flag.into(),
        None => value.to_string().into(),
    }
}
