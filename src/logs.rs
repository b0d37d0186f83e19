//! Logs as JSON lines on standard error.

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

/// Key of the request id in a record about a request: `info!(request:% = id; "...")`.
pub const REQUEST_KEY: &str = "request";

/// Libraries whose own records are logged from `warn` on.
const LIBRARIES: [&str; 6] = [
    "rocket",
    "hyper",
    "hyper_util",
    "reqwest",
    "jsonrpsee",
    "rustls",
];

/// Fields of every line, which a record's own key-values do not replace.
const FIXED: [&str; 4] = ["time", "level", "module", "message"];

/// One line of the log.
#[derive(Debug, Serialize)]
struct Line<'a> {
    /// Seconds since the Unix epoch.
    time: f64,
    level: &'static str,
    module: &'a str,
    message: String,
    #[serde(flatten)]
    fields: BTreeMap<String, serde_json::Value>,
}

/// Starts to log records from `level` on. Fails if a logger is already installed.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let mut dispatch = fern::Dispatch::new().level(level);
    for library in LIBRARIES {
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

/// Starts to log records from `level` on to standard output, without ever waiting for its reader.
///
/// Lines beyond what the reader takes in time are left out and counted. The returned guard writes
/// what is left when it is dropped.
///
/// # Errors
///
/// If a logger is already installed.
pub fn init_stdout(level: LevelFilter) -> Result<Flush, SetLoggerError> {
    let lines = Arc::new(Lines::default());
    let taken = lines.clone();
    let mut dispatch = fern::Dispatch::new().level(level);
    for library in LIBRARIES {
        dispatch = dispatch.level_for(library, level.min(LevelFilter::Warn));
    }
    dispatch
        .chain(fern::Output::call(move |record| {
            let about_request = record
                .key_values()
                .get(Key::from_str(REQUEST_KEY))
                .is_some();
            taken.push(about_request, || json_line(record, SystemTime::now()));
        }))
        .apply()?;
    let written = lines.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(FLUSH_PERIOD);
            written.flush();
        }
    });
    Ok(Flush(lines))
}

/// Time between two writes of the lines that were gathered.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);

/// Bytes of one write.
const PIECE: usize = 4_000;

/// Bytes of lines that wait to be written, at most.
const MAX_WAITING: usize = 512 * 1024;

/// Lines about single requests within one flush period, at most. All other lines go beyond.
const MAX_REQUEST_LINES: usize = 250;

/// Writes the remaining lines when it is dropped.
#[derive(Debug)]
pub struct Flush(Arc<Lines>);

impl Drop for Flush {
    fn drop(&mut self) {
        self.0.flush();
    }
}

#[derive(Debug, Default)]
struct Lines(Mutex<Waiting>);

#[derive(Debug, Default)]
struct Waiting {
    text: String,
    request_lines: usize,
    left_out: u64,
}

impl Lines {
    fn push<F>(&self, about_request: bool, line: F)
    where
        F: FnOnce() -> String,
    {
        let mut waiting = self.0.lock().unwrap_or_else(|p| p.into_inner());
        let full = waiting.text.len() >= MAX_WAITING;
        if full || (about_request && waiting.request_lines >= MAX_REQUEST_LINES) {
            waiting.left_out += 1;
            return;
        }
        waiting.request_lines += usize::from(about_request);
        waiting.text.push_str(&line());
        waiting.text.push('\n');
    }

    fn flush(&self) {
        let waiting = {
            let mut waiting = self.0.lock().unwrap_or_else(|p| p.into_inner());
            std::mem::take(&mut *waiting)
        };
        let mut text = waiting.text;
        if waiting.left_out > 0 {
            let left_out = waiting.left_out;
            text.push_str(&format!(
                "{{\"message\":\"lines left out\",\"lines\":{left_out}}}\n"
            ));
        }
        write_out(text.as_bytes());
    }
}

/// Writes in small pieces, each of which a pipe takes whole.
fn write_out(text: &[u8]) {
    let mut out = std::io::stdout().lock();
    for piece in text.chunks(PIECE) {
        let written = out.write_all(piece).and_then(|()| out.flush());
        if written.is_err() {
            // Nothing can be said about a standard output that cannot be written.
            return;
        }
    }
}

/// Logs errors only, for commands that run a fleet in their own process.
///
/// A logger that is installed already stays. Without one, Rocket would install its own, which
/// writes a line for each request whenever another port is being started.
pub fn init_errors_only() {
    let _ = init(LevelFilter::Error);
}

/// Writes a record as one line of JSON without its line end.
pub fn json_line(record: &Record<'_>, now: SystemTime) -> String {
    let mut fields = Fields::default();
    let visited = record.key_values().visit(&mut fields);
    debug_assert!(visited.is_ok(), "collecting key-values does not fail");
    let since = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let line = Line {
        time: since.as_millis() as f64 / 1000.0,
        level: record.level().as_str(),
        module: record.module_path().unwrap_or(record.target()),
        message: record.args().to_string(),
        fields: fields.0,
    };
    serde_json::to_string(&line).unwrap_or_else(|e| format!("{{\"message\":\"{e}\"}}"))
}

/// Collects the key-values of a record.
#[derive(Default)]
struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        if !FIXED.contains(&key.as_str()) {
            self.0.insert(key.as_str().to_owned(), json(&value));
        }
        Ok(())
    }
}

fn json(value: &Value<'_>) -> serde_json::Value {
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
        Some(truth) => truth.into(),
        None => value.to_string().into(),
    }
}
