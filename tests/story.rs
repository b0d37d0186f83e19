//! The story of one request, from the lines of several nodes.

use dragonflylead::story;

const LINES: &str = r#"
{"time":12.5,"level":"INFO","module":"m","message":"failed","kind":"connection-lost","request":"25656c","root":true,"took_ms":169}
  13.2 node-b-1 {"time":12.4,"level":"INFO","module":"m","message":"run at target","outcome":"unknown-connection-lost","request":"25656c","target":"i-e5"}
{"time":12.3,"level":"INFO","module":"m","message":"answered","request":"other","status":200}
{"time":12.2,"level":"INFO","module":"m","message":"configuration in force","version":3}
no line of a node
{"time":12.35,"level":"INFO","module":"m","message":"run at target","outcome":"answered-200","request":"25656c.2044ab"}
"#;

#[test]
fn the_lines_of_a_request_and_its_calls_are_told_in_order() {
    struct Case {
        id: &'static str,
        told: &'static [&'static str],
    }
    let cases = [
        Case {
            id: "25656c",
            told: &[
                "12.350  run at target: outcome=answered-200 [25656c.2044ab]",
                "12.400 node-b-1 run at target: outcome=unknown-connection-lost target=i-e5 [25656c]",
                "12.500  failed: kind=connection-lost root=true took_ms=169 [25656c]",
            ],
        },
        Case {
            id: "other",
            told: &["12.300  answered: status=200 [other]"],
        },
        Case {
            id: "unknown",
            told: &[],
        },
    ];
    for case in cases {
        assert_eq!(
            story::timeline(case.id, LINES.lines()),
            case.told,
            "{}",
            case.id
        );
    }
}
