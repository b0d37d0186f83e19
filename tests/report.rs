//! The report on service-level burn and the fleet at a glance.

use std::sync::Arc;

use clap::Parser;
use dragonflylead::ErrorKind;
use dragonflylead::NotRunKind;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::call::Cohort;
use dragonflylead::cli;
use dragonflylead::cli::Cli;
use dragonflylead::cli::Exit;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::ServiceName;
use dragonflylead::metrics::Metrics;
use dragonflylead::report::Report;
use dragonflylead::report::Urgency;
use dragonflylead::report::html;
use dragonflylead::state::history::History;
use dragonflylead::state::history::Window;
use dragonflylead::status::AdmissionStatus;
use dragonflylead::status::ConfigStatus;
use dragonflylead::status::LevelStatus;
use dragonflylead::status::Objective;
use dragonflylead::status::PoisonStatus;
use dragonflylead::status::STATUS_VERSION;
use dragonflylead::status::ServiceStatus;
use dragonflylead::status::Status;
use dragonflylead::status::TrafficStatus;
use dragonflylead::status::summary::FleetSummary;
use dragonflylead::status_client;
use dragonflylead::status_client::FetchedStatuses;
use dragonflylead::status_client::UnreadNode;
use dragonflylead::transport::operator::OperatorPort;

/// Calls a minute at each priority, and how many of them are bad.
struct Load {
    from_minute: u64,
    to_minute: u64,
    calls: u64,
    bad: u64,
}

const NOW_MINUTE: u64 = 4_400;

fn objective(priority: Priority, share: f64) -> Objective {
    Objective {
        service: "payments".into(),
        priority,
        share,
        latency_ms: 800,
    }
}

fn node(name: &str, loads: &[(Priority, &[Load])]) -> Status {
    let service = ServiceName::new("payments");
    let mut history = History::new();
    for (priority, loads) in loads {
        for load in *loads {
            for minute in load.from_minute..load.to_minute {
                let now = Time::from_millis(minute * 60_000);
                for i in 0..load.calls {
                    let error = (i < load.bad).then_some(ErrorKind::NotRun(NotRunKind::Shed));
                    history.count(&service, *priority, error, true, now);
                }
            }
        }
    }
    Status {
        version: STATUS_VERSION,
        release: "0.1.0".to_owned(),
        instance: name.into(),
        service: service.clone(),
        domain: "punjab-a".into(),
        region: "punjab".into(),
        incarnation: Incarnation(7),
        uptime_s: NOW_MINUTE * 60,
        ready: true,
        draining: false,
        config: ConfigStatus {
            revision: 12,
            rejected: None,
            age_s: 2,
        },
        control: TrafficStatus {
            sent_bytes: 100,
            received_bytes: 90,
        },
        admission: AdmissionStatus {
            limit: 80,
            in_flight: 5,
            queued: 0,
            level: LevelStatus::OPEN,
        },
        services: Vec::new(),
        links: Vec::new(),
        poison: PoisonStatus::default(),
        tokens: 9,
        ejections: 0,
        pauses: 0,
        objectives: vec![
            objective(Priority::Critical, 0.999),
            objective(Priority::Low, 0.95),
        ],
        history: history.series(Time::from_millis((NOW_MINUTE - 1) * 60_000)),
    }
}

fn fetched(nodes: Vec<Status>) -> FetchedStatuses {
    FetchedStatuses {
        nodes,
        unread: Vec::new(),
    }
}

