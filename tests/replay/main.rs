//! Replays recorded traces through the decision code. Each line of a trace contains an event and
//! the expected decisions. Replays of the same trace give identical decisions, byte for byte.

mod egress;
mod event;
mod node;

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use dragonflylead::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use crate::event::TraceLine;
use crate::node::Node;
use crate::node::SharedState;

/// Seed of the random number generator of each replay.
const SEED: u64 = 20;

/// Returns the paths of all traces, sorted.
fn trace_paths() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut paths: Vec<PathBuf> = std::fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    paths
}

/// Parses the lines of a trace. Empty lines and lines that start with `#` are skipped.
fn parse_trace(path: &Path) -> Vec<TraceLine> {
    let text = std::fs::read_to_string(path).unwrap();
    let numbered = text.lines().enumerate();
    numbered
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
        .map(|(n, line)| {
            serde_json::from_str(line)
                .unwrap_or_else(|e| panic!("{}:{}: {e}", path.display(), n + 1))
        })
        .collect()
}

/// Replays a trace. Returns the decisions at each line and the number of runs of each request.
fn replay(lines: &[TraceLine]) -> (Vec<Vec<String>>, BTreeMap<String, u32>) {
    let mut shared = SharedState {
        rng: ChaCha12Rng::seed_from_u64(SEED),
        tokens: BTreeMap::new(),
        reports: BTreeMap::new(),
        runs: BTreeMap::new(),
        configs: BTreeMap::new(),
        tickets: 0,
    };
    let mut nodes: BTreeMap<&str, Node> = BTreeMap::new();
    let decided = lines
        .iter()
        .map(|line| {
            let now = Time::from_millis(line.at);
            let node = nodes
                .entry(&line.node)
                .or_insert_with(|| Node::new(&line.node, 1, now));
            node.apply(&mut shared, now, &line.event)
        })
        .collect();
    (decided, shared.runs)
}

/// Removes the part of a decision that is not compared with the trace.
fn comparable_part(decision: &str) -> &str {
    decision.split(" # ").next().unwrap_or(decision)
}

#[test]
fn each_trace_gives_the_expected_decisions() {
    let mut failures = Vec::new();
    for path in trace_paths() {
        let lines = parse_trace(&path);
        let (decided, runs) = replay(&lines);
        let name = path.file_name().unwrap().display();
        for (line, decided) in lines.iter().zip(&decided) {
            if !line
                .want
                .iter()
                .eq(decided.iter().map(|decision| comparable_part(decision)))
            {
                let at = line.at;
                failures.push(format!(
                    "{name} at {at} ms, {:?}:\n  expected {:?}\n  decided  {decided:?}",
                    line.event, line.want
                ));
            }
        }
        let charges = runs.iter().filter(|(name, _)| name.starts_with("charge"));
        for (name, count) in charges.filter(|(_, count)| **count > 1) {
            failures.push(format!("non-idempotent request {name} ran {count} times"));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn replays_of_a_trace_give_identical_decisions() {
    let paths = trace_paths();
    assert!(paths.len() >= 6);
    for path in paths {
        let lines = parse_trace(&path);
        assert_eq!(replay(&lines), replay(&lines), "{}", path.display());
    }
}
