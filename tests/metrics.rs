//! Metrics and status of one node, and the operator port that serves them.

#[path = "support/page.rs"]
mod page;

use std::sync::Arc;
use std::time::Duration;

use dragonflylead::ErrorKind;
use dragonflylead::NotRunKind;
use dragonflylead::Policy;
use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::UnknownKind;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::dispatch::DeniedReason;
use dragonflylead::coordination::dispatch::RetryReason;
use dragonflylead::instance::Incarnation;
use dragonflylead::instance::ServiceName;
use dragonflylead::metrics;
use dragonflylead::metrics::FinishedCall;
use dragonflylead::metrics::Metrics;
use dragonflylead::metrics::Side;
use dragonflylead::policy::Share;
use dragonflylead::policy::SloRule;
use dragonflylead::state::history::Counts;
use dragonflylead::state::history::History;
use dragonflylead::state::history::MAX_SERIES;
use dragonflylead::state::history::Window;
use dragonflylead::status::AdmissionStatus;
use dragonflylead::status::ConfigStatus;
use dragonflylead::status::LevelStatus;
use dragonflylead::status::LinkStatus;
use dragonflylead::status::PoisonStatus;
use dragonflylead::status::STATUS_VERSION;
use dragonflylead::status::ServiceStatus;
use dragonflylead::status::Status;
use dragonflylead::status::TrafficStatus;
use dragonflylead::telemetry::Telemetry;
use dragonflylead::telemetry::objectives;
use dragonflylead::transport::operator::OperatorPort;

fn status() -> Status {
    let level = LevelStatus {
        priority: Priority::Normal,
        cohort: Cohort(63),
    };
    Status {
        version: STATUS_VERSION,
        release: "0.1.0".to_owned(),
        instance: "booking-1".into(),
        service: "booking".into(),
        domain: "punjab-a".into(),
        region: "punjab".into(),
        incarnation: Incarnation(7),
        uptime_s: 61,
        ready: true,
        draining: false,
        config: ConfigStatus {
            revision: 12,
            rejected: Some(13),
            age_s: 2,
        },
        control: TrafficStatus {
            sent_bytes: 100,
            received_bytes: 90,
        },
        admission: AdmissionStatus {
            limit: 80,
            in_flight: 5,
            queued: 1,
            level,
        },
        services: vec![ServiceStatus {
            service: "payments".into(),
            targets: 4,
            ejected: 1,
            draining: 0,
            in_flight: 3,
            level,
        }],
        links: vec![LinkStatus {
            region: "sindh".into(),
            left_bytes: -10,
            reserved_left_bytes: 900,
        }],
        poison: PoisonStatus {
            suspected: 2,
            quarantined: 1,
        },
        tokens: 9,
        ejections: 1,
        pauses: 1,
        objectives: Vec::new(),
        history: Vec::new(),
    }
}

fn filled() -> Metrics {
    let metrics = Metrics::new();
    let service = ServiceName::new("payments");
    let errors = [
        None,
        Some(ErrorKind::NotRun(NotRunKind::Shed)),
        Some(ErrorKind::Unknown(UnknownKind::Deadline)),
    ];
    for error in errors {
        metrics.record_call(&FinishedCall {
            side: Side::Egress,
            service: &service,
            priority: Priority::Critical,
            error,
            took: Duration::from_millis(3),
        });
    }
    metrics.record_retry(&service, RetryReason::Slow);
    metrics.record_denied_retry(&service, DeniedReason::Budget);
    metrics.record_link_bytes(&"sindh".into(), 4_096);
    metrics
}

#[test]
fn text() {
    insta::assert_snapshot!(filled().text(&status()));
}

#[test]
fn page_lists_all_metrics() {
    page::assert_page("METRICS.md", &metrics::page());
}

