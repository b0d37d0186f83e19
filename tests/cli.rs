//! Output and exit codes of the command line, run as a process.

use std::fmt::Write;
use std::path::Path;
use std::process::Command;

/// Arguments of a command and its expected exit code. The output is in the snapshot `name`.
struct Case {
    name: &'static str,
    args: &'static [&'static str],
    code: i32,
}

const SAAFDABBA: &str = "docs/examples/saafdabba.ini";
const CHANGED: &str = "tests/data/saafdabba-changed.ini";
const INVALID: &str = "tests/data/wrong.ini";

const CASES: [Case; 13] = [
    Case {
        name: "check_good",
        args: &["check", SAAFDABBA],
        code: 0,
    },
    Case {
        name: "check_pastoreo",
        args: &["check", "docs/examples/pastoreo.ini"],
        code: 0,
    },
    Case {
        name: "check_wrong",
        args: &["check", INVALID],
        code: 1,
    },
    Case {
        name: "check_no_file",
        args: &["check", "tests/data/no-such.ini"],
        code: 1,
    },
    Case {
        name: "explain_charge",
        args: &["explain", SAAFDABBA, "POST", "payments", "/charge"],
        code: 0,
    },
    Case {
        name: "explain_lookup",
        args: &["explain", SAAFDABBA, "GET", "booking", "/slots/7?day=2"],
        code: 0,
    },
    Case {
        name: "explain_no_rule",
        args: &["explain", SAAFDABBA, "DELETE", "booking", "/slots/7"],
        code: 1,
    },
    Case {
        name: "explain_no_service",
        args: &["explain", SAAFDABBA, "GET", "bookings", "/"],
        code: 1,
    },
    Case {
        name: "explain_wrong",
        args: &["explain", INVALID, "GET", "booking", "/"],
        code: 1,
    },
    Case {
        name: "diff_same",
        args: &["diff", SAAFDABBA, SAAFDABBA],
        code: 0,
    },
    Case {
        name: "diff_changed",
        args: &["diff", SAAFDABBA, CHANGED],
        code: 0,
    },
    Case {
        name: "diff_back",
        args: &["diff", CHANGED, SAAFDABBA],
        code: 0,
    },
    Case {
        name: "diff_wrong",
        args: &["diff", SAAFDABBA, INVALID],
        code: 1,
    },
];

#[test]
fn commands_match_their_snapshots() {
    for case in &CASES {
        let (text, code) = run(case.args);
        insta::assert_snapshot!(case.name, text);
        assert_eq!(code, case.code, "{}", case.name);
    }
}

/// Runs the binary in the root of the repository and returns its output and exit code.
fn run(args: &[&str]) -> (String, i32) {
    let output = Command::new(env!("CARGO_BIN_EXE_dragonflylead"))
        .args(args)
        .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
        .output()
        .unwrap();
    let code = output.status.code().unwrap();
    let mut text = format!("$ dragonflylead {}\n", args.join(" "));
    write!(text, "{}", String::from_utf8(output.stdout).unwrap()).unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    if !errors.is_empty() {
        write!(text, "--- standard error\n{errors}").unwrap();
    }
    write!(text, "--- exit code {code}").unwrap();
    (text, code)
}