#[test]
fn urgency() {
    struct Case {
        name: &'static str,
        loads: Vec<Load>,
        want: Urgency,
    }
    fn load(from_minute: u64, to_minute: u64, calls: u64, bad: u64) -> Load {
        Load {
            from_minute,
            to_minute,
            calls,
            bad,
        }
    }
    let cases = [
        Case {
            name: "all good",
            loads: vec![load(0, NOW_MINUTE, 10, 0)],
            want: Urgency::None,
        },
        Case {
            name: "fast burn for an hour",
            loads: vec![load(NOW_MINUTE - 60, NOW_MINUTE, 20, 1)],
            want: Urgency::Now,
        },
        Case {
            name: "fast burn that has stopped",
            loads: vec![
                load(NOW_MINUTE - 60, NOW_MINUTE - 40, 20, 5),
                load(NOW_MINUTE - 40, NOW_MINUTE, 20, 0),
            ],
            want: Urgency::Soon,
        },
        Case {
            name: "a blip of four minutes",
            loads: vec![
                load(NOW_MINUTE - 600, NOW_MINUTE - 4, 20, 0),
                load(NOW_MINUTE - 4, NOW_MINUTE, 20, 2),
            ],
            want: Urgency::None,
        },
        Case {
            name: "burn of six hours",
            loads: vec![load(NOW_MINUTE - 360, NOW_MINUTE, 100, 1)],
            want: Urgency::Now,
        },
        Case {
            name: "slow burn of three days",
            loads: vec![
                load(0, NOW_MINUTE - 600, 10, 0),
                load(NOW_MINUTE - 600, NOW_MINUTE, 1000, 2),
            ],
            want: Urgency::Soon,
        },
        Case {
            name: "too few bad calls to say",
            loads: vec![load(NOW_MINUTE - 4, NOW_MINUTE, 1, 1)],
            want: Urgency::None,
        },
    ];
    for case in cases {
        let node = node("payments-1", &[(Priority::Critical, &case.loads)]);
        let report = Report::new(&fetched(vec![node]));
        assert_eq!(report.urgency, case.want, "{}: {report}", case.name);
    }
}

/// A fleet of three nodes: one burns, one is draining and behind, one cannot be read.
fn troubled() -> FetchedStatuses {
    let steady = [Load {
        from_minute: NOW_MINUTE - 600,
        to_minute: NOW_MINUTE,
        calls: 10,
        bad: 0,
    }];
    let storm = [
        Load {
            from_minute: NOW_MINUTE - 60,
            to_minute: NOW_MINUTE - 20,
            calls: 12,
            bad: 0,
        },
        Load {
            from_minute: NOW_MINUTE - 20,
            to_minute: NOW_MINUTE,
            calls: 60,
            bad: 40,
        },
    ];
    let mut first = node(
        "payments-1",
        &[
            (Priority::Critical, &steady),
            (Priority::Normal, &steady),
            (Priority::Low, &storm),
        ],
    );
    first.admission.level = LevelStatus {
        priority: Priority::Low,
        cohort: Cohort(31),
    };
    first.poison.quarantined = 1;
    first.services.push(ServiceStatus {
        service: "ledger".into(),
        targets: 4,
        ejected: 1,
        draining: 0,
        in_flight: 2,
        level: LevelStatus::OPEN,
    });
    let mut second = node("payments-2", &[(Priority::Critical, &steady)]);
    second.draining = true;
    second.config.revision = 11;
    second.config.rejected = Some(13);
    second.objectives[0].share = 0.5;
    FetchedStatuses {
        nodes: vec![first, second],
        unread: vec![UnreadNode {
            url: "127.0.0.1:9".to_owned(),
            reason: "cannot be reached".to_owned(),
        }],
    }
}

#[test]
fn table() {
    insta::assert_snapshot!(Report::new(&troubled()));
}

#[test]
fn table_of_some_windows() {
    let report = Report::new(&troubled());
    insta::assert_snapshot!(report.restricted_to(&[Window::FiveMinutes, Window::Hour]));
}

#[test]
fn json() {
    let mut report = Report::new(&troubled());
    for row in &mut report.rows {
        row.minutes.drain(..57);
    }
    insta::assert_snapshot!(serde_json::to_string_pretty(&report).unwrap());
}

#[test]
fn html_stands_alone() {
    let mut fetched = troubled();
    fetched.unread[0].url = "<script>&\"".to_owned();
    let page = html::render(&Report::new(&fetched));
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("Act now: payments low"));
    assert!(page.contains("&lt;script&gt;&amp;&quot;"));
    for outside in ["<script", "http://", "https://", "src=", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
    if let Ok(file) = std::env::var("REPORT_HTML") {
        std::fs::write(file, page).unwrap();
    }
}

