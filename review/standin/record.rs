//! What was sent, answered and run, written to `record.txt` and kept for the check of the rule.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// One request at one endpoint. Times are milliseconds since the start of the script.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub endpoint: String,
    pub reached: u64,
    pub ended: Option<u64>,
    /// Whether the endpoint worked to the end; false if its connection was closed before.
    pub finished: bool,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            start: Instant::now(),
            file: Mutex::new(File::create(path)?),
            runs: Mutex::default(),
        })
    }

    /// Milliseconds since the start of the script.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.now());
    }

    /// Records that an endpoint began to work on a request. Returns the number of the run.
    pub fn run_started(&self, id: &str, endpoint: &str) -> usize {
        let reached = self.now();
        self.line(&format!("request {id} runs at endpoint {endpoint}"));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            id: id.to_owned(),
            endpoint: endpoint.to_owned(),
            reached,
            ended: None,
            finished: false,
        });
        runs.len() - 1
    }

    pub fn run_ended(&self, number: usize, finished: bool) {
        let ended = self.now();
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs[number].ended = Some(ended);
            runs[number].finished = finished;
            runs[number].clone()
        };
        let how = if finished { "is done" } else { "is dropped, its connection is closed" };
        self.line(&format!("request {} {how} at endpoint {}", run.id, run.endpoint));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs().into_iter().filter(|run| run.id == id).collect()
    }
}