#[test]
fn services_beyond_the_bound_share_a_label() {
    let metrics = Metrics::new();
    for i in 0..metrics::MAX_SERVICE_LABELS + 10 {
        let service = ServiceName::new(&format!("service-{i}"));
        metrics.record_retry(&service, RetryReason::NotRun);
    }
    let text = metrics.text(&status());
    let lines = text.lines();
    let series = lines.filter(|l| l.starts_with("dragonflylead_extra_attempts_total"));
    assert_eq!(series.count(), metrics::MAX_SERVICE_LABELS + 1);
    assert!(text.contains(r#"{reason="not-run",service="other"} 10"#));
}

#[tokio::test]
async fn operator_port() {
    let mut servers = Vec::new();
    for limit in [80, 10] {
        let mut status = status();
        status.admission.limit = limit;
        let port = OperatorPort::new(Arc::new(filled()), move || status.clone());
        let address = "127.0.0.1:0".parse().unwrap();
        servers.push((limit, port.serve(address).await.unwrap()));
    }
    for (limit, server) in servers {
        let url = format!("http://{}", server.address());
        let got = reqwest::get(format!("{url}/status")).await.unwrap();
        let got: Status = got.json().await.unwrap();
        assert_eq!(got.admission.limit, limit);
        let text = reqwest::get(format!("{url}/metrics")).await.unwrap();
        let text = text.text().await.unwrap();
        assert!(text.contains(&format!("dragonflylead_concurrency_limit {limit}\n")));
        let other = reqwest::get(format!("{url}/other")).await.unwrap();
        assert_eq!(other.status(), 404);
        server.stop().await;
    }
}

#[test]
fn history_windows() {
    struct Case {
        /// Minutes at which a call ends.
        at: &'static [u64],
        now: u64,
        /// Calls in each window, shortest first.
        want: [u64; 7],
    }
    let cases = [
        Case {
            at: &[],
            now: 0,
            want: [0; 7],
        },
        Case {
            at: &[0, 0],
            now: 0,
            want: [2; 7],
        },
        Case {
            at: &[0, 4],
            now: 5,
            want: [1, 2, 2, 2, 2, 2, 2],
        },
        Case {
            at: &[0, 30, 60, 89],
            now: 90,
            want: [1, 1, 2, 4, 4, 4, 4],
        },
        Case {
            at: &[0, 4_000],
            now: 4_400,
            want: [0, 0, 0, 0, 0, 1, 1],
        },
        Case {
            at: &[0, 10_000],
            now: 10_000,
            want: [1; 7],
        },
    ];
    let minutes = |n: u64| Time::from_millis(n * 60_000);
    for case in cases {
        let mut history = History::new();
        let service = ServiceName::new("payments");
        for at in case.at {
            history.count(&service, Priority::Low, None, true, minutes(*at));
        }
        let series = history.series(minutes(case.now));
        let Some(series) = series.first() else {
            assert!(case.at.is_empty());
            continue;
        };
        let got: Vec<u64> = series.windows.iter().map(|w| w.counts.calls).collect();
        assert_eq!(got, case.want, "{:?} at {}", case.at, case.now);
        let hour: u64 = series.minutes.iter().map(|c| c.calls).sum();
        assert_eq!(hour, case.want[2]);
        assert_eq!(series.minutes.len(), 60);
        assert_eq!(series.windows[6].window, Window::ThreeDays);
    }
}

#[test]
fn records_heed_the_objective() {
    struct Case {
        side: Side,
        priority: Priority,
        took_ms: u64,
        error: Option<ErrorKind>,
        want: Option<Counts>,
    }
    let good = Counts {
        calls: 1,
        good: 1,
        ..Counts::default()
    };
    let late = Counts { good: 0, ..good };
    let shed = Counts { not_run: 1, ..late };
    let case = |side, priority, took_ms, want| Case {
        side,
        priority,
        took_ms,
        error: None,
        want,
    };
    let failed = |error: NotRunKind, want| Case {
        side: Side::Entry,
        priority: Priority::Critical,
        took_ms: 1,
        error: Some(error.into()),
        want,
    };
    let cases = [
        failed(NotRunKind::Shed, Some(shed)),
        failed(NotRunKind::TokenRequired, None),
        case(Side::Egress, Priority::Critical, 800, Some(good)),
        case(Side::Entry, Priority::Critical, 801, Some(late)),
        case(Side::Entry, Priority::Low, 5_000, Some(good)),
        case(Side::Ingress, Priority::Critical, 1, None),
    ];
    let rule = SloRule {
        name: "charges".to_owned(),
        service: "payments".into(),
        priority: Priority::Critical,
        objective: Share::from_ppm(999_000),
        latency: Duration::from_millis(800),
        requester: "Farida K.".to_owned(),
    };
    let policy = Policy::from_rules(Vec::new(), Vec::new(), Vec::new(), vec![rule]);
    for case in cases {
        let telemetry = Telemetry::new();
        let end = FinishedCall {
            side: case.side,
            service: &"payments".into(),
            priority: case.priority,
            error: case.error,
            took: Duration::from_millis(case.took_ms),
        };
        telemetry.record_call(&end, &policy, Time::ZERO);
        let history = telemetry.history(Time::ZERO);
        let got = history.first().map(|series| series.windows[0].counts);
        assert_eq!(got, case.want);
        let objectives = objectives(&policy, &history);
        let governed = case.want.is_some() && case.priority == Priority::Critical;
        assert_eq!(objectives.len(), usize::from(governed));
    }
}

#[test]
fn history_outcomes_and_bound() {
    let mut history = History::new();
    let service = ServiceName::new("payments");
    let ends = [
        (None, true),
        (None, false),
        (Some(ErrorKind::NotRun(NotRunKind::Shed)), true),
        (Some(ErrorKind::Unknown(UnknownKind::Deadline)), false),
    ];
    for (error, good) in ends {
        history.count(&service, Priority::High, error, good, Time::ZERO);
    }
    let want = Counts {
        calls: 4,
        good: 1,
        not_run: 1,
        unknown: 1,
    };
    assert_eq!(history.series(Time::ZERO)[0].windows[0].counts, want);
    for i in 0..MAX_SERIES + 5 {
        let service = ServiceName::new(&format!("service-{i}"));
        history.count(&service, Priority::High, None, true, Time::ZERO);
    }
    assert_eq!(history.series(Time::ZERO).len(), MAX_SERIES);
}
