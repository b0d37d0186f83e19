//! Admission levels: text form, the controller of an instance, and the view of a sender.

use std::time::Duration;

use dragonflylead::Priority;
use dragonflylead::Time;
use dragonflylead::call::COHORTS;
use dragonflylead::call::Cohort;
use dragonflylead::coordination::admission::Load;
use dragonflylead::coordination::level::Level;
use dragonflylead::coordination::level::LevelController;
use dragonflylead::coordination::level::LevelError;
use dragonflylead::coordination::level::LevelReport;
use dragonflylead::coordination::level::LevelView;
use dragonflylead::coordination::level::MIN_LEVEL_WINDOW;
use dragonflylead::coordination::level_view::DECAY_TIME;
use dragonflylead::coordination::level_view::HOLD_TIME;
use dragonflylead::coordination::level_view::MAX_SERVICES;
use dragonflylead::instance::ServiceName;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn level(priority: Priority, cohort: u16) -> Level {
    let cohort = Cohort(cohort);
    Level { priority, cohort }
}

#[test]
fn levels_order_calls_by_priority_and_cohort() {
    struct Case {
        priority: Priority,
        cohort: u16,
        want: bool,
    }
    let cases = [
        (Priority::Critical, 127, true),
        (Priority::Normal, 40, true),
        (Priority::Normal, 41, false),
        (Priority::Low, 0, false),
    ];
    let threshold = level(Priority::Normal, 40);
    for (priority, cohort, want) in cases {
        let case = Case {
            priority,
            cohort,
            want,
        };
        assert_eq!(
            threshold.admits(case.priority, Cohort(case.cohort)),
            case.want
        );
    }
    assert_eq!(threshold.stricter(Level::OPEN), threshold);
    assert_eq!(
        Level::CRITICAL_ONLY.stricter(threshold),
        Level::CRITICAL_ONLY
    );
    for rank in Level::CRITICAL_ONLY.rank()..=Level::OPEN.rank() {
        assert_eq!(Level::from_rank(rank).rank(), rank);
    }
    assert_eq!(Level::from_rank(3), Level::CRITICAL_ONLY);
}

#[test]
fn level_reports_round_trip_through_text() {
    struct Case {
        text: &'static str,
        want: Result<LevelReport, LevelError>,
    }
    let report = |level, load_percent| LevelReport {
        level,
        load_percent,
    };
    let cases = [
        Case {
            text: "low.63;120",
            want: Ok(report(level(Priority::Low, 63), 120)),
        },
        Case {
            text: "background.127;0",
            want: Ok(report(Level::OPEN, 0)),
        },
        Case {
            text: "low.63",
            want: Err(LevelError::Malformed),
        },
        Case {
            text: "low.63;99999",
            want: Err(LevelError::Malformed),
        },
        Case {
            text: "low;1",
            want: Err(LevelError::Malformed),
        },
        Case {
            text: "urgent.1;1",
            want: Err(LevelError::Priority),
        },
        Case {
            text: "low.128;1",
            want: Err(LevelError::Cohort),
        },
        Case {
            text: "low.-1;1",
            want: Err(LevelError::Cohort),
        },
    ];
    for case in cases {
        let read: Result<LevelReport, LevelError> = case.text.parse();
        assert_eq!(read, case.want, "{}", case.text);
        if let Ok(report) = read {
            assert_eq!(report.to_string(), case.text);
        }
    }
}

/// Load of an instance that can take a given number of calls per window. Each window offers one
/// call of each normal and low cohort and 32 critical calls, 288 in total.
struct OfferedLoad {
    controller: LevelController,
    load: Load,
    now: Time,
}

impl OfferedLoad {
    fn new() -> OfferedLoad {
        let now = Time::ZERO;
        OfferedLoad {
            controller: LevelController::new(now),
            load: Load::default(),
            now,
        }
    }

    /// Runs one window in which the instance can take `capacity` calls. Returns the number of calls
    /// that the level admitted.
    fn run_window(&mut self, capacity: u64) -> u64 {
        let critical = (0..32).map(|c| (Priority::Critical, Cohort(c)));
        let normal = (0..COHORTS).map(|c| (Priority::Normal, Cohort(c)));
        let low = (0..COHORTS).map(|c| (Priority::Low, Cohort(c)));
        let calls = critical.chain(normal).chain(low);
        let admitted = calls
            .filter(|(p, c)| self.controller.record_arrival(*p, *c))
            .count() as u64;
        let dropped = admitted.saturating_sub(capacity);
        self.load.offered += admitted;
        self.load.dropped += dropped;
        self.load.overloaded = dropped > 0;
        self.now = self.now.plus(MIN_LEVEL_WINDOW);
        self.controller.update(self.load, self.now);
        admitted
    }
}