#[test]
fn without_nodes_or_objectives() {
    let none = Report::new(&fetched(Vec::new()));
    assert_eq!(none.sentence, "Nothing can be said: no node answered.");
    let mut node = node("payments-1", &[]);
    node.objectives.clear();
    let report = Report::new(&fetched(vec![node]));
    assert!(
        report
            .sentence
            .starts_with("Nothing can be said about burn")
    );
}

#[test]
fn glance() {
    insta::assert_snapshot!(FleetSummary(&troubled()));
}

#[tokio::test]
async fn commands() {
    struct Case {
        args: &'static str,
        exit: Exit,
        wants: &'static [&'static str],
    }
    let cases = [
        Case {
            args: "status NODE",
            exit: Exit::Success,
            wants: &["1 node in 1 failure domain; all answered", "revision 12"],
        },
        Case {
            args: "status --json NODE",
            exit: Exit::Success,
            wants: &["\"instance\": \"payments-1\""],
        },
        Case {
            args: "report --window 1h NODE http://127.0.0.1:1",
            exit: Exit::Failure,
            wants: &[
                "act    1h",
                "not read: http://127.0.0.1:1: cannot be reached",
            ],
        },
        Case {
            args: "report --json NODE --html FILE",
            exit: Exit::Success,
            wants: &["\"urgency\": \"none\""],
        },
    ];
    let mut status = node("payments-1", &[]);
    let steady = Load {
        from_minute: NOW_MINUTE - 10,
        to_minute: NOW_MINUTE,
        calls: 1,
        bad: 0,
    };
    status.history = node("", &[(Priority::Critical, &[steady])]).history;
    let port = OperatorPort::new(Arc::new(Metrics::new()), move || status.clone());
    let server = port.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let dir = tempfile::tempdir().unwrap();
    let page = dir.path().join("report.html");
    for case in cases {
        let args = case.args.replace("NODE", &server.address().to_string());
        let args = args.replace("FILE", page.to_str().unwrap());
        let args = std::iter::once("dragonflylead").chain(args.split(' '));
        let cli = Cli::try_parse_from(args).unwrap();
        let run = move || {
            let mut out = Vec::new();
            let exit = cli::run(&cli, &mut out, &mut Vec::new()).unwrap();
            (exit, String::from_utf8(out).unwrap())
        };
        let (exit, out) = tokio::task::spawn_blocking(run).await.unwrap();
        assert_eq!(exit, case.exit, "{out}");
        for want in case.wants {
            assert!(out.contains(want), "{want} in {out}");
        }
    }
    let page = std::fs::read_to_string(page).unwrap();
    assert!(page.starts_with("<!DOCTYPE html>"));
    assert!(Cli::try_parse_from(["dragonflylead", "report", "--window", "7m", "x"]).is_err());
    server.stop().await;
}

#[tokio::test]
async fn nodes_are_read() {
    let mut urls = Vec::new();
    let mut servers = Vec::new();
    for version in [STATUS_VERSION, STATUS_VERSION + 1] {
        let mut status = node("payments-1", &[]);
        status.version = version;
        let port = OperatorPort::new(Arc::new(Metrics::new()), move || status.clone());
        let server = port.serve("127.0.0.1:0".parse().unwrap()).await.unwrap();
        urls.push(server.address().to_string());
        servers.push(server);
    }
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    urls.push(format!("http://{}/", free.local_addr().unwrap()));
    drop(free);
    let fetched = status_client::fetch_statuses(&urls).await.unwrap();
    assert_eq!(fetched.nodes.len(), 1);
    let reasons: Vec<&str> = fetched.unread.iter().map(|u| u.reason.as_str()).collect();
    let version = "speaks status version 2, this program understands 1";
    assert_eq!(reasons, [version, "cannot be reached"]);
    for server in servers {
        server.stop().await;
    }
}
