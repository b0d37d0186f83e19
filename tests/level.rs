//! Admission levels: text form, the controller of an instance, the view of a sender.

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
    let at = level(Priority::Normal, 40);
    for (priority, cohort, want) in cases {
        let case = Case {
            priority,
            cohort,
            want,
        };
        assert_eq!(at.admits(case.priority, Cohort(case.cohort)), case.want);
    }
    assert_eq!(at.stricter(Level::OPEN), at);
    assert_eq!(Level::CRITICAL_ONLY.stricter(at), Level::CRITICAL_ONLY);
    for rank in Level::CRITICAL_ONLY.rank()..=Level::OPEN.rank() {
        assert_eq!(Level::from_rank(rank).rank(), rank);
    }
    assert_eq!(Level::from_rank(3), Level::CRITICAL_ONLY);
}

#[test]
fn reports_are_read_back() {
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

/// An instance with room for `room` calls a window, offered one call of each normal and low
/// cohort and 32 critical ones.
struct Offered {
    control: LevelController,
    load: Load,
    now: Time,
}

impl Offered {
    fn new() -> Offered {
        let now = Time::ZERO;
        Offered {
            control: LevelController::new(now),
            load: Load::default(),
            now,
        }
    }

    /// Passes one window. Returns the number of calls that the level let in.
    fn window(&mut self, room: u64) -> u64 {
        let critical = (0..32).map(|c| (Priority::Critical, Cohort(c)));
        let normal = (0..COHORTS).map(|c| (Priority::Normal, Cohort(c)));
        let low = (0..COHORTS).map(|c| (Priority::Low, Cohort(c)));
        let calls = critical.chain(normal).chain(low);
        let let_in = calls
            .filter(|(p, c)| self.control.record_arrival(*p, *c))
            .count() as u64;
        let dropped = let_in.saturating_sub(room);
        self.load.offered += let_in;
        self.load.dropped += dropped;
        self.load.overloaded = dropped > 0;
        self.now = self.now.plus(MIN_LEVEL_WINDOW);
        self.control.update(self.load, self.now);
        let_in
    }
}

#[test]
fn the_level_falls_to_what_fits_and_rises_within_a_second() {
    let mut offered = Offered::new();
    assert_eq!(offered.window(400), 288, "nothing is shed without overload");
    assert_eq!(offered.control.level(), Level::OPEN);
    offered.window(96);
    let in_overload: Vec<u64> = (0..40).map(|_| offered.window(96)).collect();
    let fits = |n: &u64| (91..=130).contains(n);
    assert!(in_overload[2..].iter().all(fits), "{in_overload:?}");
    let recovery = (0..20).take_while(|_| offered.window(400) < 288).count();
    assert!(recovery <= 10, "{recovery} windows until open");
}

#[test]
fn critical_calls_are_never_shed_by_level() {
    let mut offered = Offered::new();
    for _ in 0..20 {
        offered.window(0);
    }
    assert_eq!(offered.control.level(), Level::CRITICAL_ONLY);
    assert_eq!(offered.window(0), 32);
}

#[test]
fn what_is_let_in_is_let_in_by_every_service() {
    let strict = level(Priority::Low, 30);
    let lenient = level(Priority::Low, 90);
    for cohort in (0..COHORTS).map(Cohort) {
        let through = strict.admits(Priority::Low, cohort);
        assert!(!through || lenient.admits(Priority::Low, cohort));
        let seen_by_root = strict.stricter(lenient).admits(Priority::Low, cohort);
        assert_eq!(seen_by_root, through, "shed at the root, not behind it");
    }
}

#[test]
fn a_sender_sheds_probes_and_forgets() {
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
fn a_sender_sheds_only_what_no_instance_lets_in() {
    let mut view = LevelView::new();
    let service = ServiceName::new("payments");
    let mut now = Time::ZERO;
    for answer in 0..100 {
        now = now.plus(Duration::from_millis(5));
        let overloaded = answer % 4 == 0;
        let reported = match overloaded {
            true => Level::CRITICAL_ONLY,
            false => Level::OPEN,
        };
        view.observe(&service, reported, now);
        assert!(view.level(&service, now).admits(Priority::Low, Cohort(127)));
    }
}

#[test]
fn the_view_is_bounded() {
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