#[test]
fn the_level_falls_to_capacity_and_recovers_within_a_second() {
    let mut offered = OfferedLoad::new();
    assert_eq!(
        offered.run_window(400),
        288,
        "nothing is shed without overload"
    );
    assert_eq!(offered.controller.level(), Level::OPEN);
    offered.run_window(96);
    let in_overload: Vec<u64> = (0..40).map(|_| offered.run_window(96)).collect();
    let near_capacity = |n: &u64| (91..=130).contains(n);
    assert!(
        in_overload[2..].iter().all(near_capacity),
        "{in_overload:?}"
    );
    let recovery = (0..20)
        .take_while(|_| offered.run_window(400) < 288)
        .count();
    assert!(recovery <= 10, "level open after {recovery} windows");
}

#[test]
fn critical_calls_are_never_shed_by_level() {
    let mut offered = OfferedLoad::new();
    for _ in 0..20 {
        offered.run_window(0);
    }
    assert_eq!(offered.controller.level(), Level::CRITICAL_ONLY);
    assert_eq!(offered.run_window(0), 32);
}

#[test]
fn the_combined_level_admits_what_every_service_admits() {
    let strict = level(Priority::Low, 30);
    let lenient = level(Priority::Low, 90);
    for cohort in (0..COHORTS).map(Cohort) {
        let admitted_by_strict = strict.admits(Priority::Low, cohort);
        assert!(!admitted_by_strict || lenient.admits(Priority::Low, cohort));
        let admitted_by_root = strict.stricter(lenient).admits(Priority::Low, cohort);
        assert_eq!(
            admitted_by_root, admitted_by_strict,
            "calls are shed at the root, not downstream"
        );
    }
}

#[test]
fn a_sender_sheds_sends_probes_and_lets_levels_expire() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut view = LevelView::new();
    let service = ServiceName::new("payments");
    let now = Time::from_millis(5_000);
    for _ in 0..60 {
        view.observe(&service, Level::CRITICAL_ONLY, now);
    }
    let mut sent = |view: &LevelView, priority, now| {
        let mut admits = |c| view.admits(&service, priority, Cohort(c % COHORTS), now, &mut rng);
        (0..10_000).filter(|c| admits(*c)).count()
    };
    assert_eq!(sent(&view, Priority::Critical, now), 10_000);
    let probes = sent(&view, Priority::Low, now);
    assert!((50..200).contains(&probes), "{probes} probes of 10000");
    assert_eq!(view.strictest(now), Level::CRITICAL_ONLY);
    let later = now.plus(HOLD_TIME + DECAY_TIME);
    assert_eq!(sent(&view, Priority::Low, later), 10_000);
    assert_eq!(view.strictest(later), Level::OPEN);
}

#[test]
fn a_sender_sheds_only_what_no_instance_admits() {
    let mut view = LevelView::new();
    let service = ServiceName::new("payments");
    let mut now = Time::ZERO;
    for response in 0..100 {
        now = now.plus(Duration::from_millis(5));
        let overloaded = response % 4 == 0;
        let reported = match overloaded {
            true => Level::CRITICAL_ONLY,
            false => Level::OPEN,
        };
        view.observe(&service, reported, now);
        assert!(view.level(&service, now).admits(Priority::Low, Cohort(127)));
    }
}

#[test]
fn the_view_keeps_a_bounded_number_of_services() {
    let mut view = LevelView::new();
    for i in 0..2 * MAX_SERVICES {
        let now = Time::from_millis(i as u64);
        let service = ServiceName::new(&format!("service-{i}"));
        for _ in 0..9 {
            view.observe(&service, Level::CRITICAL_ONLY, now);
        }
    }
    let now = Time::from_millis(2 * MAX_SERVICES as u64);
    let known = (0..2 * MAX_SERVICES)
        .map(|i| ServiceName::new(&format!("service-{i}")))
        .filter(|s| view.level(s, now) != Level::OPEN);
    assert_eq!(known.count(), MAX_SERVICES);
}
