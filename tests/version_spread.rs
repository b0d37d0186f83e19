//! How long nodes went without a configuration, from their log lines.

use dragonflylead::version_spread;
use dragonflylead::version_spread::VersionSpread;

const LINES: &str = r#"
  -9.2 node-a-1 {"time":1.0,"message":"configuration in force","before":0,"source":"store-read","version":3}
  4.000 node-a-1 {"time":14.9,"message":"configuration in force","before":3,"source":"store-watch","version":6}
  5.532 node-a-2 {"time":15.5,"message":"configuration in force","before":3,"source":"other-node","version":6}
  4.002 node-b-1 {"time":14.0,"message":"configuration in force","before":3,"source":"reader","version":6}
  9.000 node-b-1 {"time":19.0,"message":"configuration in force","before":0,"source":"store-read","version":6}
{"time":20.0,"message":"configuration in force","before":6,"source":"reader","version":9}
  6.000 node-b-1 {"time":16.0,"message":"refused","request":"configuration in force"}
not a log line
"#;

#[test]
fn the_spread_of_a_version_is_the_time_from_the_first_running_node_to_the_last() {
    let spreads = version_spread::spreads(LINES.lines());
    let of = |version, nodes, spread_ms, last: &str, source: &str| VersionSpread {
        version,
        nodes,
        spread_ms,
        last: last.to_owned(),
        source: source.to_owned(),
    };
    let expected = [
        of(6, 3, 1_532, "node-a-2", "other-node"),
        of(9, 1, 0, "", "reader"),
    ];
    assert_eq!(spreads, expected);
    let table = version_spread::table(&spreads).to_string();
    assert!(
        table.contains("6      3               1532  node-a-2   other-node"),
        "{table}"
    );
}
