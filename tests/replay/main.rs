//! Replays recorded traces against the decisions: each line states an event and what must be
//! decided. The same trace gives the same decisions, byte for byte, on every run.

mod egress;
mod event;
mod node;

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use dragonflylead::Time;
use rand::SeedableRng;
use rand_chacha::ChaCha12Rng;

use crate::event::Line;
use crate::node::Node;
use crate::node::World;

const SEED: u64 = 20;

fn traces() -> Vec<PathBuf> {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut paths: Vec<PathBuf> = std::fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    paths
}

fn lines(path: &Path) -> Vec<Line> {
    let text = std::fs::read_to_string(path).unwrap();
    let lines = text.lines().enumerate();
    lines
        .filter(|(_, line)| !line.is_empty() && !line.starts_with('#'))
        .map(|(n, line)| {
            serde_json::from_str(line)
                .unwrap_or_else(|e| panic!("{}:{}: {e}", path.display(), n + 1))
        })
        .collect()
}

/// Replays a trace, and returns what was decided at each line.
fn replay(lines: &[Line]) -> (Vec<Vec<String>>, BTreeMap<String, u32>) {
    let mut world = World {
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
            node.play(&mut world, now, &line.event)
        })
        .collect();
    (decided, world.runs)
}

fn stated(said: &str) -> &str {
    said.split(" # ").next().unwrap_or(said)
}

#[test]
fn traces_decide_as_stated() {
    let mut wrong = Vec::new();
    for path in traces() {
        let lines = lines(&path);
        let (decided, runs) = replay(&lines);
        let name = path.file_name().unwrap().display();
        for (line, decided) in lines.iter().zip(&decided) {
            if !line.want.iter().eq(decided.iter().map(|said| stated(said))) {
                let at = line.at;
                wrong.push(format!(
                    "{name} at {at}, {:?}:\n  wanted  {:?}\n  decided {decided:?}",
                    line.event, line.want
                ));
            }
        }
        let charges = runs.iter().filter(|(name, _)| name.starts_with("charge"));
        for (name, count) in charges.filter(|(_, count)| **count > 1) {
            wrong.push(format!("{name} ran {count} times"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn the_same_trace_gives_the_same_decisions() {
    let paths = traces();
    assert!(paths.len() >= 6);
    for path in paths {
        let lines = lines(&path);
        assert_eq!(replay(&lines), replay(&lines), "{}", path.display());
    }
}
